package contract

import "lotushook/policy/clock"

// Account counts one team's requests of one class by their outcome.
type Account struct {
	Requested   uint64
	ByReason    [ReasonCount]uint64 // decisions on arrival: admissions and rejections
	Served      uint64
	InObjective uint64  // served within the latency objective
	Rejected    uint64  // by the router after their admission
	Failed      uint64  // without an answer although they may have run
	Weight      float64 // sum of the priority weights of the requests counted by InObjective
}

// Accounts calls each for every team and class that has received a request.
func (ledger *Ledger) Accounts(each func(team, class string, account Account)) {
	for team := range ledger.teams {
		for class := range ledger.teams[team].classes {
			if account := ledger.teams[team].classes[class].Account; account.Requested > 0 {
				each(ledger.settings.Teams[team].Name, ledger.settings.Classes[class].Name, account)
			}
		}
	}
}

// teamUsage records how much of its contract one team uses.
type teamUsage struct {
	classes     []classUsage
	retryBudget tokenBucket
	open        int // admitted requests that have not ended
}

type classUsage struct {
	budget     tokenBucket
	guaranteed tokenBucket // refilled at this router's share of the rate by load; requests beyond it have low priority
	Account
}

// RequestEnded processes the end of an admitted request; lowPriority repeats LowPriority of the verdict that admitted
// it. Only requests without low priority count for the pressure on the group. The idempotency key of a write that may
// have run is stored, so that a retry with the same key is admitted.
func (ledger *Ledger) RequestEnded(request Request, lowPriority bool, outcome Outcome, now clock.Nanos) {
	if request.Class < 0 || request.Class >= len(ledger.settings.Classes) {
		return
	}
	class := &ledger.settings.Classes[request.Class]
	if lowPriority {
		if pressure := ledger.pressures[groupRole{request.Group, class.Primary}]; pressure != nil {
			pressure.lowPriorityOpen = max(0, pressure.lowPriorityOpen-1)
		}
	}
	if request.Team >= 0 && request.Team < len(ledger.teams) {
		usage := &ledger.teams[request.Team]
		usage.open = max(0, usage.open-1)
		perClass := &usage.classes[request.Class]
		switch {
		case outcome.Served:
			perClass.Served++
			if outcome.Elapsed <= class.LatencyObjective {
				perClass.InObjective++
				perClass.Weight += class.PriorityWeight
			}
		case outcome.MayHaveRun:
			perClass.Failed++
		case !outcome.Abandoned:
			perClass.Rejected++
		}
	}
	if request.Key != "" && !outcome.Served && outcome.MayHaveRun {
		ledger.rememberKey(request.Key, now)
	} else if outcome.Served {
		delete(ledger.recentKeys, request.Key)
	}
	if lowPriority || outcome.Abandoned || class.LatencyObjective <= 0 {
		return
	}
	sample := failureShare
	if outcome.Served {
		sample = min(failureShare, float64(outcome.Elapsed)/float64(class.LatencyObjective))
	}
	ledger.pressureFor(request, now).addSample(sample)
}

// rememberKey stores the key of a write that may have run. Beyond MaxKeys, the oldest keys are dropped.
func (ledger *Ledger) rememberKey(key string, now clock.Nanos) {
	if _, ok := ledger.recentKeys[key]; !ok {
		ledger.keyOrder = append(ledger.keyOrder, key)
	}
	ledger.recentKeys[key] = now
	for len(ledger.keyOrder) > ledger.settings.MaxKeys {
		delete(ledger.recentKeys, ledger.keyOrder[0])
		ledger.keyOrder = ledger.keyOrder[1:]
	}
}
