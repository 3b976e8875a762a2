// Package peer carries what the routers of an installation tell each other: sockets, authentication and bounds. Who is
// there is decided in policy/membership; nobody who serves requests ever waits for this package.
package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lotushook/policy/membership"
)

const (
	viewEvery   = 100 * time.Millisecond
	queued      = 256 // messages that wait to be taken; more are dropped and counted
	perSlot     = 40  // datagrams are looked at in a slot; what comes beyond waits in the socket, which drops
	slot        = 10 * time.Millisecond
	socketBytes = 256 << 10
	mostSenders = 4 // long messages on their way at a time; more are dropped
	mostTakers  = 8 // connections that are read at a time; more wait in the listener's backlog
	tcpFor      = time.Second
	mostDoors   = 4096 // addresses whose session is remembered, and sessions whose counts are
	mostPending = 64   // messages to whom no session is known yet
	pendingFor  = int64(time.Second)
)

// Options are what one router's membership needs.
type Options struct {
	Cluster string
	Listen  string // an address and a port, for UDP and TCP; port 0: any, and the address that others reach is made from it
	Member  membership.Settings
	Keys    [][]byte
	Halls   map[string]string      // of the routers, by name: one that starts empty is fed from its own first
	Changed func(*membership.View) // called from Run's goroutine, when something of the view is new; must not wait
	State   *State                 // what is shared beyond membership; nil: nothing is
	Now     func() int64           // of this router's own clock, in nanoseconds
}

// Counts are what happened to messages since the start.
type Counts struct {
	Sent       uint64 `json:"sent"`
	SentBytes  uint64 `json:"sent_bytes"`
	Taken      uint64 `json:"taken"`
	Garbage    uint64 `json:"garbage"`     // not of this protocol, or not to be understood
	Versions   uint64 `json:"versions"`    // of another version
	Strangers  uint64 `json:"strangers"`   // of no key that is known here
	Foreign    uint64 `json:"foreign"`     // of another cluster
	Replayed   uint64 `json:"replayed"`    // had before
	Outdated   uint64 `json:"outdated"`    // not written for this process; answered with its session
	Full       uint64 `json:"full"`        // the queue was full
	NotSent    uint64 `json:"not_sent"`    // too many long messages on their way, or the system refused
	Connection uint64 `json:"connections"` // taken
	Spoiled    uint64 `json:"spoiled"`     // pieces of a copy that were not what they said
	Differed   uint64 `json:"differed"`    // entries that lacked here though another had known them for long
}

type counters struct {
	sent, sentBytes, taken, garbage, versions, strangers, foreign, replayed, outdated, full, notSent, connections, spoiled, differed atomic.Uint64
}

// Peers is one router among others.
type Peers struct {
	opt     Options
	udp     *net.UDPConn
	tcp     *net.TCPListener
	session uint64
	count   uint64
	keys    atomic.Pointer[[][]byte]
	in      chan *envelope
	calls   chan func()
	senders chan struct{}
	view    atomic.Pointer[membership.View]
	counts  counters
	told    atomic.Pointer[told]

	// Of Run's goroutine:
	members *membership.Detector
	doors   map[string]uint64 // the session at an address
	windows map[uint64]*window
	pending map[string]late
	spread  spread
}

type late struct {
	at  int64
	msg membership.Message
}

// Listen opens the sockets; nothing is sent before Run.
func Listen(o Options) (*Peers, error) {
	at, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return nil, &ListenError{o.Listen, err}
	}
	p := &Peers{opt: o, session: rand.Uint64() | 1, in: make(chan *envelope, queued), calls: make(chan func()), senders: make(chan struct{}, mostSenders),
		doors: map[string]uint64{}, windows: map[uint64]*window{}, pending: map[string]late{}}
	p.keys.Store(&o.Keys)
	for try := 0; ; try++ { // with port 0 the one that UDP got may be taken for TCP
		if p.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
			return nil, &ListenError{o.Listen, err}
		}
		if p.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(p.udp.LocalAddr().(*net.UDPAddr).AddrPort())); err == nil {
			break
		}
		p.udp.Close()
		if at.Port() != 0 || try == 10 {
			return nil, &ListenError{o.Listen, err}
		}
	}
	p.udp.SetReadBuffer(socketBytes) // the system may give less
	if p.opt.Member.Address == "" {
		p.opt.Member.Address = p.udp.LocalAddr().String()
	}
	if p.members, err = membership.New(p.opt.Member, rand.Uint64(), o.Now()); err != nil {
		p.close()
		return nil, err
	}
	if o.State != nil {
		if p.spread, err = newSpread(o.Now()); err != nil {
			p.close()
			return nil, err
		}
	}
	v := p.members.View()
	p.view.Store(&v)
	return p, nil
}

func (p *Peers) close() {
	p.udp.Close()
	p.tcp.Close()
}

