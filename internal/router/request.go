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
	deadlineMargin  = 20 * time.Millisecond // the part of a client's wait that covers the transit in both directions
	decisionTimeout = 15 * time.Millisecond // the maximum wait for a decision after the deadline, or after a late arrival
	actionQueueSize = 8                     // one attempt, one final answer, and cancels sent before these ended
)

// request is a client's request. Its task is the method run.
type request struct {
	pgwire.Request
	router    *Router
	client    *client
	identity  contract.Identity // the identity of the client, if teams have contracts
	deadline  clock.Nanos
	arrivedAt clock.Nanos
	actions   chan balance.Action // from the event loop
	canceled  chan struct{}       // closed by a CancelRequest, under the client's lock; nil: can't be canceled
	result    *internalResult     // the result of a request that the router itself made; nil: a client made it
	// holdAnswer reserves memory for an answer of a size in bytes until the client has received it. It returns false if
	// the answer must be dropped. nil: the router itself made the request.
	holdAnswer func(size int) bool
	requestTask
	requestDecisions
}

// requestTask belongs to the request's task. The event loop reads end and sessionWroteAt only after it has received the
// events that report them.
type requestTask struct {
	attempts         int                // the number of ended attempts
	mayHaveRun       bool               // the query may have run
	firstRunAt       clock.Nanos        // the start of the first attempt that may have run the query; 0: there is none
	abandoned        bool               // the decision module was notified that the client no longer waits
	sessionWroteAt   clock.Nanos        // the log position of the session's last write at any router; 0: unknown
	positionEvidence positionProvenance // of the position that a read requires; empty if there is no attempt log
	trace            []tracedAttempt    // the attempts, if the access log may need them
	end              contract.Outcome
	outcome          requestOutcome
	reason           balance.Reason // why the request was rejected or failed
}

// requestDecisions belongs to the event loop; the request's task reads receivedAt.
type requestDecisions struct {
	receivedAt      atomic.Int64 // when the event loop accepted the request; 0: it did not
	sheddingVerdict shedding.Verdict
	rejectionReason *rejectionReason // read by the task after the rejection; nil: the module rejected the request
	contractReason  contract.Reason
	contractRequest contract.Request
	lowPriority     bool      // ordered after requests that are within their contracts
	queuedArrival   loopEvent // the arrival event, while the request waits in its contract's queue
	attemptsSent    int       // the send actions delivered to the task
	endsReported    int       // the number of these attempts whose end the task has reported
	lastEndpoint    balance.EndpointID
	recoveryAttempt recovery.Attempt // the last attempt that the recovery gate was asked about
	recoveryAskedAt clock.Nanos      // when it was asked
}

// internalResult is the result of a request that the router itself made.
type internalResult struct {
	value      []byte
	served     bool
	retryAfter clock.Nanos // of a rejection; 0: none is known
}

// deliver passes an action to the task. It must not block the event loop.
func (request *request) deliver(action balance.Action) {
	select {
	case request.actions <- action:
	default:
		invariant.Check(false, "a request's action queue is not full", "kind", action.Kind)
	}
}

// report passes an event of this request to the decision module.
func (request *request) report(event balance.Event) {
	event.Request = request.ID
	request.router.loop.events <- loopEvent{Event: event, request: request}
}

// run processes the request from its arrival to the final answer, which it returns; nil if the client has disconnected.
func (request *request) run() []byte {
	request.arrivedAt = request.router.clock.now()
	defer request.reportEnd()
	request.router.loop.events <- request.arrival()
	request.outcome, request.reason = endAbandoned, balance.ReasonNormal
	answer := request.serve()
	switch request.outcome {
	case endServed:
		request.router.metrics.Add(metrics.Served)
	case endAbandoned:
		request.router.metrics.Add(metrics.ClientDisconnected)
	}
	request.router.accessLog.write(request)
	return answer
}

// arrival returns the event that reports the request to the decision module.
func (request *request) arrival() loopEvent {
	settings := request.router.config.Settings
	if settings.IsSession(request.Class) {
		request.raiseMinPosition()
	}
	event := loopEvent{request: request, Event: balance.Event{
		Kind:     balance.RequestArrived,
		Request:  request.ID,
		Class:    settings.Class(request.Class),
		Tenant:   -1,
		Session:  request.Session,
		Deadline: request.deadline,
		Group:    request.Cluster,
	}}
	if request.HasAfter {
		event.minPosition = max(1, request.After*clock.Millisecond)
	}
	if event.minPosition >= request.positionEvidence.at+clock.Millisecond { // the client requires a later position
		request.positionEvidence = positionProvenance{at: event.minPosition}
	}
	return event
}

// raiseMinPosition raises the position that a session's read requires to that of the session's last write, also if
// another router served the write and the client did not send its position.
func (request *request) raiseMinPosition() {
	position := request.router.membership.commit(request.Cluster, request.Session)
	if position <= 0 {
		return
	}
	request.RaiseAfter((position + clock.Millisecond - 1) / clock.Millisecond)
	request.sessionWroteAt = position
	request.positionEvidence = request.router.membership.provenanceOf(request.Cluster, request.Session, position)
}

