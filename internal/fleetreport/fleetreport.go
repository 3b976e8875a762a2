// Package fleetreport summarizes the logs of many routers: counts over time, outliers among data servers and routers,
// and the trace of one request across all routers.
package fleetreport

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"lotushook/internal/metrics"
)

// Limits on what Read holds in memory, whatever the length of the logs.
const (
	maxLineBytes = 1 << 20
	maxNames     = 4096  // each of counters, data servers and outcomes
	maxSpans     = 10000 // rows over time
	maxLines     = 10000 // about the selected request
)

// Fleet summarizes the logs of a folder.
type Fleet struct {
	Span     time.Duration               // length of one row over time
	Start    time.Time                   // start of the first span
	Routers  map[string]map[string]int64 // counts by router
	Servers  map[string]*Server
	Times    map[int64]map[string]int64 // counts of all routers, by the number of spans since the Unix epoch
	Outcomes map[Outcome]int64          // outcomes of traced requests
	Lines    []Line                     // about the selected request
	Skipped  int                        // lines, or parts of lines, that could not be parsed or exceeded a limit
}

// Server sums up what all routers counted for one data server.
type Server struct {
	metrics.EndpointCounts
	Routers map[string]struct{}
}

// Outcome is how requests of a class ended, and the reason.
type Outcome struct{ Class, End, Why string }

// Line is one log line about a request.
type Line struct {
	Router      string
	ArrivedAtMS int64
	Text        string
}

// Options select what Read reports.
type Options struct {
	Span    time.Duration // length of one row over time; above 0
	Request string        // an id or idempotency key whose lines are reported; empty: none
}

