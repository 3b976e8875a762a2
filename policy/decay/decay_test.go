package decay

import (
	"math"
	"testing"

	"lotushook/policy/clock"
)

func TestOlderValuesCountLess(t *testing.T) {
	var m Mean
	if got := m.Value(0, clock.Second, 2, 1); got != 2 {
		t.Errorf("without values %v, want the prior", got)
	}
	m.Add(0, clock.Second, 10)
	m.Add(clock.Second, clock.Second, 0)
	want := 10 / math.E / (1 + 1/math.E)
	if got := m.Value(clock.Second, clock.Second, 0, 0); math.Abs(got-want) > 1e-9 {
		t.Errorf("mean %v, want %v", got, want)
	}
	if got := m.Value(100*clock.Second, clock.Second, 3, 1); math.Abs(got-3) > 1e-9 {
		t.Errorf("long after: %v, want the prior", got)
	}
}
