package trust_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/trust"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		ledger, err := trust.NewLedger(trust.Settings{Capacity: 40, MaxAge: 2e9})
		if err != nil {
			t.Fatal(err)
		}
		evaluate := func(use uint8, provenance uint8, fact trust.Fact, listed bool) trust.Decision {
			fact.Provenance = trust.Provenance(provenance) % trust.ProvenanceCount
			return trust.Evaluate(trust.Use(use)%trust.UseCount, fact, listed, trust.DefaultSettings())
		}
		driver := replaytest.NewDriver(seed, digest)
		driver.Run(600, ledger.AddRestored, ledger.AddOwnResponse, ledger.AddFromPeer, ledger.AddFromPeer, ledger.Refute, ledger.DistrustRestored, ledger.Fact, ledger.Fact,
			evaluate, trust.CompareCopy, ledger.Size)
	}
	digest.Check(t, "6b4f0d96301175dd/16388")
}
