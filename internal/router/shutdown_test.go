package router

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lotushook/internal/nettest"
	"lotushook/internal/pgwire"
	"lotushook/internal/siteconfig"
)

// stageStopped is a running router on a turnstile, with data servers s1 and s2 of which s2 drains; told to stop, it takes no new
// clients, and has all time for what is open.
func stageStopped(t *testing.T, ln *turnstile, p clientTimeouts) (s *nettest.Network, r *Router, stop func(), done <-chan error) {
	t.Helper()
	accepted := make(chan time.Time)
	close(accepted)
	return stageOn(t, ln, 0, &siteconfig.Config{}, accepted, nil, p, "h-1 {s1} 1 SERVING", "h-2 {s2} 2 DRAINING")
}

// slowClient is a connection whose machine takes little before it is read.
func slowClient(t *testing.T, addr string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }); e != nil {
			return e
		}
		return err
	}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(60 * time.Second))
	t.Cleanup(func() { conn.Close() })
	return conn
}

func say(t *testing.T, conn net.Conn, p []byte) {
	t.Helper()
	if _, err := conn.Write(p); err != nil {
		t.Fatal(err)
	}
}

// hearAll reads a connection to its end, which has to be an orderly one.
func hearAll(t *testing.T, conn net.Conn) string {
	t.Helper()
	got, err := io.ReadAll(conn)
	if err != nil {
		t.Errorf("after %d bytes: %v", len(got), err)
	}
	return string(got)
}

// unread says whether some client's socket holds bytes that the router has not read.
func unread(r *Router) bool {
	found := false
	r.clients.each(func(c *client) { found = found || c.conn.(*stopped).readable() })
	return found
}

// connected is how many clients the router has.
func connected(r *Router) int {
	n := 0
	r.clients.each(func(*client) { n++ })
	return n
}

// A bad client hears its error, and what it had asked before, though more of it stands unread behind the error: the connection
// comes to an orderly end.
func TestErrorBeforeUnreadBytes(t *testing.T) {
	ln := newTurnstile(t)
	p := endless
	p.lingeringClose = time.Hour
	_, r, _, _ := stageStopped(t, ln, p)
	ln.shut(atBytes)
	conn := slowClient(t, ln.Addr().String())
	all := pgwire.AppendQuery(pgwire.AppendStartup(nil, "worker", "catalog"), "")
	say(t, conn, append(pgwire.Append(all, 'y', nil), make([]byte, 64<<10)...))
	<-ln.reached
	until(t, "more than is read at a time has come", func() bool { return unread(r) })
	ln.open()
	if got := hearAll(t, conn); strings.Count(got, "Z\x00\x00\x00\x05I") != 2 || !strings.Contains(got, "SFATAL\x00") {
		t.Errorf("heard %q", got)
	}
	conn.Close()
	until(t, "its end is seen", func() bool { return connected(r) == 0 })
}

// Neither who sends on without an end nor who rests after an error holds the connection: the one is bounded in bytes, the other in
// time.
func TestLingerBounds(t *testing.T) {
	bad := pgwire.Append(pgwire.AppendStartup(nil, "worker", "catalog"), 'y', nil)
	p := endless
	p.lingeringClose = time.Hour
	ln := newTurnstile(t)
	stageStopped(t, ln, p)
	conn := slowClient(t, ln.Addr().String())
	say(t, conn, bad)
	for more := make([]byte, 64<<10); ; {
		if _, err := conn.Write(more); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("it may send for ever")
			}
			break
		}
	}

	p.lingeringClose = time.Millisecond
	ln = newTurnstile(t)
	_, r, _, _ := stageStopped(t, ln, p)
	conn = slowClient(t, ln.Addr().String())
	say(t, conn, bad)
	if got := hearAll(t, conn); !strings.Contains(got, "SFATAL\x00") {
		t.Errorf("heard %q", got)
	}
	until(t, "who rests is closed", func() bool { return connected(r) == 0 })
}

