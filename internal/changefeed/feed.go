// Package feed answers subscribers of feeds. What to do for each says policy/cursor; this package keeps its state in shards, asks
// data servers through whoever made it, once for all that want the same, and writes the answers.
package changefeed

import (
	"context"
	"errors"
	"hash/maphash"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lotushook/internal/invariant"
	"lotushook/internal/peer"
	"lotushook/policy/contract"
	"lotushook/policy/crdt"
	"lotushook/policy/cursor"
)

const (
	shards    = 64
	mostTries = 3       // readings for one answer: a fork that shows needs a second, a forked member a third
	mostGen   = 1 << 32 // a generation so far beyond the head was not raised by reconnects
)

// Options are what a Part works with.
type Options struct {
	Settings cursor.Settings            // of classes that have none of their own
	Classes  map[string]cursor.Settings // by name; only Fresh, Again and the batches may differ
	Waiting  int                        // requests that wait for data servers at a time, beyond it they come again
	ReadFor  time.Duration              // a reading's time
	Self     crdt.Origin
	State    *peer.State // where cursors are shared; nil: nowhere
	Now      func() int64
	Read     func(Ask) Got // asks some member; returns by Ask.Until
}

// Ask is one reading: what follows a point, or the last events where it has no history.
type Ask struct {
	Class string
	Group int64
	After cursor.Position
	Most  int
	Until int64
	Who   contract.Identity // the first of those it is for
}

// Got is what came of it: a value, or an error and a time to come again where one was told.
type Got struct {
	Value []byte
	Wait  int64
	Err   error
}

// Request is one subscriber's.
type Request struct {
	Class      string
	Group      int64
	Subscriber string
	After      cursor.Position // its cursor; none: without a history
	Gen        int64           // of its cursor
	Until      int64
	Who        contract.Identity
	Left       <-chan struct{} // closed when the client has gone
}

// Counts are what a Part did since its start.
type Counts struct {
	Cursors  int               `json:"cursors"` // held now
	Answers  uint64            `json:"answers"`
	Events   uint64            `json:"events"`
	EndReads uint64            `json:"end_reads"` // of feeds' ends
	FarReads uint64            `json:"far_reads"` // for those that are behind the ring
	Refused  uint64            `json:"refused"`
	Rows     map[string]uint64 `json:"rows"` // of the table, by name
	rows     [cursor.RowCount]uint64
}

// Part answers. All its methods may be called from any goroutine.
type Part struct {
	opt    Options
	seed   maphash.Seed
	shards [shards]shard
	pace   struct {
		sync.Mutex
		*cursor.Limiter
	}
	logs struct {
		sync.Mutex
		by map[name]*log
	}
	waiting  atomic.Int64
	readings sync.WaitGroup
	count    struct {
		sync.Mutex
		Counts
	}
}

// shard is some of the subscribers' cursors under a lock of its own.
type shard struct {
	mu   sync.Mutex
	book *cursor.Registry
}

// do has a function look at the cursors of a key's shard. It must wait for nothing.
func (p *Part) do(key string, f func(*cursor.Registry)) {
	s := &p.shards[maphash.String(p.seed, key)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.book)
}

type name struct {
	class string
	group int64
}

// log is one group's, as a class reads it.
type log struct {
	name
	text   string // as routers call it
	number uint32
	set    cursor.Settings

	mu   sync.Mutex
	feed *cursor.Feed
	end  *reading
	far  map[cursor.Position]*reading
}

// reading is one under way; all that want it wait for done.
type reading struct {
	after  cursor.Position
	done   chan struct{}
	answer *cursor.Response // nil: there is none
	member cursor.Member
	err    error
	wait   int64
}

// serves says whether a far reading that has ended is what a start needs.
func (r *reading) serves(start cursor.Position) bool {
	return r != nil && r.answer != nil && r.member != cursor.MemberForked && r.after == start && r.answer.From <= start.At
}

