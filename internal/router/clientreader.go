package router

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"lotushook/internal/changefeed"
	"lotushook/internal/metrics"
	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

const (
	unusablePauseStep = 10 * time.Millisecond // the pause grows by this with each consecutive unusable query
	maxUnusablePause  = 250 * time.Millisecond
	onlySimpleQueries = "only simple queries are served"

	// The time between two attempts of a reader to get memory for the rest of a message.
	inputMemoryInterval = 10 * time.Millisecond
)

// readMore waits for more bytes. From the first byte of a message on, the periodic sweep of all clients limits the time
// until its last byte.
func (client *client) readMore() error {
	if client.readingEnded.Load() {
		return client.awaitLastAnswer()
	}
	client.notePartial()
	first := client.arrived.lastAt == 0
	before := client.input.Len()
	startedAt := client.router.clock.now()
	err := client.input.Fill(client.conn)
	if errors.Is(err, ringbuffer.ErrFull) {
		return client.awaitInputMemory(err)
	}
	endedAt := client.router.clock.now()
	client.arrived.recordRead(startedAt, endedAt)
	client.boundArrivalByKernel(first, endedAt)
	if err == nil {
		return client.paceInput(0, client.input.Len()-before)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	// The reader was woken to close the connection. Bytes that have already arrived were sent before the client could
	// know, and are read first. Reading continues while the client keeps sending, until no bytes are available, a
	// message is complete, or the buffer is full.
	if client.input.Fill(availableReader{client.conn}) == nil {
		return client.paceInput(0, client.input.Len()-before)
	}
	return client.handleWakeup(err)
}

// awaitInputMemory waits for memory for the rest of a message. While there is none, the clients whose messages have been
// incomplete for longest make room. It returns full, the error that there is no memory, if the message's time is over.
func (client *client) awaitInputMemory(full error) error {
	client.router.metrics.Add(metrics.WaitsForInputMemory)
	client.router.clients.rejectLongPartial(time.Now())
	if err := client.pause(inputMemoryInterval, nil); err != nil {
		return err
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	switch {
	case client.rejection != nil:
		return client.rejection
	case client.displaced:
		return client.router.acceptor.displacedRejection(client)
	case client.overdue:
		return full
	}
	return nil
}

// notePartial records since when a message is incomplete.
func (client *client) notePartial() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.partialBytes = client.input.Size()
	switch {
	case client.input.Len() == 0: // a startup message that arrived in parts is complete
		client.partialSince = time.Time{}
	case client.partialSince.IsZero():
		client.partialSince = time.Now()
	}
}

// handleWakeup returns the error that ends the connection for the reason the reader was woken, nil if the connection
// continues. All requests that were read are answered before it is closed. A request that arrives after the last check
// stays unread, so that the client may send it elsewhere.
func (client *client) handleWakeup(err error) error {
	client.mu.Lock()
	defer client.mu.Unlock()
	partial := client.input.Len() > 0
	switch {
	case client.rejection != nil || client.overdue:
		return err
	case client.closing && client.openQueries == 0 && !partial:
		if !client.pipelines { // otherwise lingeringClose closes it
			closeQuietly(client.conn)
		}
		return errDone
	case client.displaced:
		return client.router.acceptor.displacedRejection(client)
	case client.closing && partial && client.router.shutdown.isOver():
		return errDraining
	}
	client.closing = false
	return client.conn.SetReadDeadline(time.Time{})
}

// startSession answers the messages up to and including the startup message. A query that follows the startup message
// directly stays in the buffer.
func (client *client) startSession() error {
	for {
		kind, size, err := pgwire.NextStart(client.input)
		if errors.Is(err, pgwire.ErrIncomplete) {
			if err := client.readMore(); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		switch kind {
		case pgwire.CancelRequest:
			return client.cancelRequest(size)
		case pgwire.Startup:
			return client.welcome(size)
		}
		client.input.Discard(size)
		if kind == pgwire.EncryptRequest {
			if err := client.write([]byte{'N'}); err != nil {
				return err
			}
		}
	}
}

// cancelRequest carries out a CancelRequest. Its connection is closed at once, as the protocol has no other use for it.
func (client *client) cancelRequest(size int) error {
	if key, ok := pgwire.ParseCancelKey(client.input, size); ok {
		client.router.cancelKeys.cancel(key)
	}
	return errDone
}

// welcome starts the session and answers the startup message.
func (client *client) welcome(size int) error {
	client.readIdentity(size)
	client.input.Discard(size)
	if client.router.acceptor != nil {
		if err := client.router.acceptor.sessionStarted(client); err != nil {
			return err
		}
	}
	client.hasSession = true
	return client.write(pgwire.AppendSessionStart(nil, client.router.cancelKeys.add(client)))
}

// readIdentity stores the identity in a startup message if admission or contracts need it.
func (client *client) readIdentity(size int) {
	if client.router.acceptor == nil && client.router.loop.contracts == nil {
		return
	}
	client.identity.Address = remoteAddress(client.conn)
	pgwire.StartupParams(client.input, size, func(name, value string) {
		switch name {
		case "user":
			client.identity.User = value
		case "database":
			client.identity.Database = value
		case "application_name":
			client.identity.Application = value
		}
	})
}

// readMessage handles the next message, or reads more bytes if none is complete.
func (client *client) readMessage(tasks *sync.WaitGroup) error {
	message, err := pgwire.Next(client.input)
	if errors.Is(err, pgwire.ErrIncomplete) {
		client.input.ShrinkIfEmpty()
		return client.readMore()
	}
	if err != nil {
		return err
	}
	if err := client.noteComplete(); err != nil {
		return err
	}
	if err := client.paceInput(1, 0); err != nil {
		return err
	}
	if client.input.Len() > message.Size { // otherwise the next read notices a disconnect at once
		if err := client.checkConnected(); err != nil {
			return err
		}
	}
	err = client.handleMessage(tasks, message)
	client.input.Discard(message.Size)
	client.input.ShrinkIfEmpty() // so that a large query is in memory only once, as its text
	return err
}

// noteComplete records that a message is complete. A message that was completed after its timeout is still handled.
func (client *client) noteComplete() error {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.partialSince = time.Time{}
	if !client.overdue {
		return nil
	}
	client.overdue = false
	return client.conn.SetReadDeadline(time.Time{})
}

func (client *client) handleMessage(tasks *sync.WaitGroup, message pgwire.Message) error {
	switch message.Kind {
	case pgwire.Terminate:
		return errDone
	case pgwire.Sync:
		client.skipUntilSync = false
		return client.answerMessage(tasks, pgwire.AppendReady(nil))
	case pgwire.Flush:
		return nil
	case pgwire.Parse, pgwire.Bind, pgwire.Describe, pgwire.Execute, pgwire.Close:
		if client.skipUntilSync {
			return nil
		}
		client.skipUntilSync = true
		return client.answerMessage(tasks, pgwire.AppendError(nil, "ERROR", pgwire.CodeNotSupported, onlySimpleQueries, ""))
	case pgwire.FunctionCall:
		return client.answerMessage(tasks, errorAnswer(pgwire.CodeNotSupported, onlySimpleQueries))
	case pgwire.Query:
		if client.skipUntilSync {
			return nil
		}
		return client.handleQuery(tasks, message.Body)
	}
	return fmt.Errorf("%w: unknown message %q", pgwire.ErrMalformed, message.Kind)
}

// handleQuery starts the task of a query. Its text is copied from the input only once there is memory for it.
func (client *client) handleQuery(tasks *sync.WaitGroup, body []byte) error {
	arrivedAt := client.arrived.sentBy
	slot, err := client.acquireSlot(len(body))
	if err != nil {
		return err
	}
	text, err := pgwire.QueryText(body)
	if err != nil {
		client.router.requestMemory.release(&slot.reservation)
		return err
	}
	if pgwire.IsBlank(text) {
		return client.startTask(tasks, slot, client.answerReadiness)
	}
	parsed, err := pgwire.ParseRequest(text)
	if err != nil {
		return client.rejectUnusable(tasks, slot, pgwire.CodeSyntax, err)
	}
	if err := client.router.config.Settings.ValidateKey(parsed.Class, parsed.Key); err != nil {
		return client.rejectUnusable(tasks, slot, pgwire.CodeInvalidParameter, err)
	}
	if !client.router.directory.HasGroup(parsed.Cluster) {
		err := fmt.Errorf("no data server of cluster %d is listed", parsed.Cluster)
		return client.rejectUnusable(tasks, slot, pgwire.CodeInvalidParameter, err)
	}
	client.unusableInRow = 0
	if !slot.hasMemory {
		return client.rejectWithoutMemory(tasks, slot, &parsed)
	}
	if client.router.changefeed != nil && client.router.changefeed.feeds.Serves(parsed.Class) {
		return client.handleFeedQuery(tasks, slot, &parsed, arrivedAt)
	}
	request := newRequest(client, parsed, client.router.shutdown.limit(deadlineOf(&parsed, arrivedAt)))
	return client.startAnswer(tasks, slot, request, request.run)
}

// rejectWithoutMemory answers a request that is too long for the memory that is left. It is not run.
func (client *client) rejectWithoutMemory(tasks *sync.WaitGroup, slot querySlot, parsed *pgwire.Request) error {
	client.router.metrics.Add(metrics.TooManyInFlight)
	class := client.router.config.Settings.Class(parsed.Class)
	return client.answerLocally(tasks, slot, rejectedAnswer(client.router.loop.retryAfter(class), rejectedForMemory))
}

// answerReadiness answers an empty query, the readiness check of the load balancer, once this router is ready.
func (client *client) answerReadiness() []byte {
	<-client.router.start.over
	return pgwire.AppendReady(pgwire.Append(nil, pgwire.EmptyQueryResponse, nil))
}

func (client *client) handleFeedQuery(tasks *sync.WaitGroup, slot querySlot, parsed *pgwire.Request, arrivedAt clock.Nanos) error {
	if client.feedSubscription == nil {
		client.feedSubscription = &changefeed.Subscription{}
	}
	subscription := client.feedSubscription
	return client.startTask(tasks, slot, func() []byte {
		return client.router.changefeed.answer(client, parsed, subscription, arrivedAt)
	})
}

// deadlineOf returns the deadline of a request that arrived at the given time: the end of the time that its client
// waits, less the transit times.
func deadlineOf(parsed *pgwire.Request, arrivedAt clock.Nanos) clock.Nanos {
	return arrivedAt + int64(max(parsed.Timeout-deadlineMargin, parsed.Timeout/2))
}

// newRequest returns a request that a CancelRequest can name.
func newRequest(client *client, parsed pgwire.Request, deadline clock.Nanos) *request {
	return &request{
		Request:  parsed,
		router:   client.router,
		client:   client,
		identity: client.identity,
		actions:  make(chan balance.Action, actionQueueSize),
		canceled: make(chan struct{}),
		deadline: deadline,
	}
}

// rejectUnusable answers an unusable query, one that is not a valid request, and pauses: a client that sends such
// queries as fast as it can must not take CPU time from other clients.
func (client *client) rejectUnusable(tasks *sync.WaitGroup, slot querySlot, code string, err error) error {
	if err := client.answerLocally(tasks, slot, errorAnswer(code, err.Error())); err != nil {
		return err
	}
	client.unusableInRow++
	pause := min(time.Duration(client.unusableInRow)*unusablePauseStep, maxUnusablePause)
	return client.pause(pause, client.router.shutdown.over)
}
