// Package peer implements the messages between the routers of a cluster: sockets, authentication, size limits, and the
// replication of state. Package policy/membership decides which members are alive, and package policy/crdt holds the
// replicated state. A client request waits for messages of other members only in State.LearnDurably, up to a timeout.
//
// A session identifies a router process to its peers: it is a random number that the process draws at its start.
// Each message names the session that it is addressed to, so that a message recorded for an earlier session is
// rejected.
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
	viewInterval        = 100 * time.Millisecond
	queueCapacity       = 256 // received messages; when the queue is full, further messages are dropped and counted
	maxDatagramsPerSlot = 40  // datagrams read per readSlot; others wait in the socket's buffer, or are lost if it is full
	readSlot            = 10 * time.Millisecond
	socketBufferBytes   = 256 << 10
	maxSenders          = 4 // long messages sent over TCP at the same time; further ones are dropped
	maxReceivers        = 8 // connections read at the same time; further ones wait in the listener's backlog
	connectionTimeout   = time.Second
	maxSessions         = 4096 // limit of addresses with a recorded session, and of sessions with a recorded receive window
	maxPending          = 64   // limit of messages stored for addresses without a known session
	pendingLifetime     = int64(time.Second)
)

// Options are the settings of Peers.
type Options struct {
	Cluster      string
	Listen       string // address and port, for UDP and TCP; with port 0, the system chooses the port
	Membership   membership.Settings
	Keys         [][]byte
	Zones        map[string]string      // zones by router name; a router prefers to catch up from its own zone
	OnViewChange func(*membership.View) // called on Run's goroutine when the view has changed; must not block
	State        *State                 // replicated state; nil disables replication
	Now          func() int64           // this router's clock, in nanoseconds
}

// Counts are the numbers of messages since the start.
type Counts struct {
	Sent            uint64 `json:"sent"`
	SentBytes       uint64 `json:"sent_bytes"`
	Accepted        uint64 `json:"taken"`
	Malformed       uint64 `json:"garbage"`     // not of this protocol, or impossible to decode
	OtherVersion    uint64 `json:"versions"`    // of another protocol version
	Unauthenticated uint64 `json:"strangers"`   // not signed with a known key
	OtherCluster    uint64 `json:"foreign"`     // of another cluster
	Replayed        uint64 `json:"replayed"`    // duplicates, and messages that this process sent itself
	Outdated        uint64 `json:"outdated"`    // addressed to another session; answered with the current one
	QueueFull       uint64 `json:"full"`        // dropped because the queue was full
	NotSent         uint64 `json:"not_sent"`    // too many long messages were being sent, or the send failed
	Connections     uint64 `json:"connections"` // accepted TCP connections
	CorruptPieces   uint64 `json:"spoiled"`     // catch-up pieces with a wrong checksum
	MissingEntries  uint64 `json:"differed"`    // entries older than missingAfter that were missing here
}

type counters struct {
	sent, sentBytes, accepted, malformed, otherVersion, unauthenticated, otherCluster, replayed, outdated, queueFull,
	notSent, connections, corruptPieces, missingEntries atomic.Uint64
}

// Peers sends and receives one router's messages to the other members.
type Peers struct {
	options           Options
	udp               *net.UDPConn
	tcp               *net.TCPListener
	session           uint64
	lastSequence      uint64
	keys              atomic.Pointer[[][]byte]
	received          chan *envelope
	calls             chan func()
	senderSlots       chan struct{}
	view              atomic.Pointer[membership.View]
	counts            counters
	replicationReport atomic.Pointer[replicationReport]

	// Owned by Run's goroutine:
	detector         *membership.Detector
	sessionByAddress map[string]uint64 // the last known session at each address
	receiveWindows   map[uint64]*receiveWindow
	pending          map[string]pendingMessage
	replication      replication
}

// pendingMessage is a message to an address whose session is not known yet.
type pendingMessage struct {
	createdAt int64
	message   membership.Message
}

