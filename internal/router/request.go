package router

import (
	"sync/atomic"
	"time"

	"lotushook/internal/invariant"
	"lotushook/internal/metrics"
	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
	"lotushook/policy/contract"
	"lotushook/policy/recovery"
	"lotushook/policy/shedding"
)

const (
	deadlineMargin  = 20 * time.Millisecond // of a client's wait: the way here, and the way back
	decisionTimeout = 15 * time.Millisecond // past the deadline a decision is not waited for longer
	actionQueueSize = 8                     // one attempt and one final answer at a time, and what they cross
)

// request is one client's request; its task is run.
type request struct {
	pgwire.Request
	router    *Router
	client    *client
	identity  contract.Identity // of its client, where teams have contracts
	deadline  clock.Nanos
	arrivedAt clock.Nanos
	actions   chan balance.Action // from the event loop
	canceled  chan struct{}       // closed once, with the client's lock held, by a CancelRequest; nil: none can name it
	result    *internalResult     // what it ended with, where the router itself asked; nil: a client did
	requestTask
	requestDecisions
}

// requestTask belongs to the request's task; the event loop reads end and sessionWroteAt when it is told of them.
type requestTask struct {
	attempts         int                // so far
	mayHaveRun       bool               // an attempt may have run
	firstRunAt       clock.Nanos        // the first that may have run can't have begun before; 0: none may have
	abandoned        bool               // the decision module was told that nobody waits any more
	sessionWroteAt   clock.Nanos        // when any router saw its session write last, by the log; 0: not known, or not shared
	positionEvidence positionProvenance // what a session's read must see, and why; empty where no attempts are logged
	trace            []tracedAttempt    // its attempts, where the access log may want them
	end              contract.Outcome
	outcome          requestOutcome
	reason           balance.Reason // of a rejection or a failure
}

// requestDecisions belongs to the event loop; its task reads takenAt.
type requestDecisions struct {
	takenAt         atomic.Int64 // when it came to the decision module; 0: it did not
	sheddingVerdict shedding.Verdict
	rejectionReason *rejectionReason // read by the task once it has the rejection; nil: the decision module's
	contractReason  contract.Reason
	contractRequest contract.Request
	lowPriority     bool      // others are placed before it
	queuedArrival   loopEvent // its arrival, while it waits for its turn
	attemptsSent    int       // handed to the task
	endsReported    int       // of these, ends that came back
	lastEndpoint    balance.EndpointID
	recoveryAttempt recovery.Attempt // the last one that recovery was asked for, and when
	recoveryAskedAt clock.Nanos
}

// internalResult is how a request ended that the router itself made.
type internalResult struct {
	value      []byte
	served     bool
	retryAfter clock.Nanos // of a rejection; 0: not told
}

// deliver gives the task an action; the event loop must never wait for it.
func (r *request) deliver(action balance.Action) {
	select {
	case r.actions <- action:
	default:
		invariant.Check(false, "a request's action queue has room", "kind", action.Kind)
	}
}

// report tells the decision module an event of this request.
func (r *request) report(event balance.Event) {
	event.Request = r.ID
	r.router.loop.events <- loopEvent{Event: event, request: r}
}

// run is the life of the request, from its arrival to its one final answer, which it returns; nil when the client has left.
func (r *request) run() []byte {
	r.arrivedAt = r.router.clock.now()
	defer r.reportEnd()
	r.router.loop.events <- r.arrival()
	r.outcome, r.reason = endAbandoned, balance.ReasonNormal
	answer := r.serve()
	switch r.outcome {
	case endServed:
		r.router.metrics.Add(metrics.Served)
	case endAbandoned:
		r.router.metrics.Add(metrics.ClientDisconnected)
	}
	r.router.accessLog.write(r)
	return answer
}

// arrival is the event that tells the decision module of the request.
func (r *request) arrival() loopEvent {
	settings := r.router.config.Settings
	if settings.IsSession(r.Class) {
		r.seeOtherRouters()
	}
	event := loopEvent{request: r, Event: balance.Event{
		Kind:     balance.RequestArrived,
		Request:  r.ID,
		Class:    settings.Class(r.Class),
		Tenant:   -1,
		Session:  r.Session,
		Deadline: r.deadline,
		Group:    r.Cluster,
	}}
	if r.HasPos {
		event.mustSee = max(1, r.After*clock.Millisecond)
	}
	if event.mustSee >= r.positionEvidence.at+clock.Millisecond { // the client knows of a later one
		r.positionEvidence = positionProvenance{at: event.mustSee}
	}
	return event
}

// seeOtherRouters has a session's read see its session's last write also where that was another router's, whose position
// the client did not bring.
func (r *request) seeOtherRouters() {
	position := r.router.membership.commit(r.Cluster, r.Session)
	if position <= 0 {
		return
	}
	r.See((position + clock.Millisecond - 1) / clock.Millisecond)
	r.sessionWroteAt = position
	r.positionEvidence = r.router.membership.provenanceOf(r.Cluster, r.Session, position)
}

