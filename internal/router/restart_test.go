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

// turnstile is a listener that stops, when told to, who passes one of these places, until it is let go.
type turnstile struct {
	*net.TCPListener
	mu      sync.Mutex
	place   string
	reached chan struct{} // somebody stands there
	leave   chan struct{}
	woken   chan struct{} // the listener was told to stop
	wake    sync.Once
	broken  bool // what is written to a connection fails
}

const (
	atAccept = "accept" // before a connection is taken
	atRead   = "read"   // before a connection's socket is read; there is something to read once it goes on
	atBytes  = "bytes"  // with what was read of a connection
	atWrite  = "write"  // with half of what is to be written to a connection written
	atClose  = "close"  // before a connection is closed, or its sending ended; there is something to read once it goes on
)

func newTurnstile(t *testing.T) *turnstile {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &turnstile{TCPListener: ln.(*net.TCPListener), woken: make(chan struct{})}
	t.Cleanup(g.open)
	return g
}

// shut stops the next who comes to a place; whoever was stopped before goes on.
func (g *turnstile) shut(place string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leave != nil {
		close(g.leave)
	}
	g.place, g.reached, g.leave = place, make(chan struct{}), make(chan struct{})
}

// open lets go who was stopped.
func (g *turnstile) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leave != nil {
		close(g.leave)
	}
	g.place, g.leave = "", nil
}

// breakWrites lets what is written to a connection fail from now on, or not.
func (g *turnstile) breakWrites(broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = broken
}

func (g *turnstile) pass(place string) (stopped bool) {
	g.mu.Lock()
	if g.place != place {
		g.mu.Unlock()
		return false
	}
	reached, leave := g.reached, g.leave
	g.place = ""
	g.mu.Unlock()
	close(reached)
	<-leave
	return true
}

func (g *turnstile) Accept() (net.Conn, error) {
	g.pass(atAccept)
	conn, err := g.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &stopped{conn, g}, nil
}

func (g *turnstile) SetDeadline(at time.Time) error {
	if at.Equal(pastDeadline) {
		defer g.wake.Do(func() { close(g.woken) })
	}
	return g.TCPListener.SetDeadline(at)
}

type stopped struct {
	*net.TCPConn
	gate *turnstile
}

func (c *stopped) Read(p []byte) (int, error) {
	c.passReadable(atRead)
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.gate.pass(atBytes)
	}
	return n, err
}

// passReadable goes on from a place once there is something to read.
func (c *stopped) passReadable(place string) {
	if c.gate.pass(place) {
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && !c.readable(); {
			time.Sleep(time.Millisecond)
		}
	}
}