// Address is where others reach this router.
func (p *Peers) Address() string { return p.opt.Member.Address }

// View is what was believed last; it is not to be changed.
func (p *Peers) View() *membership.View { return p.view.Load() }

// Counts are as they stand.
func (p *Peers) Counts() Counts {
	c := &p.counts
	return Counts{c.sent.Load(), c.sentBytes.Load(), c.taken.Load(), c.garbage.Load(), c.versions.Load(), c.strangers.Load(), c.foreign.Load(),
		c.replayed.Load(), c.outdated.Load(), c.full.Load(), c.notSent.Load(), c.connections.Load(), c.spoiled.Load(), c.differed.Load()}
}

// SetKeys puts other keys in force.
func (p *Peers) SetKeys(keys [][]byte) { p.keys.Store(&keys) }

// Run takes part until the context ends.
func (p *Peers) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { p.readAll(ctx) })
	parts.Go(func() { p.acceptAll(ctx) })
	defer parts.Wait()
	defer p.close()
	// Waits run out by half of one late, and a gap that is a pause stands out: each tick wakes the process, which is most of
	// what membership costs.
	tick := time.NewTicker(time.Duration(min(p.opt.Member.AckTimeout/2, p.opt.Member.MaxTickGap/3)))
	defer tick.Stop()
	defer p.spread.stop()
	seen := p.opt.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.in:
			p.take(e)
		case f := <-p.calls:
			f()
		case <-p.opt.State.wake():
			p.wakeSpread(p.opt.Now())
		case <-p.spread.due():
			p.spread.at = 0
			p.spreadState(p.opt.Now())
		case <-tick.C:
			now := p.opt.Now()
			p.send(p.members.Tick(now))
			p.spreadState(now)
			if now-seen >= int64(viewEvery) {
				seen = now
				p.look()
			}
		}
	}
}

// look publishes the view.
func (p *Peers) look() {
	v := p.members.View()
	before := p.view.Swap(&v)
	if p.opt.Changed != nil && differ(before, &v) {
		p.opt.Changed(&v)
	}
}

// differ says whether something is new but how long ago who was heard.
func differ(x, y *membership.View) bool {
	if len(x.Members) != len(y.Members) || x.Majority != y.Majority || x.Isolated != y.Isolated || x.NameTaken != y.NameTaken || x.Quota != y.Quota {
		return true
	}
	for i := range x.Members {
		if x.Members[i].Update != y.Members[i].Update {
			return true
		}
	}
	return false
}

// Leave tells the others that this router goes, and sends nothing after it.
func (p *Peers) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case p.calls <- func() { p.send(p.members.Leave(p.opt.Now())); p.look(); close(done) }:
		<-done
	case <-ctx.Done():
	}
}

// take takes one message in, if it was written for this process and not had before.
func (p *Peers) take(e *envelope) {
	now := p.opt.Now()
	switch {
	case e.Cluster != p.opt.Cluster:
		p.counts.foreign.Add(1)
		return
	case e.Session == p.session: // an echo
		p.counts.replayed.Add(1)
		return
	case e.To != p.session:
		p.counts.outdated.Add(1)
		p.post(e.Address, e.Session, nil, nil)
		return
	}
	w := p.windows[e.Session]
	if w == nil {
		if len(p.windows) >= mostDoors {
			p.forgetWindow()
		}
		w = &window{}
		p.windows[e.Session] = w
	}
	if w.at = now; !w.fresh(e.Count) {
		p.counts.replayed.Add(1)
		return
	}
	p.counts.taken.Add(1)
	if len(p.doors) >= mostDoors {
		clear(p.doors) // each is learnt again with its next message
	}
	p.doors[e.Address] = e.Session
	if l, ok := p.pending[e.Address]; ok {
		delete(p.pending, e.Address)
		if now-l.at < pendingFor {
			p.send([]membership.Message{l.msg})
		}
	}
	if e.Body != nil {
		p.send(p.members.Receive(now, e.message()))
	}
	if e.State != nil {
		p.takeState(now, e)
	}
}

// forgetWindow makes room: the session that was silent for longest goes. What was recorded of it could then be taken once
// more; that it takes as many starts as there are windows, within one life of this process, is borne.
func (p *Peers) forgetWindow() {
	var oldest uint64
	for id, w := range p.windows {
		if o := p.windows[oldest]; o == nil || w.at < o.at {
			oldest = id
		}
	}
	delete(p.windows, oldest)
}

func (p *Peers) send(list []membership.Message) {
	now := p.opt.Now()
	for i := range list {
		m := &list[i]
		to, ok := p.doors[m.To]
		if !ok {
			if len(p.pending) >= mostPending {
				clear(p.pending)
			}
			p.pending[m.To] = late{now, *m}
		}
		p.post(m.To, to, wrap(m), nil)
	}
}

