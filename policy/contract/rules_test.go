package contract

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// In any sequence of requests and clock steps, no request within a contract is rejected, admissions within a contract
// stay below its rate and burst, and the stored entries stay bounded.
//
//nolint:gocognit,funlen // one sequence of steps
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		settings.Teams[0].MaxOpen, settings.Teams[1].MaxOpen = 0, 0
		settings.Teams[0].PrimaryShare, settings.Teams[1].PrimaryShare = 0, 0
		ledger, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		type admittedWithin struct {
			count float64
			since clock.Nanos
		}
		now, teams := testStart, [2]admittedWithin{{since: testStart}, {since: testStart}}
		open, queued := map[string]Request{}, map[string]Request{}
		lowPriority := map[string]bool{}
		drawRequest := func(t *rapid.T) Request {
			return withNewID(Request{Team: rapid.IntRange(0, 1).Draw(t, "team"), Class: writeClass, Group: rapid.Int64Range(0, 20).Draw(t, "group"), Deadline: now + 3*second})
		}
		handle := func(decided QueuedVerdict, t *rapid.T) {
			request, ok := queued[decided.ID]
			if !ok {
				t.Fatalf("%+v was not queued", decided)
			}
			if delete(queued, decided.ID); decided.Reason.Admitted() {
				open[decided.ID], lowPriority[decided.ID] = request, decided.LowPriority
				return
			}
			ledger.RequestEnded(request, false, Outcome{}, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += rapid.Int64Range(0, 300).Draw(t, "ms") * ms },
			"ask": func(t *rapid.T) {
				request := drawRequest(t)
				team := &teams[request.Team]
				verdict := ledger.Admit(request, now)
				if !verdict.Reason.Admitted() && verdict.Reason != OverRate {
					t.Fatalf("%+v", verdict)
				}
				if verdict.Reason == Within {
					team.count++
				}
				if verdict.Displaced != nil {
					handle(*verdict.Displaced, t)
				}
				switch {
				case verdict.Queued:
					queued[request.ID] = request
				case verdict.Reason.Admitted():
					open[request.ID], lowPriority[request.ID] = request, verdict.LowPriority
				}
				if limit := 10 + 10*float64(now-team.since)/1e9; team.count > limit+1e-6 {
					t.Fatalf("%v admitted within a contract of %v", team.count, limit)
				}
				if !verdict.Reason.Admitted() && ledger.teams[request.Team].classes[writeClass].budget.used < 9-1e-6 {
					t.Fatal("rejected with budget left")
				}
			},
			"end": func(t *rapid.T) {
				ids := slices.Sorted(maps.Keys(open))
				if len(ids) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(ids).Draw(t, "id")
				outcome := rapid.SampledFrom([]Outcome{{Served: true, Elapsed: ms}, {Served: true, Elapsed: 3 * second}, {MayHaveRun: true}, {}, {Abandoned: true}}).Draw(t, "end")
				ledger.RequestEnded(open[id], lowPriority[id], outcome, now)
				delete(open, id)
			},
			"due": func(t *rapid.T) {
				for _, decided := range ledger.DecideQueued(now) {
					handle(decided, t)
				}
			},
			"drop": func(t *rapid.T) {
				ids := slices.Sorted(maps.Keys(queued))
				if len(ids) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(ids).Draw(t, "id")
				if !ledger.Abandon(id) {
					t.Fatalf("%s is queued, but Abandon did not find it", id)
				}
				ledger.RequestEnded(queued[id], false, Outcome{Abandoned: true}, now)
				delete(queued, id)
			},
			"load": func(t *rapid.T) {
				ledger.AddLoadReport(rapid.Int64Range(0, 20).Draw(t, "group"), rapid.IntRange(-1, 40).Draw(t, "mine"), rapid.IntRange(-1, 30).Draw(t, "all"))
			},
			"": func(t *rapid.T) {
				if budgets, keys, pressures := ledger.Size(); budgets > settings.MaxGroupEntries || keys > settings.MaxKeys || pressures > settings.MaxGroupEntries+len(open)+len(queued) {
					t.Fatalf("stored: %d budgets, %d keys, %d pressures", budgets, keys, pressures)
				}
				if openCount := ledger.teams[0].open + ledger.teams[1].open; openCount != len(open)+len(queued) || ledger.QueuedCount() != len(queued) {
					t.Fatalf("%d are open, %d queued; the ledger counts %d and %d", len(open), len(queued), openCount, ledger.QueuedCount())
				}
			},
		})
	})
}

