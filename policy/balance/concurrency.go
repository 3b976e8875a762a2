package balance

const (
	initialLimit  = 12.0 // attempts in flight per endpoint over all routers, before any answer
	minLimit      = 1.0  // min limit; below it, a slow endpoint could not show that it has recovered
	overloadShare = 0.35 // mean response time, as a share of the latency objective, above which a limit shrinks
	limitStep     = 0.2  // change of a limit per answer, so that it changes by about a fifth per round trip
	maxLoad       = 2.0  // max load that one answer counts as, in latency objectives
	priorAnswers  = 3.0  // number of assumed answers at initialLoad in a group's mean of recent answers
	priorLoad     = priorAnswers * initialLoad
)

// recordLoad updates an endpoint's load and limit by an attempt's time, as a share of the latency objective.
func (lb *Balancer) recordLoad(ep *endpoint, share float64) {
	share = min(share, maxLoad)
	ep.health.AddLoad(share)
	ep.group.load.Add(lb.now, lb.maxDeadline, share)
	if ep.health.Overloaded() {
		ep.limit = max(lb.minLimitOf(ep), ep.limit-limitStep)
	} else if float64(len(ep.attempts)+1) >= ep.limit-1 {
		ep.limit += min(1/ep.limit, limitStep*ep.limit)
	}
}

// minLimitOf returns this router's share of the endpoint's cores. A lower limit would leave cores idle.
func (lb *Balancer) minLimitOf(ep *endpoint) float64 {
	return max(minLimit, ep.weight/lb.slowStart.RouterCount())
}

// allowed returns the endpoint if it is usable and its limits permit one more attempt, else nil.
func (lb *Balancer) allowed(ep *endpoint, req *request) *endpoint {
	if !lb.usable(ep) || float64(len(ep.attempts))+1 > ep.limit || !lb.withinSlowStart(ep, req) {
		return nil
	}
	return ep
}

// groupOverloaded draws whether one more request exceeds what a group answers within overloadShare of the
// latency objectives. As one of many routers sees few answers, priorAnswers are averaged with them.
func (lb *Balancer) groupOverloaded(group *group) bool {
	return group.load.Value(lb.now, lb.maxDeadline, priorLoad, priorAnswers)*lb.random.Draw() > overloadShare
}
