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

// submitRequest reports the arrival of a request to an event loop that no other goroutine runs.
func submitRequest(t *testing.T, loop *eventLoop, id string) *request {
	t.Helper()
	parsed, err := pgwire.ParseRequest("/* id=" + id + ",c=read,d=20000,cluster=1 */ A")
	if err != nil {
		t.Fatal(err)
	}
	arrived := &request{Request: parsed, router: loop.router, actions: make(chan balance.Action, actionQueueSize)}
	now := loop.router.clock.now()
	loop.handle(loopEvent{request: arrived, Event: balance.Event{Kind: balance.RequestArrived, Request: id, Tenant: -1, Group: 1, Deadline: now + 20e9}})
	return arrived
}

func actionKinds(request *request) (kinds []balance.ActionKind) {
	for len(request.actions) > 0 {
		kinds = append(kinds, (<-request.actions).Kind)
	}
	return kinds
}

func expectActions(t *testing.T, request *request, want ...balance.ActionKind) {
	t.Helper()
	if diff := cmp.Diff(want, actionKinds(request)); diff != "" {
		t.Errorf("request %s: (-want +got)\n%s", request.ID, diff)
	}
}

// newTestEventLoop returns an event loop with one endpoint, which is never connected to.
func newTestEventLoop(t *testing.T) *eventLoop {
	t.Helper()
	router := newRouter(t, `{"seq":1,"whole":true,"hosts":[{"host":"h-1","dial":"127.0.0.1:1","block":1,"health":"SERVING"}]}`)
	router.loop.handle(loopEvent{Event: router.directory.Apply(router.config.LastKnownList)})
	return router.loop
}

// A send action that is returned while its request's task ends is not carried out. The module must be notified, or it
// would count an open attempt for the endpoint forever, and the request's ID must become available again.
func TestSendAfterRequestEnd(t *testing.T) {
	loop := newTestEventLoop(t)
	for range 20 { // more than the endpoint's limit: leaked attempts would exhaust it
		request := submitRequest(t, loop, "01")
		loop.step()
		expectActions(t, request, balance.SendAttempt)
		loop.handle(loopEvent{request: request, Event: balance.Event{Kind: balance.RequestAbandoned, Request: "01"}})
		loop.handle(loopEvent{request: request, requestEnded: true})
		loop.step()
		if len(loop.requests) != 0 {
			t.Fatalf("%d requests left", len(loop.requests))
		}
	}
	request := submitRequest(t, loop, "02")
	loop.step()
	expectActions(t, request, balance.SendAttempt)
}

// Requests beyond the configured maximum are rejected at once.
func TestBounds(t *testing.T) {
	loop := newTestEventLoop(t)
	original := submitRequest(t, loop, "01")
	duplicate := submitRequest(t, loop, "01")
	expectActions(t, duplicate, balance.FailRequest) // the module ignores a duplicate ID
	// The duplicate is abandoned, which must not affect the original request.
	loop.handle(loopEvent{request: duplicate, Event: balance.Event{Kind: balance.RequestAbandoned, Request: "01"}})
	loop.handle(loopEvent{request: duplicate, requestEnded: true})
	loop.step()
	expectActions(t, original, balance.SendAttempt)
	loop.router.config.Settings.Balance.MaxQueued = 1
	expectActions(t, submitRequest(t, loop, "02"), balance.RejectRequest)
	if loop.requests["01"] != original || len(loop.requests) != 1 {
		t.Errorf("%d requests left", len(loop.requests))
	}
}

// A request is answered even if the decision module returns no action for it.
func TestUndecidedRequestIsAnswered(t *testing.T) {
	loop := newTestEventLoop(t)
	request := submitRequest(t, loop, "01")
	request.client, request.deadline = &client{left: make(chan struct{})}, loop.router.clock.now()
	loop.steppedAt.Store(request.deadline) // a step at the deadline returned no action
	defer func() {                         // a debug build panics on a broken invariant
		if panicked := recover(); (panicked != nil) != invariant.Debug {
			t.Errorf("panic %v, debug build: %v", panicked, invariant.Debug)
		}
	}()
	if answer := request.run(); !strings.Contains(string(answer), pgwire.CodeFailed) {
		t.Errorf("answer %q", answer)
	}
}

// A request whose deadline passes while the event loop gets no CPU time is answered by its task. That breaks no
// invariant, as the module could not decide. Debug builds panicked there, which made TestFeeds fail on overloaded
// machines (one run in forty).
func TestStalledEventLoopBreaksNoInvariant(t *testing.T) {
	stage, router, _, _ := startRouterWithTimeouts(t, noTimeouts)
	stage.Run(`
		send c1 startup | Q ""
		expect c1 welcome | I | Z`)
	blocked, unblock := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	defer release()
	go router.loop.do(t.Context(), func() { close(blocked); <-unblock })
	<-blocked
	broken := len(invariant.Counts())
	stage.Run(`
		send c1 Q "/* id=01,c=read,d=100,cluster=1 */ A"
		expect c1 E 58000 | Z`)
	release()
	if count := len(invariant.Counts()); count > broken {
		t.Errorf("broken invariants: %v", invariant.Counts())
	}
}

// A decision is overdue if a step at or after the deadline knew the request and returned no action for it.
func TestDecisionOverdue(t *testing.T) {
	loop := &eventLoop{}
	request := &request{deadline: 100}
	for _, test := range []struct {
		name                  string
		receivedAt, steppedAt int64
		overdue               bool
	}{
		{"the module has not received the request", 0, 200, false},
		{"the event loop has not run since the deadline", 10, 99, false},
		{"the request arrived after that step had begun", 150, 140, false},
		{"a step at the deadline", 10, 100, true},
		{"a step after the deadline", 120, 130, true},
	} {
		request.receivedAt.Store(test.receivedAt)
		if overdue := loop.isDecisionOverdue(request, test.steppedAt); overdue != test.overdue {
			t.Errorf("%s: %v", test.name, overdue)
		}
	}
}
