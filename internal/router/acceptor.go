package router

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"runtime/metrics"
	"sync"
	"time"

	"lotushook/internal/fdlimit"
	"lotushook/internal/invariant"
	"lotushook/internal/siteconfig"
	"lotushook/policy/admission"
	"lotushook/policy/clock"
)

const (
	// Of the descriptors for clients, 1/closingDivisor, but at least minClosing and at most maxClosing, are reserved
	// for connections that are closing: those of rejected clients that still read their error, and of evicted clients.
	closingDivisor, minClosing, maxClosing = 8, 4, 32

	// An accept call that finds a waiting connection does not yield, and the network poller does not run during a
	// series of such calls. The acceptor therefore sleeps briefly after each few calls, so that requests in flight
	// make progress during a connection flood.
	acceptsBetweenPauses = 4
	acceptPause          = 20 * time.Microsecond

	lingerInterval        = 2 * time.Millisecond
	acceptorSweepInterval = 25 * time.Millisecond // short, as all evictions but those for a new client wait for it
	memoryCheckSweeps     = 4                     // the memory in use is measured every so many sweeps
	logInterval           = 5 * time.Second
	// The time from running out of descriptors until the client limit grows again, by one with each sweep.
	regrowDelay      = 3 * time.Second
	acceptRetryDelay = 5 * time.Millisecond // pause after a failed accept and while no descriptor is free
)

// acceptor carries out the admission decisions: it accepts clients, rejects clients before it reads any of their bytes,
// and evicts clients to free capacity for others.
type acceptor struct {
	router        *Router
	lingering     *lingeringCloses
	spare         spareDescriptor
	maxRetryAfter clock.Nanos // 0: no Retry-After time is sent

	mu            sync.Mutex // guards the fields below; no code blocks while it is held
	admission     *admission.Controller
	clients       map[admission.ID]*client
	nextID        admission.ID
	loggedCounts  [admission.ReasonCount]uint64 // by reason: the number of rejections that have been logged
	capacityCutAt time.Time                     // when descriptors last ran out; zero: the capacity is restored
}

func newAcceptor(router *Router, settings *siteconfig.Admission) (*acceptor, error) {
	acceptor := &acceptor{router: router, clients: map[admission.ID]*client{}}
	if balanceSettings := &router.config.Settings.Balance; balanceSettings.RetryAfterAllowed {
		acceptor.maxRetryAfter = balanceSettings.MaxRetryAfter
	}
	acceptor.lingering = newLingeringCloses(acceptor.closingDescriptors(), router.descriptors)
	var err error
	if acceptor.admission, err = admission.New(acceptor.limits(settings), router.config.Seed); err != nil {
		return nil, err
	}
	acceptor.lingering.setDuration(time.Duration(settings.LingerMS) * time.Millisecond)
	return acceptor, acceptor.spare.open()
}

// closingDescriptors returns the number of descriptors that are reserved for connections that are closing.
func (acceptor *acceptor) closingDescriptors() int {
	maxClients, _ := acceptor.router.descriptors.Clients()
	return min(max(maxClients/closingDivisor, minClosing), maxClosing)
}

// capacity returns the maximum number of connected clients.
func (acceptor *acceptor) capacity() int {
	maxClients, _ := acceptor.router.descriptors.Clients()
	return maxClients - acceptor.closingDescriptors()
}

func (acceptor *acceptor) limits(settings *siteconfig.Admission) admission.Settings {
	return settings.Limits(acceptor.capacity(), acceptor.maxRetryAfter)
}

// shrink lowers the client limit after the operating system granted fewer descriptors than its limit allows.
func (acceptor *acceptor) shrink() {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	now := time.Now()
	if now.Sub(acceptor.capacityCutAt) < sweepInterval { // evictions in progress have to take effect first
		return
	}
	acceptor.capacityCutAt = now
	_, used := acceptor.router.descriptors.Clients()
	limit := acceptor.router.descriptors.LimitClients(used - minClosing)
	acceptor.admission.SetCapacity(acceptor.capacity())
	slog.Warn("out of file descriptors; lowered the client limit", "clients", used, "room", limit)
}

