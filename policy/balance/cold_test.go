package balance

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"lotushook/policy/clock"
	"lotushook/policy/seeded"
)

// crew is many routers before data servers that take their time, on one simulated clock.
type crew struct {
	t     *testing.T
	rigs  []*rig
	nodes map[EndpointID]*worker
	now   clock.Nanos
	due   dues
	rng   uint64
	seq   int
	open  map[string]func(Outcome) // attempts that are out, by request
	work  map[int]float64          // by class: what it costs a warm server, in the mean
}

// worker is a data server: so many requests at a time, first come first served, each as much slower as it is cold.
type worker struct {
	id          EndpointID
	cores, busy int
	primary     bool
	queue       []func()
	started     clock.Nanos // 0: long ago
	share       float64
	ramp        clock.Nanos
	served      []clock.Nanos
	sends       []arrival // since the start
	pending     []int     // by router
	told        []bool    // by router: of the start
}

// arrival is an attempt that reaches a cold server: when, what it costs, and whether its router had been told of the start.
type arrival struct {
	at   clock.Nanos
	work float64
	told bool
}

func (w *worker) warmth(now clock.Nanos) float64 {
	if w.started == 0 {
		return 1
	}
	return min(1, w.share+(1-w.share)*float64(now-w.started)/float64(w.ramp))
}

type due struct {
	at  clock.Nanos
	seq int
	do  func()
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	x := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return x
}

// newCrew lists groups of three, whose first member is the primary: node 10 times its group's number.
func newCrew(t *testing.T, seed uint64, routers, groups, cores int, change func(*Settings)) *crew {
	t.Helper()
	c := &crew{t: t, nodes: map[EndpointID]*worker{}, now: 1000e9, rng: seed, open: map[string]func(Outcome){},
		work: map[int]float64{cAny: 9.5e6, cKeyed: 14e6}}
	c.rigs = fleet(t, routers, change)
	e := Event{Kind: EndpointSnapshot}
	for g := range EndpointID(groups) {
		for m := range EndpointID(3) {
			id := 10*(g+1) + m
			c.nodes[id] = &worker{id: id, cores: cores, primary: m == 0, pending: make([]int, routers), told: make([]bool, routers)}
			e.Endpoints = append(e.Endpoints, Endpoint{ID: id, Group: int64(g + 1), Zone: "a", Primary: m == 0, Weight: 1})
		}
	}
	for i := range c.rigs {
		*c.rigs[i].b.random = *seeded.New(uint64(i)*0x9e3779b97f4a7c15 + seed)
		c.step(i, e)
	}
	return c
}

func (c *crew) draw() float64 {
	c.rng = c.rng*6364136223846793005 + 1442695040888963407
	return float64(c.rng>>11) / (1 << 53)
}

func (c *crew) at(at clock.Nanos, do func()) {
	c.seq++
	heap.Push(&c.due, due{at, c.seq, do})
}

// run plays until a time.
func (c *crew) run(until clock.Nanos) {
	for len(c.due) > 0 && c.due[0].at <= until {
		d := heap.Pop(&c.due).(due)
		c.now = max(c.now, d.at)
		d.do()
	}
	c.now = until
}

func (c *crew) step(i int, e Event) {
	r := c.rigs[i]
	r.now = c.now
	for _, a := range r.step(e) {
		switch a.Kind {
		case SetTimer:
			c.at(a.TimerAt, func() { c.step(i, Event{Kind: TimerFired, TimerID: a.TimerID}) })
		case SendAttempt:
			c.send(i, a)
		case CancelAttempt:
			if end := c.open[a.Request]; end != nil {
				c.at(c.now, func() { end(Canceled) })
			}
		}
	}
}

// ask is one request, whose client leaves when its time is over.
func (c *crew) ask(i, class int, group int64) {
	r := c.rigs[i]
	r.next++
	id := fmt.Sprintf("%d-%d", i, r.next)
	end := c.now + r.b.settings.Classes[class].Deadline
	c.at(end, func() {
		if r.b.requests.byID[id] != nil {
			c.step(i, Event{Kind: RequestAbandoned, Request: id})
		}
	})
	c.step(i, Event{Kind: RequestArrived, Request: id, Class: class, Tenant: -1, Group: group, Deadline: end})
}

