// Package peer carries what the routers of an installation tell each other: sockets, authentication and bounds. Who is
// there is decided in policy/membership; nobody who serves requests ever waits for this package.
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
	queued       = 256 // messages that wait to be taken; more are dropped and counted
	perSlot      = 40  // datagrams are looked at in a slot; what comes beyond waits in the socket, which drops
	slot         = 10 * time.Millisecond
	socketBytes  = 256 << 10
	maxSenders   = 4 // long messages on their way at a time; more are dropped
	maxReceivers = 8 // connections that are read at a time; more wait in the listener's backlog
	tcpFor       = time.Second
	maxContacts  = 4096 // addresses whose session is remembered, and sessions whose counts are
	maxPending   = 64   // messages to whom no session is known yet
	pendingFor   = int64(time.Second)
)

// Options are what one router's membership needs.
type Options struct {
	Cluster string
	Listen  string // an address and a port, for UDP and TCP; port 0: any, and the address that others reach is made from it
	Member  membership.Settings
	Keys    [][]byte
	Zones   map[string]string      // of the routers, by name: one that starts empty is fed from its own first
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
	Malformed  uint64 `json:"spoiled"`     // pieces of a copy that were not what they said
	Differed   uint64 `json:"differed"`    // entries that lacked here though another had known them for long
}

type counters struct {
	sent, sentBytes, taken, garbage, versions, strangers, foreign, replayed, outdated, full, notSent, connections, malformed, differed atomic.Uint64
}

// Peers is one router among others.
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

	// Of Run's goroutine:
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

// Address is where others reach this router.
func (p *Peers) Address() string { return p.opt.Member.Address }

// View is what was believed last; it is not to be changed.
func (p *Peers) View() *membership.View { return p.view.Load() }

// Counts are as they stand.
func (p *Peers) Counts() Counts {
	c := &p.counts
	return Counts{c.sent.Load(), c.sentBytes.Load(), c.taken.Load(), c.garbage.Load(), c.versions.Load(), c.strangers.Load(), c.foreign.Load(),
		c.replayed.Load(), c.outdated.Load(), c.full.Load(), c.notSent.Load(), c.connections.Load(), c.malformed.Load(), c.differed.Load()}
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

// Leave tells the others that this router goes, and sends nothing after it.
func (p *Peers) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case p.calls <- func() { p.send(p.members.Leave(p.opt.Now())); p.look(); close(done) }:
		<-done
	case <-ctx.Done():
	}
}
