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

// startRouterOnListener starts a router on a pausing listener, with data servers s1 and s2, of which s2 is draining. In
// a shutdown it accepts no new clients and has no timeout.
func startRouterOnListener(t *testing.T, listener *pausingListener, timeouts clientTimeouts) (stage *nettest.Network, router *Router, shutDown func(), done <-chan error) {
	t.Helper()
	acceptEnd := make(chan time.Time)
	close(acceptEnd)
	return startRouterOn(t, listener, 0, &siteconfig.Config{}, acceptEnd, nil, timeouts, "h-1 {s1} 1 SERVING", "h-2 {s2} 2 DRAINING")
}

// slowClient returns a client connection with a small receive buffer.
func slowClient(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, rawConn syscall.RawConn) error {
		var err error
		if controlErr := rawConn.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(60 * time.Second))
	t.Cleanup(func() { conn.Close() })
	return conn
}

func mustWrite(t *testing.T, conn net.Conn, bytes []byte) {
	t.Helper()
	if _, err := conn.Write(bytes); err != nil {
		t.Fatal(err)
	}
}

// readToEnd reads a connection to its end, which must not be a reset.
func readToEnd(t *testing.T, conn net.Conn) string {
	t.Helper()
	got, err := io.ReadAll(conn)
	if err != nil {
		t.Errorf("after %d bytes: %v", len(got), err)
	}
	return string(got)
}

// hasUnreadInput reports whether any client connection has bytes that the router has not read.
func hasUnreadInput(router *Router) bool {
	found := false
	router.clients.each(func(client *client) { found = found || client.conn.(*pausingConn).hasInput() })
	return found
}

// clientCount returns the number of connected clients.
func clientCount(router *Router) int {
	count := 0
	router.clients.each(func(*client) { count++ })
	return count
}

// A client with a protocol error receives the answers to its earlier queries and the error, though there is unread
// input behind the malformed message: the connection is not reset.
func TestErrorBeforeUnreadBytes(t *testing.T) {
	listener := newPausingListener(t)
	timeouts := noTimeouts
	timeouts.lingeringClose = time.Hour
	_, router, _, _ := startRouterOnListener(t, listener, timeouts)
	listener.pauseAt(afterRead)
	conn := slowClient(t, listener.Addr().String())
	messages := pgwire.AppendQuery(pgwire.AppendStartup(nil, "worker", "catalog"), "")
	mustWrite(t, conn, append(pgwire.Append(messages, 'y', nil), make([]byte, 64<<10)...))
	<-listener.reached
	waitUntil(t, "there is more input than one read returns", func() bool { return hasUnreadInput(router) })
	listener.resume()
	if got := readToEnd(t, conn); strings.Count(got, "Z\x00\x00\x00\x05I") != 2 || !strings.Contains(got, "SFATAL\x00") {
		t.Errorf("received %q", got)
	}
	conn.Close()
	waitUntil(t, "its disconnect is detected", func() bool { return clientCount(router) == 0 })
}

// The lingering close after an error is limited in bytes for a client that keeps sending, and in time for a client that
// stays connected.
func TestLingerBounds(t *testing.T) {
	malformed := pgwire.Append(pgwire.AppendStartup(nil, "worker", "catalog"), 'y', nil)
	timeouts := noTimeouts
	timeouts.lingeringClose = time.Hour
	listener := newPausingListener(t)
	startRouterOnListener(t, listener, timeouts)
	conn := slowClient(t, listener.Addr().String())
	mustWrite(t, conn, malformed)
	for chunk := make([]byte, 64<<10); ; {
		if _, err := conn.Write(chunk); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the client may send without limit")
			}
			break
		}
	}

	timeouts.lingeringClose = time.Millisecond
	listener = newPausingListener(t)
	_, router, _, _ := startRouterOnListener(t, listener, timeouts)
	conn = slowClient(t, listener.Addr().String())
	mustWrite(t, conn, malformed)
	if got := readToEnd(t, conn); !strings.Contains(got, "SFATAL\x00") {
		t.Errorf("received %q", got)
	}
	waitUntil(t, "the idle client is closed", func() bool { return clientCount(router) == 0 })
}

