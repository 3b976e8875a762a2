package router

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
	"lotushook/policy/clock"
)

const (
	// Bytes that may have lain so long while the process was held up are worth a question to the kernel. What a deadline may exceed by is
	// 150 ms (S4).
	stallNoticed = 150 * clock.Millisecond
	// After a stall its readers come to what lay unread within this time.
	stallSettled = 50 * clock.Millisecond
)

// answerLateness is how long after its time an answer may come: it earns nothing then, and later the request is lost.
const answerLateness = 500 * clock.Millisecond

// crowdedFor is how long after descriptors were lacking connections may still wait to be accepted.
const crowdedFor = 2 * clock.Second

// hasWaitedTooLong says whether a connection that was accepted now is to be shut unread: it has waited, while descriptors were lacking,
// until its request can't be answered any more. In a crowd new connections may be shut so, and nobody waits for this one.
func (r *Router) hasWaitedTooLong(conn net.Conn, lackingAt clock.Nanos) bool {
	if lackingAt == 0 || r.clock.now()-lackingAt > crowdedFor {
		return false
	}
	age, ok := sinceLastReceived(conn)
	if !ok || clock.Nanos(age) <= answerLateness {
		return false
	}
	wait, ok := peekWait(conn)
	return ok && clock.Nanos(age-wait) > answerLateness
}

// peekWait looks, without reading, how long the client of a new connection waits for its first request; false where none has come yet.
func peekWait(conn net.Conn) (wait time.Duration, ok bool) {
	const maxPeeked = 2 << 10 // a startup message and the comment of a query
	bytes := make([]byte, maxPeeked)
	n := 0
	withDescriptor(conn, func(fd int) bool {
		var err error
		if n, _, err = syscall.Recvfrom(fd, bytes, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != nil {
			n = 0
		}
		return false
	})
	input := ringbuffer.New(maxPeeked)
	if _, err := input.Write(bytes[:max(n, 0)]); err != nil {
		return 0, false
	}
	kind, size, err := pgwire.NextStart(input)
	if err != nil || kind != pgwire.Startup {
		return 0, false
	}
	input.Discard(size)
	message, err := pgwire.Next(input)
	if err != nil || message.Kind != pgwire.Query {
		return 0, false
	}
	text, err := pgwire.QueryText(message.Body)
	if err != nil {
		return 0, false
	}
	request, err := pgwire.ParseRequest(text)
	return request.Timeout, err == nil
}

// stallWatch notices that the whole process was held up: its tick comes late. It is safe for concurrent use.
type stallWatch struct {
	lastTick           atomic.Int64
	stallFrom, stallTo atomic.Int64 // the last stall; 0: there was none
}

// tick is called about every sweepInterval.
func (w *stallWatch) tick(now clock.Nanos) {
	last := w.lastTick.Swap(now)
	if last != 0 && now-last > stallNoticed {
		w.stallFrom.Store(last)
		w.stallTo.Store(now)
	}
}

// since returns since when what was read at a time may have lain unread; false where the process was not held up.
func (w *stallWatch) since(readAt clock.Nanos) (from clock.Nanos, stalled bool) {
	if last := w.lastTick.Load(); last != 0 && readAt-last > stallNoticed {
		return last, true
	}
	if to := w.stallTo.Load(); to != 0 && readAt-to < stallSettled {
		return w.stallFrom.Load(), true
	}
	return 0, false
}

// boundByKernel asks the kernel when the last bytes came, where they may have lain unread: on a connection that had waited to be
// accepted, and while the process was held up. The clock at hand does not tell, since nothing of this process ran.
func (c *client) boundByKernel(first bool, readAt clock.Nanos) {
	from, stalled := c.router.stalls.since(readAt)
	if !first && !stalled {
		return
	}
	if age, ok := sinceLastReceived(c.conn); ok {
		c.arrived.by = min(c.arrived.by, max(from, readAt-clock.Nanos(age)))
	}
}

// sinceLastReceived is how long ago the kernel received the last bytes of a connection, to a few milliseconds. A system that does not
// tell has them from now.
func sinceLastReceived(conn net.Conn) (age time.Duration, ok bool) {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age, ok = time.Duration(info.Last_data_recv)*time.Millisecond, true
		}
	})
	return age, ok && err == nil
}
