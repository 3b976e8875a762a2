package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"lotushook/internal/ringbuffer"
)

func (w *Watcher) get(ctx context.Context, agent, target string, wait, quiet time.Duration) ([]byte, error) {
	until := time.Now().Add(wait + quiet) // includes the dial
	if w.conn != nil && (w.reader.Buffered() > 0 || w.input.in.Len() > 0) {
		w.closeConnection() // unread bytes are no answer to this call
	}
	if w.conn == nil {
		conn, err := w.dial(ctx, agent, min(dialTimeout, wait+quiet))
		if err != nil {
			return nil, err
		}
		w.conn, w.input = conn, &timedReader{conn: conn, in: ringbuffer.New(1 << 16)}
		w.reader = bufio.NewReader(w.input)
	}
	conn := w.conn // the context can end after w has closed the connection
	w.input.expect(ctx, quiet, w.bodyTimeout)
	if err := conn.SetDeadline(until); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req := "GET " + target + " HTTP/1.1\r\nHost: " + agent + "\r\nAccept: application/json\r\n\r\n"
	if _, err := conn.Write([]byte(req)); err != nil {
		return nil, err
	}
	status, body, keep, err := readResponse(w.reader)
	if err != nil {
		return nil, err
	}
	if !keep {
		w.closeConnection()
	}
	if status != 200 {
		return nil, statusError{status, target}
	}
	return body, nil
}

func dial(ctx context.Context, agent string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	return d.DialContext(ctx, "tcp", agent)
}

func (w *Watcher) closeConnection() {
	if w.conn != nil {
		w.conn.Close()
	}
	w.conn = nil
}

// timedReader reads from a connection through its ring buffer. Once an answer has
// begun, silence is detected sooner than the end of the wait, and a slow answer is
// waited for, within bounds.
type timedReader struct {
	conn net.Conn
	in   *ringbuffer.Buffer

	ctx                  context.Context
	silence, bodyTimeout time.Duration
	bodyDeadline         time.Time // of the answer that has begun; zero: none has
}

// expect is called before a request is sent.
func (f *timedReader) expect(ctx context.Context, quiet, drip time.Duration) {
	f.ctx, f.silence, f.bodyTimeout, f.bodyDeadline = ctx, quiet, drip, time.Time{}
}

// Read implements io.Reader.
func (f *timedReader) Read(p []byte) (int, error) {
	if f.in.Len() == 0 {
		f.in.Idle()
		if err := f.in.Fill(f.conn); err != nil {
			return 0, err
		}
		now := time.Now()
		if f.bodyDeadline.IsZero() {
			f.bodyDeadline = now.Add(f.bodyTimeout)
		}
		next := now.Add(f.silence)
		if f.bodyDeadline.Before(next) {
			next = f.bodyDeadline
		}
		if err := f.conn.SetDeadline(next); err != nil {
			return 0, err
		}
		if err := f.ctx.Err(); err != nil { // else the deadline that the context's end set would be undone
			return 0, err
		}
	}
	return f.in.Read(p)
}

// statusError is a complete answer that is no list.
type statusError struct {
	status int
	target string
}

// Error implements the error interface.
func (e statusError) Error() string { return fmt.Sprintf("status %d for %s", e.status, e.target) }
