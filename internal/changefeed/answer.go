package changefeed

import (
	"errors"
	"sync"

	"lotushook/internal/invariant"
	"lotushook/policy/crdt"
	"lotushook/policy/cursor"
)

// Subscription is a client connection's state: the feed that it last read, and under which generation.
type Subscription struct {
	mu         sync.Mutex
	log        *log
	subscriber string
	held       cursor.Generation
	point      cursor.Position // of the last answer
	busy       bool
}

// known is what the routers know of a subscriber.
func (p *Feeds) known(l *log, subscriber string) (c cursor.Cursor, letGo bool) {
	now := p.opt.Now()
	p.do(subscriber, func(b *cursor.Registry) {
		c, _ = b.Get(now, l.number, subscriber)
		letGo = b.Evicted() > 0
	})
	if p.opt.State != nil {
		p.opt.State.WithShard(l.text, subscriber, func(s *crdt.Store, now int64) {
			e, ok, forgot := s.Cursor(now, l.text, subscriber)
			letGo = letGo || forgot
			if told := cursor.FromEntry(e); ok && told.History != (cursor.History{}) {
				c = c.Join(told)
			}
		})
	}
	return c, letGo
}

// Answer answers a request: one value, or a typed error after which the subscriber's cursor is unchanged.
func (p *Feeds) Answer(seat *Subscription, q *Request) ([]byte, error) {
	value, row, n, err := p.answer(seat, q)
	p.count.Lock()
	p.count.rows[row]++
	if err == nil {
		p.count.Answers++
		p.count.Events += uint64(n)
	} else {
		p.count.Refused++
	}
	p.count.Unlock()
	return value, err
}

//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (p *Feeds) answer(seat *Subscription, q *Request) (value []byte, row cursor.Outcome, n int, err error) {
	l := p.log(q.Class, q.Group)
	crowded := func(why string, wait int64) error {
		return &cursor.OverloadedError{Reason: why, Feed: l.text, Subscriber: q.Subscriber, RetryAfter: wait}
	}
	seat.mu.Lock()
	if seat.busy {
		seat.mu.Unlock()
		return nil, cursor.Wait, 0, crowded(cursor.ReasonBusy, 0)
	}
	seat.busy = true
	goesOn, held, point := seat.log == l && seat.subscriber == q.Subscriber, seat.held, seat.point
	seat.mu.Unlock()
	defer func() {
		seat.mu.Lock()
		seat.busy = false
		seat.mu.Unlock()
	}()

	asked := cursor.Request{Connection: cursor.NewConnection, Client: q.After}
	carries := q.After.History != (cursor.History{})
	if goesOn {
		if asked.Connection = cursor.SameConnection; !carries { // this request shows that the last answer arrived
			asked.Client = point
		}
	} else {
		p.pace.Lock()
		wait, ok := p.pace.AllowReconnect(p.opt.Now(), q.Subscriber)
		p.pace.Unlock()
		if !ok {
			return nil, cursor.Wait, 0, crowded(cursor.ReasonReconnects, wait)
		}
	}
	var far *reading
	for try := 0; ; try++ {
		known, letGo := p.known(l, q.Subscriber)
		now := p.opt.Now()
		l.mu.Lock()
		if _, read := l.feed.End(); read && known.Gen > l.feed.Head().At+maxGeneration { // no router raised it so far: it is invalid
			known = cursor.Cursor{}
		}
		asked.Known, asked.IssuedHere, asked.Evicted = known, known.RaisedBy == p.opt.Self, letGo
		if goesOn && known.Generation.Compare(held) > 0 {
			asked.Connection = cursor.SupersededConnection
		}
		v := l.feed.Decide(now, asked, try < maxTries)
		row = v.Outcome
		invariant.Check(row != cursor.Impossible, "no request stands as none can", "turn", asked.Connection, "client", q.After, "known", known)
		switch row {
		case cursor.Fenced, cursor.Snapshot, cursor.Future, cursor.Impossible:
			begin := l.feed.Head()
			l.mu.Unlock()
			return nil, row, 0, &cursor.RejectedError{Outcome: row, Forgotten: row == cursor.Snapshot && q.After.History == (cursor.History{}) && known.Gen == 0,
				Feed: l.text, Subscriber: q.Subscriber, Received: v.Start, SnapshotPosition: begin}
		}
		var r *reading
		here := v.RequiredRead == cursor.NoRead || v.RequiredRead == cursor.ReadCatchUp && far.serves(v.Start)
		switch {
		case here:
		case v.RequiredRead == cursor.ReadEnd:
			r = l.end
		default:
			r = l.far[v.Start]
		}
		begin := r == nil && !here
		switch {
		case begin && try >= maxTries:
			cause := errors.New("members that are behind, or forked off")
			if far != nil && far.err != nil {
				cause = far.err
			}
			l.mu.Unlock()
			return nil, cursor.ReadOtherEndpoint, 0, &cursor.UnreadableError{Feed: l.text, RetryAfter: l.set.PollInterval, Cause: cause}
		case begin && v.RequiredRead == cursor.ReadCatchUp:
			p.pace.Lock()
			wait, ok := p.pace.AllowCatchUp(now, q.Subscriber)
			p.pace.Unlock()
			if !ok {
				l.mu.Unlock()
				return nil, cursor.Wait, 0, crowded(cursor.ReasonCatchUp, wait)
			}
			r = p.read(l, v.Start, false, q.Who)
		case begin:
			after, _ := l.feed.End()
			r = p.read(l, after, true, q.Who)
		}
		if r == nil { // nothing more to read: the answer
			var from []cursor.Event
			if v.RequiredRead == cursor.ReadCatchUp {
				from = far.answer.Events
			}
			list, next, more := []cursor.Event(nil), v.Start, false
			if head := l.feed.Head(); row != cursor.Wait || v.Start.Compare(head) <= 0 && v.Start.At <= head.At {
				list, next, more = l.feed.Batch(v.Start, from)
			}
			head := l.feed.Head()
			l.mu.Unlock()
			b := &Batch{Events: events(list), Next: Place{After: next.At, History: next.String()}, Began: row == cursor.BeginAtHead}
			if row == cursor.Rewind {
				b.Rewound = &Rewound{History: v.Stale.String(), From: v.Stale.At, To: v.Start.At}
			}
			if !more {
				b.AgainMS = l.set.PollInterval / 1e6
			}
			kept := cursor.Cursor{Generation: held, Position: next, Acked: min(v.Start.At, next.At)}
			switch {
			case row == cursor.BeginAtHead:
				kept.Acked = cursor.NotAcknowledged
			case row == cursor.Rewind && !carries: // until it is known to have received it, it is notified again
				if kept.Position, kept.Acked = v.Stale, min(known.Acked, v.Stale.At); known.Gen == 0 {
					kept.Acked = cursor.NotAcknowledged
				}
			}
			if !carries && kept.Position.Compare(known.Position) < 0 { // it may have received these: they stay recorded
				kept.Position = known.Position
			}
			gen, ok := p.deliver(seat, l, q, goesOn, kept, next, head)
			if !ok {
				return nil, cursor.Fenced, 0, &cursor.RejectedError{Outcome: cursor.Fenced, Feed: l.text, Subscriber: q.Subscriber}
			}
			b.Next.Gen = gen
			value, err = json.Marshal(b)
			return value, row, len(list), err
		}
		l.mu.Unlock()
		if err := p.await(l, r, q); err != nil {
			return nil, cursor.Wait, 0, err
		}
		if r.err != nil && try+1 >= maxTries {
			return nil, cursor.ReadOtherEndpoint, 0, &cursor.UnreadableError{Feed: l.text, RetryAfter: max(r.wait, l.set.PollInterval), Cause: r.err}
		}
		if r.err != nil && r.wait > 0 { // the module says when: an earlier try would add load
			return nil, cursor.ReadOtherEndpoint, 0, &cursor.UnreadableError{Feed: l.text, RetryAfter: r.wait, Cause: r.err}
		}
		if far = nil; v.RequiredRead == cursor.ReadCatchUp {
			far = r
		}
	}
}

