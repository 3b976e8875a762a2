package shedding

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"lotushook/policy/clock"
)

// fleet is routers before one group of servers, whose answers take longer the more is taken in. Reports go to so many others
// by turns, as internal/peer pushes them, and nothing else: no copy is asked for.
type fleet struct {
	rng      *rand.Rand
	routers  []*simulated
	now      clock.Nanos
	way      queue
	loss     float64
	capacity float64 // requests that all take in a Look while answers are quick
	asked    float64 // that come to all in a Look
	taken    float64 // in this step, of all
	load     float64 // taken against the capacity, smoothed as a queue does
	sent     int
	bytes    int
}

type simulated struct {
	*Shedder
	speed  float64 // of its clock
	turn   int
	next   clock.Nanos
	copies map[string]copied // the latest word of each
	share  float64
	paused bool
	cut    bool
}

type copied struct {
	Report
	at clock.Nanos
}

type way struct {
	at     clock.Nanos
	to     int
	report Report
}

type queue []way

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(way)) }
func (q *queue) Pop() any          { old := *q; x := old[len(old)-1]; *q = old[:len(old)-1]; return x }

const (
	simFan   = 16
	simTick  = 100 * ms
	simBytes = 131 // of one report and its envelope on the wire, as TestLevelBytes of internal/peer measures it
)

func newFleet(t *testing.T, n int, seed uint64) *fleet {
	t.Helper()
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), loss: 0.1, capacity: float64(8 * n), asked: float64(11 * n / 2)}
	for i := range n {
		s := three(fmt.Sprintf("r%04d", i), n)
		for j := range s.PriorityClasses {
			s.PriorityClasses[j].RequestsPerSecond = 0 // entitlements have tests of their own
		}
		f.routers = append(f.routers, &simulated{Shedder: lanes(t, s), speed: 0.98 + 0.04*f.rng.Float64(), next: f.rng.Int64N(simTick), copies: map[string]copied{}, turn: i, share: 1 / float64(n)})
	}
	return f
}

// run goes on for a span in steps of 10 ms.
func (f *fleet) run(span clock.Nanos) {
	for end := f.now + span; f.now < end; {
		f.now += 10 * ms
		for len(f.way) > 0 && f.way[0].at <= f.now {
			w := heap.Pop(&f.way).(way)
			r := f.routers[w.to]
			if old, ok := r.copies[w.report.Router]; !ok || w.report.Seq > old.Seq {
				r.copies[w.report.Router] = copied{w.report, r.clock(f.now)}
			}
		}
		f.taken = 0
		for _, r := range f.routers {
			if !r.paused {
				f.ask(r)
			}
		}
		f.load += 0.05 * (f.taken/(f.capacity*10/200) - f.load)
		for i, r := range f.routers {
			if !r.paused && f.now >= r.next {
				r.next = f.now + simTick
				f.tick(i, r)
			}
		}
	}
}

func (r *simulated) clock(now clock.Nanos) clock.Nanos {
	return second + clock.Nanos(float64(now)*r.speed)
}

// ask has a step's requests come to a router: an eighth premium, five eighths regular, a quarter background.
func (f *fleet) ask(r *simulated) {
	now := r.clock(f.now)
	for n := f.asked * r.share * 10 / 200; n > 0; n-- {
		if n < 1 && f.rng.Float64() > n {
			break
		}
		account := f.rng.Uint64N(1000)
		v := r.Admit(Request{Team: [8]int{0, 1, 1, 1, 1, 1, 2, 2}[account%8], Account: account, Group: 1, Share: 1}, now)
		if v.Reason == Shed {
			continue
		}
		f.taken++
		r.RequestStarted(1, now, 100*ms)
		share := 0.1
		if f.load > 0.9 {
			share = 0.1 + 4*(f.load-0.9)
		}
		r.RequestEnded(1, v.PriorityClass, "", Outcome{ArrivedAt: now, Elapsed: clock.Nanos(share * 100e6), LatencyObjective: 100 * ms, Served: share < 1}, now)
	}
}

func (f *fleet) tick(i int, r *simulated) {
	now := r.clock(f.now)
	var heard []Report
	for name, c := range r.copies {
		if c.Age = now - c.at; c.Age > second {
			delete(r.copies, name)
			continue
		}
		heard = append(heard, c.Report)
	}
	for _, said := range r.Tick(now, Connectivity{Majority: true}, heard) {
		for range min(simFan, len(f.routers)-1) {
			if r.turn = (r.turn + 1) % len(f.routers); r.turn == i {
				r.turn = (r.turn + 1) % len(f.routers)
			}
			f.sent++
			f.bytes += simBytes
			if to := f.routers[r.turn]; f.rng.Float64() >= f.loss && !r.cut && !to.cut {
				heap.Push(&f.way, way{f.now + ms + f.rng.Int64N(20*ms), r.turn, said})
			}
		}
	}
}

