package changefeed

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lotushook/internal/operr"
	"lotushook/internal/pgwire"
	"lotushook/policy/crdt"
	"lotushook/policy/cursor"
)

var one = cursor.History{Era: 1, ID: 7}

// member is a data server's log, which counts who reads it.
type member struct {
	mu     sync.Mutex
	line   cursor.Lineage
	events []cursor.Event
	reads  int
	fail   error
	hold   chan struct{} // a reading waits for it; nil: it does not
}

func (m *member) read(a ReadRequest) ReadResult {
	if m.hold != nil {
		<-m.hold
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reads++; m.fail != nil {
		return ReadResult{Err: m.fail}
	}
	out := &cursor.Response{Lineage: m.line, From: a.After.At}
	if end, on := m.line.End(a.After.History); on {
		out.From = min(a.After.At, end)
	} else if n := len(m.events) - a.MaxEvents; n > 0 {
		out.From = m.events[n-1].At
	}
	for _, e := range m.events {
		if out.Head = e.At; e.At > out.From && len(out.Events) < a.MaxEvents {
			out.Events = append(out.Events, e)
		}
	}
	out.More = len(out.Events) > 0 && out.Events[len(out.Events)-1].At < out.Head
	raw, err := AppendAnswer(out)
	return ReadResult{Value: raw, Err: err}
}

func (m *member) commit(at int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, cursor.Event{At: at, Text: fmt.Sprint("e", at)})
}

// part is a Part before one member, on a clock that the test moves.
func part(tb testing.TB, m *member, change func(*cursor.Settings)) (*Feeds, *atomic.Int64) {
	tb.Helper()
	now := &atomic.Int64{}
	now.Store(1e9)
	set := cursor.DefaultSettings()
	if change != nil {
		change(&set)
	}
	p, err := New(Options{Settings: set, Classes: map[string]cursor.Settings{"f": set}, Waiting: 20_000, ReadFor: time.Second, Self: crdt.Origin{Name: "r", Boot: 1}, Now: now.Load, Read: m.read})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(p.Close)
	return p, now
}

func ask(p *Feeds, seat *Subscription, who string, after cursor.Position) (*Batch, error) {
	raw, err := p.Answer(seat, &Request{Class: "f", Group: 1, Subscriber: who, After: after, Until: p.opt.Now() + 20e9})
	if err != nil {
		return nil, err
	}
	return ParseBatch(raw)
}

// A router died with 10,000 subscribers, who all come here, eight at a time under the race detector: whatever is told to come again
// comes again, each gets the same events once, and the member sees a reading for each quarter of a second and no more.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestFanOut(t *testing.T) {
	m := &member{line: cursor.Lineage{{History: one}}}
	for at := int64(1); at <= 50; at++ {
		m.commit(at)
	}
	p, now := part(t, m, nil)
	var late, given atomic.Int64
	type back struct {
		who  int
		from int64
		due  int64
	}
	todo := make([]back, 10_000)
	for i := range todo {
		todo[i] = back{who: i, from: int64(i % 50)}
	}
	began := now.Load()
	for rounds := 0; len(todo) > 0; rounds++ {
		if rounds > 1000 {
			t.Fatalf("%d are left", len(todo))
		}
		var mu sync.Mutex
		var again []back
		var all sync.WaitGroup
		for part := range slices.Chunk(todo, max(1, (len(todo)+7)/8)) {
			all.Go(func() {
				for _, c := range part {
					if c.due > now.Load() {
						mu.Lock()
						again = append(again, c)
						mu.Unlock()
						continue
					}
					b, err := ask(p, &Subscription{}, fmt.Sprint("s", c.who), cursor.Position{History: one, At: c.from})
					var crowded *cursor.OverloadedError
					if errors.As(err, &crowded) && crowded.Reason == cursor.ReasonReconnects && crowded.RetryAfter > 0 && crowded.RetryAfter <= p.opt.Settings.MaxRetryAfter {
						late.Add(1)
						c.due = now.Load() + crowded.RetryAfter
						mu.Lock()
						again = append(again, c)
						mu.Unlock()
						continue
					}
					if err != nil {
						t.Error(err)
						return
					}
					for i, e := range b.Events {
						if e.At != c.from+int64(i)+1 {
							t.Errorf("%d: event %d at %d", c.who, i, e.At)
						}
					}
					if given.Add(1); b.Next.After != 50 || b.Rewound != nil || b.Began {
						t.Errorf("%d: %+v", c.who, b)
					}
				}
			})
		}
		all.Wait()
		todo = again
		now.Add(4e8)
	}
	span := float64(now.Load()-began) / 1e9
	m.mu.Lock()
	defer m.mu.Unlock()
	t.Logf("%d answers in %.1f s of the router's clock, %d told to come again, %d reads", given.Load(), span, late.Load(), m.reads)
	if given.Load() != 10_000 || float64(m.reads) > 2+span/0.25 || late.Load() == 0 {
		t.Errorf("%d answers, %d reads", given.Load(), m.reads)
	}
	if c := p.Counts(); c.FarReads != 0 || c.Cursors != 10_000 {
		t.Errorf("%+v", c)
	}
}

