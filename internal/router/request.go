package router

import (
	"io"
	"math"
	"strconv"
	"time"

	"lotushook/internal/backend"
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
	decisionTimeout = 15 * time.Millisecond // past the deadline the module's word is not waited for longer
	actionQueueSize = 8                     // one attempt and one final answer at a time, and what they cross

	retryTripShare = 8 // one part in so many of a window for repeats is left for the way to the node
)

// request is one client's request; its task is run.
type request struct {
	pgwire.Request
	router   *Router
	client   *client
	canceled chan struct{} // closed once, with the client's lock held, by a CancelRequest; nil: none can name it
	deadline clock.Nanos
	actions  chan balance.Action

	identity         contract.Identity // its client, where teams have contracts
	sessionWroteAt   clock.Nanos       // when any router saw its session write last, by the log; 0: not known, or not shared
	sheddingVerdict  shedding.Verdict  // the owner's, where there are lanes
	rejectionReason  *rejectionReason  // the owner's, before it hands a refusal: the contract's
	contractReason   contract.Reason
	lowPriority      bool // others are placed before it
	contractRequest  contract.Request
	queuedArrival    loopEvent // the owner's: its arrival, while it waits for its turn
	arrivedAt        clock.Nanos
	end              contract.End     // the task's, before it tells its end
	mayHaveRun       bool             // the task's: an attempt may have run
	firstRunAt       clock.Nanos      // the task's: the first that may have run can't have begun before; 0: none may have
	abandoned        bool             // the task's: the module has been told that nobody waits any more
	positionEvidence positionEvidence // the task's: what a session's read must see, and on whose word; empty where no sends are recorded
	trace            []tracedAttempt  // the task's: its attempts, where a line of it may be wanted
	result           *internalResult  // the task's: what it ended with, where the router itself asked

	// The owner's: sends handed over, ends of attempts heard, and the last send's node.
	attemptsSent, endsReported int
	lastEndpoint               balance.EndpointID
	recoveryAttempt            recovery.Attempt // the last one that recovery was asked for, and when
	recoveryAskedAt            clock.Nanos
}

// internalResult is how a request ended that the router itself made.
type internalResult struct {
	value  []byte
	served bool
	wait   clock.Nanos // refused: when to come again; 0: not told
}

// deliver gives the task an action; the owner must never wait for it.
func (r *request) deliver(a balance.Action) {
	select {
	case r.actions <- a:
	default:
		invariant.Check(false, "a request's mailbox has room", "kind", a.Kind)
	}
}

// report puts an event of this request to the module.
func (r *request) report(e balance.Event) {
	e.Request = r.ID
	r.router.loop.events <- loopEvent{Event: e, request: r}
}

