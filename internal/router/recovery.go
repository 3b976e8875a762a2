package router

import (
	"log/slog"
	"sync"
	"time"

	"lotushook/internal/metrics"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/membership"
	"lotushook/policy/recovery"
)

// tickEvery is how often a router that does not serve yet looks whether it is further.
const tickEvery = 100 * time.Millisecond

// comeback carries out what recovery says. Several goroutines ask it; its lock is held for no longer than a decision takes.
// A nil one allows everything at once.
type comeback struct {
	router *Router

	mu     sync.Mutex
	decide *recovery.Recovery
	stage  recovery.Stage // that was logged
}

func newComeback(r *Router, own *siteconfig.Recovery) (*comeback, error) {
	s := own.Decision(r.conf.Name, uint64(r.clock.unix), r.conf.Settings.Balance.Instances)
	s.Fellows = r.members != nil // and nobody says yet when a router has been fed: a list ends Empty
	d, err := recovery.New(s, r.clock.now())
	if err != nil {
		return nil, err
	}
	c := &comeback{router: r, decide: d}
	r.pool.Pace = func(most time.Duration) (time.Duration, bool) { return c.allow(recovery.Dial, most) }
	r.watch.Pace = func() (time.Duration, bool) { return c.allow(recovery.List, time.Second) }
	return c, nil
}

// with runs a function under the lock, and logs a stage that was reached.
func (c *comeback) with(f func(d *recovery.Recovery, now recovery.Nanos)) {
	now := c.router.clock.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.decide, now)
	if s := c.decide.Stage(); s != c.stage {
		c.stage = s
		r := c.decide.Report(now)
		slog.Info("recovery", "stage", r.Stage, "proven", r.Proven, "returning", r.Returning, "part", r.Part)
	}
}

// allow is asked before a dial, a probe or a list call that can wait for most.
func (c *comeback) allow(k recovery.Kind, most time.Duration) (wait time.Duration, ok bool) {
	if c == nil {
		return 0, true
	}
	c.with(func(d *recovery.Recovery, now recovery.Nanos) {
		span, why := d.Allow(now, k, recovery.Nanos(most))
		wait, ok = time.Duration(span), why == recovery.Free
	})
	if !ok {
		c.router.tally.Add(metrics.Denied)
	}
	return wait, ok
}

// send says whether an attempt that the module wants goes to the wire.
func (c *comeback) send(r *request, a *balance.Action) (ok bool) {
	if c == nil {
		return true
	}
	class, until := c.router.conf.Settings.Class(r.Class), r.deadline
	if k := &c.router.conf.Settings.Balance.Classes[class]; k.LateWorth <= 0 {
		until = min(until, r.came+k.Aim)
	}
	c.with(func(d *recovery.Recovery, now recovery.Nanos) {
		r.try, r.tried = recovery.Attempt{Server: a.Node, Class: class, Again: r.sent > 0, Until: until}, now
		switch d.Send(now, r.try) {
		case recovery.Free:
			ok = true
			return
		case recovery.Again:
			c.router.tally.Add(metrics.Jammed)
		case recovery.Late:
			c.router.tally.Add(metrics.Vain)
		}
		c.router.tally.Add(metrics.Denied)
	})
	return ok
}

// ended notes how an attempt ended. Of one that was not sent, or that a node turned away at once, nothing is learned.
func (c *comeback) ended(r *request, o balance.Outcome) {
	if c == nil {
		return
	}
	switch o {
	case balance.Skipped, balance.Busy, balance.Miss, balance.Canceled:
		return
	}
	c.with(func(d *recovery.Recovery, now recovery.Nanos) { d.Ended(now, r.try, o == balance.Done, now-r.tried) })
}

// back is when a client may come again that is refused: as recovery spreads them, where settings tell a time at all.
func (c *comeback) back(r *request, wait balance.Nanos) balance.Nanos {
	b := &c.router.conf.Settings.Balance
	if !b.RetryAfter || r.why != nil { // a contract's refusal has a time of its own
		return wait
	}
	c.with(func(d *recovery.Recovery, now recovery.Nanos) {
		wait = min(d.Return(now, r.Team, r.Session, r.lane.Lane), b.MaxRetryAfter)
	})
	return wait
}

func (c *comeback) listed() {
	if c != nil {
		c.with(func(d *recovery.Recovery, now recovery.Nanos) { d.Listed(now) })
	}
}

// seen takes what membership believes.
func (c *comeback) seen(v *membership.View) {
	if c == nil || v == nil {
		return
	}
	peers := make([]recovery.Peer, 0, len(v.Members))
	for i := range v.Members {
		m := &v.Members[i]
		peers = append(peers, recovery.Peer{Name: m.Name, Boot: m.Boot, Up: m.State == membership.Alive || m.State == membership.Suspect, Own: m.Heard > 0})
	}
	c.with(func(d *recovery.Recovery, now recovery.Nanos) { d.Seen(now, peers) })
}

// ticks wakes the owner while this router does not serve yet.
func (c *comeback) ticks() <-chan time.Time {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage == recovery.Serving {
		return nil
	}
	return time.After(tickEvery)
}

// tick moves on with time.
func (c *comeback) tick() {
	if m := c.router.members; m != nil {
		c.seen(m.peers.View())
		return
	}
	c.with(func(d *recovery.Recovery, now recovery.Nanos) { d.Tick(now) })
}

// report is what operators read.
func (c *comeback) report() *recovery.Report {
	if c == nil {
		return nil
	}
	var r recovery.Report
	c.with(func(d *recovery.Recovery, now recovery.Nanos) { r = d.Report(now) })
	return &r
}
