package zone_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/zone"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		halls, err := zone.New(zone.Settings{MinSize: 2 + int(seed%3), Backoff: 1e9, MaxBackoff: 8e9})
		if err != nil {
			t.Fatal(err)
		}
		driver := replaytest.NewDriver(seed, digest)
		silent := func(name string, server uint32, now int64, age uint8) {
			halls.Unanswered(name, server, now-int64(age)*1e7, now)
		}
		driver.Run(400, halls.Answered, silent, silent, silent, halls.InOutage, halls.StartProbe, halls.Size)
	}
	digest.Check(t, "ef1ea77c18712301/1432")
}
