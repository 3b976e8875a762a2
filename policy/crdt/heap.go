package crdt

import "cmp"

// entryHeap holds the entries of one kind, with the next one to evict at the root.
type entryHeap []*storedEntry

// Len implements heap.Interface.
func (h entryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entryHeap) Less(i, j int) bool { return h[i].compareEvictionRank(h[j]) < 0 }

// Swap implements heap.Interface.
func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) { e := x.(*storedEntry); e.heapIndex = len(*h); *h = append(*h, e) }

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.heapIndex = -1
	*h = old[:len(old)-1]
	return last
}

// compareEvictionRank orders the entries of a kind; the least one is evicted first. As long as joins only raise an
// entry's rank, the entries that remain do not depend on the order in which entries arrived.
func (entry *storedEntry) compareEvictionRank(other *storedEntry) int {
	var byKind int
	switch entry.Kind {
	case PendingWrite, Hint, SheddingLevel:
		byKind = cmp.Compare(entry.learnedAt, other.learnedAt)
	// Count is the generation of a cursor, which is at least the log position at its last reconnect. So the cursors
	// whose last reconnect is the oldest are evicted first.
	case Usage, FeedCursor:
		byKind = cmp.Compare(entry.Count, other.Count)
	default:
		byKind = cmp.Compare(entry.At, other.At)
	}
	return cmp.Or(byKind, cmp.Compare(entry.A, other.A), cmp.Compare(entry.B, other.B), cmp.Compare(entry.Born, other.Born), entry.From.compare(other.From), cmp.Compare(entry.Server, other.Server))
}
