package backend

import (
	"context"
	"io"
	"sync"
	"time"

	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// outcomeNotSent is the outcome where the router itself could not send: nothing ran, and the endpoint is not to blame.
const outcomeNotSent = balance.NotSent

// Result is how an attempt ended.
type Result struct {
	Outcome         balance.Outcome
	Role            balance.Role
	Position        clock.Nanos // Unix time; 0: not reported
	Answer          []byte      // when it succeeded: the messages to pass on, up to CommandComplete
	Value           []byte      // when it succeeded: the one column
	ServerErrorCode string      // of a data server's error
	Err             error       // why there is no answer
}

// Deadlines bound an attempt.
type Deadlines struct {
	Connect time.Time // a connection that is not there by then has failed
	Answer  time.Time // the attempt is given up
	Fresh   time.Time // after it the endpoint may be too far behind for the query, which is not sent any more; zero: it never is
}

// Attempt is one query sent to an endpoint. It yields exactly one Result.
type Attempt struct {
	endpoint    balance.EndpointID
	deadlines   Deadlines
	writeQuery  func(io.Writer) error // writes the query in its final form
	stillWanted func() bool           // called right before its first byte is sent; nil: it always is
	dialContext context.Context
	cancel      context.CancelFunc
	done        chan Result

	mu    sync.Mutex
	ended bool
	conn  *serverConn
}

// Start begins an attempt on the most recently used idle connection, or on a new one, which must be up by the connect
// deadline. It does not wait for that. The caller aborts the attempt at its deadline, if no result has come. A dial takes
// time: whether the query is still wanted is checked once, right before its first byte is sent, and the check must not
// block; if it is not wanted, nothing ran and the endpoint is not to blame. So is whether the endpoint is fresh enough.
func (p *Pool) Start(endpoint balance.EndpointID, deadlines Deadlines, writeQuery func(io.Writer) error, stillWanted func() bool) *Attempt {
	a := &Attempt{
		endpoint:    endpoint,
		deadlines:   deadlines,
		writeQuery:  writeQuery,
		stillWanted: stillWanted,
		done:        make(chan Result, 1),
	}
	a.dialContext, a.cancel = context.WithCancel(context.Background())
	p.assign(a)
	return a
}

// assign finds a connection for the attempt.
func (p *Pool) assign(a *Attempt) {
	dial, ready := p.Directory.Address(a.endpoint)
	if !ready {
		a.finish(Result{Outcome: balance.Busy})
	} else if c := p.takeIdle(a.endpoint, dial, time.Now()); c != nil {
		c.send(a)
	} else {
		p.dialFor(a, dial)
	}
}

// Done returns the channel that carries the result.
func (a *Attempt) Done() <-chan Result { return a.done }

// Abort ends the attempt: when it returns, the connection is closed and
// nothing more will be written for it. The result is the given outcome, unless
// another one came first. A query that never got a connection did not
// run: the endpoint did not accept it in time, or was not involved in the abort.
func (a *Attempt) Abort(o balance.Outcome) Result {
	a.mu.Lock()
	c := a.conn
	if !a.ended {
		a.ended = true
		switch {
		case c != nil:
		case o == balance.TimedOut:
			o = balance.ConnectionRefused
		case o == balance.Canceled:
			o = outcomeNotSent
		}
		a.done <- Result{Outcome: o}
	}
	a.mu.Unlock()
	a.cancel()
	res := <-a.done
	if c != nil && res.Outcome == o {
		c.close()
	}
	return res
}

// finish delivers the result; any later one is dropped.
func (a *Attempt) finish(r Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.cancel()
	a.done <- r
}
