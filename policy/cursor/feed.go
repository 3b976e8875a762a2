package cursor

import (
	"slices"

	"lotushook/policy/clock"
)

// Feed is what this router knows of one group's log: the newest lineage that any endpoint reported, and a ring of the
// most recent events. It is not safe for concurrent use.
type Feed struct {
	settings      *Settings
	lineage       Lineage
	truncatedUpTo int64 // events up to this position are no longer retained by the endpoints
	head          int64 // the greatest known position of the lineage
	base          int64 // the ring holds all events in (base, end]
	end           int64 // the position up to which events have been read
	ring          []Event
	ringBytes     int
	read          bool        // whether any endpoint has been read
	readAt        clock.Nanos // when the end of the feed was last read
}

// NewFeed returns a feed of which nothing has been read.
func NewFeed(settings *Settings) *Feed { return &Feed{settings: settings} }

// End returns the position after which the next read of the feed's end begins. It returns false if nothing has been
// read yet: then the endpoint returns its last events.
func (feed *Feed) End() (Position, bool) { return Position{feed.lineage.Newest(), feed.end}, feed.read }

// Head returns the greatest known position with its history.
func (feed *Feed) Head() Position { return Position{feed.lineage.Newest(), feed.head} }

// Size returns the number of events in the ring and the total size of their texts.
func (feed *Feed) Size() (events, bytes int) { return len(feed.ring), feed.ringBytes }

// ClassifyEndpoint compares an endpoint's response with the newest known lineage. An endpoint on an older history is
// behind if its log has no events beyond the fork to the next history, and otherwise forked.
func (feed *Feed) ClassifyEndpoint(response *Response) EndpointState {
	newest := response.Lineage.Newest()
	if !feed.read || newest.Compare(feed.lineage.Newest()) > 0 {
		return EndpointCovers
	}
	if end, included := feed.lineage.End(newest); !included || response.Head > end {
		return EndpointForked
	}
	if response.Head < feed.head {
		return EndpointBehind
	}
	return EndpointCovers
}

// Apply merges an endpoint's response, which must have passed Check. The response of a forked endpoint is ignored.
// isEndRead means that the read asked for the events after the end of the feed.
func (feed *Feed) Apply(now clock.Nanos, response *Response, isEndRead bool) EndpointState {
	state := feed.ClassifyEndpoint(response)
	if state == EndpointForked {
		return state
	}
	switch order := response.Lineage.Newest().Compare(feed.lineage.Newest()); {
	case !feed.read:
		feed.lineage, feed.base, feed.end, feed.read = slices.Clone(response.Lineage), response.From, response.From, true
	case order > 0: // a failover
		if forkedAt, included := response.Lineage.End(feed.lineage.Newest()); !included {
			feed.truncate(0)
		} else if forkedAt < feed.end {
			feed.truncate(forkedAt)
		}
		feed.lineage, feed.head, feed.truncatedUpTo = slices.Clone(response.Lineage), 0, 0
	}
	if feed.head = max(feed.head, response.Head); response.Head >= feed.head {
		feed.truncatedUpTo = max(feed.truncatedUpTo, response.TruncatedUpTo)
	}
	if isEndRead {
		feed.readAt = now
	}
	// The response begins after the end of the feed: the events in between are no longer available.
	if response.From > feed.end && response.From <= response.Head {
		feed.truncate(0)
		feed.base, feed.end = response.From, response.From
	}
	for _, event := range response.Events {
		if event.At > feed.end {
			feed.ring, feed.end, feed.ringBytes = append(feed.ring, event), event.At, feed.ringBytes+len(event.Text)
		}
	}
	if !response.More {
		feed.end = max(feed.end, response.Head)
	}
	dropped := 0
	for dropped < len(feed.ring) && (len(feed.ring)-dropped > feed.settings.RingEvents || feed.ringBytes > feed.settings.RingBytes) {
		feed.ringBytes -= len(feed.ring[dropped].Text)
		feed.base = feed.ring[dropped].At
		dropped++
	}
	feed.ring = slices.Delete(feed.ring, 0, dropped)
	return state
}

// truncate removes the events after a position.
func (feed *Feed) truncate(position int64) {
	kept, _ := slices.BinarySearchFunc(feed.ring, position+1, func(event Event, position int64) int { return int(min(max(event.At-position, -1), 1)) })
	for _, event := range feed.ring[kept:] {
		feed.ringBytes -= len(event.Text)
	}
	feed.ring = slices.Delete(feed.ring, kept, len(feed.ring))
	feed.end, feed.base = min(feed.end, position), min(feed.base, position)
}

// ClassifyClient compares a client's cursor with the lineage. A position without a history stands for no cursor.
func (feed *Feed) ClassifyClient(position Position) ClientState {
	end, included := feed.lineage.End(position.History)
	switch {
	case position.History == (History{}):
		return ClientNone
	case !feed.read:
		return ClientBehind
	case !included && position.History.Compare(feed.lineage.Newest()) > 0 && position.Era <= feed.lineage.Newest().Era+MaxLineage:
		return ClientAhead
	case !included && position.History.Compare(feed.lineage.Newest()) > 0:
		return ClientFuture
	case !included, min(position.At, end) < feed.truncatedUpTo:
		return ClientOld
	case position.At > end:
		return ClientOtherHistory
	case position.At > feed.head+feed.settings.MaxAhead:
		return ClientFuture
	case position.At > feed.head:
		return ClientAhead
	case position.At == feed.head:
		return ClientEqual
	}
	return ClientBehind
}