// The last answer to a client that pipelines requests is in transit when the router closes the connection, and another
// request arrives at that moment. The answer arrives completely, and the request is not forwarded.
func TestAnswerInFlightAtClose(t *testing.T) {
	listener := newPausingListener(t)
	timeouts := noTimeouts
	timeouts.lingeringClose = time.Hour
	stage, router, shutDown, done := startRouterOnListener(t, listener, timeouts)
	value := strings.Repeat("v", 60<<10)
	stage.Define("value", value)
	conn := slowClient(t, listener.Addr().String())
	query := pgwire.AppendQuery(pgwire.AppendStartup(nil, "worker", "catalog"), "/* id=01,c=read,d=20000,cluster=1 */ A")
	mustWrite(t, conn, pgwire.AppendQuery(query, ""))
	stage.Run(`
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	openQueries := func() int {
		count := 0
		router.clients.each(func(client *client) {
			client.mu.Lock()
			count += client.openQueries
			client.mu.Unlock()
		})
		return count
	}
	waitUntil(t, "both requests are open", func() bool { return openQueries() == 2 })
	stage.Run(`send s1 T | D "{value}" | C | S rank=copy | Z`)
	waitUntil(t, "both requests are answered", func() bool { return openQueries() == 0 })
	listener.pauseAt(beforeClose)
	shutDown()
	<-listener.reached
	mustWrite(t, conn, pgwire.AppendQuery(nil, "/* id=02,c=read,d=20000,cluster=1 */ A"))
	listener.resume()
	if got := readToEnd(t, conn); !strings.Contains(got, value) || !strings.HasSuffix(got, "I\x00\x00\x00\x04Z\x00\x00\x00\x05I") {
		t.Errorf("received %d bytes that end with %q", len(got), got[max(0, len(got)-20):])
	}
	conn.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	stage.Run(`expect s1 EOF`)
	if stage.HasPendingConnection("s1") {
		t.Error("the request that crossed the close was forwarded")
	}
}

// A request that arrives while the connection is being closed is not forwarded and gets no answer, so that its client
// may send it elsewhere. That applies to each reason for the close.
func TestRequestCrossesClose(t *testing.T) {
	timeouts := noTimeouts
	timeouts.evictableIdle = 0
	for name, closes := range map[string]func(router *Router, shutDown func()){
		"idle": func(router *Router, _ func()) {
			router.clients.each(func(client *client) { client.expire(time.Now().Add(2*timeouts.idle), false) })
		},
		"evicted": func(router *Router, _ func()) { router.clients.evictIdle(time.Now().Add(time.Minute), 0) },
		"stopped": func(_ *Router, shutDown func()) { shutDown() },
	} {
		t.Run(name, func(t *testing.T) {
			listener := newPausingListener(t)
			stage, router, shutDown, _ := startRouterOnListener(t, listener, timeouts)
			listener.pauseAt(beforeClose)
			stage.Run(`
				send c1 startup | Q ""
				expect c1 welcome | I | Z`)
			waitUntil(t, "the client is idle", func() bool {
				idle := false
				router.clients.each(func(client *client) {
					client.mu.Lock()
					idle = idle || client.openQueries == 0
					client.mu.Unlock()
				})
				return idle
			})
			closes(router, shutDown)
			<-listener.reached
			stage.Run(`send c1 Q "/* id=01,c=read,d=20000,cluster=1 */ A"`)
			listener.resume()
			stage.Run(`expect c1 EOF`)
			waitUntil(t, "the client is removed", func() bool { return clientCount(router) == 0 })
			if stage.HasPendingConnection("s1") {
				t.Error("the request was forwarded")
			}
		})
	}
}

// TCP_NODELAY is set, so that small writes right before a close are sent at once.
func TestNoDelay(t *testing.T) {
	listener := newPausingListener(t)
	stage, router, _, _ := startRouterOnListener(t, listener, noTimeouts)
	stage.Run(`
		send c1 startup
		expect c1 welcome`)
	router.clients.each(func(client *client) {
		withDescriptor(client.conn, func(fd int) bool {
			if on, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("TCP_NODELAY: %d, %v", on, err)
			}
			return false
		})
	})
}

// Once an answer could not be written, the connection is closed, and none of the queries that were already read is
// forwarded, as their answers could not be delivered.
func TestNothingIsSentAfterACut(t *testing.T) {
	listener := newPausingListener(t)
	stage, router, _, _ := startRouterOnListener(t, listener, noTimeouts)
	stage.Run(`
		send c1 startup
		expect c1 welcome
		send c1 Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	var queued strings.Builder
	for i := range maxPipelined - 1 { // queued by the module, as cluster 2 has no serving endpoint
		fmt.Fprintf(&queued, ` | Q "/* id=h%d,c=read,d=20000,cluster=2 */ A"`, i)
	}
	stage.Run(`send c1 raw ""` + queued.String() + ` | Q "/* id=02,c=read,d=20000,cluster=1 */ A" | Q "/* id=03,c=read,d=20000,cluster=1 */ A"`)
	waitUntil(t, "the maximum number of requests is pipelined", func() bool {
		full := false
		router.clients.each(func(client *client) { full = full || len(client.slots) == maxPipelined })
		return full
	})
	listener.failWrites(true)
	stage.Run(`send s1 T | D "v" | C | S rank=copy | Z`)
	waitUntil(t, "the connection ends", func() bool { return clientCount(router) == 0 })
	listener.failWrites(false)
	stage.Run(`
		send c2 startup | Q "/* id=04,c=read,d=20000,cluster=1 */ A"
		expect s1 Q "/* id=04,c=read,d=#,cluster=1 */ A"
		send s1 T | D "v" | C | S rank=copy | Z
		expect c2 welcome | T | D "v" | C | Z`)
	if stage.HasPendingConnection("s1") {
		t.Error("a query of the closed connection was forwarded")
	}
}

// A client with a partial message does not count as idle. Otherwise it would be chosen for each eviction, as the oldest
// client without a query, would not be closed, and would prevent the eviction of all other clients.
func TestHalfMessageShieldsNobody(t *testing.T) {
	listener := newPausingListener(t)
	timeouts := noTimeouts
	timeouts.evictableIdle = 0
	stage, router, _, _ := startRouterOnListener(t, listener, timeouts)
	stage.Run(`
		send c0 startup | raw "Q\x00\x00"
		expect c0 welcome
		send c1 startup | Q ""
		expect c1 welcome | I | Z`)
	waitUntil(t, "one client has sent a partial message and the other is idle", func() bool {
		partial, idle := 0, 0
		router.clients.each(func(client *client) {
			if _, isPartial := client.partialState(); isPartial {
				partial++
			} else if _, hasQueried, isIdle := client.idleState(); isIdle && hasQueried {
				idle++
			}
		})
		return partial == 1 && idle == 1
	})
	if !router.clients.evictIdle(time.Now().Add(time.Minute), 0) {
		t.Error("no client is evicted")
	}
	stage.Run(`
		expect c1 EOF
		send c0 raw "\x00\x05\x00"
		expect c0 I | Z`)
}

// A flood of clients that stay connected after a protocol error does not use up the descriptors.
func TestErrorFlood(t *testing.T) {
	timeouts := noTimeouts
	timeouts.evictableSilence, timeouts.lingeringClose = time.Millisecond, time.Hour
	for name, config := range map[string]*siteconfig.Config{"": {}, "admission": admissionConfig(t, `{"shared":["0.0.0.0/0"]}`)} {
		t.Run(name, func(t *testing.T) {
			acceptEnd := make(chan time.Time)
			close(acceptEnd)
			stage, router, _, _ := startRouterOn(t, newPausingListener(t), 0, config, acceptEnd, nil, timeouts)
			const limit = 20
			router.descriptors.LimitClients(limit)
			for i := range 2 * limit {
				stage.Run(fmt.Sprintf(`send c%d startup | y "x"`, i+1))
			}
			stage.Run(`
				send c0 startup | Q ""
				expect c0 welcome | I | Z`)
		})
	}
}

// Among a flood of clients that send a partial message, some are evicted with an error for a client that sends a query.
func TestFloodOfHalfMessages(t *testing.T) {
	timeouts := noTimeouts
	timeouts.evictableSilence, timeouts.evictableIdle = time.Millisecond, time.Millisecond
	listener := newPausingListener(t)
	stage, router, _, _ := startRouterOnListener(t, listener, timeouts)
	const limit = 20
	router.descriptors.LimitClients(limit)
	for i := range 2 * limit {
		stage.Run(fmt.Sprintf(`send c%d startup | raw "Q\x00\x00"`, i+1))
		waitUntil(t, "the first client is the oldest", func() bool {
			partial := i > 0
			router.clients.each(func(client *client) {
				_, isPartial := client.partialState()
				partial = partial || isPartial
			})
			return partial
		})
	}
	stage.Run(`
		send c0 startup | Q ""
		expect c0 welcome | I | Z
		expect c1 welcome | FATAL 53300 | EOF`)
}

// A router that shuts down before the first answer of its agent still answers the requests that it has read: it
// forwards them once there is a list, or rejects them after the shutdown timeout.
func TestStopBeforeFirstList(t *testing.T) {
	for _, answers := range []bool{true, false} {
		t.Run(fmt.Sprint(answers), func(t *testing.T) {
			acceptEnd, timeoutEnd := make(chan time.Time), make(chan time.Time)
			close(acceptEnd)
			endTimeout := sync.OnceFunc(func() { close(timeoutEnd) })
			t.Cleanup(endTimeout)
			stage, router, shutDown, done := startRouterOn(t, newPausingListener(t), time.Hour, &siteconfig.Config{}, acceptEnd, timeoutEnd, noTimeouts, "h-1 {s1} 1 SERVING")
			stage.Run(`
				send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
				expect c1 welcome`)
			waitUntil(t, "the persisted list and the request are queued", func() bool { return len(router.loop.events) == 2 })
			shutDown()
			waitUntil(t, "the shutdown has begun", router.clients.isDraining)
			if answers {
				stage.ServeDiscovery("agent")(2, nettest.EndpointList(2, "h-1 {s1} 1 SERVING"))
				stage.Run(`
					wait s1
					expect s1 startup
					send s1 welcome
					expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
					send s1 T | D "v" | C | S rank=copy | Z
					expect c1 T | D "v" | C | Z | EOF`)
			} else {
				endTimeout()
				stage.Run(`expect c1 E 53300 | Z | EOF`)
			}
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against connections that are closed at the end of a shutdown before their tasks had the time to write: the
// answer comes later than finalAnswers after the end of the open requests, and still arrives.
func TestLateAnswerAtTheEndOfAShutdown(t *testing.T) {
	acceptEnd, timeoutEnd := make(chan time.Time), make(chan time.Time)
	close(acceptEnd)
	endTimeout := sync.OnceFunc(func() { close(timeoutEnd) })
	t.Cleanup(endTimeout)
	timeouts := noTimeouts
	timeouts.finalAnswers = time.Millisecond
	stage, router, shutDown, done := startRouterOn(t, newPausingListener(t), 0, &siteconfig.Config{}, acceptEnd, timeoutEnd, timeouts, "h-1 {s1} 1 SERVING")
	stage.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A" | Q ""
		expect c1 welcome
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	shutDown()
	waitUntil(t, "the shutdown has begun", router.clients.isDraining)
	router.requestMemory.mu.Lock() // each task needs it before it writes
	endTimeout()
	waitUntil(t, "the open requests are ended", router.shutdown.isOver)
	time.Sleep(10 * finalTick)
	router.requestMemory.mu.Unlock()
	stage.Run(`expect c1 E 58000 | Z | I | Z | EOF`)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A client that pipelines requests and does not close its side after its last answer is not awaited at the end of a
// shutdown. One that takes no answers isn't either (TestStopsForAll).
func TestEndOfAShutdownEndsLingering(t *testing.T) {
	acceptEnd, timeoutEnd := make(chan time.Time), make(chan time.Time)
	close(acceptEnd)
	close(timeoutEnd)
	timeouts := noTimeouts
	timeouts.finalAnswers, timeouts.lingeringClose = 2*finalTick, time.Hour
	stage, _, shutDown, done := startRouterOn(t, newPausingListener(t), 0, &siteconfig.Config{}, acceptEnd, timeoutEnd, timeouts, "h-1 {s1} 1 SERVING")
	stage.Run(`
		send c1 startup | Q "" | Q ""
		expect c1 welcome | I | Z | I | Z`)
	shutDown()
	if err := <-done; err != nil {
		t.Error(err)
	}
	stage.Run(`expect c1 EOF`)
}
