package router

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"lotushook/internal/metrics"
	"lotushook/policy/clock"
)

// acceptAll takes clients in until the listener closes, as far as descriptors go.
func (r *Router) acceptAll(listener net.Listener) error {
	lackingAt := clock.Nanos(0) // when descriptors were last lacking; 0: they were not
	for {
		if r.awaitDescriptor() {
			lackingAt = r.clock.now()
		}
		conn, err := listener.Accept()
		if err == nil {
			r.acceptClient(conn, lackingAt)
			continue
		}
		r.descriptors.ReleaseClient()
		if !isTemporary(err) {
			return err
		}
		slog.Warn("accept", "err", err)
		time.Sleep(retryAcceptAfter)
	}
}

// acceptClient starts a client's goroutine, unless the client has waited too long in a crowd.
func (r *Router) acceptClient(conn net.Conn, lackingAt clock.Nanos) {
	if r.hasWaitedTooLong(conn, lackingAt) {
		r.metrics.Add(metrics.ClosedUnread)
		closeQuietly(conn)
		r.descriptors.ReleaseClient()
		return
	}
	r.serveClient(conn)
}

// isTemporary says whether an accept failed for want of descriptors, or as a connection was aborted.
func isTemporary(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && !errors.Is(err, net.ErrClosed)
}

// awaitDescriptor returns once there is a descriptor for one more client, making room where it can. It says whether there was none.
func (r *Router) awaitDescriptor() (lacking bool) {
	for !r.descriptors.ReserveClient() {
		lacking = true
		now := time.Now()
		if !r.clients.endLingering() && !r.clients.evictIdle(now, r.timeouts.silent) {
			r.clients.rejectPartial(now)
		}
		select {
		case <-r.descriptors.ClientReleased():
		case <-time.After(r.timeouts.silent / 4):
		}
	}
	return lacking
}

// serveClient starts a client's goroutine. In a crowd two idle clients go for each that comes, so that it gets smaller.
func (r *Router) serveClient(conn net.Conn) {
	c := newClient(r, conn)
	if r.clients.add(c) > r.config.Limits.Sockets/crowdedDescriptorShare {
		for range 2 {
			r.clients.evictIdle(time.Now(), r.timeouts.message/4)
		}
	}
	r.clients.serving.Go(c.run)
}

// removeClient forgets a client whose connection is closed.
func (r *Router) removeClient(c *client) {
	r.clients.remove(c)
	if r.acceptor != nil {
		r.acceptor.clientClosed(c)
	}
	r.descriptors.ReleaseClient()
}
