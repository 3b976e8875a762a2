package cursor

import (
	"fmt"

	"lotushook/policy/clock"
)

// RejectedError reports that a subscriber was rejected although the feed could be read. Outcome is the reason.
type RejectedError struct {
	Outcome          Outcome
	Forgotten        bool // Snapshot: the routers know nothing of the subscriber any more
	Feed             string
	Subscriber       string
	Received         Position // the subscriber sent this position or is known to have received it; zero: unknown
	SnapshotPosition Position // Snapshot, Future: the subscriber can take a snapshot at this position and resume from it
}

// Error describes the rejected cursor and how to resume.
func (err *RejectedError) Error() string {
	prefix := fmt.Sprintf("feed %s, subscriber %.40q: ", err.Feed, err.Subscriber)
	advice := fmt.Sprintf("; take a snapshot at position %d, then resume with after=%d,history=%s", err.SnapshotPosition.At, err.SnapshotPosition.At, err.SnapshotPosition.History)
	switch {
	case err.Outcome == Fenced:
		return prefix + "another connection of it took over"
	case err.Forgotten:
		return prefix + "it brought no cursor, and its own was let go" + advice
	case err.Outcome == Future:
		return fmt.Sprintf("%scursor %d of %s is of the future", prefix, err.Received.At, err.Received.History) + advice
	}
	return fmt.Sprintf("%swhat follows %d of %s is not kept", prefix, err.Received.At, err.Received.History) + advice
}

// Kind returns cursor-fenced, cursor-forgotten, cursor-future or cursor-old.
func (err *RejectedError) Kind() string {
	switch {
	case err.Outcome == Fenced:
		return "cursor-fenced"
	case err.Forgotten:
		return "cursor-forgotten"
	case err.Outcome == Future:
		return "cursor-future"
	}
	return "cursor-old"
}

// Hint returns advice for the owner of the subscriber.
func (err *RejectedError) Hint() string {
	switch err.Outcome {
	case Fenced:
		return "close this connection, or give each reader a name of its own; to take the feed back, connect again"
	case Future:
		return "take the snapshot that the message names; if many see this, look for a client that sends another group's cursor"
	}
	return "take the snapshot that the message names and bring the cursor of each answer along; a longer retention or a larger most_cursors makes it rarer"
}

// OverloadedError reports that a subscriber must retry later. The subscriber's cursor is retained.
type OverloadedError struct {
	Reason     string // one of the Reason constants
	Feed       string
	Subscriber string
	RetryAfter clock.Nanos
}

// The reasons of an OverloadedError.
const (
	ReasonReconnects = "returning" // reconnects exceed return_per_s
	ReasonCatchUp    = "far"       // reads of subscribers behind the ring exceed catch_up_per_s
	ReasonBusy       = "busy"      // another request for the feed is in flight on the connection
	ReasonWaiting    = "waiting"   // most_waiting requests are already waiting for data servers
)

// Error names the limit that was reached.
func (err *OverloadedError) Error() string {
	explanation := map[string]string{ReasonReconnects: "many come back at once (feeds: return_per_s)", ReasonCatchUp: "it is far behind, as are others (feeds: catch_up_per_s)",
		ReasonBusy: "a request of it is open on this connection", ReasonWaiting: "too many wait for data servers (feeds: most_waiting)"}[err.Reason]
	return fmt.Sprintf("feed %s, subscriber %.40q: %s; its cursor is kept", err.Feed, err.Subscriber, explanation)
}

// Kind returns the reason with the prefix feed-.
func (err *OverloadedError) Kind() string { return "feed-" + err.Reason }

// Hint returns advice for operators.
func (err *OverloadedError) Hint() string {
	switch err.Reason {
	case ReasonBusy:
		return "ask again after the answer"
	case ReasonCatchUp:
		return "come again after the time in DETAIL; a larger ring_events lets more be served without data servers"
	}
	return "come again after the time in DETAIL; raise the limit if data servers and routers have room"
}

// UnreadableError reports that no endpoint could be read in time for a feed, or that its response was invalid. Nothing
// was delivered.
type UnreadableError struct {
	Feed       string
	RetryAfter clock.Nanos
	Cause      error
}

// Error describes the last attempt.
func (err *UnreadableError) Error() string {
	return fmt.Sprintf("feed %s: no member could be read: %v; nothing was delivered", err.Feed, err.Cause)
}

// Unwrap returns the error of the last attempt.
func (err *UnreadableError) Unwrap() error { return err.Cause }

// Kind returns feed-unread.
func (err *UnreadableError) Kind() string { return "feed-unread" }

// Hint returns advice for operators.
func (err *UnreadableError) Hint() string {
	return "ask again with the same cursor; if it stays, look whether the group's members serve the class and are on one history"
}
