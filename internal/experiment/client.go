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

// client is one connection of a client.
type client struct {
	conn net.Conn
	in   *ringbuffer.Buffer
}

// outcome is how a request ended for its client.
type outcome int

const (
	served  outcome = iota
	refused         // it may come again
	failed          // an error
	lost            // no whole answer, or one that is not this request's
	late            // its time ran out
	nowhere         // no connection came up
	waiting         // every client still waited for an answer: it was never sent
	outcomes
)

var outcomeNames = [outcomes]string{"served", "refused", "failed", "lost", "late", "nowhere", "waiting"}

// answer is what came back.
type answer struct {
	outcome outcome
	value   string
	back    time.Duration // when to come again; 0: not told
	text    string        // of an error
	fatal   bool
}

// dial connects from an address and starts a session.
func dial(addr, from, user string, until time.Time) (*client, error) {
	d := net.Dialer{Deadline: until}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &client{conn, ringbuffer.New(2 << 20)}
	conn.SetDeadline(until)
	if _, err := conn.Write(pgwire.AppendStartup(nil, user, "catalog")); err != nil && !strings.Contains(err.Error(), "reset") {
		conn.Close()
		return nil, err
	}
	for {
		m, err := c.next()
		switch {
		case err != nil:
			conn.Close()
			return nil, err
		case m.Kind == pgwire.ErrorResponse:
			a := c.problem(m)
			conn.Close()
			return nil, &rejectedError{a}
		case m.Kind == pgwire.ReadyForQuery:
			c.in.Discard(m.Size)
			return c, nil
		}
		c.in.Discard(m.Size)
	}
}

// rejectedError is a connection that was rejected with an error message.
type rejectedError struct{ answer }

// Error implements the error interface.
func (t *rejectedError) Error() string { return "turned away: " + t.text }

func (c *client) next() (pgwire.Message, error) {
	for {
		m, err := pgwire.Next(c.in)
		if !errors.Is(err, pgwire.ErrIncomplete) {
			return m, err
		}
		if err := c.in.Fill(c.conn); err != nil {
			return m, err
		}
	}
}

// problem reads an error.
func (c *client) problem(m pgwire.Message) answer {
	code, _ := pgwire.ErrorCode(m.Body)
	a := answer{outcome: failed}
	if code == pgwire.CodeTooManyConnections || code == "57P03" {
		a.outcome = refused
	}
	for f := range strings.SplitSeq(string(m.Body), "\x00") {
		switch {
		case strings.HasPrefix(f, "M"):
			a.text = f[1:]
		case strings.HasPrefix(f, "D"):
			if d, err := time.ParseDuration(f[1:] + "ms"); err == nil {
				a.back = d
			}
		case f == "SFATAL":
			a.fatal = true
		}
	}
	return a
}

// query sends a query and reads its complete answer.
func (c *client) query(query []byte, until time.Time) (answer, error) {
	c.conn.SetDeadline(until)
	if _, err := c.conn.Write(query); err != nil {
		return answer{}, err
	}
	return c.readAnswer()
}

// readAnswer reads one complete answer.
func (c *client) readAnswer() (answer, error) {
	a := answer{outcome: lost}
	for {
		m, err := c.next()
		if err != nil {
			return a, err
		}
		switch m.Kind {
		case pgwire.DataRow:
			v, err := pgwire.Column(m.Body)
			if err != nil {
				return a, err
			}
			a.value = string(v)
		case pgwire.CommandComplete, pgwire.EmptyQueryResponse:
			a.outcome = served
		case pgwire.ErrorResponse:
			a = c.problem(m)
			if a.fatal {
				c.in.Discard(m.Size)
				return a, nil
			}
		case pgwire.ReadyForQuery:
			c.in.Discard(m.Size)
			return a, nil
		}
		c.in.Discard(m.Size)
	}
}

// request is what a client asks for.
type request struct {
	id, class, key string
	oid            string // of the row, which names the session
	group          int64
	after          int64 // Unix ms; 0: none
	wait           time.Duration
	retry          bool
}

func (r *request) query() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "/* id=%s,c=%s,d=%d,cluster=%d", r.id, r.class, max(1, r.wait.Milliseconds()), r.group)
	if r.key != "" {
		fmt.Fprintf(&b, ",k=%s", r.key)
	}
	if r.retry {
		b.WriteString(",r=1")
	}
	if r.after > 0 {
		fmt.Fprintf(&b, ",after=%d", r.after)
	}
	if r.key != "" {
		fmt.Fprintf(&b, " */ INSERT INTO objects (oid, body) VALUES ('%s', '\\x9f03') RETURNING body", r.oid)
	} else {
		fmt.Fprintf(&b, " */ SELECT body FROM objects WHERE oid = '%s'", r.oid)
	}
	return pgwire.AppendQuery(nil, b.String())
}

// theirs says whether a value is what a data server makes for this request.
func (r *request) theirs(value string) bool {
	if r.key != "" {
		return value == "k:"+r.key
	}
	return value == "v:"+r.id
}

// ended says how a request ended when its connection broke.
func ended(err error) outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return late
	case errors.Is(err, io.EOF):
		return lost
	}
	return lost
}
