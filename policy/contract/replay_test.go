package contract_test

import (
	"net/netip"
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/contract"
)

func replaySettings() contract.Settings {
	limits := []contract.Limit{{PerSecond: 20, Burst: 10}, {PerSecond: 5, Burst: 5}}
	return contract.Settings{
		Teams: []contract.Team{
			{Name: "r-0", Weight: 1, Users: []string{"r-0"}, Limits: limits, PrimaryShare: 0.3, MaxOpen: 20, RetryShare: 0.2},
			{Name: "r-1", Weight: 3, Users: []string{"r-1", "r-2"}, Limits: limits,
				Hours: []contract.Hours{{From: 3600, To: 90000, Factor: 2}}},
			{Name: "r-2", Weight: 1, Addresses: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/24")},
				Limits: []contract.Limit{{PerSecond: 50, Burst: 50}, {}}},
		},
		Classes: []contract.Class{
			{Name: "read", LatencyObjective: 1e8, PriorityWeight: 1, Cost: 1},
			{Name: "write", LatencyObjective: 3e8, IdempotencyWindow: 10e9, Primary: true, PriorityWeight: 2, Cost: 3},
		},
		DefaultTeam: "r-2", Ambiguous: "first", TrustComment: true, Routers: 3, Skew: 0.5, PrimaryWorkPerSecond: 100,
		HighPressure: 0.35, LowPressure: 0.25, MaxKeys: 50, MaxGroupEntries: 20, MaxRetryAfter: 3e9,
	}
}

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		ledger, err := contract.New(replaySettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		type openRequest struct {
			request     contract.Request
			lowPriority bool
		}
		var open []openRequest
		driver := replaytest.NewDriver(seed, digest)
		admit := func(request contract.Request, now int64) contract.Verdict {
			request.Team, request.Class = request.Team%3, request.Class%2
			request.Group = int64(driver.IntN(3))
			request.Deadline = now + 1e9
			verdict := ledger.Admit(request, now)
			if verdict.Reason.Admitted() && !verdict.Queued {
				open = append(open, openRequest{request, verdict.LowPriority})
			}
			return verdict
		}
		requestEnded := func(outcome contract.Outcome, now int64) {
			if len(open) == 0 {
				return
			}
			i := driver.IntN(len(open))
			outcome.Elapsed = int64(driver.IntN(4e8))
			ledger.RequestEnded(open[i].request, open[i].lowPriority, outcome, now)
			open = append(open[:i], open[i+1:]...)
		}
		addLoadReport := func(group uint8, own, others int) { ledger.AddLoadReport(int64(group%3), own, own+others) }
		window := func(group uint8, primary bool) float64 { return ledger.Window(int64(group%3), primary) }
		contractShare := func(group uint8) float64 { return ledger.ContractShare(int64(group % 3)) }
		driver.Run(1500, admit, admit, admit, admit, requestEnded, requestEnded, requestEnded, addLoadReport, ledger.Match, ledger.TeamFromComment, ledger.DecideQueued,
			ledger.Abandon, ledger.QueuedCount, window, contractShare, ledger.Size)
	}
	digest.Check(t, "d29fa2a47fca95e5/27297")
}
