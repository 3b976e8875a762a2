package trust_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/trust"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		book, err := trust.NewBook(trust.Settings{Most: 40, MostAge: 2e9})
		if err != nil {
			t.Fatal(err)
		}
		judge := func(use uint8, origin uint8, fact trust.Fact, listed bool) trust.Verdict {
			fact.Origin = trust.Origin(origin) % trust.Origins
			return trust.Judge(trust.Use(use)%trust.Uses, fact, listed, trust.Usual())
		}
		driver := replaytest.NewDriver(seed, digest)
		driver.Run(600, book.Restored, book.Own, book.Told, book.Told, book.Contrary, book.Old, book.Fact, book.Fact,
			judge, trust.Compare, book.Size)
	}
	digest.Check(t, "6b4f0d96301175dd/16388")
}
