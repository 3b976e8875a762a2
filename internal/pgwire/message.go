// Package pgwire encodes and decodes PostgreSQL's wire protocol, version 3, as far as routers, their clients and data
// servers use it: startup and simple queries. It performs no I/O and makes no routing decisions.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"lotushook/internal/ringbuffer"
)

// The kinds of messages: their first byte on the wire.
const (
	Query               = 'Q'
	Terminate           = 'X'
	Parse               = 'P'
	Bind                = 'B'
	Describe            = 'D'
	Execute             = 'E'
	Close               = 'C'
	Flush               = 'H'
	Sync                = 'S'
	FunctionCall        = 'F'
	Authentication      = 'R'
	ParameterStatus     = 'S'
	BackendKeyData      = 'K'
	ReadyForQuery       = 'Z'
	RowDescription      = 'T'
	DataRow             = 'D'
	CommandComplete     = 'C'
	EmptyQueryResponse  = 'I'
	ErrorResponse       = 'E'
	NoticeResponse      = 'N'
	NotificationMessage = 'A'
)

// The error codes that routers or data servers use in an ErrorResponse.
const (
	CodeProtocolViolation  = "08P01"
	CodeNotSupported       = "0A000"
	CodeReadOnly           = "25006" // a write sent to a server that is not the primary
	CodeTooFarBehind       = "72000"
	CodeSyntax             = "42601"
	CodeTooManyConnections = "53300"
	CodeCannotConnect      = "57P03" // the request did not run and may be retried at another server
	CodeTooLarge           = "54000"
	CodeOutOfMemory        = "53200"
	CodeInvalidParameter   = "22023"
	CodeInvalidCursor      = "55000" // a change feed can't continue from the subscriber's cursor
	CodeFailed             = "58000" // a request failed at the router; whether the request ran is unknown
	CodeQueryCanceled      = "57014" // canceled by the client's CancelRequest
)

const (
	headerSize       = 5 // the kind and the length of a message
	protocolVersion3 = 196608
	sslCode          = 80877103
	gssCode          = 80877104
	cancelCode       = 80877102
	maxMessageLength = 1 << 30
	maxStartup       = 10000 // the limit of PostgreSQL itself
)

// ErrMalformed is wrapped by errors about messages that violate the protocol. The router sends such errors to clients.
var ErrMalformed = errors.New("malformed message")

// ErrIncomplete reports a message that has not been received completely.
var ErrIncomplete = errors.New("message not whole yet")

// Message is one message. Its body is valid until its buffer changes.
type Message struct {
	Kind byte
	Body []byte
	Size int // the total size on the wire
}

// TooLongError is a message that exceeds the capacity of its buffer. The framing is intact: the next message begins
// after Size bytes.
type TooLongError struct {
	Kind byte
	Size int
}

// Error implements the error interface.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("message %q of %d bytes is too long", e.Kind, e.Size)
}

// Next returns the first message in the buffer. The error is ErrIncomplete if the message is incomplete, a
// *TooLongError, or one that wraps ErrMalformed. The caller discards Size bytes once it has processed the message.
func Next(buffer *ringbuffer.Buffer) (Message, error) {
	header := buffer.Peek(headerSize)
	if len(header) < headerSize {
		return Message{}, ErrIncomplete
	}
	kind, length := header[0], int(int32(binary.BigEndian.Uint32(header[1:])))
	if length < 4 || length > maxMessageLength {
		return Message{}, fmt.Errorf("%w: %q of length %d", ErrMalformed, kind, length)
	}
	size := length + 1
	if size > buffer.Cap() {
		return Message{}, &TooLongError{kind, size}
	}
	if buffer.Len() < size { // the buffer grows with the bytes received, not with the announced length
		buffer.Expect(size)
		return Message{}, ErrIncomplete
	}
	return Message{kind, buffer.Peek(size)[headerSize:], size}, nil
}

// StartKind is the kind of the first message on a connection.
type StartKind int

// The kinds of first messages.
const (
	Startup        StartKind = iota + 1 // begins a session
	EncryptRequest                      // asks for TLS or GSS; answered with N, and another first message follows
	CancelRequest                       // never answered
)

