package recovery

import (
	"math"

	"lotushook/policy/clock"
)

// UpdatePeers records the current view of the peers. A router that is itself returning counts each configured router as
// returning unless the view says that the router was heard directly and started more than RestartWindow earlier.
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

// returningPeers counts the peers that started after this router, and within the last RestartWindow by this router's
// clock.
func (recovery *Recovery) returningPeers(now clock.Nanos, peers []Peer) int {
	count := 0
	for _, peer := range peers {
		if peer.Name != recovery.settings.Name && peer.Alive && peer.Epoch > recovery.settings.Epoch && peer.Epoch-recovery.settings.Epoch > uint64(max(0, now-recovery.startedAt-recovery.settings.RestartWindow)) {
			count++
		}
	}
	return count
}

// share returns this router's share of each budget. An even share of all configured routers is safe whatever the views
// are. While others return, a serving router uses only ServingShare of its even share, and the returning routers divide
// the rest, but each uses at most MaxShareFactor times an even share, as the views of all routers may be wrong at the
// same time.
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

// Allow is called before a dial, a probe, a list call or a catch-up request. It either reserves a slot, and the caller
// acts after wait, or denies the action, and the caller asks again after wait. A slot more than maxWait away is denied
// and not reserved, as callers that can't wait that long would otherwise use up all slots. Unused slots do not
// accumulate. The slots of a router are evenly spaced with a phase derived from its name and epoch, so that many
// routers that start together act one after the other.
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
		interval = 3600 * second // without a share, practically never
	}
	firstSlot := recovery.startedAt + clock.Nanos(recovery.slotPhase[kind]*float64(interval))
	earliest := max(now, recovery.lastSlot[kind]+1, firstSlot)
	slot := firstSlot + (earliest-firstSlot+interval-1)/interval*interval
	if slot-recovery.lastSlot[kind] < interval { // the last slot was reserved with another interval
		slot = recovery.lastSlot[kind] + interval
	}
	if maxWait = min(maxWait, recovery.settings.MaxWait); slot-now > maxWait {
		recovery.reasonCounts[OverBudget]++
		return max(1, slot-now-maxWait/2), OverBudget // asking again only at the slot's time would be too late for it
	}
	recovery.lastSlot[kind] = slot
	return slot - now, Allowed
}

// AllowSend is called before an attempt is sent. An attempt that it denies must not be sent.
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

// sendRate returns this router's budget of sends per second before it serves.
func (recovery *Recovery) sendRate() float64 {
	rate := recovery.settings.Budgets[Send] * recovery.share()
	if recovery.stage == Proving {
		return rate / 4
	}
	return rate * recovery.rampFactor
}

// refill adds the send tokens of the elapsed time. At most the tokens of 20 ms, or one, accumulate.
func (recovery *Recovery) refill(now clock.Nanos) {
	rate := recovery.sendRate()
	recovery.sendTokens = min(max(1, rate/50), recovery.sendTokens+rate*float64(now-recovery.sendTokensAt)/float64(second))
	recovery.sendTokensAt = now
}
