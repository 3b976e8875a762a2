package metrics

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lotushook/policy/balance"
)

func TestTake(t *testing.T) {
	m := New()
	m.Add(Requests)
	m.Add(Requests)
	m.CountAction(&balance.Action{Kind: balance.SendAttempt, Reason: balance.ReasonPrimarySearch})
	m.CountAction(&balance.Action{Kind: balance.RejectRequest, Reason: balance.ReasonGroupOverloaded})
	m.CountAction(&balance.Action{Kind: balance.SetTimer}) // not in the totals
	m.CountOutcome("s-1", balance.Succeeded)
	m.CountOutcome("s-1", balance.TimedOut)
	m.CountOutcome("s-0", balance.ConnectionRefused)
	got := map[string]string{}
	for _, attr := range m.Take() {
		got[attr.Key] = attr.Value.String()
	}
	want := map[string]string{"asked": "2", "send_finding": "1", "refused_crowd": "1", "end_done": "1", "end_timed_out": "1",
		"end_unconnected": "1", "at.s-0": "0/0/0/0/0/1", "at.s-1": "1/0/0/0/1/0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	if again := m.Take(); len(again) > 0 {
		t.Errorf("counts returned twice: %v", again)
	}
}

// Each outcome has a name, and the endpoints beyond the maximum are counted together.
func TestEndpointCounts(t *testing.T) {
	m := New()
	for outcome := balance.Succeeded; outcome <= balance.NotEligible; outcome++ {
		m.CountOutcome("s", outcome)
		if Outcome(outcome) == "" {
			t.Errorf("outcome %d has no name", outcome)
		}
	}
	for i := range maxEndpoints + 10 {
		m.CountOutcome(string(rune('a'+i%26))+string(rune('0'+i/26)), balance.Succeeded)
	}
	if n := len(m.endpoints); n != maxEndpoints+1 {
		t.Errorf("%d endpoints have counts", n)
	}
	if others := m.endpoints["others"]; others == nil || others.Succeeded != 11 {
		t.Errorf("others: %v", others)
	}
	want := EndpointCounts{Succeeded: 1, NotEligible: 1, Busy: 1, Failed: 1, NoResponse: 3, NotSent: 2}
	if diff := cmp.Diff(want, *m.endpoints["s"]); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	parsed, err := ParseEndpointCounts(want.String())
	if parsed != want || err != nil {
		t.Errorf("%v, %v", parsed, err)
	}
	for _, malformed := range []string{"", "1/2", "1/2/3/4/5/6/7", "1/2/3/4/5/x", "1/2/3/4/5/6 "} {
		if _, err := ParseEndpointCounts(malformed); err == nil {
			t.Errorf("%q was parsed", malformed)
		}
	}
}

func TestNilMetrics(_ *testing.T) {
	var m *Metrics
	m.Add(Requests)
	m.CountAction(&balance.Action{Kind: balance.SendAttempt})
	m.CountOutcome("s", balance.Succeeded)
}
