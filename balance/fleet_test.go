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
