package router

import (
	"io"
	"syscall"
	"time"
)

// lookEvery is how often a reader that can't read looks whether its client has hung up. A client that has gone gets nothing
// sent any more from a tenth of a second on.
const disconnectCheckInterval = 25 * time.Millisecond

// The states of a connection as Linux counts them, in the first byte of TCP_INFO.
const (
	tcpClosed    = 7 // reset
	tcpCloseWait = 8 // the other side has ended its sending
)

// hasDisconnected says whether the client has ended its connection, though what it sent before may not have been read. A system
// that does not tell has it still there.
func (c *client) hasDisconnected() bool {
	if _, ok := c.conn.(syscall.Conn); !ok {
		return false
	}
	return withDescriptor(c.conn, func(fd int) bool {
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err {
		case nil:
			if n == 0 {
				return true
			}
		case syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.ENOTCONN:
			return true
		default:
			return false
		}
		// The end is behind bytes that nobody has room for.
		info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state := info & 0xff
		return err == nil && (state == tcpClosed || state == tcpCloseWait)
	})
}

// takeSlot waits for room among what is pipelined, but not for a client that has hung up, nor behind an answer that was not
// taken: what was read before that must not run any more.
func (c *client) takeSlot() error {
	select {
	case c.slots <- struct{}{}:
	default:
		if err := c.waitForSlot(); err != nil {
			return err
		}
	}
	select {
	case <-c.writeFailed:
		return errAnswerNotTaken
	default:
		return nil
	}
}

func (c *client) waitForSlot() error {
	look := time.NewTicker(disconnectCheckInterval)
	defer look.Stop()
	for {
		select {
		case c.slots <- struct{}{}:
			return nil
		case <-c.writeFailed:
			return errAnswerNotTaken
		case <-look.C:
			if c.hasDisconnected() {
				return io.EOF
			}
		}
	}
}

// pause waits for some time, or for something sooner, but not for a client that has hung up, or did not take an answer.
func (c *client) pause(most time.Duration, sooner <-chan struct{}) error {
	late := time.NewTimer(most)
	defer late.Stop()
	look := time.NewTicker(disconnectCheckInterval)
	defer look.Stop()
	for {
		select {
		case <-late.C:
			return nil
		case <-sooner:
			return nil
		case <-c.writeFailed:
			return errAnswerNotTaken
		case <-look.C:
			if c.hasDisconnected() {
				return io.EOF
			}
		}
	}
}
