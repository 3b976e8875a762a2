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
	"lotushook/policy/contract"
	"lotushook/policy/recovery"
	"lotushook/policy/shedding"
)

const (
	margin  = 20 * time.Millisecond // of a client's wait: the way here, and the way back
	silence = 15 * time.Millisecond // past the deadline the module's word is not waited for longer
	mailbox = 8                     // one attempt and one final answer at a time, and what they cross

	tripShare = 8 // one part in so many of a window for repeats is left for the way to the node
)

// request is one client's request; its task is run.
type request struct {
	pgwire.Request
	router   *Router
	client   *client
	canceled chan struct{} // closed once, with the client's lock held, by a CancelRequest; nil: none can name it
	deadline balance.Nanos
	acts     chan balance.Action

	who    contract.Who     // its client, where teams have contracts
	wrote  balance.Nanos    // when any router saw its session write last, by the log; 0: not known, or not shared
	lane   shedding.Verdict // the owner's, where there are lanes
	why    *refusal         // the owner's, before it hands a refusal: the contract's
	ground contract.Reason
	after  bool // others are placed before it
	asked  contract.Request
	held   event // the owner's: its arrival, while it waits for its turn
	came   balance.Nanos
	end    contract.End  // the task's, before it tells its end
	ran    bool          // the task's: an attempt may have run
	ranAt  balance.Nanos // the task's: the first that may have run can't have begun before; 0: none may have
	gone   bool          // the task's: the module has been told that nobody waits any more
	floor  ground        // the task's: what a session's read must see, and on whose word; empty where no sends are recorded
	way    []step        // the task's: its attempts, where a line of it may be wanted
	result *result       // the task's: what it ended with, where the router itself asked

	// The owner's: sends handed over, ends of attempts heard, and the last send's node.
	sent, told int
	node       uint32
	try        recovery.Attempt // the last one that recovery was asked for, and when
	tried      balance.Nanos
}

// result is how a request ended that the router itself made.
type result struct {
	value  []byte
	served bool
	wait   balance.Nanos // refused: when to come again; 0: not told
}

// hand gives the task an action; the owner must never wait for it.
func (r *request) hand(a balance.Action) {
	select {
	case r.acts <- a:
	default:
		invariant.Check(false, "a request's mailbox has room", "kind", a.Kind)
	}
}

// tell puts an event of this request to the module.
func (r *request) tell(e balance.Event) {
	e.Request = r.ID
	r.router.owner.events <- event{Event: e, req: r}
}

