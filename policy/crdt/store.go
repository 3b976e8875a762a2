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
	learnedAt clock.Nanos // on this router's clock
	heapIndex int         // in the heap of its kind; -1 once it has been removed
	keyHash   uint64      // position of its key on the circle of key hashes
}

// Store is one router's copy of the replicated state. It is not safe for concurrent use.
type Store struct {
	settings Settings
	entries  map[entryID]*storedEntry
	heaps    [kindCount]entryHeap
	digests  [kindCount]uint64
	// By kind: whether an entry was evicted for lack of capacity, here or at a member whose claim this copy accepted.
	evicted        [kindCount]bool
	seenUpTo       map[Origin]uint64
	logs           map[Origin]*originLog
	lastSeq        uint64
	maxPosition    int64 // the greatest position that this router has learned itself; 0: none
	pending        []*storedEntry
	pass           fetchPass
	randomState    uint32 // state of the generator nextRandom
	rejected       uint64
	withheldClaims uint64
}

// originLog lists the entries that one origin learned, ordered by sequence number. Superseded entries stay until the
// log is compacted.
type originLog struct {
	entries      []logEntry
	removedCount int
}

const maxUncompacted = 64 // a log with at most this many removed entries is not compacted

type logEntry struct {
	seq    uint64
	stored *storedEntry
}

// New returns an empty store.
func New(settings Settings) (*Store, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &Store{settings: settings, entries: map[entryID]*storedEntry{}, seenUpTo: map[Origin]uint64{}, logs: map[Origin]*originLog{}}, nil
}

// ObservePosition raises the greatest position that this router has learned itself, in any of its stores. Positions far
// beyond it are rejected.
func (store *Store) ObservePosition(position int64) {
	if position <= store.maxPosition {
		return
	}
	isFirst := store.maxPosition == 0
	if store.maxPosition = position; isFirst {
		store.dropAhead()
	}
}

// Learn stores an entry that this router has just learned and reports whether it is new.
func (store *Store) Learn(now clock.Nanos, entry Entry) bool {
	stored := store.learn(now, &entry)
	if stored == nil {
		return false
	}
	if len(store.pending) < store.settings.MaxPending {
		store.pending = append(store.pending, stored)
	}
	return true
}

// LearnDurably is like Learn, for an entry that the caller relies on only once another member holds it as well. It
// returns the entry that is stored afterwards, which is either the given one or one that supersedes it. The caller has
// to send that entry to other members. LearnDurably returns false if there is no capacity for the entry.
func (store *Store) LearnDurably(now clock.Nanos, entry Entry) (Entry, bool) {
	store.learn(now, &entry)
	if stored := store.entries[entry.id()]; stored != nil {
		return stored.withAge(now), true
	}
	return Entry{}, false
}

func (store *Store) learn(now clock.Nanos, entry *Entry) *storedEntry {
	entry.From, entry.Age = store.settings.Self, 0
	entry.Seq = store.lastSeq + 1
	if entry.Kind == SessionCommit || entry.Kind == PrimaryClaim || entry.Kind == ServerPosition {
		store.ObservePosition(entry.At)
		old := store.entries[entry.id()]
		sameClaim := old != nil && (entry.Kind != PrimaryClaim || old.Server == entry.Server && old.Born == entry.Born)
		if sameClaim && (old.At >= entry.At || entry.Kind != SessionCommit && now-old.learnedAt < store.settings.MinLearnInterval) {
			return nil
		}
	}
	if entry.Kind == FeedCursor { // sending an unchanged cursor again would be useless
		if old := store.entries[entry.id()]; old != nil && old.From == entry.From && old.Count == entry.Count && old.Born == entry.Born && old.At == entry.At && old.Acked == entry.Acked {
			return nil
		}
	}
	stored := store.merge(now, entry)
	if stored != nil {
		store.lastSeq++
		store.seenUpTo[store.settings.Self] = store.lastSeq
	}
	return stored
}

// LastLearned returns this router's origin and the sequence number of the entry that it learned last.
func (store *Store) LastLearned() (Origin, uint64) { return store.settings.Self, store.lastSeq }

// Holds reports whether the stored entry with the same ID equals the given one in the merge order.
func (store *Store) Holds(entry Entry) bool {
	stored := store.entries[entry.id()]
	return stored != nil && stored.compare(&entry) == 0
}

