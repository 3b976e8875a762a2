package shedding

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"testing"

	"lotushook/policy/clock"
)

// world is three routers before one group, and the reports under way between them; each event makes another one of it.
type world struct {
	now    clock.Nanos
	who    [3]*Shedder
	copies [3][3]said // what each knows of the others: their latest words
	way    []said
	asleep int // who is stopped; -1: nobody
	split  int // who is cut off from the others; -1: nobody
	used   [4]int
	old    bool // the rule that is broken on purpose: whatever came once is taken for fresh
	path   []string
}

type said struct {
	Report
	from, to int
	made     clock.Nanos // when it was said, which no router can know
	came     clock.Nanos
}

const (
	exploreLook = 100 * ms
	onWay       = 3 // beyond it something must arrive or be lost first
)

func (l *Shedder) clone() *Shedder {
	c := *l
	c.affinities, c.buckets = maps.Clone(l.affinities), [2]map[bucketKey]*bucket{maps.Clone(l.buckets[0]), maps.Clone(l.buckets[1])}
	c.groups = map[int64]*group{}
	for n, g := range l.groups {
		h := *g
		h.arrivalsByRank = slices.Clone(g.arrivalsByRank)
		c.groups[n] = &h
	}
	return &c
}

func (w *world) next(what string) *world {
	c := *w
	for i, l := range w.who {
		c.who[i] = l.clone()
	}
	c.way, c.path = slices.Clone(w.way), append(slices.Clone(w.path), what)
	return &c
}

func (w *world) hash() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.now, w.copies, w.way, w.asleep, w.split, w.used)
	for _, l := range w.who {
		fmt.Fprint(h, l.saltEpoch, l.saltChangedAt, l.tickedAt, l.resumedAt)
		if g := l.groups[1]; g != nil {
			fmt.Fprint(h, g.threshold, g.ownThreshold, g.hasReport, g.seq, g.sampleSum, g.sampleCount, g.thresholdSince, g.evaluatedAt, g.evaluations, g.calmEvaluations, g.highEvaluations, g.servedAtOverload, g.served, g.quorumAt, g.pressure, g.quietEvaluations)
		}
	}
	return h.Sum64()
}

// tick has time go on: each router that runs takes requests, which end well or badly, and looks.
func (w *world) tick(hot bool) *world {
	c := w.next(fmt.Sprintf("look, hot %v", hot))
	c.now += exploreLook
	for i, l := range c.who {
		if i == c.asleep {
			continue
		}
		for a := range uint64(6) {
			if v := l.Admit(Request{Team: int(a % 3), Account: a, Group: 1, Share: 1}, c.now); v.Reason != Shed {
				l.RequestStarted(1, c.now, 100*ms)
				l.RequestEnded(1, v.PriorityClass, "", Outcome{ArrivedAt: c.now, Elapsed: 10 * ms, LatencyObjective: 100 * ms, Served: !hot}, c.now)
			}
		}
		var reports []Report
		for j, s := range c.copies[i] {
			if s.Seq > 0 && j != i {
				if s.Age = c.now - s.came; c.old {
					s.Age = 0
				}
				reports = append(reports, s.Report)
			}
		}
		for _, r := range l.Tick(c.now, Connectivity{Majority: i != c.split}, reports) {
			for j := range c.who {
				if j != i && i != c.split && j != c.split {
					c.way = append(c.way, said{r, i, j, c.now, 0})
				}
			}
		}
	}
	return c
}

// events are all that can happen next: a look in a good or a bad time, a report arrives or is lost, a router is stopped or
// goes on, one is cut off or is not any more.
func (w *world) events() []*world {
	var out []*world
	if len(w.way) <= onWay {
		if out = append(out, w.tick(false)); w.used[0] < 4 {
			c := w.tick(true)
			c.used[0]++
			out = append(out, c)
		}
	}
	for k, s := range w.way {
		c := w.next(fmt.Sprintf("lose %d>%d", s.from, s.to))
		c.way = slices.Delete(c.way, k, k+1)
		out = append(out, c)
		if s.to == w.asleep {
			continue
		}
		d := w.next(fmt.Sprintf("deliver %d>%d", s.from, s.to))
		d.way = slices.Delete(d.way, k, k+1)
		if s.came = w.now; s.Seq > d.copies[s.to][s.from].Seq {
			d.copies[s.to][s.from] = s
		}
		out = append(out, d)
	}
	for i := range w.who {
		if w.asleep < 0 && w.used[1] == 0 {
			c := w.next(fmt.Sprint("stop ", i))
			c.asleep, c.used[1] = i, 1
			out = append(out, c)
		}
		if w.split < 0 && w.used[2] == 0 {
			c := w.next(fmt.Sprint("cut off ", i))
			c.split, c.used[2] = i, 1
			out = append(out, c)
		}
	}
	if w.asleep >= 0 {
		c := w.next("go on")
		c.asleep = -1
		out = append(out, c)
	}
	if w.split >= 0 {
		c := w.next("heal")
		c.split = -1
		out = append(out, c)
	}
	return out
}