// NextStart returns the kind and size of the first message on a connection, which has no kind byte. Its errors are
// those of Next.
func NextStart(buffer *ringbuffer.Buffer) (StartKind, int, error) {
	header := buffer.Peek(4)
	if len(header) < 4 {
		return 0, 0, ErrIncomplete
	}
	length := int(int32(binary.BigEndian.Uint32(header)))
	if length < 8 || length > maxStartup {
		return 0, 0, fmt.Errorf("%w: startup of length %d", ErrMalformed, length)
	}
	if buffer.Len() < length {
		return 0, 0, ErrIncomplete
	}
	code := binary.BigEndian.Uint32(buffer.Peek(8)[4:])
	switch {
	case code == sslCode || code == gssCode:
		return EncryptRequest, length, nil
	case code == cancelCode:
		return CancelRequest, length, nil
	case code>>16 != protocolVersion3>>16:
		return 0, 0, fmt.Errorf("%w: protocol version %d.%d", ErrMalformed, code>>16, code&0xffff)
	}
	if err := checkParams(buffer.Peek(length)[8:]); err != nil {
		return 0, 0, err
	}
	return Startup, length, nil
}

// CancelKey identifies a session in a CancelRequest, which is sent on another connection and cancels the current
// request of the session.
type CancelKey struct{ Process, Secret uint32 }

// ParseCancelKey returns the key in a CancelRequest that NextStart has found, with its size, at the front of the
// buffer. It reports false if the message does not have the length of a CancelRequest.
func ParseCancelKey(buffer *ringbuffer.Buffer, size int) (key CancelKey, ok bool) {
	if size != 16 {
		return CancelKey{}, false
	}
	message := buffer.Peek(size)
	return CancelKey{binary.BigEndian.Uint32(message[8:]), binary.BigEndian.Uint32(message[12:])}, true
}

// StartupParams calls each with the name and value of each parameter of a Startup message that NextStart has found,
// with its size, at the front of the buffer.
func StartupParams(buffer *ringbuffer.Buffer, size int, each func(name, value string)) {
	for params := buffer.Peek(size)[8:]; ; {
		name, rest, _ := cstring(params)
		value, rest, ok := cstring(rest)
		if name == "" || !ok {
			return
		}
		each(name, value)
		params = rest
	}
}

// checkParams returns an error unless the bytes are pairs of strings followed by a zero byte.
func checkParams(params []byte) error {
	for count := 0; ; count++ {
		text, rest, ok := cstring(params)
		switch {
		case !ok:
			return fmt.Errorf("%w: startup parameters don't end", ErrMalformed)
		case text == "" && count%2 == 0 && len(rest) == 0:
			return nil
		case text == "" && count%2 == 0:
			return fmt.Errorf("%w: bytes behind the startup parameters", ErrMalformed)
		}
		params = rest
	}
}

// cstring splits p after its first zero byte. It reports false if there is none.
func cstring(p []byte) (string, []byte, bool) {
	s, rest, ok := bytes.Cut(p, []byte{0})
	return string(s), rest, ok
}

// QueryText returns the statement in the body of a Query.
func QueryText(body []byte) (string, error) {
	statement, rest, ok := cstring(body)
	if !ok || len(rest) > 0 {
		return "", fmt.Errorf("%w: a query does not end with its only zero", ErrMalformed)
	}
	return statement, nil
}

// ErrorCode returns the code in the body of an ErrorResponse.
func ErrorCode(body []byte) (string, error) {
	code := ""
	for len(body) > 0 && body[0] != 0 {
		field := body[0]
		value, rest, ok := cstring(body[1:])
		if !ok {
			break
		}
		if field == 'C' {
			code = value
		}
		body = rest
	}
	if len(body) != 1 || len(code) != 5 || strings.Trim(code, "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return "", fmt.Errorf("%w: an error with the code %.10q", ErrMalformed, code)
	}
	return code, nil
}

// Parameter returns the name and value in the body of a ParameterStatus.
func Parameter(body []byte) (name, value string, err error) {
	name, rest, ok := cstring(body)
	if ok {
		if value, rest, ok = cstring(rest); ok && len(rest) == 0 {
			return name, value, nil
		}
	}
	return "", "", fmt.Errorf("%w: a parameter status", ErrMalformed)
}

// Column returns the only column in the body of a DataRow; nil is NULL.
func Column(body []byte) ([]byte, error) {
	bad := fmt.Errorf("%w: not a row of one column", ErrMalformed)
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, bad
	}
	length := int(int32(binary.BigEndian.Uint32(body[2:])))
	if length == -1 && len(body) == 6 {
		return nil, nil
	}
	if length < 0 || len(body) != 6+length {
		return nil, bad
	}
	return body[6:], nil
}

