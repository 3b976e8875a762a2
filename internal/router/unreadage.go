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
	// minStall is the minimum delay of a tick that counts as a stall: a deadline passed to a data server may exceed the
	// client's remaining time by at most 150 ms (requirement S4). After a stall the kernel is asked how old received
	// bytes are.
	minStall = 150 * clock.Millisecond
	// stallRecoveryTime is the time after a stall within which the readers have read all bytes that arrived during it.
	stallRecoveryTime = 50 * clock.Millisecond
)

// maxAnswerLateness is the maximum delay of an answer after its deadline. An answer that is late but within it has no
// value; beyond it the request counts as lost.
const maxAnswerLateness = 500 * clock.Millisecond

// acceptBacklogTime is how long connections may remain in the accept queue after descriptors ran out.
const acceptBacklogTime = 2 * clock.Second

// hasWaitedTooLong reports whether a connection that was just accepted should be closed unread: because descriptors ran
// out, it was in the accept queue for so long that its request can no longer be answered in time. New connections may
// be closed unread while descriptors are exhausted, and this client no longer waits for an answer.
func (router *Router) hasWaitedTooLong(conn net.Conn, exhaustedAt clock.Nanos) bool {
	if exhaustedAt == 0 || router.clock.now()-exhaustedAt > acceptBacklogTime {
		return false
	}
	age, ok := sinceLastReceived(conn)
	if !ok || clock.Nanos(age) <= maxAnswerLateness {
		return false
	}
	wait, ok := peekWait(conn)
	return ok && clock.Nanos(age-wait) > maxAnswerLateness
}

// peekWait returns how long the client of a new connection waits for the answer to its first request, without consuming
// the request; ok is false if no complete request has arrived.
func peekWait(conn net.Conn) (wait time.Duration, ok bool) {
	const maxPeeked = 2 << 10 // a startup message and the comment of a query
	peeked := make([]byte, maxPeeked)
	count := 0
	withDescriptor(conn, func(fd int) bool {
		var err error
		if count, _, err = syscall.Recvfrom(fd, peeked, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != nil {
			count = 0
		}
		return false
	})
	input := ringbuffer.New(maxPeeked)
	if _, err := input.Write(peeked[:max(count, 0)]); err != nil {
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

// stallDetector detects stalls of the whole process by late ticks. It is safe for concurrent use.
type stallDetector struct {
	lastTick           atomic.Int64
	stallFrom, stallTo atomic.Int64 // the last stall; 0: there was none
}

// tick must be called every sweepInterval.
func (detector *stallDetector) tick(now clock.Nanos) {
	last := detector.lastTick.Swap(now)
	if last != 0 && now-last > minStall {
		detector.stallFrom.Store(last)
		detector.stallTo.Store(now)
	}
}

// stalledSince returns the start of the stall during which bytes that were read at readAt may have arrived; false if
// there was no stall.
func (detector *stallDetector) stalledSince(readAt clock.Nanos) (from clock.Nanos, stalled bool) {
	if last := detector.lastTick.Load(); last != 0 && readAt-last > minStall {
		return last, true
	}
	if to := detector.stallTo.Load(); to != 0 && readAt-to < stallRecoveryTime {
		return detector.stallFrom.Load(), true
	}
	return 0, false
}

// boundArrivalByKernel lowers client.arrived.sentBy to the time at which the kernel received the client's bytes, if
// they may have been unread for long: on a connection that waited to be accepted, and after a stall. The process has no
// record of its own of when such bytes arrived.
func (client *client) boundArrivalByKernel(first bool, readAt clock.Nanos) {
	stalledSince, stalled := client.router.stalls.stalledSince(readAt)
	if !first && !stalled {
		return
	}
	if age, ok := sinceLastReceived(client.conn); ok {
		client.arrived.sentBy = min(client.arrived.sentBy, max(stalledSince, readAt-clock.Nanos(age)))
	}
}

// sinceLastReceived returns how long ago the kernel received the last bytes of a connection, accurate to a few
// milliseconds; false if the kernel does not provide it.
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
