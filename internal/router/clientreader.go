package router

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"lotushook/internal/changefeed"
	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

const (
	unusablePauseStep = 10 * time.Millisecond // after each unusable query in a row, reading rests so much longer
	maxUnusablePause  = 250 * time.Millisecond
	onlySimpleQueries = "only simple queries are served"
)

// readMore waits for more bytes. From the first byte of a message on, the sweep watches how long the rest takes.
func (c *client) readMore() error {
	c.notePartial()
	first := c.arrived.lastAt == 0
	began := c.router.clock.now()
	err := c.input.Fill(c.conn)
	ended := c.router.clock.now()
	c.arrived.read(began, ended)
	c.boundByKernel(first, ended)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	// Somebody wants an end of it. What has come by now was sent before the client could know, so it is read first. A
	// client that sends on is read on; it comes to an end when it leaves a gap, a message is complete, or the buffer is
	// full.
	if c.input.Fill(availableReader{c.conn}) == nil {
		return nil
	}
	return c.handleWakeup(err)
}

// notePartial notes since when a message is incomplete.
func (c *client) notePartial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.input.Len() == 0: // behind a startup message that came in parts
		c.partialSince = time.Time{}
	case c.partialSince.IsZero():
		c.partialSince = time.Now()
	}
}

// handleWakeup is how the connection ends for whoever woke the reader, nil if it goes on. Nothing that was read is
// unanswered when it is closed, and what comes after the last look stays unread, so that its client may send it elsewhere.
func (c *client) handleWakeup(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	partial := c.input.Len() > 0
	switch {
	case c.rejection != nil || c.overdue:
		return err
	case c.closing && c.openQueries == 0 && !partial:
		if !c.pipelines { // or lingeringClose does it
			closeQuietly(c.conn)
		}
		return errDone
	case c.displaced:
		return c.router.acceptor.displacedRejection(c)
	case c.closing && partial && c.router.shutdown.isOver():
		return errDraining
	}
	c.closing = false
	return c.conn.SetReadDeadline(time.Time{})
}

// startSession answers the first messages up to the welcome. A query may stand right behind the startup message: it stays
// in the buffer.
func (c *client) startSession() error {
	for {
		kind, size, err := pgwire.NextStart(c.input)
		if errors.Is(err, pgwire.ErrShort) {
			if err := c.readMore(); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		switch kind {
		case pgwire.CancelRequest:
			return c.cancelRequest(size)
		case pgwire.Startup:
			return c.welcome(size)
		}
		c.input.Discard(size)
		if kind == pgwire.EncryptRequest {
			if err := c.write([]byte{'N'}); err != nil {
				return err
			}
		}
	}
}

// cancelRequest carries a CancelRequest out; its connection has no other use, and is closed at once.
func (c *client) cancelRequest(size int) error {
	if key, ok := pgwire.CancelOf(c.input, size); ok {
		c.router.cancelKeys.cancel(key)
	}
	return errDone
}

// welcome answers the startup message.
func (c *client) welcome(size int) error {
	c.readIdentity(size)
	c.input.Discard(size)
	if c.router.acceptor != nil {
		if err := c.router.acceptor.sessionStarted(c); err != nil {
			return err
		}
	}
	return c.write(pgwire.AppendWelcome(nil, c.router.cancelKeys.add(c)))
}

// readIdentity keeps what a startup message says, where anybody asks.
func (c *client) readIdentity(size int) {
	if c.router.acceptor == nil && c.router.loop.contracts == nil {
		return
	}
	c.identity.Address = remoteAddress(c.conn)
	pgwire.StartupParams(c.input, size, func(name, value string) {
		switch name {
		case "user":
			c.identity.User = value
		case "database":
			c.identity.Database = value
		case "application_name":
			c.identity.Application = value
		}
	})
}

// readMessage takes one message.
func (c *client) readMessage(tasks *sync.WaitGroup) error {
	message, err := pgwire.Next(c.input)
	if errors.Is(err, pgwire.ErrShort) {
		c.input.Idle()
		return c.readMore()
	}
	if err != nil {
		return err
	}
	if err := c.noteComplete(); err != nil {
		return err
	}
	err = c.handleMessage(tasks, message)
	c.input.Discard(message.Size)
	c.input.Idle() // a large query is held once, as its text
	return err
}

// noteComplete notes that a message is complete, though it may be overdue.
func (c *client) noteComplete() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partialSince = time.Time{}
	if !c.overdue {
		return nil
	}
	c.overdue = false
	return c.conn.SetReadDeadline(time.Time{})
}

