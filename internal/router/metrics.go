package router

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"
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
	open, idle := r.pool.Counts()
	line := []slog.Attr{
		slog.String("name", r.config.Name),
		slog.Int64("resident_kb", resident()),
		slog.Int("clients", r.clients.len()),
		slog.Int("open", open),
		slog.Int("idle", idle),
	}
	slog.LogAttrs(context.Background(), slog.LevelInfo, "totals", append(line, r.metrics.Take()...)...)
	if r.changefeed != nil {
		counts := r.changefeed.feeds.Counts()
		slog.Info("feeds", "name", r.config.Name, "cursors", counts.Cursors, "answers", counts.Answers,
			"events", counts.Events, "end_reads", counts.HeadReads, "far_reads", counts.CatchUpReads,
			"refused", counts.Rejected, "rows", counts.Outcomes)
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
