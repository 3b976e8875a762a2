package trust

import "lotushook/policy/crdt"

// Book remembers what is known of entries that somebody else told, or the disk gave back.
type Book struct {
	set   Settings
	facts map[key]*noted
	order []key // as they were noted first, from next on
	next  int
	old   bool
	sizes [Origins]int // of those not proven
}

type noted struct {
	entry crdt.Entry
	fact  Fact
	at    Nanos // when it was learned, by this clock
}

// NewBook returns an empty one.
func NewBook(s Settings) (*Book, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return &Book{set: s, facts: map[key]*noted{}}, nil
}

// Restored notes an entry that the disk gave back. What this process or a peer has said already stays.
func (b *Book) Restored(now Nanos, e crdt.Entry, unsure bool) {
	if b.facts[keyOf(&e)] == nil {
		b.note(now, e, Fact{Origin: Restored, Unsure: unsure})
	}
}

// Own notes what this process has learned itself: whatever it says holds.
func (b *Book) Own(now Nanos, e crdt.Entry) { b.note(now, e, Fact{Origin: Own, Proven: true}) }

// Told notes what a peer told. steady says that the peer has been up since before this router's last start began or its copy
// was written: what it tells proves what came back, if it is the same or more, and refutes it if it is something else that
// goes before it. What a peer told that is not steady is doubted, as it may itself have it from a disk.
func (b *Book) Told(now Nanos, e crdt.Entry, steady bool) {
	n := b.facts[keyOf(&e)]
	switch {
	case n == nil:
		b.note(now, e, Fact{Origin: Peer, Proven: steady})
	case n.fact.Origin == Own:
	case says(&e, &n.entry) == more:
		b.note(now, e, Fact{Origin: Peer, Proven: steady})
	case says(&e, &n.entry) == same && steady:
		b.count(n, -1)
		n.fact.Proven = !n.fact.Refuted
		b.count(n, 1)
	}
}

// Contrary notes that a data server's answer to this process says otherwise than is believed of an entry's key, without
// saying what holds instead.
func (b *Book) Contrary(e crdt.Entry) {
	if n := b.facts[keyOf(&e)]; n != nil {
		b.count(n, -1)
		n.fact.Refuted, n.fact.Proven = true, false
		b.count(n, 1)
	}
}

// Old says that the copy was put back: nothing proves that what came back from it is as young as it says, so that even where
// a peer says the same it serves for nothing but care. Only this process's own answers and newer words help.
func (b *Book) Old() {
	b.old = true
	for _, n := range b.facts {
		if n.fact.Origin == Restored {
			b.count(n, -1)
			n.fact.Unsure, n.fact.Proven = true, false
			b.count(n, 1)
		}
	}
}

// Fact is what is known of an entry's key, and the entry that it is known of.
func (b *Book) Fact(now Nanos, e crdt.Entry) (Fact, crdt.Entry) {
	n := b.facts[keyOf(&e)]
	if n == nil {
		return Fact{}, crdt.Entry{}
	}
	f := n.fact
	f.Age = max(0, now-n.at)
	return f, n.entry
}

// Doubted counts the facts of an origin that are not proven; Size is of all.
func (b *Book) Doubted(o Origin) int { return b.sizes[o] }

// Size is how many facts are remembered.
func (b *Book) Size() int { return len(b.facts) }

func (b *Book) note(now Nanos, e crdt.Entry, f Fact) {
	k := keyOf(&e)
	n := b.facts[k]
	if n == nil {
		if len(b.facts) >= b.set.Most {
			b.count(b.facts[b.order[b.next]], -1)
			delete(b.facts, b.order[b.next])
			b.order[b.next] = k
			b.next = (b.next + 1) % len(b.order)
		} else {
			b.order = append(b.order, k)
		}
		n = &noted{}
		b.facts[k] = n
	} else {
		b.count(n, -1)
	}
	if f.Origin == Restored && b.old {
		f.Unsure = true
	}
	*n = noted{e, f, now - max(0, e.Age)}
	b.count(n, 1)
}

func (b *Book) count(n *noted, by int) {
	if n.fact.Origin != None && !n.fact.Proven {
		b.sizes[n.fact.Origin] += by
	}
}

// What an entry says beside another of the same key.
const (
	less = iota
	same
	more
)

// says compares what two entries of one key say, and not who said it.
func says(e, f *crdt.Entry) int {
	x, y := e.At, f.At
	switch e.Kind {
	case crdt.Use:
		x, y = e.Count, f.Count
	case crdt.Hint:
		x, y = int64(e.Seq), int64(f.Seq)
	case crdt.Write:
		return same
	}
	switch {
	case x > y:
		return more
	case x < y:
		return less
	case e.Kind == crdt.Primary && (e.Server != f.Server || e.Born != f.Born):
		if e.Born > f.Born || e.Born == f.Born && e.Server > f.Server {
			return more
		}
		return less
	}
	return same
}
