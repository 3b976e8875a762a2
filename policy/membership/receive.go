package membership

import "lotushook/policy/clock"

// Receive processes a message and returns the messages to send in response.
func (d *Detector) Receive(now clock.Nanos, message Message) []Message {
	if gap := now - d.now; gap > d.settings.MaxTickGap && d.settings.Lifeguard {
		d.resumeAfterGap(gap) // the first message after a pause may precede the first Tick
	}
	d.now, d.outgoing = max(d.now, now), nil
	if d.hasLeft || message.From == "" || message.Address == "" || d.isForeign(message.From) {
		return nil
	}
	if message.From == d.settings.Name {
		d.resolveDuplicateName(&message)
		return d.outgoing
	}
	if d.duplicateName {
		return nil
	}
	for i := range message.Updates {
		d.applyUpdate(&message.Updates[i], &message)
	}
	peer := d.peers[message.From]
	// The sender could not be added for lack of capacity, or the member of its name is another process, which started
	// later or earlier than the sender.
	if peer == nil || peer.Epoch != message.Epoch {
		switch {
		case peer == nil:
		// The member has been heard from since the sender, a later process, appeared: so the member still runs.
		case message.Epoch > peer.Epoch && peer.duplicateSeenAt > 0 && peer.LastHeardAt > peer.duplicateSeenAt:
			d.send(Message{Kind: DuplicateName, To: message.Address})
		// The sender's clock was set back: it has to raise its epoch above that of the earlier process.
		case message.Epoch < peer.Epoch && (peer.Address == message.Address || peer.State >= Dead):
			d.send(Message{Kind: StateReply, To: message.Address, Updates: []Update{peer.Update}})
		}
		return d.outgoing
	}
	d.recordHeard(peer, &message)
	d.reply(peer, &message)
	return d.outgoing
}

// isForeign reports whether a name is not among the names of the configured routers.
func (d *Detector) isForeign(name string) bool { return d.allowedNames != nil && !d.allowedNames[name] }

// recordHeard records that a message from a member was received.
func (d *Detector) recordHeard(peer *peerState, message *Message) {
	peer.LastHeardAt = d.now
	if !d.settings.Lifeguard {
		return
	}
	switch {
	case message.Isolated && peer.State < Dead:
		d.setState(peer, Isolated)
	case !message.Isolated && peer.State == Isolated:
		d.setState(peer, Alive)
	}
}

// resolveDuplicateName resolves a conflict between two processes with this router's name: the one that started first
// stays a member, because the other members accept only that one.
func (d *Detector) resolveDuplicateName(message *Message) {
	switch {
	case message.Epoch > d.self.Epoch:
		d.send(Message{Kind: DuplicateName, To: message.Address})
	case message.Epoch < d.self.Epoch && message.Address != d.settings.Address:
		d.duplicateName = true
		d.updateMajority()
	}
}

func (d *Detector) reply(peer *peerState, message *Message) {
	switch message.Kind {
	case Ping:
		reply := Message{Kind: Ack, To: message.Address, Seq: message.Seq, Target: d.settings.Name}
		if peer.State != Alive { // so that the sender can refute what is wrong
			reply.Updates = []Update{peer.Update}
		}
		if d.quotaLease != nil && message.Target == d.settings.Name {
			vote := d.quotaLease.Vote(d.now, peer.Name, peer.Epoch, peer.Address, d.isRemoved)
			reply.Vote = &vote
		}
		d.send(reply)
	case IndirectPing:
		if len(d.relays) < maxRelays {
			d.lastSeq++
			d.relays[d.lastSeq] = relayedProbe{requester: message.Address, requesterSeq: message.Seq, target: message.Target, receivedAt: d.now}
			d.send(Message{Kind: Ping, To: message.TargetAddress, Seq: d.lastSeq, Target: message.Target})
		}
	case Ack:
		if relayed, ok := d.relays[message.Seq]; ok && relayed.target == message.From {
			delete(d.relays, message.Seq)
			d.send(Message{Kind: Ack, To: relayed.requester, Seq: relayed.requesterSeq, Target: relayed.target})
			return
		}
		d.probeAcked(peer, message)
	case Nack:
		if probe := d.probe; probe != nil && probe.seq == message.Seq {
			probe.helperAnswers++
			d.probeAnswered()
		}
	case StateRequest:
		d.sendFullState(message.Address)
	case DuplicateName:
		if message.To == d.settings.Address {
			d.duplicateName = true
			d.updateMajority()
		}
	}
}

// probeAcked ends the probe in flight if the message acknowledges it.
func (d *Detector) probeAcked(peer *peerState, message *Message) {
	probe := d.probe
	if probe == nil || probe.seq != message.Seq || probe.name != message.Target {
		return
	}
	d.probe = nil
	d.healthScore = max(0, d.healthScore-1)
	d.probeAnswered()
	if message.From == probe.name {
		peer.RoundTrip = d.now - probe.sentAt
		if d.quotaLease != nil && message.Vote != nil {
			d.quotaLease.AddVote(probe.sentAt, peer.Name, *message.Vote)
		}
		return
	}
	if target := d.peers[probe.name]; target != nil && target.State == Suspect { // a helper received the target's answer
		d.setState(target, Alive)
	}
}

// probeAnswered records that a probe of this router was answered, which shows that this router can send and receive.
func (d *Detector) probeAnswered() {
	d.unansweredProbes, d.lastUnansweredName = 0, ""
	if d.isolated {
		d.isolated = false
		d.self.Incarnation++
		d.queueUpdate(d.self)
	}
}

// sendFullState sends the state of all members in one message, whose size Settings.MaxMembers bounds.
func (d *Detector) sendFullState(address string) {
	updates := make([]Update, 0, len(d.sortedPeers)+1)
	for _, peer := range d.sortedPeers {
		updates = append(updates, peer.Update)
	}
	d.send(Message{Kind: StateReply, To: address, Updates: updates})
}
