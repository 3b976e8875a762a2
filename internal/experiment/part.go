package experiment

import (
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lotushook/internal/emulator"
)

// partStats collects the results of one load or flood as its clients saw them.
type partStats struct {
	mu                 sync.Mutex
	from               time.Time // requests that began earlier are not counted
	until              time.Time
	span               time.Duration
	outcomeCounts      [outcomes]int
	classes            map[string]*classCounts
	durations          *hdrhistogram.Histogram // µs; of served requests, or of the connections of a flood
	requestedWeight    float64                 // weight of all requests
	weightInObjective  float64                 // weight of the requests that were served within the objective of their class
	rejectedByContract int                     // rejected by a contract, according to the error message
	rejectedWithReason int                     // of a flood: connections that were rejected with an error message
	closedSilently     int                     // of a flood: connections that were closed without an error message
	seconds            []second
}

// classCounts counts the requests of one class.
type classCounts struct{ requested, served, inObjective, rejected int }

// second is one second of an arm, for the charts.
type second struct {
	requested, served, rejected, inObjective int
	weight                                   float64 // of the requests in inObjective
}

func newPartStats(from time.Time, span time.Duration) *partStats {
	return &partStats{from: from, until: from.Add(span), span: span, classes: map[string]*classCounts{}, durations: hdrhistogram.New(1, 60e6, 3),
		seconds: make([]second, int(span/time.Second)+1)}
}

// secondOf returns the second that a time falls into, or nil if it lies outside the measured time.
func (stats *partStats) secondOf(at time.Time) *second {
	if at.Before(stats.from) || !at.Before(stats.until) {
		return nil
	}
	return &stats.seconds[int(at.Sub(stats.from)/time.Second)]
}

// done counts a request that began at a time and has ended.
func (stats *partStats) done(class string, settings Class, startedAt time.Time, result outcome, message string) {
	elapsed := time.Since(startedAt)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	second := stats.secondOf(startedAt)
	if second == nil {
		return
	}
	counts := stats.classes[class]
	if counts == nil {
		counts = &classCounts{}
		stats.classes[class] = counts
	}
	counts.requested++
	second.requested++
	stats.outcomeCounts[result]++
	stats.requestedWeight += settings.Weight
	switch result {
	case served:
		counts.served++
		second.served++
		_ = stats.durations.RecordValue(max(1, elapsed.Microseconds()))
		if settings.ObjectiveMS == 0 || elapsed <= milliseconds(settings.ObjectiveMS) {
			counts.inObjective++
			second.inObjective++
			second.weight += settings.Weight
			stats.weightInObjective += settings.Weight
		}
	case rejected:
		second.rejected++
		counts.rejected++
		if strings.Contains(message, "(contracts") {
			stats.rejectedByContract++
		}
	}
}

// ended counts a connection of a flood that has ended.
func (stats *partStats) ended(startedAt time.Time, withReason bool) {
	elapsed := time.Since(startedAt)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	second := stats.secondOf(startedAt)
	if second == nil {
		return
	}
	second.requested++
	_ = stats.durations.RecordValue(max(1, elapsed.Microseconds()))
	if withReason {
		stats.rejectedWithReason++
		second.rejected++
	} else {
		stats.closedSilently++
	}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// metrics returns the metrics of a load or flood.
func (stats *partStats) metrics() map[string]float64 {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	metrics := map[string]float64{}
	for _, quantile := range []struct {
		name    string
		percent float64
	}{{"p50_ms", 50}, {"p90_ms", 90}, {"p99_ms", 99}} {
		metrics[quantile.name] = float64(stats.durations.ValueAtQuantile(quantile.percent)) / 1e3
	}
	if count := stats.rejectedWithReason + stats.closedSilently; count > 0 {
		metrics["ended"], metrics["told"], metrics["told_share"] = float64(count), float64(stats.rejectedWithReason), ratio(float64(stats.rejectedWithReason), float64(count))
		return metrics
	}
	requested, inObjective := 0, 0
	for result, count := range stats.outcomeCounts {
		requested += count
		metrics[outcomeNames[result]] = float64(count)
	}
	for class, counts := range stats.classes {
		inObjective += counts.inObjective
		metrics[class+"_asked"] = float64(counts.requested)
		metrics[class+"_served_per_s"] = float64(counts.served) / stats.span.Seconds()
		metrics[class+"_refused"] = float64(counts.rejected)
		metrics[class+"_aim_share"] = ratio(float64(counts.inObjective), float64(counts.requested))
	}
	metrics["asked"], metrics["by_contract"] = float64(requested), float64(stats.rejectedByContract)
	metrics["served_per_s"] = float64(stats.outcomeCounts[served]) / stats.span.Seconds()
	metrics["served_share"] = ratio(metrics["served"], metrics["asked"])
	metrics["refused_share"] = ratio(metrics["refused"], metrics["asked"])
	metrics["aim_share"] = ratio(float64(inObjective), metrics["asked"])
	metrics["worth_share"] = ratio(stats.weightInObjective, stats.requestedWeight)
	return metrics
}

// serverMetrics returns the metrics of the data servers.
func serverMetrics(audit emulator.Audit, requests float64) map[string]float64 {
	return map[string]float64{"requests": float64(audit.Requests), "writes": float64(audit.Writes), "dropped": float64(audit.DuplicateWrites),
		"doubled": float64(audit.ConcurrentAttempts), "misses": float64(audit.Misses), "turned_away": float64(audit.Rejected),
		"own_reads": float64(audit.OwnReads), "stale_reads": float64(audit.StaleReads), "probes": float64(audit.Probes), "late": float64(audit.LateAttempts), "feed_reads": float64(audit.FeedReads), "attempts_per_request": ratio(float64(audit.Requests), requests)}
}
