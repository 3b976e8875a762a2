// Package timequeue holds items in the order of the times at which they came.
package timequeue

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

// Queue is ordered by time, oldest first. The zero value is empty.
type Queue[T comparable] struct {
	items []entry[T]
}

type entry[T comparable] struct {
	at   clock.Nanos
	item T
}

// Push adds an item that came no earlier than those that are there.
func (q *Queue[T]) Push(at clock.Nanos, item T) {
	q.items = append(q.items, entry[T]{at, item})
}

// Len is the number of items.
func (q *Queue[T]) Len() int { return len(q.items) }

// At returns the item at a place, the oldest at 0.
func (q *Queue[T]) At(place int) T { return q.items[place].item }

// RemoveAt removes the item at a place.
func (q *Queue[T]) RemoveAt(place int) { q.items = slices.Delete(q.items, place, place+1) }

// Remove removes an item that came at a time and is there.
func (q *Queue[T]) Remove(at clock.Nanos, item T) {
	place, _ := slices.BinarySearchFunc(q.items, at, func(e entry[T], at clock.Nanos) int {
		return cmp.Compare(e.at, at)
	})
	for q.items[place].item != item {
		place++
	}
	q.RemoveAt(place)
}
