package recovery

import "lotushook/policy/clock"

// Recovery is one router's. It belongs to one goroutine, or to one lock; what it holds follows from the settings.
type Recovery struct {
	settings         Settings
	now              clock.Nanos
	started          clock.Nanos
	stage            Stage
	stageSince       clock.Nanos // of the stage
	proven           bool        // the stage was reached by proof
	listed           bool
	caughtUp         bool
	seesMajority     bool        // enough of the others are seen to say who returns
	returning        int         // how many return
	peersReturnUntil clock.Nanos // until then a router that serves leaves room for them
	successes        int

	ramp              float64     // times its part of the first sends
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
	r := &Recovery{settings: s, now: now, started: now, stageSince: now, proven: true, returning: s.Routers, ramp: 1, tokensAt: now, responseTimes: newResponseTimes(s.TrackedTimes),
		salt: hash(s.Name, "", s.Epoch)}
	for k := range r.phase {
		r.phase[k] = fraction(hash(s.Name, kindNames[k], s.Epoch))
		r.lastTurn[k] = -1 << 62
	}
	r.retryAfters.startsAt, r.retries.at, r.retries.floorPaidUntil, r.stepAt, r.peersReturnUntil = now, now, now, now, now+s.RestartWindow
	return r, nil
}

// ListReceived notes that a list of data servers is in hand.
func (r *Recovery) ListReceived(now clock.Nanos) {
	r.listed = true
	r.Tick(now)
}

// CaughtUp notes that this router has all that it will be fed: a peer has told it everything, or a copy on disk was read.
func (r *Recovery) CaughtUp(now clock.Nanos) {
	r.caughtUp = true
	r.Tick(now)
}

// CatchUpLost notes that who fed this router has gone before the end. It waits for another, no longer than the bound.
func (r *Recovery) CatchUpLost(now clock.Nanos) {
	if r.stage == Starting {
		r.caughtUp = false
	}
	r.Tick(now)
}

// Ended notes how an attempt has ended: done, or not. One that was never sent is not told.
func (r *Recovery) Ended(now clock.Nanos, a Attempt, done bool, took clock.Nanos) {
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

// Tick moves on with time. Every other call does so too; before it serves, a router that has nothing else to do calls it within
// each Pause. A router that was stopped goes on where it was: what it waits for can't have come meanwhile.
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
		case now >= bound: // from when it was over, however late this was looked at
			r.enter(r.stage+1, bound, false)
		default:
			r.advanceRamp(now)
			return
		}
	}
}

// stageProven says whether what the present stage waits for is proven.
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
	if s == Proving { // from nothing, by chance up to one: all that return start alike
		r.tokens, r.tokensAt = r.phase[Send], at
	}
	if s == Ramping {
		r.stepAt = at + second - r.settings.RampStep // the first second is the budget's
	}
}

// advanceRamp doubles a ramp step by step while nearly all answers come, and halves it, not below its start, while most don't.
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

// Report says how far this router is.
func (r *Recovery) Report(now clock.Nanos) Report {
	r.Tick(now)
	denied := map[string]int64{}
	for why, n := range r.counts {
		if n > 0 {
			denied[Reason(why).String()] = n
		}
	}
	return Report{Stage: r.stage.String(), SinceMS: (r.now - r.stageSince) / 1e6, Returning: r.returning, Part: r.share(), Proven: r.proven, Denied: denied}
}
