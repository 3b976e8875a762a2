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

// Server is an emulated data server.
type Server struct {
	Name, Zone     string
	group          *Group
	cores          chan struct{}
	activeRequests atomic.Int64 // being processed or waiting
	history        *history     // the history that the server follows; guarded by the group's lock

	mu            sync.Mutex
	listener      net.Listener
	addr          string
	conns         map[net.Conn]*connState
	started       time.Time       // last cold start; zero: the server is warm
	drainStart    time.Time       // zero: not draining
	pending       []pendingCommit // commits that are not applied yet
	appliedAt     time.Time       // when the last commit will have been applied
	missedCommits int             // commits while the server was down
	applyFactor   float64         // factor of the time to apply a commit; 0 and 1: normal
	workFactor    float64         // factor of the work of a request; 0 and 1: normal

	hungUntil, startupDelayUntil time.Time
	startupDelay                 time.Duration
}

// connState is the state of a connection: whether it has a request in flight.
type connState struct{ busy atomic.Bool }

// pendingCommit is a commit that a replica has yet to apply, and when that is done.
type pendingCommit struct{ commit, done time.Time }

// Addr returns the address that the server listens on.
func (server *Server) Addr() string {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.addr
}

// Group returns the group of the server.
func (server *Server) Group() *Group { return server.group }

// up reports whether the server is running.
func (server *Server) up() bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.listener != nil
}

// start starts the server on an address. A cold server must first apply the commits that it missed.
func (server *Server) start(addr string, cold bool) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("data server %s: %w", server.Name, err)
	}
	server.mu.Lock()
	server.listener, server.addr, server.conns = listener, listener.Addr().String(), map[net.Conn]*connState{}
	server.drainStart = time.Time{}
	if cold {
		now := time.Now()
		server.started = now
		server.appliedAt = now.Add(time.Duration(server.missedCommits) * server.group.fleet.ApplyTime)
		if server.missedCommits > 0 {
			server.pending = append(server.pending, pendingCommit{now, server.appliedAt})
		}
		server.missedCommits = 0
	}
	server.mu.Unlock()
	go server.accept(listener)
	return nil
}

// accept serves new connections until the listener is closed.
func (server *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server.mu.Lock()
		if server.listener != listener {
			server.mu.Unlock()
			conn.Close()
			return
		}
		state := &connState{}
		server.conns[conn] = state
		server.mu.Unlock()
		server.group.rates.Dials.add()
		go func() {
			server.serve(conn, state)
			conn.Close()
			server.mu.Lock()
			delete(server.conns, conn)
			server.mu.Unlock()
		}()
	}
}

// Kill stops the server and resets its connections.
func (server *Server) Kill() {
	server.mu.Lock()
	listener := server.listener
	server.listener = nil
	for conn := range server.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	server.mu.Unlock()
	if listener != nil {
		listener.Close()
		server.group.handleFailure(server)
	}
}

// Restart starts the server again on its address, cold.
func (server *Server) Restart() error {
	if err := server.start(server.Addr(), true); err != nil {
		return err
	}
	server.group.handleRestart(server)
	server.group.agent.publish(server, "SERVING")
	server.group.joinHistory(server)
	return nil
}

// Drain lists the server as draining: it should get no new requests.
func (server *Server) Drain() {
	server.mu.Lock()
	server.drainStart = time.Now()
	server.mu.Unlock()
	server.group.agent.publish(server, "DRAINING")
}

// SetApplyFactor multiplies the time that the server takes to apply a commit; 1 is normal.
func (server *Server) SetApplyFactor(factor float64) {
	server.mu.Lock()
	server.applyFactor = factor
	server.mu.Unlock()
}

// SetWorkFactor multiplies the work of all requests; 1 is normal.
func (server *Server) SetWorkFactor(factor float64) {
	server.mu.Lock()
	server.workFactor = factor
	server.mu.Unlock()
}

// replicate replicates a commit to the server.
func (server *Server) replicate(commit time.Time) {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.listener == nil {
		server.missedCommits++
		return
	}
	fleet := server.group.fleet
	start := commit.Add(fleet.ReplicationDelay)
	if server.appliedAt.After(start) {
		start = server.appliedAt
	}
	server.appliedAt = start.Add(time.Duration(float64(fleet.ApplyTime) * max(server.applyFactor, 1)))
	server.pending = append(server.pending, pendingCommit{commit, server.appliedAt})
}

