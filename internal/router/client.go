package router

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"lotushook/internal/backend"
	"lotushook/internal/changefeed"
	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
	"lotushook/policy/admission"
	"lotushook/policy/balance"
	"lotushook/policy/contract"
)

const (
	maxQueryBytes  = 1 << 20
	maxAnswerBytes = backend.MaxMessageBytes + 64<<10 // the value, and what stands round it
	maxPipelined   = 16                               // requests of one client at a time

	unusablePauseStep = 10 * time.Millisecond // after each unusable query in a row, reading rests so much longer
	maxUnusablePause  = 250 * time.Millisecond
)

// clientTimeouts is how long clients may take.
type clientTimeouts struct {
	message        time.Duration // a message that is not whole by then is given up
	write          time.Duration // an answer that is not taken by then ends the connection
	idle           time.Duration // a client with nothing open is closed after this
	evictable      time.Duration // in a crowd, one may be that idles so long
	silent         time.Duration // or that is so old and silent
	openRequests   time.Duration // open requests hold a fatal error up for so long
	firstQuery     time.Duration // from a router that stops, a client that has not asked yet has so long to ask
	finalAnswers   time.Duration // and at the very end all have so long to take their answers
	lingeringClose time.Duration // after the last word the connection is read to its end for so long
}

var defaultTimeouts = clientTimeouts{message: 2 * time.Second, write: 5 * time.Second, idle: 2250 * time.Millisecond, evictable: 100 * time.Millisecond,
	silent: 20 * time.Millisecond, openRequests: 500 * time.Millisecond, firstQuery: 500 * time.Millisecond, finalAnswers: 100 * time.Millisecond,
	lingeringClose: 250 * time.Millisecond}

// client is one connection of a client: a goroutine that reads it, and a task
// for each request. Only the reader ends the connection, whoever wants it ended:
// nobody else knows whether a request has been read.
type client struct {
	router           *Router
	conn             net.Conn
	input            *ringbuffer.Buffer
	output           *ringbuffer.Buffer // who has the turn to answer writes it
	left             chan struct{}      // closed once the client has gone, or is to be
	writeFailed      chan struct{}      // closed once an answer could not be written: nobody hears the next ones
	closeWriteFailed sync.Once          // of cut
	failedByClient   bool               // with left closed: by an error of the client's, which still hears
	slots            chan struct{}      // bounds what is pipelined
	skipUntilSync    bool               // the reader's: after an error in an extended query, up to the next Sync
	unusableInRow    int                // the reader's: unusable queries in a row
	heard            arrivals           // the reader's: when what it reads had come

	feedSeat     *changefeed.Seat  // the reader's: of one that has asked for a feed
	admissionID  admission.ID      // at the door
	identity     contract.Identity // as its startup message says
	cancelKey    pgwire.CancelKey
	mu           sync.Mutex
	rejection    *rejection // the door's word, for the reader to say
	openQueries  int        // queries taken and not answered
	cancelable   []*request // of those, the ones that a CancelRequest can name, in their order
	hasQueried   bool       // it has sent a whole query
	idleSince    time.Time  // since when none is open
	partialSince time.Time  // since when a message is here in part; zero: none is
	lastAnswered chan struct{}

	// What the reader is woken for by a read deadline long past.
	overdue   bool // a query, or the rest of a message, has not come in time
	closing   bool // it is to end the connection, if nothing is open or has come
	displaced bool // with leave: the door has given its place away

	pipelines      bool      // it has sent a query without waiting for the answer before it
	lingering      bool      // the reader is closing the connection: nobody wakes it any more
	lingeringSince time.Time // since when it waits for the client's end; zero: it does not
}

func newClient(r *Router, conn net.Conn) *client {
	last := make(chan struct{})
	close(last)
	return &client{router: r, conn: conn, input: ringbuffer.New(maxQueryBytes).Within(r.readQuota), output: ringbuffer.New(maxAnswerBytes),
		idleSince: time.Now(), left: make(chan struct{}), writeFailed: make(chan struct{}), slots: make(chan struct{}, maxPipelined), lastAnswered: last}
}

var (
	errDone           = errors.New("done") // ends a connection without anything being wrong
	errAnswerNotTaken = errors.New("an answer was not taken")
	errDraining       = errors.New("refused: the router stops")
	pastDeadline      = time.Unix(1, 0)
)

// run reads the connection until the client leaves, and waits for its requests.
func (c *client) run() {
	var tasks sync.WaitGroup
	err := c.startSession()
	started := err == nil
	for err == nil {
		err = c.readMessage(&tasks)
	}
	err = c.closeCause(err)
	code, wait := fatalCode(err)
	var behind []byte
	if started {
		behind = c.rejectUnserved(err)
	}
	c.input.Free()
	if c.failedByClient = code != ""; c.failedByClient { // what was taken is answered before it
		c.awaitOpenRequests(c.router.timeouts.openRequests)
	}
	close(c.left)
	c.router.cancelKeys.remove(c)
	tasks.Wait()
	if c.failedByClient {
		c.write(pgwire.AppendError(behind, "FATAL", code, err.Error(), wait))
	}
	if c.failedByClient || c.pipelines && errors.Is(err, errDone) {
		c.lingeringClose()
	}
	c.conn.Close()
	c.router.removeClient(c)
}

