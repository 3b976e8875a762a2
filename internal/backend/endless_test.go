package backend

import (
	"strings"
	"testing"

	"lotushook/policy/balance"
)

// What a data server says without an end, before its welcome is over, before a value or behind it, is cut off long before
// its request's time is over; nothing of it is served.
func TestEndless(t *testing.T) {
	notice := `send s N "` + strings.Repeat("x", 16<<10) + `"`
	const most = 512 // notices: 8 MB
	for _, c := range []struct {
		start string
		want  balance.Outcome
	}{
		{"wait s\nexpect s startup", balance.ConnectionRefused},
		{greeted, balance.ConnectionReset},
		{greeted + `send s T`, balance.ConnectionReset},
		{greeted + `send s T | D "v" | C`, balance.ConnectionReset},
		{greeted + `send s E 25006`, balance.ConnectionReset},
	} {
		s, p, _ := stage(t, 1024)
		a := p.try()
		s.Play(c.start)
		sent := 0
		for sent < most && s.Try(notice) == nil {
			sent++
		}
		if sent == most {
			t.Errorf("%q: all of it was read", c.start)
			a.Abort(balance.TimedOut)
			continue
		}
		if res := <-a.Done(); res.Outcome != c.want {
			t.Errorf("%q: outcome %d, %v", c.start, res.Outcome, res.Err)
		}
	}
}
