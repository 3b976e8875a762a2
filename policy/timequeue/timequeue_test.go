package timequeue

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// After any sequence of pushes and removals, the queue holds the same items in the same order as a plain slice.
func TestKeepsArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type item struct {
			arrivedAt clock.Nanos
			number    int
		}
		var queue Queue[int]
		var model []item
		now := clock.Nanos(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(model) > 0 && rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				index := rapid.IntRange(0, len(model)-1).Draw(t, "place")
				queue.Remove(model[index].arrivedAt, model[index].number)
				model = slices.Delete(model, index, index+1)
			} else {
				now += rapid.Int64Range(0, 1).Draw(t, "passes")
				queue.Push(now, i)
				model = append(model, item{now, i})
			}
		}
		if queue.Len() != len(model) {
			t.Fatalf("queue has %d items, want %d", queue.Len(), len(model))
		}
		for index, want := range model {
			if got := queue.At(index); got != want.number {
				t.Fatalf("item at index %d is %d, want %d", index, got, want.number)
			}
		}
	})
}
