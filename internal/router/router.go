// Package router is the program round the decisions: it takes clients'
// requests, asks the module what to do with each, and does that.
package router

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"lotushook/internal/backend"
	"lotushook/internal/discovery"
	"lotushook/internal/fdlimit"
	"lotushook/internal/invariant"
	"lotushook/internal/metrics"
	"lotushook/internal/platformconfig"
	"lotushook/internal/ringbuffer"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
	"lotushook/policy/contract"
	"lotushook/policy/shedding"
)

const (
	// acceptAfter is how long a router that is told to stop still takes new
	// clients: the front goes on sending them for a while.
	acceptAfterTerm = 500 * time.Millisecond
	// endBefore the moment from which on a router may be killed that was told to stop,
	// whatever is open is ended, so that all of it is answered.
	answerMargin       = 300 * time.Millisecond
	killAfterDeadline  = 700 * time.Millisecond // when it may be killed: after the longest deadline and so much more
	maxAwaitedDeadline = 3 * time.Second        // the longest deadline counts as at most this

	sweepInterval          = 100 * time.Millisecond
	stallTimeout           = 50 * time.Millisecond // whole answers come within a millisecond
	settleTime             = 5 * time.Millisecond  // some round trips
	duplicateWindow        = 10 * time.Millisecond // a round trip, and what either side may be late
	crowdedDescriptorShare = 5                     // beyond one part in so many of the descriptors, idle clients are closed early
	readMemoryShare        = 4                     // one part in so many of the memory is for messages that are not whole yet

	// A router that starts asks its own agent before it sends anything: what the agent has counts as told from the first
	// moment, and the list that was kept may be old. An agent that is silent is waited for so long at most, and for one
	// part in holdShare of the shortest deadline: unsent requests are priced from half of their time on.
	maxStartHold   = 250 * time.Millisecond
	startHoldShare = 4
)

// Router is one router instance.
type Router struct {
	config      *platformconfig.Config
	directory   *discovery.Directory
	pool        *backend.Pool
	descriptors *fdlimit.Budget
	loop        *eventLoop
	clock       unixClock
	watcher     *discovery.Watcher
	metrics     *metrics.Tally  // nil: nothing is counted
	logSettings *siteconfig.Log // what the totals follow; nil: there are none
	accessLog   accessLog

	readQuota  *ringbuffer.Quota  // for what clients have sent of messages that are not whole yet
	membership *membershipService // of the installation's routers; nil: nothing is known of others
	cancelKeys *cancelKeys        // by the keys of the clients that are here
	changefeed *changefeedService // answers subscribers; nil: no class is one of feeds
	acceptor   *acceptor          // decides which clients are taken; nil: all are, as far as descriptors go
	recovery   *recoveryGate      // bounds what is done while routers come back; nil: nothing is

	startHold     time.Duration // how long nothing is sent at the start, unless the agent answers
	startHoldOver chan struct{} // closed once it has, or that is over
	timeouts      clientTimeouts
	accepted      func() <-chan time.Time // after being told to stop: when to take no new clients
	drainTimeout  time.Duration           // after being told to stop: for all that is open
	finish        func() <-chan time.Time // when that is over
	drainOver     chan struct{}           // closed then
	drainDeadline atomic.Int64            // that moment on the clock, a little earlier; 0: it was not told to stop
	mu            sync.Mutex
	clients       map[*client]struct{}
	draining      bool
	serving       sync.WaitGroup
}