// run is the life of the request, from its arrival to its one final answer,
// which it returns; nil when the client has left.
func (r *request) run() []byte {
	set := r.router.config.Settings
	r.arrivedAt = r.router.clock.now()
	defer func() {
		r.end.MayRun = r.mayHaveRun && !r.end.Served
		r.end.Elapsed = r.router.clock.now() - r.arrivedAt
		r.router.loop.events <- loopEvent{request: r, requestEnded: true}
	}()

	// The module is told, and from now on says what to do.
	in := loopEvent{request: r, Event: balance.Event{Kind: balance.RequestArrived, Request: r.ID, Class: set.Class(r.Class),
		Tenant: -1, Session: r.Session, Deadline: r.deadline, Group: r.Cluster}}
	if set.IsSession(r.Class) { // its last write may have been another router's, whose word the client did not bring
		if at := r.router.membership.commit(r.Cluster, r.Session); at > 0 {
			r.See((at + 1e6 - 1) / 1e6)
			r.sessionWroteAt = at
			r.positionEvidence = r.router.membership.evidenceFor(r.Cluster, r.Session, at)
		}
	}
	if r.HasPos {
		in.mustSee = max(1, r.After*1e6)
	}
	if in.mustSee >= r.positionEvidence.at+1e6 { // the client knows of a later one
		r.positionEvidence = positionEvidence{at: in.mustSee}
	}
	r.router.loop.events <- in

	// How it ends, for the counts and the line that tells its way.
	outcome, why := endAbandoned, balance.ReasonNormal
	defer func() {
		switch outcome {
		case endServed:
			r.router.metrics.Add(metrics.Served)
		case endAbandoned:
			r.router.metrics.Add(metrics.Gone)
		}
		r.router.accessLog.write(r, outcome, why)
	}()

	overdue := time.NewTimer(time.Until(r.router.clock.at(r.deadline).Add(decisionTimeout)))
	defer overdue.Stop()
	attempts := 0
	for {
		// Hold it until the module has a word for it.
		var act balance.Action
		select {
		case act = <-r.actions:
		case <-r.client.left:
		case <-r.canceled:
		case <-r.router.drainOver:
		case <-overdue.C:
			select {
			case act = <-r.actions: // both at once: the module was not silent
			default:
				invariant.Check(false, "the module ends each request by its deadline")
				r.report(balance.Event{Kind: balance.RequestAbandoned})
				r.router.metrics.Add(metrics.Unanswered)
				outcome = endFailed
				return failedAnswer("no answer in time")
			}
		}
		final := act.Kind == balance.RejectRequest || act.Kind == balance.FailRequest
		if r.checkAbandoned() && !(final && !r.clientGone()) { // whatever else came in the same moment, but a cancel that crosses an answer
			return r.canceledAnswer()
		}
		if !final && r.router.isDrainOver() {
			r.report(balance.Event{Kind: balance.RequestAbandoned})
			if outcome = endRejected; r.mayHaveRun {
				outcome = endFailed
				return failedAnswer(rejectedByDrain.text)
			}
			return rejectedAnswer(0, rejectedByDrain)
		}
		switch act.Kind {
		case balance.RejectRequest:
			outcome, why = endRejected, act.Reason
			if r.router.recovery != nil {
				act.RetryAfter = r.router.recovery.retryAfter(r, act.RetryAfter)
			}
			if r.result != nil {
				r.result.wait = act.RetryAfter
			}
			return rejectedAnswer(act.RetryAfter, r.rejectionReason)
		case balance.FailRequest:
			outcome, why = endFailed, act.Reason
			return failedAnswer("failed")
		case balance.SendAttempt:
		default:
			continue // a cancel that crossed the attempt's own end
		}

		// One attempt, and never another while it is open.
		r.router.membership.logAttempt(r, act)
		began := r.router.clock.now()
		a := r.router.pool.Start(act.Endpoint, r.router.clock.at(act.ConnectDeadline), r.router.clock.at(act.AttemptDeadline), r.writeQuery, r.isStillWanted)
		res := r.await(a, act)
		here := !r.checkAbandoned()
		r.recordAttempt(act, began, &res)
		done := balance.Event{Kind: balance.AttemptEnded, Attempt: attempts, Endpoint: act.Endpoint, Outcome: res.Outcome,
			Role: res.Role, Position: res.Position, Final: res.Outcome == balance.Succeeded}
		attempts++
		if mayRun(res.Outcome) && !r.mayHaveRun {
			r.mayHaveRun, r.firstRunAt = true, began
		}
		r.report(done)
		r.router.membership.learnFrom(r.Cluster, act.Endpoint, &res)
		switch write := set.IsWrite(r.Class); {
		case write && res.Outcome == balance.Succeeded:
			r.router.membership.committed(r, res.Position)
		case write && mayRun(res.Outcome):
			r.router.membership.mayHaveRun(r.Class, r.Key)
		}
		r.end.Served = res.Outcome == balance.Succeeded
		if res.Outcome == balance.Succeeded && (here || !r.clientGone() || r.client.failedByClient) {
			outcome = endServed
			if r.result != nil {
				r.result.value, r.result.served = res.Value, true
			}
			return pgwire.AppendReady(res.Answer)
		}
		if !here {
			return r.canceledAnswer()
		}
	}
}

// recordAttempt counts an attempt that has ended, and keeps it for the line of its request.
func (r *request) recordAttempt(act balance.Action, began clock.Nanos, res *backend.Result) {
	if r.router.metrics == nil && !r.router.accessLog.wanted() {
		return
	}
	host := r.router.directory.NameOf(act.Endpoint)
	r.router.metrics.End(host, res.Outcome)
	switch {
	case res.Outcome != balance.NotEligible:
	case r.router.config.Settings.IsWrite(r.Class):
		r.router.metrics.Add(metrics.NotPrimary)
	default:
		r.router.metrics.Add(metrics.Behind)
	}
	if r.router.accessLog.wanted() {
		r.trace = append(r.trace, tracedAttempt{host, act.Reason, res.Outcome, began, r.router.clock.now()})
	}
}

