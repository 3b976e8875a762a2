package router

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"lotushook/balance"
	"lotushook/internal/pgwire"
	"lotushook/internal/ring"
)

const (
	longestQuery = 256 << 10 // a value of 64 KiB, written in hex, and what stands round it
	longestReply = 256 << 10
	pipelined    = 16 // requests of one client at a time
	writeFor     = 5 * time.Second
)

// client is one connection of a client: a goroutine that reads it, and a task
// for each request.
type client struct {
	router *Router
	conn   net.Conn
	in     *ring.Buffer
	out    *ring.Buffer  // who has the turn to answer writes it
	left   chan struct{} // closed once the client has gone
	slots  chan struct{} // bounds what is pipelined
	skip   bool          // the reader's: after an error in an extended query, up to the next Sync

	mu     sync.Mutex
	busy   int       // queries taken and not answered
	idleAt time.Time // since when none is
	closed bool      // by us
	last   chan struct{}
}

func newClient(r *Router, conn net.Conn) *client {
	last := make(chan struct{})
	close(last)
	return &client{router: r, conn: conn, in: ring.New(longestQuery), out: ring.New(longestReply),
		idleAt: time.Now(), left: make(chan struct{}), slots: make(chan struct{}, pipelined), last: last}
}

// errDone ends a connection without anything being wrong.
var errDone = errors.New("done")

// run reads the connection until the client leaves, and waits for its requests.
func (c *client) run() {
	var tasks sync.WaitGroup
	err := c.start()
	for err == nil {
		err = c.next(&tasks)
	}
	if errors.Is(err, pgwire.ErrMalformed) { // what was taken is answered before it
		tasks.Wait()
		c.write(pgwire.AppendError(nil, "FATAL", pgwire.CodeProtocolViolation, err.Error(), ""))
	}
	close(c.left)
	tasks.Wait()
	c.conn.Close()
	c.router.gone(c)
}

// start answers the first messages up to the welcome. A query may stand right
// behind the startup message: it stays in the buffer.
func (c *client) start() error {
	for {
		kind, size, err := pgwire.NextStart(c.in)
		if errors.Is(err, pgwire.ErrShort) {
			if err := c.in.Fill(c.conn); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		c.in.Discard(size)
		switch kind {
		case pgwire.CancelRequest:
			return errDone
		case pgwire.EncryptRequest:
			if err := c.write([]byte{'N'}); err != nil {
				return err
			}
		case pgwire.Startup:
			return c.write(pgwire.AppendWelcome(nil))
		}
	}
}

// next takes one message.
func (c *client) next(tasks *sync.WaitGroup) error {
	m, err := pgwire.Next(c.in)
	var long *pgwire.TooLong
	switch {
	case errors.Is(err, pgwire.ErrShort):
		c.in.Idle()
		return c.in.Fill(c.conn)
	case errors.As(err, &long):
		if err := c.pass(long.Size); err != nil {
			return err
		}
		return c.local(tasks, problem(pgwire.CodeTooLarge, long.Error()))
	case err != nil:
		return err
	}
	defer func() {
		c.in.Discard(m.Size)
		c.in.Idle() // a large query is held once, as its text
	}()
	switch m.Kind {
	case pgwire.Terminate:
		return errDone
	case pgwire.Sync:
		c.skip = false
		return c.local(tasks, pgwire.AppendReady(nil))
	case pgwire.Flush:
		return nil
	case pgwire.Parse, pgwire.Bind, pgwire.Describe, pgwire.Execute, pgwire.Close:
		if c.skip {
			return nil
		}
		c.skip = true
		return c.local(tasks, pgwire.AppendError(nil, "ERROR", pgwire.CodeNotSupported, "only simple queries are served", ""))
	case pgwire.FunctionCall:
		return c.local(tasks, problem(pgwire.CodeNotSupported, "only simple queries are served"))
	case pgwire.Query:
		if c.skip {
			return nil
		}
		return c.query(tasks, m.Body)
	}
	return fmt.Errorf("%w: unknown message %q", pgwire.ErrMalformed, m.Kind)
}

// pass reads over n bytes.
func (c *client) pass(n int) error {
	for {
		if n -= c.in.Discard(n); n == 0 {
			return nil
		}
		if err := c.in.Fill(c.conn); err != nil {
			return err
		}
	}
}

// query starts the task of one request.
func (c *client) query(tasks *sync.WaitGroup, body []byte) error {
	came := c.router.clock.now()
	text, err := pgwire.QueryText(body)
	if err != nil {
		return err
	}
	if pgwire.Blank(text) {
		return c.local(tasks, pgwire.AppendReady(pgwire.Append(nil, pgwire.EmptyQueryResponse, nil)))
	}
	parsed, err := pgwire.ParseRequest(text)
	if err != nil {
		return c.local(tasks, problem(pgwire.CodeSyntax, err.Error()))
	}
	r := &request{Request: parsed, router: c.router, client: c, acts: make(chan balance.Action, mailbox),
		deadline: came + int64(max(parsed.Wait-margin, parsed.Wait/2))}
	return c.task(tasks, r.run)
}

// local answers without the module.
func (c *client) local(tasks *sync.WaitGroup, answer []byte) error {
	return c.task(tasks, func() []byte { return answer })
}

// task runs f beside the reader and writes what it returns when its turn has
// come, so that answers keep the order of the queries.
func (c *client) task(tasks *sync.WaitGroup, f func() []byte) error {
	c.slots <- struct{}{}
	c.mu.Lock()
	if c.closed { // it closed between this query and the last: the client sends it elsewhere
		c.mu.Unlock()
		return errDone
	}
	c.busy++
	before, mine := c.last, make(chan struct{})
	c.last = mine
	c.mu.Unlock()
	tasks.Go(func() {
		answer := f()
		<-before
		if answer != nil {
			if err := c.write(answer); err != nil {
				slog.Debug("client", "err", err)
			}
		}
		close(mine)
		<-c.slots
		c.mu.Lock()
		c.busy--
		c.idleAt = time.Now()
		c.mu.Unlock()
		if c.router.isStopping() {
			c.closeIfIdle()
		}
	})
	return nil
}

// write sends bytes to the client; whoever calls has the turn.
func (c *client) write(p []byte) error {
	if _, err := c.out.Write(p); err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeFor)); err != nil {
		return err
	}
	_, err := c.out.WriteTo(c.conn)
	if err != nil { // what is cut off can't go on
		c.out.Discard(c.out.Len())
		c.conn.Close()
	}
	c.out.Idle()
	return err
}

// idleSince is when the client was last answered; false while it waits.
func (c *client) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleAt, c.busy == 0 && !c.closed
}

// closeIfIdle closes the connection if no request of it is open.
func (c *client) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy > 0 || c.closed {
		return false
	}
	c.closed = true
	c.conn.Close()
	return true
}

// problem is an error after which the connection goes on.
func problem(code, text string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, text, ""))
}
