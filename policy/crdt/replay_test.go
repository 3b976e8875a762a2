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
		settings := crdt.DefaultSettings(crdt.Origin{Name: "r-0", Epoch: 1})
		for kind := range settings.MaxEntries {
			settings.MaxEntries[kind] = 10
		}
		store, err := crdt.New(settings)
		if err != nil {
			t.Fatal(err)
		}
		teller, err := crdt.NewBroadcaster(crdt.DefaultBroadcasterSettings())
		if err != nil {
			t.Fatal(err)
		}
		feeder, err := crdt.NewCatchUpServer(crdt.DefaultCatchUpSettings(), driver.Now)
		if err != nil {
			t.Fatal(err)
		}
		// sane keeps drawn entries within what a router could say.
		sane := func(e crdt.Entry) crdt.Entry {
			e.Kind = crdt.SessionCommit + e.Kind%crdt.LastKind
			e.Position, e.Age = int64(driver.IntN(1000)), int64(driver.IntN(3e9))
			e.Seq = 1 + uint64(driver.IntN(200))
			return e
		}
		learn := func(now int64, e crdt.Entry) bool { return store.Learn(now, sane(e)) }
		take := func(now int64, e crdt.Entry) bool { return store.Merge(now, sane(e)) }
		merge := func(now int64, runs []crdt.OriginRun) int {
			for i := range runs {
				for j := range runs[i].Entries {
					runs[i].Entries[j] = sane(runs[i].Entries[j])
				}
			}
			return store.MergeRuns(now, runs)
		}
		add := func(now int64, e crdt.Entry, wait uint64) { teller.Add(now, sane(e), wait) }
		push := func(now int64) []crdt.Entry { return store.TakePending(now, 300) }
		digests := func(kind uint8) (uint64, int) {
			k := crdt.SessionCommit + crdt.Kind(kind)%crdt.LastKind
			return store.Digest(k), store.Size(k)
		}
		next := func(now int64) []crdt.Delivery { return teller.Deliveries(now, []string{"r-1", "r-2", "r-3"}) }
		driver.Run(1200, learn, learn, take, take, merge, push, digests, store.VersionVector, store.CommitPosition, store.Cursor,
			store.Primary, store.AppliedPosition, store.MayHaveRun, store.Usage, store.Hints, store.Expire, store.TotalDigest,
			store.Rejected, add, add, next, next, teller.Acknowledge, teller.Due, teller.Counts, feeder.Admit, feeder.Served)
	}
	digest.Check(t, "e07f959c36a29aa2/242196")
}
