package backend

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"lotushook/internal/pgwire"
)

// replyReader reads the messages of a data server, solicited or not, and waits for them.
type replyReader struct{ *serverConn }

// Read implements io.Reader.
func (reader replyReader) Read(buffer []byte) (n int, err error) {
	waitErr := reader.rawSocket.Read(func(fd uintptr) bool {
		n, err = reader.readAvailable(fd, buffer)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if waitErr != nil {
		return 0, waitErr
	}
	return reader.checkRead(n, err)
}

// availableReplyReader is a replyReader that does not wait: it returns an error if no bytes have arrived.
type availableReplyReader struct{ *serverConn }

// Read implements io.Reader.
func (reader availableReplyReader) Read(buffer []byte) (n int, err error) {
	controlErr := reader.rawSocket.Control(func(fd uintptr) { n, err = reader.readAvailable(fd, buffer) })
	if controlErr != nil {
		return 0, controlErr
	}
	return reader.checkRead(n, err)
}

// readAvailable reads from the socket without waiting. It reads and checks for a current attempt under one lock:
// otherwise bytes that were read before an attempt was bound could be taken for its answer.
func (conn *serverConn) readAvailable(fd uintptr, buffer []byte) (n int, err error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for {
		n, err = syscall.Read(int(fd), buffer)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	conn.unsolicited = conn.unsolicited || !errors.Is(err, syscall.EAGAIN) && conn.current == nil
	return n, err
}

// checkRead returns the result of a read from the socket as an io.Reader does.
func (conn *serverConn) checkRead(n int, err error) (int, error) {
	switch {
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	case conn.isUnsolicited():
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
// answer has begun, each read must finish within the stall timeout. Bytes that have arrived by then are read even if
// the process was held up meanwhile.
func (conn *serverConn) nextReply(begun bool) (pgwire.Message, error) {
	for {
		message, err := pgwire.Next(conn.in)
		if !errors.Is(err, pgwire.ErrIncomplete) {
			return message, err
		}
		if begun = begun || conn.in.Len() > 0; begun {
			conn.socket.SetReadDeadline(time.Now().Add(conn.pool.StallTimeout))
		}
		err = conn.in.Fill(replyReader{conn})
		if errors.Is(err, os.ErrDeadlineExceeded) && conn.in.Fill(availableReplyReader{conn}) == nil {
			err = nil
		}
		if err != nil {
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
