package backend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"lotushook/internal/fdlimit"
	"lotushook/internal/invariant"
	"lotushook/internal/metrics"
	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
)

// maxWelcomeBytes: what comes before the first query is short; beyond these bytes it has no end, and reading on would
// take the time of other requests.
const maxWelcomeBytes = 64 << 10

const (
	user     = "worker"
	database = "catalog"
)

var (
	errNoDialTurn   = errors.New("no turn to dial")
	errAsksPassword = errors.New("asked to authenticate")
)

// dialFor starts a new connection and gives it its first attempt.
func (p *Pool) dialFor(a *Attempt, address string) {
	delay := time.Duration(0)
	if p.DialDelay != nil {
		longest := time.Until(a.deadlines.Connect) / 2 // the other half is for the dial
		var ok bool
		if delay, ok = p.DialDelay(longest); !ok {
			a.finish(Result{Outcome: outcomeNotSent, Err: errNoDialTurn})
			return
		}
	}
	if !p.takeDescriptor() {
		slog.Warn("no descriptor free for a data server", "endpoint", a.endpoint)
		p.Metrics.Add(metrics.DialsWithoutDescriptor)
		a.finish(Result{Outcome: outcomeNotSent})
		return
	}
	c := newServerConn(p, a.endpoint, address)
	c.dialDelay = delay
	if !p.add(c) {
		p.Descriptors.ReleaseServer()
		a.finish(Result{Outcome: outcomeNotSent})
		return
	}
	go c.run(a)
}

// takeDescriptor takes a descriptor for a connection, closing an idle one if there is no other.
func (p *Pool) takeDescriptor() bool {
	return p.Descriptors.ReserveServer() || p.EvictIdle() && p.Descriptors.ReserveServer()
}

// connect dials and starts a session; the outcome is balance.Succeeded, or why not.
func (c *serverConn) connect(a *Attempt) Result {
	last := time.Now().Add(c.pool.ConnectTimeout)
	if a.deadlines.Connect.Before(last) {
		last = a.deadlines.Connect
	}
	ctx, stop := context.WithDeadline(a.dialContext, last)
	defer stop()
	if c.dialDelay > 0 {
		select {
		case <-time.After(c.dialDelay):
		case <-ctx.Done(): // the endpoint has no part in it
			return Result{Outcome: outcomeNotSent, Err: errNoDialTurn}
		}
	}
	socket, err := c.dial(ctx)
	switch {
	case fdlimit.IsExhausted(err):
		return Result{Outcome: outcomeNotSent, Err: err}
	case err != nil:
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	if err := c.setSocket(socket); err != nil {
		closeQuietly(socket)
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	inTime := context.AfterFunc(ctx, func() { _ = socket.SetDeadline(time.Unix(1, 0)) }) // or it has ended
	defer inTime()
	result := c.startSession()
	if result.Outcome == balance.Succeeded && !inTime() { // its deadline is spoilt
		return Result{Outcome: balance.ConnectionRefused, Err: context.DeadlineExceeded}
	}
	return result
}

// dial dials once, and once more if an idle connection could be closed for want of a descriptor.
func (c *serverConn) dial(ctx context.Context) (*net.TCPConn, error) {
	socket, err := dialTCP(ctx, c.address)
	if !fdlimit.IsExhausted(err) {
		return socket, err
	}
	if c.pool.OutOfDescriptors != nil { // the count said otherwise
		c.pool.OutOfDescriptors()
	}
	if !c.pool.EvictIdle() {
		return nil, err
	}
	return dialTCP(ctx, c.address)
}

// setSocket gives the connection its socket, unless it was closed meanwhile.
func (c *serverConn) setSocket(socket *net.TCPConn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.socket, c.rawSocket = socket, raw
	if c.closed {
		return net.ErrClosed
	}
	return nil
}

// startSession sends the startup message and reads up to the first ReadyForQuery.
func (c *serverConn) startSession() Result {
	if _, err := c.socket.Write(pgwire.AppendStartup(nil, user, database)); err != nil {
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	for received := 0; ; {
		message, err := c.nextMessage()
		if err != nil {
			return Result{Outcome: balance.ConnectionRefused, Err: err}
		}
		if received += message.Size; received > maxWelcomeBytes {
			return Result{Outcome: balance.ConnectionRefused, Err: errTooLong}
		}
		result := welcomeResult(message)
		if result.Outcome == balance.Busy || result.Err != nil {
			return result
		}
		c.in.Discard(message.Size)
		if result.Outcome != balance.Succeeded {
			continue
		}
		if c.in.Len() > 0 {
			return Result{Outcome: balance.ConnectionRefused, Err: errUnsolicited}
		}
		return result
	}
}

// welcomeResult is what a message before the first query says of the connection; no outcome: it goes on.
func welcomeResult(message pgwire.Message) Result {
	switch message.Kind {
	case pgwire.ReadyForQuery:
		return Result{Outcome: balance.Succeeded}
	case pgwire.ParameterStatus, pgwire.BackendKeyData, pgwire.NoticeResponse:
		return Result{}
	case pgwire.Authentication:
		if pgwire.IsAuthOK(message.Body) {
			return Result{}
		}
		return Result{Outcome: balance.ConnectionRefused, Err: errAsksPassword}
	case pgwire.ErrorResponse:
		code, err := pgwire.ErrorCode(message.Body)
		if err == nil && code == pgwire.CodeTooManyConnections {
			return Result{Outcome: balance.Busy}
		}
		return Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("error %s at the start: %w", code, err)}
	}
	return Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("%w: %q at the start", pgwire.ErrMalformed, message.Kind)}
}

// dialCounter is how connect's outcome counts.
func dialCounter(outcome balance.Outcome) metrics.Counter {
	switch outcome {
	case balance.Succeeded:
		return metrics.DialsSucceeded
	case balance.Busy:
		return metrics.DialsRejected
	case outcomeNotSent:
		return metrics.DialsWithoutDescriptor
	}
	return metrics.DialsFailed
}

// dialTCP connects to an address; whoever calls has taken the descriptor for it.
func dialTCP(ctx context.Context, address string) (*net.TCPConn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	socket, ok := conn.(*net.TCPConn)
	if !invariant.Check(ok, "a dialled connection is TCP") {
		closeQuietly(conn)
		return nil, fmt.Errorf("dialled %T", conn)
	}
	socket.SetNoDelay(true)
	return socket, nil
}
