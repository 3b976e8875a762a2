// Package router carries out what the decision module decides: it takes clients' requests, asks the module what to do
// with each, and does that on sockets.
package router

import (
	"context"
	"fmt"
	"net"
	"time"

	"lotushook/internal/backend"
	"lotushook/internal/discovery"
	"lotushook/internal/fdlimit"
	"lotushook/internal/metrics"
	"lotushook/internal/platformconfig"
	"lotushook/internal/ringbuffer"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
)

const (
	sweepInterval          = 100 * time.Millisecond
	stallTimeout           = 50 * time.Millisecond // complete answers come within a millisecond
	settleTime             = 5 * time.Millisecond  // some round trips
	duplicateWindow        = 10 * time.Millisecond // a round trip, and what either side may be late
	crowdedDescriptorShare = 5                     // beyond one part in so many of the descriptors, idle clients are closed early
	readMemoryShare        = 4                     // one part in so many of the memory is for incomplete messages
)

// Router is one router instance.
type Router struct {
	config      *platformconfig.Config
	directory   *discovery.Directory
	watcher     *discovery.Watcher
	pool        *backend.Pool
	descriptors *fdlimit.Budget
	loop        *eventLoop
	clock       unixClock
	start       startHold
	shutdown    *shutdownControl
	clientSide
	observability
	optionalServices
}

// clientSide is what clients' connections share.
type clientSide struct {
	clients    clientSet
	timeouts   clientTimeouts
	readQuota  *ringbuffer.Quota // for incomplete messages of clients
	stalls     stallWatch
	cancelKeys *cancelKeys // of the clients that are connected
}

// observability is what the router tells of itself.
type observability struct {
	metrics     *metrics.Metrics // nil: nothing is counted
	logSettings *siteconfig.Log  // what the totals follow; nil: there are none
	accessLog   accessLog
}

// optionalServices are switched on by the installation's own settings; a nil one does nothing.
type optionalServices struct {
	membership *membershipService // of the installation's routers
	changefeed *changefeedService // answers subscribers
	acceptor   *acceptor          // decides which clients are admitted; without, all are, as far as descriptors go
	recovery   *recoveryGate      // bounds what is done while routers come back
}

// New returns a router that starts from the list in its configuration, with the services that the installation's own
// settings switch on.
func New(config *platformconfig.Config, own *siteconfig.Config) (*Router, error) {
	settings := config.Settings.Balance
	settings.LateRejectionCharged = true // on sockets it is
	balancer, err := balance.New(settings, config.Seed)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	readQuota := config.Limits.MemoryMB << 20 / readMemoryShare // on either side
	r := &Router{
		config:      config,
		directory:   discovery.NewDirectory(),
		watcher:     discovery.NewWatcher(config.Discovery, sharedDiscoveryRouters(config), config.Settings.DrainGrace),
		descriptors: fdlimit.New(config.Limits.Sockets),
		clock:       newUnixClock(),
		start:       newStartHold(config),
		shutdown:    newShutdownControl(config.Settings.Balance.Classes),
	}
	r.timeouts = defaultTimeouts
	r.clients.timeouts = &r.timeouts
	r.clients.onSweep = func() { r.stalls.tick(r.clock.now()) }
	r.clients.all = map[*client]struct{}{}
	r.readQuota = ringbuffer.NewQuota(readQuota)
	r.cancelKeys = newCancelKeys()
	r.observe(own.Log)
	r.pool = backend.NewPool(backend.Options{
		Directory:       r.directory,
		Descriptors:     r.descriptors,
		Metrics:         r.metrics,
		ConnectTimeout:  config.Settings.ConnectTimeout,
		IdleClose:       config.Settings.IdleTimeout,
		ReadQuota:       ringbuffer.NewQuota(readQuota),
		StallTimeout:    stallTimeout,
		SettleTime:      settleTime,
		DuplicateWindow: duplicateWindow,
	})
	r.loop = newEventLoop(balancer, r)
	if err := r.addServices(own); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return r, nil
}

// observe switches on what the log settings ask for.
func (r *Router) observe(settings *siteconfig.Log) {
	r.logSettings = settings
	if settings != nil && settings.TotalsMS > 0 {
		r.metrics = metrics.New()
	}
	r.accessLog.settings.Store(settings)
	r.watcher.Metrics = r.metrics
}

// addServices switches on what the installation's own settings ask for.
func (r *Router) addServices(own *siteconfig.Config) error {
	var err error
	if own.Admission != nil {
		if r.acceptor, err = newAcceptor(r, own.Admission); err != nil {
			return err
		}
		r.pool.OutOfDescriptors = r.acceptor.shrink
	}
	if own.Contracts != nil {
		if r.loop.contracts, err = newContractService(r, own); err != nil {
			return err
		}
	}
	if own.Members != nil {
		if r.membership, err = newMembershipService(r, own.Members); err != nil {
			return err
		}
	}
	if own.Feeds != nil {
		if r.changefeed, err = newChangefeedService(r, own.Feeds); err != nil {
			return err
		}
	}
	if own.Recovery != nil {
		if r.recovery, err = newRecoveryGate(r, own.Recovery); err != nil {
			return err
		}
	}
	return nil
}

// Run serves clients until the context ends, and then finishes what it took.
func (r *Router) Run(ctx context.Context) error {
	// Keep-alive notices nothing here, and setting it takes four calls of each accept.
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(ctx, "tcp", r.config.Listen)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	return r.Serve(ctx, listener)
}
