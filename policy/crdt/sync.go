package crdt

import (
	"cmp"
	"maps"
	"slices"

	"lotushook/policy/clock"
)

const (
	entryBytes     = 48             // size in transit of an entry without its texts, and of a run
	minAnswerBytes = 2 * entryBytes // smallest answer of use: one run with an entry, and one run that only claims
)

// VersionVector describes a copy: for each origin, the sequence number up to which the copy covers all entries of the
// origin. While the copy is being fetched in pieces, the vector also contains two keys without an origin's name; their
// values are the ends of the span of key hashes that remains to be fetched (see fetchPass).
type VersionVector map[Origin]uint64

// The keys under which a version vector carries the ends of the span that remains to be fetched.
var (
	remainingAfterKey = Origin{}
	remainingUpToKey  = Origin{Boot: 1}
)

// OriginRun is a part of an answer to a fetch: a run of entries of one origin or, if Origin is zero, of several. If
// UpTo is greater than After, the run makes a claim: once the receiver has merged the message up to and including this
// run, it has for the keys in Span each entry of the origin with a sequence number in (After, UpTo], or an entry that
// supersedes it. If UpTo equals After, the run claims nothing.
type OriginRun struct {
	Origin      Origin
	After, UpTo uint64
	Span        KeySpan
	// Kinds of which the sender has evicted entries for lack of capacity. The claim does not hold for evicted entries.
	Evicted KindSet
	Entries []Entry
}

func (run *OriginRun) isClaim() bool { return run.UpTo > run.After }

// KindSet is a set of kinds, as a bit mask.
type KindSet uint16

func (set *KindSet) add(kind Kind) { *set |= 1 << kind }

func (set *KindSet) has(kind Kind) bool { return *set&(1<<kind) != 0 }

// VersionVector returns the version vector of this copy.
func (store *Store) VersionVector() VersionVector {
	vector := maps.Clone(store.seenUpTo)
	if store.pass.hasBegun() {
		vector[remainingAfterKey], vector[remainingUpToKey] = store.pass.remaining.After, store.pass.remaining.UpTo
	}
	return vector
}

// Size returns the size of an entry in transit, in bytes.
func (entry *Entry) Size() int {
	return entryBytes + len(entry.A) + len(entry.B) + len(entry.Server) + len(entry.From.Name)
}

// withAge returns the entry with its present age.
func (stored *storedEntry) withAge(now clock.Nanos) Entry {
	entry := stored.Entry
	entry.Age = max(0, now-stored.learnedAt)
	return entry
}

// TakePending empties the list of entries that this router has learned since the last call, and returns the most urgent
// of them, up to maxBytes. Members have to fetch the others. The entries are returned without a claim that they are
// complete, because the datagrams that carry them may be lost.
func (store *Store) TakePending(now clock.Nanos, maxBytes int) []Entry {
	pending := slices.DeleteFunc(store.pending, func(stored *storedEntry) bool { return stored.heapIndex < 0 })
	slices.SortStableFunc(pending, func(x, y *storedEntry) int { return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(y.Seq, x.Seq)) })
	var entries []Entry
	for _, stored := range pending {
		if maxBytes -= stored.Size(); maxBytes < 0 {
			break
		}
		entries = append(entries, stored.withAge(now))
	}
	store.pending = nil
	return entries
}

// Since returns the entries that are missing in the copy that a version vector describes, up to maxBytes. If all of
// them fit, the runs claim everything that this copy holds. Otherwise the result is one piece of a fetch: the next
// missing entries in the order of their key hashes, with claims limited to the span of keys that the piece covers. The
// receiver combines the claims of all pieces (see fetchPass).
//
// A piece can't claim all entries of an origin up to a sequence number: an entry may be absent here because it was
// superseded, and the superseding entry may have another origin or a later sequence number, and so may be in a piece
// that never arrives. All entries of a key are in the same span, so the superseding entry is always in the span of the
// superseded one.
func (store *Store) Since(now clock.Nanos, vector VersionVector, maxBytes int) []OriginRun {
	if maxBytes < minAnswerBytes {
		return nil
	}
	missing := store.missing(vector)
	claims := store.claims(vector)
	claimBytes := min(len(claims)*entryBytes, maxBytes/2)
	claims = claims[:claimBytes/entryBytes]
	maxBytes -= claimBytes + entryBytes
	if entriesSize(missing) <= maxBytes {
		return completeRuns(now, missing, claims)
	}
	piece, span := nextPiece(missing, store.spanToFetch(vector, missing), maxBytes)
	if len(piece) == 0 && !span.IsPartial() {
		return nil
	}
	runs := append([]OriginRun{{Entries: entriesWithAges(now, piece)}}, claims...)
	for i := range runs {
		runs[i].Span = span
	}
	return runs
}

