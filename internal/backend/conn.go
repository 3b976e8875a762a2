package backend

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lotushook/internal/fdlimit"
	"lotushook/internal/metrics"
	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
	"lotushook/policy/balance"
)

// MaxMessageBytes is the longest message taken from a data server. Values are said to
// have 64 KiB at most, but whole ones of 400 KB were seen; what the buffers take
// together is bounded by a quota.
const MaxMessageBytes = 1 << 20

const (
	user     = "worker"
	database = "catalog"
)

// What comes beside a value is short, and so is what comes before the first query: beyond these bytes it has no end, and
// reading on would take the time of other requests.
const (
	maxAnswerBytes  = MaxMessageBytes + 64<<10
	maxWelcomeBytes = 64 << 10
)

// ahead is what a commit's position, which is rounded up, may be in the future.
const maxClockAhead = 2 * time.Millisecond

// rowSeed is for the rows' hashes: a row itself may be large, and would stay with
// each idle connection.
var rowHashSeed = maphash.MakeSeed()

var errNoDialTurn = errors.New("no turn to dial")

var (
	errUnsolicited = errors.New("the data server spoke unasked")
	errUnwanted    = errors.New("no time is left, or nobody waits for it")
	errTooLong     = fmt.Errorf("%w: what has no end", pgwire.ErrMalformed)
	errDraining    = errors.New("the node drains")
)

// serverConn is one connection to a data server. Its goroutine dials, and then reads
// for as long as the connection lives, so that its end is seen while it idles.
type serverConn struct {
	pool      *Pool
	endpoint  balance.EndpointID
	address   string
	in        *ringbuffer.Buffer // only the goroutine's
	out       *ringbuffer.Buffer // only who writes the query's
	idleAt    time.Time          // the pool's lock
	dialDelay time.Duration      // before it dials

	mu          sync.Mutex
	socket      net.Conn
	rawSocket   syscall.RawConn // of net
	current     *Attempt        // being made on this connection
	sentAt      time.Time       // since when
	unsolicited bool            // bytes came while there was no attempt
	closed      bool
	previousRow uint64 // only the goroutine's: the hash of the row of the answer before
	released    sync.Once

	// For each attempt that is bound to the connection, once: whether its query went out whole. Who writes it may be
	// another goroutine than the one that reads, and what is read tells nothing of a query that was not there.
	written chan bool
}

func newServerConn(p *Pool, node balance.EndpointID, dial string) *serverConn {
	return &serverConn{pool: p, endpoint: node, address: dial, in: ringbuffer.New(MaxMessageBytes).Within(p.ReadQuota), out: ringbuffer.New(1 << 20),
		written: make(chan bool, 1)}
}

// close ends the connection; the goroutine sees it and cleans up.
func (c *serverConn) close() {
	c.mu.Lock()
	c.closed = true
	conn := c.socket
	c.mu.Unlock()
	if conn != nil { // without the lock: it waits for the goroutine that reads, which takes it
		conn.Close()
	}
}

// release closes the connection, forgets it, and gives its descriptor back, once.
func (c *serverConn) release() {
	c.close()
	c.pool.remove(c)
	c.released.Do(c.pool.Descriptors.Hangup)
}

