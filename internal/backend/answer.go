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

// maxClockAhead is how far in the future a reported commit position may be: data servers round the position up.
const maxClockAhead = 2 * time.Millisecond

// answerTailBytes is the space for the messages behind the row, so that an answer, which may be held for long, has no
// more memory than it needs.
const answerTailBytes = 64

// answerHashSeed seeds the hashes of answers. To detect duplicates, each connection stores the hash of its previous
// answer instead of the answer, which may be large.
var answerHashSeed = maphash.MakeSeed()

// partialAnswer collects the messages of one answer and checks that their order is valid.
type partialAnswer struct {
	attempt  *Attempt // nil while the connection is idle
	messages []byte   // to forward to the client; nil before the first
	rows     int
	value    []byte
	result   Result
	complete bool
	hash     maphash.Hash // of all messages but ReadyForQuery
	sameRow  bool         // its row equals that of the previous answer, and it came within the duplicate window
}

// readAnswer reads the messages of one answer, up to ReadyForQuery. On an idle connection it blocks until an attempt
// starts or the connection ends. keep reports whether the connection is in a known state and may be reused.
func (conn *serverConn) readAnswer() (attempt *Attempt, result Result, keep bool) {
	var answer partialAnswer
	answer.hash.SetSeed(answerHashSeed)
	for received := 0; !answer.complete; {
		message, err := conn.nextReply(answer.messages != nil || answer.result.Outcome != 0)
		if err == nil {
			if received += message.Size; received > maxAnswerBytes {
				err = errTooLong
			}
		}
		if err == nil {
			answer.attempt = conn.currentAttempt()
			err = conn.addMessage(&answer, message)
		}
		if err != nil {
			return conn.currentAttempt(), answer.fail(err), false
		}
		conn.in.Discard(message.Size)
	}
	return answer.attempt, answer.result, conn.in.Len() == 0
}

// fail returns the result of an answer that ended with an error. If the outcome was already known before the error, it
// remains, unless the error is a malformed or too long message, or the answer may be a duplicate (see addReady).
func (answer *partialAnswer) fail(err error) Result {
	var tooLong *pgwire.TooLongError
	if answer.result.Outcome == 0 || answer.sameRow || errors.Is(err, pgwire.ErrMalformed) || errors.As(err, &tooLong) {
		return Result{Outcome: balance.ConnectionReset, Err: err}
	}
	answer.result.Err = err
	return answer.result
}

// addMessage adds the next message to an answer, or returns an error if it may not come at this point.
func (conn *serverConn) addMessage(answer *partialAnswer, message pgwire.Message) error {
	if message.Kind != pgwire.ReadyForQuery {
		answer.hash.WriteByte(message.Kind)
		answer.hash.Write(message.Body)
	}
	switch message.Kind {
	case pgwire.ParameterStatus:
		return answer.result.addParameter(message.Body, time.Now())
	case pgwire.NoticeResponse, pgwire.NotificationMessage:
		return nil
	case pgwire.RowDescription:
		return answer.addDescription(message)
	case pgwire.DataRow:
		return answer.addRow(message)
	case pgwire.CommandComplete:
		return conn.addComplete(answer, message)
	case pgwire.ErrorResponse:
		return answer.addError(message)
	case pgwire.ReadyForQuery:
		return conn.addReady(answer, message)
	}
	return fmt.Errorf("%w: unexpected message %q in an answer", pgwire.ErrMalformed, message.Kind)
}

func (answer *partialAnswer) addDescription(message pgwire.Message) error {
	err := pgwire.CheckOneColumn(message.Body)
	if answer.attempt == nil || err != nil || answer.messages != nil || answer.result.Outcome != 0 {
		return fmt.Errorf("%w: row description: %w", pgwire.ErrMalformed, err)
	}
	answer.messages = pgwire.Append(answer.messages, message.Kind, message.Body)
	return nil
}