// dropAhead removes positions too far in the future that were received before this router knew a position of its own.
// The entries that they superseded are gone, so the copy can't claim to be complete for any origin and everything is
// fetched again.
func (store *Store) dropAhead() {
	dropped := false
	for _, stored := range store.entries {
		if stored.Kind <= ServerPosition && stored.At > store.maxPosition+store.settings.MaxAhead {
			store.remove(stored)
			store.rejected++
			dropped = true
		}
	}
	if !dropped {
		return
	}
	for origin, log := range store.logs {
		if origin == store.settings.Self {
			continue
		}
		log.compact()
		delete(store.seenUpTo, origin)
	}
	store.pass = fetchPass{}
}

// Merge joins an entry that a peer sent and reports whether the store changed.
func (store *Store) Merge(now clock.Nanos, entry Entry) bool {
	switch {
	case !store.isWellFormed(&entry) || store.isAhead(&entry):
		store.rejected++
		return false
	case store.hasExpired(&entry):
		return false
	}
	changed := store.merge(now, &entry) != nil
	if stored := store.entries[entry.id()]; stored != nil && entry.compare(&stored.Entry) <= 0 {
		store.advanceVector(&entry)
	}
	return changed
}

// isWellFormed reports whether an entry can be valid at all. Malformed entries are never stored.
func (store *Store) isWellFormed(entry *Entry) bool {
	switch {
	case entry.Kind < SessionCommit || entry.Kind >= kindCount || entry.From.Name == "" || entry.Seq == 0 || entry.Age < 0:
		return false
	case entry.From == store.settings.Self && entry.Seq > store.lastSeq:
		return false
	case max(len(entry.A), len(entry.B), len(entry.Server), len(entry.From.Name)) > store.settings.MaxText:
		return false
	}
	return entry.Kind != FeedCursor || entry.Count >= 1 && entry.At >= entry.Acked && entry.Acked >= -1
}

// isAhead reports whether the entry's position is implausibly far in the future. Cursors are checked against their feed
// instead.
func (store *Store) isAhead(entry *Entry) bool {
	return store.maxPosition > 0 && entry.Kind != FeedCursor && entry.At > store.maxPosition+store.settings.MaxAhead
}

// hasExpired reports whether the entry's lifetime has passed.
func (store *Store) hasExpired(entry *Entry) bool {
	switch entry.Kind {
	case PendingWrite:
		return entry.Age >= store.settings.WriteWindow
	case Hint:
		return entry.Age >= store.settings.HintLifetime
	case SheddingLevel:
		return entry.Age >= store.settings.LevelLifetime
	}
	return false
}

// advanceVector records in the version vector that this copy stores an entry or one that supersedes it, so that the
// entry need not be fetched. It does so only if the copy covers all earlier entries of the entry's origin.
func (store *Store) advanceVector(entry *Entry) {
	upTo, known := store.seenUpTo[entry.From]
	if entry.From == store.settings.Self || entry.Seq != upTo+1 || !known && len(store.seenUpTo) >= store.settings.MaxOrigins {
		return
	}
	store.seenUpTo[entry.From] = entry.Seq
	// Later entries that arrived before this one are now covered as well.
	if log := store.logs[entry.From]; log != nil {
		index, _ := slices.BinarySearchFunc(log.entries, entry.Seq+1, func(logged logEntry, seq uint64) int { return cmp.Compare(logged.seq, seq) })
		for ; index < len(log.entries) && log.entries[index].seq == store.seenUpTo[entry.From]+1; index++ {
			store.seenUpTo[entry.From]++
		}
	}
}

// Covers reports whether this copy needs nothing more for an entry: the entry is stored, superseded or expired, or it
// would be the first to be evicted for lack of capacity.
func (store *Store) Covers(now clock.Nanos, entry *Entry) bool {
	if stored := store.entries[entry.id()]; stored != nil {
		return entry.compare(&stored.Entry) <= 0
	}
	if store.hasExpired(entry) {
		return true
	}
	kind := min(entry.Kind, kindCount-1)
	entries := store.heaps[kind]
	return store.evicted[kind] && len(entries) > 0 && (&storedEntry{Entry: *entry, learnedAt: now - entry.Age}).compareEvictionRank(entries[0]) < 0
}

