package crdt

import "lotushook/policy/clock"

// CommitPosition returns the log position that a server must have applied before it may answer a session's reads. For
// an unknown session it is 0 or, if sessions have been evicted, the lowest commit position among the stored sessions.
// As the sessions with the lowest positions are evicted first, a server at that position is fresh enough for any
// evicted session.
func (store *Store) CommitPosition(group, session string) (position int64, known bool) {
	if stored := store.entries[entryID{kind: SessionCommit, subject: group, qualifier: session}]; stored != nil {
		return stored.At, true
	}
	if entries := store.heaps[SessionCommit]; store.evicted[SessionCommit] && len(entries) > 0 {
		return entries[0].At, false
	}
	return 0, false
}

// Cursor returns what is known of a feed's subscriber. evicted means that the subscriber is unknown and cursors have
// been evicted, possibly including this one.
func (store *Store) Cursor(now clock.Nanos, feed, subscriber string) (entry Entry, known, evicted bool) {
	if stored := store.entries[entryID{kind: FeedCursor, subject: feed, qualifier: subscriber}]; stored != nil {
		return stored.withAge(now), true, false
	}
	return Entry{}, false, store.evicted[FeedCursor]
}

// Primary returns the server believed to be the primary of a group, its start, and the position at which it was seen as
// the primary.
func (store *Store) Primary(group string) (server string, incarnation, position int64) {
	if stored := store.entries[entryID{kind: PrimaryClaim, subject: group}]; stored != nil {
		return stored.Server, stored.Born, stored.At
	}
	return "", 0, 0
}

// AppliedPosition returns how far a server has applied the log since the given start, the age of that information, and
// whether this router learned it itself. The position is 0 if it is unknown.
func (store *Store) AppliedPosition(now clock.Nanos, server string, incarnation int64) (position int64, age clock.Nanos, learnedHere bool) {
	if stored := store.entries[entryID{kind: ServerPosition, subject: server, incarnation: incarnation}]; stored != nil {
		return stored.At, now - stored.learnedAt, stored.From == store.settings.Self
	}
	return 0, 0, false
}

// MayHaveRun reports whether any router may have run a keyed write within the write window.
func (store *Store) MayHaveRun(now clock.Nanos, class, key string) bool {
	stored := store.entries[entryID{kind: PendingWrite, subject: class, qualifier: key}]
	return stored != nil && now-stored.learnedAt < store.settings.WriteWindow
}

// Usage returns the usage of a team's contract by all processes together, in thousandths.
func (store *Store) Usage(team, class string) int64 {
	sum := int64(0)
	for _, stored := range store.heaps[Usage] {
		if stored.A == team && stored.B == class {
			sum += stored.Count
		}
	}
	return sum
}

// Hints returns the origins that have an unexpired hint on a subject, with the age of each hint.
func (store *Store) Hints(now clock.Nanos, subject string) map[Origin]clock.Nanos {
	ages := map[Origin]clock.Nanos{}
	for _, stored := range store.heaps[Hint] {
		if stored.A == subject && now-stored.learnedAt < store.settings.HintLifetime {
			ages[stored.From] = now - stored.learnedAt
		}
	}
	return ages
}

// SheddingLevels returns the unexpired shedding levels of all origins, with their ages.
func (store *Store) SheddingLevels(now clock.Nanos) []Entry {
	var levels []Entry
	for _, stored := range store.heaps[SheddingLevel] {
		if now-stored.learnedAt < store.settings.LevelLifetime {
			levels = append(levels, stored.withAge(now))
		}
	}
	return levels
}
