package timequeue

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// Whatever is pushed and removed, the items that are left are those of a plain list, in its order.
func TestKeepsTheOrderOfTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type item struct {
			at     clock.Nanos
			number int
		}
		var queue Queue[int]
		var model []item
		now := clock.Nanos(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(model) > 0 && rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				place := rapid.IntRange(0, len(model)-1).Draw(t, "place")
				queue.Remove(model[place].at, model[place].number)
				model = slices.Delete(model, place, place+1)
			} else {
				now += rapid.Int64Range(0, 1).Draw(t, "passes")
				queue.Push(now, i)
				model = append(model, item{now, i})
			}
		}
		if queue.Len() != len(model) {
			t.Fatalf("%d items, want %d", queue.Len(), len(model))
		}
		for place, want := range model {
			if got := queue.At(place); got != want.number {
				t.Fatalf("place %d: %d, want %d", place, got, want.number)
			}
		}
	})
}
