package cursor

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"

	"lotushook/policy/crdt"
)

// world is one log with a take-over that loses its last event, three routers, and two subscribers: the first carries its cursor,
// the second does not.
type world struct {
	logs    [2][]int64 // events of each history: the second's own
	from    int64      // where the second forked; 0: it has not begun
	routers [3]struct {
		feed  *Feed
		known [2]Cursor
	}
	subs [2]struct {
		place Position // what it was answered last
		gen   int64
		got   []int64 // without what it was told to forget
		began int64   // what was before is not its business; -1: it has nothing yet
		at    int     // the router that it is connected to; -1: none
		held  Generation
	}
	path []string
}

var histories = [2]History{{1, 1}, {2, 2}}

func (w *world) next(what string, args ...any) *world {
	c := *w
	for i := range c.logs {
		c.logs[i] = slices.Clone(c.logs[i])
	}
	for i := range c.routers {
		f := *c.routers[i].feed
		f.lineage, f.ring = slices.Clone(f.lineage), slices.Clone(f.ring)
		c.routers[i].feed = &f
	}
	for i := range c.subs {
		c.subs[i].got = slices.Clone(c.subs[i].got)
	}
	c.path = append(slices.Clone(w.path), fmt.Sprintf(what, args...))
	return &c
}

func (w *world) hash() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.logs, w.from, w.subs)
	for _, r := range w.routers {
		fmt.Fprint(h, r.feed.lineage, r.feed.ring, r.feed.head, r.feed.end, r.known)
	}
	return h.Sum64()
}

// log is a history's line and all events along it.
func (w *world) log(n int) (Lineage, []int64) {
	if n == 0 {
		return Lineage{{histories[0], 0}}, w.logs[0]
	}
	i := 0
	for i < len(w.logs[0]) && w.logs[0][i] <= w.from {
		i++
	}
	return Lineage{{histories[0], 0}, {histories[1], w.from}}, append(slices.Clone(w.logs[0][:i]), w.logs[1]...)
}

const mostEvents = 3

// events are all that can happen next. A rule may be broken on purpose.
//
//nolint:gocognit // one history or table of cases, told in order
func (w *world) events(broken string) (out []*world) {
	newest := 0
	if w.from > 0 {
		newest = 1
	}
	if len(w.logs[0])+len(w.logs[1]) < mostEvents+newest {
		c := w.next("commit")
		_, all := c.log(newest)
		at := c.from + 1
		if len(all) > 0 {
			at = all[len(all)-1] + 1
		}
		c.logs[newest] = append(c.logs[newest], at)
		out = append(out, c)
	}
	if newest == 0 && len(w.logs[0]) > 1 {
		c := w.next("take-over")
		c.from = w.logs[0][len(w.logs[0])-2]
		out = append(out, c)
	}
	for i := range w.routers {
		for m := 0; m <= newest; m++ { // whichever history the member is on: the forked one still answers
			c := w.next("router %d reads a member of history %d", i, m)
			line, all := c.log(m)
			a := &Response{Lineage: line}
			if n := len(all); n > 0 {
				a.Head = all[n-1]
			}
			f := c.routers[i].feed
			if p, read := f.End(); read {
				end, on := line.End(p.History)
				if !on {
					continue // it has not heard of that history, and says so
				}
				a.From = min(p.At, end)
			}
			for _, at := range all {
				if at > a.From {
					a.Events = append(a.Events, Event{At: at})
				}
			}
			f.Apply(0, a, true)
			out = append(out, c)
		}
		for s := range w.subs {
			out = append(out, w.request(i, s, false, broken), w.request(i, s, true, broken))
			for j := range w.routers {
				if i != j && w.routers[i].known[s].Compare(w.routers[j].known[s]) > 0 {
					c := w.next("router %d tells %d of %d", i, j, s)
					c.routers[j].known[s] = c.routers[j].known[s].Join(c.routers[i].known[s])
					out = append(out, c)
				}
			}
		}
	}
	return slices.DeleteFunc(out, func(c *world) bool { return c == nil })
}