// run is the life of the request, from its arrival to its one final answer,
// which it returns; nil when the client has left.
func (r *request) run() []byte {
	set := r.router.conf.Settings
	r.came = r.router.clock.now()
	defer func() {
		r.end.MayRun = r.ran && !r.end.Served
		r.end.Took = r.router.clock.now() - r.came
		r.router.owner.events <- event{req: r, over: true}
	}()

	// The module is told, and from now on says what to do.
	in := event{req: r, Event: balance.Event{Kind: balance.RequestIn, Request: r.ID, Class: set.Class(r.Class),
		Tenant: -1, Session: r.Session, Deadline: r.deadline, Group: r.Cluster}}
	if set.IsSession(r.Class) { // its last write may have been another router's, whose word the client did not bring
		if at := r.router.members.commit(r.Cluster, r.Session); at > 0 {
			r.See((at + 1e6 - 1) / 1e6)
			r.wrote = at
			r.floor = r.router.members.ground(r.Cluster, r.Session, at)
		}
	}
	if r.HasPos {
		in.after = max(1, r.After*1e6)
	}
	if in.after >= r.floor.at+1e6 { // the client knows of a later one
		r.floor = ground{at: in.after}
	}
	r.router.owner.events <- in

	// How it ends, for the counts and the line that tells its way.
	outcome, why := departed, balance.Usual
	defer func() {
		switch outcome {
		case served:
			r.router.tally.Add(metrics.Served)
		case departed:
			r.router.tally.Add(metrics.Gone)
		}
		r.router.tracer.write(r, outcome, why)
	}()

	overdue := time.NewTimer(time.Until(r.router.clock.at(r.deadline).Add(silence)))
	defer overdue.Stop()
	attempts := 0
	for {
		// Hold it until the module has a word for it.
		var act balance.Action
		select {
		case act = <-r.acts:
		case <-r.client.left:
		case <-r.canceled:
		case <-r.router.ended:
		case <-overdue.C:
			select {
			case act = <-r.acts: // both at once: the module was not silent
			default:
				invariant.Check(false, "the module ends each request by its deadline")
				r.tell(balance.Event{Kind: balance.RequestGone})
				r.router.tally.Add(metrics.Unanswered)
				outcome = broken
				return failed("no answer in time")
			}
		}
		final := act.Kind == balance.Refuse || act.Kind == balance.Fail
		if r.departed() && !(final && !r.hasLeft()) { // whatever else came in the same moment, but a cancel that crosses an answer
			return r.calledOff()
		}
		if !final && r.router.hasEnded() {
			r.tell(balance.Event{Kind: balance.RequestGone})
			if outcome = turned; r.ran {
				outcome = broken
				return failed(stops.text)
			}
			return refused(0, stops)
		}
		switch act.Kind {
		case balance.Refuse:
			outcome, why = turned, act.Why
			if r.router.recovery != nil {
				act.Wait = r.router.recovery.back(r, act.Wait)
			}
			if r.result != nil {
				r.result.wait = act.Wait
			}
			return refused(act.Wait, r.why)
		case balance.Fail:
			outcome, why = broken, act.Why
			return failed("failed")
		case balance.Send:
		default:
			continue // a cancel that crossed the attempt's own end
		}

		// One attempt, and never another while it is open.
		r.router.members.sent(r, act)
		began := r.router.clock.now()
		a := r.router.pool.Start(act.Node, r.router.clock.at(act.Up), r.router.clock.at(act.Until), r.word, r.wanted)
		res := r.await(a, act)
		here := !r.departed()
		r.note(act, began, &res)
		done := balance.Event{Kind: balance.AttemptDone, Attempt: attempts, Node: act.Node, Outcome: res.Outcome,
			Role: res.Role, Position: res.Position, Finished: res.Outcome == balance.Done}
		attempts++
		if mayRun(res.Outcome) && !r.ran {
			r.ran, r.ranAt = true, began
		}
		r.tell(done)
		r.router.members.heard(r.Cluster, act.Node, &res)
		switch write := set.IsWrite(r.Class); {
		case write && res.Outcome == balance.Done:
			r.router.members.committed(r, res.Position)
		case write && mayRun(res.Outcome):
			r.router.members.mayHaveRun(r.Class, r.Key)
		}
		r.end.Served = res.Outcome == balance.Done
		if res.Outcome == balance.Done && (here || !r.hasLeft() || r.client.fatal) {
			outcome = served
			if r.result != nil {
				r.result.value, r.result.served = res.Value, true
			}
			return pgwire.AppendReady(res.Answer)
		}
		if !here {
			return r.calledOff()
		}
	}
}

// note counts an attempt that has ended, and keeps it for the line of its request.
func (r *request) note(act balance.Action, began balance.Nanos, res *backend.Result) {
	if r.router.tally == nil && !r.router.tracer.wanted() {
		return
	}
	host := r.router.dir.Host(act.Node)
	r.router.tally.End(host, res.Outcome)
	switch {
	case res.Outcome != balance.Miss:
	case r.router.conf.Settings.IsWrite(r.Class):
		r.router.tally.Add(metrics.NotPrimary)
	default:
		r.router.tally.Add(metrics.Behind)
	}
	if r.router.tracer.wanted() {
		r.way = append(r.way, step{host, act.Why, res.Outcome, began, r.router.clock.now()})
	}
}

