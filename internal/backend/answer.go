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

// maxClockAhead is what a commit's position, which is rounded up, may be in the future.
const maxClockAhead = 2 * time.Millisecond

// rowHashSeed is for the rows' hashes: a row itself may be large, and would stay with each idle connection.
var rowHashSeed = maphash.MakeSeed()

// answer is what has come of one answer. Each message must be the next that a data server may send.
type answer struct {
	attempt  *Attempt // nil: the connection is idle
	messages []byte   // to pass on; nil: none has come
	rows     int
	value    []byte
	result   Result
	complete bool
}

// readAnswer reads messages up to the end of an attempt. Without an attempt it waits for one, or for the connection's end.
// keep says whether the connection is in a known state.
func (c *serverConn) readAnswer() (attempt *Attempt, result Result, keep bool) {
	var a answer
	for received := 0; !a.complete; {
		message, err := c.nextReply(a.messages != nil || a.result.Outcome != 0)
		if err == nil {
			if received += message.Size; received > maxAnswerBytes {
				err = errTooLong
			}
		}
		if err == nil {
			a.attempt = c.currentAttempt()
			err = c.addMessage(&a, message)
		}
		if err != nil {
			return c.currentAttempt(), a.fail(err), false
		}
		c.in.Discard(message.Size)
	}
	return a.attempt, a.result, c.in.Len() == 0
}

// fail is the result of an answer that broke off: what was complete before counts, unless what followed is malformed.
func (a *answer) fail(err error) Result {
	var tooLong *pgwire.TooLong
	if a.result.Outcome == 0 || errors.Is(err, pgwire.ErrMalformed) || errors.As(err, &tooLong) {
		return Result{Outcome: balance.ConnectionReset, Err: err}
	}
	a.result.Err = err
	return a.result
}

// addMessage takes in the next message of an answer.
func (c *serverConn) addMessage(a *answer, message pgwire.Message) error {
	switch message.Kind {
	case pgwire.ParameterStatus:
		return a.result.addParameter(message.Body, time.Now())
	case pgwire.NoticeResponse, pgwire.NotificationMessage:
		return nil
	case pgwire.RowDescription:
		return a.addDescription(message)
	case pgwire.DataRow:
		return a.addRow(message)
	case pgwire.CommandComplete:
		return c.addComplete(a, message)
	case pgwire.ErrorResponse:
		return a.addError(message)
	case pgwire.ReadyForQuery:
		return a.addReady(message)
	}
	return fmt.Errorf("%w: %q in an answer", pgwire.ErrMalformed, message.Kind)
}

func (a *answer) addDescription(message pgwire.Message) error {
	err := pgwire.OneColumn(message.Body)
	if a.attempt == nil || err != nil || a.messages != nil || a.result.Outcome != 0 {
		return fmt.Errorf("%w: row description: %w", pgwire.ErrMalformed, err)
	}
	a.messages = pgwire.Append(a.messages, message.Kind, message.Body)
	return nil
}

func (a *answer) addRow(message pgwire.Message) error {
	value, err := pgwire.Column(message.Body)
	if a.attempt == nil || err != nil || a.messages == nil || a.rows > 0 {
		return fmt.Errorf("%w: data row: %w", pgwire.ErrMalformed, err)
	}
	a.rows++
	a.messages = pgwire.Append(a.messages, message.Kind, message.Body)
	a.value = a.messages[len(a.messages)-len(value):]
	return nil
}

func (c *serverConn) addComplete(a *answer, message pgwire.Message) error {
	err := pgwire.OneRow(message.Body)
	if a.attempt == nil || a.rows != 1 || a.result.Outcome != 0 || err != nil {
		return fmt.Errorf("%w: end of a command with %d rows: %w", pgwire.ErrMalformed, a.rows, err)
	}
	hash := maphash.Bytes(rowHashSeed, a.messages)
	if hash == c.previousRow && c.sinceSent() < c.pool.DuplicateWindow {
		return fmt.Errorf("%w: a second copy of the answer before", pgwire.ErrMalformed)
	}
	c.previousRow = hash
	a.result.Outcome = balance.Succeeded
	a.result.Answer = pgwire.Append(a.messages, message.Kind, message.Body)
	a.result.Value = a.value
	return nil
}

func (a *answer) addError(message pgwire.Message) error {
	code, err := pgwire.ErrorCode(message.Body)
	if a.attempt == nil || err != nil || a.result.Outcome != 0 {
		return fmt.Errorf("%w: error %s out of place", pgwire.ErrMalformed, code)
	}
	a.result.Outcome, a.result.ServerErrorCode = outcomeOf(code), code
	return nil
}

func (a *answer) addReady(message pgwire.Message) error {
	const idle = "I"
	if a.attempt == nil || a.result.Outcome == 0 || string(message.Body) != idle {
		return fmt.Errorf("%w: ready out of place", pgwire.ErrMalformed)
	}
	a.complete = true
	return nil
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

// addParameter takes in what a data server reports of its role and position. What can't be one spoils the answer.
func (r *Result) addParameter(body []byte, now time.Time) error {
	name, text, err := pgwire.Parameter(body)
	if err != nil {
		return err
	}
	switch name {
	case "rank":
		return r.setRole(text)
	case "as_of":
		return r.setPosition(text, now)
	}
	return nil
}

func (r *Result) setRole(text string) error {
	switch text {
	case "source":
		r.Role = balance.Primary
	case "copy":
		r.Role = balance.Replica
	default:
		return fmt.Errorf("%w: rank %.20q", pgwire.ErrMalformed, text)
	}
	return nil
}

func (r *Result) setPosition(text string, now time.Time) error {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > now.Add(maxClockAhead).UnixMilli() {
		return fmt.Errorf("%w: position %.20q", pgwire.ErrMalformed, text)
	}
	r.Position = ms * int64(time.Millisecond)
	return nil
}