// The last answer to a client that sends without waiting is still on its way when the router closes the connection and more comes
// in that very moment: the answer arrives whole, and what came is not sent on.
func TestAnswerInFlightAtClose(t *testing.T) {
	ln := newTurnstile(t)
	p := endless
	p.lingeringClose = time.Hour
	s, r, stop, done := stageStopped(t, ln, p)
	value := strings.Repeat("v", 60<<10)
	s.Define("value", value)
	conn := slowClient(t, ln.Addr().String())
	ask := pgwire.AppendQuery(pgwire.AppendStartup(nil, "worker", "catalog"), "/* id=01,c=read,d=20000,cluster=1 */ A")
	say(t, conn, pgwire.AppendQuery(ask, ""))
	s.Run(`
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	open := func() int {
		n := 0
		r.clients.each(func(c *client) {
			c.mu.Lock()
			n += c.openQueries
			c.mu.Unlock()
		})
		return n
	}
	until(t, "both are taken", func() bool { return open() == 2 })
	s.Run(`send s1 T | D "{value}" | C | S rank=copy | Z`)
	until(t, "both are answered", func() bool { return open() == 0 })
	ln.shut(atClose)
	stop()
	<-ln.reached
	say(t, conn, pgwire.AppendQuery(nil, "/* id=02,c=read,d=20000,cluster=1 */ A"))
	ln.open()
	if got := hearAll(t, conn); !strings.Contains(got, value) || !strings.HasSuffix(got, "I\x00\x00\x00\x04Z\x00\x00\x00\x05I") {
		t.Errorf("heard %d bytes, at the end %q", len(got), got[max(0, len(got)-20):])
	}
	conn.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	s.Run(`expect s1 EOF`)
	if s.HasPendingConnection("s1") {
		t.Error("the request that crossed the close was sent on")
	}
}

// A request that comes in the moment of a close is not sent on and gets no answer, so that its client may send it elsewhere:
// whoever wants the connection closed.
func TestRequestCrossesClose(t *testing.T) {
	p := endless
	p.evictable = 0
	for name, closes := range map[string]func(r *Router, stop func()){
		"idle": func(r *Router, _ func()) {
			r.clients.each(func(c *client) { c.expire(time.Now().Add(2*p.idle), false) })
		},
		"evicted": func(r *Router, _ func()) { r.clients.evictIdle(time.Now().Add(time.Minute), 0) },
		"stopped": func(_ *Router, stop func()) { stop() },
	} {
		t.Run(name, func(t *testing.T) {
			ln := newTurnstile(t)
			s, r, stop, _ := stageStopped(t, ln, p)
			ln.shut(atClose)
			s.Run(`
				send c1 startup | Q ""
				expect c1 welcome | I | Z`)
			until(t, "it idles", func() bool {
				idle := false
				r.clients.each(func(c *client) {
					c.mu.Lock()
					idle = idle || c.openQueries == 0
					c.mu.Unlock()
				})
				return idle
			})
			closes(r, stop)
			<-ln.reached
			s.Run(`send c1 Q "/* id=01,c=read,d=20000,cluster=1 */ A"`)
			ln.open()
			s.Run(`expect c1 EOF`)
			until(t, "it is gone", func() bool { return connected(r) == 0 })
			if s.HasPendingConnection("s1") {
				t.Error("it was sent on")
			}
		})
	}
}

// Small writes are not held back: what is said right before a close is on its way by then.
func TestNoDelay(t *testing.T) {
	ln := newTurnstile(t)
	s, r, _, _ := stageStopped(t, ln, endless)
	s.Run(`
		send c1 startup
		expect c1 welcome`)
	r.clients.each(func(c *client) {
		withDescriptor(c.conn, func(fd int) bool {
			if on, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("TCP_NODELAY: %d, %v", on, err)
			}
			return false
		})
	})
}

// Once an answer could not be written the connection is cut, and none of what was read of it before is sent on any more: no answer
// could arrive.
func TestNothingIsSentAfterACut(t *testing.T) {
	ln := newTurnstile(t)
	s, r, _, _ := stageStopped(t, ln, endless)
	s.Run(`
		send c1 startup
		expect c1 welcome
		send c1 Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	var queued strings.Builder
	for i := range maxPipelined - 1 { // held by the module: cluster 2 has no server that serves
		fmt.Fprintf(&queued, ` | Q "/* id=h%d,c=read,d=20000,cluster=2 */ A"`, i)
	}
	s.Run(`send c1 raw ""` + queued.String() + ` | Q "/* id=02,c=read,d=20000,cluster=1 */ A" | Q "/* id=03,c=read,d=20000,cluster=1 */ A"`)
	until(t, "no more is taken at a time", func() bool {
		full := false
		r.clients.each(func(c *client) { full = full || len(c.slots) == maxPipelined })
		return full
	})
	ln.breakWrites(true)
	s.Run(`send s1 T | D "v" | C | S rank=copy | Z`)
	until(t, "the connection ends", func() bool { return connected(r) == 0 })
	ln.breakWrites(false)
	s.Run(`
		send c2 startup | Q "/* id=04,c=read,d=20000,cluster=1 */ A"
		expect s1 Q "/* id=04,c=read,d=#,cluster=1 */ A"
		send s1 T | D "v" | C | S rank=copy | Z
		expect c2 welcome | T | D "v" | C | Z`)
	if s.HasPendingConnection("s1") {
		t.Error("something was sent on")
	}
}

// A client with half a message here is not one that idles: as the oldest that has not asked it would be chosen again and again to
// make room, would stay, and shield all others from having to go.
func TestHalfMessageShieldsNobody(t *testing.T) {
	ln := newTurnstile(t)
	p := endless
	p.evictable = 0
	s, r, _, _ := stageStopped(t, ln, p)
	s.Run(`
		send c0 startup | raw "Q\x00\x00"
		expect c0 welcome
		send c1 startup | Q ""
		expect c1 welcome | I | Z`)
	until(t, "one holds half a message, the other idles", func() bool {
		half, idle := 0, 0
		r.clients.each(func(c *client) {
			if _, is := c.partialState(); is {
				half++
			} else if _, asked, ok := c.idleState(); ok && asked {
				idle++
			}
		})
		return half == 1 && idle == 1
	})
	if !r.clients.evictIdle(time.Now().Add(time.Minute), 0) {
		t.Error("nobody goes")
	}
	s.Run(`
		expect c1 EOF
		send c0 raw "\x00\x05\x00"
		expect c0 I | Z`)
}

// A flood of clients that are turned away for an error and stay holds no place for long.
func TestFloodOfErrors(t *testing.T) {
	p := endless
	p.silent, p.lingeringClose = time.Millisecond, time.Hour
	for name, own := range map[string]*siteconfig.Config{"": {}, "admission": admitting(t, `{"shared":["0.0.0.0/0"]}`)} {
		t.Run(name, func(t *testing.T) {
			accepted := make(chan time.Time)
			close(accepted)
			s, r, _, _ := stageOn(t, newTurnstile(t), 0, own, accepted, nil, p)
			const room = 20
			r.descriptors.LimitClients(room)
			for i := range 2 * room {
				s.Run(fmt.Sprintf(`send c%d startup | y "x"`, i+1))
			}
			s.Run(`
				send c0 startup | Q ""
				expect c0 welcome | I | Z`)
		})
	}
}

// A flood of clients that send half a message and stay makes room for one that asks: each hears that it is refused.
func TestFloodOfHalfMessages(t *testing.T) {
	p := endless
	p.silent, p.evictable = time.Millisecond, time.Millisecond
	ln := newTurnstile(t)
	s, r, _, _ := stageStopped(t, ln, p)
	const room = 20
	r.descriptors.LimitClients(room)
	for i := range 2 * room {
		s.Run(fmt.Sprintf(`send c%d startup | raw "Q\x00\x00"`, i+1))
		until(t, "the first is the oldest", func() bool {
			half := i > 0
			r.clients.each(func(c *client) {
				_, is := c.partialState()
				half = half || is
			})
			return half
		})
	}
	s.Run(`
		send c0 startup | Q ""
		expect c0 welcome | I | Z
		expect c1 welcome | FATAL 53300 | EOF`)
}

// Told to stop before its agent has answered for the first time, a router still answers what it has read: by a server once there
// is a list, with a refusal when its time is over.
func TestStopBeforeFirstList(t *testing.T) {
	for _, answers := range []bool{true, false} {
		t.Run(fmt.Sprint(answers), func(t *testing.T) {
			accepted, finish := make(chan time.Time), make(chan time.Time)
			close(accepted)
			end := sync.OnceFunc(func() { close(finish) })
			t.Cleanup(end)
			s, r, stop, done := stageOn(t, newTurnstile(t), time.Hour, &siteconfig.Config{}, accepted, finish, endless, "h-1 {s1} 1 SERVING")
			s.Run(`
				send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
				expect c1 welcome`)
			until(t, "the kept list and the request wait", func() bool { return len(r.loop.events) == 2 })
			stop()
			until(t, "it stops", r.clients.isDraining)
			if answers {
				s.ServeDiscovery("agent")(2, nettest.EndpointList(2, "h-1 {s1} 1 SERVING"))
				s.Run(`
					wait s1
					expect s1 startup
					send s1 welcome
					expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
					send s1 T | D "v" | C | S rank=copy | Z
					expect c1 T | D "v" | C | Z | EOF`)
			} else {
				end()
				s.Run(`expect c1 E 53300 | Z | EOF`)
			}
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}
