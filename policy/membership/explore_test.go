package membership

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"testing"

	"lotushook/policy/clock"
)

// world is three members and what is under way between them; each event makes another one of it.
type world struct {
	now    clock.Nanos
	who    [3]*Detector
	killed [3]bool
	asleep int         // who is stopped
	wakes  clock.Nanos // until then; 0: nobody has been
	way    []Message
	path   []string
}

func (d *Detector) clone() *Detector {
	c := *d
	c.peers, c.sortedPeers, c.relays = map[string]*peerState{}, nil, maps.Clone(d.relays)
	for _, p := range d.sortedPeers {
		q := *p
		q.reporters = slices.Clone(p.reporters)
		c.addPeer(&q)
	}
	if d.probe != nil {
		q := *d.probe
		c.probe = &q
	}
	c.probeOrder, c.queuedUpdates, c.outgoing = slices.Clone(d.probeOrder), slices.Clone(d.queuedUpdates), nil
	return &c
}

func (w *world) next(what string) *world {
	c := &world{now: w.now, killed: w.killed, asleep: w.asleep, wakes: w.wakes, way: slices.Clone(w.way), path: append(slices.Clone(w.path), what)}
	for i, m := range w.who {
		c.who[i] = m.clone()
	}
	return c
}

func (w *world) hash() uint64 {
	h := fnv.New64a()
	for i, m := range w.who {
		fmt.Fprint(h, w.killed[i], w.asleep, w.wakes, m.self, m.startedAt, m.probeOrder, m.nextProbeAt, m.probePeriods, m.lastSeq, m.healthScore, m.unansweredProbes, m.lastUnansweredName, m.isolated, m.duplicateName, m.relays, m.queuedUpdates, m.rng, m.now, m.nextSyncAt, m.syncInterval, m.lastSyncAddedMember)
		if m.probe != nil {
			fmt.Fprint(h, *m.probe)
		}
		for _, p := range m.sortedPeers {
			fmt.Fprint(h, *p)
		}
	}
	fmt.Fprint(h, w.way)
	return h.Sum64()
}

const (
	exploreStep = 10 * ms
	mostOnWay   = 3 // beyond it something must arrive or be lost first
)

func (w *world) up(i int) bool { return !w.killed[i] && (i != w.asleep || w.now >= w.wakes) }

// events are all that can happen next: time goes on for all, a message arrives or is lost, one member is paused or killed.
func (w *world) events() []*world {
	var out []*world
	if len(w.way) < mostOnWay {
		c := w.next("tick")
		c.now += exploreStep
		for i, m := range c.who {
			if c.up(i) {
				c.way = append(c.way, m.Tick(c.now)...)
			}
		}
		out = append(out, c)
	}
	for k, msg := range w.way {
		c := w.next(fmt.Sprintf("lose %d %s>%s", msg.Kind, msg.From, msg.To))
		c.way = slices.Delete(c.way, k, k+1)
		out = append(out, c)
		for i := range c.who {
			if address(i) == msg.To && c.up(i) {
				d := w.next(fmt.Sprintf("deliver %d %s>%s", msg.Kind, msg.From, msg.To))
				d.way = slices.Delete(d.way, k, k+1)
				d.way = append(d.way, d.who[i].Receive(d.now, msg)...)
				out = append(out, d)
			}
		}
	}
	for i := range w.who { // one is stopped while time goes on for the others, long enough for it to notice
		if w.wakes == 0 && !w.killed[i] {
			c := w.next("pause " + name(i))
			c.asleep, c.wakes = i, w.now+7*exploreStep
			out = append(out, c)
		}
	}
	if w.killed == [3]bool{} {
		c := w.next("kill r002")
		c.killed[2] = true
		out = append(out, c)
	}
	return out
}

// broken says which invariant an event has broken.
func (w *world) broken(before *world) string {
	for i, m := range w.who {
		v := m.View()
		if v.Majority && (v.Isolated || v.DuplicateName || 2*v.Present <= m.settings.Configured) {
			return fmt.Sprintf("%s takes %d of %d for a majority", m.settings.Name, v.Present, m.settings.Configured)
		}
		if m.self.State != Alive || m.Size() > 3+4+maxRelays {
			return fmt.Sprintf("%s is %s itself, remembers %d", m.settings.Name, m.self.State, m.Size())
		}
		for name, p := range m.peers {
			old := before.who[i].peers[name]
			if old == nil || old.Epoch != p.Epoch {
				continue
			}
			if p.Incarnation < old.Incarnation {
				return fmt.Sprintf("%s: the incarnation of %s fell", m.settings.Name, name)
			}
			if p.State >= Dead && old.State < Dead && old.LastHeardAt > old.suspectedAt && old.LastHeardAt > 0 {
				return fmt.Sprintf("%s: %s is dead, though heard at %d ms and doubted since %d ms", m.settings.Name, name, old.LastHeardAt/ms, old.suspectedAt/ms)
			}
		}
	}
	return ""
}

// exploreStart is three that know each other, with spans so short that a doubt ends within reach; the first doubts the second.
func exploreStart(t *testing.T, corrections bool) *world {
	t.Helper()
	w := &world{}
	for i := range w.who {
		s := DefaultSettings(name(i), address(i), 1, 3)
		s.ProbeInterval, s.AckTimeout, s.IndirectChecks, s.MinSuspicion, s.MaxSuspicion, s.MaxTickGap, s.ForgetAfter = 2*exploreStep, exploreStep, 1, exploreStep, 2*exploreStep, 5*exploreStep, 1000*exploreStep
		s.Confirmations, s.Lifeguard = 1, corrections
		m, err := New(s, uint64(i), 0)
		if err != nil {
			t.Fatal(err)
		}
		for j := range w.who {
			if j != i {
				m.addPeer(&peerState{Member: Member{Update: Update{Name: name(j), Address: address(j), Epoch: 1, State: Alive}}})
			}
		}
		m.queuedUpdates, m.nextSyncAt = nil, 1<<60 // they have compared all they know
		w.who[i] = m
	}
	w.who[0].suspectPeer(w.who[0].peers[name(1)], name(0), Dead)
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
	states, depth, fault := explore(exploreStart(t, true), 20_000)
	t.Logf("%d states, %d events deep", states, depth)
	if fault != "" {
		t.Error(fault)
	}
	if states < 10_000 || depth < 6 {
		t.Errorf("only %d states, %d events deep", states, depth)
	}
}

// A rule broken on purpose is found: plain SWIM ends a doubt though the member was heard meanwhile.
func TestExploreFindsABrokenRule(t *testing.T) {
	states, depth, fault := explore(exploreStart(t, false), 20_000)
	t.Logf("%d states, %d events deep: %s", states, depth, fault)
	if fault == "" {
		t.Error("nothing was found")
	}
}
