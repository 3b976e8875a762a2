package membership

import "lotushook/policy/clock"

// Receive processes a message and returns the messages to send for it.
func (m *Detector) Receive(now clock.Nanos, msg Message) []Message {
	if gap := now - m.now; gap > m.settings.MaxTickGap && m.settings.Lifeguard {
		m.resumeAfterGap(gap) // it is the first message after the pause
	}
	m.now, m.out = max(m.now, now), nil
	if m.left || msg.From == "" || msg.Address == "" || m.isForeign(msg.From) {
		return nil
	}
	if msg.From == m.settings.Name {
		m.resolveDuplicateName(&msg)
		return m.out
	}
	if m.nameTaken {
		return nil
	}
	for i := range msg.Updates {
		m.applyUpdate(&msg.Updates[i], &msg)
	}
	p := m.peers[msg.From]
	if p == nil || p.Epoch != msg.Epoch { // no capacity for it, an older process of that name, or a younger one beside a living
		switch {
		case p == nil:
		case msg.Epoch > p.Epoch && p.rivalSince > 0 && p.HeardAt > p.rivalSince: // the older one was heard since
			m.send(Message{Kind: NameTaken, To: msg.Address})
		case msg.Epoch < p.Epoch && (p.Address == msg.Address || p.State >= Dead): // its clock was set back: it must start above
			m.send(Message{Kind: StateReply, To: msg.Address, Updates: []Update{p.Update}})
		}
		return m.out
	}
	m.markHeard(p, &msg)
	m.reply(p, &msg)
	return m.out
}

// isForeign says whether a name is not the installation's.
func (m *Detector) isForeign(name string) bool { return m.allowed != nil && !m.allowed[name] }

// markHeard records that a member was heard.
func (m *Detector) markHeard(p *peer, msg *Message) {
	p.HeardAt = m.now
	if !m.settings.Lifeguard {
		return
	}
	switch {
	case msg.Isolated && p.State < Dead:
		m.setState(p, Isolated)
	case !msg.Isolated && p.State == Isolated:
		m.setState(p, Alive)
	}
}

// resolveDuplicateName decides which of two processes with one name stays: the older, the only one that the others accept.
func (m *Detector) resolveDuplicateName(msg *Message) {
	switch {
	case msg.Epoch > m.self.Epoch:
		m.send(Message{Kind: NameTaken, To: msg.Address})
	case msg.Epoch < m.self.Epoch && msg.Address != m.settings.Address:
		m.nameTaken = true
		m.updateMajority()
	}
}

func (m *Detector) reply(p *peer, msg *Message) {
	switch msg.Kind {
	case Ping:
		reply := Message{Kind: Ack, To: msg.Address, Seq: msg.Seq, Target: m.settings.Name}
		if p.State != Alive { // it learns of the accusation, and can refute it
			reply.Updates = []Update{p.Update}
		}
		if m.lease != nil && msg.Target == m.settings.Name {
			row := m.lease.Vote(m.now, p.Name, p.Epoch, p.Address, m.isRemoved)
			reply.Vote = &row
		}
		m.send(reply)
	case IndirectPing:
		if len(m.relays) < maxRelays {
			m.seq++
			m.relays[m.seq] = relay{address: msg.Address, seq: msg.Seq, target: msg.Target, receivedAt: m.now}
			m.send(Message{Kind: Ping, To: msg.TargetAddress, Seq: m.seq, Target: msg.Target})
		}
	case Ack:
		if r, ok := m.relays[msg.Seq]; ok && r.target == msg.From {
			delete(m.relays, msg.Seq)
			m.send(Message{Kind: Ack, To: r.address, Seq: r.seq, Target: r.target})
			return
		}
		m.probeAcked(p, msg)
	case Nack:
		if q := m.probe; q != nil && q.seq == msg.Seq {
			q.answers++
			m.probeAnswered()
		}
	case StateRequest:
		m.sendFullState(msg.Address)
	case NameTaken:
		if msg.To == m.settings.Address {
			m.nameTaken = true
			m.updateMajority()
		}
	}
}

// probeAcked ends the open probe.
func (m *Detector) probeAcked(p *peer, msg *Message) {
	q := m.probe
	if q == nil || q.seq != msg.Seq || q.name != msg.Target {
		return
	}
	m.probe = nil
	m.health = max(0, m.health-1)
	m.probeAnswered()
	if msg.From == q.name {
		p.RoundTrip = m.now - q.sentAt
		if m.lease != nil && msg.Vote != nil {
			m.lease.AddVote(q.sentAt, p.Name, *msg.Vote)
		}
		return
	}
	if t := m.peers[q.name]; t != nil && t.State == Suspect { // a helper heard it
		m.setState(t, Alive)
	}
}

// probeAnswered processes an answer to this router's own probe: it hears, and is heard.
func (m *Detector) probeAnswered() {
	m.unanswered, m.unansweredBy = 0, ""
	if m.isolated {
		m.isolated = false
		m.self.Incarnation++
		m.broadcast(m.self)
	}
}

// sendFullState sends the state of all members: a long message, which Settings.MaxMembers bounds.
func (m *Detector) sendFullState(to string) {
	all := make([]Update, 0, len(m.order)+1)
	for _, p := range m.order {
		all = append(all, p.Update)
	}
	m.send(Message{Kind: StateReply, To: to, Updates: all})
}
