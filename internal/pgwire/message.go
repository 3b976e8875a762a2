// Package pgwire is the codec of PostgreSQL's wire protocol, version 3, as far
// as routers, their clients and data servers speak it: startup and simple
// queries. It touches no sockets and makes no choices.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"lotushook/internal/ringbuffer"
)

// The kinds of messages, by their first byte on the wire.
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

// The codes of an ErrorResponse that a router or a data server uses.
const (
	CodeProtocolViolation  = "08P01"
	CodeNotSupported       = "0A000"
	CodeReadOnly           = "25006" // a write, and this is no primary
	CodeTooFarBehind       = "72000"
	CodeSyntax             = "42601"
	CodeTooManyConnections = "53300"
	CodeCannotConnect      = "57P03" // trying again is harmless, elsewhere
	CodeTooLarge           = "54000"
	CodeOutOfMemory        = "53200"
	CodeInvalidParameter   = "22023"
	CodeCursor             = "55000" // a feed can't go on from where the subscriber is
	CodeFailed             = "58000" // a router's failed: it promises nothing
	CodeQueryCanceled      = "57014" // on the client's own CancelRequest
)

const (
	head         = 5 // a message's kind and length
	versionThree = 196608
	sslCode      = 80877103
	gssCode      = 80877104
	cancelCode   = 80877102
	longest      = 1 << 30
	maxStartup   = 10000 // as PostgreSQL itself allows
)

// ErrMalformed is wrapped by what breaks the framing.
var ErrMalformed = errors.New("malformed message")

// ErrShort says that a message has not come whole yet.
var ErrShort = errors.New("message not whole yet")

// Message is one message; its body is good until its buffer changes.
type Message struct {
	Kind byte
	Body []byte
	Size int // on the wire, all in all
}

// TooLong is a message that doesn't fit its buffer. Framing is intact: after
// Size bytes the next one begins.
type TooLong struct {
	Kind byte
	Size int
}

// Error implements the error interface.
func (e *TooLong) Error() string {
	return fmt.Sprintf("message %q of %d bytes is too long", e.Kind, e.Size)
}

// Next returns the first message in the buffer, ErrShort when there is none
// whole, *TooLong, or an error that wraps ErrMalformed. The caller discards
// Size bytes once it has read the message.
func Next(b *ringbuffer.Buffer) (Message, error) {
	h := b.Peek(head)
	if len(h) < head {
		return Message{}, ErrShort
	}
	kind, n := h[0], int(int32(binary.BigEndian.Uint32(h[1:])))
	if n < 4 || n > longest {
		return Message{}, fmt.Errorf("%w: %q of length %d", ErrMalformed, kind, n)
	}
	size := n + 1
	if size > b.Cap() {
		return Message{}, &TooLong{kind, size}
	}
	if b.Len() < size { // the buffer grows with what comes, not with what a length claims
		return Message{}, ErrShort
	}
	return Message{kind, b.Peek(size)[head:], size}, nil
}

// StartKind says what the first message on a connection asks for.
type StartKind int

// The kinds of first messages.
const (
	Startup        StartKind = iota + 1 // begin a session
	EncryptRequest                      // TLS or GSS: answered N, then another first message
	CancelRequest                       // never answered
)

// NextStart reads the untyped first message: its kind and size, with errors as Next.
func NextStart(b *ringbuffer.Buffer) (StartKind, int, error) {
	h := b.Peek(4)
	if len(h) < 4 {
		return 0, 0, ErrShort
	}
	n := int(int32(binary.BigEndian.Uint32(h)))
	if n < 8 || n > maxStartup {
		return 0, 0, fmt.Errorf("%w: startup of length %d", ErrMalformed, n)
	}
	if b.Len() < n {
		return 0, 0, ErrShort
	}
	code := binary.BigEndian.Uint32(b.Peek(8)[4:])
	switch {
	case code == sslCode || code == gssCode:
		return EncryptRequest, n, nil
	case code == cancelCode:
		return CancelRequest, n, nil
	case code>>16 != versionThree>>16:
		return 0, 0, fmt.Errorf("%w: protocol version %d.%d", ErrMalformed, code>>16, code&0xffff)
	}
	if err := checkParams(b.Peek(n)[8:]); err != nil {
		return 0, 0, err
	}
	return Startup, n, nil
}

