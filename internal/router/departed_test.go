package router

import (
	"context"
	"fmt"
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

// A client's end is seen though its reader can take no more: every slot is taken, and what it sent on is read or not.
func TestCloseBehindPipelinedRequests(t *testing.T) {
	for _, n := range []int{pipelined + 1, pipelined * 30} {
		s, r := stageSet(t, time.Hour, endless, noCancel, "h-1 {s1} 1 SERVING") // nothing is decided before the agent answers
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf(`Q "/* id=%d,c=read,d=20000,cluster=1 */ A"`, i+1))
		}
		s.Play("send c1 startup | " + strings.Join(all, " | "))
		until(t, "no slot is free", func() bool { return someone(r, func(c *client) bool { return len(c.slots) == pipelined }) })
		closed := time.Now()
		s.Play("close c1")
		until(t, "its leaving is seen", func() bool { return !someone(r, func(c *client) bool { return !hasLeft(c) }) })
		if took := time.Since(closed); took > 10*time.Second { // the requests' own end would come at 20 s
			t.Errorf("%d requests: its leaving was seen after %v", n, took)
		}
		until(t, "nobody is here", func() bool { return !someone(r, func(*client) bool { return true }) })
		s.Agent("agent")(2, scenario.List(2, "h-1 {s1} 1 SERVING"))
		s.Play(`send c2 startup | Q "/* id=b,c=read,d=20000,cluster=1 */ B"
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 Q "/* id=b,c=read,d=#,cluster=1 */ B"
			send s1` + value + `
			expect c2 welcome | T | D "v" | C | Z`)
		if s.Met("s1") {
			t.Errorf("%d requests: one of a client that had gone was sent", n)
		}
	}
}

// A client that breaks the protocol and goes is not waited for as one that only broke it: its requests are called off.
func TestCloseBehindBrokenMessage(t *testing.T) {
	p := endless
	p.open = time.Hour
	s, r := stageSet(t, time.Hour, p, noCancel, "h-1 {s1} 1 SERVING")
	s.Play("send c1 startup | " + read01 + ` | raw "Q\x00\x00\x00\x01more that nobody reads"
		close c1`)
	until(t, "its request has come", func() bool { return len(r.owner.events) > 1 })
	until(t, "its leaving is seen", func() bool { return !someone(r, func(c *client) bool { return !hasLeft(c) }) })
	until(t, "its request has ended", func() bool { return !someone(r, func(*client) bool { return true }) })
}

// A client's pause after an unusable query ends with the client.
func TestCloseDuringRest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, unread := range []string{"", "x"} {
		for _, reset := range []bool{false, true} {
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			there, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c := &client{conn: there}
			if c.hungUp() {
				t.Error("one that is here has hung up")
			}
			if _, err := conn.Write([]byte(unread)); err != nil {
				t.Fatal(err)
			}
			if c.hungUp() {
				t.Error("one that has sent something has hung up")
			}
			if reset {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
			if err := c.rest(time.Hour, nil); err == nil {
				t.Errorf("unread %q, reset %v: the rest was not cut short", unread, reset)
			}
			there.Close()
		}
	}
}

// A client's end is seen while an answer is written to it that it does not take: the requests behind that are called off.
func TestCloseDuringAnswer(t *testing.T) {
	s, r := stageSet(t, 0, endless, noCancel, "h-1 {s1} 1 SERVING")
	const large = 12 // of 1,000 KB: more than sockets hold
	s.Set("large", strings.Repeat("v", 1000<<10))
	var all []string
	for i := range large {
		all = append(all, fmt.Sprintf(`Q "/* id=%d,c=read,d=20000,cluster=1 */ A"`, i+1))
	}
	s.Play("send c1 startup | " + all[0] + `
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=1,c=read,d=#,cluster=1 */ A"
		send s1 T | D "{large}" | C | S rank=copy | Z`)
	for i := 1; i < large; i++ {
		until(t, "the answer before was read", func() bool { return r.pool.Idle() == 1 })
		s.Play("send c1 " + all[i])
		s.Play(fmt.Sprintf("expect s1 Q \"/* id=%d,c=read,d=#,cluster=1 */ A\"", i+1))
		s.Play(`send s1 T | D "{large}" | C | S rank=copy | Z`)
	}
	until(t, "the last answer was read", func() bool { return r.pool.Idle() == 1 })
	// One more, whose attempt breaks after the client has gone.
	s.Play("send c1 " + read02 + `
		expect s1 ` + seen02 + `
		close c1`)
	until(t, "its leaving is seen", func() bool { return someone(r, hasLeft) || !someone(r, func(*client) bool { return true }) })
	s.Play("close s1")
	until(t, "its requests have ended", func() bool { return !someone(r, func(*client) bool { return true }) })
	if s.Met("s1") {
		t.Error("a request whose client had gone was repeated")
	}
}
