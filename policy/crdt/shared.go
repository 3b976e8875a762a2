package crdt

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// id is what an entry is of: two entries of one id are joined.
type id struct {
	kind Kind
	a, b string
	born int64
	from Origin
}

func (e *Entry) id() id {
	i := id{kind: e.Kind, a: e.A, b: e.B}
	switch e.Kind {
	case Position:
		i.born = e.Born
	case Use, Hint, Level:
		i.from = e.From
	}
	return i
}

// held is an entry as it is kept.
type held struct {
	Entry
	at    Nanos // when it was learned, by this router's clock
	place int   // in its kind's heap; -1: it was let go
}

// compare orders two entries of one id: the greater one holds. It does not look at ages, which differ by the ways they came.
func (e *Entry) compare(f *Entry) int {
	switch e.Kind {
	case Session, Position:
		return cmp.Or(cmp.Compare(e.At, f.At), e.dot(f))
	case Primary:
		return cmp.Or(cmp.Compare(e.At, f.At), cmp.Compare(e.Born, f.Born), cmp.Compare(e.Server, f.Server), e.dot(f))
	case Use:
		return cmp.Or(cmp.Compare(e.Count, f.Count), cmp.Compare(e.Seq, f.Seq))
	case Cursor: // generation and who raised it, history by ancestry, position
		return cmp.Or(cmp.Compare(e.Count, f.Count), e.From.compare(f.From), cmp.Compare(uint64(e.Born), uint64(f.Born)), cmp.Compare(e.At, f.At),
			cmp.Compare(e.Acked, f.Acked), cmp.Compare(e.Seq, f.Seq))
	}
	return e.dot(f)
}

func (e *Entry) dot(f *Entry) int { return cmp.Or(e.From.compare(f.From), cmp.Compare(e.Seq, f.Seq)) }

// rank orders the entries of a kind: the least is let go first. Where joins only raise it, what is kept in the end does not
// depend on the order in which entries came.
func (h *held) rank(g *held) int {
	first := 0
	switch h.Kind {
	case Write, Hint, Level:
		first = cmp.Compare(h.at, g.at)
	case Use, Cursor: // a cursor's generation begins at the position of its last reconnect: the oldest go first
		first = cmp.Compare(h.Count, g.Count)
	default:
		first = cmp.Compare(h.At, g.At)
	}
	return cmp.Or(first, cmp.Compare(h.A, g.A), cmp.Compare(h.B, g.B), cmp.Compare(h.Born, g.Born), h.From.compare(g.From), cmp.Compare(h.Server, g.Server))
}

// pile is one kind's entries, the least first.
type pile []*held

func (p pile) Len() int           { return len(p) }
func (p pile) Less(i, j int) bool { return p[i].rank(p[j]) < 0 }
func (p pile) Swap(i, j int)      { p[i], p[j] = p[j], p[i]; p[i].place, p[j].place = i, j }
func (p *pile) Push(x any)        { h := x.(*held); h.place = len(*p); *p = append(*p, h) }
func (p *pile) Pop() any {
	old := *p
	h := old[len(old)-1]
	h.place = -1
	*p = old[:len(old)-1]
	return h
}

// Store is one router's copy. It belongs to one goroutine.
type Store struct {
	set     Settings
	entries map[id]*held
	piles   [kinds]pile
	digests [kinds]uint64
	full    [kinds]bool // something was let go for want of room
	seen    map[Origin]uint64
	logs    map[Origin]*log
	seq     uint64
	top     int64 // the greatest position that this router learned itself; 0: none
	fresh   []*held
	turn    uint32 // of the entries that are told though what was before them is not known
	refused uint64
}

// log is what one origin learned, by number; an entry that was joined away stays until the log is tidied.
type log struct {
	list  []logged
	stale int
}

type logged struct {
	seq uint64
	h   *held
}

// New returns an empty copy.
func New(s Settings) (*Store, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return &Store{set: s, entries: map[id]*held{}, seen: map[Origin]uint64{}, logs: map[Origin]*log{}}, nil
}

// Know says which position is the greatest that this router has learned by itself, in whichever store: what is far beyond it
// is not believed.
func (s *Store) Know(at int64) {
	if at <= s.top {
		return
	}
	first := s.top == 0
	if s.top = at; first {
		s.purge()
	}
}

// Learn takes in what this router itself has learned just now, and says whether anything is new.
func (s *Store) Learn(now Nanos, e Entry) bool {
	h := s.learn(now, &e)
	if h == nil {
		return false
	}
	if len(s.fresh) < s.set.Fresh {
		s.fresh = append(s.fresh, h)
	}
	return true
}

