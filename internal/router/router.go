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
	"lotushook/policy/contract"
	"lotushook/policy/shedding"
)

const (
	// acceptAfter is how long a router that is told to stop still takes new
	// clients: the front goes on sending them for a while.
	acceptAfter = 500 * time.Millisecond
	// endBefore the moment from which on a router may be killed that was told to stop,
	// whatever is open is ended, so that all of it is answered.
	endBefore = 300 * time.Millisecond
	killAfter = 700 * time.Millisecond // when it may be killed: after the longest deadline and so much more
	mostAwait = 3 * time.Second        // the longest deadline counts as at most this

	sweepEvery = 100 * time.Millisecond
	stall      = 50 * time.Millisecond // whole answers come within a millisecond
	settle     = 5 * time.Millisecond  // some round trips
	crossing   = 10 * time.Millisecond // a round trip, and what either side may be late
	crowdShare = 5                     // beyond one part in so many of the descriptors, idle clients are closed early
	readShare  = 4                     // one part in so many of the memory is for messages that are not whole yet

	// A router that starts asks its own agent before it sends anything: what the agent has counts as told from the first
	// moment, and the list that was kept may be old. An agent that is silent is waited for so long at most, and for one
	// part in holdShare of the shortest deadline: unsent requests are priced from half of their time on.
	longestHold = 250 * time.Millisecond
	holdShare   = 4
)

// Router is one router instance.
type Router struct {
	conf   *platformconfig.Config
	dir    *discovery.Directory
	pool   *backend.Pool
	budget *fdlimit.Budget
	owner  *owner
	clock  clock
	watch  *discovery.Watcher
	tally  *metrics.Tally  // nil: nothing is counted
	log    *siteconfig.Log // what the totals follow; nil: there are none
	tracer tracer

	reading  *ringbuffer.Quota // for what clients have sent of messages that are not whole yet
	members  *members          // of the installation's routers; nil: nothing is known of others
	cancels  *cancels          // by the keys of the clients that are here
	feeds    *feeds            // answers subscribers; nil: no class is one of feeds
	door     *door             // decides which clients are taken; nil: all are, as far as descriptors go
	recovery *comeback         // bounds what is done while routers come back; nil: nothing is

	hold     time.Duration // how long nothing is sent at the start, unless the agent answers
	asked    chan struct{} // closed once it has, or that is over
	patience patience
	accepted func() <-chan time.Time // after being told to stop: when to take no new clients
	allowed  time.Duration           // after being told to stop: for all that is open
	finish   func() <-chan time.Time // when that is over
	ended    chan struct{}           // closed then
	lastAt   atomic.Int64            // that moment on the clock, a little earlier; 0: it was not told to stop
	mu       sync.Mutex
	clients  map[*client]struct{}
	stopping bool
	serving  sync.WaitGroup
}

// New returns a router that starts from the list that its configuration keeps,
// with the parts that its installation's own settings switch on.
func New(conf *platformconfig.Config, own *siteconfig.Setup) (*Router, error) {
	set := conf.Settings.Balance
	set.HalfwayBound = true // on sockets it is charged
	module, err := balance.New(set, conf.Seed)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	unread := conf.Limits.MemoryMB << 20 / readShare // on either side
	r := &Router{conf: conf, dir: discovery.NewDirectory(), budget: fdlimit.New(conf.Limits.Sockets),
		reading: ringbuffer.NewQuota(unread), clock: newClock(), watch: discovery.NewWatcher(conf.Discovery, sharing(conf), conf.Settings.DrainGrace),
		clients: map[*client]struct{}{}, cancels: newCancels(), patience: usualPatience, hold: holdFor(conf), asked: make(chan struct{}),
		accepted: func() <-chan time.Time { return time.After(acceptAfter) }, ended: make(chan struct{})}
	r.allowed = allowed(conf.Settings.Balance.Classes)
	r.finish = func() <-chan time.Time { return time.After(r.allowed) }
	if r.log = own.Log; r.log != nil && r.log.TotalsMS > 0 {
		r.tally = metrics.New()
	}
	r.tracer.set.Store(own.Log)
	r.watch.Tally = r.tally
	r.pool = backend.NewPool(backend.Options{Directory: r.dir, Budget: r.budget, Tally: r.tally,
		ConnectTimeout: conf.Settings.ConnectTimeout, IdleClose: conf.Settings.IdleClose,
		Reading: ringbuffer.NewQuota(unread), Stall: stall, Settle: settle, Crossing: crossing})
	r.owner = newOwner(module, r)
	if own.Admission != nil {
		if r.door, err = newDoor(r, own.Admission); err != nil {
			return nil, fmt.Errorf("router: %w", err)
		}
		r.pool.Short = r.door.shrink
	}
	if own.Contracts != nil {
		if r.owner.terms, err = newTerms(r, own); err != nil {
			return nil, fmt.Errorf("router: %w", err)
		}
	}
	if own.Members != nil {
		if r.members, err = newMembers(r, own.Members); err != nil {
			return nil, fmt.Errorf("router: %w", err)
		}
	}
	if own.Feeds != nil {
		if r.feeds, err = newFeeds(r, own.Feeds); err != nil {
			return nil, fmt.Errorf("router: %w", err)
		}
	}
	if own.Recovery != nil {
		if r.recovery, err = newComeback(r, own.Recovery); err != nil {
			return nil, fmt.Errorf("router: %w", err)
		}
	}
	return r, nil
}

