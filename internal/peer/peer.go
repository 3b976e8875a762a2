// Package peer carries the messages between the routers of an installation: sockets, authentication and bounds. Which members are
// alive is decided in policy/membership; no request ever waits for this package.
package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lotushook/policy/membership"
)

const (
	viewEvery    = 100 * time.Millisecond
	queued       = 256 // received messages in the queue; more are dropped and counted
	perSlot      = 40  // datagrams read in a slot; the rest waits in the socket's buffer, which drops
	slot         = 10 * time.Millisecond
	socketBytes  = 256 << 10
	maxSenders   = 4 // long messages being sent at a time; more are dropped
	maxReceivers = 8 // connections that are read at a time; more wait in the listener's backlog
	tcpFor       = time.Second
	maxContacts  = 4096 // addresses whose session is remembered, and sessions whose sequence numbers are
	maxPending   = 64   // messages to addresses without a known session
	pendingFor   = int64(time.Second)
)

// Options are the settings of one router's membership.
type Options struct {
	Cluster string
	Listen  string // an address and a port, for UDP and TCP; port 0: any, and the address that others reach is made from it
	Member  membership.Settings
	Keys    [][]byte
	Zones   map[string]string      // of the routers, by name: one that starts empty catches up from its own zone first
	Changed func(*membership.View) // called on Run's goroutine when the view has changed; must not block
	State   *State                 // the replicated state; nil: none
	Now     func() int64           // of this router's own clock, in nanoseconds
}

// Counts count messages since the start.
type Counts struct {
	Sent       uint64 `json:"sent"`
	SentBytes  uint64 `json:"sent_bytes"`
	Taken      uint64 `json:"taken"`
	Garbage    uint64 `json:"garbage"`     // not of this protocol, or not parseable
	Versions   uint64 `json:"versions"`    // of another version
	Strangers  uint64 `json:"strangers"`   // without a known key
	Foreign    uint64 `json:"foreign"`     // of another cluster
	Replayed   uint64 `json:"replayed"`    // received before
	Outdated   uint64 `json:"outdated"`    // not addressed to this process; answered with its session
	Full       uint64 `json:"full"`        // the queue was full
	NotSent    uint64 `json:"not_sent"`    // too many long messages being sent, or the system refused
	Connection uint64 `json:"connections"` // accepted
	Malformed  uint64 `json:"spoiled"`     // corrupt pieces of a copy
	Differed   uint64 `json:"differed"`    // entries that were missing here though another had known them for long
}

type counters struct {
	sent, sentBytes, taken, garbage, versions, strangers, foreign, replayed, outdated, full, notSent, connections, malformed, differed atomic.Uint64
}

// Peers is one router's connection to the others.
type Peers struct {
	opt             Options
	udp             *net.UDPConn
	tcp             *net.TCPListener
	session         uint64
	count           uint64
	keys            atomic.Pointer[[][]byte]
	in              chan *envelope
	calls           chan func()
	senders         chan struct{}
	view            atomic.Pointer[membership.View]
	counts          counters
	broadcastReport atomic.Pointer[broadcastReport]

	// Owned by Run's goroutine:
	members   *membership.Detector
	sessionAt map[string]uint64 // the session at an address
	windows   map[uint64]*window
	pending   map[string]late
	spread    spread
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
	p := &Peers{opt: o, session: rand.Uint64() | 1, in: make(chan *envelope, queued), calls: make(chan func()), senders: make(chan struct{}, maxSenders),
		sessionAt: map[string]uint64{}, windows: map[uint64]*window{}, pending: map[string]late{}}
	p.keys.Store(&o.Keys)
	for try := 0; ; try++ { // with port 0 the one that UDP got may be in use for TCP
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
	_ = p.udp.SetReadBuffer(socketBytes) // the system may give less
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

// Address is where other routers reach this one.
func (p *Peers) Address() string { return p.opt.Member.Address }

// View is the latest view; it must not be changed.
func (p *Peers) View() *membership.View { return p.view.Load() }

// Counts returns the present counts.
func (p *Peers) Counts() Counts {
	c := &p.counts
	return Counts{c.sent.Load(), c.sentBytes.Load(), c.taken.Load(), c.garbage.Load(), c.versions.Load(), c.strangers.Load(), c.foreign.Load(),
		c.replayed.Load(), c.outdated.Load(), c.full.Load(), c.notSent.Load(), c.connections.Load(), c.malformed.Load(), c.differed.Load()}
}

// SetKeys puts new keys in force.
func (p *Peers) SetKeys(keys [][]byte) { p.keys.Store(&keys) }

// Run takes part until the context ends.
func (p *Peers) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { p.readAll(ctx) })
	parts.Go(func() { p.acceptAll(ctx) })
	defer parts.Wait()
	defer p.close()
	// Timeouts are late by half a tick on average, and a gap that is a pause stands out: each tick wakes the process, which is most of
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
		case <-p.opt.State.pending():
			p.scheduleSpread(p.opt.Now())
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

// Leave notifies the others that this router leaves, and sends nothing after it.
func (p *Peers) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case p.calls <- func() { p.send(p.members.Leave(p.opt.Now())); p.look(); close(done) }:
		<-done
	case <-ctx.Done():
	}
}
