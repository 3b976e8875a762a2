package router

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"strings"
	"testing"
	"time"

	"lotushook/internal/invariant"
	"lotushook/internal/nettest"
	"lotushook/internal/pgwire"
	"lotushook/internal/platformconfig"
	"lotushook/internal/ringbuffer"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// noCancel is a deployment where an attempt that is out can't be called off.
func noCancel(settings string) string {
	return strings.Replace(settings, `"cancel":true`, `"cancel":false`, 1)
}

// stageSet is stageHeld with other settings.
func stageSet(t *testing.T, hold time.Duration, p clientTimeouts, set func(settings string) string, hosts ...string) (*nettest.Stage, *Router) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := nettest.New(t, "s1", "s2", "agent")
	for i, h := range hosts {
		hosts[i] = s.Expand(h)
	}
	conf, err := platformconfig.Check(nettest.File(t, set(nettest.Config(ln.Addr().String(), s.Addr("agent"), nettest.List(1, hosts...)))))
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(conf, &siteconfig.Config{})
	if err != nil {
		t.Fatal(err)
	}
	now := make(chan time.Time)
	close(now)
	r.shutdown.acceptOver = func() <-chan time.Time { return now }
	r.shutdown.timeoutEnd = func() <-chan time.Time { return nil }
	r.shutdown.timeout, r.timeouts, r.start.timeout = time.Hour, p, hold
	r.pool.SettleTime, r.pool.DuplicateWindow, r.pool.StallTimeout = 0, 0, time.Hour
	ctx, stop := context.WithCancel(context.Background())
	done, broken := make(chan error, 1), len(invariant.Counts())
	go func() { done <- r.Serve(ctx, ln) }()
	t.Cleanup(func() {
		s.Close()
		stop()
		<-done //nolint:errcheck // the test has seen what it wants
		if n := len(invariant.Counts()); n > broken {
			t.Errorf("invariants broken: %v", invariant.Counts())
		}
	})
	s.Dial("c", ln.Addr().String())
	return s, r
}

// someone says whether some client that is here is as asked.
func someone(r *Router, is func(c *client) bool) (found bool) {
	r.clients.each(func(c *client) { found = found || is(c) })
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
	if s.HasConnection("s1") {
		t.Error("a request whose client had gone was repeated")
	}
}

// The module's word to send and the client's leaving are there in the same moment: it is not sent, whichever is drawn.
func TestLeavingMeetsSend(t *testing.T) {
	for _, canceled := range []bool{false, true} {
		r := newRouter(t, nettest.List(1, "h-1 127.0.0.1:1 1 SERVING")) // its owner does not run: events can be read
		e := r.directory.Apply(r.config.LastKnownList)
		for range 64 {
			parsed, err := pgwire.ParseRequest("/* id=01,c=read,d=20000,cluster=1 */ A")
			if err != nil {
				t.Fatal(err)
			}
			now := r.clock.now()
			one := &request{Request: parsed, router: r, client: &client{left: make(chan struct{})}, canceled: make(chan struct{}),
				actions: make(chan balance.Action, actionQueueSize), deadline: now + int64(time.Hour)}
			one.deliver(balance.Action{Kind: balance.SendAttempt, Endpoint: e.Endpoints[0].ID, ConnectDeadline: now + int64(time.Hour), AttemptDeadline: now + int64(time.Hour)})
			if canceled {
				one.cancel()
			} else {
				close(one.client.left)
			}
			answer := one.run()
			if strings.Contains(string(answer), pgwire.CodeQueryCanceled) != canceled {
				t.Errorf("answer %q", answer)
			}
			for _, want := range []balance.EventKind{balance.RequestArrived, balance.RequestAbandoned, 0} {
				if e := <-r.loop.events; e.Kind != want {
					t.Fatalf("event %d, want %d", e.Kind, want)
				}
			}
		}
	}
}

