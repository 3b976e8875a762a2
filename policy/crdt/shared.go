package crdt

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"lotushook/policy/clock"
	"slices"
)

// entryID is what an entry is of: two entries of one id are joined.
type entryID struct {
	kind Kind
	a, b string
	born int64
	from Origin
}

func (e *Entry) id() entryID {
	i := entryID{kind: e.Kind, a: e.A, b: e.B}
	switch e.Kind {
	case ServerPosition:
		i.born = e.Born
	case Usage, Hint, SheddingLevel:
		i.from = e.From
	}
	return i
}

// storedEntry is an entry as it is kept.
type storedEntry struct {
	Entry
	learnedAt clock.Nanos // when it was learned, by this router's clock
	heapIndex int         // in its kind's heap; -1: it was let go
}

// compare orders two entries of one id: the greater one holds. It does not look at ages, which differ by the ways they came.
func (e *Entry) compare(f *Entry) int {
	switch e.Kind {
	case SessionCommit, ServerPosition:
		return cmp.Or(cmp.Compare(e.At, f.At), e.compareVersion(f))
	case PrimaryClaim:
		return cmp.Or(cmp.Compare(e.At, f.At), cmp.Compare(e.Born, f.Born), cmp.Compare(e.Server, f.Server), e.compareVersion(f))
	case Usage:
		return cmp.Or(cmp.Compare(e.Count, f.Count), cmp.Compare(e.Seq, f.Seq))
	case FeedCursor: // generation and who raised it, history by ancestry, position
		return cmp.Or(cmp.Compare(e.Count, f.Count), e.From.compare(f.From), cmp.Compare(uint64(e.Born), uint64(f.Born)), cmp.Compare(e.At, f.At),
			cmp.Compare(e.Acked, f.Acked), cmp.Compare(e.Seq, f.Seq))
	}
	return e.compareVersion(f)
}

func (e *Entry) compareVersion(f *Entry) int {
	return cmp.Or(e.From.compare(f.From), cmp.Compare(e.Seq, f.Seq))
}

// rank orders the entries of a kind: the least is let go first. Where joins only raise it, what is kept in the end does not
// depend on the order in which entries came.
func (h *storedEntry) rank(g *storedEntry) int {
	first := 0
	switch h.Kind {
	case PendingWrite, Hint, SheddingLevel:
		first = cmp.Compare(h.learnedAt, g.learnedAt)
	case Usage, FeedCursor: // a cursor's generation begins at the position of its last reconnect: the oldest go first
		first = cmp.Compare(h.Count, g.Count)
	default:
		first = cmp.Compare(h.At, g.At)
	}
	return cmp.Or(first, cmp.Compare(h.A, g.A), cmp.Compare(h.B, g.B), cmp.Compare(h.Born, g.Born), h.From.compare(g.From), cmp.Compare(h.Server, g.Server))
}

// entryHeap is one kind's entries, the least first.
type entryHeap []*storedEntry

func (p entryHeap) Len() int           { return len(p) }
func (p entryHeap) Less(i, j int) bool { return p[i].rank(p[j]) < 0 }
func (p entryHeap) Swap(i, j int)      { p[i], p[j] = p[j], p[i]; p[i].heapIndex, p[j].heapIndex = i, j }
func (p *entryHeap) Push(x any)        { h := x.(*storedEntry); h.heapIndex = len(*p); *p = append(*p, h) }
func (p *entryHeap) Pop() any {
	old := *p
	h := old[len(old)-1]
	h.heapIndex = -1
	*p = old[:len(old)-1]
	return h
}

// Store is one router's copy. It belongs to one goroutine.
type Store struct {
	settings    Settings
	entries     map[entryID]*storedEntry
	piles       [kinds]entryHeap
	digests     [kinds]uint64
	evicted     [kinds]bool // something was let go for want of room
	seen        map[Origin]uint64
	logs        map[Origin]*log
	seq         uint64
	maxPosition int64 // the greatest position that this router learned itself; 0: none
	pending     []*storedEntry
	turn        uint32 // of the entries that are told though what was before them is not known
	rejected    uint64
}

// log is what one origin learned, by number; an entry that was joined away stays until the log is tidied.
type log struct {
	list  []logged
	stale int
}

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