// regrow raises the client limit step by step after descriptors ran out. The caller holds the lock.
func (acceptor *acceptor) regrow(now time.Time) {
	if acceptor.capacityCutAt.IsZero() || now.Sub(acceptor.capacityCutAt) < regrowDelay {
		return
	}
	before, _ := acceptor.router.descriptors.Clients()
	if acceptor.router.descriptors.LimitClients(before+1) == before { // the limit is back at its maximum
		acceptor.capacityCutAt = time.Time{}
	}
	acceptor.admission.SetCapacity(acceptor.capacity())
}

// reload applies new admission limits.
func (acceptor *acceptor) reload(settings *siteconfig.Admission) error {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	if err := acceptor.admission.UpdateSettings(acceptor.limits(settings)); err != nil {
		return err
	}
	acceptor.lingering.setDuration(time.Duration(settings.LingerMS) * time.Millisecond)
	return nil
}

// accept accepts clients until the listener closes.
func (acceptor *acceptor) accept(listener net.Listener) error {
	defer acceptor.spare.release()
	for accepts := 1; ; accepts++ {
		for !acceptor.router.descriptors.ReserveClient() { // the remaining descriptors belong to closing connections
			if acceptor.router.clients.endLingering() || !acceptor.lingering.closeOldest() {
				select {
				case <-acceptor.router.descriptors.ClientReleased():
				case <-time.After(acceptRetryDelay):
				}
			}
		}
		conn, err := listener.Accept()
		if err != nil {
			acceptor.router.descriptors.ReleaseClient()
			var netError net.Error
			switch {
			case fdlimit.IsExhausted(err):
				acceptor.acceptWithoutDescriptor(listener)
			case errors.As(err, &netError) && !errors.Is(err, net.ErrClosed): // the client aborted the connection
				slog.Warn("accept", "err", err)
				time.Sleep(acceptRetryDelay)
			default:
				return err
			}
			continue
		}
		acceptor.admit(conn)
		if accepts%acceptsBetweenPauses == 0 {
			time.Sleep(acceptPause)
		}
	}
}

// admit asks the admission controller about a new connection and carries out its verdict.
func (acceptor *acceptor) admit(conn net.Conn) {
	address := remoteAddress(conn)
	acceptor.mu.Lock()
	acceptor.nextID++
	id := acceptor.nextID
	verdict := acceptor.admission.Arrive(id, address, acceptor.router.clock.now())
	evictions := acceptor.findEvicted(verdict.Evictions)
	var newcomer *client
	if verdict.Admitted() {
		newcomer = newClient(acceptor.router, conn)
		newcomer.admissionID = id
		acceptor.clients[id] = newcomer
	}
	acceptor.mu.Unlock()
	acceptor.evict(evictions)
	if newcomer == nil {
		acceptor.lingering.reject(conn, acceptor.rejectionMessage(address, verdict))
		return
	}
	acceptor.router.clients.add(newcomer)
	acceptor.router.clients.serving.Go(newcomer.run)
}

// sessionStarted passes the identity in a startup message to the admission controller.
func (acceptor *acceptor) sessionStarted(client *client) error {
	identity := admission.Identity{User: client.identity.User, Database: client.identity.Database, Application: client.identity.Application}
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	return acceptor.verdict(client, acceptor.admission.Identify(client.admissionID, identity, acceptor.router.clock.now()))
}

// queryArrived reports a query to the admission controller, which may reject it.
func (acceptor *acceptor) queryArrived(client *client) error {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	return acceptor.verdict(client, acceptor.admission.Request(client.admissionID, acceptor.router.clock.now()))
}

// verdict returns nil if the admission controller lets the client stay, otherwise the rejection, with which the reader
// ends the connection. A client that is being evicted receives a rejection too, because one of its messages has already
// been read.
func (acceptor *acceptor) verdict(client *client, verdict admission.Verdict) error {
	if verdict.Reason == admission.None {
		return nil
	}
	return acceptor.rejectionFor(remoteAddress(client.conn), verdict)
}