// lingeringClose ends the sending and then reads and drops what still comes, up to the client's own end and within bounds in time
// and bytes. Closed over unread bytes, the connection would be reset, and the reset can overtake what was written. Nothing that is
// read here is served: its answer could not arrive any more.
//
// It is for who has heard an error, as more may stand behind what caused it, and for who sends without waiting. Any other client
// has all its answers by the time that more of it comes; what crosses its close stays unread, so that it may send it elsewhere.
func (c *client) lingeringClose() {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	c.lingering, c.lingeringSince = true, time.Now()
	c.conn.SetReadDeadline(time.Now().Add(c.router.timeouts.lingeringClose))
	c.mu.Unlock()
	for dropped := 0; dropped < c.input.Cap(); dropped += c.input.Discard(c.input.Len()) {
		if c.input.Fill(c.conn) != nil {
			return
		}
	}
}

// fatalCode is the code of the error that a client hears before its connection
// is closed, none where it closed or has gone; and when to come again, as the
// field D tells it.
func fatalCode(err error) (code, wait string) {
	var long *pgwire.TooLong
	var away *rejection
	switch {
	case errors.As(err, &away):
		return pgwire.CodeTooManyConnections, retryAfterField(away.retryAfter)
	case errors.Is(err, errDraining):
		return pgwire.CodeCannotConnect, ""
	case errors.Is(err, pgwire.ErrMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		return pgwire.CodeProtocolViolation, ""
	case errors.As(err, &long):
		return pgwire.CodeTooLarge, ""
	case errors.Is(err, ringbuffer.ErrFull):
		return pgwire.CodeOutOfMemory, ""
	}
	return "", ""
}

// closeCause is why the reading ended: where the door has put the client out, that.
func (c *client) closeCause(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var away *rejection
	if c.rejection != nil && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errDone) || errors.As(err, &away)) {
		return c.rejection
	}
	return err
}

// rejectUnserved answers the queries that were read behind one that is turned away: the
// fatal error at the end is the answer to one of them, the rest get theirs first.
func (c *client) rejectUnserved(err error) (answers []byte) {
	var away *rejection
	if !errors.As(err, &away) {
		return nil
	}
	for {
		m, err := pgwire.Next(c.input)
		if err != nil {
			return answers
		}
		if m.Kind == pgwire.Query {
			answers = append(answers, rejectedAnswer(away.retryAfter, &rejectionReason{text: away.text})...)
		}
		c.input.Discard(m.Size)
	}
}

// evict ends the connection for the door: with a word, which the reader says,
// or by closing it, since a query may be on its way.
func (c *client) evict(away *rejection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering { // its last word is said, and its place is wanted now
		c.conn.SetReadDeadline(pastDeadline)
		return
	}
	c.rejection = away
	c.closing, c.displaced = c.closing || away == nil, away == nil
	c.conn.SetReadDeadline(pastDeadline)
}

// awaitOpenRequests waits for the open requests, but not for long, and not for a client that has gone.
func (c *client) awaitOpenRequests(most time.Duration) {
	c.mu.Lock()
	last := c.lastAnswered
	c.mu.Unlock()
	c.pause(most, last)
}

// readMore waits for more bytes. From the first byte of a message on, the sweep
// watches how long the rest takes.
func (c *client) readMore() error {
	c.mu.Lock()
	switch {
	case c.input.Len() == 0: // behind a startup message that came in parts
		c.partialSince = time.Time{}
	case c.partialSince.IsZero():
		c.partialSince = time.Now()
	}
	c.mu.Unlock()
	began := c.router.clock.now()
	err := c.input.Fill(c.conn)
	c.heard.read(began, c.router.clock.now())
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	// Somebody wants an end of it. What has come by now was sent before the client could know, so it is read first. A client
	// that sends on is read on; it comes to an end when it leaves a gap, a message is whole, or the buffer is full.
	if c.input.Fill(availableReader{c.conn}) == nil {
		return nil
	}
	return c.onWake(err)
}

// onWake is how the connection ends for whoever woke the reader, nil if it goes on.
// Nothing that was read is unanswered when it is closed, and what comes after the
// last look stays unread, so that its client may send it elsewhere.
func (c *client) onWake(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	half := c.input.Len() > 0
	switch {
	case c.rejection != nil || c.overdue:
		return err
	case c.closing && c.openQueries == 0 && !half:
		if !c.pipelines { // or lingeringClose does it
			c.conn.Close()
		}
		return errDone
	case c.displaced:
		return c.router.acceptor.displacedRejection(c)
	case c.closing && half && c.router.isDrainOver():
		return errDraining
	}
	c.closing = false
	c.conn.SetReadDeadline(time.Time{})
	return nil
}

