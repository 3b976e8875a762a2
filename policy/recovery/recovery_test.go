package recovery

import (
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// Each stage, what it admits, what proves it, and what happens when nothing does.
func TestStages(t *testing.T) {
	ok := Attempt{Server: 1, Deadline: 1 << 60}
	type step struct {
		at   clock.Nanos
		do   string
		want Stage
		send Reason
	}
	for _, c := range []struct {
		name    string
		feeders bool
		steps   []step
	}{
		{"alone: a list is enough to prove", false, []step{{0, "", Starting, TooEarly}, {10, "list", Proving, Allowed}}},
		{"alone, and no list: the bounds end each stage", false, []step{{299, "", Starting, TooEarly}, {300, "", Proving, Allowed}, {801, "", Ramping, Allowed},
			{3799, "", Ramping, Allowed}, {3800, "", Serving, Allowed}}},
		{"fed: list and state, then a view, then answers", true, []step{{5, "list", Starting, TooEarly}, {20, "fed", Restored, TooEarly}, {30, "view", Proving, Allowed},
			{40, "done", Proving, Allowed}, {50, "done", Proving, Allowed}, {60, "done", Ramping, Allowed}, {559, "done", Ramping, Allowed}, {560, "", Serving, Allowed}}},
		{"the feed dies: it waits for another, or the bound", true, []step{{5, "fed", Starting, TooEarly}, {6, "lost", Starting, TooEarly}, {7, "list", Starting, TooEarly},
			{299, "", Starting, TooEarly}, {300, "", Restored, TooEarly}, {499, "", Restored, TooEarly}, {500, "", Proving, Allowed}}},
		{"stopped for five seconds: it goes on where it was", true, []step{{100, "", Starting, TooEarly}, {5100, "stopped", Starting, TooEarly}, {5299, "", Starting, TooEarly},
			{5300, "", Restored, TooEarly}}},
		{"failures alone prove nothing", false, []step{{1, "list", Proving, Allowed}, {2, "failed", Proving, Allowed}, {3, "failed", Proving, Allowed}, {4, "failed", Proving, Allowed}, {501, "", Ramping, Allowed}}},
	} {
		s := DefaultSettings("a", 1, 3)
		s.CanCatchUp, s.SeesPeers = c.feeders, c.feeders
		s.Budgets[Send] = 0 // it is the stages' word that is asked for
		r := must(t, s, 0)
		for _, x := range c.steps {
			now := x.at * ms
			for at := r.now; at < now && x.do != "stopped"; at += 100 * ms {
				r.Tick(at)
			}
			switch x.do {
			case "list":
				r.ListReceived(now)
			case "fed":
				r.CaughtUp(now)
			case "lost":
				r.CatchUpLost(now)
			case "view":
				r.UpdatePeers(now, []Peer{{Name: "b", Alive: true, HeardDirectly: true}})
			case "done", "failed":
				r.AttemptEnded(now, ok, x.do == "done", ms)
			}
			r.Tick(now)
			if got := r.AllowSend(now, ok); r.Stage() != x.want || got != x.send {
				t.Errorf("%s: at %d ms after %q: %s, a send is %s, want %s, %s", c.name, x.at, x.do, r.Stage(), got, x.want, x.send)
			}
			for k, want := range map[Kind]bool{ListCall: true, CatchUp: true, Dial: x.want >= Restored, Probe: x.want >= Restored} {
				if _, why := r.Allow(now, k, second); (why != TooEarly) != want {
					t.Errorf("%s: at %d ms: %s: %s", c.name, x.at, k, why)
				}
			}
		}
	}
}

// Work that can't be in time is not sent; one in each tenth of a second finds out whether it could by now, and what is
// not confirmed for two seconds is forgotten.
func TestLate(t *testing.T) {
	r := must(t, DefaultSettings("a", 1, 1), 0)
	now := serve(r, 10*second)
	r.AttemptEnded(now, Attempt{Server: 7}, true, 300*ms)
	ask := func(server uint32, left clock.Nanos) Reason {
		return r.AllowSend(now, Attempt{Server: server, Deadline: now + left})
	}
	for _, c := range []struct {
		server uint32
		left   clock.Nanos
		want   Reason
	}{{7, 301 * ms, Allowed}, {7, 200 * ms, Allowed}, {7, 200 * ms, TooLate}, {7, 299 * ms, TooLate}, {8, ms, Allowed}, {8, 0, TooLate}, {7, -ms, TooLate}} {
		if got := ask(c.server, c.left); got != c.want {
			t.Errorf("server %d with %d ms left: %s, want %s", c.server, c.left/ms, got, c.want)
		}
	}
	now += slotDuration
	if got := ask(7, 200*ms); got != Allowed {
		t.Errorf("a tenth later: %s", got)
	}
	now += 2 * second
	if got, again := ask(7, ms), ask(7, ms); got != Allowed || again != Allowed {
		t.Errorf("two seconds later: %s, %s", got, again)
	}
	for i := range 10_000 {
		r.AttemptEnded(now, Attempt{Server: uint32(i)}, true, ms)
	}
	if n := len(r.responseTimes.byClass); n != r.settings.MaxTrackedResponseTimes || len(r.responseTimes.order) != n {
		t.Errorf("%d places are remembered", n)
	}
}

// In any ten seconds: at most Ratio times the successes of these and of the second before, and the floor. Over all
// routers that is less than 1.2 attempts a request, whoever they think is there.
//
//nolint:gocognit // one history or table of cases, told in order
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "routers")
		var all []*Recovery
		for i := range n {
			s := DefaultSettings(string(rune('a'+i)), 1, n)
			all = append(all, must(t, s, 0))
			serve(all[i], 5*second)
		}
		type moment struct {
			at         clock.Nanos
			won, again int
		}
		var log []moment
		now := 5 * second
		won, again, denied := 0, 0, 0
		for range rapid.IntRange(50, 400).Draw(t, "moments") {
			now += clock.Nanos(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			r := all[rapid.IntRange(0, n-1).Draw(t, "router")]
			m := moment{at: now}
			for range rapid.IntRange(0, 40).Draw(t, "won") {
				r.AttemptEnded(now, Attempt{}, true, ms)
				m.won++
			}
			for range rapid.IntRange(0, 40).Draw(t, "again") {
				if r.AllowSend(now, Attempt{IsRetry: true, Deadline: now + second}) == Allowed {
					m.again++
				} else {
					denied++
				}
			}
			won, again = won+m.won, again+m.again
			log = append(log, m)
		}
		for i := range log {
			won, again := 0.0, 0.0
			for j := i; j < len(log) && log[j].at < log[i].at+10*second; j++ {
				again += float64(log[j].again)
			}
			for _, m := range log {
				if m.at >= log[i].at-second && m.at < log[i].at+10*second {
					won += float64(m.won)
				}
			}
			s := all[0].settings
			if most := s.RetryRatio*won + 10*s.MinRetryRate + float64(n); again > most+1e-6 {
				t.Fatalf("from %d ms on: %v further attempts for %v successes, %v at most", log[i].at/ms, again, won, most)
			}
		}
		if again == 0 && won > 100 && denied > 0 {
			t.Fatal("none was ever allowed")
		}
	})
}

