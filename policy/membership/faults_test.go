package membership

import (
	"testing"

	"lotushook/policy/clock"
)

// after runs until something holds in every view that is there.
func (n *net) after(most clock.Nanos, what string, hold func(x *node) bool) clock.Nanos {
	n.t.Helper()
	for from := n.now; n.now-from < most; n.run(100 * ms) {
		all := true
		for _, x := range n.nodes {
			all = all && (x.killed || hold(x))
		}
		if all {
			return n.now - from
		}
	}
	n.t.Fatalf("not within %d ms: %s", most/ms, what)
	return 0
}

// What the dead had is divided once a majority calls them gone, and given back before they count again.
func TestPartsFollowTheDead(t *testing.T) {
	n := network(t, 9, 11)
	even := func(x *node) bool { return near(x.View().Quota.Share, 1.0/9) }
	n.after(30_000*ms, "all hold an even part", even)
	for i := range 4 {
		n.nodes[i].killed = true
	}
	took := n.after(40_000*ms, "five share all", func(x *node) bool { return near(x.View().Quota.Share, 0.5/9+0.5/5) })
	t.Logf("half of nine are divided after %d ms", took/ms)
	for i := range 4 {
		n.start(i)
	}
	n.after(40_000*ms, "all hold an even part again", even)
	n.cut = func(from, to int) bool { return (from < 4) != (to < 4) }
	n.after(40_000*ms, "the larger side shares all, the smaller keeps the least", func(x *node) bool {
		return near(x.View().Quota.Share, map[bool]float64{true: 0.5 / 9, false: 0.5/9 + 0.5/5}[x.at < 4])
	})
	n.cut = func(int, int) bool { return false }
	n.after(60_000*ms, "all hold an even part after the split", even)
}

func near(x, y float64) bool { return x-y < 1e-9 && y-x < 1e-9 }

// Clocks that run 2% apart, and one that is set back by an hour at a restart, at another address.
func TestClocks(t *testing.T) {
	n := network(t, 7, 12)
	for i, x := range n.nodes {
		x.rate = 0.98 + 0.04*float64(i)/6
		x.boot = 3600
		n.start(i)
	}
	n.until(8000 * ms)
	n.run(30_000 * ms)
	n.noDeaths("clocks that run apart")
	for k, at := range []string{address(2), "127.0.1.2:9"} {
		x := n.nodes[2]
		x.killed = true
		n.run(500 * ms)
		x.boot, x.address = 10+uint64(k), at
		n.doors[at] = 2
		n.start(2)
		if took := n.until(10_000 * ms); took > 8000*ms {
			t.Errorf("back after %d ms at %s", took/ms, at)
		}
	}
	n.run(10_000 * ms)
	n.noDeaths("a clock set back")
}

// A link that flaps every 300 ms swings nobody's view.
func TestFlappingLink(t *testing.T) {
	n := network(t, 5, 13)
	n.until(6000 * ms)
	n.cut = func(from, to int) bool { return from+to == 3 && from*to == 2 && n.now/(300*ms)%2 == 0 }
	for range 60 {
		n.run(1000 * ms)
		for _, x := range n.nodes {
			for _, m := range x.View().Members {
				if m.State > Suspect {
					t.Fatalf("%s has %s as %s", name(x.at), m.Name, m.State)
				}
			}
		}
	}
}

// Half of 80 restart within 12 s, and then the fleet is split in 41 and 39 for a minute.
func TestMassRestartAndSplit(t *testing.T) {
	n := network(t, 80, 14)
	n.until(15_000 * ms)
	for i := range 40 {
		n.nodes[2*i].killed = true
		n.run(300 * ms)
		n.start(2 * i)
	}
	if took := n.until(10_000 * ms); took > 8000*ms {
		t.Errorf("agreed %d ms after the last restart", took/ms)
	}
	n.noDeaths("a mass restart")
	n.cut = func(from, to int) bool { return (from < 41) != (to < 41) }
	n.run(60_000 * ms)
	for _, x := range n.nodes {
		if v := x.View(); v.Majority != (x.at < 41) {
			t.Errorf("%s: majority %v of %d", name(x.at), v.Majority, v.Present)
		}
		x.served = n.now
	}
	n.cut = func(int, int) bool { return false }
	if took := n.until(15_000 * ms); took > 5000*ms {
		t.Errorf("agreed %d ms after healing", took/ms)
	}
	t.Logf("the parts of all added up to %.3f at the most", n.most)
}