// spanToFetch returns the span of key hashes that the sender of a version vector still has to fetch. A new fetch begins
// at a randomly chosen missing entry. If all fetches began at the same key, a receiver that asks members in turn could
// be sent the same entries by each of them forever.
func (store *Store) spanToFetch(vector VersionVector, missing []*storedEntry) KeySpan {
	after, begun := vector[remainingAfterKey]
	if begun {
		return KeySpan{after, vector[remainingUpToKey]}
	}
	slices.SortFunc(missing, compareVersions) // sorted so that a replay chooses the same entry
	after = missing[int(store.nextRandom()%uint32(len(missing)))].keyHash - 1
	return KeySpan{after, after}
}

// nextRandom returns the next number of a linear congruential generator (constants from Numerical Recipes). It omits
// the low bits, which have a short period.
func (store *Store) nextRandom() uint32 {
	const factor, increment, lowBits = 1664525, 1013904223, 16
	store.randomState = store.randomState*factor + increment
	return store.randomState >> lowBits
}

// missing returns the stored entries that a version vector does not cover.
func (store *Store) missing(vector VersionVector) []*storedEntry {
	var missing []*storedEntry
	for origin, log := range store.logs {
		first, _ := slices.BinarySearchFunc(log.entries, vector[origin]+1, func(logged logEntry, seq uint64) int { return cmp.Compare(logged.seq, seq) })
		for _, logged := range log.entries[first:] {
			if logged.stored.heapIndex >= 0 {
				missing = append(missing, logged.stored)
			}
		}
	}
	return missing
}

// claims returns a run without entries for each origin of which this copy holds more than the version vector covers, in
// a stable order.
func (store *Store) claims(vector VersionVector) []OriginRun {
	var evicted KindSet
	for kind := SessionCommit; kind < kindCount; kind++ {
		if store.evicted[kind] {
			evicted.add(kind)
		}
	}
	var claims []OriginRun
	for origin := range store.logs {
		if store.seenUpTo[origin] > vector[origin] {
			claims = append(claims, OriginRun{Origin: origin, After: vector[origin], UpTo: store.seenUpTo[origin], Evicted: evicted})
		}
	}
	slices.SortFunc(claims, func(x, y OriginRun) int { return x.Origin.compare(y.Origin) })
	return claims
}

// completeRuns returns runs that contain all missing entries and make all claims. If the missing entries of an origin
// have no gap in their sequence numbers up to its claim, they form a run with that claim. All other claims come after
// all entries, because the gaps are entries that were superseded, and any entry of the message may be a superseding
// one.
func completeRuns(now clock.Nanos, missing []*storedEntry, claims []OriginRun) []OriginRun {
	byOrigin := map[Origin][]*storedEntry{}
	for _, stored := range missing {
		byOrigin[stored.From] = append(byOrigin[stored.From], stored)
	}
	var withoutGap, withGaps []OriginRun
	for _, claim := range claims {
		entries := byOrigin[claim.Origin]
		isLast := func(stored *storedEntry) bool { return stored.Seq == claim.UpTo }
		if uint64(len(entries)) != claim.UpTo-claim.After || !isLast(slices.MaxFunc(entries, compareVersions)) {
			withGaps = append(withGaps, claim)
			continue
		}
		claim.Entries = entriesWithAges(now, entries)
		withoutGap = append(withoutGap, claim)
		delete(byOrigin, claim.Origin)
	}
	var others []*storedEntry
	for _, stored := range missing {
		if _, ok := byOrigin[stored.From]; ok {
			others = append(others, stored)
		}
	}
	var runs []OriginRun
	if len(others) > 0 {
		runs = append(runs, OriginRun{Entries: entriesWithAges(now, others)})
	}
	return append(append(runs, withoutGap...), withGaps...)
}

func compareVersions(x, y *storedEntry) int { return x.compareVersion(&y.Entry) }

// entriesWithAges returns the entries with their present ages, in a stable order.
func entriesWithAges(now clock.Nanos, stored []*storedEntry) []Entry {
	slices.SortFunc(stored, compareVersions)
	entries := make([]Entry, len(stored))
	for i, one := range stored {
		entries[i] = one.withAge(now)
	}
	return entries
}

// entriesSize returns the size of entries in transit, in bytes.
func entriesSize(entries []*storedEntry) int {
	size := 0
	for _, stored := range entries {
		size += stored.Size()
	}
	return size
}

