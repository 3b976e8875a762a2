package membership

// Receive takes a message in and returns what to send for it.
func (m *Members) Receive(now Nanos, msg Message) []Message {
	if gap := now - m.now; gap > m.set.Pause && m.set.Corrections {
		m.stopped(gap) // it is the first thing heard after the pause
	}
	m.now, m.out = max(m.now, now), nil
	if m.left || msg.From == "" || msg.Address == "" || m.stranger(msg.From) {
		return nil
	}
	if msg.From == m.set.Name {
		m.double(&msg)
		return m.out
	}
	if m.taken {
		return nil
	}
	for i := range msg.News {
		m.take(&msg.News[i], &msg)
	}
	p := m.peers[msg.From]
	if p == nil || p.Boot != msg.Boot { // no room for it, an older process of that name, or a younger one beside a living
		switch {
		case p == nil:
		case msg.Boot > p.Boot && p.rival > 0 && p.Heard > p.rival: // the older one has spoken since
			m.send(Message{Kind: Taken, To: msg.Address})
		case msg.Boot < p.Boot && (p.Address == msg.Address || p.State >= Dead): // its clock was set back: it must start above
			m.send(Message{Kind: Whole, To: msg.Address, News: []Update{p.Update}})
		}
		return m.out
	}
	m.hear(p, &msg)
	m.answer(p, &msg)
	return m.out
}

// stranger says whether a name is not the installation's.
func (m *Members) stranger(name string) bool { return m.listed != nil && !m.listed[name] }

// hear notes that a member spoke.
func (m *Members) hear(p *peer, msg *Message) {
	p.Heard = m.now
	if !m.set.Corrections {
		return
	}
	switch {
	case msg.Deaf && p.State < Dead:
		m.become(p, CutOff)
	case !msg.Deaf && p.State == CutOff:
		m.become(p, Alive)
	}
}

// double settles which of two processes with one name stays: the older, which alone the others go on believing.
func (m *Members) double(msg *Message) {
	switch {
	case msg.Boot > m.self.Boot:
		m.send(Message{Kind: Taken, To: msg.Address})
	case msg.Boot < m.self.Boot && msg.Address != m.set.Address:
		m.taken = true
		m.judge()
	}
}

func (m *Members) answer(p *peer, msg *Message) {
	switch msg.Kind {
	case Ping:
		reply := Message{Kind: Ack, To: msg.Address, Seq: msg.Seq, Target: m.set.Name}
		if p.State != Alive { // it hears what is said of it, and can speak for itself
			reply.News = []Update{p.Update}
		}
		if m.parts != nil && msg.Target == m.set.Name {
			row := m.parts.Answer(m.now, p.Name, p.Boot, p.Address, m.gone)
			reply.Row = &row
		}
		m.send(reply)
	case Ask:
		if len(m.relays) < mostRelays {
			m.seq++
			m.relays[m.seq] = relay{address: msg.Address, seq: msg.Seq, target: msg.Target, at: m.now}
			m.send(Message{Kind: Ping, To: msg.TargetAddress, Seq: m.seq, Target: msg.Target})
		}
	case Ack:
		if r, ok := m.relays[msg.Seq]; ok && r.target == msg.From {
			delete(m.relays, msg.Seq)
			m.send(Message{Kind: Ack, To: r.address, Seq: r.seq, Target: r.target})
			return
		}
		m.answered(p, msg)
	case Nack:
		if q := m.asked; q != nil && q.seq == msg.Seq {
			q.answers++
			m.fine()
		}
	case Join:
		m.everybody(msg.Address)
	case Taken:
		if msg.To == m.set.Address {
			m.taken = true
			m.judge()
		}
	}
}

// answered ends the open question.
func (m *Members) answered(p *peer, msg *Message) {
	q := m.asked
	if q == nil || q.seq != msg.Seq || q.name != msg.Target {
		return
	}
	m.asked = nil
	m.health = max(0, m.health-1)
	m.fine()
	if msg.From == q.name {
		p.Trip = m.now - q.at
		if m.parts != nil && msg.Row != nil {
			m.parts.Heard(q.at, p.Name, *msg.Row)
		}
		return
	}
	if t := m.peers[q.name]; t != nil && t.State == Suspect { // a helper heard it
		m.become(t, Alive)
	}
}

// fine is an answer to this router's own question: it hears, and is heard.
func (m *Members) fine() {
	m.lost, m.lostAt = 0, ""
	if m.cut {
		m.cut = false
		m.self.Incarnation++
		m.tell(m.self)
	}
}

