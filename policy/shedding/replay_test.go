package shedding_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/shedding"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		settings := shedding.DefaultSettings()
		settings.PriorityClasses = []shedding.PriorityClass{{Name: "premium", RequestsPerSecond: 5, Burst: 5}, {Name: "regular"}, {Name: "background", ReservedShare: 0.1}}
		settings.Teams = []shedding.Team{{Name: "r-0", PriorityClass: 0, RequestsPerSecond: 20, Burst: 20}, {Name: "r-1", PriorityClass: 1}, {Name: "r-2", PriorityClass: 2}}
		settings.Router, settings.Epoch, settings.Routers = "r-0", 3, 4
		settings.Shared = seed%2 == 0
		shedder, err := shedding.New(settings)
		if err != nil {
			t.Fatal(err)
		}
		driver := replaytest.NewDriver(seed, digest)
		admit := func(request shedding.Request, now int64) shedding.Verdict {
			request.Team = request.Team%4 - 1
			request.Account = settings.Account(driver.Text(), driver.Text())
			request.Group = int64(driver.IntN(3))
			return shedder.Admit(request, now)
		}
		started := func(group uint8, now int64) { shedder.RequestStarted(int64(group%3), now-1e8, 1e8) }
		ended := func(group uint8, class int, key string, outcome shedding.Outcome, now int64) {
			outcome.ArrivedAt, outcome.Elapsed, outcome.LatencyObjective = now-2e8, int64(driver.IntN(2e8)), 1e8
			shedder.RequestEnded(int64(group%3), class%3, key, outcome, now)
		}
		tick := func(now int64, connectivity shedding.Connectivity, reports []shedding.Report) []shedding.Report {
			for i := range reports {
				reports[i].Group, reports[i].Age = int64(driver.IntN(3)), int64(driver.IntN(2e9))
				reports[i].Load, reports[i].SaltEpoch = int64(driver.IntN(1000)), shedder.SaltEpoch()
				reports[i].Threshold = driver.IntN(64)
			}
			return shedder.Tick(now, connectivity, reports)
		}
		driver.Run(1500, admit, admit, admit, admit, started, started, ended, ended, ended, tick, tick, shedder.Position,
			shedder.States, shedder.Counts, shedder.Size, shedder.Ungrouped)
	}
	digest.Check(t, "51015f332899ae1e/74685")
}
