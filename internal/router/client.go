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
	longestQuery = 1 << 20
	longestReply = backend.MostAnswer + 64<<10 // the value, and what stands round it
	pipelined    = 16                          // requests of one client at a time

	paceStep = 10 * time.Millisecond // after each unusable query in a row, reading rests so much longer
	mostPace = 250 * time.Millisecond
)

// patience is how long clients may take.
type patience struct {
	message time.Duration // a message that is not whole by then is given up
	write   time.Duration // an answer that is not taken by then ends the connection
	idle    time.Duration // a client with nothing open is closed after this
	spare   time.Duration // in a crowd, one may be that idles so long
	green   time.Duration // or that is so old and silent
	open    time.Duration // open requests hold a fatal error up for so long
	fresh   time.Duration // from a router that stops, a client that has not asked yet has so long to ask
	last    time.Duration // and at the very end all have so long to take their answers
	linger  time.Duration // after the last word the connection is read to its end for so long
}

var usualPatience = patience{message: 2 * time.Second, write: 5 * time.Second, idle: 2250 * time.Millisecond, spare: 100 * time.Millisecond,
	green: 20 * time.Millisecond, open: 500 * time.Millisecond, fresh: 500 * time.Millisecond, last: 100 * time.Millisecond,
	linger: 250 * time.Millisecond}

// client is one connection of a client: a goroutine that reads it, and a task
// for each request. Only the reader ends the connection, whoever wants it ended:
// nobody else knows whether a request has been read.
type client struct {
	router *Router
	conn   net.Conn
	in     *ringbuffer.Buffer
	out    *ringbuffer.Buffer // who has the turn to answer writes it
	left   chan struct{}      // closed once the client has gone, or is to be
	cut    chan struct{}      // closed once an answer could not be written: nobody hears the next ones
	once   sync.Once          // of cut
	fatal  bool               // with left closed: by an error of the client's, which still hears
	slots  chan struct{}      // bounds what is pipelined
	skip   bool               // the reader's: after an error in an extended query, up to the next Sync
	faults int                // the reader's: unusable queries in a row
	heard  arrivals           // the reader's: when what it reads had come

	seat   *changefeed.Seat // the reader's: of one that has asked for a feed
	id     admission.ID     // at the door
	who    contract.Who     // as its startup message says
	key    pgwire.CancelKey
	mu     sync.Mutex
	away   *turnedAway // the door's word, for the reader to say
	busy   int         // queries taken and not answered
	open   []*request  // of those, the ones that a CancelRequest can name, in their order
	asked  bool        // it has sent a whole query
	idleAt time.Time   // since when none is open
	halfAt time.Time   // since when a message is here in part; zero: none is
	last   chan struct{}

	// What the reader is woken for by a read deadline long past.
	overdue bool // a query, or the rest of a message, has not come in time
	leave   bool // it is to end the connection, if nothing is open or has come
	pushed  bool // with leave: the door has given its place away

	pipelines bool      // it has sent a query without waiting for the answer before it
	closing   bool      // the reader is closing the connection: nobody wakes it any more
	closingAt time.Time // since when it waits for the client's end; zero: it does not
}

func newClient(r *Router, conn net.Conn) *client {
	last := make(chan struct{})
	close(last)
	return &client{router: r, conn: conn, in: ringbuffer.New(longestQuery).Within(r.reading), out: ringbuffer.New(longestReply),
		idleAt: time.Now(), left: make(chan struct{}), cut: make(chan struct{}), slots: make(chan struct{}, pipelined), last: last}
}

var (
	errDone     = errors.New("done") // ends a connection without anything being wrong
	errCut      = errors.New("an answer was not taken")
	errStopping = errors.New("refused: the router stops")
	longAgo     = time.Unix(1, 0)
)