func (c *crew) send(i int, a Action) {
	w, r := c.nodes[a.Endpoint], c.rigs[i]
	req := r.b.requests.byID[a.Request]
	no, class := len(req.attempts)-1, req.class
	if w.pending[i]++; w.started > 0 {
		w.sends = append(w.sends, arrival{c.now, c.work[class], w.told[i]})
	}
	ended := false
	end := func(o Outcome) {
		if ended {
			return
		}
		ended = true
		w.pending[i]--
		delete(c.open, a.Request)
		role := Replica
		if w.primary {
			role = Primary
		}
		c.step(i, Event{Kind: AttemptEnded, Request: a.Request, Attempt: no, Endpoint: w.id, Outcome: o, Final: o == Succeeded, Role: role, Position: c.now})
	}
	c.open[a.Request] = end
	if class == cKeyed && !w.primary {
		c.at(c.now+ms/2, func() { end(NotEligible) })
		return
	}
	c.at(a.AttemptDeadline, func() { end(TimedOut) })
	w.queue = append(w.queue, func() {
		took := c.work[class] * (0.7 + 0.6*c.draw()) / w.warmth(c.now)
		c.at(c.now+clock.Nanos(took), func() {
			w.busy--
			w.served = append(w.served, c.now)
			end(Succeeded)
			w.next()
		})
	})
	w.next()
}

func (w *worker) next() {
	for w.busy < w.cores && len(w.queue) > 0 {
		first := w.queue[0]
		w.queue = w.queue[1:]
		w.busy++
		first()
	}
}

// restart makes a server cold; each router is told after a time of its own, up to so long.
func (c *crew) restart(id EndpointID, within clock.Nanos) {
	w := c.nodes[id]
	set := &c.rigs[0].b.settings
	w.started, w.share, w.ramp = c.now, set.ColdCapacity, set.WarmUpTime
	for i := range c.rigs {
		c.at(c.now+clock.Nanos(c.draw()*float64(within)), func() {
			n := c.rigs[i].b.groups.endpoints[id]
			w.told[i] = true
			c.step(i, Event{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: id, Group: n.group.id, Zone: "a", Primary: w.primary, Weight: n.weight, StartedAt: w.started}}})
		})
	}
}

// renew restarts all routers at once: they know the list and nothing else.
func (c *crew) renew() {
	for i, old := range c.rigs {
		fresh := newRig(c.t, func(s *Settings) { *s = old.b.settings })
		*fresh.b.random, fresh.next = *old.b.random, old.next
		e := Event{Kind: EndpointSnapshot}
		for _, g := range old.b.groups.order {
			for _, n := range g.endpoints {
				e.Endpoints = append(e.Endpoints, Endpoint{ID: n.id, Group: g.id, Zone: "a", Primary: c.nodes[n.id].primary, Weight: n.weight, StartedAt: n.startedAt})
			}
		}
		c.rigs[i] = fresh
		c.step(i, e)
	}
}

// load asks so much a second of all groups, writes and reads, in bursts of so many at one router.
func (c *crew) load(perS, writes float64, burst, groups int, until clock.Nanos) {
	for at := c.now; at < until; at -= clock.Nanos(float64(burst) * math.Log(1-c.draw()) / perS * 1e9) {
		c.at(at, func() {
			i, g := int(c.draw()*float64(len(c.rigs))), 1+int64(c.draw()*float64(groups))
			for range burst {
				class := cAny
				if c.draw() < writes {
					class = cKeyed
				}
				c.ask(i, class, g)
			}
		})
	}
}

// allowed is how many requests of mean work a span may bring that begins at a time, and how many of them by the settings'
// multiple; the rest is for chance. It is reckoned from the settings and the server alone.
func (w *worker) allowed(set *Settings, mean float64, from clock.Nanos) (all, budget float64) {
	budget = set.OverloadMultiple * w.warmth(max(from, w.started)) * float64(w.cores) * float64(set.OverloadWindow) / mean
	return budget + 2*math.Sqrt(budget) + 2, budget
}

