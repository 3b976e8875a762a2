package balance

const (
	initialLimit  = 12.0 // attempts in flight per endpoint, over all routers, before answers have taught better
	minLimit      = 1.0  // a limit never falls below, or a slow endpoint could not show that it recovered
	overloadShare = 0.35 // of their latency objective answers may take on average before a limit shrinks
	limitStep     = 0.2  // of one attempt, per answer: a limit moves by about a fifth a round trip
	maxLoad       = 2.0  // one answer counts as at most so many latency objectives
	calmAnswers   = 3.0  // answers of a calm group that count beside those lately received
	calmLoad      = calmAnswers * initialLoad
)

// observeLoad moves the endpoint's load by one attempt's share of its objective, and its limit with it.
func (b *Balancer) observeLoad(ep *endpoint, share float64) {
	share = min(share, maxLoad)
	ep.health.AddLoad(share)
	ep.group.answers.Add(b.now, b.maxDeadline, share)
	if ep.health.Overloaded() {
		ep.limit = max(b.minLimitOf(ep), ep.limit-limitStep)
	} else if float64(len(ep.attempts)+1) >= ep.limit-1 {
		ep.limit += min(1/ep.limit, limitStep*ep.limit)
	}
}

// minLimitOf is this router's part of the endpoint's cores, which work side by side however slow.
func (b *Balancer) minLimitOf(ep *endpoint) float64 {
	return max(minLimit, ep.weight/b.slowStart.RouterCount())
}

// withinLimits returns the endpoint if it may take one more attempt, else nil.
func (b *Balancer) withinLimits(ep *endpoint, r *request) *endpoint {
	if !b.usable(ep) || float64(len(ep.attempts))+1 > ep.limit || !b.withinSlowStart(ep, r) {
		return nil
	}
	return ep
}

// groupOverloaded draws whether one more request is beyond what a group answers within overloadShare of the
// objectives. One of many routers hears few answers: calmAnswers stand beside them.
func (b *Balancer) groupOverloaded(g *group) bool {
	return g.answers.Value(b.now, b.maxDeadline, calmLoad, calmAnswers)*b.random.Draw() > overloadShare
}