// run reads the connection until the client leaves, and waits for its requests.
func (c *client) run() {
	var tasks sync.WaitGroup
	err := c.start()
	started := err == nil
	for err == nil {
		err = c.next(&tasks)
	}
	err = c.because(err)
	code, wait := fatalCode(err)
	var behind []byte
	if started {
		behind = c.unserved(err)
	}
	c.in.Free()
	if c.fatal = code != ""; c.fatal { // what was taken is answered before it
		c.settle(c.router.patience.open)
	}
	close(c.left)
	c.router.cancels.remove(c)
	tasks.Wait()
	if c.fatal {
		c.write(pgwire.AppendError(behind, "FATAL", code, err.Error(), wait))
	}
	if c.fatal || c.pipelines && errors.Is(err, errDone) {
		c.lingeringClose()
	}
	c.conn.Close()
	c.router.gone(c)
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
	c.closing, c.closingAt = true, time.Now()
	c.conn.SetReadDeadline(time.Now().Add(c.router.patience.linger))
	c.mu.Unlock()
	for dropped := 0; dropped < c.in.Cap(); dropped += c.in.Discard(c.in.Len()) {
		if c.in.Fill(c.conn) != nil {
			return
		}
	}
}

// fatalCode is the code of the error that a client hears before its connection
// is closed, none where it closed or has gone; and when to come again, as the
// field D tells it.
func fatalCode(err error) (code, wait string) {
	var long *pgwire.TooLong
	var away *turnedAway
	switch {
	case errors.As(err, &away):
		return pgwire.CodeTooManyConnections, comeAgain(away.wait)
	case errors.Is(err, errStopping):
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

// because is why the reading ended: where the door has put the client out, that.
func (c *client) because(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var away *turnedAway
	if c.away != nil && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errDone) || errors.As(err, &away)) {
		return c.away
	}
	return err
}

// unserved answers the queries that were read behind one that is turned away: the
// fatal error at the end is the answer to one of them, the rest get theirs first.
func (c *client) unserved(err error) (answers []byte) {
	var away *turnedAway
	if !errors.As(err, &away) {
		return nil
	}
	for {
		m, err := pgwire.Next(c.in)
		if err != nil {
			return answers
		}
		if m.Kind == pgwire.Query {
			answers = append(answers, refused(away.wait, &refusal{text: away.text})...)
		}
		c.in.Discard(m.Size)
	}
}

// putOut ends the connection for the door: with a word, which the reader says,
// or by closing it, since a query may be on its way.
func (c *client) putOut(away *turnedAway) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing { // its last word is said, and its place is wanted now
		c.conn.SetReadDeadline(longAgo)
		return
	}
	c.away = away
	c.leave, c.pushed = c.leave || away == nil, away == nil
	c.conn.SetReadDeadline(longAgo)
}

// settle waits for the open requests, but not for long, and not for a client that has gone.
func (c *client) settle(most time.Duration) {
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	c.rest(most, last)
}

// fill waits for more bytes. From the first byte of a message on, the sweep
// watches how long the rest takes.
func (c *client) fill() error {
	c.mu.Lock()
	switch {
	case c.in.Len() == 0: // behind a startup message that came in parts
		c.halfAt = time.Time{}
	case c.halfAt.IsZero():
		c.halfAt = time.Now()
	}
	c.mu.Unlock()
	began := c.router.clock.now()
	err := c.in.Fill(c.conn)
	c.heard.read(began, c.router.clock.now())
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	// Somebody wants an end of it. What has come by now was sent before the client could know, so it is read first. A client
	// that sends on is read on; it comes to an end when it leaves a gap, a message is whole, or the buffer is full.
	if c.in.Fill(present{c.conn}) == nil {
		return nil
	}
	return c.ends(err)
}

// ends is how the connection ends for whoever woke the reader, nil if it goes on.
// Nothing that was read is unanswered when it is closed, and what comes after the
// last look stays unread, so that its client may send it elsewhere.
func (c *client) ends(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	half := c.in.Len() > 0
	switch {
	case c.away != nil || c.overdue:
		return err
	case c.leave && c.busy == 0 && !half:
		if !c.pipelines { // or lingeringClose does it
			c.conn.Close()
		}
		return errDone
	case c.pushed:
		return c.router.door.pushed(c)
	case c.leave && half && c.router.hasEnded():
		return errStopping
	}
	c.leave = false
	c.conn.SetReadDeadline(time.Time{})
	return nil
}

