package balance

import (
	"fmt"
	"testing"

	"lotushook/policy/clock"
	"lotushook/policy/seeded"
)

// What one router does now and then, eighty do all the time: the tests here guard the sums.

// Each probe has a price and needs a connection. Where nodes check for themselves, an attempt asks the same and may
// be served: reads that missed while their group has no primary must not set off probes.
func TestNoProbesWhereNodesCheck(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.ProbesReportPosition, s.LagHandling = true, LagRejected })
	r.members(3)
	r.b.groups.byID[1].primary = nil
	misses, probes := 0, 0
	for range 20 {
		r.now += 100 * ms
		id, acts := r.in(cBounded, "")
		for no := 0; ; no++ {
			probes += len(of(SendProbe, acts))
			sends := of(SendAttempt, acts)
			if len(sends) == 0 {
				break
			}
			misses++
			acts = r.out(id, no, sends[0].Endpoint, NotEligible, Replica, r.now-2e9)
		}
	}
	if misses < 20 || probes != 0 {
		t.Errorf("%d misses and %d probes for 20 reads that nodes judge themselves", misses, probes)
	}
}

// fleet is many routers on one simulated clock.
func fleet(t *testing.T, routers int, change func(*Settings)) []*rig {
	t.Helper()
	rigs := make([]*rig, routers)
	for i := range rigs {
		rigs[i] = newRig(t, func(s *Settings) {
			s.Routers = routers
			if change != nil {
				change(s)
			}
		})
		*rigs[i].b.random = *seeded.New(uint64(i) * 0x9e3779b97f4a7c15)
	}
	return rigs
}

// A primary is replaced by a cold one under writes that need a fifth of it. Each of eighty routers has a write in one
// window of five: if each kept to a draw of its own part, the fleet would use a fifth of what it may send. Nearly all
// writes must go, and all together must stay under the stated multiple of what the cold node can do.
//
//nolint:gocognit // one history or table of cases, told in order
func TestFleetUsesAColdPrimarysBudget(t *testing.T) {
	const routers, cores, span = 80, 4.0, 20e9
	rigs := fleet(t, routers, func(s *Settings) { s.OverloadMultiple = 3 })
	set := &rigs[0].b.settings
	groups := int64(8)
	var started clock.Nanos
	asked, sent := 0, 0
	var sends []clock.Nanos
	for at := clock.Nanos(0); at < span+6e9; at += 100 * ms {
		for i, r := range rigs {
			if r.now = 1000e9 + at; at == 0 || at == span {
				e := Event{Kind: EndpointSnapshot}
				for g := range groups {
					if at > 0 && g == 0 {
						started = r.now
						e.Endpoints = append(e.Endpoints, Endpoint{ID: 100, Group: 0, Primary: true, Weight: 4, StartedAt: started})
					} else {
						e.Endpoints = append(e.Endpoints, Endpoint{ID: EndpointID(g), Group: g, Primary: true, Weight: 4})
					}
				}
				r.step(e)
				r.b.groups.byID[0].primary = r.b.groups.endpoints[e.Endpoints[0].ID]
			}
			r.step(Event{Kind: TimerFired})
			// One write a second from each router, each time to another group.
			if (i+int(at/(100*ms)))%10 > 0 {
				continue
			}
			g := (int64(i) + at/1e9) % groups
			r.next++
			id := fmt.Sprintf("w%d", r.next)
			acts := r.step(Event{Kind: RequestArrived, Request: id, Class: cKeyed, Tenant: -1, Group: g, Deadline: r.now + 2e9})
			if at > span && g == 0 {
				asked++
			}
			for _, a := range of(SendAttempt, acts) {
				if at > span && g == 0 {
					sent++
					sends = append(sends, at)
				}
				r.now += 80 * ms
				r.step(Event{Kind: AttemptEnded, Request: id, Attempt: a.Attempt, Endpoint: a.Endpoint, Outcome: Succeeded, Final: true,
					Role: Primary, Position: r.now})
			}
			if r.b.requests.byID[id] != nil {
				r.step(Event{Kind: RequestAbandoned, Request: id})
			}
		}
		share := set.ColdCapacity + (1-set.ColdCapacity)*float64(at-span)/float64(set.WarmUpTime)
		work := 0.0
		for _, s := range sends {
			if s > at-set.OverloadWindow {
				work += float64(80 * ms)
			}
		}
		if limit := set.OverloadMultiple * share * cores * float64(set.OverloadWindow); at > span && work > limit {
			t.Fatalf("%d ms after the start: %.1f s of work in a window, %.1f s allowed", (at-span)/ms, work/1e9, limit/1e9)
		}
	}
	if asked < 50 || float64(sent) < 0.9*float64(asked) {
		t.Errorf("%d of %d writes went to a cold primary that could do all", sent, asked)
	}
}

