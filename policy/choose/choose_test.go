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
		t.Error("Best did not return the earlier of two equally good items")
	}
	if got := Best(items, func(item *int) bool { return *item < 5 }, larger); got != items[0] {
		t.Error("Best did not return the best of the eligible items")
	}
	if Best(items, func(*int) bool { return false }, larger) != nil {
		t.Error("Best returned an item that is not eligible")
	}
}