// A client's end is seen though its reader can take no more: every slot is taken, and what it sent on is read or not.
func TestCloseBehindPipelinedRequests(t *testing.T) {
	for _, n := range []int{maxPipelined + 1, maxPipelined * 30} {
		s, r := stageSet(t, time.Hour, endless, noCancel, "h-1 {s1} 1 SERVING") // nothing is decided before the agent answers
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf(`Q "/* id=%d,c=read,d=20000,cluster=1 */ A"`, i+1))
		}
		s.Play("send c1 startup | " + strings.Join(all, " | "))
		until(t, "no slot is free", func() bool { return someone(r, func(c *client) bool { return len(c.slots) == maxPipelined }) })
		closed := time.Now()
		s.Play("close c1")
		until(t, "its leaving is seen", func() bool { return !someone(r, func(c *client) bool { return !hasLeft(c) }) })
		if took := time.Since(closed); took > 10*time.Second { // the requests' own end would come at 20 s
			t.Errorf("%d requests: its leaving was seen after %v", n, took)
		}
		until(t, "nobody is here", func() bool { return !someone(r, func(*client) bool { return true }) })
		s.Agent("agent")(2, nettest.List(2, "h-1 {s1} 1 SERVING"))
		s.Play(`send c2 startup | Q "/* id=b,c=read,d=20000,cluster=1 */ B"
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 Q "/* id=b,c=read,d=#,cluster=1 */ B"
			send s1` + value + `
			expect c2 welcome | T | D "v" | C | Z`)
		if s.HasConnection("s1") {
			t.Errorf("%d requests: one of a client that had gone was sent", n)
		}
	}
}

// A client that breaks the protocol and goes is not waited for as one that only broke it: its requests are called off.
func TestCloseBehindBrokenMessage(t *testing.T) {
	p := endless
	p.openRequests = time.Hour
	s, r := stageSet(t, time.Hour, p, noCancel, "h-1 {s1} 1 SERVING")
	s.Play("send c1 startup | " + read01 + ` | raw "Q\x00\x00\x00\x01more that nobody reads"
		close c1`)
	until(t, "its request has come", func() bool { return len(r.loop.events) > 1 })
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
			if c.hasDisconnected() {
				t.Error("one that is here has hung up")
			}
			if _, err := conn.Write([]byte(unread)); err != nil {
				t.Fatal(err)
			}
			if c.hasDisconnected() {
				t.Error("one that has sent something has hung up")
			}
			if reset {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
			if err := c.pause(time.Hour, nil); err == nil {
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
	if s.HasConnection("s1") {
		t.Error("a request whose client had gone was repeated")
	}
}

// keyOf is the key that the only client got with its welcome.
func keyOf(t *testing.T, r *Router) (key pgwire.CancelKey) {
	t.Helper()
	until(t, "the client has its key", func() bool {
		n := 0
		r.cancelKeys.clients.Each(func(_ int, m *map[uint32]*client) {
			for _, c := range *m {
				key, n = c.cancelKey, n+1
			}
		})
		return n == 1
	})
	return key
}

// cancelRequest is the message as a raw step of a scenario.
func cancelRequest(key pgwire.CancelKey) string {
	b := []byte{0, 0, 0, 16, 4, 210, 22, 46}
	b = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, key.Process), key.Secret)
	return fmt.Sprintf("raw %q", b)
}

// A CancelRequest ends the request that its key's client waits for, and nothing else.
//
//nolint:funlen // one history or table of cases, told in order
func TestCancelRequest(t *testing.T) {
	const (
		begin = `
			send c1 startup | ` + read01 + `
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 ` + seen01
		ask = `
			send x {cancel}
			expect x EOF`
		next = `
			send c1 ` + read02 + `
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 ` + seen02 + `
			send s1` + value + `
			expect c1 T | D "v" | C | Z`
	)
	for _, c := range []struct {
		name   string
		set    func(string) string
		wrong  pgwire.CancelKey // added to the key
		before string
		after  string
	}{
		{"one that is out is called off, and the next one is served", strings.Clone, pgwire.CancelKey{}, begin,
			"expect s1 EOF\nexpect c1 welcome | E 57014 | Z" + next},
		{"one whose connection comes up is called off", strings.Clone, pgwire.CancelKey{},
			"send c1 startup | " + read01 + "\nwait s1\nexpect s1 startup", "expect s1 EOF\nexpect c1 welcome | E 57014 | Z" + next},
		{"a wrong secret is ignored", strings.Clone, pgwire.CancelKey{Secret: 1}, begin, "send s1" + value + "\nexpect c1 welcome | T | D \"v\" | C | Z"},
		{"an unknown process is ignored", strings.Clone, pgwire.CancelKey{Process: 1}, begin, "send s1" + value + "\nexpect c1 welcome | T | D \"v\" | C | Z"},
		{"one that is answered is not touched, nor is the next", strings.Clone, pgwire.CancelKey{},
			begin + "\nsend s1" + value + "\nexpect c1 welcome | T | D \"v\" | C | Z", "send c1 " + read02 + "\nexpect s1 " + seen02 + "\nsend s1" + value + "\nexpect c1 T | D \"v\" | C | Z"},
		{"only the first of those that are pipelined is called off", strings.Clone, pgwire.CancelKey{}, begin + `
			send c1 ` + read02 + `
			wait s1 as y
			expect y startup
			send y welcome
			expect y ` + seen02, "expect s1 EOF\nsend y" + value + "\nexpect c1 welcome | E 57014 | Z | T | D \"v\" | C | Z"},
		{"where attempts can't be called off, an answer that comes is given", noCancel, pgwire.CancelKey{}, begin,
			"send s1" + value + "\nexpect c1 welcome | T | D \"v\" | C | Z"},
		{"where attempts can't be called off, one that breaks is not repeated", noCancel, pgwire.CancelKey{}, begin,
			"close s1\nexpect c1 welcome | E 57014 | Z" + next},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r := stageSet(t, 0, endless, c.set, "h-1 {s1} 1 SERVING")
			s.Play(c.before)
			key := keyOf(t, r)
			key.Process += c.wrong.Process
			key.Secret += c.wrong.Secret
			s.Set("cancel", cancelRequest(key))
			s.Dial("", r.config.Listen)
			s.Play(ask)
			s.Play(c.after)
			until(t, "its connection counts no more", func() bool {
				n := 0
				r.clients.each(func(*client) { n++ })
				return n == 1
			})
		})
	}
}

