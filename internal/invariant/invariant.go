// Package invariant checks what must always hold. Built with the tag debug, a
// broken invariant stops the program; otherwise it is counted and logged.
package invariant

import (
	"fmt"
	"log/slog"
	"math/bits"
	"sync"
)

var (
	mu     sync.Mutex
	counts = map[string]int{}
)

// Check states that ok must hold. name says what, in a few words; args follow
// as pairs for the log.
func Check(ok bool, name string, args ...any) bool {
	if !ok {
		report(name, args)
	}
	return ok
}

func report(name string, args []any) {
	if Debug {
		panic(fmt.Sprintf("invariant broken: %s %v", name, args))
	}
	mu.Lock()
	counts[name]++
	n := counts[name]
	mu.Unlock()
	if bits.OnesCount(uint(n)) == 1 { // the 1st, 2nd, 4th ... so that a flood doesn't fill the log
		slog.Error("invariant broken", append([]any{"invariant", name, "times", n}, args...)...)
	}
}

// Counts returns how often each invariant was broken since the start.
func Counts() map[string]int {
	mu.Lock()
	defer mu.Unlock()
	out := make(map[string]int, len(counts))
	for k, v := range counts {
		out[k] = v
	}
	return out
}
