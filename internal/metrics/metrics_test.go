package metrics

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lotushook/policy/balance"
)

func TestTake(t *testing.T) {
	c := New()
	c.Add(Requests)
	c.Add(Requests)
	c.CountAction(&balance.Action{Kind: balance.SendAttempt, Reason: balance.ReasonPrimarySearch})
	c.CountAction(&balance.Action{Kind: balance.RejectRequest, Reason: balance.ReasonGroupOverloaded})
	c.CountAction(&balance.Action{Kind: balance.SetTimer}) // nobody counts these
	c.CountOutcome("s-1", balance.Succeeded)
	c.CountOutcome("s-1", balance.TimedOut)
	c.CountOutcome("s-0", balance.ConnectionRefused)
	got := map[string]string{}
	for _, a := range c.Take() {
		got[a.Key] = a.Value.String()
	}
	want := map[string]string{"asked": "2", "send_finding": "1", "refused_crowd": "1", "end_done": "1", "end_timed_out": "1",
		"end_unconnected": "1", "at.s-0": "0/0/0/0/0/1", "at.s-1": "1/0/0/0/1/0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	if rest := c.Take(); len(rest) > 0 {
		t.Errorf("counted twice: %v", rest)
	}
}

// Each way to end has its name, and what is there beyond the bound is counted together.
func TestServers(t *testing.T) {
	c := New()
	for o := balance.Succeeded; o <= balance.NotEligible; o++ {
		c.CountOutcome("s", o)
		if Outcome(o) == "" {
			t.Errorf("outcome %d has no name", o)
		}
	}
	for i := range maxServers + 10 {
		c.CountOutcome(string(rune('a'+i%26))+string(rune('0'+i/26)), balance.Succeeded)
	}
	if n := len(c.servers); n != maxServers+1 {
		t.Errorf("%d data servers remembered", n)
	}
	if s := c.servers["others"]; s == nil || s.Done != 11 {
		t.Errorf("others: %v", s)
	}
	want := Server{Done: 1, Miss: 1, Busy: 1, Failed: 1, Lost: 3, Unsent: 2}
	if diff := cmp.Diff(want, *c.servers["s"]); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	back, err := ParseServer(want.String())
	if back != want || err != nil {
		t.Errorf("%v, %v", back, err)
	}
	for _, bad := range []string{"", "1/2", "1/2/3/4/5/6/7", "1/2/3/4/5/x", "1/2/3/4/5/6 "} {
		if _, err := ParseServer(bad); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

func TestOffCountsNothing(_ *testing.T) {
	var c *Metrics
	c.Add(Requests)
	c.CountAction(&balance.Action{Kind: balance.SendAttempt})
	c.CountOutcome("s", balance.Succeeded)
}