// postState sends to one whose session is known; others are met by membership first.
func (p *Peers) postState(address string, s *state) {
	if to, ok := p.doors[address]; ok {
		p.post(address, to, nil, s)
	}
}

// post sends one message to an address: as a datagram, or by a connection where it is too long for one.
func (p *Peers) post(address string, to uint64, b *body, s *state) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		p.counts.notSent.Add(1)
		return
	}
	p.count++
	raw, err := seal(&envelope{Cluster: p.opt.Cluster, From: p.opt.Member.Name, Address: p.opt.Member.Address, Session: p.session, To: to, Count: p.count, Body: b, State: s},
		(*p.keys.Load())[0])
	if err != nil || len(raw) > mostTCP {
		p.counts.notSent.Add(1)
		return
	}
	p.counts.sent.Add(1)
	p.counts.sentBytes.Add(uint64(len(raw)))
	if len(raw) <= mostUDP {
		if _, err := p.udp.WriteToUDPAddrPort(raw, at); err != nil {
			p.counts.notSent.Add(1)
		}
		return
	}
	select {
	case p.senders <- struct{}{}:
		go func() {
			defer func() { <-p.senders }()
			if p.connectAndSend(at, raw) != nil {
				p.counts.notSent.Add(1)
			}
		}()
	default:
		p.counts.notSent.Add(1)
	}
}

// connectAndSend sends one message behind its length. It comes from the address that is listened on, as datagrams do.
func (p *Peers) connectAndSend(at netip.AddrPort, raw []byte) error {
	from := p.udp.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	d := net.Dialer{Timeout: tcpFor}
	if !from.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	conn, err := d.Dial("tcp", at.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(tcpFor))
	_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...))
	return err
}

// readAll reads datagrams. It looks at so many in a slot and leaves others to the system, so that a flood takes little of
// the router's core.
func (p *Peers) readAll(ctx context.Context) {
	buf := make([]byte, mostUDP+1) // what is longer is cut, and then of no key
	began, looked := time.Now(), 0
	for {
		n, _, err := p.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(slot)
			continue
		}
		p.enter(buf[:n])
		if looked++; looked >= perSlot {
			if left := slot - time.Since(began); left > 0 {
				time.Sleep(left)
			}
			began, looked = time.Now(), 0
		}
	}
}

// enter checks who wrote a message and queues it.
func (p *Peers) enter(raw []byte) {
	e, err := open(raw, *p.keys.Load())
	switch {
	case errors.Is(err, errVersion):
		p.counts.versions.Add(1)
	case errors.Is(err, errMAC):
		p.counts.strangers.Add(1)
	case err != nil:
		p.counts.garbage.Add(1)
	default:
		select {
		case p.in <- e:
		default:
			p.counts.full.Add(1)
		}
	}
}

// acceptAll takes long messages, one a connection.
func (p *Peers) acceptAll(ctx context.Context) {
	slots := make(chan struct{}, mostTakers)
	var all sync.WaitGroup
	defer all.Wait()
	for {
		conn, err := p.tcp.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil { // out of descriptors: clients come first
			time.Sleep(100 * time.Millisecond)
			continue
		}
		p.counts.connections.Add(1)
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(tcpFor))
			var size [4]byte
			if _, err := io.ReadFull(conn, size[:]); err != nil {
				p.counts.garbage.Add(1)
				return
			}
			n := binary.BigEndian.Uint32(size[:])
			if n > mostTCP {
				p.counts.garbage.Add(1)
				return
			}
			raw, err := io.ReadAll(io.LimitReader(conn, int64(n))) // grows with what comes, not with what is announced
			if err != nil || len(raw) != int(n) {
				p.counts.garbage.Add(1)
				return
			}
			p.enter(raw)
		})
	}
}

// Log writes what is new in a view.
func Log(before, now *membership.View) {
	was := map[string]membership.Member{}
	if before != nil {
		for _, m := range before.Members {
			was[m.Name] = m
		}
	}
	for _, m := range now.Members {
		if old := was[m.Name]; old.State != m.State || old.Epoch != m.Epoch || old.Incarnation != m.Incarnation {
			slog.Info("member", "of", m.Name, "state", m.State.String(), "was", old.State.String(), "boot", m.Epoch, "incarnation", m.Incarnation, "by", m.Accuser)
		}
	}
	if before == nil || before.Quota != now.Quota && (before.Quota.Share != now.Quota.Share || before.Quota.IsHolder != now.Quota.IsHolder) || before.Majority != now.Majority || before.Isolated != now.Isolated || before.NameTaken != now.NameTaken {
		slog.Info("view", "counting", now.Present, "majority", now.Majority, "deaf", now.Isolated, "taken", now.NameTaken, "share", now.Quota.Share,
			"holder", now.Quota.IsHolder, "gone", now.Quota.Excluded)
	}
}
