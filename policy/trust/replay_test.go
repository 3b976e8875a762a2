package trust_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/trust"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		book, err := trust.NewLedger(trust.Settings{Capacity: 40, MaxAge: 2e9})
		if err != nil {
			t.Fatal(err)
		}
		judge := func(use uint8, origin uint8, fact trust.Fact, listed bool) trust.Verdict {
			fact.Provenance = trust.Provenance(origin) % trust.ProvenanceCount
			return trust.Judge(trust.Use(use)%trust.UseCount, fact, listed, trust.DefaultSettings())
		}
		driver := replaytest.NewDriver(seed, digest)
		driver.Run(600, book.AddRestored, book.AddOwn, book.AddFromPeer, book.AddFromPeer, book.Refute, book.DistrustRestored, book.Fact, book.Fact,
			judge, trust.Compare, book.Size)
	}
	digest.Check(t, "6b4f0d96301175dd/16388")
}
