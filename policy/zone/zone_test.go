package zone

import (
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

const ms = clock.Nanos(1e6)

func lit(t interface {
	Helper()
	Fatal(...any)
}) *Tracker {
	t.Helper()
	h, err := New(Settings{MinSize: 3, Backoff: 300 * ms, MaxBackoff: 2400 * ms})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func TestDarkAfterThreeSilentServers(t *testing.T) {
	h := lit(t)
	h.Unanswered("a", 1, 1000*ms, 1250*ms)
	h.Unanswered("a", 2, 1100*ms, 1350*ms)
	for range 5 {
		h.Unanswered("a", 2, 1200*ms, 1450*ms) // the same server again is no further proof
	}
	if h.InOutage("a", 900*ms) {
		t.Error("dark after two servers")
	}
	h.Unanswered("a", 3, 1300*ms, 1550*ms)
	for _, c := range []struct {
		hall     string
		answered clock.Nanos
		want     bool
	}{{"a", 900 * ms, true}, {"a", 1000 * ms, true}, {"a", 1050 * ms, false}, {"b", 900 * ms, false}, {"", 0, false}} {
		if got := h.InOutage(c.hall, c.answered); got != c.want {
			t.Errorf("hall %q, last answer at %d ms: dark %v", c.hall, c.answered/ms, got)
		}
	}
}

func TestAnswerLightsTheHall(t *testing.T) {
	h := lit(t)
	for i := range uint32(3) {
		h.Unanswered("a", i, 1000*ms, 1250*ms)
	}
	h.Answered("a", 1260*ms)
	h.Unanswered("a", 7, 1300*ms, 1550*ms)
	if h.InOutage("a", 0) {
		t.Error("dark with one silent server since the last answer")
	}
	for i := range uint32(3) { // slow ones, asked before it
		h.Unanswered("a", i, 1200*ms, 1700*ms)
	}
	if h.InOutage("a", 0) {
		t.Error("dark by what was asked before the last answer")
	}
	h.Unanswered("a", 1, 1300*ms, 1800*ms)
	h.Unanswered("a", 2, 1400*ms, 1900*ms)
	if !h.InOutage("a", 1260*ms) {
		t.Error("not dark after three that were asked since")
	}
}

func TestTriesArePaced(t *testing.T) {
	h := lit(t)
	for i := range uint32(3) {
		h.Unanswered("a", i, 0, 250*ms)
	}
	var tries []clock.Nanos
	for now := 250 * ms; now < 10_000*ms; now += 10 * ms {
		if h.StartProbe("a", now) {
			tries = append(tries, now/ms)
		}
	}
	want := []clock.Nanos{550, 850, 1450, 2650, 5050, 7450, 9850}
	if len(tries) != len(want) {
		t.Fatalf("tries at %v ms, want %v", tries, want)
	}
	for i := range want {
		if tries[i] != want[i] {
			t.Fatalf("tries at %v ms, want %v", tries, want)
		}
	}
}

func TestBadSettings(t *testing.T) {
	for _, s := range []Settings{{}, {MinSize: 1, Backoff: 1, MaxBackoff: 1}, {MinSize: 3}, {MinSize: 3, Backoff: 2, MaxBackoff: 1}} {
		if _, err := New(s); err == nil {
			t.Errorf("%+v was taken", s)
		}
	}
}

// Whatever happens: a hall is dark only for servers that have been silent since before its fall, never after an answer
// with fewer than three silent servers behind it, and no more is remembered than the halls that fell silent.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now := lit(t), clock.Nanos(0)
		silent, heard := map[string]map[uint32]bool{"a": {}, "b": {}}, map[string]clock.Nanos{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += clock.Nanos(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			hall := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				h.Answered(hall, now)
				heard[hall] = now
				clear(silent[hall])
			case 1:
				h.StartProbe(hall, now)
			default:
				server := uint32(rapid.IntRange(1, 5).Draw(t, "server"))
				asked := now - clock.Nanos(rapid.IntRange(0, 500).Draw(t, "asked"))*ms
				h.Unanswered(hall, server, asked, now)
				if at, met := heard[hall]; !met || asked >= at {
					silent[hall][server] = true
				}
			}
			if h.InOutage(hall, -1000*ms) != (len(silent[hall]) >= 3) {
				t.Fatalf("%d silent servers, dark %v", len(silent[hall]), len(silent[hall]) < 3)
			}
			if h.InOutage(hall, now) {
				t.Fatal("a server that answers now is called dark")
			}
			if h.Size() > 2 {
				t.Fatalf("%d halls remembered", h.Size())
			}
		}
	})
}
