package trust

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
	"lotushook/policy/crdt"
)

// facts contains all combinations of provenance and confirmation, by name.
var facts = []struct {
	name string
	fact Fact
}{
	{"unknown", Fact{}},
	{"own answer", Fact{Provenance: OwnResponse, Proven: true}},
	{"own answer, refuted", Fact{Provenance: OwnResponse, Refuted: true}},
	{"from a peer", Fact{Provenance: FromPeer}},
	{"from a peer, proven", Fact{Provenance: FromPeer, Proven: true}},
	{"from a peer, proven, old", Fact{Provenance: FromPeer, Proven: true, Age: 3600e9}},
	{"from a peer, refuted", Fact{Provenance: FromPeer, Refuted: true}},
	{"restored", Fact{Provenance: FromDisk}},
	{"restored after the clock was set back", Fact{Provenance: FromDisk, MinAgeOnly: true}},
	{"restored, proven", Fact{Provenance: FromDisk, Proven: true}},
	{"restored, proven, minimum age only", Fact{Provenance: FromDisk, Proven: true, MinAgeOnly: true}},
	{"restored, refuted", Fact{Provenance: FromDisk, Refuted: true}},
}

// The table of docs/design/recovery.md: one row per fact, one column per use, with the server in the endpoint list. A
// lower-case letter means that the use is not allowed.
func TestTable(t *testing.T) {
	const columns = "RaiseFloor LowerFloor MayHaveRun HasNotRun Probe Write Read Grant ColdWork CountUse ShunServer"
	decisions := map[byte]Decision{'O': {true, ReasonOwnResponse}, 'P': {true, ReasonConfirmedByPeer}, 'S': {true, ReasonConservative}, 'd': {false, ReasonUnconfirmed}, 'c': {false, ReasonRefuted},
		'u': {false, ReasonUnknown}, 'n': {false, ReasonOwnOnly}, 't': {false, ReasonTooOld}}
	rows := map[string]string{
		"unknown":                               "u n u n u u u n n u u",
		"own answer":                            "O O O O O O O O O O O",
		"own answer, refuted":                   "O n O n c c c n n c c",
		"from a peer":                           "S n S n S d d n n S d",
		"from a peer, proven":                   "S n S n S P P n n S P",
		"from a peer, proven, old":              "S n S n S t t n n S t",
		"from a peer, refuted":                  "S n S n c c c n n c c",
		"restored":                              "S n S n S d d n n S d",
		"restored after the clock was set back": "S n S n S d d n n S d",
		"restored, proven":                      "S n S n S P P n n S P",
		"restored, proven, minimum age only":    "S n S n S t t n n S t",
		"restored, refuted":                     "S n S n c c c n n c c",
	}
	if len(rows) != len(facts) || len(columns) == 0 {
		t.Fatalf("%d rows for %d facts", len(rows), len(facts))
	}
	for _, tested := range facts {
		for use := range Use(UseCount) {
			want, ok := decisions[rows[tested.name][2*use]]
			if got := Evaluate(use, tested.fact, true, DefaultSettings()); !ok || got != want {
				t.Errorf("%s, %s: %v, %s", tested.name, use, got.Allowed, got.Reason)
			}
			got := Evaluate(use, tested.fact, false, DefaultSettings())
			if sends := use == Probe || use == Write || use == Read; sends && got != (Decision{false, ReasonNotListed}) || !sends && got != want {
				t.Errorf("%s, %s, not listed: %v, %s", tested.name, use, got.Allowed, got.Reason)
			}
		}
	}
}

