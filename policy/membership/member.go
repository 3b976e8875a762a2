package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"lotushook/policy/quotalease"
)

// Tuned values, all in the terms of the settings.
const (
	mostHelpers = 8
	mostRelays  = 64  // questions asked for others that are still open
	mostTold    = 64  // who hear it from a member itself that it leaves
	mostHealth  = 8   // how far Lifeguard's local health stretches waits
	cutRounds   = 4   // questions in a row without any answer, to at least two members: this router is cut off
	knockEvery  = 5   // periods between knocks at a member that is gone, or a seed that is not there
	heardShare  = 4.0 // of Period: who was heard so lately is not doubted on another's word alone
)

// Members is one member's knowledge of all. It belongs to one goroutine and is bounded by Settings.Members.
type Members struct {
	set    Settings
	now    Nanos
	rng    uint64
	self   Update
	since  Nanos
	peers  map[string]*peer
	order  []*peer  // the same, by name
	ring   []string // the order in which members are asked, drawn anew each time round
	asked  *question
	turn   Nanos // when the next is asked
	rounds int
	seq    uint32
	health int
	lost   int // questions in a row that nobody answered
	lostAt string
	cut    bool
	taken  bool
	left   bool
	relays map[uint32]relay
	news   []news
	out    []Message
	listed map[string]bool   // the installation's names; nil: anybody
	parts  *quotalease.Parts // nil: fixed
	whole  Nanos             // when somebody is asked for all it knows, so that what gossip missed is known in the end
	pause  Nanos             // until the next time after it
	learnt bool              // the last time taught something

	majority   bool
	majorityAt Nanos
}

type peer struct {
	Member
	doubted  Nanos    // since when it is a suspect
	accusers []string // distinct
	doom     State    // what it becomes when the doubt ends: Dead, or Left
	check    bool     // to be asked out of turn
	rival    Nanos    // when a younger process of its name was first met; 0: never
}

type question struct {
	name    string
	seq     uint32
	at      Nanos
	helped  bool
	answers int // from helpers, of either kind
	helpers int
}

type relay struct {
	address string // of who asked
	seq     uint32
	target  string
	at      Nanos
	nacked  bool
}

type news struct {
	Update
	told int
}

// New returns a member that knows itself and its seeds.
func New(s Settings, seed uint64, now Nanos) (*Members, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	m := &Members{set: s, now: now, rng: seed, since: now, turn: now, peers: map[string]*peer{}, relays: map[uint32]relay{},
		self: Update{Name: s.Name, Address: s.Address, Boot: s.Boot, State: Alive}, majorityAt: now}
	if s.Names != nil {
		p, err := quotalease.New(quotalease.Settings{Names: s.Names, Self: s.Name, Term: s.Term(), Alone: s.Alone}, now)
		if err != nil {
			return nil, err
		}
		m.parts, m.listed = p, map[string]bool{}
		for _, name := range s.Names {
			m.listed[name] = true
		}
	}
	m.tell(m.self)
	m.judge()
	return m, nil
}

// draw is seeded, from 0 to 1.
func (m *Members) draw() float64 {
	m.rng = m.rng*6364136223846793005 + 1442695040888963407
	return float64(m.rng>>11) / (1 << 53)
}

// Tick moves time on and returns what to send. It is to be called about twice a Wait.
func (m *Members) Tick(now Nanos) []Message {
	if gap := now - m.now; gap > m.set.Pause && m.set.Corrections {
		m.stopped(gap)
	}
	m.now = max(m.now, now)
	m.out = nil
	if m.left || m.taken {
		return nil
	}
	m.expire()
	m.attend()
	if m.asked == nil && m.now >= m.turn {
		m.ask()
	}
	m.judge()
	return m.out
}

// stopped is a pause of this process, from whatever cause: what ran out meanwhile proves nothing, as nobody listened.
func (m *Members) stopped(gap Nanos) {
	for _, p := range m.peers {
		p.doubted += gap
		p.Heard += gap
	}
	m.asked, m.turn = nil, m.turn+gap
	clear(m.relays)
	m.self.Incarnation++ // whoever accused it meanwhile is answered before it is heard
	m.tell(m.self)
}

