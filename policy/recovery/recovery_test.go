package recovery

import (
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// What each stage permits, which events complete its proof, and what happens without a proof.
func TestStages(t *testing.T) {
	attempt := Attempt{Server: 1, Deadline: 1 << 60}
	type stageStep struct {
		atMS  clock.Nanos
		event string
		want  Stage
		send  Reason
	}
	for _, test := range []struct {
		name     string
		hasPeers bool
		steps    []stageStep
	}{
		{"no peers: a list is enough for Proving", false, []stageStep{{0, "", Starting, TooEarly}, {10, "list", Proving, Allowed}}},
		{"no peers and no list: the timeouts end each stage", false, []stageStep{{299, "", Starting, TooEarly}, {300, "", Proving, Allowed}, {801, "", Ramping, Allowed},
			{3799, "", Ramping, Allowed}, {3800, "", Serving, Allowed}}},
		{"list and state, then a view, then answers", true, []stageStep{{5, "list", Starting, TooEarly}, {20, "caught up", Restored, TooEarly}, {30, "view", Proving, Allowed},
			{40, "done", Proving, Allowed}, {50, "done", Proving, Allowed}, {60, "done", Ramping, Allowed}, {559, "done", Ramping, Allowed}, {560, "", Serving, Allowed}}},
		{"catch-up lost: waits for another peer or the timeout", true, []stageStep{{5, "caught up", Starting, TooEarly}, {6, "lost", Starting, TooEarly}, {7, "list", Starting, TooEarly},
			{299, "", Starting, TooEarly}, {300, "", Restored, TooEarly}, {499, "", Restored, TooEarly}, {500, "", Proving, Allowed}}},
		{"paused for five seconds: continues where it stopped", true, []stageStep{{100, "", Starting, TooEarly}, {5100, "paused", Starting, TooEarly}, {5299, "", Starting, TooEarly},
			{5300, "", Restored, TooEarly}}},
		{"failures alone prove nothing", false, []stageStep{{1, "list", Proving, Allowed}, {2, "failed", Proving, Allowed}, {3, "failed", Proving, Allowed}, {4, "failed", Proving, Allowed}, {501, "", Ramping, Allowed}}},
	} {
		settings := DefaultSettings("a", 1, 3)
		settings.CanCatchUp, settings.SeesPeers = test.hasPeers, test.hasPeers
		settings.Budgets[Send] = 0 // only the stages decide about sends here
		recovery := newRecovery(t, settings, 0)
		for _, step := range test.steps {
			now := step.atMS * ms
			for at := recovery.now; at < now && step.event != "paused"; at += 100 * ms {
				recovery.Tick(at)
			}
			switch step.event {
			case "list":
				recovery.ListReceived(now)
			case "caught up":
				recovery.CaughtUp(now)
			case "lost":
				recovery.CatchUpLost(now)
			case "view":
				recovery.UpdatePeers(now, []Peer{{Name: "b", Alive: true, HeardDirectly: true}})
			case "done", "failed":
				recovery.AttemptEnded(now, attempt, step.event == "done", ms)
			}
			recovery.Tick(now)
			if got := recovery.AllowSend(now, attempt); recovery.Stage() != step.want || got != step.send {
				t.Errorf("%s: at %d ms after %q: stage %s, send %s, want %s, %s", test.name, step.atMS, step.event, recovery.Stage(), got, step.want, step.send)
			}
			for kind, want := range map[Kind]bool{ListCall: true, CatchUp: true, Dial: step.want >= Restored, Probe: step.want >= Restored} {
				if _, reason := recovery.Allow(now, kind, second); (reason != TooEarly) != want {
					t.Errorf("%s: at %d ms: %s: %s", test.name, step.atMS, kind, reason)
				}
			}
		}
	}
}

// A request that can't be answered before its deadline is not sent, except for one per slotDuration that shows whether
// responses are faster now. Response times expire after two seconds without an answer.
func TestTooLate(t *testing.T) {
	recovery := newRecovery(t, DefaultSettings("a", 1, 1), 0)
	now := tickUntil(recovery, 10*second)
	recovery.AttemptEnded(now, Attempt{Server: 7}, true, 300*ms)
	send := func(server uint32, remaining clock.Nanos) Reason {
		return recovery.AllowSend(now, Attempt{Server: server, Deadline: now + remaining})
	}
	for _, test := range []struct {
		server    uint32
		remaining clock.Nanos
		want      Reason
	}{{7, 301 * ms, Allowed}, {7, 200 * ms, Allowed}, {7, 200 * ms, TooLate}, {7, 299 * ms, TooLate}, {8, ms, Allowed}, {8, 0, TooLate}, {7, -ms, TooLate}} {
		if got := send(test.server, test.remaining); got != test.want {
			t.Errorf("server %d with %d ms left: %s, want %s", test.server, test.remaining/ms, got, test.want)
		}
	}
	now += slotDuration
	if got := send(7, 200*ms); got != Allowed {
		t.Errorf("a slot later: %s", got)
	}
	now += 2 * second
	if got, repeated := send(7, ms), send(7, ms); got != Allowed || repeated != Allowed {
		t.Errorf("two seconds later: %s, %s", got, repeated)
	}
	for i := range 10_000 {
		recovery.AttemptEnded(now, Attempt{Server: uint32(i)}, true, ms)
	}
	if tracked := len(recovery.responseTimes.byClass); tracked != recovery.settings.MaxTrackedResponseTimes || len(recovery.responseTimes.order) != tracked {
		t.Errorf("%d response times are tracked", tracked)
	}
}

// In any ten seconds, retries stay within RetryRatio times the successes of those ten seconds and of the second before
// them, plus what MinRetryRate allows. That is less than 1.2 attempts per request over all routers, whatever they know
// of each other.
//
//nolint:gocognit // one random history with its checks in order
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routerCount := rapid.IntRange(1, 5).Draw(t, "routers")
		var recoveries []*Recovery
		for i := range routerCount {
			settings := DefaultSettings(string(rune('a'+i)), 1, routerCount)
			recoveries = append(recoveries, newRecovery(t, settings, 0))
			tickUntil(recoveries[i], 5*second)
		}
		type retrySample struct {
			at                 clock.Nanos
			succeeded, retried int
		}
		var samples []retrySample
		now := 5 * second
		succeeded, retried, denied := 0, 0, 0
		for range rapid.IntRange(50, 400).Draw(t, "moments") {
			now += clock.Nanos(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			recovery := recoveries[rapid.IntRange(0, routerCount-1).Draw(t, "router")]
			sample := retrySample{at: now}
			for range rapid.IntRange(0, 40).Draw(t, "won") {
				recovery.AttemptEnded(now, Attempt{}, true, ms)
				sample.succeeded++
			}
			for range rapid.IntRange(0, 40).Draw(t, "again") {
				if recovery.AllowSend(now, Attempt{IsRetry: true, Deadline: now + second}) == Allowed {
					sample.retried++
				} else {
					denied++
				}
			}
			succeeded, retried = succeeded+sample.succeeded, retried+sample.retried
			samples = append(samples, sample)
		}
		for i := range samples {
			succeeded, retried := 0.0, 0.0
			for j := i; j < len(samples) && samples[j].at < samples[i].at+10*second; j++ {
				retried += float64(samples[j].retried)
			}
			for _, sample := range samples {
				if sample.at >= samples[i].at-second && sample.at < samples[i].at+10*second {
					succeeded += float64(sample.succeeded)
				}
			}
			settings := recoveries[0].settings
			if maxRetries := settings.RetryRatio*succeeded + 10*settings.MinRetryRate + float64(routerCount); retried > maxRetries+1e-6 {
				t.Fatalf("from %d ms on: %v retries for %v successes, want at most %v", samples[i].at/ms, retried, succeeded, maxRetries)
			}
		}
		if retried == 0 && succeeded > 100 && denied > 0 {
			t.Fatal("no retry was ever allowed")
		}
	})
}

