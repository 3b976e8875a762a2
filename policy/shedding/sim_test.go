package shedding

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"lotushook/policy/clock"
)

// fleet simulates routers in front of one group of servers, whose answers take longer the more requests are admitted.
// Each router pushes its reports to a number of others in turn, as internal/peer does, but requests no state from them.
type fleet struct {
	random    *rand.Rand
	routers   []*simulated
	now       clock.Nanos
	inFlight  messageQueue
	lossRate  float64
	capacity  float64 // requests that all servers complete in an interval while answers are fast
	requested float64 // requests that arrive at all routers in an interval
	admitted  float64 // by all routers in this step
	load      float64 // admitted requests over the capacity, smoothed as by a queue
	sent      int     // messages sent by all routers
	bytes     int
}

type simulated struct {
	*Shedder
	clockRate float64
	target    int // router to which this one last pushed its reports
	nextTick  clock.Nanos
	received  map[string]receivedReport // latest report of each router
	share     float64                   // share of the requests that this router receives
	paused    bool
	isolated  bool
}

type receivedReport struct {
	Report
	at clock.Nanos
}

type messageInFlight struct {
	arrivesAt clock.Nanos
	to        int
	report    Report
}

type messageQueue []messageInFlight

func (q messageQueue) Len() int           { return len(q) }
func (q messageQueue) Less(i, j int) bool { return q[i].arrivesAt < q[j].arrivesAt }
func (q messageQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *messageQueue) Push(x any)        { *q = append(*q, x.(messageInFlight)) }
func (q *messageQueue) Pop() any          { old := *q; x := old[len(old)-1]; *q = old[:len(old)-1]; return x }

const (
	fanout          = 16
	tickInterval    = 100 * ms
	bytesPerMessage = 131 // of one report with its envelope on the wire, as measured by TestSheddingLevelFitsShortDatagram of internal/peer
)

func newFleet(t *testing.T, routerCount int, seed uint64) *fleet {
	t.Helper()
	sim := &fleet{random: rand.New(rand.NewPCG(seed, 1)), lossRate: 0.1, capacity: float64(8 * routerCount), requested: float64(11 * routerCount / 2)}
	for i := range routerCount {
		settings := testSettings(fmt.Sprintf("r%04d", i), routerCount)
		for j := range settings.PriorityClasses {
			settings.PriorityClasses[j].RequestsPerSecond = 0 // other tests cover entitlements
		}
		sim.routers = append(sim.routers, &simulated{Shedder: newShedder(t, settings), clockRate: 0.98 + 0.04*sim.random.Float64(), nextTick: sim.random.Int64N(tickInterval), received: map[string]receivedReport{}, target: i, share: 1 / float64(routerCount)})
	}
	return sim
}

// run advances the simulation by a span, in steps of 10 ms.
func (sim *fleet) run(span clock.Nanos) {
	for end := sim.now + span; sim.now < end; {
		sim.now += 10 * ms
		for len(sim.inFlight) > 0 && sim.inFlight[0].arrivesAt <= sim.now {
			message := heap.Pop(&sim.inFlight).(messageInFlight)
			router := sim.routers[message.to]
			if old, ok := router.received[message.report.Router]; !ok || message.report.Seq > old.Seq {
				router.received[message.report.Router] = receivedReport{message.report, router.clock(sim.now)}
			}
		}
		sim.admitted = 0
		for _, router := range sim.routers {
			if !router.paused {
				sim.sendRequests(router)
			}
		}
		sim.load += 0.05 * (sim.admitted/(sim.capacity*10/200) - sim.load)
		for i, router := range sim.routers {
			if !router.paused && sim.now >= router.nextTick {
				router.nextTick = sim.now + tickInterval
				sim.tick(i, router)
			}
		}
	}
}

func (r *simulated) clock(now clock.Nanos) clock.Nanos {
	return second + clock.Nanos(float64(now)*r.clockRate)
}

