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
	eventCounts  [4]int // how often each limited event occurred: overloaded intervals, pauses, partitions
	ignoreMaxAge bool   // deliberate fault: every report counts as fresh
	path         []string
}

type message struct {
	Report
	from, to   int
	sentAt     clock.Nanos // not visible to the routers
	receivedAt clock.Nanos
}

const (
	exploreInterval = 100 * ms
	maxInFlight     = 3 // with more reports in flight, time does not advance
)

func (s *Shedder) clone() *Shedder {
	result := *s
	result.affinities, result.buckets = maps.Clone(s.affinities), [2]map[bucketKey]*bucket{maps.Clone(s.buckets[0]), maps.Clone(s.buckets[1])}
	result.groups = map[int64]*group{}
	for number, original := range s.groups {
		copied := *original
		copied.arrivalsByRank = slices.Clone(original.arrivalsByRank)
		result.groups[number] = &copied
	}
	return &result
}

// next returns a copy of the world, to which the caller applies the named event.
func (state *world) next(event string) *world {
	successor := *state
	for i, router := range state.routers {
		successor.routers[i] = router.clone()
	}
	successor.inFlight, successor.path = slices.Clone(state.inFlight), append(slices.Clone(state.path), event)
	return &successor
}

func (state *world) hash() uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, state.now, state.received, state.inFlight, state.paused, state.partitioned, state.eventCounts)
	for _, router := range state.routers {
		fmt.Fprint(hash, router.saltEpoch, router.saltChangedAt, router.tickedAt, router.resumedAt)
		if group := router.groups[1]; group != nil {
			fmt.Fprint(hash, group.threshold, group.ownThreshold, group.hasReport, group.seq, group.sampleSum, group.sampleCount, group.thresholdSince, group.evaluatedAt, group.evaluations, group.calmEvaluations, group.highEvaluations, group.servedAtOverload, group.served, group.quorumAt, group.pressure, group.quietEvaluations)
		}
	}
	return hash.Sum64()
}

// tick advances time by an interval: each running router receives requests, which are served unless the group is
// overloaded, and evaluates its pressure.
func (state *world) tick(overloaded bool) *world {
	successor := state.next(fmt.Sprintf("tick, overloaded: %v", overloaded))
	successor.now += exploreInterval
	for i, router := range successor.routers {
		if i == successor.paused {
			continue
		}
		for account := range uint64(6) {
			if verdict := router.Admit(Request{Team: int(account % 3), Account: account, Group: 1, Share: 1}, successor.now); verdict.Reason != Shed {
				router.RequestStarted(1, successor.now, 100*ms)
				router.RequestEnded(1, verdict.PriorityClass, "", Outcome{ArrivedAt: successor.now, Elapsed: 10 * ms, LatencyObjective: 100 * ms, Served: !overloaded}, successor.now)
			}
		}
		var reports []Report
		for j, latest := range successor.received[i] {
			if latest.Seq > 0 && j != i {
				if latest.Age = successor.now - latest.receivedAt; successor.ignoreMaxAge {
					latest.Age = 0
				}
				reports = append(reports, latest.Report)
			}
		}
		for _, report := range router.Tick(successor.now, Connectivity{Majority: i != successor.partitioned}, reports) {
			for j := range successor.routers {
				if j != i && i != successor.partitioned && j != successor.partitioned {
					successor.inFlight = append(successor.inFlight, message{report, i, j, successor.now, 0})
				}
			}
		}
	}
	return successor
}

