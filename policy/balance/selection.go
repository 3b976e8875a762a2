package balance

import (
	"cmp"
	"math"

	"lotushook/policy/choose"
	"lotushook/policy/clock"
)

const (
	delayShare  = 0.125 // of its latency objective a read waits for a position that covers it
	searchShare = 0.25  // of the shortest latency objective: pause between searches after the first round
	canaryWorks = 3     // usual times of an answer that a canary request must have left, so that a retry fits
)

// candidate is the choice so far among endpoints offered one by one.
type candidate struct {
	endpoint  *endpoint
	pending   float64
	chances   float64 // of all that tie
	connected bool
}

// selectEndpoint chooses the endpoint for a queued request, or nil to delay it further.
func (b *Balancer) selectEndpoint(g *group, r *request) *endpoint {
	consistency := b.classOf(r).Consistency
	if consistency == Write {
		return b.selectForWrite(g, r)
	}
	if ep := b.selectForCanary(g, r); ep != nil {
		return ep
	}
	primary := b.withinLimits(g.primary, r)
	switch {
	case consistency == FreshRead:
		return primary
	case consistency == AnyReplica && b.classes.BlocksReplication(r.class):
		return cmp.Or(b.selectForBlocking(g, r, primary), b.selectReplica(g, r))
	}
	return b.selectReplica(g, r)
}

func (b *Balancer) selectForWrite(g *group, r *request) *endpoint {
	p := g.primary
	unknown := p == nil || p.health.Ejected() || p.health.Failing() || b.inZoneOutage(p)
	if !b.usable(p) && unknown {
		return b.searchPrimary(g, r)
	}
	return b.withinLimits(p, r)
}

// selectForBlocking places a read that keeps a replica from applying its log. Departure: the primary, which
// applies nothing, takes it within its limits; else the replica of least use does, the one furthest behind.
func (b *Balancer) selectForBlocking(g *group, r *request, primary *endpoint) *endpoint {
	if primary != nil && !r.failedOn(primary) {
		return primary
	}
	free := func(ep *endpoint) bool { return ep != g.primary && !r.failedOn(ep) && b.withinLimits(ep, r) != nil }
	return choose.Best(g.members, free, func(x, y *endpoint) bool { return x.position < y.position })
}

// selectReplica is the mechanism: least pending requests first among the replicas whose position covers the
// read; else the read is delayed, then diverted.
func (b *Balancer) selectReplica(g *group, r *request) *endpoint {
	var covering, ahead candidate
	var advanced *endpoint // the most advanced usable replica
	for _, ep := range g.members {
		if ep == g.primary || !b.usable(ep) || r.failedOn(ep) {
			continue
		}
		if advanced == nil || ep.position > advanced.position {
			advanced = ep
		}
		switch {
		case b.withinLimits(ep, r) == nil:
		case b.covers(r, ep.position):
			b.offer(&covering, ep)
		case b.covers(r, ep.position+b.now-ep.positionAt):
			b.offer(&ahead, ep)
		}
	}
	primary := b.withinLimits(g.primary, r)
	if primary != nil && r.failedOn(primary) {
		primary = nil
	}
	if covering.endpoint != nil {
		// Departure: with many routers a busy replica is full though this router has nothing in flight there.
		// Where its answers say so, the primary takes part in the draw.
		if primary != nil && covering.endpoint.health.Overloaded() {
			b.offer(&covering, primary)
		}
		return covering.endpoint
	}
	return b.selectUncovered(g, r, primary, advanced, ahead.endpoint)
}

// selectUncovered places a read that no known position covers: at a replica that checks it itself, later, or
// at the primary. ahead has probably moved on far enough; each endpoint may be nil.
func (b *Balancer) selectUncovered(g *group, r *request, primary, advanced, ahead *endpoint) *endpoint {
	checked := b.settings.LagHandling != LagUnchecked
	// Departure: where endpoints check, a replica that has probably moved on far enough since it reported its
	// position, and failing that the most advanced one, is tried before the read is diverted.
	if checked && !r.foundIneligible {
		if ep := cmp.Or(ahead, b.withinLimits(advanced, r)); ep != nil {
			return ep
		}
	}
	// A router among many hears a replica too seldom to know its position: where no attempt tells, it probes.
	if b.now >= g.nextProbeAt && b.settings.ProbesReportPosition && !checked {
		b.probe(cmp.Or(ahead, advanced))
	}
	delay := clock.Nanos(delayShare * float64(b.classOf(r).LatencyObjective))
	if b.now-r.queuedAt < delay && advanced != nil && !r.foundIneligible {
		return nil
	}
	if primary == nil && advanced == nil {
		return b.lastResort(g, r)
	}
	return primary
}