// run is the life of the connection.
func (c *serverConn) run(first *Attempt) {
	defer c.release()
	defer c.in.Free()
	res := c.connect(first)
	c.pool.Metrics.Add(dialCounter(res.Outcome))
	if res.Outcome != balance.Succeeded {
		c.close()
		first.finish(res)
		return
	}
	c.send(first)
	for {
		a, res, keep := c.readAnswer()
		if a == nil { // idle, and ended or in doubt
			return
		}
		if !keep {
			c.close()
		}
		if !c.awaitWrite() { // who writes sees to the attempt
			return
		}
		if !keep {
			a.finish(res)
			return
		}
		c.mu.Lock()
		c.current = nil
		c.mu.Unlock()
		c.in.Idle()
		c.socket.SetReadDeadline(time.Time{})
		kept := c.pool.putIdle(c) // before the result is known, so that the next attempt finds it
		a.finish(res)
		if !kept {
			return
		}
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

// dialCounter is how connect's outcome counts.
func dialCounter(o balance.Outcome) metrics.Counter {
	switch o {
	case balance.Succeeded:
		return metrics.Up
	case balance.Busy:
		return metrics.TooMany
	case outcomeNotSent:
		return metrics.NoSocket
	}
	return metrics.Unheard
}

// connect dials and starts a session: Done, or why not.
func (c *serverConn) connect(a *Attempt) Result {
	last := time.Now().Add(c.pool.ConnectTimeout)
	if a.connectDeadline.Before(last) {
		last = a.connectDeadline
	}
	ctx, stop := context.WithDeadline(a.dialContext, last)
	defer stop()
	if c.dialDelay > 0 {
		select {
		case <-time.After(c.dialDelay):
		case <-ctx.Done(): // the node has no part in it
			return Result{Outcome: outcomeNotSent, Err: errNoDialTurn}
		}
	}
	conn, err := c.pool.dial(ctx, c.address)
	if fdlimit.Exhausted(err) { // the count said otherwise
		if c.pool.OutOfDescriptors != nil {
			c.pool.OutOfDescriptors()
		}
		if c.pool.EvictIdle() {
			conn, err = c.pool.dial(ctx, c.address)
		}
	}
	switch {
	case fdlimit.Exhausted(err):
		return Result{Outcome: outcomeNotSent, Err: err}
	case err != nil:
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	c.mu.Lock()
	c.socket, c.rawSocket = conn, raw
	closed := c.closed
	c.mu.Unlock()
	if closed {
		conn.Close()
		return Result{Outcome: balance.ConnectionRefused, Err: net.ErrClosed}
	}
	inTime := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer inTime()
	if _, err := conn.Write(pgwire.AppendStartup(nil, user, database)); err != nil {
		return Result{Outcome: balance.ConnectionRefused, Err: err}
	}
	for heard := 0; ; {
		m, err := c.nextMessage()
		if err != nil {
			return Result{Outcome: balance.ConnectionRefused, Err: err}
		}
		if heard += m.Size; heard > maxWelcomeBytes {
			return Result{Outcome: balance.ConnectionRefused, Err: errTooLong}
		}
		switch m.Kind {
		case pgwire.ReadyForQuery:
			c.in.Discard(m.Size)
			if c.in.Len() > 0 {
				return Result{Outcome: balance.ConnectionRefused, Err: errUnsolicited}
			}
			if !inTime() { // its deadline is spoilt
				return Result{Outcome: balance.ConnectionRefused, Err: context.DeadlineExceeded}
			}
			return Result{Outcome: balance.Succeeded}
		case pgwire.Authentication:
			if !pgwire.IsAuthOK(m.Body) {
				return Result{Outcome: balance.ConnectionRefused, Err: errors.New("asked to authenticate")}
			}
		case pgwire.ErrorResponse:
			code, err := pgwire.ErrorCode(m.Body)
			if err == nil && code == pgwire.CodeTooManyConnections {
				return Result{Outcome: balance.Busy}
			}
			return Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("error %s at the start: %w", code, err)}
		case pgwire.ParameterStatus, pgwire.BackendKeyData, pgwire.NoticeResponse:
		default:
			return Result{Outcome: balance.ConnectionRefused, Err: fmt.Errorf("%w: %q at the start", pgwire.ErrMalformed, m.Kind)}
		}
		c.in.Discard(m.Size)
	}
}

// nextMessage waits for the next whole message.
func (c *serverConn) nextMessage() (pgwire.Message, error) {
	for {
		m, err := pgwire.Next(c.in)
		if !errors.Is(err, pgwire.ErrShort) {
			return m, err
		}
		if err := c.in.Fill(c.socket); err != nil {
			return m, err
		}
	}
}

// nextReply is message of an answer: nothing may come while there is no attempt, and
// what has begun must go on coming.
func (c *serverConn) nextReply(begun bool) (pgwire.Message, error) {
	for {
		m, err := pgwire.Next(c.in)
		if !errors.Is(err, pgwire.ErrShort) {
			return m, err
		}
		if begun = begun || c.in.Len() > 0; begun {
			c.socket.SetReadDeadline(time.Now().Add(c.pool.StallTimeout))
		}
		if err := c.in.Fill(replyReader{c}); err != nil {
			return m, err
		}
	}
}

// replyReader reads what a data server says of its own accord or in answer. ReadQuota
// and looking whether there is an attempt are one step: else an attempt that
// begins in between would take what came before it for its answer.
type replyReader struct{ *serverConn }

func (l replyReader) Read(p []byte) (n int, err error) {
	heard := false
	wait := l.rawSocket.Read(func(fd uintptr) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		n, err = syscall.Read(int(fd), p)
		heard = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		l.unsolicited = l.unsolicited || heard && l.current == nil
		return heard || errors.Is(err, syscall.EINTR)
	})
	switch {
	case wait != nil:
		return 0, wait
	case err != nil:
		return 0, err
	case !heard: // interrupted
		return l.Read(p)
	case n == 0:
		return 0, io.EOF
	case l.isUnsolicited():
		return 0, errUnsolicited
	}
	return n, nil
}

func (c *serverConn) isUnsolicited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited
}

// hasUnread says whether bytes or the connection's end wait to be read, which the
// connection's goroutine has not come to yet: whatever they are, they are not the
// answer to what has not been asked.
func (c *serverConn) hasUnread() bool {
	waits := false
	err := c.rawSocket.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = !errors.Is(err, syscall.EAGAIN)
	})
	return waits || err != nil
}

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

