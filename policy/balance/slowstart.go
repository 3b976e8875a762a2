package balance

import "lotushook/policy/slowstart"

// warmth returns a lower bound for an endpoint's present capacity, as a share of its full capacity.
func (lb *Balancer) warmth(ep *endpoint) float64 { return lb.slowStart.Warmth(lb.now, ep.startedAt) }

// withinSlowStart reports whether an endpoint that is warming up has budget left for a request.
func (lb *Balancer) withinSlowStart(ep *endpoint, req *request) bool {
	target := slowstart.Endpoint{ID: uint32(ep.id), Weight: ep.weight, StartedAt: ep.startedAt,
		IsPrimary: ep == ep.group.primary, Window: &ep.warmUp, Demand: &ep.group.demand}
	return lb.slowStart.Allows(lb.now, target, slowstart.Request{Kind: lb.classOf(req).kind(),
		Work: lb.classes.Work(req.class), MaxWork: lb.classes.MaxWork(), RecentWork: req.workload, Draw: &req.draw})
}

// learnDemand reports the groups' demands. The total size includes ejected endpoints: if all fail in turn, a
// division by the few others would make the work per endpoint look too large.
func (lb *Balancer) learnDemand() {
	var demands []*slowstart.Demand
	size := 0.0
	for _, group := range lb.groups.order {
		demands = append(demands, &group.demand)
		for _, ep := range group.endpoints {
			if ep.state == Ready {
				size += ep.weight * lb.warmth(ep)
			}
		}
	}
	lb.slowStart.Learn(lb.now, demands, size)
}
