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
		state, err := recovery.New(settings, driver.Now)
		if err != nil {
			t.Fatal(err)
		}
		seen := func(now int64, peers []recovery.Peer) { state.UpdatePeers(now, peers) }
		allow := func(now int64, kind uint8) (clock.Nanos, recovery.Reason) {
			return state.Allow(now, recovery.Kind(kind)%recovery.KindCount, 2e8)
		}
		send := func(now int64, attempt recovery.Attempt) recovery.Reason {
			attempt.Deadline = now + int64(driver.IntN(1e9))
			return state.AllowSend(now, attempt)
		}
		ended := func(now int64, attempt recovery.Attempt, done bool) {
			state.AttemptEnded(now, attempt, done, int64(driver.IntN(1e8)))
		}
		later := func(now int64, tenant, session string, lane int) clock.Nanos {
			return state.RetryAfter(now, tenant, session, lane%2)
		}
		driver.Run(40, seen, state.Tick, send, allow)
		driver.Run(1500, seen, allow, allow, send, send, send, ended, ended, state.Tick, state.Tick, later,
			state.ListReceived, state.CaughtUp, state.CatchUpLost, state.Stage, state.Report, state.Share)
	}
	digest.Check(t, "0d2b5aa62fa39a7c/13273")
}
