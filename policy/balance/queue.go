package balance

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
	"lotushook/policy/session"
)

const (
	queuesPerClass   = 2   // one for requests within their tenants' quotas, one for those beyond
	scanDepth        = 16  // max queued requests of a queue that are examined per placement
	lateWeightFactor = 3.0 // min ratio of LateWeight to LateFailureCost for a request to wait past its objective
)

// request is one client's request from its arrival to its final answer.
type request struct {
	id                string
	sequence          int64
	class, queueIndex int // indexes in Settings.Classes and in group.queues
	group             *group
	session           session.Key
	requiredPosition  LogPosition // ReadYourWrites: position that the serving endpoint must have applied
	objective         clock.Nanos // time after which an answer is late
	attempts          []*attempt
	inFlight          int // number of attempts in flight
	queued, ended     bool
	reachedEndpoint   bool    // an attempt was delivered to its endpoint
	foundIneligible   bool    // an endpoint ended an attempt as NotEligible
	draw              float64 // random draw of the next attempt for endpoints in slow start; 0: not drawn yet
	workload          float64 // work recently requested of this router when the request arrived

	arrivedAt, queuedAt, deadline clock.Nanos
}

func (lb *Balancer) requestArrived(event *Event) {
	if lb.requests.byID[event.Request] != nil {
		return
	}
	if !lb.settings.hasClass(event.Class) {
		lb.emit(Action{Kind: RejectRequest, Reason: ReasonUnknownClass, Request: event.Request})
		return
	}
	req := lb.addRequest(event)
	// Departure: many routers with one attempt each can fill an endpoint, so that limits can't stop an overload.
	// Therefore requests that the group can't serve in time are rejected at once, and their clients may retry.
	if lb.slowStart.RouterCount()*minLimit > initialLimit && lb.groupOverloaded(req.group) {
		lb.endUnserved(req, ReasonGroupOverloaded)
	} else {
		lb.enqueue(req)
	}
}

func (lb *Balancer) addRequest(event *Event) *request {
	req := &request{id: event.Request, sequence: lb.requests.nextSequence(), class: event.Class,
		group: lb.group(event.Group), queueIndex: queuesPerClass * event.Class,
		session: session.Key{Group: event.Group, Session: event.Session}, arrivedAt: lb.now,
		objective: lb.now + clock.Nanos(lb.classes.Patience(event.Class)), deadline: event.Deadline}
	class := lb.classOf(req)
	req.workload = lb.slowStart.Requested(lb.now, &req.group.demand, class.kind(), lb.classes.Work(req.class))
	if lb.quotas.Exceeds(lb.now, event.Tenant, lb.slowStart.RouterCount()) || event.OverQuota {
		req.queueIndex++
	}
	if class.Consistency == ReadYourWrites {
		req.requiredPosition = lb.sessionPosition(req, event)
	}
	lb.requests.add(req)
	return req
}

func (lb *Balancer) requestAbandoned(event *Event) {
	req := lb.requests.byID[event.Request]
	if req == nil || req.ended {
		return
	}
	lb.classes.Abandoned(req.class, float64(lb.now-req.arrivedAt))
	lb.endRequest(req)
}

// enqueue queues a request. The newest is placed first, and the oldest expire: under overload, this serves
// most requests within their objective and before their clients leave, instead of starting all too late.
func (lb *Balancer) enqueue(req *request) {
	req.queued, req.queuedAt = true, lb.now
	req.group.queues[req.queueIndex].Push(lb.now, req)
	req.group.placementDue = true
	lb.emit(Action{Kind: SetTimer, TimerAt: max(lb.startDeadline(req), lb.now+1), TimerID: req.sequence})
}

// placeQueued sends those queued requests of a group that can be placed, by lb.order and the newest first.
func (lb *Balancer) placeQueued(group *group) {
	if !group.placementDue {
		return
	}
	group.placementDue = false
	for _, queueIndex := range lb.order {
		queue := &group.queues[queueIndex]
		newest := queue.Len() - 1
		for index := newest; index >= 0 && newest-index < scanDepth; index-- {
			req := queue.At(index)
			ep := lb.selectEndpoint(group, req)
			if ep == nil {
				continue
			}
			queue.RemoveAt(index)
			req.queued = false
			if lb.mayRetry(req, ep) {
				lb.send(req, ep)
			} else { // the idempotency window has ended while the request was queued
				lb.endUnserved(req, ReasonRetriesExhausted)
			}
		}
	}
}

func (lb *Balancer) sortQueues() {
	factors := [queuesPerClass]float64{1, lb.settings.OverQuotaWeight}
	weight := func(queue int) float64 {
		class := queue / queuesPerClass
		return factors[queue%queuesPerClass] * lb.settings.Classes[class].PriorityWeight / lb.classes.Work(class)
	}
	slices.SortStableFunc(lb.order, func(x, y int) int { return cmp.Or(cmp.Compare(weight(y), weight(x)), x-y) })
}

// startDeadline returns until when it pays to start a request: past its objective only if the late weight
// outweighs the cost of failing late, past half of its time only if a late rejection has no cost.
func (lb *Balancer) startDeadline(req *request) clock.Nanos {
	start := req.deadline
	if lb.classOf(req).LateWeight <= lateWeightFactor*lb.settings.LateFailureCost {
		start = min(start, req.objective)
	}
	start -= max(clock.Nanos(lb.classes.Work(req.class)), 2*lb.settings.BatchInterval)
	if lb.settings.LateRejectionCharged && !req.reachedEndpoint {
		start = min(start, req.arrivedAt+(req.deadline-req.arrivedAt)/2)
	}
	return start
}

func (lb *Balancer) expire(req *request) {
	if expiry := lb.startDeadline(req); lb.now < expiry {
		lb.emit(Action{Kind: SetTimer, TimerAt: expiry, TimerID: req.sequence})
	} else {
		lb.endUnserved(req, lb.queuedReason(req))
	}
}

// endUnserved rejects a request with a Retry-After time if a client's retry is safe, and fails it otherwise.
func (lb *Balancer) endUnserved(req *request, reason Reason) {
	class := lb.classOf(req)
	mayHaveRun := slices.ContainsFunc(req.attempts, func(attempt *attempt) bool { return attempt.mayRun })
	if class.repeatableAnywhere() || !mayHaveRun {
		lb.emit(Action{Kind: RejectRequest, Reason: reason, Request: req.id,
			RetryAfter: lb.settings.retryAfter(class)})
	} else {
		lb.emit(Action{Kind: FailRequest, Reason: reason, Request: req.id})
	}
	lb.endRequest(req)
}

// endRequest closes a request after its final answer and cancels its attempts in flight.
func (lb *Balancer) endRequest(req *request) {
	if req.queued {
		req.group.queues[req.queueIndex].Remove(req.queuedAt, req)
	}
	req.queued, req.ended = false, true
	for _, attempt := range req.attempts {
		if !attempt.ended && lb.settings.CancelAllowed {
			lb.emit(Action{Kind: CancelAttempt, Request: req.id, Attempt: attempt.number})
		}
	}
	lb.requests.remove(req)
}
