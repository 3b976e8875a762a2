package crdt

import (
	"cmp"
	"maps"
	"slices"

	"lotushook/policy/clock"
)

const entryBytes = 48 // of an entry in transit, beside its texts

// VersionVector says up to which number all entries of each origin, or ones that supersede them, are held.
type VersionVector map[Origin]uint64

// OriginRun holds what an origin learned after one number. Up to another number it is all that is left: missing entries were
// superseded. Entries beyond that came by themselves, and some before them may be missing.
type OriginRun struct {
	From        Origin
	After, Upto uint64
	Entries     []Entry
}

// VersionVector returns this copy's vector.
func (s *Store) VersionVector() VersionVector { return maps.Clone(s.seen) }

// Size is an entry's size in transit, in bytes.
func (e *Entry) Size() int {
	return entryBytes + len(e.A) + len(e.B) + len(e.Server) + len(e.From.Name)
}

// entryAt is an entry with its age in transit.
func (h *storedEntry) entryAt(now clock.Nanos) Entry {
	e := h.Entry
	e.Age = max(0, now-h.learnedAt)
	return e
}

// TakePending removes and returns what this router learned since the last call, the most urgent first, up to so many bytes; the rest
// is left to be fetched. It says nothing about completeness: datagrams get lost.
func (s *Store) TakePending(now clock.Nanos, room int) []Entry {
	fresh := slices.DeleteFunc(s.pending, func(h *storedEntry) bool { return h.heapIndex < 0 })
	slices.SortStableFunc(fresh, func(x, y *storedEntry) int { return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(y.Seq, x.Seq)) })
	var out []Entry
	for _, h := range fresh {
		if room -= h.Size(); room < 0 {
			break
		}
		out = append(out, h.entryAt(now))
	}
	s.pending = nil
	return out
}

// Since returns what the owner of a vector lacks, up to so many bytes. One that lacks everything gets everything, piece by
// piece: each piece is complete up to its own end, so that another member can go on from there. The remaining bytes are for
// entries that came by themselves, in turn: of an origin that is gone they may be the only ones there will ever be.
func (s *Store) Since(now clock.Nanos, v VersionVector, room int) []OriginRun {
	var out []OriginRun
	var loose []*storedEntry
	for _, o := range slices.SortedFunc(maps.Keys(s.logs), Origin.compare) {
		r := OriginRun{From: o, After: v[o], Upto: max(v[o], s.seen[o])}
		full := false
		first, _ := slices.BinarySearchFunc(s.logs[o].list, r.After+1, func(x logged, seq uint64) int { return cmp.Compare(x.seq, seq) })
		for _, x := range s.logs[o].list[first:] {
			switch {
			case x.h.heapIndex < 0:
			case x.seq > s.seen[o]:
				loose = append(loose, x.h)
			case full:
			case room < x.h.Size()+entryBytes:
				full, r.Upto = true, x.seq-1
			default:
				room -= x.h.Size()
				r.Entries = append(r.Entries, x.h.entryAt(now))
			}
		}
		if r.Upto > r.After && room >= entryBytes {
			room -= entryBytes
			out = append(out, r)
		}
	}
	s.turn = s.turn*1664525 + 1013904223 // drawn: in turn, two that fetch alternately could get the same halves for ever
	for i := range loose {
		h := loose[(int(s.turn>>16)+i)%len(loose)]
		if room -= h.Size() + entryBytes; room < 0 {
			break
		}
		out = append(out, OriginRun{From: h.From, After: v[h.From], Upto: v[h.From], Entries: []Entry{h.entryAt(now)}})
	}
	return out
}

// MergeRuns merges runs and returns how many entries changed the copy. A run that begins beyond the held entries of its origin
// leaves a gap: its entries are merged, and fetched again.
func (s *Store) MergeRuns(now clock.Nanos, runs []OriginRun) int {
	changed := 0
	for _, r := range runs {
		sound := r.From.Name != "" && r.From != s.settings.Self && r.Upto >= r.After
		for _, e := range r.Entries {
			if e.From != r.From || e.Seq <= r.After {
				sound = false
				s.rejected++
				continue
			}
			if s.Merge(now, e) {
				changed++
			}
		}
		_, known := s.seen[r.From]
		if sound && r.Upto > r.After && r.After <= s.seen[r.From] && (known || len(s.seen) < s.settings.MaxOrigins) {
			s.seen[r.From] = max(s.seen[r.From], r.Upto)
		}
	}
	return changed
}

// Hash covers the joined part of an entry: a check of a received piece of runs.
func (e *Entry) Hash() uint64 { return (&storedEntry{Entry: *e}).hash() }

// EntriesOlderThan returns entries known for longer than a bound, in turn, at most so many: a copy without them has missed them.
func (s *Store) EntriesOlderThan(now, bound clock.Nanos, most int) []Entry {
	var out []Entry
	for k := SessionCommit; k < kinds; k++ {
		p := s.piles[k]
		for i := range p { // one of each kind, then of the next store
			if h := p[(int(s.turn>>16)+i)%len(p)]; now-h.learnedAt > bound && len(out) < most {
				out = append(out, h.entryAt(now))
				break
			}
		}
	}
	s.turn = s.turn*1664525 + 1013904223
	return out
}

// Again forgets an origin's version, as when digests differ though vectors don't: some member left an entry out.
func (s *Store) Again(o Origin) {
	if o != s.settings.Self {
		delete(s.seen, o)
	}
}

// Difference names entries that differ between two copies, at most so many: for people.
func (s *Store) Difference(now clock.Nanos, k Kind, other []Entry, most int) []Entry {
	theirs := map[entryID]*Entry{}
	for i := range other {
		theirs[other[i].id()] = &other[i]
	}
	var out []Entry
	for _, h := range s.piles[k] {
		if e := theirs[h.id()]; e == nil || e.compare(&h.Entry) != 0 {
			out = append(out, h.entryAt(now))
		}
	}
	slices.SortFunc(out, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.A, y.A), cmp.Compare(x.B, y.B), x.compareVersion(&y))
	})
	return out[:min(most, len(out))]
}

// All are the entries of a kind.
func (s *Store) All(now clock.Nanos, k Kind) []Entry {
	var out []Entry
	for _, h := range s.piles[k] {
		out = append(out, h.entryAt(now))
	}
	return out
}
