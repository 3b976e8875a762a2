package contract

import "lotushook/policy/clock"

// bucket is a token bucket that starts full. What it may hold and how fast it
// fills is passed in: both change with the hours and with this router's part.
type bucket struct {
	used      float64 // below full; may exceed the burst where a request passed without asking
	updatedAt clock.Nanos
}

// refill moves the bucket to now at a rate a second. A clock that goes back
// refills nothing, and a jump forward no more than the bucket holds.
func (b *bucket) refill(now clock.Nanos, rate float64) {
	if now > b.updatedAt {
		b.used = max(0, b.used-rate*float64(now-b.updatedAt)/1e9)
	}
	b.updatedAt = now
}

// has says whether n can be taken of a bucket that holds burst.
func (b *bucket) has(n, burst float64) bool { return b.used+n <= burst+1e-9 }

// take takes n; what was not there is owed, but never more than two bursts.
func (b *bucket) take(n, burst float64) { b.used = min(b.used+n, 2*burst+n) }

// wait is how long until n can be taken.
func (b *bucket) wait(n, burst, rate float64) clock.Nanos {
	if rate <= 0 {
		return 0
	}
	return max(0, clock.Nanos((b.used+n-burst)/rate*1e9))
}
