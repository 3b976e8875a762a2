package balance

import (
	"slices"

	"lotushook/policy/clock"
)

const (
	tripShare     = 0.125 // of a key's idempotency window left for the trip of a retry
	minLostShare  = 0.003 // share of attempts lately lost, from which one that is slow is taken for lost
	lostWorks     = 5.0   // usual times of an answer after which an attempt is slow
	lostObjective = 0.5   // of its latency objective that a slow attempt is given at least
)

// attempt is one send of a request to an endpoint.
type attempt struct {
	request  *request
	endpoint *endpoint
	number   int // of the request's, from 0
	sentAt   clock.Nanos
	ended    bool
	mayRun   bool // it ran, or may have
}

func (b *Balancer) send(r *request, ep *endpoint) {
	a := &attempt{request: r, endpoint: ep, number: len(r.attempts), sentAt: b.now, mayRun: true}
	if ep.health.Ejected() {
		ep.health.CanarySent(b.now)
	}
	if b.classOf(r).Consistency == Write && ep != ep.group.primary {
		ep.group.search = a
	}
	ep.attempts = append(ep.attempts, a)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	ep.warmUp.Sent(b.classes.Work(r.class))
	r.draw = 0 // a retry has a chance of its own
	b.act(Action{Kind: SendAttempt, Request: r.id, Endpoint: ep.id, AttemptDeadline: b.attemptDeadline(r, ep),
		Reason: b.sendReason(r, ep), ConnectDeadline: b.connectDeadline(r), FreshUntil: b.freshUntil(r, ep)})
}

func (b *Balancer) attemptEnded(e *Event) {
	r := b.requests.byID[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	ep := a.endpoint
	a.ended, ep.group.changed = true, true
	r.inFlight--
	ep.attempts = slices.DeleteFunc(ep.attempts, func(x *attempt) bool { return x == a })
	b.observe(a, e)
	a.mayRun = e.Outcome.mayRun()
	r.foundIneligible = r.foundIneligible || e.Outcome == NotEligible
	r.reached = r.reached || (e.Outcome != ConnectionRefused && e.Outcome != NotSent)
	b.recordCommit(r, e) // also after the request's end: the session must see what its answer proves
	switch {
	case r.ended:
		b.requests.remove(r)
	case e.Final || e.Outcome == Succeeded:
		b.end(r)
	case e.Outcome != NotSent && b.mayRetryAfter(a):
		b.enqueue(r)
	default:
		b.giveUp(r, b.noRetryReason(r))
	}
}

// mayRetryAfter says whether a request goes on after an attempt that failed.
func (b *Balancer) mayRetryAfter(a *attempt) bool {
	r := a.request
	return b.mayRetry(r, nil) && b.now < b.lastStart(r) && (!a.mayRun || !b.groupOverloaded(r.group))
}

// mayRetry is the one rule on further attempts; with ep nil, at the group's endpoints at large.
func (b *Balancer) mayRetry(r *request, ep *endpoint) bool {
	class := b.classOf(r)
	if len(r.attempts) >= b.settings.MaxAttempts {
		return false
	}
	if class.Idempotency == Idempotent {
		return true
	}
	window := clock.Nanos(float64(class.IdempotencyWindow) * (1 - tripShare))
	for _, a := range r.attempts {
		late := b.now-a.sentAt > window
		elsewhere := class.KeyScope == ScopeZone && ep != nil && ep.zone != a.endpoint.zone
		if a.mayRun && (class.Idempotency == NotIdempotent || late || elsewhere) {
			return false
		}
	}
	return true
}

// attemptDeadline is when an attempt is given up. Departure: where attempts were lately lost at endpoints
// that answered others, one that takes very long is lost too; a canary leaves time for another endpoint.
func (b *Balancer) attemptDeadline(r *request, ep *endpoint) clock.Nanos {
	another := func(m *endpoint) bool { return m != ep && b.usable(m) }
	canary := ep.health.Ejected() && slices.ContainsFunc(ep.group.members, another)
	likelyLost := b.lostShare >= minLostShare && !ep.health.Overloaded()
	repeatable := b.classOf(r).Idempotency != NotIdempotent && b.mayRetry(r, ep)
	if !repeatable || !canary && !likelyLost {
		return r.deadline
	}
	work, patience := b.classes.Work(r.class), b.classes.Patience(r.class)
	slow := max(clock.Nanos(lostWorks*work), clock.Nanos(lostObjective*patience))
	end := min(r.deadline, b.now+slow)
	if !canary {
		return end
	}
	return max(b.now, min(end, b.lastStart(r)-clock.Nanos(work)))
}

// connectDeadline is when an attempt without a connection is given up: half of the time in which the request
// could still start goes to one endpoint that may be gone, and the rest is there for another.
func (b *Balancer) connectDeadline(r *request) clock.Nanos {
	return b.now + max((b.lastStart(r)-b.now)/2, clock.Nanos(b.classes.Work(r.class)))
}

// freshUntil is when an endpoint's known position is too old for a read that nobody checks after; 0: never.
func (b *Balancer) freshUntil(r *request, ep *endpoint) clock.Nanos {
	class, checked := b.classOf(r), ep == ep.group.primary || b.settings.LagHandling != LagUnchecked
	if class.Consistency == BoundedStaleness && !checked {
		return ep.position + class.StalenessBound
	}
	return 0
}

// failedOn says whether an earlier attempt at an endpoint failed, so that a retry should avoid it.
func (r *request) failedOn(ep *endpoint) bool {
	failed := func(a *attempt) bool { return a.endpoint == ep && (a.mayRun || ep.positionAt < a.sentAt) }
	return slices.ContainsFunc(r.attempts, failed)
}
