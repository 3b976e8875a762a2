package router

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"lotushook/internal/metrics"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// writeTotalsEvery writes one line of what was counted a period, and one at the end.
func (r *Router) writeTotalsEvery(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.writeTotals()
		}
	}
}

func (r *Router) writeTotals() {
	if r.metrics == nil {
		return
	}
	r.mu.Lock()
	clients := len(r.clients)
	r.mu.Unlock()
	open, idle := r.pool.Counts()
	line := append([]slog.Attr{slog.String("name", r.config.Name), slog.Int64("resident_kb", resident()), slog.Int("clients", clients),
		slog.Int("open", open), slog.Int("idle", idle)}, r.metrics.Take()...)
	slog.LogAttrs(context.Background(), slog.LevelInfo, "totals", line...)
	if r.changefeed != nil {
		n := r.changefeed.feeds.Counts()
		slog.Info("feeds", "name", r.config.Name, "cursors", n.Cursors, "answers", n.Answers, "events", n.Events, "end_reads", n.EndReads, "far_reads", n.FarReads, "refused", n.Refused, "rows", n.Rows)
	}
}

// resident is the memory that the process holds, in KB; 0 where the system does not tell.
func resident() int64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, pages int64
	if _, err := fmt.Sscan(string(raw), &size, &pages); err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize()) / 1024
}

// accessLog writes the way of single requests. Lines beyond the settings' rate are counted and left out.
type accessLog struct {
	settings atomic.Pointer[siteconfig.Log] // nil: nothing is written
	second   atomic.Int64                   // the second that the next two count in
	written  atomic.Int64
	omitted  atomic.Int64
}

// tracedAttempt is one attempt on a request's way.
type tracedAttempt struct {
	host               string
	reason             balance.Reason
	outcome            balance.Outcome
	startedAt, endedAt clock.Nanos
}

// logOmitted tells how many lines were left out since it last did.
func (t *accessLog) logOmitted() {
	if n := t.omitted.Swap(0); n > 0 {
		slog.Info("requests left out", "lines", n)
	}
}

// wanted says whether a request's steps are to be kept for its line.
func (t *accessLog) wanted() bool {
	set := t.settings.Load()
	return set != nil && set.Trace != siteconfig.TraceOff
}

// write writes the line of a request that has ended.
func (t *accessLog) write(r *request, end string, why balance.Reason) {
	set := t.settings.Load()
	if set == nil || set.Trace == siteconfig.TraceOff || set.Trace == siteconfig.TraceWrong && end == endServed {
		return
	}
	now := r.router.clock.now()
	if second := now / 1e9; t.second.Swap(second) != second {
		t.written.Store(0)
		t.logOmitted()
	}
	if t.written.Add(1) > int64(set.TracePerS) {
		t.omitted.Add(1)
		return
	}
	const ms = 1e6
	var way strings.Builder
	for i, s := range r.trace {
		if i > 0 {
			way.WriteByte(' ')
		}
		fmt.Fprintf(&way, "%s:%s@%d=%s/%d", s.host, s.reason, (s.startedAt-r.arrivedAt)/ms, metrics.Outcome(s.outcome), (s.endedAt-s.startedAt)/ms)
	}
	slog.Info("request", "id", r.ID, "key", r.Key, "class", r.Class, "cluster", r.Cluster, "session", r.Session, "came_ms", r.arrivedAt/ms, "left_ms", (r.deadline-r.arrivedAt)/ms,
		"end", end, "why", why.String(), "took_ms", (now-r.arrivedAt)/ms, "way", way.String())
}

// The ends of a request in its line.
const (
	endServed    = "served"
	endRejected  = "refused"
	endFailed    = "failed"
	endAbandoned = "gone"
)