// expire ends what takes too long: a client that has asked for nothing, a message
// that does not come to its end, a connection that idles; and one that is asked to
// go by a router that stops.
func (c *client) expire(now time.Time, stopping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.router.timeouts
	switch {
	case c.lingering:
	case !c.hasQueried && now.Sub(c.idleSince) > p.message, !c.partialSince.IsZero() && now.Sub(c.partialSince) > p.message:
		c.overdue = true // the reader says so and ends
		c.conn.SetReadDeadline(pastDeadline)
	case now.Sub(c.idleSince) > p.idle, stopping && (c.hasQueried || now.Sub(c.idleSince) > p.firstQuery || c.router.isDrainOver()):
		c.closeIfIdleLocked()
	}
}

// startSession answers the first messages up to the welcome. A query may stand right
// behind the startup message: it stays in the buffer.
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
		case pgwire.Startup:
			c.readIdentity(size)
		case pgwire.CancelRequest: // its connection has no other use, and is closed at once
			if key, ok := pgwire.CancelOf(c.input, size); ok {
				c.router.cancelKeys.cancel(key)
			}
			return errDone
		}
		c.input.Discard(size)
		if kind == pgwire.Startup && c.router.acceptor != nil {
			if err := c.router.acceptor.sessionStarted(c); err != nil {
				return err
			}
		}
		switch kind {
		case pgwire.EncryptRequest:
			if err := c.write([]byte{'N'}); err != nil {
				return err
			}
		case pgwire.Startup:
			return c.write(pgwire.AppendWelcome(nil, c.router.cancelKeys.add(c)))
		}
	}
}