// New returns a router that starts from the list that its configuration keeps,
// with the parts that its installation's own settings switch on.
func New(conf *platformconfig.Config, own *siteconfig.Setup) (*Router, error) {
	set := conf.Settings.Balance
	set.LateRejectionCharged = true // on sockets it is charged
	module, err := balance.New(set, conf.Seed)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	unread := conf.Limits.MemoryMB << 20 / readMemoryShare // on either side
	r := &Router{config: conf, directory: discovery.NewDirectory(), descriptors: fdlimit.New(conf.Limits.Sockets),
		readQuota: ringbuffer.NewQuota(unread), clock: newUnixClock(), watcher: discovery.NewWatcher(conf.Discovery, sharedDiscoveryRouters(conf), conf.Settings.DrainGrace),
		clients: map[*client]struct{}{}, cancelKeys: newCancelKeys(), timeouts: defaultTimeouts, startHold: startHoldFor(conf), startHoldOver: make(chan struct{}),
		accepted: func() <-chan time.Time { return time.After(acceptAfterTerm) }, drainOver: make(chan struct{})}
	r.drainTimeout = drainTimeoutFor(conf.Settings.Balance.Classes)
	r.finish = func() <-chan time.Time { return time.After(r.drainTimeout) }
	if r.logSettings = own.Log; r.logSettings != nil && r.logSettings.TotalsMS > 0 {
		r.metrics = metrics.New()
	}
	r.accessLog.settings.Store(own.Log)
	r.watcher.Metrics = r.metrics
	r.pool = backend.NewPool(backend.Options{Directory: r.directory, Descriptors: r.descriptors, Metrics: r.metrics,
		ConnectTimeout: conf.Settings.ConnectTimeout, IdleClose: conf.Settings.IdleTimeout,
		ReadQuota: ringbuffer.NewQuota(unread), StallTimeout: stallTimeout, SettleTime: settleTime, DuplicateWindow: duplicateWindow})
	r.loop = newEventLoop(module, r)
	if own.Admission != nil {
		if r.acceptor, err = newAcceptor(r, own.Admission); err != nil {
			return nil, fmt.Errorf("router: %w", err)
		}
		r.pool.OutOfDescriptors = r.acceptor.shrink
	}
	if own.Contracts != nil {
		if r.loop.contracts, err = newContractService(r, own); err != nil {
			return nil, fmt.Errorf("router: %w", err)
		}
	}
	if own.Members != nil {
		if r.membership, err = newMembershipService(r, own.Members); err != nil {
			return nil, fmt.Errorf("router: %w", err)
		}
	}
	if own.Feeds != nil {
		if r.changefeed, err = newChangefeedService(r, own.Feeds); err != nil {
			return nil, fmt.Errorf("router: %w", err)
		}
	}
	if own.Recovery != nil {
		if r.recovery, err = newRecoveryGate(r, own.Recovery); err != nil {
			return nil, fmt.Errorf("router: %w", err)
		}
	}
	return r, nil
}

// Run serves clients until the context ends, and then finishes what it took.
func (r *Router) Run(ctx context.Context) error {
	// Keep-alive notices nothing here, and setting it takes four calls of each accept.
	lc := net.ListenConfig{KeepAlive: -1}
	ln, err := lc.Listen(ctx, "tcp", r.config.Listen)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	return r.Serve(ctx, ln)
}

// Serve is Run on a listener that it closes.
func (r *Router) Serve(ctx context.Context, listener net.Listener) error {
	ln := &drainListener{Listener: listener}
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	var parts sync.WaitGroup
	if r.membership != nil {
		if err := r.membership.listen(); err != nil {
			ln.Close()
			return fmt.Errorf("router: %w", err)
		}
		r.membership.restore(inner, &parts)
		parts.Go(func() { r.membership.run(inner) })
	}
	if r.config.Known != nil {
		r.loop.events <- loopEvent{Event: r.directory.Apply(r.config.Known)}
		r.recovery.listReceived()
	}
	answered := make(chan struct{})
	parts.Go(func() {
		r.holdStart(inner, answered)
		r.loop.run(inner)
	})
	parts.Go(func() { r.pool.Run(inner) })
	parts.Go(func() { r.sweep(inner) })
	parts.Go(func() {
		once := sync.OnceFunc(func() { close(answered) })
		r.watcher.Run(inner, func(l *discovery.List) error {
			e, err := r.directory.Update(l)
			if err == nil {
				r.loop.events <- loopEvent{Event: e}
				r.recovery.listReceived()
				once()
			}
			return err
		})
	})
	slog.Info("serving", "name", r.config.Name, "listen", ln.Addr().String())

	accept := r.accept
	if r.acceptor != nil {
		accept = r.acceptor.accept
		parts.Go(func() { r.acceptor.run(inner) })
	}
	if r.loop.contracts != nil {
		parts.Go(func() { r.loop.contracts.run(inner) })
	}
	if r.metrics != nil {
		parts.Go(func() { r.writeTotalsEvery(inner, time.Duration(r.logSettings.TotalsMS)*time.Millisecond) })
	}
	failed := make(chan error, 1)
	go func() { failed <- accept(ln) }()
	var err error
	select {
	case err = <-failed:
		err = fmt.Errorf("router: accept: %w", err)
		ln.Close()
	case <-ctx.Done():
		slog.Info("stopping")
		if r.membership != nil {
			r.membership.leave()
		}
		finish := r.finish()
		r.drainDeadline.Store(r.clock.now() + int64(r.drainTimeout-deadlineMargin))
		parts.Go(func() { r.endDrain(inner, finish) })
		<-r.accepted()
		ln.stop()
		r.drain()
		<-failed
		ln.Close()
	}
	r.drain()
	r.serving.Wait()
	if r.changefeed != nil {
		r.changefeed.feeds.Close()
	}
	stop()
	parts.Wait()
	if r.membership != nil && r.membership.attemptLog != nil {
		r.membership.attemptLog.close()
	}
	r.writeTotals()
	r.accessLog.logOmitted()
	slog.Info("stopped", "requests", r.loop.requestCount, "broken_invariants", invariant.Counts())
	return err
}

