package slowstart

import (
	"math"
	"testing"

	"lotushook/policy/clock"
	"lotushook/policy/seeded"
)

var testSettings = Settings{ColdCapacity: 0.2, WarmUpTime: 10 * clock.Second, Window: clock.Second, OverloadMultiple: 2}

func TestWarmthRisesEvenly(t *testing.T) {
	b := New(testSettings, 1, seeded.New(1))
	start := 100 * clock.Second
	for _, c := range []struct {
		age  clock.Nanos
		want float64
	}{{-clock.Second, 0.2}, {0, 0.2}, {5 * clock.Second, 0.6}, {10 * clock.Second, 1}, {clock.Second * 1000, 1}} {
		if got := b.Warmth(start+c.age, start); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("age %d: warmth %v, want %v", c.age, got, c.want)
		}
	}
	if b.Warmth(start, 0) != 1 {
		t.Error("an endpoint that started long ago is not warm")
	}
}

// A warm endpoint has no budget; one that warms up gets this router's part of its capacity, as far as anything is known.
func TestBudgetBindsWhileWarmingUp(t *testing.T) {
	b := New(testSettings, 2, seeded.New(1))
	demand, window := &Demand{}, &Window{}
	now := 100 * clock.Second
	work := 10 * float64(clock.Millisecond)
	draw := 0.0
	request := Request{Work: work, MaxWork: work, Draw: &draw}
	cold := Endpoint{ID: 1, Weight: 1, StartedAt: now, Window: window, Demand: demand}
	sent := 0.0
	for range 1000 {
		if b.Allows(now, cold, request) {
			window.Sent(work)
			sent += work
		}
	}
	capacity := testSettings.OverloadMultiple * testSettings.ColdCapacity / 2 * float64(testSettings.Window)
	if sent < 0.7*capacity || sent > capacity+work {
		t.Errorf("sent %.0f ms of work in a window, this router's part is %.0f", sent/1e6, capacity/1e6)
	}
	warm := cold
	warm.StartedAt = 0
	if !b.Allows(now, warm, request) {
		t.Error("a warm endpoint has a budget")
	}
	if !b.Allows(now+3*testSettings.Window, cold, request) {
		t.Error("the budget does not come back with time")
	}
}

func TestLearnsWhatWarmEndpointsDo(t *testing.T) {
	b := New(testSettings, 1, seeded.New(1))
	demand := &Demand{}
	now := 100 * clock.Second
	for range 200 {
		now += testSettings.Window
		b.Requested(now, demand, Replica, 0.5*float64(testSettings.Window))
		b.Answered(0.5 * float64(testSettings.Window))
		if !b.LearnDue(now) {
			t.Fatal("not due after a window")
		}
		b.Learn(now, []*Demand{demand}, 1)
	}
	if got := b.WorkRate(); got < 0.49 || got > 0.51 {
		t.Errorf("a warm endpoint does %.3f for this router, want 0.5", got)
	}
	if b.LearnDue(now) {
		t.Error("due again at once")
	}
}

func TestShareIsTakenOver(t *testing.T) {
	b := New(testSettings, 4, seeded.New(1))
	if b.SetShare(0.5); b.RouterCount() != 2 {
		t.Errorf("%v routers at half of all", b.RouterCount())
	}
}