// deliver records what is sent, unless the connection was superseded meanwhile, and returns its generation.
func (p *Feeds) deliver(seat *Subscription, l *log, q *Request, goesOn bool, c cursor.Cursor, next, head cursor.Position) (gen int64, ok bool) {
	held := c.Generation
	known, _ := p.known(l, q.Subscriber)
	if known.Gen > head.At+maxGeneration {
		known = cursor.Cursor{}
	}
	if goesOn && known.Generation.Compare(held) > 0 {
		return 0, false
	}
	if !goesOn {
		client := q.Gen
		if client > head.At+maxGeneration {
			client = 0
		}
		held = cursor.Generation{Gen: max(known.Gen, client, head.At) + 1, RaisedBy: p.opt.Self}
	}
	c.Generation = held
	kept := next.At <= head.At // a cursor that is ahead is the client's claim alone
	put := true
	if kept {
		now := p.opt.Now()
		p.do(q.Subscriber, func(b *cursor.Registry) {
			old, had := b.Get(now, l.number, q.Subscriber)
			if had && !goesOn && old.Gen >= held.Gen { // two reconnect here at once: the later prevails
				held.Gen = old.Gen + 1
				c.Generation = held
			}
			if had && old.Generation.Compare(held) > 0 { // since the first check
				put = false
				return
			}
			b.Put(now, l.number, q.Subscriber, c)
		})
		if put && p.opt.State != nil {
			p.opt.State.Learn(c.Entry(l.text, q.Subscriber))
		}
	}
	if !put {
		return 0, false
	}
	seat.mu.Lock()
	seat.log, seat.subscriber, seat.held, seat.point = l, q.Subscriber, held, next
	seat.mu.Unlock()
	return held.Gen, true
}
