package trust

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
	"lotushook/policy/crdt"
)

// facts are all that can be known of an entry, by name.
var facts = []struct {
	name string
	fact Fact
}{
	{"unknown", Fact{}},
	{"own answer", Fact{Provenance: OwnResponse, Proven: true}},
	{"own answer, then a contrary one", Fact{Provenance: OwnResponse, Refuted: true}},
	{"told", Fact{Provenance: FromPeer}},
	{"told and proven", Fact{Provenance: FromPeer, Proven: true}},
	{"told, proven and old", Fact{Provenance: FromPeer, Proven: true, Age: 3600e9}},
	{"told and refuted", Fact{Provenance: FromPeer, Refuted: true}},
	{"restored", Fact{Provenance: FromDisk}},
	{"restored by a clock that was set back", Fact{Provenance: FromDisk, MinAgeOnly: true}},
	{"restored and proven", Fact{Provenance: FromDisk, Proven: true}},
	{"restored, proven, unsure", Fact{Provenance: FromDisk, Proven: true, MinAgeOnly: true}},
	{"restored and refuted", Fact{Provenance: FromDisk, Refuted: true}},
}

// The table of docs/design/recovery.md: a row a fact, a column a use, with the server in the list. A small letter is a no.
func TestTable(t *testing.T) {
	const columns = "RaiseFloor LowerFloor MayHaveRun HasNotRun Probe Write Read Grant ColdWork CountUse ShunServer"
	letters := map[byte]Verdict{'O': {true, ReasonOwnResponse}, 'P': {true, ReasonConfirmedByPeer}, 'S': {true, ReasonCareful}, 'd': {false, ReasonUnconfirmed}, 'c': {false, ReasonRefuted},
		'u': {false, ReasonUnknown}, 'n': {false, ReasonOwnOnly}, 't': {false, ReasonTooOld}}
	rows := map[string]string{
		"unknown":                               "u n u n u u u n n u u",
		"own answer":                            "O O O O O O O O O O O",
		"own answer, then a contrary one":       "O n O n c c c n n c c",
		"told":                                  "S n S n S d d n n S d",
		"told and proven":                       "S n S n S P P n n S P",
		"told, proven and old":                  "S n S n S t t n n S t",
		"told and refuted":                      "S n S n c c c n n c c",
		"restored":                              "S n S n S d d n n S d",
		"restored by a clock that was set back": "S n S n S d d n n S d",
		"restored and proven":                   "S n S n S P P n n S P",
		"restored, proven, unsure":              "S n S n S t t n n S t",
		"restored and refuted":                  "S n S n c c c n n c c",
	}
	if len(rows) != len(facts) || len(columns) == 0 {
		t.Fatalf("%d rows of %d", len(rows), len(facts))
	}
	for _, f := range facts {
		for u := range Use(UseCount) {
			want, ok := letters[rows[f.name][2*u]]
			if got := Judge(u, f.fact, true, DefaultSettings()); !ok || got != want {
				t.Errorf("%s, %s: %v, %s", f.name, u, got.Allowed, got.Reason)
			}
			got := Judge(u, f.fact, false, DefaultSettings())
			if sends := u == Probe || u == Write || u == Read; sends && got != (Verdict{false, ReasonNotListed}) || !sends && got != want {
				t.Errorf("%s, %s, not listed: %v, %s", f.name, u, got.Allowed, got.Reason)
			}
		}
	}
}

func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name       string
		copy, seen Mark
		want       Standing
	}{
		{"nobody has said", Mark{5, 100}, Mark{}, StandingUnseen},
		{"nobody has said, and there is no copy", Mark{}, Mark{}, StandingUnseen},
		{"all that was seen is in it", Mark{5, 100}, Mark{5, 100}, StandingCurrent},
		{"more is in it than was seen", Mark{5, 100}, Mark{5, 90}, StandingCurrent},
		{"a later start than was seen", Mark{5, 1}, Mark{4, 900}, StandingCurrent},
		{"the last batch is missing", Mark{5, 100}, Mark{5, 140}, StandingShort},
		{"more is missing than a crash loses", Mark{5, 100}, Mark{5, 151}, StandingBehind},
		{"a later start was seen", Mark{5, 100}, Mark{6, 1}, StandingBehind},
		{"no copy, and something was seen", Mark{}, Mark{5, 1}, StandingBehind},
	} {
		if got := Compare(c.copy, c.seen, 50); got != c.want {
			t.Errorf("%s: %d", c.name, got)
		}
	}
}