// A replica is replaced by a cold one, and what clients are refused they ask again at the same router: a router that has
// no request in most windows has two in some. What the cold node may get must not be lost to that.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestFleetUsesAColdReplicasBudgetInBursts(t *testing.T) {
	const routers, cores, span, after = 300, 4.0, 30e9, 4e9
	rigs := fleet(t, routers, func(s *Settings) { s.OverloadMultiple = 3 })
	set := &rigs[0].b.settings
	rng := uint64(1)
	draw := func() float64 {
		rng = rng*6364136223846793005 + 1442695040888963407
		return float64(rng>>11) / (1 << 53)
	}
	var started clock.Nanos
	asked, sent := 0, 0
	sends := []float64{}
	for at := clock.Nanos(0); at < span+after; at += 100 * ms {
		for _, r := range rigs {
			if r.now = 1000e9 + at; at == 0 || at == span {
				e := Event{Kind: EndpointSnapshot}
				for g := range int64(20) {
					n := Endpoint{ID: EndpointID(g), Group: g, Weight: cores}
					if at > 0 && g == 0 {
						started = r.now - 3e9 // it can do a third by now: more than is asked
						n.ID, n.StartedAt = 100, started
					}
					e.Endpoints = append(e.Endpoints, n)
				}
				r.step(e)
			}
			r.step(Event{Kind: TimerFired})
			// In one of twenty steps a router has two reads for one group, a quarter second apart from any other.
			if draw() > 0.05 {
				continue
			}
			g := int64(draw() * 20)
			if at >= span {
				g = int64(draw() * 4) // more of those that are looked at
			}
			for range 2 {
				r.next++
				id := fmt.Sprintf("c%d", r.next)
				if at >= span && g == 0 {
					asked++
				}
				for _, a := range of(SendAttempt, r.step(Event{Kind: RequestArrived, Request: id, Class: cAny, Tenant: -1, Group: g, Deadline: r.now + 2e9})) {
					if at >= span && g == 0 {
						sent++
						sends = append(sends, float64(at))
					}
					r.now += 30 * ms
					r.step(Event{Kind: AttemptEnded, Request: id, Attempt: a.Attempt, Endpoint: a.Endpoint, Outcome: Succeeded, Final: true, Role: Replica, Position: r.now})
				}
				if r.b.requests.byID[id] != nil {
					r.step(Event{Kind: RequestAbandoned, Request: id})
				}
			}
		}
		share := set.ColdCapacity + (1-set.ColdCapacity)*float64(1000e9+at-started)/float64(set.WarmUpTime)
		work := 0.0
		for _, s := range sends {
			if s > float64(at-set.OverloadWindow) {
				work += float64(30 * ms)
			}
		}
		if limit := set.OverloadMultiple * share * cores * float64(set.OverloadWindow); at > span && work > limit {
			t.Fatalf("%d ms after the start: %.1f s of work in a window, %.1f s allowed", (at-span)/ms, work/1e9, limit/1e9)
		}
	}
	t.Logf("%d of %d", sent, asked)
	if asked < 100 || float64(sent) < 0.6*float64(asked) {
		t.Errorf("%d of %d reads went to a cold replica that could do all", sent, asked)
	}
}

