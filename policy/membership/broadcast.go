package membership

import (
	"cmp"
	"math"
	"slices"
)

// send adds this router's own state and the queued updates with the fewest transmissions to a message, and appends the
// message to those that the current call returns.
func (d *Detector) send(message Message) {
	message.From, message.Address, message.Epoch, message.Isolated = d.settings.Name, d.settings.Address, d.self.Epoch, d.isolated
	maxUpdates := d.settings.MaxUpdates
	if message.Kind == StateReply {
		maxUpdates = 0
	}
	message.Updates = append([]Update{d.self}, message.Updates...)
	limit := int(math.Ceil(d.settings.RetransmitFactor * math.Log2(float64(len(d.peers)+2))))
	slices.SortStableFunc(d.queuedUpdates, func(left, right queuedUpdate) int { return cmp.Compare(left.transmits, right.transmits) })
	for index := range d.queuedUpdates[:min(maxUpdates, len(d.queuedUpdates))] {
		d.queuedUpdates[index].transmits++
		message.Updates = append(message.Updates, d.queuedUpdates[index].Update)
	}
	d.queuedUpdates = slices.DeleteFunc(d.queuedUpdates, func(queued queuedUpdate) bool { return queued.transmits >= limit })
	d.outgoing = append(d.outgoing, message)
}

// queueUpdate queues an update for gossip in place of an older one of the same member.
func (d *Detector) queueUpdate(update Update) {
	d.queuedUpdates = slices.DeleteFunc(d.queuedUpdates, func(queued queuedUpdate) bool { return queued.Name == update.Name })
	d.queuedUpdates = append(d.queuedUpdates, queuedUpdate{Update: update})
}

type queuedUpdate struct {
	Update
	transmits int
}