// A CancelRequest is read by another goroutine than its client's query, and a busy router may come to it first: a query that lay unread
// then is called off all the same, one that was sent later is not.
//
// What happened: in the soak of restarts (seeds 1, 3, 4 and 5) a client wrote a query and canceled it within the millisecond; the access log
// had the query's arrival behind the cancel, which had found nothing open and was forgotten, and attempts began up to 227 ms after
// it. Here the reader rests after unusable queries, so that the order is the same each time.
func TestCancelOfUnreadQuery(t *testing.T) {
	s, r := stageSet(t, 0, endless, strings.Clone, "h-1 {s1} 1 SERVING")
	s.Dial("", r.config.Listen)
	s.Play("send c1 startup\nexpect c1 welcome")
	for range 10 { // the pause grows to a tenth of a second
		s.Play("send c1 Q \"SELECT 1\"\nexpect c1 E 42601 | Z")
	}
	s.Set("cancel", cancelRequest(keyOf(t, r)))
	s.Play("send c1 " + read01 + "\nsend x {cancel}\nexpect x EOF\nexpect c1 E 57014 | Z")
	if s.HasConnection("s1") {
		t.Error("a request that was canceled before it was read was forwarded")
	}
	s.Play("send c1 " + read02 + `
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 ` + seen02 + `
		send s1` + value + `
		expect c1 T | D "v" | C | Z`)
}

// A request that nothing was decided on yet is called off at once, and is never sent.
func TestCancelBeforeDecision(t *testing.T) {
	s, r := stageSet(t, time.Hour, endless, strings.Clone, "h-1 {s1} 1 SERVING")
	s.Dial("", r.config.Listen)
	s.Play("send c1 startup | " + read01)
	until(t, "the request has come", func() bool { return len(r.loop.events) > 1 })
	s.Set("cancel", cancelRequest(keyOf(t, r)))
	s.Play("send x {cancel}\nexpect x EOF\nexpect c1 welcome | E 57014 | Z")
	s.Agent("agent")(2, nettest.List(2, "h-1 {s1} 1 SERVING"))
	s.Play("send c1 " + read02 + `
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 ` + seen02 + `
		send s1` + value + `
		expect c1 T | D "v" | C | Z`)
}

