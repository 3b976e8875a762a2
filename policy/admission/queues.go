package admission

import "lotushook/policy/clock"

// state is the state of a connection held.
type state int

const (
	silent  state = iota // has not sent its startup message
	started              // has started and sent no query
	idle                 // has queried, and no request of it is open
	busy                 // waits for an answer
	closing              // being evicted
	states
)

// connection is one client connection.
type connection struct {
	id      ID
	address *source
	prefix  *source
	reserve int // index in Settings.Reserves; -1: common
	state   state
	since   clock.Nanos // when it entered its state

	next, prev        *connection // in its queue, the longest in the state first
	nextOfAddress     *connection // its neighbors among the silent ones of its address
	previousOfAddress *connection
}

// queue is a linked list of connections in one state, the longest in it first. It
// allocates nothing, and removal takes constant time.
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
