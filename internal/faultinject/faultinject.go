// Package faultinject injects faults between processes, and into processes. Each ordered pair of processes has a link,
// over which this process forwards datagrams and connections, and can lose, delay, corrupt or cut them. A seed
// determines the random faults of each packet of each link.
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

// Link describes the faults of one direction between two processes. The zero Link forwards everything without delay.
type Link struct {
	Loss      float64 `json:"loss"`        // share of datagrams that are lost; in a stream, a loss becomes the delay of a retransmission
	Double    float64 `json:"double"`      // share of datagrams that are delivered twice
	Reorder   float64 `json:"reorder"`     // share of datagrams that are delayed so that later ones overtake them
	Garble    float64 `json:"garble"`      // share of datagrams or stream chunks with one changed byte
	DelayMS   float64 `json:"delay_ms"`    // delay of each datagram or chunk
	JitterMS  float64 `json:"jitter_ms"`   // maximum additional random delay
	BytesPerS float64 `json:"bytes_per_s"` // bandwidth; 0: unlimited
	Cut       bool    `json:"cut"`         // nothing is forwarded, and no error is reported
	Reset     bool    `json:"reset"`       // connections are reset
	Stall     bool    `json:"stall"`       // connections are accepted, and nothing is forwarded
}

const (
	maxPackets      = 8192                   // maximum number of delayed datagrams on all links; further ones are lost
	maxQueueTime    = time.Second            // packets that would wait longer for bandwidth are lost
	retransmitDelay = 200 * time.Millisecond // delay of a retransmission
	reorderDelay    = 20 * time.Millisecond  // additional delay of a reordered datagram
	chunkSize       = 4 << 10                // maximum size of a stream chunk
	dialTimeout     = time.Second
	pollInterval    = 20 * time.Millisecond // interval at which a stalled or cut stream checks whether it may continue
)

// Event is a change of the faults of a link.
type Event struct {
	At       time.Time
	From, To int
	Link     Link
}

// Net is a set of processes and the links between them. Each process sends from its own loopback address, which
// identifies the sender whatever the packet contains.
type Net struct {
	seed           uint64
	mu             sync.Mutex
	senders        map[netip.Addr]int
	proxies        []*proxyAddress
	links          map[[2]int]*link
	events         []Event
	delayed        atomic.Int64
	unknownSenders atomic.Uint64
	closed         chan struct{}
	workers        sync.WaitGroup
}

// proxyAddress is an address that other processes use in place of the real one of a process.
type proxyAddress struct {
	number int
	real   netip.AddrPort
	udp    *net.UDPConn
	tcp    *net.TCPListener
}

// link is the state of the link of an ordered pair of processes.
type link struct {
	mu     sync.Mutex
	faults Link
	rng    *rand.Rand
	sentBy time.Time // when all earlier packets will have been sent
}

// New returns a net without processes.
func New(seed uint64) *Net {
	return &Net{seed: seed, senders: map[netip.Addr]int{}, links: map[[2]int]*link{}, closed: make(chan struct{})}
}

// Add adds a process that listens on an address for datagrams and connections, and sends only from the host of that
// address. It returns the number of the process and the address that the other processes must use.
func (network *Net) Add(address netip.AddrPort) (number int, advertised netip.AddrPort, err error) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if _, exists := network.senders[address.Addr()]; exists {
		return 0, netip.AddrPort{}, fmt.Errorf("fault: two processes send from %s", address.Addr())
	}
	proxy := &proxyAddress{number: len(network.proxies), real: address}
	for range 10 { // the port chosen for UDP may be in use for TCP
		if proxy.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return 0, netip.AddrPort{}, fmt.Errorf("fault: %w", err)
		}
		advertised = proxy.udp.LocalAddr().(*net.UDPAddr).AddrPort()
		if proxy.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(advertised)); err == nil {
			break
		}
		proxy.udp.Close()
	}
	if err != nil {
		return 0, netip.AddrPort{}, fmt.Errorf("fault: %w", err)
	}
	network.senders[address.Addr()] = proxy.number
	network.proxies = append(network.proxies, proxy)
	network.workers.Go(func() { network.forwardDatagrams(proxy) })
	network.workers.Go(func() { network.acceptConnections(proxy) })
	return proxy.number, advertised, nil
}