// merge stores an entry, in place of a lesser one with the same ID if there is one. It returns nil if a greater or
// equal entry is stored or there is no capacity.
func (store *Store) merge(now clock.Nanos, entry *Entry) *storedEntry {
	key := entry.id()
	old := store.entries[key]
	learnedAt := now - entry.Age
	if old != nil {
		if entry.Kind == PendingWrite && learnedAt > old.learnedAt { // the write may have run later than known so far
			old.learnedAt = learnedAt
			heap.Fix(&store.heaps[entry.Kind], old.heapIndex)
		}
		if entry.compare(&old.Entry) <= 0 {
			return nil
		}
		if entry.Kind == PendingWrite {
			learnedAt = max(learnedAt, old.learnedAt)
		}
	}
	if _, ok := store.logs[entry.From]; !ok && len(store.logs) >= store.settings.MaxOrigins && !store.evictOrigin() {
		store.rejected++
		return nil
	}
	stored := &storedEntry{Entry: *entry, learnedAt: learnedAt, keyHash: entry.keyHash()}
	entries := &store.heaps[entry.Kind]
	if old == nil && len(*entries) >= store.settings.MaxEntries[entry.Kind] {
		store.evicted[entry.Kind] = true
		if stored.compareEvictionRank((*entries)[0]) < 0 {
			return nil
		}
		store.remove((*entries)[0])
	} else if old != nil {
		store.remove(old)
	}
	store.entries[key] = stored
	heap.Push(entries, stored)
	store.digests[entry.Kind] += stored.hash()
	log := store.logs[entry.From]
	if log == nil {
		log = &originLog{}
		store.logs[entry.From] = log
	}
	index, _ := slices.BinarySearchFunc(log.entries, entry.Seq, func(logged logEntry, seq uint64) int { return cmp.Compare(logged.seq, seq) })
	log.entries = slices.Insert(log.entries, index, logEntry{entry.Seq, stored})
	return stored
}

// evictOrigin frees capacity for a new origin by removing one that has no stored entries.
func (store *Store) evictOrigin() bool {
	for origin, log := range store.logs {
		if origin != store.settings.Self && !slices.ContainsFunc(log.entries, func(logged logEntry) bool { return logged.stored.heapIndex >= 0 }) {
			delete(store.logs, origin)
			delete(store.seenUpTo, origin)
			return true
		}
	}
	return false
}

// remove deletes an entry from the store. The entry stays in its origin's log until the log is compacted.
func (store *Store) remove(stored *storedEntry) {
	delete(store.entries, stored.id())
	heap.Remove(&store.heaps[stored.Kind], stored.heapIndex)
	stored.heapIndex = -1
	store.digests[stored.Kind] -= stored.hash()
	log := store.logs[stored.From]
	if log.removedCount++; log.removedCount > maxUncompacted && log.removedCount > len(log.entries)/2 {
		log.compact()
	}
}

// compact deletes removed entries from the log.
func (log *originLog) compact() {
	log.entries = slices.DeleteFunc(log.entries, func(logged logEntry) bool { return logged.stored.heapIndex < 0 })
	log.removedCount = 0
}

// Expire removes writes, hints and shedding levels whose lifetime has passed.
func (store *Store) Expire(now clock.Nanos) {
	for kind, lifetime := range map[Kind]clock.Nanos{PendingWrite: store.settings.WriteWindow, Hint: store.settings.HintLifetime, SheddingLevel: store.settings.LevelLifetime} {
		for entries := store.heaps[kind]; len(entries) > 0 && now-entries[0].learnedAt >= lifetime; entries = store.heaps[kind] {
			store.remove(entries[0])
		}
	}
}

// Digest returns a digest of the stored entries of a kind, by which two copies can be compared.
func (store *Store) Digest(kind Kind) uint64 { return store.digests[kind] }

// Size returns the number of stored entries of a kind.
func (store *Store) Size(kind Kind) int { return len(store.heaps[kind]) }

// TotalDigest returns a digest of the stored entries of all kinds.
func (store *Store) TotalDigest() (sum uint64) {
	for _, digest := range store.digests {
		sum += digest
	}
	return sum
}

// WithheldClaims returns the number of claims that were ignored because an entry of the same message could not be
// stored.
func (store *Store) WithheldClaims() uint64 { return store.withheldClaims }

// Rejected returns the number of received entries that were invalid or came from more origins than are remembered.
func (store *Store) Rejected() uint64 { return store.rejected }