func TestCompareCopy(t *testing.T) {
	for _, test := range []struct {
		name       string
		copy, seen CopyVersion
		want       CopyStatus
	}{
		{"no peer reported a version", CopyVersion{5, 100}, CopyVersion{}, CopyUnreported},
		{"no peer reported a version, and there is no copy", CopyVersion{}, CopyVersion{}, CopyUnreported},
		{"the copy has all that a peer has seen", CopyVersion{5, 100}, CopyVersion{5, 100}, CopyCurrent},
		{"the copy has more than a peer has seen", CopyVersion{5, 100}, CopyVersion{5, 90}, CopyCurrent},
		{"the copy has a later epoch than a peer has seen", CopyVersion{5, 1}, CopyVersion{4, 900}, CopyCurrent},
		{"no more is missing than a crash loses", CopyVersion{5, 100}, CopyVersion{5, 140}, CopyWithinCrashLoss},
		{"more is missing than a crash loses", CopyVersion{5, 100}, CopyVersion{5, 151}, CopyOutdated},
		{"a peer has seen a later epoch", CopyVersion{5, 100}, CopyVersion{6, 1}, CopyOutdated},
		{"no copy, and a peer has seen a version", CopyVersion{}, CopyVersion{5, 1}, CopyOutdated},
	} {
		if got := CompareCopy(test.copy, test.seen, 50); got != test.want {
			t.Errorf("%s: %d", test.name, got)
		}
	}
}

// Records entries from disk, peers and answers in a random order and checks the ledger's invariants: an entry is proven
// only if this process or a continuously running peer reported it; an OwnResponse fact is never replaced by a peer's or
// a restored one; unproven facts are counted; the ledger stays within its capacity; and an unproven fact of another
// provenance permits conservative uses only.
//
//nolint:gocognit,funlen // one random history with its checks in order
func TestLedgerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Capacity: 12, MaxAge: 30e9}
		ledger, err := NewLedger(settings)
		if err != nil {
			t.Fatal(err)
		}
		now := clock.Nanos(1e12)
		type reporters struct{ own, continuouslyUp bool }
		reports := map[string]*reporters{} // by key and value
		ownKeys := map[entryKey]bool{}
		distrusted := false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += rapid.Int64Range(0, 1e9).Draw(t, "passes")
			entry := crdt.Entry{Kind: rapid.SampledFrom([]crdt.Kind{crdt.SessionCommit, crdt.PrimaryClaim, crdt.ServerPosition, crdt.PendingWrite, crdt.Usage, crdt.Hint}).Draw(t, "kind"),
				A: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "a"), B: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "b"), At: rapid.Int64Range(1, 3).Draw(t, "at"),
				Server: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "server"), From: crdt.Origin{Name: "r", Boot: 1}, Seq: rapid.Uint64Range(1, 3).Draw(t, "seq"),
				Age: rapid.Int64Range(0, 1e11).Draw(t, "age")}
			if entry.Kind != crdt.PrimaryClaim {
				entry.Server = ""
			}
			entry.Count = entry.At
			if entry.Kind == crdt.Hint { // an origin's sequence number identifies the value of a hint
				entry.At, entry.Count = 0, 0
			}
			reportKey := func(entry crdt.Entry) string {
				return fmt.Sprint(keyOf(&entry), entry.At, entry.Server, entry.Seq*uint64(boolInt(entry.Kind == crdt.Hint)))
			}
			if entry.Kind == crdt.PendingWrite { // pending writes of the same key have no differing values
				entry.At, entry.Count = 1, 1
			}
			reported := reports[reportKey(entry)]
			if reported == nil {
				reported = &reporters{}
				reports[reportKey(entry)] = reported
			}
			switch rapid.IntRange(0, 5).Draw(t, "do") {
			case 0, 1:
				ledger.AddRestored(now, entry, rapid.Bool().Draw(t, "unsure"))
			case 2:
				ledger.AddOwnResponse(now, entry)
				reported.own, ownKeys[keyOf(&entry)] = true, true
			case 3, 4:
				continuouslyUp := rapid.Bool().Draw(t, "steady")
				ledger.AddFromPeer(now, entry, continuouslyUp)
				reported.continuouslyUp = reported.continuouslyUp || continuouslyUp
			case 5:
				if rapid.Bool().Draw(t, "old") {
					ledger.DistrustRestored()
					distrusted = true
				} else {
					ledger.Refute(entry)
				}
			}
			unconfirmed := [ProvenanceCount]int{}
			for key, tracked := range ledger.facts {
				fact, factEntry := ledger.Fact(now, tracked.entry)
				reported := reports[reportKey(factEntry)]
				if fact.Proven && (reported == nil || !reported.own && !reported.continuouslyUp) {
					t.Fatalf("%v is proven (%+v), but neither this process nor a continuously running peer reported it", factEntry, fact)
				}
				if fact.Proven && fact.Refuted {
					t.Fatalf("%v is both proven and refuted", factEntry)
				}
				if ownKeys[key] && fact.Provenance != OwnResponse {
					delete(ownKeys, key) // the entry was evicted and recorded again since then
				}
				if distrusted && fact.Provenance == FromDisk && !fact.MinAgeOnly {
					t.Fatalf("%v comes from an outdated copy, but its age is not marked as a lower bound", factEntry)
				}
				if !fact.Proven {
					unconfirmed[fact.Provenance]++
					for use := range Use(UseCount) {
						if decision := Evaluate(use, fact, true, settings); decision.Allowed && fact.Provenance != OwnResponse && use != RaisePosition && use != AssumeMayHaveRun && use != Probe && use != CountUsage {
							t.Fatalf("%s allowed by %+v: %s", use, fact, decision.Reason)
						}
					}
				}
			}
			if ledger.Size() > settings.Capacity || len(ledger.order) > settings.Capacity || unconfirmed != ledger.unconfirmed {
				t.Fatalf("%d facts, %v unconfirmed, counted %v", ledger.Size(), unconfirmed, ledger.unconfirmed)
			}
		}
	})
}

func boolInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// The fact that is recorded for a key after each of a sequence of entries.
func TestLedgerSequence(t *testing.T) {
	ledger, err := NewLedger(DefaultSettings())
	if err != nil {
		t.Fatal(err)
	}
	claim := func(server string, at int64) crdt.Entry {
		return crdt.Entry{Kind: crdt.PrimaryClaim, A: "1", Server: server, At: at, Age: 5}
	}
	for i, step := range []struct {
		do     func()
		server string
		fact   Fact
	}{
		{func() { ledger.AddRestored(100, claim("x", 10), false) }, "x", Fact{Provenance: FromDisk, Age: 5}},
		{func() { ledger.AddFromPeer(101, claim("x", 10), false) }, "x", Fact{Provenance: FromDisk, Age: 6}},
		// An entry of a lower position is ignored.
		{func() { ledger.AddFromPeer(102, claim("y", 9), true) }, "x", Fact{Provenance: FromDisk, Age: 7}},
		{func() { ledger.AddFromPeer(103, claim("x", 10), true) }, "x", Fact{Provenance: FromDisk, Age: 8, Proven: true}},
		{func() { ledger.Refute(claim("x", 10)) }, "x", Fact{Provenance: FromDisk, Age: 8, Refuted: true}},
		{func() { ledger.AddFromPeer(104, claim("x", 10), true) }, "x", Fact{Provenance: FromDisk, Age: 9, Refuted: true}},
		{func() { ledger.AddFromPeer(105, claim("y", 12), true) }, "y", Fact{Provenance: FromPeer, Age: 5, Proven: true}},
		{func() { ledger.AddOwnResponse(106, claim("z", 11)) }, "z", Fact{Provenance: OwnResponse, Age: 5, Proven: true}},
		{func() { ledger.AddFromPeer(107, claim("y", 13), true) }, "z", Fact{Provenance: OwnResponse, Age: 6, Proven: true}},
		{func() { ledger.AddRestored(107, claim("y", 14), false) }, "z", Fact{Provenance: OwnResponse, Age: 6, Proven: true}},
	} {
		step.do()
		now := []clock.Nanos{100, 101, 102, 103, 103, 104, 105, 106, 107, 107}[i]
		if fact, entry := ledger.Fact(now, claim("", 0)); fact != step.fact || entry.Server != step.server {
			t.Errorf("step %d: %s, %+v", i, entry.Server, fact)
		}
	}
	if fact, _ := ledger.Fact(0, crdt.Entry{Kind: crdt.SessionCommit}); fact.Provenance != Unknown {
		t.Errorf("%+v", fact)
	}
}
