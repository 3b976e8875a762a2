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

// Serve is Run on a listener that it closes.
func (r *Router) Serve(ctx context.Context, listener net.Listener) error {
	drainable := &drainListener{Listener: listener}
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	if err := r.startServices(inner, &running); err != nil {
		closeQuietly(drainable)
		return fmt.Errorf("router: %w", err)
	}
	slog.Info("serving", "name", r.config.Name, "listen", drainable.Addr().String())
	accepted := make(chan error, 1)
	go func() { accepted <- r.accept(drainable) }()

	var err error
	select {
	case err = <-accepted:
		closeQuietly(drainable)
		err = fmt.Errorf("router: accept: %w", err)
	case <-ctx.Done():
		r.drainAccepts(inner, &running, drainable, accepted)
	}
	r.clients.drain()
	r.clients.serving.Wait()
	if r.changefeed != nil {
		r.changefeed.feeds.Close()
	}
	stop()
	running.Wait()
	r.logEnd()
	return err
}

// startServices starts the goroutines that run until the context ends.
func (r *Router) startServices(ctx context.Context, running *sync.WaitGroup) error {
	if r.membership != nil {
		if err := r.membership.listen(); err != nil {
			return err
		}
		r.membership.restore(ctx, running)
		running.Go(func() { r.membership.run(ctx) })
	}
	if r.config.LastKnownList != nil {
		r.loop.events <- loopEvent{Event: r.directory.Apply(r.config.LastKnownList)}
		r.recovery.listReceived()
	}
	listed := make(chan struct{})
	running.Go(func() {
		r.start.wait(ctx, listed)
		r.loop.run(ctx)
	})
	running.Go(func() { r.watchEndpoints(ctx, listed) })
	running.Go(func() { r.pool.Run(ctx) })
	running.Go(func() { r.clients.sweep(ctx) })
	if r.acceptor != nil {
		running.Go(func() { r.acceptor.run(ctx) })
	}
	if r.loop.contracts != nil {
		running.Go(func() { r.loop.contracts.run(ctx) })
	}
	if r.metrics != nil {
		interval := time.Duration(r.logSettings.TotalsMS) * time.Millisecond
		running.Go(func() { r.writeTotalsEvery(ctx, interval) })
	}
	return nil
}

// watchEndpoints hands each list of discovery to the event loop until the context ends, and closes listed at the first.
func (r *Router) watchEndpoints(ctx context.Context, listed chan struct{}) {
	first := sync.OnceFunc(func() { close(listed) })
	r.watcher.Run(ctx, func(list *discovery.List) error {
		event, err := r.directory.Update(list)
		if err != nil {
			return err
		}
		r.loop.events <- loopEvent{Event: event}
		r.recovery.listReceived()
		first()
		return nil
	})
}

// accept takes clients in until the listener closes.
func (r *Router) accept(listener net.Listener) error {
	if r.acceptor != nil {
		return r.acceptor.accept(listener)
	}
	return r.acceptAll(listener)
}

// drainAccepts begins the shutdown and returns once no new clients are taken.
func (r *Router) drainAccepts(ctx context.Context, running *sync.WaitGroup, listener *drainListener, accepted <-chan error) {
	slog.Info("stopping")
	if r.membership != nil {
		r.membership.leave()
	}
	timeoutEnd := r.shutdown.timeoutEnd()
	r.shutdown.begin(r.clock.now())
	running.Go(func() { r.endShutdown(ctx, timeoutEnd) })
	<-r.shutdown.acceptOver()
	listener.stop()
	r.clients.drain()
	<-accepted //nolint:errcheck // the listener was told to stop
	closeQuietly(listener)
}

// logEnd writes what is left to tell.
func (r *Router) logEnd() {
	if r.membership != nil && r.membership.attemptLog != nil {
		r.membership.attemptLog.close()
	}
	r.writeTotals()
	r.accessLog.logOmitted()
	slog.Info("stopped", "requests", r.loop.requestCount, "broken_invariants", invariant.Counts())
}
