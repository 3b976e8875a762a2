package crdt

import (
	"cmp"
	"maps"
	"slices"

	"lotushook/policy/clock"
)

const (
	entryBytes = 48             // of an entry in transit, beside its texts, and of a run
	minRoom    = 2 * entryBytes // of an answer: a run of entries and a claim
)

// VersionVector says up to which number all entries of each origin, or ones that supersede them, are held. Under two origins without
// a name, which no entry has, it carries the span of keys that this copy's fetch has not covered yet (see fetchPass).
type VersionVector map[Origin]uint64

// The keys under which a version vector carries the ends of that span.
var (
	fetchAfter = Origin{}
	fetchUpto  = Origin{Boot: 1}
)

// OriginRun holds entries of one origin or, where From is the zero Origin, of several. Where Upto is greater than After, it claims to
// be complete: of the keys in Span all entries of its origin after the one number up to the other are in it, or are superseded by
// what the receiver holds once it has merged the message up to this run. Where they are equal it claims nothing.
type OriginRun struct {
	From        Origin
	After, Upto uint64
	Span        KeySpan
	Evicted     KindSet // the sender has evicted entries of these kinds for lack of capacity: they are not held, and not superseded
	Entries     []Entry
}

func (r *OriginRun) isClaim() bool { return r.Upto > r.After }

// KindSet is a set of kinds.
type KindSet uint16

func (k *KindSet) add(kind Kind) { *k |= 1 << kind }

func (k *KindSet) has(kind Kind) bool { return *k&(1<<kind) != 0 }

// VersionVector returns this copy's vector.
func (s *Store) VersionVector() VersionVector {
	v := maps.Clone(s.seen)
	if s.pass.begun() {
		v[fetchAfter], v[fetchUpto] = s.pass.left.After, s.pass.left.Upto
	}
	return v
}

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

// Since returns what the owner of a vector lacks, up to so many bytes. Where there is room for all of it, the runs claim all that this
// copy has. Where there is not, the entries are a piece, the next ones in the order of their keys' hashes, and the runs' claims are
// for the span of keys that the piece covers: the receiver adds them up (see fetchPass).
//
// A claim by origin alone would be wrong for a piece: what superseded a missing entry may have another origin, or a later number, and
// stand in a piece that never comes. All entries of a key are in one span, so what superseded an entry is in the entry's span.
func (s *Store) Since(now clock.Nanos, v VersionVector, room int) []OriginRun {
	if room < minRoom {
		return nil
	}
	missing := s.missing(v)
	claims := s.claims(v)
	claimRoom := min(len(claims)*entryBytes, room/2)
	claims = claims[:claimRoom/entryBytes]
	room -= claimRoom + entryBytes
	if entriesSize(missing) <= room {
		return completeRuns(now, missing, claims)
	}
	piece, span := nextPiece(missing, s.spanToFetch(v, missing), room)
	if len(piece) == 0 && !span.IsPiece() {
		return nil
	}
	runs := append([]OriginRun{{Entries: entriesAt(now, piece)}}, claims...)
	for i := range runs {
		runs[i].Span = span
	}
	return runs
}

// spanToFetch returns the keys that the owner of a vector has not been sent yet. A fetch that has not begun begins at an entry that is
// drawn: if all began at one place, members that are asked in turn could each be asked for the same entries for ever.
func (s *Store) spanToFetch(v VersionVector, missing []*storedEntry) KeySpan {
	after, begun := v[fetchAfter]
	if begun {
		return KeySpan{after, v[fetchUpto]}
	}
	slices.SortFunc(missing, compareVersions) // so that a replay draws the same one
	after = missing[int(s.draw()%uint32(len(missing)))].keyHash - 1
	return KeySpan{after, after}
}

// draw returns the next number of a linear congruential generator (Numerical Recipes), without its low bits, which repeat early.
func (s *Store) draw() uint32 {
	const factor, increment, lowBits = 1664525, 1013904223, 16
	s.turn = s.turn*factor + increment
	return s.turn >> lowBits
}

// missing returns the entries that a vector does not cover.
func (s *Store) missing(v VersionVector) []*storedEntry {
	var out []*storedEntry
	for o, l := range s.logs {
		first, _ := slices.BinarySearchFunc(l.list, v[o]+1, func(x logged, seq uint64) int { return cmp.Compare(x.seq, seq) })
		for _, x := range l.list[first:] {
			if x.h.heapIndex >= 0 {
				out = append(out, x.h)
			}
		}
	}
	return out
}

