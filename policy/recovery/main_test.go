package recovery

import (
	"testing"

	"lotushook/policy/clock"
)

const ms = second / 1000

func newRecovery(t interface{ Fatal(...any) }, settings Settings, now clock.Nanos) *Recovery {
	recovery, err := New(settings, now)
	if err != nil {
		t.Fatal(err)
	}
	return recovery
}

func TestInvalidSettings(t *testing.T) {
	valid := DefaultSettings("a", 1, 3)
	newRecovery(t, valid, 0)
	for i, invalidate := range []func(*Settings){
		func(settings *Settings) { settings.Name = "" }, func(settings *Settings) { settings.Routers = 0 }, func(settings *Settings) { settings.MaxShareFactor = 0.9 }, func(settings *Settings) { settings.ServingShare = 2 },
		func(settings *Settings) { settings.Budgets[Probe] = -1 }, func(settings *Settings) { settings.StageTimeouts[Restored] = 0 }, func(settings *Settings) { settings.RetryRatio = 0.2 },
		func(settings *Settings) { settings.MinSuccesses = 0 }, func(settings *Settings) { settings.RetryAfterRange[1] = 0 },
	} {
		settings := valid
		invalidate(&settings)
		if _, err := New(settings, 0); err == nil {
			t.Errorf("%d: invalid settings accepted: %+v", i, settings)
		}
	}
}

// tickUntil advances time to the end in steps below MaxTickGap.
func tickUntil(recovery *Recovery, end clock.Nanos) clock.Nanos {
	for now := recovery.now; now < end; now += 300 * ms {
		recovery.Tick(now)
	}
	recovery.Tick(end)
	return end
}
