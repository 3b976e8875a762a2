package cursor

import (
	"hash/fnv"
	"math"

	"lotushook/policy/clock"
)

// Limiter limits the rate of a router's reads for subscribers that catch up, and distributes reconnects over time. It
// is not safe for concurrent use.
type Limiter struct {
	settings          *Settings
	catchUp           tokenBucket
	reconnect         tokenBucket
	pendingReconnects float64 // number of subscribers that were told to retry later; decreases at the reconnect rate
	drainedAt         clock.Nanos
}

type tokenBucket struct {
	rate, tokens float64
	refilledAt   clock.Nanos
}

func (bucket *tokenBucket) take(now clock.Nanos) bool {
	capacity := max(1, bucket.rate)
	if now > bucket.refilledAt {
		bucket.tokens = min(capacity, bucket.tokens+bucket.rate*float64(now-bucket.refilledAt)/1e9)
		bucket.refilledAt = now
	}
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// NewLimiter returns a limiter that allows at once as many reads and reconnects as in one second.
func NewLimiter(settings *Settings, now clock.Nanos) *Limiter {
	return &Limiter{settings: settings, drainedAt: now, catchUp: tokenBucket{settings.CatchUpReadsPerSecond, max(1, settings.CatchUpReadsPerSecond), now}, reconnect: tokenBucket{settings.ReconnectsPerSecond, max(1, settings.ReconnectsPerSecond), now}}
}

// AllowCatchUp reports whether a read for a subscriber behind the ring is allowed now; if not, it returns the time
// after which the subscriber may retry.
func (limiter *Limiter) AllowCatchUp(now clock.Nanos, subscriber string) (retryAfter clock.Nanos, ok bool) {
	if limiter.catchUp.take(now) {
		return 0, true
	}
	return clock.Nanos(float64(limiter.settings.PollInterval) * (1 + hashFraction(subscriber))), false
}

// AllowReconnect reports whether a subscriber that reconnects or is new is accepted now. If not, it returns the time
// after which the subscriber may retry. That time increases with the number of subscribers that were delayed before,
// and varies with a hash of the subscriber's name, so that several routers that detect the same failure don't accept
// all subscribers at the same moment.
func (limiter *Limiter) AllowReconnect(now clock.Nanos, subscriber string) (retryAfter clock.Nanos, ok bool) {
	if now > limiter.drainedAt {
		limiter.pendingReconnects = max(0, limiter.pendingReconnects-limiter.settings.ReconnectsPerSecond*float64(now-limiter.drainedAt)/1e9)
		limiter.drainedAt = now
	}
	if limiter.reconnect.take(now) {
		return 0, true
	}
	limiter.pendingReconnects = min(limiter.pendingReconnects+1, limiter.settings.ReconnectsPerSecond*float64(limiter.settings.MaxRetryAfter)/1e9)
	delaySeconds := limiter.pendingReconnects / limiter.settings.ReconnectsPerSecond * (0.75 + 0.5*hashFraction(subscriber))
	return min(limiter.settings.MaxRetryAfter, clock.Nanos(delaySeconds*1e9)+clock.Nanos(1e8*hashFraction(subscriber))), false
}

// hashFraction returns a number in [0, 1) that depends only on the subscriber's name, so it is the same on all routers.
func hashFraction(subscriber string) float64 {
	hasher := fnv.New64a()
	hasher.Write([]byte(subscriber))
	hash := hasher.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return float64(hash>>11) / math.Exp2(53)
}
