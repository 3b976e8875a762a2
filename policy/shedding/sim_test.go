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
	sent      int     // messages
	bytes     int
}

type simulated struct {
	*Shedder
	clockRate float64
	target    int // router to which the latest report was pushed
	nextTick  clock.Nanos
	received  map[string]receivedReport // latest report of each router
	share     float64                   // of the requests
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

func newFleet(t *testing.T, n int, seed uint64) *fleet {
	t.Helper()
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), lossRate: 0.1, capacity: float64(8 * n), requested: float64(11 * n / 2)}
	for i := range n {
		settings := testSettings(fmt.Sprintf("r%04d", i), n)
		for j := range settings.PriorityClasses {
			settings.PriorityClasses[j].RequestsPerSecond = 0 // other tests cover entitlements
		}
		f.routers = append(f.routers, &simulated{Shedder: newShedder(t, settings), clockRate: 0.98 + 0.04*f.random.Float64(), nextTick: f.random.Int64N(tickInterval), received: map[string]receivedReport{}, target: i, share: 1 / float64(n)})
	}
	return f
}

// run advances the simulation by a span, in steps of 10 ms.
func (f *fleet) run(span clock.Nanos) {
	for end := f.now + span; f.now < end; {
		f.now += 10 * ms
		for len(f.inFlight) > 0 && f.inFlight[0].arrivesAt <= f.now {
			message := heap.Pop(&f.inFlight).(messageInFlight)
			router := f.routers[message.to]
			if old, ok := router.received[message.report.Router]; !ok || message.report.Seq > old.Seq {
				router.received[message.report.Router] = receivedReport{message.report, router.clock(f.now)}
			}
		}
		f.admitted = 0
		for _, router := range f.routers {
			if !router.paused {
				f.sendRequests(router)
			}
		}
		f.load += 0.05 * (f.admitted/(f.capacity*10/200) - f.load)
		for i, router := range f.routers {
			if !router.paused && f.now >= router.nextTick {
				router.nextTick = f.now + tickInterval
				f.tick(i, router)
			}
		}
	}
}

func (r *simulated) clock(now clock.Nanos) clock.Nanos {
	return second + clock.Nanos(float64(now)*r.clockRate)
}

// sendRequests sends a router its requests of one step: an eighth premium, five eighths regular, a quarter background.
func (f *fleet) sendRequests(router *simulated) {
	now := router.clock(f.now)
	for n := f.requested * router.share * 10 / 200; n > 0; n-- {
		if n < 1 && f.random.Float64() > n {
			break
		}
		account := f.random.Uint64N(1000)
		verdict := router.Admit(Request{Team: [8]int{0, 1, 1, 1, 1, 1, 2, 2}[account%8], Account: account, Group: 1, Share: 1}, now)
		if verdict.Reason == Shed {
			continue
		}
		f.admitted++
		router.RequestStarted(1, now, 100*ms)
		share := 0.1 // of the latency objective
		if f.load > 0.9 {
			share = 0.1 + 4*(f.load-0.9)
		}
		router.RequestEnded(1, verdict.PriorityClass, "", Outcome{ArrivedAt: now, Elapsed: clock.Nanos(share * 100e6), LatencyObjective: 100 * ms, Served: share < 1}, now)
	}
}

func (f *fleet) tick(i int, router *simulated) {
	now := router.clock(f.now)
	var reports []Report
	for name, latest := range router.received {
		if latest.Age = now - latest.at; latest.Age > second {
			delete(router.received, name)
			continue
		}
		reports = append(reports, latest.Report)
	}
	for _, report := range router.Tick(now, Connectivity{Majority: true}, reports) {
		for range min(fanout, len(f.routers)-1) {
			if router.target = (router.target + 1) % len(f.routers); router.target == i {
				router.target = (router.target + 1) % len(f.routers)
			}
			f.sent++
			f.bytes += bytesPerMessage
			if to := f.routers[router.target]; f.random.Float64() >= f.lossRate && !router.isolated && !to.isolated {
				heap.Push(&f.inFlight, messageInFlight{f.now + ms + f.random.Int64N(20*ms), router.target, report})
			}
		}
	}
}

