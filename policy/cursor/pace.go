package cursor

import (
	"hash/fnv"
	"math"
)

// Pace spends what a router may ask for those that are far behind, and takes those that come back by turns. It belongs to who
// holds its lock.
type Pace struct {
	set  *Settings
	far  bucket
	back bucket
	debt float64 // of those that were told when to return; it falls as their turns come
	at   Nanos
}

type bucket struct {
	rate, left float64
	at         Nanos
}

func (b *bucket) take(now Nanos) bool {
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

// NewPace starts with what one second brings.
func NewPace(s *Settings, now Nanos) *Pace {
	return &Pace{set: s, at: now, far: bucket{s.CatchUp, max(1, s.CatchUp), now}, back: bucket{s.Return, max(1, s.Return), now}}
}

// Far says whether one that is behind the ring may be read for now; if not, when it may come again.
func (p *Pace) Far(now Nanos, subscriber string) (wait Nanos, ok bool) {
	if p.far.take(now) {
		return 0, true
	}
	return Nanos(float64(p.set.Again) * (1 + fraction(subscriber))), false
}

// Return says whether one that comes back, or is new, is taken now; if not, when its turn is: after those that were told before
// it, moved by its hash, so that several routers that were told of the same death do not see it all at once.
func (p *Pace) Return(now Nanos, subscriber string) (wait Nanos, ok bool) {
	if now > p.at {
		p.debt = max(0, p.debt-p.set.Return*float64(now-p.at)/1e9)
		p.at = now
	}
	if p.back.take(now) {
		return 0, true
	}
	p.debt = min(p.debt+1, p.set.Return*float64(p.set.Spread)/1e9)
	turn := p.debt / p.set.Return * (0.75 + 0.5*fraction(subscriber))
	return min(p.set.Spread, Nanos(turn*1e9)+Nanos(1e8*fraction(subscriber))), false
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
