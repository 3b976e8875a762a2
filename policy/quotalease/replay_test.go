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
		lease, err := quotalease.New(quotalease.Settings{RouterNames: names, Self: "r-0", Term: 2e9, IsolatedShare: 0.5}, driver.Now)
		if err != nil {
			t.Fatal(err)
		}
		var cast []quotalease.Vote
		vote := func(now int64, name string, epoch uint64, address string, isRemoved func(string) bool) quotalease.Vote {
			vote := lease.Vote(now, name, epoch, address, isRemoved)
			cast = append(cast, vote)
			return vote
		}
		addVote := func(now int64, from string, which uint8) {
			if len(cast) > 0 {
				lease.AddVote(now, from, cast[len(cast)-1-int(which)%min(len(cast), 4)])
			}
		}
		driver.Run(600, vote, addVote, addVote, addVote, lease.Quota)
	}
	digest.Check(t, "10888bc03412269e/8515")
}
