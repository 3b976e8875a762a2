package backend

import (
	"errors"
	"fmt"
	"os"
	"time"

	"lotushook/policy/balance"
)

// send writes an attempt's query, unless bind finds that it may not. A connection that turns out to be spoilt before the
// query went out whole is another one's turn, and the attempt is still the same.
func (c *serverConn) send(a *Attempt) {
	rested := !c.idleAt.IsZero()
	err := a.writeQuery(c.out) // before bind, so that nothing lies between that and the first byte
	if err != nil {
		c.discardQuery()
		c.returnToPool()
		a.finish(Result{Outcome: outcomeNotSent, Err: fmt.Errorf("write: %w", err)})
		return
	}
	how := a.bind(c)
	if how != bindOK {
		c.discardQuery()
	}
	switch how {
	case bindEnded:
		c.returnToPool()
		return
	case bindUnwanted:
		c.returnToPool()
		a.finish(Result{Outcome: outcomeNotSent, Err: errUnwanted})
		return
	case bindNotAllowed:
		c.returnToPool()
		a.finish(Result{Outcome: balance.Busy, Err: errDraining})
		return
	case bindMoved:
		c.close()
		c.pool.assign(a)
		return
	case bindUnusable:
		c.close()
		if rested {
			c.pool.assign(a)
		} else { // new, and nothing was written on it
			a.finish(Result{Outcome: balance.ConnectionRefused, Err: errUnsolicited})
		}
		return
	}
	c.socket.SetWriteDeadline(a.deadline)
	_, err = c.out.WriteTo(c.socket)
	whole := c.out.Len() == 0
	c.discardQuery()
	if whole {
		c.written <- true
		return
	}
	c.close()
	goesOn := a.unbind()
	c.written <- false
	switch {
	case !goesOn:
	case rested && !errors.Is(err, os.ErrDeadlineExceeded):
		c.pool.assign(a)
	default:
		a.finish(Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("write: %w", err)})
	}
}

// awaitWrite waits for the end of the writing of a query, and says whether all of it went out: whatever came back of one
// that did not was no answer to it. A server that answers and does not take the rest is not waited for long.
func (c *serverConn) awaitWrite() bool {
	select {
	case whole := <-c.written: // as nearly always
		return whole
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
