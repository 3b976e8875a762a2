package cursor

import (
	"hash/fnv"
	"math"

	"lotushook/policy/clock"
)

// Limiter limits a router's reads for subscribers that catch up, and spreads reconnects over time. It is not safe for
// concurrent use.
type Limiter struct {
	settings          *Settings
	catchUp           bucket
	reconnect         bucket
	pendingReconnects float64 // of those that got a Retry-After time; it falls as they are due
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

// NewLimiter starts with one second's tokens.
func NewLimiter(s *Settings, now clock.Nanos) *Limiter {
	return &Limiter{settings: s, at: now, catchUp: bucket{s.CatchUpReadsPerSecond, max(1, s.CatchUpReadsPerSecond), now}, reconnect: bucket{s.ReconnectsPerSecond, max(1, s.ReconnectsPerSecond), now}}
}

// CatchUp says whether a subscriber behind the ring may be read for now; if not, when it may return.
func (p *Limiter) CatchUp(now clock.Nanos, subscriber string) (wait clock.Nanos, ok bool) {
	if p.catchUp.take(now) {
		return 0, true
	}
	return clock.Nanos(float64(p.settings.PollInterval) * (1 + fraction(subscriber))), false
}

// Reconnect says whether a subscriber that reconnects, or is new, is accepted now; if not, when it is due: after those that were delayed before
// it, moved by its hash, so that several routers that learned of the same failure do not accept it all at once.
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
