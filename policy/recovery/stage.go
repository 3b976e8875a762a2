package recovery

import "lotushook/policy/clock"

// Recovery is the recovery state of one router. It is not safe for concurrent use; its settings bound its size.
type Recovery struct {
	settings       Settings
	now            clock.Nanos
	startedAt      clock.Nanos
	stage          Stage
	stageStartedAt clock.Nanos
	enteredByProof bool // the previous stage ended by its proof, not by a timeout
	hasList        bool
	isCaughtUp     bool
	seesMajority   bool        // this router sees a majority of the routers, which is enough to know which ones return
	returning      int         // number of routers that return together
	yieldDeadline  clock.Nanos // until then, a serving router leaves budget to returning ones
	stageSuccesses int

	rampFactor                float64     // multiplies this router's share of the send budget
	rampStepAt                clock.Nanos // start of the current step
	rampSucceeded, rampFailed int         // number of attempts that ended in the current step, by result
	lastSendDeniedAt          clock.Nanos // when the budget last denied a send
	lastSlot                  [KindCount]clock.Nanos
	slotPhase                 [KindCount]float64
	sendTokens                float64
	sendTokensAt              clock.Nanos
	retryBudget               retryBudget
	responseTimes             responseTimes
	retryCalendar             retryAfterCalendar
	reasonCounts              [ReasonCount]int64
	salt                      uint64
}

// New returns the recovery state of a router that has just started.
func New(settings Settings, now clock.Nanos) (*Recovery, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	recovery := &Recovery{settings: settings, now: now, startedAt: now, stageStartedAt: now, enteredByProof: true, returning: settings.Routers, rampFactor: 1, sendTokensAt: now, responseTimes: newResponseTimes(settings.MaxTrackedResponseTimes),
		salt: hash(settings.Name, "", settings.Epoch)}
	for kind := range recovery.slotPhase {
		recovery.slotPhase[kind] = fraction(hash(settings.Name, kindNames[kind], settings.Epoch))
		recovery.lastSlot[kind] = -1 << 62
	}
	recovery.retryCalendar.startedAt, recovery.retryBudget.newestSlotAt, recovery.retryBudget.minRateCreditedAt, recovery.rampStepAt, recovery.yieldDeadline = now, now, now, now, now+settings.RestartWindow
	return recovery, nil
}

// ListReceived records that an endpoint list was received.
func (recovery *Recovery) ListReceived(now clock.Nanos) {
	recovery.hasList = true
	recovery.Tick(now)
}

// CaughtUp records that the replicated state is complete, received from a peer or restored from disk.
func (recovery *Recovery) CaughtUp(now clock.Nanos) {
	recovery.isCaughtUp = true
	recovery.Tick(now)
}

// CatchUpLost records that the peer that was sending the replicated state is lost. Starting then waits for another
// peer, until the stage's timeout.
func (recovery *Recovery) CatchUpLost(now clock.Nanos) {
	if recovery.stage == Starting {
		recovery.isCaughtUp = false
	}
	recovery.Tick(now)
}

// AttemptEnded records the outcome of an attempt and its response time. It is not called for an attempt that was not
// sent.
func (recovery *Recovery) AttemptEnded(now clock.Nanos, attempt Attempt, succeeded bool, elapsed clock.Nanos) {
	recovery.Tick(now)
	if !succeeded {
		recovery.rampFailed++
		return
	}
	recovery.rampSucceeded++
	recovery.stageSuccesses++
	recovery.retryBudget.addSuccess(now)
	recovery.responseTimes.add(now, attempt.Server, attempt.Class, elapsed)
	recovery.Tick(now)
}

// Tick advances time, as every other call with a time does. Before the stage Serving, a call is needed at least once
// per MaxTickGap. A longer gap means that the process was paused. The stage's timeout is then extended by the gap,
// because the events that the stage waits for can't have arrived during the pause.
func (recovery *Recovery) Tick(now clock.Nanos) {
	if now < recovery.now { // a clock that is set back counts as standing still
		now = recovery.now
	}
	if gap := now - recovery.now; gap > recovery.settings.MaxTickGap && recovery.stage < Serving {
		recovery.stageStartedAt += gap
		recovery.rampStepAt += gap
		recovery.lastSendDeniedAt += gap
		recovery.sendTokensAt += gap
	}
	recovery.now = now
	for recovery.stage < Serving {
		deadline := recovery.stageStartedAt + recovery.settings.StageTimeouts[recovery.stage]
		switch {
		case recovery.stage == Restored && !recovery.settings.SeesPeers: // other routers can't be seen
			recovery.enter(Proving, recovery.stageStartedAt, true)
		case recovery.stageProven(now):
			recovery.enter(recovery.stage+1, now, true)
		case now >= deadline: // the next stage counts as started at the deadline, even if Tick is called late
			recovery.enter(recovery.stage+1, deadline, false)
		default:
			recovery.advanceRamp(now)
			return
		}
	}
}

// stageProven reports whether the proof that ends the current stage is complete.
func (recovery *Recovery) stageProven(now clock.Nanos) bool {
	switch recovery.stage {
	case Starting:
		return recovery.hasList && (recovery.isCaughtUp || !recovery.settings.CanCatchUp)
	case Restored:
		return recovery.seesMajority
	case Proving:
		return recovery.stageSuccesses >= recovery.settings.MinSuccesses
	case Ramping:
		return recovery.rampSucceeded > 0 && now-max(recovery.lastSendDeniedAt, recovery.stageStartedAt) >= recovery.settings.RampQuiet
	}
	return false
}

func (recovery *Recovery) enter(stage Stage, at clock.Nanos, proven bool) {
	recovery.stage, recovery.stageStartedAt, recovery.enteredByProof, recovery.rampStepAt = stage, at, proven, at
	recovery.stageSuccesses, recovery.rampSucceeded, recovery.rampFailed = 0, 0, 0
	if stage == Proving { // a fraction of a token, so that returning routers do not send at the same time
		recovery.sendTokens, recovery.sendTokensAt = recovery.slotPhase[Send], at
	}
	if stage == Ramping {
		recovery.rampStepAt = at + second - recovery.settings.RampStep // the ramp factor is first doubled after a second
	}
}

// advanceRamp doubles the ramp factor after each step in which at least 80% of the attempts succeeded, and halves it,
// to no less than 1, after each step in which fewer than half did.
func (recovery *Recovery) advanceRamp(now clock.Nanos) {
	if recovery.stage != Ramping || now-recovery.rampStepAt < recovery.settings.RampStep {
		return
	}
	recovery.refill(now)
	switch ended := recovery.rampSucceeded + recovery.rampFailed; {
	case ended == 0:
	case 5*recovery.rampSucceeded >= 4*ended:
		recovery.rampFactor *= 2
	case 2*recovery.rampSucceeded < ended:
		recovery.rampFactor = max(1, recovery.rampFactor/2)
	}
	recovery.rampStepAt, recovery.rampSucceeded, recovery.rampFailed = now, min(recovery.rampSucceeded, 1), 0
}

// Stage returns the current stage.
func (recovery *Recovery) Stage() Stage { return recovery.stage }

// Report returns the report for operators.
func (recovery *Recovery) Report(now clock.Nanos) Report {
	recovery.Tick(now)
	denied := map[string]int64{}
	for reason, count := range recovery.reasonCounts {
		if count > 0 {
			denied[Reason(reason).String()] = count
		}
	}
	return Report{Stage: recovery.stage.String(), SinceMS: (recovery.now - recovery.stageStartedAt) / 1e6, Returning: recovery.returning, Share: recovery.share(), Proven: recovery.enteredByProof, Denied: denied}
}