// Run serves clients until the context ends, and then finishes what it took.
func (r *Router) Run(ctx context.Context) error {
	// Keep-alive notices nothing here, and setting it takes four calls of each accept.
	lc := net.ListenConfig{KeepAlive: -1}
	ln, err := lc.Listen(ctx, "tcp", r.conf.Listen)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	return r.Serve(ctx, ln)
}

// Serve is Run on a listener that it closes.
func (r *Router) Serve(ctx context.Context, listener net.Listener) error {
	ln := &lastCall{Listener: listener}
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	var parts sync.WaitGroup
	if r.members != nil {
		if err := r.members.listen(); err != nil {
			ln.Close()
			return fmt.Errorf("router: %w", err)
		}
		r.members.restore(inner, &parts)
		parts.Go(func() { r.members.run(inner) })
	}
	if r.conf.Known != nil {
		r.owner.events <- event{Event: r.dir.Apply(r.conf.Known)}
		r.recovery.listed()
	}
	answered := make(chan struct{})
	parts.Go(func() {
		r.ask(inner, answered)
		r.owner.run(inner)
	})
	parts.Go(func() { r.pool.Run(inner) })
	parts.Go(func() { r.sweep(inner) })
	parts.Go(func() {
		once := sync.OnceFunc(func() { close(answered) })
		r.watch.Run(inner, func(l *discovery.List) error {
			e, err := r.dir.Take(l)
			if err == nil {
				r.owner.events <- event{Event: e}
				r.recovery.listed()
				once()
			}
			return err
		})
	})
	slog.Info("serving", "name", r.conf.Name, "listen", ln.Addr().String())

	accept := r.accept
	if r.door != nil {
		accept = r.door.accept
		parts.Go(func() { r.door.run(inner) })
	}
	if r.owner.terms != nil {
		parts.Go(func() { r.owner.terms.run(inner) })
	}
	if r.tally != nil {
		parts.Go(func() { r.totals(inner, time.Duration(r.log.TotalsMS)*time.Millisecond) })
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
		if r.members != nil {
			r.members.leave()
		}
		finish := r.finish()
		r.lastAt.Store(r.clock.now() + int64(r.allowed-margin))
		parts.Go(func() { r.end(inner, finish) })
		<-r.accepted()
		ln.stop()
		r.drain()
		<-failed
		ln.Close()
	}
	r.drain()
	r.serving.Wait()
	if r.feeds != nil {
		r.feeds.part.Close()
	}
	stop()
	parts.Wait()
	if r.members != nil && r.members.sends != nil {
		r.members.sends.close()
	}
	r.total()
	r.tracer.rest()
	slog.Info("stopped", "requests", r.owner.count, "broken_invariants", invariant.Counts())
	return err
}

// ask waits for the agent's first list, which the owner then hears before it decides anything. What clients ask meanwhile is
// read, and waits in the owner's queue.
func (r *Router) ask(ctx context.Context, answered <-chan struct{}) {
	defer close(r.asked)
	if r.hold <= 0 {
		return
	}
	late := time.NewTimer(r.hold)
	defer late.Stop()
	select {
	case <-answered:
	case <-ctx.Done():
	case <-late.C:
		slog.Warn("discovery has not answered; the list that was kept serves", "after", r.hold)
	}
}