// Set sets the faults of each link from one of the processes in from to one in to. An empty list means all processes.
func (network *Net) Set(from, to []int, faults Link) {
	network.mu.Lock()
	all := make([]int, len(network.proxies))
	for sender := range all {
		all[sender] = sender
	}
	network.mu.Unlock()
	if len(from) == 0 {
		from = all
	}
	if len(to) == 0 {
		to = all
	}
	for _, sender := range from {
		for _, receiver := range to {
			if sender == receiver {
				continue
			}
			link := network.link(sender, receiver)
			link.mu.Lock()
			link.faults = faults
			link.mu.Unlock()
			network.mu.Lock()
			network.events = append(network.events, Event{time.Now(), sender, receiver, faults})
			network.mu.Unlock()
		}
	}
}

// Events returns all changes of faults, in order.
func (network *Net) Events() []Event {
	network.mu.Lock()
	defer network.mu.Unlock()
	return slices.Clone(network.events)
}

// Number returns a number that no other net on this machine has at the time: the port of the first proxy address.
func (network *Net) Number() int {
	network.mu.Lock()
	defer network.mu.Unlock()
	if len(network.proxies) == 0 {
		return 0
	}
	return network.proxies[0].udp.LocalAddr().(*net.UDPAddr).Port
}

// UnknownSenders returns the number of datagrams and connections from hosts that belong to no process.
func (network *Net) UnknownSenders() uint64 { return network.unknownSenders.Load() }

// Close closes all links and waits until they have ended.
func (network *Net) Close() {
	close(network.closed)
	network.mu.Lock()
	for _, proxy := range network.proxies {
		proxy.udp.Close()
		proxy.tcp.Close()
	}
	network.mu.Unlock()
	network.workers.Wait()
}

// link returns the link from one process to another.
func (network *Net) link(from, to int) *link {
	network.mu.Lock()
	defer network.mu.Unlock()
	entry := network.links[[2]int{from, to}]
	if entry == nil {
		entry = &link{rng: rand.New(rand.NewPCG(network.seed, uint64(from)<<32|uint64(to)))}
		network.links[[2]int{from, to}] = entry
	}
	return entry
}

// sender returns the process that sends from a host.
func (network *Net) sender(host netip.Addr) (int, bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	number, ok := network.senders[host.Unmap()]
	if !ok {
		network.unknownSenders.Add(1)
	}
	return number, ok
}

// currentFaults returns the current faults of the link.
func (link *link) currentFaults() Link {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.faults
}

// packetFault is the fault drawn for one datagram or one chunk of a stream.
type packetFault struct {
	lost   bool
	copies int
	delay  time.Duration
	garble int // index of the byte to change; -1: none
}

// draw draws the faults of a packet. It always draws the same number of random numbers, so that a change of faults does
// not affect the random numbers of later packets.
func (link *link) draw(size int) packetFault {
	link.mu.Lock()
	defer link.mu.Unlock()
	faults := link.faults
	loss, double, reorder, garble, jitter, index := link.rng.Float64(), link.rng.Float64(), link.rng.Float64(), link.rng.Float64(), link.rng.Float64(), link.rng.IntN(max(size, 1))
	drawn := packetFault{lost: faults.Cut || loss < faults.Loss, copies: 1, garble: -1, delay: time.Duration((faults.DelayMS + jitter*faults.JitterMS) * float64(time.Millisecond))}
	if double < faults.Double {
		drawn.copies = 2
	}
	if reorder < faults.Reorder {
		drawn.delay += reorderDelay
	}
	if garble < faults.Garble {
		drawn.garble = index
	}
	if faults.BytesPerS > 0 {
		now := time.Now()
		link.sentBy = link.sentBy.Add(max(0, now.Sub(link.sentBy))).Add(time.Duration(float64(size) / faults.BytesPerS * float64(time.Second)))
		queue := link.sentBy.Sub(now)
		drawn.delay += queue
		drawn.lost = drawn.lost || queue > maxQueueTime
	}
	return drawn
}

