package peer

import "lotushook/policy/membership"

// receive processes one authenticated message, if it is addressed to this process's session and is not a duplicate.
func (peers *Peers) receive(message *envelope) {
	now := peers.options.Now()
	switch {
	case message.Cluster != peers.options.Cluster:
		peers.counts.otherCluster.Add(1)
		return
	case message.Session == peers.session: // sent by this process itself
		peers.counts.replayed.Add(1)
		return
	case message.To != peers.session:
		peers.counts.outdated.Add(1)
		peers.sendMessage(message.Address, message.Session, nil, nil)
		return
	}
	sessionWindow := peers.receiveWindows[message.Session]
	if sessionWindow == nil {
		if len(peers.receiveWindows) >= maxSessions {
			peers.evictOldestWindow()
		}
		sessionWindow = &receiveWindow{}
		peers.receiveWindows[message.Session] = sessionWindow
	}
	if sessionWindow.lastHeardAt = now; !sessionWindow.accept(message.Sequence) {
		peers.counts.replayed.Add(1)
		return
	}
	peers.counts.accepted.Add(1)
	if len(peers.sessionByAddress) >= maxSessions {
		clear(peers.sessionByAddress) // the session at each address is recorded again when its next message arrives
	}
	peers.sessionByAddress[message.Address] = message.Session
	if pending, isPending := peers.pending[message.Address]; isPending {
		delete(peers.pending, message.Address)
		if now-pending.createdAt < pendingLifetime {
			peers.sendMembership([]membership.Message{pending.message})
		}
	}
	if message.Membership != nil {
		peers.sendMembership(peers.detector.Receive(now, message.decodeMembership()))
	}
	if message.State != nil {
		peers.receiveState(now, message)
	}
}

// evictOldestWindow removes the receive window of the session that has been silent for longest. Messages of that
// session that an attacker recorded could then be accepted a second time. This risk is accepted, because it takes
// maxSessions sessions, each a start of a router, within the lifetime of this process.
func (peers *Peers) evictOldestWindow() {
	var oldest uint64
	for session, candidate := range peers.receiveWindows {
		if current := peers.receiveWindows[oldest]; current == nil || candidate.lastHeardAt < current.lastHeardAt {
			oldest = session
		}
	}
	delete(peers.receiveWindows, oldest)
}
