package nettest

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/google/go-cmp/cmp"

	"lotushook/internal/pgwire"
)

var separator = regexp.MustCompile(`\s+\|\s+`)

// splitMessages splits the messages of a step.
func splitMessages(text string) []string { return separator.Split(strings.TrimSpace(text), -1) }

// encode returns the bytes of one message.
func encode(message string) ([]byte, error) {
	kind, rest, _ := strings.Cut(message, " ")
	text := rest
	if strings.HasPrefix(rest, `"`) {
		var err error
		if text, err = strconv.Unquote(rest); err != nil {
			return nil, err
		}
	}
	switch kind {
	case "raw":
		return []byte(text), nil
	case "startup":
		return pgwire.AppendStartup(nil, "worker", "catalog"), nil
	case "ssl":
		return []byte{0, 0, 0, 8, 4, 210, 22, 47}, nil
	case "welcome":
		return pgwire.AppendSessionStart(nil, pgwire.CancelKey{}), nil
	case "Q":
		return pgwire.AppendQuery(nil, text), nil
	case "T":
		return pgwire.Append(nil, 'T', append([]byte("\x00\x01body\x00"), make([]byte, 18)...)), nil
	case "D":
		body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(text)))
		return pgwire.Append(nil, 'D', append(body, text...)), nil
	case "C":
		if text != "" { // another command tag
			break
		}
		return pgwire.Append(nil, 'C', []byte("SELECT 1\x00")), nil
	case "S":
		name, value, _ := strings.Cut(text, "=")
		return pgwire.Append(nil, 'S', []byte(name+"\x00"+value+"\x00")), nil
	case "E":
		return pgwire.AppendError(nil, "ERROR", text, "scripted", ""), nil
	case "FATAL":
		return pgwire.AppendError(nil, "FATAL", text, "scripted", ""), nil
	case "Z":
		if text != "" { // another transaction status
			break
		}
		return pgwire.AppendReady(nil), nil
	}
	if len(kind) == 1 {
		return pgwire.Append(nil, kind[0], []byte(text)), nil
	}
	return nil, fmt.Errorf("unknown message: %s", kind)
}

// expect reads as many messages as are wanted and then compares all of them. In a wanted message, # matches one or more
// digits.
func expect(conn *connection, want []string) error {
	var got []string
	for _, message := range want {
		text, err := decode(conn, message)
		if err != nil {
			text = err.Error()
		}
		if pattern := regexp.QuoteMeta(message); strings.Contains(message, "#") {
			pattern = strings.ReplaceAll(pattern, "#", `[0-9]+`)
			if regexp.MustCompile("^(?s:" + pattern + ")$").MatchString(text) {
				text = message
			}
		}
		got = append(got, text)
		if err != nil {
			break
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		return errors.New("(-want +got)\n" + diff)
	}
	return nil
}

// decode reads one message and returns its text. The wanted message determines the form of the text.
func decode(conn *connection, want string) (string, error) {
	kind, rest, _ := strings.Cut(want, " ")
	switch kind {
	case "raw":
		text, err := strconv.Unquote(rest)
		if err != nil {
			return "", err
		}
		raw := make([]byte, len(text))
		_, err = io.ReadFull(conn.reader, raw)
		return "raw " + strconv.Quote(string(raw)), normalizeEnd(err)
	case "line":
		line, err := conn.reader.ReadString('\n')
		return "line " + strconv.Quote(strings.TrimRight(line, "\r\n")), normalizeEnd(err)
	case "startup":
		var length [4]byte
		if _, err := io.ReadFull(conn.reader, length[:]); err != nil {
			return "", normalizeEnd(err)
		}
		_, err := conn.reader.Discard(int(binary.BigEndian.Uint32(length[:])) - 4)
		return "startup", normalizeEnd(err)
	case "welcome":
		for {
			message, err := readMessage(conn)
			if err != nil || message == "Z" {
				return "welcome", err
			}
		}
	case "EOF":
		message, err := readMessage(conn)
		if err != nil && err.Error() == "EOF" {
			return "EOF", nil
		}
		return message, err
	}
	return readMessage(conn)
}

// readMessage reads one message and returns its text: its kind and, for some kinds, its content.
func readMessage(conn *connection) (string, error) {
	var header [5]byte
	if _, err := io.ReadFull(conn.reader, header[:]); err != nil {
		return "", normalizeEnd(err)
	}
	body := make([]byte, binary.BigEndian.Uint32(header[1:])-4)
	if _, err := io.ReadFull(conn.reader, body); err != nil {
		return "", normalizeEnd(err)
	}
	kind := string(header[0])
	switch header[0] {
	case 'Q':
		text, err := pgwire.QueryText(body)
		return kind + " " + strconv.Quote(text), err
	case 'D':
		value, err := pgwire.Column(body)
		return kind + " " + strconv.Quote(string(value)), err
	case 'E':
		code, err := pgwire.ErrorCode(body)
		fields := string(body)
		if strings.HasPrefix(fields, "SFATAL") {
			kind = "FATAL"
		}
		if _, detail, ok := strings.Cut(fields, "\x00D"); ok {
			detail, _, _ = strings.Cut(detail, "\x00")
			code += " " + detail
		}
		return kind + " " + code, err
	case 'S':
		name, value, err := pgwire.Parameter(body)
		return kind + " " + name + "=" + value, err
	}
	return kind, nil
}

// normalizeEnd returns io.EOF for every way in which a connection can end.
func normalizeEnd(err error) error {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return io.EOF
}
