package recovery

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"

	"lotushook/policy/clock"
)

// world is three routers, each with what it last saw of the others; each event makes another one of it.
type world struct {
	now  clock.Nanos
	who  [3]*Recovery // nil: crashed
	boot [3]uint64
	path []string
}

const exploreStep = 100 * ms

func (recovery *Recovery) clone() *Recovery {
	if recovery == nil {
		return nil
	}
	c := *recovery // no attempts end here but in proofs: the times' map is not written
	c.responseTimes = newResponseTimes(1)
	return &c
}

func (w *world) next(what string, i int) *world {
	c := &world{now: w.now, boot: w.boot, path: append(slices.Clone(w.path), fmt.Sprintf("%s %d", what, i))}
	for j, r := range w.who {
		c.who[j] = r.clone()
	}
	return c
}

func (w *world) hash() uint64 {
	h := fnv.New64a()
	for i, r := range w.who {
		if r == nil {
			fmt.Fprint(h, i, "-")
			continue
		}
		fmt.Fprint(h, i, w.now-r.startedAt, w.now-r.stageStartedAt, r.stage, r.hasList, r.isCaughtUp, r.seesMajority, r.returning, r.stageSuccesses, r.rampSucceeded, r.enteredByProof, r.rampFactor, r.yieldDeadline-w.now, w.boot[i])
	}
	return h.Sum64()
}

func (w *world) start(tb testing.TB, i int, trusting bool) {
	tb.Helper()
	w.boot[i] += uint64(w.now) + 1
	s := DefaultSettings(string(rune('a'+i)), w.boot[i], 3)
	s.CanCatchUp, s.SeesPeers, s.trustViews, s.MinSuccesses, s.MaxTrackedResponseTimes = true, true, trusting, 1, 1
	w.who[i] = must(tb, s, w.now)
}

// view is what membership may show a router: all that are up, as it is; or nobody.
func (w *world) view(i int) []Peer {
	var out []Peer
	for j, r := range w.who {
		if j != i && r != nil {
			out = append(out, Peer{Name: string(rune('a' + j)), Epoch: w.boot[j], Alive: true, HeardDirectly: true})
		}
	}
	return out
}

// events are all that can happen next.
func (w *world) events(tb testing.TB, trusting bool) []*world {
	tb.Helper()
	c := w.next("tick", -1)
	c.now += exploreStep
	for _, r := range c.who {
		if r != nil {
			r.Tick(c.now)
		}
	}
	out := []*world{c}
	do := func(what string, i int, f func(c *world, r *Recovery)) {
		c := w.next(what, i)
		f(c, c.who[i])
		out = append(out, c)
	}
	for i, r := range w.who {
		if r == nil {
			do("start with its disk", i, func(c *world, _ *Recovery) {
				c.start(tb, i, trusting)
				c.who[i].ListReceived(c.now)
				c.who[i].CaughtUp(c.now)
			})
			do("start without", i, func(c *world, _ *Recovery) { c.start(tb, i, trusting) })
			continue
		}
		do("crash", i, func(c *world, _ *Recovery) { c.who[i] = nil })
		do("deliver view", i, func(c *world, r *Recovery) { r.UpdatePeers(c.now, c.view(i)) })
		do("lose view", i, func(c *world, r *Recovery) { r.UpdatePeers(c.now, nil) })
		if r.stage == Starting {
			do("list", i, func(c *world, r *Recovery) { r.ListReceived(c.now) })
			do("fed", i, func(c *world, r *Recovery) { r.CaughtUp(c.now) })
			do("feed dies", i, func(c *world, r *Recovery) { r.CatchUpLost(c.now) })
		}
		if r.stage >= Proving && r.stage < Serving {
			do("answer", i, func(c *world, r *Recovery) { r.AttemptEnded(c.now, Attempt{}, true, ms) })
		}
	}
	return out
}

// broken says which invariant an event has broken.
func (w *world) broken(before *world) string {
	sum := 0.0
	for i, r := range w.who {
		if r == nil {
			continue
		}
		sum += r.clone().Share(w.now)
		if r.stage < Serving && w.now-r.stageStartedAt >= r.settings.StageTimeouts[r.stage] {
			return fmt.Sprintf("%d is %s for %d ms", i, r.stage, (w.now-r.stageStartedAt)/ms)
		}
		if old := before.who[i]; old != nil && before.boot[i] == w.boot[i] && (r.stage < old.stage || r.stageStartedAt < old.stageStartedAt) {
			return fmt.Sprintf("%d fell from %s to %s", i, old.stage, r.stage)
		}
		if old := before.who[i]; old != nil && old.stage == Restored && r.stage == Proving && r.enteredByProof && !r.seesMajority {
			return fmt.Sprintf("%d proves, and saw nobody", i)
		}
		for k, least := range map[Kind]Stage{Dial: Restored, Probe: Restored} {
			if _, why := r.clone().Allow(w.now, k, second); why == Allowed && r.stage < least {
				return fmt.Sprintf("%d: a %s while %s", i, k, r.stage)
			}
		}
		if why := r.clone().AllowSend(w.now, Attempt{Deadline: w.now + second}); why == Allowed && r.stage < Proving {
			return fmt.Sprintf("%d sends while %s", i, r.stage)
		}
		if r.returning < 1 || r.returning > r.settings.Routers {
			return fmt.Sprintf("%d believes that %d return", i, r.returning)
		}
	}
	if sum > 1.2+1e-9 {
		return fmt.Sprintf("the parts add up to %.2f", sum)
	}
	return ""
}

// explore sees worlds breadth first, up to so many, and returns how many and how deep, and the shortest way to a broken
// one.
func explore(tb testing.TB, trusting bool, most int) (states, depth int, fault string) {
	tb.Helper()
	w := &world{now: 100 * second}
	for i := range w.who {
		w.start(tb, i, trusting)
	}
	for i := range 2 { // they have served for long; the third has just started
		w.who[i].startedAt, w.who[i].stageStartedAt, w.who[i].yieldDeadline, w.boot[i], w.who[i].stage = 0, 0, 0, 1, Serving
		w.who[i].settings.Epoch = 1
	}
	seen, row := map[uint64]bool{w.hash(): true}, []*world{w}
	for len(row) > 0 && len(seen) < most {
		var next []*world
		for _, x := range row {
			for _, y := range x.events(tb, trusting) {
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
	states, depth, fault := explore(t, false, 20_000)
	t.Logf("%d states, %d events deep", states, depth)
	if fault != "" {
		t.Error(fault)
	}
	if states < 20_000 || depth < 6 {
		t.Errorf("only %d states, %d events deep", states, depth)
	}
}

// A rule broken on purpose is found: a router that believes its view takes all that is left of a budget, and the next
// one too.
func TestExploreFindsABrokenRule(t *testing.T) {
	states, depth, fault := explore(t, true, 20_000)
	t.Logf("%d states, %d events deep: %s", states, depth, fault)
	if fault == "" {
		t.Error("nothing was found")
	}
}
