package router

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lotushook/internal/invariant"
	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
)

// held puts a request before the owner, which no other goroutine runs.
func held(t *testing.T, o *owner, id, statement string) *request {
	t.Helper()
	parsed, err := pgwire.ParseRequest("/* id=" + id + ",c=read,d=20000,cluster=1 */ " + statement)
	if err != nil {
		t.Fatal(err)
	}
	r := &request{Request: parsed, router: o.router, acts: make(chan balance.Action, mailbox)}
	now := o.router.clock.now()
	o.take(event{req: r, Event: balance.Event{Kind: balance.RequestIn, Request: id, Tenant: -1, Group: 1, Deadline: now + 20e9}})
	return r
}

func kinds(r *request) (out []balance.ActionKind) {
	for len(r.acts) > 0 {
		out = append(out, (<-r.acts).Kind)
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
func newTestOwner(t *testing.T) *owner {
	r := newRouter(t, `{"seq":1,"whole":true,"hosts":[{"host":"h-1","dial":"127.0.0.1:1","block":1,"health":"SERVING"}]}`)
	r.owner.take(event{Event: r.dir.Apply(r.conf.Known)})
	return r.owner
}

// A send that crosses the end of its request's task was never made. The module
// must hear of it, or the node would have one more pending for good, and the id
// must be free again.
func TestSendCrossesTheEnd(t *testing.T) {
	o := newTestOwner(t)
	for range 20 { // more than the node's limit: leaked attempts would close it
		r := held(t, o, "01", "A")
		o.step()
		expectActs(t, r, balance.Send)
		o.take(event{req: r, Event: balance.Event{Kind: balance.RequestGone, Request: "01"}})
		o.take(event{req: r, over: true})
		o.step()
		if len(o.requests) != 0 || o.held != 0 {
			t.Fatalf("%d requests, %d bytes held", len(o.requests), o.held)
		}
	}
	r := held(t, o, "02", "A")
	o.step()
	expectActs(t, r, balance.Send)
}

// What is beyond the settings' bound, or would not fit the memory, is refused at once.
func TestBounds(t *testing.T) {
	o := newTestOwner(t)
	o.room = 200
	big := held(t, o, "00", strings.Repeat("x", 200))
	expectActs(t, big, balance.Refuse)
	first := held(t, o, "01", "A")
	twin := held(t, o, "01", "A")
	expectActs(t, twin, balance.Fail)                                                        // the module ignores a live id
	o.take(event{req: twin, Event: balance.Event{Kind: balance.RequestGone, Request: "01"}}) // its leaving is not the first one's
	o.take(event{req: twin, over: true})
	o.step()
	expectActs(t, first, balance.Send)
	o.router.conf.Settings.Balance.MaxHeld = 1
	expectActs(t, held(t, o, "02", "A"), balance.Refuse)
	if o.requests["01"] != first || len(o.requests) != 1 {
		t.Errorf("%d requests held", len(o.requests))
	}
}

// A module that stays silent must not leave a request without its answer.
func TestSilentModule(t *testing.T) {
	o := newTestOwner(t)
	r := held(t, o, "01", "A")
	r.client, r.deadline = &client{left: make(chan struct{})}, o.router.clock.now()
	defer func() { // a debug build stops here
		if p := recover(); (p != nil) != invariant.Debug {
			t.Errorf("panic %v, in a debug build: %v", p, invariant.Debug)
		}
	}()
	if answer := r.run(); !strings.Contains(string(answer), pgwire.CodeFailed) {
		t.Errorf("answer %q", answer)
	}
}
