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

func messages(text string) []string { return separator.Split(strings.TrimSpace(text), -1) }

// encode is the bytes of one message.
func encode(m string) ([]byte, error) {
	kind, rest, _ := strings.Cut(m, " ")
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
		if text != "" { // another tag
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
		if text != "" { // another status
			break
		}
		return pgwire.AppendReady(nil), nil
	}
	if len(kind) == 1 {
		return pgwire.Append(nil, kind[0], []byte(text)), nil
	}
	return nil, fmt.Errorf("no such message: %s", kind)
}

// expect reads as many messages as are wanted and compares them all at once.
func expect(p *peer, want []string) error {
	var got []string
	for _, w := range want {
		g, err := decode(p, w)
		if err != nil {
			g = err.Error()
		}
		if digits := regexp.QuoteMeta(w); strings.Contains(w, "#") {
			digits = strings.ReplaceAll(digits, "#", `[0-9]+`)
			if regexp.MustCompile("^(?s:" + digits + ")$").MatchString(g) {
				g = w
			}
		}
		got = append(got, g)
		if err != nil {
			break
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		return errors.New("(-want +got)\n" + diff)
	}
	return nil
}

// decode reads one message as text; what is wanted says in which shape.
func decode(p *peer, want string) (string, error) {
	kind, rest, _ := strings.Cut(want, " ")
	switch kind {
	case "raw":
		text, err := strconv.Unquote(rest)
		if err != nil {
			return "", err
		}
		b := make([]byte, len(text))
		_, err = io.ReadFull(p.read, b)
		return "raw " + strconv.Quote(string(b)), ended(err)
	case "line":
		l, err := p.read.ReadString('\n')
		return "line " + strconv.Quote(strings.TrimRight(l, "\r\n")), ended(err)
	case "startup":
		var n [4]byte
		if _, err := io.ReadFull(p.read, n[:]); err != nil {
			return "", ended(err)
		}
		_, err := p.read.Discard(int(binary.BigEndian.Uint32(n[:])) - 4)
		return "startup", ended(err)
	case "welcome":
		for {
			m, err := message(p)
			if err != nil || m == "Z" {
				return "welcome", err
			}
		}
	case "EOF":
		m, err := message(p)
		if err != nil && err.Error() == "EOF" {
			return "EOF", nil
		}
		return m, err
	}
	return message(p)
}

func message(p *peer) (string, error) {
	var h [5]byte
	if _, err := io.ReadFull(p.read, h[:]); err != nil {
		return "", ended(err)
	}
	body := make([]byte, binary.BigEndian.Uint32(h[1:])-4)
	if _, err := io.ReadFull(p.read, body); err != nil {
		return "", ended(err)
	}
	kind := string(h[0])
	switch h[0] {
	case 'Q':
		text, err := pgwire.QueryText(body)
		return kind + " " + strconv.Quote(text), err
	case 'D':
		v, err := pgwire.Column(body)
		return kind + " " + strconv.Quote(string(v)), err
	case 'E':
		code, err := pgwire.ErrorCode(body)
		fields := string(body)
		if strings.HasPrefix(fields, "SFATAL") {
			kind = "FATAL"
		}
		if _, d, ok := strings.Cut(fields, "\x00D"); ok {
			d, _, _ = strings.Cut(d, "\x00")
			code += " " + d
		}
		return kind + " " + code, err
	case 'S':
		name, value, err := pgwire.Parameter(body)
		return kind + " " + name + "=" + value, err
	}
	return kind, nil
}

// ended makes one of all the ways in which a connection can end.
func ended(err error) error {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return io.EOF
}