// ReadRequirement is the read that must precede the answer to a request.
type ReadRequirement uint8

// The read requirements.
const (
	NoRead ReadRequirement = iota
	// A read of the events after the end of the feed; one read serves all subscribers.
	ReadEnd
	// A read of the events after a start position behind the ring; one read serves all subscribers with the same start.
	ReadCatchUp
)

// Decision is the decision on one request.
type Decision struct {
	Outcome      Outcome
	RequiredRead ReadRequirement
	// BeginAtHead, ResumeAcked, Resume, Skip, Rewind: the answer contains the events after this position.
	Start Position
	// Rewind: the position from which the subscriber goes back. It is beyond the fork at which its history ended.
	Stale Position
}

// Request describes one request of a subscriber.
type Request struct {
	Connection ConnectionState
	// The cursor that the subscriber sent, or the last one that it received on this connection; none if History is
	// zero.
	Client     Position
	Known      Cursor // what all routers together know of the subscriber; the zero Cursor if nothing
	IssuedHere bool   // whether this router issued Known
	Evicted    bool   // whether cursors have been evicted, so that an unknown subscriber may have had one
}

// Decide decides on a request. The caller calls it again after each read that the decision requires. mayReadAgain is
// false if there is no time for another read of the feed's end.
func (feed *Feed) Decide(now clock.Nanos, request Request, mayReadAgain bool) Decision {
	decision := feed.chooseStart(request)
	stale := !feed.read || mayReadAgain && now-feed.readAt >= feed.settings.EndReadInterval
	switch decision.Outcome {
	case Wait, BeginAtHead, ReadFirst:
		if stale {
			decision.RequiredRead = ReadEnd
		} else if decision.Outcome == ReadFirst {
			decision.Outcome = Wait // the end was just read: the client is told when to retry
		}
	case Resume, ResumeAcked, Skip, Rewind:
		switch {
		case decision.Start.At < feed.base:
			decision.RequiredRead = ReadCatchUp
		case decision.Start.At >= feed.end && (stale || feed.end < feed.head):
			decision.RequiredRead = ReadEnd
		}
	}
	return decision
}

func (feed *Feed) chooseStart(request Request) Decision {
	client := feed.ClassifyClient(request.Client)
	_, included := feed.lineage.End(request.Known.History)
	confirmed := request.IssuedHere || included && request.Known.At <= feed.head
	if client == ClientNone && request.Connection == NewConnection && request.Known.Acked == NotAcknowledged {
		request.Known = Cursor{} // the subscriber may not have received its start position: it starts again
	}
	cluster := ClassifyCluster(request.Client, client != ClientNone, request.Known, confirmed, request.Evicted)
	decision := Decision{Outcome: ChooseOutcome(request.Connection, client, cluster, feed.endpointState(client)), Start: request.Client}
	switch decision.Outcome {
	case ResumeAcked: // resume from the acknowledged position that the routers know
		acked := Position{request.Known.History, request.Known.Acked}
		if request.Connection == SameConnection { // this request shows that the previous answer arrived
			acked.At = request.Known.At
		}
		client = feed.ClassifyClient(acked)
		decision.Start = acked
		// The subscriber may have received events that the failover lost, whether or not it acknowledged them.
		if feed.ClassifyClient(request.Known.Position) == ClientOtherHistory && client != ClientOld {
			decision.Outcome, decision.Stale = Rewind, request.Known.Position
			end, _ := feed.lineage.End(acked.History)
			decision.Start.At = min(acked.At, end)
			return decision
		}
		if outcome := ChooseOutcome(NewConnection, client, ClusterEqual, feed.endpointState(client)); outcome != Resume {
			decision.Outcome = outcome
		}
	case Skip:
		decision.Start.At = max(decision.Start.At, request.Known.Acked)
	case BeginAtHead:
		decision.Start = feed.Head()
	}
	if decision.Outcome == Rewind {
		decision.Stale = decision.Start
		decision.Start.At, _ = feed.lineage.End(decision.Start.History)
	}
	return decision
}

// endpointState returns the state of the feed's log relative to a client's cursor. It is never EndpointForked, because
// Apply ignores the responses of forked endpoints.
func (feed *Feed) endpointState(client ClientState) EndpointState {
	switch {
	case !feed.read:
		return EndpointUnread
	case client == ClientAhead:
		return EndpointBehind
	}
	return EndpointCovers
}

// Batch returns the events that a subscriber receives after a start position, and its cursor after them. The events
// come from the ring or, if catchUp is not nil, from a catch-up read. The cursor is on the newest history, so that it
// is greater than the previous one also for a subscriber that was sent back to a fork.
func (feed *Feed) Batch(start Position, catchUp []Event) (events []Event, next Position, more bool) {
	next = Position{feed.lineage.Newest(), start.At}
	source := feed.ring
	if catchUp != nil {
		source = catchUp
	}
	first, _ := slices.BinarySearchFunc(source, start.At+1, func(event Event, position int64) int { return int(min(max(event.At-position, -1), 1)) })
	size := 0
	for _, event := range source[first:] {
		if len(events) == feed.settings.BatchEvents || len(events) > 0 && size+len(event.Text) > feed.settings.BatchBytes {
			return events, next, true
		}
		size += len(event.Text)
		next.At = event.At
		events = append(events, event)
	}
	return events, next, next.At < feed.head
}