// Times to return: spread over what those that were told need, better lanes first, one account's alike.
func TestReturns(t *testing.T) {
	s := DefaultSettings("a", 1, 1)
	s.PriorityClasses, s.Budgets[Send] = 3, 100
	r := must(t, s, 0)
	r.ListReceived(0) // proving: 25 a second
	worst := [3]clock.Nanos{}
	var all []clock.Nanos
	for i := range 50 {
		name := string(rune('A' + i))
		lane := i % 3
		b := r.retryCalendar
		d := r.RetryAfter(ms, "team", name, lane)
		r.retryCalendar = b
		if again := r.RetryAfter(ms, "team", name, lane); again != d {
			t.Errorf("%s: %d, then %d", name, d, again)
		}
		worst[lane] = max(worst[lane], d)
		all = append(all, d)
		if d < s.RetryAfterRange[0] || d > s.RetryAfterRange[1] {
			t.Errorf("%s: %d ms", name, d/ms)
		}
	}
	if worst[0] >= worst[1] || worst[1] >= worst[2] {
		t.Errorf("lanes come back within %v", worst)
	}
	if worst[2] < second {
		t.Errorf("50 that are told at 25 a second come back within %d ms", worst[2]/ms)
	}
	other := must(t, DefaultSettings("a", 2, 1), 0)
	other.ListReceived(0)
	same := 0
	for i, d := range all {
		if other.RetryAfter(ms, "team", string(rune('A'+i)), 0) == d {
			same++
		}
	}
	if same > 5 {
		t.Errorf("%d of 50 have the same place after another start", same)
	}
	serve(r, 20*second)
	r.RetryAfter(20*second, "", "", 0)
	if r.retryCalendar.total != 1 {
		t.Errorf("%v are still expected", r.retryCalendar.total)
	}
}