// serve ends all attempts that are out on a rig after a while; fails says which nodes answer with an error.
func (r *rig) serve(took clock.Nanos, acts []Action, role func(node EndpointID) Role, fails func(node EndpointID) bool) (tries []EndpointID) {
	r.t.Helper()
	for sends := of(SendAttempt, acts); len(sends) > 0; sends = of(SendAttempt, acts) {
		a := sends[0]
		no := len(r.b.requests.byID[a.Request].attempts) - 1
		tries = append(tries, a.Endpoint)
		if r.now += took; fails(a.Endpoint) {
			acts = r.out(a.Request, no, a.Endpoint, Failed, role(a.Endpoint), r.now)
			for range 20 { // past the pause
				if len(of(SendAttempt, acts)) > 0 || r.b.requests.byID[a.Request] == nil {
					break
				}
				r.now += 20 * ms
				acts = r.step(Event{Kind: TimerFired})
			}
		} else {
			acts = r.out(a.Request, no, a.Endpoint, Succeeded, role(a.Endpoint), r.now)
		}
	}
	return tries
}

func roleOf(node EndpointID) Role {
	if node == 1 {
		return Primary
	}
	return Replica
}

// Each of eighty routers would in time open a connection to each replica, although it never has two reads at once. Where
// a handshake has a price, it keeps to the one that it has; and the routers together do not flock to one replica.
func TestFleetOpensFewConnections(t *testing.T) {
	for _, c := range []struct {
		price     float64
		low, high float64 // replicas met by a router, in the mean
	}{{0, 2.9, 3}, {0.08, 1, 1.2}} {
		met, reads := 0, map[EndpointID]int{}
		for _, r := range fleet(t, 80, func(s *Settings) { s.HandshakeCost, s.IdleTimeout = c.price, 30e9 }) {
			r.members(4)
			mine := map[EndpointID]bool{}
			for range 25 {
				r.now += clock.Second
				_, acts := r.in(cAny, "")
				for _, n := range r.serve(70*ms, acts, roleOf, func(EndpointID) bool { return false }) {
					mine[n] = true
					reads[n]++
				}
			}
			met += len(mine)
		}
		if mean := float64(met) / 80; mean < c.low || mean > c.high {
			t.Errorf("price %.2f: a router met %.2f replicas, want %.1f to %.1f", c.price, mean, c.low, c.high)
		}
		for n := EndpointID(2); n <= 4; n++ {
			if share := float64(reads[n]) / (80 * 25); share < 0.2 || share > 0.47 {
				t.Errorf("price %.2f: replica %d had %.2f of the reads", c.price, n, share)
			}
		}
	}
}

// A replica that answers four of five reads with an error, and at once, looks idle, and each router meets it too seldom
// to see four failures in a row. It must lose most of its share, and get it back once it is well.
func TestFleetLeavesAnErringReplica(t *testing.T) {
	const routers = 80
	sent, reads := [2]int{}, [2]int{}
	for i, r := range fleet(t, routers, nil) {
		r.members(4)
		n := i
		for at := range 60 {
			phase := at / 30
			r.now += clock.Second
			_, acts := r.in(cAny, "")
			tries := r.serve(80*ms, acts, roleOf, func(node EndpointID) bool { n++; return node == 3 && phase == 0 && n%5 > 0 })
			if at%30 < 10 { // it learns
				continue
			}
			reads[phase]++
			for _, node := range tries {
				if node == 3 {
					sent[phase]++
				}
			}
		}
	}
	if share := float64(sent[0]) / float64(reads[0]); share > 0.15 {
		t.Errorf("%.2f attempts a read at a replica that errs, a third if it did not", share)
	}
	if share := float64(sent[1]) / float64(reads[1]); share < 0.1 {
		t.Errorf("%.2f of the reads at the replica after it was well again", share)
	}
}

