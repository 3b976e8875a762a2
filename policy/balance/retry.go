package balance

import (
	"slices"

	"lotushook/policy/clock"
)

const (
	transitShare     = 0.125 // share of an idempotency window reserved for a retry's transit to the endpoint
	minLostShare     = 0.003 // recent share of lost attempts from which on a slow attempt counts as lost
	slowFactor       = 5.0   // typical response times after which an attempt is slow
	minSlowObjective = 0.5   // min time after which an attempt is slow, as a share of its latency objective
)

type attempt struct {
	request  *request
	endpoint *endpoint
	number   int // index among the request's attempts
	sentAt   clock.Nanos
	ended    bool
	mayRun   bool // the request ran in this attempt, or may have run
}

func (lb *Balancer) send(req *request, ep *endpoint) {
	sent := &attempt{request: req, endpoint: ep, number: len(req.attempts), sentAt: lb.now, mayRun: true}
	if ep.health.Ejected() {
		ep.health.CanarySent(lb.now)
	}
	if lb.classOf(req).Consistency == Write && ep != ep.group.primary {
		ep.group.search = sent
	}
	ep.attempts = append(ep.attempts, sent)
	req.attempts = append(req.attempts, sent)
	req.inFlight++
	ep.warmUp.Sent(lb.classes.Work(req.class))
	req.draw = 0 // the next attempt needs a new draw
	lb.emit(Action{Kind: SendAttempt, Request: req.id, Endpoint: ep.id, AtPrimary: ep == ep.group.primary,
		AttemptDeadline: lb.attemptDeadline(req, ep), Reason: lb.sendReason(req, ep),
		ConnectDeadline: lb.connectDeadline(req), FreshnessDeadline: lb.freshnessDeadline(req, ep)})
}

func (lb *Balancer) attemptEnded(event *Event) {
	req := lb.requests.byID[event.Request]
	if req == nil || event.Attempt < 0 || event.Attempt >= len(req.attempts) ||
		req.attempts[event.Attempt].ended {
		return
	}
	finished := req.attempts[event.Attempt]
	ep := finished.endpoint
	finished.ended, ep.group.placementDue = true, true
	req.inFlight--
	ep.attempts = slices.DeleteFunc(ep.attempts, func(other *attempt) bool { return other == finished })
	lb.recordOutcome(finished, event)
	finished.mayRun = event.Outcome.mayRun()
	req.foundIneligible = req.foundIneligible || event.Outcome == NotEligible
	req.reachedEndpoint = req.reachedEndpoint || (event.Outcome != ConnectionRefused && event.Outcome != NotSent)
	lb.recordCommit(req, event) // even if the request has ended: later session reads must see the commit
	switch {
	case req.ended:
		lb.requests.remove(req)
	case event.Final || event.Outcome == Succeeded:
		lb.endRequest(req)
	case event.Outcome != NotSent && lb.mayRetryAfter(finished):
		lb.enqueue(req)
	default:
		lb.endUnserved(req, lb.noRetryReason(req))
	}
}

// mayRetryAfter reports whether a request may be retried now, after an attempt that failed.
func (lb *Balancer) mayRetryAfter(failed *attempt) bool {
	req := failed.request
	return lb.mayRetry(req, nil) && lb.now < lb.startDeadline(req) &&
		(!failed.mayRun || !lb.groupOverloaded(req.group))
}

// mayRetry reports whether a request may be attempted again: at ep or, if that is nil, at any endpoint.
func (lb *Balancer) mayRetry(req *request, ep *endpoint) bool {
	class := lb.classOf(req)
	if len(req.attempts) >= lb.settings.MaxAttempts {
		return false
	}
	if class.Idempotency == Idempotent {
		return true
	}
	window := clock.Nanos(float64(class.IdempotencyWindow) * (1 - transitShare))
	for _, attempt := range req.attempts {
		late := lb.now-attempt.sentAt > window
		outOfScope := class.KeyScope == ScopeZone && ep != nil && ep.zone != attempt.endpoint.zone
		if attempt.mayRun && (class.Idempotency == NotIdempotent || late || outOfScope) {
			return false
		}
	}
	return true
}

// attemptDeadline returns when to abort an attempt. Departure: if attempts were lately lost at endpoints that
// answered others, a slow one counts as lost too. A canary request leaves time for an attempt elsewhere.
func (lb *Balancer) attemptDeadline(req *request, ep *endpoint) clock.Nanos {
	otherUsable := func(other *endpoint) bool { return other != ep && lb.usable(other) }
	canary := ep.health.Ejected() && slices.ContainsFunc(ep.group.endpoints, otherUsable)
	likelyLost := lb.lostShare >= minLostShare && !ep.health.Overloaded()
	repeatable := lb.classOf(req).Idempotency != NotIdempotent && lb.mayRetry(req, ep)
	if !repeatable || !canary && !likelyLost {
		return req.deadline
	}
	work, patience := lb.classes.Work(req.class), lb.classes.Patience(req.class)
	slow := max(clock.Nanos(slowFactor*work), clock.Nanos(minSlowObjective*patience))
	deadline := min(req.deadline, lb.now+slow)
	if !canary {
		return deadline
	}
	return max(lb.now, min(deadline, lb.startDeadline(req)-clock.Nanos(work)))
}

// connectDeadline returns when to abort connecting. Half of the time to start is left for other endpoints.
func (lb *Balancer) connectDeadline(req *request) clock.Nanos {
	return lb.now + max((lb.startDeadline(req)-lb.now)/2, clock.Nanos(lb.classes.Work(req.class)))
}

// freshnessDeadline returns when ep's position gets too old for a read that ep does not check; 0: never.
func (lb *Balancer) freshnessDeadline(req *request, ep *endpoint) clock.Nanos {
	class, checked := lb.classOf(req), ep == ep.group.primary || lb.settings.LagHandling != LagUnchecked
	if class.Consistency == BoundedStaleness && !checked {
		return ep.position + class.StalenessBound
	}
	return 0
}

// avoids reports whether a retry should avoid an endpoint because an earlier attempt there failed.
func (req *request) avoids(ep *endpoint) bool {
	failed := func(a *attempt) bool { return a.endpoint == ep && (a.mayRun || ep.positionAt < a.sentAt) }
	return slices.ContainsFunc(req.attempts, failed)
}
