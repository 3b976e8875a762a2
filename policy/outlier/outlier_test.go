package outlier

import (
	"testing"

	"lotushook/policy/clock"
)

const unit = 100 * clock.Millisecond

func newHealth() Health { return New(&Settings{BaseDelay: unit, HighLoad: 0.35}, 0.2) }

func TestFailuresInARowEject(t *testing.T) {
	h := newHealth()
	for i := range failuresToEject {
		if eject := h.AddFailure(0, clock.Millisecond); eject != (i == failuresToEject-1) {
			t.Fatalf("failure %d: eject %v", i+1, eject)
		}
	}
	h.Readmit()
	if h.AddFailure(0, clock.Millisecond) {
		t.Error("an answer in between does not count")
	}
}

func TestEjectionBacksOffUntilAnAnswer(t *testing.T) {
	h := newHealth()
	now := clock.Nanos(0)
	wait := unit
	for range 8 {
		h.Eject(now)
		if !h.Ejected() || h.CanaryDue(now+wait-1) || !h.CanaryDue(now+wait) {
			t.Fatalf("after %d: the canary is due at %d, want %d later", now, h.CanaryAt(), wait)
		}
		now += wait
		wait = min(2*wait, maxEjectionBackoff*unit)
	}
	if wasEjected, wasDown := h.Readmit(); !wasEjected || wasDown || h.Ejected() || !h.Available(now) {
		t.Errorf("readmitted: %v, %v, %+v", wasEjected, wasDown, h)
	}
}

func TestEjectedAgainOnlyOnceACanaryWasDue(t *testing.T) {
	h := newHealth()
	if first, changed := h.Eject(0); !first || !changed {
		t.Fatal("the first ejection")
	}
	if first, changed := h.Eject(unit - 1); first || changed {
		t.Error("an ejection was extended before its canary was due")
	}
	if first, changed := h.Eject(unit); first || !changed {
		t.Error("an ejection was not extended")
	}
}

func TestPauseGrowsUpToTheUnit(t *testing.T) {
	h := newHealth()
	work := 20 * clock.Millisecond
	for _, want := range []clock.Nanos{2 * work, 4 * work, unit, unit} {
		h.AddBusy(0, work)
		if !h.Paused(want-1) || h.Paused(want) {
			t.Errorf("paused until %d, want %d", h.pausedUntil, want)
		}
	}
}

func TestErrorsAndLoadMakeUnhealthy(t *testing.T) {
	h := newHealth()
	if !h.Healthy() || h.Overloaded() {
		t.Fatal("a new endpoint is not healthy")
	}
	h.AddError()
	if h.Healthy() {
		t.Error("healthy after an error")
	}
	for range 3 {
		h.AddSuccess()
	}
	if !h.Healthy() {
		t.Errorf("errors %.2f after three successes", h.Errors())
	}
	for range 10 {
		h.AddLoad(1)
	}
	if !h.Overloaded() || h.Healthy() {
		t.Errorf("load %.2f", h.Load())
	}
}
