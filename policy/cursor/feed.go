package cursor

import (
	"slices"

	"lotushook/policy/clock"
)

// Feed is what this router knows of one group's log: the newest lineage that any member showed, and the events since some
// position. It is not safe for concurrent use.
type Feed struct {
	settings      *Settings
	lineage       Lineage
	truncatedUpTo int64 // events up to it are not retained by the members
	head          int64 // the greatest position seen on the lineage
	base          int64 // the ring has all events after it
	newest        int64 // up to it
	ring          []Event
	bytes         int
	hasRead       bool        // of any member
	readAt        clock.Nanos // when its end was last read
}

// NewFeed returns a feed of which nothing is known.
func NewFeed(s *Settings) *Feed { return &Feed{settings: s} }

// End is the position that the next read of its end starts from; none: the member's choice.
func (f *Feed) End() (Position, bool) { return Position{f.lineage.Newest(), f.newest}, f.hasRead }

// Head is the newest position that was seen, and its history.
func (f *Feed) Head() Position { return Position{f.lineage.Newest(), f.head} }

// Size is how many events are held, and the size of their texts.
func (f *Feed) Size() (events, bytes int) { return len(f.ring), f.bytes }

// ClassMember classifies a member's response against the newest known lineage: one on an older history is behind as long
// as it has no events that the lineage left out, and forked from then on.
func (f *Feed) ClassMember(a *Response) Member {
	newest := a.Line.Newest()
	if !f.hasRead || newest.Compare(f.lineage.Newest()) > 0 {
		return MemberCovers
	}
	if end, on := f.lineage.End(newest); !on || a.Head > end {
		return MemberForked
	}
	if a.Head < f.head {
		return MemberBehind
	}
	return MemberCovers
}

// Apply merges a member's response, which must have passed Check. That of a forked member is ignored. End says whether it
// was for what follows the feed's end.
func (f *Feed) Apply(now clock.Nanos, a *Response, end bool) Member {
	m := f.ClassMember(a)
	if m == MemberForked {
		return m
	}
	switch n := a.Line.Newest().Compare(f.lineage.Newest()); {
	case !f.hasRead:
		f.lineage, f.base, f.newest, f.hasRead = slices.Clone(a.Line), a.From, a.From, true
	case n > 0: // a take-over
		if at, on := a.Line.End(f.lineage.Newest()); !on {
			f.truncate(0)
		} else if at < f.newest {
			f.truncate(at)
		}
		f.lineage, f.head, f.truncatedUpTo = slices.Clone(a.Line), 0, 0
	}
	if f.head = max(f.head, a.Head); a.Head >= f.head {
		f.truncatedUpTo = max(f.truncatedUpTo, a.TruncatedUpTo)
	}
	if end {
		f.readAt = now
	}
	if a.From > f.newest && a.From <= a.Head { // a gap: the events before it are not available any more
		f.truncate(0)
		f.base, f.newest = a.From, a.From
	}
	for _, e := range a.Events {
		if e.At > f.newest {
			f.ring, f.newest, f.bytes = append(f.ring, e), e.At, f.bytes+len(e.Text)
		}
	}
	if !a.More {
		f.newest = max(f.newest, a.Head)
	}
	drop := 0
	for drop < len(f.ring) && (len(f.ring)-drop > f.settings.RingEvents || f.bytes > f.settings.RingBytes) {
		f.bytes -= len(f.ring[drop].Text)
		f.base = f.ring[drop].At
		drop++
	}
	f.ring = slices.Delete(f.ring, 0, drop)
	return m
}

// truncate drops the events after a position.
func (f *Feed) truncate(at int64) {
	keep, _ := slices.BinarySearchFunc(f.ring, at+1, func(e Event, at int64) int { return int(min(max(e.At-at, -1), 1)) })
	for _, e := range f.ring[keep:] {
		f.bytes -= len(e.Text)
	}
	f.ring = slices.Delete(f.ring, keep, len(f.ring))
	f.newest, f.base = min(f.newest, at), min(f.base, at)
}

// ClassClient classifies a cursor against the lineage; none is one without a history.
func (f *Feed) ClassClient(p Position) Client {
	end, on := f.lineage.End(p.History)
	switch {
	case p.History == (History{}):
		return ClientNone
	case !f.hasRead:
		return ClientBehind
	case !on && p.History.Compare(f.lineage.Newest()) > 0 && p.Era <= f.lineage.Newest().Era+MaxLineage:
		return ClientAhead
	case !on && p.History.Compare(f.lineage.Newest()) > 0:
		return ClientFuture
	case !on, min(p.At, end) < f.truncatedUpTo:
		return ClientOld
	case p.At > end:
		return ClientOther
	case p.At > f.head+f.settings.MaxAhead:
		return ClientFuture
	case p.At > f.head:
		return ClientAhead
	case p.At == f.head:
		return ClientEqual
	}
	return ClientBehind
}

