package admission

import "lotushook/policy/clock"

// makeRoom evicts one connection for another. For a member whose reserve is lent
// any that is not waiting for an answer is evicted, and by the rule of Request there is
// one. For others only those are evicted that have been idle or silent for long.
func (g *Controller) makeRoom(member int, now clock.Nanos) bool {
	common := &g.queues[0]
	longest := func(q *queue, age clock.Nanos) *connection {
		if h := q.first; h != nil && now-h.since >= age {
			return h
		}
		return nil
	}
	v := longest(&common[silent], g.evictableSilence())
	if v == nil {
		v = longest(&common[idle], g.settings.EvictableIdle)
	}
	if v == nil && (member >= 0 || g.reservesLent() && g.namedReserveHasRoom()) { // it may be a member: its startup message will show
		for _, s := range []state{silent, idle, started} {
			if v = common[s].first; v != nil {
				break
			}
		}
	}
	if v == nil && member >= 0 {
		v = longest(&g.queues[member+1][silent], g.evictableSilence())
	}
	if v == nil {
		return false
	}
	g.evict(v, Displaced)
	return true
}

// evictableSilence is how long a connection may be silent before it may be evicted for another.
func (g *Controller) evictableSilence() clock.Nanos {
	if g.underPressure {
		return g.settings.EvictableSilence / 4
	}
	return g.settings.EvictableSilence
}

// reservesLent says whether common connections use reserved capacity.
func (g *Controller) reservesLent() bool { return g.commonCount() > g.settings.Connections-g.reserved }

// commonCount is how many connections are in no reserve.
func (g *Controller) commonCount() int {
	n := g.total
	for _, m := range g.reserveMembers {
		n -= m
	}
	return n
}

// namedReserveHasRoom says whether a reserve that is identified by names has capacity left.
func (g *Controller) namedReserveHasRoom() bool {
	for i, r := range g.settings.Reserves {
		if len(r.Users)+len(r.Databases)+len(r.Applications) > 0 && g.reserveMembers[i] < r.Connections {
			return true
		}
	}
	return false
}

// Sweep takes the share of memory in use, and returns the evictions that are
// due: under pressure silent connections, and after a cap was
// lowered idle ones over it. It should be called a few times a second.
func (g *Controller) Sweep(now clock.Nanos, memory float64) []Eviction {
	g.evictions = g.evictions[:0]
	g.memory = memory
	g.updatePressure(now)
	if g.underPressure {
		for h := g.queues[0][silent].first; h != nil && now-h.since >= g.evictableSilence(); {
			next := h.next
			if now-h.since >= g.settings.SilenceTimeout || g.overCap(h) {
				g.evict(h, Silent)
			}
			h = next
		}
	}
	if g.overCaps {
		g.overCaps = g.evictOverCaps(now)
	}
	return g.evictions
}

// overCap says whether a silent connection exceeds the effective cap of its address or
// prefix.
func (g *Controller) overCap(h *connection) bool {
	a, p := g.effectiveCap(g.settings.PerAddress, false), g.effectiveCap(g.settings.PerPrefix, false)
	return a > 0 && h.address.connections > a || p > 0 && h.prefix.connections > p
}

// evictOverCaps evicts idle connections over the caps and says whether any are over.
func (g *Controller) evictOverCaps(now clock.Nanos) bool {
	over := func(h *connection) bool {
		return g.total > g.settings.Connections || g.settings.PerAddress > 0 && h.address.connections > g.settings.PerAddress ||
			g.settings.PerPrefix > 0 && h.prefix.connections > g.settings.PerPrefix
	}
	left := false
	for i := range g.queues {
		for s := silent; s <= busy; s++ {
			for h := g.queues[i][s].first; h != nil; {
				next := h.next
				if over(h) {
					if s == silent || s == idle && now-h.since >= g.settings.EvictableIdle {
						g.evict(h, OverCap)
					} else {
						left = true
					}
				}
				h = next
			}
		}
	}
	return left
}

// evict marks a connection as closing; it uses no capacity from now on.
func (g *Controller) evict(h *connection, r Reason) {
	g.counts[r]++
	g.evictions = append(g.evictions, Eviction{ID: h.id, Reason: r, RetryAfter: g.retryAfter(), Notify: h.state != idle})
	g.drop(h)
	h.state = closing
}

// EvictOne evicts one idle or silent connection when descriptors run out although the count allowed
// more, if there is one.
func (g *Controller) EvictOne(now clock.Nanos) []Eviction {
	g.evictions = g.evictions[:0]
	g.makeRoom(-1, now)
	return g.evictions
}
