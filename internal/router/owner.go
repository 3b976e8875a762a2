package router

import (
	"container/heap"
	"context"
	"log/slog"
	"time"

	"lotushook/internal/invariant"
	"lotushook/internal/metrics"
	"lotushook/policy/balance"
	"lotushook/policy/recovery"
)

const (
	queuedEvents = 4096
	mostLines    = 500                   // of the module's own log
	turnEvery    = 10 * time.Millisecond // while requests wait for their turns
	heldShare    = 3                     // one part in so many of the memory is for held statements: buffers and answers need the rest
)

// event is what the owner hears: an event for the module, with the request that
// it concerns, or the end of a request.
type event struct {
	balance.Event
	req   *request
	after balance.Nanos // RequestIn: the position that the read must see
	over  bool          // the request's task has ended; nothing of it comes after this
	held  int           // ProbeDone: what the node says that it holds, -1: nothing
}

// owner is the one goroutine that holds the module. It drains the queued events
// into one step and hands the actions on; it never waits for a socket.
type owner struct {
	module   *balance.Balancer
	router   *Router
	events   chan event
	requests map[string]*request // from RequestIn to the end of the task
	held     int                 // bytes of their statements
	room     int                 // the most bytes that may be held
	timers   timers
	batch    []balance.Event
	ended    []*request // tasks that ended in this batch
	count    int
	lines    int
	terms    *terms // of the teams' contracts; nil: there are none
	calls    chan func()
}

func newOwner(module *balance.Balancer, r *Router) *owner {
	return &owner{module: module, router: r, events: make(chan event, queuedEvents), requests: map[string]*request{},
		room: int(r.conf.Limits.MemoryMB << 20 / heldShare), calls: make(chan func())}
}

// do runs a function on the owner's goroutine and waits for it; it says false if
// the context ended first.
func (o *owner) do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case o.calls <- func() { f(); close(done) }:
		<-done
		return true
	case <-ctx.Done():
		return false
	}
}

func (o *owner) run(ctx context.Context) {
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
			o.take(e)
		case f := <-o.calls:
			f()
		case <-o.turns():
		case <-o.router.recovery.ticks():
			o.router.recovery.tick()
		case <-wake.C:
		}
		for n := len(o.events); n > 0; n-- {
			o.take(<-o.events)
		}
		o.step()
	}
}

// take puts an event into the batch, unless it is not the module's business.
func (o *owner) take(e event) {
	if e.over {
		if o.requests[e.req.ID] == e.req {
			o.ended = append(o.ended, e.req)
		}
		return
	}
	if o.terms != nil {
		o.terms.hear(&e)
	}
	switch e.Kind {
	case balance.RequestGone:
		if o.requests[e.Request] != e.req { // a second one of a live id: the module knows only the first
			return
		}
		if o.terms != nil && o.terms.book.Drop(e.Request) { // it does not know this one yet
			return
		}
	case balance.AttemptDone:
		e.req.told++
		o.router.recovery.ended(e.req, e.Outcome)
	case balance.RequestIn:
		o.router.tally.Add(metrics.Asked)
		if o.requests[e.Request] != nil {
			o.router.tally.Add(metrics.TwiceAlive)
			e.req.hand(balance.Action{Kind: balance.Fail}) // the module ignores a live id
			return
		}
		if len(o.requests) >= o.router.conf.Settings.Balance.MaxHeld || o.held+e.req.Size() > o.room {
			o.router.tally.Add(metrics.NoRoom)
			e.req.hand(balance.Action{Kind: balance.Refuse, Wait: o.comeAgain(e.Class)})
			return
		}
		hold := false
		if o.terms != nil {
			var taken bool
			if taken, hold = o.terms.ask(&e, o.router.clock.now()); !taken {
				return
			}
		}
		o.count++
		o.requests[e.Request] = e.req
		o.held += e.req.Size()
		if hold {
			e.req.held = e
		} else {
			o.admit(e)
		}
		return
	}
	o.batch = append(o.batch, e.Event)
}

// admit puts a request into the batch.
func (o *owner) admit(e event) {
	if e.after > 0 {
		e.TokenAge = max(1, o.router.clock.now()-e.after)
	}
	o.batch = append(o.batch, e.Event)
}

// comeAgain is when a client may come again that the router itself turns away.
func (o *owner) comeAgain(class int) balance.Nanos {
	set := &o.router.conf.Settings.Balance
	if !set.RetryAfter || class < 0 {
		return 0
	}
	return min(set.Classes[class].Aim, set.MaxRetryAfter)
}

// turns wakes the owner while requests wait for their turns.
func (o *owner) turns() <-chan time.Time {
	if o.terms == nil || o.terms.book.Waiting() == 0 {
		return nil
	}
	return time.After(turnEvery)
}

