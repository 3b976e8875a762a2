package router

import (
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lotushook/internal/pgwire"
	"lotushook/policy/clock"
)

// disconnectCheckInterval is how often a blocked reader checks whether its client has disconnected. No request may be
// sent later than 100 ms after its client has disconnected.
const disconnectCheckInterval = 25 * time.Millisecond

// minBytesHidingEnd is the number of unread bytes of a connection from which on its end may not have arrived although the
// client has closed it: the system accepts no less, so that the end of a shorter stream is known.
const minBytesHidingEnd = 16 << 10

// Linux TCP states, as in the first byte of TCP_INFO.
const (
	tcpClosed    = 7 // reset
	tcpCloseWait = 8 // the peer has closed its sending side
)

// hasDisconnected reports whether the client has closed its connection, even if bytes that it sent before are unread.
// It returns false if the state of the connection is not available.
func (client *client) hasDisconnected() bool {
	if _, ok := client.conn.(syscall.Conn); !ok {
		return false
	}
	mayHideEnd := false
	gone := withDescriptor(client.conn, func(fd int) bool {
		var buffer [1]byte
		switch count, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err {
		case nil:
			if count == 0 {
				return true
			}
		case syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.ENOTCONN:
			return true
		default:
			return false
		}
		// There are unread bytes. The end of the stream may be behind them; the TCP state shows it.
		unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
		mayHideEnd = err == nil && unread >= minBytesHidingEnd
		info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state := info & 0xff
		return err == nil && (state == tcpClosed || state == tcpCloseWait)
	})
	if mayHideEnd && !gone {
		client.provokeReset()
	}
	return gone
}

// keepAliveMessage is a message that clients pass over: it repeats a parameter of the session's start.
var keepAliveMessage = pgwire.AppendParameter(nil, "client_encoding", "UTF8")

// provokeReset sends a message that clients pass over. If the client has closed the connection, its system answers with
// a reset, which the next hasDisconnected finds. That is the only sign of a disconnect when the client has sent more
// than the system accepts unread, as the end of the stream arrives after all of it. Nothing is sent during the session's
// start, while an answer is being written, or while the client has not received what was written before.
func (client *client) provokeReset() {
	if !client.hasSession || !client.writing.TryLock() {
		return
	}
	defer client.writing.Unlock()
	withDescriptor(client.conn, func(fd int) bool {
		if unsent, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err != nil || unsent > 0 {
			return false
		}
		// The buffer is empty, so that the message fits. An error is found by the next hasDisconnected.
		_ = syscall.Sendto(fd, keepAliveMessage, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil)
		return false
	})
}

// checkConnected returns io.EOF if the client has disconnected. The reader calls it before it handles a message with more
// input behind it, as it reads the end of the connection only after all of that. The system is asked once in each
// disconnectCheckInterval.
func (client *client) checkConnected() error {
	now := client.router.clock.now()
	if client.connectedAt != 0 && now-client.connectedAt < clock.Nanos(disconnectCheckInterval) {
		return nil
	}
	if client.hasDisconnected() {
		return io.EOF
	}
	client.connectedAt = now
	return nil
}

// awaitPipelineSlot waits until another request may be pipelined. It returns an error if the client has disconnected or
// an answer could not be written.
func (client *client) awaitPipelineSlot() error {
	select {
	case client.slots <- struct{}{}:
	default:
		if err := client.waitForSlot(); err != nil {
			return err
		}
	}
	select {
	case <-client.writeFailed:
		return errAnswerNotWritten
	default:
		return nil
	}
}

func (client *client) waitForSlot() error {
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case client.slots <- struct{}{}:
			return nil
		case <-client.writeFailed:
			return errAnswerNotWritten
		case <-ticker.C:
			if client.hasDisconnected() {
				return io.EOF
			}
		}
	}
}

// pause waits for a duration or until a channel is closed. It returns an error at once if the client disconnects or an
// answer can't be written.
func (client *client) pause(duration time.Duration, wake <-chan struct{}) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-timer.C:
			return nil
		case <-wake:
			return nil
		case <-client.writeFailed:
			return errAnswerNotWritten
		case <-ticker.C:
			if client.hasDisconnected() {
				return io.EOF
			}
		}
	}
}
