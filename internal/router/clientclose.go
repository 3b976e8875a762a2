package router

import (
	"errors"
	"log/slog"
	"os"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
)

// pastDeadline is a read deadline that wakes the reader of a connection at once.
var pastDeadline = time.Unix(1, 0)

// lingeringClose closes the sending side of the connection, and then reads and discards input until the client closes
// its side or a limit on time or bytes is reached. Closing a connection with unread bytes resets it, and the reset can
// overtake the last messages that were written. Requests that are read here are not served, as their answers could not
// be delivered.
//
// The reader closes connections in this way if the client received a fatal error, as there may be more input behind the
// message that caused it, or if the client pipelines requests. Any other client has all its answers before it sends its
// next request; a request that arrives during the close stays unread, so that the client may send it elsewhere.
func (client *client) lingeringClose() {
	sender, ok := client.conn.(interface{ CloseWrite() error })
	if !ok || sender.CloseWrite() != nil {
		return
	}
	if client.beginLingering(time.Now()) != nil {
		return
	}
	for dropped := 0; dropped < client.input.Cap(); dropped += client.input.Discard(client.input.Len()) {
		if client.input.Fill(client.conn) != nil || client.paceInput(0, client.input.Len()) != nil {
			return
		}
	}
}

func (client *client) beginLingering(now time.Time) error {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.lingering, client.lingeringSince = true, now
	return client.conn.SetReadDeadline(now.Add(client.router.timeouts.lingeringClose))
}

// wakeReader makes the reader check at once why it was woken. Setting the deadline fails only on a connection that is
// closed, which the reader notices by itself.
func (client *client) wakeReader() {
	if err := client.conn.SetReadDeadline(pastDeadline); err != nil {
		slog.Debug("client", "err", err)
	}
}

// fatalCode returns the code of the error that a client gets before its connection is closed, and its field D, the
// Retry-After time. The code is empty if the client closed the connection itself or is closed without an error.
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

// closeCause returns why the reader stopped. An eviction by the admission controller takes precedence over the timeout
// or the regular end that it caused.
func (client *client) closeCause(err error) error {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.rejection == nil {
		return err
	}
	var rejected *rejection
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errDone) || errors.As(err, &rejected) {
		return client.rejection
	}
	return err
}

// rejectUnserved returns one rejection for each complete query in the input buffer behind a rejected query. As the
// fatal error, which is sent last, is an answer too, the client gets as many answers as it has sent queries.
func (client *client) rejectUnserved(err error) (answers []byte) {
	var rejected *rejection
	if !errors.As(err, &rejected) {
		return nil
	}
	for {
		message, err := pgwire.Next(client.input)
		if err != nil {
			return answers
		}
		if message.Kind == pgwire.Query {
			answers = append(answers, rejectedAnswer(rejected.retryAfter, &rejectionReason{text: rejected.text})...)
		}
		client.input.Discard(message.Size)
	}
}

// evict ends the connection for the admission controller. The reader sends the rejection; if that is nil, it closes the
// connection without one, since a query may be in transit, which the client can then send elsewhere.
func (client *client) evict(rejected *rejection) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if !client.lingering { // a lingering client has got its last message; waking its reader ends the lingering
		client.rejection = rejected
		client.displaced = rejected == nil
		client.closing = client.closing || client.displaced
	}
	client.wakeReader()
}

// awaitOpenRequests waits for the open requests for at most the timeout, and only while the client is connected.
func (client *client) awaitOpenRequests(timeout time.Duration) {
	client.mu.Lock()
	answered := client.lastAnswered
	client.mu.Unlock()
	if err := client.pause(timeout, answered); err != nil {
		slog.Debug("client", "err", err)
	}
}
