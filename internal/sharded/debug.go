//go:build debug

package sharded

import (
	"bytes"
	"runtime"
	"sync"

	"lotushook/internal/invariant"
)

// holders are the goroutines that hold a shard, by the name that the runtime gives them in traces.
var holders sync.Map

// enter asserts that this goroutine holds no other shard: two that take two in another order wait for each other for good.
func enter() {
	_, held := holders.LoadOrStore(goroutine(), true)
	invariant.Check(!held, "one shard's lock at a time")
}

func leave() { holders.Delete(goroutine()) }

func goroutine() string {
	var buf [40]byte
	name, _, _ := bytes.Cut(buf[:runtime.Stack(buf[:], false)], []byte(" ["))
	return string(name)
}
