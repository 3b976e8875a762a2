package contract

import (
	"cmp"
	"slices"
)

// BatchedRequest is one of the requests of a batch.
type BatchedRequest struct {
	Team   int
	Class  int
	Reason Reason
	Index  int // the caller's
}

// Order sorts the requests of a batch into the order in which they are to be
// decided: those within contracts first, and the teams by weighted fair
// queueing, independent of how many requests each sends. A team that has just had
// more than its share waits for the others, also over several calls (start-time
// fair queueing).
func (b *Ledger) Order(list []BatchedRequest) {
	if len(list) < 2 {
		return
	}
	starts := make([]float64, 0, len(list))
	for _, w := range list {
		worth, cost := 1.0, 1.0
		if w.Team >= 0 && w.Team < len(b.settings.Teams) {
			worth = b.settings.Teams[w.Team].Weight
		}
		if w.Class >= 0 && w.Class < len(b.settings.Classes) {
			cost = max(b.settings.Classes[w.Class].Cost, 1e-3)
		}
		start := max(b.virtualTime, b.finishTimes[w.Team])
		b.finishTimes[w.Team] = start + cost/worth
		starts = append(starts, start)
	}
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	borrowed := func(i int) int {
		if list[i].Reason == Borrowed {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Or(borrowed(x)-borrowed(y), cmp.Compare(starts[x], starts[y]))
	})
	out := make([]BatchedRequest, len(list))
	for i, j := range order {
		out[i] = list[j]
	}
	copy(list, out)
	b.virtualTime = slices.Min(starts)
	for t, f := range b.finishTimes { // a team that has no more than the others has no debt
		if f <= b.virtualTime {
			delete(b.finishTimes, t)
		}
	}
}
