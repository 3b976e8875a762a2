package router

import (
	"io"
	"math"
	"time"

	"lotushook/internal/backend"
	"lotushook/internal/invariant"
	"lotushook/internal/metrics"
	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// Data servers drop a duplicate of a keyed write during the idempotency window. A retry is not sent in the last
// 1/retryTransitDivisor of the window, which is reserved for its transit to the data server.
const retryTransitDivisor = 8

// maxReportDelay is how long the decision module may take to learn of an answer that was read. An answer that was read
// less than this before an attempt may have been unknown when the attempt was decided.
const maxReportDelay = 50 * time.Millisecond

// attempt sends the query to the endpoint that the action names, waits for the result and reports it to the decision
// module. A request never has two open attempts. If the attempt ends the request, answer is the final answer.
func (request *request) attempt(action balance.Action) (answer []byte, ended bool) {
	request.router.membership.logAttempt(request, action)
	startedAt := request.router.clock.now()
	deadlines := backend.Deadlines{Connect: request.router.clock.at(action.ConnectDeadline), Answer: request.router.clock.at(action.AttemptDeadline)}
	if action.FreshnessDeadline > 0 {
		deadlines.Fresh = request.router.clock.at(action.FreshnessDeadline)
	}
	if action.AtPrimary {
		deadlines.AsPrimary = request.router.clock.at(startedAt).Add(-maxReportDelay)
	}
	result := backend.Result{Outcome: balance.NotSent}
	if startedAt < request.deadline { // otherwise no connection is established in vain
		pending := request.router.pool.Start(action.Endpoint, deadlines, request.writeQuery, request.isStillWanted)
		result = request.awaitAttempt(pending, action)
	}
	waited := !request.checkAbandoned()
	request.recordAttempt(action, startedAt, &result)
	request.reportAttempt(action, startedAt, &result)
	request.shareOutcome(action.Endpoint, &result)
	request.end.Served = result.Outcome == balance.Succeeded
	if request.end.Served && (waited || !request.clientLeft() || request.client.failedByClient) {
		return request.serveAnswer(&result), true
	}
	if !waited {
		return request.canceledAnswer(), true
	}
	return nil, false
}

// serveAnswer returns the final answer to a request that an endpoint has served.
func (request *request) serveAnswer(result *backend.Result) []byte {
	if request.result != nil {
		request.result.value, request.result.served = result.Value, true
	}
	answer := pgwire.AppendReady(result.Answer)
	if request.holdAnswer != nil && !request.holdAnswer(len(answer)) {
		request.outcome, request.end.Served, request.mayHaveRun = endFailed, false, true
		return droppedAnswer()
	}
	request.outcome = endServed
	return answer
}

// awaitAttempt waits for the end of an attempt: its answer, its deadline, the end of the shutdown, or a cancel by the
// decision module. If the client meanwhile disconnects or cancels the request, the module is notified at once.
func (request *request) awaitAttempt(pending *backend.Attempt, action balance.Action) backend.Result {
	timeout := time.NewTimer(time.Until(request.router.clock.at(action.AttemptDeadline)))
	defer timeout.Stop()
	clientLeft, canceled := request.client.left, request.canceled
	for {
		select {
		case result := <-pending.Done():
			return result
		case <-timeout.C:
			return pending.Abort(balance.TimedOut)
		case <-request.router.shutdown.over:
			return pending.Abort(balance.Canceled)
		case <-clientLeft:
			clientLeft = nil
			request.checkAbandoned() // the module then cancels the attempt, where cancels are allowed
		case <-canceled:
			canceled = nil
			request.checkAbandoned()
		case next := <-request.actions:
			isCancel := next.Kind == balance.CancelAttempt
			if invariant.Check(isCancel, "the only action during an open attempt is a cancel", "kind", next.Kind) {
				return pending.Abort(balance.Canceled)
			}
		}
	}
}

// reportAttempt reports the end of an attempt to the decision module.
func (request *request) reportAttempt(action balance.Action, startedAt clock.Nanos, result *backend.Result) {
	event := balance.Event{
		Kind:     balance.AttemptEnded,
		Attempt:  request.attempts,
		Endpoint: action.Endpoint,
		Outcome:  result.Outcome,
		Role:     result.Role,
		Position: result.Position,
		Final:    result.Outcome == balance.Succeeded,
	}
	request.attempts++
	if mayRun(result.Outcome) && !request.mayHaveRun {
		request.mayHaveRun, request.firstRunAt = true, startedAt
	}
	request.report(event)
}

// shareOutcome replicates what an attempt revealed about its endpoint and group to the other members.
func (request *request) shareOutcome(endpoint balance.EndpointID, result *backend.Result) {
	request.router.membership.learnFrom(request.Cluster, endpoint, result)
	if !request.router.config.Settings.IsWrite(request.Class) {
		return
	}
	switch {
	case result.Outcome == balance.Succeeded:
		request.router.membership.committed(request, result.Position)
	case mayRun(result.Outcome):
		request.router.membership.mayHaveRun(request.Class, request.Key)
	}
}

// recordAttempt counts an attempt that has ended and stores it for the access log.
func (request *request) recordAttempt(action balance.Action, startedAt clock.Nanos, result *backend.Result) {
	if request.router.metrics == nil && !request.router.accessLog.wanted() {
		return
	}
	host := request.router.directory.NameOf(action.Endpoint)
	request.router.metrics.CountOutcome(host, result.Outcome)
	if result.Outcome == balance.NotEligible {
		if request.router.config.Settings.IsWrite(request.Class) {
			request.router.metrics.Add(metrics.MissesNotPrimary)
		} else {
			request.router.metrics.Add(metrics.MissesStale)
		}
	}
	if request.router.accessLog.wanted() {
		request.trace = append(request.trace, tracedAttempt{host, action.Reason, result.Outcome, startedAt, request.router.clock.now()})
	}
}

// isStillWanted reports whether the query may still be sent. The connection pool calls it right before it writes the
// first byte, on any goroutine; it does not block.
func (request *request) isStillWanted() bool {
	return !request.clientLeft() && !request.isCanceled() && !request.router.shutdown.isOver() && request.router.clock.now() < request.lastRetryAt()
}

// lastRetryAt returns the latest time to send a query that may have run before. Servers drop duplicates during an
// idempotency window that starts with the first attempt. The decision module respects the window when it decides on a
// retry, but establishing a connection may take longer than the remainder of the window.
func (request *request) lastRetryAt() clock.Nanos {
	settings := request.router.config.Settings
	class := settings.Class(request.Class)
	if !request.mayHaveRun || settings.Balance.Classes[class].Idempotency != balance.IdempotentByKey {
		return math.MaxInt64
	}
	window := settings.Balance.Classes[class].IdempotencyWindow
	return request.firstRunAt + window - window/retryTransitDivisor
}

// repeatableUntil returns until when a request that has ended may run again, if its ID comes again; ok is false if it may
// at any time, as it has not run or is idempotent.
func (request *request) repeatableUntil() (until clock.Nanos, ok bool) {
	if !request.end.Served && !request.end.MayHaveRun { // its class may be unknown
		return 0, false
	}
	settings := request.router.config.Settings
	class := &settings.Balance.Classes[settings.Class(request.Class)]
	switch class.Idempotency {
	case balance.Idempotent:
		return 0, false
	case balance.NotIdempotent:
		return 0, true
	}
	firstRunAt := request.firstRunAt
	if firstRunAt == 0 { // the only attempt served it
		firstRunAt = request.arrivedAt
	}
	return firstRunAt + class.IdempotencyWindow - class.IdempotencyWindow/retryTransitDivisor, true
}

// writeQuery writes the query in the form that data servers read, with the remaining time until the deadline.
func (request *request) writeQuery(writer io.Writer) error {
	return request.WriteQuery(writer, time.Until(request.router.clock.at(request.deadline)))
}

// mayRun reports whether a query may have run though its attempt ended with this outcome.
func mayRun(outcome balance.Outcome) bool {
	switch outcome {
	case balance.Failed, balance.TimedOut, balance.ConnectionReset, balance.Canceled:
		return true
	}
	return false
}
