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

// modelState is the state of three members and the messages in flight between them. Each event leads to another state.
type modelState struct {
	now       clock.Nanos
	members   [3]*Detector
	killed    [3]bool
	paused    int         // index of the paused member
	resumesAt clock.Nanos // end of the pause; 0: there was none
	inFlight  []Message
	events    []string
}

func (d *Detector) clone() *Detector {
	clone := *d
	clone.peers, clone.sortedPeers, clone.relays = map[string]*peerState{}, nil, maps.Clone(d.relays)
	for _, peer := range d.sortedPeers {
		copied := *peer
		copied.reporters = slices.Clone(peer.reporters)
		clone.addPeer(&copied)
	}
	if d.probe != nil {
		copied := *d.probe
		clone.probe = &copied
	}
	clone.probeOrder, clone.queuedUpdates, clone.outgoing = slices.Clone(d.probeOrder), slices.Clone(d.queuedUpdates), nil
	return &clone
}

func (s *modelState) successor(event string) *modelState {
	next := &modelState{now: s.now, killed: s.killed, paused: s.paused, resumesAt: s.resumesAt, inFlight: slices.Clone(s.inFlight), events: append(slices.Clone(s.events), event)}
	for index, detector := range s.members {
		next.members[index] = detector.clone()
	}
	return next
}

func (s *modelState) hash() uint64 {
	hash := fnv.New64a()
	for index, detector := range s.members {
		fmt.Fprint(hash, s.killed[index], s.paused, s.resumesAt, detector.self, detector.startedAt, detector.probeOrder, detector.nextProbeAt, detector.probePeriods, detector.lastSeq, detector.healthScore, detector.unansweredProbes, detector.lastUnansweredName, detector.isolated, detector.duplicateName, detector.relays, detector.queuedUpdates, detector.rng, detector.now, detector.nextSyncAt, detector.syncInterval, detector.lastSyncAddedMember)
		if detector.probe != nil {
			fmt.Fprint(hash, *detector.probe)
		}
		for _, peer := range detector.sortedPeers {
			fmt.Fprint(hash, *peer)
		}
	}
	fmt.Fprint(hash, s.inFlight)
	return hash.Sum64()
}

const (
	exploreStep = 10 * ms
	maxInFlight = 3 // with this many messages in flight, one must arrive or be lost before time advances
)

func (s *modelState) isUp(i int) bool { return !s.killed[i] && (i != s.paused || s.now >= s.resumesAt) }

// successors returns the states after each event that can happen next: time advances, a message arrives or gets lost,
// or a member is paused or killed.
func (s *modelState) successors() []*modelState {
	var all []*modelState
	if len(s.inFlight) < maxInFlight {
		next := s.successor("tick")
		next.now += exploreStep
		for index, detector := range next.members {
			if next.isUp(index) {
				next.inFlight = append(next.inFlight, detector.Tick(next.now)...)
			}
		}
		all = append(all, next)
	}
	for position, message := range s.inFlight {
		next := s.successor(fmt.Sprintf("lose %d %s>%s", message.Kind, message.From, message.To))
		next.inFlight = slices.Delete(next.inFlight, position, position+1)
		all = append(all, next)
		for index := range next.members {
			if nodeAddress(index) == message.To && next.isUp(index) {
				delivered := s.successor(fmt.Sprintf("deliver %d %s>%s", message.Kind, message.From, message.To))
				delivered.inFlight = slices.Delete(delivered.inFlight, position, position+1)
				delivered.inFlight = append(delivered.inFlight, delivered.members[index].Receive(delivered.now, message)...)
				all = append(all, delivered)
			}
		}
	}
	for index := range s.members { // a member is paused for longer than MaxTickGap
		if s.resumesAt == 0 && !s.killed[index] {
			next := s.successor("pause " + nodeName(index))
			next.paused, next.resumesAt = index, s.now+7*exploreStep
			all = append(all, next)
		}
	}
	if s.killed == [3]bool{} {
		next := s.successor("kill r002")
		next.killed[2] = true
		all = append(all, next)
	}
	return all
}

