package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lotushook/internal/changefeed"
	"lotushook/internal/emulator"
	"lotushook/internal/pgwire"
	"lotushook/policy/cursor"
)

// followed is what the subscribers of one kind were told.
type followed struct {
	mu     sync.Mutex
	all    []*subscriber
	logs   []truth // of the groups, at the end
	resume *hdrhistogram.Histogram
	counts struct{ answers, events, rewound, voided, snapshots, fenced, began, again, zombies, future int }
}

// truth is a group's log as its primary has it.
type truth struct {
	line   cursor.Lineage
	events []cursor.Event
}

// record is all that a subscriber was told and has not been told to forget.
type record struct {
	group  int
	began  int64 // what was before is not its business
	events []cursor.Event
	last   cursor.Position
}

// take puts a batch into the record.
func (r *record) take(b *changefeed.Batch) (voided int, err error) {
	h, err := cursor.ParseHistory(b.Next.History)
	if err != nil {
		return 0, err
	}
	if b.Rewound != nil {
		r.began = min(r.began, b.Rewound.To) // it may have begun on what was lost
		i := slices.IndexFunc(r.events, func(e cursor.Event) bool { return e.At > b.Rewound.To })
		if i >= 0 {
			voided = len(r.events) - i
			r.events = r.events[:i]
		}
	}
	if b.StartedAtHead {
		r.began, r.events = b.Next.After, nil
	}
	if len(b.Events) > 0 { // without a cursor: another router may know it from before it began at one that did not
		r.began = min(r.began, b.Events[0].At-1)
	}
	for _, e := range b.Events {
		r.events = append(r.events, cursor.Event(e))
	}
	r.last = cursor.Position{History: h, At: b.Next.After}
	return voided, nil
}

// wrongs are what a record and the log don't agree in.
type wrongs struct{ gaps, duplicates, phantoms, behind int }

// against holds a record against the log. One that has not come to the log's newest history may hold what it will be told to forget.
func (r *record) against(t *truth) (w wrongs) {
	if r.last.History != t.line.Newest() {
		w.behind++
		return w
	}
	got := map[int64]string{}
	for _, e := range r.events {
		if _, twice := got[e.At]; twice {
			w.duplicates++
		}
		got[e.At] = e.Text
	}
	if !slices.IsSortedFunc(r.events, func(a, b cursor.Event) int { return cmp.Compare(a.At, b.At) }) && w.duplicates == 0 {
		w.duplicates++ // out of order
	}
	for _, e := range t.events {
		if e.At <= r.began || e.At > r.last.At {
			continue
		}
		text, ok := got[e.At]
		if !ok || text != e.Text {
			w.gaps++
		}
		if ok && text == e.Text {
			delete(got, e.At)
		}
	}
	w.phantoms = len(got)
	return w
}

// subscriber is one client that follows a feed.
type subscriber struct {
	rec record
	*play
	of     *Readers
	name   string
	conn   *client
	place  changefeed.ClientCursor
	broken time.Time // since when it has been without an answer; zero: it is not
	count  int
}

// follow plays the subscribers until the context ends.
func (p *play) follow(ctx context.Context, r Readers, part *part, f *followed) {
	if sleep(ctx, time.Until(p.from.Add(s(r.FromS)))) != nil && r.FromS > 0 {
		return
	}
	f.resume = hdrhistogram.New(1, 60e6, 3)
	groups := cmp.Or(r.Groups, p.e.Fleet.Groups)
	var all sync.WaitGroup
	for n := range r.Subscribers {
		sub := &subscriber{play: p, of: &r, name: fmt.Sprintf("%s-%d", r.Name, n), rec: record{group: n % groups}}
		f.all = append(f.all, sub)
		rng := rand.New(rand.NewPCG(p.o.Seed, uint64(n)))
		all.Go(func() {
			defer func() {
				if sub.conn != nil {
					sub.conn.conn.Close()
				}
			}()
			_ = sleep(ctx, time.Duration(rng.Float64()*float64(time.Second)))
			for ctx.Err() == nil {
				_ = sleep(ctx, sub.once(ctx, part, f, rng))
			}
		})
	}
	all.Wait()
}