// Requirement is what must be read before a request can be answered.
type Requirement uint8

// The requirements.
const (
	NothingNeeded Requirement = iota
	ReadEnd                   // what follows the feed's end: shared by all
	ReadCatchUp               // what follows a start behind the ring: shared by those with the same start
)

// Verdict is the decision on one request.
type Verdict struct {
	Row   Row
	Need  Requirement
	Start Position // with Begin to Rewind: the answer's events are those after it
	Stale Position // Rewind: where the client stood
}

// Request is the state of one request.
type Request struct {
	Turn   Connection
	Client Position // what it sent, or received last on this connection; none: without a history
	Known  Cursor   // of the subscriber, by all routers; the zero one: nothing
	Own    bool     // this router issued it
	LetGo  bool     // some cursors were evicted
}

// Decide decides on a request. After a read it is called again; patient is false where there is no time for
// another read.
func (f *Feed) Decide(now clock.Nanos, q Request, patient bool) Verdict {
	v := f.decide(q)
	stale := !f.hasRead || patient && now-f.readAt >= f.settings.EndReadInterval
	switch v.Row {
	case Wait, Begin, ReadFirst:
		if stale {
			v.Need = ReadEnd
		} else if v.Row == ReadFirst {
			v.Row = Wait // just read: it is told when to return
		}
	case Resume, Recall, Skip, Rewind:
		switch {
		case v.Start.At < f.base:
			v.Need = ReadCatchUp
		case v.Start.At >= f.newest && (stale || f.newest < f.head):
			v.Need = ReadEnd
		}
	}
	return v
}

func (f *Feed) decide(q Request) Verdict {
	client := f.ClassClient(q.Client)
	_, on := f.lineage.End(q.Known.History)
	proven := q.Own || on && q.Known.At <= f.head
	if client == ClientNone && q.Turn == NewConnection && q.Known.Acked == NotAcknowledged {
		q.Known = Cursor{} // whether it received its start is not known: it starts again, and is notified
	}
	fleet := ClassFleet(q.Client, client != ClientNone, q.Known, proven, q.LetGo)
	v := Verdict{Row: Choose(q.Turn, client, fleet, f.member(client)), Start: q.Client}
	switch v.Row {
	case Recall: // its own acknowledgement, as the routers know it
		p := Position{q.Known.History, q.Known.Acked}
		if q.Turn == SameConnection { // this request shows that the last answer arrived
			p.At = q.Known.At
		}
		client = f.ClassClient(p)
		v.Start = p
		if f.ClassClient(q.Known.Position) == ClientOther && client != ClientOld { // it may have received lost events, acknowledged or not
			v.Row, v.Stale = Rewind, q.Known.Position
			end, _ := f.lineage.End(p.History)
			v.Start.At = min(p.At, end)
			return v
		}
		if row := Choose(NewConnection, client, FleetEqual, f.member(client)); row != Resume {
			v.Row = row
		}
	case Skip:
		v.Start.At = max(v.Start.At, q.Known.Acked)
	case Begin:
		v.Start = f.Head()
	}
	if v.Row == Rewind {
		v.Stale = v.Start
		v.Start.At, _ = f.lineage.End(v.Start.History)
	}
	return v
}

// member is the state of the feed's log against a cursor: responses of forked members were ignored.
func (f *Feed) member(c Client) Member {
	switch {
	case !f.hasRead:
		return MemberUnknown
	case c == ClientAhead:
		return MemberBehind
	}
	return MemberCovers
}

// Batch is what a subscriber gets from a start, out of the ring or out of a catch-up read's events; next is its cursor after it.
// It carries the newest history, so that a cursor that went back to a fork still rises.
func (f *Feed) Batch(start Position, far []Event) (events []Event, next Position, more bool) {
	next = Position{f.lineage.Newest(), start.At}
	from := f.ring
	if far != nil {
		from = far
	}
	i, _ := slices.BinarySearchFunc(from, start.At+1, func(e Event, at int64) int { return int(min(max(e.At-at, -1), 1)) })
	bytes := 0
	for _, e := range from[i:] {
		if len(events) == f.settings.BatchEvents || len(events) > 0 && bytes+len(e.Text) > f.settings.BatchBytes {
			return events, next, true
		}
		bytes += len(e.Text)
		next.At = e.At
		events = append(events, e)
	}
	return events, next, next.At < f.head
}