func (answer *partialAnswer) addRow(message pgwire.Message) error {
	value, err := pgwire.Column(message.Body)
	if answer.attempt == nil || err != nil || answer.messages == nil || answer.rows > 0 {
		return fmt.Errorf("%w: data row: %w", pgwire.ErrMalformed, err)
	}
	answer.rows++
	description := answer.messages
	answer.messages = append(make([]byte, 0, len(description)+message.Size+answerTailBytes), description...)
	answer.messages = pgwire.Append(answer.messages, message.Kind, message.Body)
	answer.value = answer.messages[len(answer.messages)-len(value):]
	return nil
}

func (conn *serverConn) addComplete(answer *partialAnswer, message pgwire.Message) error {
	err := pgwire.CheckOneRow(message.Body)
	if answer.attempt == nil || answer.rows != 1 || answer.result.Outcome != 0 || err != nil {
		return fmt.Errorf("%w: CommandComplete after %d rows: %w", pgwire.ErrMalformed, answer.rows, err)
	}
	row := maphash.Bytes(answerHashSeed, answer.messages)
	answer.sameRow = row == conn.previousRow && conn.sinceSent() < conn.pool.DuplicateWindow
	conn.previousRow = row
	answer.result.Outcome = balance.Succeeded
	answer.result.Answer = pgwire.Append(answer.messages, message.Kind, message.Body)
	answer.result.Value = answer.value
	return nil
}

func (answer *partialAnswer) addError(message pgwire.Message) error {
	code, err := pgwire.ErrorCode(message.Body)
	if answer.attempt == nil || err != nil || answer.result.Outcome != 0 {
		return fmt.Errorf("%w: unexpected error response %s", pgwire.ErrMalformed, code)
	}
	answer.result.Outcome, answer.result.ServerErrorCode = outcomeOf(code), code
	return nil
}

// addReady ends an answer, unless it is a duplicate. A second copy of the previous answer that crosses a query looks
// like the answer to it. The copy equals that answer in everything, also in the role and position that it reports, which
// are known already. An answer with the same row that reports another role or position is no copy.
func (conn *serverConn) addReady(answer *partialAnswer, message pgwire.Message) error {
	const idle = "I"
	if answer.attempt == nil || answer.result.Outcome == 0 || string(message.Body) != idle {
		return fmt.Errorf("%w: unexpected ReadyForQuery", pgwire.ErrMalformed)
	}
	if answer.result.Outcome == balance.Succeeded {
		hash := answer.hash.Sum64()
		if answer.sameRow && hash == conn.previousAnswer {
			return fmt.Errorf("%w: duplicate of the previous answer", pgwire.ErrMalformed)
		}
		conn.previousAnswer = hash
	}
	answer.complete = true
	return nil
}

// sinceSent returns the time since the current attempt's query was sent.
func (conn *serverConn) sinceSent() time.Duration {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return time.Since(conn.sentAt)
}

func (conn *serverConn) currentAttempt() *Attempt {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.current
}

// outcomeOf maps the error code of a data server to the outcome of an attempt.
func outcomeOf(code string) balance.Outcome {
	switch code {
	case pgwire.CodeReadOnly, pgwire.CodeTooFarBehind:
		return balance.NotEligible
	case pgwire.CodeTooManyConnections:
		return balance.Busy
	}
	return balance.Failed
}

// addParameter records the role or position that a data server reports. An invalid value makes the whole answer
// malformed.
func (result *Result) addParameter(body []byte, now time.Time) error {
	name, text, err := pgwire.Parameter(body)
	if err != nil {
		return err
	}
	switch name {
	case "rank":
		return result.setRole(text)
	case "as_of":
		return result.setPosition(text, now)
	}
	return nil
}

func (result *Result) setRole(text string) error {
	switch text {
	case "source":
		result.Role = balance.Primary
	case "copy":
		result.Role = balance.Replica
	default:
		return fmt.Errorf("%w: rank %.20q", pgwire.ErrMalformed, text)
	}
	return nil
}

func (result *Result) setPosition(text string, now time.Time) error {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > now.Add(maxClockAhead).UnixMilli() {
		return fmt.Errorf("%w: position %.20q", pgwire.ErrMalformed, text)
	}
	result.Position = ms * int64(time.Millisecond)
	return nil
}