// position returns the position (Unix ms) up to which the server has applied all commits.
func (server *Server) position(now time.Time) int64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	for len(server.pending) > 0 && !server.pending[0].done.After(now) {
		server.pending = server.pending[1:]
	}
	if len(server.pending) > 0 {
		return min(server.pending[0].commit.UnixMilli()-1, now.Add(-server.group.fleet.ReplicationDelay).UnixMilli())
	}
	return now.Add(-server.group.fleet.ReplicationDelay).UnixMilli()
}

// capacity returns the current share of the server's full capacity.
func (server *Server) capacity(now time.Time) float64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	fleet := server.group.fleet
	full := 1 / max(server.workFactor, 1)
	if server.started.IsZero() || fleet.Ramp == 0 {
		return full
	}
	warmth := min(1, float64(now.Sub(server.started))/float64(fleet.Ramp))
	return full * (fleet.ColdShare + (1-fleet.ColdShare)*warmth)
}

// serve handles a connection until it ends.
func (server *Server) serve(conn net.Conn, state *connState) {
	in := ringbuffer.New(1 << 20)
	next := func() (pgwire.Message, error) {
		for {
			message, err := pgwire.Next(in)
			if !errors.Is(err, pgwire.ErrIncomplete) {
				return message, err
			}
			if err := in.Fill(conn); err != nil {
				return message, err
			}
		}
	}
	for {
		kind, size, err := pgwire.NextStart(in)
		if errors.Is(err, pgwire.ErrIncomplete) {
			if in.Fill(conn) != nil {
				return
			}
			continue
		}
		if err != nil || kind == pgwire.CancelRequest {
			return
		}
		in.Discard(size)
		if kind == pgwire.Startup {
			break
		}
		_, _ = conn.Write([]byte{'N'})
	}
	server.awaitStartupDelay()
	if _, err := conn.Write(pgwire.AppendSessionStart(nil, pgwire.CancelKey{})); err != nil {
		return
	}
	for {
		message, err := next()
		if err != nil || message.Kind != pgwire.Query {
			return
		}
		text, err := pgwire.QueryText(message.Body)
		in.Discard(message.Size)
		if err != nil {
			return
		}
		state.busy.Store(true)
		if _, err := conn.Write(server.answer(conn, text)); err != nil {
			return
		}
		state.busy.Store(false)
	}
}

// answer executes a query and returns the answer.
func (server *Server) answer(conn net.Conn, text string) []byte {
	arrivedAt := time.Now()
	if request, err := pgwire.ParseRequest(text); err == nil { // the time of arrival is recorded even if the request then waits
		return pgwire.AppendReady(server.request(conn, &request, arrivedAt))
	}
	server.awaitHang()
	switch {
	case pgwire.IsBlank(text):
		return pgwire.AppendReady(pgwire.Append(nil, pgwire.EmptyQueryResponse, nil))
	case text == "SHOW vitals":
		server.group.updateAudit(func(audit *Audit) { audit.Probes++ })
		server.group.rates.Probes.add()
		now, role := time.Now(), 0
		position := server.position(now)
		if server.group.isPrimary(server) {
			position, role = now.UnixMilli(), 1
		}
		return pgwire.AppendReady(row(fmt.Sprintf("x0=%d.%03d,x1=%d,inflight=%d", position/1000, position%1000, role, server.activeRequests.Load())))
	case text == "SELECT 1":
		server.group.updateAudit(func(audit *Audit) { audit.Probes++ })
		return pgwire.AppendReady(row("1"))
	}
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocolViolation, "no request", ""))
}

