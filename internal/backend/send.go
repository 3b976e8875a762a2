package backend

import (
	"errors"
	"fmt"
	"os"
	"time"

	"lotushook/internal/metrics"
	"lotushook/policy/balance"
)

// maxWriteBytes is how much of a query is copied at once to be written: a long query is in memory only once, as its text.
const maxWriteBytes = 16 << 10

// errNotBound reports that bind has not permitted to send a query.
var errNotBound = errors.New("the query must not be sent")

// queryWriter writes an attempt's query to the socket through the connection's output buffer. Right before the first
// byte it binds the attempt to the connection. The caller flushes the rest.
type queryWriter struct {
	*serverConn
	attempt *Attempt
	isBound bool
	bound   bindResult // of the call to bind
}

// Write implements io.Writer.
func (writer *queryWriter) Write(part []byte) (int, error) { return writer.WriteString(string(part)) }

// WriteString implements io.StringWriter.
func (writer *queryWriter) WriteString(part string) (written int, err error) {
	for written < len(part) {
		if writer.out.Len() == maxWriteBytes {
			if err := writer.flush(); err != nil {
				return written, err
			}
		}
		next := min(len(part)-written, maxWriteBytes-writer.out.Len())
		if _, err := writer.out.WriteString(part[written : written+next]); err != nil {
			return written, err
		}
		written += next
	}
	return written, nil
}

func (writer *queryWriter) flush() error {
	if !writer.isBound {
		if writer.bound = writer.attempt.bind(writer.serverConn); writer.bound != bindOK {
			return errNotBound
		}
		writer.isBound = true
		writer.socket.SetWriteDeadline(writer.attempt.deadlines.Answer)
	}
	_, err := writer.out.WriteTo(writer.socket)
	return err
}

// send writes an attempt's query, unless bind finds that it must not be sent.
func (conn *serverConn) send(attempt *Attempt) {
	writer := &queryWriter{serverConn: conn, attempt: attempt}
	err := attempt.writeQuery(writer)
	if err == nil {
		err = writer.flush()
	}
	conn.discardQuery()
	switch {
	case err == nil:
		conn.written <- true
	case errors.Is(err, errNotBound):
		conn.reject(attempt, writer.bound)
	case !writer.isBound:
		conn.returnToPool()
		attempt.finish(Result{Outcome: outcomeNotSent, Err: fmt.Errorf("write: %w", err)})
	default:
		conn.writeFailed(attempt, err)
	}
}

// writeFailed closes the connection after a query was not written completely. The query did not run.
func (conn *serverConn) writeFailed(attempt *Attempt, err error) {
	conn.close()
	running := attempt.unbind()
	conn.written <- false
	switch {
	case !running:
	case conn.hasServed() && !errors.Is(err, os.ErrDeadlineExceeded):
		conn.pool.assign(attempt) // use another connection
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
