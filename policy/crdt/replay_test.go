package crdt_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/crdt"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		driver := replaytest.NewDriver(seed, digest)
		settings := crdt.DefaultSettings(crdt.Origin{Name: "r-0", Boot: 1})
		for kind := range settings.MaxEntries {
			settings.MaxEntries[kind] = 10
		}
		store, err := crdt.New(settings)
		if err != nil {
			t.Fatal(err)
		}
		broadcaster, err := crdt.NewBroadcaster(crdt.DefaultBroadcasterSettings())
		if err != nil {
			t.Fatal(err)
		}
		catchUpServer, err := crdt.NewCatchUpServer(crdt.DefaultCatchUpSettings(), driver.Now)
		if err != nil {
			t.Fatal(err)
		}
		// plausible limits a drawn entry to values that a router could send.
		plausible := func(entry crdt.Entry) crdt.Entry {
			entry.Kind = crdt.SessionCommit + entry.Kind%crdt.LastKind
			entry.At, entry.Age = int64(driver.IntN(1000)), int64(driver.IntN(3e9))
			entry.Seq = 1 + uint64(driver.IntN(200))
			return entry
		}
		learn := func(now int64, entry crdt.Entry) bool { return store.Learn(now, plausible(entry)) }
		mergeOne := func(now int64, entry crdt.Entry) bool { return store.Merge(now, plausible(entry)) }
		merge := func(now int64, runs []crdt.OriginRun) int {
			for i := range runs {
				for j := range runs[i].Entries {
					runs[i].Entries[j] = plausible(runs[i].Entries[j])
				}
			}
			return store.MergeRuns(now, runs)
		}
		add := func(now int64, entry crdt.Entry, wait uint64) { broadcaster.Add(now, plausible(entry), wait) }
		push := func(now int64) []crdt.Entry { return store.TakePending(now, 300) }
		digests := func(kind uint8) (uint64, int) {
			entryKind := crdt.SessionCommit + crdt.Kind(kind)%crdt.LastKind
			return store.Digest(entryKind), store.Size(entryKind)
		}
		next := func(now int64) []crdt.Delivery { return broadcaster.Deliveries(now, []string{"r-1", "r-2", "r-3"}) }
		driver.Run(1200, learn, learn, mergeOne, mergeOne, merge, push, digests, store.VersionVector, store.CommitPosition, store.Cursor,
			store.Primary, store.AppliedPosition, store.MayHaveRun, store.Usage, store.Hints, store.Expire, store.TotalDigest,
			store.Rejected, add, add, next, next, broadcaster.Acknowledge, broadcaster.Due, broadcaster.Counts, catchUpServer.Admit, catchUpServer.Served)
	}
	digest.Check(t, "e07f959c36a29aa2/242196")
}