// claims returns a run without entries for each origin of which this copy has more than a vector, in a stable order.
func (s *Store) claims(v VersionVector) []OriginRun {
	var evicted KindSet
	for k := SessionCommit; k < kinds; k++ {
		if s.evicted[k] {
			evicted.add(k)
		}
	}
	var out []OriginRun
	for o := range s.logs {
		if s.seen[o] > v[o] {
			out = append(out, OriginRun{From: o, After: v[o], Upto: s.seen[o], Evicted: evicted})
		}
	}
	slices.SortFunc(out, func(x, y OriginRun) int { return x.From.compare(y.From) })
	return out
}

// completeRuns returns runs that hold all missing entries and make all claims. An origin whose entries leave no gap up to its claim has
// a run of its own that makes it. The other claims come after all entries, since any of those may be what superseded a missing one.
func completeRuns(now clock.Nanos, missing []*storedEntry, claims []OriginRun) []OriginRun {
	byOrigin := map[Origin][]*storedEntry{}
	for _, h := range missing {
		byOrigin[h.From] = append(byOrigin[h.From], h)
	}
	var withoutGap, withGaps []OriginRun
	for _, c := range claims {
		list := byOrigin[c.From]
		isLast := func(h *storedEntry) bool { return h.Seq == c.Upto }
		if uint64(len(list)) != c.Upto-c.After || !isLast(slices.MaxFunc(list, compareVersions)) {
			withGaps = append(withGaps, c)
			continue
		}
		c.Entries = entriesAt(now, list)
		withoutGap = append(withoutGap, c)
		delete(byOrigin, c.From)
	}
	var others []*storedEntry
	for _, h := range missing {
		if _, ok := byOrigin[h.From]; ok {
			others = append(others, h)
		}
	}
	var out []OriginRun
	if len(others) > 0 {
		out = append(out, OriginRun{Entries: entriesAt(now, others)})
	}
	return append(append(out, withoutGap...), withGaps...)
}

func compareVersions(x, y *storedEntry) int { return x.compareVersion(&y.Entry) }

// entriesAt returns entries with their ages, in a stable order.
func entriesAt(now clock.Nanos, list []*storedEntry) []Entry {
	slices.SortFunc(list, compareVersions)
	out := make([]Entry, len(list))
	for i, h := range list {
		out[i] = h.entryAt(now)
	}
	return out
}

// entriesSize is the size of entries in transit, in bytes.
func entriesSize(list []*storedEntry) int {
	size := 0
	for _, h := range list {
		size += h.Size()
	}
	return size
}

// MergeRuns merges the runs of one message and returns how many entries changed the copy. A run that begins beyond the held entries
// of its origin leaves a gap: its entries are merged, and fetched again. Where an entry of the message could not be taken, no claim
// in it counts: that entry may be what superseded others.
func (s *Store) MergeRuns(now clock.Nanos, runs []OriginRun) int {
	changed, covered := 0, true
	var claims []OriginRun
	var span KeySpan
	for _, r := range runs {
		sound := r.From.Name != "" && r.From != s.settings.Self && r.Upto >= r.After
		for _, e := range r.Entries {
			if r.From != (Origin{}) && (e.From != r.From || e.Seq <= r.After) {
				sound, covered = false, false
				s.rejected++
				continue
			}
			if s.Merge(now, e) {
				changed++
			}
			covered = covered && (!s.isWellFormed(&e) || s.Covers(now, &e))
		}
		if sound && r.isClaim() {
			claims = append(claims, r)
		}
		span = r.Span
	}
	if !covered {
		s.withheld += uint64(len(claims))
		claims = nil
	}
	for _, r := range claims {
		for k := SessionCommit; k < kinds; k++ {
			s.evicted[k] = s.evicted[k] || r.Evicted.has(k)
		}
	}
	if span.isAll() {
		s.takeClaims(claims)
	} else {
		s.takePiece(span, claims)
	}
	return changed
}

// takeClaims moves the vector by claims for all keys.
func (s *Store) takeClaims(claims []OriginRun) {
	for _, r := range claims {
		if r.Span.isAll() && r.After <= s.seen[r.From] {
			s.raiseVector(r.From, r.Upto)
		}
	}
}

// takePiece adds a piece to the pass, and moves the vector once that is complete. A piece without claims takes the pass on too, so
// that what follows it is fetched.
func (s *Store) takePiece(span KeySpan, claims []OriginRun) {
	if !s.pass.add(span, claims) {
		return
	}
	for o, upto := range s.pass.upto {
		s.raiseVector(o, upto)
	}
	s.pass = fetchPass{}
}

// raiseVector records that all entries of an origin up to a number are covered.
func (s *Store) raiseVector(o Origin, upto uint64) {
	if _, known := s.seen[o]; known || len(s.seen) < s.settings.MaxOrigins {
		s.seen[o] = max(s.seen[o], upto)
	}
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
	s.draw()
	return out
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
