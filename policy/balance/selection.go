package balance

import (
	"cmp"
	"math"

	"lotushook/policy/choose"
	"lotushook/policy/clock"
)

const (
	delayShare   = 0.125 // share of its latency objective for which a read waits until a position covers it
	searchShare  = 0.25  // pause in a primary search after its first round, in shortest latency objectives
	canaryFactor = 3     // min time for a canary request, in typical response times, so that a retry fits
)

// candidate is the best endpoint of those that were considered so far.
type candidate struct {
	endpoint    *endpoint
	pending     float64
	totalChance float64 // sum of the chances of the endpoints that tie
	connected   bool
}

// selectEndpoint chooses the endpoint for a queued request; nil: the request stays queued.
func (lb *Balancer) selectEndpoint(group *group, req *request) *endpoint {
	consistency := lb.classOf(req).Consistency
	if consistency == Write {
		return lb.selectForWrite(group, req)
	}
	if ep := lb.selectForCanary(group, req); ep != nil {
		return ep
	}
	primary := lb.allowed(group.primary, req)
	switch {
	case consistency == FreshRead:
		return primary
	case consistency == AnyReplica && lb.classes.BlocksReplication(req.class):
		return cmp.Or(lb.selectForBlocking(group, req, primary), lb.selectReplica(group, req))
	}
	return lb.selectReplica(group, req)
}

func (lb *Balancer) selectForWrite(group *group, req *request) *endpoint {
	primary := group.primary
	unknown := primary == nil || primary.health.Ejected() || primary.health.Failing() || lb.inZoneOutage(primary)
	if !lb.usable(primary) && unknown {
		return lb.searchPrimary(group, req)
	}
	return lb.allowed(primary, req)
}

// selectForBlocking places a read that keeps a replica from applying its log. Departure: the read goes to the
// primary, which applies no log, if that is within limits; otherwise to the replica with the oldest position.
func (lb *Balancer) selectForBlocking(group *group, req *request, primary *endpoint) *endpoint {
	if primary != nil && !req.avoids(primary) {
		return primary
	}
	usable := func(x *endpoint) bool { return x != group.primary && !req.avoids(x) && lb.allowed(x, req) != nil }
	return choose.Best(group.endpoints, usable, func(x, y *endpoint) bool { return x.position < y.position })
}

// selectReplica chooses the replica with the fewest pending requests among those whose position covers the
// read. If there is none, the read is delayed and then sent to the primary.
func (lb *Balancer) selectReplica(group *group, req *request) *endpoint {
	var covering, probable candidate // whose known position covers the read; whose position probably does by now
	var advanced *endpoint           // usable replica with the highest position
	for _, ep := range group.endpoints {
		if ep == group.primary || !lb.usable(ep) || req.avoids(ep) {
			continue
		}
		if advanced == nil || ep.position > advanced.position {
			advanced = ep
		}
		switch {
		case lb.allowed(ep, req) == nil:
		case lb.covers(req, ep.position):
			lb.consider(&covering, ep)
		case lb.covers(req, ep.position+lb.now-ep.positionAt):
			lb.consider(&probable, ep)
		}
	}
	primary := lb.allowed(group.primary, req)
	if primary != nil && req.avoids(primary) {
		primary = nil
	}
	if covering.endpoint != nil {
		// Departure: with many routers a replica can be overloaded while this router has nothing in flight there.
		// If the replica's response times show an overload, the primary is considered too.
		if primary != nil && covering.endpoint.health.Overloaded() {
			lb.consider(&covering, primary)
		}
		return covering.endpoint
	}
	return lb.divertRead(group, req, primary, advanced, probable.endpoint)
}

// divertRead places a read that no known position covers; probable's position may. Each endpoint may be nil.
func (lb *Balancer) divertRead(group *group, req *request, primary, advanced, probable *endpoint) *endpoint {
	checked := lb.settings.LagHandling != LagUnchecked
	// Departure: if endpoints check their positions, a replica that has probably caught up since its report, or
	// else the most advanced one, is tried before the primary.
	if checked && !req.foundIneligible {
		if ep := cmp.Or(probable, lb.allowed(advanced, req)); ep != nil {
			return ep
		}
	}
	// With many routers, each gets too few answers to know the replicas' positions. Probes report them, too.
	if lb.now >= group.nextProbeAt && lb.settings.ProbesReportPosition && !checked {
		lb.probe(cmp.Or(probable, advanced))
	}
	delay := clock.Nanos(delayShare * float64(lb.classOf(req).LatencyObjective))
	if lb.now-req.queuedAt < delay && advanced != nil && !req.foundIneligible {
		return nil
	}
	if primary == nil && advanced == nil {
		return lb.selectEjected(group, req)
	}
	return primary
}

