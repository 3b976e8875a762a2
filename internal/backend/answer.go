package backend

import (
	"errors"
	"fmt"
	"hash/maphash"
	"strconv"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
)

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
