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
	// Of the clients' descriptors so many are for connections that are closing: the
	// rejected that still read their error, and those evicted to make room.
	leavingShare, minLeaving, maxLeaving = 8, 4, 32

	// An accept call that finds a waiting connection does not yield, and while
	// the calls go on the network poller is not run. So after so many the acceptor
	// sleeps for a moment: in a flood the requests in flight must make progress.
	acceptsBetweenPauses = 4
	acceptPause          = 20 * time.Microsecond

	lingerInterval        = 2 * time.Millisecond
	acceptorSweepInterval = 25 * time.Millisecond // evictions must not be delayed by it
	memoryCheckSweeps     = 4                     // in sweeps: the memory in use is checked
	logInterval           = 5 * time.Second
	// After the descriptors ran out, the client limit grows again after this time, by
	// one with each sweep.
	regrowAfter      = 3 * time.Second
	retryAcceptAfter = 5 * time.Millisecond // pause while there is no descriptor for accept
)

// acceptor carries out the admission decisions: it accepts clients, rejects them
// before it reads anything of theirs, and evicts some to make room for others.
type acceptor struct {
	router        *Router
	lingering     *lingeringCloses
	spare         spareDescriptor
	maxRetryAfter clock.Nanos // the longest Retry-After time; 0: none is sent

	mu        sync.Mutex // guards the gate and the list; nothing blocks while it is held
	admission *admission.Controller
	clients   map[admission.ID]*client
	nextID    admission.ID
	reported  [admission.ReasonCount]uint64

	shrunkAt time.Time // when descriptors last ran out; zero: they did not, or long ago
}

func newAcceptor(r *Router, a *siteconfig.Admission) (*acceptor, error) {
	d := &acceptor{router: r, clients: map[admission.ID]*client{}}
	if b := &r.config.Settings.Balance; b.RetryAfterAllowed {
		d.maxRetryAfter = b.MaxRetryAfter
	}
	d.lingering = newLingeringCloses(d.leavingDescriptors(), r.descriptors)
	var err error
	if d.admission, err = admission.New(d.limits(a), r.config.Seed); err != nil {
		return nil, err
	}
	d.lingering.setDuration(time.Duration(a.LingerMS) * time.Millisecond)
	return d, d.spare.take()
}

// leavingDescriptors is how many descriptors are for connections that are closing.
func (d *acceptor) leavingDescriptors() int {
	most, _ := d.router.descriptors.Clients()
	return min(max(most/leavingShare, minLeaving), maxLeaving)
}

// capacity is how many clients may be connected.
func (d *acceptor) capacity() int {
	most, _ := d.router.descriptors.Clients()
	return most - d.leavingDescriptors()
}

func (d *acceptor) limits(a *siteconfig.Admission) admission.Settings {
	return a.Limits(d.capacity(), d.maxRetryAfter)
}

// shrink lowers the client limit, as the system grants fewer descriptors than
// its limit promised.
func (d *acceptor) shrink() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Sub(d.shrunkAt) < sweepInterval { // the evictions under way have to take effect first
		return
	}
	d.shrunkAt = now
	_, used := d.router.descriptors.Clients()
	n := d.router.descriptors.LimitClients(used - minLeaving)
	d.admission.SetCapacity(d.capacity())
	slog.Warn("no descriptor left", "clients", used, "room", n)
}

// regrow checks whether descriptors are available again; the lock is held.
func (d *acceptor) regrow(now time.Time) {
	if d.shrunkAt.IsZero() || now.Sub(d.shrunkAt) < regrowAfter {
		return
	}
	was, _ := d.router.descriptors.Clients()
	if d.router.descriptors.LimitClients(was+1) == was { // all that the limit promised
		d.shrunkAt = time.Time{}
	}
	d.admission.SetCapacity(d.capacity())
}

// reload puts other limits in force.
func (d *acceptor) reload(a *siteconfig.Admission) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.admission.UpdateSettings(d.limits(a)); err != nil {
		return err
	}
	d.lingering.setDuration(time.Duration(a.LingerMS) * time.Millisecond)
	return nil
}

// accept accepts clients until the listener closes.
func (d *acceptor) accept(ln net.Listener) error {
	defer d.spare.give()
	for n := 1; ; n++ {
		for !d.router.descriptors.ReserveClient() { // connections that are closing hold the rest
			if d.router.clients.endLingering() || !d.lingering.closeOldest() {
				select {
				case <-d.router.descriptors.ClientReleased():
				case <-time.After(retryAcceptAfter):
				}
			}
		}
		conn, err := ln.Accept()
		if err != nil {
			d.router.descriptors.ReleaseClient()
			var ne net.Error
			switch {
			case fdlimit.IsExhausted(err):
				d.acceptWithoutDescriptor(ln)
			case errors.As(err, &ne) && !errors.Is(err, net.ErrClosed): // an aborted connection
				slog.Warn("accept", "err", err)
				time.Sleep(retryAcceptAfter)
			default:
				return err
			}
			continue
		}
		d.admit(conn)
		if n%acceptsBetweenPauses == 0 {
			time.Sleep(acceptPause)
		}
	}
}