// CheckOneColumn returns an error unless the body of a RowDescription describes one column.
func CheckOneColumn(body []byte) error {
	const fixed = 18 // bytes after the name: table, column, type, size, modifier and format
	if len(body) >= 2 && binary.BigEndian.Uint16(body) == 1 {
		if _, rest, ok := cstring(body[2:]); ok && len(rest) == fixed {
			return nil
		}
	}
	return fmt.Errorf("%w: not a description of one column", ErrMalformed)
}

// CheckOneRow returns an error unless the body of a CommandComplete is a command tag whose row count, if it has one, is
// 1.
func CheckOneRow(body []byte) error {
	tag, rest, ok := cstring(body)
	last := ""
	for word := range strings.SplitSeq(tag, " ") {
		verb := word != "" && strings.Trim(word, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
		number := last != "" && word != "" && strings.Trim(word, "0123456789") == ""
		ok = ok && (verb || number)
		last = word
	}
	if !ok || len(rest) > 0 || last != "1" && strings.Trim(last, "0123456789") == "" {
		return fmt.Errorf("%w: command tag %.40q", ErrMalformed, tag)
	}
	return nil
}

// IsAuthOK reports whether the body of an Authentication message says that authentication succeeded.
func IsAuthOK(body []byte) bool { return len(body) == 4 && binary.BigEndian.Uint32(body) == 0 }

// Append appends a message.
func Append(out []byte, kind byte, body []byte) []byte {
	out = append(out, kind)
	out = binary.BigEndian.AppendUint32(out, uint32(4+len(body)))
	return append(out, body...)
}

// AppendStartup appends the first message of a client.
func AppendStartup(out []byte, user, database string) []byte {
	body := binary.BigEndian.AppendUint32(nil, protocolVersion3)
	for _, text := range []string{"user", user, "database", database, ""} {
		body = append(append(body, text...), 0)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(4+len(body)))
	return append(out, body...)
}

// AppendSessionStart appends the answer to a startup message. The key identifies the session in a CancelRequest.
func AppendSessionStart(out []byte, key CancelKey) []byte {
	out = Append(out, Authentication, []byte{0, 0, 0, 0})
	for _, parameter := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}, {"integer_datetimes", "on"}} {
		out = AppendParameter(out, parameter[0], parameter[1])
	}
	out = Append(out, BackendKeyData, binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, key.Process), key.Secret))
	return AppendReady(out)
}

// AppendParameter appends a ParameterStatus.
func AppendParameter(out []byte, name, value string) []byte {
	return Append(out, ParameterStatus, []byte(name+"\x00"+value+"\x00"))
}

// AppendReady appends ReadyForQuery, outside a transaction.
func AppendReady(out []byte) []byte { return Append(out, ReadyForQuery, []byte{'I'}) }

// AppendQuery appends a simple query.
func AppendQuery(out []byte, statement string) []byte {
	out = append(out, queryHeader(len(statement))...)
	return append(append(out, statement...), 0)
}

// queryHeader returns the header of a query whose statement has the given length.
func queryHeader(length int) []byte {
	return binary.BigEndian.AppendUint32([]byte{Query}, uint32(4+length+1))
}

// AppendRow appends an answer of one row with one text column.
func AppendRow(out []byte, column, value string) []byte {
	out = Append(out, RowDescription, append([]byte("\x00\x01"+column+"\x00"), make([]byte, 18)...))
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	out = Append(out, DataRow, append(body, value...))
	return Append(out, CommandComplete, []byte("SELECT 1\x00"))
}

// AppendError appends an ErrorResponse. The detail may be empty.
func AppendError(out []byte, severity, code, message, detail string) []byte {
	return AppendErrorWithHint(out, severity, code, message, detail, "")
}

// AppendErrorWithHint appends an ErrorResponse with a hint. The detail and the hint may be empty.
func AppendErrorWithHint(out []byte, severity, code, message, detail, hint string) []byte {
	body := []byte("S" + severity + "\x00V" + severity + "\x00C" + code + "\x00M" + message + "\x00")
	for _, field := range [][2]string{{"D", detail}, {"H", hint}} {
		if field[1] != "" {
			body = append(body, (field[0] + field[1] + "\x00")...)
		}
	}
	return Append(out, ErrorResponse, append(body, 0))
}