// Assure is Learn for what another member must have before it counts: it returns the entry that is held then, this router's
// own or one that goes before it, for its caller to push. None where there is no room for it.
func (s *Store) Assure(now Nanos, e Entry) (Entry, bool) {
	s.learn(now, &e)
	if h := s.entries[e.id()]; h != nil {
		return h.told(now), true
	}
	return Entry{}, false
}

func (s *Store) learn(now Nanos, e *Entry) *held {
	e.From, e.Age = s.set.Self, 0
	e.Seq = s.seq + 1
	if e.Kind == Session || e.Kind == Primary || e.Kind == Position {
		s.Know(e.At)
		old := s.entries[e.id()]
		same := old != nil && (e.Kind != Primary || old.Server == e.Server && old.Born == e.Born)
		if same && (old.At >= e.At || e.Kind != Session && now-old.at < s.set.Pace) {
			return nil
		}
	}
	if e.Kind == Cursor { // told again without news, it would travel for nothing
		if old := s.entries[e.id()]; old != nil && old.From == e.From && old.Count == e.Count && old.Born == e.Born && old.At == e.At && old.Acked == e.Acked {
			return nil
		}
	}
	h := s.join(now, e)
	if h != nil {
		s.seq++
		s.seen[s.set.Self] = s.seq
	}
	return h
}

// Last is the last word of this router's own: it is what Learn made of the entry that it took.
func (s *Store) Last() (Origin, uint64) { return s.set.Self, s.seq }

// Holds says whether an entry is what is held of its key, whoever said it first.
func (s *Store) Holds(e Entry) bool {
	h := s.entries[e.id()]
	return h != nil && h.compare(&e) == 0
}

// purge drops what was told of the future before this router knew better.
func (s *Store) purge() {
	for _, h := range s.entries {
		if h.Kind <= Position && h.At > s.top+s.set.Future {
			s.drop(h)
			s.refused++
		}
	}
}

// Take joins an entry that somebody else told, and says whether it changed anything.
func (s *Store) Take(now Nanos, e Entry) bool {
	switch {
	case e.Kind < Session || e.Kind >= kinds || e.From.Name == "" || e.Seq == 0 || e.Age < 0, e.From == s.set.Self && e.Seq > s.seq,
		max(len(e.A), len(e.B), len(e.Server), len(e.From.Name)) > s.set.MostText,
		e.Kind == Cursor && (e.Count < 1 || e.At < e.Acked || e.Acked < -1), s.top > 0 && e.Kind != Cursor && e.At > s.top+s.set.Future: // a cursor is held against its feed
		s.refused++
		return false
	case e.Kind == Write && e.Age >= s.set.Window, e.Kind == Hint && e.Age >= s.set.HintFor, e.Kind == Level && e.Age >= s.set.LevelFor:
		return false
	}
	changed := s.join(now, &e) != nil
	if h := s.entries[e.id()]; h != nil && e.compare(&h.Entry) <= 0 {
		s.next(&e)
	}
	return changed
}

