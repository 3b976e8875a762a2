package cursor

import (
	"hash/fnv"
	"math"

	"lotushook/policy/clock"
)

// Limiter spends what a router may ask for those that are far behind, and takes those that come back by turns. It belongs to who
// holds its lock.
type Limiter struct {
	settings          *Settings
	catchUp           bucket
	reconnect         bucket
	pendingReconnects float64 // of those that were told when to return; it falls as their turns come
	at                clock.Nanos
}

type bucket struct {
	rate, left float64
	at         clock.Nanos
}

func (b *bucket) take(now clock.Nanos) bool {
	most := max(1, b.rate)
	if now > b.at {
		b.left = min(most, b.left+b.rate*float64(now-b.at)/1e9)
		b.at = now
	}
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// NewLimiter starts with what one second brings.
func NewLimiter(s *Settings, now clock.Nanos) *Limiter {
	return &Limiter{settings: s, at: now, catchUp: bucket{s.CatchUpReadsPerSecond, max(1, s.CatchUpReadsPerSecond), now}, reconnect: bucket{s.ReconnectsPerSecond, max(1, s.ReconnectsPerSecond), now}}
}

// CatchUp says whether one that is behind the ring may be read for now; if not, when it may come again.
func (p *Limiter) CatchUp(now clock.Nanos, subscriber string) (wait clock.Nanos, ok bool) {
	if p.catchUp.take(now) {
		return 0, true
	}
	return clock.Nanos(float64(p.settings.PollInterval) * (1 + fraction(subscriber))), false
}

// Reconnect says whether one that comes back, or is new, is taken now; if not, when its turn is: after those that were told before
// it, moved by its hash, so that several routers that were told of the same death do not see it all at once.
func (p *Limiter) Reconnect(now clock.Nanos, subscriber string) (wait clock.Nanos, ok bool) {
	if now > p.at {
		p.pendingReconnects = max(0, p.pendingReconnects-p.settings.ReconnectsPerSecond*float64(now-p.at)/1e9)
		p.at = now
	}
	if p.reconnect.take(now) {
		return 0, true
	}
	p.pendingReconnects = min(p.pendingReconnects+1, p.settings.ReconnectsPerSecond*float64(p.settings.MaxRetryAfter)/1e9)
	turn := p.pendingReconnects / p.settings.ReconnectsPerSecond * (0.75 + 0.5*fraction(subscriber))
	return min(p.settings.MaxRetryAfter, clock.Nanos(turn*1e9)+clock.Nanos(1e8*fraction(subscriber))), false
}

// fraction is a subscriber's place between 0 and 1, the same at all routers.
func fraction(subscriber string) float64 {
	h := fnv.New64a()
	h.Write([]byte(subscriber))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / math.Exp2(53)
}
