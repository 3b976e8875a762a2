package crdt

import (
	"cmp"
	"container/heap"
	"slices"

	"lotushook/policy/clock"
)

// storedEntry is an entry in the store.
type storedEntry struct {
	Entry
	learnedAt clock.Nanos // by this router's clock
	heapIndex int         // in its kind's heap; -1: it was evicted
	keyHash   uint64      // where its key lies on the circle of keys
}

// Store is one router's copy. It is not safe for concurrent use.
type Store struct {
	settings    Settings
	entries     map[entryID]*storedEntry
	piles       [kinds]entryHeap
	digests     [kinds]uint64
	evicted     [kinds]bool // an entry was evicted for lack of capacity
	seen        map[Origin]uint64
	logs        map[Origin]*log
	seq         uint64
	maxPosition int64 // the greatest position that this router learned itself; 0: none
	pending     []*storedEntry
	pass        fetchPass
	turn        uint32 // see draw
	rejected    uint64
	withheld    uint64
}

// log is what one origin learned, by number; an entry that was superseded stays until the log is compacted.
type log struct {
	list  []logged
	stale int
}

const maxStale = 64 // a log with fewer entries that are not held any more is not compacted

type logged struct {
	seq uint64
	h   *storedEntry
}

// New returns an empty copy.
func New(s Settings) (*Store, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	return &Store{settings: s, entries: map[entryID]*storedEntry{}, seen: map[Origin]uint64{}, logs: map[Origin]*log{}}, nil
}

// ObservePosition sets the greatest position that this router has learned by itself, in whichever store: positions far beyond it
// are rejected.
func (s *Store) ObservePosition(at int64) {
	if at <= s.maxPosition {
		return
	}
	first := s.maxPosition == 0
	if s.maxPosition = at; first {
		s.dropAhead()
	}
}

// Learn stores what this router itself has learned just now, and says whether anything is new.
func (s *Store) Learn(now clock.Nanos, e Entry) bool {
	h := s.learn(now, &e)
	if h == nil {
		return false
	}
	if len(s.pending) < s.settings.MaxPending {
		s.pending = append(s.pending, h)
	}
	return true
}

// LearnDurably is Learn for what another member must have before it counts: it returns the entry that is held then, this router's
// own or one that supersedes it, for its caller to send. None where there is no room for it.
func (s *Store) LearnDurably(now clock.Nanos, e Entry) (Entry, bool) {
	s.learn(now, &e)
	if h := s.entries[e.id()]; h != nil {
		return h.entryAt(now), true
	}
	return Entry{}, false
}

func (s *Store) learn(now clock.Nanos, e *Entry) *storedEntry {
	e.From, e.Age = s.settings.Self, 0
	e.Seq = s.seq + 1
	if e.Kind == SessionCommit || e.Kind == PrimaryClaim || e.Kind == ServerPosition {
		s.ObservePosition(e.At)
		old := s.entries[e.id()]
		same := old != nil && (e.Kind != PrimaryClaim || old.Server == e.Server && old.Born == e.Born)
		if same && (old.At >= e.At || e.Kind != SessionCommit && now-old.learnedAt < s.settings.MinLearnInterval) {
			return nil
		}
	}
	if e.Kind == FeedCursor { // repeated without a change, it would be sent for nothing
		if old := s.entries[e.id()]; old != nil && old.From == e.From && old.Count == e.Count && old.Born == e.Born && old.At == e.At && old.Acked == e.Acked {
			return nil
		}
	}
	h := s.merge(now, e)
	if h != nil {
		s.seq++
		s.seen[s.settings.Self] = s.seq
	}
	return h
}

// Last is this router's own latest entry: what Learn made of the entry that it took.
func (s *Store) Last() (Origin, uint64) { return s.settings.Self, s.seq }

// Holds says whether an entry is the one held for its key, whatever its origin.
func (s *Store) Holds(e Entry) bool {
	h := s.entries[e.id()]
	return h != nil && h.compare(&e) == 0
}