// MergeRuns merges the runs of one message and returns how many entries changed the store. If this copy does not cover
// the entries of the origin before the run, the run's entries are merged but its claim is ignored, so that the entries
// in between are fetched. If any entry of the message could not be stored, all claims of the message are ignored,
// because that entry may be the one that superseded others.
func (store *Store) MergeRuns(now clock.Nanos, runs []OriginRun) int {
	changed, covered := 0, true
	var claims []OriginRun
	var span KeySpan
	for _, run := range runs {
		valid := run.Origin.Name != "" && run.Origin != store.settings.Self && run.UpTo >= run.After
		for _, entry := range run.Entries {
			if run.Origin != (Origin{}) && (entry.From != run.Origin || entry.Seq <= run.After) {
				valid, covered = false, false
				store.rejected++
				continue
			}
			if store.Merge(now, entry) {
				changed++
			}
			covered = covered && (!store.isWellFormed(&entry) || store.Covers(now, &entry))
		}
		if valid && run.isClaim() {
			claims = append(claims, run)
		}
		span = run.Span
	}
	if !covered {
		store.withheldClaims += uint64(len(claims))
		claims = nil
	}
	for _, run := range claims {
		for kind := SessionCommit; kind < kindCount; kind++ {
			store.evicted[kind] = store.evicted[kind] || run.Evicted.has(kind)
		}
	}
	if span.isAll() {
		store.applyClaims(claims)
	} else {
		store.applyPiece(span, claims)
	}
	return changed
}

// applyClaims advances the version vector by those claims that concern all keys.
func (store *Store) applyClaims(claims []OriginRun) {
	for _, claim := range claims {
		if claim.Span.isAll() && claim.After <= store.seenUpTo[claim.Origin] {
			store.raiseVector(claim.Origin, claim.UpTo)
		}
	}
}

// applyPiece adds a piece to the fetch pass and advances the version vector once the pass is complete. A piece without
// claims also advances the pass, so that the next piece is fetched.
func (store *Store) applyPiece(span KeySpan, claims []OriginRun) {
	if !store.pass.add(span, claims) {
		return
	}
	for origin, upTo := range store.pass.claimedUpTo {
		store.raiseVector(origin, upTo)
	}
	store.pass = fetchPass{}
}

// raiseVector records that all entries of an origin up to a sequence number are covered.
func (store *Store) raiseVector(origin Origin, upTo uint64) {
	if _, known := store.seenUpTo[origin]; known || len(store.seenUpTo) < store.settings.MaxOrigins {
		store.seenUpTo[origin] = max(store.seenUpTo[origin], upTo)
	}
}

// Hash returns a hash of the joined fields of an entry, as a checksum of received runs.
func (entry *Entry) Hash() uint64 { return (&storedEntry{Entry: *entry}).hash() }

// EntriesOlderThan returns up to maxEntries entries whose age exceeds bound, a different selection with each call. With
// them, another member can check whether replication has missed an entry.
func (store *Store) EntriesOlderThan(now, bound clock.Nanos, maxEntries int) []Entry {
	var entries []Entry
	for kind := SessionCommit; kind < kindCount; kind++ {
		candidates := store.heaps[kind]
		for i := range candidates { // at most one entry of each kind
			if stored := candidates[(int(store.randomState>>16)+i)%len(candidates)]; now-stored.learnedAt > bound && len(entries) < maxEntries {
				entries = append(entries, stored.withAge(now))
				break
			}
		}
	}
	store.nextRandom()
	return entries
}

// Difference returns up to maxEntries entries of a kind that this copy holds and another copy, given by its entries,
// lacks or holds differently. It is meant for reports to people.
func (store *Store) Difference(now clock.Nanos, kind Kind, others []Entry, maxEntries int) []Entry {
	theirs := map[entryID]*Entry{}
	for i := range others {
		theirs[others[i].id()] = &others[i]
	}
	var differing []Entry
	for _, stored := range store.heaps[kind] {
		if their := theirs[stored.id()]; their == nil || their.compare(&stored.Entry) != 0 {
			differing = append(differing, stored.withAge(now))
		}
	}
	slices.SortFunc(differing, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.A, y.A), cmp.Compare(x.B, y.B), x.compareVersion(&y))
	})
	return differing[:min(maxEntries, len(differing))]
}

// All returns all stored entries of a kind.
func (store *Store) All(now clock.Nanos, kind Kind) []Entry {
	var entries []Entry
	for _, stored := range store.heaps[kind] {
		entries = append(entries, stored.withAge(now))
	}
	return entries
}
