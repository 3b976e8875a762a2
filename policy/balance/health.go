package balance

import (
	"lotushook/policy/clock"
	"lotushook/policy/outlier"
)

const lostWeight = 0.01 // of the newest attempt, in the share of lost ones

// observe learns of the endpoint from how an attempt ended.
func (b *Balancer) observe(a *attempt, e *Event) {
	ep, usual := a.endpoint, b.classes.Work(a.request.class)
	work := clock.Nanos(usual)
	switch e.Outcome {
	case Succeeded:
		b.observeSuccess(a, e)
	case NotEligible:
		ep.searchedAt = b.now // it is not the primary: a write moves on to the others first
		b.readmit(ep)
	case Busy: // a full or draining endpoint answers fast and would look idle: it gets less
		ep.limit = max(b.minLimitOf(ep), ep.limit-limitStep)
		ep.health.AddBusy(b.now, work)
	case Failed:
		ep.health.AddError()
		if e.Role == Primary { // it is there, and no other endpoint takes what only it can do
			ep.health.PauseFor(b.now, clock.Nanos(usual/2))
		} else {
			b.countFailure(ep, work)
		}
	case ConnectionRefused:
		if b.now-a.sentAt > work { // its machine did not even refuse
			b.zoneSilent(a)
		}
		ep.health.SetDown()
		fallthrough
	case ConnectionReset:
		ep.connectedUntil = 0
		b.countFailure(ep, work)
	case Canceled, TimedOut:
		b.observeSilence(a, e.Outcome == TimedOut)
	}
	if e.Outcome.isAnswer() {
		b.zones.Answered(ep.zone, b.now)
		ep.answeredAt, ep.connectedUntil = b.now, b.now+b.settings.IdleTimeout/2
		b.setReported(ep, e.Role, e.Position)
	}
}

func (b *Balancer) observeSuccess(a *attempt, e *Event) {
	ep, class := a.endpoint, a.request.class
	elapsed, work := float64(b.now-a.sentAt), b.classes.Work(class)
	b.observeLoad(ep, elapsed/b.classes.Patience(class))
	b.classes.Answered(class, elapsed)
	b.slowStart.Answered(work)
	if ep != ep.group.primary && elapsed > float64(b.minObjective)/2 && e.Position > 0 {
		b.classes.AddReplicaLag(class, float64(b.now-e.Position)/elapsed)
	}
	ep.health.AddSuccess()
	b.lostShare -= lostWeight * b.lostShare
	b.readmit(ep)
}

func (b *Balancer) countFailure(ep *endpoint, work clock.Nanos) {
	if ep.health.AddFailure(b.now, work) {
		b.eject(ep, "fails")
	}
}

func (b *Balancer) zoneSilent(a *attempt) {
	if b.settings.ProbesAllowed {
		b.zones.Unanswered(a.endpoint.zone, uint32(a.endpoint.id), a.sentAt, b.now)
	}
}

// observeSilence counts an attempt that ended unanswered as slow, or only survivors would count; as slow as
// one latency objective at most, as it may have been heavy.
func (b *Balancer) observeSilence(a *attempt, timedOut bool) {
	ep, class := a.endpoint, a.request.class
	if timedOut && ep.answeredAt > a.sentAt && !ep.health.Overloaded() {
		b.lostShare += lostWeight * (1 - b.lostShare)
	}
	elapsed := float64(b.now - a.sentAt)
	b.observeLoad(ep, max(ep.health.Load(), min(elapsed/b.classes.Patience(class), 1)))
	if !timedOut || ep.answeredAt > a.sentAt {
		return
	}
	b.zoneSilent(a) // on open connections a zone outage shows only by this
	b.countFailure(ep, clock.Nanos(b.classes.Work(class)))
}

// readmit ends an ejection: the endpoint has answered.
func (b *Balancer) readmit(ep *endpoint) {
	wasEjected, wasDown := ep.health.Readmit()
	if wasEjected {
		b.log(ReasonRecovered, ep, "node %d answers again", ep.id)
	}
	if wasDown { // its process was gone: it is in slow start, though the list may say that late or never
		ep.startedAt = b.now
	}
}

func (b *Balancer) eject(ep *endpoint, cause string) {
	first, changed := ep.health.Eject(b.now)
	if first {
		b.log(ReasonSuspected, ep, "node %d suspect: %s", ep.id, cause)
	}
	ep.group.changed = ep.group.changed || changed
}

// checkSilence ejects an endpoint that is silent for longer than its attempts' usual times explain.
func (b *Balancer) checkSilence(ep *endpoint) {
	ages := 0.0
	for _, a := range ep.attempts {
		class := a.request.class
		usual := max(b.classes.Work(class), min(ep.health.Load(), 1)*b.classes.Patience(class))
		ages += float64(b.now-max(ep.answeredAt, a.sentAt)) / usual
	}
	if outlier.UnansweredTooLong(ages) {
		b.eject(ep, "silent")
	}
}

// probeEnded takes a probe's report, which is answered beside the queue and proves no health.
func (b *Balancer) probeEnded(e *Event) {
	ep := b.groups.endpoints[e.Endpoint]
	if ep == nil || !ep.probing {
		return
	}
	ep.probing = false
	if e.Outcome == Succeeded {
		b.zones.Answered(ep.zone, b.now)
	}
	role := e.Role
	if ep.role != RoleUnknown {
		role = RoleUnknown // a report is old: its role must not bring back what an answer denied
	}
	b.setReported(ep, role, e.Position) // both empty where the probe failed
	if e.HasLoad {
		load := initialLoad * (1 + float64(e.Waiting)/float64(max(1, e.Active-e.Waiting)))
		ep.health.SetLoad(load)
		ep.group.answers.Add(b.now, b.maxDeadline, min(load, maxLoad))
	}
}

func (b *Balancer) probe(ep *endpoint) {
	if ep == nil || !b.settings.ProbesAllowed || ep.probing || ep.state != Ready {
		return
	}
	ep.probing = true
	ep.group.nextProbeAt = b.now + b.minObjective/4
	b.act(Action{Kind: SendProbe, Endpoint: ep.id})
}

func (b *Balancer) inZoneOutage(ep *endpoint) bool { return b.zones.InOutage(ep.zone, ep.answeredAt) }

// usable says whether an endpoint may be sent ordinary requests.
func (b *Balancer) usable(ep *endpoint) bool {
	return ep != nil && ep.state == Ready && ep.health.Available(b.now) && !b.inZoneOutage(ep)
}
