package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	maxHeaders   = 100
	maxBodyBytes = 2 << 20 // some ten thousand hosts; what it is parsed into has to fit a router of 32 MB
)

var errHTTP = errors.New("malformed HTTP response")

// readResponse reads one HTTP/1.1 response: its status, its body, and whether
// the connection may carry another request.
func readResponse(r *bufio.Reader) (status int, body []byte, keep bool, err error) {
	line, err := readLine(r)
	if err != nil {
		return 0, nil, false, err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if status, err = strconv.Atoi(code); err != nil || len(code) != 3 || !strings.HasPrefix(proto, "HTTP/1.") {
		return 0, nil, false, fmt.Errorf("%w: status line %.60q", errHTTP, line)
	}
	keep = proto == "HTTP/1.1"
	length, chunked := -1, false
	for n := 0; ; n++ {
		if line, err = readLine(r); err != nil {
			return 0, nil, false, unexpectedEOF(err)
		}
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || n == maxHeaders {
			return 0, nil, false, fmt.Errorf("%w: header %.60q", errHTTP, line)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			l, err := strconv.Atoi(value)
			if err != nil || l < 0 || l > maxBodyBytes || length >= 0 && length != l {
				return 0, nil, false, fmt.Errorf("%w: length %.60q", errHTTP, value)
			}
			length = l
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return 0, nil, false, fmt.Errorf("%w: transfer encoding %.60q", errHTTP, value)
			}
			chunked = true
		case "connection":
			if strings.EqualFold(value, "close") {
				keep = false
			} else if strings.EqualFold(value, "keep-alive") {
				keep = true
			}
		}
	}
	switch {
	case chunked:
		body, err = readChunks(r)
	case status == 204 || status == 304:
	case length >= 0:
		body = make([]byte, length)
		_, err = io.ReadFull(r, body)
	default: // the end of the connection ends the body
		keep = false
		body, err = io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
		if len(body) > maxBodyBytes {
			err = fmt.Errorf("%w: body too long", errHTTP)
		}
	}
	return status, body, keep, unexpectedEOF(err)
}

func readChunks(r *bufio.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 32)
		if err != nil || len(body)+int(n) > maxBodyBytes {
			return nil, fmt.Errorf("%w: chunk size %.60q", errHTTP, line)
		}
		if n == 0 {
			for i := 0; i < maxHeaders; i++ { // trailers
				if line, err = readLine(r); err != nil || line == "" {
					return body, err
				}
			}
			return nil, fmt.Errorf("%w: too many trailers", errHTTP)
		}
		from := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[from:]); err != nil {
			return nil, err
		}
		if line, err = readLine(r); err != nil {
			return nil, err
		} else if line != "" {
			return nil, fmt.Errorf("%w: no line end behind a chunk", errHTTP)
		}
	}
}

// readLine reads a line of at most the reader's buffer.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", fmt.Errorf("%w: line too long", errHTTP)
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// unexpectedEOF keeps a response that was cut off from looking like a clean end.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
