package contract

import "lotushook/policy/clock"

// bucket is a token bucket that starts full. Its capacity and rate are passed
// in: both change with the hours and with this router's share.
type bucket struct {
	used      float64 // tokens below full; may exceed the burst where a request passed unconditionally
	updatedAt clock.Nanos
}

// refill advances the bucket to now at a rate per second. A clock that goes back
// refills nothing, and a jump forward no more than the bucket holds.
func (b *bucket) refill(now clock.Nanos, rate float64) {
	if now > b.updatedAt {
		b.used = max(0, b.used-rate*float64(now-b.updatedAt)/1e9)
	}
	b.updatedAt = now
}

// has says whether n tokens can be taken of a bucket with a capacity of burst.
func (b *bucket) has(n, burst float64) bool { return b.used+n <= burst+1e-9 }

// take takes n tokens; a shortfall is a debt, but never of more than two bursts.
func (b *bucket) take(n, burst float64) { b.used = min(b.used+n, 2*burst+n) }

// wait is how long until n tokens can be taken.
func (b *bucket) wait(n, burst, rate float64) clock.Nanos {
	if rate <= 0 {
		return 0
	}
	return max(0, clock.Nanos((b.used+n-burst)/rate*1e9))
}
