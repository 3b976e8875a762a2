// Package sharded divides a value into shards, each with a mutex of its own, so that goroutines that access different
// keys do not wait for each other. A shard is a plain value without locks, and the caller defines its meaning.
//
// A goroutine may access only one shard at a time, whichever Shards it belongs to, and must not block during the
// access: no socket, file, channel or callback. Builds with the tag debug assert the first rule.
package sharded

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Shards is a fixed number of values of one type.
type Shards[T any] struct {
	shards []shard[T]
}

type shard[T any] struct {
	mu    sync.Mutex
	value T
	_     [128]byte // keeps the mutexes of two shards on different cache lines, also where lines are prefetched in pairs
}

// New returns n shards, but at least one, whose initial values newValue returns.
func New[T any](n int, newValue func(i int) T) *Shards[T] {
	s := &Shards[T]{shards: make([]shard[T], max(n, 1))}
	for i := range s.shards {
		s.shards[i].value = newValue(i)
	}
	return s
}

// Len returns the number of shards.
func (s *Shards[T]) Len() int { return len(s.shards) }

// Index returns the shard index of a key of one or more parts. It is the same in every process with the same number of
// shards. Each part is hashed separately, so that the keys "a", "bc" and "ab", "c" differ and nothing is concatenated
// or allocated.
func (s *Shards[T]) Index(key ...string) int {
	hash := uint64(0)
	for _, part := range key {
		hash = (hash ^ xxhash.Sum64String(part)) * hashMultiplier
	}
	return int((hash >> 32) * uint64(len(s.shards)) >> 32) // uses the upper bits, which depend on all others
}

const hashMultiplier = 0x9e3779b97f4a7c15 // odd: 2^64 divided by the golden ratio

// Do calls f with the value of the key's shard under the shard's lock. f may change the value, but must not retain the
// pointer.
func (s *Shards[T]) Do(key string, f func(*T)) { s.At(s.Index(key), f) }

// At is Do for the shard with index i, for keys of several parts.
func (s *Shards[T]) At(i int, f func(*T)) {
	accessed := &s.shards[i]
	enter()
	defer leave()
	accessed.mu.Lock()
	defer accessed.mu.Unlock()
	f(&accessed.value)
}

// Each calls f for each shard in the order of their indexes, and locks only that shard during the call. It is not a
// consistent snapshot: any shard may change between two calls, so that only the values within one shard are consistent
// with each other.
func (s *Shards[T]) Each(f func(i int, value *T)) {
	for i := range s.shards {
		s.At(i, func(value *T) { f(i, value) })
	}
}
