// Package invariant checks conditions that must always hold. A violation panics in a build with the tag debug, and is
// counted and logged otherwise.
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

// Check reports a violation of the named invariant unless ok holds, and returns ok. args are key-value pairs for the
// log.
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
	count := counts[name]
	mu.Unlock()
	if bits.OnesCount(uint(count)) == 1 { // the 1st, 2nd, 4th, ... so that repeated violations don't fill the log
		slog.Error("invariant broken", append([]any{"invariant", name, "times", count}, args...)...)
	}
}

// Counts returns the number of violations of each invariant since the program's start.
func Counts() map[string]int {
	mu.Lock()
	defer mu.Unlock()
	result := make(map[string]int, len(counts))
	for name, count := range counts {
		result[name] = count
	}
	return result
}
