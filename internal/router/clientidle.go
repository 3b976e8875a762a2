package router

import "time"

// clientTimeouts is how long clients may take.
type clientTimeouts struct {
	message        time.Duration // a message that is not complete by then is given up
	write          time.Duration // an answer that is not taken by then ends the connection
	idle           time.Duration // a client with nothing open is closed after this
	evictable      time.Duration // in a crowd, one may be closed that idles so long
	silent         time.Duration // or that is connected so long and has sent nothing
	openRequests   time.Duration // open requests hold a fatal error up for so long
	firstQuery     time.Duration // from a router that stops, a client that has not queried yet has so long to do so
	finalAnswers   time.Duration // and at the very end all have so long to take their answers
	lingeringClose time.Duration // after the last message the connection is read to its end for so long
}

var defaultTimeouts = clientTimeouts{
	message:        2 * time.Second,
	write:          5 * time.Second,
	idle:           2250 * time.Millisecond,
	evictable:      100 * time.Millisecond,
	silent:         20 * time.Millisecond,
	openRequests:   500 * time.Millisecond,
	firstQuery:     500 * time.Millisecond,
	finalAnswers:   100 * time.Millisecond,
	lingeringClose: 250 * time.Millisecond,
}

// expire ends what takes too long: a client that has queried nothing, a message that does not come to its end, a
// connection that idles; and one that is asked to go by a router that stops.
func (c *client) expire(now time.Time, draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeouts := &c.router.timeouts
	idle := now.Sub(c.idleSince)
	isPartial := !c.partialSince.IsZero()
	switch {
	case c.lingering:
	case !c.hasQueried && idle > timeouts.message, isPartial && now.Sub(c.partialSince) > timeouts.message:
		c.overdue = true // the reader says so and ends
		c.wakeReader()
	case idle > timeouts.idle, draining && (c.hasQueried || idle > timeouts.firstQuery || c.router.shutdown.isOver()):
		c.closeIfIdleLocked()
	}
}

// idleState is when the client was last answered, or connected if it never queried; idle is false while it waits, and
// while a message of its is incomplete: its reader would not end it.
func (c *client) idleState() (since time.Time, hasQueried, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle = c.openQueries == 0 && !c.closing && !c.lingering && c.partialSince.IsZero()
	return c.idleSince, c.hasQueried, idle
}

// isClosing says whether the client's place will soon be free.
func (c *client) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.rejection != nil || c.lingering
}

// lingeringState is since when the client's end is waited for; false where it is not, or not any more.
func (c *client) lingeringState() (since time.Time, lingering bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingeringSince, !c.lingeringSince.IsZero()
}

// endLingering closes a connection without waiting any longer for the client's end.
func (c *client) endLingering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingeringSince = time.Time{}
	c.wakeReader()
}

// partialState is since when a message is incomplete; false where none is, or a request is open.
func (c *client) partialState() (since time.Time, partial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	partial = c.openQueries == 0 && c.rejection == nil && !c.lingering && !c.partialSince.IsZero()
	return c.partialSince, partial
}

// closeIfIdle has the reader close the connection, unless a request is open or has come.
func (c *client) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfIdleLocked()
}

// closeIfIdleLocked is closeIfIdle with the lock held.
func (c *client) closeIfIdleLocked() {
	if c.openQueries == 0 && !c.closing && !c.lingering {
		c.closing = true
		c.wakeReader()
	}
}