// await waits for an attempt's end: its answer, its time, the module's cancel,
// or the client's leaving, which the module is told at once.
func (r *request) await(a *backend.Attempt, act balance.Action) backend.Result {
	late := time.NewTimer(time.Until(r.router.clock.at(act.Until)))
	defer late.Stop()
	left, canceled := r.client.left, r.canceled
	for {
		select {
		case res := <-a.Done():
			return res
		case <-late.C:
			return a.Abort(balance.TimedOut)
		case <-r.router.ended:
			return a.Abort(balance.Canceled)
		case <-left:
			left = nil
			r.departed() // a cancel follows, where cancels are allowed
		case <-canceled:
			canceled = nil
			r.departed()
		case act := <-r.acts:
			if invariant.Check(act.Kind == balance.Cancel, "no action but a cancel while an attempt is open", "kind", act.Kind) {
				return a.Abort(balance.Canceled)
			}
		}
	}
}

// wanted says whether the query may still go out, right before its first byte does:
// it is asked on any goroutine, and waits for nothing.
func (r *request) wanted() bool {
	return !r.hasLeft() && !r.isCanceled() && !r.router.hasEnded() && r.router.clock.now() < r.lastRepeat()
}

// lastRepeat is when a query may go out at the latest that may have run before.
// Repeats are dropped for a while that counts from the first attempt; the module
// holds to it when it decides on one, and a dial may take longer than what is left.
func (r *request) lastRepeat() balance.Nanos {
	set := r.router.conf.Settings
	if i := set.Class(r.Class); r.ran && set.Balance.Classes[i].Effect == balance.Keyed {
		window := set.Balance.Classes[i].Window
		return r.ranAt + window - window/tripShare
	}
	return math.MaxInt64
}

// hasLeft says whether the client has gone, or is only being closed for an error of its own.
func (r *request) hasLeft() bool {
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

// departed says whether nobody waits for the answer any more, and tells the module once.
func (r *request) departed() bool {
	if !r.gone && (r.hasLeft() || r.isCanceled()) {
		r.gone, r.end.Gone = true, true
		r.tell(balance.Event{Kind: balance.RequestGone})
	}
	return r.gone
}

// calledOff is the answer once the client has left: none, unless it is only being
// closed for an error of its own; or once it has canceled the request.
func (r *request) calledOff() []byte {
	switch {
	case !r.hasLeft():
		return problem(pgwire.CodeQueryCanceled, "canceled on the client's request")
	case r.client.fatal:
		return failed("called off by an error on the connection")
	}
	return nil
}

// word writes the query as it goes to a data server now.
func (r *request) word(w io.Writer) error {
	return r.WriteQuery(w, time.Until(r.router.clock.at(r.deadline)))
}

// mayRun says whether an attempt's outcome leaves open that it ran.
func mayRun(o balance.Outcome) bool {
	return o == balance.Failed || o == balance.TimedOut || o == balance.Reset || o == balance.Canceled
}

// refusal is why a request is refused, where it is not the module that says so.
type refusal struct{ text, hint string }

// stops is why a router that stops refuses what it has no time for.
var stops = &refusal{text: "the router stops"}

// refused is the answer that a repeat does no harm; wait, where not 0, is when
// to come again.
func refused(wait balance.Nanos, why *refusal) []byte {
	if why == nil {
		why = &refusal{text: "nothing ran"}
	}
	return pgwire.AppendReady(pgwire.AppendHint(nil, "ERROR", pgwire.CodeTooManyConnections, "refused: "+why.text, comeAgain(wait), why.hint))
}

// comeAgain is a time to return as the field D tells it: whole milliseconds, and
// nothing where none is known.
func comeAgain(wait balance.Nanos) string {
	if wait <= 0 {
		return ""
	}
	return strconv.FormatInt((wait+1e6-1)/1e6, 10)
}

// failed is the answer that promises nothing.
func failed(why string) []byte { return problem(pgwire.CodeFailed, why) }
