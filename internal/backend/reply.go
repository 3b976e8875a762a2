package backend

import (
	"errors"
	"io"
	"syscall"
	"time"

	"lotushook/internal/pgwire"
)

// replyReader reads the messages of a data server, solicited or not. It reads and checks for a current attempt under
// one lock: otherwise bytes that were read before an attempt was bound could be taken for its answer.
type replyReader struct{ *serverConn }

// Read implements io.Reader.
func (reader replyReader) Read(buffer []byte) (n int, err error) {
	finished := false
	waitErr := reader.rawSocket.Read(func(fd uintptr) bool {
		reader.mu.Lock()
		defer reader.mu.Unlock()
		n, err = syscall.Read(int(fd), buffer)
		finished = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		reader.unsolicited = reader.unsolicited || finished && reader.current == nil
		return finished || errors.Is(err, syscall.EINTR)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, err
	case !finished: // interrupted
		return reader.Read(buffer)
	case n == 0:
		return 0, io.EOF
	case reader.isUnsolicited():
		return 0, errUnsolicited
	}
	return n, nil
}

// nextMessage waits for the next complete message.
func (conn *serverConn) nextMessage() (pgwire.Message, error) {
	for {
		message, err := pgwire.Next(conn.in)
		if !errors.Is(err, pgwire.ErrIncomplete) {
			return message, err
		}
		if err := conn.in.Fill(conn.socket); err != nil {
			return message, err
		}
	}
}

// nextReply returns the next message of an answer. Bytes that arrive without an attempt are an error, and once an
// answer has begun, each read must finish within the stall timeout.
func (conn *serverConn) nextReply(begun bool) (pgwire.Message, error) {
	for {
		message, err := pgwire.Next(conn.in)
		if !errors.Is(err, pgwire.ErrIncomplete) {
			return message, err
		}
		if begun = begun || conn.in.Len() > 0; begun {
			conn.socket.SetReadDeadline(time.Now().Add(conn.pool.StallTimeout))
		}
		if err := conn.in.Fill(replyReader{conn}); err != nil {
			return message, err
		}
	}
}

func (conn *serverConn) isUnsolicited() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.unsolicited
}

// hasUnread reports whether bytes, or the end of the connection, are waiting that the connection's goroutine has not
// read yet. Such bytes can't be the answer to a query that has not been sent yet.
func (conn *serverConn) hasUnread() bool {
	unread := false
	err := conn.rawSocket.Control(func(fd uintptr) {
		var probe [1]byte
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = !errors.Is(err, syscall.EAGAIN)
	})
	return unread || err != nil
}
