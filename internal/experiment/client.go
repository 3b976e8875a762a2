package experiment

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
)

// clientConn is one connection of a simulated client to a router or data server.
type clientConn struct {
	conn net.Conn
	in   *ringbuffer.Buffer
}

// outcome is how a request ended, as its client saw it.
type outcome int

const (
	served      outcome = iota
	rejected            // rejected with an error that permits a retry
	failed              // answered with any other error
	lost                // answered incompletely, or with the answer to another request
	late                // not answered before the deadline
	unreachable         // not sent: no connection could be established
	waiting             // not sent because every client of the load was still waiting; in a soak: sent and not answered
	outcomes
)

var outcomeNames = [outcomes]string{"served", "refused", "failed", "lost", "late", "nowhere", "waiting"}

// answer is the result of a request, as its client saw it.
type answer struct {
	outcome    outcome
	value      string
	retryAfter time.Duration // the retry delay that an error message asks for; 0: none
	text       string        // the message of an error
	fatal      bool          // the error has severity FATAL: the router closes the connection
}

// dial connects to a server and starts a session. A non-empty from is the local address of the connection.
func dial(addr, from, user string, deadline time.Time) (*clientConn, error) {
	dialer := net.Dialer{Deadline: deadline}
	if from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	raw, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	conn := &clientConn{raw, ringbuffer.New(2 << 20)}
	raw.SetDeadline(deadline)
	if _, err := raw.Write(pgwire.AppendStartup(nil, user, "catalog")); err != nil && !strings.Contains(err.Error(), "reset") {
		raw.Close()
		return nil, err
	}
	for {
		message, err := conn.next()
		switch {
		case err != nil:
			raw.Close()
			return nil, err
		case message.Kind == pgwire.ErrorResponse:
			result := conn.parseError(message)
			raw.Close()
			return nil, &rejectionError{result}
		case message.Kind == pgwire.ReadyForQuery:
			conn.in.Discard(message.Size)
			return conn, nil
		}
		conn.in.Discard(message.Size)
	}
}

// rejectionError says that the server rejected a connection during startup with an error message.
type rejectionError struct{ answer }

// Error implements the error interface.
func (e *rejectionError) Error() string { return "connection rejected: " + e.text }

// next returns the next message, which stays in the buffer until the caller discards it.
func (connection *clientConn) next() (pgwire.Message, error) {
	for {
		message, err := pgwire.Next(connection.in)
		if !errors.Is(err, pgwire.ErrIncomplete) {
			return message, err
		}
		if err := connection.in.Fill(connection.conn); err != nil {
			return message, err
		}
	}
}

// parseError converts an ErrorResponse message to an answer.
func (connection *clientConn) parseError(message pgwire.Message) answer {
	code, _ := pgwire.ErrorCode(message.Body)
	result := answer{outcome: failed}
	if code == pgwire.CodeTooManyConnections || code == "57P03" {
		result.outcome = rejected
	}
	for field := range strings.SplitSeq(string(message.Body), "\x00") {
		switch {
		case strings.HasPrefix(field, "M"):
			result.text = field[1:]
		case strings.HasPrefix(field, "D"):
			if delay, err := time.ParseDuration(field[1:] + "ms"); err == nil {
				result.retryAfter = delay
			}
		case field == "SFATAL":
			result.fatal = true
		}
	}
	return result
}

// query sends a query and reads its complete answer.
func (connection *clientConn) query(query []byte, deadline time.Time) (answer, error) {
	connection.conn.SetDeadline(deadline)
	if _, err := connection.conn.Write(query); err != nil {
		return answer{}, err
	}
	return connection.readAnswer()
}

// readAnswer reads one complete answer.
func (connection *clientConn) readAnswer() (answer, error) {
	result := answer{outcome: lost}
	for {
		message, err := connection.next()
		if err != nil {
			return result, err
		}
		switch message.Kind {
		case pgwire.DataRow:
			column, err := pgwire.Column(message.Body)
			if err != nil {
				return result, err
			}
			result.value = string(column)
		case pgwire.CommandComplete, pgwire.EmptyQueryResponse:
			result.outcome = served
		case pgwire.ErrorResponse:
			result = connection.parseError(message)
			if result.fatal {
				connection.in.Discard(message.Size)
				return result, nil
			}
		case pgwire.ReadyForQuery:
			connection.in.Discard(message.Size)
			return result, nil
		}
		connection.in.Discard(message.Size)
	}
}

// request is one request of a simulated client.
type request struct {
	id, class, key string
	objectID       string // object ID of the row; it identifies the session
	group          int64
	minPosition    int64         // position (Unix ms) that a read must include; 0: none
	timeout        time.Duration // how long the client waits for the answer
	retry          bool          // marked as the client's own retry
}

// query encodes the request as a query message with its metadata in a comment.
func (req *request) query() []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "/* id=%s,c=%s,d=%d,cluster=%d", req.id, req.class, max(1, req.timeout.Milliseconds()), req.group)
	if req.key != "" {
		fmt.Fprintf(&text, ",k=%s", req.key)
	}
	if req.retry {
		text.WriteString(",r=1")
	}
	if req.minPosition > 0 {
		fmt.Fprintf(&text, ",after=%d", req.minPosition)
	}
	if req.key != "" {
		fmt.Fprintf(&text, " */ INSERT INTO objects (oid, body) VALUES ('%s', '\\x9f03') RETURNING body", req.objectID)
	} else {
		fmt.Fprintf(&text, " */ SELECT body FROM objects WHERE oid = '%s'", req.objectID)
	}
	return pgwire.AppendQuery(nil, text.String())
}

// matches reports whether a value is the one that a data server returns for this request.
func (req *request) matches(value string) bool {
	if req.key != "" {
		return value == "k:"+req.key
	}
	return value == "v:"+req.id
}

// failureOutcome returns the outcome of a request whose connection failed with err.
func failureOutcome(err error) outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return late
	case errors.Is(err, io.EOF):
		return lost
	}
	return lost
}