// expire ends what takes too long: a client that has asked for nothing, a message
// that does not come to its end, a connection that idles; and one that is asked to
// go by a router that stops.
func (c *client) expire(now time.Time, stopping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.router.patience
	switch {
	case c.closing:
	case !c.asked && now.Sub(c.idleAt) > p.message, !c.halfAt.IsZero() && now.Sub(c.halfAt) > p.message:
		c.overdue = true // the reader says so and ends
		c.conn.SetReadDeadline(longAgo)
	case now.Sub(c.idleAt) > p.idle, stopping && (c.asked || now.Sub(c.idleAt) > p.fresh || c.router.hasEnded()):
		c.leaveIfIdle()
	}
}

// start answers the first messages up to the welcome. A query may stand right
// behind the startup message: it stays in the buffer.
func (c *client) start() error {
	for {
		kind, size, err := pgwire.NextStart(c.in)
		if errors.Is(err, pgwire.ErrShort) {
			if err := c.fill(); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		switch kind {
		case pgwire.Startup:
			c.introduce(size)
		case pgwire.CancelRequest: // its connection has no other use, and is closed at once
			if key, ok := pgwire.CancelOf(c.in, size); ok {
				c.router.cancels.cancel(key)
			}
			return errDone
		}
		c.in.Discard(size)
		if kind == pgwire.Startup && c.router.door != nil {
			if err := c.router.door.start(c); err != nil {
				return err
			}
		}
		switch kind {
		case pgwire.EncryptRequest:
			if err := c.write([]byte{'N'}); err != nil {
				return err
			}
		case pgwire.Startup:
			return c.write(pgwire.AppendWelcome(nil, c.router.cancels.add(c)))
		}
	}
}

// introduce keeps what a startup message of n bytes says, where anybody asks.
func (c *client) introduce(n int) {
	if c.router.door == nil && c.router.owner.terms == nil {
		return
	}
	c.who.Address = remote(c.conn)
	pgwire.StartupParams(c.in, n, func(name, value string) {
		switch name {
		case "user":
			c.who.User = value
		case "database":
			c.who.Database = value
		case "application_name":
			c.who.Application = value
		}
	})
}

// next takes one message.
func (c *client) next(tasks *sync.WaitGroup) error {
	m, err := pgwire.Next(c.in)
	switch {
	case errors.Is(err, pgwire.ErrShort):
		c.in.Idle()
		return c.fill()
	case err != nil:
		return err
	}
	c.mu.Lock()
	c.halfAt = time.Time{}
	if c.overdue { // here it is after all
		c.overdue = false
		c.conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
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

// query starts the task of one request.
func (c *client) query(tasks *sync.WaitGroup, body []byte) error {
	came := c.heard.by
	text, err := pgwire.QueryText(body)
	if err != nil {
		return err
	}
	if pgwire.Blank(text) { // the front's question whether this router is ready
		return c.task(tasks, func() []byte {
			<-c.router.asked
			return pgwire.AppendReady(pgwire.Append(nil, pgwire.EmptyQueryResponse, nil))
		})
	}
	parsed, err := pgwire.ParseRequest(text)
	if err != nil {
		return c.unusable(tasks, pgwire.CodeSyntax, err)
	}
	if err := c.router.conf.Settings.Usable(parsed.Class, parsed.Key); err != nil {
		return c.unusable(tasks, pgwire.CodeInvalidParameter, err)
	}
	if !c.router.dir.Serves(parsed.Cluster) {
		return c.unusable(tasks, pgwire.CodeInvalidParameter, fmt.Errorf("no data server of cluster %d is listed", parsed.Cluster))
	}
	c.faults = 0
	if f := c.router.feeds; f != nil && f.part.Serves(parsed.Class) {
		if c.seat == nil {
			c.seat = &changefeed.Seat{}
		}
		seat := c.seat
		return c.task(tasks, func() []byte { return f.answer(c, &parsed, seat, came) })
	}
	r := &request{Request: parsed, router: c.router, client: c, who: c.who, acts: make(chan balance.Action, mailbox),
		canceled: make(chan struct{}),
		deadline: c.router.within(came + int64(max(parsed.Wait-margin, parsed.Wait/2)))}
	return c.serve(tasks, r, r.run)
}

// unusable answers a query that can't be a request, and rests: a client that
// sends such queries as fast as it can must not take the time of the others.
func (c *client) unusable(tasks *sync.WaitGroup, code string, err error) error {
	if err := c.local(tasks, problem(code, err.Error())); err != nil {
		return err
	}
	c.faults++
	return c.rest(min(time.Duration(c.faults)*paceStep, mostPace), c.router.ended)
}

// local answers without the module.
func (c *client) local(tasks *sync.WaitGroup, answer []byte) error {
	return c.task(tasks, func() []byte { return answer })
}

// task is serve without a request that could be canceled.
func (c *client) task(tasks *sync.WaitGroup, f func() []byte) error { return c.serve(tasks, nil, f) }

// serve runs f, which is r's if there is one, beside the reader and writes what it
// returns when its turn has come, so that answers keep the order of the queries.
func (c *client) serve(tasks *sync.WaitGroup, r *request, f func() []byte) error {
	if err := c.takeSlot(); err != nil {
		return err
	}
	c.mu.Lock()
	if c.router.door != nil {
		if err := c.router.door.ask(c); err != nil {
			c.mu.Unlock()
			return err
		}
	}
	c.pipelines = c.pipelines || c.busy > 0
	c.busy++
	c.asked = true
	if r != nil {
		c.open = append(c.open, r)
	}
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
		if r != nil { // only now: a cancel that crosses the answer must not take the next request for this one
			c.closed()
		}
		close(mine)
		<-c.slots
		c.mu.Lock()
		c.busy--
		c.idleAt = time.Now()
		if c.busy == 0 && c.router.door != nil {
			c.router.door.answered(c)
		}
		c.mu.Unlock()
		if c.router.isStopping() {
			c.closeIfIdle()
		}
	})
	return nil
}

// closed forgets the request that has its answer now: the first of the open ones, as answers keep their order.
func (c *client) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = slices.Delete(c.open, 0, 1)
}

