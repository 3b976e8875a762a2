package contract

// bucket is a token bucket that starts full. What it may hold and how fast it
// fills is passed in: both change with the hours and with this router's part.
type bucket struct {
	spent float64 // below full; may exceed the burst where a request passed without asking
	at    Nanos
}

// refill moves the bucket to now at a rate a second. A clock that goes back
// refills nothing, and a jump forward no more than the bucket holds.
func (b *bucket) refill(now Nanos, rate float64) {
	if now > b.at {
		b.spent = max(0, b.spent-rate*float64(now-b.at)/1e9)
	}
	b.at = now
}

// has says whether n can be taken of a bucket that holds burst.
func (b *bucket) has(n, burst float64) bool { return b.spent+n <= burst+1e-9 }

// take takes n; what was not there is owed, but never more than two bursts.
func (b *bucket) take(n, burst float64) { b.spent = min(b.spent+n, 2*burst+n) }

// wait is how long until n can be taken.
func (b *bucket) wait(n, burst, rate float64) Nanos {
	if rate <= 0 {
		return 0
	}
	return max(0, Nanos((b.spent+n-burst)/rate*1e9))
}
