package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"runtime/metrics"
	"sync"
	"time"

	"lotushook/internal/fdlimit"
	"lotushook/internal/invariant"
	"lotushook/internal/pgwire"
	"lotushook/internal/siteconfig"
	"lotushook/policy/admission"
)

const (
	// Of the clients' descriptors so many are for those that are leaving: the
	// refused that still read why, and those closed to make room.
	leavingShare, leastLeaving, mostLeaving = 8, 4, 32

	// An accept that finds somebody waiting does not give its turn away, and while
	// it goes on nobody asks the poller what else has come. So after so many it
	// sleeps for a moment: in a flood the requests in flight must go on.
	restEvery = 4
	restFor   = 20 * time.Microsecond

	lingerTick = 2 * time.Millisecond
	doorSweep  = 25 * time.Millisecond // who is to be closed is not kept waiting for it
	weighEvery = 4                     // sweeps: the memory in use is looked at
	tellEvery  = 5 * time.Second
	// After descriptors ran out, so much later the room for clients grows again, by
	// one with each sweep.
	regrowAfter = 3 * time.Second
	shortPause  = 5 * time.Millisecond // without any descriptor, accept rests so long
)

// door carries out what admission decides: it takes clients in, refuses them
// with a word before anything of theirs is read, and closes some for others.
type door struct {
	router *Router
	linger *lingering
	spare  spare
	back   admission.Nanos // the longest time to return that may be told; 0: none is told

	mu    sync.Mutex // the gate's and the list's; nothing that waits is done under it
	gate  *admission.Gate
	conns map[admission.ID]*client
	next  admission.ID
	told  [admission.Reasons]uint64

	shrunk time.Time // when descriptors last ran out; zero: they did not, or long ago
}

func newDoor(r *Router, a *siteconfig.Admission) (*door, error) {
	d := &door{router: r, conns: map[admission.ID]*client{}}
	if b := &r.conf.Settings.Balance; b.RetryAfter {
		d.back = b.MaxRetryAfter
	}
	d.linger = newLingering(d.leaving(), r.budget)
	var err error
	if d.gate, err = admission.New(d.limits(a), r.conf.Seed); err != nil {
		return nil, err
	}
	d.linger.set(time.Duration(a.LingerMS) * time.Millisecond)
	return d, d.spare.take()
}

// leaving is how many descriptors are for clients on their way out.
func (d *door) leaving() int {
	most, _ := d.router.budget.Clients()
	return min(max(most/leavingShare, leastLeaving), mostLeaving)
}

// room is how many clients may be held.
func (d *door) room() int {
	most, _ := d.router.budget.Clients()
	return most - d.leaving()
}

func (d *door) limits(a *siteconfig.Admission) admission.Settings { return a.Limits(d.room(), d.back) }

// shrink makes room for fewer clients, as the system grants fewer descriptors than
// the router was told of.
func (d *door) shrink() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Sub(d.shrunk) < sweepEvery { // what is being closed has to take effect first
		return
	}
	d.shrunk = now
	_, used := d.router.budget.Clients()
	n := d.router.budget.LimitClients(used - leastLeaving)
	d.gate.Whole(d.room())
	slog.Warn("no descriptor left", "clients", used, "room", n)
}

// regrow finds out whether there are descriptors again; the lock is held.
func (d *door) regrow(now time.Time) {
	if d.shrunk.IsZero() || now.Sub(d.shrunk) < regrowAfter {
		return
	}
	was, _ := d.router.budget.Clients()
	if d.router.budget.LimitClients(was+1) == was { // all that was told of
		d.shrunk = time.Time{}
	}
	d.gate.Whole(d.room())
}

// set puts other limits in force.
func (d *door) set(a *siteconfig.Admission) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.gate.Set(d.limits(a)); err != nil {
		return err
	}
	d.linger.set(time.Duration(a.LingerMS) * time.Millisecond)
	return nil
}

