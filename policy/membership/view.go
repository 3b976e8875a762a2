package membership

import (
	"cmp"
	"slices"

	"lotushook/policy/quotalease"
)

// View returns the current view.
func (m *Detector) View() View {
	v := View{Present: m.presentCount(), Majority: m.majority, MajoritySince: m.majorityAt, Isolated: m.isolated, NameTaken: m.nameTaken}
	me := Member{Update: m.self, Since: m.since, HeardAt: m.now}
	v.Members = append(v.Members, me)
	for _, p := range m.order {
		v.Members = append(v.Members, p.Member)
	}
	slices.SortFunc(v.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	if v.Quota = (quotalease.Quota{Share: 1 / float64(m.settings.Configured), MinShare: 1 / float64(m.settings.Configured), ValidUntil: m.now}); m.lease != nil {
		v.Quota = m.lease.Quota(m.now, m.isRemoved)
	}
	return v
}

// isRemoved says whether a member is considered dead or departed, or was never seen.
func (m *Detector) isRemoved(name string) bool {
	p := m.peers[name]
	return p == nil || p.State >= Dead
}

// Others are the members that are alive, by name.
func (m *Detector) Others() []Update {
	var out []Update
	for _, p := range m.order {
		if p.State == Alive {
			out = append(out, p.Update)
		}
	}
	return out
}

// Knows says whether a name belongs to a member that is neither dead nor departed.
func (m *Detector) Knows(name string) bool {
	p := m.peers[name]
	return p != nil && p.State < Dead
}

// Size is how many members, updates and open checks are remembered.
func (m *Detector) Size() int { return len(m.peers) + len(m.updates) + len(m.relays) }

// updateMajority checks whether this side is more than half.
func (m *Detector) updateMajority() {
	if v := 2*m.presentCount() > m.settings.Configured && !m.isolated && !m.nameTaken; v != m.majority {
		m.majority, m.majorityAt = v, m.now
	}
}
