package membership

import (
	"cmp"
	"math"
	"slices"
)

// send adds this router's own state and the least often sent updates to a message.
func (m *Detector) send(msg Message) {
	msg.From, msg.Address, msg.Epoch, msg.Isolated = m.settings.Name, m.settings.Address, m.self.Epoch, m.isolated
	most := m.settings.MaxUpdates
	if msg.Kind == StateReply {
		most = 0
	}
	msg.Updates = append([]Update{m.self}, msg.Updates...)
	limit := int(math.Ceil(m.settings.RetransmitFactor * math.Log2(float64(len(m.peers)+2))))
	slices.SortStableFunc(m.updates, func(x, y queuedUpdate) int { return cmp.Compare(x.transmits, y.transmits) })
	for i := range m.updates[:min(most, len(m.updates))] {
		m.updates[i].transmits++
		msg.Updates = append(msg.Updates, m.updates[i].Update)
	}
	m.updates = slices.DeleteFunc(m.updates, func(n queuedUpdate) bool { return n.transmits >= limit })
	m.out = append(m.out, msg)
}

// broadcast queues an update, in place of an older one of the same member.
func (m *Detector) broadcast(u Update) {
	m.updates = slices.DeleteFunc(m.updates, func(n queuedUpdate) bool { return n.Name == u.Name })
	m.updates = append(m.updates, queuedUpdate{Update: u})
}

type queuedUpdate struct {
	Update
	transmits int
}
