// Package router serves clients' requests: it reads them, asks the decision module what to do with each, and carries
// out the decisions on network connections.
//
// The comments of this package use these terms:
//
//   - The decision module is package policy/balance. Events report to it what has happened, and it returns actions: to
//     send a request to an endpoint, to cancel that attempt, or to reject the request.
//   - The site configuration is the operators' file (package siteconfig). The rest of the configuration and the
//     platform settings come from the platform (package platformconfig).
//   - A contract states what a team of clients may use (package contract). Load shedding rejects requests while a group
//     of endpoints is overloaded (package shedding). Admission decides which clients may be connected (package
//     admission).
//   - The members are the routers of a cluster; for each router the others are its peers. They replicate some state
//     through gossip (packages peer and crdt), of which a copy may be on disk (package store).
//   - The epoch of a router identifies one run of its process. The provenance of a fact says whether the router learned
//     it from an answer to itself, from a peer or from disk (package trust).
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
	sweepInterval = 100 * time.Millisecond
	stallTimeout  = 50 * time.Millisecond // between two reads of an answer; normally they are within a millisecond
	settleTime    = 5 * time.Millisecond  // how long a connection is not reused after an answer: several round trips
	// An answer equal to the previous one this soon after its query is a duplicate. The time covers a round trip and the
	// scheduling delay of either side.
	duplicateWindow          = 10 * time.Millisecond
	crowdedDescriptorDivisor = 5 // above 1/5 of the descriptors, idle clients are closed early
)

// Router is a router process.
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

// clientSide is the state that the client connections share.
type clientSide struct {
	clients    clientSet
	timeouts   clientTimeouts
	readQuota  *ringbuffer.Quota // for incomplete messages of clients
	stalls     stallDetector
	inputPacer *inputPacer
	cancelKeys *cancelKeys // of the connected clients
	// requestMemory limits the memory of open queries and of answers that wait behind earlier ones.
	requestMemory *requestMemory
}

// observability contains the metrics and logs.
type observability struct {
	metrics     *metrics.Metrics // nil: nothing is counted
	logSettings *siteconfig.Log  // the settings for logging the totals; nil: totals are not logged
	accessLog   accessLog
}

// optionalServices are enabled by the site configuration; a nil service is disabled.
type optionalServices struct {
	membership *membershipService // gossip with the other routers of the cluster
	changefeed *changefeedService // answers subscribers of change feeds
	acceptor   *acceptor          // decides which clients are admitted; nil: all are, while descriptors are free
	recovery   *recoveryGate      // limits load on data servers and discovery while routers restart
}

// New returns a router that starts with the endpoint list in its configuration and with the services that the site
// configuration enables.
func New(config *platformconfig.Config, site *siteconfig.Config) (*Router, error) {
	settings := config.Settings.Balance
	settings.LateRejectionCharged = true // on network connections a late rejection costs more than a late answer earns
	balancer, err := balance.New(settings, config.Seed)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	plan := newMemoryPlan(config.Limits)
	router := &Router{
		config:      config,
		directory:   discovery.NewDirectory(),
		watcher:     discovery.NewWatcher(config.Discovery, sharedDiscoveryRouters(config), config.Settings.DrainGrace),
		descriptors: fdlimit.New(config.Limits.Sockets),
		clock:       newUnixClock(),
		start:       newStartHold(config),
		shutdown:    newShutdownControl(config.Settings.Balance.Classes),
	}
	router.timeouts = defaultTimeouts
	router.clients.timeouts = &router.timeouts
	router.clients.onSweep = func() { router.stalls.tick(router.clock.now()) }
	router.clients.all = map[*client]struct{}{}
	router.readQuota = ringbuffer.NewQuota(plan.clientInput)
	router.cancelKeys = newCancelKeys()
	if router.inputPacer, err = newInputPacer(config.Limits.Cores); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	if router.requestMemory, err = newRequestMemory(plan.requests); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	router.observe(site.Log)
	router.pool = backend.NewPool(backend.Options{
		Directory:       router.directory,
		Descriptors:     router.descriptors,
		Metrics:         router.metrics,
		ConnectTimeout:  config.Settings.ConnectTimeout,
		IdleClose:       config.Settings.IdleTimeout,
		ReadQuota:       ringbuffer.NewQuota(plan.serverInput),
		StallTimeout:    stallTimeout,
		SettleTime:      settleTime,
		DuplicateWindow: duplicateWindow,
	})
	if router.loop, err = newEventLoop(balancer, router); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	if err := router.addServices(site); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return router, nil
}

// observe enables the metrics and logs that the settings ask for.
func (router *Router) observe(settings *siteconfig.Log) {
	router.logSettings = settings
	if settings != nil && settings.TotalsIntervalMS > 0 {
		router.metrics = metrics.New()
	}
	router.accessLog.settings.Store(settings)
	router.watcher.Metrics, router.requestMemory.metrics = router.metrics, router.metrics
}

// addServices creates the optional services that the site configuration enables.
func (router *Router) addServices(site *siteconfig.Config) error {
	var err error
	if site.Admission != nil {
		if router.acceptor, err = newAcceptor(router, site.Admission); err != nil {
			return err
		}
		router.pool.OutOfDescriptors = router.acceptor.shrink
	}
	if site.Contracts != nil {
		if router.loop.contracts, err = newContractService(router, site); err != nil {
			return err
		}
	}
	if site.Members != nil {
		if router.membership, err = newMembershipService(router, site.Members); err != nil {
			return err
		}
	}
	if site.Feeds != nil {
		if router.changefeed, err = newChangefeedService(router, site.Feeds); err != nil {
			return err
		}
	}
	if site.Recovery != nil {
		if router.recovery, err = newRecoveryGate(router, site.Recovery); err != nil {
			return err
		}
	}
	return nil
}

// Run serves clients until the context ends, and then shuts down gracefully.
func (router *Router) Run(ctx context.Context) error {
	// Keep-alive probes would detect nothing that the timeouts don't, and would add four system calls to each accept.
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(ctx, "tcp", router.config.Listen)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	return router.Serve(ctx, listener)
}
