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
	// acceptAfterTerm is how long a router still accepts clients after SIGTERM: the load balancer before it goes on sending them
	// for a while.
	acceptAfterTerm = 500 * time.Millisecond
	// A router may be killed some time after SIGTERM. All that is open is ended this much earlier,
	// so that every request gets its answer.
	answerMargin       = 300 * time.Millisecond
	killAfterDeadline  = 700 * time.Millisecond // it may be killed this long after the longest deadline
	maxAwaitedDeadline = 3 * time.Second        // the longest deadline counts as at most this
)

// shutdownControl times the graceful shutdown. Its functions are replaced by tests before the router serves.
type shutdownControl struct {
	timeout    time.Duration           // for all that is open
	acceptOver func() <-chan time.Time // when no new clients are accepted any more
	timeoutEnd func() <-chan time.Time // when timeout is over
	over       chan struct{}           // closed then
	deadline   atomic.Int64            // that moment on the clock, a little earlier; 0: no shutdown
}

func newShutdownControl(classes []balance.Class) *shutdownControl {
	s := &shutdownControl{timeout: shutdownTimeout(classes), over: make(chan struct{})}
	s.acceptOver = func() <-chan time.Time { return time.After(acceptAfterTerm) }
	s.timeoutEnd = func() <-chan time.Time { return time.After(s.timeout) }
	return s
}

// shutdownTimeout is how long after SIGTERM a router may take for all that is open.
func shutdownTimeout(classes []balance.Class) time.Duration {
	var longest time.Duration
	for i := range classes {
		longest = max(longest, time.Duration(classes[i].Deadline))
	}
	return min(longest, maxAwaitedDeadline) + killAfterDeadline - answerMargin
}

// begin sets the deadline of all that is open.
func (s *shutdownControl) begin(now clock.Nanos) {
	s.deadline.Store(now + int64(s.timeout-deadlineMargin))
}

// limit is a request's deadline, or the moment by which a router that shuts down must have its answer.
func (s *shutdownControl) limit(deadline clock.Nanos) clock.Nanos {
	if last := s.deadline.Load(); last != 0 {
		return min(deadline, last)
	}
	return deadline
}

// isOver says whether the time for all that is open has ended.
func (s *shutdownControl) isOver() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

// endShutdown ends what is still open when its time has come: requests get their answers, what can be read of others is
// rejected, and soon after all connections are closed. It gives up when the context ends.
func (r *Router) endShutdown(ctx context.Context, timeoutEnd <-chan time.Time) {
	select {
	case <-ctx.Done():
		return
	case <-timeoutEnd:
	}
	close(r.shutdown.over)
	r.clients.each((*client).closeIfIdle)
	select {
	case <-ctx.Done():
	case <-time.After(r.timeouts.finalAnswers):
		r.clients.each(func(c *client) { closeQuietly(c.conn) })
	}
}

// closeQuietly closes what no goroutine uses any more: an error only means that it was closed already.
func closeQuietly(closer io.Closer) { _ = closer.Close() }
