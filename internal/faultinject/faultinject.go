// Package faultinject puts faults between processes: each ordered pair of them is a link of its own, over which datagrams and
// connections pass through this process and are lost, delayed, cut or spoiled on command. What is drawn follows from a
// seed, link by link and packet by packet.
package faultinject

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Link is what is wrong between one process and another, in that direction. The zero Link passes all on at once.
type Link struct {
	Loss      float64 `json:"loss"`        // of datagrams; over a connection each is a delay, as of a segment sent again
	Double    float64 `json:"double"`      // datagrams that come twice
	Reorder   float64 `json:"reorder"`     // datagrams that are overtaken by later ones
	Garble    float64 `json:"garble"`      // datagrams or pieces of a stream with a byte changed
	DelayMS   float64 `json:"delay_ms"`    // of each
	JitterMS  float64 `json:"jitter_ms"`   // and up to so much more
	BytesPerS float64 `json:"bytes_per_s"` // 0: no bound
	Cut       bool    `json:"cut"`         // nothing passes, and nobody is told
	Reset     bool    `json:"reset"`       // connections are reset
	Stall     bool    `json:"stall"`       // connections are taken and nothing passes
}

const (
	maxPackets   = 8192 // datagrams under way in all; more are lost
	maxQueueTime = time.Second
	again        = 200 * time.Millisecond // until a lost segment is sent again
	late         = 20 * time.Millisecond  // what is overtaken comes so much later
	piece        = 4 << 10                // of a stream
	dialFor      = time.Second
	poll         = 20 * time.Millisecond // a stalled or cut stream looks so often whether it may go on
)

// Event is a fault that was set, and when.
type Event struct {
	At       time.Time
	From, To int
	Link     Link
}

// Net is some processes and all links between them. Each process has a loopback address of its own, from which it sends:
// that tells who sends, whatever it says.
type Net struct {
	seed    uint64
	mu      sync.Mutex
	from    map[netip.Addr]int
	doors   []*proxyAddress
	links   map[[2]int]*link
	events  []Event
	waiting atomic.Int64
	strange atomic.Uint64
	closed  chan struct{}
	all     sync.WaitGroup
}

type proxyAddress struct {
	at   int
	real netip.AddrPort
	udp  *net.UDPConn
	tcp  *net.TCPListener
}

// link is one ordered pair's state.
type link struct {
	mu   sync.Mutex
	now  Link
	rng  *rand.Rand
	free time.Time // when the bandwidth is free again
}

// New returns a net without processes.
func New(seed uint64) *Net {
	return &Net{seed: seed, from: map[netip.Addr]int{}, links: map[[2]int]*link{}, closed: make(chan struct{})}
}

// Add puts a process into the net, which listens at an address for datagrams and connections and sends from its host
// alone. It returns the process's number, and the address that others must use.
func (n *Net) Add(address netip.AddrPort) (number int, advertised netip.AddrPort, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, there := n.from[address.Addr()]; there {
		return 0, netip.AddrPort{}, fmt.Errorf("fault: two processes send from %s", address.Addr())
	}
	d := &proxyAddress{at: len(n.doors), real: address}
	for range 10 { // the port that one kind got may be taken for the other
		if d.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return 0, netip.AddrPort{}, fmt.Errorf("fault: %w", err)
		}
		advertised = d.udp.LocalAddr().(*net.UDPAddr).AddrPort()
		if d.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(advertised)); err == nil {
			break
		}
		d.udp.Close()
	}
	if err != nil {
		return 0, netip.AddrPort{}, fmt.Errorf("fault: %w", err)
	}
	n.from[address.Addr()] = d.at
	n.doors = append(n.doors, d)
	n.all.Go(func() { n.datagrams(d) })
	n.all.Go(func() { n.connections(d) })
	return d.at, advertised, nil
}

// Set puts a fault on each link from one of some processes to one of others. Both may name all by being empty.
func (n *Net) Set(from, to []int, l Link) {
	n.mu.Lock()
	all := make([]int, len(n.doors))
	for i := range all {
		all[i] = i
	}
	n.mu.Unlock()
	if len(from) == 0 {
		from = all
	}
	if len(to) == 0 {
		to = all
	}
	for _, i := range from {
		for _, j := range to {
			if i == j {
				continue
			}
			k := n.link(i, j)
			k.mu.Lock()
			k.now = l
			k.mu.Unlock()
			n.mu.Lock()
			n.events = append(n.events, Event{time.Now(), i, j, l})
			n.mu.Unlock()
		}
	}
}

// Events are all faults that were set, in order.
func (n *Net) Events() []Event {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.events)
}

// Number tells this net from others of the machine: the port of its first process's door.
func (n *Net) Number() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.doors) == 0 {
		return 0
	}
	return n.doors[0].udp.LocalAddr().(*net.UDPAddr).Port
}

// Strange counts what came from a host that is no process's.
func (n *Net) Strange() uint64 { return n.strange.Load() }

// Close ends all links.
func (n *Net) Close() {
	close(n.closed)
	n.mu.Lock()
	for _, d := range n.doors {
		d.udp.Close()
		d.tcp.Close()
	}
	n.mu.Unlock()
	n.all.Wait()
}

