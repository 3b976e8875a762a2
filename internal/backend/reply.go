package backend

import (
	"errors"
	"io"
	"syscall"
	"time"

	"lotushook/internal/pgwire"
)

// replyReader reads what a data server says of its own accord or in answer. ReadQuota
// and looking whether there is an attempt are one step: else an attempt that
// begins in between would take what came before it for its answer.
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

// nextMessage waits for the next whole message.
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

// nextReply is message of an answer: nothing may come while there is no attempt, and
// what has begun must go on coming.
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
// connection's goroutine has not come to yet: whatever they are, they are not the
// answer to what has not been asked.
func (c *serverConn) hasUnread() bool {
	waits := false
	err := c.rawSocket.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = !errors.Is(err, syscall.EAGAIN)
	})
	return waits || err != nil
}