func (acceptor *acceptor) answered(client *client) {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	acceptor.admission.Answered(client.admissionID, acceptor.router.clock.now())
}

func (acceptor *acceptor) clientClosed(client *client) {
	acceptor.mu.Lock()
	defer acceptor.mu.Unlock()
	acceptor.admission.Closed(client.admissionID)
	delete(acceptor.clients, client.admissionID)
}

// evicted is a client to be evicted and the error that it receives; nil: the connection is closed without one.
type evicted struct {
	*client
	rejection *rejection
}

// findEvicted returns the clients of a list of evictions. The caller holds the lock.
func (acceptor *acceptor) findEvicted(evictions []admission.Eviction) []evicted {
	var found []evicted
	for _, eviction := range evictions {
		client := acceptor.clients[eviction.ID]
		if !invariant.Check(client != nil, "an evicted client is connected", "reason", eviction.Reason) {
			continue
		}
		entry := evicted{client: client}
		if eviction.Notify {
			entry.rejection = acceptor.rejectionFor(remoteAddress(client.conn), admission.Verdict{Reason: eviction.Reason, RetryAfter: eviction.RetryAfter})
		}
		found = append(found, entry)
	}
	return found
}

func (acceptor *acceptor) evict(list []evicted) {
	for _, entry := range list {
		entry.evict(entry.rejection)
	}
}

// run does the periodic work until the context ends: it evicts the clients that a sweep of the admission controller
// names, closes the connections of rejected clients after a short time, and logs rejections.
func (acceptor *acceptor) run(ctx context.Context) {
	defer acceptor.lingering.closeAll()
	sweepTicker, lingerTicker, logTicker := time.NewTicker(acceptorSweepInterval), time.NewTicker(lingerInterval), time.NewTicker(logInterval)
	defer sweepTicker.Stop()
	defer lingerTicker.Stop()
	defer logTicker.Stop()
	memoryUsed := 0.0
	for sweeps := 0; ; {
		lingerTicks := lingerTicker.C
		if !acceptor.lingering.any() {
			lingerTicks = nil
		}
		select {
		case <-ctx.Done():
			acceptor.logRejections()
			return
		case <-acceptor.lingering.notEmpty:
		case now := <-lingerTicks:
			acceptor.lingering.expire(now)
		case <-sweepTicker.C:
			if sweeps++; sweeps%memoryCheckSweeps == 1 {
				memoryUsed = acceptor.memoryUse()
			}
			acceptor.mu.Lock()
			acceptor.regrow(time.Now())
			evictions := acceptor.findEvicted(acceptor.admission.Sweep(acceptor.router.clock.now(), memoryUsed))
			acceptor.mu.Unlock()
			acceptor.evict(evictions)
		case <-logTicker.C:
			acceptor.logRejections()
		}
	}
}

// logRejections logs the number of rejections by reason since the previous call.
func (acceptor *acceptor) logRejections() {
	acceptor.mu.Lock()
	counts, pressure := acceptor.admission.Counts(), acceptor.admission.UnderPressure()
	connected, _ := acceptor.admission.Size()
	var attributes []any
	for reason, count := range counts {
		if count > acceptor.loggedCounts[reason] {
			attributes = append(attributes, slog.Uint64(admission.Reason(reason).String(), count-acceptor.loggedCounts[reason]))
		}
	}
	acceptor.loggedCounts = counts
	acceptor.mu.Unlock()
	if len(attributes) > 0 {
		slog.Info("clients rejected", append([]any{"held", connected, "tight", pressure}, attributes...)...)
	}
}

// memoryUse returns the fraction of the router's memory limit that is in use.
func (acceptor *acceptor) memoryUse() float64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return float64(samples[0].Value.Uint64()-samples[1].Value.Uint64()) / float64(acceptor.router.config.Limits.MemoryMB<<20)
}
