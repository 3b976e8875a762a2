package membership

import (
	"cmp"
	"maps"
	"math"
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

type peer struct {
	Member
	suspectSince clock.Nanos // since when it is a suspect
	accusers     []string    // distinct
	finalState   State       // what it becomes when the doubt ends: Dead, or Left
	probeSoon    bool        // to be asked out of turn
	rivalSince   clock.Nanos // when a younger process of its name was first met; 0: never
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

type queuedUpdate struct {
	Update
	transmits int
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

// suspicionTimeout is how long a suspect has: the more accuse it, the shorter (Lifeguard). Who misses answers itself, on a
// slow machine or over lossy links, gives more.
func (m *Detector) suspicionTimeout(p *peer) clock.Nanos {
	if !m.settings.Lifeguard {
		return m.settings.MaxSuspicion
	}
	return m.baseSuspicionTimeout(p) * clock.Nanos(2+m.health) / 2
}

func (m *Detector) baseSuspicionTimeout(p *peer) clock.Nanos {
	others := min(len(p.accusers)-1, m.settings.Confirmations)
	share := math.Log(float64(others)+1) / math.Log(float64(m.settings.Confirmations)+1)
	if m.settings.Confirmations == 0 {
		share = 1
	}
	return max(m.settings.MinSuspicion, m.settings.MaxSuspicion-clock.Nanos(share*float64(m.settings.MaxSuspicion-m.settings.MinSuspicion)))
}

// stretch is a span as a member that may be slow itself should wait.
func (m *Detector) stretch(d clock.Nanos) clock.Nanos {
	if !m.settings.Lifeguard || m.isolated { // who is cut off accuses nobody, and wants to be heard
		return d
	}
	return d * clock.Nanos(1+m.health)
}

// checkProbe looks after the open question: helpers after a while, and doubt at its end.
func (m *Detector) checkProbe() {
	q := m.probe
	if q == nil {
		return
	}
	p := m.peers[q.name]
	if p == nil || p.State >= Dead {
		m.probe = nil
		return
	}
	if !q.escalated && m.now-q.sentAt >= m.stretch(m.settings.AckTimeout) {
		q.escalated = true
		for _, h := range m.randomPeers(m.settings.IndirectChecks, q.name) {
			q.helpersAsked++
			m.send(Message{Kind: IndirectPing, To: h.Address, Seq: q.seq, Target: q.name, TargetAddress: p.Address})
		}
	}
	if m.now-q.sentAt < m.stretch(m.settings.ProbeInterval) {
		return
	}
	m.probe = nil
	if m.settings.Lifeguard {
		m.health = min(m.health+q.helpersAsked-q.answers, maxHealthScore) // that one is dead says nothing of this router
		if q.answers == 0 {
			if m.unanswered++; m.unansweredBy != q.name {
				m.unansweredBy = q.name
				m.isolated = m.isolated || m.unanswered >= min(isolatedRounds, 2*max(m.aliveCount(), 1))
			}
		}
		if m.isolated || q.answers == 0 && q.helpersAsked > 0 { // not one of the helpers was heard: it may well be this router
			return
		}
		if p.State == Isolated { // it can't answer; it is judged by its own silence
			return
		}
	}
	m.accuse(p, m.settings.Name, Dead)
}

// aliveCount is how many others are neither dead nor gone.
func (m *Detector) aliveCount() int {
	n := 0
	for _, p := range m.order {
		if p.State < Dead {
			n++
		}
	}
	return n
}

// startProbe asks the next member, and now and then knocks where nobody is known to be.
func (m *Detector) startProbe() {
	m.nextProbeAt = max(m.nextProbeAt+m.settings.ProbeInterval, m.now)
	if m.rounds++; m.rounds%contactEvery == 0 || m.aliveCount() == 0 {
		m.contactLost()
	}
	m.syncState()
	p := m.nextToProbe()
	if p == nil {
		return
	}
	m.seq++
	m.probe = &probe{name: p.Name, seq: m.seq, sentAt: m.now}
	m.send(Message{Kind: Ping, To: p.Address, Seq: m.seq, Target: p.Name})
}

// syncState now and then asks somebody for all it knows: soon again while that teaches something, and at last once in as
// many periods as there are members, so that the bytes a second do not grow with them.
func (m *Detector) syncState() {
	if m.now < m.nextSyncAt {
		return
	}
	for _, p := range m.randomPeers(1, "") {
		if m.syncInterval *= 2; m.syncTaught {
			m.syncInterval = 0
		}
		m.syncInterval = max(contactEvery*m.settings.ProbeInterval, min(m.syncInterval, clock.Nanos(len(m.order))*m.settings.ProbeInterval))
		m.nextSyncAt, m.syncTaught = m.now+m.syncInterval, false
		m.send(Message{Kind: StateRequest, To: p.Address})
	}
}

// nextToProbe is who is asked: the others round and round in an order drawn anew each time, and in every second period one of
// those in doubt, so that each has several questions before its time is over.
func (m *Detector) nextToProbe() *peer {
	if m.rounds%2 == 0 && m.settings.Lifeguard {
		doubted := m.filterPeers(func(p *peer) bool { return p.State < Dead && (p.probeSoon || p.State == Suspect) })
		if len(doubted) > 0 {
			p := doubted[int(m.draw()*float64(len(doubted)))]
			p.probeSoon = false
			return p
		}
	}
	for range 2 {
		for len(m.probeOrder) > 0 {
			p := m.peers[m.probeOrder[0]]
			m.probeOrder = m.probeOrder[1:]
			if p != nil && p.State < Dead {
				return p
			}
		}
		for _, p := range m.order {
			m.probeOrder = append(m.probeOrder, p.Name)
		}
		shuffle(m, m.probeOrder)
	}
	return nil
}

// contactLost asks one that is gone, or a seed that is nobody's address, for all that it knows: halves of a split find each
// other again, and a router that started alone finds the others.
func (m *Detector) contactLost() {
	var doors []string
	here := map[string]bool{m.settings.Address: true}
	for _, p := range m.order {
		if p.State < Dead {
			here[p.Address] = true
		} else if p.State == Dead {
			doors = append(doors, p.Address)
		}
	}
	doors = append(doors, m.settings.Seeds...)
	doors = slices.DeleteFunc(doors, func(a string) bool { return here[a] })
	if len(doors) > 0 {
		m.send(Message{Kind: StateRequest, To: doors[int(m.draw()*float64(len(doors)))]})
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

// add and remove keep both ways to find a member.
func (m *Detector) add(p *peer) {
	m.peers[p.Name] = p
	at, _ := slices.BinarySearchFunc(m.order, p.Name, func(q *peer, name string) int { return cmp.Compare(q.Name, name) })
	m.order = slices.Insert(m.order, at, p)
}

func (m *Detector) remove(p *peer) {
	delete(m.peers, p.Name)
	m.order = slices.DeleteFunc(m.order, func(q *peer) bool { return q == p })
}

// filterPeers are the members of which something holds, by name.
func (m *Detector) filterPeers(hold func(*peer) bool) []*peer {
	var list []*peer
	for _, p := range m.order {
		if hold(p) {
			list = append(list, p)
		}
	}
	return list
}

func shuffle[T any](m *Detector, list []T) {
	for i := len(list) - 1; i > 0; i-- {
		j := int(m.draw() * float64(i+1))
		list[i], list[j] = list[j], list[i]
	}
}

// randomPeers draws members that are alive, but not one of a name.
func (m *Detector) randomPeers(n int, but string) []*peer {
	list := m.filterPeers(func(p *peer) bool { return p.Name != but && p.State == Alive })
	shuffle(m, list)
	return list[:min(n, len(list))]
}

// send puts this router's own word and the news least told into a message.
func (m *Detector) send(msg Message) {
	msg.From, msg.Address, msg.Epoch, msg.Isolated = m.settings.Name, m.settings.Address, m.self.Epoch, m.isolated
	most := m.settings.MaxUpdates
	if msg.Kind == StateReply {
		most = 0
	}
	msg.Updates = append([]Update{m.self}, msg.Updates...)
	limit := int(math.Ceil(m.settings.RetransmitFactor * math.Log2(float64(len(m.peers)+2))))
	slices.SortStableFunc(m.updates, func(x, y queuedUpdate) int { return cmp.Compare(x.transmits, y.transmits) })
	for i := range m.updates[:min(most, len(m.updates))] {
		m.updates[i].transmits++
		msg.Updates = append(msg.Updates, m.updates[i].Update)
	}
	m.updates = slices.DeleteFunc(m.updates, func(n queuedUpdate) bool { return n.transmits >= limit })
	m.out = append(m.out, msg)
}

// broadcast queues an update, in place of an older one of the same member.
func (m *Detector) broadcast(u Update) {
	m.updates = slices.DeleteFunc(m.updates, func(n queuedUpdate) bool { return n.Name == u.Name })
	m.updates = append(m.updates, queuedUpdate{Update: u})
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

// updateMajority says whether this side is more than half.
func (m *Detector) updateMajority() {
	if v := 2*m.presentCount() > m.settings.Configured && !m.isolated && !m.nameTaken; v != m.majority {
		m.majority, m.majorityAt = v, m.now
	}
}

func (m *Detector) presentCount() int {
	n := 1
	for _, p := range m.order {
		if p.State <= Suspect {
			n++
		}
	}
	return n
}

// View is what is believed now.
func (m *Detector) View() View {
	v := View{Present: m.presentCount(), Majority: m.majority, MajoritySince: m.majorityAt, Isolated: m.isolated, NameTaken: m.nameTaken}
	me := Member{Update: m.self, Since: m.since, HeardAt: m.now}
	v.Members = append(v.Members, me)
	for _, p := range m.order {
		v.Members = append(v.Members, p.Member)
	}
	slices.SortFunc(v.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	if v.Quota = (quotalease.Quota{Share: 1 / float64(m.settings.Configured), Min: 1 / float64(m.settings.Configured), Until: m.now}); m.lease != nil {
		v.Quota = m.lease.Quota(m.now, m.isGone)
	}
	return v
}

// isGone says whether a member is believed to be dead or departed, or has never been met.
func (m *Detector) isGone(name string) bool {
	p := m.peers[name]
	return p == nil || p.State >= Dead
}

// Others are those who are alive, by name.
func (m *Detector) Others() []Update {
	var out []Update
	for _, p := range m.order {
		if p.State == Alive {
			out = append(out, p.Update)
		}
	}
	return out
}

// Knows says whether a name is one that is neither dead nor gone.
func (m *Detector) Knows(name string) bool {
	p := m.peers[name]
	return p != nil && p.State < Dead
}

// Size is how many members, updates and open questions are remembered.
func (m *Detector) Size() int { return len(m.peers) + len(m.updates) + len(m.relays) }
