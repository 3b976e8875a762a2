package crdt

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

const second = clock.Nanos(1e9)

func newTestStore(t interface{ Fatal(...any) }, name string, maxEntries int) *Store {
	settings := DefaultSettings(Origin{name, 1})
	settings.LevelLifetime = settings.HintLifetime // expiry at one copy before another is unrelated to joins
	if maxEntries > 0 {
		for kind := SessionCommit; kind < kindCount; kind++ {
			settings.MaxEntries[kind] = maxEntries
		}
	}
	store, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// drawEntry draws an entry that a router might learn. It uses few names, so that many entries are joined.
func drawEntry(t *rapid.T) Entry {
	entry := Entry{Kind: Kind(rapid.IntRange(int(SessionCommit), int(LastKind)).Draw(t, "kind")), A: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "a"),
		B: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "b")), At: int64(rapid.IntRange(1, 40).Draw(t, "at"))}
	switch entry.Kind {
	case PrimaryClaim:
		entry.B, entry.Server, entry.Born = "", rapid.SampledFrom([]string{"x", "y"}).Draw(t, "server"), int64(rapid.IntRange(0, 2).Draw(t, "born"))
	case ServerPosition:
		entry.B, entry.Born = "", int64(rapid.IntRange(0, 2).Draw(t, "born"))
	case Usage:
		entry.At, entry.Count = 0, int64(rapid.IntRange(1, 40).Draw(t, "count"))
	case PendingWrite, Hint, SheddingLevel:
		entry.At = 0
	case FeedCursor: // few generations and histories, so that every field of the order decides in some cases
		entry.Count, entry.Born, entry.Acked = int64(rapid.IntRange(1, 3).Draw(t, "gen")), int64(rapid.IntRange(1, 2).Draw(t, "history"))<<32, entry.At/2
	}
	return entry
}

func firstDifference(left, right *Store) string {
	for kind := SessionCommit; kind < kindCount; kind++ {
		if left.Digest(kind) != right.Digest(kind) {
			differing := map[string]bool{}
			for _, entry := range left.Difference(0, kind, right.All(0, kind), 3) {
				differing[fmt.Sprintf("%s %s/%s at %d of %v", entry.Kind, entry.A, entry.B, entry.At, entry.From)] = true
			}
			return fmt.Sprintf("%s: %v", kind, differing)
		}
	}
	return ""
}

// Copies that received the same entries in any order, some of them twice, are equal, even if they lacked the capacity
// for all entries.
func TestJoinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []Entry
		for i := range 4 {
			source := newTestStore(t, fmt.Sprint("o", i), 0)
			for range rapid.IntRange(0, 30).Draw(t, "learned") {
				source.Learn(0, drawEntry(t))
			}
			for kind := SessionCommit; kind < kindCount; kind++ {
				entries = append(entries, source.All(0, kind)...)
			}
		}
		maxEntries := rapid.SampledFrom([]int{0, 3}).Draw(t, "most")
		ordered, shuffled := newTestStore(t, "x", maxEntries), newTestStore(t, "y", maxEntries)
		for _, entry := range entries {
			ordered.Merge(0, entry)
		}
		for _, i := range rapid.Permutation(append(indexes(len(entries)), indexes(len(entries))...)).Draw(t, "order") {
			shuffled.Merge(0, entries[i])
		}
		if difference := firstDifference(ordered, shuffled); difference != "" {
			t.Fatal(difference)
		}
		for _, entry := range entries {
			orderedPosition, orderedKnown := ordered.CommitPosition(entry.A, entry.B)
			if shuffledPosition, shuffledKnown := shuffled.CommitPosition(entry.A, entry.B); entry.Kind == SessionCommit && (orderedPosition != shuffledPosition || orderedKnown != shuffledKnown || orderedPosition < entry.At && ordered.evicted[SessionCommit] || orderedPosition < entry.At && orderedKnown) {
				t.Fatalf("session %s/%s at %d: %d %v, %d %v", entry.A, entry.B, entry.At, orderedPosition, orderedKnown, shuffledPosition, shuffledKnown)
			}
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Routers that push entries over a lossy network, fetch missing entries from each other in small pieces, and restart
// with an empty copy are equal in the end. No commit position that a router without restarts has learned is lost.
//
//nolint:gocognit,funlen // one linear scenario or table of cases
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 5).Draw(t, "routers")
		stores, epochs, now := make([]*Store, count), make([]uint64, count), clock.Nanos(0)
		for i := range stores {
			stores[i], epochs[i] = newTestStore(t, fmt.Sprint("r", i), 0), 1
		}
		maxBytes := rapid.SampledFrom([]int{250, 400, 10_000}).Draw(t, "room")
		fetch := func(i, j int) { stores[i].MergeRuns(now, stores[j].Since(now, stores[i].VersionVector(), maxBytes)) }
		committed := map[string]int64{} // commit positions of sessions learned by r0, which never restarts
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += second / 10
			i, j := rapid.IntRange(0, count-1).Draw(t, "i"), rapid.IntRange(0, count-1).Draw(t, "j")
			switch rapid.IntRange(0, 9).Draw(t, "do") {
			case 0, 1, 2, 3:
				entry := drawEntry(t)
				stores[i].Learn(now, entry)
				if entry.Kind == SessionCommit && i == 0 {
					committed[entry.A+"/"+entry.B] = max(committed[entry.A+"/"+entry.B], entry.At)
				}
			case 4, 5:
				for _, entry := range stores[i].TakePending(now, 300) {
					for receiver := range stores {
						if receiver != i && rapid.Bool().Draw(t, "arrives") {
							stores[receiver].Merge(now, entry)
						}
					}
				}
			case 6, 7:
				if i != j {
					fetch(i, j)
				}
			case 8:
				if i > 0 { // restarts with an empty copy as a new process
					epochs[i]++
					settings := DefaultSettings(Origin{fmt.Sprint("r", i), epochs[i]})
					settings.LevelLifetime = settings.HintLifetime
					store, err := New(settings)
					if err != nil {
						t.Fatal(err)
					}
					stores[i] = store
				}
			}
		}
		for range 200 {
			for i := range stores {
				for j := range stores {
					if i != j {
						fetch(i, j)
					}
				}
			}
		}
		for i := range stores[1:] {
			if difference := firstDifference(stores[0], stores[i+1]); difference != "" {
				t.Fatalf("r0 and r%d: %s", i+1, difference)
			}
		}
		for key, at := range committed {
			var group, session string
			// A failed scan leaves a session that the check below does not find.
			_, _ = fmt.Sscanf(key, "%1s/%s", &group, &session)
			if got, known := stores[count-1].CommitPosition(group, session); !known || got < at {
				t.Fatalf("session %s: %d, learned %d", key, got, at)
			}
		}
	})
}