// spread returns the difference between the highest and the lowest threshold of the connected routers, the lowest
// threshold, and the difference between their salt epochs.
func (f *fleet) spread() (difference, lowest int, epochs uint64) {
	highest, firstEpoch, lastEpoch := 0, uint64(1<<62), uint64(0)
	lowest = 1 << 30
	for _, router := range f.routers {
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
	for _, n := range []int{10, 100, 1000} {
		f := newFleet(t, n, 1)
		f.run(second)
		if _, threshold, _ := f.spread(); threshold != 0 || f.sent > 0 {
			t.Fatalf("%d routers without overload: threshold %d, %d messages", n, threshold, f.sent)
		}
		f.requested *= 2.2
		convergedAfter, surgeAt := clock.Nanos(-1), f.now
		for f.now < surgeAt+2*second {
			f.run(100 * ms)
			if difference, lowest, _ := f.spread(); lowest == 0 || difference > Positions/8 {
				convergedAfter = -1
			} else if convergedAfter < 0 {
				convergedAfter = f.now - surgeAt
			}
		}
		if _, threshold, _ := f.spread(); f.load > 1 || threshold > f.routers[0].order.firstRank[0] {
			t.Errorf("%d routers: load %.2f, threshold %d after the first 2 s of the surge", n, f.load, threshold)
		}
		perMember[n] = float64(f.sent) / float64(n) / 2
		f.requested /= 2.2
		surgeEnd := f.now
		for _, threshold, _ := f.spread(); threshold > 0 && f.now < surgeEnd+10*second; _, threshold, _ = f.spread() {
			f.run(100 * ms)
		}
		t.Logf("%d routers: thresholds converged after %d ms, all requests admitted %d ms after the surge, %.0f messages of %d bytes per member and second", n, convergedAfter/ms, (f.now-surgeEnd)/ms, perMember[n], bytesPerMessage)
		if convergedAfter < 0 || convergedAfter > 2*second || f.now-surgeEnd > 5*second || perMember[n] > 5*fanout {
			t.Errorf("%d routers: converged after %d ms, all requests admitted %d ms after the surge, %.0f messages per member and second", n, convergedAfter/ms, (f.now-surgeEnd)/ms, perMember[n])
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
	f := newFleet(t, 7, 2)
	for _, router := range f.routers {
		router.settings.SaltPeriod = 3 * second
	}
	f.capacity, f.requested, f.lossRate = 700, 1200, 0.3
	for i, router := range f.routers { // three routers get most of the requests
		router.share = [7]float64{0.55, 0.15, 0.15, 0.05, 0.05, 0.05, 0}[i]
	}
	f.run(2 * second)
	if difference, lowest, _ := f.spread(); lowest == 0 || difference > Positions/8 {
		t.Fatalf("during the surge the lowest threshold is %d, the difference %d", lowest, difference)
	}
	f.routers[1].paused, f.routers[2].isolated = true, true
	previous := f.routers[2].groups[1].threshold
	twoSalts := clock.Nanos(0)
	for range 500 {
		f.run(10 * ms)
		if _, _, epochs := f.spread(); epochs > 0 {
			twoSalts += 10 * ms
		}
		// During the first second of the partition the reports that the router has received are still fresh.
		if threshold := f.routers[2].groups[1].threshold; threshold < previous && f.now > 3*second+100*ms {
			t.Fatalf("the threshold of the isolated router fell from %d to %d", previous, threshold)
		} else {
			previous = threshold
		}
	}
	if epoch := f.routers[0].SaltEpoch(); epoch < 2 || twoSalts > 600*ms {
		t.Errorf("salt epoch is %d; routers used two salts for %d ms of 5 s", epoch, twoSalts/ms)
	}
	before := f.routers[1].groups[1].threshold
	f.routers[1].paused, f.routers[1].nextTick, f.routers[2].isolated = false, 0, false
	f.tick(1, f.routers[1])
	if threshold := f.routers[1].groups[1].threshold; threshold < before {
		t.Errorf("the threshold of a resumed router fell from %d to %d because of outdated reports", before, threshold)
	}
	f.run(1500 * ms)
	if difference, lowest, epochs := f.spread(); lowest == 0 || difference > Positions/8 || epochs > 0 {
		t.Errorf("after the faults the lowest threshold is %d, the difference %d, and %d salt epochs apart", lowest, difference, epochs)
	}
	f.routers[0].isolated = true // after IsolationTimeout it decides alone, and admits all requests again
	f.requested = 100
	f.run(2 * second)
	if f.routers[0].groups[1].threshold == 0 {
		t.Error("the threshold of an isolated router fell before IsolationTimeout")
	}
	f.run(f.routers[0].settings.IsolationTimeout + 5*second)
	if group := f.routers[0].groups[1]; group.threshold != 0 || !group.isolated && group.quorumAt == 0 {
		t.Errorf("after IsolationTimeout the isolated router still sheds: %+v", group)
	}
}
