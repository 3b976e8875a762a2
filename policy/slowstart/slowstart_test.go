package slowstart

import (
	"math"
	"testing"

	"lotushook/policy/clock"
	"lotushook/policy/seeded"
)

var testSettings = Settings{ColdCapacity: 0.2, WarmUpTime: 10 * clock.Second, Window: clock.Second, OverloadMultiple: 2}

func TestWarmthGrowsLinearly(t *testing.T) {
	budget := New(testSettings, 1, seeded.New(1))
	startedAt := 100 * clock.Second
	for _, test := range []struct {
		age  clock.Nanos
		want float64
	}{{-clock.Second, 0.2}, {0, 0.2}, {5 * clock.Second, 0.6}, {10 * clock.Second, 1}, {clock.Second * 1000, 1}} {
		if got := budget.Warmth(startedAt+test.age, startedAt); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("warmth at age %d is %v, want %v", test.age, got, test.want)
		}
	}
	if budget.Warmth(startedAt, 0) != 1 {
		t.Error("an endpoint that started long ago is not warm")
	}
}

// A warm endpoint has no budget; a warming one gets this router's part of its capacity.
func TestBudgetBindsWhileWarmingUp(t *testing.T) {
	budget := New(testSettings, 2, seeded.New(1))
	demand, window := &Demand{}, &Window{}
	now := 100 * clock.Second
	work := 10 * float64(clock.Millisecond)
	draw := 0.0
	request := Request{Work: work, MaxWork: work, Draw: &draw}
	cold := Endpoint{ID: 1, Weight: 1, StartedAt: now, Window: window, Demand: demand}
	sent := 0.0
	for range 1000 {
		if budget.Allows(now, cold, request) {
			window.Sent(work)
			sent += work
		}
	}
	capacity := testSettings.OverloadMultiple * testSettings.ColdCapacity / 2 * float64(testSettings.Window)
	if sent < 0.7*capacity || sent > capacity+work {
		t.Errorf("sent %.0f ms of work in a window, but this router's part is %.0f ms", sent/1e6, capacity/1e6)
	}
	warm := cold
	warm.StartedAt = 0
	if !budget.Allows(now, warm, request) {
		t.Error("a request to a warm endpoint is not allowed")
	}
	if !budget.Allows(now+3*testSettings.Window, cold, request) {
		t.Error("the budget is not replenished after three windows")
	}
}

func TestLearnsWorkRateOfWarmEndpoints(t *testing.T) {
	budget := New(testSettings, 1, seeded.New(1))
	demand := &Demand{}
	now := 100 * clock.Second
	for range 200 {
		now += testSettings.Window
		budget.Requested(now, demand, Replica, 0.5*float64(testSettings.Window))
		budget.Answered(0.5 * float64(testSettings.Window))
		if !budget.LearnDue(now) {
			t.Fatal("Learn is not due after a window")
		}
		budget.Learn(now, []*Demand{demand}, 1)
	}
	if got := budget.WorkRate(); got < 0.49 || got > 0.51 {
		t.Errorf("work rate is %.3f, want 0.5", got)
	}
	if budget.LearnDue(now) {
		t.Error("Learn is due again immediately after it was called")
	}
}

func TestSetShareChangesRouterCount(t *testing.T) {
	budget := New(testSettings, 4, seeded.New(1))
	if budget.SetShare(0.5); budget.RouterCount() != 2 {
		t.Errorf("router count is %v with a share of half, want 2", budget.RouterCount())
	}
}
