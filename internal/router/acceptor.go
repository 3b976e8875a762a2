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
	// Of the clients' descriptors so many are for those that are leaving: the
	// refused that still read why, and those closed to make room.
	leavingShare, minLeaving, maxLeaving = 8, 4, 32

	// An accept that finds somebody waiting does not give its turn away, and while
	// it goes on nobody asks the poller what else has come. So after so many it
	// sleeps for a moment: in a flood the requests in flight must go on.
	acceptsBetweenPauses = 4
	acceptPause          = 20 * time.Microsecond

	lingerInterval        = 2 * time.Millisecond
	acceptorSweepInterval = 25 * time.Millisecond // who is to be closed is not kept waiting for it
	memoryCheckSweeps     = 4                     // sweeps: the memory in use is looked at
	logInterval           = 5 * time.Second
	// After descriptors ran out, so much later the room for clients grows again, by
	// one with each sweep.
	regrowAfter      = 3 * time.Second
	retryAcceptAfter = 5 * time.Millisecond // without any descriptor, accept rests so long
)

// acceptor carries out what admission decides: it takes clients in, refuses them
// with a word before anything of theirs is read, and closes some for others.
type acceptor struct {
	router        *Router
	lingering     *lingeringCloses
	spare         spareDescriptor
	maxRetryAfter clock.Nanos // the longest time to return that may be told; 0: none is told

	mu        sync.Mutex // the gate's and the list's; nothing that waits is done under it
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

// leavingDescriptors is how many descriptors are for clients on their way out.
func (d *acceptor) leavingDescriptors() int {
	most, _ := d.router.descriptors.Clients()
	return min(max(most/leavingShare, minLeaving), maxLeaving)
}

// capacity is how many clients may be held.
func (d *acceptor) capacity() int {
	most, _ := d.router.descriptors.Clients()
	return most - d.leavingDescriptors()
}

func (d *acceptor) limits(a *siteconfig.Admission) admission.Settings {
	return a.Limits(d.capacity(), d.maxRetryAfter)
}

// shrink makes room for fewer clients, as the system grants fewer descriptors than
// the router was told of.
func (d *acceptor) shrink() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Sub(d.shrunkAt) < sweepInterval { // what is being closed has to take effect first
		return
	}
	d.shrunkAt = now
	_, used := d.router.descriptors.Clients()
	n := d.router.descriptors.LimitClients(used - minLeaving)
	d.admission.SetCapacity(d.capacity())
	slog.Warn("no descriptor left", "clients", used, "room", n)
}

// regrow finds out whether there are descriptors again; the lock is held.
func (d *acceptor) regrow(now time.Time) {
	if d.shrunkAt.IsZero() || now.Sub(d.shrunkAt) < regrowAfter {
		return
	}
	was, _ := d.router.descriptors.Clients()
	if d.router.descriptors.LimitClients(was+1) == was { // all that was told of
		d.shrunkAt = time.Time{}
	}
	d.admission.SetCapacity(d.capacity())
}

// reload puts other limits in force.
func (d *acceptor) reload(a *siteconfig.Admission) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.admission.Set(d.limits(a)); err != nil {
		return err
	}
	d.lingering.setDuration(time.Duration(a.LingerMS) * time.Millisecond)
	return nil
}

// accept takes clients in until the listener closes.
func (d *acceptor) accept(ln net.Listener) error {
	defer d.spare.give()
	for n := 1; ; n++ {
		for !d.router.descriptors.Accept() { // those on their way out hold the rest
			if d.router.clients.endLingering() || !d.lingering.closeOldest() {
				select {
				case <-d.router.descriptors.Left():
				case <-time.After(retryAcceptAfter):
				}
			}
		}
		conn, err := ln.Accept()
		if err != nil {
			d.router.descriptors.Leave()
			var ne net.Error
			switch {
			case fdlimit.Exhausted(err):
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

// admit asks whether a connection is taken, and does what is said.
func (d *acceptor) admit(conn net.Conn) {
	addr := remoteAddress(conn)
	d.mu.Lock()
	d.nextID++
	id := d.nextID
	v := d.admission.Arrive(id, addr, d.router.clock.now())
	out := d.findEvicted(v.Close)
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

// sessionStarted tells the gate what a startup message says.
func (d *acceptor) sessionStarted(c *client) error {
	who := admission.Identity{User: c.identity.User, Database: c.identity.Database, Application: c.identity.Application}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.verdict(c, d.admission.Start(c.admissionID, who, d.router.clock.now()))
}

// queryArrived tells the gate that a client has sent a query, which may not be taken.
func (d *acceptor) queryArrived(c *client) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.verdict(c, d.admission.Request(c.admissionID, d.router.clock.now()))
}

// verdict is a refusal as the reader's error. One that was told to close hears it
// too, as a message of its has been read by now.
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

// evicted is a client that is to be put out, and the word for it.
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

// run sweeps and tells what was refused, until the context ends.
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

// logRejections logs how many were turned away since it last did.
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

// memoryUse is how much of its memory the router uses, as a share.
func (d *acceptor) memoryUse() float64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return float64(s[0].Value.Uint64()-s[1].Value.Uint64()) / float64(d.router.config.Limits.MemoryMB<<20)
}