// simulate sends a team's traffic through several routers for some seconds, with constant pressure, and returns how
// many requests were sent, and how many admitted within the contract, in each second. shares returns each router's
// share of the traffic at a time; restart returns the router that restarts at a time, or -1.
func simulate(tb testing.TB, routerCount int, skew float64, requestsPerSecond float64, seconds int, seed uint64, shares func(at clock.Nanos) []float64, restart func(at clock.Nanos) int) (requested, admitted []float64) {
	tb.Helper()
	random := rand.New(rand.NewPCG(seed, 7))
	settings := testSettings()
	settings.Routers, settings.Skew = routerCount, skew
	settings.Teams[0].Limits[writeClass] = Limit{100, 100}
	settings.Teams[0].MaxOpen = 0
	routers := make([]*Ledger, routerCount)
	newLedger := func(i int) *Ledger {
		ledger, err := New(settings, seed+uint64(i))
		if err != nil {
			tb.Fatal(err)
		}
		return ledger
	}
	for i := range routers {
		routers[i] = newLedger(i)
	}
	requested, admitted = make([]float64, seconds), make([]float64, seconds)
	for now := clock.Nanos(0); now < clock.Nanos(seconds)*second; now += ms {
		if i := restart(now); i >= 0 {
			routers[i] = newLedger(i)
		}
		trafficShares := shares(now)
		for i, ledger := range routers {
			if now%(10*ms) == 0 { // a slow request within a contract
				ledger.RequestEnded(Request{Team: 1, Class: writeClass, Group: 1}, false, Outcome{Served: true, Elapsed: 5 * second}, testStart+now)
			}
			if now%(200*ms) == 0 {
				ledger.AddLoadReport(1, int(20*trafficShares[i]+0.5), 20)
			}
			if random.Float64() < requestsPerSecond/1000*trafficShares[i] {
				requested[now/second]++
				request := withNewID(Request{Team: 0, Class: writeClass, Group: 1})
				verdict := ledger.Admit(request, testStart+now)
				if verdict.Reason.Admitted() && !verdict.Queued {
					ledger.RequestEnded(request, verdict.LowPriority, Outcome{Abandoned: true}, testStart+now)
				}
				for _, decided := range ledger.DecideQueued(testStart + now) {
					ledger.RequestEnded(Request{Team: 0, Class: writeClass, Group: 1, ID: decided.ID}, decided.LowPriority, Outcome{Abandoned: true}, testStart+now)
				}
				if verdict.Reason == Within {
					admitted[now/second]++
				}
			}
		}
	}
	return requested, admitted
}

func sum(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}

// Three or four routers enforce a contract without coordination. The requests of a team that stays within its contract
// are admitted, even if its traffic is skewed, if one router fails and its clients move to the others, or if one
// restarts without state. Of a team that sends much more, at most MaxOveradmission times its contract is admitted.
func TestRoutersWithoutCoordination(t *testing.T) {
	never := func(clock.Nanos) int { return -1 }
	steady := func(s ...float64) func(clock.Nanos) []float64 { return func(clock.Nanos) []float64 { return s } }
	for _, test := range []struct {
		name    string
		routers int
		shares  func(clock.Nanos) []float64
		restart func(clock.Nanos) int
	}{
		{"even", 3, steady(0.33, 0.33, 0.34), never},
		{"skewed", 3, steady(0.15, 0.40, 0.45), never},
		{"four", 4, steady(0.15, 0.2, 0.25, 0.4), never},
		{"one dies", 3, func(at clock.Nanos) []float64 {
			if at > 6*second {
				return []float64{0, 0.45, 0.55}
			}
			return []float64{0.3, 0.35, 0.35}
		}, never},
		{"one restarts", 3, func(at clock.Nanos) []float64 {
			if at > 6*second && at < 9*second {
				return []float64{0, 0.5, 0.5}
			}
			return []float64{0.4, 0.3, 0.3}
		}, func(at clock.Nanos) int {
			if at == 9*second {
				return 0
			}
			return -1
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(5) {
				requested, admitted := simulate(t, test.routers, 0.45, 90, 15, seed, test.shares, test.restart) // nine tenths of the contract
				if admittedShare := sum(admitted) / sum(requested); admittedShare < 0.985 {
					t.Errorf("seed %d: only %.3f of the requests within the contract were admitted", seed, admittedShare)
				}
				settings := testSettings()
				settings.Routers, settings.Skew = test.routers, 0.45
				_, admitted = simulate(t, test.routers, 0.45, 600, 15, seed, test.shares, test.restart)
				if limit := settings.MaxOveradmission()*100*15 + float64(test.routers+1)*100; sum(admitted) > limit || sum(admitted) < 100*15 {
					t.Errorf("seed %d: at six times the contract, %.0f were admitted, not between 1500 and %.0f", seed, sum(admitted), limit)
				}
			}
		})
	}
}

// MaxOveradmission holds whatever shares of the load the routers receive, as long as these add up to the whole load.
func TestMaxOveradmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 6).Draw(t, "routers")
		settings := testSettings()
		settings.Routers = routers
		settings.Skew = rapid.Float64Range(1/float64(routers), 1).Draw(t, "skew")
		remainingLoad, admittedShares, remainingShare := 1000, 0.0, 1.0
		divided := rapid.Bool().Draw(t, "divided")
		for i := range routers {
			own := remainingLoad
			if i < routers-1 {
				own = rapid.IntRange(0, remainingLoad).Draw(t, "mine")
			}
			remainingLoad -= own
			ledger, err := New(settings, 1)
			if err != nil {
				t.Fatal(err)
			}
			if divided {
				share := rapid.Float64Range(0.01/float64(routers), max(0.01/float64(routers), remainingShare)).Draw(t, "share")
				remainingShare -= share
				ledger.SetMinLoadShare(share)
			}
			ledger.AddLoadReport(1, own, 1000)
			if admittedShare, loadShare := ledger.ContractShare(1), float64(own)/1000; admittedShare < min(1, loadShare)-1e-9 || !divided && admittedShare < settings.Skew-1e-9 {
				t.Fatalf("a router that sees %v of the load admits %v of a contract", loadShare, admittedShare)
			}
			admittedShares += ledger.ContractShare(1)
		}
		limit := settings.MaxOveradmission()
		if divided {
			limit = 2.01 * settings.Skew * float64(routers) // the shares drawn last may bring the sum a hundredth over 1
		}
		if admittedShares > limit+1e-9 {
			t.Fatalf("%d routers together admit %v of a contract, the bound is %v", routers, admittedShares, limit)
		}
	})
}