// readIdentity keeps what a startup message of n bytes says, where anybody asks.
func (c *client) readIdentity(n int) {
	if c.router.acceptor == nil && c.router.loop.contracts == nil {
		return
	}
	c.identity.Address = remoteAddress(c.conn)
	pgwire.StartupParams(c.input, n, func(name, value string) {
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
	m, err := pgwire.Next(c.input)
	switch {
	case errors.Is(err, pgwire.ErrShort):
		c.input.Idle()
		return c.readMore()
	case err != nil:
		return err
	}
	c.mu.Lock()
	c.partialSince = time.Time{}
	if c.overdue { // here it is after all
		c.overdue = false
		c.conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	defer func() {
		c.input.Discard(m.Size)
		c.input.Idle() // a large query is held once, as its text
	}()
	switch m.Kind {
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
		return c.answerLocally(tasks, pgwire.AppendError(nil, "ERROR", pgwire.CodeNotSupported, "only simple queries are served", ""))
	case pgwire.FunctionCall:
		return c.answerLocally(tasks, errorAnswer(pgwire.CodeNotSupported, "only simple queries are served"))
	case pgwire.Query:
		if c.skipUntilSync {
			return nil
		}
		return c.query(tasks, m.Body)
	}
	return fmt.Errorf("%w: unknown message %q", pgwire.ErrMalformed, m.Kind)
}

// query starts the task of one request.
func (c *client) query(tasks *sync.WaitGroup, body []byte) error {
	came := c.heard.by
	text, err := pgwire.QueryText(body)
	if err != nil {
		return err
	}
	if pgwire.Blank(text) { // the front's question whether this router is ready
		return c.startTask(tasks, func() []byte {
			<-c.router.startHoldOver
			return pgwire.AppendReady(pgwire.Append(nil, pgwire.EmptyQueryResponse, nil))
		})
	}
	parsed, err := pgwire.ParseRequest(text)
	if err != nil {
		return c.rejectUnusable(tasks, pgwire.CodeSyntax, err)
	}
	if err := c.router.config.Settings.Usable(parsed.Class, parsed.Key); err != nil {
		return c.rejectUnusable(tasks, pgwire.CodeInvalidParameter, err)
	}
	if !c.router.directory.HasGroup(parsed.Cluster) {
		return c.rejectUnusable(tasks, pgwire.CodeInvalidParameter, fmt.Errorf("no data server of cluster %d is listed", parsed.Cluster))
	}
	c.unusableInRow = 0
	if f := c.router.changefeed; f != nil && f.feeds.Serves(parsed.Class) {
		if c.feedSeat == nil {
			c.feedSeat = &changefeed.Seat{}
		}
		seat := c.feedSeat
		return c.startTask(tasks, func() []byte { return f.answer(c, &parsed, seat, came) })
	}
	r := &request{Request: parsed, router: c.router, client: c, identity: c.identity, actions: make(chan balance.Action, actionQueueSize),
		canceled: make(chan struct{}),
		deadline: c.router.limitDeadline(came + int64(max(parsed.Wait-deadlineMargin, parsed.Wait/2)))}
	return c.startAnswer(tasks, r, r.run)
}

// rejectUnusable answers a query that can't be a request, and rests: a client that
// sends such queries as fast as it can must not take the time of the others.
func (c *client) rejectUnusable(tasks *sync.WaitGroup, code string, err error) error {
	if err := c.answerLocally(tasks, errorAnswer(code, err.Error())); err != nil {
		return err
	}
	c.unusableInRow++
	return c.pause(min(time.Duration(c.unusableInRow)*unusablePauseStep, maxUnusablePause), c.router.drainOver)
}

// answerLocally answers without the module.
func (c *client) answerLocally(tasks *sync.WaitGroup, answer []byte) error {
	return c.startTask(tasks, func() []byte { return answer })
}

// startTask is serve without a request that could be canceled.
func (c *client) startTask(tasks *sync.WaitGroup, f func() []byte) error {
	return c.startAnswer(tasks, nil, f)
}

// startAnswer runs f, which is r's if there is one, beside the reader and writes what it
// returns when its turn has come, so that answers keep the order of the queries.
func (c *client) startAnswer(tasks *sync.WaitGroup, r *request, f func() []byte) error {
	if err := c.takeSlot(); err != nil {
		return err
	}
	c.mu.Lock()
	if c.router.acceptor != nil {
		if err := c.router.acceptor.queryArrived(c); err != nil {
			c.mu.Unlock()
			return err
		}
	}
	c.pipelines = c.pipelines || c.openQueries > 0
	c.openQueries++
	c.hasQueried = true
	if r != nil {
		c.cancelable = append(c.cancelable, r)
	}
	before, mine := c.lastAnswered, make(chan struct{})
	c.lastAnswered = mine
	c.mu.Unlock()
	tasks.Go(func() {
		answer := f()
		<-before
		if answer != nil {
			if err := c.write(answer); err != nil {
				slog.Debug("client", "err", err)
			}
		}
		if r != nil { // only now: a cancel that crosses the answer must not take the next request for this one
			c.removeCancelable()
		}
		close(mine)
		<-c.slots
		c.mu.Lock()
		c.openQueries--
		c.idleSince = time.Now()
		if c.openQueries == 0 && c.router.acceptor != nil {
			c.router.acceptor.answered(c)
		}
		c.mu.Unlock()
		if c.router.isDraining() {
			c.closeIfIdle()
		}
	})
	return nil
}

// removeCancelable forgets the request that has its answer now: the first of the open ones, as answers keep their order.
func (c *client) removeCancelable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelable = slices.Delete(c.cancelable, 0, 1)
}

// write sends bytes to the client; whoever calls has the turn.
func (c *client) write(p []byte) error {
	if _, err := c.output.Write(p); err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.router.timeouts.write)); err != nil {
		return err
	}
	_, err := c.output.WriteTo(c.conn)
	if err != nil { // what is cut off can't go on
		c.output.Discard(c.output.Len())
		c.conn.Close()
		c.closeWriteFailed.Do(func() { close(c.writeFailed) })
	}
	c.output.Idle()
	return err
}

// idleState is when the client was last answered, or came if it never asked; idle
// is false while it waits, and while a message of its is here in part: its reader would not end it.
func (c *client) idleState() (at time.Time, asked, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.hasQueried, c.openQueries == 0 && !c.closing && !c.lingering && c.partialSince.IsZero()
}

// isClosing says whether the client's place will soon be free.
func (c *client) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.rejection != nil || c.lingering
}

// lingeringState is since when the client's end is waited for; false where it is not, or not any more.
func (c *client) lingeringState() (at time.Time, lingers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingeringSince, !c.lingeringSince.IsZero()
}

// endLingering closes a connection without waiting any longer for the client's end.
func (c *client) endLingering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingeringSince = time.Time{}
	c.conn.SetReadDeadline(pastDeadline)
}

// partialState is since when a message is here in part; false where none is, or a request is open.
func (c *client) partialState() (at time.Time, half bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partialSince, c.openQueries == 0 && c.rejection == nil && !c.lingering && !c.partialSince.IsZero()
}

// closeIfIdle has the reader close the connection, unless a request is open or
// has come.
func (c *client) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfIdleLocked()
}

// closeIfIdleLocked is closeIfIdle with the lock held.
func (c *client) closeIfIdleLocked() {
	if c.openQueries == 0 && !c.closing && !c.lingering {
		c.closing = true
		c.conn.SetReadDeadline(pastDeadline)
	}
}

// errorAnswer is an error after which the connection goes on.
func errorAnswer(code, text string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, text, ""))
}
