package member_test

import (
	"testing"

	"lotushook/decide/member"
	"lotushook/internal/replaytest"
)

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		driver := replaytest.NewDriver(seed, digest)
		settings := member.Usual("r-0", "r-0", 3, 6)
		settings.Seeds = []string{"r-1"}
		settings.Alone = 0.5
		if seed%2 == 0 {
			settings.Names = []string{"r-0", "r-1", "r-2", "r-3", "r-4", "r-5"}
		}
		members, err := member.New(settings, seed, driver.Now)
		if err != nil {
			t.Fatal(err)
		}
		var sent []member.Message
		tick := func(now int64) []member.Message {
			sent = members.Tick(now)
			return sent
		}
		receive := func(now int64, message member.Message) []member.Message {
			message.Address, message.From = message.From, driver.Text()
			for i := range message.News {
				message.News[i].State %= member.Left + 1
				message.News[i].Address = message.News[i].Name
			}
			if len(sent) > 0 && driver.IntN(2) == 0 {
				message.Kind, message.Seq, message.From = member.Ack, sent[0].Seq, sent[0].To
			}
			if message.Kind > member.Taken || message.Kind == member.Taken && driver.IntN(50) > 0 {
				message.Kind = member.Ack
			}
			return members.Receive(now, message)
		}
		driver.Run(1500, tick, tick, tick, tick, receive, receive, members.View, members.Others, members.Knows, members.Size)
	}
	digest.Check(t, "92f39567ddb972df/96354")
}
