// Package repeatguard remembers requests that have run or may have run, so that one whose ID comes again is not run
// twice: its client may have left before it had the answer, and may send it again on another connection.
package repeatguard

import (
	"errors"
	"strings"

	"lotushook/policy/clock"
)

// ErrLimits reports a retention or a number of requests that is not positive.
var ErrLimits = errors.New("repeat guard: retention and number of requests must be positive")

// Guard remembers the most recent requests. It is not safe for concurrent use.
type Guard struct {
	retention   clock.Nanos
	maxRequests int
	byID        map[string]record
	order       []string // IDs, the oldest first
}

type record struct {
	repeatableUntil clock.Nanos
	forgetAt        clock.Nanos
}

// New returns a guard that remembers each request for the retention, and at most maxRequests of them.
func New(retention clock.Nanos, maxRequests int) (*Guard, error) {
	if retention <= 0 || maxRequests <= 0 {
		return nil, ErrLimits
	}
	return &Guard{retention: retention, maxRequests: maxRequests, byID: map[string]record{}}, nil
}

// Ended records a request that has ended and has run or may have run. Until repeatableUntil data servers drop a
// duplicate; 0: they never do.
func (guard *Guard) Ended(id string, repeatableUntil, now clock.Nanos) {
	id = strings.Clone(id) // it may be a part of the query's text
	if _, known := guard.byID[id]; !known {
		guard.order = append(guard.order, id)
	}
	guard.byID[id] = record{repeatableUntil: repeatableUntil, forgetAt: now + guard.retention}
	for len(guard.order) > 0 && (len(guard.order) > guard.maxRequests || guard.byID[guard.order[0]].forgetAt <= now) {
		delete(guard.byID, guard.order[0])
		guard.order = guard.order[1:]
	}
}

// MayRun reports whether a request that arrives may be run.
func (guard *Guard) MayRun(id string, now clock.Nanos) bool {
	earlier, known := guard.byID[id]
	return !known || now < earlier.repeatableUntil || now >= earlier.forgetAt
}
