package crdt

import "cmp"

// entryHeap is one kind's entries, the least first.
type entryHeap []*storedEntry

// Len implements heap.Interface.
func (p entryHeap) Len() int { return len(p) }

// Less implements heap.Interface.
func (p entryHeap) Less(i, j int) bool { return p[i].rank(p[j]) < 0 }

// Swap implements heap.Interface.
func (p entryHeap) Swap(i, j int) { p[i], p[j] = p[j], p[i]; p[i].heapIndex, p[j].heapIndex = i, j }

// Push implements heap.Interface.
func (p *entryHeap) Push(x any) { h := x.(*storedEntry); h.heapIndex = len(*p); *p = append(*p, h) }

// Pop implements heap.Interface.
func (p *entryHeap) Pop() any {
	old := *p
	h := old[len(old)-1]
	h.heapIndex = -1
	*p = old[:len(old)-1]
	return h
}

// rank orders the entries of a kind: the least is evicted first. Where joins only raise it, the entries that stay do not
// depend on the order in which they came.
func (h *storedEntry) rank(g *storedEntry) int {
	var first int
	switch h.Kind {
	case PendingWrite, Hint, SheddingLevel:
		first = cmp.Compare(h.learnedAt, g.learnedAt)
	case Usage, FeedCursor: // a cursor's generation begins at the position of its last reconnect: the oldest are evicted first
		first = cmp.Compare(h.Count, g.Count)
	default:
		first = cmp.Compare(h.At, g.At)
	}
	return cmp.Or(first, cmp.Compare(h.A, g.A), cmp.Compare(h.B, g.B), cmp.Compare(h.Born, g.Born), h.From.compare(g.From), cmp.Compare(h.Server, g.Server))
}
