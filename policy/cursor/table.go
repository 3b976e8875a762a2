package cursor

import "fmt"

// Connection is how a request stands to the subscriber's connections.
type Connection uint8

// The turns.
const (
	SameConnection       Connection = iota // on the connection that asked last
	NewConnection                          // on another connection than it was: it raises the generation
	SupersededConnection                   // on one whose generation was raised elsewhere
)

// Client is the subscriber's cursor against the line that this router knows.
type Client uint8

// Where the client's cursor stands.
const (
	ClientNone   Client = iota // it brought none
	ClientBehind               // on the line, and there is more; or no line is known yet
	ClientEqual                // it has all
	ClientAhead                // beyond all that is known here
	ClientFuture               // so far beyond that it is no cursor of this log
	ClientOther                // on a history that the line left before the cursor
	ClientOld                  // what follows it is not kept any more, or nobody knows its history
)

// Fleet is what the routers know of the subscriber, against what the client brought.
type Fleet uint8

// Where the fleet's cursor stands.
const (
	FleetNone    Fleet = iota // nobody knows the subscriber, and nobody was let go
	FleetForgot               // nobody knows it, and some were let go
	FleetBehind               // less was delivered than the client has
	FleetEqual                // as much
	FleetAhead                // more: the last answer was lost, or this request was overtaken
	FleetDoubted              // another router says so, which nothing here has proven
	FleetOther                // on another history than the client's
)

// Member is the log that was read, against the cursor and against the newest line that is known.
type Member uint8

// Where the member stands.
const (
	MemberUnknown Member = iota // none has answered yet
	MemberCovers                // it has the cursor's history, or knows where that ended, and is as far
	MemberBehind                // it has not come so far
	MemberForked                // its log went another way than the newest known line
)

// Row names what is done: a class of the table's rows.
type Row uint8

// The rows.
const (
	Impossible Row = iota // can't occur: asserted
	Begin                 // a new subscriber: from the newest position on, and the answer says so
	Recall                // it brought no cursor: from what it acknowledged, as the fleet knows
	Resume                // from its own cursor
	Skip                  // a request that was overtaken: from what it has acknowledged since
	Rewind                // to where its history ended, and the answer says so
	Wait                  // nothing for it now: it is told when to come again
	ReadFirst             // a member must be read first
	Elsewhere             // this member is never read for it: another one
	Snapshot              // refused: a snapshot at the newest position, then from there
	Future                // refused, likewise: it can't have had that
	Fenced                // refused: another connection took over
	RowCount   = iota
)

var rowNames = [RowCount]string{"impossible", "begin", "recall", "resume", "skip", "rewind", "wait", "ask", "elsewhere", "snapshot", "future", "fenced"}

// String is the row's name in the design note, in refusals and in counts.
func (r Row) String() string {
	if int(r) < len(rowNames) {
		return rowNames[r]
	}
	return fmt.Sprint("row ", uint8(r))
}

// Choose is the table. The client's word on what it has goes first; the fleet's is for those that bring none, and for telling
// an overtaken request; the member's decides whether it may be used.
func Choose(turn Connection, client Client, fleet Fleet, member Member) Row {
	nothing := fleet == FleetNone || fleet == FleetForgot
	compared := fleet == FleetBehind || fleet == FleetEqual || fleet == FleetOther
	switch {
	case turn == SupersededConnection && nothing: // nobody knows of the connection that outran it
		return Impossible
	case client == ClientNone && compared: // there is nothing to compare with
		return Impossible
	case turn == SupersededConnection:
		return Fenced
	case member == MemberUnknown && client != ClientNone && client != ClientBehind: // no line to stand so to
		return Impossible
	case member == MemberUnknown:
		return ReadFirst
	case member == MemberForked:
		return Elsewhere
	case client == ClientFuture:
		return Future
	case client == ClientOld:
		return Snapshot
	case member == MemberBehind:
		return Wait
	}
	switch client { // the member covers it
	case ClientNone:
		switch fleet {
		case FleetNone:
			return Begin
		case FleetForgot:
			return Snapshot
		}
		return Recall
	case ClientBehind:
		if turn == SameConnection && fleet == FleetAhead {
			return Skip
		}
		return Resume
	case ClientEqual:
		if fleet == FleetAhead || fleet == FleetOther { // others have seen more than this router's line
			return ReadFirst
		}
		return Wait
	case ClientOther:
		return Rewind
	}
	return Impossible // ahead of a member that covers it
}

// ClassFleet classes what is known of a subscriber against what the client brought.
func ClassFleet(client Position, brought bool, known Cursor, proven, letGo bool) Fleet {
	switch {
	case known.Gen == 0 && letGo:
		return FleetForgot
	case known.Gen == 0:
		return FleetNone
	case !proven:
		return FleetDoubted
	case !brought:
		return FleetAhead // of nothing
	case known.History != client.History:
		return FleetOther
	case known.At < client.At:
		return FleetBehind
	case known.At == client.At:
		return FleetEqual
	}
	return FleetAhead
}