// once asks for what follows, and returns how long the subscriber rests.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (c *subscriber) once(ctx context.Context, part *part, f *followed, rng *rand.Rand) time.Duration {
	class := c.e.Classes[c.of.Class]
	began := time.Now()
	until := began.Add(ms(class.WaitMS))
	old := c.conn
	if c.count++; c.of.Twice && c.count%8 == 0 { // as the same subscriber from elsewhere, while the first connection stays
		c.conn = nil
	}
	place := c.place
	if c.of.Future > 0 && rng.Float64() < c.of.Future {
		place.After += 3600e3
	}
	a := c.query(place, until)
	if ctx.Err() != nil {
		return 0
	}
	if old != nil && c.conn != old {
		if c.of.Twice && a.outcome == served { // which must be told, once its router knows
			was := c.conn
			c.conn = old
			again := c.query(c.place, time.Now().Add(ms(class.WaitMS)))
			c.conn = was
			f.mu.Lock()
			if strings.HasPrefix(again.text, "cursor-fenced") {
				f.counts.fenced++
			} else if again.outcome == served {
				f.counts.zombies++
			}
			f.mu.Unlock()
		}
		old.conn.Close()
	}
	part.done(c.of.Class, class, began, a.outcome, a.text)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch a.outcome {
	case served:
		b, err := changefeed.ParseBatch([]byte(a.value))
		if err != nil {
			break
		}
		if !c.broken.IsZero() {
			_ = f.resume.RecordValue(max(1, time.Since(c.broken).Microseconds()))
			c.broken = time.Time{}
		}
		voided, err := c.rec.take(b)
		if err != nil {
			break
		}
		f.counts.answers++
		f.counts.events += len(b.Events)
		f.counts.voided += voided
		if b.Rewound != nil {
			f.counts.rewound++
		}
		if b.StartedAtHead {
			f.counts.began++
		}
		c.place = b.Next
		return ms(float64(b.RetryAfterMS))
	case failed:
		if place != c.place && strings.HasPrefix(a.text, "cursor-future") {
			f.counts.future++
			return 0
		}
		if at, from, ok := snapshot(a.text); ok {
			f.counts.snapshots++
			c.rec.began, c.rec.events, c.rec.last, c.place = at, nil, cursor.Position{At: at}, changefeed.ClientCursor{After: at, History: from}
			return 0
		}
	}
	if c.broken.IsZero() {
		c.broken = began
	}
	if a.outcome != refused && c.conn != nil {
		c.conn.conn.Close()
		c.conn = nil
	}
	f.counts.again++
	return max(a.back, 50*time.Millisecond)
}

// snapshot reads from a refusal where to go on.
func snapshot(text string) (at int64, history string, ok bool) {
	_, s, found := strings.Cut(text, "resume with after=")
	if !found {
		return 0, "", false
	}
	n, err := fmt.Sscanf(strings.Replace(s, ",history=", " ", 1), "%d %s", &at, &history)
	return at, history, n == 2 && err == nil
}

// query sends one request, on a new connection where there is none.
func (c *subscriber) query(place changefeed.ClientCursor, until time.Time) answer {
	for dials := 0; dials < 2; dials++ {
		kept := c.conn != nil
		if !kept {
			addr, err := c.front.Pick(time.Now())
			if err != nil {
				return answer{outcome: nowhere}
			}
			if c.conn, err = dial(addr, c.of.Address, "worker", until); err != nil {
				c.conn = nil
				continue
			}
		}
		var b strings.Builder
		fmt.Fprintf(&b, "/* id=%s-%d,c=%s,d=%d,cluster=%d", c.name, c.count, c.of.Class, max(1, time.Until(until).Milliseconds()), c.rec.group+1)
		if c.of.Carry && place.History != "" {
			fmt.Fprintf(&b, ",after=%d,history=%s,gen=%d", place.After, place.History, place.Generation)
		}
		fmt.Fprintf(&b, " */ SELECT feed('%s')", c.name)
		a, err := c.conn.query(pgwire.AppendQuery(nil, b.String()), until)
		if err == nil {
			return a
		}
		c.conn.conn.Close()
		if c.conn = nil; c.broken.IsZero() { // until it is answered again, whatever it is told meanwhile
			c.broken = time.Now()
		}
		if !kept {
			return answer{outcome: ended(err)}
		}
	}
	return answer{outcome: nowhere}
}

// keep notes the groups' logs, while they are up.
func (f *followed) keep(r *emulator.Running) {
	for _, g := range r.Groups {
		line, events := g.Log()
		f.logs = append(f.logs, truth{line, events})
	}
}

// audit holds all records against the logs.
func (f *followed) audit(m map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var w wrongs
	logged, silent := 0, 0
	for _, t := range f.logs {
		logged += len(t.events)
	}
	for _, s := range f.all {
		if s.rec.last.At == 0 {
			silent++
		}
		one := s.rec.against(&f.logs[s.rec.group])
		w.gaps, w.duplicates, w.phantoms, w.behind = w.gaps+one.gaps, w.duplicates+one.duplicates, w.phantoms+one.phantoms, w.behind+one.behind
	}
	m["gaps"], m["duplicates"], m["phantoms"], m["left_behind"] = float64(w.gaps), float64(w.duplicates), float64(w.phantoms), float64(w.behind)
	m["logged"], m["silent"] = float64(logged), float64(silent)
	c := &f.counts
	for name, n := range map[string]int{"answers": c.answers, "events": c.events, "rewound": c.rewound, "voided": c.voided, "snapshots": c.snapshots, "fenced": c.fenced, "zombie_answers": c.zombies,
		"began": c.began, "come_again": c.again, "future_refused": c.future} {
		m[name] = float64(n)
	}
	m["resumed"], m["resume_p99_ms"] = float64(f.resume.TotalCount()), float64(f.resume.ValueAtQuantile(99))/1e3
}
