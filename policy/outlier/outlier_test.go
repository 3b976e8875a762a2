package outlier

import (
	"testing"

	"lotushook/policy/clock"
)

const baseDelay = 100 * clock.Millisecond

func newHealth() Health { return New(&Settings{BaseDelay: baseDelay, HighLoad: 0.35}, 0.2) }

func TestConsecutiveFailuresEject(t *testing.T) {
	health := newHealth()
	for i := range failuresToEject {
		if eject := health.AddFailure(0, clock.Millisecond); eject != (i == failuresToEject-1) {
			t.Fatalf("failure %d: eject is %v", i+1, eject)
		}
	}
	health.Readmit()
	if health.AddFailure(0, clock.Millisecond) {
		t.Error("an answer did not reset the count of consecutive failures")
	}
}

func TestEjectionBacksOffUntilAnAnswer(t *testing.T) {
	health := newHealth()
	now := clock.Nanos(0)
	backoff := baseDelay
	for range 8 {
		health.Eject(now)
		if !health.Ejected() || health.CanaryDue(now+backoff-1) || !health.CanaryDue(now+backoff) {
			t.Fatalf("ejected at %d: the canary is due at %d, want %d later", now, health.CanaryAt(), backoff)
		}
		now += backoff
		backoff = min(2*backoff, maxEjectionBackoff*baseDelay)
	}
	if wasEjected, wasDown := health.Readmit(); !wasEjected || wasDown || health.Ejected() || !health.Available(now) {
		t.Errorf("Readmit returned %v, %v and left %+v", wasEjected, wasDown, health)
	}
}

func TestEjectionExtendedOnlyOnceACanaryWasDue(t *testing.T) {
	health := newHealth()
	if first, changed := health.Eject(0); !first || !changed {
		t.Fatal("the first ejection did not report first and changed")
	}
	if first, changed := health.Eject(baseDelay - 1); first || changed {
		t.Error("an ejection was extended before its canary was due")
	}
	if first, changed := health.Eject(baseDelay); first || !changed {
		t.Error("an ejection was not extended once its canary was due")
	}
}

func TestPauseGrowsUpToBaseDelay(t *testing.T) {
	health := newHealth()
	work := 20 * clock.Millisecond
	for _, want := range []clock.Nanos{2 * work, 4 * work, baseDelay, baseDelay} {
		health.AddBusy(0, work)
		if !health.Paused(want-1) || health.Paused(want) {
			t.Errorf("paused until %d, want %d", health.pausedUntil, want)
		}
	}
}

func TestErrorsAndLoadMakeUnhealthy(t *testing.T) {
	health := newHealth()
	if !health.Healthy() || health.Overloaded() {
		t.Fatal("a new endpoint is not healthy")
	}
	health.AddError()
	if health.Healthy() {
		t.Error("an endpoint is healthy after an error")
	}
	for range 3 {
		health.AddSuccess()
	}
	if !health.Healthy() {
		t.Errorf("an endpoint is unhealthy after three successes, with an error rate of %.2f", health.Errors())
	}
	for range 10 {
		health.AddLoad(1)
	}
	if !health.Overloaded() || health.Healthy() {
		t.Errorf("an endpoint with load %.2f is not overloaded", health.Load())
	}
}