// brokenInvariant describes the invariant that the last event violated, if any.
func (s *modelState) brokenInvariant(previous *modelState) string {
	for index, detector := range s.members {
		view := detector.View()
		if view.Majority && (view.Isolated || view.DuplicateName || 2*view.Present <= detector.settings.Configured) {
			return fmt.Sprintf("%s counts %d of %d as a majority", detector.settings.Name, view.Present, detector.settings.Configured)
		}
		if detector.self.State != Alive || detector.Size() > 3+4+maxRelays {
			return fmt.Sprintf("%s sees itself as %s, has size %d", detector.settings.Name, detector.self.State, detector.Size())
		}
		for name, peer := range detector.peers {
			before := previous.members[index].peers[name]
			if before == nil || before.Epoch != peer.Epoch {
				continue
			}
			if peer.Incarnation < before.Incarnation {
				return fmt.Sprintf("%s: the incarnation of %s decreased", detector.settings.Name, name)
			}
			if peer.State >= Dead && before.State < Dead && before.LastHeardAt > before.suspectedAt && before.LastHeardAt > 0 {
				return fmt.Sprintf("%s: %s is dead, though heard at %d ms and suspected since %d ms", detector.settings.Name, name, before.LastHeardAt/ms, before.suspectedAt/ms)
			}
		}
	}
	return ""
}

// newModelState returns three members that know each other, of which the first suspects the second. Timeouts are so
// short that the suspicion ends within the explored depth.
func newModelState(t *testing.T, lifeguard bool) *modelState {
	t.Helper()
	state := &modelState{}
	for index := range state.members {
		settings := DefaultSettings(nodeName(index), nodeAddress(index), 1, 3)
		settings.ProbeInterval, settings.AckTimeout, settings.IndirectChecks, settings.MinSuspicion, settings.MaxSuspicion, settings.MaxTickGap, settings.ForgetAfter = 2*exploreStep, exploreStep, 1, exploreStep, 2*exploreStep, 5*exploreStep, 1000*exploreStep
		settings.Confirmations, settings.Lifeguard = 1, lifeguard
		detector, err := New(settings, uint64(index), 0)
		if err != nil {
			t.Fatal(err)
		}
		for other := range state.members {
			if other != index {
				detector.addPeer(&peerState{Member: Member{Update: Update{Name: nodeName(other), Address: nodeAddress(other), Epoch: 1, State: Alive}}})
			}
		}
		detector.queuedUpdates, detector.nextSyncAt = nil, 1<<60 // no gossip is left, and no full state is requested
		state.members[index] = detector
	}
	state.members[0].suspectPeer(state.members[0].peers[nodeName(1)], nodeName(0), Dead)
	return state
}

// explore visits up to maxStates states breadth first. It returns their number and depth, and the shortest sequence of
// events to a violation, if any.
func explore(initial *modelState, maxStates int) (states, depth int, violation string) {
	seen, frontier := map[uint64]bool{initial.hash(): true}, []*modelState{initial}
	for len(frontier) > 0 && len(seen) < maxStates {
		var next []*modelState
		for _, state := range frontier {
			for _, successor := range state.successors() {
				if broken := successor.brokenInvariant(state); broken != "" {
					return len(seen), len(successor.events), broken + "\n" + strings.Join(successor.events, "\n")
				}
				if hash := successor.hash(); !seen[hash] {
					seen[hash] = true
					next = append(next, successor)
				}
			}
		}
		depth++
		frontier = next
	}
	return len(seen), depth, ""
}

func TestExplore(t *testing.T) {
	states, depth, violation := explore(newModelState(t, true), 20_000)
	t.Logf("%d states, %d events deep", states, depth)
	if violation != "" {
		t.Error(violation)
	}
	if states < 10_000 || depth < 6 {
		t.Errorf("only %d states, %d events deep", states, depth)
	}
}

// The exploration finds an invariant that is broken on purpose: in plain SWIM a suspicion ends in death although the
// member was heard meanwhile.
func TestExploreFindsBrokenInvariant(t *testing.T) {
	states, depth, violation := explore(newModelState(t, false), 20_000)
	t.Logf("%d states, %d events deep: %s", states, depth, violation)
	if violation == "" {
		t.Error("no violation was found")
	}
}