// dropAhead drops positions of the future that were received before this router knew better. What they had superseded is not held
// any more, so nothing is known to be complete: all is fetched again.
func (s *Store) dropAhead() {
	dropped := false
	for _, h := range s.entries {
		if h.Kind <= ServerPosition && h.At > s.maxPosition+s.settings.MaxAhead {
			s.remove(h)
			s.rejected++
			dropped = true
		}
	}
	if !dropped {
		return
	}
	for o, l := range s.logs {
		if o == s.settings.Self {
			continue
		}
		l.compact()
		delete(s.seen, o)
	}
	s.pass = fetchPass{}
}

// Merge joins an entry that a peer sent, and says whether it changed anything.
func (s *Store) Merge(now clock.Nanos, e Entry) bool {
	switch {
	case !s.isWellFormed(&e) || s.isAhead(&e):
		s.rejected++
		return false
	case s.hasExpired(&e):
		return false
	}
	changed := s.merge(now, &e) != nil
	if h := s.entries[e.id()]; h != nil && e.compare(&h.Entry) <= 0 {
		s.advanceVector(&e)
	}
	return changed
}

// isWellFormed says whether an entry can be right at all: no copy holds one that is not.
func (s *Store) isWellFormed(e *Entry) bool {
	switch {
	case e.Kind < SessionCommit || e.Kind >= kinds || e.From.Name == "" || e.Seq == 0 || e.Age < 0:
		return false
	case e.From == s.settings.Self && e.Seq > s.seq:
		return false
	case max(len(e.A), len(e.B), len(e.Server), len(e.From.Name)) > s.settings.MaxText:
		return false
	}
	return e.Kind != FeedCursor || e.Count >= 1 && e.At >= e.Acked && e.Acked >= -1
}

// isAhead says whether an entry's position is too far in the future to be believed; a cursor's is checked against its feed.
func (s *Store) isAhead(e *Entry) bool {
	return s.maxPosition > 0 && e.Kind != FeedCursor && e.At > s.maxPosition+s.settings.MaxAhead
}

// hasExpired says whether an entry's window is over.
func (s *Store) hasExpired(e *Entry) bool {
	switch e.Kind {
	case PendingWrite:
		return e.Age >= s.settings.WriteWindow
	case Hint:
		return e.Age >= s.settings.HintLifetime
	case SheddingLevel:
		return e.Age >= s.settings.LevelLifetime
	}
	return false
}

// advanceVector records an entry that came by itself, where all entries before it of its origin were had: it need not be fetched again.
func (s *Store) advanceVector(e *Entry) {
	seen, known := s.seen[e.From]
	if e.From == s.settings.Self || e.Seq != seen+1 || !known && len(s.seen) >= s.settings.MaxOrigins {
		return
	}
	s.seen[e.From] = e.Seq
	if l := s.logs[e.From]; l != nil { // and those after it that came before it
		at, _ := slices.BinarySearchFunc(l.list, e.Seq+1, func(x logged, seq uint64) int { return cmp.Compare(x.seq, seq) })
		for ; at < len(l.list) && l.list[at].seq == s.seen[e.From]+1; at++ {
			s.seen[e.From]++
		}
	}
}

// Covers says whether this copy needs nothing more for an entry: it is held, or superseded, or has
// expired, or would be evicted first for lack of capacity.
func (s *Store) Covers(now clock.Nanos, e *Entry) bool {
	if h := s.entries[e.id()]; h != nil {
		return e.compare(&h.Entry) <= 0
	}
	if s.hasExpired(e) {
		return true
	}
	kind := min(e.Kind, kinds-1)
	p := s.piles[kind]
	return s.evicted[kind] && len(p) > 0 && (&storedEntry{Entry: *e, learnedAt: now - e.Age}).rank(p[0]) < 0
}

