package router

import (
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"lotushook/internal/invariant"
	"lotushook/internal/metrics"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
	"lotushook/policy/repeatguard"
)

const (
	eventQueueSize = 4096
	maxLogLines    = 500 // how many lines of the decision module's own log are written
	// A client that left may send its request again, with the same ID, while it still wants the answer.
	repeatRetention       = 10 * clock.Second
	maxRememberedRequests = 4096

	queueInterval = 10 * time.Millisecond // the time between steps while requests wait in the contracts' queues
)

// loopEvent is one message to the event loop: an event for the decision module with the request that it concerns, or
// the end of a request.
type loopEvent struct {
	balance.Event
	request        *request
	minPosition    clock.Nanos // RequestArrived: the minimum log position that the read requires; 0: none
	requestEnded   bool        // the request's task has ended; no event of the request follows
	reportedActive int         // ProbeEnded: the number of active requests that the endpoint reports; -1: none reported
}

// eventLoop owns the decision module; its run method is the only goroutine that uses the module. It passes all queued
// events to the module in one step and carries out the resulting actions. It never waits for a socket.
type eventLoop struct {
	balancer      *balance.Balancer
	router        *Router
	events        chan loopEvent
	requests      map[string]*request // from RequestArrived to the end of the task
	timers        timers
	batch         []balance.Event
	endedRequests []*request // tasks that ended in this batch; still in requests
	requestCount  int
	logLines      int
	repeats       *repeatguard.Guard
	contracts     *contractService // the teams' contracts; nil: none are configured
	calls         chan func()
	steppedAt     atomic.Int64 // the time of the last step whose actions were delivered
}

func newEventLoop(balancer *balance.Balancer, router *Router) (*eventLoop, error) {
	repeats, err := repeatguard.New(repeatRetention, maxRememberedRequests)
	return &eventLoop{balancer: balancer, router: router, events: make(chan loopEvent, eventQueueSize), requests: map[string]*request{},
		repeats: repeats, calls: make(chan func())}, err
}

// do runs a function on the event loop's goroutine and waits for it. It returns false if the context ended first.
func (loop *eventLoop) do(ctx context.Context, call func()) bool {
	done := make(chan struct{})
	select {
	case loop.calls <- func() { call(); close(done) }:
		<-done
		return true
	case <-ctx.Done():
		return false
	}
}

func (loop *eventLoop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if len(loop.timers) > 0 {
			timer.Reset(time.Until(loop.router.clock.at(loop.timers[0].at)))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			return
		case event := <-loop.events:
			loop.handle(event)
		case call := <-loop.calls:
			call()
		case <-loop.queueTimer():
		case <-loop.router.recovery.tickTimer():
			loop.router.recovery.tick()
		case <-timer.C:
		}
		for queued := len(loop.events); queued > 0; queued-- {
			loop.handle(<-loop.events)
		}
		loop.step()
	}
}

// handle adds an event to the next batch, unless the decision module must not receive it.
func (loop *eventLoop) handle(event loopEvent) {
	if event.requestEnded {
		if loop.requests[event.request.ID] == event.request {
			loop.requestEnded(event.request)
		}
		return
	}
	if loop.contracts != nil {
		loop.contracts.observe(&event)
	}
	switch event.Kind {
	case balance.RequestAbandoned:
		if loop.requests[event.Request] != event.request { // a duplicate ID; the module knows only the first request
			return
		}
		if loop.contracts != nil && loop.contracts.ledger.Abandon(event.Request) { // still queued: unknown to the module
			return
		}
	case balance.AttemptEnded:
		event.request.endsReported++
		loop.router.recovery.attemptEnded(event.request, event.Outcome)
	case balance.RequestArrived:
		loop.router.metrics.Add(metrics.Requests)
		if loop.requests[event.Request] != nil || !loop.repeats.MayRun(event.Request, loop.router.clock.now()) {
			loop.router.metrics.Add(metrics.DuplicateID)
			event.request.deliver(balance.Action{Kind: balance.FailRequest}) // the module ignores a duplicate ID
			return
		}
		if loop.openRequests() >= loop.router.config.Settings.Balance.MaxQueued {
			loop.router.metrics.Add(metrics.TooManyInFlight)
			event.request.deliver(balance.Action{Kind: balance.RejectRequest, RetryAfter: loop.retryAfter(event.Class)})
			return
		}
		queued := false
		if loop.contracts != nil {
			var accepted bool
			if accepted, queued = loop.contracts.admit(&event, loop.router.clock.now()); !accepted {
				return
			}
		}
		loop.requestCount++
		event.request.receivedAt.Store(loop.router.clock.now())
		loop.requests[event.Request] = event.request
		if queued {
			event.request.queuedArrival = event
		} else {
			loop.addToBatch(event)
		}
		return
	}
	loop.batch = append(loop.batch, event.Event)
}

// requestEnded releases the resources of a request, such as its place in its team's contract, at once, since the next
// request of its client may be in the same batch. The request stays in the map until after the module's next step,
// which may still return actions for it.
func (loop *eventLoop) requestEnded(request *request) {
	loop.endedRequests = append(loop.endedRequests, request)
	if until, ok := request.repeatableUntil(); ok {
		loop.repeats.Ended(request.ID, until, loop.router.clock.now())
	}
	if loop.contracts != nil {
		loop.contracts.requestEnded(request, loop.router.clock.now())
	}
}

// openRequests returns the number of requests whose tasks have not ended.
func (loop *eventLoop) openRequests() int { return len(loop.requests) - len(loop.endedRequests) }

