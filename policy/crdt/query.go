package crdt

import "lotushook/policy/clock"

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

// Cursor is what is known of a subscriber of a feed; forgot says that some cursors were evicted, perhaps this one
// too.
func (s *Store) Cursor(now clock.Nanos, feed, subscriber string) (e Entry, known, forgot bool) {
	if h := s.entries[entryID{kind: FeedCursor, a: feed, b: subscriber}]; h != nil {
		return h.entryAt(now), true, false
	}
	return Entry{}, false, s.evicted[FeedCursor]
}

// Primary is the server believed to be a group's primary: one of its starts, and at which position that was seen.
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

// MayHaveRun says whether a keyed write may have run at any router within its window.
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

// Hints are the origins with a hint on a subject, and how long ago each learned it.
func (s *Store) Hints(now clock.Nanos, what string) map[Origin]clock.Nanos {
	out := map[Origin]clock.Nanos{}
	for _, h := range s.piles[Hint] {
		if h.A == what && now-h.learnedAt < s.settings.HintLifetime {
			out[h.From] = now - h.learnedAt
		}
	}
	return out
}

// SheddingLevels are the levels of all origins that have not expired, with their ages.
func (s *Store) SheddingLevels(now clock.Nanos) []Entry {
	var out []Entry
	for _, h := range s.piles[SheddingLevel] {
		if now-h.learnedAt < s.settings.LevelLifetime {
			out = append(out, h.entryAt(now))
		}
	}
	return out
}