func (c *stopped) Write(p []byte) (int, error) {
	c.gate.mu.Lock()
	broken := c.gate.broken
	c.gate.mu.Unlock()
	if broken {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.TCPConn.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	c.gate.pass(atWrite)
	m, err := c.TCPConn.Write(p[n:])
	return n + m, err
}

func (c *stopped) CloseWrite() error {
	c.passReadable(atClose)
	return c.TCPConn.CloseWrite()
}

func (c *stopped) Close() error {
	c.passReadable(atClose)
	return c.TCPConn.Close()
}

func (c *stopped) readable() bool {
	return withDescriptor(c, func(fd int) bool {
		n, _, _ := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0
	})
}

// until waits for a state that must come.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// A router that is told to stop answers whatever it has read or can read by the time it closes a connection, and then closes
// it. Each row is a state that a connection may be in; with and without admission.
//
//nolint:funlen // one history or table of cases, told in order
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
	later := strings.Repeat(` | Q ""`, maxPipelined+4)
	for _, c := range []struct {
		guards  string
		before  string // while the router runs
		at      string // who comes to this place then is stopped
		sent    string // and this is sent
		stopped string // once the idle clients have been closed
		over    string // once the time for all that is open is over; nothing: the router ends before
	}{
		{guards: "idle: closed", before: idle, stopped: `expect c1 EOF`},
		{guards: "a request is read and not taken yet: answered", before: idle, at: atBytes, sent: `send c1 Q ""`,
			stopped: `expect c1 I | Z | EOF`},
		{guards: "a request can be read: answered", before: idle, at: atRead, sent: `send c1 Q "" | Q ""`,
			stopped: `expect c1 I | Z | I | Z | EOF`},
		{guards: "half a request is here: the rest is waited for", before: idle + `
			send c1 raw "Q\x00\x00"`, stopped: `
			send c1 raw "\x00\x05\x00"
			expect c1 I | Z | EOF`},
		{guards: "half a request can be read: the rest is waited for", before: idle, at: atRead, sent: `send c1 raw "Q\x00\x00"`,
			stopped: `
			send c1 raw "\x00\x05\x00"
			expect c1 I | Z | EOF`},
		{guards: "half a request and no more: it is refused in the end", before: idle + `
			send c1 raw "Q\x00\x00"`, over: `expect c1 FATAL 57P03 | EOF`},
		{guards: "an attempt is out: its answer", before: open, stopped: `
			send s1 T | D "v" | C | S rank=copy | Z
			expect c1 welcome | T | D "v" | C | Z | EOF`},
		{guards: "an attempt is out and gets none: failed in the end, as it may have run", before: open,
			over: `
			expect c1 welcome | E 58000 | Z | EOF
			expect s1 EOF`},
		{guards: "a connection to a data server is being made: its answer", before: dialing, stopped: `
			send s1 welcome
			expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
			send s1 T | D "v" | C | S rank=copy | Z
			expect c1 welcome | T | D "v" | C | Z | EOF`},
		{guards: "a connection to a data server is being made, and never is: refused in the end, as nothing ran", before: dialing,
			over: `
			expect c1 welcome | E 53300 | Z | EOF
			expect s1 EOF`},
		{guards: "its answer is half written: all of it arrives", before: open, at: atWrite, sent: `
			send s1 T | D "v" | C | S rank=copy | Z`, stopped: `
			expect c1 T | D "v" | C | Z | EOF`},
		{guards: "the module holds it: served once there is a server", before: `
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
		{guards: "the module holds it: refused in the end, as nothing ran", before: `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=2 */ A"`,
			over: `expect c1 welcome | E 53300 | Z | EOF`},
		{guards: "more requests are queued than are taken at a time: each gets its answer", before: open + `
			send c1 raw ""` + later, stopped: `
			send s1 T | D "v" | C | S rank=copy | Z
			expect c1 welcome | T | D "v" | C | Z` + strings.Repeat(` | I | Z`, maxPipelined+4) + ` | EOF`},
		{guards: "requests are queued behind one without an end: each gets its answer in the end", before: open + `
			send c1 raw ""` + later + ` | Q "/* id=02,c=read,d=20000,cluster=1 */ A"`, over: `
			expect c1 welcome | E 58000 | Z` + strings.Repeat(` | I | Z`, maxPipelined+4) + ` | E 53300 | Z | EOF`},
		{guards: "connected, nothing said: its first request is waited for", before: `send c1 raw ""`, stopped: `
			send c1 startup | Q ""
			expect c1 welcome | I | Z | EOF`},
		{guards: "connected, nothing said: closed in the end", before: `send c1 raw ""`, over: `expect c1 EOF`},
		{guards: "only the startup is read: the first request is waited for", before: `
			send c1 startup
			expect c1 welcome`, stopped: `
			send c1 Q ""
			expect c1 I | Z | EOF`},
		{guards: "TLS was asked for: the first request is waited for", before: `
			send c1 ssl
			expect c1 raw "N"`, stopped: `
			send c1 startup | Q ""
			expect c1 welcome | I | Z | EOF`},
		{guards: "a cancel request: closed", before: `send c1 raw "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02"`,
			stopped: `expect c1 EOF`},
		{guards: "the machine has accepted it, the router not: taken and answered", at: atAccept,
			sent: `send c1 startup | Q ""`, stopped: `
			expect c1 welcome | I | Z | EOF`},
	} {
		for name, own := range map[string]*siteconfig.Config{"plain": {}, "admission": admitting(t, `{"shared":["0.0.0.0/0"]}`)} {
			t.Run(c.guards+", "+name, func(t *testing.T) {
				ln, accepted, finish := newTurnstile(t), make(chan time.Time), make(chan time.Time)
				if c.at == atAccept {
					ln.shut(c.at)
				}
				end := sync.OnceFunc(func() { close(finish) })
				s, r, stop, done := stageOn(t, ln, 0, own, accepted, finish, endless, "h-1 {s1} 1 SERVING", "h-2 {s2} 2 DRAINING")
				t.Cleanup(sync.OnceFunc(func() { close(accepted) }))
				t.Cleanup(end)
				s.Define("list", nettest.HTTPResponse("agent", nettest.EndpointList(2, s.Expand("h-1 {s1} 1 SERVING"), s.Expand("h-2 {s2} 2 SERVING"))))
				s.Run(c.before)
				switch c.at {
				case atAccept:
					s.Run(c.sent)
					<-ln.reached
				case atWrite:
					s.Run(`expect c1 welcome`)
					ln.shut(atWrite)
					s.Run(c.sent)
					<-ln.reached
				case atBytes:
					ln.shut(atBytes)
					s.Run(c.sent)
					<-ln.reached
				case atRead: // only from the place before it does a reader certainly come to this one
					ln.shut(atBytes)
					s.Run(`send c1 Q ""`)
					<-ln.reached
					ln.shut(atRead)
					s.Run(`expect c1 I | Z`)
					<-ln.reached
					s.Run(c.sent)
				}
				stop()
				accepted <- time.Time{}
				<-ln.woken
				until(t, "the idle clients are closed", r.clients.isDraining)
				ln.open()
				s.Run(c.stopped)
				if c.over != "" {
					end()
					s.Run(c.over)
				}
				if err := <-done; err != nil {
					t.Error(err)
				}
				if left := r.readQuota.Available(); left != r.config.Limits.MemoryMB<<20/readMemoryShare {
					t.Errorf("%d bytes left for reading", left)
				}
			})
		}
	}
}

