package choose

import "testing"

func TestBest(t *testing.T) {
	numbers := []int{3, 8, 5, 8, 2}
	items := make([]*int, len(numbers))
	for i := range numbers {
		items[i] = &numbers[i]
	}
	larger := func(x, y *int) bool { return *x > *y }
	if got := Best(items, func(*int) bool { return true }, larger); got != items[1] {
		t.Error("not the earlier of the two that are best")
	}
	if got := Best(items, func(x *int) bool { return *x < 5 }, larger); got != items[0] {
		t.Error("not the best of those that pass")
	}
	if Best(items, func(*int) bool { return false }, larger) != nil {
		t.Error("one that does not pass")
	}
}
