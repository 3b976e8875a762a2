package router

import (
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lotushook/internal/nettest"
	"lotushook/internal/siteconfig"
)

// pausingListener is a listener whose connections can pause a goroutine: the next one that reaches a given point, such
// as the one before a read.
type pausingListener struct {
	*net.TCPListener
	mu       sync.Mutex
	point    string        // the point; empty: none
	reached  chan struct{} // closed once a goroutine has reached the point
	resumed  chan struct{} // closed to resume it
	stopped  chan struct{} // closed once the router has stopped the listener
	stopOnce sync.Once
	failing  bool // writes to connections fail
}

const (
	beforeAccept = "accept" // before a connection is accepted
	beforeRead   = "read"   // before a connection is read; it resumes when there is input
	afterRead    = "bytes"  // after a connection was read
	duringWrite  = "write"  // after the first half of a write
	beforeClose  = "close"  // before a connection or its sending side is closed; it resumes when there is input
)

func newPausingListener(t *testing.T) *pausingListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &pausingListener{TCPListener: inner.(*net.TCPListener), stopped: make(chan struct{})}
	t.Cleanup(listener.resume)
	return listener
}

// pauseAt pauses the next goroutine that reaches a point. A goroutine that is already paused resumes.
func (listener *pausingListener) pauseAt(point string) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if listener.resumed != nil {
		close(listener.resumed)
	}
	listener.point, listener.reached, listener.resumed = point, make(chan struct{}), make(chan struct{})
}

// resume resumes the paused goroutine.
func (listener *pausingListener) resume() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if listener.resumed != nil {
		close(listener.resumed)
	}
	listener.point, listener.resumed = "", nil
}

// failWrites sets whether writes to connections fail.
func (listener *pausingListener) failWrites(failing bool) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.failing = failing
}

// reach is called at each point; it pauses the goroutine there if that was requested, and reports whether it did.
func (listener *pausingListener) reach(point string) (paused bool) {
	listener.mu.Lock()
	if listener.point != point {
		listener.mu.Unlock()
		return false
	}
	reached, resumed := listener.reached, listener.resumed
	listener.point = ""
	listener.mu.Unlock()
	close(reached)
	<-resumed
	return true
}

func (listener *pausingListener) Accept() (net.Conn, error) {
	listener.reach(beforeAccept)
	conn, err := listener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &pausingConn{conn, listener}, nil
}

func (listener *pausingListener) SetDeadline(deadline time.Time) error {
	if deadline.Equal(pastDeadline) {
		defer listener.stopOnce.Do(func() { close(listener.stopped) })
	}
	return listener.TCPListener.SetDeadline(deadline)
}

type pausingConn struct {
	*net.TCPConn
	listener *pausingListener
}

func (conn *pausingConn) Read(buffer []byte) (int, error) {
	conn.reachWithInput(beforeRead)
	count, err := conn.TCPConn.Read(buffer)
	if count > 0 {
		conn.listener.reach(afterRead)
	}
	return count, err
}

// reachWithInput is reach, but after a pause it also waits until there is input.
func (conn *pausingConn) reachWithInput(point string) {
	if conn.listener.reach(point) {
		for timeout := time.Now().Add(30 * time.Second); time.Now().Before(timeout) && !conn.hasInput(); {
			time.Sleep(time.Millisecond)
		}
	}
}

func (conn *pausingConn) Write(bytes []byte) (int, error) {
	conn.listener.mu.Lock()
	failing := conn.listener.failing
	conn.listener.mu.Unlock()
	if failing {
		return 0, os.ErrDeadlineExceeded
	}
	first, err := conn.TCPConn.Write(bytes[:len(bytes)/2])
	if err != nil {
		return first, err
	}
	conn.listener.reach(duringWrite)
	second, err := conn.TCPConn.Write(bytes[first:])
	return first + second, err
}

func (conn *pausingConn) CloseWrite() error {
	conn.reachWithInput(beforeClose)
	return conn.TCPConn.CloseWrite()
}