// Those behind the ring share readings of the same range, under a budget; who is over it is told so, and goes on where it was.
func TestFarBehind(t *testing.T) {
	m := &member{line: cursor.Lineage{{History: one}}}
	for at := int64(1); at <= 100; at++ {
		m.commit(at)
	}
	p, now := part(t, m, func(s *cursor.Settings) { s.RingEvents, s.BatchEvents, s.CatchUpReadsPerSecond = 10, 20, 2 })
	if b, err := ask(p, &Subscription{}, "warm", cursor.Position{}); err != nil || !b.Began {
		t.Fatal(b, err)
	}
	for b, err := ask(p, &Subscription{}, "near", cursor.Position{History: one, At: 95}); err != nil || len(b.Events) != 5; {
		t.Fatal(b, err)
	}
	m.hold = make(chan struct{})
	before := m.reads
	var all sync.WaitGroup
	for i := range 5 { // the same range: one reading
		all.Go(func() {
			if b, err := ask(p, &Subscription{}, fmt.Sprint("s", i), cursor.Position{History: one, At: 30}); err != nil || len(b.Events) != 20 || b.Events[0].At != 31 || b.AgainMS != 0 {
				t.Error(b, err)
			}
		})
	}
	for p.waiting.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	close(m.hold)
	all.Wait()
	if m.reads != before+1 {
		t.Errorf("%d readings of one range", m.reads-before)
	}
	seat, place, got, refused := &Subscription{}, cursor.Position{History: one}, []int64{}, 0
	for place.At < 100 {
		b, err := ask(p, seat, "slow", place)
		var crowded *cursor.OverloadedError
		if errors.As(err, &crowded) && crowded.Reason == cursor.ReasonCatchUp {
			refused++
			now.Add(crowded.RetryAfter)
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range b.Events {
			got = append(got, e.At)
		}
		place.At = b.Next.After
	}
	if len(got) != 100 || !slices.IsSorted(got) || refused == 0 {
		t.Errorf("%d events, %d times told to come again", len(got), refused)
	}
}

// Two connections of one subscriber at one router: the later holds. A take-over is told; a member that is forked off is not
// believed, and each refusal says what to do.
func TestFenceAndFork(t *testing.T) {
	m := &member{line: cursor.Lineage{{History: one}}}
	m.commit(10)
	m.commit(20)
	p, now := part(t, m, nil)
	first, second := &Subscription{}, &Subscription{}
	a, err := ask(p, first, "x", cursor.Position{History: one, At: 10})
	if err != nil || len(a.Events) != 1 {
		t.Fatal(a, err)
	}
	b, err := ask(p, second, "x", cursor.Position{History: one, At: 20})
	if err != nil || b.Next.Gen <= a.Next.Gen || len(b.Events) != 0 {
		t.Fatal(b, err)
	}
	_, err = ask(p, first, "x", cursor.Position{History: one, At: 20})
	if r := operr.Find(err); r == nil || r.Kind() != "cursor-fenced" || !strings.Contains(r.Hint(), "connect again") {
		t.Error(err)
	}
	two := cursor.History{Era: 2, ID: 1}
	m.mu.Lock()
	m.line, m.events = cursor.Lineage{{History: one}, {History: two, From: 10}}, []cursor.Event{{At: 10, Text: "e10"}, {At: 20, Text: "other"}}
	m.mu.Unlock()
	now.Add(1e9)
	b, err = ask(p, second, "x", cursor.Position{History: one, At: 20})
	if err != nil || b.Rewound == nil || b.Rewound.To != 10 || len(b.Events) != 1 || b.Events[0].Text != "other" || b.Next.History != two.String() {
		t.Errorf("%+v, %v", b, err)
	}
	m.mu.Lock()
	m.line, m.events = cursor.Lineage{{History: one}}, []cursor.Event{{At: 10, Text: "e10"}, {At: 20, Text: "e20"}, {At: 30, Text: "forked"}}
	m.mu.Unlock()
	now.Add(1e9)
	if b, err = ask(p, second, "x", cursor.Position{History: two, At: 20}); err == nil && len(b.Events) > 0 {
		t.Errorf("a forked member's events: %+v", b)
	}
	m.fail = errors.New("no member")
	now.Add(1e9)
	_, err = ask(p, second, "x", cursor.Position{History: two, At: 20})
	if r := operr.Find(err); r == nil || r.Kind() != "feed-unread" || !errors.Is(err, m.fail) {
		t.Error(err)
	}
	for _, e := range []operr.Error{&cursor.RejectedError{Outcome: cursor.Future}, &cursor.RejectedError{Outcome: cursor.Snapshot}, &cursor.RejectedError{Outcome: cursor.Snapshot, Forgotten: true}, &cursor.OverloadedError{Reason: cursor.ReasonWaiting},
		&cursor.OverloadedError{Reason: cursor.ReasonBusy}, &cursor.OverloadedError{Reason: cursor.ReasonCatchUp}, &cursor.OverloadedError{Reason: cursor.ReasonReconnects}} {
		if e.Kind() == "" || e.Hint() == "" || strings.Contains(e.Error(), "%!") {
			t.Errorf("%T: %s, %s, %s", e, e.Kind(), e.Hint(), e.Error())
		}
	}
}

// Whatever a client says of its cursor: no panic; what it gets follows what it said it had, in order, and leads to a cursor with
// which it has all.
func FuzzCursor(f *testing.F) {
	for _, s := range []string{"after=10,history=1-00000007", "after=25,history=1-00000007,gen=5", "after=20,history=2-00000001,gen=9007199254740992", "after=0,history=9-ffffffff", "after=8796093022208,history=2-00000001",
		"history=1-00000007", "after=5", "after=-1,history=x", "gen=-1", "after=1,history=01-00000007", "after=1,history=0-00000000"} {
		f.Add(s)
	}
	two := cursor.History{Era: 2, ID: 1}
	m := &member{line: cursor.Lineage{{History: one}, {History: two, From: 20}}, events: []cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 30, Text: "c"}}}
	p, now := part(f, m, nil)
	f.Fuzz(func(t *testing.T, fields string) {
		now.Add(1e9)
		r, err := pgwire.ParseRequest("/* id=1,c=f,d=1,cluster=1," + fields + " */ SELECT feed('s')")
		if err != nil || r.Cluster != 1 || r.Class != "f" {
			return
		}
		q := &Request{Class: "f", Group: 1, Subscriber: r.Session, Gen: r.Generation, Until: now.Load() + 20e9}
		if h, err := cursor.ParseHistory(r.History); err == nil && r.HasAfter {
			q.After = cursor.Position{History: h, At: r.After}
		} else if r.History != "" && err == nil {
			return
		}
		seat := &Subscription{}
		raw, err := p.Answer(seat, q)
		if err != nil {
			if operr.Find(err) == nil {
				t.Fatalf("%v has no remedy", err)
			}
			return
		}
		b, err := ParseBatch(raw)
		if err != nil {
			t.Fatal(err)
		}
		last := q.After.At
		if b.Rewound != nil {
			last = b.Rewound.To
		}
		for _, e := range b.Events {
			if q.After.History != (cursor.History{}) && e.At <= last {
				t.Fatalf("%d after %d", e.At, last)
			}
			last = e.At
		}
		if b.Next.Gen <= 0 || b.Next.Gen > 1<<54 {
			t.Fatalf("generation %d", b.Next.Gen)
		}
	})
}
