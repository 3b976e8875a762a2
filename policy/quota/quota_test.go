package quota

import (
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// Over any span a tenant is granted at most its rate plus a burst, and at least its first burst of requests.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 500).Draw(t, "rate")
		routers := rapid.Float64Range(1, 20).Draw(t, "routers")
		quotas := New([]float64{0, rate})
		now, within, requested := clock.Nanos(1e18), 0.0, 0
		start := now
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now += rapid.Int64Range(0, 50e6).Draw(t, "pause")
			requested++
			if !quotas.Exceeds(now, 1, routers) {
				within++
			}
			if quotas.Exceeds(now, 0, routers) || quotas.Exceeds(now, 2, routers) || quotas.Exceeds(now, -1, routers) {
				t.Fatal("a tenant without a quota exceeds it")
			}
		}
		part := rate / routers
		if maxWithin := max(part, minBurst) + part*float64(now-start)/second; within > maxWithin+1e-6 {
			t.Fatalf("%v of %d requests are within the quota, at most %v allowed", within, requested, maxWithin)
		}
		if burst := min(float64(requested), minBurst); within < burst {
			t.Fatalf("%v of %d requests are within the quota, the first %v should be", within, requested, burst)
		}
	})
}
