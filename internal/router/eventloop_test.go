package router

import (
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lotushook/internal/invariant"
	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
)

// held puts a request before the owner, which no other goroutine runs.
func held(t *testing.T, o *eventLoop, id, statement string) *request {
	t.Helper()
	parsed, err := pgwire.ParseRequest("/* id=" + id + ",c=read,d=20000,cluster=1 */ " + statement)
	if err != nil {
		t.Fatal(err)
	}
	r := &request{Request: parsed, router: o.router, actions: make(chan balance.Action, actionQueueSize)}
	now := o.router.clock.now()
	o.handle(loopEvent{request: r, Event: balance.Event{Kind: balance.RequestArrived, Request: id, Tenant: -1, Group: 1, Deadline: now + 20e9}})
	return r
}

func kinds(r *request) (out []balance.ActionKind) {
	for len(r.actions) > 0 {
		out = append(out, (<-r.actions).Kind)
	}
	return out
}

func expectActs(t *testing.T, r *request, want ...balance.ActionKind) {
	t.Helper()
	if diff := cmp.Diff(want, kinds(r)); diff != "" {
		t.Errorf("request %s: (-want +got)\n%s", r.ID, diff)
	}
}

// newTestOwner has one listed node, which nobody dials.
func newTestOwner(t *testing.T) *eventLoop {
	t.Helper()
	r := newRouter(t, `{"seq":1,"whole":true,"hosts":[{"host":"h-1","dial":"127.0.0.1:1","block":1,"health":"SERVING"}]}`)
	r.loop.handle(loopEvent{Event: r.directory.Apply(r.config.LastKnownList)})
	return r.loop
}

// A send that crosses the end of its request's task was never made. The module
// must hear of it, or the node would have one more pending for good, and the id
// must be free again.
func TestSendCrossesTheEnd(t *testing.T) {
	o := newTestOwner(t)
	for range 20 { // more than the node's limit: leaked attempts would close it
		r := held(t, o, "01", "A")
		o.step()
		expectActs(t, r, balance.SendAttempt)
		o.handle(loopEvent{request: r, Event: balance.Event{Kind: balance.RequestAbandoned, Request: "01"}})
		o.handle(loopEvent{request: r, requestEnded: true})
		o.step()
		if len(o.requests) != 0 || o.queryBytes != 0 {
			t.Fatalf("%d requests, %d bytes held", len(o.requests), o.queryBytes)
		}
	}
	r := held(t, o, "02", "A")
	o.step()
	expectActs(t, r, balance.SendAttempt)
}

// What is beyond the settings' bound, or would not fit the memory, is refused at once.
func TestBounds(t *testing.T) {
	o := newTestOwner(t)
	o.maxQueryBytes = 200
	big := held(t, o, "00", strings.Repeat("x", 200))
	expectActs(t, big, balance.RejectRequest)
	first := held(t, o, "01", "A")
	twin := held(t, o, "01", "A")
	expectActs(t, twin, balance.FailRequest)                                                                // the module ignores a live id
	o.handle(loopEvent{request: twin, Event: balance.Event{Kind: balance.RequestAbandoned, Request: "01"}}) // its leaving is not the first one's
	o.handle(loopEvent{request: twin, requestEnded: true})
	o.step()
	expectActs(t, first, balance.SendAttempt)
	o.router.config.Settings.Balance.MaxQueued = 1
	expectActs(t, held(t, o, "02", "A"), balance.RejectRequest)
	if o.requests["01"] != first || len(o.requests) != 1 {
		t.Errorf("%d requests held", len(o.requests))
	}
}

// A module that stays silent must not leave a request without its answer.
func TestSilentModule(t *testing.T) {
	o := newTestOwner(t)
	r := held(t, o, "01", "A")
	r.client, r.deadline = &client{left: make(chan struct{})}, o.router.clock.now()
	o.steppedAt.Store(r.deadline) // it had the request in a step at its deadline, and said nothing
	defer func() {                // a debug build stops here
		if p := recover(); (p != nil) != invariant.Debug {
			t.Errorf("panic %v, in a debug build: %v", p, invariant.Debug)
		}
	}()
	if answer := r.run(); !strings.Contains(string(answer), pgwire.CodeFailed) {
		t.Errorf("answer %q", answer)
	}
}

// A request whose deadline passes while the event loop is not let run is answered by its task, and no invariant is broken: the module could
// not decide. Debug builds stopped there, which failed TestFeeds on machines with more to do than they can (one play of forty).
func TestLateEventLoopIsNoFault(t *testing.T) {
	s, r, _, _ := stageWith(t, endless)
	s.Play(`
		send c1 startup | Q ""
		expect c1 welcome | I | Z`)
	held, over := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(over) })
	defer release()
	go r.loop.do(t.Context(), func() { close(held); <-over })
	<-held
	broken := len(invariant.Counts())
	s.Play(`
		send c1 Q "/* id=01,c=read,d=100,cluster=1 */ A"
		expect c1 E 58000 | Z`)
	release()
	if n := len(invariant.Counts()); n > broken {
		t.Errorf("broken: %v", invariant.Counts())
	}
}

// A module that had a request in a step at its deadline and handed nothing out for it has broken its contract.
func TestSilentModuleIsFound(t *testing.T) {
	o := &eventLoop{}
	r := &request{deadline: 100}
	for _, c := range []struct {
		name             string
		takenAt, stepped int64
		owes             bool
	}{
		{"it has not come to the module", 0, 200, false},
		{"the event loop has not run since the deadline", 10, 99, false},
		{"it came after that step had begun", 150, 140, false},
		{"a step at the deadline", 10, 100, true},
		{"a step behind it", 120, 130, true},
	} {
		r.takenAt.Store(c.takenAt)
		if owes := o.owesDecision(r, c.stepped); owes != c.owes {
			t.Errorf("%s: %v", c.name, owes)
		}
	}
}
