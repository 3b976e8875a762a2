package balance

import (
	"testing"

	"lotushook/internal/replaytest"
)

// Guards decisions against unintended changes: every field of every action except the texts of log lines must stay.
func TestReplay(t *testing.T) {
	const variants, seedsPerVariant, batches = 40, 3, 300
	digest := replaytest.NewDigest("Message")
	for variant := range uint16(variants) {
		for seed := range uint64(seedsPerVariant) {
			history, err := newHistory(seed+1, variant*1637)
			if err != nil {
				t.Fatal(err)
			}
			history.observe = func(actions []Action) { digest.Add(history.now, actions) }
			if violation := history.run(batches); violation != "" {
				t.Fatalf("variant %d, seed %d: %s", variant, seed, violation)
			}
		}
	}
	digest.Check(t, "49d3750b9c86b4cc/1732248")
}