// merge puts an entry in place of a lesser one; nil if the greater one is there, or no room.
func (s *Store) merge(now clock.Nanos, e *Entry) *storedEntry {
	key := e.id()
	old := s.entries[key]
	at := now - e.Age
	if old != nil {
		if e.Kind == PendingWrite && at > old.learnedAt { // it may have run later than was known
			old.learnedAt = at
			heap.Fix(&s.piles[e.Kind], old.heapIndex)
		}
		if e.compare(&old.Entry) <= 0 {
			return nil
		}
		if e.Kind == PendingWrite {
			at = max(at, old.learnedAt)
		}
	}
	if _, ok := s.logs[e.From]; !ok && len(s.logs) >= s.settings.MaxOrigins && !s.forgetOrigin() {
		s.rejected++
		return nil
	}
	h := &storedEntry{Entry: *e, learnedAt: at, keyHash: e.keyHash()}
	p := &s.piles[e.Kind]
	if old == nil && len(*p) >= s.settings.MaxEntries[e.Kind] {
		s.evicted[e.Kind] = true
		if h.rank((*p)[0]) < 0 {
			return nil
		}
		s.remove((*p)[0])
	} else if old != nil {
		s.remove(old)
	}
	s.entries[key] = h
	heap.Push(p, h)
	s.digests[e.Kind] += h.hash()
	l := s.logs[e.From]
	if l == nil {
		l = &log{}
		s.logs[e.From] = l
	}
	at2, _ := slices.BinarySearchFunc(l.list, e.Seq, func(x logged, seq uint64) int { return cmp.Compare(x.seq, seq) })
	l.list = slices.Insert(l.list, at2, logged{e.Seq, h})
	return h
}

// forgetOrigin makes room: an origin without entries is dropped.
func (s *Store) forgetOrigin() bool {
	for o, l := range s.logs {
		if o != s.settings.Self && !slices.ContainsFunc(l.list, func(x logged) bool { return x.h.heapIndex >= 0 }) {
			delete(s.logs, o)
			delete(s.seen, o)
			return true
		}
	}
	return false
}

// remove removes an entry.
func (s *Store) remove(h *storedEntry) {
	delete(s.entries, h.id())
	heap.Remove(&s.piles[h.Kind], h.heapIndex)
	h.heapIndex = -1
	s.digests[h.Kind] -= h.hash()
	l := s.logs[h.From]
	if l.stale++; l.stale > maxStale && l.stale > len(l.list)/2 {
		l.compact()
	}
}

// compact removes entries that are not held any more.
func (l *log) compact() {
	l.list = slices.DeleteFunc(l.list, func(x logged) bool { return x.h.heapIndex < 0 })
	l.stale = 0
}

// Expire drops writes, hints and levels that have expired.
func (s *Store) Expire(now clock.Nanos) {
	for kind, span := range map[Kind]clock.Nanos{PendingWrite: s.settings.WriteWindow, Hint: s.settings.HintLifetime, SheddingLevel: s.settings.LevelLifetime} {
		for p := s.piles[kind]; len(p) > 0 && now-p[0].learnedAt >= span; p = s.piles[kind] {
			s.remove(p[0])
		}
	}
}

// Digest says whether two copies hold the same entries of a kind.
func (s *Store) Digest(k Kind) uint64 { return s.digests[k] }

// Size is how many entries of a kind are held.
func (s *Store) Size(k Kind) int { return len(s.piles[k]) }

// Sum is over all kinds: equal where two copies hold the same.
func (s *Store) Sum() (sum uint64) {
	for _, d := range s.digests {
		sum += d
	}
	return sum
}

// Withheld counts claims of runs that did not count, as an entry that came with them could not be taken.
func (s *Store) Withheld() uint64 { return s.withheld }

// Rejected counts received entries that can't be right, or of more origins than are remembered.
func (s *Store) Rejected() uint64 { return s.rejected }
