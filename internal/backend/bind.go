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
	bindUnwanted              // the answer deadline has passed, or the query is not wanted any more
	bindNotAllowed            // the endpoint must not get new queries
	bindMoved                 // the endpoint has another address now
	bindUnusable              // the connection has ended or carries unread bytes
	bindDemoted               // the endpoint has reported that it is no longer the primary
	bindStale                 // the fresh deadline has passed: the endpoint may be too far behind
)

// bind binds the attempt to the connection that its query will be sent on. It is the last step before the first byte is
// written and the only place that checks whether the query may be sent: conditions that held before a dial or a wait
// may have changed since.
func (attempt *Attempt) bind(conn *serverConn) bindResult {
	address, ready := conn.pool.Directory.Address(conn.endpoint)
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	now := time.Now()
	switch {
	case attempt.ended:
		return bindEnded
	case !ready:
		return bindNotAllowed
	case !now.Before(attempt.deadlines.Answer) || attempt.stillWanted != nil && !attempt.stillWanted():
		return bindUnwanted
	case address != conn.address:
		return bindMoved
	case !attempt.deadlines.AsPrimary.IsZero() && conn.pool.roles.isReplicaSince(conn.endpoint, attempt.deadlines.AsPrimary):
		return bindDemoted
	case !attempt.deadlines.Fresh.IsZero() && now.After(attempt.deadlines.Fresh):
		return bindStale
	}
	invariant.Check(attempt.conn == nil, "an attempt is bound to one connection at a time")
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.unsolicited || conn.closed || conn.hasUnread() {
		return bindUnusable
	}
	attempt.conn = conn
	invariant.Check(conn.current == nil, "a connection carries one request at a time")
	conn.current, conn.sentAt = attempt, now
	return bindOK
}

// unbind detaches the attempt from a connection on which its query was not written completely. It reports whether the
// attempt is still running.
func (attempt *Attempt) unbind() bool {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	attempt.conn = nil
	return !attempt.ended
}