// CancelKey is a session's name and secret, by which a CancelRequest on another connection calls off what the session waits
// for.
type CancelKey struct{ Process, Secret uint32 }

// CancelOf is the key in a CancelRequest of n bytes that NextStart has found at the front of the buffer; ok is false where
// it is none of this protocol's length.
func CancelOf(b *ringbuffer.Buffer, n int) (key CancelKey, ok bool) {
	if n != 16 {
		return CancelKey{}, false
	}
	p := b.Peek(n)
	return CancelKey{binary.BigEndian.Uint32(p[8:]), binary.BigEndian.Uint32(p[12:])}, true
}

// StartupParams are the parameters of a Startup of n bytes that NextStart has
// found at the front of the buffer; each is called with its name and value.
func StartupParams(b *ringbuffer.Buffer, n int, each func(name, value string)) {
	for p := b.Peek(n)[8:]; ; {
		name, rest, _ := cstring(p)
		value, rest, ok := cstring(rest)
		if name == "" || !ok {
			return
		}
		each(name, value)
		p = rest
	}
}

// checkParams wants pairs of strings and one closing zero.
func checkParams(p []byte) error {
	for count := 0; ; count++ {
		s, rest, ok := cstring(p)
		switch {
		case !ok:
			return fmt.Errorf("%w: startup parameters don't end", ErrMalformed)
		case s == "" && count%2 == 0 && len(rest) == 0:
			return nil
		case s == "" && count%2 == 0:
			return fmt.Errorf("%w: bytes behind the startup parameters", ErrMalformed)
		}
		p = rest
	}
}

func cstring(p []byte) (string, []byte, bool) {
	s, rest, ok := bytes.Cut(p, []byte{0})
	return string(s), rest, ok
}

// QueryText is the statement in the body of a Query.
func QueryText(body []byte) (string, error) {
	s, rest, ok := cstring(body)
	if !ok || len(rest) > 0 {
		return "", fmt.Errorf("%w: a query does not end with its only zero", ErrMalformed)
	}
	return s, nil
}

// ErrorCode is the code in the body of an ErrorResponse.
func ErrorCode(body []byte) (string, error) {
	code := ""
	for len(body) > 0 && body[0] != 0 {
		field := body[0]
		s, rest, ok := cstring(body[1:])
		if !ok {
			break
		}
		if field == 'C' {
			code = s
		}
		body = rest
	}
	if len(body) != 1 || len(code) != 5 || strings.Trim(code, "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return "", fmt.Errorf("%w: an error with the code %.10q", ErrMalformed, code)
	}
	return code, nil
}

// Parameter is the name and value in the body of a ParameterStatus.
func Parameter(body []byte) (name, value string, err error) {
	name, rest, ok := cstring(body)
	if ok {
		if value, rest, ok = cstring(rest); ok && len(rest) == 0 {
			return name, value, nil
		}
	}
	return "", "", fmt.Errorf("%w: a parameter status", ErrMalformed)
}

// Column is the one column in the body of a DataRow; nil is NULL.
func Column(body []byte) ([]byte, error) {
	bad := fmt.Errorf("%w: not a row of one column", ErrMalformed)
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, bad
	}
	n := int(int32(binary.BigEndian.Uint32(body[2:])))
	if n == -1 && len(body) == 6 {
		return nil, nil
	}
	if n < 0 || len(body) != 6+n {
		return nil, bad
	}
	return body[6:], nil
}

