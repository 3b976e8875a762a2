package backend

import (
	"errors"
	"fmt"
	"os"
	"time"

	"lotushook/internal/metrics"
	"lotushook/policy/balance"
)

// send writes an attempt's query, unless bind finds that it may not.
func (c *serverConn) send(a *Attempt) {
	err := a.writeQuery(c.out) // before bind, so that nothing lies between that and the first byte
	if err != nil {
		c.discardQuery()
		c.returnToPool()
		a.finish(Result{Outcome: outcomeNotSent, Err: fmt.Errorf("write: %w", err)})
		return
	}
	if bound := a.bind(c); bound != bindOK {
		c.discardQuery()
		c.refuse(a, bound)
		return
	}
	c.socket.SetWriteDeadline(a.deadlines.Answer)
	_, err = c.out.WriteTo(c.socket)
	complete := c.out.Len() == 0
	c.discardQuery()
	if complete {
		c.written <- true
		return
	}
	c.close()
	open := a.unbind()
	c.written <- false
	switch {
	case !open:
	case c.hasServed() && !errors.Is(err, os.ErrDeadlineExceeded):
		c.pool.assign(a) // nothing ran: it is another connection's turn
	default:
		a.finish(Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("write: %w", err)})
	}
}

// hasServed says whether the connection was idle before, rather than new.
func (c *serverConn) hasServed() bool { return !c.idleAt.IsZero() }

// refuse ends an attempt that was not bound, or finds it another connection; nothing was written for it.
func (c *serverConn) refuse(a *Attempt, bound bindResult) {
	switch bound {
	case bindMoved:
		c.close()
		c.pool.assign(a)
		return
	case bindUnusable:
		c.close()
		if c.hasServed() {
			c.pool.assign(a)
		} else {
			a.finish(Result{Outcome: balance.ConnectionRefused, Err: errUnsolicited})
		}
		return
	}
	c.returnToPool()
	switch bound {
	case bindUnwanted:
		a.finish(Result{Outcome: outcomeNotSent, Err: errUnwanted})
	case bindStale:
		c.pool.Metrics.Add(metrics.StaleReadsSkipped)
		a.finish(Result{Outcome: balance.NotEligible, Err: errStale})
	case bindNotAllowed:
		a.finish(Result{Outcome: balance.Busy, Err: errDraining})
	}
}

// awaitWrite waits for the end of the writing of a query, and says whether all of it went out: whatever came back of one
// that did not was no answer to it. A server that answers and does not take the rest is not waited for long.
func (c *serverConn) awaitWrite() bool {
	select {
	case complete := <-c.written: // as nearly always
		return complete
	default:
	}
	late := time.AfterFunc(c.pool.StallTimeout, c.close)
	defer late.Stop()
	return <-c.written
}

// discardQuery forgets what is left of a query.
func (c *serverConn) discardQuery() {
	c.out.Discard(c.out.Len())
	c.out.Idle()
}

// returnToPool returns a connection that nothing was written on.
func (c *serverConn) returnToPool() {
	if !c.pool.putIdle(c) {
		c.close()
	}
}