// admit lets admission decide about a connection, and carries the decision out.
func (d *acceptor) admit(conn net.Conn) {
	addr := remoteAddress(conn)
	d.mu.Lock()
	d.nextID++
	id := d.nextID
	v := d.admission.Arrive(id, addr, d.router.clock.now())
	out := d.findEvicted(v.Evictions)
	var c *client
	if v.Admitted() {
		c = newClient(d.router, conn)
		c.admissionID = id
		d.clients[id] = c
	}
	d.mu.Unlock()
	d.evict(out)
	if c == nil {
		d.lingering.reject(conn, d.rejectionMessage(addr, v))
		return
	}
	d.router.clients.add(c)
	d.router.clients.serving.Go(c.run)
}

// sessionStarted passes a startup message's settings to admission.
func (d *acceptor) sessionStarted(c *client) error {
	who := admission.Identity{User: c.identity.User, Database: c.identity.Database, Application: c.identity.Application}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.verdict(c, d.admission.Identify(c.admissionID, who, d.router.clock.now()))
}

// queryArrived tells admission that a client has sent a query, which may be rejected.
func (d *acceptor) queryArrived(c *client) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.verdict(c, d.admission.Request(c.admissionID, d.router.clock.now()))
}

// verdict returns a rejection as the reader's error. A client that is being evicted
// receives it too, as a message of its has been read by now.
func (d *acceptor) verdict(c *client, v admission.Verdict) error {
	if v.Reason == admission.None {
		return nil
	}
	return d.rejectionFor(remoteAddress(c.conn), v)
}

func (d *acceptor) answered(c *client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Answered(c.admissionID, d.router.clock.now())
}

func (d *acceptor) clientClosed(c *client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Closed(c.admissionID)
	delete(d.clients, c.admissionID)
}

// evicted is a client to be evicted, and the error that it receives.
type evicted struct {
	*client
	rejection *rejection
}

// findEvicted finds the clients of a list; the lock is held.
func (d *acceptor) findEvicted(list []admission.Eviction) []evicted {
	var found []evicted
	for _, l := range list {
		c := d.clients[l.ID]
		if !invariant.Check(c != nil, "who is to be put out is here", "reason", l.Reason) {
			continue
		}
		o := evicted{client: c}
		if l.Notify {
			o.rejection = d.rejectionFor(remoteAddress(c.conn), admission.Verdict{Reason: l.Reason, RetryAfter: l.RetryAfter})
		}
		found = append(found, o)
	}
	return found
}

func (d *acceptor) evict(list []evicted) {
	for _, o := range list {
		o.evict(o.rejection)
	}
}

// run sweeps and logs rejections until the context ends.
func (d *acceptor) run(ctx context.Context) {
	defer d.lingering.closeAll()
	sweep, tick, tell := time.NewTicker(acceptorSweepInterval), time.NewTicker(lingerInterval), time.NewTicker(logInterval)
	defer sweep.Stop()
	defer tick.Stop()
	defer tell.Stop()
	used := 0.0
	for n := 0; ; {
		ticks := tick.C
		if !d.lingering.any() {
			ticks = nil
		}
		select {
		case <-ctx.Done():
			d.logRejections()
			return
		case <-d.lingering.notEmpty:
		case now := <-ticks:
			d.lingering.expire(now)
		case <-sweep.C:
			if n++; n%memoryCheckSweeps == 1 {
				used = d.memoryUse()
			}
			d.mu.Lock()
			d.regrow(time.Now())
			out := d.findEvicted(d.admission.Sweep(d.router.clock.now(), used))
			d.mu.Unlock()
			d.evict(out)
		case <-tell.C:
			d.logRejections()
		}
	}
}

// logRejections logs how many clients were rejected since it last did.
func (d *acceptor) logRejections() {
	d.mu.Lock()
	counts, tight := d.admission.Counts(), d.admission.UnderPressure()
	held, _ := d.admission.Size()
	var line []any
	for r, n := range counts {
		if n > d.reported[r] {
			line = append(line, slog.Uint64(admission.Reason(r).String(), n-d.reported[r]))
		}
	}
	d.reported = counts
	d.mu.Unlock()
	if len(line) > 0 {
		slog.Info("turned away", append([]any{"held", held, "tight", tight}, line...)...)
	}
}

// memoryUse returns the used share of the router's memory limit.
func (d *acceptor) memoryUse() float64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return float64(s[0].Value.Uint64()-s[1].Value.Uint64()) / float64(d.router.config.Limits.MemoryMB<<20)
}
