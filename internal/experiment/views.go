package experiment

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Seen is one change of what a router believes, from its log.
type Seen struct {
	AtS    float64 `json:"at_s"` // since the arm's first
	Router int     `json:"router"`
	Of     int     `json:"of"` // -1: of itself and the whole: the next three count
	State  string  `json:"state,omitempty"`
	Boot   uint64  `json:"boot,omitempty"`
	Inc    uint64  `json:"incarnation,omitempty"`
	Share  float64 `json:"share,omitempty"`
	Counts int     `json:"counts,omitempty"` // whom it takes to be there

	at time.Time
}

const (
	grace    = 5 * time.Second        // a verdict on one that was paused or not to be reached so lately is not wrong yet
	logEvery = 300 * time.Millisecond // what is in force is logged so late at the most, and so the sum of parts seems too large for a moment
)

// read takes the views of one router from its log.
func readViews(path string, router int) ([]Seen, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var all []Seen
	lines := logfmt.NewDecoder(file)
	for lines.ScanRecord() {
		v := map[string]string{}
		for lines.ScanKeyval() {
			v[string(lines.Key())] = string(lines.Value())
		}
		s := Seen{Router: router, Of: -1, State: v["state"]}
		s.at, _ = time.Parse(time.RFC3339, v["time"])
		switch v["msg"] {
		case "member":
			_, _ = fmt.Sscanf(v["of"], "n%d", &s.Of)
			s.Boot, _ = strconv.ParseUint(v["boot"], 10, 64)
			s.Inc, _ = strconv.ParseUint(v["incarnation"], 10, 64)
		case "view":
			s.Share, _ = strconv.ParseFloat(v["share"], 64)
			s.Counts, _ = strconv.Atoi(v["counting"])
		default:
			continue
		}
		all = append(all, s)
	}
	return all, lines.Err()
}

// audit holds what all routers believed against what was done to them. It returns the figures, and all changes of views.
func (f *memberCluster) audit(routers []*process) (map[string]float64, []Seen, error) {
	m := map[string]float64{}
	var all []Seen
	for n, r := range routers {
		one, err := readViews(filepath.Join(r.dir, r.name+".log"), n)
		if err != nil {
			return m, nil, err
		}
		all = append(all, one...)
	}
	all = slices.DeleteFunc(all, func(s Seen) bool { return s.at.After(f.until) })
	if len(all) == 0 {
		return m, nil, fmt.Errorf("no router logged a view")
	}
	slices.SortStableFunc(all, func(x, y Seen) int { return x.at.Compare(y.at) })
	for i := range all {
		all[i].AtS = all[i].at.Sub(all[0].at).Seconds()
	}
	f.wrong(all, m)
	f.noticed(all, m)
	f.agreed(all, m)
	f.sums(all, m)
	sent, bytes := 0.0, 0.0
	for n, r := range f.reports {
		_, since := f.is(n, f.until)
		span := f.until.Sub(since).Seconds()
		sent, bytes = sent+float64(r.Counts.Sent)/span, bytes+float64(r.Counts.SentBytes)/span
		if c := r.State; c != nil { // answers that waited for another router's word
			m["waits_came"] += float64(c.Waits.Acknowledged)
			m["waits_over"] += float64(c.Waits.TimedOut + c.Waits.LimitReached + c.Waits.NoOtherMember)
			m["waits_longest_ms"] = max(m["waits_longest_ms"], c.Waits.LongestMS)
			m["state_differed"] += float64(r.Counts.MissingEntries)
		}
	}
	if n := float64(len(f.reports)); n > 0 {
		m["sent_per_s"], m["bytes_per_s"] = sent/n, bytes/n
	}
	return m, all, nil
}

// wrong counts verdicts on routers that served all along and could be heard, and incarnations that fell.
func (f *memberCluster) wrong(all []Seen, m map[string]float64) {
	m["false_deaths"], m["fallen"], m["doubts"] = 0, 0, 0
	cuts := f.net.Events()
	moments := f.moments(cuts)
	last := map[[3]uint64]uint64{}
	for _, s := range all {
		if s.Of < 0 {
			continue
		}
		key := [3]uint64{uint64(s.Router), uint64(s.Of), s.Boot}
		if s.Inc < last[key] {
			m["fallen"]++
		}
		last[key] = s.Inc
		if s.State == "alive" || s.Router == s.Of {
			continue
		}
		is, since := f.is(s.Of, s.at)
		if is != up || s.at.Sub(since) < grace {
			continue
		}
		whole := true // whether the two could hear each other all the while
		for _, t := range append(slices.Clone(moments), s.at) {
			if t.After(s.at.Add(-grace)) && !t.After(s.at) || t.Equal(s.at) {
				whole = whole && f.reach(s.Router, s.Of, t, cuts) && f.reach(s.Of, s.Router, t, cuts)
			}
		}
		start := s.at.Add(-grace)
		whole = whole && f.reach(s.Router, s.Of, start, cuts) && f.reach(s.Of, s.Router, start, cuts)
		switch {
		case !whole:
		case s.State == "dead" || s.State == "left":
			m["false_deaths"]++
		default:
			m["doubts"]++
		}
	}
}

