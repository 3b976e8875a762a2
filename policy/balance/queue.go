package balance

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
	"lotushook/policy/session"
)

const (
	queuesPerClass = 2   // requests within their tenant's quota, and those beyond it
	scanDepth      = 16  // queued requests of a class looked at for one that can go
	minLateWeight  = 3.0 // times the cost of failing late: from there on a request waits past its objective
)

// request is one client's request from its arrival to its final answer.
type request struct {
	id              string
	sequence        int64
	class, queue    int // indexes in Settings.Classes and in its group's queues
	group           *group
	session         session.Key
	mustSee         LogPosition // that the endpoint of a read must have applied
	objective       clock.Nanos // an answer until then is in time
	attempts        []*attempt
	inFlight        int // attempts
	queued, ended   bool
	reached         bool    // an attempt reached its endpoint
	foundIneligible bool    // an endpoint rejected it as too far behind, or as no primary
	draw            float64 // for an endpoint in slow start, of the present attempt; 0: none yet
	recentWork      float64 // asked of the router as it arrived

	arrivedAt, queuedAt, deadline clock.Nanos
}

func (b *Balancer) requestArrived(e *Event) {
	if b.requests.byID[e.Request] != nil {
		return
	}
	if !b.settings.hasClass(e.Class) {
		b.act(Action{Kind: RejectRequest, Reason: ReasonUnknownClass, Request: e.Request})
		return
	}
	r := b.addRequest(e)
	// Departure: many routers with one attempt each fill an endpoint, so limits can't hold an overload back.
	// There what is beyond is rejected at once, and may come again.
	if b.slowStart.RouterCount()*minLimit > initialLimit && b.groupOverloaded(r.group) {
		b.giveUp(r, ReasonGroupOverloaded)
	} else {
		b.enqueue(r)
	}
}

func (b *Balancer) addRequest(e *Event) *request {
	r := &request{id: e.Request, sequence: b.requests.nextSequence(), class: e.Class, group: b.group(e.Group),
		queue: queuesPerClass * e.Class, session: session.Key{Group: e.Group, Session: e.Session},
		arrivedAt: b.now, objective: b.now + clock.Nanos(b.classes.Patience(e.Class)), deadline: e.Deadline}
	class := b.classOf(r)
	r.recentWork = b.slowStart.Requested(b.now, &r.group.demand, class.demand(), b.classes.Work(r.class))
	if b.quotas.Exceeds(b.now, e.Tenant, b.slowStart.RouterCount()) || e.OverQuota {
		r.queue++
	}
	if class.Consistency == ReadYourWrites {
		r.mustSee = b.sessionPosition(r, e)
	}
	b.requests.add(r)
	return r
}

func (b *Balancer) requestAbandoned(e *Event) {
	r := b.requests.byID[e.Request]
	if r == nil || r.ended {
		return
	}
	b.classes.Abandoned(r.class, float64(b.now-r.arrivedAt))
	b.end(r)
}

// enqueue delays a request. The newest goes first: in an overload that serves most within their objective,
// and their clients' patience, instead of starting each one too late; the oldest is rejected.
func (b *Balancer) enqueue(r *request) {
	r.queued, r.queuedAt = true, b.now
	r.group.queues[r.queue].Push(b.now, r)
	r.group.changed = true
	b.act(Action{Kind: SetTimer, TimerAt: max(b.lastStart(r), b.now+1), TimerID: r.sequence})
}

// placeQueued sends the queued requests of a group that can go, most priority weight for work first.
func (b *Balancer) placeQueued(g *group) {
	if !g.changed {
		return
	}
	g.changed = false
	for _, i := range b.rank {
		queue := &g.queues[i]
		newest := queue.Len() - 1
		for at := newest; at >= 0 && newest-at < scanDepth; at-- {
			r := queue.At(at)
			ep := b.selectEndpoint(g, r)
			if ep == nil {
				continue
			}
			queue.RemoveAt(at)
			r.queued = false
			if b.mayRetry(r, ep) {
				b.send(r, ep)
			} else { // the idempotency window has passed while it waited
				b.giveUp(r, ReasonRetriesExhausted)
			}
		}
	}
}

func (b *Balancer) rankQueues() {
	quotaWeight := [queuesPerClass]float64{1, b.settings.OverQuotaWeight}
	density := func(i int) float64 {
		class := i / queuesPerClass
		return quotaWeight[i%queuesPerClass] * b.settings.Classes[class].PriorityWeight / b.classes.Work(class)
	}
	slices.SortStableFunc(b.rank, func(x, y int) int { return cmp.Or(cmp.Compare(density(y), density(x)), x-y) })
}

// lastStart is the latest time at which starting the request can still earn something: past its objective
// only where late weight outweighs the cost of failing late, past half of its time only if that is free.
func (b *Balancer) lastStart(r *request) clock.Nanos {
	last := r.deadline
	if b.classOf(r).LateWeight <= minLateWeight*b.settings.LateFailureCost {
		last = min(last, r.objective)
	}
	last -= max(clock.Nanos(b.classes.Work(r.class)), 2*b.settings.BatchInterval)
	if b.settings.LateRejectionCharged && !r.reached {
		last = min(last, r.arrivedAt+(r.deadline-r.arrivedAt)/2)
	}
	return last
}

func (b *Balancer) expire(r *request) {
	if last := b.lastStart(r); b.now < last {
		b.act(Action{Kind: SetTimer, TimerAt: last, TimerID: r.sequence})
	} else {
		b.giveUp(r, b.queuedReason(r))
	}
}

// giveUp ends a request at once: rejected with a Retry-After where a repeat is harmless, else failed.
func (b *Balancer) giveUp(r *request, reason Reason) {
	class := b.classOf(r)
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayRun })
	if class.repeatableAnywhere() || !mayHaveRun {
		b.act(Action{Kind: RejectRequest, Reason: reason, Request: r.id, RetryAfter: b.settings.retryAfter(class)})
	} else {
		b.act(Action{Kind: FailRequest, Reason: reason, Request: r.id})
	}
	b.end(r)
}

// end closes a request after its final answer; attempts still in flight are canceled.
func (b *Balancer) end(r *request) {
	if r.queued {
		r.group.queues[r.queue].Remove(r.queuedAt, r)
	}
	r.queued, r.ended = false, true
	for _, a := range r.attempts {
		if !a.ended && b.settings.CancelAllowed {
			b.act(Action{Kind: CancelAttempt, Request: r.id, Attempt: a.number})
		}
	}
	b.requests.remove(r)
}
