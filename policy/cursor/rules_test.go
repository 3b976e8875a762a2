package cursor

import (
	"container/heap"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
	"lotushook/policy/crdt"
)

func drawnCursor(t *rapid.T) Cursor {
	n := func(name string, most int) int64 { return int64(rapid.IntRange(0, most).Draw(t, name)) }
	return Cursor{Generation{n("gen", 2), crdt.Origin{Name: fmt.Sprint("r", n("by", 1)), Epoch: uint64(n("boot", 1))}},
		Position{History{uint32(n("era", 2)), uint32(n("id", 1))}, n("at", 3)}, n("acked", 3), n("age", 3)}
}

// The join is a semilattice, ages and all; a raised generation wins whatever its position, and shared entries order as cursors do.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawnCursor(t), drawnCursor(t), drawnCursor(t)
		switch {
		case a.Join(a) != a, a.Join(b) != b.Join(a), a.Join(b).Join(c) != a.Join(b.Join(c)):
			t.Fatalf("%v %v %v", a, b, c)
		case a.Gen > b.Gen && a.Join(b) != a:
			t.Fatal("a later generation lost")
		case a.Generation == b.Generation && a.History.Compare(b.History) > 0 && a.Join(b) != a:
			t.Fatal("a later history lost")
		}
		if got := FromEntry(a.Entry("f", "s")); got != (Cursor{a.Generation, a.Position, a.Acked, 0}) {
			t.Fatalf("%v came back as %v", a, got)
		}
		// Two copies of what is shared end with the join, in either order.
		if a.Gen == 0 || b.Gen == 0 {
			return
		}
		var kept [2]Cursor
		for i, list := range [][]Cursor{{a, b}, {b, a, b}} {
			s, err := crdt.New(crdt.DefaultSettings(crdt.Origin{Name: "z", Epoch: 1}))
			if err != nil {
				t.Fatal(err)
			}
			for j, x := range list {
				e := x.Entry("f", "s")
				e.Acked, e.Seq = min(e.Acked, e.Position), uint64(j+1)
				s.Merge(0, e)
			}
			e, _, _ := s.Cursor(0, "f", "s")
			kept[i] = FromEntry(e)
		}
		a.Acked, b.Acked = min(a.Acked, a.At), min(b.Acked, b.At)
		want := a.Join(b)
		if want.Age = 0; kept[0] != want || kept[1] != want {
			t.Fatalf("%v and %v: %v", a, b, kept)
		}
	})
}

// A book has room for so many, keeps those touched last, never goes back, and says that it let some go.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewRegistry(crdt.Origin{Name: "r", Epoch: 1}, 4), clock.Nanos(0)
		model, order := map[string]Cursor{}, []string{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now++
			name := fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "who"))
			c := drawnCursor(t)
			c.RaisedBy, c.Age = b.self, 0
			if old, ok := model[name]; ok && c.Compare(old) < 0 {
				if b.Put(now, 1, name, c) {
					t.Fatal("went back")
				}
				continue
			}
			if !b.Put(now, 1, name, c) {
				t.Fatal("not kept")
			}
			order = append(slices.DeleteFunc(order, func(x string) bool { return x == name }), name)
			if model[name] = c; len(order) > 4 {
				delete(model, order[0])
				order = order[1:]
			}
			for name, want := range model {
				got, ok := b.Get(now, 1, name)
				if got.Age = 0; !ok || got != want {
					t.Fatalf("%s: %v, wanted %v", name, got, want)
				}
			}
			if b.Size() != len(model) || b.Evicted() > 0 && b.Size() != 4 {
				t.Fatal(b.Size(), b.Evicted())
			}
		}
	})
}

// What a cursor takes at 100,000 of them, with 24 bytes of name, as the heap has it; and the copy that routers share of one.
func TestCursorBytes(t *testing.T) {
	const n = 100_000
	heap := func(build func()) int {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		return int(after.HeapAlloc) - int(before.HeapAlloc)
	}
	book := NewRegistry(crdt.Origin{Name: "r", Epoch: 1}, n)
	own := heap(func() {
		for i := range n {
			book.Put(0, uint32(i%3), fmt.Sprintf("subscriber-%013d", i), Cursor{Generation{Gen: 1}, pt(1, 1, int64(i)), 0, 0})
		}
	})
	set := crdt.DefaultSettings(crdt.Origin{Name: "r", Epoch: 1})
	set.MaxEntries[crdt.FeedCursor] = n
	store, err := crdt.New(set)
	if err != nil {
		t.Fatal(err)
	}
	told := heap(func() {
		for i := range n {
			store.Learn(0, Cursor{Generation{Gen: 1}, pt(1, 1, int64(i)), 0, 0}.Entry("feed/1", fmt.Sprintf("subscriber-%013d", i)))
			store.TakePending(0, 900)
		}
	})
	t.Logf("%d B a cursor, %d B of one that is shared", own/n, told/n)
	if book.Size() != n || own/n > 200 || store.Size(crdt.FeedCursor) != n {
		t.Errorf("%d of %d, %d B each", book.Size(), n, own/n)
	}
	runtime.KeepAlive(book)
	runtime.KeepAlive(store)
}

// A router dies with 10,000 subscribers, and six others were told so at once: what they tell them to wait spreads them; no second
// has more than two and a half times what may return, all are back in the spread's time and a half, and nobody is told a time
// beyond the spread.
func TestReturn(t *testing.T) {
	set := DefaultSettings()
	const routers, most = 6, 10_000
	var pace [routers]*Limiter
	for i := range pace {
		pace[i] = NewLimiter(&set, 0)
	}
	due := waiters{}
	for i := range most {
		due = append(due, waiter{clock.Nanos(i) * 1e8 / most, i}) // all within a tenth of a second
	}
	taken, last, refusals := map[clock.Nanos]int{}, clock.Nanos(0), 0
	for back := 0; back < most; {
		who := heap.Pop(&due).(waiter)
		at, next := who.at, who.number
		wait, ok := pace[(next+refusals)%routers].AllowReconnect(at, fmt.Sprint("subscriber-", next))
		if wait > set.MaxRetryAfter || !ok && wait <= 0 {
			t.Fatalf("told to wait %d", wait)
		}
		if ok {
			taken[at/1e9]++
			last = at
			back++
		} else {
			refusals++
			heap.Push(&due, waiter{at + wait, next})
		}
	}
	worst := 0
	for _, n := range taken {
		worst = max(worst, n)
	}
	t.Logf("all back after %.1f s, at most %d in a second, told to wait %.2f times each", float64(last)/1e9, worst, float64(refusals)/most)
	if last > set.MaxRetryAfter*3/2 || float64(worst) > 2.5*set.ReconnectsPerSecond*routers {
		t.Errorf("last after %d, %d in one second", last, worst)
	}
}

type waiter struct {
	at     clock.Nanos
	number int
}

type waiters []waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].at < w[j].at }
func (w waiters) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *waiters) Push(x any)        { *w = append(*w, x.(waiter)) }
func (w *waiters) Pop() any {
	old := *w
	x := old[len(old)-1]
	*w = old[:len(old)-1]
	return x
}
