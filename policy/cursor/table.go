package cursor

import "fmt"

// Connection is the relation of a request to the subscriber's connections.
type Connection uint8

// The relations.
const (
	SameConnection       Connection = iota // on the connection of the last request
	NewConnection                          // on another connection: it raises the generation
	SupersededConnection                   // on one whose generation was raised elsewhere
)

// Client is the subscriber's cursor against the lineage that this router knows.
type Client uint8

// The relations of the client's cursor.
const (
	ClientNone   Client = iota // it sent none
	ClientBehind               // on the lineage, and there is more; or no lineage is known yet
	ClientEqual                // it has everything
	ClientAhead                // beyond all that is known here
	ClientFuture               // so far beyond that it is invalid
	ClientOther                // on a history that the lineage left before the cursor
	ClientOld                  // what follows it is not retained any more, or its history is unknown
)

// Fleet is what the routers know of the subscriber, against what the client sent.
type Fleet uint8

// The relations of the fleet's cursor.
const (
	FleetNone    Fleet = iota // the subscriber is unknown, and none was evicted
	FleetForgot               // it is unknown, and some were evicted
	FleetBehind               // less was delivered than the client has
	FleetEqual                // as much
	FleetAhead                // more: the last answer was lost, or this request was overtaken
	FleetDoubted              // reported by another router, and not confirmed
	FleetOther                // on another history than the client's
)

// Member is the log that was read, against the cursor and against the newest known lineage.
type Member uint8

// The relations of the member.
const (
	MemberUnknown Member = iota // none has answered yet
	MemberCovers                // it has the cursor's history, or knows where that ended, and is as far
	MemberBehind                // it is not as far
	MemberForked                // its log forked from the newest known lineage
)

// Row names a decision: a class of the table's rows.
type Row uint8

// The rows.
const (
	Impossible Row = iota // can't occur: asserted
	Begin                 // a new subscriber: from the newest position on, and the answer says so
	Recall                // it sent no cursor: from what it acknowledged, as the fleet knows
	Resume                // from its own cursor
	Skip                  // a request that was overtaken: from what has been acknowledged since
	Rewind                // to where its history ended, and the answer says so
	Wait                  // nothing for it now: it is told when to return
	ReadFirst             // a member must be read first
	Elsewhere             // this member is never read for it: another one
	Snapshot              // rejected: a snapshot at the newest position, then from there
	Future                // rejected, likewise: it can't have received that
	Fenced                // rejected: another connection superseded it
	RowCount   = iota
)

var rowNames = [RowCount]string{"impossible", "begin", "recall", "resume", "skip", "rewind", "wait", "ask", "elsewhere", "snapshot", "future", "fenced"}

// String is the row's name in the design note, in rejections and in counts.
func (r Row) String() string {
	if int(r) < len(rowNames) {
		return rowNames[r]
	}
	return fmt.Sprint("row ", uint8(r))
}

// Choose is the table. The client's cursor comes first; the fleet's is for clients without one, and for detecting
// an overtaken request; the member's decides whether it may be used.
func Choose(turn Connection, client Client, fleet Fleet, member Member) Row {
	nothing := fleet == FleetNone || fleet == FleetForgot
	compared := fleet == FleetBehind || fleet == FleetEqual || fleet == FleetOther
	switch {
	case turn == SupersededConnection && nothing: // the connection that superseded it is unknown
		return Impossible
	case client == ClientNone && compared: // there is nothing to compare with
		return Impossible
	case turn == SupersededConnection:
		return Fenced
	case member == MemberUnknown && client != ClientNone && client != ClientBehind: // no lineage to compare with
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
		if fleet == FleetAhead || fleet == FleetOther { // other routers have seen more than this router's lineage
			return ReadFirst
		}
		return Wait
	case ClientOther:
		return Rewind
	}
	return Impossible // ahead of a member that covers it
}

// ClassFleet classifies what is known of a subscriber against what the client sent.
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
