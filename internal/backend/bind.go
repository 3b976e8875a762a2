package backend

import (
	"time"

	"lotushook/internal/invariant"
)

// bindResult is the result of binding an attempt to a connection.
type bindResult int

const (
	bindOK         bindResult = iota
	bindEnded                 // the attempt has ended
	bindUnwanted              // its deadline has passed, or its answer is not wanted any more
	bindNotAllowed            // its endpoint must not get new queries
	bindMoved                 // its endpoint has another address now
	bindUnusable              // the connection can't be used
	bindStale                 // its endpoint may be too far behind by now
)

// bind binds the attempt to the connection that its query is sent on: the last step
// before the first byte, and the only one that checks whether it may be sent. What was
// decided before a dial or a wait may have been overtaken by then.
func (a *Attempt) bind(c *serverConn) bindResult {
	dial, ready := c.pool.Directory.Address(c.endpoint)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	switch {
	case a.ended:
		return bindEnded
	case !ready:
		return bindNotAllowed
	case !now.Before(a.deadlines.Answer) || a.stillWanted != nil && !a.stillWanted():
		return bindUnwanted
	case dial != c.address:
		return bindMoved
	case !a.deadlines.Fresh.IsZero() && now.After(a.deadlines.Fresh):
		return bindStale
	}
	invariant.Check(a.conn == nil, "an attempt is sent once")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsolicited || c.closed || c.hasUnread() {
		return bindUnusable
	}
	a.conn = c
	invariant.Check(c.current == nil, "a connection carries one request at a time")
	c.current, c.sentAt = a, now
	return bindOK
}

// unbind frees the attempt from a connection that did not take its query completely; it
// says whether the attempt goes on.
func (a *Attempt) unbind() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.ended
}
