package trust

import (
	"lotushook/policy/clock"
	"lotushook/policy/crdt"
)

// Ledger remembers the provenance of entries that were received from peers, or restored from disk.
type Ledger struct {
	settings         Settings
	facts            map[entryKey]*trackedFact
	order            []entryKey // by when they were first recorded, from next on
	next             int
	distrustRestored bool
	unconfirmed      [ProvenanceCount]int // of those not confirmed
}

type trackedFact struct {
	entry     crdt.Entry
	fact      Fact
	learnedAt clock.Nanos // when it was learned, by this clock
}

// NewLedger returns an empty ledger.
func NewLedger(s Settings) (*Ledger, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return &Ledger{settings: s, facts: map[entryKey]*trackedFact{}}, nil
}

// AddRestored records an entry restored from disk. An entry of this process or of a peer prevails.
func (b *Ledger) AddRestored(now clock.Nanos, e crdt.Entry, unsure bool) {
	if b.facts[keyOf(&e)] == nil {
		b.note(now, e, Fact{Provenance: FromDisk, MinAgeOnly: unsure})
	}
}

// AddOwn records what this process has learned itself: it prevails.
func (b *Ledger) AddOwn(now clock.Nanos, e crdt.Entry) {
	b.note(now, e, Fact{Provenance: OwnResponse, Proven: true})
}

// AddFromPeer records an entry of a peer. steady says that the peer has been up since before this router's last start began or its copy
// was written: its entry confirms a restored one, if it is the same or more, and refutes it if it is another that
// supersedes it. An entry of a peer that is not steady is unconfirmed, as the peer may itself have restored it.
func (b *Ledger) AddFromPeer(now clock.Nanos, e crdt.Entry, steady bool) {
	n := b.facts[keyOf(&e)]
	switch {
	case n == nil:
		b.note(now, e, Fact{Provenance: FromPeer, Proven: steady})
	case n.fact.Provenance == OwnResponse:
	case compareValues(&e, &n.entry) == more:
		b.note(now, e, Fact{Provenance: FromPeer, Proven: steady})
	case compareValues(&e, &n.entry) == same && steady:
		b.count(n, -1)
		n.fact.Proven = !n.fact.Refuted
		b.count(n, 1)
	}
}

// Refute records that a data server's answer contradicts the entry of a key, without
// saying what is right instead.
func (b *Ledger) Refute(e crdt.Entry) {
	if n := b.facts[keyOf(&e)]; n != nil {
		b.count(n, -1)
		n.fact.Refuted, n.fact.Proven = true, false
		b.count(n, 1)
	}
}

// DistrustRestored records that an older copy was put back: nothing proves that its entries are as young as they say, so that even where
// a peer has the same they serve only to be more careful. Only this process's own answers and newer entries help.
func (b *Ledger) DistrustRestored() {
	b.distrustRestored = true
	for _, n := range b.facts {
		if n.fact.Provenance == FromDisk {
			b.count(n, -1)
			n.fact.MinAgeOnly, n.fact.Proven = true, false
			b.count(n, 1)
		}
	}
}

// Fact returns what is known of an entry's key, and the entry that it is known of.
func (b *Ledger) Fact(now clock.Nanos, e crdt.Entry) (Fact, crdt.Entry) {
	n := b.facts[keyOf(&e)]
	if n == nil {
		return Fact{}, crdt.Entry{}
	}
	f := n.fact
	f.Age = max(0, now-n.learnedAt)
	return f, n.entry
}

// Unconfirmed counts the unconfirmed facts of a provenance; Size counts all.
func (b *Ledger) Unconfirmed(o Provenance) int { return b.unconfirmed[o] }

// Size is how many facts are remembered.
func (b *Ledger) Size() int { return len(b.facts) }

func (b *Ledger) note(now clock.Nanos, e crdt.Entry, f Fact) {
	k := keyOf(&e)
	n := b.facts[k]
	if n == nil {
		if len(b.facts) >= b.settings.Capacity {
			b.count(b.facts[b.order[b.next]], -1)
			delete(b.facts, b.order[b.next])
			b.order[b.next] = k
			b.next = (b.next + 1) % len(b.order)
		} else {
			b.order = append(b.order, k)
		}
		n = &trackedFact{}
		b.facts[k] = n
	} else {
		b.count(n, -1)
	}
	if f.Provenance == FromDisk && b.distrustRestored {
		f.MinAgeOnly = true
	}
	*n = trackedFact{e, f, now - max(0, e.Age)}
	b.count(n, 1)
}

func (b *Ledger) count(n *trackedFact, by int) {
	if n.fact.Provenance != Unknown && !n.fact.Proven {
		b.unconfirmed[n.fact.Provenance] += by
	}
}

// The relation of an entry to another of the same key.
const (
	less = iota
	same
	more
)

// compareValues compares the values of two entries of one key, and not their origins.
func compareValues(e, f *crdt.Entry) int {
	x, y := e.At, f.At
	switch e.Kind {
	case crdt.Usage:
		x, y = e.Count, f.Count
	case crdt.Hint:
		x, y = int64(e.Seq), int64(f.Seq)
	case crdt.PendingWrite:
		return same
	}
	switch {
	case x > y:
		return more
	case x < y:
		return less
	case e.Kind == crdt.PrimaryClaim && (e.Server != f.Server || e.Born != f.Born):
		if e.Born > f.Born || e.Born == f.Born && e.Server > f.Server {
			return more
		}
		return less
	}
	return same
}
