package router

import (
	"testing"
	"time"

	"lotushook/internal/nettest"
	"lotushook/internal/siteconfig"
)

// What recovery does not allow never reaches a data server, is refused at once with a time to return, and is not held against
// the node: the next one goes there.
func TestRecoveryDenies(t *testing.T) {
	for _, c := range []struct{ guards, own, text string }{
		{"no send beyond the budget of those that return", `{"sends_per_s":0.001,"proving_ms":60000}`, `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
			expect c1 welcome | E 53300 # | Z`},
		{"once it serves, the module's word goes", `{"sends_per_s":0.001,"proving_ms":1,"ramping_ms":1}`, `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
			send s1 T | D "a" | C | S rank=copy | Z
			expect c1 welcome | T | D "a" | C | Z`},
		{"a further attempt that no success pays for is not made; the node takes the next request", `{"sends_per_s":0,"ratio":0,"floor_per_s":0}`, `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
			send s1 E 72000 | S rank=copy | Z
			expect c1 welcome | E 53300 # | Z
			send c1 Q "/* id=02,c=read,d=20000,cluster=1 */ B"
			expect s1 Q "/* id=02,c=read,d=#,cluster=1 */ B"
			send s1 T | D "b" | C | S rank=copy | Z
			expect c1 T | D "b" | C | Z`},
		{"a dial that has no turn is not made", `{"sends_per_s":0,"dials_per_s":0.01}`, `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
			expect c1 welcome | E 53300 # | Z`},
	} {
		now := make(chan time.Time)
		close(now)
		t.Run(c.guards, func(t *testing.T) {
			own, err := siteconfig.Load(nettest.WriteConfig(t, `{"recovery":`+c.own+`}`))
			if err != nil {
				t.Fatal(err)
			}
			s, r, _, _ := startRouterWithConfig(t, own, now, noTimeouts)
			if own.Recovery.RampingTimeoutMS == 1 {
				for r.recovery.report().Stage != "serving" {
					time.Sleep(time.Millisecond)
				}
			}
			s.Run(c.text)
		})
	}
}
