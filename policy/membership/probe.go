package membership

import (
	"math"
	"slices"

	"lotushook/policy/clock"
)

// checkProbe advances the open probe: indirect checks after a timeout, and a suspicion at its end.
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
		m.health = min(m.health+q.helpersAsked-q.answers, maxHealthScore) // that one member is dead says nothing of this router
		if q.answers == 0 {
			if m.unanswered++; m.unansweredBy != q.name {
				m.unansweredBy = q.name
				m.isolated = m.isolated || m.unanswered >= min(isolatedRounds, 2*max(m.aliveCount(), 1))
			}
		}
		if m.isolated || q.answers == 0 && q.helpersAsked > 0 { // no helper was heard: the fault may well be this router's own
			return
		}
		if p.State == Isolated { // it can't answer; it is judged by its own silence
			return
		}
	}
	m.accuse(p, m.settings.Name, Dead)
}

// startProbe probes the next member, and now and then contacts removed members and seeds.
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

// nextToProbe returns the member to probe: round-robin in an order drawn anew for each round, and in every second period one of
// the suspects, so that each is probed several times before its suspicion times out.
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

// contactLost requests the full state of a removed member, or of an unknown seed: the halves of a partition find each
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

// syncState now and then requests a member's full state: soon again while that teaches something, and finally once in as
// many periods as there are members, so that the bytes per second do not grow with them.
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

// suspicionTimeout is how long a suspicion lasts: the more accusers, the shorter (Lifeguard). A member that misses answers itself, on a
// slow machine or over lossy links, waits longer.
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

// stretch lengthens a timeout by the local health score.
func (m *Detector) stretch(d clock.Nanos) clock.Nanos {
	if !m.settings.Lifeguard || m.isolated { // an isolated member accuses none, and wants to be heard
		return d
	}
	return d * clock.Nanos(1+m.health)
}
