package settings

import (
	"strings"
	"testing"

	"lotushook/balance"
	"lotushook/internal/scenario"
)

// Settings that no router can work with are an error on one line; what is taken makes a module that takes events.
func FuzzSettings(f *testing.F) {
	f.Add(scenario.Settings)
	for _, c := range [][2]string{{`"balancers":1`, `"balancers":0`}, {`"lateFail":0.042`, `"lateFail":-1`}, {`"coldShare":0.17`, `"coldShare":17`},
		{`"granularity":5000000`, `"granularity":-1`}, {`"maxAttempts":8`, `"maxAttempts":0`}, {`"deadline":20000000000`, `"deadline":0`}} {
		bad := strings.Replace(scenario.Settings, c[0], c[1], 1)
		if bad == scenario.Settings {
			f.Fatalf("no %s in the settings", c[0])
		}
		s, err := Parse([]byte(bad))
		if err == nil {
			_, err = balance.New(s.Balance, 1)
		}
		if err == nil {
			f.Errorf("%s was taken", c[1])
		}
		f.Add(bad)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		if err != nil {
			return
		}
		b, err := balance.New(s.Balance, 1)
		if err != nil {
			return
		}
		b.Step(1, []balance.Event{{Kind: balance.NodesFull, Nodes: []balance.NodeEntry{{Node: 1, Group: 1, Primary: true, Weight: 1}}},
			{Kind: balance.RequestIn, Request: "x", Class: 0, Tenant: -1, Group: 1, Deadline: 2 * s.Balance.Classes[0].Deadline}})
	})
}