// addToBatch adds a request's arrival to the next batch.
func (loop *eventLoop) addToBatch(event loopEvent) {
	if event.minPosition > 0 {
		event.CommitAge = max(1, loop.router.clock.now()-event.minPosition)
	}
	loop.batch = append(loop.batch, event.Event)
}

// retryAfter returns the Retry-After time for a request that the router rejects without asking the module.
func (loop *eventLoop) retryAfter(class int) clock.Nanos {
	settings := &loop.router.config.Settings.Balance
	if !settings.RetryAfterAllowed || class < 0 {
		return 0
	}
	return min(settings.Classes[class].LatencyObjective, settings.MaxRetryAfter)
}

// queueTimer returns a timer that wakes the event loop while requests wait in the contracts' queues; otherwise nil.
func (loop *eventLoop) queueTimer() <-chan time.Time {
	if loop.contracts == nil || loop.contracts.ledger.QueuedCount() == 0 {
		return nil
	}
	return time.After(queueInterval)
}

func (loop *eventLoop) step() {
	now := loop.router.clock.now()
	if members := loop.router.membership; members != nil {
		if event, ok := members.quotaChange(now); ok {
			loop.batch = append(loop.batch, event)
			if loop.contracts != nil {
				loop.contracts.ledger.SetMinLoadShare(event.Share)
			}
		}
	}
	if loop.contracts != nil {
		loop.contracts.releaseQueued(now)
	}
	for len(loop.timers) > 0 && loop.timers[0].at <= now {
		expired := heap.Pop(&loop.timers).(timer)
		loop.batch = append(loop.batch, balance.Event{Kind: balance.TimerFired, TimerID: expired.id})
	}
	if len(loop.batch) == 0 && len(loop.endedRequests) == 0 {
		return
	}
	if loop.contracts != nil {
		loop.contracts.order(loop.batch, loop.requests)
	}
	actions := loop.balancer.Step(now, loop.batch)
	clear(loop.batch)
	loop.batch = loop.batch[:0] // carryOut and removeEnded add events to the next batch
	for _, action := range actions {
		loop.carryOut(action)
	}
	loop.steppedAt.Store(now)
	loop.removeEnded()
}

// isDecisionOverdue reports whether the decision module has processed a step at or after a request's deadline, while it
// knew the request. The module should have returned a final answer by then. If the event loop got no CPU time since the
// deadline, the module is not at fault.
func (loop *eventLoop) isDecisionOverdue(request *request, steppedAt clock.Nanos) bool {
	receivedAt := request.receivedAt.Load()
	return receivedAt != 0 && receivedAt <= steppedAt && steppedAt >= request.deadline
}

// reportNotSent reports to the module that an attempt was not made. NotSent is the only outcome that the module does
// not count against the endpoint, and it ends the request at once. ConnectionRefused or Busy would make the module
// treat the endpoint as stopped or as overloaded.
func (loop *eventLoop) reportNotSent(request *request, action *balance.Action) {
	loop.batch = append(loop.batch, balance.Event{Kind: balance.AttemptEnded, Request: request.ID, Attempt: request.endsReported, Endpoint: action.Endpoint, Outcome: balance.NotSent})
	request.attemptsSent, request.endsReported = request.attemptsSent+1, request.endsReported+1
}

// removeEnded removes the requests whose tasks have ended. A send action that was delivered after the end of the task
// was not carried out; the module must be notified, or it would count the attempt as open forever.
func (loop *eventLoop) removeEnded() {
	for _, request := range loop.endedRequests {
		delete(loop.requests, request.ID)
		if request.endsReported < request.attemptsSent {
			loop.batch = append(loop.batch, balance.Event{Kind: balance.AttemptEnded, Request: request.ID, Attempt: request.endsReported,
				Endpoint: request.lastEndpoint, Outcome: balance.NotSent})
			if loop.contracts != nil {
				loop.contracts.attemptEnded(request.lastEndpoint)
			}
		}
	}
	clear(loop.endedRequests)
	loop.endedRequests = loop.endedRequests[:0]
	if len(loop.batch) > 0 {
		loop.step()
	}
}

// carryOut executes one action.
func (loop *eventLoop) carryOut(action balance.Action) {
	loop.router.metrics.CountAction(&action)
	switch action.Kind {
	case balance.SendAttempt, balance.RejectRequest, balance.FailRequest, balance.CancelAttempt:
		request := loop.requests[action.Request]
		if invariant.Check(request != nil, "an action of the module names an open request", "kind", action.Kind) {
			if action.Kind == balance.SendAttempt {
				invariant.Check(request.attemptsSent == request.endsReported, "a request has one open attempt at a time")
				if !loop.router.recovery.allowSend(request, &action) {
					loop.reportNotSent(request, &action)
					return
				}
				if request.attemptsSent == 0 {
					loop.router.metrics.Add(metrics.FirstAttempts)
				} else {
					loop.router.metrics.Add(metrics.Retries)
				}
				request.attemptsSent, request.lastEndpoint = request.attemptsSent+1, action.Endpoint
				if loop.contracts != nil {
					loop.contracts.openAttempts[action.Endpoint]++
				}
			}
			request.deliver(action)
		}
	case balance.SetTimer:
		heap.Push(&loop.timers, timer{action.TimerAt, action.TimerID})
	case balance.SendProbe:
		loop.router.metrics.Add(metrics.Probes)
		go loop.router.findPosition(action.Endpoint)
	case balance.WatchEndpoints: // the endpoint list is always watched
	case balance.WriteLog:
		if action.Reason == balance.ReasonEjected {
			loop.router.membership.suspected(action.Endpoint)
		}
		if loop.logLines++; loop.logLines <= maxLogLines {
			slog.Info("module", "says", action.Message)
		}
	}
}