// holdStart waits for the agent's first list, which the owner then hears before it decides anything. What clients ask meanwhile is
// read, and waits in the owner's queue.
func (r *Router) holdStart(ctx context.Context, answered <-chan struct{}) {
	defer close(r.startHoldOver)
	if r.startHold <= 0 {
		return
	}
	late := time.NewTimer(r.startHold)
	defer late.Stop()
	select {
	case <-answered:
	case <-ctx.Done():
	case <-late.C:
		slog.Warn("discovery has not answered; the list that was kept serves", "after", r.startHold)
	}
}

// Reload takes new settings over while the router runs: the configuration's
// agent, the limits of admission, and the contracts. All else holds from the next start on. The
// old list serves until the new agent's is in. After an error nothing has changed.
func (r *Router) Reload(conf *platformconfig.Config, own *siteconfig.Setup) error {
	if (own.Admission != nil) != (r.acceptor != nil) {
		return errors.New("admission can't be switched on or off in service")
	}
	if (own.Contracts != nil) != (r.loop.contracts != nil) {
		return errors.New("contracts can't be switched on or off in service")
	}
	if (own.Members != nil) != (r.membership != nil) {
		return errors.New("members can't be switched on or off in service")
	}
	if !reflect.DeepEqual(own.Feeds, r.ownFeeds()) {
		return errors.New("feeds can't change in service")
	}
	if (own.Recovery != nil) != (r.recovery != nil) {
		return errors.New("recovery can't be switched on or off in service")
	}
	var terms contract.Settings
	var lanes *shedding.Settings
	var keys [][]byte
	var err error
	if r.membership != nil {
		if keys, err = r.membership.reload(own.Members); err != nil {
			return err
		}
	}
	if r.loop.contracts != nil {
		if terms, err = r.loop.contracts.contractSettings(own.Contracts); err != nil {
			return err
		}
		if lanes, err = r.loop.contracts.sheddingSettings(own); err != nil {
			return err
		}
	}
	if r.acceptor != nil {
		if err := r.acceptor.reload(own.Admission); err != nil {
			return err
		}
	}
	if r.loop.contracts != nil {
		if err := r.loop.contracts.reload(terms, lanes); err != nil {
			return err
		}
	}
	if r.membership != nil {
		r.membership.peers.SetKeys(keys)
	}
	r.accessLog.settings.Store(own.Log)
	slog.Info("reloaded", "discovery", conf.Discovery)
	r.watcher.Move(conf.Discovery)
	return nil
}

// accept takes clients in until the listener closes.
func (r *Router) accept(ln net.Listener) error {
	for {
		for !r.descriptors.Accept() {
			if now := time.Now(); !r.endLingering() && !r.evictClient(now, r.timeouts.silent) {
				r.rejectPartial(now)
			}
			select {
			case <-r.descriptors.Left():
			case <-time.After(r.timeouts.silent / 4):
			}
		}
		conn, err := ln.Accept()
		if err != nil {
			r.descriptors.Leave()
			var ne net.Error
			if errors.As(err, &ne) && !errors.Is(err, net.ErrClosed) { // out of descriptors, or an aborted connection
				slog.Warn("accept", "err", err)
				time.Sleep(5 * time.Millisecond)
				continue
			}
			return err
		}
		c := newClient(r, conn)
		if r.addClient(c) > r.config.Limits.Sockets/crowdedDescriptorShare { // two for each that comes, so that it gets less
			r.evictClient(time.Now(), r.timeouts.message/4)
			r.evictClient(time.Now(), r.timeouts.message/4)
		}
		r.serving.Go(c.run)
	}
}

// addClient counts a client among those that are here, and returns how many are.
func (r *Router) addClient(c *client) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clients[c] = struct{}{}
	return len(r.clients)
}

// evictClient closes a client to make room for another: of those that have not
// asked for anything the one that is here longest, and failing that the one that
// has been idle longest, if any may be closed by now; green is the age from which
// a silent one may. It says whether somebody goes.
func (r *Router) evictClient(now time.Time, green time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent, idle *client
	var silentAt, idleAt time.Time
	going := false
	for c := range r.clients {
		at, asked, ok := c.idleState()
		switch {
		case !ok:
			going = going || c.isClosing()
		case !asked && now.Sub(at) >= green && (silent == nil || at.Before(silentAt)):
			silent, silentAt = c, at
		case asked && now.Sub(at) >= r.timeouts.evictable && (idle == nil || at.Before(idleAt)):
			idle, idleAt = c, at
		}
	}
	worst := cmp.Or(silent, idle)
	if worst != nil {
		worst.closeIfIdle()
	}
	return worst != nil || going
}

