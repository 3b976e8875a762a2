package crdt

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"

	"lotushook/policy/clock"
)

// These tests guard what a copy may conclude from a fetch that takes several pieces.
//
// A version vector counts entries by origin. A run that claimed to be complete up to a sequence number was complete at
// the sender, because the missing entries had been superseded there. But the superseding entry might have another
// origin, or a later sequence number of the same one, and not fit into the piece. When the sender then failed, the
// receiver claimed to hold all entries of the origin, no member sent them again, and queries were answered as if
// nothing had ever been learned.
//
// testdata/TestSpread.history records such a case: after a piece with three of r0's four entries, r2's version vector
// says that it has all four, while r2's copy has no entry for the session of the missing one.

// storesByName holds the stores of the routers of one cluster.
type storesByName map[string]*Store

func newStores(t *testing.T, names ...string) storesByName {
	t.Helper()
	stores := storesByName{}
	for _, name := range names {
		stores[name] = newTestStore(t, name, 0)
	}
	return stores
}

func (stores storesByName) fetch(now clock.Nanos, to, from string, maxBytes int) {
	stores[to].MergeRuns(now, stores[from].Since(now, stores[to].VersionVector(), maxBytes))
}

// entriesPerKind returns for each kind an entry, a later entry with the same key, and a query. The query's answer for
// the earlier entry differs from its answers for the later entry and for no entry.
func entriesPerKind(now clock.Nanos) map[Kind]struct {
	earlier, later Entry
	answer         func(*Store) string
} {
	type kind = struct {
		earlier, later Entry
		answer         func(*Store) string
	}
	return map[Kind]kind{
		SessionCommit: {Entry{A: "1", B: "session", At: 2}, Entry{A: "1", B: "session", At: 3},
			func(s *Store) string { return fmt.Sprint(s.CommitPosition("1", "session")) }},
		PrimaryClaim: {Entry{A: "1", Server: "x", At: 2}, Entry{A: "1", Server: "y", At: 3},
			func(s *Store) string { return fmt.Sprint(s.Primary("1")) }},
		PendingWrite: {Entry{A: "class", B: "key"}, Entry{A: "class", B: "key"},
			func(s *Store) string { return fmt.Sprint(s.MayHaveRun(now, "class", "key")) }},
		ServerPosition: {Entry{A: "server", At: 2}, Entry{A: "server", At: 3},
			func(s *Store) string { return fmt.Sprint(s.AppliedPosition(now, "server", 0)) }},
		Usage: {Entry{A: "team", B: "class", Count: 2}, Entry{A: "team", B: "class", Count: 3},
			func(s *Store) string { return fmt.Sprint(s.Usage("team", "class")) }},
		Hint: {Entry{A: "zone dark"}, Entry{A: "zone dark"},
			func(s *Store) string { return fmt.Sprint(len(s.Hints(now, "zone dark"))) }},
		FeedCursor: {Entry{A: "feed", B: "subscriber", Count: 1, At: 2, Acked: 1}, Entry{A: "feed", B: "subscriber", Count: 1, At: 3, Acked: 2},
			func(s *Store) string {
				e, known, _ := s.Cursor(now, "feed", "subscriber")
				return fmt.Sprint(e.At, e.Acked, known)
			}},
		SheddingLevel: {NewSheddingLevel("1", 200, 2, 1), NewSheddingLevel("1", 300, 3, 2),
			func(s *Store) string {
				out := ""
				for _, level := range s.SheddingLevels(now) {
					out += fmt.Sprintln(level.SheddingLevel())
				}
				return out
			}},
	}
}

const (
	smallAnswer = 250 // bytes: three small entries of one origin
	largeAnswer = 10_000
)

// A copy is fetched in small pieces from a member that fails during the fetch. For every kind, the receiver then gets
// what it lacks from another member, although the failed member held an entry that superseded it.
func TestFetchGoesOnAfterSenderDies(t *testing.T) {
	const learnInterval = second // positions and claims are learned again only after MinLearnInterval
	for kind := SessionCommit; kind < kindCount; kind++ {
		testCase := entriesPerKind(4 * learnInterval)[kind]
		testCase.earlier.Kind, testCase.later.Kind = kind, kind
		for _, superseder := range []string{"origin", "sender"} {
			for pieces := 1; pieces <= 8; pieces++ {
				t.Run(fmt.Sprintf("%s/superseded by %s/after %d pieces", kind, superseder, pieces), func(t *testing.T) {
					stores := newStores(t, "origin", "sender", "witness", "receiver")
					stores["origin"].Learn(0, testCase.earlier)
					for i := range 3 {
						stores["origin"].Learn(0, Entry{Kind: SessionCommit, A: "2", B: fmt.Sprint(i), At: 1})
					}
					stores.fetch(0, "witness", "origin", largeAnswer)
					stores.fetch(0, "sender", "origin", largeAnswer)
					stores[superseder].Learn(learnInterval, testCase.later)
					stores.fetch(learnInterval, "sender", "origin", largeAnswer)
					for range pieces {
						stores.fetch(2*learnInterval, "receiver", "sender", smallAnswer)
					}
					delete(stores, "origin")
					delete(stores, "sender")
					stores.fetch(3*learnInterval, "receiver", "witness", largeAnswer)
					stores.fetch(3*learnInterval, "witness", "receiver", largeAnswer)
					if got, want := testCase.answer(stores["receiver"]), testCase.answer(stores["witness"]); got != want {
						t.Errorf("the receiver answers %s, the witness %s", got, want)
					}
				})
			}
		}
	}
}