// readAnswer reads messages up to the end of an attempt. Without an attempt it waits
// for one, or for the connection's end. keep says whether the connection is in
// a known state.
func (c *serverConn) readAnswer() (a *Attempt, res Result, keep bool) {
	var row []byte // the messages to pass on
	rows := 0
	var value []byte
	fail := func(err error) (*Attempt, Result, bool) {
		a := c.currentAttempt()
		res.Err = err
		var long *pgwire.TooLong
		if res.Outcome == 0 || errors.Is(err, pgwire.ErrMalformed) || errors.As(err, &long) {
			res = Result{Outcome: balance.ConnectionReset, Err: err}
		}
		return a, res, false
	}
	for heard := 0; ; {
		m, err := c.nextReply(row != nil || res.Outcome != 0)
		if err != nil {
			return fail(err)
		}
		if heard += m.Size; heard > maxAnswerBytes {
			return fail(errTooLong)
		}
		a = c.currentAttempt()
		switch m.Kind {
		case pgwire.ParameterStatus:
			name, text, err := pgwire.Parameter(m.Body)
			if err != nil {
				return fail(err)
			}
			if err := res.parameter(name, text, time.Now()); err != nil {
				return fail(err)
			}
		case pgwire.NoticeResponse, pgwire.NotificationMessage:
		case pgwire.RowDescription:
			if err := pgwire.OneColumn(m.Body); a == nil || err != nil || row != nil || res.Outcome != 0 {
				return fail(fmt.Errorf("%w: row description: %w", pgwire.ErrMalformed, err))
			}
			row = pgwire.Append(row, m.Kind, m.Body)
		case pgwire.DataRow:
			v, err := pgwire.Column(m.Body)
			if a == nil || err != nil || row == nil || rows > 0 {
				return fail(fmt.Errorf("%w: data row: %w", pgwire.ErrMalformed, err))
			}
			rows++
			row = pgwire.Append(row, m.Kind, m.Body)
			value = row[len(row)-len(v):]
		case pgwire.CommandComplete:
			if err := pgwire.OneRow(m.Body); a == nil || rows != 1 || res.Outcome != 0 || err != nil {
				return fail(fmt.Errorf("%w: end of a command with %d rows: %w", pgwire.ErrMalformed, rows, err))
			}
			hash := maphash.Bytes(rowHashSeed, row)
			if hash == c.previousRow && c.sinceSent() < c.pool.DuplicateWindow {
				return fail(fmt.Errorf("%w: a second copy of the answer before", pgwire.ErrMalformed))
			}
			c.previousRow = hash
			res.Outcome, res.Answer, res.Value = balance.Succeeded, pgwire.Append(row, m.Kind, m.Body), value
		case pgwire.ErrorResponse:
			code, err := pgwire.ErrorCode(m.Body)
			if a == nil || err != nil || res.Outcome != 0 {
				return fail(fmt.Errorf("%w: error %s out of place", pgwire.ErrMalformed, code))
			}
			res.Outcome, res.ServerErrorCode = outcomeOf(code), code
		case pgwire.ReadyForQuery:
			if a == nil || res.Outcome == 0 || string(m.Body) != "I" {
				return fail(fmt.Errorf("%w: ready out of place", pgwire.ErrMalformed))
			}
			c.in.Discard(m.Size)
			return a, res, c.in.Len() == 0
		default:
			return fail(fmt.Errorf("%w: %q in an answer", pgwire.ErrMalformed, m.Kind))
		}
		c.in.Discard(m.Size)
	}
}

// sinceSent is how long ago the attempt's query went out.
func (c *serverConn) sinceSent() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.sentAt)
}

func (c *serverConn) currentAttempt() *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// outcomeOf says what an error code tells of an attempt.
func outcomeOf(code string) balance.Outcome {
	switch code {
	case pgwire.CodeReadOnly, pgwire.CodeTooFarBehind:
		return balance.NotEligible
	case pgwire.CodeTooManyConnections:
		return balance.Busy
	}
	return balance.Failed
}

// parameter takes in what a data server says of its role and position. What
// can't be one spoils the answer.
func (r *Result) parameter(name, text string, now time.Time) error {
	switch name {
	case "rank":
		switch text {
		case "source":
			r.Role = balance.Primary
		case "copy":
			r.Role = balance.Replica
		default:
			return fmt.Errorf("%w: rank %.20q", pgwire.ErrMalformed, text)
		}
	case "as_of":
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 || ms > now.Add(maxClockAhead).UnixMilli() {
			return fmt.Errorf("%w: position %.20q", pgwire.ErrMalformed, text)
		}
		r.Position = ms * 1e6
	}
	return nil
}
