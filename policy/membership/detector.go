package membership

import (
	"maps"
	"slices"

	"lotushook/policy/clock"
	"lotushook/policy/quotalease"
)

const (
	maxIndirectChecks    = 8
	maxRelays            = 64  // indirect checks in flight for other members
	maxLeaveNotices      = 64  // members that are notified directly when this router leaves
	maxHealthScore       = 8   // maximum of Lifeguard's local health score: the higher, the longer the timeouts
	isolatedAfterProbes  = 4   // a router is isolated after this many consecutive unanswered probes
	contactPeriods       = 5   // probe intervals between contacts with a dead member or an unknown seed
	recentlyHeardPeriods = 4.0 // probe intervals; a member heard from within them is not suspected on a report alone
)

// Detector is the failure detector of one member. It is not safe for concurrent use; Settings.MaxMembers bounds its
// size.
type Detector struct {
	settings            Settings
	now                 clock.Nanos
	rng                 uint64
	self                Update
	startedAt           clock.Nanos
	peers               map[string]*peerState
	sortedPeers         []*peerState // the values of peers, by name
	probeOrder          []string     // names of the members still to be probed in this round, in random order
	probe               *pendingProbe
	nextProbeAt         clock.Nanos
	probePeriods        int
	lastSeq             uint32
	healthScore         int
	unansweredProbes    int // consecutive probes without any answer
	lastUnansweredName  string
	isolated            bool
	duplicateName       bool
	hasLeft             bool
	relays              map[uint32]relayedProbe
	queuedUpdates       []queuedUpdate
	outgoing            []Message
	allowedNames        map[string]bool   // nil: any
	quotaLease          *quotalease.Lease // nil: quota shares are fixed
	nextSyncAt          clock.Nanos       // when a member's full state is requested next, which repairs missed gossip
	syncInterval        clock.Nanos       // time between two requests for the full state
	lastSyncAddedMember bool

	hasMajority       bool
	majorityChangedAt clock.Nanos
}

type pendingProbe struct {
	name          string
	seq           uint32
	sentAt        clock.Nanos
	indirectSent  bool
	helperAnswers int // number of acks and nacks from helpers
	helperCount   int
}

// relayedProbe is an indirect check in flight for another member.
type relayedProbe struct {
	requester    string // address of the member that requested it
	requesterSeq uint32
	target       string
	receivedAt   clock.Nanos
	nacked       bool
}

// New returns a detector without peers.
func New(settings Settings, seed uint64, now clock.Nanos) (*Detector, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	detector := &Detector{settings: settings, now: now, rng: seed, startedAt: now, nextProbeAt: now, peers: map[string]*peerState{}, relays: map[uint32]relayedProbe{},
		self: Update{Name: settings.Name, Address: settings.Address, Epoch: settings.Epoch, State: Alive}, majorityChangedAt: now}
	if settings.AllowedNames != nil {
		lease, err := quotalease.New(quotalease.Settings{RouterNames: settings.AllowedNames, Self: settings.Name, Term: settings.Term(), IsolatedShare: settings.IsolatedShare}, now)
		if err != nil {
			return nil, err
		}
		detector.quotaLease, detector.allowedNames = lease, map[string]bool{}
		for _, name := range settings.AllowedNames {
			detector.allowedNames[name] = true
		}
	}
	detector.queueUpdate(detector.self)
	detector.updateMajority()
	return detector, nil
}

// random returns a seeded pseudorandom number from 0 to 1.
func (d *Detector) random() float64 {
	d.rng = d.rng*6364136223846793005 + 1442695040888963407
	return float64(d.rng>>11) / (1 << 53)
}

// Tick advances time and returns the messages to send. It should be called about twice per Settings.AckTimeout.
func (d *Detector) Tick(now clock.Nanos) []Message {
	if gap := now - d.now; gap > d.settings.MaxTickGap && d.settings.Lifeguard {
		d.resumeAfterGap(gap)
	}
	d.now = max(d.now, now)
	d.outgoing = nil
	if d.hasLeft || d.duplicateName {
		return nil
	}
	d.expire()
	d.checkProbe()
	if d.probe == nil && d.now >= d.nextProbeAt {
		d.startProbe()
	}
	d.updateMajority()
	return d.outgoing
}