// Whatever is restored, told and answered in whatever order: nothing is proven that neither this process nor a steady peer
// said; own answers are never put in doubt by others; what is not proven is counted; the book stays within its bound; and
// what Judge allows on a restored entry without proof is only careful.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{Capacity: 12, MaxAge: 30e9}
		b, err := NewLedger(set)
		if err != nil {
			t.Fatal(err)
		}
		now := clock.Nanos(1e12)
		type said struct{ own, steady bool }
		words := map[string]*said{} // by key and word
		own := map[entryKey]bool{}
		old := false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += rapid.Int64Range(0, 1e9).Draw(t, "passes")
			e := crdt.Entry{Kind: rapid.SampledFrom([]crdt.Kind{crdt.SessionCommit, crdt.PrimaryClaim, crdt.ServerPosition, crdt.PendingWrite, crdt.Usage, crdt.Hint}).Draw(t, "kind"),
				A: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "a"), B: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "b"), At: rapid.Int64Range(1, 3).Draw(t, "at"),
				Server: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "server"), From: crdt.Origin{Name: "r", Boot: 1}, Seq: rapid.Uint64Range(1, 3).Draw(t, "seq"),
				Age: rapid.Int64Range(0, 1e11).Draw(t, "age")}
			if e.Kind != crdt.PrimaryClaim {
				e.Server = ""
			}
			e.Count = e.At
			if e.Kind == crdt.Hint { // an origin's number names one word
				e.At, e.Count = 0, 0
			}
			name := func(e crdt.Entry) string {
				return fmt.Sprint(keyOf(&e), e.At, e.Server, e.Seq*uint64(boolInt(e.Kind == crdt.Hint)))
			}
			if e.Kind == crdt.PendingWrite { // there is but one word of it
				e.At, e.Count = 1, 1
			}
			w := words[name(e)]
			if w == nil {
				w = &said{}
				words[name(e)] = w
			}
			switch rapid.IntRange(0, 5).Draw(t, "do") {
			case 0, 1:
				b.AddRestored(now, e, rapid.Bool().Draw(t, "unsure"))
			case 2:
				b.AddOwn(now, e)
				w.own, own[keyOf(&e)] = true, true
			case 3, 4:
				steady := rapid.Bool().Draw(t, "steady")
				b.AddFromPeer(now, e, steady)
				w.steady = w.steady || steady
			case 5:
				if rapid.Bool().Draw(t, "old") {
					b.DistrustRestored()
					old = true
				} else {
					b.Refute(e)
				}
			}
			doubted := [ProvenanceCount]int{}
			for k, n := range b.facts {
				f, of := b.Fact(now, n.entry)
				w := words[name(of)]
				if f.Proven && (w == nil || !w.own && !w.steady) {
					t.Fatalf("%v is proven (%+v), and nobody has said it who could know", of, f)
				}
				if f.Proven && f.Refuted {
					t.Fatalf("%v is both", of)
				}
				if own[k] && f.Provenance != OwnResponse {
					delete(own, k) // it was forgotten meanwhile, and noted again
				}
				if old && f.Provenance == FromDisk && !f.MinAgeOnly {
					t.Fatalf("%v is of a copy that was put back, and sure", of)
				}
				if !f.Proven {
					doubted[f.Provenance]++
					for u := range Use(UseCount) {
						if v := Judge(u, f, true, set); v.Allowed && f.Provenance != OwnResponse && u != RaisePosition && u != AssumeMayHaveRun && u != Probe && u != CountUsage {
							t.Fatalf("%s on %+v: %s", u, f, v.Reason)
						}
					}
				}
			}
			if b.Size() > set.Capacity || len(b.order) > set.Capacity || doubted != b.unconfirmed {
				t.Fatalf("%d facts, doubted %v, counted %v", b.Size(), doubted, b.unconfirmed)
			}
		}
	})
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// One entry's way, step by step.
func TestWay(t *testing.T) {
	b, err := NewLedger(DefaultSettings())
	if err != nil {
		t.Fatal(err)
	}
	of := func(server string, at int64) crdt.Entry {
		return crdt.Entry{Kind: crdt.PrimaryClaim, A: "1", Server: server, At: at, Age: 5}
	}
	for i, step := range []struct {
		do   func()
		says string
		fact Fact
	}{
		{func() { b.AddRestored(100, of("x", 10), false) }, "x", Fact{Provenance: FromDisk, Age: 5}},
		{func() { b.AddFromPeer(101, of("x", 10), false) }, "x", Fact{Provenance: FromDisk, Age: 6}},
		{func() { b.AddFromPeer(102, of("y", 9), true) }, "x", Fact{Provenance: FromDisk, Age: 7}}, // an older word
		{func() { b.AddFromPeer(103, of("x", 10), true) }, "x", Fact{Provenance: FromDisk, Age: 8, Proven: true}},
		{func() { b.Refute(of("x", 10)) }, "x", Fact{Provenance: FromDisk, Age: 8, Refuted: true}},
		{func() { b.AddFromPeer(104, of("x", 10), true) }, "x", Fact{Provenance: FromDisk, Age: 9, Refuted: true}},
		{func() { b.AddFromPeer(105, of("y", 12), true) }, "y", Fact{Provenance: FromPeer, Age: 5, Proven: true}},
		{func() { b.AddOwn(106, of("z", 11)) }, "z", Fact{Provenance: OwnResponse, Age: 5, Proven: true}},
		{func() { b.AddFromPeer(107, of("y", 13), true) }, "z", Fact{Provenance: OwnResponse, Age: 6, Proven: true}},
		{func() { b.AddRestored(107, of("y", 14), false) }, "z", Fact{Provenance: OwnResponse, Age: 6, Proven: true}},
	} {
		step.do()
		now := []clock.Nanos{100, 101, 102, 103, 103, 104, 105, 106, 107, 107}[i]
		if f, e := b.Fact(now, of("", 0)); f != step.fact || e.Server != step.says {
			t.Errorf("step %d: %s, %+v", i, e.Server, f)
		}
	}
	if f, _ := b.Fact(0, crdt.Entry{Kind: crdt.SessionCommit}); f.Provenance != Unknown {
		t.Errorf("%+v", f)
	}
}
