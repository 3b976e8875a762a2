package balance

import (
	"lotushook/policy/clock"
	"lotushook/policy/outlier"
)

const lostShareWeight = 0.01 // weight of the newest attempt in Balancer.lostShare

func (lb *Balancer) recordOutcome(attempt *attempt, event *Event) {
	ep, work := attempt.endpoint, clock.Nanos(lb.classes.Work(attempt.request.class))
	switch event.Outcome.evidence(attempt.request.deadline-attempt.sentAt, lb.now-attempt.sentAt, work) {
	case Succeeded:
		lb.recordSuccess(attempt, event)
	case NotEligible:
		ep.searchedAt = lb.now // the endpoint is no primary, so a primary search tries the others first
		lb.readmit(ep)
	case Busy: // lower the limit, as an overloaded or draining endpoint rejects fast and would look idle
		ep.limit = max(lb.minLimitOf(ep), ep.limit-limitStep)
		ep.health.AddBusy(lb.now, work)
	case Failed:
		ep.health.AddError()
		if event.Role == Primary { // the primary is up, so it is not ejected: no other endpoint can replace it
			ep.health.PauseFor(lb.now, work/2)
		} else {
			lb.recordFailure(ep, work)
		}
	case ConnectionRefused:
		if lb.now-attempt.sentAt > work { // a connect timeout, not ECONNREFUSED: the host may be gone
			lb.recordZoneSilence(attempt)
		}
		ep.health.SetDown()
		fallthrough
	case ConnectionReset:
		ep.connectedUntil = 0
		lb.recordFailure(ep, work)
	case Canceled, TimedOut:
		lb.recordUnanswered(attempt, event.Outcome == TimedOut)
	}
	if event.Outcome.isAnswer() {
		lb.zones.Answered(ep.zone, lb.now)
		ep.answeredAt, ep.connectedUntil = lb.now, lb.now+lb.settings.IdleTimeout/2
		lb.recordReport(ep, event.Role, event.Position)
	}
}

func (lb *Balancer) recordSuccess(attempt *attempt, event *Event) {
	ep, class := attempt.endpoint, attempt.request.class
	elapsed, work := float64(lb.now-attempt.sentAt), lb.classes.Work(class)
	lb.recordLoad(ep, elapsed/lb.classes.Patience(class))
	lb.classes.Answered(class, elapsed)
	lb.slowStart.Answered(work)
	if ep != ep.group.primary && elapsed > float64(lb.minObjective)/2 && event.Position > 0 {
		lb.classes.AddReplicaLag(class, float64(lb.now-event.Position)/elapsed)
	}
	ep.health.AddSuccess()
	lb.lostShare -= lostShareWeight * lb.lostShare
	lb.readmit(ep)
}

func (lb *Balancer) recordFailure(ep *endpoint, work clock.Nanos) {
	if ep.health.AddFailure(lb.now, work) {
		lb.eject(ep, "fails")
	}
}

func (lb *Balancer) recordZoneSilence(attempt *attempt) {
	if lb.settings.ProbesAllowed {
		lb.zones.Unanswered(attempt.endpoint.zone, uint32(attempt.endpoint.id), attempt.sentAt, lb.now)
	}
}

// recordUnanswered counts an unanswered attempt as slow, as otherwise only the attempts that succeeded would
// count. It counts for at most one latency objective, as the request may have been expensive.
func (lb *Balancer) recordUnanswered(attempt *attempt, timedOut bool) {
	ep, class := attempt.endpoint, attempt.request.class
	if timedOut && ep.answeredAt > attempt.sentAt && !ep.health.Overloaded() {
		lb.lostShare += lostShareWeight * (1 - lb.lostShare)
	}
	elapsed := float64(lb.now - attempt.sentAt)
	lb.recordLoad(ep, max(ep.health.Load(), min(elapsed/lb.classes.Patience(class), 1)))
	if !timedOut || ep.answeredAt > attempt.sentAt {
		return
	}
	lb.recordZoneSilence(attempt) // timeouts are the only sign of a zone outage on open connections
	lb.recordFailure(ep, clock.Nanos(lb.classes.Work(class)))
}

func (lb *Balancer) readmit(ep *endpoint) {
	wasEjected, wasDown := ep.health.Readmit()
	if wasEjected {
		lb.log(ReasonRecovered, ep, "endpoint %d recovered: it answers again", ep.id)
	}
	if wasDown { // the endpoint restarted, so slow start begins; the list may show that late or never
		ep.startedAt = lb.now
	}
}

func (lb *Balancer) eject(ep *endpoint, cause string) {
	first, changed := ep.health.Eject(lb.now)
	if first {
		lb.log(ReasonEjected, ep, "endpoint %d ejected: %s", ep.id, cause)
	}
	ep.group.placementDue = ep.group.placementDue || changed
}

// checkSilence ejects an endpoint that is silent for longer than the work of its attempts explains.
func (lb *Balancer) checkSilence(ep *endpoint) {
	ages := 0.0
	for _, attempt := range ep.attempts {
		class := attempt.request.class
		normal := max(lb.classes.Work(class), min(ep.health.Load(), 1)*lb.classes.Patience(class))
		ages += float64(lb.now-max(ep.answeredAt, attempt.sentAt)) / normal
	}
	if outlier.UnansweredTooLong(ages) {
		lb.eject(ep, "silent")
	}
}

// probeEnded applies a probe's report. An answer proves no health, as probes bypass the endpoint's queue.
func (lb *Balancer) probeEnded(event *Event) {
	ep := lb.groups.endpoints[event.Endpoint]
	if ep == nil || !ep.probing {
		return
	}
	ep.probing = false
	if event.Outcome == Succeeded {
		lb.zones.Answered(ep.zone, lb.now)
	}
	role := event.Role
	if ep.role != RoleUnknown {
		role = RoleUnknown // probe reports lag, so that their role must not override an answer's
	}
	lb.recordReport(ep, role, event.Position) // a failed probe reports no role and position
	if event.HasLoad {
		load := initialLoad * (1 + float64(event.Waiting)/float64(max(1, event.Active-event.Waiting)))
		ep.health.SetLoad(load)
		ep.group.load.Add(lb.now, lb.maxDeadline, min(load, maxLoad))
	}
}

func (lb *Balancer) probe(ep *endpoint) {
	if ep == nil || !lb.settings.ProbesAllowed || ep.probing || ep.state != Ready {
		return
	}
	ep.probing = true
	ep.group.nextProbeAt = lb.now + lb.minObjective/4
	lb.emit(Action{Kind: SendProbe, Endpoint: ep.id})
}

func (lb *Balancer) inZoneOutage(ep *endpoint) bool { return lb.zones.InOutage(ep.zone, ep.answeredAt) }

// usable reports whether an endpoint may receive requests other than canary requests.
func (lb *Balancer) usable(ep *endpoint) bool {
	return ep != nil && ep.state == Ready && ep.health.Available(lb.now) && !lb.inZoneOutage(ep)
}
