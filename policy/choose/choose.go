// Package choose selects the best of a few candidates.
package choose

// Best returns the best of the items for which eligible is true, the earliest of several equally good ones; nil if no
// item is eligible.
func Best[T any](items []*T, eligible func(*T) bool, better func(x, y *T) bool) *T {
	var best *T
	for _, item := range items {
		if eligible(item) && (best == nil || better(item, best)) {
			best = item
		}
	}
	return best
}
