package evidence_test

import (
	"testing"

	"lotushook/decide/evidence"
	"lotushook/internal/replaytest"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		book, err := evidence.NewBook(evidence.Settings{Most: 40, MostAge: 2e9})
		if err != nil {
			t.Fatal(err)
		}
		judge := func(use uint8, origin uint8, fact evidence.Fact, listed bool) evidence.Verdict {
			fact.Origin = evidence.Origin(origin) % evidence.Origins
			return evidence.Judge(evidence.Use(use)%evidence.Uses, fact, listed, evidence.Usual())
		}
		driver := replaytest.NewDriver(seed, digest)
		driver.Run(600, book.Restored, book.Own, book.Told, book.Told, book.Contrary, book.Old, book.Fact, book.Fact,
			judge, evidence.Compare, book.Size)
	}
	digest.Check(t, "6b4f0d96301175dd/16388")
}
