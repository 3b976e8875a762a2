package router

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	maxDrainAccept  = 300 * time.Millisecond // the maximum time to accept connections after stop
	drainAcceptWait = 20 * time.Millisecond  // how long Accept waits for a connection after stop
	drainEmptyWaits = 2                      // after so many waits in a row without a connection, the queue is empty
)

// drainListener is a listener that, once stopped, still returns the connections in the kernel's accept queue. Closing
// it at once would reset them, and their requests would be lost.
type drainListener struct {
	net.Listener
	acceptUntil atomic.Int64 // the end of accepting as Unix time in ns; 0: not stopped
}

// deadlineSetter is implemented by listeners on sockets.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// SetDeadline sets the deadline of the wrapped listener, if that supports deadlines.
func (listener *drainListener) SetDeadline(deadline time.Time) error {
	if tcp, ok := listener.Listener.(deadlineSetter); ok {
		return tcp.SetDeadline(deadline)
	}
	return nil
}

// stop makes Accept return net.ErrClosed once the accept queue is empty.
func (listener *drainListener) stop() {
	listener.acceptUntil.Store(time.Now().Add(maxDrainAccept).UnixNano())
	_ = listener.SetDeadline(pastDeadline)
}

// Accept returns the next connection of the wrapped listener; after stop, net.ErrClosed once the accept queue is empty.
func (listener *drainListener) Accept() (net.Conn, error) {
	for emptyWaits := 0; ; {
		acceptUntil := listener.acceptUntil.Load()
		if acceptUntil != 0 {
			if time.Now().UnixNano() > acceptUntil {
				return nil, net.ErrClosed
			}
			_ = listener.SetDeadline(time.Now().Add(drainAcceptWait))
		}
		calledAt := time.Now()
		conn, err := listener.Listener.Accept()
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return conn, err
		case acceptUntil != 0:
			if time.Since(calledAt) >= drainAcceptWait/2 { // otherwise the deadline passed before it polled the queue
				emptyWaits++
			}
			if emptyWaits == drainEmptyWaits {
				return nil, net.ErrClosed
			}
		case listener.acceptUntil.Load() == 0: // the caller's own deadline
			return nil, err
		}
	}
}
