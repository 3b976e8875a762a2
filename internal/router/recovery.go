package router

import (
	"log/slog"
	"sync"
	"time"

	"lotushook/internal/metrics"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
	"lotushook/policy/membership"
	"lotushook/policy/recovery"
)

// tickInterval is how often a restarted router checks the stage of its recovery, until it reaches the last one,
// serving.
const tickInterval = 100 * time.Millisecond

// recoveryGate applies the decisions of package recovery, which limits the load that restarting routers cause. It may
// be used by several goroutines at once; its lock is held only while a decision is made. A nil gate allows everything
// immediately.
type recoveryGate struct {
	router *Router

	mu       sync.Mutex
	decision *recovery.Recovery
	stage    recovery.Stage // the last logged stage
}

func newRecoveryGate(router *Router, config *siteconfig.Recovery) (*recoveryGate, error) {
	settings := config.RouterSettings(router.config.Name, uint64(router.clock.unix), router.config.Settings.Balance.Routers)
	// Without peers, nothing can confirm that the replicated state is complete, and the recovery ends as Empty on a
	// timeout.
	settings.SeesPeers = router.membership != nil
	decision, err := recovery.New(settings, router.clock.now())
	if err != nil {
		return nil, err
	}
	gate := &recoveryGate{router: router, decision: decision}
	router.pool.DialDelay = func(maxWait time.Duration) (time.Duration, bool) { return gate.allow(recovery.Dial, maxWait) }
	router.watcher.CallDelay = func() (time.Duration, bool) { return gate.allow(recovery.ListCall, time.Second) }
	return gate, nil
}

// update calls a function with the lock held and logs the stage if it has changed.
func (gate *recoveryGate) update(apply func(decision *recovery.Recovery, now clock.Nanos)) {
	now := gate.router.clock.now()
	gate.mu.Lock()
	defer gate.mu.Unlock()
	apply(gate.decision, now)
	if stage := gate.decision.Stage(); stage != gate.stage {
		gate.stage = stage
		report := gate.decision.Report(now)
		slog.Info("recovery", "stage", report.Stage, "proven", report.Proven, "returning", report.Returning, "part", report.Share)
	}
}

// allow is called before each dial, probe and discovery call. It returns how long the caller must wait before it, and
// whether it is allowed at all.
func (gate *recoveryGate) allow(kind recovery.Kind, maxWait time.Duration) (wait time.Duration, ok bool) {
	if gate == nil {
		return 0, true
	}
	gate.update(func(decision *recovery.Recovery, now clock.Nanos) {
		delay, verdict := decision.Allow(now, kind, clock.Nanos(maxWait))
		wait, ok = time.Duration(delay), verdict == recovery.Allowed
	})
	if !ok {
		gate.router.metrics.Add(metrics.DeniedByRecovery)
	}
	return wait, ok
}

// allowSend reports whether an attempt that the decision module requests may be sent.
func (gate *recoveryGate) allowSend(request *request, action *balance.Action) (ok bool) {
	if gate == nil {
		return true
	}
	class, deadline := gate.router.config.Settings.Class(request.Class), request.deadline
	if classSettings := &gate.router.config.Settings.Balance.Classes[class]; classSettings.LateWeight <= 0 {
		deadline = min(deadline, request.arrivedAt+classSettings.LatencyObjective)
	}
	gate.update(func(decision *recovery.Recovery, now clock.Nanos) {
		request.recoveryAttempt, request.recoveryAskedAt = recovery.Attempt{Server: uint32(action.Endpoint), Class: class, IsRetry: request.attemptsSent > 0, Deadline: deadline}, now
		switch decision.AllowSend(now, request.recoveryAttempt) {
		case recovery.Allowed:
			ok = true
			return
		case recovery.RetryLimited:
			gate.router.metrics.Add(metrics.DeniedRetries)
		case recovery.TooLate:
			gate.router.metrics.Add(metrics.DeniedLate)
		}
		gate.router.metrics.Add(metrics.DeniedByRecovery)
	})
	return ok
}

// attemptEnded records the outcome of an attempt. Attempts that were not sent, were canceled or were immediately
// rejected by the endpoint are ignored, because they say nothing about the endpoint's recovery.
func (gate *recoveryGate) attemptEnded(request *request, outcome balance.Outcome) {
	if gate == nil {
		return
	}
	switch outcome {
	case balance.NotSent, balance.Busy, balance.NotEligible, balance.Canceled:
		return
	}
	gate.update(func(decision *recovery.Recovery, now clock.Nanos) {
		decision.AttemptEnded(now, request.recoveryAttempt, outcome == balance.Succeeded, now-request.recoveryAskedAt)
	})
}

// retryAfter returns the Retry-After time of a rejected request. If the platform allows Retry-After times, the recovery
// decisions spread them over time.
func (gate *recoveryGate) retryAfter(request *request, wait clock.Nanos) clock.Nanos {
	platform := &gate.router.config.Settings.Balance
	// Rejections by contracts and load shedding have their own Retry-After time.
	if !platform.RetryAfterAllowed || request.rejectionReason != nil {
		return wait
	}
	gate.update(func(decision *recovery.Recovery, now clock.Nanos) {
		wait = min(decision.RetryAfter(now, request.Team, request.Session, request.sheddingVerdict.PriorityClass), platform.MaxRetryAfter)
	})
	return wait
}

// listReceived records that an endpoint list has been received.
func (gate *recoveryGate) listReceived() {
	if gate != nil {
		gate.update(func(decision *recovery.Recovery, now clock.Nanos) { decision.ListReceived(now) })
	}
}

// peersSeen records the peers in the membership view.
func (gate *recoveryGate) peersSeen(view *membership.View) {
	if gate == nil || view == nil {
		return
	}
	peers := make([]recovery.Peer, 0, len(view.Members))
	for i := range view.Members {
		member := &view.Members[i]
		peers = append(peers, recovery.Peer{Name: member.Name, Epoch: member.Epoch, Alive: member.State == membership.Alive || member.State == membership.Suspect, HeardDirectly: member.LastHeardAt > 0})
	}
	gate.update(func(decision *recovery.Recovery, now clock.Nanos) { decision.UpdatePeers(now, peers) })
}

// tickTimer returns a timer for the next tick, or nil once the router serves.
func (gate *recoveryGate) tickTimer() <-chan time.Time {
	if gate == nil {
		return nil
	}
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.stage == recovery.Serving {
		return nil
	}
	return time.After(tickInterval)
}

// tick updates the recovery stage.
func (gate *recoveryGate) tick() {
	if members := gate.router.membership; members != nil {
		gate.peersSeen(members.peers.View())
		return
	}
	gate.update(func(decision *recovery.Recovery, now clock.Nanos) { decision.Tick(now) })
}

// report returns the state of the recovery for the admin socket; nil if recovery is disabled.
func (gate *recoveryGate) report() *recovery.Report {
	if gate == nil {
		return nil
	}
	var report recovery.Report
	gate.update(func(decision *recovery.Recovery, now clock.Nanos) { report = decision.Report(now) })
	return &report
}