// next notes an entry that came by itself, where everything before it of its origin was had: it need not be asked for again.
func (s *Store) next(e *Entry) {
	seen, known := s.seen[e.From]
	if e.From == s.set.Self || e.Seq != seen+1 || !known && len(s.seen) >= s.set.Origins {
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
func (s *Store) Covers(now Nanos, e *Entry) bool {
	if h := s.entries[e.id()]; h != nil {
		return e.compare(&h.Entry) <= 0
	}
	p := s.piles[min(e.Kind, kinds-1)]
	return e.Kind == Write && e.Age >= s.set.Window || e.Kind == Hint && e.Age >= s.set.HintFor ||
		s.full[min(e.Kind, kinds-1)] && len(p) > 0 && (&held{Entry: *e, at: now - e.Age}).rank(p[0]) < 0
}

// join puts an entry in place of a lesser one; nil if the greater one is there, or no room.
func (s *Store) join(now Nanos, e *Entry) *held {
	key := e.id()
	old := s.entries[key]
	at := now - e.Age
	if old != nil {
		if e.Kind == Write && at > old.at { // it may have run later than was known
			old.at = at
			heap.Fix(&s.piles[e.Kind], old.place)
		}
		if e.compare(&old.Entry) <= 0 {
			return nil
		}
		if e.Kind == Write {
			at = max(at, old.at)
		}
	}
	if _, ok := s.logs[e.From]; !ok && len(s.logs) >= s.set.Origins && !s.forgetOrigin() {
		s.refused++
		return nil
	}
	h := &held{Entry: *e, at: at}
	p := &s.piles[e.Kind]
	if old == nil && len(*p) >= s.set.Most[e.Kind] {
		s.full[e.Kind] = true
		if h.rank((*p)[0]) < 0 {
			return nil
		}
		s.drop((*p)[0])
	} else if old != nil {
		s.drop(old)
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
		if o != s.set.Self && !slices.ContainsFunc(l.list, func(x logged) bool { return x.h.place >= 0 }) {
			delete(s.logs, o)
			delete(s.seen, o)
			return true
		}
	}
	return false
}

// drop takes an entry out.
func (s *Store) drop(h *held) {
	delete(s.entries, h.id())
	heap.Remove(&s.piles[h.Kind], h.place)
	h.place = -1
	s.digests[h.Kind] -= h.hash()
	l := s.logs[h.From]
	if l.stale++; l.stale > 64 && l.stale > len(l.list)/2 {
		l.list = slices.DeleteFunc(l.list, func(x logged) bool { return x.h.place < 0 })
		l.stale = 0
	}
}

// hash is over all that is joined, and not the age.
func (h *held) hash() uint64 {
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

// Tick forgets writes, hints and levels whose time is over.
func (s *Store) Tick(now Nanos) {
	for kind, span := range map[Kind]Nanos{Write: s.set.Window, Hint: s.set.HintFor, Level: s.set.LevelFor} {
		for p := s.piles[kind]; len(p) > 0 && now-p[0].at >= span; p = s.piles[kind] {
			s.drop(p[0])
		}
	}
}

// Commit is the position that a session's reads must see. Of a session that is not known it is the least that any known
// one has, once some were let go: a read then waits for a server that is fresh enough for whichever it was.
func (s *Store) Commit(group, session string) (at int64, known bool) {
	if h := s.entries[id{kind: Session, a: group, b: session}]; h != nil {
		return h.At, true
	}
	if p := s.piles[Session]; s.full[Session] && len(p) > 0 {
		return p[0].At, false
	}
	return 0, false
}

// Cursor is what is known of a subscriber of a feed; forgot says that some cursors were let go, so that this one may have been
// among them.
func (s *Store) Cursor(now Nanos, feed, subscriber string) (e Entry, known, forgot bool) {
	if h := s.entries[id{kind: Cursor, a: feed, b: subscriber}]; h != nil {
		return h.told(now), true, false
	}
	return Entry{}, false, s.full[Cursor]
}

// Primary is who is believed to be a group's primary: a start of a server, and at which position that was seen.
func (s *Store) Primary(group string) (server string, born, at int64) {
	if h := s.entries[id{kind: Primary, a: group}]; h != nil {
		return h.Server, h.Born, h.At
	}
	return "", 0, 0
}

// Applied is how far a server has applied the log since a start, how long ago that was learned, and whether by this router
// itself; 0: not known.
func (s *Store) Applied(now Nanos, server string, born int64) (at int64, age Nanos, own bool) {
	if h := s.entries[id{kind: Position, a: server, born: born}]; h != nil {
		return h.At, now - h.at, h.From == s.set.Self
	}
	return 0, 0, false
}

// MayHaveRun says whether a keyed write may have run somewhere within its window.
func (s *Store) MayHaveRun(now Nanos, class, key string) bool {
	h := s.entries[id{kind: Write, a: class, b: key}]
	return h != nil && now-h.at < s.set.Window
}

// Used is what all processes together have used of a team's contract, in thousandths.
func (s *Store) Used(team, class string) int64 {
	sum := int64(0)
	for _, h := range s.piles[Use] {
		if h.A == team && h.B == class {
			sum += h.Count
		}
	}
	return sum
}

// Hints are the origins that say something of a name, and how long ago each learned it.
func (s *Store) Hints(now Nanos, what string) map[Origin]Nanos {
	out := map[Origin]Nanos{}
	for _, h := range s.piles[Hint] {
		if h.A == what && now-h.at < s.set.HintFor {
			out[h.From] = now - h.at
		}
	}
	return out
}

// Levels are the words of all origins that are not forgotten yet, with their ages.
func (s *Store) Levels(now Nanos) []Entry {
	var out []Entry
	for _, h := range s.piles[Level] {
		if now-h.at < s.set.LevelFor {
			out = append(out, h.told(now))
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

// Refused counts what was told and can't be right, or of more processes than are remembered.
func (s *Store) Refused() uint64 { return s.refused }
