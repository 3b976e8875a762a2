package balance

import "testing"

// What one router does now and then, eighty do all the time: the tests here guard the sums.

// Each probe has a price and needs a connection. Where nodes check for themselves, an attempt asks the same and may
// be served: reads that missed while their group has no primary must not set off probes.
func TestNoProbesWhereNodesCheck(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.ProbeReports, s.Behind = true, BehindRefuse })
	r.members(3)
	r.b.groups[1].primary = nil
	misses, probes := 0, 0
	for range 20 {
		r.now += 100 * ms
		id, acts := r.in(cBounded, "")
		for no := 0; ; no++ {
			probes += len(of(Probe, acts))
			sends := of(Send, acts)
			if len(sends) == 0 {
				break
			}
			misses++
			acts = r.out(id, no, sends[0].Node, Miss, Replica, r.now-2e9)
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
			s.Instances = routers
			if change != nil {
				change(s)
			}
		})
		rigs[i].b.rng = uint64(i) * 0x9e3779b97f4a7c15
	}
	return rigs
}

// A primary is replaced by a cold one under writes that need a fifth of it. Each of eighty routers has a write in one
// window of five: if each kept to a draw of its own part, the fleet would use a fifth of what it may send. Nearly all
// writes must go, and all together must stay under the stated multiple of what the cold node can do.
func TestFleetUsesAColdPrimarysBudget(t *testing.T) {
	const routers, cores, span = 80, 4.0, 20e9
	rigs := fleet(t, routers, func(s *Settings) { s.FallMultiple = 3 })
	set := &rigs[0].b.set
	groups := int64(8)
	var started Nanos
	asked, sent := 0, 0
	var sends []Nanos
	for at := Nanos(0); at < span+6e9; at += 100 * ms {
		for i, r := range rigs {
			if r.now = 1000e9 + at; at == 0 || at == span {
				e := Event{Kind: NodesFull}
				for g := range groups {
					if at > 0 && g == 0 {
						started = r.now
						e.Nodes = append(e.Nodes, NodeEntry{Node: 100, Group: 0, Primary: true, Weight: 4, Started: started})
					} else {
						e.Nodes = append(e.Nodes, NodeEntry{Node: uint32(g), Group: g, Primary: true, Weight: 4})
					}
				}
				r.step(e)
				r.b.groups[0].primary = r.b.nodes[e.Nodes[0].Node]
			}
			r.step(Event{Kind: Wakeup})
			// One write a second from each router, each time to another group.
			if (i+int(at/(100*ms)))%10 > 0 {
				continue
			}
			g := (int64(i) + at/1e9) % groups
			r.next++
			id := "w" + string(rune('a'+i)) + string(rune(r.next))
			acts := r.step(Event{Kind: RequestIn, Request: id, Class: cKeyed, Tenant: -1, Group: g, Deadline: r.now + 2e9})
			if at > span && g == 0 {
				asked++
			}
			for _, a := range of(Send, acts) {
				if at > span && g == 0 {
					sent++
					sends = append(sends, at)
				}
				r.now += 80 * ms
				r.step(Event{Kind: AttemptDone, Request: id, Attempt: a.Attempt, Node: a.Node, Outcome: Done, Finished: true,
					Role: Primary, Position: r.now})
			}
			if r.b.requests[id] != nil {
				r.step(Event{Kind: RequestGone, Request: id})
			}
		}
		share := set.ColdShare + (1-set.ColdShare)*float64(at-span)/float64(set.RampTime)
		work := 0.0
		for _, s := range sends {
			if s > at-set.OverloadFor {
				work += float64(80 * ms)
			}
		}
		if limit := set.FallMultiple * share * cores * float64(set.OverloadFor); at > span && work > limit {
			t.Fatalf("%d ms after the start: %.1f s of work in a window, %.1f s allowed", (at-span)/ms, work/1e9, limit/1e9)
		}
	}
	if asked < 50 || float64(sent) < 0.9*float64(asked) {
		t.Errorf("%d of %d writes went to a cold primary that could do all", sent, asked)
	}
}
