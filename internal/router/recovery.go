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

// tickInterval is how often a router that does not serve yet checks its recovery stage.
const tickInterval = 100 * time.Millisecond

// recoveryGate applies the recovery decisions. Several goroutines use it; its lock is held for no longer than a decision takes.
// A nil gate allows everything at once.
type recoveryGate struct {
	router *Router

	mu       sync.Mutex
	decision *recovery.Recovery
	stage    recovery.Stage // the stage that was last logged
}

func newRecoveryGate(r *Router, own *siteconfig.Recovery) (*recoveryGate, error) {
	s := own.RouterSettings(r.config.Name, uint64(r.clock.unix), r.config.Settings.Balance.Routers)
	s.SeesPeers = r.membership != nil // without peers nothing can say that the replicated state is complete: the wait ends as Empty
	d, err := recovery.New(s, r.clock.now())
	if err != nil {
		return nil, err
	}
	c := &recoveryGate{router: r, decision: d}
	r.pool.DialDelay = func(most time.Duration) (time.Duration, bool) { return c.allow(recovery.Dial, most) }
	r.watcher.CallDelay = func() (time.Duration, bool) { return c.allow(recovery.ListCall, time.Second) }
	return c, nil
}

// update runs a function under the lock, and logs a new stage.
func (c *recoveryGate) update(f func(d *recovery.Recovery, now clock.Nanos)) {
	now := c.router.clock.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.decision, now)
	if s := c.decision.Stage(); s != c.stage {
		c.stage = s
		r := c.decision.Report(now)
		slog.Info("recovery", "stage", r.Stage, "proven", r.Proven, "returning", r.Returning, "part", r.Share)
	}
}

// allow is called before each dial, probe or list call; it returns how long that must wait.
func (c *recoveryGate) allow(k recovery.Kind, most time.Duration) (wait time.Duration, ok bool) {
	if c == nil {
		return 0, true
	}
	c.update(func(d *recovery.Recovery, now clock.Nanos) {
		span, why := d.Allow(now, k, clock.Nanos(most))
		wait, ok = time.Duration(span), why == recovery.Allowed
	})
	if !ok {
		c.router.metrics.Add(metrics.DeniedByRecovery)
	}
	return wait, ok
}

// allowSend says whether an attempt that the module wants may be sent.
func (c *recoveryGate) allowSend(r *request, a *balance.Action) (ok bool) {
	if c == nil {
		return true
	}
	class, until := c.router.config.Settings.Class(r.Class), r.deadline
	if k := &c.router.config.Settings.Balance.Classes[class]; k.LateWeight <= 0 {
		until = min(until, r.arrivedAt+k.LatencyObjective)
	}
	c.update(func(d *recovery.Recovery, now clock.Nanos) {
		r.recoveryAttempt, r.recoveryAskedAt = recovery.Attempt{Server: uint32(a.Endpoint), Class: class, IsRetry: r.attemptsSent > 0, Deadline: until}, now
		switch d.AllowSend(now, r.recoveryAttempt) {
		case recovery.Allowed:
			ok = true
			return
		case recovery.RetryLimited:
			c.router.metrics.Add(metrics.DeniedRetries)
		case recovery.TooLate:
			c.router.metrics.Add(metrics.DeniedLate)
		}
		c.router.metrics.Add(metrics.DeniedByRecovery)
	})
	return ok
}

// attemptEnded records how an attempt ended. Nothing is learned from one that was not sent, or that an endpoint rejected at once.
func (c *recoveryGate) attemptEnded(r *request, o balance.Outcome) {
	if c == nil {
		return
	}
	switch o {
	case balance.NotSent, balance.Busy, balance.NotEligible, balance.Canceled:
		return
	}
	c.update(func(d *recovery.Recovery, now clock.Nanos) {
		d.AttemptEnded(now, r.recoveryAttempt, o == balance.Succeeded, now-r.recoveryAskedAt)
	})
}

// retryAfter returns the Retry-After time of a rejected request: spread by the recovery decisions, where settings allow one.
func (c *recoveryGate) retryAfter(r *request, wait clock.Nanos) clock.Nanos {
	b := &c.router.config.Settings.Balance
	if !b.RetryAfterAllowed || r.rejectionReason != nil { // a contract's rejection has a time of its own
		return wait
	}
	c.update(func(d *recovery.Recovery, now clock.Nanos) {
		wait = min(d.RetryAfter(now, r.Team, r.Session, r.sheddingVerdict.PriorityClass), b.MaxRetryAfter)
	})
	return wait
}

func (c *recoveryGate) listReceived() {
	if c != nil {
		c.update(func(d *recovery.Recovery, now clock.Nanos) { d.ListReceived(now) })
	}
}

// peersSeen takes over which peers membership sees.
func (c *recoveryGate) peersSeen(v *membership.View) {
	if c == nil || v == nil {
		return
	}
	peers := make([]recovery.Peer, 0, len(v.Members))
	for i := range v.Members {
		m := &v.Members[i]
		peers = append(peers, recovery.Peer{Name: m.Name, Epoch: m.Epoch, Alive: m.State == membership.Alive || m.State == membership.Suspect, HeardDirectly: m.LastHeardAt > 0})
	}
	c.update(func(d *recovery.Recovery, now clock.Nanos) { d.UpdatePeers(now, peers) })
}

// tickTimer wakes the event loop while this router does not serve yet.
func (c *recoveryGate) tickTimer() <-chan time.Time {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == recovery.Serving {
		return nil
	}
	return time.After(tickInterval)
}

// tick advances the recovery's time.
func (c *recoveryGate) tick() {
	if m := c.router.membership; m != nil {
		c.peersSeen(m.peers.View())
		return
	}
	c.update(func(d *recovery.Recovery, now clock.Nanos) { d.Tick(now) })
}

// report is the part of the operators' report about recovery.
func (c *recoveryGate) report() *recovery.Report {
	if c == nil {
		return nil
	}
	var r recovery.Report
	c.update(func(d *recovery.Recovery, now clock.Nanos) { r = d.Report(now) })
	return &r
}
