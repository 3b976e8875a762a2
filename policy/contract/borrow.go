package contract

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

// borrowOrQueue decides on a low-priority request and updates its verdict. The request is admitted at once if the
// window, which limits the open low-priority requests, has capacity; otherwise it is queued. If the queue is full and
// drops this request instead of another one, the verdict stays a rejection.
func (ledger *Ledger) borrowOrQueue(request Request, team *Team, verdict *Verdict, now clock.Nanos) {
	pressure, objective := ledger.pressureFor(request, now), ledger.settings.Classes[request.Class].LatencyObjective
	withinContract := verdict.Reason == Within
	if len(pressure.queue) == 0 && pressure.hasCapacity() {
		pressure.admit()
		*verdict = Verdict{Reason: Borrowed, LowPriority: true}
		if withinContract {
			verdict.Reason = Within
		}
		return
	}
	expiresAt := now + objective/2
	if request.Deadline > 0 {
		// A rejection after half of the time until the client's deadline is penalized; 2/5 leaves a margin.
		expiresAt = min(expiresAt, now+(request.Deadline-now)*2/5)
	}
	displaced := pressure.enqueue(queuedRequest{Request: request, rejection: *verdict, expiresAt: expiresAt,
		withinContract: withinContract}, team.Weight, objective)
	ledger.queued[request.ID] = groupRole{request.Group, ledger.settings.Classes[request.Class].Primary}
	if displaced != nil && displaced.ID == request.ID {
		delete(ledger.queued, request.ID)
		verdict.LowPriority = false
		return
	}
	if displaced != nil {
		delete(ledger.queued, displaced.ID)
		displaced.rejection.LowPriority = false
		verdict.Displaced = &QueuedVerdict{displaced.ID, displaced.rejection}
		ledger.recountRejected(displaced.Request, displaced.rejection.Reason)
	}
	*verdict = Verdict{Reason: Borrowed, LowPriority: true, Queued: true, Displaced: verdict.Displaced}
	if withinContract {
		verdict.Reason = Within
	}
}

// recountRejected moves a request that was counted as borrowed to the reason of its rejection.
func (ledger *Ledger) recountRejected(request Request, reason Reason) {
	if request.Team >= 0 && request.Team < len(ledger.teams) {
		perClass := &ledger.teams[request.Team].classes[request.Class]
		perClass.ByReason[Borrowed]--
		perClass.ByReason[reason]++
	}
}

// jitterRetryAfter adds jitter to the Retry-After time of a queued request that is rejected.
func (ledger *Ledger) jitterRetryAfter(queued *QueuedVerdict) {
	if queued.RetryAfter > 0 {
		queued.RetryAfter = ledger.jitter(queued.RetryAfter)
	}
}

// DecideQueued returns the decisions that are now due on queued requests. A request is admitted once the window has
// capacity for it. If it expires in the queue before that, it is admitted if its contract covers it, and otherwise
// rejected. DecideQueued should be called whenever a request ends, and a few times a second while requests are queued.
func (ledger *Ledger) DecideQueued(now clock.Nanos) []QueuedVerdict {
	if len(ledger.queued) == 0 {
		return nil
	}
	var decided []QueuedVerdict
	decide := func(queued *queuedRequest, verdict Verdict) {
		delete(ledger.queued, queued.ID)
		decided = append(decided, QueuedVerdict{queued.ID, verdict})
	}
	for _, role := range ledger.rolesWithQueues() {
		pressure := ledger.pressures[role]
		pressure.advance(now, ledger.settings.HighPressure, ledger.settings.LowPressure)
		for queued := pressure.dequeue(); queued != nil; queued = pressure.dequeue() {
			decide(queued, Verdict{Reason: Borrowed, LowPriority: true})
		}
		for queued := pressure.dequeueExpired(now); queued != nil; queued = pressure.dequeueExpired(now) {
			if queued.withinContract {
				pressure.admit()
				decide(queued, Verdict{Reason: Within, LowPriority: true})
				continue
			}
			queued.rejection.LowPriority = false
			rejected := QueuedVerdict{queued.ID, queued.rejection}
			ledger.jitterRetryAfter(&rejected)
			ledger.recountRejected(queued.Request, rejected.Reason)
			decide(queued, rejected.Verdict)
		}
	}
	return decided
}

// QueuedCount returns the number of queued requests.
func (ledger *Ledger) QueuedCount() int { return len(ledger.queued) }

// Abandon removes a queued request whose client has left, and reports whether the request was queued.
func (ledger *Ledger) Abandon(id string) bool {
	role, ok := ledger.queued[id]
	if !ok {
		return false
	}
	delete(ledger.queued, id)
	pressure := ledger.pressures[role]
	pressure.queue = slices.DeleteFunc(pressure.queue, func(queued queuedRequest) bool { return queued.ID == id })
	return true
}

// rolesWithQueues returns the group roles that have queued requests, sorted by group, each group's primary before its
// replicas. The next call overwrites the returned slice.
func (ledger *Ledger) rolesWithQueues() []groupRole {
	ledger.roleBuffer = ledger.roleBuffer[:0]
	for role, pressure := range ledger.pressures {
		if len(pressure.queue) > 0 {
			ledger.roleBuffer = append(ledger.roleBuffer, role)
		}
	}
	slices.SortFunc(ledger.roleBuffer, func(x, y groupRole) int {
		if x.group != y.group {
			return cmp.Compare(x.group, y.group)
		}
		if x.primary == y.primary {
			return 0
		}
		if x.primary {
			return -1
		}
		return 1
	})
	return ledger.roleBuffer
}