// Reload takes new settings over while the router runs: the configuration's
// agent, the limits of admission, and the contracts. All else holds from the next start on. The
// old list serves until the new agent's is in. After an error nothing has changed.
func (r *Router) Reload(conf *platformconfig.Config, own *siteconfig.Setup) error {
	if (own.Admission != nil) != (r.door != nil) {
		return errors.New("admission can't be switched on or off in service")
	}
	if (own.Contracts != nil) != (r.owner.terms != nil) {
		return errors.New("contracts can't be switched on or off in service")
	}
	if (own.Members != nil) != (r.members != nil) {
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
	if r.members != nil {
		if keys, err = r.members.reload(own.Members); err != nil {
			return err
		}
	}
	if r.owner.terms != nil {
		if terms, err = r.owner.terms.settings(own.Contracts); err != nil {
			return err
		}
		if lanes, err = r.owner.terms.lanesOf(own); err != nil {
			return err
		}
	}
	if r.door != nil {
		if err := r.door.set(own.Admission); err != nil {
			return err
		}
	}
	if r.owner.terms != nil {
		if err := r.owner.terms.set(terms, lanes); err != nil {
			return err
		}
	}
	if r.members != nil {
		r.members.peers.SetKeys(keys)
	}
	r.tracer.set.Store(own.Log)
	slog.Info("reloaded", "discovery", conf.Discovery)
	r.watch.Move(conf.Discovery)
	return nil
}

// accept takes clients in until the listener closes.
func (r *Router) accept(ln net.Listener) error {
	for {
		for !r.budget.Accept() {
			if now := time.Now(); !r.endLingering() && !r.evictClient(now, r.patience.green) {
				r.refuseHalf(now)
			}
			select {
			case <-r.budget.Left():
			case <-time.After(r.patience.green / 4):
			}
		}
		conn, err := ln.Accept()
		if err != nil {
			r.budget.Leave()
			var ne net.Error
			if errors.As(err, &ne) && !errors.Is(err, net.ErrClosed) { // out of descriptors, or an aborted connection
				slog.Warn("accept", "err", err)
				time.Sleep(5 * time.Millisecond)
				continue
			}
			return err
		}
		c := newClient(r, conn)
		if r.enter(c) > r.conf.Limits.Sockets/crowdShare { // two for each that comes, so that it gets less
			r.evictClient(time.Now(), r.patience.message/4)
			r.evictClient(time.Now(), r.patience.message/4)
		}
		r.serving.Go(c.run)
	}
}

// enter counts a client among those that are here, and returns how many are.
func (r *Router) enter(c *client) int {
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
		at, asked, ok := c.idleSince()
		switch {
		case !ok:
			going = going || c.isGoing()
		case !asked && now.Sub(at) >= green && (silent == nil || at.Before(silentAt)):
			silent, silentAt = c, at
		case asked && now.Sub(at) >= r.patience.spare && (idle == nil || at.Before(idleAt)):
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
		if at, lingers := c.lingersSince(); lingers && (worst == nil || at.Before(worstAt)) {
			worst, worstAt = c, at
		}
	}
	if worst != nil {
		worst.endLingering()
	}
	return worst != nil
}

// refuseHalf makes room where no client idles: the one whose message has been here in part for longest is refused, if it could
// have come whole by now. Nothing of it has run.
func (r *Router) refuseHalf(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var worst *client
	var worstAt time.Time
	for c := range r.clients {
		if at, half := c.halfSince(); half && now.Sub(at) >= r.patience.spare && (worst == nil || at.Before(worstAt)) {
			worst, worstAt = c, at
		}
	}
	if worst != nil {
		worst.putOut(&turnedAway{text: "refused: all connections are in use, and the message did not come whole"})
	}
}

// sweep closes the clients that have been idle or silent too long, and ends the
// wait for messages that don't come to their end, until the context ends.
func (r *Router) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.mu.Lock()
			for c := range r.clients {
				c.expire(now, r.stopping)
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
	r.stopping = true
	now := time.Now()
	for c := range r.clients {
		c.expire(now, true)
	}
}

// allowed is how long after being told to stop a router may take for what is open.
func allowed(classes []balance.Class) time.Duration {
	var longest time.Duration
	for _, c := range classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return min(longest, mostAwait) + killAfter - endBefore
}

// within is a request's deadline, or the moment by which a router that was told to
// stop has to have its answer.
func (r *Router) within(deadline balance.Nanos) balance.Nanos {
	if last := r.lastAt.Load(); last != 0 {
		return min(deadline, last)
	}
	return deadline
}

// end ends what is still open when its time has come: requests get their answers,
// what can be read of others is refused, and soon after all connections are
// closed. It gives up when the context ends.
func (r *Router) end(ctx context.Context, finish <-chan time.Time) {
	select {
	case <-ctx.Done():
		return
	case <-finish:
	}
	close(r.ended)
	r.each((*client).closeIfIdle)
	select {
	case <-ctx.Done():
	case <-time.After(r.patience.last):
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

func (r *Router) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

func (r *Router) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

func (r *Router) gone(c *client) {
	r.mu.Lock()
	delete(r.clients, c)
	r.mu.Unlock()
	if r.door != nil {
		r.door.left(c)
	}
	r.budget.Leave()
}

// clock is Unix time at the start, moved on by the monotonic clock.
type clock struct {
	start time.Time
	unix  balance.Nanos
}

func newClock() clock {
	now := time.Now()
	return clock{now, now.UnixNano()}
}

func (c clock) now() balance.Nanos { return c.unix + int64(time.Since(c.start)) }

// at is the time of a point of the clock, with its monotonic reading.
func (c clock) at(t balance.Nanos) time.Time { return c.start.Add(time.Duration(t - c.unix)) }

// holdFor is how long a router that starts may wait for its agent's list. Where a service is asked, which may have no time
// for many, nothing is waited for: its changes count as told later.
func holdFor(conf *platformconfig.Config) time.Duration {
	if sharing(conf) > 0 {
		return 0
	}
	hold := longestHold
	for _, c := range conf.Settings.Balance.Classes {
		hold = min(hold, time.Duration(c.Deadline)/holdShare)
	}
	return hold
}

// sharing is how many routers burden one discovery with what they ask: none where
// it tells changes by itself.
func sharing(conf *platformconfig.Config) int {
	if conf.Settings.Balance.Subscribe {
		return conf.Settings.Balance.Instances
	}
	return 0
}