// New returns a Part that knows nothing yet.
func New(o Options) (*Part, error) {
	if err := o.Settings.Check(); err != nil {
		return nil, err
	}
	p := &Part{opt: o, seed: maphash.MakeSeed()}
	for i := range p.shards {
		p.shards[i].book = cursor.NewRegistry(o.Self, (o.Settings.MaxCursors+shards-1)/shards)
	}
	p.pace.Limiter = cursor.NewLimiter(&o.Settings, o.Now())
	p.logs.by = map[name]*log{}
	for _, s := range o.Classes {
		if err := s.Check(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Serves says whether a class is one of feeds.
func (p *Part) Serves(class string) bool {
	_, ok := p.opt.Classes[class]
	return ok
}

// Close waits for the readings that are under way.
func (p *Part) Close() { p.readings.Wait() }

// Counts are as of now.
func (p *Part) Counts() Counts {
	p.count.Lock()
	c := p.count.Counts
	p.count.Unlock()
	c.Cursors, c.Rows = p.cursors(), map[string]uint64{}
	for row, n := range c.rows {
		if n > 0 {
			c.Rows[cursor.Row(row).String()] = n
		}
	}
	return c
}

// cursors is how many this router holds.
func (p *Part) cursors() (n int) {
	for i := range p.shards {
		p.shards[i].mu.Lock()
		n += p.shards[i].book.Size()
		p.shards[i].mu.Unlock()
	}
	return n
}

// log is the one that a request is of. There are as many as classes times groups that the list has.
func (p *Part) log(class string, group int64) *log {
	p.logs.Lock()
	defer p.logs.Unlock()
	n := name{class, group}
	l := p.logs.by[n]
	if l == nil {
		l = &log{name: n, text: class + "/" + strconv.FormatInt(group, 10), number: uint32(len(p.logs.by)), set: p.opt.Classes[class], far: map[cursor.Position]*reading{}}
		l.feed = cursor.NewFeed(&l.set)
		p.logs.by[n] = l
	}
	return l
}

// Seat is what a client's connection remembers: whose feed it asked for last, and under which generation.
type Seat struct {
	mu         sync.Mutex
	log        *log
	subscriber string
	held       cursor.Generation
	point      cursor.Position // of the last answer
	busy       bool
}

// known is what the routers know of a subscriber.
func (p *Part) known(l *log, subscriber string) (c cursor.Cursor, letGo bool) {
	now := p.opt.Now()
	p.do(subscriber, func(b *cursor.Registry) {
		c, _ = b.Get(now, l.number, subscriber)
		letGo = b.Evicted() > 0
	})
	if p.opt.State != nil {
		p.opt.State.Look(l.text, subscriber, func(s *crdt.Store, now int64) {
			e, ok, forgot := s.Cursor(now, l.text, subscriber)
			letGo = letGo || forgot
			if told := cursor.FromEntry(e); ok && told.History != (cursor.History{}) {
				c = c.Join(told)
			}
		})
	}
	return c, letGo
}

// Answer is a request's: one value, or a typed error after which the subscriber's cursor is what it was.
func (p *Part) Answer(seat *Seat, q *Request) ([]byte, error) {
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

func (p *Part) answer(seat *Seat, q *Request) (value []byte, row cursor.Row, n int, err error) {
	l := p.log(q.Class, q.Group)
	crowded := func(why string, wait int64) error {
		return &cursor.OverloadedError{Why: why, Feed: l.text, Subscriber: q.Subscriber, Wait: wait}
	}
	seat.mu.Lock()
	if seat.busy {
		seat.mu.Unlock()
		return nil, cursor.Wait, 0, crowded(cursor.CrowdBusy, 0)
	}
	seat.busy = true
	goesOn, held, point := seat.log == l && seat.subscriber == q.Subscriber, seat.held, seat.point
	seat.mu.Unlock()
	defer func() {
		seat.mu.Lock()
		seat.busy = false
		seat.mu.Unlock()
	}()

	asked := cursor.Request{Turn: cursor.NewConnection, Client: q.After}
	carries := q.After.History != (cursor.History{})
	if goesOn {
		if asked.Turn = cursor.SameConnection; !carries { // by asking again here it shows that the last answer came
			asked.Client = point
		}
	} else {
		p.pace.Lock()
		wait, ok := p.pace.Reconnect(p.opt.Now(), q.Subscriber)
		p.pace.Unlock()
		if !ok {
			return nil, cursor.Wait, 0, crowded(cursor.CrowdReturning, wait)
		}
	}
	var far *reading
	for try := 0; ; try++ {
		known, letGo := p.known(l, q.Subscriber)
		now := p.opt.Now()
		l.mu.Lock()
		if _, read := l.feed.End(); read && known.Gen > l.feed.Head().At+mostGen { // nobody raised it so far: it is no word of a router's
			known = cursor.Cursor{}
		}
		asked.Known, asked.Own, asked.LetGo = known, known.By == p.opt.Self, letGo
		if goesOn && known.Generation.Compare(held) > 0 {
			asked.Turn = cursor.SupersededConnection
		}
		v := l.feed.Decide(now, asked, try < mostTries)
		row = v.Row
		invariant.Check(row != cursor.Impossible, "no request stands as none can", "turn", asked.Turn, "client", q.After, "known", known)
		switch row {
		case cursor.Fenced, cursor.Snapshot, cursor.Future, cursor.Impossible:
			begin := l.feed.Head()
			l.mu.Unlock()
			return nil, row, 0, &cursor.RejectedError{Row: row, Forgot: row == cursor.Snapshot && q.After.History == (cursor.History{}) && known.Gen == 0,
				Feed: l.text, Subscriber: q.Subscriber, Had: v.Start, Begin: begin}
		}
		var r *reading
		here := v.Need == cursor.NothingNeeded || v.Need == cursor.ReadCatchUp && far.serves(v.Start)
		switch {
		case here:
		case v.Need == cursor.ReadEnd:
			r = l.end
		default:
			r = l.far[v.Start]
		}
		begin := r == nil && !here
		switch {
		case begin && try >= mostTries:
			cause := errors.New("members that are behind, or forked off")
			if far != nil && far.err != nil {
				cause = far.err
			}
			l.mu.Unlock()
			return nil, cursor.Elsewhere, 0, &cursor.UnreadableError{Feed: l.text, Wait: l.set.PollInterval, Cause: cause}
		case begin && v.Need == cursor.ReadCatchUp:
			p.pace.Lock()
			wait, ok := p.pace.CatchUp(now, q.Subscriber)
			p.pace.Unlock()
			if !ok {
				l.mu.Unlock()
				return nil, cursor.Wait, 0, crowded(cursor.CrowdFar, wait)
			}
			r = p.read(l, v.Start, false, q.Who)
		case begin:
			after, _ := l.feed.End()
			r = p.read(l, after, true, q.Who)
		}
		if r == nil { // nothing more to read: the answer
			var from []cursor.Event
			if v.Need == cursor.ReadCatchUp {
				from = far.answer.Events
			}
			list, next, more := []cursor.Event(nil), v.Start, false
			if head := l.feed.Head(); row != cursor.Wait || v.Start.Compare(head) <= 0 && v.Start.At <= head.At {
				list, next, more = l.feed.Batch(v.Start, from)
			}
			head := l.feed.Head()
			l.mu.Unlock()
			b := &Batch{Events: events(list), Next: Place{After: next.At, History: next.History.String()}, Began: row == cursor.Begin}
			if row == cursor.Rewind {
				b.Rewound = &Rewound{History: v.Back.History.String(), From: v.Back.At, To: v.Start.At}
			}
			if !more {
				b.AgainMS = l.set.PollInterval / 1e6
			}
			kept := cursor.Cursor{Generation: held, Position: next, Acked: min(v.Start.At, next.At)}
			switch {
			case row == cursor.Begin:
				kept.Acked = cursor.NotAcknowledged
			case row == cursor.Rewind && !carries: // until it is known to have heard it, it is told again
				if kept.Position, kept.Acked = v.Back, min(known.Acked, v.Back.At); known.Gen == 0 {
					kept.Acked = cursor.NotAcknowledged
				}
			}
			if !carries && kept.Position.Compare(known.Position) < 0 { // what it may have had stays known
				kept.Position = known.Position
			}
			gen, ok := p.deliver(seat, l, q, goesOn, kept, next, head)
			if !ok {
				return nil, cursor.Fenced, 0, &cursor.RejectedError{Row: cursor.Fenced, Feed: l.text, Subscriber: q.Subscriber}
			}
			b.Next.Gen = gen
			value, err = json.Marshal(b)
			return value, row, len(list), err
		}
		l.mu.Unlock()
		if err := p.await(l, r, q); err != nil {
			return nil, cursor.Wait, 0, err
		}
		if r.err != nil && try+1 >= mostTries {
			return nil, cursor.Elsewhere, 0, &cursor.UnreadableError{Feed: l.text, Wait: max(r.wait, l.set.PollInterval), Cause: r.err}
		}
		if r.err != nil && r.wait > 0 { // the module says when: trying at once would be pressing
			return nil, cursor.Elsewhere, 0, &cursor.UnreadableError{Feed: l.text, Wait: r.wait, Cause: r.err}
		}
		if far = nil; v.Need == cursor.ReadCatchUp {
			far = r
		}
	}
}

// deliver notes what goes out, unless the connection was outrun meanwhile, and returns its generation.
func (p *Part) deliver(seat *Seat, l *log, q *Request, goesOn bool, c cursor.Cursor, next, head cursor.Position) (gen int64, ok bool) {
	held := c.Generation
	known, _ := p.known(l, q.Subscriber)
	if known.Gen > head.At+mostGen {
		known = cursor.Cursor{}
	}
	if goesOn && known.Generation.Compare(held) > 0 {
		return 0, false
	}
	if !goesOn {
		client := q.Gen
		if client > head.At+mostGen {
			client = 0
		}
		held = cursor.Generation{Gen: max(known.Gen, client, head.At) + 1, By: p.opt.Self}
	}
	c.Generation = held
	kept := next.At <= head.At // a cursor that is ahead is the client's word alone
	put := true
	if kept {
		now := p.opt.Now()
		p.do(q.Subscriber, func(b *cursor.Registry) {
			old, had := b.Get(now, l.number, q.Subscriber)
			if had && !goesOn && old.Gen >= held.Gen { // two come back here at once: the later holds
				held.Gen = old.Gen + 1
				c.Generation = held
			}
			if had && old.Generation.Compare(held) > 0 { // between the look and now
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

// read starts one; the log's lock is held.
func (p *Part) read(l *log, after cursor.Position, end bool, who contract.Identity) *reading {
	r := &reading{after: after, done: make(chan struct{})}
	if end {
		l.end = r
	} else {
		l.far[after] = r
	}
	p.count.Lock()
	if end {
		p.count.EndReads++
	} else {
		p.count.FarReads++
	}
	p.count.Unlock()
	most := l.set.BatchEvents
	if end {
		most = max(most, l.set.RingEvents/4)
	}
	ask := Ask{Class: l.class, Group: l.group, After: after, Most: most, Until: p.opt.Now() + int64(p.opt.ReadFor), Who: who}
	p.readings.Go(func() {
		got := p.opt.Read(ask)
		r.err, r.wait = got.Err, got.Wait
		if r.err == nil {
			r.answer, r.err = ParseAnswer(got.Value)
		}
		l.mu.Lock()
		if r.err == nil {
			r.member = l.feed.Apply(p.opt.Now(), r.answer, end)
		}
		if end {
			l.end = nil
		} else {
			delete(l.far, after)
		}
		l.mu.Unlock()
		close(r.done)
	})
	return r
}

// await waits for a reading as long as the request may.
func (p *Part) await(l *log, r *reading, q *Request) error {
	if p.waiting.Add(1) > int64(p.opt.Waiting) {
		p.waiting.Add(-1)
		return &cursor.OverloadedError{Why: cursor.CrowdWaiting, Feed: l.text, Subscriber: q.Subscriber, Wait: l.set.PollInterval}
	}
	defer p.waiting.Add(-1)
	late := time.NewTimer(time.Duration(q.Until - p.opt.Now()))
	defer late.Stop()
	select {
	case <-r.done:
		return nil
	case <-late.C:
		return &cursor.UnreadableError{Feed: l.text, Wait: l.set.PollInterval, Cause: context.DeadlineExceeded}
	case <-q.Left:
		return &cursor.UnreadableError{Feed: l.text, Cause: errors.New("the client has left")}
	}
}
