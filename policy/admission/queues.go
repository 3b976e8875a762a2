package admission

import "lotushook/policy/clock"

// state is where a held connection stands.
type state int

const (
	silent  state = iota // has not started
	started              // has started and asked for nothing
	idle                 // has asked, and nothing of it is open
	busy                 // waits for an answer
	closing              // told to close
	states
)

// connection is one connection.
type connection struct {
	id      ID
	address *source
	prefix  *source
	reserve int // index in Settings.Reserves, -1: common
	state   state
	since   clock.Nanos // in this state

	next, prev        *connection // in its queue, the longest there first
	nextOfAddress     *connection // the next and the one before of its address, while silent
	previousOfAddress *connection
}

// queue is a list of connections in one state, the longest there first. Nothing
// is allocated for it, and each is taken out in one step.
type queue struct {
	first, last *connection
	len         int
}

func (q *queue) push(h *connection) {
	h.prev, h.next = q.last, nil
	if q.last != nil {
		q.last.next = h
	} else {
		q.first = h
	}
	q.last = h
	q.len++
}

func (q *queue) remove(h *connection) {
	if h.prev != nil {
		h.prev.next = h.next
	} else {
		q.first = h.next
	}
	if h.next != nil {
		h.next.prev = h.prev
	} else {
		q.last = h.prev
	}
	h.next, h.prev = nil, nil
	q.len--
}

// silentList is the list of the silent connections of one address, the longest first.
type silentList struct{ first, last *connection }

func (m *silentList) push(h *connection) {
	h.previousOfAddress, h.nextOfAddress = m.last, nil
	if m.last != nil {
		m.last.nextOfAddress = h
	} else {
		m.first = h
	}
	m.last = h
}

func (m *silentList) remove(h *connection) {
	if h.previousOfAddress != nil {
		h.previousOfAddress.nextOfAddress = h.nextOfAddress
	} else {
		m.first = h.nextOfAddress
	}
	if h.nextOfAddress != nil {
		h.nextOfAddress.previousOfAddress = h.previousOfAddress
	} else {
		m.last = h.previousOfAddress
	}
	h.nextOfAddress, h.previousOfAddress = nil, nil
}
