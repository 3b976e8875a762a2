package emulator

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
)

// Server is one data server.
type Server struct {
	Name, Zone     string
	group          *Group
	cores          chan struct{}
	activeRequests atomic.Int64 // in work and waiting
	history        *history     // the log that it follows; the group's lock guards it

	mu      sync.Mutex
	ln      net.Listener
	addr    string
	conns   map[net.Conn]*connState
	started time.Time // zero: long ago, warm
	drainAt time.Time
	log     []entry // commits that are not applied yet
	applied time.Time
	missed  int // commits while it was down
	slow    float64
	burden  float64 // times that its work takes; 0 and 1: once

	hungUntil, welcomeDelayUntil time.Time
	welcomeDelay                 time.Duration
}

// connState is what a connection does.
type connState struct{ busy atomic.Bool }

// entry is a commit on its way into a replica.
type entry struct{ commit, done time.Time }

// Addr is where it listens.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Group is the one that it is a member of.
func (s *Server) Group() *Group { return s.group }

func (s *Server) up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln != nil
}

func (s *Server) start(addr string, cold bool) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("data server %s: %w", s.Name, err)
	}
	s.mu.Lock()
	s.ln, s.addr, s.conns = ln, ln.Addr().String(), map[net.Conn]*connState{}
	s.drainAt = time.Time{}
	if cold {
		now := time.Now()
		s.started = now
		s.applied = now.Add(time.Duration(s.missed) * s.group.fleet.Apply)
		if s.missed > 0 {
			s.log = append(s.log, entry{now, s.applied})
		}
		s.missed = 0
	}
	s.mu.Unlock()
	go s.accept(ln)
	return nil
}

func (s *Server) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.ln != ln {
			s.mu.Unlock()
			conn.Close()
			return
		}
		state := &connState{}
		s.conns[conn] = state
		s.mu.Unlock()
		s.group.rates.Dials.add()
		go func() {
			s.serve(conn, state)
			conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// Kill ends the process: its connections are reset.
func (s *Server) Kill() {
	s.mu.Lock()
	ln := s.ln
	s.ln = nil
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.mu.Unlock()
	if ln != nil {
		ln.Close()
		s.group.fail(s)
	}
}

// Restart starts it again where it was, cold.
func (s *Server) Restart() error {
	if err := s.start(s.Addr(), true); err != nil {
		return err
	}
	s.group.returned(s)
	s.group.agent.put(s, "SERVING")
	s.group.rejoin(s)
	return nil
}

// Drain makes the list say that it wants nothing new.
func (s *Server) Drain() {
	s.mu.Lock()
	s.drainAt = time.Now()
	s.mu.Unlock()
	s.group.agent.put(s, "DRAINING")
}

// Slow makes it apply the log so many times more slowly; 1 is usual.
func (s *Server) Slow(times float64) {
	s.mu.Lock()
	s.slow = times
	s.mu.Unlock()
}

// Burden makes all its work take so many times longer; 1 is usual.
func (s *Server) Burden(times float64) {
	s.mu.Lock()
	s.burden = times
	s.mu.Unlock()
}

// ship puts a commit on its way to this replica.
func (s *Server) ship(commit time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		s.missed++
		return
	}
	f := s.group.fleet
	at := commit.Add(f.Ship)
	if s.applied.After(at) {
		at = s.applied
	}
	s.applied = at.Add(time.Duration(float64(f.Apply) * max(s.slow, 1)))
	s.log = append(s.log, entry{commit, s.applied})
}

// position is up to when it has applied all commits, in Unix ms.
func (s *Server) position(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.log) > 0 && !s.log[0].done.After(now) {
		s.log = s.log[1:]
	}
	if len(s.log) > 0 {
		return min(s.log[0].commit.UnixMilli()-1, now.Add(-s.group.fleet.Ship).UnixMilli())
	}
	return now.Add(-s.group.fleet.Ship).UnixMilli()
}

// capacity is what it can do at the moment, as a share.
func (s *Server) capacity(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.group.fleet
	all := 1 / max(s.burden, 1)
	if s.started.IsZero() || f.Ramp == 0 {
		return all
	}
	warm := min(1, float64(now.Sub(s.started))/float64(f.Ramp))
	return all * (f.ColdShare + (1-f.ColdShare)*warm)
}

// serve is one connection's life.
func (s *Server) serve(conn net.Conn, state *connState) {
	in := ringbuffer.New(1 << 20)
	next := func() (pgwire.Message, error) {
		for {
			m, err := pgwire.Next(in)
			if !errors.Is(err, pgwire.ErrIncomplete) {
				return m, err
			}
			if err := in.Fill(conn); err != nil {
				return m, err
			}
		}
	}
	for {
		kind, n, err := pgwire.NextStart(in)
		if errors.Is(err, pgwire.ErrIncomplete) {
			if in.Fill(conn) != nil {
				return
			}
			continue
		}
		if err != nil || kind == pgwire.CancelRequest {
			return
		}
		in.Discard(n)
		if kind == pgwire.Startup {
			break
		}
		_, _ = conn.Write([]byte{'N'})
	}
	s.awaitWelcome()
	if _, err := conn.Write(pgwire.AppendSessionStart(nil, pgwire.CancelKey{})); err != nil {
		return
	}
	for {
		m, err := next()
		if err != nil || m.Kind != pgwire.Query {
			return
		}
		text, err := pgwire.QueryText(m.Body)
		in.Discard(m.Size)
		if err != nil {
			return
		}
		state.busy.Store(true)
		if _, err := conn.Write(s.answer(conn, text)); err != nil {
			return
		}
		state.busy.Store(false)
	}
}

