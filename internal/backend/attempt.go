package backend

import (
	"context"
	"io"
	"sync"
	"time"

	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// outcomeNotSent is the outcome if the router decided not to send the query. The query did not run, and the outcome
// does not count against the endpoint.
const outcomeNotSent = balance.NotSent

// Result is the result of an attempt.
type Result struct {
	Outcome         balance.Outcome
	Role            balance.Role
	Position        clock.Nanos // Unix time; 0: not reported
	Answer          []byte      // on success: the messages to forward, up to CommandComplete
	Value           []byte      // on success: the value of the only column
	ServerErrorCode string      // the error code that the data server sent, if any
	Err             error       // the reason that there is no complete answer
}

// Deadlines are the times that limit an attempt.
type Deadlines struct {
	Connect time.Time // the connection must be established by then
	Answer  time.Time // the caller aborts the attempt then
	Fresh   time.Time // the query is not sent later, as the endpoint may be too far behind then; zero: no limit
	// AsPrimary is when the endpoint was known to be the primary, for a query that relies on it: the query is not sent if
	// the endpoint has since reported that it is a replica. Zero: the query does not rely on it.
	AsPrimary time.Time
}

// Attempt is one query sent to an endpoint. It yields exactly one Result.
type Attempt struct {
	endpoint    balance.EndpointID
	deadlines   Deadlines
	writeQuery  func(io.Writer) error // writes the query in its final form
	stillWanted func() bool           // called right before the first byte is sent; nil: the query is always wanted
	dialContext context.Context
	cancel      context.CancelFunc
	done        chan Result

	mu    sync.Mutex
	ended bool
	conn  *serverConn
}

// Start begins an attempt on the most recently used idle connection, or on a new one, which must be established by the
// connect deadline. It returns without waiting for either. If there is no result by the answer deadline, the caller
// must abort the attempt. As a dial takes time, the conditions for sending the query are checked once, right before its
// first byte: stillWanted, which must not block, must return true, and the endpoint must still be allowed to get
// queries and be the primary if the query relies on it, and the fresh deadline must not have passed. Otherwise the query does not run. If that is because it is no
// longer wanted, the outcome does not count against the endpoint.
func (pool *Pool) Start(endpoint balance.EndpointID, deadlines Deadlines, writeQuery func(io.Writer) error, stillWanted func() bool) *Attempt {
	attempt := &Attempt{
		endpoint:    endpoint,
		deadlines:   deadlines,
		writeQuery:  writeQuery,
		stillWanted: stillWanted,
		done:        make(chan Result, 1),
	}
	attempt.dialContext, attempt.cancel = context.WithCancel(context.Background())
	pool.assign(attempt)
	return attempt
}

// assign sends the attempt on an idle connection to its endpoint, or dials a new one.
func (pool *Pool) assign(attempt *Attempt) {
	address, ready := pool.Directory.Address(attempt.endpoint)
	if !ready {
		attempt.finish(Result{Outcome: balance.Busy})
	} else if conn := pool.takeIdle(attempt.endpoint, address, time.Now()); conn != nil {
		conn.send(attempt)
	} else {
		pool.dialFor(attempt, address)
	}
}

// Done returns the channel that carries the result.
func (attempt *Attempt) Done() <-chan Result { return attempt.done }

// Abort ends the attempt. When it returns, the connection is closed and nothing more will be written for the attempt.
// The result is the given outcome, unless the attempt already has one. A query that was never bound to a connection
// (see bind) did not run: if it timed out, the endpoint did not accept a connection in time, and if it was canceled,
// the endpoint was not involved.
func (attempt *Attempt) Abort(outcome balance.Outcome) Result {
	attempt.mu.Lock()
	conn := attempt.conn
	if !attempt.ended {
		attempt.ended = true
		switch {
		case conn != nil:
		case outcome == balance.TimedOut:
			outcome = balance.ConnectionRefused
		case outcome == balance.Canceled:
			outcome = outcomeNotSent
		}
		attempt.done <- Result{Outcome: outcome}
	}
	attempt.mu.Unlock()
	attempt.cancel()
	result := <-attempt.done
	if conn != nil && result.Outcome == outcome {
		conn.close()
	}
	return result
}

// finish delivers the result. Only the first call counts.
func (attempt *Attempt) finish(result Result) {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.cancel()
	attempt.done <- result
}
