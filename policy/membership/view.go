package membership

import (
	"cmp"
	"slices"

	"lotushook/policy/quotalease"
)

// View returns the current view.
func (d *Detector) View() View {
	view := View{Present: d.presentCount(), Majority: d.hasMajority, MajoritySince: d.majorityChangedAt, Isolated: d.isolated, DuplicateName: d.duplicateName}
	self := Member{Update: d.self, Since: d.startedAt, LastHeardAt: d.now}
	view.Members = append(view.Members, self)
	for _, peer := range d.sortedPeers {
		view.Members = append(view.Members, peer.Member)
	}
	slices.SortFunc(view.Members, func(left, right Member) int { return cmp.Compare(left.Name, right.Name) })
	if view.Quota = (quotalease.Quota{Share: 1 / float64(d.settings.Configured), MinShare: 1 / float64(d.settings.Configured), ValidUntil: d.now}); d.quotaLease != nil {
		view.Quota = d.quotaLease.Quota(d.now, d.isRemoved)
	}
	return view
}

// isRemoved reports whether a member is dead, has left or is unknown.
func (d *Detector) isRemoved(name string) bool {
	peer := d.peers[name]
	return peer == nil || peer.State >= Dead
}

// AliveOthers returns the other members that are alive, ordered by name.
func (d *Detector) AliveOthers() []Update {
	var alive []Update
	for _, peer := range d.sortedPeers {
		if peer.State == Alive {
			alive = append(alive, peer.Update)
		}
	}
	return alive
}

// IsMember reports whether a name belongs to a member that is not dead and has not left.
func (d *Detector) IsMember(name string) bool {
	peer := d.peers[name]
	return peer != nil && peer.State < Dead
}

// Size returns the number of members, queued updates and indirect checks in flight.
func (d *Detector) Size() int { return len(d.peers) + len(d.queuedUpdates) + len(d.relays) }

// updateMajority checks whether this router sees more than half of the configured routers.
func (d *Detector) updateMajority() {
	if hasMajority := 2*d.presentCount() > d.settings.Configured && !d.isolated && !d.duplicateName; hasMajority != d.hasMajority {
		d.hasMajority, d.majorityChangedAt = hasMajority, d.now
	}
}