// Whatever clients do, a router that was told to stop ends once its time is over: one that sends on without a pause gets an
// answer to each query that was read up to the end, one that never reads its answers is not waited for.
func TestStopsForAll(t *testing.T) {
	accepted, finish := make(chan time.Time), make(chan time.Time)
	accept, end := sync.OnceFunc(func() { close(accepted) }), sync.OnceFunc(func() { close(finish) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := endless
	p.finalAnswers = time.Millisecond
	s, r, stop, done := stageOn(t, ln, 0, &siteconfig.Config{}, accepted, finish, p)
	s.Run(`
		send c1 startup | Q ""
		expect c1 welcome | I | Z
		send c2 startup | Q ""
		expect c2 welcome | I | Z`)
	var floods sync.WaitGroup
	t.Cleanup(func() { s.Close(); accept(); end(); floods.Wait() })
	var sent [2]atomic.Int64
	flood := strings.Repeat(` | Q ""`, 1000)
	floods.Go(func() {
		for s.RunStep(`send c1 raw ""`+flood) == nil {
			sent[0].Add(1)
		}
	})
	floods.Go(func() { // and this one reads
		for s.RunStep(`send c2 Q ""`) == nil && s.RunStep(`expect c2 I | Z`) == nil {
			sent[1].Add(1)
		}
	})
	until(t, "both send", func() bool { return sent[0].Load() > 0 && sent[1].Load() > 10 })
	stop()
	accept()
	until(t, "the idle clients are closed", r.clients.isDraining)
	end()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A limit of the running router closes no connection under a request that has been read, or can be: one that idles, and one
// that has to go for another.
func TestClosesBetweenRequests(t *testing.T) {
	accepted := make(chan time.Time)
	close(accepted)
	p := endless
	p.idle = time.Millisecond
	ln := newTurnstile(t)
	s, r, _, _ := stageOn(t, ln, 0, &siteconfig.Config{}, accepted, nil, p)
	asked := func() bool {
		found := false
		r.clients.each(func(c *client) {
			found = found || c.leaves()
		})
		return found
	}
	ln.shut(atBytes)
	s.Run(`send c1 startup | Q ""`)
	<-ln.reached
	until(t, "who idles is asked to go", asked)
	ln.open()
	s.Run(`expect c1 welcome | I | Z | EOF`)

	ln = newTurnstile(t)
	s, r, _, _ = stageOn(t, ln, 0, admitting(t, `{"per_address":2}`), accepted, nil, endless)
	s.Run(`
		send c1 startup | Q ""
		expect c1 welcome | I | Z
		send c2 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1`)
	ln.shut(atBytes)
	s.Run(`send c1 Q "" | Q ""`)
	<-ln.reached
	if err := r.acceptor.reload(admitting(t, `{"per_address":1}`).Admission); err != nil {
		t.Fatal(err)
	}
	until(t, "who idles over a lowered cap is put out", asked)
	ln.open()
	s.Run(`expect c1 E 53300 | Z | FATAL 53300 | EOF`)
}

// leaves says whether the client's reader is to end the connection.
func (c *client) leaves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.rejection != nil
}
