package contract

import "lotushook/policy/clock"

// tokenBucket is a token bucket that starts full. The burst, which is how many tokens a full bucket contains, and the
// rate are passed to each call, because they change with the hours of the contract and with this router's share.
type tokenBucket struct {
	used      float64 // tokens missing from a full bucket; may exceed the burst after unconditional admissions
	updatedAt clock.Nanos
}

// refill adds the tokens of the time since the last refill, at a rate per second. A clock that goes back adds no
// tokens, and one that jumps forward adds no more than fill the bucket.
func (bucket *tokenBucket) refill(now clock.Nanos, rate float64) {
	if now > bucket.updatedAt {
		bucket.used = max(0, bucket.used-rate*float64(now-bucket.updatedAt)/1e9)
	}
	bucket.updatedAt = now
}

// canTake reports whether n tokens are available, in a bucket that contains burst tokens when full.
func (bucket *tokenBucket) canTake(n, burst float64) bool { return bucket.used+n <= burst+1e-9 }

// take removes n tokens. If fewer are available, the bucket goes into debt; used is at most two bursts plus n.
func (bucket *tokenBucket) take(n, burst float64) { bucket.used = min(bucket.used+n, 2*burst+n) }

// wait returns the time until that many tokens are available.
func (bucket *tokenBucket) wait(tokens, burst, rate float64) clock.Nanos {
	if rate <= 0 {
		return 0
	}
	return max(0, clock.Nanos((bucket.used+tokens-burst)/rate*1e9))
}
