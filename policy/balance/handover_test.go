package balance

import (
	"testing"

	"lotushook/policy/clock"
)

// The old primary answers a write after the new one has reported its role. Its commit must be recorded for the
// session, but it must not become primary again, and the next write must be sent to the new primary.
func TestOldPrimaryAnswersLate(t *testing.T) {
	for _, position := range []clock.Nanos{0, 1000e9 - 50*ms} { // position not reported, or older than the new primary's
		router := newTestRouter(t, nil)
		router.listEndpoints(3)
		router.reportPosition(2, router.now-100*ms)
		old, actions := router.arrive(plainWrite, "s")
		if router.sentTo(actions) != 1 {
			t.Fatal("the write was not sent to the primary")
		}
		read, actions := router.arrive(anyRead, "")
		router.endAttempt(read, 0, router.sentTo(actions), Succeeded, Replica, router.now-100*ms)
		router.lb.recordReport(router.lb.groups.endpoints[2], Primary, router.now) // as reported by a probe or an answer
		router.now += 10 * ms
		router.endAttempt(old, 0, 1, Succeeded, Primary, position)
		if primary := router.lb.groups.byID[1].primary; primary == nil || primary.id != 2 {
			t.Errorf("position %d: the primary is %+v, want endpoint 2", position, primary)
		}
		if _, actions := router.arrive(plainWrite, "s"); router.sentTo(actions) != 2 {
			t.Errorf("position %d: the next write was not sent to the new primary", position)
		}
	}
}
