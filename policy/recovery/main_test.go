package recovery

import (
	"testing"

	"lotushook/policy/clock"
)

const ms = second / 1000

func must(t interface{ Fatal(...any) }, s Settings, now clock.Nanos) *Recovery {
	r, err := New(s, now)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestBadSettings(t *testing.T) {
	good := DefaultSettings("a", 1, 3)
	must(t, good, 0)
	for i, spoil := range []func(*Settings){
		func(s *Settings) { s.Name = "" }, func(s *Settings) { s.Routers = 0 }, func(s *Settings) { s.MaxShareFactor = 0.9 }, func(s *Settings) { s.ServingShare = 2 },
		func(s *Settings) { s.Budgets[Probe] = -1 }, func(s *Settings) { s.StageTimeouts[Restored] = 0 }, func(s *Settings) { s.RetryRatio = 0.2 },
		func(s *Settings) { s.MinSuccesses = 0 }, func(s *Settings) { s.RetryAfterRange[1] = 0 },
	} {
		s := good
		spoil(&s)
		if _, err := New(s, 0); err == nil {
			t.Errorf("%d: %+v was taken", i, s)
		}
	}
}

// serve has time go on until a router serves.
func serve(r *Recovery, until clock.Nanos) clock.Nanos {
	for now := r.now; now < until; now += 300 * ms {
		r.Tick(now)
	}
	r.Tick(until)
	return until
}