// OneColumn wants the body of a RowDescription to describe one column.
func OneColumn(body []byte) error {
	const fixed = 18 // table, column, type, size, modifier and format, behind the name
	if len(body) >= 2 && binary.BigEndian.Uint16(body) == 1 {
		if _, rest, ok := cstring(body[2:]); ok && len(rest) == fixed {
			return nil
		}
	}
	return fmt.Errorf("%w: not a description of one column", ErrMalformed)
}

// OneRow wants the body of a CommandComplete to be a tag, which counts one row if
// it counts any.
func OneRow(body []byte) error {
	tag, rest, ok := cstring(body)
	words := strings.Split(tag, " ")
	last := words[len(words)-1]
	for i, w := range words {
		verb := w != "" && strings.Trim(w, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
		number := i > 0 && w != "" && strings.Trim(w, "0123456789") == ""
		ok = ok && (verb || number)
	}
	if !ok || len(rest) > 0 || last != "1" && strings.Trim(last, "0123456789") == "" {
		return fmt.Errorf("%w: command tag %.40q", ErrMalformed, tag)
	}
	return nil
}

// IsAuthOK says whether the body of an Authentication lets us in.
func IsAuthOK(body []byte) bool { return len(body) == 4 && binary.BigEndian.Uint32(body) == 0 }

// Append appends a message.
func Append(out []byte, kind byte, body []byte) []byte {
	out = append(out, kind)
	out = binary.BigEndian.AppendUint32(out, uint32(4+len(body)))
	return append(out, body...)
}

// AppendStartup appends the first message of a client.
func AppendStartup(out []byte, user, database string) []byte {
	body := binary.BigEndian.AppendUint32(nil, versionThree)
	for _, s := range []string{"user", user, "database", database, ""} {
		body = append(append(body, s...), 0)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(4+len(body)))
	return append(out, body...)
}

// AppendWelcome appends what a server says to a startup message; key is what a
// CancelRequest calls the session by.
func AppendWelcome(out []byte, key CancelKey) []byte {
	out = Append(out, Authentication, []byte{0, 0, 0, 0})
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}, {"integer_datetimes", "on"}} {
		out = Append(out, ParameterStatus, []byte(p[0]+"\x00"+p[1]+"\x00"))
	}
	out = Append(out, BackendKeyData, binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, key.Process), key.Secret))
	return AppendReady(out)
}

// AppendReady appends ReadyForQuery, outside a transaction.
func AppendReady(out []byte) []byte { return Append(out, ReadyForQuery, []byte{'I'}) }

// AppendQuery appends a simple query.
func AppendQuery(out []byte, statement string) []byte {
	out = append(out, queryHead(len(statement))...)
	return append(append(out, statement...), 0)
}

// queryHead is what stands before a statement of so many bytes.
func queryHead(statement int) []byte {
	return binary.BigEndian.AppendUint32([]byte{Query}, uint32(4+statement+1))
}

// AppendRow is an answer of one row with one text column.
func AppendRow(out []byte, column, value string) []byte {
	out = Append(out, RowDescription, append([]byte("\x00\x01"+column+"\x00"), make([]byte, 18)...))
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	out = Append(out, DataRow, append(body, value...))
	return Append(out, CommandComplete, []byte("SELECT 1\x00"))
}

// AppendError appends an ErrorResponse. detail may be empty.
func AppendError(out []byte, severity, code, message, detail string) []byte {
	return AppendHint(out, severity, code, message, detail, "")
}

// AppendHint is AppendError with a hint, which may be empty too.
func AppendHint(out []byte, severity, code, message, detail, hint string) []byte {
	body := []byte("S" + severity + "\x00V" + severity + "\x00C" + code + "\x00M" + message + "\x00")
	for _, f := range [][2]string{{"D", detail}, {"H", hint}} {
		if f[1] != "" {
			body = append(body, (f[0] + f[1] + "\x00")...)
		}
	}
	return Append(out, ErrorResponse, append(body, 0))
}