// ObservePosition says which position is the greatest that this router has learned by itself, in whichever store: what is far beyond it
// is not believed.
func (s *Store) ObservePosition(at int64) {
	if at <= s.maxPosition {
		return
	}
	first := s.maxPosition == 0
	if s.maxPosition = at; first {
		s.dropAhead()
	}
}

// Learn takes in what this router itself has learned just now, and says whether anything is new.
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
// own or one that goes before it, for its caller to push. None where there is no room for it.
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
	if e.Kind == FeedCursor { // told again without news, it would travel for nothing
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

// Last is the last word of this router's own: it is what Learn made of the entry that it took.
func (s *Store) Last() (Origin, uint64) { return s.settings.Self, s.seq }

// Holds says whether an entry is what is held of its key, whoever said it first.
func (s *Store) Holds(e Entry) bool {
	h := s.entries[e.id()]
	return h != nil && h.compare(&e) == 0
}

// dropAhead drops what was told of the future before this router knew better.
func (s *Store) dropAhead() {
	for _, h := range s.entries {
		if h.Kind <= ServerPosition && h.At > s.maxPosition+s.settings.MaxAhead {
			s.remove(h)
			s.rejected++
		}
	}
}

// Merge joins an entry that somebody else told, and says whether it changed anything.
func (s *Store) Merge(now clock.Nanos, e Entry) bool {
	switch {
	case e.Kind < SessionCommit || e.Kind >= kinds || e.From.Name == "" || e.Seq == 0 || e.Age < 0, e.From == s.settings.Self && e.Seq > s.seq,
		max(len(e.A), len(e.B), len(e.Server), len(e.From.Name)) > s.settings.MaxText,
		e.Kind == FeedCursor && (e.Count < 1 || e.At < e.Acked || e.Acked < -1), s.maxPosition > 0 && e.Kind != FeedCursor && e.At > s.maxPosition+s.settings.MaxAhead: // a cursor is held against its feed
		s.rejected++
		return false
	case e.Kind == PendingWrite && e.Age >= s.settings.WriteWindow, e.Kind == Hint && e.Age >= s.settings.HintLifetime, e.Kind == SheddingLevel && e.Age >= s.settings.LevelLifetime:
		return false
	}
	changed := s.merge(now, &e) != nil
	if h := s.entries[e.id()]; h != nil && e.compare(&h.Entry) <= 0 {
		s.advanceVector(&e)
	}
	return changed
}

// advanceVector notes an entry that came by itself, where everything before it of its origin was had: it need not be asked for again.
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

// Covers says whether this copy needs nothing more for an entry: it is held, or something that goes before it, or its time is
// over, or it would be the first to go for want of room.
func (s *Store) Covers(now clock.Nanos, e *Entry) bool {
	if h := s.entries[e.id()]; h != nil {
		return e.compare(&h.Entry) <= 0
	}
	p := s.piles[min(e.Kind, kinds-1)]
	return e.Kind == PendingWrite && e.Age >= s.settings.WriteWindow || e.Kind == Hint && e.Age >= s.settings.HintLifetime ||
		s.evicted[min(e.Kind, kinds-1)] && len(p) > 0 && (&storedEntry{Entry: *e, learnedAt: now - e.Age}).rank(p[0]) < 0
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
	h := &storedEntry{Entry: *e, learnedAt: at}
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

// forgetOrigin makes room: a process goes of whose words nothing is left.
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

// remove takes an entry out.
func (s *Store) remove(h *storedEntry) {
	delete(s.entries, h.id())
	heap.Remove(&s.piles[h.Kind], h.heapIndex)
	h.heapIndex = -1
	s.digests[h.Kind] -= h.hash()
	l := s.logs[h.From]
	if l.stale++; l.stale > 64 && l.stale > len(l.list)/2 {
		l.list = slices.DeleteFunc(l.list, func(x logged) bool { return x.h.heapIndex < 0 })
		l.stale = 0
	}
}

// hash is over all that is joined, and not the age.
func (h *storedEntry) hash() uint64 {
	x := fnv.New64a()
	buf := []byte{byte(h.Kind)}
	for _, text := range []string{h.A, h.B, h.Server, h.From.Name} {
		buf = append(append(buf, text...), 0xff)
	}
	for _, n := range []uint64{h.From.Boot, h.Seq, uint64(h.Born), uint64(h.At), uint64(h.Acked), uint64(h.Count)} {
		buf = binary.LittleEndian.AppendUint64(buf, n)
	}
	x.Write(buf)
	return x.Sum64()
}

// Expire forgets writes, hints and levels whose time is over.
func (s *Store) Expire(now clock.Nanos) {
	for kind, span := range map[Kind]clock.Nanos{PendingWrite: s.settings.WriteWindow, Hint: s.settings.HintLifetime, SheddingLevel: s.settings.LevelLifetime} {
		for p := s.piles[kind]; len(p) > 0 && now-p[0].learnedAt >= span; p = s.piles[kind] {
			s.remove(p[0])
		}
	}
}

// CommitPosition is the position that a session's reads must see. Of a session that is not known it is the least that any known
// one has, once some were let go: a read then waits for a server that is fresh enough for whichever it was.
func (s *Store) CommitPosition(group, session string) (at int64, known bool) {
	if h := s.entries[entryID{kind: SessionCommit, a: group, b: session}]; h != nil {
		return h.At, true
	}
	if p := s.piles[SessionCommit]; s.evicted[SessionCommit] && len(p) > 0 {
		return p[0].At, false
	}
	return 0, false
}

// FeedCursor is what is known of a subscriber of a feed; forgot says that some cursors were let go, so that this one may have been
// among them.
func (s *Store) Cursor(now clock.Nanos, feed, subscriber string) (e Entry, known, forgot bool) {
	if h := s.entries[entryID{kind: FeedCursor, a: feed, b: subscriber}]; h != nil {
		return h.entryAt(now), true, false
	}
	return Entry{}, false, s.evicted[FeedCursor]
}

// PrimaryClaim is who is believed to be a group's primary: a start of a server, and at which position that was seen.
func (s *Store) Primary(group string) (server string, born, at int64) {
	if h := s.entries[entryID{kind: PrimaryClaim, a: group}]; h != nil {
		return h.Server, h.Born, h.At
	}
	return "", 0, 0
}

// AppliedPosition is how far a server has applied the log since a start, how long ago that was learned, and whether by this router
// itself; 0: not known.
func (s *Store) AppliedPosition(now clock.Nanos, server string, born int64) (at int64, age clock.Nanos, own bool) {
	if h := s.entries[entryID{kind: ServerPosition, a: server, born: born}]; h != nil {
		return h.At, now - h.learnedAt, h.From == s.settings.Self
	}
	return 0, 0, false
}

// MayHaveRun says whether a keyed write may have run somewhere within its window.
func (s *Store) MayHaveRun(now clock.Nanos, class, key string) bool {
	h := s.entries[entryID{kind: PendingWrite, a: class, b: key}]
	return h != nil && now-h.learnedAt < s.settings.WriteWindow
}

// Usage is what all processes together have used of a team's contract, in thousandths.
func (s *Store) Usage(team, class string) int64 {
	sum := int64(0)
	for _, h := range s.piles[Usage] {
		if h.A == team && h.B == class {
			sum += h.Count
		}
	}
	return sum
}

// Hints are the origins that say something of a name, and how long ago each learned it.
func (s *Store) Hints(now clock.Nanos, what string) map[Origin]clock.Nanos {
	out := map[Origin]clock.Nanos{}
	for _, h := range s.piles[Hint] {
		if h.A == what && now-h.learnedAt < s.settings.HintLifetime {
			out[h.From] = now - h.learnedAt
		}
	}
	return out
}

// SheddingLevels are the words of all origins that are not forgotten yet, with their ages.
func (s *Store) SheddingLevels(now clock.Nanos) []Entry {
	var out []Entry
	for _, h := range s.piles[SheddingLevel] {
		if now-h.learnedAt < s.settings.LevelLifetime {
			out = append(out, h.entryAt(now))
		}
	}
	return out
}

// Digest tells whether two copies hold the same of a kind.
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

// Rejected counts what was told and can't be right, or of more processes than are remembered.
func (s *Store) Rejected() uint64 { return s.rejected }