// A primary that answers with errors says that it is there, and no other member takes writes: the attempts left must not
// be spent on replicas, each of which can only say that it is none.
func TestErringPrimaryIsAskedAgain(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Routers = 80 })
	r.members(4)
	for range 5 {
		r.now += clock.Second
		n := 0
		_, acts := r.in(cKeyed, "")
		tries := r.serve(3*ms, acts, roleOf, func(EndpointID) bool { n++; return n < 5 })
		if len(tries) != 5 {
			t.Fatalf("%d attempts, want one that is served after four errors", len(tries))
		}
		for _, node := range tries {
			if node != 1 {
				t.Fatalf("attempts at %v: the primary is 1", tries)
			}
		}
	}
}

// A jam in one group of many: each router heard a few late answers. Once the group is quick again, its routers must learn
// so within seconds, though each of them asks once a second; ten late answers must still bring refusals.
func TestFleetForgetsAJam(t *testing.T) {
	refused, asked := [2]int{}, [2]int{}
	for _, r := range fleet(t, 80, nil) {
		r.members(3)
		for at := range 20 {
			took, phase := 600*ms, 0 // half as long again as the aim
			if at >= 10 {
				took, phase = 60*ms, 1
			}
			r.now += clock.Second
			_, acts := r.in(cAny, "")
			if at >= 5 && at < 10 || at >= 14 {
				asked[phase]++
				refused[phase] += len(of(RejectRequest, acts))
			}
			r.serve(took, acts, roleOf, func(EndpointID) bool { return false })
		}
	}
	if share := float64(refused[0]) / float64(asked[0]); share < 0.1 {
		t.Errorf("%.2f refused in a jam", share)
	}
	if share := float64(refused[1]) / float64(asked[1]); share > 0.01 {
		t.Errorf("%.2f refused, four seconds and more after the jam", share)
	}
}

// A hall of eighteen servers, one in each group, vanishes: connections to it don't come up, or requests on open ones
// stay unanswered. Each of eighty routers must lose few reads to it all, not some to each server; and it must use the
// hall again soon after it is back, without having sent reads there to find out.
func TestFleetLosesAHallOnce(t *testing.T) {
	t.Run("new connections", func(t *testing.T) { losesAHallOnce(t, ConnectionRefused) })
	t.Run("open connections", func(t *testing.T) { losesAHallOnce(t, TimedOut) })
}

//nolint:gocognit // one history or table of cases, told in order
func losesAHallOnce(t *testing.T, how Outcome) {
	t.Helper()
	const groups, wait = 18, 250 * ms
	lost, probes, back := 0, 0, 0
	rigs := fleet(t, 80, func(s *Settings) { s.ProbesReportPosition, s.LagHandling = true, LagRejected })
	for _, r := range rigs {
		e := Event{Kind: EndpointSnapshot}
		for g := range EndpointID(groups) {
			for i, zone := range []string{"a", "b", "c"} {
				e.Endpoints = append(e.Endpoints, Endpoint{ID: 10*g + EndpointID(i), Group: int64(g), Zone: zone, Primary: i == 0, Weight: 4})
			}
		}
		r.step(e)
		probing := map[EndpointID]bool{}
		for at := range 800 { // 40 s, a read every 50 ms; dark from 10 s to 25 s
			start := r.now
			dark := at >= 200 && at < 500
			id := fmt.Sprintf("x%d", at)
			acts := r.step(Event{Kind: RequestArrived, Request: id, Class: cAny, Tenant: -1, Group: int64(at % groups),
				Deadline: r.now + clock.Second})
			for _, a := range of(SendAttempt, acts) {
				if a.Endpoint%10 == 2 && dark {
					lost++
					r.now += wait
					r.out(id, 0, a.Endpoint, how, RoleUnknown, 0)
					break
				}
				if a.Endpoint%10 == 2 && at >= 700 {
					back++
				}
				r.now += 20 * ms
				r.out(id, 0, a.Endpoint, Succeeded, Replica, r.now)
			}
			r.step(Event{Kind: RequestAbandoned, Request: id})
			for _, a := range of(SendProbe, r.step(Event{Kind: TimerFired})) {
				probing[a.Endpoint] = true
			}
			for n := range probing {
				probes++
				o := Succeeded
				if dark {
					o = ConnectionRefused
				}
				r.step(Event{Kind: ProbeEnded, Endpoint: n, Outcome: o})
			}
			clear(probing)
			r.now = max(r.now, start+50*ms)
		}
	}
	if mean := float64(lost) / 80; mean > 10 {
		t.Errorf("a router lost %.1f reads to the hall", mean)
	}
	if mean := float64(probes) / 80; mean > 12 {
		t.Errorf("a router sent %.1f probes to the dark hall", mean)
	}
	if back < 80*100/6 {
		t.Errorf("%d of %d reads in the hall ten seconds after its return", back, 80*100)
	}
}