func (c *client) handleMessage(tasks *sync.WaitGroup, message pgwire.Message) error {
	switch message.Kind {
	case pgwire.Terminate:
		return errDone
	case pgwire.Sync:
		c.skipUntilSync = false
		return c.answerLocally(tasks, pgwire.AppendReady(nil))
	case pgwire.Flush:
		return nil
	case pgwire.Parse, pgwire.Bind, pgwire.Describe, pgwire.Execute, pgwire.Close:
		if c.skipUntilSync {
			return nil
		}
		c.skipUntilSync = true
		return c.answerLocally(tasks, pgwire.AppendError(nil, "ERROR", pgwire.CodeNotSupported, onlySimpleQueries, ""))
	case pgwire.FunctionCall:
		return c.answerLocally(tasks, errorAnswer(pgwire.CodeNotSupported, onlySimpleQueries))
	case pgwire.Query:
		if c.skipUntilSync {
			return nil
		}
		return c.handleQuery(tasks, message.Body)
	}
	return fmt.Errorf("%w: unknown message %q", pgwire.ErrMalformed, message.Kind)
}

// handleQuery starts the task of one query.
func (c *client) handleQuery(tasks *sync.WaitGroup, body []byte) error {
	arrivedAt := c.arrived.by
	text, err := pgwire.QueryText(body)
	if err != nil {
		return err
	}
	if pgwire.Blank(text) {
		return c.startTask(tasks, c.answerReadiness)
	}
	parsed, err := pgwire.ParseRequest(text)
	if err != nil {
		return c.rejectUnusable(tasks, pgwire.CodeSyntax, err)
	}
	if err := c.router.config.Settings.ValidateKey(parsed.Class, parsed.Key); err != nil {
		return c.rejectUnusable(tasks, pgwire.CodeInvalidParameter, err)
	}
	if !c.router.directory.HasGroup(parsed.Cluster) {
		err := fmt.Errorf("no data server of cluster %d is listed", parsed.Cluster)
		return c.rejectUnusable(tasks, pgwire.CodeInvalidParameter, err)
	}
	c.unusableInRow = 0
	if c.router.changefeed != nil && c.router.changefeed.feeds.Serves(parsed.Class) {
		return c.handleFeedQuery(tasks, &parsed, arrivedAt)
	}
	r := newRequest(c, parsed, c.router.shutdown.limit(deadlineOf(&parsed, arrivedAt)))
	return c.startAnswer(tasks, r, r.run)
}

// answerReadiness answers the front's question whether this router is ready, an empty query.
func (c *client) answerReadiness() []byte {
	<-c.router.start.over
	return pgwire.AppendReady(pgwire.Append(nil, pgwire.EmptyQueryResponse, nil))
}

func (c *client) handleFeedQuery(tasks *sync.WaitGroup, parsed *pgwire.Request, arrivedAt clock.Nanos) error {
	if c.feedSeat == nil {
		c.feedSeat = &changefeed.Subscription{}
	}
	subscription := c.feedSeat
	return c.startTask(tasks, func() []byte {
		return c.router.changefeed.answer(c, parsed, subscription, arrivedAt)
	})
}

// deadlineOf is when a request that arrived at a time has to be answered: what its client waits, less the way there and
// back.
func deadlineOf(parsed *pgwire.Request, arrivedAt clock.Nanos) clock.Nanos {
	return arrivedAt + int64(max(parsed.Wait-deadlineMargin, parsed.Wait/2))
}

// newRequest returns a request that a CancelRequest can name.
func newRequest(c *client, parsed pgwire.Request, deadline clock.Nanos) *request {
	return &request{
		Request:  parsed,
		router:   c.router,
		client:   c,
		identity: c.identity,
		actions:  make(chan balance.Action, actionQueueSize),
		canceled: make(chan struct{}),
		deadline: deadline,
	}
}

// rejectUnusable answers a query that can't be a request, and rests: a client that sends such queries as fast as it can
// must not take the time of the others.
func (c *client) rejectUnusable(tasks *sync.WaitGroup, code string, err error) error {
	if err := c.answerLocally(tasks, errorAnswer(code, err.Error())); err != nil {
		return err
	}
	c.unusableInRow++
	pause := min(time.Duration(c.unusableInRow)*unusablePauseStep, maxUnusablePause)
	return c.pause(pause, c.router.shutdown.over)
}
