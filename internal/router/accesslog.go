package router

import (
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"

	"lotushook/internal/metrics"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// accessLog writes a line for single requests. Lines beyond the settings' rate are counted and left out.
type accessLog struct {
	settings atomic.Pointer[siteconfig.Log] // nil: nothing is written
	second   atomic.Int64                   // the second that the next two count in
	written  atomic.Int64
	omitted  atomic.Int64
}

// logOmitted tells how many lines were left out since it last did.
func (l *accessLog) logOmitted() {
	if n := l.omitted.Swap(0); n > 0 {
		slog.Info("requests left out", "lines", n)
	}
}

// wanted says whether a request's attempts are to be kept for its line.
func (l *accessLog) wanted() bool {
	settings := l.settings.Load()
	return settings != nil && settings.Trace != siteconfig.TraceOff
}

// write writes the line of a request that has ended. Its keys are read by tools and stay as they are.
func (l *accessLog) write(r *request) {
	settings := l.settings.Load()
	if settings == nil || settings.Trace == siteconfig.TraceOff {
		return
	}
	if settings.Trace == siteconfig.TraceWrong && r.outcome == endServed {
		return
	}
	now := r.router.clock.now()
	if !l.takeLine(now, settings.TracePerS) {
		return
	}
	slog.Info("request", "id", r.ID, "key", r.Key, "class", r.Class, "cluster", r.Cluster, "session", r.Session,
		"came_ms", r.arrivedAt/clock.Millisecond, "left_ms", (r.deadline-r.arrivedAt)/clock.Millisecond,
		"end", string(r.outcome), "why", r.reason.String(), "took_ms", (now-r.arrivedAt)/clock.Millisecond,
		"way", r.attemptsText())
}

// takeLine says whether one more line may be written in this second.
func (l *accessLog) takeLine(now clock.Nanos, linesPerSecond int) bool {
	second := now / clock.Second
	if l.second.Swap(second) != second {
		l.written.Store(0)
		l.logOmitted()
	}
	if l.written.Add(1) > int64(linesPerSecond) {
		l.omitted.Add(1)
		return false
	}
	return true
}

// attemptsText is the request's attempts: host, reason, start after the arrival, outcome and duration in ms of each.
func (r *request) attemptsText() string {
	var text strings.Builder
	for i, attempt := range r.trace {
		if i > 0 {
			text.WriteByte(' ')
		}
		startMS := (attempt.startedAt - r.arrivedAt) / clock.Millisecond
		elapsedMS := (attempt.endedAt - attempt.startedAt) / clock.Millisecond
		fmt.Fprintf(&text, "%s:%s@%d=%s/%d", attempt.host, attempt.reason, startMS, metrics.Outcome(attempt.outcome), elapsedMS)
	}
	return text.String()
}

// requestOutcome is how a request ended, as the access log names it.
type requestOutcome string

// The outcomes of a request.
const (
	endServed    requestOutcome = "served"
	endRejected  requestOutcome = "refused"
	endFailed    requestOutcome = "failed"
	endAbandoned requestOutcome = "gone"
)

// tracedAttempt is one attempt on a request's way.
type tracedAttempt struct {
	host               string
	reason             balance.Reason
	outcome            balance.Outcome
	startedAt, endedAt clock.Nanos
}
