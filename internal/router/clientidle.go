package router

import (
	"time"

	"lotushook/internal/ringbuffer"
)

// clientTimeouts limits the time that clients may take.
type clientTimeouts struct {
	message          time.Duration // for a complete message to arrive
	write            time.Duration // for an answer to be written, before the connection is closed
	idle             time.Duration // until a client without open requests is closed
	evictableIdle    time.Duration // the idle time from which a client may be closed when descriptors are scarce
	evictableSilence time.Duration // likewise, the connection time of a client that has not sent a query
	openRequests     time.Duration // the maximum delay of a fatal error by open requests
	firstQuery       time.Duration // for a new client to send its first query during a shutdown
	finalAnswers     time.Duration // for clients to send further queries, and to take an answer, at the end of a shutdown
	maxFinalAnswers  time.Duration // from the end of the open requests in a shutdown until all connections are closed
	lingeringClose   time.Duration // for reading and discarding input after the last message was sent
}

var defaultTimeouts = clientTimeouts{
	message:          2 * time.Second,
	write:            5 * time.Second,
	idle:             2250 * time.Millisecond,
	evictableIdle:    100 * time.Millisecond,
	evictableSilence: 20 * time.Millisecond,
	openRequests:     500 * time.Millisecond,
	firstQuery:       500 * time.Millisecond,
	finalAnswers:     100 * time.Millisecond,
	maxFinalAnswers:  time.Second,
	lingeringClose:   250 * time.Millisecond,
}

// expire wakes the reader of a client that has exceeded a timeout: one without a query, one whose message is
// incomplete, or an idle one. During a shutdown it also closes clients without open requests.
func (client *client) expire(now time.Time, draining bool) {
	client.mu.Lock()
	defer client.mu.Unlock()
	timeouts := &client.router.timeouts
	idle := now.Sub(client.idleSince)
	isPartial := !client.partialSince.IsZero()
	switch {
	case client.lingering:
	case !client.hasQueried && idle > timeouts.message, isPartial && now.Sub(client.partialSince) > timeouts.message:
		client.overdue = true // the reader sends an error and closes the connection
		client.wakeReader()
	case idle > timeouts.idle, draining && (client.hasQueried || idle > timeouts.firstQuery || client.router.shutdown.isOver()):
		client.closeIfIdleLocked()
	}
}

// idleState returns when the client was last answered, or when it connected if it has not queried yet. idle is false
// while a request is open or a message is incomplete, as the reader would not close the connection then.
func (client *client) idleState() (since time.Time, hasQueried, idle bool) {
	client.mu.Lock()
	defer client.mu.Unlock()
	idle = client.openQueries == 0 && !client.closing && !client.lingering && client.partialSince.IsZero()
	return client.idleSince, client.hasQueried, idle
}

// isClosing reports whether the connection is about to be closed.
func (client *client) isClosing() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.closing || client.rejection != nil || client.lingering
}

// lingeringState returns since when the reader waits for the client to close its side; false if it does not wait.
func (client *client) lingeringState() (since time.Time, lingering bool) {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.lingeringSince, !client.lingeringSince.IsZero()
}

// endLingering ends the wait for the client to close its side.
func (client *client) endLingering() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.lingeringSince = time.Time{}
	client.wakeReader()
}

// partialState returns since when a message is incomplete; false if none is, if a request is open, or if the connection
// is about to be closed.
func (client *client) partialState() (since time.Time, partial bool) {
	client.mu.Lock()
	defer client.mu.Unlock()
	partial = client.openQueries == 0 && client.rejection == nil && !client.lingering && !client.partialSince.IsZero()
	return client.partialSince, partial
}

// longPartialState is partialState for messages that take memory from others.
func (client *client) longPartialState() (since time.Time, partial bool) {
	client.mu.Lock()
	isLong := client.partialBytes > ringbuffer.MinSize
	client.mu.Unlock()
	since, partial = client.partialState()
	return since, partial && isLong
}

// closeIfIdle makes the reader close the connection, unless a request is open or has arrived.
func (client *client) closeIfIdle() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.closeIfIdleLocked()
}

// closeIfIdleLocked is closeIfIdle with the lock held.
func (client *client) closeIfIdleLocked() {
	if client.openQueries == 0 && !client.closing && !client.lingering {
		client.closing = true
		client.wakeReader()
	}
}
