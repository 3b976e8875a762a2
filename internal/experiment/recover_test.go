package experiment

import (
	"slices"
	"testing"
)

// TestFullService checks the time to full service on series that recover at once, after some seconds, only for a while,
// and never.
func TestFullService(t *testing.T) {
	calm := slices.Repeat([]Point{{Weight: 100}}, 20)
	series := func(weights ...float64) []Point {
		points := slices.Clone(calm)
		for index, weight := range weights {
			points[5+index].Weight = weight
		}
		return points
	}
	for _, test := range []struct {
		points    []Point
		faultOver float64
		want      float64
	}{
		{series(), 5.5, 0}, {series(10, 20, 50, 94, 95), 5.5, 3.5}, {series(10, 96, 96, 96, 96, 10), 5, 6},
		{series(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0), 5, notRecovered}, {series(10, 10, 10, 10, 10, 10, 10, 10, 10, 10), 5, notRecovered}, {series(50), -1, 1},
	} {
		if got := timeToFullService(calm, test.points, test.faultOver); got != test.want {
			t.Errorf("fault over at %v: %v, want %v", test.faultOver, got, test.want)
		}
	}
	result := &Result{Arms: map[string]map[string]map[string]float64{"calm": {"a": {}}, "killed": {"a": {}}},
		Series: map[string]map[string][]Point{"calm": {"a": calm}, "killed": {"a": series(0, 0)}}, faultsOverAt: map[string]float64{"killed": 5}}
	result.addRecoveryTimes()
	if metrics := result.Arms["killed"]["a"]; metrics["full_service_s"] != 2 || metrics["worth_after"] < 0.85 || metrics["worth_after"] > 0.87 {
		t.Errorf("%v", metrics)
	}
}
