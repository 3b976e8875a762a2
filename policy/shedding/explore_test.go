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

// world is a state of three routers that serve one group, including the reports in flight between them. Each event
// makes a new world.
type world struct {
	now          clock.Nanos
	routers      [3]*Shedder
	received     [3][3]message // by receiver and sender: the latest report
	inFlight     []message
	paused       int    // the paused router; -1: none
	partitioned  int    // the router that is cut off from the others; -1: none
	eventCounts  [4]int // of limited events: overloaded intervals, pauses, partitions
	ignoreMaxAge bool   // deliberate fault: every report counts as fresh
	path         []string
}

type message struct {
	Report
	from, to   int
	sentAt     clock.Nanos // unknown to the routers
	receivedAt clock.Nanos
}

const (
	exploreInterval = 100 * ms
	maxInFlight     = 3 // with more reports in flight, time does not advance
)

func (s *Shedder) clone() *Shedder {
	c := *s
	c.affinities, c.buckets = maps.Clone(s.affinities), [2]map[bucketKey]*bucket{maps.Clone(s.buckets[0]), maps.Clone(s.buckets[1])}
	c.groups = map[int64]*group{}
	for number, original := range s.groups {
		copied := *original
		copied.arrivalsByRank = slices.Clone(original.arrivalsByRank)
		c.groups[number] = &copied
	}
	return &c
}

// next returns a copy of the world, to which the caller applies the named event.
func (w *world) next(event string) *world {
	c := *w
	for i, router := range w.routers {
		c.routers[i] = router.clone()
	}
	c.inFlight, c.path = slices.Clone(w.inFlight), append(slices.Clone(w.path), event)
	return &c
}

func (w *world) hash() uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, w.now, w.received, w.inFlight, w.paused, w.partitioned, w.eventCounts)
	for _, router := range w.routers {
		fmt.Fprint(hash, router.saltEpoch, router.saltChangedAt, router.tickedAt, router.resumedAt)
		if g := router.groups[1]; g != nil {
			fmt.Fprint(hash, g.threshold, g.ownThreshold, g.hasReport, g.seq, g.sampleSum, g.sampleCount, g.thresholdSince, g.evaluatedAt, g.evaluations, g.calmEvaluations, g.highEvaluations, g.servedAtOverload, g.served, g.quorumAt, g.pressure, g.quietEvaluations)
		}
	}
	return hash.Sum64()
}

// tick advances time by an interval: each running router receives requests, which are served unless the group is
// overloaded, and evaluates its pressure.
func (w *world) tick(overloaded bool) *world {
	c := w.next(fmt.Sprintf("tick, overloaded: %v", overloaded))
	c.now += exploreInterval
	for i, router := range c.routers {
		if i == c.paused {
			continue
		}
		for account := range uint64(6) {
			if verdict := router.Admit(Request{Team: int(account % 3), Account: account, Group: 1, Share: 1}, c.now); verdict.Reason != Shed {
				router.RequestStarted(1, c.now, 100*ms)
				router.RequestEnded(1, verdict.PriorityClass, "", Outcome{ArrivedAt: c.now, Elapsed: 10 * ms, LatencyObjective: 100 * ms, Served: !overloaded}, c.now)
			}
		}
		var reports []Report
		for j, m := range c.received[i] {
			if m.Seq > 0 && j != i {
				if m.Age = c.now - m.receivedAt; c.ignoreMaxAge {
					m.Age = 0
				}
				reports = append(reports, m.Report)
			}
		}
		for _, report := range router.Tick(c.now, Connectivity{Majority: i != c.partitioned}, reports) {
			for j := range c.routers {
				if j != i && i != c.partitioned && j != c.partitioned {
					c.inFlight = append(c.inFlight, message{report, i, j, c.now, 0})
				}
			}
		}
	}
	return c
}

// events returns the worlds after each possible next event: an interval with or without overload, a report received or
// lost, a router paused or resumed, a router cut off or reconnected.
func (w *world) events() []*world {
	var out []*world
	if len(w.inFlight) <= maxInFlight {
		if out = append(out, w.tick(false)); w.eventCounts[0] < 4 {
			c := w.tick(true)
			c.eventCounts[0]++
			out = append(out, c)
		}
	}
	for k, m := range w.inFlight {
		lost := w.next(fmt.Sprintf("lose %d>%d", m.from, m.to))
		lost.inFlight = slices.Delete(lost.inFlight, k, k+1)
		out = append(out, lost)
		if m.to == w.paused {
			continue
		}
		delivered := w.next(fmt.Sprintf("deliver %d>%d", m.from, m.to))
		delivered.inFlight = slices.Delete(delivered.inFlight, k, k+1)
		if m.receivedAt = w.now; m.Seq > delivered.received[m.to][m.from].Seq {
			delivered.received[m.to][m.from] = m
		}
		out = append(out, delivered)
	}
	for i := range w.routers {
		if w.paused < 0 && w.eventCounts[1] == 0 {
			c := w.next(fmt.Sprint("pause ", i))
			c.paused, c.eventCounts[1] = i, 1
			out = append(out, c)
		}
		if w.partitioned < 0 && w.eventCounts[2] == 0 {
			c := w.next(fmt.Sprint("cut off ", i))
			c.partitioned, c.eventCounts[2] = i, 1
			out = append(out, c)
		}
	}
	if w.paused >= 0 {
		c := w.next("resume")
		c.paused = -1
		out = append(out, c)
	}
	if w.partitioned >= 0 {
		c := w.next("reconnect")
		c.partitioned = -1
		out = append(out, c)
	}
	return out
}

