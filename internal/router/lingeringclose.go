package router

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"lotushook/internal/fdlimit"
)

// lingeringCloses holds refused connections for the moment that their clients need to
// read why: closed at once, with bytes of theirs unread, a connection is reset,
// and the reset can overtake the word. It holds a bounded number; where there is
// no room the longest there goes.
type lingeringCloses struct {
	budget   *fdlimit.Budget
	notEmpty chan struct{} // signals that there is one

	mu       sync.Mutex
	ring     []lingeringConn
	first    int
	len      int
	duration time.Duration
}

type lingeringConn struct {
	conn  net.Conn
	until time.Time
}

// drained is what is read and dropped of a refused client at a time.
const drainBytes = 4 << 10

func newLingeringCloses(most int, b *fdlimit.Budget) *lingeringCloses {
	return &lingeringCloses{budget: b, notEmpty: make(chan struct{}, 1), ring: make([]lingeringConn, most)}
}

// setDuration is how long one may stay.
func (l *lingeringCloses) setDuration(d time.Duration) {
	l.mu.Lock()
	l.duration = d
	l.mu.Unlock()
}

// reject says a word on a connection that nothing was read from, and closes it
// soon. The word is short: a new connection's send buffer has room for it.
func (l *lingeringCloses) reject(conn net.Conn, word []byte) {
	if rejectAndShutdown(conn, word) {
		l.closeNow(conn)
		return
	}
	now := time.Now()
	l.mu.Lock()
	var old net.Conn
	if l.len == len(l.ring) {
		old = l.pop()
	}
	l.ring[(l.first+l.len)%len(l.ring)] = lingeringConn{conn, now.Add(l.duration)}
	l.len++
	alone := l.len == 1
	l.mu.Unlock()
	if old != nil {
		discardInput(old)
		l.closeNow(old)
	}
	if alone {
		select {
		case l.notEmpty <- struct{}{}:
		default:
		}
	}
}

// pop takes the oldest out; the lock is held.
func (l *lingeringCloses) pop() net.Conn {
	c := l.ring[l.first].conn
	l.ring[l.first] = lingeringConn{}
	l.first = (l.first + 1) % len(l.ring)
	l.len--
	return c
}

func (l *lingeringCloses) any() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.len > 0
}

// closeOldest ends the wait for one, if there is one.
func (l *lingeringCloses) closeOldest() bool {
	l.mu.Lock()
	if l.len == 0 {
		l.mu.Unlock()
		return false
	}
	c := l.pop()
	l.mu.Unlock()
	discardInput(c)
	l.closeNow(c)
	return true
}

// expire closes those whose time is over, and those that have gone themselves.
func (l *lingeringCloses) expire(now time.Time) {
	for {
		l.mu.Lock()
		if l.len == 0 || (!now.After(l.ring[l.first].until) && !discardInput(l.ring[l.first].conn)) {
			l.mu.Unlock()
			return
		}
		c := l.pop()
		l.mu.Unlock()
		l.closeNow(c)
	}
}

func (l *lingeringCloses) closeAll() {
	for l.closeOldest() {
	}
}

func (l *lingeringCloses) closeNow(conn net.Conn) {
	conn.Close()
	l.budget.ReleaseClient()
}

// rejectAndShutdown says a word, ends the sending, and drops what has come, all without
// waiting. It says whether the other side has ended, too.
func rejectAndShutdown(conn net.Conn, word []byte) (gone bool) {
	return withDescriptor(conn, func(fd int) bool {
		if err := syscall.Sendto(fd, word, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil); err != nil {
			return true
		}
		_ = syscall.Shutdown(fd, syscall.SHUT_WR)
		return discardAvailable(fd)
	})
}

// discardInput drops what has come, without waiting, and says whether the other side has
// ended.
func discardInput(conn net.Conn) (gone bool) { return withDescriptor(conn, discardAvailable) }

func discardAvailable(fd int) (gone bool) {
	var b [drainBytes]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_DONTWAIT)
	return n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// availableReader reads what this machine has of a connection by now, without waiting.
// Only who reads the connection may use it.
type availableReader struct{ net.Conn }

// Read implements io.Reader.
func (p availableReader) Read(b []byte) (n int, err error) {
	gone := withDescriptor(p.Conn, func(fd int) bool {
		for {
			if n, err = syscall.Read(fd, b); err != syscall.EINTR {
				return n == 0 && err == nil
			}
		}
	})
	if gone {
		err = io.EOF
	}
	return max(n, 0), err
}

// withDescriptor does something with a connection's descriptor; a connection that has none
// any more has ended.
func withDescriptor(conn net.Conn, do func(fd int) bool) (gone bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	err = rc.Control(func(fd uintptr) { gone = do(int(fd)) })
	return gone || err != nil
}