// accept takes clients in until the listener closes.
func (d *door) accept(ln net.Listener) error {
	defer d.spare.give()
	for n := 1; ; n++ {
		for !d.router.budget.Accept() { // those on their way out hold the rest
			if d.router.endLingering() || !d.linger.closeOldest() {
				select {
				case <-d.router.budget.Left():
				case <-time.After(shortPause):
				}
			}
		}
		conn, err := ln.Accept()
		if err != nil {
			d.router.budget.Leave()
			var ne net.Error
			switch {
			case fdlimit.Exhausted(err):
				d.short(ln)
			case errors.As(err, &ne) && !errors.Is(err, net.ErrClosed): // an aborted connection
				slog.Warn("accept", "err", err)
				time.Sleep(shortPause)
			default:
				return err
			}
			continue
		}
		d.admit(conn)
		if n%restEvery == 0 {
			time.Sleep(restFor)
		}
	}
}

// admit asks whether a connection is taken, and does what is said.
func (d *door) admit(conn net.Conn) {
	addr := remote(conn)
	d.mu.Lock()
	d.next++
	id := d.next
	v := d.gate.Arrive(id, addr, d.router.clock.now())
	out := d.pick(v.Close)
	var c *client
	if v.Taken() {
		c = newClient(d.router, conn)
		c.id = id
		d.conns[id] = c
	}
	d.mu.Unlock()
	d.putOut(out)
	if c == nil {
		d.linger.refuse(conn, d.word(addr, v))
		return
	}
	d.router.enter(c)
	d.router.serving.Go(c.run)
}

// short is what is done when the system has no descriptor left, though the count
// said otherwise: the spare one is given up to take a client, say so, and close.
func (d *door) short(ln net.Listener) {
	d.shrink()
	d.mu.Lock()
	out := d.pick(d.gate.Shed(d.router.clock.now()))
	d.mu.Unlock()
	d.putOut(out)
	d.linger.closeOldest()
	d.spare.give()
	conn, err := acceptNow(ln)
	again := d.spare.take()
	switch {
	case err != nil: // another took it, or nobody waits any more
		time.Sleep(shortPause)
	case again == nil: // there is room after all
		if !d.router.budget.Accept() {
			conn.Close()
			return
		}
		d.admit(conn)
	default:
		d.mu.Lock()
		v := d.gate.Lost()
		d.mu.Unlock()
		dismiss(conn, d.word(remote(conn), v))
		conn.Close()
		if err := d.spare.take(); err != nil {
			slog.Warn("no spare descriptor", "err", err)
			time.Sleep(shortPause)
		}
	}
}

// acceptNow is Accept that does not wait.
func acceptNow(ln net.Listener) (net.Conn, error) {
	if tcp, ok := ln.(timed); ok {
		tcp.SetDeadline(time.Now().Add(shortPause))
		defer tcp.SetDeadline(time.Time{})
	}
	return ln.Accept()
}

// start tells the gate what a startup message says.
func (d *door) start(c *client) error {
	who := admission.Who{User: c.who.User, Database: c.who.Database, Application: c.who.Application}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.verdict(c, d.gate.Start(c.id, who, d.router.clock.now()))
}

// ask tells the gate that a client has sent a query, which may not be taken.
func (d *door) ask(c *client) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.verdict(c, d.gate.Ask(c.id, d.router.clock.now()))
}

// verdict is a refusal as the reader's error. One that was told to close hears it
// too, as a message of its has been read by now.
func (d *door) verdict(c *client, v admission.Verdict) error {
	if v.Reason == admission.None {
		return nil
	}
	return d.away(remote(c.conn), v)
}

// pushed is what one hears that was told to close with half a message read.
func (d *door) pushed(c *client) error {
	return d.away(remote(c.conn), admission.Verdict{Reason: admission.Displaced})
}

func (d *door) answered(c *client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate.Answered(c.id, d.router.clock.now())
}

func (d *door) left(c *client) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate.Left(c.id)
	delete(d.conns, c.id)
}

// out is a client that is to be put out, and the word for it.
type out struct {
	*client
	away *turnedAway
}

// pick finds the clients of a list; the lock is held.
func (d *door) pick(list []admission.Closing) []out {
	var found []out
	for _, l := range list {
		c := d.conns[l.ID]
		if !invariant.Check(c != nil, "who is to be put out is here", "reason", l.Reason) {
			continue
		}
		o := out{client: c}
		if l.Word {
			o.away = d.away(remote(c.conn), admission.Verdict{Reason: l.Reason, Wait: l.Wait})
		}
		found = append(found, o)
	}
	return found
}

func (d *door) putOut(list []out) {
	for _, o := range list {
		o.putOut(o.away)
	}
}

