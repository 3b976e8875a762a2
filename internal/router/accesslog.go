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

// accessLog writes a log line for each request that the settings select. Lines beyond the configured rate are omitted
// and counted.
type accessLog struct {
	settings atomic.Pointer[siteconfig.Log] // nil: no lines are written
	second   atomic.Int64                   // the second of the clock in which written lines were written
	written  atomic.Int64
	omitted  atomic.Int64
}

// logOmitted logs how many lines were omitted since the last call.
func (log *accessLog) logOmitted() {
	if omitted := log.omitted.Swap(0); omitted > 0 {
		slog.Info("request log lines omitted", "lines", omitted)
	}
}

// wanted reports whether requests have to record their attempts for the access log.
func (log *accessLog) wanted() bool {
	settings := log.settings.Load()
	return settings != nil && settings.Trace != siteconfig.TraceOff
}

// write writes the line of a request that has ended. Tools read the keys, so they must not change.
func (log *accessLog) write(request *request) {
	settings := log.settings.Load()
	if settings == nil || settings.Trace == siteconfig.TraceOff {
		return
	}
	if settings.Trace == siteconfig.TraceWrong && request.outcome == endServed {
		return
	}
	now := request.router.clock.now()
	if !log.allowLine(now, settings.TracePerS) {
		return
	}
	slog.Info("request", "id", request.ID, "key", request.Key, "class", request.Class, "cluster", request.Cluster, "session", request.Session,
		"came_ms", request.arrivedAt/clock.Millisecond, "left_ms", (request.deadline-request.arrivedAt)/clock.Millisecond,
		"end", string(request.outcome), "why", request.reason.String(), "took_ms", (now-request.arrivedAt)/clock.Millisecond,
		"way", request.attemptsText())
}

// allowLine reports whether another line may be written in the current second, and counts it as written or omitted.
func (log *accessLog) allowLine(now clock.Nanos, linesPerSecond int) bool {
	second := now / clock.Second
	if log.second.Swap(second) != second {
		log.written.Store(0)
		log.logOmitted()
	}
	if log.written.Add(1) > int64(linesPerSecond) {
		log.omitted.Add(1)
		return false
	}
	return true
}

// attemptsText describes the request's attempts. Each is written as host:reason@start=outcome/duration, where start is
// the time since the request's arrival; times are in milliseconds.
func (request *request) attemptsText() string {
	var text strings.Builder
	for i, attempt := range request.trace {
		if i > 0 {
			text.WriteByte(' ')
		}
		startMS := (attempt.startedAt - request.arrivedAt) / clock.Millisecond
		elapsedMS := (attempt.endedAt - attempt.startedAt) / clock.Millisecond
		fmt.Fprintf(&text, "%s:%s@%d=%s/%d", attempt.host, attempt.reason, startMS, metrics.Outcome(attempt.outcome), elapsedMS)
	}
	return text.String()
}

// requestOutcome is the outcome of a request as written to the access log.
type requestOutcome string

// Outcomes of requests.
const (
	endServed    requestOutcome = "served"
	endRejected  requestOutcome = "refused"
	endFailed    requestOutcome = "failed"
	endAbandoned requestOutcome = "gone"
)

// tracedAttempt is an attempt of a request, as recorded for the access log.
type tracedAttempt struct {
	host               string
	reason             balance.Reason
	outcome            balance.Outcome
	startedAt, endedAt clock.Nanos
}