// violation returns which invariant an event violated. The freshness of reports is judged by when they were received,
// not sent: routers can't know the time in transit, which the explorer does not limit.
func (w *world) violation(before *world) string {
	for i, router := range w.routers {
		after, old := router.groups[1], before.routers[i].groups[1]
		if after == nil {
			continue
		}
		if after.threshold < 0 || after.threshold > router.order.maxThreshold || router.saltEpoch < before.routers[i].saltEpoch {
			return fmt.Sprintf("router %d has threshold %d of at most %d, salt epoch %d after %d", i, after.threshold, router.order.maxThreshold, router.saltEpoch, before.routers[i].saltEpoch)
		}
		if old == nil || after.threshold >= old.threshold {
			continue
		}
		fresh := 1
		for j, m := range w.received[i] {
			if j != i && m.Seq > 0 && w.now-m.receivedAt <= 250*ms {
				fresh++
			}
		}
		if fresh < 2 || i == w.partitioned {
			return fmt.Sprintf("the threshold of router %d fell from %d to %d with %d fresh reports, cut off: %v", i, old.threshold, after.threshold, fresh, i == w.partitioned)
		}
	}
	return ""
}

// exploreStart returns a world whose routers share a threshold that sheds half of the requests, and have just received
// each other's reports.
func exploreStart(t *testing.T, ignoreMaxAge bool) *world {
	t.Helper()
	w := &world{now: 10 * second, paused: -1, partitioned: -1, ignoreMaxAge: ignoreMaxAge}
	for i := range w.routers {
		settings := testSettings(fmt.Sprint("r", i), 3)
		settings.Interval, settings.MaxReportAge = exploreInterval, 250*ms
		for j := range settings.PriorityClasses {
			settings.PriorityClasses[j].RequestsPerSecond = 0
		}
		router := newShedder(t, settings)
		router.tickedAt, router.saltChangedAt, router.resumedAt = w.now, w.now, 1
		g := router.group(1, w.now)
		g.threshold, g.ownThreshold, g.hasReport, g.seq, g.quietEvaluations = 60, 60, true, 1, 0
		w.routers[i] = router
		for j := range w.routers {
			if j != i {
				w.received[j][i] = message{Report{Group: 1, Router: settings.Router, Epoch: 1, Seq: 1, Threshold: 60}, i, j, w.now, w.now}
			}
		}
	}
	return w
}

// explore visits worlds breadth first, up to a number of states. It returns the number of states, the depth, and
// the shortest path to a violation.
func explore(w *world, maxStates int) (states, depth int, fault string) {
	seen, frontier := map[uint64]bool{w.hash(): true}, []*world{w}
	for len(frontier) > 0 && len(seen) < maxStates {
		var next []*world
		for _, before := range frontier {
			for _, after := range before.events() {
				if violation := after.violation(before); violation != "" {
					return len(seen), len(after.path), violation + "\n" + strings.Join(after.path, "\n")
				}
				if hash := after.hash(); !seen[hash] {
					seen[hash] = true
					next = append(next, after)
				}
			}
		}
		depth++
		frontier = next
	}
	return len(seen), depth, ""
}

func TestExplore(t *testing.T) {
	states, depth, fault := explore(exploreStart(t, false), 8_000)
	t.Logf("explored %d states, %d events deep", states, depth)
	if fault != "" {
		t.Error(fault)
	}
	if states < 8_000 || depth < 5 {
		t.Errorf("explored only %d states, %d events deep", states, depth)
	}
}

// The explorer detects a deliberate fault: with reports that never expire, a threshold falls although no router has
// sent a report for long.
func TestExploreFindsABrokenRule(t *testing.T) {
	states, depth, fault := explore(exploreStart(t, true), 20_000)
	t.Logf("explored %d states, %d events deep: %s", states, depth, fault)
	if !strings.Contains(fault, "fell") {
		t.Error("the explorer did not find the fault")
	}
}