// resumeAfterGap handles a pause of this process. Timeouts that expired during the pause are extended, because this
// process could not have received an answer.
func (d *Detector) resumeAfterGap(gap clock.Nanos) {
	for _, peer := range d.peers {
		peer.suspectedAt += gap
		peer.LastHeardAt += gap
	}
	d.probe, d.nextProbeAt = nil, d.nextProbeAt+gap
	clear(d.relays)
	d.self.Incarnation++ // refutes suspicions that others raised during the pause
	d.queueUpdate(d.self)
}

// expire ends suspicions that have timed out, and removes members that have been dead or departed for ForgetAfter.
func (d *Detector) expire() {
	for _, peer := range slices.Clone(d.sortedPeers) {
		switch {
		case peer.State == Suspect && d.settings.Lifeguard && peer.LastHeardAt > peer.suspectedAt:
			d.setState(peer, Alive) // a message from the member itself outweighs the reports of others
		case peer.State == Suspect && d.isolated:
			peer.suspectedAt = d.now // an isolated router can't tell which members are dead
		case peer.State == Suspect && d.now-peer.suspectedAt >= d.suspicionTimeout(peer):
			d.setState(peer, peer.finalState)
		case peer.State == Isolated && d.now-peer.LastHeardAt >= d.settings.MaxSuspicion && !d.isolated:
			d.suspectPeer(peer, d.settings.Name, Dead)
		case peer.State >= Dead && d.now-peer.Since >= d.settings.ForgetAfter:
			d.removePeer(peer)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(d.relays)) { // fixed order, so that runs can be replayed
		relayed := d.relays[seq]
		switch {
		case d.now-relayed.receivedAt >= d.settings.ProbeInterval:
			delete(d.relays, seq)
		case !relayed.nacked && d.now-relayed.receivedAt >= d.settings.AckTimeout:
			relayed.nacked = true
			d.relays[seq] = relayed
			d.send(Message{Kind: Nack, To: relayed.requester, Seq: relayed.requesterSeq, Target: relayed.target})
		}
	}
}

// Leave returns messages that notify up to maxLeaveNotices members that this router leaves. After Leave, the detector
// sends nothing more.
func (d *Detector) Leave(now clock.Nanos) []Message {
	d.now, d.outgoing = max(d.now, now), nil
	d.self.State, d.hasLeft = Left, true
	for _, peer := range d.randomPeers(maxLeaveNotices, "") {
		d.send(Message{Kind: Ack, To: peer.Address, Target: d.settings.Name})
	}
	return d.outgoing
}

// setState changes a member's state and queues the update.
func (d *Detector) setState(peer *peerState, state State) {
	if peer.State == state {
		return
	}
	peer.State, peer.Since, peer.ReportedBy = state, d.now, ""
	if state != Suspect {
		peer.reporters, peer.probeNext = nil, false
	} else {
		peer.suspectedAt = d.now
	}
	if state == Dead {
		peer.ReportedBy = d.settings.Name
	}
	d.queueUpdate(peer.Update)
}

// suspectPeer makes a member a suspect, or adds a reporter to its suspicion. finalState is Dead or Left: the state that
// the reporter claims, which the member gets when the suspicion times out.
func (d *Detector) suspectPeer(peer *peerState, reporter string, finalState State) {
	if peer.State >= Dead {
		return
	}
	if peer.State != Suspect {
		d.setState(peer, Suspect)
		peer.finalState = Dead
	}
	peer.finalState = max(peer.finalState, finalState)
	if len(peer.reporters) <= d.settings.Confirmations && !slices.Contains(peer.reporters, reporter) {
		peer.reporters = append(peer.reporters, reporter)
		peer.ReportedBy = reporter
		d.queueUpdate(peer.Update) // propagates this reporter's confirmation
	}
}
