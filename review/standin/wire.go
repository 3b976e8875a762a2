//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Messages of PostgreSQL's protocol, version 3, as far as clients and data servers of the protocol page use them.

func message(kind byte, body []byte) []byte {
	out := append([]byte{kind}, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(out[1:], uint32(4+len(body)))
	return append(out, body...)
}

func startup() []byte {
	body := []byte{0, 3, 0, 0}
	for _, text := range []string{"user", "worker", "database", "catalog", ""} {
		body = append(append(body, text...), 0)
	}
	out := make([]byte, 4)
	binary.BigEndian.PutUint32(out, uint32(4+len(body)))
	return append(out, body...)
}

func query(text string) []byte { return message('Q', append([]byte(text), 0)) }

func ready() []byte { return message('Z', []byte{'I'}) }

func parameter(name, value string) []byte { return message('S', []byte(name+"\x00"+value+"\x00")) }

// row is an answer of one row with one binary column, without its end.
func row(value []byte) []byte {
	description := append([]byte("\x00\x01body\x00"), make([]byte, 18)...)
	description[len(description)-1] = 1 // binary format
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	out := message('T', description)
	out = append(out, message('D', append(body, value...))...)
	return append(out, message('C', []byte("SELECT 1\x00"))...)
}

func errorResponse(code, text string) []byte {
	return message('E', []byte("SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00"))
}

// readMessage reads one message. Its body is a copy.
func readMessage(reader *bufio.Reader) (kind byte, body []byte, err error) {
	var header [5]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length < 4 || length > 1<<20 {
		return 0, nil, fmt.Errorf("message %q of length %d", header[0], length)
	}
	body = make([]byte, length-4)
	_, err = io.ReadFull(reader, body)
	return header[0], body, err
}

// readStartup reads a client's first message.
func readStartup(reader *bufio.Reader) error {
	var length [4]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < 8 || size > 10000 {
		return errors.New("startup message of a wrong length")
	}
	_, err := reader.Discard(int(size) - 4)
	return err
}

// fields returns the names and values in a request's comment.
func fields(text string) map[string]string {
	found := map[string]string{}
	comment, _, _ := strings.Cut(strings.TrimPrefix(text, "/*"), "*/")
	for _, field := range strings.Split(comment, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		found[name] = value
	}
	return found
}

func number(text string) int64 {
	value, _ := strconv.ParseInt(text, 10, 64)
	return value
}

// answer is a router's answer to one query, as its client sees it.
type answer struct {
	outcome string // served, refused, failed, or why there is no whole answer: closed, silent
	code    string
	text    string
	value   []byte
	at      time.Time
}

// client is one connection of a client to a router.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection and starts a session.
func connect(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReaderSize(conn, 64<<10)}
	if _, err := conn.Write(startup()); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		kind, body, err := readMessage(c.reader)
		if err == nil && kind == 'E' {
			err = errors.New(errorText(body))
		}
		if err != nil {
			conn.Close()
			return nil, err
		}
		if kind == 'Z' {
			return c, nil
		}
	}
}

func errorText(body []byte) string {
	_, text := errorFields(body)
	return text
}

func errorFields(body []byte) (code, text string) {
	for _, field := range strings.Split(string(body), "\x00") {
		if strings.HasPrefix(field, "C") {
			code = field[1:]
		}
		if strings.HasPrefix(field, "M") {
			text = field[1:]
		}
	}
	return code, text
}

// readAnswer reads the answer to the next query.
func (c *client) readAnswer(until time.Time) answer {
	c.conn.SetReadDeadline(until)
	var result answer
	for {
		kind, body, err := readMessage(c.reader)
		result.at = time.Now()
		if err != nil {
			result.outcome, result.text = "closed", err.Error()
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				result.outcome = "silent"
			}
			return result
		}
		switch kind {
		case 'D':
			result.value = body[6:]
		case 'C':
			result.outcome = "served"
		case 'E':
			result.code, result.text = errorFields(body)
			result.outcome = "failed"
			if result.code == "53300" || result.code == "57P03" {
				result.outcome = "refused"
			}
		case 'I':
			result.outcome = "empty"
		case 'Z':
			return result
		}
	}
}

// ask sends one query on a new connection and returns its answer.
func ask(address, text string, wait time.Duration) (sent time.Time, result answer) {
	c, err := connect(address)
	if err != nil {
		return time.Now(), answer{outcome: "closed", text: "connect: " + err.Error(), at: time.Now()}
	}
	defer c.conn.Close()
	sent = time.Now()
	if _, err := c.conn.Write(query(text)); err != nil {
		return sent, answer{outcome: "closed", text: err.Error(), at: time.Now()}
	}
	return sent, c.readAnswer(sent.Add(wait))
}
