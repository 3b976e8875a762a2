package router

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	maxDrainAccept  = 300 * time.Millisecond // the longest time to accept after stop
	drainAcceptWait = 20 * time.Millisecond  // no connection within this time, twice in a row: none is waiting
	drainEmptyWaits = 2
)

// drainListener is a listener that, once stopped, still returns the connections that the kernel has
// accepted: closing it at once would reset them, and their requests with them.
type drainListener struct {
	net.Listener
	until atomic.Int64 // Unix time in ns; 0: not stopped
}

// deadlineSetter is implemented by listeners on sockets.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// SetDeadline calls the wrapped listener's, where it has one.
func (l *drainListener) SetDeadline(t time.Time) error {
	if tcp, ok := l.Listener.(deadlineSetter); ok {
		return tcp.SetDeadline(t)
	}
	return nil
}

// stop makes Accept return net.ErrClosed as soon as no connection is waiting.
func (l *drainListener) stop() {
	l.until.Store(time.Now().Add(maxDrainAccept).UnixNano())
	_ = l.SetDeadline(pastDeadline)
}

// Accept calls the wrapped listener's, until no connection is waiting.
func (l *drainListener) Accept() (net.Conn, error) {
	for waits := 0; ; {
		until := l.until.Load()
		if until != 0 {
			if time.Now().UnixNano() > until {
				return nil, net.ErrClosed
			}
			_ = l.SetDeadline(time.Now().Add(drainAcceptWait))
		}
		called := time.Now()
		conn, err := l.Listener.Accept()
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return conn, err
		case until != 0:
			if time.Since(called) >= drainAcceptWait/2 { // or the deadline passed before it looked
				waits++
			}
			if waits == drainEmptyWaits {
				return nil, net.ErrClosed
			}
		case l.until.Load() == 0: // the caller's own deadline
			return nil, err
		}
	}
}