// spread is how far apart the levels of all are, the least of them, and by how many epochs they differ.
func (f *fleet) spread() (apart, least int, epochs uint64) {
	most, first, last := 0, uint64(1<<62), uint64(0)
	least = 1 << 30
	for _, r := range f.routers {
		if r.paused || r.cut {
			continue
		}
		level := r.group(1, 0).threshold
		most, least = max(most, level), min(least, level)
		first, last = min(first, r.saltEpoch), max(last, r.saltEpoch)
	}
	return most - least, least, last - first
}

// A surge, in fleets of ten to a thousand: how soon all have one level, how long it takes to shed enough and to release all,
// and what each sends: neither grows with the fleet.
func TestSizes(t *testing.T) {
	perMember := map[int]float64{}
	for _, n := range []int{10, 100, 1000} {
		f := newFleet(t, n, 1)
		f.run(second)
		if _, level, _ := f.spread(); level != 0 || f.sent > 0 {
			t.Fatalf("%d routers in calm: level %d, %d messages", n, level, f.sent)
		}
		f.asked *= 2.2
		agreed, began := clock.Nanos(-1), f.now
		for f.now < began+2*second {
			f.run(100 * ms)
			if apart, least, _ := f.spread(); least == 0 || apart > Positions/8 {
				agreed = -1
			} else if agreed < 0 {
				agreed = f.now - began
			}
		}
		if _, level, _ := f.spread(); f.load > 1 || level > f.routers[0].order.firstRank[0] {
			t.Errorf("%d routers: load %.2f, level %d after the first seconds", n, f.load, level)
		}
		perMember[n] = float64(f.sent) / float64(n) / 2
		f.asked /= 2.2
		surge := f.now
		for _, level, _ := f.spread(); level > 0 && f.now < surge+10*second; _, level, _ = f.spread() {
			f.run(100 * ms)
		}
		t.Logf("%d routers: one level after %d ms, all released %d ms after the surge, %.0f messages of %d bytes a member and second", n, agreed/ms, (f.now-surge)/ms, perMember[n], simBytes)
		if agreed < 0 || agreed > 2*second || f.now-surge > 5*second || perMember[n] > 5*simFan {
			t.Errorf("%d routers: agreed after %d ms, released after %d ms, %.0f messages", n, agreed/ms, (f.now-surge)/ms, perMember[n])
		}
	}
	if perMember[1000] > 1.1*perMember[100] {
		t.Errorf("messages grow with the fleet: %v", perMember)
	}
}

// Faults in the middle of a surge: whoever can't know what the others want keeps its level or rises, the salt is one again
// soon after each turn under clocks 2% apart, and all have one level again once they can hear each other.
func TestFaults(t *testing.T) {
	f := newFleet(t, 7, 2)
	for _, r := range f.routers {
		r.settings.SaltPeriod = 3 * second
	}
	f.capacity, f.asked, f.loss = 700, 1200, 0.3
	for i, r := range f.routers { // most of it comes to three
		r.share = [7]float64{0.55, 0.15, 0.15, 0.05, 0.05, 0.05, 0}[i]
	}
	f.run(2 * second)
	if apart, least, _ := f.spread(); least == 0 || apart > Positions/8 {
		t.Fatalf("level %d, %d apart", least, apart)
	}
	f.routers[1].paused, f.routers[2].cut = true, true
	held := f.routers[2].groups[1].threshold
	differ := clock.Nanos(0)
	for range 500 {
		f.run(10 * ms)
		if _, _, epochs := f.spread(); epochs > 0 {
			differ += 10 * ms
		}
		if level := f.routers[2].groups[1].threshold; level < held && f.now > 3*second+100*ms { // its evidence was fresh for a second
			t.Fatalf("the level of the one that is cut off fell from %d to %d", held, level)
		} else {
			held = level
		}
	}
	if e := f.routers[0].SaltEpoch(); e < 2 || differ > 600*ms {
		t.Errorf("epoch %d, %d ms of 5 s with two salts", e, differ/ms)
	}
	before := f.routers[1].groups[1].threshold
	f.routers[1].paused, f.routers[1].next, f.routers[2].cut = false, 0, false
	f.tick(1, f.routers[1])
	if level := f.routers[1].groups[1].threshold; level < before {
		t.Errorf("one that was stopped wakes up and goes from %d to %d by what it knew", before, level)
	}
	f.run(1500 * ms)
	if apart, least, epochs := f.spread(); least == 0 || apart > Positions/8 || epochs > 0 {
		t.Errorf("afterwards: level %d, %d apart, %d epochs", least, apart, epochs)
	}
	f.routers[0].cut = true // it goes alone in the end, and serves as without the others
	f.asked = 100
	f.run(2 * second)
	if f.routers[0].groups[1].threshold == 0 {
		t.Error("the level of one that is cut off fell at once")
	}
	f.run(f.routers[0].settings.IsolationTimeout + 5*second)
	if g := f.routers[0].groups[1]; g.threshold != 0 || !g.isolated && g.quorumAt == 0 {
		t.Errorf("%+v", g)
	}
}
