package experiment

import (
	"slices"
	"testing"
)

// Time to full service, on series that were made up: whole at once, after four seconds, only for a while, and never.
func TestFullService(t *testing.T) {
	calm := slices.Repeat([]Point{{Weight: 100}}, 20)
	series := func(worth ...float64) []Point {
		out := slices.Clone(calm)
		for i, w := range worth {
			out[5+i].Weight = w
		}
		return out
	}
	for _, c := range []struct {
		points []Point
		back   float64
		want   float64
	}{
		{series(), 5.5, 0}, {series(10, 20, 50, 94, 95), 5.5, 3.5}, {series(10, 96, 96, 96, 96, 10), 5, 6},
		{series(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0), 5, never}, {series(10, 10, 10, 10, 10, 10, 10, 10, 10, 10), 5, never}, {series(50), -1, 1},
	} {
		if got := fullService(calm, c.points, c.back); got != c.want {
			t.Errorf("back at %v: %v, want %v", c.back, got, c.want)
		}
	}
	r := &Result{Arms: map[string]map[string]map[string]float64{"calm": {"a": {}}, "killed": {"a": {}}},
		Series: map[string]map[string][]Point{"calm": {"a": calm}, "killed": {"a": series(0, 0)}}, faultsOverAt: map[string]float64{"killed": 5}}
	r.recovered()
	if m := r.Arms["killed"]["a"]; m["full_service_s"] != 2 || m["worth_after"] < 0.85 || m["worth_after"] > 0.87 {
		t.Errorf("%v", m)
	}
}
