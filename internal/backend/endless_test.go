package backend

import (
	"strings"
	"testing"

	"lotushook/policy/balance"
)

// A data server that never stops sending, during the handshake, before a value or after it, is cut off long before the
// attempt's deadline, and none of it is served.
func TestEndless(t *testing.T) {
	notice := `send s N "` + strings.Repeat("x", 16<<10) + `"`
	const maxNotices = 512 // 8 MiB in total
	for _, tc := range []struct {
		start string
		want  balance.Outcome
	}{
		{"wait s\nexpect s startup", balance.ConnectionRefused},
		{handshakeAndQuery, balance.ConnectionReset},
		{handshakeAndQuery + `send s T`, balance.ConnectionReset},
		{handshakeAndQuery + `send s T | D "v" | C`, balance.ConnectionReset},
		{handshakeAndQuery + `send s E 25006`, balance.ConnectionReset},
	} {
		network, pool, _ := newTestPool(t, 1024)
		attempt := pool.try()
		network.Run(tc.start)
		sent := 0
		for sent < maxNotices && network.RunStep(notice) == nil {
			sent++
		}
		if sent == maxNotices {
			t.Errorf("%q: all notices were read", tc.start)
			attempt.Abort(balance.TimedOut)
			continue
		}
		if res := <-attempt.Done(); res.Outcome != tc.want {
			t.Errorf("%q: outcome %d, %v", tc.start, res.Outcome, res.Err)
		}
	}
}
