package quota

import (
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// Over any span a tenant gets its rate and what may be used at once, not more; and its rate, if it asks steadily.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 500).Draw(t, "rate")
		routers := rapid.Float64Range(1, 20).Draw(t, "routers")
		q := New([]float64{0, rate})
		now, inside, asked := clock.Nanos(1e18), 0.0, 0
		from := now
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now += rapid.Int64Range(0, 50e6).Draw(t, "pause")
			asked++
			if !q.Exceeds(now, 1, routers) {
				inside++
			}
			if q.Exceeds(now, 0, routers) || q.Exceeds(now, 2, routers) || q.Exceeds(now, -1, routers) {
				t.Fatal("one without a quota is over it")
			}
		}
		part := rate / routers
		if most := max(part, minBurst) + part*float64(now-from)/second; inside > most+1e-6 {
			t.Fatalf("%v inside of %d, at most %v", inside, asked, most)
		}
		if first := min(float64(asked), minBurst); inside < first {
			t.Fatalf("%v inside of %d: the first %v are", inside, asked, first)
		}
	})
}
