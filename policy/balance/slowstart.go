package balance

import "lotushook/policy/slowstart"

// warmth is the least share of its capacity that an endpoint surely has by now.
func (b *Balancer) warmth(ep *endpoint) float64 { return b.slowStart.Warmth(b.now, ep.startedAt) }

// withinSlowStart says whether an endpoint that warms up has budget left for a request.
func (b *Balancer) withinSlowStart(ep *endpoint, r *request) bool {
	target := slowstart.Endpoint{ID: uint32(ep.id), Weight: ep.weight, StartedAt: ep.startedAt,
		IsPrimary: ep == ep.group.primary, Window: &ep.warmUp, Demand: &ep.group.demand}
	return b.slowStart.Allows(b.now, target, slowstart.Request{Kind: b.classOf(r).demand(),
		Work: b.classes.Work(r.class), MaxWork: b.classes.MaxWork(), RecentWork: r.recentWork, Draw: &r.draw})
}

// learnDemand hands the groups' demands on. Ejected endpoints count for the size, as the few others would be
// no measure while all fail by turns.
func (b *Balancer) learnDemand() {
	var demands []*slowstart.Demand
	size := 0.0
	for _, g := range b.groups.order {
		demands = append(demands, &g.demand)
		for _, ep := range g.members {
			if ep.state == Ready {
				size += ep.weight * b.warmth(ep)
			}
		}
	}
	b.slowStart.Learn(b.now, demands, size)
}