// Retry-After times are distributed over the time needed to serve the rejected clients. Better priority classes return
// first, and an account gets the same time whenever it is rejected.
func TestRetryAfter(t *testing.T) {
	settings := DefaultSettings("a", 1, 1)
	settings.PriorityClasses, settings.Budgets[Send] = 3, 100
	recovery := newRecovery(t, settings, 0)
	recovery.ListReceived(0) // Proving sends at a quarter of the budget, 25 per second
	longest := [3]clock.Nanos{}
	var waits []clock.Nanos
	for i := range 50 {
		name := string(rune('A' + i))
		class := i % 3
		calendar := recovery.retryCalendar
		wait := recovery.RetryAfter(ms, "team", name, class)
		recovery.retryCalendar = calendar
		if repeated := recovery.RetryAfter(ms, "team", name, class); repeated != wait {
			t.Errorf("%s: %d, then %d", name, wait, repeated)
		}
		longest[class] = max(longest[class], wait)
		waits = append(waits, wait)
		if wait < settings.RetryAfterRange[0] || wait > settings.RetryAfterRange[1] {
			t.Errorf("%s: %d ms", name, wait/ms)
		}
	}
	if longest[0] >= longest[1] || longest[1] >= longest[2] {
		t.Errorf("the priority classes return within %v", longest)
	}
	if longest[2] < second {
		t.Errorf("50 clients rejected at 25 sends per second return within %d ms", longest[2]/ms)
	}
	restarted := newRecovery(t, DefaultSettings("a", 2, 1), 0)
	restarted.ListReceived(0)
	unchanged := 0
	for i, wait := range waits {
		if restarted.RetryAfter(ms, "team", string(rune('A'+i)), 0) == wait {
			unchanged++
		}
	}
	if unchanged > 5 {
		t.Errorf("%d of 50 clients have the same Retry-After time after a restart", unchanged)
	}
	tickUntil(recovery, 20*second)
	recovery.RetryAfter(20*second, "", "", 0)
	if recovery.retryCalendar.total != 1 {
		t.Errorf("%v clients are still expected", recovery.retryCalendar.total)
	}
}