// An empty copy is fetched in small pieces from members in rotation, which hold entries of their own. The fetch ends:
// after a limited number of pieces nothing is missing.
func TestFeedingEnds(t *testing.T) {
	names := []string{"a", "b", "c"}
	stores := newStores(t, "a", "b", "c", "receiver")
	const perMember = 100
	for i := range perMember {
		for _, name := range names {
			stores[name].Learn(0, Entry{Kind: SessionCommit, A: "1", B: fmt.Sprint("session-", i), At: int64(1 + i)})
			stores[name].Learn(0, Entry{Kind: Usage, A: fmt.Sprint("team-", i), B: "class", Count: 1})
		}
	}
	for _, to := range names {
		for _, from := range names {
			stores.fetch(0, to, from, 1<<20)
		}
	}
	const maxBytes, maxPieces = 2000, 100 // 400 entries of 60 bytes fill 12 pieces, and each piece also carries claims
	for piece := range maxPieces {
		from := stores[names[piece%len(names)]]
		runs := from.Since(0, stores["receiver"].VersionVector(), maxBytes)
		if len(runs) == 0 {
			t.Logf("%d pieces", piece)
			if difference := firstDifference(from, stores["receiver"]); difference != "" {
				t.Error(difference)
			}
			return
		}
		size := 0
		for _, run := range runs {
			size += entryBytes
			for _, entry := range run.Entries {
				size += entry.Size()
			}
		}
		if size > maxBytes {
			t.Fatalf("a piece of %d bytes, limit %d", size, maxBytes)
		}
		stores["receiver"].MergeRuns(0, runs)
	}
	t.Errorf("the fetch has not ended after %d pieces", maxPieces)
}

// A member that has evicted sessions can't send them. A copy that fetches everything from it must not treat them as
// sessions without a commit, because their reads would be answered stale.
func TestEvictionTravelsWithClaims(t *testing.T) {
	const capacity, maxBytes = 5, 10_000
	sender, receiver := newTestStore(t, "sender", capacity), newTestStore(t, "receiver", 0)
	for i := range 2 * capacity {
		sender.Learn(0, Entry{Kind: SessionCommit, A: "1", B: fmt.Sprint(i), At: int64(1 + i)})
	}
	receiver.MergeRuns(0, sender.Since(0, receiver.VersionVector(), maxBytes))
	for i := range 2 * capacity {
		if position, _ := receiver.CommitPosition("1", fmt.Sprint(i)); position < int64(1+i) {
			t.Errorf("session %d: position %d, committed at %d", i, position, 1+i)
		}
	}
}

// An entry that was rejected does not count as held. Once its position is plausible, it is fetched.
func TestRejectedEntryWithholdsClaims(t *testing.T) {
	stores := newStores(t, "sender", "receiver")
	stores["receiver"].ObservePosition(second)
	stores["sender"].Learn(0, Entry{Kind: SessionCommit, A: "1", B: "session", At: 100 * second})
	stores.fetch(0, "receiver", "sender", largeAnswer)
	if position, known := stores["receiver"].CommitPosition("1", "session"); known || stores["receiver"].WithheldClaims() != 1 {
		t.Fatalf("a commit at %d, far beyond all known positions, was accepted; %d claims withheld", position, stores["receiver"].WithheldClaims())
	}
	stores["receiver"].ObservePosition(90 * second)
	stores.fetch(0, "receiver", "sender", largeAnswer)
	if position, _ := stores["receiver"].CommitPosition("1", "session"); position != 100*second {
		t.Errorf("position %d: the commit was not fetched again", position)
	}
}

// A copy without a position of its own accepts a position in the future, which supersedes the true one. Once that
// position is dropped, the entry that it superseded is fetched again.
func TestDroppedPositionIsFetchedAgain(t *testing.T) {
	stores := newStores(t, "origin", "receiver")
	stores["origin"].Learn(0, Entry{Kind: SessionCommit, A: "1", B: "session", At: 5 * second})
	stores.fetch(0, "receiver", "origin", largeAnswer)
	stores["receiver"].Merge(0, Entry{Kind: SessionCommit, A: "1", B: "session", At: 1e6 * second, From: Origin{"liar", 1}, Seq: 1})
	stores["receiver"].Learn(0, Entry{Kind: ServerPosition, A: "server", At: 4 * second})
	stores.fetch(0, "receiver", "origin", largeAnswer)
	if position, _ := stores["receiver"].CommitPosition("1", "session"); position != 5*second {
		t.Errorf("position %d: the commit is missing", position)
	}
}

// Replays the minimized histories on which TestSpread has failed: a recorded one, those of five seeds, and three in
// which a copy that asked members in rotation was never sent one of the entries.
func TestSpreadHistories(t *testing.T) {
	histories, err := filepath.Glob("../../testdata/TestSpread*.history")
	if err != nil || len(histories) < 9 {
		t.Fatalf("%d histories, %v", len(histories), err)
	}
	failFile := flag.Lookup("rapid.failfile")
	previous := failFile.Value.String()
	t.Cleanup(func() { _ = failFile.Value.Set(previous) })
	for _, history := range histories {
		t.Run(filepath.Base(history), func(t *testing.T) {
			if err := failFile.Value.Set(history); err != nil {
				t.Fatal(err)
			}
			TestSpread(t)
		})
	}
}
