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
		settings := crdt.Usual(crdt.Origin{Name: "r-0", Boot: 1})
		for kind := range settings.Most {
			settings.Most[kind] = 10
		}
		store, err := crdt.New(settings)
		if err != nil {
			t.Fatal(err)
		}
		teller, err := crdt.NewTeller(crdt.UsualTeller())
		if err != nil {
			t.Fatal(err)
		}
		feeder, err := crdt.NewFeeder(crdt.UsualFeed(), driver.Now)
		if err != nil {
			t.Fatal(err)
		}
		// sane keeps drawn entries within what a router could say.
		sane := func(e crdt.Entry) crdt.Entry {
			e.Kind = crdt.Session + e.Kind%crdt.Last
			e.At, e.Age = int64(driver.IntN(1000)), int64(driver.IntN(3e9))
			e.Seq = 1 + uint64(driver.IntN(200))
			return e
		}
		learn := func(now int64, e crdt.Entry) bool { return store.Learn(now, sane(e)) }
		take := func(now int64, e crdt.Entry) bool { return store.Take(now, sane(e)) }
		merge := func(now int64, runs []crdt.Run) int {
			for i := range runs {
				for j := range runs[i].Entries {
					runs[i].Entries[j] = sane(runs[i].Entries[j])
				}
			}
			return store.Merge(now, runs)
		}
		add := func(now int64, e crdt.Entry, wait uint64) { teller.Add(now, sane(e), wait) }
		push := func(now int64) []crdt.Entry { return store.Push(now, 300) }
		digests := func(kind uint8) (uint64, int) {
			k := crdt.Session + crdt.Kind(kind)%crdt.Last
			return store.Digest(k), store.Size(k)
		}
		next := func(now int64) []crdt.Telling { return teller.Next(now, []string{"r-1", "r-2", "r-3"}) }
		driver.Run(1200, learn, learn, take, take, merge, push, digests, store.Vector, store.Commit, store.Cursor,
			store.Primary, store.Applied, store.MayHaveRun, store.Used, store.Hints, store.Tick, store.Sum,
			store.Refused, add, add, next, next, teller.Acked, teller.Due, teller.Told, feeder.Ask, feeder.Gave)
	}
	digest.Check(t, "0562f8e72a01faae/246570")
}
