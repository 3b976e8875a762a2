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

func drawCursor(t *rapid.T) Cursor {
	draw := func(name string, maxValue int) int64 { return int64(rapid.IntRange(0, maxValue).Draw(t, name)) }
	return Cursor{Generation{draw("gen", 2), crdt.Origin{Name: fmt.Sprint("r", draw("by", 1)), Boot: uint64(draw("boot", 1))}},
		Position{History{uint32(draw("era", 2)), uint32(draw("id", 1))}, draw("at", 3)}, draw("acked", 3), draw("age", 3)}
}

// Joins of cursors form a semilattice, ages included. A raised generation prevails whatever its position, and
// replicated entries are ordered like cursors.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, other, third := drawCursor(t), drawCursor(t), drawCursor(t)
		switch {
		case first.Join(first) != first, first.Join(other) != other.Join(first), first.Join(other).Join(third) != first.Join(other.Join(third)):
			t.Fatalf("%v %v %v", first, other, third)
		case first.Gen > other.Gen && first.Join(other) != first:
			t.Fatal("a later generation did not prevail")
		case first.Generation == other.Generation && first.History.Compare(other.History) > 0 && first.Join(other) != first:
			t.Fatal("a later history did not prevail")
		}
		if got := FromEntry(first.Entry("f", "s")); got != (Cursor{first.Generation, first.Position, first.Acked, 0}) {
			t.Fatalf("%v was restored as %v", first, got)
		}
		// Two copies of the replicated state end with the join, whatever the order of the entries.
		if first.Gen == 0 || other.Gen == 0 {
			return
		}
		var merged [2]Cursor
		for i, cursors := range [][]Cursor{{first, other}, {other, first, other}} {
			store, err := crdt.New(crdt.DefaultSettings(crdt.Origin{Name: "z", Boot: 1}))
			if err != nil {
				t.Fatal(err)
			}
			for j, cursor := range cursors {
				entry := cursor.Entry("f", "s")
				entry.Acked, entry.Seq = min(entry.Acked, entry.At), uint64(j+1)
				store.Merge(0, entry)
			}
			entry, _, _ := store.Cursor(0, "f", "s")
			merged[i] = FromEntry(entry)
		}
		first.Acked, other.Acked = min(first.Acked, first.At), min(other.Acked, other.At)
		want := first.Join(other)
		if want.Age = 0; merged[0] != want || merged[1] != want {
			t.Fatalf("%v and %v: %v", first, other, merged)
		}
	})
}

// A registry has a limited capacity, retains the cursors that were used last, never replaces a cursor by a lesser one,
// and reports evictions.
func TestRegistry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry, now := NewRegistry(crdt.Origin{Name: "r", Boot: 1}, 4), clock.Nanos(0)
		model, order := map[string]Cursor{}, []string{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now++
			name := fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "who"))
			cursor := drawCursor(t)
			cursor.RaisedBy, cursor.Age = registry.self, 0
			if old, ok := model[name]; ok && cursor.Compare(old) < 0 {
				if registry.Put(now, 1, name, cursor) {
					t.Fatal("a lesser cursor replaced a greater one")
				}
				continue
			}
			if !registry.Put(now, 1, name, cursor) {
				t.Fatal("a greater cursor was not stored")
			}
			order = append(slices.DeleteFunc(order, func(x string) bool { return x == name }), name)
			if model[name] = cursor; len(order) > 4 {
				delete(model, order[0])
				order = order[1:]
			}
			for name, want := range model {
				got, ok := registry.Get(now, 1, name)
				if got.Age = 0; !ok || got != want {
					t.Fatalf("%s: %v, wanted %v", name, got, want)
				}
			}
			if registry.Size() != len(model) || registry.Evicted() > 0 && registry.Size() != 4 {
				t.Fatal(registry.Size(), registry.Evicted())
			}
		}
	})
}

// Measures the heap use of 100,000 cursors with names of 24 bytes, in the registry and in the replicated state.
func TestCursorBytes(t *testing.T) {
	const count = 100_000
	allocated := func(build func()) int {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		return int(after.HeapAlloc) - int(before.HeapAlloc)
	}
	registry := NewRegistry(crdt.Origin{Name: "r", Boot: 1}, count)
	issuedBytes := allocated(func() {
		for i := range count {
			registry.Put(0, uint32(i%3), fmt.Sprintf("subscriber-%013d", i), Cursor{Generation{Gen: 1}, positionOf(1, 1, int64(i)), 0, 0})
		}
	})
	settings := crdt.DefaultSettings(crdt.Origin{Name: "r", Boot: 1})
	settings.MaxEntries[crdt.FeedCursor] = count
	store, err := crdt.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	replicatedBytes := allocated(func() {
		for i := range count {
			store.Learn(0, Cursor{Generation{Gen: 1}, positionOf(1, 1, int64(i)), 0, 0}.Entry("feed/1", fmt.Sprintf("subscriber-%013d", i)))
			store.TakePending(0, 900)
		}
	})
	t.Logf("%d B per cursor in the registry, %d B in the replicated state", issuedBytes/count, replicatedBytes/count)
	if registry.Size() != count || issuedBytes/count > 200 || store.Size(crdt.FeedCursor) != count {
		t.Errorf("%d of %d cursors, %d B each", registry.Size(), count, issuedBytes/count)
	}
	runtime.KeepAlive(registry)
	runtime.KeepAlive(store)
}

// A router with 10,000 subscribers fails, and six others detect it at the same time. Their Retry-After times distribute
// the reconnects: no second has more than 2.5 times the permitted reconnects, all subscribers are back within 1.5 times
// MaxRetryAfter, and no Retry-After time exceeds MaxRetryAfter.
func TestReconnects(t *testing.T) {
	settings := DefaultSettings()
	const routers, subscribers = 6, 10_000
	var limiters [routers]*Limiter
	for i := range limiters {
		limiters[i] = NewLimiter(&settings, 0)
	}
	due := waiters{}
	for i := range subscribers {
		due = append(due, waiter{clock.Nanos(i) * 1e8 / subscribers, i}) // all within 100 ms
	}
	accepted, last, delays := map[clock.Nanos]int{}, clock.Nanos(0), 0
	for returned := 0; returned < subscribers; {
		subscriber := heap.Pop(&due).(waiter)
		at, number := subscriber.dueAt, subscriber.number
		retryAfter, ok := limiters[(number+delays)%routers].AllowReconnect(at, fmt.Sprint("subscriber-", number))
		if retryAfter > settings.MaxRetryAfter || !ok && retryAfter <= 0 {
			t.Fatalf("Retry-After time %d", retryAfter)
		}
		if ok {
			accepted[at/1e9]++
			last = at
			returned++
		} else {
			delays++
			heap.Push(&due, waiter{at + retryAfter, number})
		}
	}
	worst := 0
	for _, count := range accepted {
		worst = max(worst, count)
	}
	t.Logf("all back after %.1f s, at most %d in a second, delayed %.2f times each", float64(last)/1e9, worst, float64(delays)/subscribers)
	if last > settings.MaxRetryAfter*3/2 || float64(worst) > 2.5*settings.ReconnectsPerSecond*routers {
		t.Errorf("last reconnect after %d, %d in one second", last, worst)
	}
}

type waiter struct {
	dueAt  clock.Nanos
	number int
}

type waiters []waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].dueAt < w[j].dueAt }
func (w waiters) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *waiters) Push(x any)        { *w = append(*w, x.(waiter)) }
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}