// Whatever entries are received, the number of stored entries is limited, and positions in the future are rejected once
// this router knows a position.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newTestStore(t, "r", 5)
		store.settings.MaxOrigins = 4
		for i := range 300 {
			entry := Entry{Kind: Kind(rapid.IntRange(0, 8).Draw(t, "kind")), A: rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "a"), B: fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "b")),
				Born: rapid.Int64().Draw(t, "born"), At: rapid.Int64().Draw(t, "at"), Count: rapid.Int64().Draw(t, "count"), Seq: rapid.Uint64().Draw(t, "seq"),
				Age: rapid.Int64().Draw(t, "age"), From: Origin{fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "from")), rapid.Uint64().Draw(t, "boot")}}
			store.Merge(clock.Nanos(i), entry)
			store.MergeRuns(clock.Nanos(i), []OriginRun{{Origin: entry.From, UpTo: entry.Seq, Entries: []Entry{entry}}})
			store.Expire(clock.Nanos(i))
			logged := 0
			for _, log := range store.logs {
				logged += len(log.entries)
			}
			for kind := SessionCommit; kind < kindCount; kind++ {
				if store.Size(kind) > 5 {
					t.Fatalf("%d of %s", store.Size(kind), kind)
				}
			}
			if len(store.logs) > 4 || len(store.seenUpTo) > 5 || len(store.entries) > 30 || logged > 30+4*130 {
				t.Fatalf("%d logs of %d, %d seen, %d entries", len(store.logs), logged, len(store.seenUpTo), len(store.entries))
			}
		}
	})
	store := newTestStore(t, "r", 0)
	store.Merge(0, Entry{Kind: ServerPosition, A: "h", At: 1e6 * second, From: Origin{"liar", 1}, Seq: 1})
	applied := func() int64 { at, _, _ := store.AppliedPosition(0, "h", 0); return at }
	if applied() == 0 {
		t.Error("a router without a position of its own does not accept a received position")
	}
	store.Learn(0, Entry{Kind: ServerPosition, A: "h", At: 5 * second})
	if applied() != 5*second || store.Rejected() != 1 {
		t.Errorf("position %d after learning a position itself, %d rejected", applied(), store.Rejected())
	}
	if store.Merge(0, Entry{Kind: SessionCommit, A: "1", B: "s", At: 100 * second, From: Origin{"liar", 1}, Seq: 2}) {
		t.Error("a commit position in the future was accepted")
	}
}

