package repeatguard

import (
	"errors"
	"fmt"
	"testing"

	"lotushook/policy/clock"
)

func TestMayRun(t *testing.T) {
	guard, err := New(10*clock.Second, 100)
	if err != nil {
		t.Fatal(err)
	}
	guard.Ended("unkeyed", 0, clock.Second)
	guard.Ended("keyed", 3*clock.Second, clock.Second)
	for _, test := range []struct {
		id   string
		at   clock.Nanos
		want bool
	}{
		{"other", 2 * clock.Second, true},
		{"unkeyed", 2 * clock.Second, false},
		{"unkeyed", 10 * clock.Second, false},
		{"unkeyed", 11 * clock.Second, true}, // forgotten
		{"keyed", 2 * clock.Second, true},
		{"keyed", 3 * clock.Second, false}, // data servers no longer drop a duplicate
	} {
		if got := guard.MayRun(test.id, test.at); got != test.want {
			t.Errorf("%s at %d s: %v", test.id, test.at/clock.Second, got)
		}
	}
}

// However many requests end, the guard's memory is bounded by their number and age.
func TestMemoryIsBounded(t *testing.T) {
	const maxRequests = 10
	guard, err := New(clock.Second, maxRequests)
	if err != nil {
		t.Fatal(err)
	}
	for number := range 1000 {
		now := clock.Nanos(number) * 50 * clock.Millisecond
		for repeat := range 1 + number%3 {
			guard.Ended(fmt.Sprintf("%d", number+repeat), 0, now)
		}
		if len(guard.byID) > maxRequests || len(guard.order) != len(guard.byID) {
			t.Fatalf("%d requests are remembered, %d in order", len(guard.byID), len(guard.order))
		}
	}
	guard.Ended("last", 0, clock.Second*1000)
	if len(guard.byID) != 1 {
		t.Errorf("%d requests are remembered after their retention", len(guard.byID))
	}
}

func TestNewRejectsLimits(t *testing.T) {
	for _, limits := range [][2]int{{0, 1}, {1, 0}, {-1, 1}} {
		if _, err := New(clock.Nanos(limits[0]), limits[1]); !errors.Is(err, ErrLimits) {
			t.Errorf("New(%d, %d): %v", limits[0], limits[1], err)
		}
	}
}