// lastResort keeps ejections from emptying a group: with no endpoint left, the one that answered last.
func (b *Balancer) lastResort(g *group, r *request) *endpoint {
	eligible := func(ep *endpoint) bool {
		return ep.health.Ejected() && len(ep.attempts) < 2 && !r.failedOn(ep) && b.mayTakeCanary(ep, r)
	}
	return choose.Best(g.members, eligible, func(x, y *endpoint) bool { return x.answeredAt > y.answeredAt })
}

// selectForCanary lets one idempotent read at a time, which has time for a retry, find out whether an ejected
// endpoint is back.
func (b *Balancer) selectForCanary(g *group, r *request) *endpoint {
	timely := b.now+canaryWorks*clock.Nanos(b.classes.Work(r.class)) < b.lastStart(r)
	if b.classOf(r).Idempotency != Idempotent || len(r.attempts) > 0 || !timely {
		return nil
	}
	due := func(ep *endpoint) bool { return ep.health.CanaryDue(b.now) && b.mayTakeCanary(ep, r) }
	earlier := func(x, y *endpoint) bool { return x.health.CanaryAt() < y.health.CanaryAt() }
	return choose.Best(g.members, due, earlier)
}

// mayTakeCanary says whether an ejected endpoint may be sent a read at all.
func (b *Balancer) mayTakeCanary(ep *endpoint, r *request) bool {
	checksItself := b.classOf(r).Consistency != FreshRead && b.settings.LagHandling != LagUnchecked
	fresh := ep == ep.group.primary || checksItself || b.covers(r, ep.position)
	ready := ep.state == Ready && !ep.health.Paused(b.now)
	return fresh && ready && b.withinSlowStart(ep, r) && !b.inZoneOutage(ep)
}

// searchPrimary sends one write at a time while no primary is known: who is none rejects it unrun. Departure:
// after one round in id order the members are asked again, paced, least lately asked and most advanced first.
func (b *Balancer) searchPrimary(g *group, r *request) *endpoint {
	searching := g.search != nil && !g.search.ended && !g.search.endpoint.health.Ejected()
	if searching || b.now < g.nextSearchAt || len(r.attempts) >= max(1, b.settings.MaxAttempts-1) {
		return nil
	}
	free := func(ep *endpoint) bool { return ep != g.primary && b.withinLimits(ep, r) != nil }
	ep := choose.Best(g.members, free, func(x, y *endpoint) bool {
		again := x.searchedAt == y.searchedAt && x.searchedAt > 0
		return x.searchedAt < y.searchedAt || (again && x.position > y.position)
	})
	if ep == nil {
		return nil
	}
	if ep.searchedAt > 0 {
		g.nextSearchAt = b.now + clock.Nanos(searchShare*float64(b.minObjective))
	}
	ep.searchedAt = b.now
	return ep
}

// covers says whether a log position is enough for a read.
func (b *Balancer) covers(r *request, position LogPosition) bool {
	class := b.classOf(r)
	switch class.Consistency {
	case AnyReplica:
		return true
	case ReadYourWrites:
		return position >= r.mustSee
	case BoundedStaleness:
		return position >= b.now-class.StalenessBound
	}
	return false
}

// offer is least pending requests first, for an endpoint's present size. With many routers ties decide: a
// seeded draw, with chances that fall with the square of answer times and errors. Departure: where a new
// connection has a cost, ties go to healthy endpoints that have an idle one.
func (b *Balancer) offer(best *candidate, ep *endpoint) {
	warmth := b.warmth(ep)
	pending := float64(len(ep.attempts)) / (ep.weight * warmth)
	chance := warmth * math.Pow((1-ep.health.Errors())/ep.health.Load(), 2)
	connected := b.settings.HandshakeCost == 0 || b.now < ep.connectedUntil && ep.health.Healthy()
	tie := best.endpoint != nil && pending == best.pending
	switch {
	case best.endpoint == nil, pending < best.pending, tie && connected && !best.connected:
		*best = candidate{endpoint: ep, pending: pending, connected: connected}
	case pending > best.pending, best.connected && !connected:
		return
	}
	best.chances += chance
	if b.random.Draw()*best.chances < chance {
		best.endpoint = ep
	}
}
