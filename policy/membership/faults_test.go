package membership

import (
	"testing"

	"lotushook/policy/clock"
)

// runUntil runs until a condition holds on every running node and returns the elapsed time.
func (sim *simNet) runUntil(limit clock.Nanos, condition string, holds func(node *simNode) bool) clock.Nanos {
	sim.t.Helper()
	for startedAt := sim.now; sim.now-startedAt < limit; sim.run(100 * ms) {
		allHold := true
		for _, node := range sim.nodes {
			allHold = allHold && (node.killed || holds(node))
		}
		if allHold {
			return sim.now - startedAt
		}
	}
	sim.t.Fatalf("not within %d ms: %s", limit/ms, condition)
	return 0
}

// The quota shares of dead members are divided among a majority, and returned before the members get quota again.
func TestQuotaSharesFollowDeaths(t *testing.T) {
	sim := newSimNet(t, 9, 11)
	hasEvenShare := func(node *simNode) bool { return approximatelyEqual(node.View().Quota.Share, 1.0/9) }
	sim.runUntil(30_000*ms, "all have an even share", hasEvenShare)
	for index := range 4 {
		sim.nodes[index].killed = true
	}
	elapsed := sim.runUntil(40_000*ms, "five divide the shares of the dead", func(node *simNode) bool { return approximatelyEqual(node.View().Quota.Share, 0.5/9+0.5/5) })
	t.Logf("the shares of four dead of nine are divided after %d ms", elapsed/ms)
	for index := range 4 {
		sim.start(index)
	}
	sim.runUntil(40_000*ms, "all have an even share again", hasEvenShare)
	sim.blocked = func(from, to int) bool { return (from < 4) != (to < 4) }
	sim.runUntil(40_000*ms, "the larger side divides the shares, the smaller has the minimum", func(node *simNode) bool {
		return approximatelyEqual(node.View().Quota.Share, map[bool]float64{true: 0.5 / 9, false: 0.5/9 + 0.5/5}[node.index < 4])
	})
	sim.blocked = func(int, int) bool { return false }
	sim.runUntil(60_000*ms, "all have an even share after the partition", hasEvenShare)
}

func approximatelyEqual(left, right float64) bool { return left-right < 1e-9 && right-left < 1e-9 }

// Clocks run up to 2% too fast or too slow, and one is set back by an hour at a restart, at the same and at another
// address.
func TestClockDriftAndSteps(t *testing.T) {
	sim := newSimNet(t, 7, 12)
	for index, node := range sim.nodes {
		node.rate = 0.98 + 0.04*float64(index)/6
		node.epoch = 3600
		sim.start(index)
	}
	sim.runUntilAgreement(8000 * ms)
	sim.run(30_000 * ms)
	sim.expectNoFalseDeaths("clock drift")
	for restart, address := range []string{nodeAddress(2), "127.0.1.2:9"} {
		node := sim.nodes[2]
		node.killed = true
		sim.run(500 * ms)
		node.epoch, node.address = 10+uint64(restart), address
		sim.nodeByAddress[address] = 2
		sim.start(2)
		if elapsed := sim.runUntilAgreement(10_000 * ms); elapsed > 8000*ms {
			t.Errorf("agreed %d ms after the restart at %s", elapsed/ms, address)
		}
	}
	sim.run(10_000 * ms)
	sim.expectNoFalseDeaths("a clock set back")
}

// A link that fails and recovers every 300 ms makes no member dead or isolated in any view.
func TestFlappingLink(t *testing.T) {
	sim := newSimNet(t, 5, 13)
	sim.runUntilAgreement(6000 * ms)
	sim.blocked = func(from, to int) bool { return from+to == 3 && from*to == 2 && sim.now/(300*ms)%2 == 0 }
	for range 60 {
		sim.run(1000 * ms)
		for _, node := range sim.nodes {
			for _, member := range node.View().Members {
				if member.State > Suspect {
					t.Fatalf("%s sees %s as %s", nodeName(node.index), member.Name, member.State)
				}
			}
		}
	}
}

// Half of 80 members restart within 12 s, and then a partition separates 41 from 39 members for a minute.
func TestMassRestartAndPartition(t *testing.T) {
	sim := newSimNet(t, 80, 14)
	sim.runUntilAgreement(15_000 * ms)
	for index := range 40 {
		sim.nodes[2*index].killed = true
		sim.run(300 * ms)
		sim.start(2 * index)
	}
	if elapsed := sim.runUntilAgreement(10_000 * ms); elapsed > 8000*ms {
		t.Errorf("agreed %d ms after the last restart", elapsed/ms)
	}
	sim.expectNoFalseDeaths("a mass restart")
	sim.blocked = func(from, to int) bool { return (from < 41) != (to < 41) }
	sim.run(60_000 * ms)
	for _, node := range sim.nodes {
		if view := node.View(); view.Majority != (node.index < 41) {
			t.Errorf("%s: majority %v of %d", nodeName(node.index), view.Majority, view.Present)
		}
		node.servingSince = sim.now
	}
	sim.blocked = func(int, int) bool { return false }
	if elapsed := sim.runUntilAgreement(15_000 * ms); elapsed > 5000*ms {
		t.Errorf("agreed %d ms after the partition healed", elapsed/ms)
	}
	t.Logf("the quota shares added up to at most %.3f", sim.maxShareSum)
}
