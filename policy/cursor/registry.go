package cursor

import (
	"cmp"

	"lotushook/policy/clock"
	"lotushook/policy/crdt"
)

// Generation distinguishes a subscriber's connections: the greater one prevails. Of two that were raised alike at two routers it is
// the one of the router whose name comes later.
type Generation struct {
	Gen int64
	By  crdt.Origin
}

// Compare goes by number, then by who raised it.
func (g Generation) Compare(h Generation) int {
	return cmp.Or(cmp.Compare(g.Gen, h.Gen), cmp.Compare(g.By.Name, h.By.Name), cmp.Compare(g.By.Epoch, h.By.Epoch))
}

// Cursor is what is known of one subscriber of one feed. The zero Cursor is nothing.
type Cursor struct {
	Generation
	Position       // delivered: what was answered last
	Acked    int64 // of the same history: what the next request showed to have arrived; NotAcknowledged: not even its start
	Age      clock.Nanos
}

// NotAcknowledged is what a subscriber that has just started has acknowledged.
const NotAcknowledged = -1

// Compare is the order in which cursors are joined: generation, then history by ancestry, then position. It is a total order,
// so the greater of two is their join, whatever the order, loss or duplication of messages.
func (c Cursor) Compare(d Cursor) int {
	return cmp.Or(c.Generation.Compare(d.Generation), c.Position.Compare(d.Position), cmp.Compare(c.Acked, d.Acked))
}

// Join is the greater one, with the age of the later report where they are the same.
func (c Cursor) Join(d Cursor) Cursor {
	switch n := c.Compare(d); {
	case n < 0:
		return d
	case n == 0:
		c.Age = min(c.Age, d.Age)
	}
	return c
}

// Entry is a cursor as routers replicate it.
func (c Cursor) Entry(feed, subscriber string) crdt.Entry {
	return crdt.Entry{Kind: crdt.FeedCursor, Subject: feed, Qualifier: subscriber, Origin: c.By, Count: c.Gen, Incarnation: int64(c.Number()), Position: c.At, Acked: c.Acked}
}

// FromEntry is the cursor of an entry.
func FromEntry(e crdt.Entry) Cursor {
	return Cursor{Generation{e.Count, e.Origin}, Position{HistoryOf(uint64(e.Incarnation)), e.Position}, e.Acked, e.Age}
}

// Registry holds the cursors that this router issued, at most so many. The least recently used one is evicted first; from
// then on the registry reports of unknown subscribers that it may have forgotten them. It is not safe for concurrent use.
type Registry struct {
	self     crdt.Origin
	capacity int
	index    map[key]int32
	slots    []slot // 0 is the ring's head: next the latest, prev the next to evict
	evicted  uint64
}

type key struct {
	feed       uint32
	subscriber string
}

type slot struct {
	key
	history    uint64
	at, acked  int64
	gen        int64
	touched    clock.Nanos
	prev, next int32
}

// NewRegistry returns an empty registry for so many cursors.
func NewRegistry(self crdt.Origin, most int) *Registry {
	return &Registry{self: self, capacity: max(1, most), index: map[key]int32{}, slots: make([]slot, 1)}
}

// Get returns what this router issued last.
func (b *Registry) Get(now clock.Nanos, feed uint32, subscriber string) (Cursor, bool) {
	i, ok := b.index[key{feed, subscriber}]
	if !ok {
		return Cursor{}, false
	}
	s := &b.slots[i]
	return Cursor{Generation{s.gen, b.self}, Position{HistoryOf(s.history), s.at}, s.acked, max(0, now-s.touched)}, true
}

// Put stores a cursor of this router's own, unless the stored one is greater.
func (b *Registry) Put(now clock.Nanos, feed uint32, subscriber string, c Cursor) bool {
	k := key{feed, subscriber}
	i, ok := b.index[k]
	if ok {
		if old, _ := b.Get(now, feed, subscriber); c.Compare(old) < 0 {
			return false
		}
		b.unlink(i)
	} else {
		i = b.room()
		b.index[k] = i
	}
	s := &b.slots[i]
	*s = slot{key: k, history: c.Number(), at: c.At, acked: c.Acked, gen: c.Gen, touched: now}
	s.next, s.prev = b.slots[0].next, 0
	b.slots[s.next].prev, b.slots[0].next = i, i
	return true
}

// room returns a free slot.
func (b *Registry) room() int32 {
	if len(b.index) >= b.capacity {
		last := b.slots[0].prev
		b.unlink(last)
		delete(b.index, b.slots[last].key)
		b.evicted++
		return last
	}
	b.slots = append(b.slots, slot{})
	return int32(len(b.slots) - 1)
}

func (b *Registry) unlink(i int32) {
	s := &b.slots[i]
	b.slots[s.prev].next, b.slots[s.next].prev = s.next, s.prev
}

// Size is how many are held.
func (b *Registry) Size() int { return len(b.index) }

// Evicted is how many were evicted for lack of capacity.
func (b *Registry) Evicted() uint64 { return b.evicted }