// most is the most work in any span that ends with one of the sends, as a share of what is allowed as the span begins. The
// routers that were told answer for what they sent, and for all that came where over two thirds of it was theirs.
func (w *worker) most(set *Settings, mean float64) (worst float64, sent, allowed float64) {
	from, all, told := 0, 0.0, 0.0
	count := func(s arrival, sign float64) {
		all += sign * s.work / mean
		if s.told {
			told += sign * s.work / mean
		}
	}
	for _, s := range w.sends {
		for count(s, 1); w.sends[from].at <= s.at-set.OverloadWindow; from++ {
			count(w.sends[from], -1)
		}
		work := told
		if told > all*2/3 {
			work = all
		}
		if limit, _ := w.allowed(set, mean, s.at-set.OverloadWindow); work/limit > worst {
			worst, sent, allowed = work/limit, work, limit
		}
	}
	return worst, sent, allowed
}

// used is the mean, over spans that begin at any time, of the work in them as a share of the budget without what chance has.
func (w *worker) used(set *Settings, mean float64, until clock.Nanos) float64 {
	sum, spans := 0.0, 0.0
	for from := w.started; from+set.OverloadWindow <= until; from += set.OverloadWindow / 20 {
		_, budget := w.allowed(set, mean, from)
		for _, s := range w.sends {
			if s.at >= from && s.at < from+set.OverloadWindow {
				sum += s.work / mean / budget
			}
		}
		spans++
	}
	return sum / spans
}

// coldCase is a fleet before servers that start cold, as its seed draws it.
type coldCase struct {
	routers, groups, burst         int
	price, share, multiple, weight float64
	busy, writes, jump             float64     // of what the warm servers can do; of the requests; of demand at the start
	span, within                   clock.Nanos // of the rule; until all are told
	read, write                    float64     // work
	renewed                        bool        // all routers restart together with the servers
	victims                        []EndpointID
}

func drawColdCase(t *testing.T, seed uint64) coldCase {
	t.Helper()
	c := newCrew(t, seed, 1, 1, 1, nil) // for its draws
	pick := func(of ...float64) float64 { return of[int(c.draw()*float64(len(of)))] }
	for range 3 { // neighbouring seeds draw alike at first
		c.draw()
	}
	return coldCase{routers: int(pick(2, 20, 30, 300, 300)), groups: int(pick(4, 4, 12)), burst: int(pick(1, 2, 4)),
		price: pick(0, 0.08), share: pick(0.1, 0.17, 0.3), multiple: pick(2, 3), weight: pick(1, 1, 4),
		busy: pick(0.3, 0.5, 0.7), writes: pick(0.1, 0.3), jump: pick(0.5, 1, 2, 3),
		span: clock.Nanos(pick(1000, 1500, 2500)) * ms, within: clock.Nanos(pick(0, 50, 2000)) * ms,
		read: pick(20e6, 50e6), write: pick(30e6, 80e6), renewed: pick(0, 0, 0, 1) == 1,
		victims: [][]EndpointID{{10}, {11}, {10, 20, 30, 40}, {10, 11, 12}}[int(pick(0, 1, 2, 3))]}
}

// play lets the routers learn for so long, starts the victims anew, and plays five seconds of what then comes.
func (k coldCase) play(t *testing.T, seed uint64) (c *crew, mean float64) {
	t.Helper()
	const cores, learn, after = 4, 12e9, 5e9
	c = newCrew(t, seed, k.routers, k.groups, cores, func(s *Settings) {
		s.HandshakeCost, s.ColdCapacity, s.OverloadMultiple, s.OverloadWindow = k.price, k.share, k.multiple, k.span
		s.WarmUpTime, s.LateRejectionCharged, s.LagHandling, s.IdleTimeout = 18e9, seed%2 == 0, LagRejected, 30e9
	})
	for _, r := range c.rigs {
		for _, n := range r.b.groups.endpoints {
			n.weight = k.weight
		}
	}
	c.work = map[int]float64{cAny: k.read, cKeyed: k.write}
	perS := k.busy * float64(k.groups) * cores * 1e9 / max(k.writes*k.write, (1-k.writes)*k.read/2) // of the busiest member
	start := c.now + learn
	c.load(perS, k.writes, k.burst, k.groups, start)
	c.run(start)
	if k.renewed {
		c.renew()
	}
	for _, id := range k.victims {
		c.restart(id, k.within)
	}
	c.load(perS*k.jump, k.writes, k.burst, k.groups, start+after)
	c.run(start + after)
	return c, k.writes*k.write + (1-k.writes)*k.read
}