// selectEjected chooses, if all usable endpoints are ejected, the ejected endpoint that answered last.
func (lb *Balancer) selectEjected(group *group, req *request) *endpoint {
	usable := func(ep *endpoint) bool {
		return ep.health.Ejected() && len(ep.attempts) < 2 && !req.avoids(ep) && lb.mayTakeCanary(ep, req)
	}
	return choose.Best(group.endpoints, usable, func(x, y *endpoint) bool { return x.answeredAt > y.answeredAt })
}

// selectForCanary returns an ejected endpoint that is due for a canary request, if the request fits as one.
func (lb *Balancer) selectForCanary(group *group, req *request) *endpoint {
	timely := lb.now+canaryFactor*clock.Nanos(lb.classes.Work(req.class)) < lb.startDeadline(req)
	if lb.classOf(req).Idempotency != Idempotent || len(req.attempts) > 0 || !timely {
		return nil
	}
	due := func(ep *endpoint) bool { return ep.health.CanaryDue(lb.now) && lb.mayTakeCanary(ep, req) }
	earlier := func(x, y *endpoint) bool { return x.health.CanaryAt() < y.health.CanaryAt() }
	return choose.Best(group.endpoints, due, earlier)
}

// mayTakeCanary reports whether an ejected endpoint may be sent a read at all.
func (lb *Balancer) mayTakeCanary(ep *endpoint, req *request) bool {
	checked := lb.classOf(req).Consistency != FreshRead && lb.settings.LagHandling != LagUnchecked
	fresh := ep == ep.group.primary || checked || lb.covers(req, ep.position)
	ready := ep.state == Ready && !ep.health.Paused(lb.now)
	return fresh && ready && lb.withinSlowStart(ep, req) && !lb.inZoneOutage(ep)
}

// searchPrimary sends one write at a time while no primary is known: replicas reject it without running it.
// Departure: after a round by id it pauses between tries, of the least recently tried or most advanced first.
func (lb *Balancer) searchPrimary(group *group, req *request) *endpoint {
	searching := group.search != nil && !group.search.ended && !group.search.endpoint.health.Ejected()
	if searching || lb.now < group.nextSearchAt || len(req.attempts) >= max(1, lb.settings.MaxAttempts-1) {
		return nil
	}
	eligible := func(ep *endpoint) bool { return ep != group.primary && lb.allowed(ep, req) != nil }
	ep := choose.Best(group.endpoints, eligible, func(x, y *endpoint) bool {
		again := x.searchedAt == y.searchedAt && x.searchedAt > 0
		return x.searchedAt < y.searchedAt || (again && x.position > y.position)
	})
	if ep == nil {
		return nil
	}
	if ep.searchedAt > 0 {
		group.nextSearchAt = lb.now + clock.Nanos(searchShare*float64(lb.minObjective))
	}
	ep.searchedAt = lb.now
	return ep
}

// covers reports whether a log position is fresh enough for a read.
func (lb *Balancer) covers(req *request, position LogPosition) bool {
	class := lb.classOf(req)
	switch class.Consistency {
	case AnyReplica:
		return true
	case ReadYourWrites:
		return position >= req.requiredPosition
	case BoundedStaleness:
		return position >= lb.now-class.StalenessBound
	}
	return false
}

// consider keeps the candidate with the fewest pending requests per current capacity. With many routers
// most endpoints tie: a seeded draw decides, with chances proportional to warmth * ((1-errors)/load)^2.
// Departure: if new connections have a cost, healthy endpoints with an idle connection win ties.
func (lb *Balancer) consider(best *candidate, ep *endpoint) {
	warmth := lb.warmth(ep)
	pending := float64(len(ep.attempts)) / (ep.weight * warmth)
	chance := warmth * math.Pow((1-ep.health.Errors())/ep.health.Load(), 2)
	connected := lb.settings.HandshakeCost == 0 || lb.now < ep.connectedUntil && ep.health.Healthy()
	tie := best.endpoint != nil && pending == best.pending
	switch {
	case best.endpoint == nil, pending < best.pending, tie && connected && !best.connected:
		*best = candidate{endpoint: ep, pending: pending, connected: connected}
	case pending > best.pending, best.connected && !connected:
		return
	}
	best.totalChance += chance
	if lb.random.Draw()*best.totalChance < chance {
		best.endpoint = ep
	}
}
