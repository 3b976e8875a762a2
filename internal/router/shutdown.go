package router

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

const (
	// acceptAfterTerm is how long a router accepts clients after SIGTERM, since the load balancer continues to send new
	// connections for a while.
	acceptAfterTerm = 500 * time.Millisecond
	// A router may be killed some time after SIGTERM. Open requests are ended answerMargin earlier, so that each gets
	// an answer.
	answerMargin       = 300 * time.Millisecond
	killAfterDeadline  = 700 * time.Millisecond // the router may be killed this long after the longest request deadline
	maxAwaitedDeadline = 3 * time.Second        // longer deadlines count as this
	finalTick          = 10 * time.Millisecond  // between two looks at the clients at the end of a shutdown
)

// shutdownControl contains the timing of the graceful shutdown. Tests replace its functions before the router serves.
type shutdownControl struct {
	timeout    time.Duration           // from SIGTERM to the end of the open requests
	acceptEnd  func() <-chan time.Time // returns the channel that signals when to stop accepting clients
	timeoutEnd func() <-chan time.Time // returns the channel that signals the end of timeout
	over       chan struct{}           // closed at the end of timeout
	deadline   atomic.Int64            // for answering requests, slightly before the end of timeout; 0: no shutdown
}

func newShutdownControl(classes []balance.Class) *shutdownControl {
	control := &shutdownControl{timeout: shutdownTimeout(classes), over: make(chan struct{})}
	control.acceptEnd = func() <-chan time.Time { return time.After(acceptAfterTerm) }
	control.timeoutEnd = func() <-chan time.Time { return time.After(control.timeout) }
	return control
}

// shutdownTimeout returns the time from SIGTERM by which all open requests must have ended.
func shutdownTimeout(classes []balance.Class) time.Duration {
	var longest time.Duration
	for i := range classes {
		longest = max(longest, time.Duration(classes[i].Deadline))
	}
	return min(longest, maxAwaitedDeadline) + killAfterDeadline - answerMargin
}

// begin sets the deadline for answering open requests.
func (control *shutdownControl) begin(now clock.Nanos) {
	control.deadline.Store(now + int64(control.timeout-deadlineMargin))
}

// limit returns a request's deadline, or that of the shutdown if it is earlier.
func (control *shutdownControl) limit(deadline clock.Nanos) clock.Nanos {
	if shutdownDeadline := control.deadline.Load(); shutdownDeadline != 0 {
		return min(deadline, shutdownDeadline)
	}
	return deadline
}

// isOver reports whether the shutdown timeout has ended.
func (control *shutdownControl) isOver() bool {
	select {
	case <-control.over:
		return true
	default:
		return false
	}
}

// endShutdown ends the open requests after the shutdown timeout: they are answered, further queries that were received
// are rejected, and then all connections are closed (see closeAnswered). It returns early if the context ends.
//
// The time for that is counted in ticks and not by the clock: a process that is held up must not find, when it resumes,
// that the time for its answers is over before it could write any.
func (router *Router) endShutdown(ctx context.Context, timeoutEnd <-chan time.Time) {
	select {
	case <-ctx.Done():
		return
	case <-timeoutEnd:
	}
	close(router.shutdown.over)
	router.clients.each((*client).closeIfIdle)
	ticker := time.NewTicker(finalTick)
	defer ticker.Stop()
	for elapsed := finalTick; ; elapsed += finalTick {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			router.clients.each(func(client *client) { client.closeAnswered(elapsed) })
		}
	}
}

// closeQuietly closes a resource and ignores the error, which only means that it was already closed.
func closeQuietly(closer io.Closer) { _ = closer.Close() }
