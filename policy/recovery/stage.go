package recovery

import "lotushook/policy/clock"

// Recovery is one router's. It is not safe for concurrent use; its size follows from the settings.
type Recovery struct {
	settings         Settings
	now              clock.Nanos
	started          clock.Nanos
	stage            Stage
	stageSince       clock.Nanos // of the stage
	proven           bool        // the stage was reached by proof
	listed           bool
	caughtUp         bool
	seesMajority     bool        // enough of the others are seen to know which return
	returning        int         // the number of returning routers
	peersReturnUntil clock.Nanos // until then a serving router leaves budget for them
	successes        int

	ramp              float64     // factor on its share of the first sends
	stepAt            clock.Nanos // the present step's start
	succeeded, failed int         // ends of attempts in it
	deniedAt          clock.Nanos // the last send that the budget denied
	lastTurn          [KindCount]clock.Nanos
	phase             [KindCount]float64
	tokens            float64 // of sends
	tokensAt          clock.Nanos
	retries           retryBudget
	responseTimes     responseTimes
	retryAfters       retryAfterCalendar
	counts            [ReasonCount]int64
	salt              uint64
}

// New returns the recovery of a router that has just started.
func New(s Settings, now clock.Nanos) (*Recovery, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &Recovery{settings: s, now: now, started: now, stageSince: now, proven: true, returning: s.Routers, ramp: 1, tokensAt: now, responseTimes: newResponseTimes(s.MaxTrackedResponseTimes),
		salt: hash(s.Name, "", s.Epoch)}
	for k := range r.phase {
		r.phase[k] = fraction(hash(s.Name, kindNames[k], s.Epoch))
		r.lastTurn[k] = -1 << 62
	}
	r.retryAfters.startsAt, r.retries.at, r.retries.floorPaidUntil, r.stepAt, r.peersReturnUntil = now, now, now, now, now+s.RestartWindow
	return r, nil
}

// ListReceived records that a list of data servers was received.
func (r *Recovery) ListReceived(now clock.Nanos) {
	r.listed = true
	r.Tick(now)
}

// CaughtUp records that the replicated state is complete: from a peer, or from a copy on disk.
func (r *Recovery) CaughtUp(now clock.Nanos) {
	r.caughtUp = true
	r.Tick(now)
}

// CatchUpLost records that the peer that sent the state is lost. The recovery waits for another, no longer than the timeout.
func (r *Recovery) CatchUpLost(now clock.Nanos) {
	if r.stage == Starting {
		r.caughtUp = false
	}
	r.Tick(now)
}

// AttemptEnded records how an attempt has ended. One that was never sent is not reported.
func (r *Recovery) AttemptEnded(now clock.Nanos, a Attempt, done bool, took clock.Nanos) {
	r.Tick(now)
	if !done {
		r.failed++
		return
	}
	r.succeeded++
	r.successes++
	r.retries.addSuccess(now)
	r.responseTimes.add(now, a.Server, a.Class, took)
	r.Tick(now)
}

// Tick advances time. Every other call does so too; before it serves, a router without events calls it within
// each MaxTickGap. A router that was paused goes on where it was: what it waits for can't have come meanwhile.
func (r *Recovery) Tick(now clock.Nanos) {
	if now < r.now { // a clock that goes back stands still here
		now = r.now
	}
	if gap := now - r.now; gap > r.settings.MaxTickGap && r.stage < Serving {
		r.stageSince += gap
		r.stepAt += gap
		r.deniedAt += gap
		r.tokensAt += gap
	}
	r.now = now
	for r.stage < Serving {
		bound := r.stageSince + r.settings.StageTimeouts[r.stage]
		switch {
		case r.stage == Restored && !r.settings.SeesPeers: // there is nothing to wait for
			r.enter(Proving, r.stageSince, true)
		case r.stageProven(now):
			r.enter(r.stage+1, now, true)
		case now >= bound: // from when it was due, however late this is checked
			r.enter(r.stage+1, bound, false)
		default:
			r.advanceRamp(now)
			return
		}
	}
}

// stageProven says whether the present stage's condition is met.
func (r *Recovery) stageProven(now clock.Nanos) bool {
	switch r.stage {
	case Starting:
		return r.listed && (r.caughtUp || !r.settings.CanCatchUp)
	case Restored:
		return r.seesMajority
	case Proving:
		return r.successes >= r.settings.MinSuccesses
	case Ramping:
		return r.succeeded > 0 && now-max(r.deniedAt, r.stageSince) >= r.settings.RampQuiet
	}
	return false
}

func (r *Recovery) enter(s Stage, at clock.Nanos, proven bool) {
	r.stage, r.stageSince, r.proven, r.stepAt = s, at, proven, at
	r.successes, r.succeeded, r.failed = 0, 0, 0
	if s == Proving { // from 0, by chance up to 1: those that return together start alike
		r.tokens, r.tokensAt = r.phase[Send], at
	}
	if s == Ramping {
		r.stepAt = at + second - r.settings.RampStep // the first second is the budget's
	}
}

// advanceRamp doubles the ramp step by step while nearly all answers succeed, and halves it, not below its start, while most fail.
func (r *Recovery) advanceRamp(now clock.Nanos) {
	if r.stage != Ramping || now-r.stepAt < r.settings.RampStep {
		return
	}
	r.refill(now)
	switch ends := r.succeeded + r.failed; {
	case ends == 0:
	case 5*r.succeeded >= 4*ends:
		r.ramp *= 2
	case 2*r.succeeded < ends:
		r.ramp = max(1, r.ramp/2)
	}
	r.stepAt, r.succeeded, r.failed = now, min(r.succeeded, 1), 0
}

// Stage is the present stage.
func (r *Recovery) Stage() Stage { return r.stage }

// Report returns the operators' report.
func (r *Recovery) Report(now clock.Nanos) Report {
	r.Tick(now)
	denied := map[string]int64{}
	for why, n := range r.counts {
		if n > 0 {
			denied[Reason(why).String()] = n
		}
	}
	return Report{Stage: r.stage.String(), SinceMS: (r.now - r.stageSince) / 1e6, Returning: r.returning, Share: r.share(), Proven: r.proven, Denied: denied}
}
