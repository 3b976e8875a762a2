//go:build debug

package sharded

import (
	"bytes"
	"runtime"
	"sync"

	"lotushook/internal/invariant"
)

// holders has the goroutines that access a shard, by their names in stack traces.
var holders sync.Map

// enter asserts that this goroutine accesses no other shard: two goroutines that lock two shards in opposite orders
// would deadlock.
func enter() {
	_, isHolder := holders.LoadOrStore(goroutineName(), true)
	invariant.Check(!isHolder, "one shard's lock at a time")
}

func leave() { holders.Delete(goroutineName()) }

func goroutineName() string {
	var stack [40]byte
	name, _, _ := bytes.Cut(stack[:runtime.Stack(stack[:], false)], []byte(" ["))
	return string(name)
}