// Listen opens the sockets. Nothing is sent before Run.
func Listen(options Options) (*Peers, error) {
	listenAddress, err := netip.ParseAddrPort(options.Listen)
	if err != nil {
		return nil, &ListenError{options.Listen, err}
	}
	peers := &Peers{options: options, session: rand.Uint64() | 1, received: make(chan *envelope, queueCapacity),
		calls: make(chan func()), senderSlots: make(chan struct{}, maxSenders), sessionByAddress: map[string]uint64{},
		receiveWindows: map[uint64]*receiveWindow{}, pending: map[string]pendingMessage{}}
	peers.keys.Store(&options.Keys)
	for attempt := 0; ; attempt++ { // with port 0, the port chosen for UDP may be in use for TCP
		if peers.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAddress)); err != nil {
			return nil, &ListenError{options.Listen, err}
		}
		if peers.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(peers.udp.LocalAddr().(*net.UDPAddr).AddrPort())); err == nil {
			break
		}
		peers.udp.Close()
		if listenAddress.Port() != 0 || attempt == 10 {
			return nil, &ListenError{options.Listen, err}
		}
	}
	_ = peers.udp.SetReadBuffer(socketBufferBytes) // the system may set a smaller size
	if peers.options.Membership.Address == "" {
		peers.options.Membership.Address = peers.udp.LocalAddr().String()
	}
	if peers.detector, err = membership.New(peers.options.Membership, rand.Uint64(), options.Now()); err != nil {
		peers.close()
		return nil, err
	}
	if options.State != nil {
		if peers.replication, err = newReplication(options.Now()); err != nil {
			peers.close()
			return nil, err
		}
	}
	view := peers.detector.View()
	peers.view.Store(&view)
	return peers, nil
}

func (peers *Peers) close() {
	peers.udp.Close()
	peers.tcp.Close()
}

// Address returns the address at which other routers reach this one.
func (peers *Peers) Address() string { return peers.options.Membership.Address }

// View returns the latest view, which must not be modified.
func (peers *Peers) View() *membership.View { return peers.view.Load() }

// Counts returns the current counts.
func (peers *Peers) Counts() Counts {
	counts := &peers.counts
	return Counts{counts.sent.Load(), counts.sentBytes.Load(), counts.accepted.Load(), counts.malformed.Load(),
		counts.otherVersion.Load(), counts.unauthenticated.Load(), counts.otherCluster.Load(), counts.replayed.Load(),
		counts.outdated.Load(), counts.queueFull.Load(), counts.notSent.Load(), counts.connections.Load(),
		counts.corruptPieces.Load(), counts.missingEntries.Load()}
}

// SetKeys replaces the keys.
func (peers *Peers) SetKeys(keys [][]byte) { peers.keys.Store(&keys) }

// Run takes part in membership and replication until the context is done, and then closes the sockets.
func (peers *Peers) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { peers.readDatagrams(ctx) })
	parts.Go(func() { peers.acceptConnections(ctx) })
	defer parts.Wait()
	defer peers.close()
	// Timeouts fire half a tick late on average, and the ticks must be frequent enough to detect a pause of the process
	// as a gap between two ticks. They are no more frequent than that, because waking the process at each tick causes
	// most of the CPU use of membership.
	ticker := time.NewTicker(time.Duration(min(peers.options.Membership.AckTimeout/2, peers.options.Membership.MaxTickGap/3)))
	defer ticker.Stop()
	defer peers.replication.stop()
	publishedAt := peers.options.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-peers.received:
			peers.receive(message)
		case call := <-peers.calls:
			call()
		case <-peers.options.State.changes():
			peers.scheduleReplication(peers.options.Now())
		case <-peers.replication.timerChannel():
			peers.replication.timerAt = 0
			peers.replicate(peers.options.Now())
		case <-ticker.C:
			now := peers.options.Now()
			peers.sendMembership(peers.detector.Tick(now))
			peers.replicate(now)
			if now-publishedAt >= int64(viewInterval) {
				publishedAt = now
				peers.publish()
			}
		}
	}
}

// publish stores the current view, and calls OnViewChange if it has changed.
func (peers *Peers) publish() {
	view := peers.detector.View()
	previous := peers.view.Swap(&view)
	if peers.options.OnViewChange != nil && viewChanged(previous, &view) {
		peers.options.OnViewChange(&view)
	}
}

// Leave notifies the other members that this router leaves. After Leave, this router sends no more messages.
func (peers *Peers) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case peers.calls <- func() { peers.sendMembership(peers.detector.Leave(peers.options.Now())); peers.publish(); close(done) }:
		<-done
	case <-ctx.Done():
	}
}