func (o *owner) step() {
	now := o.router.clock.now()
	if m := o.router.members; m != nil {
		if e, ok := m.divided(now); ok {
			o.batch = append(o.batch, e)
			if o.terms != nil {
				o.terms.book.Divide(e.Share)
			}
		}
	}
	if o.terms != nil {
		o.terms.due(now)
	}
	for len(o.timers) > 0 && o.timers[0].at <= now {
		t := heap.Pop(&o.timers).(timer)
		o.batch = append(o.batch, balance.Event{Kind: balance.Wakeup, Tag: t.tag})
	}
	if len(o.batch) == 0 && len(o.ended) == 0 {
		return
	}
	if o.terms != nil {
		o.terms.order(o.batch, o.requests)
	}
	acts := o.module.Step(now, o.batch)
	clear(o.batch)
	o.batch = o.batch[:0] // what is skipped goes into the next one, at once
	for _, a := range acts {
		o.act(a)
	}
	o.forget()
}

// skip tells the module that an attempt was not made: the one outcome that it does not hold against the node, and after
// which it ends the request at once. Refused or Busy would have it take the node for gone, or full.
func (o *owner) skip(r *request, a *balance.Action) {
	o.batch = append(o.batch, balance.Event{Kind: balance.AttemptDone, Request: r.ID, Attempt: r.told, Node: a.Node, Outcome: balance.Skipped})
	r.sent, r.told = r.sent+1, r.told+1
}

// forget drops the requests whose tasks have ended. A send that crossed the
// task's end was never made: the module must hear so, or it would count the
// attempt as pending for good.
func (o *owner) forget() {
	for _, r := range o.ended {
		delete(o.requests, r.ID)
		o.held -= r.Size()
		if o.terms != nil {
			o.terms.ended(r, o.router.clock.now())
		}
		if r.told < r.sent {
			o.batch = append(o.batch, balance.Event{Kind: balance.AttemptDone, Request: r.ID, Attempt: r.told,
				Node: r.node, Outcome: balance.Skipped})
			if o.terms != nil {
				o.terms.back(r.node)
			}
		}
	}
	clear(o.ended)
	o.ended = o.ended[:0]
	if len(o.batch) > 0 {
		o.step()
	}
}

// act hands one action on.
func (o *owner) act(a balance.Action) {
	o.router.tally.Act(&a)
	switch a.Kind {
	case balance.Send, balance.Refuse, balance.Fail, balance.Cancel:
		r := o.requests[a.Request]
		if invariant.Check(r != nil, "the module acts for a request that is here", "kind", a.Kind) {
			if a.Kind == balance.Send {
				invariant.Check(r.sent == r.told, "one attempt of a request at a time")
				if !o.router.recovery.send(r, &a) {
					o.skip(r, &a)
					return
				}
				if r.sent == 0 {
					o.router.tally.Add(metrics.First)
				} else {
					o.router.tally.Add(metrics.Repeated)
				}
				r.sent, r.node = r.sent+1, a.Node
				if o.terms != nil {
					o.terms.out[a.Node]++
				}
			}
			r.hand(a)
		}
	case balance.Timer:
		heap.Push(&o.timers, timer{a.At, a.Tag})
	case balance.Probe:
		o.router.tally.Add(metrics.Probes)
		go o.router.find(a.Node)
	case balance.Follow: // discovery is always followed
	case balance.Log:
		if a.Why == balance.Suspected {
			o.router.members.suspected(a.Node)
		}
		if o.lines++; o.lines <= mostLines {
			slog.Info("module", "says", a.Text)
		}
	}
}

// find tells the module how far a node is that it asks for: by what another router heard of it just now, or by a probe.
func (r *Router) find(node uint32) {
	if at := r.members.position(node); at > 0 {
		r.owner.events <- event{Event: balance.Event{Kind: balance.ProbeDone, Node: node, Outcome: balance.Skipped, Position: at}, held: -1}
		return
	}
	r.probe(node)
}

// probe asks a node for its report and tells the module.
func (r *Router) probe(node uint32) {
	wait, ok := r.recovery.allow(recovery.Probe, time.Second)
	if !ok {
		r.owner.events <- event{Event: balance.Event{Kind: balance.ProbeDone, Node: node, Outcome: balance.Skipped}, held: -1}
		return
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	res, rep := r.pool.Probe(node, r.conf.Settings.ConnectTimeout)
	e, held := balance.Event{Kind: balance.ProbeDone, Node: node, Outcome: res.Outcome}, -1
	if res.Outcome == balance.Done {
		r.tally.Add(metrics.Probed)
		e.Position = rep.Position * 1e6
		if rep.HasRole {
			e.Role = balance.Replica
			if rep.Primary {
				e.Role = balance.Primary
			}
		}
		e.Reported, e.Waiting, e.Active = rep.HasLoad, rep.Waiting, rep.Active
		if rep.HasHeld {
			held = rep.Active
		}
	} else {
		slog.Debug("probe", "node", node, "outcome", res.Outcome, "err", res.Err)
	}
	r.owner.events <- event{Event: e, held: held}
}

type timer struct {
	at  balance.Nanos
	tag int64
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
