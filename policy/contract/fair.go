package contract

import (
	"cmp"
	"slices"
)

// BatchedRequest is one request of a batch that Order sorts.
type BatchedRequest struct {
	Team   int
	Class  int
	Reason Reason
	Index  int // identifies the request to the caller
}

// Order sorts a batch into the order in which its requests are to be decided: requests within contracts come before
// borrowed ones. Within each of these two parts, start-time fair queueing gives the teams turns by their weights,
// however many requests each sends. A team that had more than its share in earlier calls comes after the others.
func (ledger *Ledger) Order(batch []BatchedRequest) {
	if len(batch) < 2 {
		return
	}
	starts := make([]float64, 0, len(batch))
	for _, request := range batch {
		weight, cost := 1.0, 1.0
		if request.Team >= 0 && request.Team < len(ledger.settings.Teams) {
			weight = ledger.settings.Teams[request.Team].Weight
		}
		if request.Class >= 0 && request.Class < len(ledger.settings.Classes) {
			cost = max(ledger.settings.Classes[request.Class].Cost, 1e-3)
		}
		start := max(ledger.virtualTime, ledger.finishTimes[request.Team])
		ledger.finishTimes[request.Team] = start + cost/weight
		starts = append(starts, start)
	}
	order := make([]int, len(batch))
	for i := range order {
		order[i] = i
	}
	borrowedRank := func(i int) int {
		if batch[i].Reason == Borrowed {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Or(borrowedRank(x)-borrowedRank(y), cmp.Compare(starts[x], starts[y]))
	})
	sorted := make([]BatchedRequest, len(batch))
	for i, j := range order {
		sorted[i] = batch[j]
	}
	copy(batch, sorted)
	ledger.virtualTime = slices.Min(starts)
	for team, finish := range ledger.finishTimes { // a team that has not had more than its share needs no entry
		if finish <= ledger.virtualTime {
			delete(ledger.finishTimes, team)
		}
	}
}
