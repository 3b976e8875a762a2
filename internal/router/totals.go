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
)

// totals writes one line of what was counted a period, and one at the end.
func (r *Router) totals(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.total()
		}
	}
}

func (r *Router) total() {
	if r.tally == nil {
		return
	}
	r.mu.Lock()
	clients := len(r.clients)
	r.mu.Unlock()
	open, idle := r.pool.Open()
	line := append([]slog.Attr{slog.String("name", r.conf.Name), slog.Int64("resident_kb", resident()), slog.Int("clients", clients),
		slog.Int("open", open), slog.Int("idle", idle)}, r.tally.Take()...)
	slog.LogAttrs(context.Background(), slog.LevelInfo, "totals", line...)
	if r.feeds != nil {
		n := r.feeds.part.Counts()
		slog.Info("feeds", "name", r.conf.Name, "cursors", n.Cursors, "answers", n.Answers, "events", n.Events, "end_reads", n.EndReads, "far_reads", n.FarReads, "refused", n.Refused, "rows", n.Rows)
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

// tracer writes the way of single requests. Lines beyond the settings' rate are counted and left out.
type tracer struct {
	set   atomic.Pointer[siteconfig.Log] // nil: nothing is written
	at    atomic.Int64                   // the second that the next two count in
	wrote atomic.Int64
	left  atomic.Int64
}

// step is one attempt on a request's way.
type step struct {
	host   string
	why    balance.Reason
	out    balance.Outcome
	at, to balance.Nanos
}

// rest tells how many lines were left out since it last did.
func (t *tracer) rest() {
	if n := t.left.Swap(0); n > 0 {
		slog.Info("requests left out", "lines", n)
	}
}

// wanted says whether a request's steps are to be kept for its line.
func (t *tracer) wanted() bool {
	set := t.set.Load()
	return set != nil && set.Trace != siteconfig.TraceOff
}

// write writes the line of a request that has ended.
func (t *tracer) write(r *request, end string, why balance.Reason) {
	set := t.set.Load()
	if set == nil || set.Trace == siteconfig.TraceOff || set.Trace == siteconfig.TraceWrong && end == served {
		return
	}
	now := r.router.clock.now()
	if second := now / 1e9; t.at.Swap(second) != second {
		t.wrote.Store(0)
		t.rest()
	}
	if t.wrote.Add(1) > int64(set.TracePerS) {
		t.left.Add(1)
		return
	}
	const ms = 1e6
	var way strings.Builder
	for i, s := range r.way {
		if i > 0 {
			way.WriteByte(' ')
		}
		fmt.Fprintf(&way, "%s:%s@%d=%s/%d", s.host, s.why, (s.at-r.came)/ms, metrics.Outcome(s.out), (s.to-s.at)/ms)
	}
	slog.Info("request", "id", r.ID, "key", r.Key, "class", r.Class, "cluster", r.Cluster, "session", r.Session, "came_ms", r.came/ms, "left_ms", (r.deadline-r.came)/ms,
		"end", end, "why", why.String(), "took_ms", (now-r.came)/ms, "way", way.String())
}

// The ends of a request in its line.
const (
	served   = "served"
	turned   = "refused"
	broken   = "failed"
	departed = "gone"
)