// sendRequests sends a router its requests of one step: an eighth premium, five eighths regular, a quarter background.
func (sim *fleet) sendRequests(router *simulated) {
	now := router.clock(sim.now)
	for unsent := sim.requested * router.share * 10 / 200; unsent > 0; unsent-- {
		if unsent < 1 && sim.random.Float64() > unsent {
			break
		}
		account := sim.random.Uint64N(1000)
		verdict := router.Admit(Request{Team: [8]int{0, 1, 1, 1, 1, 1, 2, 2}[account%8], Account: account, Group: 1, Share: 1}, now)
		if verdict.Reason == Shed {
			continue
		}
		sim.admitted++
		router.RequestStarted(1, now, 100*ms)
		share := 0.1 // response time as a share of the latency objective
		if sim.load > 0.9 {
			share = 0.1 + 4*(sim.load-0.9)
		}
		router.RequestEnded(1, verdict.PriorityClass, "", Outcome{ArrivedAt: now, Elapsed: clock.Nanos(share * 100e6), LatencyObjective: 100 * ms, Served: share < 1}, now)
	}
}

func (sim *fleet) tick(i int, router *simulated) {
	now := router.clock(sim.now)
	var reports []Report
	for name, latest := range router.received {
		if latest.Age = now - latest.at; latest.Age > second {
			delete(router.received, name)
			continue
		}
		reports = append(reports, latest.Report)
	}
	for _, report := range router.Tick(now, Connectivity{Majority: true}, reports) {
		for range min(fanout, len(sim.routers)-1) {
			if router.target = (router.target + 1) % len(sim.routers); router.target == i {
				router.target = (router.target + 1) % len(sim.routers)
			}
			sim.sent++
			sim.bytes += bytesPerMessage
			if to := sim.routers[router.target]; sim.random.Float64() >= sim.lossRate && !router.isolated && !to.isolated {
				heap.Push(&sim.inFlight, messageInFlight{sim.now + ms + sim.random.Int64N(20*ms), router.target, report})
			}
		}
	}
}

// spread returns the difference between the highest and the lowest threshold of the connected routers, the lowest
// threshold, and the difference between their salt epochs.
func (sim *fleet) spread() (difference, lowest int, epochs uint64) {
	highest, firstEpoch, lastEpoch := 0, uint64(1<<62), uint64(0)
	lowest = 1 << 30
	for _, router := range sim.routers {
		if router.paused || router.isolated {
			continue
		}
		threshold := router.group(1, 0).threshold
		highest, lowest = max(highest, threshold), min(lowest, threshold)
		firstEpoch, lastEpoch = min(firstEpoch, router.saltEpoch), max(lastEpoch, router.saltEpoch)
	}
	return highest - lowest, lowest, lastEpoch - firstEpoch
}

// A surge of requests in fleets of ten to a thousand routers: the thresholds converge, enough is shed, all is released
// after the surge, and neither these times nor the messages per member grow with the fleet.
func TestFleetSizes(t *testing.T) {
	perMember := map[int]float64{}
	for _, routerCount := range []int{10, 100, 1000} {
		sim := newFleet(t, routerCount, 1)
		sim.run(second)
		if _, threshold, _ := sim.spread(); threshold != 0 || sim.sent > 0 {
			t.Fatalf("%d routers without overload: threshold %d, %d messages", routerCount, threshold, sim.sent)
		}
		sim.requested *= 2.2
		convergedAfter, surgeAt := clock.Nanos(-1), sim.now
		for sim.now < surgeAt+2*second {
			sim.run(100 * ms)
			if difference, lowest, _ := sim.spread(); lowest == 0 || difference > Positions/8 {
				convergedAfter = -1
			} else if convergedAfter < 0 {
				convergedAfter = sim.now - surgeAt
			}
		}
		if _, threshold, _ := sim.spread(); sim.load > 1 || threshold > sim.routers[0].order.firstRank[0] {
			t.Errorf("%d routers: load %.2f, threshold %d after the first 2 s of the surge", routerCount, sim.load, threshold)
		}
		perMember[routerCount] = float64(sim.sent) / float64(routerCount) / 2
		sim.requested /= 2.2
		surgeEnd := sim.now
		for _, threshold, _ := sim.spread(); threshold > 0 && sim.now < surgeEnd+10*second; _, threshold, _ = sim.spread() {
			sim.run(100 * ms)
		}
		t.Logf("%d routers: thresholds converged after %d ms, all requests admitted %d ms after the surge, %.0f messages of %d bytes per member and second", routerCount, convergedAfter/ms, (sim.now-surgeEnd)/ms, perMember[routerCount], bytesPerMessage)
		if convergedAfter < 0 || convergedAfter > 2*second || sim.now-surgeEnd > 5*second || perMember[routerCount] > 5*fanout {
			t.Errorf("%d routers: converged after %d ms, all requests admitted %d ms after the surge, %.0f messages per member and second", routerCount, convergedAfter/ms, (sim.now-surgeEnd)/ms, perMember[routerCount])
		}
	}
	if perMember[1000] > 1.1*perMember[100] {
		t.Errorf("messages per member grow with the fleet: %v", perMember)
	}
}

