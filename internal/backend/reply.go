package backend

import (
	"errors"
	"io"
	"syscall"
	"time"

	"lotushook/internal/pgwire"
)

// replyReader reads a data server's messages, solicited or not. Reading
// and checking whether there is an attempt are one step: otherwise an attempt that
// begins in between would take an earlier message for its answer.
type replyReader struct{ *serverConn }

// Read implements io.Reader.
func (l replyReader) Read(p []byte) (n int, err error) {
	heard := false
	wait := l.rawSocket.Read(func(fd uintptr) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		n, err = syscall.Read(int(fd), p)
		heard = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		l.unsolicited = l.unsolicited || heard && l.current == nil
		return heard || errors.Is(err, syscall.EINTR)
	})
	switch {
	case wait != nil:
		return 0, wait
	case err != nil:
		return 0, err
	case !heard: // interrupted
		return l.Read(p)
	case n == 0:
		return 0, io.EOF
	case l.isUnsolicited():
		return 0, errUnsolicited
	}
	return n, nil
}

// nextMessage waits for the next complete message.
func (c *serverConn) nextMessage() (pgwire.Message, error) {
	for {
		m, err := pgwire.Next(c.in)
		if !errors.Is(err, pgwire.ErrShort) {
			return m, err
		}
		if err := c.in.Fill(c.socket); err != nil {
			return m, err
		}
	}
}

// nextReply returns the next message of an answer: none may come without an attempt, and
// an answer that has begun must make progress.
func (c *serverConn) nextReply(begun bool) (pgwire.Message, error) {
	for {
		m, err := pgwire.Next(c.in)
		if !errors.Is(err, pgwire.ErrShort) {
			return m, err
		}
		if begun = begun || c.in.Len() > 0; begun {
			c.socket.SetReadDeadline(time.Now().Add(c.pool.StallTimeout))
		}
		if err := c.in.Fill(replyReader{c}); err != nil {
			return m, err
		}
	}
}

func (c *serverConn) isUnsolicited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited
}

// hasUnread says whether bytes or the connection's end wait to be read, which the
// connection's goroutine has not processed yet: whatever they are, they are not the
// answer to a query that was not sent yet.
func (c *serverConn) hasUnread() bool {
	waits := false
	err := c.rawSocket.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = !errors.Is(err, syscall.EAGAIN)
	})
	return waits || err != nil
}