// reportEnd notifies the event loop that the task has ended.
func (request *request) reportEnd() {
	request.end.MayHaveRun = request.mayHaveRun && !request.end.Served
	request.end.Elapsed = request.router.clock.now() - request.arrivedAt
	request.router.loop.events <- loopEvent{request: request, requestEnded: true}
}

// serve carries out the decision module's actions until the final answer.
func (request *request) serve() []byte {
	decideBy := max(request.deadline, request.arrivedAt) // a query that waited for its turn to be taken may be late already
	overdue := time.NewTimer(time.Until(request.router.clock.at(decideBy).Add(decisionTimeout)))
	defer overdue.Stop()
	for {
		action, decided := request.awaitDecision(overdue.C)
		if !decided {
			return request.answerUndecided()
		}
		if answer, ended := request.interrupt(action); ended {
			return answer
		}
		switch action.Kind {
		case balance.RejectRequest:
			return request.reject(action)
		case balance.FailRequest:
			request.outcome, request.reason = endFailed, action.Reason
			return failedAnswer("failed")
		case balance.SendAttempt:
			if answer, ended := request.attempt(action); ended {
				return answer
			}
		default: // a cancel of an attempt that had already ended
		}
	}
}

// awaitDecision waits for the next action. It returns the zero action if the request ends without one: the client has
// disconnected or canceled it, or the shutdown is over. It returns false if there is no decision by the deadline.
func (request *request) awaitDecision(overdue <-chan time.Time) (action balance.Action, decided bool) {
	select {
	case action = <-request.actions:
	case <-request.client.left:
	case <-request.canceled:
	case <-request.router.shutdown.over:
	case <-overdue:
		steppedAt := request.router.loop.steppedAt.Load() // before polling: the step's actions are delivered by then
		select {
		case action = <-request.actions: // the decision arrived at the same time
		default:
			invariant.Check(!request.router.loop.isDecisionOverdue(request, steppedAt), "the module answers each request by its deadline")
			return action, false
		}
	}
	return action, true
}

// answerUndecided returns the answer to a request that was not decided in time.
func (request *request) answerUndecided() []byte {
	request.report(balance.Event{Kind: balance.RequestAbandoned})
	request.router.metrics.Add(metrics.Unanswered)
	request.outcome = endFailed
	return failedAnswer("no answer in time")
}

// interrupt ends a request that is abandoned, or whose time is over in a shutdown, instead of carrying out the action
// that arrived. A cancel that arrives at the same time as the final answer has no effect.
func (request *request) interrupt(action balance.Action) (answer []byte, ended bool) {
	final := action.Kind == balance.RejectRequest || action.Kind == balance.FailRequest
	if request.checkAbandoned() && (!final || request.clientLeft()) {
		return request.canceledAnswer(), true
	}
	if final || !request.router.shutdown.isOver() {
		return nil, false
	}
	request.report(balance.Event{Kind: balance.RequestAbandoned})
	if request.mayHaveRun {
		request.outcome = endFailed
		return failedAnswer(rejectedByShutdown.text), true
	}
	request.outcome = endRejected
	return rejectedAnswer(0, rejectedByShutdown), true
}

// reject returns the answer to a request that the decision module, a contract or load shedding rejects.
func (request *request) reject(action balance.Action) []byte {
	request.outcome, request.reason = endRejected, action.Reason
	retryAfter := action.RetryAfter
	if request.router.recovery != nil {
		retryAfter = request.router.recovery.retryAfter(request, retryAfter)
	}
	if request.result != nil {
		request.result.retryAfter = retryAfter
	}
	return rejectedAnswer(retryAfter, request.rejectionReason)
}

// clientLeft reports whether the client has disconnected or is being disconnected, possibly because of its own error.
func (request *request) clientLeft() bool { return isClosed(request.client.left) }

// isCanceled reports whether a CancelRequest has canceled the request.
func (request *request) isCanceled() bool { return isClosed(request.canceled) }

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// checkAbandoned reports whether the client no longer waits for the answer, and notifies the decision module once.
func (request *request) checkAbandoned() bool {
	if !request.abandoned && (request.clientLeft() || request.isCanceled()) {
		request.abandoned, request.end.Abandoned = true, true
		request.report(balance.Event{Kind: balance.RequestAbandoned})
	}
	return request.abandoned
}

// canceledAnswer returns the answer to an abandoned request: an error if the client has canceled it or is being closed
// because of its own error, otherwise none, as the client has disconnected.
func (request *request) canceledAnswer() []byte {
	switch {
	case !request.clientLeft():
		return errorAnswer(pgwire.CodeQueryCanceled, "canceled on the client's request")
	case request.client.failedByClient:
		return failedAnswer("called off by an error on the connection")
	}
	return nil
}
