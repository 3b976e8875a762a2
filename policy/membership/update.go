package membership

// applyUpdate processes one update of a message.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (m *Detector) applyUpdate(u *Update, msg *Message) {
	if u.Name == "" || u.Address == "" || u.State < Alive || u.State > Left || m.isForeign(u.Name) {
		return
	}
	if u.Name == m.settings.Name {
		m.self.refute(u, m)
		return
	}
	own := u.Name == msg.From && u.Epoch == msg.Epoch
	p := m.peers[u.Name]
	if p == nil {
		if u.State < Dead && m.makeRoom() {
			p = &peer{Member: Member{Update: *u, Since: m.now}}
			p.State, p.Accuser = Alive, ""
			m.add(p)
			m.probeOrder = append(m.probeOrder, u.Name)
			if msg.Kind == StateReply { // others have it from the sender
				m.syncTaught = true
			} else {
				m.broadcast(p.Update)
			}
			if u.State == Suspect {
				m.addAccusation(p, u)
			}
		}
		return
	}
	if u.Epoch < p.Epoch {
		return
	}
	if u.Epoch > p.Epoch {
		// a restart; beside a process that was heard recently at another address it is a second one with that name
		if p.State == Alive && p.Address != u.Address && m.settings.Lifeguard {
			if p.rivalSince == 0 {
				p.rivalSince = m.now
			}
			p.probeSoon = true
			return
		}
		since := p.Since
		*p = peer{Member: Member{Update: *u, Since: since}}
		p.State, p.Accuser = 0, ""
		m.setState(p, Alive)
		return
	}
	if u.Incarnation > p.Incarnation {
		p.Incarnation, p.Address = u.Incarnation, u.Address
		if u.State == Alive && p.State != Alive {
			m.setState(p, Alive)
		} else if u.State == Alive {
			m.broadcast(p.Update)
		}
	}
	if u.Incarnation < p.Incarnation || u.State <= p.State && u.State != Suspect {
		return
	}
	switch {
	case u.State == Suspect:
		m.addAccusation(p, u)
	case u.State == Isolated && own:
		m.setState(p, Isolated)
	case u.State == Left && own, u.State >= Dead && !m.settings.Lifeguard:
		m.setState(p, u.State)
	case u.State >= Dead:
		m.addDeathReport(p, u)
	}
}

// refute answers an accusation of this router itself: it goes on under a greater incarnation.
func (own *Update) refute(u *Update, m *Detector) {
	if u.Epoch > own.Epoch && u.Epoch+1 > u.Epoch && (u.Address == own.Address || u.State >= Dead) {
		// An earlier process had a greater epoch, and is gone, as addresses are unique: the clock was set back.
		own.Epoch, own.Incarnation = u.Epoch+1, 0
		m.broadcast(*own)
		return
	}
	if u.Epoch != own.Epoch || u.State == Alive || u.Incarnation < own.Incarnation {
		return
	}
	own.Incarnation = u.Incarnation + 1
	if m.settings.Lifeguard {
		m.health = min(m.health+1, maxHealthScore)
	}
	m.broadcast(*own)
}

// addAccusation counts an accusation, unless this router has heard the accused recently.
func (m *Detector) addAccusation(p *peer, u *Update) {
	if p.State == Isolated {
		return
	}
	if m.settings.Lifeguard && p.HeardAt > 0 && float64(m.now-p.HeardAt) < recentlyHeardPeriods*float64(m.settings.ProbeInterval) && p.State == Alive {
		p.probeSoon = true // probed out of turn, and judged by its answer
		return
	}
	m.accuse(p, u.Accuser, Dead)
}

// addDeathReport processes a report that a member is dead or has left. One liar must not end a member that others hear: the report is an
// accusation like others, and this router itself probes the accused.
func (m *Detector) addDeathReport(p *peer, u *Update) {
	if p.State >= Dead || p.State == Isolated && m.now-p.HeardAt < m.settings.MaxSuspicion {
		return
	}
	p.probeSoon = p.probeSoon || p.State != Suspect
	m.accuse(p, u.Accuser, u.State)
}

// makeRoom makes room for one more: the member removed longest ago is forgotten.
func (m *Detector) makeRoom() bool {
	if len(m.peers) < m.settings.MaxMembers-1 {
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
