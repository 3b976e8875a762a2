package membership

import (
	"maps"
	"slices"

	"lotushook/policy/clock"
	"lotushook/policy/quotalease"
)

// Tuned values, in units of the settings.
const (
	maxIndirectChecks    = 8
	maxRelays            = 64  // open indirect checks for other members
	maxGoodbyes          = 64  // direct notifications of a member's own leaving
	maxHealthScore       = 8   // the maximum of Lifeguard's local health score, which lengthens timeouts
	isolatedRounds       = 4   // probes in a row without any answer, to at least two members: this router is isolated
	contactEvery         = 5   // periods between contacts with a member that is removed, or a seed that is unknown
	recentlyHeardPeriods = 4.0 // of ProbeInterval: a member heard so recently is not suspected on another's report alone
)

// Detector is one member's knowledge of all. It is not safe for concurrent use, and is bounded by Settings.MaxMembers.
type Detector struct {
	settings     Settings
	now          clock.Nanos
	rng          uint64
	self         Update
	since        clock.Nanos
	peers        map[string]*peer
	order        []*peer  // the same, by name
	probeOrder   []string // the order in which members are probed, drawn anew for each round
	probe        *probe
	nextProbeAt  clock.Nanos // when the next member is probed
	rounds       int
	seq          uint32
	health       int
	unanswered   int // probes in a row without any answer
	unansweredBy string
	isolated     bool
	nameTaken    bool
	left         bool
	relays       map[uint32]relay
	updates      []queuedUpdate
	out          []Message
	allowed      map[string]bool   // the installation's names; nil: any
	lease        *quotalease.Lease // nil: fixed
	nextSyncAt   clock.Nanos       // when a member is requested to send its full state, so that what gossip missed is learned in the end
	syncInterval clock.Nanos       // until the next request after it
	syncTaught   bool              // the last state reply taught something

	majority   bool
	majorityAt clock.Nanos
}

type probe struct {
	name         string
	seq          uint32
	sentAt       clock.Nanos
	escalated    bool
	answers      int // from helpers, acks and nacks
	helpersAsked int
}

type relay struct {
	address    string // of the member that asked
	seq        uint32
	target     string
	receivedAt clock.Nanos
	nacked     bool
}

// New returns a detector that knows itself and its seeds.
func New(s Settings, seed uint64, now clock.Nanos) (*Detector, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	m := &Detector{settings: s, now: now, rng: seed, since: now, nextProbeAt: now, peers: map[string]*peer{}, relays: map[uint32]relay{},
		self: Update{Name: s.Name, Address: s.Address, Epoch: s.Epoch, State: Alive}, majorityAt: now}
	if s.Allowed != nil {
		p, err := quotalease.New(quotalease.Settings{RouterNames: s.Allowed, Self: s.Name, Term: s.Term(), IsolatedShare: s.IsolatedShare}, now)
		if err != nil {
			return nil, err
		}
		m.lease, m.allowed = p, map[string]bool{}
		for _, name := range s.Allowed {
			m.allowed[name] = true
		}
	}
	m.broadcast(m.self)
	m.updateMajority()
	return m, nil
}

// draw returns a seeded number from 0 to 1.
func (m *Detector) draw() float64 {
	m.rng = m.rng*6364136223846793005 + 1442695040888963407
	return float64(m.rng>>11) / (1 << 53)
}

// Tick advances time and returns the messages to send. It should be called about twice per AckTimeout.
func (m *Detector) Tick(now clock.Nanos) []Message {
	if gap := now - m.now; gap > m.settings.MaxTickGap && m.settings.Lifeguard {
		m.resumeAfterGap(gap)
	}
	m.now = max(m.now, now)
	m.out = nil
	if m.left || m.nameTaken {
		return nil
	}
	m.expire()
	m.checkProbe()
	if m.probe == nil && m.now >= m.nextProbeAt {
		m.startProbe()
	}
	m.updateMajority()
	return m.out
}

// resumeAfterGap handles a pause of this process, from whatever cause: timeouts that ran out meanwhile prove nothing.
func (m *Detector) resumeAfterGap(gap clock.Nanos) {
	for _, p := range m.peers {
		p.suspectSince += gap
		p.HeardAt += gap
	}
	m.probe, m.nextProbeAt = nil, m.nextProbeAt+gap
	clear(m.relays)
	m.self.Incarnation++ // accusations made meanwhile are refuted before they arrive
	m.broadcast(m.self)
}

// expire ends suspicions that have timed out, and forgets members that were removed long ago.
func (m *Detector) expire() {
	for _, p := range slices.Clone(m.order) {
		switch {
		case p.State == Suspect && m.settings.Lifeguard && p.HeardAt > p.suspectSince:
			m.setState(p, Alive) // it was heard itself: that prevails over others' reports
		case p.State == Suspect && m.isolated:
			p.suspectSince = m.now // an isolated router can't judge who is dead
		case p.State == Suspect && m.now-p.suspectSince >= m.suspicionTimeout(p):
			m.setState(p, p.finalState)
		case p.State == Isolated && m.now-p.HeardAt >= m.settings.MaxSuspicion && !m.isolated:
			m.accuse(p, m.settings.Name, Dead)
		case p.State >= Dead && m.now-p.Since >= m.settings.ForgetAfter:
			m.remove(p)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(m.relays)) { // in a fixed order, so that runs can be replayed
		r := m.relays[seq]
		switch {
		case m.now-r.receivedAt >= m.settings.ProbeInterval:
			delete(m.relays, seq)
		case !r.nacked && m.now-r.receivedAt >= m.settings.AckTimeout:
			r.nacked = true
			m.relays[seq] = r
			m.send(Message{Kind: Nack, To: r.address, Seq: r.seq, Target: r.target})
		}
	}
}

// Leave notifies as many members as can be notified at once; nothing is sent after it.
func (m *Detector) Leave(now clock.Nanos) []Message {
	m.now, m.out = max(m.now, now), nil
	m.self.State, m.left = Left, true
	for _, p := range m.randomPeers(maxGoodbyes, "") {
		m.send(Message{Kind: Ack, To: p.Address, Target: m.settings.Name})
	}
	return m.out
}

// setState changes a member's state and broadcasts it.
func (m *Detector) setState(p *peer, s State) {
	if p.State == s {
		return
	}
	p.State, p.Since, p.Accuser = s, m.now, ""
	if s != Suspect {
		p.accusers, p.probeSoon = nil, false
	} else {
		p.suspectSince = m.now
	}
	if s == Dead {
		p.Accuser = m.settings.Name
	}
	m.broadcast(p.Update)
}

// accuse suspects a member, or counts one more accuser.
func (m *Detector) accuse(p *peer, by string, doom State) {
	if p.State >= Dead {
		return
	}
	if p.State != Suspect {
		m.setState(p, Suspect)
		p.finalState = Dead
	}
	p.finalState = max(p.finalState, doom)
	if len(p.accusers) <= m.settings.Confirmations && !slices.Contains(p.accusers, by) {
		p.accusers = append(p.accusers, by)
		p.Accuser = by
		m.broadcast(p.Update) // its part of the suspicion is passed on
	}
}
