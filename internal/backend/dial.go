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

// maxStartupBytes limits the messages before the first query, which are short; reading on would let a server that never
// stops sending use the time of other requests.
const maxStartupBytes = 64 << 10

const (
	user     = "worker"
	database = "catalog"
)

var (
	errDialNotPermitted = errors.New("no dial permitted before the connect deadline")
	errPasswordRequired = errors.New("the data server requires authentication")
)

// dialFor creates a connection for an attempt and dials in its own goroutine.
func (pool *Pool) dialFor(attempt *Attempt, address string) {
	delay := time.Duration(0)
	if pool.DialDelay != nil {
		maxDelay := time.Until(attempt.deadlines.Connect) / 2 // the other half is left for the dial
		var ok bool
		if delay, ok = pool.DialDelay(maxDelay); !ok {
			attempt.finish(Result{Outcome: outcomeNotSent, Err: errDialNotPermitted})
			return
		}
	}
	if !pool.reserveDescriptor() {
		slog.Warn("no file descriptor available for a data server connection", "endpoint", attempt.endpoint)
		pool.Metrics.Add(metrics.DialsWithoutDescriptor)
		attempt.finish(Result{Outcome: outcomeNotSent})
		return
	}
	conn := newServerConn(pool, attempt.endpoint, address)
	conn.dialDelay = delay
	if !pool.add(conn) {
		pool.Descriptors.ReleaseServer()
		attempt.finish(Result{Outcome: outcomeNotSent})
		return
	}
	go conn.run(attempt)
}

// reserveDescriptor reserves a file descriptor for a connection, closing an idle connection if none is free.
func (pool *Pool) reserveDescriptor() bool {
	return pool.Descriptors.ReserveServer() || pool.EvictIdle() && pool.Descriptors.ReserveServer()
}

// connect dials and starts a session. The outcome is balance.Succeeded or the reason for the failure.
func (conn *serverConn) connect(attempt *Attempt) Result {
	deadline := time.Now().Add(conn.pool.ConnectTimeout)
	if attempt.deadlines.Connect.Before(deadline) {
		deadline = attempt.deadlines.Connect
	}
	ctx, stop := context.WithDeadline(attempt.dialContext, deadline)
	defer stop()
	if conn.dialDelay > 0 {
		select {
		case <-time.After(conn.dialDelay):
		case <-ctx.Done(): // the endpoint was not contacted
			return Result{Outcome: outcomeNotSent, Err: errDialNotPermitted}
		}
	}
	socket, err := conn.dial(ctx)
	switch {
	case fdlimit.IsExhausted(err):
		return Result{Outcome: outcomeNotSent, Err: err}
	case err != nil:
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	if err := conn.setSocket(socket); err != nil {
		closeQuietly(socket)
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	// The error is ignored: SetDeadline fails only on a closed socket.
	cancelExpiry := context.AfterFunc(ctx, func() { _ = socket.SetDeadline(time.Unix(1, 0)) })
	defer cancelExpiry()
	result := conn.startSession()
	if result.Outcome == balance.Succeeded && !cancelExpiry() { // the socket deadline has been set to the past
		return Result{Outcome: balance.ConnectionRefused, Err: context.DeadlineExceeded}
	}
	return result
}

// dial dials, and retries once if the system had no descriptor left and an idle connection could be closed.
func (conn *serverConn) dial(ctx context.Context) (*net.TCPConn, error) {
	socket, err := dialTCP(ctx, conn.address)
	if !fdlimit.IsExhausted(err) {
		return socket, err
	}
	if conn.pool.OutOfDescriptors != nil { // although the budget had one left
		conn.pool.OutOfDescriptors()
	}
	if !conn.pool.EvictIdle() {
		return nil, err
	}
	return dialTCP(ctx, conn.address)
}

// setSocket sets the socket of the connection; it returns net.ErrClosed if the connection was closed in the meantime.
func (conn *serverConn) setSocket(socket *net.TCPConn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.socket, conn.rawSocket = socket, raw
	if conn.closed {
		return net.ErrClosed
	}
	return nil
}

// startSession sends the startup message and reads up to the first ReadyForQuery.
func (conn *serverConn) startSession() Result {
	if _, err := conn.socket.Write(pgwire.AppendStartup(nil, user, database)); err != nil {
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	for received := 0; ; {
		message, err := conn.nextMessage()
		if err != nil {
			return Result{Outcome: balance.ConnectionRefused, Err: err}
		}
		if received += message.Size; received > maxStartupBytes {
			return Result{Outcome: balance.ConnectionRefused, Err: errTooLong}
		}
		result := startupResult(message)
		if result.Outcome == balance.Busy || result.Err != nil {
			return result
		}
		conn.in.Discard(message.Size)
		if result.Outcome != balance.Succeeded {
			continue
		}
		if conn.in.Len() > 0 {
			return Result{Outcome: balance.ConnectionRefused, Err: errUnsolicited}
		}
		return result
	}
}

// startupResult returns the result that a message before the first query implies. The zero Result means that more
// messages follow.
func startupResult(message pgwire.Message) Result {
	switch message.Kind {
	case pgwire.ReadyForQuery:
		return Result{Outcome: balance.Succeeded}
	case pgwire.ParameterStatus, pgwire.BackendKeyData, pgwire.NoticeResponse:
		return Result{}
	case pgwire.Authentication:
		if pgwire.IsAuthOK(message.Body) {
			return Result{}
		}
		return Result{Outcome: balance.ConnectionRefused, Err: errPasswordRequired}
	case pgwire.ErrorResponse:
		code, err := pgwire.ErrorCode(message.Body)
		if err == nil && code == pgwire.CodeTooManyConnections {
			return Result{Outcome: balance.Busy}
		}
		return Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("error %s during startup: %w", code, err)}
	}
	return Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("%w: unexpected message %q during startup", pgwire.ErrMalformed, message.Kind)}
}

// dialCounter returns the counter for the outcome of connect.
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

// dialTCP connects to an address. The caller must have reserved a descriptor.
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