// events returns the worlds after each possible next event: an interval with or without overload, a report received or
// lost, a router paused or resumed, a router cut off or reconnected.
func (state *world) events() []*world {
	var out []*world
	if len(state.inFlight) <= maxInFlight {
		if out = append(out, state.tick(false)); state.eventCounts[0] < 4 {
			successor := state.tick(true)
			successor.eventCounts[0]++
			out = append(out, successor)
		}
	}
	for k, report := range state.inFlight {
		lost := state.next(fmt.Sprintf("lose %d>%d", report.from, report.to))
		lost.inFlight = slices.Delete(lost.inFlight, k, k+1)
		out = append(out, lost)
		if report.to == state.paused {
			continue
		}
		delivered := state.next(fmt.Sprintf("deliver %d>%d", report.from, report.to))
		delivered.inFlight = slices.Delete(delivered.inFlight, k, k+1)
		if report.receivedAt = state.now; report.Seq > delivered.received[report.to][report.from].Seq {
			delivered.received[report.to][report.from] = report
		}
		out = append(out, delivered)
	}
	for i := range state.routers {
		if state.paused < 0 && state.eventCounts[1] == 0 {
			successor := state.next(fmt.Sprint("pause ", i))
			successor.paused, successor.eventCounts[1] = i, 1
			out = append(out, successor)
		}
		if state.partitioned < 0 && state.eventCounts[2] == 0 {
			successor := state.next(fmt.Sprint("cut off ", i))
			successor.partitioned, successor.eventCounts[2] = i, 1
			out = append(out, successor)
		}
	}
	if state.paused >= 0 {
		successor := state.next("resume")
		successor.paused = -1
		out = append(out, successor)
	}
	if state.partitioned >= 0 {
		successor := state.next("reconnect")
		successor.partitioned = -1
		out = append(out, successor)
	}
	return out
}

// violation returns the invariant that an event violated, if any. A report counts as fresh by the time when it was
// received: routers can't know the time in transit, which the explorer does not limit.
func (state *world) violation(before *world) string {
	for i, router := range state.routers {
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
		for j, latest := range state.received[i] {
			if j != i && latest.Seq > 0 && state.now-latest.receivedAt <= 250*ms {
				fresh++
			}
		}
		if fresh < 2 || i == state.partitioned {
			return fmt.Sprintf("the threshold of router %d fell from %d to %d with %d fresh reports, cut off: %v", i, old.threshold, after.threshold, fresh, i == state.partitioned)
		}
	}
	return ""
}

// exploreStart returns a world whose routers share a threshold that sheds half of the requests, and have just received
// each other's reports.
func exploreStart(t *testing.T, ignoreMaxAge bool) *world {
	t.Helper()
	start := &world{now: 10 * second, paused: -1, partitioned: -1, ignoreMaxAge: ignoreMaxAge}
	for i := range start.routers {
		settings := testSettings(fmt.Sprint("r", i), 3)
		settings.Interval, settings.MaxReportAge = exploreInterval, 250*ms
		for j := range settings.PriorityClasses {
			settings.PriorityClasses[j].RequestsPerSecond = 0
		}
		router := newShedder(t, settings)
		router.tickedAt, router.saltChangedAt, router.resumedAt = start.now, start.now, 1
		groupState := router.group(1, start.now)
		groupState.threshold, groupState.ownThreshold, groupState.hasReport, groupState.seq, groupState.quietEvaluations = 60, 60, true, 1, 0
		start.routers[i] = router
		for j := range start.routers {
			if j != i {
				start.received[j][i] = message{Report{Group: 1, Router: settings.Router, Epoch: 1, Seq: 1, Threshold: 60}, i, j, start.now, start.now}
			}
		}
	}
	return start
}

// explore visits worlds breadth first, up to a number of states. It returns the number of states, the depth, and
// the shortest path to a violation.
func explore(start *world, maxStates int) (states, depth int, fault string) {
	seen, frontier := map[uint64]bool{start.hash(): true}, []*world{start}
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

// The explorer detects a deliberate fault: if reports never expire, a threshold falls although no router has sent a
// report for a long time.
func TestExploreFindsABrokenRule(t *testing.T) {
	states, depth, fault := explore(exploreStart(t, true), 20_000)
	t.Logf("explored %d states, %d events deep: %s", states, depth, fault)
	if !strings.Contains(fault, "fell") {
		t.Error("the explorer did not find the fault")
	}
}