// write sends bytes to the client; whoever calls has the turn.
func (c *client) write(p []byte) error {
	if _, err := c.out.Write(p); err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.router.patience.write)); err != nil {
		return err
	}
	_, err := c.out.WriteTo(c.conn)
	if err != nil { // what is cut off can't go on
		c.out.Discard(c.out.Len())
		c.conn.Close()
		c.once.Do(func() { close(c.cut) })
	}
	c.out.Idle()
	return err
}

// idleSince is when the client was last answered, or came if it never asked; idle
// is false while it waits, and while a message of its is here in part: its reader would not end it.
func (c *client) idleSince() (at time.Time, asked, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleAt, c.asked, c.busy == 0 && !c.leave && !c.closing && c.halfAt.IsZero()
}

// isGoing says whether the client's place will soon be free.
func (c *client) isGoing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leave || c.away != nil || c.closing
}

// lingersSince is since when the client's end is waited for; false where it is not, or not any more.
func (c *client) lingersSince() (at time.Time, lingers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closingAt, !c.closingAt.IsZero()
}

// endLingering closes a connection without waiting any longer for the client's end.
func (c *client) endLingering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closingAt = time.Time{}
	c.conn.SetReadDeadline(longAgo)
}

// halfSince is since when a message is here in part; false where none is, or a request is open.
func (c *client) halfSince() (at time.Time, half bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.halfAt, c.busy == 0 && c.away == nil && !c.closing && !c.halfAt.IsZero()
}

// closeIfIdle has the reader close the connection, unless a request is open or
// has come.
func (c *client) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveIfIdle()
}

// leaveIfIdle is closeIfIdle with the lock held.
func (c *client) leaveIfIdle() {
	if c.busy == 0 && !c.leave && !c.closing {
		c.leave = true
		c.conn.SetReadDeadline(longAgo)
	}
}

// problem is an error after which the connection goes on.
func problem(code, text string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, text, ""))
}
