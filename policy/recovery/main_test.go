package recovery

import "testing"

const ms = second / 1000

func must(t interface{ Fatal(...any) }, s Settings, now Nanos) *Recovery {
	r, err := New(s, now)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestBadSettings(t *testing.T) {
	good := Usual("a", 1, 3)
	must(t, good, 0)
	for i, spoil := range []func(*Settings){
		func(s *Settings) { s.Name = "" }, func(s *Settings) { s.Routers = 0 }, func(s *Settings) { s.Slack = 0.9 }, func(s *Settings) { s.Keep = 2 },
		func(s *Settings) { s.Budgets[Probe] = -1 }, func(s *Settings) { s.Bounds[Fed] = 0 }, func(s *Settings) { s.Ratio = 0.2 },
		func(s *Settings) { s.Proofs = 0 }, func(s *Settings) { s.Returns[1] = 0 },
	} {
		s := good
		spoil(&s)
		if _, err := New(s, 0); err == nil {
			t.Errorf("%d: %+v was taken", i, s)
		}
	}
}

// serve has time go on until a router serves.
func serve(r *Recovery, until Nanos) Nanos {
	for now := r.now; now < until; now += 300 * ms {
		r.Tick(now)
	}
	r.Tick(until)
	return until
}
