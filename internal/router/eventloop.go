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
)

const (
	eventQueueSize   = 4096
	maxLogLines      = 500                   // of the module's own log
	queueInterval    = 10 * time.Millisecond // while requests wait in their queues
	queryMemoryShare = 3                     // one part in so many of the memory may hold query text: buffers and answers need the rest
)

// loopEvent is one message to the event loop: an event for the decision module with the request that
// it concerns, or the end of a request.
type loopEvent struct {
	balance.Event
	request        *request
	mustSee        clock.Nanos // RequestIn: the position that the read must see
	requestEnded   bool        // the request's task has ended; no event of it follows
	reportedActive int         // ProbeDone: the number of active requests that the endpoint reports; -1: none reported
}

// eventLoop is the one goroutine that owns the decision module. It drains the queued events
// into one step and carries out the actions; it never waits for a socket.
type eventLoop struct {
	balancer      *balance.Balancer
	router        *Router
	events        chan loopEvent
	requests      map[string]*request // from RequestIn to the end of the task
	queryBytes    int                 // total size of their queries
	maxQueryBytes int                 // the most bytes that may be held
	timers        timers
	batch         []balance.Event
	endedRequests []*request // tasks that ended in this batch; still in requests
	requestCount  int
	logLines      int
	contracts     *contractService // the teams' contracts; nil: there are none
	calls         chan func()
	steppedAt     atomic.Int64 // the time of the last step whose actions were handed out
}

func newEventLoop(module *balance.Balancer, r *Router) *eventLoop {
	return &eventLoop{balancer: module, router: r, events: make(chan loopEvent, eventQueueSize), requests: map[string]*request{},
		maxQueryBytes: int(r.config.Limits.MemoryMB << 20 / queryMemoryShare), calls: make(chan func())}
}

// do runs a function on the event loop's goroutine and waits for it; it returns false if
// the context ended first.
func (o *eventLoop) do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case o.calls <- func() { f(); close(done) }:
		<-done
		return true
	case <-ctx.Done():
		return false
	}
}

func (o *eventLoop) run(ctx context.Context) {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		if len(o.timers) > 0 {
			wake.Reset(time.Until(o.router.clock.at(o.timers[0].at)))
		} else {
			wake.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			return
		case e := <-o.events:
			o.handle(e)
		case f := <-o.calls:
			f()
		case <-o.queueTimer():
		case <-o.router.recovery.tickTimer():
			o.router.recovery.tick()
		case <-wake.C:
		}
		for n := len(o.events); n > 0; n-- {
			o.handle(<-o.events)
		}
		o.step()
	}
}

// handle puts an event into the batch, unless the decision module must not see it.
func (o *eventLoop) handle(e loopEvent) {
	if e.requestEnded {
		if o.requests[e.request.ID] == e.request {
			o.requestEnded(e.request)
		}
		return
	}
	if o.contracts != nil {
		o.contracts.observe(&e)
	}
	switch e.Kind {
	case balance.RequestAbandoned:
		if o.requests[e.Request] != e.request { // a second request under a live ID: the module knows only the first
			return
		}
		if o.contracts != nil && o.contracts.ledger.Abandon(e.Request) { // still queued: the module has not seen it yet
			return
		}
	case balance.AttemptEnded:
		e.request.endsReported++
		o.router.recovery.attemptEnded(e.request, e.Outcome)
	case balance.RequestArrived:
		o.router.metrics.Add(metrics.Requests)
		if o.requests[e.Request] != nil {
			o.router.metrics.Add(metrics.DuplicateID)
			e.request.deliver(balance.Action{Kind: balance.FailRequest}) // the module ignores an ID that is live
			return
		}
		if o.openRequests() >= o.router.config.Settings.Balance.MaxQueued || o.queryBytes+e.request.Size() > o.maxQueryBytes {
			o.router.metrics.Add(metrics.TooManyInFlight)
			e.request.deliver(balance.Action{Kind: balance.RejectRequest, RetryAfter: o.retryAfter(e.Class)})
			return
		}
		hold := false
		if o.contracts != nil {
			var taken bool
			if taken, hold = o.contracts.admit(&e, o.router.clock.now()); !taken {
				return
			}
		}
		o.requestCount++
		e.request.takenAt.Store(o.router.clock.now())
		o.requests[e.Request] = e.request
		o.queryBytes += e.request.Size()
		if hold {
			e.request.queuedArrival = e
		} else {
			o.addToBatch(e)
		}
		return
	}
	o.batch = append(o.batch, e.Event)
}

// requestEnded frees what a request held: its client's next one may follow in the same batch. The request itself stays until the
// module's step, which may still act for it.
func (o *eventLoop) requestEnded(r *request) {
	o.endedRequests = append(o.endedRequests, r)
	o.queryBytes -= r.Size()
	if o.contracts != nil {
		o.contracts.requestEnded(r, o.router.clock.now())
	}
}

// openRequests is the number of requests whose tasks have not ended.
func (o *eventLoop) openRequests() int { return len(o.requests) - len(o.endedRequests) }

// addToBatch puts a request into the batch.
func (o *eventLoop) addToBatch(e loopEvent) {
	if e.mustSee > 0 {
		e.CommitAge = max(1, o.router.clock.now()-e.mustSee)
	}
	o.batch = append(o.batch, e.Event)
}

