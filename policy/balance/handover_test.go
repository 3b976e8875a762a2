package balance

import (
	"testing"

	"lotushook/policy/clock"
)

// The old primary answers a write after the new one has been heard: what it committed counts for its session, but it is not
// brought back, and the next write is the new one's.
func TestOldPrimaryAnswersLate(t *testing.T) {
	for _, pos := range []clock.Nanos{0, 1000e9 - 50*ms} { // not told, or told and older
		r := newRig(t, nil)
		r.members(3)
		r.hear(2, r.now-100*ms)
		old, acts := r.in(cWrite, "s")
		if r.sentTo(acts) != 1 {
			t.Fatal("the write is not at the primary")
		}
		read, acts := r.in(cAny, "")
		r.out(read, 0, r.sentTo(acts), Succeeded, Replica, r.now-100*ms)
		r.b.recordReport(r.b.groups.endpoints[2], Primary, r.now) // as its answer to another router's write, or a probe, tells it
		r.now += 10 * ms
		r.out(old, 0, 1, Succeeded, Primary, pos)
		if p := r.b.groups.byID[1].primary; p == nil || p.id != 2 {
			t.Errorf("position %d: the primary is %+v", pos, p)
		}
		if _, acts := r.in(cWrite, "s"); r.sentTo(acts) != 2 {
			t.Errorf("position %d: the next write is not at the new primary", pos)
		}
	}
}
