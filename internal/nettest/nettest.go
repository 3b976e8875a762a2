// Package nettest is a small language for tests of network code. A scenario is
// a list of steps, one a line, done in order:
//
//	send c1 startup | Q "SELECT 1"     write messages
//	expect c1 welcome | E 42601 | Z    read messages; they must be these
//	close c1                           close the connection
//	wait s1                            wait until somebody connects to peer s1
//
// A name that was given to Dial is a client and connects when it is first used;
// one given to New is a server, and stands for the connection that wait took
// last. "wait s1 as s2" names that connection s2.
//
// Messages of PostgreSQL's protocol are written as their kind and what counts:
// startup, welcome, ssl, Q "text", T, D "value", C, Z, I, X, S name=value, E code, FATAL
// code, D+ms in an error as E code ms. raw "bytes" is sent or expected as it
// stands, line "text" is a line of text, and EOF is the connection's end. In
// what is expected, # stands for a run of digits.
package nettest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// hang ends a scenario that is stuck. Nothing that passes comes near it.
const hang = 30 * time.Second

// Stage is where a scenario plays: its peers and their connections.
type Stage struct {
	t       testing.TB
	servers map[string]net.Listener
	dial    string
	clients string            // the prefix of their names
	from    map[string]string // the address that clients of a prefix come from
	conns   map[string]*peer
	subst   []string // {name} and what stands for it, by turns
}

type peer struct {
	net.Conn
	read *bufio.Reader
}

// New returns a stage with servers of these names on loopback.
func New(tb testing.TB, servers ...string) *Stage {
	tb.Helper()
	s := &Stage{t: tb, servers: map[string]net.Listener{}, conns: map[string]*peer{}, from: map[string]string{}}
	for _, name := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		s.servers[name] = ln
		s.Set(name, s.Addr(name))
		tb.Cleanup(func() { ln.Close() })
	}
	tb.Cleanup(s.Close)
	return s
}

// Close ends all connections.
func (s *Stage) Close() {
	for _, p := range s.conns {
		p.Close()
	}
}

// Addr is where a server listens.
func (s *Stage) Addr(name string) string { return s.servers[name].Addr().String() }

// Shut stops a server from listening.
func (s *Stage) Shut(name string) { s.servers[name].Close() }

// HasConnection says whether somebody has connected to a server whom no step waited for.
func (s *Stage) HasConnection(name string) bool {
	ln := s.servers[name].(*net.TCPListener)
	ln.SetDeadline(time.Now().Add(10 * time.Millisecond)) // one in the queue is taken at once
	conn, err := ln.Accept()
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// Agent is a server that is silent until tell is called, and from then on answers for the list that it was last told, as
// often as it is asked; a watch waits for a newer one.
func (s *Stage) Agent(name string) (tell func(seq int, list string)) {
	var mu sync.Mutex
	now, news := "", make(chan struct{})
	version := 0
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.Atoi(r.URL.Query().Get("since"))
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		mu.Lock()
		changed, same := news, since == version
		mu.Unlock()
		if same {
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if since == version {
			fmt.Fprintf(w, `{"seq":%d,"whole":false,"hosts":[]}`, version)
		} else {
			_, _ = io.WriteString(w, now)
		}
	})}
	s.t.Cleanup(func() { srv.Close() })
	start := sync.OnceFunc(func() {
		go func() { _ = srv.Serve(s.servers[name]) }() // its end is the listener's
	})
	return func(seq int, list string) {
		mu.Lock()
		version, now = seq, s.Expand(list)
		close(news)
		news = make(chan struct{})
		mu.Unlock()
		start()
	}
}

// Dial lets names that begin with prefix connect to an address.
func (s *Stage) Dial(prefix, addr string) { s.clients, s.dial = prefix, addr }

// From lets clients whose names begin with prefix come from an address of their
// own; the longest prefix counts.
func (s *Stage) From(prefix, addr string) { s.from[prefix] = addr }

// Set replaces {name} by value in what follows. The name of a server stands for
// its address from the start.
func (s *Stage) Set(name, value string) { s.subst = append(s.subst, "{"+name+"}", value) }

// Expand does the replacements in a text.
func (s *Stage) Expand(text string) string { return strings.NewReplacer(s.subst...).Replace(text) }

// Play does the steps of a scenario.
func (s *Stage) Play(text string) {
	s.t.Helper()
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := s.step(s.Expand(line)); err != nil {
			s.t.Fatalf("step %d, %s: %v", i, line, err)
		}
	}
}

// Try does one step and returns its error.
func (s *Stage) Try(step string) error { return s.step(s.Expand(step)) }

func (s *Stage) step(line string) error {
	verb, rest, _ := strings.Cut(line, " ")
	name, rest, _ := strings.Cut(strings.TrimSpace(rest), " ")
	if verb == "wait" {
		return s.accept(name, strings.TrimPrefix(rest, "as "))
	}
	p, err := s.peer(name)
	if err != nil {
		return err
	}
	switch verb {
	case "send":
		var all []byte // one write, so that what comes first can't end the connection under the rest
		for _, m := range messages(rest) {
			b, err := encode(m)
			if err != nil {
				return fmt.Errorf("%s: %w", m, err)
			}
			all = append(all, b...)
		}
		_, err := p.Write(all)
		return err
	case "expect":
		return expect(p, messages(rest))
	case "close":
		return p.Close()
	}
	return fmt.Errorf("no such step: %s", verb)
}

func (s *Stage) accept(name, as string) error {
	ln, ok := s.servers[name].(*net.TCPListener)
	if !ok {
		return fmt.Errorf("no server %s", name)
	}
	if as == "" {
		as = name
	}
	ln.SetDeadline(time.Now().Add(hang))
	conn, err := ln.Accept()
	if err == nil {
		s.add(as, conn)
	}
	return err
}

func (s *Stage) peer(name string) (*peer, error) {
	if p := s.conns[name]; p != nil {
		return p, nil
	}
	if s.dial == "" || !strings.HasPrefix(name, s.clients) {
		return nil, fmt.Errorf("nobody has connected to %s", name)
	}
	var d net.Dialer
	longest := ""
	for prefix, addr := range s.from {
		if strings.HasPrefix(name, prefix) && len(prefix) > len(longest) {
			longest, d.LocalAddr = prefix, &net.TCPAddr{IP: net.ParseIP(addr)}
		}
	}
	conn, err := d.Dial("tcp", s.dial)
	if err != nil {
		return nil, err
	}
	return s.add(name, conn), nil
}

func (s *Stage) add(name string, conn net.Conn) *peer {
	if old := s.conns[name]; old != nil {
		old.Close()
	}
	conn.SetDeadline(time.Now().Add(hang))
	s.conns[name] = &peer{conn, bufio.NewReaderSize(conn, 1<<16)}
	return s.conns[name]
}