// request is one of a subscriber's, on the connection that it has if it is to the same router, and whether its answer is lost,
// which breaks the connection.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func (w *world) request(r, s int, lost bool, broken string) *world {
	c := w.next("subscriber %d asks router %d, lost %v", s, r, lost)
	sub, router, self := &c.subs[s], &c.routers[r], crdt.Origin{Name: fmt.Sprint("r", r), Epoch: 1}
	known := router.known[s]
	q := Request{Connection: NewConnection, Known: known, IssuedHere: known.RaisedBy == self}
	if s == 0 || sub.at == r { // its connection remembers what went out on it
		q.Client = sub.place
	}
	if sub.at == r {
		if q.Connection = SameConnection; known.Generation.Compare(sub.held) > 0 {
			q.Connection = SupersededConnection
		}
	}
	if end, on := router.feed.lineage.End(q.Client.History); broken == "positions alone" && on && end < q.Client.At {
		q.Client.History = router.feed.lineage.Newest()
	}
	v := router.feed.Decide(0, q, false)
	if broken == "the fleet's word first" && v.Outcome == Resume && known.Gen > 0 {
		v.Start = known.Position
	}
	switch {
	case v.RequiredRead != NoRead || v.Outcome == ReadFirst:
		return nil
	case v.Outcome == Fenced:
		sub.at = -1
		return c
	case v.Outcome == Snapshot || v.Outcome == Future || v.Outcome == Impossible:
		c.path = append(c.path, "BROKEN: "+v.Outcome.String())
		return c
	}
	list, next, head := []Event(nil), v.Start, router.feed.Head()
	if v.Outcome != Wait || v.Start.Compare(head) <= 0 && v.Start.At <= head.At {
		list, next, _ = router.feed.Batch(v.Start, nil)
	}
	held := sub.held
	if q.Connection == NewConnection {
		client := sub.gen
		if s == 1 {
			client = 0
		}
		held = Generation{max(known.Gen, client, head.At) + 1, self}
	}
	acked := min(v.Start.At, next.At)
	if v.Outcome == BeginAtHead && broken != "a beginning counts as heard" {
		acked = NotAcknowledged
	}
	kept := next
	if v.Outcome == Rewind && s == 1 && broken != "a rewind counts as heard" {
		kept, acked = v.Stale, known.Acked
	}
	if s == 1 && kept.Compare(known.Position) < 0 { // what it may have had stays known
		kept = known.Position
	}
	if next.At <= head.At {
		router.known[s] = router.known[s].Join(Cursor{held, kept, acked, 0})
	}
	if lost {
		sub.at = -1
		return c
	}
	sub.at, sub.held, sub.gen, sub.place = r, held, held.Gen, next
	if v.Outcome == BeginAtHead {
		sub.got, sub.began = nil, next.At
	}
	if v.Outcome == Rewind {
		sub.began = min(sub.began, v.Start.At) // it may have begun on the lost tail
		sub.got = slices.DeleteFunc(sub.got, func(at int64) bool { return at > v.Start.At })
	}
	if s == 1 && len(list) > 0 { // another router may know it from before it began at one that did not
		sub.began = min(sub.began, v.Start.At)
	}
	for _, e := range list {
		sub.got = append(sub.got, e.At)
	}
	return c
}

// wrong is what must never be: a row that nobody has a cause for, or a record that is not the log that its cursor is on.
func (w *world) wrong() string {
	if last := w.path[len(w.path)-1]; last[:min(6, len(last))] == "BROKEN" {
		return last
	}
	for s := range w.subs {
		sub := &w.subs[s]
		if sub.began < 0 {
			continue
		}
		n := slices.Index(histories[:], sub.place.History)
		_, all := w.log(n)
		var want []int64
		upto := sub.place.At
		if s == 1 && len(sub.got) > 0 { // it may be sent back, and hears what is between again
			upto = max(upto, slices.Max(sub.got))
		}
		for _, at := range all {
			if at > sub.began && at <= upto {
				want = append(want, at)
			}
		}
		got := sub.got
		if s == 1 { // it hears some again: what it has not had before must follow in order
			got = nil
			for _, at := range sub.got {
				if !slices.Contains(got, at) {
					got = append(got, at)
				}
			}
		}
		if !slices.Equal(got, want) {
			return fmt.Sprintf("subscriber %d at %v has %v of %v", s, sub.place, sub.got, want)
		}
	}
	return ""
}

// explore goes through all states up to a depth, breadth first.
func explore(depth, most int, broken string) (states, reached int, path []string, wrong string) {
	set := DefaultSettings()
	first := &world{path: []string{"start"}}
	for i := range first.routers {
		first.routers[i].feed = NewFeed(&set)
	}
	for i := range first.subs {
		first.subs[i].began, first.subs[i].at = -1, -1
	}
	// Two events, which the first router and its subscribers know.
	line := Lineage{{histories[0], 0}}
	first.routers[0].feed.Apply(0, &Response{Lineage: line}, true)
	for s := range first.subs {
		first = first.request(0, s, false, "")
	}
	first.logs[0] = []int64{1, 2}
	seen, now := map[uint64]bool{first.hash(): true}, []*world{first}
	for d := 1; d <= depth && len(now) > 0 && len(seen) < most; d++ {
		var then []*world
		for _, w := range now {
			for _, c := range w.events(broken) {
				if text := c.wrong(); text != "" {
					return len(seen), d, c.path, text
				}
				if h := c.hash(); !seen[h] && len(seen) < most {
					seen[h] = true
					then = append(then, c)
				}
			}
		}
		now, reached = then, d
	}
	return len(seen), reached, nil, ""
}

// Every way in which reads of members on either side of a take-over, requests, lost answers, reconnects and what routers tell each
// other can follow one another. Rules that are broken on purpose are found.
func TestExplore(t *testing.T) {
	states, depth, path, wrong := explore(6, 60_000, "")
	if wrong != "" {
		t.Fatalf("%s: %q", wrong, path)
	}
	t.Logf("%d states, depth %d", states, depth)
	for _, broken := range []string{"positions alone", "the fleet's word first", "a beginning counts as heard", "a rewind counts as heard"} {
		states, depth, path, wrong := explore(6, 60_000, broken)
		if wrong == "" {
			t.Errorf("%s: not found in %d states", broken, states)
		}
		t.Logf("%s: %s after %d states, depth %d: %q", broken, wrong, states, depth, path)
	}
}
