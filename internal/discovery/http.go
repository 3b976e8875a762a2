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
	maxBodyBytes = 2 << 20 // about 10,000 hosts; the parsed list must fit into a router with 32 MB of memory
)

var errHTTP = errors.New("malformed HTTP response")

// readResponse reads one HTTP/1.1 response and returns its status, its body, and whether the connection may carry
// another request.
func readResponse(reader *bufio.Reader) (status int, body []byte, keepAlive bool, err error) {
	line, err := readLine(reader)
	if err != nil {
		return 0, nil, false, err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if status, err = strconv.Atoi(code); err != nil || len(code) != 3 || !strings.HasPrefix(proto, "HTTP/1.") {
		return 0, nil, false, fmt.Errorf("%w: status line %.60q", errHTTP, line)
	}
	keepAlive = proto == "HTTP/1.1"
	length, chunked := -1, false
	for count := 0; ; count++ {
		if line, err = readLine(reader); err != nil {
			return 0, nil, false, unexpectedEOF(err)
		}
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || count == maxHeaders {
			return 0, nil, false, fmt.Errorf("%w: header %.60q", errHTTP, line)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			parsed, err := strconv.Atoi(value)
			if err != nil || parsed < 0 || parsed > maxBodyBytes || length >= 0 && length != parsed {
				return 0, nil, false, fmt.Errorf("%w: length %.60q", errHTTP, value)
			}
			length = parsed
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return 0, nil, false, fmt.Errorf("%w: transfer encoding %.60q", errHTTP, value)
			}
			chunked = true
		case "connection":
			if strings.EqualFold(value, "close") {
				keepAlive = false
			} else if strings.EqualFold(value, "keep-alive") {
				keepAlive = true
			}
		}
	}
	switch {
	case chunked:
		body, err = readChunks(reader)
	case status == 204 || status == 304:
	case length >= 0:
		body = make([]byte, length)
		_, err = io.ReadFull(reader, body)
	default: // the body extends to the end of the connection
		keepAlive = false
		body, err = io.ReadAll(io.LimitReader(reader, maxBodyBytes+1))
		if len(body) > maxBodyBytes {
			err = fmt.Errorf("%w: body too long", errHTTP)
		}
	}
	return status, body, keepAlive, unexpectedEOF(err)
}

func readChunks(reader *bufio.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(reader)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		chunkBytes, err := strconv.ParseUint(strings.TrimSpace(size), 16, 32)
		if err != nil || len(body)+int(chunkBytes) > maxBodyBytes {
			return nil, fmt.Errorf("%w: chunk size %.60q", errHTTP, line)
		}
		if chunkBytes == 0 {
			for i := 0; i < maxHeaders; i++ { // trailers
				if line, err = readLine(reader); err != nil || line == "" {
					return body, err
				}
			}
			return nil, fmt.Errorf("%w: too many trailers", errHTTP)
		}
		start := len(body)
		body = append(body, make([]byte, chunkBytes)...)
		if _, err := io.ReadFull(reader, body[start:]); err != nil {
			return nil, err
		}
		if line, err = readLine(reader); err != nil {
			return nil, err
		} else if line != "" {
			return nil, fmt.Errorf("%w: no line end after a chunk", errHTTP)
		}
	}
}

// readLine reads a line that is no longer than the reader's buffer and returns it without its line end.
func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", fmt.Errorf("%w: line too long", errHTTP)
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, so that a truncated response is not taken for a complete one.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
