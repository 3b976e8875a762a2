package membership

import (
	"os"
	"testing"
)

// What a member sends does not grow with their number, and the time until all know of a death no faster than its logarithm.
func TestSizes(t *testing.T) {
	type figures struct{ join, notice, messages, updates float64 }
	got := map[int]figures{}
	sizes := []int{10, 100}
	if os.Getenv("LOTUSHOOK_LONG") != "" { // takes a minute
		sizes = append(sizes, 1000)
	}
	for _, members := range sizes {
		n := network(t, members, 15)
		join := n.until(60_000 * ms)
		n.run(30_000 * ms)
		n.sent, n.updates = 0, 0
		n.run(5000 * ms)
		f := figures{join: float64(join / ms), messages: float64(n.sent) / 5 / float64(members), updates: float64(n.updates) / float64(n.sent)}
		n.nodes[members/2].killed = true
		f.notice = float64(n.until(30_000*ms) / ms)
		n.noDeaths("calm")
		got[members] = f
		t.Logf("%d members: found each other in %.0f ms; %.1f messages a second with %.1f updates each; a death is known to all after %.0f ms",
			members, f.join, f.messages, f.updates, f.notice)
	}
	for _, members := range sizes[1:] {
		if f := got[members]; f.messages > 1.3*got[10].messages || f.notice > 3*got[10].notice {
			t.Errorf("%d members: %+v, ten: %+v", members, f, got[10])
		}
	}
}
