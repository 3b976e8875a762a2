package recovery

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"

	"lotushook/policy/clock"
)

// modelState is the state of three routers, each with its last view of the others. Each event leads to another state.
type modelState struct {
	now     clock.Nanos
	routers [3]*Recovery // nil: crashed
	epochs  [3]uint64
	events  []string
}

const exploreStep = 100 * ms

func (recovery *Recovery) clone() *Recovery {
	if recovery == nil {
		return nil
	}
	clone := *recovery // response times are not copied: the routers would share a map
	clone.responseTimes = newResponseTimes(1)
	return &clone
}

func (state *modelState) successor(event string, index int) *modelState {
	next := &modelState{now: state.now, epochs: state.epochs, events: append(slices.Clone(state.events), fmt.Sprintf("%s %d", event, index))}
	for other, router := range state.routers {
		next.routers[other] = router.clone()
	}
	return next
}

func (state *modelState) hash() uint64 {
	hash := fnv.New64a()
	for index, router := range state.routers {
		if router == nil {
			fmt.Fprint(hash, index, "-")
			continue
		}
		fmt.Fprint(hash, index, state.now-router.startedAt, state.now-router.stageStartedAt, router.stage, router.hasList, router.isCaughtUp, router.seesMajority, router.returning, router.stageSuccesses, router.rampSucceeded, router.enteredByProof, router.rampFactor, router.yieldDeadline-state.now, state.epochs[index])
	}
	return hash.Sum64()
}

func (state *modelState) start(tb testing.TB, index int, trustViews bool) {
	tb.Helper()
	state.epochs[index] += uint64(state.now) + 1
	settings := DefaultSettings(string(rune('a'+index)), state.epochs[index], 3)
	settings.CanCatchUp, settings.SeesPeers, settings.trustViews, settings.MinSuccesses, settings.MaxTrackedResponseTimes = true, true, trustViews, 1, 1
	state.routers[index] = newRecovery(tb, settings, state.now)
}

// view is a correct view of a router's peers.
func (state *modelState) view(index int) []Peer {
	var peers []Peer
	for other, router := range state.routers {
		if other != index && router != nil {
			peers = append(peers, Peer{Name: string(rune('a' + other)), Epoch: state.epochs[other], Alive: true, HeardDirectly: true})
		}
	}
	return peers
}

// successors returns the states after each event that can happen next.
func (state *modelState) successors(tb testing.TB, trustViews bool) []*modelState {
	tb.Helper()
	next := state.successor("tick", -1)
	next.now += exploreStep
	for _, router := range next.routers {
		if router != nil {
			router.Tick(next.now)
		}
	}
	all := []*modelState{next}
	add := func(event string, index int, apply func(next *modelState, router *Recovery)) {
		next := state.successor(event, index)
		apply(next, next.routers[index])
		all = append(all, next)
	}
	for index, router := range state.routers {
		if router == nil {
			add("start with a copy on disk", index, func(next *modelState, _ *Recovery) {
				next.start(tb, index, trustViews)
				next.routers[index].ListReceived(next.now)
				next.routers[index].CaughtUp(next.now)
			})
			add("start without a copy", index, func(next *modelState, _ *Recovery) { next.start(tb, index, trustViews) })
			continue
		}
		add("crash", index, func(next *modelState, _ *Recovery) { next.routers[index] = nil })
		add("deliver view", index, func(next *modelState, router *Recovery) { router.UpdatePeers(next.now, next.view(index)) })
		add("lose view", index, func(next *modelState, router *Recovery) { router.UpdatePeers(next.now, nil) })
		if router.stage == Starting {
			add("list", index, func(next *modelState, router *Recovery) { router.ListReceived(next.now) })
			add("caught up", index, func(next *modelState, router *Recovery) { router.CaughtUp(next.now) })
			add("catch-up lost", index, func(next *modelState, router *Recovery) { router.CatchUpLost(next.now) })
		}
		if router.stage >= Proving && router.stage < Serving {
			add("answer", index, func(next *modelState, router *Recovery) { router.AttemptEnded(next.now, Attempt{}, true, ms) })
		}
	}
	return all
}

// brokenInvariant describes the invariant that the last event violated, if any.
func (state *modelState) brokenInvariant(previous *modelState) string {
	sum := 0.0
	for index, router := range state.routers {
		if router == nil {
			continue
		}
		sum += router.clone().Share(state.now)
		if router.stage < Serving && state.now-router.stageStartedAt >= router.settings.StageTimeouts[router.stage] {
			return fmt.Sprintf("router %d is in stage %s for %d ms", index, router.stage, (state.now-router.stageStartedAt)/ms)
		}
		if before := previous.routers[index]; before != nil && previous.epochs[index] == state.epochs[index] && (router.stage < before.stage || router.stageStartedAt < before.stageStartedAt) {
			return fmt.Sprintf("router %d went back from stage %s to %s", index, before.stage, router.stage)
		}
		if before := previous.routers[index]; before != nil && before.stage == Restored && router.stage == Proving && router.enteredByProof && !router.seesMajority {
			return fmt.Sprintf("router %d reached Proving by proof without seeing a majority", index)
		}
		for kind, minStage := range map[Kind]Stage{Dial: Restored, Probe: Restored} {
			if _, reason := router.clone().Allow(state.now, kind, second); reason == Allowed && router.stage < minStage {
				return fmt.Sprintf("router %d: %s allowed in stage %s", index, kind, router.stage)
			}
		}
		if reason := router.clone().AllowSend(state.now, Attempt{Deadline: state.now + second}); reason == Allowed && router.stage < Proving {
			return fmt.Sprintf("router %d: send allowed in stage %s", index, router.stage)
		}
		if router.returning < 1 || router.returning > router.settings.Routers {
			return fmt.Sprintf("router %d counts %d returning routers", index, router.returning)
		}
	}
	if sum > 1.2+1e-9 {
		return fmt.Sprintf("the shares add up to %.2f", sum)
	}
	return ""
}

// explore visits up to maxStates states breadth first. It returns their number and depth, and the shortest sequence of
// events to a violation, if any.
func explore(tb testing.TB, trustViews bool, maxStates int) (states, depth int, violation string) {
	tb.Helper()
	initial := &modelState{now: 100 * second}
	for index := range initial.routers {
		initial.start(tb, index, trustViews)
	}
	for index := range 2 { // two routers have served for a long time; the third has just started
		initial.routers[index].startedAt, initial.routers[index].stageStartedAt, initial.routers[index].yieldDeadline, initial.epochs[index], initial.routers[index].stage = 0, 0, 0, 1, Serving
		initial.routers[index].settings.Epoch = 1
	}
	seen, frontier := map[uint64]bool{initial.hash(): true}, []*modelState{initial}
	for len(frontier) > 0 && len(seen) < maxStates {
		var next []*modelState
		for _, state := range frontier {
			for _, successor := range state.successors(tb, trustViews) {
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
	states, depth, violation := explore(t, false, 20_000)
	t.Logf("%d states, %d events deep", states, depth)
	if violation != "" {
		t.Error(violation)
	}
	if states < 20_000 || depth < 6 {
		t.Errorf("only %d states, %d events deep", states, depth)
	}
}

// The exploration detects a deliberate fault: without MaxShareFactor, several routers may each use all of a budget that
// their views leave to returning routers.
func TestExploreFindsBrokenInvariant(t *testing.T) {
	states, depth, violation := explore(t, true, 20_000)
	t.Logf("%d states, %d events deep: %s", states, depth, violation)
	if violation == "" {
		t.Error("no violation was found")
	}
}
