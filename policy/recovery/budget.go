package recovery

import (
	"math"

	"lotushook/policy/clock"
)

// UpdatePeers records this router's current view of its peers. While this router is itself returning, it counts each
// configured router as returning, except those that the view shows to have been heard directly and to have started more
// than RestartWindow earlier.
func (recovery *Recovery) UpdatePeers(now clock.Nanos, peers []Peer) {
	servingPeers, heardPeers := 0, 0
	for _, peer := range peers {
		if peer.Name == recovery.settings.Name || !peer.Alive || !peer.HeardDirectly {
			continue
		}
		if heardPeers++; peer.Epoch < recovery.settings.Epoch && recovery.settings.Epoch-peer.Epoch > uint64(recovery.settings.RestartWindow) {
			servingPeers++
		}
	}
	if recovery.stage < Serving {
		recovery.returning = max(1, recovery.settings.Routers-servingPeers)
		recovery.seesMajority = 2*(heardPeers+1) > recovery.settings.Routers
	} else if count := recovery.returningPeers(now, peers); count > 0 {
		recovery.returning, recovery.yieldDeadline = count, now+recovery.settings.RestartWindow
	}
	recovery.Tick(now)
}

// returningPeers counts the peers that started after this router did, and within the last RestartWindow by this
// router's clock.
func (recovery *Recovery) returningPeers(now clock.Nanos, peers []Peer) int {
	count := 0
	for _, peer := range peers {
		if peer.Name != recovery.settings.Name && peer.Alive && peer.Epoch > recovery.settings.Epoch && peer.Epoch-recovery.settings.Epoch > uint64(max(0, now-recovery.startedAt-recovery.settings.RestartWindow)) {
			count++
		}
	}
	return count
}

// share returns this router's share of each budget. Dividing a budget evenly among all configured routers is safe
// whatever they know of each other. While routers return, each serving router uses only ServingShare of its even share,
// and the returning routers divide the rest. A returning router uses at most MaxShareFactor times an even share, as the
// views of all routers may be wrong at the same time.
func (recovery *Recovery) share() float64 {
	routers := float64(recovery.settings.Routers)
	factor := 1.0
	switch {
	case recovery.settings.trustViews && recovery.stage < Serving:
		return 1 / float64(recovery.returning)
	case recovery.stage < Serving:
		factor = min(recovery.settings.MaxShareFactor, (float64(recovery.returning)+(1-recovery.settings.ServingShare)*(routers-float64(recovery.returning)))/float64(recovery.returning))
	case recovery.now < recovery.yieldDeadline:
		factor = recovery.settings.ServingShare
	}
	return factor / routers
}

// Share returns this router's current share of each budget.
func (recovery *Recovery) Share(now clock.Nanos) float64 {
	recovery.Tick(now)
	return recovery.share()
}

// admits says whether a stage permits a kind of action at all.
func admits(stage Stage, kind Kind) bool {
	switch kind {
	case ListCall, CatchUp:
		return true
	case Dial, Probe:
		return stage >= Restored
	}
	return stage >= Proving
}

// Allow must be called before a dial, a probe, a list call or a catch-up request. If the reason is Allowed, it has
// reserved a slot, a time at which the action may start, and the caller acts after wait. Otherwise the action is
// denied, and the caller may ask again after wait. A slot more than maxWait away is denied and not reserved, as callers
// that can't wait that long would otherwise use up all slots. Unused slots do not accumulate. The slots of a router are
// evenly spaced, with a phase derived from its name and epoch, so that many routers that start together act one after
// the other.
func (recovery *Recovery) Allow(now clock.Nanos, kind Kind, maxWait clock.Nanos) (wait clock.Nanos, reason Reason) {
	recovery.Tick(now)
	now = recovery.now
	if !admits(recovery.stage, kind) {
		recovery.reasonCounts[TooEarly]++
		return max(1, recovery.stageStartedAt+recovery.settings.StageTimeouts[recovery.stage]-now), TooEarly
	}
	if recovery.settings.Budgets[kind] == 0 {
		return 0, Allowed
	}
	var interval clock.Nanos
	if rate := recovery.settings.Budgets[kind] * recovery.share(); rate > 0 {
		interval = clock.Nanos(math.Ceil(float64(second) / rate))
	} else {
		interval = 3600 * second // a router without a share practically never gets a slot
	}
	firstSlot := recovery.startedAt + clock.Nanos(recovery.slotPhase[kind]*float64(interval))
	earliest := max(now, recovery.lastSlot[kind]+1, firstSlot)
	slot := firstSlot + (earliest-firstSlot+interval-1)/interval*interval
	if slot-recovery.lastSlot[kind] < interval { // the interval has changed since the last slot was reserved
		slot = recovery.lastSlot[kind] + interval
	}
	if maxWait = min(maxWait, recovery.settings.MaxWait); slot-now > maxWait {
		recovery.reasonCounts[OverBudget]++
		return max(1, slot-now-maxWait/2), OverBudget // at the slot's own time it would be too late to reserve that slot
	}
	recovery.lastSlot[kind] = slot
	return slot - now, Allowed
}

// AllowSend must be called before an attempt is sent. The attempt may be sent only if the reason is Allowed.
func (recovery *Recovery) AllowSend(now clock.Nanos, attempt Attempt) Reason {
	recovery.Tick(now)
	reason := recovery.checkSend(recovery.now, attempt)
	recovery.reasonCounts[reason]++
	return reason
}

func (recovery *Recovery) checkSend(now clock.Nanos, attempt Attempt) Reason {
	if !admits(recovery.stage, Send) {
		return TooEarly
	}
	if recovery.responseTimes.isTooLate(now, attempt) {
		return TooLate
	}
	if recovery.stage < Serving && recovery.settings.Budgets[Send] > 0 {
		recovery.refill(now)
		if recovery.sendTokens < 1 {
			recovery.lastSendDeniedAt = now
			return OverBudget
		}
	}
	if attempt.IsRetry && !recovery.retryBudget.spend(now, recovery.settings.RetryRatio, recovery.settings.MinRetryRate/float64(recovery.settings.Routers)) {
		return RetryLimited
	}
	if recovery.stage < Serving {
		recovery.sendTokens--
	}
	return Allowed
}

// sendRate returns how many sends per second this router's share of the budget permits before the stage Serving.
func (recovery *Recovery) sendRate() float64 {
	rate := recovery.settings.Budgets[Send] * recovery.share()
	if recovery.stage == Proving {
		return rate / 4
	}
	return rate * recovery.rampFactor
}

// refill adds the send tokens for the elapsed time. At most the tokens for 20 ms accumulate, but at least one token
// may.
func (recovery *Recovery) refill(now clock.Nanos) {
	rate := recovery.sendRate()
	recovery.sendTokens = min(max(1, rate/50), recovery.sendTokens+rate*float64(now-recovery.sendTokensAt)/float64(second))
	recovery.sendTokensAt = now
}
