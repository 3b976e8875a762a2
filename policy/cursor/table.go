package cursor

import "fmt"

// ConnectionState is the relation of a request's connection to the subscriber's other connections.
type ConnectionState uint8

// The states of a connection.
const (
	SameConnection       ConnectionState = iota // the connection of the previous request
	NewConnection                               // another connection, which raises the generation
	SupersededConnection                        // a connection whose generation was raised elsewhere
)

// ClientState is the relation of the cursor that the client sent to the lineage that this router knows.
type ClientState uint8

// The states of the client's cursor.
const (
	ClientNone         ClientState = iota // the client sent no cursor
	ClientBehind                          // on the lineage, with later events to deliver; also if no lineage is known yet
	ClientEqual                           // the client has all events
	ClientAhead                           // beyond every position known to this router
	ClientFuture                          // so far beyond every known position that it is invalid
	ClientOtherHistory                    // on a history that the lineage left at a position before the cursor
	ClientOld                             // the events after it are no longer retained, or its history is unknown
)

// ClusterState is the relation of the cluster's cursor to the client's. The cluster's cursor is what all routers
// together know of the subscriber.
type ClusterState uint8

// The states of the cluster's cursor.
const (
	ClusterNone         ClusterState = iota // the subscriber is unknown, and no cursors have been evicted
	ClusterEvicted                          // the subscriber is unknown, and cursors have been evicted
	ClusterBehind                           // less was delivered than the client has received
	ClusterEqual                            // as much was delivered as the client has received
	ClusterAhead                            // more was delivered: an answer was lost, or this request was overtaken
	ClusterUnconfirmed                      // another router's report, which this router's lineage does not confirm
	ClusterOtherHistory                     // on a history other than the client's
)

// EndpointState is the relation of the log of the endpoint that was read to the client's cursor and to the newest known
// lineage.
type EndpointState uint8

// The states of the endpoint's log.
const (
	EndpointUnread EndpointState = iota // no endpoint has answered yet
	EndpointCovers                      // its log reaches the cursor, and its lineage contains the cursor's history
	EndpointBehind                      // its log ends before the cursor
	EndpointForked                      // its log has events that the newest known lineage does not have
)

// Outcome is the outcome of a request. Each row of the decision table leads to one.
type Outcome uint8

// The outcomes.
const (
	Impossible        Outcome = iota // can't occur: a fault of the router
	BeginAtHead                      // new subscriber: starts at the newest position, and the answer says so
	ResumeAcked                      // no cursor sent: resumes from the acknowledged position that the routers know
	Resume                           // resumes from the client's cursor
	Skip                             // overtaken by a later request: resumes from the position acknowledged since
	Rewind                           // goes back to the fork at which its history ended, and the answer says so
	Wait                             // no events now: the client is told when to retry
	ReadFirst                        // an endpoint must be read first
	ReadOtherEndpoint                // this endpoint's log must not be used: another endpoint must be read
	Snapshot                         // rejected: needs a snapshot at the newest position, from which it can resume
	Future                           // rejected like Snapshot: the client can't have received that position
	Fenced                           // rejected: superseded by another connection
	OutcomeCount      = iota
)

var outcomeNames = [OutcomeCount]string{"impossible", "begin", "recall", "resume", "skip", "rewind", "wait", "ask", "elsewhere", "snapshot", "future", "fenced"}

// String returns the name of the outcome in the design document, in rejections and in counters.
func (outcome Outcome) String() string {
	if int(outcome) < len(outcomeNames) {
		return outcomeNames[outcome]
	}
	return fmt.Sprint("row ", uint8(outcome))
}

// ChooseOutcome is the decision table. The client's cursor decides first. The cluster's cursor serves clients without
// one and detects overtaken requests. The endpoint's state decides whether its log may be used.
func ChooseOutcome(connection ConnectionState, client ClientState, cluster ClusterState, endpoint EndpointState) Outcome {
	unknown := cluster == ClusterNone || cluster == ClusterEvicted
	compared := cluster == ClusterBehind || cluster == ClusterEqual || cluster == ClusterOtherHistory
	switch {
	// A superseded connection requires that the connection that superseded it is known.
	case connection == SupersededConnection && unknown:
		return Impossible
	case client == ClientNone && compared: // without a client cursor the cluster's cursor can't be compared
		return Impossible
	case connection == SupersededConnection:
		return Fenced
	// Without a lineage the client's cursor can't be compared.
	case endpoint == EndpointUnread && client != ClientNone && client != ClientBehind:
		return Impossible
	case endpoint == EndpointUnread:
		return ReadFirst
	case endpoint == EndpointForked:
		return ReadOtherEndpoint
	case client == ClientFuture:
		return Future
	case client == ClientOld:
		return Snapshot
	case endpoint == EndpointBehind:
		return Wait
	}
	switch client { // the endpoint covers the cursor
	case ClientNone:
		switch cluster {
		case ClusterNone:
			return BeginAtHead
		case ClusterEvicted:
			return Snapshot
		}
		return ResumeAcked
	case ClientBehind:
		if connection == SameConnection && cluster == ClusterAhead {
			return Skip
		}
		return Resume
	case ClientEqual:
		// Other routers know events or histories that this router has not read yet.
		if cluster == ClusterAhead || cluster == ClusterOtherHistory {
			return ReadFirst
		}
		return Wait
	case ClientOtherHistory:
		return Rewind
	}
	return Impossible // the cursor can't be ahead of an endpoint that covers it
}

// ClassifyCluster compares the cluster's cursor with the client's. confirmed means that this router issued the
// cluster's cursor, or that its lineage contains it; evicted means that cursors have been evicted for lack of capacity.
func ClassifyCluster(client Position, hasCursor bool, known Cursor, confirmed, evicted bool) ClusterState {
	switch {
	case known.Gen == 0 && evicted:
		return ClusterEvicted
	case known.Gen == 0:
		return ClusterNone
	case !confirmed:
		return ClusterUnconfirmed
	case !hasCursor:
		return ClusterAhead // without a client cursor, any delivered position is ahead
	case known.History != client.History:
		return ClusterOtherHistory
	case known.At < client.At:
		return ClusterBehind
	case known.At == client.At:
		return ClusterEqual
	}
	return ClusterAhead
}