// broken says which invariant an event has broken. That evidence is old is judged by when it was said, which the routers
// themselves can't know: a report may have waited on its way for as long as the explorer lets it, so it is old by when it came.
func (w *world) broken(before *world) string {
	for i, l := range w.who {
		g, was := l.groups[1], before.who[i].groups[1]
		if g == nil {
			continue
		}
		if g.threshold < 0 || g.threshold > l.order.maxThreshold || l.saltEpoch < before.who[i].saltEpoch {
			return fmt.Sprintf("%d has level %d of %d, epoch %d after %d", i, g.threshold, l.order.maxThreshold, l.saltEpoch, before.who[i].saltEpoch)
		}
		if was == nil || g.threshold >= was.threshold {
			continue
		}
		fresh := 1
		for j, s := range w.copies[i] {
			if j != i && s.Seq > 0 && w.now-s.came <= 250*ms {
				fresh++
			}
		}
		if fresh < 2 || i == w.split {
			return fmt.Sprintf("the level of %d fell from %d to %d with %d fresh reports, cut off: %v", i, was.threshold, g.threshold, fresh, i == w.split)
		}
	}
	return ""
}

// exploreStart is three that share one level, which half of what is asked stands below, and knew each other's word just now.
func exploreStart(t *testing.T, old bool) *world {
	t.Helper()
	w := &world{now: 10 * second, asleep: -1, split: -1, old: old}
	for i := range w.who {
		s := three(fmt.Sprint("r", i), 3)
		s.Interval, s.MaxReportAge = exploreLook, 250*ms
		for j := range s.PriorityClasses {
			s.PriorityClasses[j].RequestsPerSecond = 0
		}
		l := lanes(t, s)
		l.tickedAt, l.saltChangedAt, l.resumedAt = w.now, w.now, 1
		g := l.group(1, w.now)
		g.threshold, g.ownThreshold, g.hasReport, g.seq, g.quietEvaluations = 60, 60, true, 1, 0
		w.who[i] = l
		for j := range w.who {
			if j != i {
				w.copies[j][i] = said{Report{Group: 1, Router: s.Router, Epoch: 1, Seq: 1, Threshold: 60}, i, j, w.now, w.now}
			}
		}
	}
	return w
}

// explore sees worlds breadth first, up to so many, and returns how many and how deep, and the shortest way to a broken one.
func explore(w *world, most int) (states, depth int, fault string) {
	seen, row := map[uint64]bool{w.hash(): true}, []*world{w}
	for len(row) > 0 && len(seen) < most {
		var next []*world
		for _, x := range row {
			for _, y := range x.events() {
				if b := y.broken(x); b != "" {
					return len(seen), len(y.path), b + "\n" + strings.Join(y.path, "\n")
				}
				if h := y.hash(); !seen[h] {
					seen[h] = true
					next = append(next, y)
				}
			}
		}
		depth++
		row = next
	}
	return len(seen), depth, ""
}

func TestExplore(t *testing.T) {
	states, depth, fault := explore(exploreStart(t, false), 8_000)
	t.Logf("%d states, %d events deep", states, depth)
	if fault != "" {
		t.Error(fault)
	}
	if states < 8_000 || depth < 5 {
		t.Errorf("only %d states, %d events deep", states, depth)
	}
}

// A rule broken on purpose is found: reports that never grow old let a level fall that nobody spoke of for long.
func TestExploreFindsABrokenRule(t *testing.T) {
	states, depth, fault := explore(exploreStart(t, true), 20_000)
	t.Logf("%d states, %d events deep: %s", states, depth, fault)
	if !strings.Contains(fault, "fell") {
		t.Error("nothing was found")
	}
}
