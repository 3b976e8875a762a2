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

// connect dials and starts a session: Done, or why not.
func (c *serverConn) connect(a *Attempt) Result {
	last := time.Now().Add(c.pool.ConnectTimeout)
	if a.connectDeadline.Before(last) {
		last = a.connectDeadline
	}
	ctx, stop := context.WithDeadline(a.dialContext, last)
	defer stop()
	if c.dialDelay > 0 {
		select {
		case <-time.After(c.dialDelay):
		case <-ctx.Done(): // the node has no part in it
			return Result{Outcome: outcomeNotSent, Err: errNoDialTurn}
		}
	}
	conn, err := c.pool.dial(ctx, c.address)
	if fdlimit.Exhausted(err) { // the count said otherwise
		if c.pool.OutOfDescriptors != nil {
			c.pool.OutOfDescriptors()
		}
		if c.pool.EvictIdle() {
			conn, err = c.pool.dial(ctx, c.address)
		}
	}
	switch {
	case fdlimit.Exhausted(err):
		return Result{Outcome: outcomeNotSent, Err: err}
	case err != nil:
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	c.mu.Lock()
	c.socket, c.rawSocket = conn, raw
	closed := c.closed
	c.mu.Unlock()
	if closed {
		conn.Close()
		return Result{Outcome: balance.ConnectionRefused, Err: net.ErrClosed}
	}
	inTime := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer inTime()
	if _, err := conn.Write(pgwire.AppendStartup(nil, user, database)); err != nil {
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	for heard := 0; ; {
		m, err := c.nextMessage()
		if err != nil {
			return Result{Outcome: balance.ConnectionRefused, Err: err}
		}
		if heard += m.Size; heard > maxWelcomeBytes {
			return Result{Outcome: balance.ConnectionRefused, Err: errTooLong}
		}
		switch m.Kind {
		case pgwire.ReadyForQuery:
			c.in.Discard(m.Size)
			if c.in.Len() > 0 {
				return Result{Outcome: balance.ConnectionRefused, Err: errUnsolicited}
			}
			if !inTime() { // its deadline is spoilt
				return Result{Outcome: balance.ConnectionRefused, Err: context.DeadlineExceeded}
			}
			return Result{Outcome: balance.Succeeded}
		case pgwire.Authentication:
			if !pgwire.IsAuthOK(m.Body) {
				return Result{Outcome: balance.ConnectionRefused, Err: errors.New("asked to authenticate")}
			}
		case pgwire.ErrorResponse:
			code, err := pgwire.ErrorCode(m.Body)
			if err == nil && code == pgwire.CodeTooManyConnections {
				return Result{Outcome: balance.Busy}
			}
			return Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("error %s at the start: %w", code, err)}
		case pgwire.ParameterStatus, pgwire.BackendKeyData, pgwire.NoticeResponse:
		default:
			return Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("%w: %q at the start", pgwire.ErrMalformed, m.Kind)}
		}
		c.in.Discard(m.Size)
	}
}

// dialCounter is how connect's outcome counts.
func dialCounter(o balance.Outcome) metrics.Counter {
	switch o {
	case balance.Succeeded:
		return metrics.DialsUp
	case balance.Busy:
		return metrics.DialsRejected
	case outcomeNotSent:
		return metrics.DialsWithoutDescriptor
	}
	return metrics.DialsFailed
}

var errNoDialTurn = errors.New("no turn to dial")

// dial connects to an address; open has taken the descriptor for it.
func (p *Pool) dial(ctx context.Context, addr string) (*net.TCPConn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !invariant.Check(ok, "a dialled connection is TCP") {
		conn.Close()
		return nil, fmt.Errorf("dialled %T", conn)
	}
	tcp.SetNoDelay(true)
	return tcp, nil
}

// dialFor starts a new connection and gives it its first attempt.
func (p *Pool) dialFor(a *Attempt, dial string) {
	rest := time.Duration(0)
	if p.DialDelay != nil {
		var ok bool
		if rest, ok = p.DialDelay(time.Until(a.connectDeadline) / 2); !ok { // the other half is for the dial
			a.finish(Result{Outcome: outcomeNotSent, Err: errNoDialTurn})
			return
		}
	}
	if !p.Descriptors.Dial() && !(p.EvictIdle() && p.Descriptors.Dial()) {
		slog.Warn("no descriptor free for a data server", "node", a.endpoint)
		p.Metrics.Add(metrics.DialsWithoutDescriptor)
		a.finish(Result{Outcome: outcomeNotSent})
		return
	}
	c := newServerConn(p, a.endpoint, dial)
	c.dialDelay = rest
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.Descriptors.Hangup()
		a.finish(Result{Outcome: outcomeNotSent})
		return
	}
	p.all[c] = struct{}{}
	p.mu.Unlock()
	go c.run(a)
}