// retryAfter returns the Retry-After time of a request that the router itself rejects.
func (o *eventLoop) retryAfter(class int) clock.Nanos {
	set := &o.router.config.Settings.Balance
	if !set.RetryAfterAllowed || class < 0 {
		return 0
	}
	return min(set.Classes[class].LatencyObjective, set.MaxRetryAfter)
}

// queueTimer wakes the event loop while requests wait in the contracts' queues.
func (o *eventLoop) queueTimer() <-chan time.Time {
	if o.contracts == nil || o.contracts.ledger.QueuedCount() == 0 {
		return nil
	}
	return time.After(queueInterval)
}

func (o *eventLoop) step() {
	now := o.router.clock.now()
	if m := o.router.membership; m != nil {
		if e, ok := m.quotaChange(now); ok {
			o.batch = append(o.batch, e)
			if o.contracts != nil {
				o.contracts.ledger.SetMinLoadShare(e.Share)
			}
		}
	}
	if o.contracts != nil {
		o.contracts.releaseQueued(now)
	}
	for len(o.timers) > 0 && o.timers[0].at <= now {
		t := heap.Pop(&o.timers).(timer)
		o.batch = append(o.batch, balance.Event{Kind: balance.TimerFired, TimerID: t.tag})
	}
	if len(o.batch) == 0 && len(o.endedRequests) == 0 {
		return
	}
	if o.contracts != nil {
		o.contracts.order(o.batch, o.requests)
	}
	acts := o.balancer.Step(now, o.batch)
	clear(o.batch)
	o.batch = o.batch[:0] // events that were skipped go into the next batch at once
	for _, a := range acts {
		o.carryOut(a)
	}
	o.steppedAt.Store(now)
	o.removeEnded()
}

// owesDecision says whether the decision module had a request in a step at its deadline or later, and handed nothing out for it by now. An
// event loop that has not run since then owes nothing yet: on a machine that does not let it run, that is no fault of the module's.
func (o *eventLoop) owesDecision(r *request, steppedAt clock.Nanos) bool {
	taken := r.takenAt.Load()
	return taken != 0 && taken <= steppedAt && steppedAt >= r.deadline
}

// reportNotSent tells the module that an attempt was not made: the one outcome that it does not count against the endpoint, and
// after which it ends the request at once. Refused or Busy would make it treat the endpoint as gone, or as full.
func (o *eventLoop) reportNotSent(r *request, a *balance.Action) {
	o.batch = append(o.batch, balance.Event{Kind: balance.AttemptEnded, Request: r.ID, Attempt: r.endsReported, Endpoint: a.Endpoint, Outcome: balance.NotSent})
	r.attemptsSent, r.endsReported = r.attemptsSent+1, r.endsReported+1
}

// removeEnded drops the requests whose tasks have ended. A send action that arrived after the
// task's end was not carried out: the module must be notified, or it would count the
// attempt as pending forever.
func (o *eventLoop) removeEnded() {
	for _, r := range o.endedRequests {
		delete(o.requests, r.ID)
		if r.endsReported < r.attemptsSent {
			o.batch = append(o.batch, balance.Event{Kind: balance.AttemptEnded, Request: r.ID, Attempt: r.endsReported,
				Endpoint: r.lastEndpoint, Outcome: balance.NotSent})
			if o.contracts != nil {
				o.contracts.attemptEnded(r.lastEndpoint)
			}
		}
	}
	clear(o.endedRequests)
	o.endedRequests = o.endedRequests[:0]
	if len(o.batch) > 0 {
		o.step()
	}
}

// carryOut executes one action.
func (o *eventLoop) carryOut(a balance.Action) {
	o.router.metrics.CountAction(&a)
	switch a.Kind {
	case balance.SendAttempt, balance.RejectRequest, balance.FailRequest, balance.CancelAttempt:
		r := o.requests[a.Request]
		if invariant.Check(r != nil, "the module acts for a request that is here", "kind", a.Kind) {
			if a.Kind == balance.SendAttempt {
				invariant.Check(r.attemptsSent == r.endsReported, "one attempt of a request at a time")
				if !o.router.recovery.allowSend(r, &a) {
					o.reportNotSent(r, &a)
					return
				}
				if r.attemptsSent == 0 {
					o.router.metrics.Add(metrics.FirstAttempts)
				} else {
					o.router.metrics.Add(metrics.Retries)
				}
				r.attemptsSent, r.lastEndpoint = r.attemptsSent+1, a.Endpoint
				if o.contracts != nil {
					o.contracts.openAttempts[a.Endpoint]++
				}
			}
			r.deliver(a)
		}
	case balance.SetTimer:
		heap.Push(&o.timers, timer{a.TimerAt, a.TimerID})
	case balance.SendProbe:
		o.router.metrics.Add(metrics.Probes)
		go o.router.findPosition(a.Endpoint)
	case balance.WatchEndpoints: // discovery is always followed
	case balance.WriteLog:
		if a.Reason == balance.ReasonEjected {
			o.router.membership.suspected(a.Endpoint)
		}
		if o.logLines++; o.logLines <= maxLogLines {
			slog.Info("module", "says", a.Message)
		}
	}
}