// noticed says how long a kill took to be known to all that were up: seen as dead, or as started again.
func (f *memberCluster) noticed(all []Seen, m map[string]float64) {
	var times []float64
	m["unnoticed"] = 0
	cuts := f.net.Events()
	for _, t := range f.turns {
		if t.is != killed {
			continue
		}
		worst := 0.0
		for i := range f.count {
			if is, since := f.is(i, t.at); i == t.router || is != up || t.at.Sub(since) < grace || !f.reach(t.router, i, t.at, cuts) {
				continue
			}
			took := -1.0
			boot := uint64(0)
			for _, s := range all {
				if s.Router != i || s.Of != t.router {
					continue
				}
				if s.at.Before(t.at) {
					boot = s.Boot
				} else if s.State == "dead" || s.Boot > boot {
					took = float64(s.at.Sub(t.at).Microseconds()) / 1e3
					break
				}
			}
			if took < 0 {
				m["unnoticed"]++
			}
			worst = max(worst, took)
		}
		times = append(times, worst)
	}
	if m["kills"] = float64(len(times)); len(times) > 0 {
		slices.Sort(times)
		m["notice_p50_ms"], m["notice_p99_ms"] = stat.Quantile(0.5, stat.Empirical, times, nil), stat.Quantile(0.99, stat.Empirical, times, nil)
	}
}

// agreed says how long after the last fault or its end all views were right: who is up alive, who is not, not.
func (f *memberCluster) agreed(all []Seen, m map[string]float64) {
	last := all[0].at
	for _, t := range f.moments(f.net.Events()) {
		last = t
	}
	views := make([]map[int]string, f.count)
	for i := range views {
		views[i] = map[int]string{}
	}
	right := func() bool {
		for i := range f.count {
			if is, _ := f.is(i, last); is != up {
				continue
			}
			for j := range f.count {
				is, _ := f.is(j, last)
				if state := views[i][j]; (is == up) != (state == "alive") && (is == up || state != "") {
					return false
				}
			}
		}
		return true
	}
	agreed := time.Time{}
	for _, s := range all {
		if s.Of < 0 {
			continue
		}
		views[s.Router][s.Of] = s.State
		switch ok := right(); {
		case !ok:
			agreed = time.Time{}
		case agreed.IsZero():
			agreed = s.at
		}
	}
	if m["agreed"] = 0; !agreed.IsZero() {
		m["agreed"], m["agree_ms"] = 1, max(0, float64(agreed.Sub(last).Microseconds())/1e3)
	}
}

// sums adds up the parts in force. One that is paused or killed has nothing, or what it was told last as long as that
// can have held.
func (f *memberCluster) sums(all []Seen, m map[string]float64) {
	share := make([]float64, f.count)
	least := f.alone / float64(f.count)
	m["parts_most"], m["parts_over"] = 0, 0
	moments := f.moments(nil)
	for _, s := range all {
		moments = append(moments, s.at)
	}
	slices.SortFunc(moments, time.Time.Compare)
	k := 0
	since := time.Time{}
	for _, t := range moments {
		for ; k < len(all) && !all[k].at.After(t); k++ {
			if all[k].Of < 0 {
				share[all[k].Router] = all[k].Share
			}
		}
		sum := 0.0
		for i := range share {
			switch is, at := f.is(i, t); {
			case is == killed, is == stopped:
				share[i] = 0
			case is == paused && t.Sub(at) > f.term:
				sum += min(share[i], least)
			default:
				sum += share[i]
			}
		}
		switch {
		case sum <= 1+1e-6:
			since = time.Time{}
			m["parts_most"] = max(m["parts_most"], sum)
		case since.IsZero():
			since = t
		case t.Sub(since) > logEvery:
			m["parts_most"] = max(m["parts_most"], sum)
			m["parts_over"]++
		}
	}
	m["parts_last"] = 0
	for _, v := range share {
		m["parts_last"] += v
	}
}

// chartViews draws how many each router counts over time.
func chartViews(path, title string, all []Seen) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "second", "routers that each counts"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	lines := map[int]plotter.XYs{}
	end := 0.0
	for _, s := range all {
		end = max(end, s.AtS)
		if s.Of >= 0 {
			continue
		}
		shift := 0.04 * float64(s.Router) // or all would lie on one another
		if l := lines[s.Router]; len(l) > 0 {
			lines[s.Router] = append(l, plotter.XY{X: s.AtS, Y: l[len(l)-1].Y})
		}
		lines[s.Router] = append(lines[s.Router], plotter.XY{X: s.AtS, Y: float64(s.Counts) + shift})
	}
	var routers []int
	for r := range lines {
		routers = append(routers, r)
	}
	slices.SortFunc(routers, cmp.Compare)
	for i, r := range routers {
		l := lines[r]
		line, err := plotter.NewLine(append(l, plotter.XY{X: end, Y: l[len(l)-1].Y}))
		if err != nil {
			return err
		}
		line.Color, line.Width = inks[i%len(inks)], vg.Points(1.2)
		p.Add(line)
		p.Legend.Add(routerName(r), line)
	}
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, path)
}