// reportEnd tells the event loop that the task has ended.
func (r *request) reportEnd() {
	r.end.MayHaveRun = r.mayHaveRun && !r.end.Served
	r.end.Elapsed = r.router.clock.now() - r.arrivedAt
	r.router.loop.events <- loopEvent{request: r, requestEnded: true}
}

// serve carries out what the decision module says, up to the final answer.
func (r *request) serve() []byte {
	overdue := time.NewTimer(time.Until(r.router.clock.at(r.deadline).Add(decisionTimeout)))
	defer overdue.Stop()
	for {
		action, decided := r.awaitDecision(overdue.C)
		if !decided {
			return r.answerUndecided()
		}
		if answer, ended := r.interrupt(action); ended {
			return answer
		}
		switch action.Kind {
		case balance.RejectRequest:
			return r.reject(action)
		case balance.FailRequest:
			r.outcome, r.reason = endFailed, action.Reason
			return failedAnswer("failed")
		case balance.SendAttempt:
			if answer, ended := r.attempt(action); ended {
				return answer
			}
		default: // a cancel that crossed the attempt's own end
		}
	}
}

// awaitDecision waits for the next action, or for what ends the request without one: the zero action then. It says false
// if the decision module is silent past the request's deadline.
func (r *request) awaitDecision(overdue <-chan time.Time) (action balance.Action, decided bool) {
	select {
	case action = <-r.actions:
	case <-r.client.left:
	case <-r.canceled:
	case <-r.router.shutdown.over:
	case <-overdue:
		steppedAt := r.router.loop.steppedAt.Load() // before the look: what that step decided is there
		select {
		case action = <-r.actions: // both at once: the module was not silent
		default:
			invariant.Check(!r.router.loop.owesDecision(r, steppedAt), "the module ends each request by its deadline")
			return action, false
		}
	}
	return action, true
}

// answerUndecided is the answer where the decision module was silent, or not let run.
func (r *request) answerUndecided() []byte {
	r.report(balance.Event{Kind: balance.RequestAbandoned})
	r.router.metrics.Add(metrics.Unanswered)
	r.outcome = endFailed
	return failedAnswer("no answer in time")
}

// interrupt ends a request that nobody waits for any more, or for which a router that stops has no time, whatever action
// came in the same moment; but a cancel that crosses the final answer changes nothing.
func (r *request) interrupt(action balance.Action) (answer []byte, ended bool) {
	final := action.Kind == balance.RejectRequest || action.Kind == balance.FailRequest
	if r.checkAbandoned() && (!final || r.clientLeft()) {
		return r.canceledAnswer(), true
	}
	if final || !r.router.shutdown.isOver() {
		return nil, false
	}
	r.report(balance.Event{Kind: balance.RequestAbandoned})
	if r.mayHaveRun {
		r.outcome = endFailed
		return failedAnswer(rejectedByShutdown.text), true
	}
	r.outcome = endRejected
	return rejectedAnswer(0, rejectedByShutdown), true
}

// reject is the answer to a request that the decision module, or a contract, rejects.
func (r *request) reject(action balance.Action) []byte {
	r.outcome, r.reason = endRejected, action.Reason
	retryAfter := action.RetryAfter
	if r.router.recovery != nil {
		retryAfter = r.router.recovery.retryAfter(r, retryAfter)
	}
	if r.result != nil {
		r.result.retryAfter = retryAfter
	}
	return rejectedAnswer(retryAfter, r.rejectionReason)
}

// clientLeft says whether the client has gone, or is only being closed for an error of its own.
func (r *request) clientLeft() bool { return isClosed(r.client.left) }

// isCanceled says whether a CancelRequest has named the request.
func (r *request) isCanceled() bool { return isClosed(r.canceled) }

// isClosed says whether a channel that carries nothing is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// checkAbandoned says whether nobody waits for the answer any more, and tells the decision module once.
func (r *request) checkAbandoned() bool {
	if !r.abandoned && (r.clientLeft() || r.isCanceled()) {
		r.abandoned, r.end.Abandoned = true, true
		r.report(balance.Event{Kind: balance.RequestAbandoned})
	}
	return r.abandoned
}

// canceledAnswer is the answer once the client has left: none, unless it is only being closed for an error of its own; or
// once it has canceled the request.
func (r *request) canceledAnswer() []byte {
	switch {
	case !r.clientLeft():
		return errorAnswer(pgwire.CodeQueryCanceled, "canceled on the client's request")
	case r.client.failedByClient:
		return failedAnswer("called off by an error on the connection")
	}
	return nil
}