// The rule on cold servers, as the platform judges it: one falls at more than N + 2 root N + 2 requests of mean work in the
// settings' time, N being what its warmth, its cores and the settings' multiple allow, over all routers together. They must
// stay under it whatever their number, the prices, the work and its bursts are, however demand jumps as the server starts,
// late as some are told, and all just restarted; at any phase of the span. And what is allowed must be of use.
func TestFleetKeepsAColdServersBound(t *testing.T) {
	for seed := range uint64(24) {
		k := drawColdCase(t, seed)
		c, mean := k.play(t, seed)
		for _, id := range k.victims {
			w := c.nodes[id]
			worst, sent, allowed := w.most(&c.rigs[0].b.settings, mean)
			t.Logf("seed %d node %d: %.2f of the bound, %.2f of the budget used, %d sends; %+v", seed, id, worst,
				w.used(&c.rigs[0].b.settings, mean, c.now), len(w.sends), k)
			if worst > 1 {
				t.Errorf("seed %d node %d: %.1f requests in a span, %.1f allowed; %+v", seed, id, sent, allowed, k)
			}
			if len(w.sends) < 10 {
				t.Errorf("seed %d node %d: %d sends in five seconds; %+v", seed, id, len(w.sends), k)
			}
		}
	}
}

// Before a router is told of a start it can't keep a budget. What holds it then is its limit: so many are out at a time as
// warm answers have earned, and fewer with each slow answer. A connection that was refused tells of the start, too.
func TestUntoldRoutersKeepTheirLimits(t *testing.T) {
	const routers, groups = 40, 2
	c := newCrew(t, 7, routers, groups, 4, func(s *Settings) {
		s.WarmUpTime, s.ColdCapacity, s.OverloadMultiple, s.LagHandling = 18e9, 0.17, 3, LagRejected
	})
	start := c.now + 8e9
	c.load(1500, 0.2, 2, groups, start+6e9)
	c.run(start)
	before := make([]float64, routers)
	for i, r := range c.rigs {
		before[i] = r.b.groups.endpoints[11].limit
	}
	w := c.nodes[11]
	w.started, w.share, w.ramp = c.now, 0.17, 18e9 // and nobody says so
	slow := 0
	for at := start; at < start+6e9; at += 5 * ms {
		c.run(at)
		for i, r := range c.rigs {
			n := r.b.groups.endpoints[11]
			if float64(w.pending[i]) > max(before[i], n.limit, 1) {
				t.Fatalf("%d ms after the start: router %d has %d out, its limit is %.1f", (at-start)/ms, i, w.pending[i], n.limit)
			}
			if n.health.Overloaded() {
				slow++
			}
			if n.health.Overloaded() && n.limit > before[i]+1 {
				t.Fatalf("router %d: the limit grew from %.1f to %.1f by slow answers", i, before[i], n.limit)
			}
		}
	}
	if slow == 0 {
		t.Error("no router saw slow answers")
	}
	n := c.rigs[0].b.groups.endpoints[11]
	if n.health.SetDown(); n.startedAt != 0 {
		t.Fatal("told")
	}
	c.rigs[0].b.readmit(n)
	if warm := c.rigs[0].b.warmth(n); warm > 0.2 {
		t.Errorf("%.2f warm after its process was gone", warm)
	}
}

// The same, where three members of one group start cold together, all routers restart with them, and some are told two seconds late: one
// server gets 161.5 requests of mean work in a span where 156.4 are allowed. It is listed in KNOWN-RED.txt. Of the seeds 24 to 95 it is the
// only one that fails.
func TestFleetKeepsTheBoundWhereAGroupStartsCold(t *testing.T) {
	const seed = 87
	k := drawColdCase(t, seed)
	c, mean := k.play(t, seed)
	for _, id := range k.victims {
		if worst, sent, allowed := c.nodes[id].most(&c.rigs[0].b.settings, mean); worst > 1 {
			t.Errorf("node %d: %.1f requests in a span, %.1f allowed; %+v", id, sent, allowed, k)
		}
	}
}
