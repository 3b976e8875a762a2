package router

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"lotushook/balance"
	"lotushook/internal/config"
	"lotushook/internal/invariant"
	"lotushook/internal/pgwire"
	"lotushook/internal/scenario"
	"lotushook/internal/setup"
)

// noCancel is a deployment where an attempt that is out can't be called off.
func noCancel(settings string) string {
	return strings.Replace(settings, `"cancel":true`, `"cancel":false`, 1)
}

// stageSet is stageHeld with other settings.
func stageSet(t *testing.T, hold time.Duration, p patience, set func(settings string) string, hosts ...string) (*scenario.Stage, *Router) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := scenario.New(t, "s1", "s2", "agent")
	for i, h := range hosts {
		hosts[i] = s.Expand(h)
	}
	conf, err := config.Check(scenario.File(t, set(scenario.Config(ln.Addr().String(), s.Addr("agent"), scenario.List(1, hosts...)))))
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(conf, &setup.Setup{})
	if err != nil {
		t.Fatal(err)
	}
	now := make(chan time.Time)
	close(now)
	r.accepted = func() <-chan time.Time { return now }
	r.finish = func() <-chan time.Time { return nil }
	r.allowed, r.patience, r.hold = time.Hour, p, hold
	r.pool.Settle, r.pool.Crossing, r.pool.Stall = 0, 0, time.Hour
	ctx, stop := context.WithCancel(context.Background())
	done, broken := make(chan error, 1), len(invariant.Counts())
	go func() { done <- r.Serve(ctx, ln) }()
	t.Cleanup(func() {
		s.Close()
		stop()
		<-done
		if n := len(invariant.Counts()); n > broken {
			t.Errorf("invariants broken: %v", invariant.Counts())
		}
	})
	s.Dial("c", ln.Addr().String())
	return s, r
}

// someone says whether some client that is here is as asked.
func someone(r *Router, is func(c *client) bool) (found bool) {
	r.each(func(c *client) { found = found || is(c) })
	return found
}

func hasLeft(c *client) bool {
	select {
	case <-c.left:
		return true
	default:
		return false
	}
}

const (
	read01  = `Q "/* id=01,c=read,d=20000,cluster=1 */ A"`
	read02  = `Q "/* id=02,c=read,d=20000,cluster=1 */ B"`
	write01 = `Q "/* id=01,c=write,d=20000,k=ab,cluster=1 */ A"`
	seen01  = `Q "/* id=01,c=read,d=#,cluster=1 */ A"`
	seen02  = `Q "/* id=02,c=read,d=#,cluster=1 */ B"`
	wrote01 = `Q "/* id=01,c=write,d=#,k=ab,cluster=1 */ A"`
	value   = ` T | D "v" | C | S rank=copy | Z`
)

// A client that goes while a connection comes up for its request has nothing sent, also where attempts that are out can't be
// called off. The connection is the next one's.
func TestClientLeavesDuringDial(t *testing.T) {
	s, r := stageSet(t, 0, endless, noCancel, "h-1 {s1} 1 SERVING")
	s.Play("send c1 startup | " + read01 + `
		wait s1
		expect s1 startup
		close c1`)
	until(t, "its leaving is seen", func() bool { return someone(r, hasLeft) })
	s.Play("send s1 welcome")
	until(t, "its request has ended", func() bool { return !someone(r, hasLeft) })
	s.Play("send c2 startup | " + read02 + `
		expect s1 ` + seen02 + `
		send s1` + value + `
		expect c2 welcome | T | D "v" | C | Z`)
}

// A client that goes while its request is out, where attempts can't be called off, gets no further one when that breaks.
func TestClientLeavesBeforeRepeat(t *testing.T) {
	s, r := stageSet(t, 0, endless, noCancel, "h-1 {s1} 1 SERVING")
	s.Play("send c1 startup | " + write01 + `
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 ` + wrote01 + `
		close c1`)
	until(t, "its leaving is seen", func() bool { return someone(r, hasLeft) })
	s.Play("close s1")
	until(t, "its request has ended", func() bool { return !someone(r, hasLeft) })
	if s.Met("s1") {
		t.Error("a request whose client had gone was repeated")
	}
}

// The module's word to send and the client's leaving are there in the same moment: it is not sent, whichever is drawn.
func TestLeavingMeetsSend(t *testing.T) {
	r := newRouter(t, scenario.List(1, "h-1 127.0.0.1:1 1 SERVING")) // its owner does not run: events can be read
	e := r.dir.Apply(r.conf.Known)
	for range 64 {
		parsed, err := pgwire.ParseRequest("/* id=01,c=read,d=20000,cluster=1 */ A")
		if err != nil {
			t.Fatal(err)
		}
		now := r.clock.now()
		one := &request{Request: parsed, router: r, client: &client{left: make(chan struct{})}, acts: make(chan balance.Action, mailbox), deadline: now + int64(time.Hour)}
		one.hand(balance.Action{Kind: balance.Send, Node: e.Nodes[0].Node, Up: now + int64(time.Hour), Until: now + int64(time.Hour)})
		close(one.client.left)
		if answer := one.run(); answer != nil {
			t.Errorf("answer %q", answer)
		}
		for _, want := range []balance.EventKind{balance.RequestIn, balance.RequestGone, 0} {
			if e := <-r.owner.events; e.Kind != want {
				t.Fatalf("event %d, want %d", e.Kind, want)
			}
		}
	}
}
