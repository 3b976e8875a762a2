// Package choose picks the best of a few candidates.
package choose

// Best returns the best of the items that pass, the earlier one where neither is better; nil if none passes.
func Best[T any](items []*T, passes func(*T) bool, better func(x, y *T) bool) *T {
	var best *T
	for _, item := range items {
		if passes(item) && (best == nil || better(item, best)) {
			best = item
		}
	}
	return best
}
