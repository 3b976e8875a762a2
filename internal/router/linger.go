package router

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"lotushook/internal/fdlimit"
)

// lingering holds refused connections for the moment that their clients need to
// read why: closed at once, with bytes of theirs unread, a connection is reset,
// and the reset can overtake the word. It holds a bounded number; where there is
// no room the longest there goes.
type lingering struct {
	budget *fdlimit.Budget
	some   chan struct{} // signals that there is one

	mu    sync.Mutex
	ring  []goodbye
	first int
	len   int
	stay  time.Duration
}

type goodbye struct {
	conn  net.Conn
	until time.Time
}

// drained is what is read and dropped of a refused client at a time.
const drained = 4 << 10

func newLingering(most int, b *fdlimit.Budget) *lingering {
	return &lingering{budget: b, some: make(chan struct{}, 1), ring: make([]goodbye, most)}
}

// set is how long one may stay.
func (l *lingering) set(d time.Duration) {
	l.mu.Lock()
	l.stay = d
	l.mu.Unlock()
}

// refuse says a word on a connection that nothing was read from, and closes it
// soon. The word is short: a new connection's send buffer has room for it.
func (l *lingering) refuse(conn net.Conn, word []byte) {
	if dismiss(conn, word) {
		l.bury(conn)
		return
	}
	now := time.Now()
	l.mu.Lock()
	var old net.Conn
	if l.len == len(l.ring) {
		old = l.pop()
	}
	l.ring[(l.first+l.len)%len(l.ring)] = goodbye{conn, now.Add(l.stay)}
	l.len++
	alone := l.len == 1
	l.mu.Unlock()
	if old != nil {
		leave(old)
		l.bury(old)
	}
	if alone {
		select {
		case l.some <- struct{}{}:
		default:
		}
	}
}

// pop takes the oldest out; the lock is held.
func (l *lingering) pop() net.Conn {
	c := l.ring[l.first].conn
	l.ring[l.first] = goodbye{}
	l.first = (l.first + 1) % len(l.ring)
	l.len--
	return c
}

func (l *lingering) any() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.len > 0
}

// closeOldest ends the wait for one, if there is one.
func (l *lingering) closeOldest() bool {
	l.mu.Lock()
	if l.len == 0 {
		l.mu.Unlock()
		return false
	}
	c := l.pop()
	l.mu.Unlock()
	leave(c)
	l.bury(c)
	return true
}

// expire closes those whose time is over, and those that have gone themselves.
func (l *lingering) expire(now time.Time) {
	for {
		l.mu.Lock()
		if l.len == 0 || !(now.After(l.ring[l.first].until) || leave(l.ring[l.first].conn)) {
			l.mu.Unlock()
			return
		}
		c := l.pop()
		l.mu.Unlock()
		l.bury(c)
	}
}

func (l *lingering) closeAll() {
	for l.closeOldest() {
	}
}

func (l *lingering) bury(conn net.Conn) {
	conn.Close()
	l.budget.Leave()
}

// dismiss says a word, ends the sending, and drops what has come, all without
// waiting. It says whether the other side has ended, too.
func dismiss(conn net.Conn, word []byte) (gone bool) {
	return raw(conn, func(fd int) bool {
		if err := syscall.Sendto(fd, word, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil); err != nil {
			return true
		}
		syscall.Shutdown(fd, syscall.SHUT_WR)
		return drop(fd)
	})
}

// leave drops what has come, without waiting, and says whether the other side has
// ended.
func leave(conn net.Conn) (gone bool) { return raw(conn, drop) }

func drop(fd int) (gone bool) {
	var b [drained]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_DONTWAIT)
	return n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// present reads what this machine has of a connection by now, without waiting.
// Only who reads the connection may use it.
type present struct{ net.Conn }

func (p present) Read(b []byte) (n int, err error) {
	gone := raw(p.Conn, func(fd int) bool {
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

// raw does something with a connection's descriptor; a connection that has none
// any more has ended.
func raw(conn net.Conn, do func(fd int) bool) (gone bool) {
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
