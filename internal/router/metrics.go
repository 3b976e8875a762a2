package router

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"
)

// writeTotalsEvery logs the totals at the given interval until the context is done.
func (router *Router) writeTotalsEvery(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			router.writeTotals()
		}
	}
}

// writeTotals logs the counters, if metrics are enabled.
func (router *Router) writeTotals() {
	if router.metrics == nil {
		return
	}
	open, idle := router.pool.Counts()
	attributes := []slog.Attr{
		slog.String("name", router.config.Name),
		slog.Int64("resident_kb", residentKB()),
		slog.Int("answers_kb", router.requestMemory.reserved()/1024),
		slog.Int64("input_kb", (newMemoryPlan(router.config.Limits).clientInput-router.readQuota.Available())/1024),
		slog.Int("clients", router.clients.len()),
		slog.Int("open", open),
		slog.Int("idle", idle),
	}
	slog.LogAttrs(context.Background(), slog.LevelInfo, "totals", append(attributes, router.metrics.Take()...)...)
	if router.changefeed != nil {
		counts := router.changefeed.feeds.Counts()
		slog.Info("feeds", "name", router.config.Name, "cursors", counts.Cursors, "answers", counts.Answers,
			"events", counts.Events, "end_reads", counts.HeadReads, "far_reads", counts.CatchUpReads,
			"refused", counts.Rejected, "rows", counts.Outcomes)
	}
}

// residentKB returns the resident memory of the process in KB, or 0 if the system does not report it.
func residentKB() int64 {
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, pages int64
	if _, err := fmt.Sscan(string(statm), &size, &pages); err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize()) / 1024
}
