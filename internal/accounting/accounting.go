// Package accounting defines the report to operators about the requests of each team: the form of a row, and histograms
// of response times. policy/contract counts the requests, and internal/admin serves the report.
package accounting

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row is the account of one team and one class since the router started.
type Row struct {
	Team               string            `json:"team"`
	Class              string            `json:"class"`
	Requested          uint64            `json:"asked"`
	Admitted           map[string]uint64 `json:"grounds"` // by the contract, by reason
	RejectedByContract map[string]uint64 `json:"refused"` // by reason
	Served             uint64            `json:"served"`
	InObjective        uint64            `json:"in_aim"`
	Rejected           uint64            `json:"turned_away"` // by the router after their admission
	Failed             uint64            `json:"failed"`
	Weight             float64           `json:"worth"`
	P50MS              float64           `json:"p50_ms"`
	P99MS              float64           `json:"p99_ms"`
}

const (
	maxHistograms   = 4096 // of at most 4 KB each; further teams and classes have no response times
	maxResponseTime = 60 * time.Second
)

// Latencies has histograms of response times by team and class. It is not safe for concurrent use.
type Latencies struct {
	histograms map[[2]string]*hdrhistogram.Histogram
}

// NewLatencies returns Latencies without a response time.
func NewLatencies() *Latencies { return &Latencies{map[[2]string]*hdrhistogram.Histogram{}} }

// Record adds the response time of a request.
func (t *Latencies) Record(team, class string, elapsed time.Duration) {
	key := [2]string{team, class}
	histogram := t.histograms[key]
	if histogram == nil {
		if len(t.histograms) >= maxHistograms {
			return
		}
		histogram = hdrhistogram.New(1, int64(maxResponseTime/time.Millisecond), 1)
		t.histograms[key] = histogram
	}
	_ = histogram.RecordValue(int64(min(max(elapsed, time.Millisecond), maxResponseTime) / time.Millisecond)) // the value is in range
}

// Quantiles returns the median and the 99th percentile in ms, or 0 and 0 if no response time was recorded.
func (t *Latencies) Quantiles(team, class string) (p50, p99 float64) {
	histogram := t.histograms[[2]string{team, class}]
	if histogram == nil {
		return 0, 0
	}
	return float64(histogram.ValueAtQuantile(50)), float64(histogram.ValueAtQuantile(99))
}
