package sharded

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotushook/internal/invariant"
)

// quotas counts how often each key was acquired.
type quotas map[string]int

func (q quotas) acquire(key string, limit int) bool {
	if q[key] >= limit {
		return false
	}
	q[key]++
	return true
}

func newQuotas(n int) *Shards[quotas] { return New(n, func(int) quotas { return quotas{} }) }

// A sequence of calls has the same results and leaves the same counts for any number of shards.
func TestSameResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		oneShard, manyShards, unsharded := newQuotas(1), newQuotas(64), quotas{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "key"))
			want := unsharded.acquire(key, 3)
			for _, shards := range []*Shards[quotas]{oneShard, manyShards} {
				got := !want
				shards.Do(key, func(q *quotas) { got = q.acquire(key, 3) })
				if got != want {
					t.Fatalf("%d shards: %s: acquired %v", shards.Len(), key, got)
				}
			}
		}
		for _, shards := range []*Shards[quotas]{oneShard, manyShards} {
			total := quotas{}
			shards.Each(func(i int, q *quotas) {
				for key, count := range *q {
					if total[key] += count; shards.Index(key) != i {
						t.Fatalf("%s is in shard %d of %d", key, i, shards.Len())
					}
				}
			})
			if fmt.Sprint(total) != fmt.Sprint(unsharded) {
				t.Fatalf("%d shards have %v, want %v", shards.Len(), total, unsharded)
			}
		}
	})
}

// Eight goroutines acquire each key exactly up to its limit, and the sum that Each sees never falls.
func TestConcurrentAccess(t *testing.T) {
	shards, acquired := newQuotas(16), atomic.Int64{}
	var goroutines sync.WaitGroup
	for g := range 8 {
		goroutines.Go(func() {
			for i := range 4000 {
				key := fmt.Sprint((i*7 + g) % 300)
				shards.Do(key, func(q *quotas) {
					if q.acquire(key, 50) {
						acquired.Add(1)
					}
				})
			}
		})
	}
	goroutines.Go(func() {
		for previous := 0; previous < 300*50; {
			sum := 0
			shards.Each(func(_ int, q *quotas) {
				for _, count := range *q {
					sum += count
				}
			})
			if sum < previous {
				t.Errorf("the sum is %d after %d", sum, previous)
				return
			}
			previous = sum
		}
	})
	goroutines.Wait()
	if acquired.Load() != 300*50 {
		t.Errorf("%d acquired", acquired.Load())
	}
}

// The parts of a key are distinguished, and keys are evenly distributed over all shards.
func TestIndex(t *testing.T) {
	shards, keysByShard := newQuotas(1<<16), map[int]int{}
	if shards.Index("a", "bc") == shards.Index("ab", "c") || shards.Index("a", "") == shards.Index("", "a") {
		t.Error("two different keys have the same index")
	}
	fewShards := newQuotas(16)
	for i := range 16_000 {
		keysByShard[fewShards.Index("1", fmt.Sprint("session-", i))]++
	}
	for i := range fewShards.Len() {
		if keysByShard[i] < 800 || keysByShard[i] > 1200 {
			t.Errorf("shard %d has %d of 16000 keys", i, keysByShard[i])
		}
	}
}

// In a debug build, access to a second shard within the function of the first one panics before it can block.
func TestNestedAccess(t *testing.T) {
	if !invariant.Debug {
		t.Skip("asserted in debug builds")
	}
	defer func() {
		if recover() == nil {
			t.Error("nested access to two shards was not detected")
		}
		shards := newQuotas(2)
		shards.At(0, func(*quotas) {}) // the panic left no access registered for this goroutine
	}()
	shards := newQuotas(2)
	shards.At(0, func(*quotas) { shards.At(1, func(*quotas) {}) })
}

// singleLock is the alternative to shards.
type singleLock struct {
	mu     sync.Mutex
	quotas quotas
}

// work simulates the computation of a decision under its lock, in addition to a map access: a few hundred ns of CPU
// time.
func work(steps int) (x uint64) {
	for x = 1; steps > 0; steps-- {
		x = x*6364136223846793005 + 1
	}
	return x
}

// BenchmarkAgainstOneLock compares 64 shards with one lock, for 1, 2, 4 and 8 goroutines. Each iteration makes the same
// number of accesses with one lock, with the shards and, as the limit of what the machine allows at that moment,
// without any lock ("free"). "times" is how many times as many accesses per second the shards allow. Each access writes
// an entry of a map that all goroutines share, which costs the transfer of a cache line, either alone or with the work
// of a decision.
func BenchmarkAgainstOneLock(b *testing.B) {
	const accessCount = 20_000
	keys := make([]string, 20_000)
	for i := range keys {
		keys[i] = fmt.Sprint("session-", i)
	}
	for _, steps := range []int{0, 300} {
		for _, goroutines := range []int{1, 2, 4, 8} {
			b.Run(fmt.Sprintf("work=%d/goroutines=%d", steps, goroutines), func(b *testing.B) {
				single, shards := singleLock{quotas: quotas{}}, newQuotas(64)
				for _, key := range keys {
					single.quotas[key] = 1
					shards.Do(key, func(q *quotas) { (*q)[key] = 1 })
				}
				measure := func(access func(key string)) time.Duration {
					var running sync.WaitGroup
					startedAt := time.Now()
					for g := range goroutines {
						running.Go(func() {
							for i := range accessCount {
								access(keys[(i*31+g*4999)%len(keys)])
							}
						})
					}
					running.Wait()
					return time.Since(startedAt)
				}
				var singleElapsed, shardsElapsed, freeElapsed time.Duration
				for b.Loop() {
					singleElapsed += measure(func(key string) {
						single.mu.Lock()
						single.quotas[key] += int(work(steps) & 1)
						single.mu.Unlock()
					})
					shardsElapsed += measure(func(key string) { shards.Do(key, func(q *quotas) { (*q)[key] += int(work(steps) & 1) }) })
					freeElapsed += measure(func(key string) { _ = work(steps + len(key)) })
				}
				accesses := float64(b.N * goroutines * accessCount)
				b.ReportMetric(float64(singleElapsed.Nanoseconds())/accesses, "ns/lock")
				b.ReportMetric(float64(shardsElapsed.Nanoseconds())/accesses, "ns/shards")
				b.ReportMetric(float64(freeElapsed.Nanoseconds())/accesses, "ns/free")
				b.ReportMetric(singleElapsed.Seconds()/shardsElapsed.Seconds(), "times")
			})
		}
	}
}
