package router

import (
	"errors"
	"log/slog"
	"os"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
)

// pastDeadline wakes the reader of a connection at once.
var pastDeadline = time.Unix(1, 0)

// lingeringClose ends the sending and then reads and drops what still comes, up to the client's own end and within bounds
// in time and bytes. Closed over unread bytes, the connection would be reset, and the reset can overtake what was written.
// Nothing that is read here is served: its answer could not arrive any more.
//
// It is for who has got an error, as more may stand behind what caused it, and for who sends without waiting. Any other
// client has all its answers by the time that more of it comes; what crosses its close stays unread, so that it may send
// it elsewhere.
func (c *client) lingeringClose() {
	sender, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || sender.CloseWrite() != nil {
		return
	}
	if c.beginLingering(time.Now()) != nil {
		return
	}
	for dropped := 0; dropped < c.input.Cap(); dropped += c.input.Discard(c.input.Len()) {
		if c.input.Fill(c.conn) != nil {
			return
		}
	}
}

func (c *client) beginLingering(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering, c.lingeringSince = true, now
	return c.conn.SetReadDeadline(now.Add(c.router.timeouts.lingeringClose))
}

// wakeReader has the reader look at once why it was woken. A connection that has no deadlines any more has ended, which
// the reader sees by itself.
func (c *client) wakeReader() {
	if err := c.conn.SetReadDeadline(pastDeadline); err != nil {
		slog.Debug("client", "err", err)
	}
}

// fatalCode is the code of the error that a client gets before its connection is closed, none where it closed or has gone;
// and when to come again, as the field D tells it.
func fatalCode(err error) (code, retryAfter string) {
	var tooLong *pgwire.TooLongError
	var rejected *rejection
	switch {
	case errors.As(err, &rejected):
		return pgwire.CodeTooManyConnections, retryAfterField(rejected.retryAfter)
	case errors.Is(err, errDraining):
		return pgwire.CodeCannotConnect, ""
	case errors.Is(err, pgwire.ErrMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		return pgwire.CodeProtocolViolation, ""
	case errors.As(err, &tooLong):
		return pgwire.CodeTooLarge, ""
	case errors.Is(err, ringbuffer.ErrFull):
		return pgwire.CodeOutOfMemory, ""
	}
	return "", ""
}

// closeCause is why the reading ended: where admission has evicted the client, that.
func (c *client) closeCause(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejection == nil {
		return err
	}
	var rejected *rejection
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errDone) || errors.As(err, &rejected) {
		return c.rejection
	}
	return err
}

// rejectUnserved answers the queries that were read behind one that is rejected: the fatal error at the end is the answer
// to one of them, the rest get theirs first.
func (c *client) rejectUnserved(err error) (answers []byte) {
	var rejected *rejection
	if !errors.As(err, &rejected) {
		return nil
	}
	for {
		message, err := pgwire.Next(c.input)
		if err != nil {
			return answers
		}
		if message.Kind == pgwire.Query {
			answers = append(answers, rejectedAnswer(rejected.retryAfter, &rejectionReason{text: rejected.text})...)
		}
		c.input.Discard(message.Size)
	}
}

// evict ends the connection for admission: with a rejection, which the reader sends, or, where that is nil, by closing it,
// since a query may be on its way.
func (c *client) evict(rejected *rejection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingering { // else its last message is sent, and its place is wanted now
		c.rejection = rejected
		c.displaced = rejected == nil
		c.closing = c.closing || c.displaced
	}
	c.wakeReader()
}

// awaitOpenRequests waits for the open requests, but not for long, and not for a client that has gone.
func (c *client) awaitOpenRequests(timeout time.Duration) {
	c.mu.Lock()
	answered := c.lastAnswered
	c.mu.Unlock()
	if err := c.pause(timeout, answered); err != nil {
		slog.Debug("client", "err", err)
	}
}