// everybody tells everything that is known of everybody: a long message, which Settings.Members bounds.
func (m *Members) everybody(to string) {
	all := make([]Update, 0, len(m.order)+1)
	for _, p := range m.order {
		all = append(all, p.Update)
	}
	m.send(Message{Kind: Whole, To: to, News: all})
}

// take takes one update in, as a message said it.
func (m *Members) take(u *Update, msg *Message) {
	if u.Name == "" || u.Address == "" || u.State < Alive || u.State > Left || m.stranger(u.Name) {
		return
	}
	if u.Name == m.set.Name {
		m.self.refute(u, m)
		return
	}
	own := u.Name == msg.From && u.Boot == msg.Boot
	p := m.peers[u.Name]
	if p == nil {
		if u.State < Dead && m.room() {
			p = &peer{Member: Member{Update: *u, Since: m.now}}
			p.State, p.By = Alive, ""
			m.add(p)
			m.ring = append(m.ring, u.Name)
			if msg.Kind == Whole { // others have it where this came from
				m.learnt = true
			} else {
				m.tell(p.Update)
			}
			if u.State == Suspect {
				m.blame(p, u)
			}
		}
		return
	}
	if u.Boot < p.Boot {
		return
	}
	if u.Boot > p.Boot {
		// A restart. Beside a process that was heard of late at another address it is a second one with that name.
		if p.State == Alive && p.Address != u.Address && m.set.Corrections {
			if p.rival == 0 {
				p.rival = m.now
			}
			p.check = true
			return
		}
		since := p.Since
		*p = peer{Member: Member{Update: *u, Since: since}}
		p.State, p.By = 0, ""
		m.become(p, Alive)
		return
	}
	if u.Incarnation > p.Incarnation {
		p.Incarnation, p.Address = u.Incarnation, u.Address
		if u.State == Alive && p.State != Alive {
			m.become(p, Alive)
		} else if u.State == Alive {
			m.tell(p.Update)
		}
	}
	if u.Incarnation < p.Incarnation || u.State <= p.State && u.State != Suspect {
		return
	}
	switch {
	case u.State == Suspect:
		m.blame(p, u)
	case u.State == CutOff && own:
		m.become(p, CutOff)
	case u.State == Left && own, u.State >= Dead && !m.set.Corrections:
		m.become(p, u.State)
	case u.State >= Dead:
		m.doom(p, u)
	}
}

// refute answers what is said of this router itself: it goes on under a greater incarnation.
func (self *Update) refute(u *Update, m *Members) {
	if u.Boot > self.Boot && u.Boot+1 > u.Boot && (u.Address == self.Address || u.State >= Dead) {
		// A process before this one was numbered higher, and is gone: only one has an address. The clock was set back.
		self.Boot, self.Incarnation = u.Boot+1, 0
		m.tell(*self)
		return
	}
	if u.Boot != self.Boot || u.State == Alive || u.Incarnation < self.Incarnation {
		return
	}
	self.Incarnation = u.Incarnation + 1
	if m.set.Corrections {
		m.health = min(m.health+1, mostHealth)
	}
	m.tell(*self)
}

// blame counts an accusation, unless this router heard the accused since just now.
func (m *Members) blame(p *peer, u *Update) {
	if p.State == CutOff {
		return
	}
	if m.set.Corrections && p.Heard > 0 && float64(m.now-p.Heard) < heardShare*float64(m.set.Period) && p.State == Alive {
		p.check = true // asked out of turn, and believed by what it answers
		return
	}
	m.accuse(p, u.By, Dead)
}

// doom takes the word that a member is dead or has left. One liar must not end a member that others hear: the word is an
// accusation like others, and the accused is asked by this router itself.
func (m *Members) doom(p *peer, u *Update) {
	if p.State >= Dead || p.State == CutOff && m.now-p.Heard < m.set.MostDoubt {
		return
	}
	p.check = p.check || p.State != Suspect
	m.accuse(p, u.By, u.State)
}

// room makes room for one more: whoever is gone for longest goes first.
func (m *Members) room() bool {
	if len(m.peers) < m.set.Members-1 {
		return true
	}
	var oldest *peer
	for _, p := range m.order {
		if p.State >= Dead && (oldest == nil || p.Since < oldest.Since) {
			oldest = p
		}
	}
	if oldest != nil {
		m.remove(oldest)
	}
	return oldest != nil
}
