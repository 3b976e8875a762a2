// Package sharded keeps a value in pieces, each with a mutex of its own, so that goroutines that look at different keys do not
// wait for each other. What the value is and how it is decided on is the caller's: a shard is a plain value without locks.
//
// A goroutine holds one shard at a time, whichever Shards it belongs to, and waits for nothing while it does: no socket,
// file, channel or callback. With the build tag debug the first is asserted.
package sharded

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Shards are n values of one type. The number is fixed when they are made.
type Shards[T any] struct {
	cells []cell[T]
}

type cell[T any] struct {
	mu    sync.Mutex
	value T
	_     [128]byte // or the locks of two would share a cache line, or one that is fetched along
}

// New makes n shards, at least one; start makes the value of each.
func New[T any](n int, start func(i int) T) *Shards[T] {
	s := &Shards[T]{cells: make([]cell[T], max(n, 1))}
	for i := range s.cells {
		s.cells[i].value = start(i)
	}
	return s
}

// Len is how many there are.
func (s *Shards[T]) Len() int { return len(s.cells) }

// Index is the shard of a key of one or more parts. It is the same in every process with as many shards. Each part is hashed
// by itself, so that "a", "bc" and "ab", "c" are two keys, and nothing is put together or allocated.
func (s *Shards[T]) Index(key ...string) int {
	h := uint64(0)
	for _, part := range key {
		h = (h ^ xxhash.Sum64String(part)) * spread
	}
	return int((h >> 32) * uint64(len(s.cells)) >> 32) // by the upper bits, which depend on all others
}

const spread = 0x9e3779b97f4a7c15 // odd: 2^64 over the golden ratio

// Do has a function look at or change the value of a key's shard, which it must not keep.
func (s *Shards[T]) Do(key string, f func(*T)) { s.At(s.Index(key), f) }

// At is Do for a shard by number, where a key has several parts.
func (s *Shards[T]) At(i int, f func(*T)) {
	c := &s.cells[i]
	enter()
	defer leave()
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.value)
}

// Each goes through all shards, one by one in order of their numbers. Between two of them anything may change: a key that is
// changed meanwhile may be seen before or after it, and a sum over shards is of no one moment. Only what a single shard
// holds is of one moment.
func (s *Shards[T]) Each(f func(i int, v *T)) {
	for i := range s.cells {
		s.At(i, func(v *T) { f(i, v) })
	}
}