// answer does what a query says.
func (s *Server) answer(conn net.Conn, text string) []byte {
	at := time.Now()
	if r, err := pgwire.ParseRequest(text); err == nil { // recorded when it comes, also where it then waits
		return pgwire.AppendReady(s.request(conn, &r, at))
	}
	s.awaitHang()
	switch {
	case pgwire.IsBlank(text):
		return pgwire.AppendReady(pgwire.Append(nil, pgwire.EmptyQueryResponse, nil))
	case text == "SHOW vitals":
		s.group.count(func(a *Audit) { a.Probes++ })
		s.group.rates.Probes.add()
		now, role := time.Now(), 0
		pos := s.position(now)
		if s.group.isPrimary(s) {
			pos, role = now.UnixMilli(), 1
		}
		return pgwire.AppendReady(row(fmt.Sprintf("x0=%d.%03d,x1=%d,inflight=%d", pos/1000, pos%1000, role, s.activeRequests.Load())))
	case text == "SELECT 1":
		s.group.count(func(a *Audit) { a.Probes++ })
		return pgwire.AppendReady(row("1"))
	}
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocolViolation, "no request", ""))
}

// request runs one request: it waits for a core, works, and answers with a value
// that only this request's data server could give.
func (s *Server) request(conn net.Conn, r *pgwire.Request, at time.Time) []byte {
	g := s.group
	class, known := g.fleet.Classes[r.Class]
	if !known || r.Cluster != g.number {
		return pgwire.AppendError(nil, "ERROR", "XX000", "not of this group", "")
	}
	v := &visit{gone: func() bool { return isClosed(conn) }}
	g.enter(r.ID, v)
	g.rates.Sends.add()
	defer g.leave(r.ID, v)
	place := g.attempted(Attempt{ID: r.ID, Key: r.Key, Class: r.Class, Server: s.Name, At: at, Left: r.Timeout})
	s.awaitHang()
	s.mu.Lock()
	late := !s.drainAt.IsZero() && time.Since(s.drainAt) > time.Second
	s.mu.Unlock()
	if late {
		g.count(func(a *Audit) { a.Late++ })
	}
	if miss := s.misses(class, r); miss != nil {
		g.missed(place)
		g.ranOne(Ran{ID: r.ID, Session: r.Session, Server: s.Name, Write: class.Write, Missed: true})
		return miss
	}
	if s.activeRequests.Add(1) > int64(g.fleet.Cores+g.fleet.Queue) {
		s.activeRequests.Add(-1)
		g.missed(place)
		g.count(func(a *Audit) { a.Rejected++ })
		return s.says(pgwire.AppendError(nil, "ERROR", pgwire.CodeTooManyConnections, "queue full", ""), 0)
	}
	defer s.activeRequests.Add(-1)
	s.cores <- struct{}{}
	g.begin(r.ID)
	if work := g.draw(class.Work); work > 0 {
		time.Sleep(time.Duration(float64(work) / s.capacity(time.Now())))
	}
	<-s.cores
	if class.Feed {
		return s.readFeed(r, requestedEvents(r))
	}
	if !class.Write {
		pos := s.position(time.Now())
		saw := pos
		if g.isPrimary(s) {
			saw = time.Now().UnixMilli()
		}
		if class.Session {
			g.session(r.Session, false, saw)
		}
		g.ranOne(Ran{ID: r.ID, Session: r.Session, Server: s.Name, Pos: saw})
		return s.says(row(padded("v:"+r.ID, class.Value)), pos)
	}
	if !g.isPrimary(s) { // it lost the role while this waited
		return s.says(pgwire.AppendError(nil, "ERROR", "XX000", "no primary any more", ""), 0)
	}
	pos, _ := g.commit(s, r.Key, time.Now())
	time.Sleep(g.fleet.Ship) // a replica has it too
	g.session(r.Session, true, pos)
	g.ranOne(Ran{ID: r.ID, Session: r.Session, Server: s.Name, Write: true, Pos: pos})
	return s.says(row("k:"+r.Key), pos)
}

// misses turns away what this server can't do, untouched.
func (s *Server) misses(class Class, r *pgwire.Request) []byte {
	now := time.Now()
	primary := s.group.isPrimary(s)
	var code string
	switch {
	case primary:
		return nil
	case class.Write:
		code = pgwire.CodeReadOnly
	case r.HasAfter && s.position(now) < r.After, class.Bound > 0 && s.position(now) < now.Add(-class.Bound).UnixMilli():
		code = pgwire.CodeTooFarBehind
	default:
		return nil
	}
	s.group.count(func(a *Audit) { a.Misses++ })
	return s.says(pgwire.AppendError(nil, "ERROR", code, "not here", ""), s.position(now))
}

// says adds role and position to an answer.
func (s *Server) says(answer []byte, pos int64) []byte {
	rank := "copy"
	if s.group.isPrimary(s) {
		rank, pos = "source", max(pos, time.Now().UnixMilli())
	}
	answer = pgwire.Append(answer, pgwire.ParameterStatus, []byte("rank\x00"+rank+"\x00"))
	if pos > 0 {
		answer = pgwire.Append(answer, pgwire.ParameterStatus, []byte("as_of\x00"+strconv.FormatInt(pos, 10)+"\x00"))
	}
	return answer
}

// padded is a value with what makes it so many bytes long.
func padded(value string, bytes int) string {
	return value + strings.Repeat(".", max(0, bytes-len(value)))
}

// row is an answer of one row with one column.
func row(value string) []byte { return pgwire.AppendRow(nil, "body", value) }

// isClosed says whether the other side has closed a connection.
func isClosed(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !strings.Contains(err.Error(), syscall.EAGAIN.Error())
	})
	return closed || err != nil
}