func (conn *pausingConn) Close() error {
	conn.reachWithInput(beforeClose)
	return conn.TCPConn.Close()
}

func (conn *pausingConn) hasInput() bool {
	return withDescriptor(conn, func(fd int) bool {
		count, _, _ := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return count > 0
	})
}

// waitUntil waits for a condition that must become true.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for timeout := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(timeout) {
			t.Fatal("timeout while waiting until " + what)
		}
	}
}

// A router that shuts down answers all requests that it has read, or can read when it closes a connection, and then
// closes the connection. The table has the states that a connection may be in; each is tested with and without
// admission.
//
//nolint:funlen // one table of cases
func TestPlannedRestart(t *testing.T) {
	const (
		idle = `
			send c1 startup | Q ""
			expect c1 welcome | I | Z`
		dialing = `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
			wait s1
			expect s1 startup`
		open = dialing + `
			send s1 welcome
			expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`
	)
	emptyQueries := strings.Repeat(` | Q ""`, maxPipelined+4)
	for _, test := range []struct {
		guards  string
		before  string // while the router runs
		at      string // the point at which the client's goroutine is then paused
		sent    string // sent by the client while the goroutine is paused
		stopped string // after the idle clients have been closed
		over    string // after the shutdown timeout; empty: the router ends before
	}{
		{guards: "idle: closed", before: idle, stopped: `expect c1 EOF`},
		{guards: "a request is read and not yet handled: answered", before: idle, at: afterRead, sent: `send c1 Q ""`,
			stopped: `expect c1 I | Z | EOF`},
		{guards: "a request can be read: answered", before: idle, at: beforeRead, sent: `send c1 Q "" | Q ""`,
			stopped: `expect c1 I | Z | I | Z | EOF`},
		{guards: "a partial request is read: the rest is awaited", before: idle + `
			send c1 raw "Q\x00\x00"`, stopped: `
			send c1 raw "\x00\x05\x00"
			expect c1 I | Z | EOF`},
		{guards: "a partial request can be read: the rest is awaited", before: idle, at: beforeRead, sent: `send c1 raw "Q\x00\x00"`,
			stopped: `
			send c1 raw "\x00\x05\x00"
			expect c1 I | Z | EOF`},
		{guards: "the rest of a request does not arrive: rejected at the end", before: idle + `
			send c1 raw "Q\x00\x00"`, over: `expect c1 FATAL 57P03 | EOF`},
		{guards: "an attempt is in flight: its answer", before: open, stopped: `
			send s1 T | D "v" | C | S rank=copy | Z
			expect c1 welcome | T | D "v" | C | Z | EOF`},
		{guards: "an attempt is in flight and gets no answer: failed at the end, as it may have run", before: open,
			over: `
			expect c1 welcome | E 58000 | Z | EOF
			expect s1 EOF`},
		{guards: "a connection to a data server is being established: its answer", before: dialing, stopped: `
			send s1 welcome
			expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
			send s1 T | D "v" | C | S rank=copy | Z
			expect c1 welcome | T | D "v" | C | Z | EOF`},
		{guards: "a connection to a data server is never established: rejected at the end, as nothing ran", before: dialing,
			over: `
			expect c1 welcome | E 53300 | Z | EOF
			expect s1 EOF`},
		{guards: "its answer is partially written: all of it arrives", before: open, at: duringWrite, sent: `
			send s1 T | D "v" | C | S rank=copy | Z`, stopped: `
			expect c1 T | D "v" | C | Z | EOF`},
		{guards: "the module queues it: served once there is an endpoint", before: `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=2 */ A"
			expect c1 welcome
			wait agent
			expect agent line "GET /v1/endpoints HTTP/1.1"`, stopped: `
			{list}
			wait s2
			expect s2 startup
			send s2 welcome
			expect s2 Q "/* id=01,c=read,d=#,cluster=2 */ A"
			send s2 T | D "v" | C | S rank=copy | Z
			expect c1 T | D "v" | C | Z | EOF`},
		{guards: "the module queues it: rejected at the end, as nothing ran", before: `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=2 */ A"`,
			over: `expect c1 welcome | E 53300 | Z | EOF`},
		{guards: "more requests are sent than may be pipelined: each gets its answer", before: open + `
			send c1 raw ""` + emptyQueries, stopped: `
			send s1 T | D "v" | C | S rank=copy | Z
			expect c1 welcome | T | D "v" | C | Z` + strings.Repeat(` | I | Z`, maxPipelined+4) + ` | EOF`},
		{guards: "requests are sent after one that does not end: each gets its answer at the end", before: open + `
			send c1 raw ""` + emptyQueries + ` | Q "/* id=02,c=read,d=20000,cluster=1 */ A"`, over: `
			expect c1 welcome | E 58000 | Z` + strings.Repeat(` | I | Z`, maxPipelined+4) + ` | E 53300 | Z | EOF`},
		{guards: "connected, nothing sent: the first request is awaited", before: `send c1 raw ""`, stopped: `
			send c1 startup | Q ""
			expect c1 welcome | I | Z | EOF`},
		{guards: "connected, nothing sent: closed at the end", before: `send c1 raw ""`, over: `expect c1 EOF`},
		{guards: "only the startup message is read: the first request is awaited", before: `
			send c1 startup
			expect c1 welcome`, stopped: `
			send c1 Q ""
			expect c1 I | Z | EOF`},
		{guards: "TLS was requested: the first request is awaited", before: `
			send c1 ssl
			expect c1 raw "N"`, stopped: `
			send c1 startup | Q ""
			expect c1 welcome | I | Z | EOF`},
		{guards: "a cancel request: closed", before: `send c1 raw "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02"`,
			stopped: `expect c1 EOF`},
		{guards: "the connection is in the accept queue: accepted and answered", at: beforeAccept,
			sent: `send c1 startup | Q ""`, stopped: `
			expect c1 welcome | I | Z | EOF`},
	} {
		for name, config := range map[string]*siteconfig.Config{"plain": {}, "admission": admissionConfig(t, `{"shared":["0.0.0.0/0"]}`)} {
			t.Run(test.guards+", "+name, func(t *testing.T) {
				listener, acceptEnd, timeoutEnd := newPausingListener(t), make(chan time.Time), make(chan time.Time)
				if test.at == beforeAccept {
					listener.pauseAt(test.at)
				}
				endTimeout := sync.OnceFunc(func() { close(timeoutEnd) })
				stage, router, shutDown, done := startRouterOn(t, listener, 0, config, acceptEnd, timeoutEnd, noTimeouts, "h-1 {s1} 1 SERVING", "h-2 {s2} 2 DRAINING")
				t.Cleanup(sync.OnceFunc(func() { close(acceptEnd) }))
				t.Cleanup(endTimeout)
				stage.Define("list", nettest.HTTPResponse("agent", nettest.EndpointList(2, stage.Expand("h-1 {s1} 1 SERVING"), stage.Expand("h-2 {s2} 2 SERVING"))))
				stage.Run(test.before)
				switch test.at {
				case beforeAccept:
					stage.Run(test.sent)
					<-listener.reached
				case duringWrite:
					stage.Run(`expect c1 welcome`)
					listener.pauseAt(duringWrite)
					stage.Run(test.sent)
					<-listener.reached
				case afterRead:
					listener.pauseAt(afterRead)
					stage.Run(test.sent)
					<-listener.reached
				case beforeRead: // a reader that is paused after a read certainly reaches the next read
					listener.pauseAt(afterRead)
					stage.Run(`send c1 Q ""`)
					<-listener.reached
					listener.pauseAt(beforeRead)
					stage.Run(`expect c1 I | Z`)
					<-listener.reached
					stage.Run(test.sent)
				}
				shutDown()
				acceptEnd <- time.Time{}
				<-listener.stopped
				waitUntil(t, "the idle clients are closed", router.clients.isDraining)
				listener.resume()
				stage.Run(test.stopped)
				if test.over != "" {
					endTimeout()
					stage.Run(test.over)
				}
				if err := <-done; err != nil {
					t.Error(err)
				}
				if remaining := router.readQuota.Available(); remaining != newMemoryPlan(router.config.Limits).clientInput {
					t.Errorf("%d bytes of the read quota are left", remaining)
				}
			})
		}
	}
}