func (n *Net) link(from, to int) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.links[[2]int{from, to}]
	if k == nil {
		k = &link{rng: rand.New(rand.NewPCG(n.seed, uint64(from)<<32|uint64(to)))}
		n.links[[2]int{from, to}] = k
	}
	return k
}

// sender is who sends from a host.
func (n *Net) sender(host netip.Addr) (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i, ok := n.from[host.Unmap()]
	if !ok {
		n.strange.Add(1)
	}
	return i, ok
}

// set is what is wrong now.
func (k *link) set() Link {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

// packetFault is the fault drawn for one datagram or one piece of a stream.
type packetFault struct {
	lost   bool
	copies int
	wait   time.Duration
	garble int // which byte is changed; -1: none
}

// draw always draws as often, so that a fault that is set does not move what is drawn for later packets.
func (k *link) draw(size int) packetFault {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.now
	loss, double, reorder, garble, jitter, at := k.rng.Float64(), k.rng.Float64(), k.rng.Float64(), k.rng.Float64(), k.rng.Float64(), k.rng.IntN(max(size, 1))
	f := packetFault{lost: l.Cut || loss < l.Loss, copies: 1, garble: -1, wait: time.Duration((l.DelayMS + jitter*l.JitterMS) * float64(time.Millisecond))}
	if double < l.Double {
		f.copies = 2
	}
	if reorder < l.Reorder {
		f.wait += late
	}
	if garble < l.Garble {
		f.garble = at
	}
	if l.BytesPerS > 0 {
		now := time.Now()
		k.free = k.free.Add(max(0, now.Sub(k.free))).Add(time.Duration(float64(size) / l.BytesPerS * float64(time.Second)))
		queue := k.free.Sub(now)
		f.wait += queue
		f.lost = f.lost || queue > maxQueueTime
	}
	return f
}

// datagrams passes on what comes for one process.
func (n *Net) datagrams(d *proxyAddress) {
	buf := make([]byte, 64<<10)
	for {
		size, src, err := d.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		i, ok := n.sender(src.Addr())
		if !ok {
			continue
		}
		f := n.link(i, d.at).draw(size)
		if f.lost || n.waiting.Load() >= maxPackets {
			continue
		}
		raw := slices.Clone(buf[:size])
		if f.garble >= 0 && size > 0 {
			raw[f.garble] ^= 0x5a
		}
		for range f.copies {
			if f.wait <= 0 {
				_, _ = d.udp.WriteToUDPAddrPort(raw, d.real)
				continue
			}
			n.waiting.Add(1)
			time.AfterFunc(f.wait, func() {
				n.waiting.Add(-1)
				_, _ = d.udp.WriteToUDPAddrPort(raw, d.real)
			})
		}
	}
}

// connections passes on the streams to one process.
func (n *Net) connections(d *proxyAddress) {
	for {
		conn, err := d.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(poll)
			continue
		}
		i, ok := n.sender(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		if !ok {
			conn.Close()
			continue
		}
		n.all.Go(func() { n.stream(conn, i, d) })
	}
}

// stream joins two connections, in each direction over that direction's link.
func (n *Net) stream(in *net.TCPConn, from int, d *proxyAddress) {
	defer in.Close()
	there, back := n.link(from, d.at), n.link(d.at, from)
	if there.set().Reset {
		in.SetLinger(0)
		return
	}
	if !n.passable(there, back) { // no connection comes about; whoever waits gives up by himself
		return
	}
	conn, err := (&net.Dialer{Timeout: dialFor}).Dial("tcp", d.real.String())
	if err != nil {
		in.SetLinger(0)
		return
	}
	out := conn.(*net.TCPConn)
	defer out.Close()
	stop := make(chan struct{})
	go func() { // the net's end ends all
		select {
		case <-n.closed:
			in.Close()
			out.Close()
		case <-stop:
		}
	}()
	var both sync.WaitGroup
	both.Go(func() { n.pass(out, in, there) })
	both.Go(func() { n.pass(in, out, back) })
	both.Wait()
	close(stop)
}

// passable waits until neither direction is cut or stalled: a handshake needs both.
func (n *Net) passable(links ...*link) bool {
	for {
		free := true
		for _, k := range links {
			l := k.set()
			free = free && !l.Cut && !l.Stall
		}
		if free {
			return true
		}
		select {
		case <-n.closed:
			return false
		case <-time.After(poll):
		}
	}
}

// pass copies one direction, piece by piece.
func (n *Net) pass(to, from *net.TCPConn, k *link) {
	buf := make([]byte, piece)
	for {
		size, err := from.Read(buf)
		if size > 0 {
			f, l := k.draw(size), k.set()
			if l.Reset {
				to.SetLinger(0)
				from.SetLinger(0)
				to.Close()
				from.Close()
				return
			}
			if f.garble >= 0 {
				buf[f.garble] ^= 0x5a
			}
			if f.lost && !l.Cut {
				f.wait += again
			}
			time.Sleep(f.wait)
			if !n.passable(k) {
				return
			}
			if _, err := to.Write(buf[:size]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite()
			} else {
				to.Close()
			}
			return
		}
	}
}
