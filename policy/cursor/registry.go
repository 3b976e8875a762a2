package cursor

import (
	"cmp"

	"lotushook/policy/clock"
	"lotushook/policy/crdt"
)

// Generation distinguishes the connections of a subscriber: each new connection raises it, and the connection with the
// greatest one prevails. If two routers raised it to the same number, the router with the greater name prevails.
type Generation struct {
	Gen      int64
	RaisedBy crdt.Origin
}

// Compare orders generations by number, then by the router that raised them.
func (generation Generation) Compare(other Generation) int {
	return cmp.Or(cmp.Compare(generation.Gen, other.Gen), cmp.Compare(generation.RaisedBy.Name, other.RaisedBy.Name), cmp.Compare(generation.RaisedBy.Boot, other.RaisedBy.Boot))
}

// Cursor is what is known of one subscriber of one feed. The zero Cursor means that nothing is known.
type Cursor struct {
	Generation
	// The position up to which events were delivered.
	Position
	// The position up to which the subscriber has received events for certain, on the same history. Its next request
	// shows that the previous answer arrived. NotAcknowledged if it is not known to have received any answer.
	Acked int64
	Age   clock.Nanos
}

// NotAcknowledged is the Acked position of a subscriber that has not confirmed its start position yet.
const NotAcknowledged = -1

// Compare orders cursors by generation, then by history along the lineage, then by position. The order is total, so the
// greater of two cursors is their join, whatever the order, loss or duplication of messages.
func (cursor Cursor) Compare(other Cursor) int {
	return cmp.Or(cursor.Generation.Compare(other.Generation), cursor.Position.Compare(other.Position), cmp.Compare(cursor.Acked, other.Acked))
}

// Join returns the greater cursor. If both are equal, the result has the lower of their ages.
func (cursor Cursor) Join(other Cursor) Cursor {
	switch order := cursor.Compare(other); {
	case order < 0:
		return other
	case order == 0:
		cursor.Age = min(cursor.Age, other.Age)
	}
	return cursor
}

// Entry returns the cursor as a replicated entry.
func (cursor Cursor) Entry(feed, subscriber string) crdt.Entry {
	return crdt.Entry{Kind: crdt.FeedCursor, A: feed, B: subscriber, From: cursor.RaisedBy, Count: cursor.Gen, Born: int64(cursor.Number()), At: cursor.At, Acked: cursor.Acked}
}

// FromEntry returns the cursor of a replicated entry.
func FromEntry(entry crdt.Entry) Cursor {
	return Cursor{Generation{entry.Count, entry.From}, Position{HistoryFromNumber(uint64(entry.Born)), entry.At}, entry.Acked, entry.Age}
}

// Registry holds a limited number of cursors that this router issued. When it is full, the least recently used cursor
// is evicted. If Evicted returns more than 0, an unknown subscriber may have had a cursor. A Registry is not safe for
// concurrent use.
type Registry struct {
	self     crdt.Origin
	capacity int
	index    map[registryKey]int32
	// Slot 0 is the head of a circular list: its next is the most recently used slot, its prev the next one to evict.
	slots   []registrySlot
	evicted uint64
}

type registryKey struct {
	feed       uint32
	subscriber string
}

type registrySlot struct {
	registryKey
	history    uint64
	at, acked  int64
	gen        int64
	lastUsedAt clock.Nanos
	prev, next int32
}

// NewRegistry returns an empty registry with a capacity of maxCursors.
func NewRegistry(self crdt.Origin, maxCursors int) *Registry {
	return &Registry{self: self, capacity: max(1, maxCursors), index: map[registryKey]int32{}, slots: make([]registrySlot, 1)}
}

// Get returns the cursor that this router issued last.
func (registry *Registry) Get(now clock.Nanos, feed uint32, subscriber string) (Cursor, bool) {
	slotIndex, ok := registry.index[registryKey{feed, subscriber}]
	if !ok {
		return Cursor{}, false
	}
	slot := &registry.slots[slotIndex]
	return Cursor{Generation{slot.gen, registry.self}, Position{HistoryFromNumber(slot.history), slot.at}, slot.acked, max(0, now-slot.lastUsedAt)}, true
}

// Put stores a cursor that this router issues, unless the stored one is greater.
func (registry *Registry) Put(now clock.Nanos, feed uint32, subscriber string, cursor Cursor) bool {
	key := registryKey{feed, subscriber}
	slotIndex, ok := registry.index[key]
	if ok {
		if old, _ := registry.Get(now, feed, subscriber); cursor.Compare(old) < 0 {
			return false
		}
		registry.unlink(slotIndex)
	} else {
		slotIndex = registry.freeSlot()
		registry.index[key] = slotIndex
	}
	slot := &registry.slots[slotIndex]
	*slot = registrySlot{registryKey: key, history: cursor.Number(), at: cursor.At, acked: cursor.Acked, gen: cursor.Gen, lastUsedAt: now}
	slot.next, slot.prev = registry.slots[0].next, 0
	registry.slots[slot.next].prev, registry.slots[0].next = slotIndex, slotIndex
	return true
}

// freeSlot returns an unused slot, and evicts the least recently used cursor if necessary.
func (registry *Registry) freeSlot() int32 {
	if len(registry.index) >= registry.capacity {
		oldest := registry.slots[0].prev
		registry.unlink(oldest)
		delete(registry.index, registry.slots[oldest].registryKey)
		registry.evicted++
		return oldest
	}
	registry.slots = append(registry.slots, registrySlot{})
	return int32(len(registry.slots) - 1)
}

func (registry *Registry) unlink(slotIndex int32) {
	slot := &registry.slots[slotIndex]
	registry.slots[slot.prev].next, registry.slots[slot.next].prev = slot.next, slot.prev
}

// Size returns the number of stored cursors.
func (registry *Registry) Size() int { return len(registry.index) }

// Evicted returns the number of cursors evicted for lack of capacity.
func (registry *Registry) Evicted() uint64 { return registry.evicted }
