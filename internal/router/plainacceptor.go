package router

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"lotushook/internal/metrics"
	"lotushook/policy/clock"
)

// acceptAll accepts clients without an admission controller, until the listener closes. While no descriptor is free,
// clients wait to be accepted.
func (router *Router) acceptAll(listener net.Listener) error {
	exhaustedAt := clock.Nanos(0) // when no descriptor was last free; 0: never
	for {
		if router.awaitDescriptor() {
			exhaustedAt = router.clock.now()
		}
		conn, err := listener.Accept()
		if err == nil {
			router.acceptClient(conn, exhaustedAt)
			continue
		}
		router.descriptors.ReleaseClient()
		if !isTemporary(err) {
			return err
		}
		slog.Warn("accept", "err", err)
		time.Sleep(acceptRetryDelay)
	}
}

// acceptClient starts a client's goroutine, unless the client waited too long to be accepted.
func (router *Router) acceptClient(conn net.Conn, exhaustedAt clock.Nanos) {
	if router.hasWaitedTooLong(conn, exhaustedAt) {
		router.metrics.Add(metrics.ClosedUnread)
		closeQuietly(conn)
		router.descriptors.ReleaseClient()
		return
	}
	router.serveClient(conn)
}

// isTemporary reports whether an accept failed because no descriptor was free or because the client aborted the
// connection.
func isTemporary(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && !errors.Is(err, net.ErrClosed)
}

// awaitDescriptor returns once a descriptor for one more client is free, and closes other connections if necessary. It
// reports whether no descriptor was free at the time of the call.
func (router *Router) awaitDescriptor() (exhausted bool) {
	for !router.descriptors.ReserveClient() {
		exhausted = true
		now := time.Now()
		if !router.clients.endLingering() && !router.clients.evictIdle(now, router.timeouts.evictableSilence) {
			router.clients.rejectPartial(now)
		}
		select {
		case <-router.descriptors.ClientReleased():
		case <-time.After(router.timeouts.evictableSilence / 4):
		}
	}
	return exhausted
}

// serveClient starts a client's goroutine. When many clients are connected, it closes two idle clients for each new
// one, so that their number decreases.
func (router *Router) serveClient(conn net.Conn) {
	client := newClient(router, conn)
	if router.clients.add(client) > router.config.Limits.Sockets/crowdedDescriptorDivisor {
		for range 2 {
			router.clients.evictIdle(time.Now(), router.timeouts.message/4)
		}
	}
	router.clients.serving.Go(client.run)
}

// removeClient removes a client whose connection is closed.
func (router *Router) removeClient(client *client) {
	router.clients.remove(client)
	if router.acceptor != nil {
		router.acceptor.clientClosed(client)
	}
	router.descriptors.ReleaseClient()
}
