package membership

import (
	"maps"
	"slices"

	"lotushook/policy/clock"
	"lotushook/policy/quotalease"
)

// Tuned values, all in the terms of the settings.
const (
	maxIndirectChecks    = 8
	maxRelays            = 64  // questions asked for others that are still open
	maxGoodbyes          = 64  // who hear it from a member itself that it leaves
	maxHealthScore       = 8   // how far Lifeguard's local health stretches waits
	isolatedRounds       = 4   // questions in a row without any answer, to at least two members: this router is cut off
	contactEvery         = 5   // periods between knocks at a member that is gone, or a seed that is not there
	recentlyHeardPeriods = 4.0 // of ProbeInterval: who was heard so lately is not doubted on another's word alone
)

// Detector is one member's knowledge of all. It belongs to one goroutine and is bounded by Settings.MaxMembers.
type Detector struct {
	settings     Settings
	now          clock.Nanos
	rng          uint64
	self         Update
	since        clock.Nanos
	peers        map[string]*peer
	order        []*peer  // the same, by name
	probeOrder   []string // the order in which members are asked, drawn anew each time round
	probe        *probe
	nextProbeAt  clock.Nanos // when the next is asked
	rounds       int
	seq          uint32
	health       int
	unanswered   int // questions in a row that nobody answered
	unansweredBy string
	isolated     bool
	nameTaken    bool
	left         bool
	relays       map[uint32]relay
	updates      []queuedUpdate
	out          []Message
	allowed      map[string]bool   // the installation's names; nil: anybody
	lease        *quotalease.Lease // nil: fixed
	nextSyncAt   clock.Nanos       // when somebody is asked for all it knows, so that what gossip missed is known in the end
	syncInterval clock.Nanos       // until the next time after it
	syncTaught   bool              // the last time taught something

	majority   bool
	majorityAt clock.Nanos
}

type probe struct {
	name         string
	seq          uint32
	sentAt       clock.Nanos
	escalated    bool
	answers      int // from helpers, of either kind
	helpersAsked int
}

type relay struct {
	address    string // of who asked
	seq        uint32
	target     string
	receivedAt clock.Nanos
	nacked     bool
}

// New returns a member that knows itself and its seeds.
func New(s Settings, seed uint64, now clock.Nanos) (*Detector, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	m := &Detector{settings: s, now: now, rng: seed, since: now, nextProbeAt: now, peers: map[string]*peer{}, relays: map[uint32]relay{},
		self: Update{Name: s.Name, Address: s.Address, Epoch: s.Epoch, State: Alive}, majorityAt: now}
	if s.Allowed != nil {
		p, err := quotalease.New(quotalease.Settings{Names: s.Allowed, Self: s.Name, Term: s.Term(), IsolatedShare: s.IsolatedShare}, now)
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

// draw is seeded, from 0 to 1.
func (m *Detector) draw() float64 {
	m.rng = m.rng*6364136223846793005 + 1442695040888963407
	return float64(m.rng>>11) / (1 << 53)
}

// Tick moves time on and returns what to send. It is to be called about twice a Wait.
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

// resumeAfterGap is a pause of this process, from whatever cause: what ran out meanwhile proves nothing, as nobody listened.
func (m *Detector) resumeAfterGap(gap clock.Nanos) {
	for _, p := range m.peers {
		p.suspectSince += gap
		p.HeardAt += gap
	}
	m.probe, m.nextProbeAt = nil, m.nextProbeAt+gap
	clear(m.relays)
	m.self.Incarnation++ // whoever accused it meanwhile is answered before it is heard
	m.broadcast(m.self)
}

// expire ends doubts whose time is over, and forgets who is gone for long.
func (m *Detector) expire() {
	for _, p := range slices.Clone(m.order) {
		switch {
		case p.State == Suspect && m.settings.Lifeguard && p.HeardAt > p.suspectSince:
			m.setState(p, Alive) // it speaks: no word of others goes before that
		case p.State == Suspect && m.isolated:
			p.suspectSince = m.now // who hears nobody can't say who is dead
		case p.State == Suspect && m.now-p.suspectSince >= m.suspicionTimeout(p):
			m.setState(p, p.finalState)
		case p.State == Isolated && m.now-p.HeardAt >= m.settings.MaxSuspicion && !m.isolated:
			m.accuse(p, m.settings.Name, Dead)
		case p.State >= Dead && m.now-p.Since >= m.settings.ForgetAfter:
			m.remove(p)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(m.relays)) { // in a stated order, or a play could not be repeated
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

// Leave says goodbye to as many as can be told in one go; nothing is sent after it.
func (m *Detector) Leave(now clock.Nanos) []Message {
	m.now, m.out = max(m.now, now), nil
	m.self.State, m.left = Left, true
	for _, p := range m.randomPeers(maxGoodbyes, "") {
		m.send(Message{Kind: Ack, To: p.Address, Target: m.settings.Name})
	}
	return m.out
}

// setState changes a member's state and tells it.
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

// accuse doubts a member, or counts one more accuser.
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
		m.broadcast(p.Update) // its share of the doubt travels on
	}
}
