package zone

import (
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

const ms = clock.Nanos(1e6)

func newTracker(t interface {
	Helper()
	Fatal(...any)
}) *Tracker {
	t.Helper()
	zones, err := New(Settings{MinSize: 3, Backoff: 300 * ms, MaxBackoff: 2400 * ms})
	if err != nil {
		t.Fatal(err)
	}
	return zones
}

func TestOutageAfterThreeUnansweredEndpoints(t *testing.T) {
	zones := newTracker(t)
	zones.Unanswered("a", 1, 1000*ms, 1250*ms)
	zones.Unanswered("a", 2, 1100*ms, 1350*ms)
	for range 5 {
		zones.Unanswered("a", 2, 1200*ms, 1450*ms) // an endpoint counts only once
	}
	if zones.InOutage("a", 900*ms) {
		t.Error("outage after two unanswered endpoints, three are needed")
	}
	zones.Unanswered("a", 3, 1300*ms, 1550*ms)
	for _, test := range []struct {
		zone       string
		answeredAt clock.Nanos
		want       bool
	}{{"a", 900 * ms, true}, {"a", 1000 * ms, true}, {"a", 1050 * ms, false}, {"b", 900 * ms, false}, {"", 0, false}} {
		if got := zones.InOutage(test.zone, test.answeredAt); got != test.want {
			t.Errorf("zone %q, last answer at %d ms: in outage: %v", test.zone, test.answeredAt/ms, got)
		}
	}
}

func TestAnswerEndsOutage(t *testing.T) {
	zones := newTracker(t)
	for endpoint := range uint32(3) {
		zones.Unanswered("a", endpoint, 1000*ms, 1250*ms)
	}
	zones.Answered("a", 1260*ms)
	zones.Unanswered("a", 7, 1300*ms, 1550*ms)
	if zones.InOutage("a", 0) {
		t.Error("outage with one unanswered endpoint since the last answer")
	}
	for endpoint := range uint32(3) { // slow endpoints whose requests were sent before the answer
		zones.Unanswered("a", endpoint, 1200*ms, 1700*ms)
	}
	if zones.InOutage("a", 0) {
		t.Error("outage because of requests sent before the last answer")
	}
	zones.Unanswered("a", 1, 1300*ms, 1800*ms)
	zones.Unanswered("a", 2, 1400*ms, 1900*ms)
	if !zones.InOutage("a", 1260*ms) {
		t.Error("no outage after three unanswered endpoints since the last answer")
	}
}

func TestProbesBackOff(t *testing.T) {
	zones := newTracker(t)
	for endpoint := range uint32(3) {
		zones.Unanswered("a", endpoint, 0, 250*ms)
	}
	var probes []clock.Nanos
	for now := 250 * ms; now < 10_000*ms; now += 10 * ms {
		if zones.StartProbe("a", now) {
			probes = append(probes, now/ms)
		}
	}
	want := []clock.Nanos{550, 850, 1450, 2650, 5050, 7450, 9850}
	if len(probes) != len(want) {
		t.Fatalf("probes at %v ms, want %v", probes, want)
	}
	for i := range want {
		if probes[i] != want[i] {
			t.Fatalf("probes at %v ms, want %v", probes, want)
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	for _, settings := range []Settings{{}, {MinSize: 1, Backoff: 1, MaxBackoff: 1}, {MinSize: 3}, {MinSize: 3, Backoff: 2, MaxBackoff: 1}} {
		if _, err := New(settings); err == nil {
			t.Errorf("invalid settings %+v were accepted", settings)
		}
	}
}

// After any sequence of events: a zone is in outage exactly while at least three of its endpoints have left requests
// unanswered since its last answer, an endpoint that answers now is never in outage, and only zones seen are stored.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, now := newTracker(t), clock.Nanos(0)
		unanswered, answeredAt := map[string]map[uint32]bool{"a": {}, "b": {}}, map[string]clock.Nanos{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += clock.Nanos(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				zones.Answered(zone, now)
				answeredAt[zone] = now
				clear(unanswered[zone])
			case 1:
				zones.StartProbe(zone, now)
			default:
				endpoint := uint32(rapid.IntRange(1, 5).Draw(t, "server"))
				sentAt := now - clock.Nanos(rapid.IntRange(0, 500).Draw(t, "asked"))*ms
				zones.Unanswered(zone, endpoint, sentAt, now)
				if last, ok := answeredAt[zone]; !ok || sentAt >= last {
					unanswered[zone][endpoint] = true
				}
			}
			if zones.InOutage(zone, -1000*ms) != (len(unanswered[zone]) >= 3) {
				t.Fatalf("%d unanswered endpoints, in outage: %v", len(unanswered[zone]), len(unanswered[zone]) < 3)
			}
			if zones.InOutage(zone, now) {
				t.Fatal("an endpoint that answers now is in outage")
			}
			if zones.Size() > 2 {
				t.Fatalf("%d zones are stored, two were seen", zones.Size())
			}
		}
	})
}
