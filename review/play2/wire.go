//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"strconv"
	"strings"
)

// message is one message of PostgreSQL's protocol, version 3.
type message struct {
	kind byte
	body []byte
}

var errMessage = errors.New("malformed message")

const (
	maxMessage      = 1 << 24
	protocolVersion = 196608
)

// readMessage reads one message that has a kind byte.
func readMessage(reader *bufio.Reader) (message, error) {
	var header [5]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return message{}, err
	}
	length := int(binary.BigEndian.Uint32(header[1:]))
	if length < 4 || length > maxMessage {
		return message{}, errMessage
	}
	body := make([]byte, length-4)
	_, err := io.ReadFull(reader, body)
	return message{header[0], body}, err
}

// readStartup reads the first message of a connection.
func readStartup(reader *bufio.Reader) error {
	var header [4]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length < 8 || length > 10000 {
		return errMessage
	}
	_, err := io.ReadFull(reader, make([]byte, length-4))
	return err
}

func appendMessage(out []byte, kind byte, body []byte) []byte {
	out = append(out, kind)
	out = binary.BigEndian.AppendUint32(out, uint32(4+len(body)))
	return append(out, body...)
}

func startupMessage() []byte {
	body := binary.BigEndian.AppendUint32(nil, protocolVersion)
	body = append(body, "user\x00worker\x00database\x00catalog\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body...)
}

func queryMessage(statement string) []byte {
	return appendMessage(nil, 'Q', append([]byte(statement), 0))
}

// welcome answers a startup message.
func welcome() []byte {
	out := appendMessage(nil, 'R', []byte{0, 0, 0, 0})
	return appendReady(out)
}

func appendReady(out []byte) []byte { return appendMessage(out, 'Z', []byte{'I'}) }

func appendParameter(out []byte, name, value string) []byte {
	return appendMessage(out, 'S', []byte(name+"\x00"+value+"\x00"))
}

// rowAnswer returns a row of one binary column and its end.
func rowAnswer(value, tag string) []byte {
	description := append([]byte{0, 1}, "body\x00"...)
	description = append(description, make([]byte, 16)...)
	description = append(description, 0, 1) // binary
	out := appendMessage(nil, 'T', description)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	out = appendMessage(out, 'D', append(row, value...))
	return appendMessage(out, 'C', []byte(tag+"\x00"))
}

func errorAnswer(code, text string) []byte {
	return appendMessage(nil, 'E', []byte("SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00"))
}

// errorField returns one field of an ErrorResponse.
func errorField(body []byte, field byte) string {
	for len(body) > 0 && body[0] != 0 {
		text, rest, ok := strings.Cut(string(body[1:]), "\x00")
		if !ok {
			return ""
		}
		if body[0] == field {
			return text
		}
		body = []byte(rest)
	}
	return ""
}

// rowValue returns the only column of a DataRow.
func rowValue(body []byte) (string, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 || int(binary.BigEndian.Uint32(body[2:])) != len(body)-6 {
		return "", false
	}
	return string(body[6:]), true
}

// statement is what a request's comment says.
type statement struct {
	id, class, key string
	d              float64 // ms
	cluster        int
	after          int64 // ms
	text           string
}

// parseStatement parses a query of the form that clients send.
func parseStatement(text string) (statement, bool) {
	parsed := statement{text: text}
	rest, ok := strings.CutPrefix(text, "/*")
	if !ok {
		return parsed, false
	}
	comment, _, ok := strings.Cut(rest, "*/")
	if !ok {
		return parsed, false
	}
	for pair := range strings.SplitSeq(comment, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		switch name {
		case "id":
			parsed.id = value
		case "c":
			parsed.class = value
		case "k":
			parsed.key = value
		case "d":
			parsed.d, _ = strconv.ParseFloat(value, 64)
		case "cluster":
			parsed.cluster, _ = strconv.Atoi(value)
		case "after":
			parsed.after, _ = strconv.ParseInt(value, 10, 64)
		}
	}
	return parsed, parsed.id != "" && parsed.class != ""
}
