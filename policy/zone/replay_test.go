package zone_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/zone"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		zones, err := zone.New(zone.Settings{MinSize: 2 + int(seed%3), Backoff: 1e9, MaxBackoff: 8e9})
		if err != nil {
			t.Fatal(err)
		}
		driver := replaytest.NewDriver(seed, digest)
		unanswered := func(name string, endpoint uint32, now int64, age uint8) {
			zones.Unanswered(name, endpoint, now-int64(age)*1e7, now)
		}
		driver.Run(400, zones.Answered, unanswered, unanswered, unanswered, zones.InOutage, zones.StartProbe, zones.Size)
	}
	digest.Check(t, "ef1ea77c18712301/1432")
}
