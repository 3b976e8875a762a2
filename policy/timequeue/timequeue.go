// Package timequeue provides a queue that orders items by their arrival times.
package timequeue

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

// Queue is ordered by arrival time, oldest first. The zero value is empty.
type Queue[T comparable] struct {
	items []entry[T]
}

type entry[T comparable] struct {
	arrivedAt clock.Nanos
	item      T
}

// Push appends an item. Its arrival time must not be earlier than that of any queued item.
func (q *Queue[T]) Push(arrivedAt clock.Nanos, item T) {
	q.items = append(q.items, entry[T]{arrivedAt, item})
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items) }

// At returns the item at an index; index 0 is the oldest.
func (q *Queue[T]) At(index int) T { return q.items[index].item }

// RemoveAt removes the item at an index.
func (q *Queue[T]) RemoveAt(index int) { q.items = slices.Delete(q.items, index, index+1) }

// Remove removes an item, which must be queued with the given arrival time.
func (q *Queue[T]) Remove(arrivedAt clock.Nanos, item T) {
	index, _ := slices.BinarySearchFunc(q.items, arrivedAt, func(e entry[T], arrivedAt clock.Nanos) int {
		return cmp.Compare(e.arrivedAt, arrivedAt)
	})
	for q.items[index].item != item {
		index++
	}
	q.RemoveAt(index)
}
