package admission

import "lotushook/policy/clock"

// connectionState is the state of an open connection.
type connectionState int

const (
	silent  connectionState = iota // has not sent its startup message
	started                        // has sent its startup message, but no request
	idle                           // has sent requests, all of which are answered
	busy                           // waits for a response
	closing                        // being evicted
	stateCount
)

// clientConnection is one connection from a client.
type clientConnection struct {
	id         ID
	address    *sourceEntry
	prefix     *sourceEntry
	reserve    int // index in Settings.Reserves; -1: none
	state      connectionState
	stateSince clock.Nanos // when it entered its state

	next, previous *clientConnection // in its queue, ordered by stateSince
	nextSilent     *clientConnection // among the silent connections of its address
	previousSilent *clientConnection
}

// connectionQueue is a linked list of connections in the same state, in the order in which they entered it. It
// allocates nothing, and removal takes constant time.
type connectionQueue struct {
	first, last *clientConnection
	len         int
}

func (queue *connectionQueue) push(connection *clientConnection) {
	connection.previous, connection.next = queue.last, nil
	if queue.last != nil {
		queue.last.next = connection
	} else {
		queue.first = connection
	}
	queue.last = connection
	queue.len++
}

func (queue *connectionQueue) remove(connection *clientConnection) {
	if connection.previous != nil {
		connection.previous.next = connection.next
	} else {
		queue.first = connection.next
	}
	if connection.next != nil {
		connection.next.previous = connection.previous
	} else {
		queue.last = connection.previous
	}
	connection.next, connection.previous = nil, nil
	queue.len--
}

// silentList is a linked list of the silent connections of one address, in the order in which they became silent.
type silentList struct{ first, last *clientConnection }

func (list *silentList) push(connection *clientConnection) {
	connection.previousSilent, connection.nextSilent = list.last, nil
	if list.last != nil {
		list.last.nextSilent = connection
	} else {
		list.first = connection
	}
	list.last = connection
}

func (list *silentList) remove(connection *clientConnection) {
	if connection.previousSilent != nil {
		connection.previousSilent.nextSilent = connection.nextSilent
	} else {
		list.first = connection.nextSilent
	}
	if connection.nextSilent != nil {
		connection.nextSilent.previousSilent = connection.previousSilent
	} else {
		list.last = connection.previousSilent
	}
	connection.nextSilent, connection.previousSilent = nil, nil
}
