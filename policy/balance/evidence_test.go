package balance

import (
	"testing"

	"lotushook/policy/clock"
)

// Guards against endpoints that are ejected because a client's requests have too little time (operators' picture (b)).
func TestEvidence(t *testing.T) {
	const typical = 10 * clock.Millisecond
	for _, test := range []struct {
		name           string
		outcome        Outcome
		given, elapsed clock.Nanos
		want           Outcome
	}{
		{"no time", TimedOut, 0, 0, NotSent},
		{"too little time to answer", TimedOut, typical, typical, NotSent},
		{"too little time to connect", ConnectionRefused, typical, typical, NotSent},
		{"a timely refusal within little time", ConnectionRefused, typical, typical / 10, ConnectionRefused},
		{"enough time", TimedOut, minFairTime * typical, minFairTime * typical, TimedOut},
		{"an attempt's own deadline", TimedOut, 100 * typical, typical, TimedOut},
		{"an answer within little time", Failed, typical, typical, Failed},
		{"a reset within little time", ConnectionReset, typical, typical, ConnectionReset},
	} {
		if got := test.outcome.evidence(test.given, test.elapsed, typical); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