// expire ends doubts whose time is over, and forgets who is gone for long.
func (m *Members) expire() {
	for _, p := range slices.Clone(m.order) {
		switch {
		case p.State == Suspect && m.set.Corrections && p.Heard > p.doubted:
			m.become(p, Alive) // it speaks: no word of others goes before that
		case p.State == Suspect && m.cut:
			p.doubted = m.now // who hears nobody can't say who is dead
		case p.State == Suspect && m.now-p.doubted >= m.patience(p):
			m.become(p, p.doom)
		case p.State == CutOff && m.now-p.Heard >= m.set.MostDoubt && !m.cut:
			m.accuse(p, m.set.Name, Dead)
		case p.State >= Dead && m.now-p.Since >= m.set.Forget:
			m.remove(p)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(m.relays)) { // in a stated order, or a play could not be repeated
		r := m.relays[seq]
		switch {
		case m.now-r.at >= m.set.Period:
			delete(m.relays, seq)
		case !r.nacked && m.now-r.at >= m.set.Wait:
			r.nacked = true
			m.relays[seq] = r
			m.send(Message{Kind: Nack, To: r.address, Seq: r.seq, Target: r.target})
		}
	}
}

// patience is how long a suspect has: the more accuse it, the shorter (Lifeguard). Who misses answers itself, on a
// slow machine or over lossy links, gives more.
func (m *Members) patience(p *peer) Nanos {
	if !m.set.Corrections {
		return m.set.MostDoubt
	}
	return m.usualPatience(p) * Nanos(2+m.health) / 2
}

func (m *Members) usualPatience(p *peer) Nanos {
	others := min(len(p.accusers)-1, m.set.Confirms)
	share := math.Log(float64(others)+1) / math.Log(float64(m.set.Confirms)+1)
	if m.set.Confirms == 0 {
		share = 1
	}
	return max(m.set.LeastDoubt, m.set.MostDoubt-Nanos(share*float64(m.set.MostDoubt-m.set.LeastDoubt)))
}

// stretch is a span as a member that may be slow itself should wait.
func (m *Members) stretch(d Nanos) Nanos {
	if !m.set.Corrections || m.cut { // who is cut off accuses nobody, and wants to be heard
		return d
	}
	return d * Nanos(1+m.health)
}

// attend looks after the open question: helpers after a while, and doubt at its end.
func (m *Members) attend() {
	q := m.asked
	if q == nil {
		return
	}
	p := m.peers[q.name]
	if p == nil || p.State >= Dead {
		m.asked = nil
		return
	}
	if !q.helped && m.now-q.at >= m.stretch(m.set.Wait) {
		q.helped = true
		for _, h := range m.some(m.set.Helpers, q.name) {
			q.helpers++
			m.send(Message{Kind: Ask, To: h.Address, Seq: q.seq, Target: q.name, TargetAddress: p.Address})
		}
	}
	if m.now-q.at < m.stretch(m.set.Period) {
		return
	}
	m.asked = nil
	if m.set.Corrections {
		m.health = min(m.health+q.helpers-q.answers, mostHealth) // that one is dead says nothing of this router
		if q.answers == 0 {
			if m.lost++; m.lostAt != q.name {
				m.lostAt = q.name
				m.cut = m.cut || m.lost >= min(cutRounds, 2*max(m.alive(), 1))
			}
		}
		if m.cut || q.answers == 0 && q.helpers > 0 { // not one of the helpers was heard: it may well be this router
			return
		}
		if p.State == CutOff { // it can't answer; it is judged by its own silence
			return
		}
	}
	m.accuse(p, m.set.Name, Dead)
}

// alive is how many others are neither dead nor gone.
func (m *Members) alive() int {
	n := 0
	for _, p := range m.order {
		if p.State < Dead {
			n++
		}
	}
	return n
}

// ask asks the next member, and now and then knocks where nobody is known to be.
func (m *Members) ask() {
	m.turn = max(m.turn+m.set.Period, m.now)
	if m.rounds++; m.rounds%knockEvery == 0 || m.alive() == 0 {
		m.knock()
	}
	m.compare()
	p := m.next()
	if p == nil {
		return
	}
	m.seq++
	m.asked = &question{name: p.Name, seq: m.seq, at: m.now}
	m.send(Message{Kind: Ping, To: p.Address, Seq: m.seq, Target: p.Name})
}

// compare now and then asks somebody for all it knows: soon again while that teaches something, and at last once in as
// many periods as there are members, so that the bytes a second do not grow with them.
func (m *Members) compare() {
	if m.now < m.whole {
		return
	}
	for _, p := range m.some(1, "") {
		if m.pause *= 2; m.learnt {
			m.pause = 0
		}
		m.pause = max(knockEvery*m.set.Period, min(m.pause, Nanos(len(m.order))*m.set.Period))
		m.whole, m.learnt = m.now+m.pause, false
		m.send(Message{Kind: Join, To: p.Address})
	}
}

// next is who is asked: the others round and round in an order drawn anew each time, and in every second period one of
// those in doubt, so that each has several questions before its time is over.
func (m *Members) next() *peer {
	if m.rounds%2 == 0 && m.set.Corrections {
		doubted := m.those(func(p *peer) bool { return p.State < Dead && (p.check || p.State == Suspect) })
		if len(doubted) > 0 {
			p := doubted[int(m.draw()*float64(len(doubted)))]
			p.check = false
			return p
		}
	}
	for range 2 {
		for len(m.ring) > 0 {
			p := m.peers[m.ring[0]]
			m.ring = m.ring[1:]
			if p != nil && p.State < Dead {
				return p
			}
		}
		for _, p := range m.order {
			m.ring = append(m.ring, p.Name)
		}
		shuffle(m, m.ring)
	}
	return nil
}

// knock asks one that is gone, or a seed that is nobody's address, for all that it knows: halves of a split find each
// other again, and a router that started alone finds the others.
func (m *Members) knock() {
	var doors []string
	here := map[string]bool{m.set.Address: true}
	for _, p := range m.order {
		if p.State < Dead {
			here[p.Address] = true
		} else if p.State == Dead {
			doors = append(doors, p.Address)
		}
	}
	doors = append(doors, m.set.Seeds...)
	doors = slices.DeleteFunc(doors, func(a string) bool { return here[a] })
	if len(doors) > 0 {
		m.send(Message{Kind: Join, To: doors[int(m.draw()*float64(len(doors)))]})
	}
}

// Leave says goodbye to as many as can be told in one go; nothing is sent after it.
func (m *Members) Leave(now Nanos) []Message {
	m.now, m.out = max(m.now, now), nil
	m.self.State, m.left = Left, true
	for _, p := range m.some(mostTold, "") {
		m.send(Message{Kind: Ack, To: p.Address, Target: m.set.Name})
	}
	return m.out
}

// add and remove keep both ways to find a member.
func (m *Members) add(p *peer) {
	m.peers[p.Name] = p
	at, _ := slices.BinarySearchFunc(m.order, p.Name, func(q *peer, name string) int { return cmp.Compare(q.Name, name) })
	m.order = slices.Insert(m.order, at, p)
}

func (m *Members) remove(p *peer) {
	delete(m.peers, p.Name)
	m.order = slices.DeleteFunc(m.order, func(q *peer) bool { return q == p })
}

// those are the members of which something holds, by name.
func (m *Members) those(hold func(*peer) bool) []*peer {
	var list []*peer
	for _, p := range m.order {
		if hold(p) {
			list = append(list, p)
		}
	}
	return list
}

func shuffle[T any](m *Members, list []T) {
	for i := len(list) - 1; i > 0; i-- {
		j := int(m.draw() * float64(i+1))
		list[i], list[j] = list[j], list[i]
	}
}

// some draws members that are alive, but not one of a name.
func (m *Members) some(n int, but string) []*peer {
	list := m.those(func(p *peer) bool { return p.Name != but && p.State == Alive })
	shuffle(m, list)
	return list[:min(n, len(list))]
}

// send puts this router's own word and the news least told into a message.
func (m *Members) send(msg Message) {
	msg.From, msg.Address, msg.Boot, msg.Deaf = m.set.Name, m.set.Address, m.self.Boot, m.cut
	most := m.set.News
	if msg.Kind == Whole {
		most = 0
	}
	msg.News = append([]Update{m.self}, msg.News...)
	limit := int(math.Ceil(m.set.Retell * math.Log2(float64(len(m.peers)+2))))
	slices.SortStableFunc(m.news, func(x, y news) int { return cmp.Compare(x.told, y.told) })
	for i := range m.news[:min(most, len(m.news))] {
		m.news[i].told++
		msg.News = append(msg.News, m.news[i].Update)
	}
	m.news = slices.DeleteFunc(m.news, func(n news) bool { return n.told >= limit })
	m.out = append(m.out, msg)
}

// tell queues an update, in place of an older one of the same member.
func (m *Members) tell(u Update) {
	m.news = slices.DeleteFunc(m.news, func(n news) bool { return n.Name == u.Name })
	m.news = append(m.news, news{Update: u})
}

// become changes a member's state and tells it.
func (m *Members) become(p *peer, s State) {
	if p.State == s {
		return
	}
	p.State, p.Since, p.By = s, m.now, ""
	if s != Suspect {
		p.accusers, p.check = nil, false
	} else {
		p.doubted = m.now
	}
	if s == Dead {
		p.By = m.set.Name
	}
	m.tell(p.Update)
}

// accuse doubts a member, or counts one more accuser.
func (m *Members) accuse(p *peer, by string, doom State) {
	if p.State >= Dead {
		return
	}
	if p.State != Suspect {
		m.become(p, Suspect)
		p.doom = Dead
	}
	p.doom = max(p.doom, doom)
	if len(p.accusers) <= m.set.Confirms && !slices.Contains(p.accusers, by) {
		p.accusers = append(p.accusers, by)
		p.By = by
		m.tell(p.Update) // its share of the doubt travels on
	}
}

// judge says whether this side is more than half.
func (m *Members) judge() {
	if v := 2*m.counting() > m.set.Configured && !m.cut && !m.taken; v != m.majority {
		m.majority, m.majorityAt = v, m.now
	}
}

func (m *Members) counting() int {
	n := 1
	for _, p := range m.order {
		if p.State <= Suspect {
			n++
		}
	}
	return n
}

// View is what is believed now.
func (m *Members) View() View {
	v := View{Counting: m.counting(), Majority: m.majority, Since: m.majorityAt, Deaf: m.cut, Taken: m.taken}
	me := Member{Update: m.self, Since: m.since, Heard: m.now}
	v.Members = append(v.Members, me)
	for _, p := range m.order {
		v.Members = append(v.Members, p.Member)
	}
	slices.SortFunc(v.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	if v.Part = (quotalease.Force{Share: 1 / float64(m.set.Configured), Least: 1 / float64(m.set.Configured), Until: m.now}); m.parts != nil {
		v.Part = m.parts.Force(m.now, m.gone)
	}
	return v
}

// gone says whether a member is believed to be dead or departed, or has never been met.
func (m *Members) gone(name string) bool {
	p := m.peers[name]
	return p == nil || p.State >= Dead
}

// Others are those who are alive, by name.
func (m *Members) Others() []Update {
	var out []Update
	for _, p := range m.order {
		if p.State == Alive {
			out = append(out, p.Update)
		}
	}
	return out
}

// Knows says whether a name is one that is neither dead nor gone.
func (m *Members) Knows(name string) bool {
	p := m.peers[name]
	return p != nil && p.State < Dead
}

// Size is how many members, updates and open questions are remembered.
func (m *Members) Size() int { return len(m.peers) + len(m.news) + len(m.relays) }