// Entries carry ages, not points in time: lifetimes end on each router's own clock, and expired entries do not return.
func TestLifetimes(t *testing.T) {
	origin, receiver := newTestStore(t, "a", 0), newTestStore(t, "b", 0)
	skew := 3600 * second
	origin.Learn(0, Entry{Kind: PendingWrite, A: "ausleihe", B: "k"})
	origin.Learn(0, Entry{Kind: Hint, A: "halle-a dark"})
	origin.Learn(0, NewSheddingLevel("1", 300, 77, 5))
	origin.Learn(4*second, NewSheddingLevel("1", 310, 78, 6))
	late := origin.Since(20*second, nil, 1000)
	receiver.MergeRuns(20*second+skew, origin.Since(5*second, nil, 1000)) // arrives after 15 s
	if !receiver.MayHaveRun(20*second+skew, "ausleihe", "k") || len(receiver.Hints(20*second+skew, "halle-a dark")) != 1 {
		t.Error("entries that a learned are missing at b")
	}
	laterReceiver := newTestStore(t, "c", 0)
	laterReceiver.settings.LevelLifetime = 2 * second
	if laterReceiver.MergeRuns(5*second+skew, origin.Since(5*second, nil, 1000)); laterReceiver.Size(SheddingLevel) != 1 {
		t.Error("a's shedding level is missing at c, or there twice")
	}
	levels := laterReceiver.SheddingLevels(5500*second/1000 + skew)
	if len(levels) != 1 || levels[0].Age != 3*second/2 {
		t.Fatalf("%+v", levels)
	}
	if load, threshold, epoch := levels[0].SheddingLevel(); load != 310 || threshold != 78 || epoch != 6 || len(laterReceiver.SheddingLevels(6*second+skew)) != 0 {
		t.Errorf("load %d, threshold %d, epoch %d", load, threshold, epoch)
	}
	receiver.MergeRuns(21*second+skew, late)
	if !receiver.MayHaveRun(44*second+skew, "ausleihe", "k") || receiver.MayHaveRun(46*second+skew, "ausleihe", "k") {
		t.Error("the window does not end 30 s after the last time that the write may have run")
	}
	receiver.Expire(60*second + skew)
	if receiver.Size(PendingWrite)+receiver.Size(Hint) != 0 {
		t.Error("expired entries are still stored")
	}
	if receiver.Merge(60*second+skew, origin.All(31*second, PendingWrite)[0]); receiver.Size(PendingWrite) != 0 {
		t.Error("an expired entry was stored again")
	}
}

// If two servers claim to be the primary of a group, the later evidence prevails, then the later start. Usage is summed
// over all origins.
func TestMergedClaimsAndUsage(t *testing.T) {
	first, other := newTestStore(t, "a", 0), newTestStore(t, "b", 0)
	first.Learn(0, Entry{Kind: PrimaryClaim, A: "1", Server: "x", Born: 1, At: 10})
	other.Learn(0, Entry{Kind: PrimaryClaim, A: "1", Server: "y", Born: 2, At: 10})
	first.MergeRuns(0, other.Since(0, nil, 1000))
	other.MergeRuns(0, first.Since(0, other.VersionVector(), 1000))
	for _, store := range []*Store{first, other} {
		if server, born, at := store.Primary("1"); server != "y" || born != 2 || at != 10 {
			t.Errorf("%s %d %d", server, born, at)
		}
	}
	if first.Learn(1, Entry{Kind: PrimaryClaim, A: "1", Server: "x", Born: 3, At: 11}); first.Digest(PrimaryClaim) == other.Digest(PrimaryClaim) {
		t.Error("digests do not differ")
	}
	if difference := first.Difference(1, PrimaryClaim, other.All(1, PrimaryClaim), 5); len(difference) != 1 || difference[0].Server != "x" {
		t.Errorf("%+v", difference)
	}
	first.Learn(0, Entry{Kind: Usage, A: "t", B: "c", Count: 500})
	other.Learn(0, Entry{Kind: Usage, A: "t", B: "c", Count: 700})
	if first.MergeRuns(2, other.Since(2, first.VersionVector(), 1000)); first.Usage("t", "c") != 1200 {
		t.Errorf("usage %d", first.Usage("t", "c"))
	}
}

// A run that arrives before the preceding one leaves a gap, which is fetched. The window of a keyed write ends with the
// latest of several attempts.
func TestGapIsFetched(t *testing.T) {
	sender, receiver := newTestStore(t, "a", 0), newTestStore(t, "b", 0)
	for i := range 6 {
		sender.Learn(0, Entry{Kind: SessionCommit, A: "1", B: fmt.Sprint(i), At: int64(i + 1)})
	}
	receiver.MergeRuns(0, sender.Since(0, VersionVector{sender.settings.Self: 3}, 1000))
	if receiver.Size(SessionCommit) != 3 || receiver.VersionVector()[sender.settings.Self] != 0 {
		t.Errorf("%d sessions stored, covered up to %d", receiver.Size(SessionCommit), receiver.VersionVector()[sender.settings.Self])
	}
	if receiver.MergeRuns(0, sender.Since(0, receiver.VersionVector(), 1000)); receiver.Size(SessionCommit) != 6 || receiver.VersionVector()[sender.settings.Self] != 6 {
		t.Errorf("%d sessions stored, covered up to %d", receiver.Size(SessionCommit), receiver.VersionVector()[sender.settings.Self])
	}
	for index, write := range []Entry{{From: Origin{"x", 1}, Age: 1 * second}, {From: Origin{"y", 1}, Age: 20 * second}, {From: Origin{"w", 1}, Age: 0}} {
		write.Kind, write.A, write.B, write.Seq = PendingWrite, "c", "k", 1
		if receiver.Merge(0, write); !receiver.MayHaveRun(28*second, "c", "k") || index == 2 && !receiver.MayHaveRun(29*second, "c", "k") {
			t.Errorf("after entry %d the window ends early", index+1)
		}
	}
}
