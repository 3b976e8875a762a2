package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"lotushook/internal/ringbuffer"
)

// get calls the agent and returns the body of its response. wait is how long the agent may wait for a change. The
// response must begin within wait plus silence, and then no read may take longer than silence.
func (watcher *Watcher) get(ctx context.Context, agent, target string, wait, silence time.Duration) ([]byte, error) {
	deadline := time.Now().Add(wait + silence) // the time to connect counts too
	if watcher.conn != nil && (watcher.reader.Buffered() > 0 || watcher.input.in.Len() > 0) {
		watcher.closeConnection() // bytes that arrived before the request are not its response
	}
	if watcher.conn == nil {
		conn, err := watcher.dial(ctx, agent, min(dialTimeout, wait+silence))
		if err != nil {
			return nil, err
		}
		watcher.conn, watcher.input = conn, &timedReader{conn: conn, in: ringbuffer.New(1 << 16)}
		watcher.reader = bufio.NewReader(watcher.input)
	}
	conn := watcher.conn // the context may end after the connection was closed and the field reset
	watcher.input.reset(ctx, silence, watcher.bodyTimeout)
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request := "GET " + target + " HTTP/1.1\r\nHost: " + agent + "\r\nAccept: application/json\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return nil, err
	}
	status, body, keepAlive, err := readResponse(watcher.reader)
	if err != nil {
		return nil, err
	}
	if !keepAlive {
		watcher.closeConnection()
	}
	if status != 200 {
		return nil, statusError{status, target}
	}
	return body, nil
}

func dial(ctx context.Context, agent string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(ctx, "tcp", agent)
}

func (watcher *Watcher) closeConnection() {
	if watcher.conn != nil {
		watcher.conn.Close()
	}
	watcher.conn = nil
}

// timedReader reads a connection through a ring buffer. Once a response has begun, each read must finish within the
// allowed silence, and the whole response within bodyTimeout.
type timedReader struct {
	conn net.Conn
	in   *ringbuffer.Buffer

	ctx                  context.Context
	silence, bodyTimeout time.Duration
	bodyDeadline         time.Time // of the response that has begun; zero if none has
}

// reset prepares for the response to the next request.
func (reader *timedReader) reset(ctx context.Context, silence, bodyTimeout time.Duration) {
	reader.ctx, reader.silence, reader.bodyTimeout, reader.bodyDeadline = ctx, silence, bodyTimeout, time.Time{}
}

// Read implements io.Reader.
func (reader *timedReader) Read(buffer []byte) (int, error) {
	if reader.in.Len() == 0 {
		reader.in.ShrinkIfEmpty()
		if err := reader.in.Fill(reader.conn); err != nil {
			return 0, err
		}
		now := time.Now()
		if reader.bodyDeadline.IsZero() {
			reader.bodyDeadline = now.Add(reader.bodyTimeout)
		}
		deadline := now.Add(reader.silence)
		if reader.bodyDeadline.Before(deadline) {
			deadline = reader.bodyDeadline
		}
		if err := reader.conn.SetDeadline(deadline); err != nil {
			return 0, err
		}
		if err := reader.ctx.Err(); err != nil { // its end set a deadline, which SetDeadline may have overwritten
			return 0, err
		}
	}
	return reader.in.Read(buffer)
}

// statusError is a complete response with a status other than 200.
type statusError struct {
	status int
	target string
}

// Error implements the error interface.
func (err statusError) Error() string { return fmt.Sprintf("status %d for %s", err.status, err.target) }
