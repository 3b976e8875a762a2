package recovery_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/clock"
	"lotushook/policy/recovery"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		driver := replaytest.NewDriver(seed, digest)
		settings := recovery.DefaultSettings("r-0", seed, 4)
		settings.CanCatchUp, settings.SeesPeers, settings.PriorityClasses = seed%2 == 0, seed%3 == 0, 2
		settings.StageTimeouts = [recovery.Serving]clock.Nanos{2e9, 2e9, 3e9, 10e9}
		recoveryState, err := recovery.New(settings, driver.Now)
		if err != nil {
			t.Fatal(err)
		}
		updatePeers := func(now int64, peers []recovery.Peer) { recoveryState.UpdatePeers(now, peers) }
		allow := func(now int64, kind uint8) (clock.Nanos, recovery.Reason) {
			return recoveryState.Allow(now, recovery.Kind(kind)%recovery.KindCount, 2e8)
		}
		send := func(now int64, attempt recovery.Attempt) recovery.Reason {
			attempt.Deadline = now + int64(driver.IntN(1e9))
			return recoveryState.AllowSend(now, attempt)
		}
		ended := func(now int64, attempt recovery.Attempt, succeeded bool) {
			recoveryState.AttemptEnded(now, attempt, succeeded, int64(driver.IntN(1e8)))
		}
		retryAfter := func(now int64, tenant, session string, priorityClass int) clock.Nanos {
			return recoveryState.RetryAfter(now, tenant, session, priorityClass%2)
		}
		driver.Run(40, updatePeers, recoveryState.Tick, send, allow)
		driver.Run(1500, updatePeers, allow, allow, send, send, send, ended, ended, recoveryState.Tick, recoveryState.Tick, retryAfter,
			recoveryState.ListReceived, recoveryState.CaughtUp, recoveryState.CatchUpLost, recoveryState.Stage, recoveryState.Report, recoveryState.Share)
	}
	digest.Check(t, "0d2b5aa62fa39a7c/13273")
}
