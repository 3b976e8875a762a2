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

// retryTripShare: one part in so many of an idempotency window is reserved for a retry's way to the data server.
const retryTripShare = 8

// attempt makes one attempt; there is never another while it is open. It returns the final answer if that ends the request.
func (r *request) attempt(action balance.Action) (answer []byte, ended bool) {
	r.router.membership.logAttempt(r, action)
	startedAt := r.router.clock.now()
	deadlines := backend.Deadlines{Connect: r.router.clock.at(action.ConnectDeadline), Answer: r.router.clock.at(action.AttemptDeadline)}
	if action.FreshnessDeadline > 0 {
		deadlines.Fresh = r.router.clock.at(action.FreshnessDeadline)
	}
	started := r.router.pool.Start(action.Endpoint, deadlines, r.writeQuery, r.isStillWanted)
	result := r.awaitAttempt(started, action)
	waited := !r.checkAbandoned()
	r.recordAttempt(action, startedAt, &result)
	r.reportAttempt(action, startedAt, &result)
	r.shareOutcome(action.Endpoint, &result)
	r.end.Served = result.Outcome == balance.Succeeded
	if r.end.Served && (waited || !r.clientLeft() || r.client.failedByClient) {
		r.outcome = endServed
		if r.result != nil {
			r.result.value, r.result.served = result.Value, true
		}
		return pgwire.AppendReady(result.Answer), true
	}
	if !waited {
		return r.canceledAnswer(), true
	}
	return nil, false
}

// awaitAttempt waits for an attempt's end: its answer, its deadline, the module's cancel, or the client's leaving, which is
// reported to the module at once.
func (r *request) awaitAttempt(started *backend.Attempt, action balance.Action) backend.Result {
	late := time.NewTimer(time.Until(r.router.clock.at(action.AttemptDeadline)))
	defer late.Stop()
	left, canceled := r.client.left, r.canceled
	for {
		select {
		case result := <-started.Done():
			return result
		case <-late.C:
			return started.Abort(balance.TimedOut)
		case <-r.router.shutdown.over:
			return started.Abort(balance.Canceled)
		case <-left:
			left = nil
			r.checkAbandoned() // a cancel follows, where cancels are allowed
		case <-canceled:
			canceled = nil
			r.checkAbandoned()
		case next := <-r.actions:
			isCancel := next.Kind == balance.CancelAttempt
			if invariant.Check(isCancel, "no action but a cancel while an attempt is open", "kind", next.Kind) {
				return started.Abort(balance.Canceled)
			}
		}
	}
}

// reportAttempt tells the decision module how an attempt ended.
func (r *request) reportAttempt(action balance.Action, startedAt clock.Nanos, result *backend.Result) {
	event := balance.Event{
		Kind:     balance.AttemptEnded,
		Attempt:  r.attempts,
		Endpoint: action.Endpoint,
		Outcome:  result.Outcome,
		Role:     result.Role,
		Position: result.Position,
		Final:    result.Outcome == balance.Succeeded,
	}
	r.attempts++
	if mayRun(result.Outcome) && !r.mayHaveRun {
		r.mayHaveRun, r.firstRunAt = true, startedAt
	}
	r.report(event)
}

// shareOutcome replicates what an attempt has shown to the peers.
func (r *request) shareOutcome(endpoint balance.EndpointID, result *backend.Result) {
	r.router.membership.learnFrom(r.Cluster, endpoint, result)
	if !r.router.config.Settings.IsWrite(r.Class) {
		return
	}
	switch {
	case result.Outcome == balance.Succeeded:
		r.router.membership.committed(r, result.Position)
	case mayRun(result.Outcome):
		r.router.membership.mayHaveRun(r.Class, r.Key)
	}
}

// recordAttempt counts an attempt that has ended, and keeps it for the attempt log.
func (r *request) recordAttempt(action balance.Action, startedAt clock.Nanos, result *backend.Result) {
	if r.router.metrics == nil && !r.router.accessLog.wanted() {
		return
	}
	host := r.router.directory.NameOf(action.Endpoint)
	r.router.metrics.CountOutcome(host, result.Outcome)
	if result.Outcome == balance.NotEligible {
		if r.router.config.Settings.IsWrite(r.Class) {
			r.router.metrics.Add(metrics.MissesNotPrimary)
		} else {
			r.router.metrics.Add(metrics.MissesStale)
		}
	}
	if r.router.accessLog.wanted() {
		r.trace = append(r.trace, tracedAttempt{host, action.Reason, result.Outcome, startedAt, r.router.clock.now()})
	}
}

// isStillWanted says whether the query may still be sent, right before its first byte is: it is called on any goroutine,
// and does not block.
func (r *request) isStillWanted() bool {
	return !r.clientLeft() && !r.isCanceled() && !r.router.shutdown.isOver() && r.router.clock.now() < r.lastRetryAt()
}

// lastRetryAt is the last time at which a query may be sent that may have run before. Servers drop duplicates for a window
// that starts with the first attempt; the decision module respects it when it decides on a retry, and a dial may take longer
// than what is left of it.
func (r *request) lastRetryAt() clock.Nanos {
	settings := r.router.config.Settings
	class := settings.Class(r.Class)
	if !r.mayHaveRun || settings.Balance.Classes[class].Idempotency != balance.IdempotentByKey {
		return math.MaxInt64
	}
	window := settings.Balance.Classes[class].IdempotencyWindow
	return r.firstRunAt + window - window/retryTripShare
}

// writeQuery writes the query in the form that data servers read, with the deadline that is left.
func (r *request) writeQuery(w io.Writer) error {
	return r.WriteQuery(w, time.Until(r.router.clock.at(r.deadline)))
}

// mayRun says whether an attempt's outcome leaves open that it ran.
func mayRun(outcome balance.Outcome) bool {
	switch outcome {
	case balance.Failed, balance.TimedOut, balance.ConnectionReset, balance.Canceled:
		return true
	}
	return false
}