// Read reads all *.log files of a folder; each file is the log of the router that it is named after.
func Read(dir string, options Options) (*Fleet, error) {
	if options.Span <= 0 {
		return nil, errors.New("fleet: the span of a row is not above 0")
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: no file *.log", dir)
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	fleet := &Fleet{Span: options.Span, Routers: map[string]map[string]int64{}, Servers: map[string]*Server{},
		Times: map[int64]map[string]int64{}, Outcomes: map[Outcome]int64{}}
	for _, path := range files {
		if err := fleet.readFile(path, options.Request); err != nil {
			return nil, fmt.Errorf("fleet: %s: %w", path, err)
		}
	}
	slices.SortFunc(fleet.Lines, func(x, y Line) int {
		return cmp.Or(cmp.Compare(x.ArrivedAtMS, y.ArrivedAtMS), strings.Compare(x.Router, y.Router))
	})
	return fleet, nil
}

func (fleet *Fleet) readFile(path, request string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	name := strings.TrimSuffix(filepath.Base(path), ".log")
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() { // with a decoder for each line, so that the truncated line of a killed router does not stop the reading
		decoder := logfmt.NewDecoder(bytes.NewReader(lines.Bytes()))
		var keys []string
		fields := map[string]string{}
		for decoder.ScanRecord() {
			for decoder.ScanKeyval() {
				key := string(decoder.Key())
				keys = append(keys, key)
				fields[key] = string(decoder.Value())
			}
		}
		if decoder.Err() != nil {
			fleet.Skipped++
			continue
		}
		fleet.addLine(name, keys, fields, request)
	}
	return lines.Err()
}

// addLine adds one log line of one router.
func (fleet *Fleet) addLine(router string, keys []string, fields map[string]string, request string) {
	loggedAt, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil { // not a line of a router's log
		return
	}
	switch fields["msg"] {
	case "totals":
		span := loggedAt.UnixNano() / int64(fleet.Span)
		for _, key := range keys {
			fleet.addCount(router, span, key, fields[key])
		}
	case "request":
		outcome := Outcome{fields["class"], fields["end"], fields["why"]}
		if len(fleet.Outcomes) < maxNames || fleet.Outcomes[outcome] > 0 {
			fleet.Outcomes[outcome]++
		}
		if request != "" && (fields["id"] == request || fields["key"] == request) && len(fleet.Lines) < maxLines {
			arrivedAtMS, err := strconv.ParseInt(fields["came_ms"], 10, 64)
			if err != nil {
				fleet.Skipped++
			}
			fleet.Lines = append(fleet.Lines, Line{router, arrivedAtMS, fmt.Sprintf("%s %s cluster %s, %s ms left: %s (%s) after %s ms: %s", fields["class"], fields["id"],
				fields["cluster"], fields["left_ms"], fields["end"], fields["why"], fields["took_ms"], fields["way"])})
		}
	}
}

// addCount adds one count of a line of totals.
func (fleet *Fleet) addCount(router string, span int64, key, value string) {
	if host, ok := strings.CutPrefix(key, metrics.EndpointPrefix); ok {
		counts, err := metrics.ParseEndpointCounts(value)
		if err != nil {
			fleet.Skipped++
			return
		}
		server := fleet.Servers[host]
		if server == nil {
			if len(fleet.Servers) >= maxNames {
				fleet.Skipped++
				return
			}
			server = &Server{Routers: map[string]struct{}{}}
			fleet.Servers[host] = server
		}
		server.Add(counts)
		server.Routers[router] = struct{}{}
		return
	}
	count, err := strconv.ParseInt(value, 10, 64)
	if err != nil || slices.Contains([]string{"resident_kb", "clients", "open", "idle"}, key) { // current values can't be added up
		return
	}
	byKey := fleet.Routers[router]
	if byKey == nil {
		byKey = map[string]int64{}
		fleet.Routers[router] = byKey
	}
	row := fleet.Times[span]
	if row == nil {
		if len(fleet.Times) >= maxSpans {
			fleet.Skipped++
			return
		}
		row = map[string]int64{}
		fleet.Times[span] = row
	}
	if len(byKey) < maxNames {
		byKey[key] += count
		row[key] += count
	}
}

// Sum adds up the counts of all routers.
func (fleet *Fleet) Sum() map[string]int64 {
	sum := map[string]int64{}
	for _, counts := range fleet.Routers {
		for key, count := range counts {
			sum[key] += count
		}
	}
	return sum
}

// Outlier is a router with a far larger count than most routers.
type Outlier struct {
	Router, Counter string
	Count           int64
	Median          int64
	Distance        float64 // of the count from the median, as a multiple of the median absolute deviation
}

// A count is an outlier if its distance from the median is at least minOutlierDistance median absolute deviations and
// minOutlierCount: a count of 2 where most routers have none is not worth reporting.
const (
	minOutlierDistance = 12
	minOutlierCount    = 20
)

// Outliers returns the outliers, the most distant first.
func (fleet *Fleet) Outliers() []Outlier {
	var outliers []Outlier
	for key := range fleet.Sum() {
		var counts []int64
		for _, byKey := range fleet.Routers {
			counts = append(counts, byKey[key])
		}
		middle := median(counts)
		var distances []int64
		for _, count := range counts {
			distances = append(distances, max(count-middle, middle-count))
		}
		deviation := max(median(distances), 1)
		for name, byKey := range fleet.Routers {
			if excess := byKey[key] - middle; excess >= minOutlierCount && excess >= minOutlierDistance*deviation {
				outliers = append(outliers, Outlier{name, key, byKey[key], middle, float64(excess) / float64(deviation)})
			}
		}
	}
	slices.SortFunc(outliers, func(x, y Outlier) int {
		return cmp.Or(cmp.Compare(y.Distance, x.Distance), strings.Compare(x.Counter, y.Counter), strings.Compare(x.Router, y.Router))
	})
	return outliers
}

func median(values []int64) int64 {
	values = slices.Sorted(slices.Values(values))
	return values[len(values)/2]
}

// Spans returns the keys of Times in order.
func (fleet *Fleet) Spans() []int64 { return slices.Sorted(maps.Keys(fleet.Times)) }
