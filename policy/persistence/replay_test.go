package persistence_test

import (
	"cmp"
	"slices"
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/persistence"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		queue, err := persistence.New(persistence.Settings{QueueBytes: 2 << 10, FsyncsPerSecond: 4, RetryBackoff: 1e9, MaxRetryBackoff: 8e9})
		if err != nil {
			t.Fatal(err)
		}
		driver := replaytest.NewDriver(seed, digest)
		write := func(now int64, fail bool) []persistence.Record {
			dueAt, isDue := queue.Due()
			if !isDue || now < dueAt {
				return nil
			}
			records := queue.TakeBatch(now).Records()
			slices.SortFunc(records, func(left, right persistence.Record) int {
				return cmp.Or(cmp.Compare(left.Kind, right.Kind), slices.Compare(left.Key, right.Key))
			})
			if fail {
				queue.Failed(now, now+1e8, 2)
			} else {
				queue.Committed(now, 2)
			}
			return records
		}
		driver.Run(500, queue.Put, queue.Put, queue.Put, write, queue.Bytes, queue.Counts, persistence.AgeNow)
	}
	digest.Check(t, "652e00ea3c9d677f/22908")
}