// request executes a request: it waits for a core, works, and answers with a value that identifies the request.
func (server *Server) request(conn net.Conn, request *pgwire.Request, arrivedAt time.Time) []byte {
	group := server.group
	class, known := group.fleet.Classes[request.Class]
	if !known || request.Cluster != group.number {
		return pgwire.AppendError(nil, "ERROR", "XX000", "not of this group", "")
	}
	attempt := &openAttempt{closed: func() bool { return isClosed(conn) }}
	group.addAttempt(request.ID, attempt)
	group.rates.Sends.add()
	defer group.removeAttempt(request.ID, attempt)
	index := group.recordAttempt(Attempt{ID: request.ID, Key: request.Key, Class: request.Class, Server: server.Name, At: arrivedAt, Remaining: request.Timeout})
	server.awaitHang()
	server.mu.Lock()
	late := !server.drainStart.IsZero() && time.Since(server.drainStart) > time.Second
	server.mu.Unlock()
	if late {
		group.updateAudit(func(audit *Audit) { audit.LateAttempts++ })
	}
	if rejection := server.checkServable(class, request); rejection != nil {
		group.markMissed(index)
		group.recordRun(Run{ID: request.ID, Session: request.Session, Server: server.Name, Write: class.Write, Missed: true})
		return rejection
	}
	if server.activeRequests.Add(1) > int64(group.fleet.Cores+group.fleet.Queue) {
		server.activeRequests.Add(-1)
		group.markMissed(index)
		group.updateAudit(func(audit *Audit) { audit.Rejected++ })
		return server.withStatus(pgwire.AppendError(nil, "ERROR", pgwire.CodeTooManyConnections, "queue full", ""), 0)
	}
	defer server.activeRequests.Add(-1)
	server.cores <- struct{}{}
	group.recordStart(request.ID)
	if work := group.draw(class.Work); work > 0 {
		time.Sleep(time.Duration(float64(work) / server.capacity(time.Now())))
	}
	<-server.cores
	if class.Feed {
		return server.readFeed(request, requestedEvents(request))
	}
	if !class.Write {
		position := server.position(time.Now())
		seen := position
		if group.isPrimary(server) {
			seen = time.Now().UnixMilli()
		}
		if class.Session {
			group.checkSession(request.Session, false, seen)
		}
		group.recordRun(Run{ID: request.ID, Session: request.Session, Server: server.Name, Pos: seen})
		return server.withStatus(row(pad("v:"+request.ID, class.Value)), position)
	}
	if !group.isPrimary(server) { // another server became the primary while the request waited
		return server.withStatus(pgwire.AppendError(nil, "ERROR", "XX000", "no primary any more", ""), 0)
	}
	position, _ := group.commit(server, request.Key, time.Now())
	time.Sleep(group.fleet.ReplicationDelay) // until a replica has received the commit
	group.checkSession(request.Session, true, position)
	group.recordRun(Run{ID: request.ID, Session: request.Session, Server: server.Name, Write: true, Pos: position})
	return server.withStatus(row("k:"+request.Key), position)
}

// checkServable returns the error for a request that this server can't process, or nil.
func (server *Server) checkServable(class Class, request *pgwire.Request) []byte {
	now := time.Now()
	primary := server.group.isPrimary(server)
	var code string
	switch {
	case primary:
		return nil
	case class.Write:
		code = pgwire.CodeReadOnly
	case request.HasAfter && server.position(now) < request.After, class.Bound > 0 && server.position(now) < now.Add(-class.Bound).UnixMilli():
		code = pgwire.CodeTooFarBehind
	default:
		return nil
	}
	server.group.updateAudit(func(audit *Audit) { audit.Misses++ })
	return server.withStatus(pgwire.AppendError(nil, "ERROR", code, "not here", ""), server.position(now))
}

// withStatus adds the role and position of the server to an answer.
func (server *Server) withStatus(answer []byte, position int64) []byte {
	rank := "copy"
	if server.group.isPrimary(server) {
		rank, position = "source", max(position, time.Now().UnixMilli())
	}
	answer = pgwire.Append(answer, pgwire.ParameterStatus, []byte("rank\x00"+rank+"\x00"))
	if position > 0 {
		answer = pgwire.Append(answer, pgwire.ParameterStatus, []byte("as_of\x00"+strconv.FormatInt(position, 10)+"\x00"))
	}
	return answer
}

// pad extends a value to a minimum length in bytes.
func pad(value string, length int) string {
	return value + strings.Repeat(".", max(0, length-len(value)))
}

// row returns an answer of one row with one column.
func row(value string) []byte { return pgwire.AppendRow(nil, "body", value) }

// isClosed reports whether the peer has closed a connection.
func isClosed(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		size, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = size == 0 && err == nil || err != nil && !strings.Contains(err.Error(), syscall.EAGAIN.Error())
	})
	return closed || err != nil
}
