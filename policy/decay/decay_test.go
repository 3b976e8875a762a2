package decay

import (
	"math"
	"testing"

	"lotushook/policy/clock"
)

func TestOlderValuesHaveLessWeight(t *testing.T) {
	var mean Mean
	if got := mean.Value(0, clock.Second, 2, 1); got != 2 {
		t.Errorf("mean without values is %v, want the prior 2", got)
	}
	mean.Add(0, clock.Second, 10)
	mean.Add(clock.Second, clock.Second, 0)
	want := 10 / math.E / (1 + 1/math.E)
	if got := mean.Value(clock.Second, clock.Second, 0, 0); math.Abs(got-want) > 1e-9 {
		t.Errorf("mean is %v, want %v", got, want)
	}
	if got := mean.Value(100*clock.Second, clock.Second, 3, 1); math.Abs(got-3) > 1e-9 {
		t.Errorf("mean after 100 time constants is %v, want the prior 3", got)
	}
}