// forwardDatagrams forwards the datagrams to a process.
func (network *Net) forwardDatagrams(proxy *proxyAddress) {
	buffer := make([]byte, 64<<10)
	for {
		size, source, err := proxy.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		sender, ok := network.sender(source.Addr())
		if !ok {
			continue
		}
		fault := network.link(sender, proxy.number).draw(size)
		if fault.lost || network.delayed.Load() >= maxPackets {
			continue
		}
		raw := slices.Clone(buffer[:size])
		if fault.garble >= 0 && size > 0 {
			raw[fault.garble] ^= 0x5a
		}
		for range fault.copies {
			if fault.delay <= 0 {
				_, _ = proxy.udp.WriteToUDPAddrPort(raw, proxy.real)
				continue
			}
			network.delayed.Add(1)
			time.AfterFunc(fault.delay, func() {
				network.delayed.Add(-1)
				_, _ = proxy.udp.WriteToUDPAddrPort(raw, proxy.real)
			})
		}
	}
}

// acceptConnections forwards the connections to a process.
func (network *Net) acceptConnections(proxy *proxyAddress) {
	for {
		conn, err := proxy.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		sender, ok := network.sender(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		if !ok {
			conn.Close()
			continue
		}
		network.workers.Go(func() { network.forwardStream(conn, sender, proxy) })
	}
}

// forwardStream forwards a connection in both directions, each over its link.
func (network *Net) forwardStream(client *net.TCPConn, from int, proxy *proxyAddress) {
	defer client.Close()
	forth, back := network.link(from, proxy.number), network.link(proxy.number, from)
	if forth.currentFaults().Reset {
		client.SetLinger(0)
		return
	}
	if !network.awaitPassable(forth, back) { // the net was closed before the link could carry a connection
		return
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", proxy.real.String())
	if err != nil {
		client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	stop := make(chan struct{})
	go func() { // closes the connections when the net is closed
		select {
		case <-network.closed:
			client.Close()
			server.Close()
		case <-stop:
		}
	}()
	var directions sync.WaitGroup
	directions.Go(func() { network.forward(server, client, forth) })
	directions.Go(func() { network.forward(client, server, back) })
	directions.Wait()
	close(stop)
}

// awaitPassable waits until none of the links is cut or stalled; a handshake needs both directions. It returns false if
// the net is closed meanwhile.
func (network *Net) awaitPassable(links ...*link) bool {
	for {
		passable := true
		for _, link := range links {
			faults := link.currentFaults()
			passable = passable && !faults.Cut && !faults.Stall
		}
		if passable {
			return true
		}
		select {
		case <-network.closed:
			return false
		case <-time.After(pollInterval):
		}
	}
}

// forward forwards one direction of a stream, chunk by chunk.
func (network *Net) forward(to, from *net.TCPConn, link *link) {
	buffer := make([]byte, chunkSize)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			fault, faults := link.draw(size), link.currentFaults()
			if faults.Reset {
				to.SetLinger(0)
				from.SetLinger(0)
				to.Close()
				from.Close()
				return
			}
			if fault.garble >= 0 {
				buffer[fault.garble] ^= 0x5a
			}
			if fault.lost && !faults.Cut {
				fault.delay += retransmitDelay
			}
			time.Sleep(fault.delay)
			if !network.awaitPassable(link) {
				return
			}
			if _, err := to.Write(buffer[:size]); err != nil {
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
