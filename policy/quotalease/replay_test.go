package quotalease_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/quotalease"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	names := []string{"r-0", "r-1", "r-2", "r-3", "r-4"}
	for seed := range uint64(8) {
		driver := replaytest.NewDriver(seed, digest)
		parts, err := quotalease.New(quotalease.Settings{RouterNames: names, Self: "r-0", Term: 2e9, IsolatedShare: 0.5}, driver.Now)
		if err != nil {
			t.Fatal(err)
		}
		var told []quotalease.Vote
		answer := func(now int64, name string, boot uint64, address string, dead func(string) bool) quotalease.Vote {
			row := parts.Vote(now, name, boot, address, dead)
			told = append(told, row)
			return row
		}
		heard := func(now int64, from string, which uint8) {
			if len(told) > 0 {
				parts.AddVote(now, from, told[len(told)-1-int(which)%min(len(told), 4)])
			}
		}
		driver.Run(600, answer, heard, heard, heard, parts.Quota)
	}
	digest.Check(t, "10888bc03412269e/8515")
}