// await waits for an attempt's end: its answer, its time, the module's cancel,
// or the client's leaving, which the module is told at once.
func (r *request) await(a *backend.Attempt, act balance.Action) backend.Result {
	late := time.NewTimer(time.Until(r.router.clock.at(act.AttemptDeadline)))
	defer late.Stop()
	left, canceled := r.client.left, r.canceled
	for {
		select {
		case res := <-a.Done():
			return res
		case <-late.C:
			return a.Abort(balance.TimedOut)
		case <-r.router.drainOver:
			return a.Abort(balance.Canceled)
		case <-left:
			left = nil
			r.checkAbandoned() // a cancel follows, where cancels are allowed
		case <-canceled:
			canceled = nil
			r.checkAbandoned()
		case act := <-r.actions:
			if invariant.Check(act.Kind == balance.CancelAttempt, "no action but a cancel while an attempt is open", "kind", act.Kind) {
				return a.Abort(balance.Canceled)
			}
		}
	}
}

// isStillWanted says whether the query may still go out, right before its first byte does:
// it is asked on any goroutine, and waits for nothing.
func (r *request) isStillWanted() bool {
	return !r.clientGone() && !r.isCanceled() && !r.router.isDrainOver() && r.router.clock.now() < r.lastRetryAt()
}

// lastRetryAt is when a query may go out at the latest that may have run before.
// Repeats are dropped for a while that counts from the first attempt; the module
// holds to it when it decides on one, and a dial may take longer than what is left.
func (r *request) lastRetryAt() clock.Nanos {
	set := r.router.config.Settings
	if i := set.Class(r.Class); r.mayHaveRun && set.Balance.Classes[i].Idempotency == balance.IdempotentByKey {
		window := set.Balance.Classes[i].IdempotencyWindow
		return r.firstRunAt + window - window/retryTripShare
	}
	return math.MaxInt64
}

// clientGone says whether the client has gone, or is only being closed for an error of its own.
func (r *request) clientGone() bool {
	select {
	case <-r.client.left:
		return true
	default:
		return false
	}
}

// isCanceled says whether a CancelRequest has named the request.
func (r *request) isCanceled() bool {
	select {
	case <-r.canceled:
		return true
	default:
		return false
	}
}

// checkAbandoned says whether nobody waits for the answer any more, and tells the module once.
func (r *request) checkAbandoned() bool {
	if !r.abandoned && (r.clientGone() || r.isCanceled()) {
		r.abandoned, r.end.Abandoned = true, true
		r.report(balance.Event{Kind: balance.RequestAbandoned})
	}
	return r.abandoned
}

// canceledAnswer is the answer once the client has left: none, unless it is only being
// closed for an error of its own; or once it has canceled the request.
func (r *request) canceledAnswer() []byte {
	switch {
	case !r.clientGone():
		return errorAnswer(pgwire.CodeQueryCanceled, "canceled on the client's request")
	case r.client.failedByClient:
		return failedAnswer("called off by an error on the connection")
	}
	return nil
}

// writeQuery writes the query as it goes to a data server now.
func (r *request) writeQuery(w io.Writer) error {
	return r.WriteQuery(w, time.Until(r.router.clock.at(r.deadline)))
}

// mayRun says whether an attempt's outcome leaves open that it ran.
func mayRun(o balance.Outcome) bool {
	return o == balance.Failed || o == balance.TimedOut || o == balance.ConnectionReset || o == balance.Canceled
}

// rejectionReason is why a request is refused, where it is not the module that says so.
type rejectionReason struct{ text, hint string }

// stops is why a router that stops refuses what it has no time for.
var rejectedByDrain = &rejectionReason{text: "the router stops"}

// rejectedAnswer is the answer that a repeat does no harm; wait, where not 0, is when
// to come again.
func rejectedAnswer(wait clock.Nanos, why *rejectionReason) []byte {
	if why == nil {
		why = &rejectionReason{text: "nothing ran"}
	}
	return pgwire.AppendReady(pgwire.AppendHint(nil, "ERROR", pgwire.CodeTooManyConnections, "refused: "+why.text, retryAfterField(wait), why.hint))
}

// retryAfterField is a time to return as the field D tells it: whole milliseconds, and
// nothing where none is known.
func retryAfterField(wait clock.Nanos) string {
	if wait <= 0 {
		return ""
	}
	return strconv.FormatInt((wait+1e6-1)/1e6, 10)
}

// failedAnswer is the answer that promises nothing.
func failedAnswer(why string) []byte { return errorAnswer(pgwire.CodeFailed, why) }
