package membership_test

import (
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/membership"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		driver := replaytest.NewDriver(seed, digest)
		settings := membership.DefaultSettings("r-0", "r-0", 3, 6)
		settings.Seeds = []string{"r-1"}
		settings.IsolatedShare = 0.5
		if seed%2 == 0 {
			settings.AllowedNames = []string{"r-0", "r-1", "r-2", "r-3", "r-4", "r-5"}
		}
		detector, err := membership.New(settings, seed, driver.Now)
		if err != nil {
			t.Fatal(err)
		}
		var sent []membership.Message
		tick := func(now int64) []membership.Message {
			sent = detector.Tick(now)
			return sent
		}
		receive := func(now int64, message membership.Message) []membership.Message {
			message.Address, message.From = message.From, driver.Text()
			for i := range message.Updates {
				message.Updates[i].State %= membership.Left + 1
				message.Updates[i].Address = message.Updates[i].Name
			}
			if len(sent) > 0 && driver.IntN(2) == 0 {
				message.Kind, message.Seq, message.From = membership.Ack, sent[0].Seq, sent[0].To
			}
			if message.Kind > membership.DuplicateName || message.Kind == membership.DuplicateName && driver.IntN(50) > 0 {
				message.Kind = membership.Ack
			}
			return detector.Receive(now, message)
		}
		driver.Run(1500, tick, tick, tick, tick, receive, receive, detector.View, detector.AliveOthers, detector.IsMember, detector.Size)
	}
	digest.Check(t, "92f39567ddb972df/96354")
}
