package router

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"lotushook/internal/fdlimit"
)

// lingeringCloses keeps rejected connections open for a short time, so that the clients can read the error. Closing a
// connection with unread bytes at once resets it, and the reset can overtake the error. The number of connections is
// bounded; beyond it the oldest is closed.
type lingeringCloses struct {
	budget   *fdlimit.Budget
	notEmpty chan struct{} // receives a value when the first connection is added

	mu       sync.Mutex
	ring     []lingeringConn
	first    int
	len      int
	duration time.Duration
}

type lingeringConn struct {
	conn    net.Conn
	closeAt time.Time
}

// discardBytes is the number of bytes of a rejected client to read and discard per call.
const discardBytes = 4 << 10

func newLingeringCloses(capacity int, budget *fdlimit.Budget) *lingeringCloses {
	return &lingeringCloses{budget: budget, notEmpty: make(chan struct{}, 1), ring: make([]lingeringConn, capacity)}
}

// setDuration sets how long a connection stays open.
func (closes *lingeringCloses) setDuration(duration time.Duration) {
	closes.mu.Lock()
	closes.duration = duration
	closes.mu.Unlock()
}

// reject sends an error on a connection from which nothing was read, and closes it later. The message must be short
// enough to fit into the send buffer of a new connection.
func (closes *lingeringCloses) reject(conn net.Conn, message []byte) {
	if rejectAndShutdown(conn, message) {
		closes.closeNow(conn)
		return
	}
	now := time.Now()
	closes.mu.Lock()
	var oldest net.Conn
	if closes.len == len(closes.ring) {
		oldest = closes.pop()
	}
	closes.ring[(closes.first+closes.len)%len(closes.ring)] = lingeringConn{conn, now.Add(closes.duration)}
	closes.len++
	wasEmpty := closes.len == 1
	closes.mu.Unlock()
	if oldest != nil {
		discardInput(oldest)
		closes.closeNow(oldest)
	}
	if wasEmpty {
		select {
		case closes.notEmpty <- struct{}{}:
		default:
		}
	}
}

// pop removes and returns the oldest connection. The caller holds the lock.
func (closes *lingeringCloses) pop() net.Conn {
	conn := closes.ring[closes.first].conn
	closes.ring[closes.first] = lingeringConn{}
	closes.first = (closes.first + 1) % len(closes.ring)
	closes.len--
	return conn
}

func (closes *lingeringCloses) any() bool {
	closes.mu.Lock()
	defer closes.mu.Unlock()
	return closes.len > 0
}

// closeOldest closes the oldest connection, and reports whether there was one.
func (closes *lingeringCloses) closeOldest() bool {
	closes.mu.Lock()
	if closes.len == 0 {
		closes.mu.Unlock()
		return false
	}
	conn := closes.pop()
	closes.mu.Unlock()
	discardInput(conn)
	closes.closeNow(conn)
	return true
}

// expire closes the connections whose time is over. It also closes the oldest connection, and then the next ones, for
// as long as the client has already closed its side.
func (closes *lingeringCloses) expire(now time.Time) {
	for {
		closes.mu.Lock()
		if closes.len == 0 || (!now.After(closes.ring[closes.first].closeAt) && !discardInput(closes.ring[closes.first].conn)) {
			closes.mu.Unlock()
			return
		}
		conn := closes.pop()
		closes.mu.Unlock()
		closes.closeNow(conn)
	}
}

func (closes *lingeringCloses) closeAll() {
	for closes.closeOldest() {
	}
}

func (closes *lingeringCloses) closeNow(conn net.Conn) {
	conn.Close()
	closes.budget.ReleaseClient()
}

// rejectAndShutdown sends a message, shuts down the sending side, and discards available input, all without blocking.
// It reports whether the peer has closed the connection.
func rejectAndShutdown(conn net.Conn, message []byte) (gone bool) {
	return withDescriptor(conn, func(fd int) bool {
		if err := syscall.Sendto(fd, message, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil); err != nil {
			return true
		}
		_ = syscall.Shutdown(fd, syscall.SHUT_WR)
		return discardAvailable(fd)
	})
}

// discardInput discards available input without blocking, and reports whether the peer has closed the connection.
func discardInput(conn net.Conn) (gone bool) { return withDescriptor(conn, discardAvailable) }

func discardAvailable(fd int) (gone bool) {
	var buffer [discardBytes]byte
	count, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_DONTWAIT)
	return count == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// availableReader reads the bytes that the kernel has received on a connection, without blocking. Only the goroutine
// that reads the connection may use it.
type availableReader struct{ net.Conn }

// Read implements io.Reader.
func (reader availableReader) Read(buffer []byte) (count int, err error) {
	gone := withDescriptor(reader.Conn, func(fd int) bool {
		for {
			if count, err = syscall.Read(fd, buffer); err != syscall.EINTR {
				return count == 0 && err == nil
			}
		}
	})
	if gone {
		err = io.EOF
	}
	return max(count, 0), err
}

// withDescriptor calls a function with a connection's descriptor and returns its result; true if the connection no
// longer has a descriptor.
func withDescriptor(conn net.Conn, do func(fd int) bool) (gone bool) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	err = rawConn.Control(func(fd uintptr) { gone = do(int(fd)) })
	return gone || err != nil
}