// endLingering ends the lingering close that has gone on for longest, and says whether there was one.
func (r *Router) endLingering() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var worst *client
	var worstAt time.Time
	for c := range r.clients {
		if at, lingers := c.lingeringState(); lingers && (worst == nil || at.Before(worstAt)) {
			worst, worstAt = c, at
		}
	}
	if worst != nil {
		worst.endLingering()
	}
	return worst != nil
}

// rejectPartial makes room where no client idles: the one whose message has been here in part for longest is refused, if it could
// have come whole by now. Nothing of it has run.
func (r *Router) rejectPartial(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var worst *client
	var worstAt time.Time
	for c := range r.clients {
		if at, half := c.partialState(); half && now.Sub(at) >= r.timeouts.evictable && (worst == nil || at.Before(worstAt)) {
			worst, worstAt = c, at
		}
	}
	if worst != nil {
		worst.evict(&rejection{text: "refused: all connections are in use, and the message did not come whole"})
	}
}

// sweep closes the clients that have been idle or silent too long, and ends the
// wait for messages that don't come to their end, until the context ends.
func (r *Router) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.mu.Lock()
			for c := range r.clients {
				c.expire(now, r.draining)
			}
			r.mu.Unlock()
		}
	}
}

// drain has the idle clients closed, and from now on each other one once it is
// answered. Who has just come and not asked yet is given a moment, which the sweep
// watches: whoever connects has something to ask.
func (r *Router) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	now := time.Now()
	for c := range r.clients {
		c.expire(now, true)
	}
}

// drainTimeoutFor is how long after being told to stop a router may take for what is open.
func drainTimeoutFor(classes []balance.Class) time.Duration {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return min(longest, maxAwaitedDeadline) + killAfterDeadline - answerMargin
}

// limitDeadline is a request's deadline, or the moment by which a router that was told to
// stop has to have its answer.
func (r *Router) limitDeadline(deadline clock.Nanos) clock.Nanos {
	if last := r.drainDeadline.Load(); last != 0 {
		return min(deadline, last)
	}
	return deadline
}

// endDrain ends what is still open when its time has come: requests get their answers,
// what can be read of others is refused, and soon after all connections are
// closed. It gives up when the context ends.
func (r *Router) endDrain(ctx context.Context, finish <-chan time.Time) {
	select {
	case <-ctx.Done():
		return
	case <-finish:
	}
	close(r.drainOver)
	r.each((*client).closeIfIdle)
	select {
	case <-ctx.Done():
	case <-time.After(r.timeouts.finalAnswers):
		r.each(func(c *client) { c.conn.Close() })
	}
}

func (r *Router) each(do func(*client)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.clients {
		do(c)
	}
}

func (r *Router) isDrainOver() bool {
	select {
	case <-r.drainOver:
		return true
	default:
		return false
	}
}

func (r *Router) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

func (r *Router) removeClient(c *client) {
	r.mu.Lock()
	delete(r.clients, c)
	r.mu.Unlock()
	if r.acceptor != nil {
		r.acceptor.clientClosed(c)
	}
	r.descriptors.Leave()
}

// unixClock is Unix time at the start, moved on by the monotonic clock.
type unixClock struct {
	start time.Time
	unix  clock.Nanos
}

func newUnixClock() unixClock {
	now := time.Now()
	return unixClock{now, now.UnixNano()}
}

func (c unixClock) now() clock.Nanos { return c.unix + int64(time.Since(c.start)) }

// at is the time of a point of the clock, with its monotonic reading.
func (c unixClock) at(t clock.Nanos) time.Time { return c.start.Add(time.Duration(t - c.unix)) }

// startHoldFor is how long a router that starts may wait for its agent's list. Where a service is asked, which may have no time
// for many, nothing is waited for: its changes count as told later.
func startHoldFor(conf *platformconfig.Config) time.Duration {
	if sharedDiscoveryRouters(conf) > 0 {
		return 0
	}
	hold := maxStartHold
	for _, c := range conf.Settings.Balance.Classes {
		hold = min(hold, time.Duration(c.Deadline)/startHoldShare)
	}
	return hold
}

// sharedDiscoveryRouters is how many routers burden one discovery with what they ask: none where
// it tells changes by itself.
func sharedDiscoveryRouters(conf *platformconfig.Config) int {
	if conf.Settings.Balance.WatchRequired {
		return conf.Settings.Balance.Routers
	}
	return 0
}
