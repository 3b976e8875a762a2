package membership

// applyUpdate processes one update of a message.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (d *Detector) applyUpdate(update *Update, message *Message) {
	if update.Name == "" || update.Address == "" || update.State < Alive || update.State > Left || d.isForeign(update.Name) {
		return
	}
	if update.Name == d.settings.Name {
		d.self.refute(update, d)
		return
	}
	fromItself := update.Name == message.From && update.Epoch == message.Epoch
	peer := d.peers[update.Name]
	if peer == nil {
		if update.State < Dead && d.ensureCapacity() {
			peer = &peerState{Member: Member{Update: *update, Since: d.now}}
			peer.State, peer.ReportedBy = Alive, ""
			d.addPeer(peer)
			d.probeOrder = append(d.probeOrder, update.Name)
			if message.Kind == StateReply { // the sender propagates this update
				d.lastSyncAddedMember = true
			} else {
				d.queueUpdate(peer.Update)
			}
			if update.State == Suspect {
				d.addSuspicion(peer, update)
			}
		}
		return
	}
	if update.Epoch < peer.Epoch {
		return
	}
	if update.Epoch > peer.Epoch {
		// The member restarted. If it is alive at another address, this may be a second process with its name.
		if peer.State == Alive && peer.Address != update.Address && d.settings.Lifeguard {
			if peer.duplicateSeenAt == 0 {
				peer.duplicateSeenAt = d.now
			}
			peer.probeNext = true
			return
		}
		since := peer.Since
		*peer = peerState{Member: Member{Update: *update, Since: since}}
		peer.State, peer.ReportedBy = 0, ""
		d.setState(peer, Alive)
		return
	}
	if update.Incarnation > peer.Incarnation {
		peer.Incarnation, peer.Address = update.Incarnation, update.Address
		if update.State == Alive && peer.State != Alive {
			d.setState(peer, Alive)
		} else if update.State == Alive {
			d.queueUpdate(peer.Update)
		}
	}
	if update.Incarnation < peer.Incarnation || update.State <= peer.State && update.State != Suspect {
		return
	}
	switch {
	case update.State == Suspect:
		d.addSuspicion(peer, update)
	case update.State == Isolated && fromItself:
		d.setState(peer, Isolated)
	case update.State == Left && fromItself, update.State >= Dead && !d.settings.Lifeguard:
		d.setState(peer, update.State)
	case update.State >= Dead:
		d.addDeathReport(peer, update)
	}
}

// refute processes an update about this router itself. A report that this router is not alive is refuted by a greater
// incarnation.
func (own *Update) refute(update *Update, detector *Detector) {
	if update.Epoch > own.Epoch && update.Epoch+1 > update.Epoch && (update.Address == own.Address || update.State >= Dead) {
		// The clock was set back, so that an earlier process of this router had a greater epoch. That process has
		// ended, because only one process can use the address.
		own.Epoch, own.Incarnation = update.Epoch+1, 0
		detector.queueUpdate(*own)
		return
	}
	if update.Epoch != own.Epoch || update.State == Alive || update.Incarnation < own.Incarnation {
		return
	}
	own.Incarnation = update.Incarnation + 1
	if detector.settings.Lifeguard {
		detector.healthScore = min(detector.healthScore+1, maxHealthScore)
	}
	detector.queueUpdate(*own)
}

// addSuspicion processes a report that a member is suspect, unless this router has heard the member recently.
func (d *Detector) addSuspicion(peer *peerState, update *Update) {
	if peer.State == Isolated {
		return
	}
	if d.settings.Lifeguard && peer.LastHeardAt > 0 && float64(d.now-peer.LastHeardAt) < recentlyHeardPeriods*float64(d.settings.ProbeInterval) && peer.State == Alive {
		peer.probeNext = true // whether the member is suspected depends on its answer to this router's own probe
		return
	}
	d.suspectPeer(peer, update.ReportedBy, Dead)
}

// addDeathReport processes another member's report that a member is dead or has left. A single faulty member must not
// remove one that others hear, so the report only raises a suspicion, and this router probes the suspect itself.
func (d *Detector) addDeathReport(peer *peerState, update *Update) {
	if peer.State >= Dead || peer.State == Isolated && d.now-peer.LastHeardAt < d.settings.MaxSuspicion {
		return
	}
	peer.probeNext = peer.probeNext || peer.State != Suspect
	d.suspectPeer(peer, update.ReportedBy, update.State)
}

// ensureCapacity reports whether one more member can be added. If necessary, it removes the member that died or left
// longest ago.
func (d *Detector) ensureCapacity() bool {
	if len(d.peers) < d.settings.MaxMembers-1 {
		return true
	}
	var oldest *peerState
	for _, peer := range d.sortedPeers {
		if peer.State >= Dead && (oldest == nil || peer.Since < oldest.Since) {
			oldest = peer
		}
	}
	if oldest != nil {
		d.removePeer(oldest)
	}
	return oldest != nil
}