// Each client gets a key of its own with its welcome, and it is forgotten with its client.
func TestCancelKeys(t *testing.T) {
	s, r := stageSet(t, 0, endless, strings.Clone, "h-1 {s1} 1 SERVING")
	told := map[pgwire.CancelKey]bool{}
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", r.config.Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
		if _, err := conn.Write(pgwire.AppendStartup(nil, "worker", "catalog")); err != nil {
			t.Fatal(err)
		}
		in := ringbuffer.New(1 << 10)
		for ready := false; !ready; {
			m, err := pgwire.Next(in)
			if err != nil {
				if err := in.Fill(conn); err != nil {
					t.Fatal(err)
				}
				continue
			}
			if m.Kind == pgwire.BackendKeyData {
				told[pgwire.CancelKey{Process: binary.BigEndian.Uint32(m.Body), Secret: binary.BigEndian.Uint32(m.Body[4:])}] = true
			}
			ready = m.Kind == pgwire.ReadyForQuery
			in.Discard(m.Size)
		}
	}
	held := func() (n int) {
		r.cancelKeys.clients.Each(func(_ int, m *map[uint32]*client) {
			for _, c := range *m {
				if !told[c.cancelKey] {
					t.Errorf("key %v was not told", c.cancelKey)
				}
				n++
			}
		})
		return n
	}
	if len(told) != 20 || held() != 20 || told[pgwire.CancelKey{}] {
		t.Errorf("%d keys told, %d held", len(told), held())
	}
	for i, bad := range []string{`raw "\x00\x00\x00\x0c\x04\xd2\x16\x2e\x00\x00\x00\x01"`, `raw "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x00\x00\x00\x00\x00"`} {
		s.Play(fmt.Sprintf("send c%[1]d %[2]s\nexpect c%[1]d EOF", i, bad))
	}
	for _, conn := range conns {
		conn.Close()
	}
	until(t, "no key is held", func() bool { return held() == 0 })
}

// What is repeated arrives within the window in which repeats are dropped, counted from when the first attempt can have
// begun: a dial that outlasts it ends the request, and nothing is sent.
func TestRepeatAfterItsWindow(t *testing.T) {
	const window = 2 * time.Second // the first attempt on loopback, however slow the machine, is far under it
	short := func(settings string) string {
		return strings.Replace(settings, `"name":"write","objective":5000000000,"window":5000000000`,
			fmt.Sprintf(`"name":"write","objective":5000000000,"window":%d`, window.Nanoseconds()), 1)
	}
	s, _ := stageSet(t, 0, endless, short, "h-1 {s1} 1 SERVING")
	s.Play("send c1 startup | " + write01 + `
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 ` + wrote01 + `
		close s1
		wait s1
		expect s1 startup`)
	time.Sleep(window) // counted from the first attempt it is over earlier
	s.Play(`
		send s1 welcome
		expect c1 welcome | E 58000 | Z
		send c1 ` + read02 + `
		expect s1 ` + seen02 + `
		send s1` + value + `
		expect c1 T | D "v" | C | Z`)
}

// The last moment of a repeat, by the class's effect and window and by nothing else.
func TestLastRepeat(t *testing.T) {
	r := newRouter(t, nettest.List(1))
	for _, c := range []struct {
		class string
		ran   bool
		want  clock.Nanos
	}{
		{"write", true, 1000e9 + 5e9 - 5e9/8},
		{"write", false, 1<<63 - 1}, // nothing ran: there is nothing to drop
		{"read", true, 1<<63 - 1},   // may run as often as it likes
	} {
		one := &request{router: r, requestTask: requestTask{mayHaveRun: c.ran, firstRunAt: 1000e9}}
		one.Class = c.class
		if got := one.lastRetryAt(); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// A drain crosses a write that is out: its answer still counts, a repeat goes elsewhere, and so does the next one.
func TestDrainCrossesWrite(t *testing.T) {
	for _, broken := range []bool{false, true} {
		s, r := stageSet(t, 0, endless, strings.Clone, "h-1 {s1} 1 SERVING")
		s.Play("send c1 startup | " + write01 + `
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 ` + wrote01)
		s.Agent("agent")(2, nettest.List(2, "h-1 {s1} 1 DRAINING", "h-2 {s2} 1 SERVING"))
		known := r.config.LastKnownList.Hosts[0].Name
		until(t, "the drain is known", func() bool {
			_, ready := r.directory.Address(nodeOf(known))
			return !ready
		})
		const go2 = `
			wait s2
			expect s2 startup
			send s2 welcome
			expect s2 `
		const took = `
			send s2 T | D "w" | C | S rank=source | Z
			expect c1 `
		if broken {
			s.Play("close s1" + go2 + wrote01 + took + `welcome | T | D "w" | C | Z`)
		} else {
			s.Play(`send s1 T | D "v" | C | S rank=source | Z
				expect c1 welcome | T | D "v" | C | Z
				send c1 Q "/* id=02,c=write,d=20000,k=ac,cluster=1 */ B"` + go2 + `Q "/* id=02,c=write,d=#,k=ac,cluster=1 */ B"` + took + `T | D "w" | C | Z`)
		}
		if s.HasConnection("s1") {
			t.Error("a draining server got a connection")
		}
	}
}

// nodeOf is the number of a host, where no two share a hash.
func nodeOf(host string) balance.EndpointID {
	h := fnv.New32a()
	h.Write([]byte(host))
	return balance.EndpointID(h.Sum32())
}