// Each router asks a suspect again and again whether it is back, and three hundred of them lose a read each time: the
// read must come back in time for another node. Where there is none, the suspect gets all the time there is.
func TestTrialLeavesTimeForAnother(t *testing.T) {
	for _, c := range []struct {
		name   string
		others EndpointState
		early  bool
	}{{"another could take it", Ready, true}, {"no other", Removed, false}} {
		r := newRig(t, nil)
		r.members(3)
		r.b.groups.endpoints[2].health.Eject(0)
		for _, id := range []EndpointID{1, 3} {
			r.b.setState(r.b.groups.endpoints[id], c.others)
		}
		id, acts := r.in(cAny, "")
		sends := of(SendAttempt, acts)
		if len(sends) != 1 || sends[0].Endpoint != 2 || sends[0].Reason != ReasonCanary {
			t.Fatalf("%s: %+v", c.name, sends)
		}
		deadline := r.b.requests.byID[id].deadline
		if early := sends[0].AttemptDeadline < r.now+(deadline-r.now)/2; early != c.early {
			t.Errorf("%s: given up after %d of %d ms", c.name, (sends[0].AttemptDeadline-r.now)/ms, (deadline-r.now)/ms)
		}
		if !c.early {
			continue
		}
		r.now = sends[0].AttemptDeadline
		if next := of(SendAttempt, r.out(id, 0, 2, TimedOut, RoleUnknown, 0)); len(next) != 1 || next[0].Endpoint == 2 {
			t.Errorf("%s: then %+v", c.name, next)
		}
	}
}

// A machine that is gone lets connections hang. Nothing ran: the request must come back while it could still start
// elsewhere, though nothing was sent and half of its time is all that it has.
func TestConnectionLeavesTimeForAnother(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.LateRejectionCharged = true })
	r.members(3)
	for _, class := range []int{cAny, cWrite} {
		id, acts := r.in(class, "")
		sends := of(SendAttempt, acts)
		if len(sends) != 1 {
			t.Fatalf("%+v", acts)
		}
		first := sends[0]
		if last := r.b.startDeadline(r.b.requests.byID[id]); first.ConnectDeadline <= r.now || first.ConnectDeadline >= last || first.ConnectDeadline > first.AttemptDeadline {
			t.Errorf("class %d: up by %d of %d ms", class, (first.ConnectDeadline-r.now)/ms, (last-r.now)/ms)
		}
		r.now = first.ConnectDeadline
		acts = r.out(id, 0, first.Endpoint, ConnectionRefused, RoleUnknown, 0)
		for tries := 0; tries < 20 && len(of(SendAttempt, acts)) == 0; tries++ { // a primary that is gone is asked again after a pause
			r.now += 5 * ms
			acts = r.step(Event{Kind: TimerFired})
		}
		if next := of(SendAttempt, acts); len(next) != 1 {
			t.Errorf("class %d: then %+v", class, acts)
		}
	}
}
