package backend

import (
	"errors"
	"fmt"
	"os"
	"time"

	"lotushook/internal/metrics"
	"lotushook/policy/balance"
)

// send writes an attempt's query, unless bind finds that it must not be sent.
func (conn *serverConn) send(attempt *Attempt) {
	err := attempt.writeQuery(conn.out) // before bind, so that the first byte is sent right after its checks
	if err != nil {
		conn.discardQuery()
		conn.returnToPool()
		attempt.finish(Result{Outcome: outcomeNotSent, Err: fmt.Errorf("write: %w", err)})
		return
	}
	if bound := attempt.bind(conn); bound != bindOK {
		conn.discardQuery()
		conn.reject(attempt, bound)
		return
	}
	conn.socket.SetWriteDeadline(attempt.deadlines.Answer)
	_, err = conn.out.WriteTo(conn.socket)
	complete := conn.out.Len() == 0
	conn.discardQuery()
	if complete {
		conn.written <- true
		return
	}
	conn.close()
	running := attempt.unbind()
	conn.written <- false
	switch {
	case !running:
	case conn.hasServed() && !errors.Is(err, os.ErrDeadlineExceeded):
		conn.pool.assign(attempt) // the incomplete query did not run; use another connection
	default:
		attempt.finish(Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("write: %w", err)})
	}
}

// hasServed reports whether the connection has already been idle, and so is not a new one.
func (conn *serverConn) hasServed() bool { return !conn.idleAt.IsZero() }

// reject finishes an attempt that was not bound, or assigns it to another connection. Nothing was written for it.
func (conn *serverConn) reject(attempt *Attempt, bound bindResult) {
	switch bound {
	case bindMoved:
		conn.close()
		conn.pool.assign(attempt)
		return
	case bindUnusable:
		conn.close()
		if conn.hasServed() {
			conn.pool.assign(attempt)
		} else {
			attempt.finish(Result{Outcome: balance.ConnectionRefused, Err: errUnsolicited})
		}
		return
	}
	conn.returnToPool()
	switch bound {
	case bindUnwanted:
		attempt.finish(Result{Outcome: outcomeNotSent, Err: errUnwanted})
	case bindStale:
		conn.pool.Metrics.Add(metrics.StaleReadsSkipped)
		attempt.finish(Result{Outcome: balance.NotEligible, Err: errStale})
	case bindDemoted:
		conn.pool.Metrics.Add(metrics.StaleReadsSkipped)
		attempt.finish(Result{Outcome: balance.NotEligible, Err: errDemoted})
	case bindNotAllowed:
		attempt.finish(Result{Outcome: balance.Busy, Err: errDraining})
	}
}

// awaitWrite waits until the writer of the current query has finished and reports whether the query was written
// completely; if not, no bytes that were read are the answer to it. If the server answers without reading the rest of
// the query, the connection is closed after the stall timeout.
func (conn *serverConn) awaitWrite() bool {
	select {
	case complete := <-conn.written: // the usual case
		return complete
	default:
	}
	stallTimer := time.AfterFunc(conn.pool.StallTimeout, conn.close)
	defer stallTimer.Stop()
	return <-conn.written
}

// discardQuery drops the unsent rest of a query.
func (conn *serverConn) discardQuery() {
	conn.out.Discard(conn.out.Len())
	conn.out.ShrinkIfEmpty()
}

// returnToPool returns a connection on which nothing was written.
func (conn *serverConn) returnToPool() {
	if !conn.pool.putIdle(conn) {
		conn.close()
	}
}
