package router

import (
	"testing"
	"time"

	"lotushook/internal/nettest"
	"lotushook/internal/siteconfig"
)

// An attempt that the recovery limits do not allow is not sent. The request is rejected immediately with a Retry-After
// time, and the endpoint receives the next request, as it is not considered failed.
func TestRecoveryDenies(t *testing.T) {
	for _, tc := range []struct{ name, settings, script string }{
		{"no attempt beyond the send rate of a returning router", `{"sends_per_s":0.001,"proving_ms":60000}`, `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
			expect c1 welcome | E 53300 # | Z`},
		{"once the router serves, the decision module decides alone", `{"sends_per_s":0.001,"proving_ms":1,"ramping_ms":1}`, `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
			send s1 T | D "a" | C | S rank=copy | Z
			expect c1 welcome | T | D "a" | C | Z`},
		{"a retry beyond the retry budget is not sent, and the endpoint receives the next request", `{"sends_per_s":0,"ratio":0,"floor_per_s":0}`, `
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
		{"no dial beyond the dial rate", `{"sends_per_s":0,"dials_per_s":0.01}`, `
			send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
			expect c1 welcome | E 53300 # | Z`},
	} {
		now := make(chan time.Time)
		close(now)
		t.Run(tc.name, func(t *testing.T) {
			config, err := siteconfig.Load(nettest.WriteConfig(t, `{"recovery":`+tc.settings+`}`))
			if err != nil {
				t.Fatal(err)
			}
			stage, router, _, _ := startRouterWithConfig(t, config, now, noTimeouts)
			if config.Recovery.RampingTimeoutMS == 1 {
				for router.recovery.report().Stage != "serving" {
					time.Sleep(time.Millisecond)
				}
			}
			stage.Run(tc.script)
		})
	}
}
