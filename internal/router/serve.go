package router

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"lotushook/internal/discovery"
	"lotushook/internal/invariant"
)

// Serve is Run with an existing listener, which it closes.
func (router *Router) Serve(ctx context.Context, listener net.Listener) error {
	drainable := &drainListener{Listener: listener}
	serviceContext, stopServices := context.WithCancel(context.Background())
	defer stopServices()
	var running sync.WaitGroup
	if err := router.startServices(serviceContext, &running); err != nil {
		closeQuietly(drainable)
		return fmt.Errorf("router: %w", err)
	}
	slog.Info("serving", "name", router.config.Name, "listen", drainable.Addr().String())
	accepted := make(chan error, 1)
	go func() { accepted <- router.accept(drainable) }()

	var err error
	select {
	case err = <-accepted:
		closeQuietly(drainable)
		err = fmt.Errorf("router: accept: %w", err)
	case <-ctx.Done():
		router.drainAccepts(serviceContext, &running, drainable, accepted)
	}
	router.clients.drain()
	router.clients.serving.Wait()
	if router.changefeed != nil {
		router.changefeed.feeds.Close()
	}
	stopServices()
	running.Wait()
	router.logEnd()
	return err
}

// startServices starts the goroutines that run until the context ends.
func (router *Router) startServices(ctx context.Context, running *sync.WaitGroup) error {
	if router.membership != nil {
		if err := router.membership.listen(); err != nil {
			return err
		}
		router.membership.restore(ctx, running)
		running.Go(func() { router.membership.run(ctx) })
	}
	if router.config.LastKnownList != nil {
		router.loop.events <- loopEvent{Event: router.directory.Apply(router.config.LastKnownList)}
		router.recovery.listReceived()
	}
	listed := make(chan struct{})
	running.Go(func() {
		router.start.wait(ctx, listed)
		router.loop.run(ctx)
	})
	running.Go(func() { router.watchEndpoints(ctx, listed) })
	running.Go(func() { router.pool.Run(ctx) })
	running.Go(func() { router.clients.sweep(ctx) })
	if router.acceptor != nil {
		running.Go(func() { router.acceptor.run(ctx) })
	}
	if router.loop.contracts != nil {
		running.Go(func() { router.loop.contracts.run(ctx) })
	}
	if router.metrics != nil {
		interval := time.Duration(router.logSettings.TotalsIntervalMS) * time.Millisecond
		running.Go(func() { router.writeTotalsEvery(ctx, interval) })
	}
	return nil
}

// watchEndpoints passes each endpoint list from discovery to the event loop until the context ends. It closes listed
// after the first list.
func (router *Router) watchEndpoints(ctx context.Context, listed chan struct{}) {
	closeListed := sync.OnceFunc(func() { close(listed) })
	router.watcher.Run(ctx, func(list *discovery.List) error {
		event, err := router.directory.Update(list)
		if err != nil {
			return err
		}
		router.loop.events <- loopEvent{Event: event}
		router.recovery.listReceived()
		closeListed()
		return nil
	})
}

// accept accepts clients until the listener closes.
func (router *Router) accept(listener net.Listener) error {
	if router.acceptor != nil {
		return router.acceptor.accept(listener)
	}
	return router.acceptAll(listener)
}

// drainAccepts begins the shutdown and returns once no more clients are accepted.
func (router *Router) drainAccepts(ctx context.Context, running *sync.WaitGroup, listener *drainListener, accepted <-chan error) {
	slog.Info("stopping")
	if router.membership != nil {
		router.membership.leave()
	}
	timeoutEnd := router.shutdown.timeoutEnd()
	router.shutdown.begin(router.clock.now())
	running.Go(func() { router.endShutdown(ctx, timeoutEnd) })
	<-router.shutdown.acceptEnd()
	listener.stop()
	router.clients.drain()
	<-accepted //nolint:errcheck // the error is net.ErrClosed, because the listener was stopped
	closeQuietly(listener)
}

// logEnd writes the final log lines.
func (router *Router) logEnd() {
	if router.membership != nil && router.membership.attemptLog != nil {
		router.membership.attemptLog.close()
	}
	router.writeTotals()
	router.accessLog.logOmitted()
	slog.Info("stopped", "requests", router.loop.requestCount, "broken_invariants", invariant.Counts())
}