// A router that shuts down ends after its timeout whatever clients do. A client that sends without a pause gets an
// answer to each query that was read; a client that never reads its answers is not awaited.
func TestStopsForAll(t *testing.T) {
	acceptEnd, timeoutEnd := make(chan time.Time), make(chan time.Time)
	stopAccepting, endTimeout := sync.OnceFunc(func() { close(acceptEnd) }), sync.OnceFunc(func() { close(timeoutEnd) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	timeouts := noTimeouts
	timeouts.finalAnswers = time.Millisecond
	stage, router, shutDown, done := startRouterOn(t, listener, 0, &siteconfig.Config{}, acceptEnd, timeoutEnd, timeouts)
	stage.Run(`
		send c1 startup | Q ""
		expect c1 welcome | I | Z
		send c2 startup | Q ""
		expect c2 welcome | I | Z`)
	var floods sync.WaitGroup
	t.Cleanup(func() { stage.Close(); stopAccepting(); endTimeout(); floods.Wait() })
	var sent [2]atomic.Int64
	flood := strings.Repeat(` | Q ""`, 1000)
	floods.Go(func() {
		for stage.RunStep(`send c1 raw ""`+flood) == nil {
			sent[0].Add(1)
		}
	})
	floods.Go(func() { // this client reads its answers
		for stage.RunStep(`send c2 Q ""`) == nil && stage.RunStep(`expect c2 I | Z`) == nil {
			sent[1].Add(1)
		}
	})
	waitUntil(t, "both clients send", func() bool { return sent[0].Load() > 0 && sent[1].Load() > 10 })
	shutDown()
	stopAccepting()
	waitUntil(t, "the idle clients are closed", router.clients.isDraining)
	endTimeout()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// While the router runs, neither the idle timeout nor an eviction closes a connection that has a request that was read
// or can be read.
func TestClosesBetweenRequests(t *testing.T) {
	acceptEnd := make(chan time.Time)
	close(acceptEnd)
	timeouts := noTimeouts
	timeouts.idle = time.Millisecond
	listener := newPausingListener(t)
	stage, router, _, _ := startRouterOn(t, listener, 0, &siteconfig.Config{}, acceptEnd, nil, timeouts)
	closeRequested := func() bool {
		found := false
		router.clients.each(func(client *client) {
			found = found || client.willClose()
		})
		return found
	}
	listener.pauseAt(afterRead)
	stage.Run(`send c1 startup | Q ""`)
	<-listener.reached
	waitUntil(t, "the idle client is asked to close", closeRequested)
	listener.resume()
	stage.Run(`expect c1 welcome | I | Z | EOF`)

	listener = newPausingListener(t)
	stage, router, _, _ = startRouterOn(t, listener, 0, admissionConfig(t, `{"per_address":2}`), acceptEnd, nil, noTimeouts)
	stage.Run(`
		send c1 startup | Q ""
		expect c1 welcome | I | Z
		send c2 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1`)
	listener.pauseAt(afterRead)
	stage.Run(`send c1 Q "" | Q ""`)
	<-listener.reached
	if err := router.acceptor.reload(admissionConfig(t, `{"per_address":1}`).Admission); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the idle client above the lowered limit is evicted", closeRequested)
	listener.resume()
	stage.Run(`expect c1 E 53300 | Z | FATAL 53300 | EOF`)
}

// willClose reports whether the client's reader was asked to close the connection.
func (client *client) willClose() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.closing || client.rejection != nil
}
