package cursor

import (
	"fmt"

	"lotushook/policy/clock"
)

// RejectedError reports a subscriber that is rejected although the feed could be read: its row says why.
type RejectedError struct {
	Row        Row
	Forgot     bool // Snapshot: nothing is known of it any more
	Feed       string
	Subscriber string
	Had        Position // what it sent or is known to have received; none: without a history
	Begin      Position // Snapshot, Future: where it resumes after a snapshot
}

// Error describes the subscriber's cursor.
func (e *RejectedError) Error() string {
	at := fmt.Sprintf("feed %s, subscriber %.40q: ", e.Feed, e.Subscriber)
	then := fmt.Sprintf("; take a snapshot at position %d, then resume with after=%d,history=%s", e.Begin.At, e.Begin.At, e.Begin.History)
	switch {
	case e.Row == Fenced:
		return at + "another connection of it took over"
	case e.Forgot:
		return at + "it brought no cursor, and its own was let go" + then
	case e.Row == Future:
		return fmt.Sprintf("%scursor %d of %s is of the future", at, e.Had.At, e.Had.History) + then
	}
	return fmt.Sprintf("%swhat follows %d of %s is not kept", at, e.Had.At, e.Had.History) + then
}

// Kind is one of cursor-fenced, cursor-forgotten, cursor-future, cursor-old.
func (e *RejectedError) Kind() string {
	switch {
	case e.Row == Fenced:
		return "cursor-fenced"
	case e.Forgot:
		return "cursor-forgotten"
	case e.Row == Future:
		return "cursor-future"
	}
	return "cursor-old"
}

// Hint is for the subscriber's owner.
func (e *RejectedError) Hint() string {
	switch e.Row {
	case Fenced:
		return "close this connection, or give each reader a name of its own; to take the feed back, connect again"
	case Future:
		return "take the snapshot that the message names; if many see this, look for a client that sends another group's cursor"
	}
	return "take the snapshot that the message names and bring the cursor of each answer along; a longer retention or a larger most_cursors makes it rarer"
}

// OverloadedError reports a subscriber that must return later, with its cursor kept.
type OverloadedError struct {
	Why        string // returning, far, busy, waiting
	Feed       string
	Subscriber string
	Wait       clock.Nanos
}

// The reasons of OverloadedError.
const (
	CrowdReturning = "returning" // more reconnect than return_per_s
	CrowdFar       = "far"       // more are behind the ring than catch_up_per_s
	CrowdBusy      = "busy"      // its connection has an open request of the feed
	CrowdWaiting   = "waiting"   // most_waiting requests wait for data servers
)

// Error names the limit.
func (e *OverloadedError) Error() string {
	says := map[string]string{CrowdReturning: "many come back at once (feeds: return_per_s)", CrowdFar: "it is far behind, as are others (feeds: catch_up_per_s)",
		CrowdBusy: "a request of it is open on this connection", CrowdWaiting: "too many wait for data servers (feeds: most_waiting)"}[e.Why]
	return fmt.Sprintf("feed %s, subscriber %.40q: %s; its cursor is kept", e.Feed, e.Subscriber, says)
}

// Kind is feed- and the reason.
func (e *OverloadedError) Kind() string { return "feed-" + e.Why }

// Hint is for operators.
func (e *OverloadedError) Hint() string {
	switch e.Why {
	case CrowdBusy:
		return "ask again after the answer"
	case CrowdFar:
		return "come again after the time in DETAIL; a larger ring_events lets more be served without data servers"
	}
	return "come again after the time in DETAIL; raise the limit if data servers and routers have room"
}

// UnreadableError reports a feed that no member could be read for in time, or whose response was invalid; nothing was delivered.
type UnreadableError struct {
	Feed  string
	Wait  clock.Nanos
	Cause error
}

// Error describes the last try.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("feed %s: no member could be read: %v; nothing was delivered", e.Feed, e.Cause)
}

// Unwrap returns the last try's error.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Kind is feed-unread.
func (e *UnreadableError) Kind() string { return "feed-unread" }

// Hint is for operators.
func (e *UnreadableError) Hint() string {
	return "ask again with the same cursor; if it stays, look whether the group's members serve the class and are on one history"
}