// Faults during a surge: a router that can't know the other routers' thresholds keeps its own or raises it, all routers
// use the same salt again soon after each rotation although their clocks differ by 2%, and the thresholds converge once
// the routers are connected again.
func TestFaults(t *testing.T) {
	sim := newFleet(t, 7, 2)
	for _, router := range sim.routers {
		router.settings.SaltPeriod = 3 * second
	}
	sim.capacity, sim.requested, sim.lossRate = 700, 1200, 0.3
	for i, router := range sim.routers { // three routers get most of the requests
		router.share = [7]float64{0.55, 0.15, 0.15, 0.05, 0.05, 0.05, 0}[i]
	}
	sim.run(2 * second)
	if difference, lowest, _ := sim.spread(); lowest == 0 || difference > Positions/8 {
		t.Fatalf("during the surge the lowest threshold is %d, the difference %d", lowest, difference)
	}
	sim.routers[1].paused, sim.routers[2].isolated = true, true
	previous := sim.routers[2].groups[1].threshold
	twoSalts := clock.Nanos(0)
	for range 500 {
		sim.run(10 * ms)
		if _, _, epochs := sim.spread(); epochs > 0 {
			twoSalts += 10 * ms
		}
		// During the first second of the partition the reports that the router has received are still fresh.
		if threshold := sim.routers[2].groups[1].threshold; threshold < previous && sim.now > 3*second+100*ms {
			t.Fatalf("the threshold of the isolated router fell from %d to %d", previous, threshold)
		} else {
			previous = threshold
		}
	}
	if epoch := sim.routers[0].SaltEpoch(); epoch < 2 || twoSalts > 600*ms {
		t.Errorf("salt epoch is %d; routers used two salts for %d ms of 5 s", epoch, twoSalts/ms)
	}
	before := sim.routers[1].groups[1].threshold
	sim.routers[1].paused, sim.routers[1].nextTick, sim.routers[2].isolated = false, 0, false
	sim.tick(1, sim.routers[1])
	if threshold := sim.routers[1].groups[1].threshold; threshold < before {
		t.Errorf("the threshold of a resumed router fell from %d to %d because of outdated reports", before, threshold)
	}
	sim.run(1500 * ms)
	if difference, lowest, epochs := sim.spread(); lowest == 0 || difference > Positions/8 || epochs > 0 {
		t.Errorf("after the faults the lowest threshold is %d, the difference %d, and %d salt epochs apart", lowest, difference, epochs)
	}
	sim.routers[0].isolated = true // after IsolationTimeout it decides alone, and admits all requests again
	sim.requested = 100
	sim.run(2 * second)
	if sim.routers[0].groups[1].threshold == 0 {
		t.Error("the threshold of an isolated router fell before IsolationTimeout")
	}
	sim.run(sim.routers[0].settings.IsolationTimeout + 5*second)
	if group := sim.routers[0].groups[1]; group.threshold != 0 || !group.isolated && group.quorumAt == 0 {
		t.Errorf("after IsolationTimeout the isolated router still sheds: %+v", group)
	}
}
