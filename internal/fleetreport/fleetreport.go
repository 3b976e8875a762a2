// Package fleetreport reads the logs of many routers into one picture: what all of them did over time, which data
// servers and which routers stand out, and one request's way through all of them.
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

// Bounds: what a reader keeps does not grow with the length of the logs but by these.
const (
	longestLine = 1 << 20
	maxNames    = 4096  // counters, data servers, and ends of requests, each
	maxSpans    = 10000 // spans of time
	maxLines    = 10000 // of one request
)

// Fleet is what the logs of a folder say.
type Fleet struct {
	Span    time.Duration               // of one row over time
	Start   time.Time                   // of the first span
	Routers map[string]map[string]int64 // by router: its counts
	Servers map[string]*Seen
	Times   map[int64]map[string]int64 // by span since the Unix epoch: counts of all routers
	Ends    map[End]int64              // of requests whose way was written
	Lines   []Line                     // of the one request that was asked for
	Skipped int                        // lines, or parts of them, that could not be read or had no room
}

// Seen is a data server as the fleet met it.
type Seen struct {
	metrics.EndpointCounts
	Routers map[string]struct{}
}

// End is how requests of a class ended, and why.
type End struct{ Class, End, Why string }

// Line is one line about a request.
type Line struct {
	Router string
	CameMS int64
	Text   string
}

// Options say what is read.
type Options struct {
	Span    time.Duration // of one row over time; above 0
	Request string        // an id or a key, whose lines are kept; empty: none
}

// Read reads all files *.log of a folder; a router is named by what its lines say, else by its file.
func Read(dir string, o Options) (*Fleet, error) {
	if o.Span <= 0 {
		return nil, errors.New("fleet: the span of a row is not above 0")
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: no file *.log", dir)
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f := &Fleet{Span: o.Span, Routers: map[string]map[string]int64{}, Servers: map[string]*Seen{},
		Times: map[int64]map[string]int64{}, Ends: map[End]int64{}}
	for _, path := range files {
		if err := f.file(path, o.Request); err != nil {
			return nil, fmt.Errorf("fleet: %s: %w", path, err)
		}
	}
	slices.SortFunc(f.Lines, func(x, y Line) int {
		return cmp.Or(cmp.Compare(x.CameMS, y.CameMS), strings.Compare(x.Router, y.Router))
	})
	return f, nil
}

func (f *Fleet) file(path, request string) error {
	raw, err := os.Open(path)
	if err != nil {
		return err
	}
	defer raw.Close()
	name := strings.TrimSuffix(filepath.Base(path), ".log")
	lines := bufio.NewScanner(raw)
	lines.Buffer(nil, longestLine)
	for lines.Scan() { // each by itself: half a line of a router that was killed must not end the reading
		d := logfmt.NewDecoder(bytes.NewReader(lines.Bytes()))
		var keys []string
		fields := map[string]string{}
		for d.ScanRecord() {
			for d.ScanKeyval() {
				key := string(d.Key())
				keys = append(keys, key)
				fields[key] = string(d.Value())
			}
		}
		if d.Err() != nil {
			f.Skipped++
			continue
		}
		f.line(name, keys, fields, request)
	}
	return lines.Err()
}

// line takes one line of one router.
func (f *Fleet) line(router string, keys []string, fields map[string]string, request string) {
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil { // another program's line
		return
	}
	switch fields["msg"] {
	case "totals":
		span := at.UnixNano() / int64(f.Span)
		for _, key := range keys {
			f.total(router, span, key, fields[key])
		}
	case "request":
		end := End{fields["class"], fields["end"], fields["why"]}
		if len(f.Ends) < maxNames || f.Ends[end] > 0 {
			f.Ends[end]++
		}
		if request != "" && (fields["id"] == request || fields["key"] == request) && len(f.Lines) < maxLines {
			came, err := strconv.ParseInt(fields["came_ms"], 10, 64)
			if err != nil {
				f.Skipped++
			}
			f.Lines = append(f.Lines, Line{router, came, fmt.Sprintf("%s %s cluster %s, %s ms left: %s (%s) after %s ms: %s", fields["class"], fields["id"],
				fields["cluster"], fields["left_ms"], fields["end"], fields["why"], fields["took_ms"], fields["way"])})
		}
	}
}

// total takes one count of a line of totals.
func (f *Fleet) total(router string, span int64, key, value string) {
	if host, ok := strings.CutPrefix(key, metrics.EndpointPrefix); ok {
		got, err := metrics.ParseEndpointCounts(value)
		if err != nil {
			f.Skipped++
			return
		}
		s := f.Servers[host]
		if s == nil {
			if len(f.Servers) >= maxNames {
				f.Skipped++
				return
			}
			s = &Seen{Routers: map[string]struct{}{}}
			f.Servers[host] = s
		}
		s.Add(got)
		s.Routers[router] = struct{}{}
		return
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || slices.Contains([]string{"resident_kb", "clients", "open", "idle"}, key) { // what is there at the moment has no sum
		return
	}
	of := f.Routers[router]
	if of == nil {
		of = map[string]int64{}
		f.Routers[router] = of
	}
	row := f.Times[span]
	if row == nil {
		if len(f.Times) >= maxSpans {
			f.Skipped++
			return
		}
		row = map[string]int64{}
		f.Times[span] = row
	}
	if len(of) < maxNames {
		of[key] += n
		row[key] += n
	}
}

// Sum is what all routers counted together.
func (f *Fleet) Sum() map[string]int64 {
	sum := map[string]int64{}
	for _, of := range f.Routers {
		for key, n := range of {
			sum[key] += n
		}
	}
	return sum
}

// Outlier is a router that counted far more of something than most do.
type Outlier struct {
	Router, Counter string
	Count           int64
	Median          int64
	Times           float64 // its distance from the median, in median distances
}

// standsOut is how many median distances from the median stand out, and leastOut how many of a thing do: 2 of
// something that nearly nobody has are no news.
const (
	standsOut = 12
	minOut    = 20
)

// Outliers are the routers that stand out, the farthest first.
func (f *Fleet) Outliers() []Outlier {
	var out []Outlier
	for key := range f.Sum() {
		var all []int64
		for _, of := range f.Routers {
			all = append(all, of[key])
		}
		mid := median(all)
		var far []int64
		for _, n := range all {
			far = append(far, max(n-mid, mid-n))
		}
		spread := max(median(far), 1)
		for name, of := range f.Routers {
			if over := of[key] - mid; over >= minOut && over >= standsOut*spread {
				out = append(out, Outlier{name, key, of[key], mid, float64(over) / float64(spread)})
			}
		}
	}
	slices.SortFunc(out, func(x, y Outlier) int {
		return cmp.Or(cmp.Compare(y.Times, x.Times), strings.Compare(x.Counter, y.Counter), strings.Compare(x.Router, y.Router))
	})
	return out
}

func median(all []int64) int64 {
	all = slices.Sorted(slices.Values(all))
	return all[len(all)/2]
}

// Spans are the rows over time in order.
func (f *Fleet) Spans() []int64 { return slices.Sorted(maps.Keys(f.Times)) }