// run sweeps and tells what was refused, until the context ends.
func (d *door) run(ctx context.Context) {
	defer d.linger.closeAll()
	sweep, tick, tell := time.NewTicker(doorSweep), time.NewTicker(lingerTick), time.NewTicker(tellEvery)
	defer sweep.Stop()
	defer tick.Stop()
	defer tell.Stop()
	used := 0.0
	for n := 0; ; {
		ticks := tick.C
		if !d.linger.any() {
			ticks = nil
		}
		select {
		case <-ctx.Done():
			d.tell()
			return
		case <-d.linger.some:
		case now := <-ticks:
			d.linger.expire(now)
		case <-sweep.C:
			if n++; n%weighEvery == 1 {
				used = d.memory()
			}
			d.mu.Lock()
			d.regrow(time.Now())
			out := d.pick(d.gate.Sweep(d.router.clock.now(), used))
			d.mu.Unlock()
			d.putOut(out)
		case <-tell.C:
			d.tell()
		}
	}
}

// tell logs how many were turned away since it last did.
func (d *door) tell() {
	d.mu.Lock()
	counts, tight := d.gate.Counts(), d.gate.Tight()
	held, _ := d.gate.Size()
	var line []any
	for r, n := range counts {
		if n > d.told[r] {
			line = append(line, slog.Uint64(admission.Reason(r).String(), n-d.told[r]))
		}
	}
	d.told = counts
	d.mu.Unlock()
	if len(line) > 0 {
		slog.Info("turned away", append([]any{"held", held, "tight", tight}, line...)...)
	}
}

// memory is how much of its memory the router uses, as a share.
func (d *door) memory() float64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return float64(s[0].Value.Uint64()-s[1].Value.Uint64()) / float64(d.router.conf.Limits.MemoryMB<<20)
}

// turnedAway is why a client is not served: it may come again after wait.
type turnedAway struct {
	text string
	wait admission.Nanos // 0: not told
}

func (t *turnedAway) Error() string { return t.text }

// away words a verdict.
func (d *door) away(addr netip.Addr, v admission.Verdict) *turnedAway {
	return &turnedAway{text: "refused: " + wording(addr, v), wait: min(v.Wait, d.back)}
}

// word is a verdict as a client hears it.
func (d *door) word(addr netip.Addr, v admission.Verdict) []byte {
	t := d.away(addr, v)
	return pgwire.AppendError(nil, "FATAL", pgwire.CodeTooManyConnections, t.text, comeAgain(t.wait))
}

// wording names the limit that was met, as the settings do.
func wording(addr netip.Addr, v admission.Verdict) string {
	a := addr.Unmap()
	switch v.Reason {
	case admission.AddressFull:
		return fmt.Sprintf("address %s holds its %d connections (admission.per_address)", a, v.Limit)
	case admission.AddressRate:
		return fmt.Sprintf("address %s has opened its %d connections of a second (admission.new_per_s)", a, v.Limit)
	case admission.PrefixFull:
		return fmt.Sprintf("the network of %s holds its %d connections (admission.per_prefix)", a, v.Limit)
	case admission.PrefixRate:
		return fmt.Sprintf("the network of %s has opened its %d connections of a second (admission.new_per_s_prefix)", a, v.Limit)
	case admission.TotalRate:
		return fmt.Sprintf("%d connections of a second were opened (admission.new_per_s_total)", v.Limit)
	case admission.Full:
		return fmt.Sprintf("all %d connections are in use", v.Limit)
	case admission.Reserved:
		return fmt.Sprintf("all connections but the %d reserved are in use (admission.reserve)", v.Limit)
	case admission.Displaced:
		return "closed before the first query to make room for another client"
	case admission.Silent:
		return "no query came in time while connections are short (admission.silence_ms)"
	case admission.OverCap:
		return fmt.Sprintf("a limit for %s was lowered (admission)", a)
	case admission.OutOfDescriptors:
		return "no file descriptor is left"
	}
	return v.Reason.String()
}

// remote is where a connection comes from; the zero address where it can't be told.
func remote(conn net.Conn) netip.Addr {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}

// spare is a descriptor that is held to be given up when there is none left.
type spare struct{ file *os.File }

func (s *spare) take() error {
	if s.file != nil {
		return nil
	}
	var err error
	s.file, err = os.Open(os.DevNull)
	return err
}

func (s *spare) give() {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
}
