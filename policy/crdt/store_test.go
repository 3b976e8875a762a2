package crdt

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

const second = clock.Nanos(1e9)

func store(t interface{ Fatal(...any) }, name string, most int) *Store {
	set := DefaultSettings(Origin{name, 1})
	set.LevelLifetime = set.HintLifetime // what is forgotten at one copy before another is no matter of joins
	if most > 0 {
		for k := SessionCommit; k < kindCount; k++ {
			set.MaxEntries[k] = most
		}
	}
	s, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// drawn is something that a router might learn; few names, so that much is joined.
func drawn(t *rapid.T) Entry {
	e := Entry{Kind: Kind(rapid.IntRange(int(SessionCommit), int(LastKind)).Draw(t, "kind")), Subject: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "a"),
		Qualifier: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "b")), Position: int64(rapid.IntRange(1, 40).Draw(t, "at"))}
	switch e.Kind {
	case PrimaryClaim:
		e.Qualifier, e.Server, e.Incarnation = "", rapid.SampledFrom([]string{"x", "y"}).Draw(t, "server"), int64(rapid.IntRange(0, 2).Draw(t, "born"))
	case ServerPosition:
		e.Qualifier, e.Incarnation = "", int64(rapid.IntRange(0, 2).Draw(t, "born"))
	case Usage:
		e.Position, e.Count = 0, int64(rapid.IntRange(1, 40).Draw(t, "count"))
	case PendingWrite, Hint, SheddingLevel:
		e.Position = 0
	case FeedCursor: // few generations and histories, so that all of the order is met
		e.Count, e.Incarnation, e.Acked = int64(rapid.IntRange(1, 3).Draw(t, "gen")), int64(rapid.IntRange(1, 2).Draw(t, "history"))<<32, e.Position/2
	}
	return e
}

func differ(x, y *Store) string {
	for k := SessionCommit; k < kindCount; k++ {
		if x.Digest(k) != y.Digest(k) {
			set := map[string]bool{}
			for _, e := range x.Difference(0, k, y.All(0, k), 3) {
				set[fmt.Sprintf("%s %s/%s at %d of %v", e.Kind, e.Subject, e.Qualifier, e.Position, e.Origin)] = true
			}
			return fmt.Sprintf("%s: %v", k, set)
		}
	}
	return ""
}

// Copies that got the same entries in any order, some of them twice, are equal, also when they had no room for all.
func TestJoinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Entry
		for i := range 4 {
			s := store(t, fmt.Sprint("o", i), 0)
			for range rapid.IntRange(0, 30).Draw(t, "learned") {
				s.Learn(0, drawn(t))
			}
			for k := SessionCommit; k < kindCount; k++ {
				all = append(all, s.All(0, k)...)
			}
		}
		most := rapid.SampledFrom([]int{0, 3}).Draw(t, "most")
		x, y := store(t, "x", most), store(t, "y", most)
		for _, e := range all {
			x.Merge(0, e)
		}
		for _, i := range rapid.Permutation(append(index(len(all)), index(len(all))...)).Draw(t, "order") {
			y.Merge(0, all[i])
		}
		if d := differ(x, y); d != "" {
			t.Fatal(d)
		}
		for _, e := range all {
			ax, kx := x.CommitPosition(e.Subject, e.Qualifier)
			if ay, ky := y.CommitPosition(e.Subject, e.Qualifier); e.Kind == SessionCommit && (ax != ay || kx != ky || ax < e.Position && x.evicted[SessionCommit] || ax < e.Position && kx) {
				t.Fatalf("session %s/%s at %d: %d %v, %d %v", e.Subject, e.Qualifier, e.Position, ax, kx, ay, ky)
			}
		}
	})
}

func index(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Routers that push over lossy ways, ask each other for what they lack in small pieces, restart empty and come back agree in
// the end; nothing that was told and is not over falls back.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "routers")
		all, boots, now := make([]*Store, n), make([]uint64, n), clock.Nanos(0)
		for i := range all {
			all[i], boots[i] = store(t, fmt.Sprint("r", i), 0), 1
		}
		room := rapid.SampledFrom([]int{250, 400, 10_000}).Draw(t, "room")
		pull := func(i, j int) { all[i].MergeRuns(now, all[j].Since(now, all[i].VersionVector(), room)) }
		had := map[string]int64{} // of sessions, by any router that is up all along
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += second / 10
			i, j := rapid.IntRange(0, n-1).Draw(t, "i"), rapid.IntRange(0, n-1).Draw(t, "j")
			switch rapid.IntRange(0, 9).Draw(t, "do") {
			case 0, 1, 2, 3:
				e := drawn(t)
				all[i].Learn(now, e)
				if e.Kind == SessionCommit && i == 0 {
					had[e.Subject+"/"+e.Qualifier] = max(had[e.Subject+"/"+e.Qualifier], e.Position)
				}
			case 4, 5:
				for _, e := range all[i].TakePending(now, 300) {
					for k := range all {
						if k != i && rapid.Bool().Draw(t, "arrives") {
							all[k].Merge(now, e)
						}
					}
				}
			case 6, 7:
				if i != j {
					pull(i, j)
				}
			case 8:
				if i > 0 { // empty, as another process
					boots[i]++
					set := DefaultSettings(Origin{fmt.Sprint("r", i), boots[i]})
					set.LevelLifetime = set.HintLifetime
					s, err := New(set)
					if err != nil {
						t.Fatal(err)
					}
					all[i] = s
				}
			}
		}
		for range 200 {
			for i := range all {
				for j := range all {
					if i != j {
						pull(i, j)
					}
				}
			}
		}
		for i := range all[1:] {
			if d := differ(all[0], all[i+1]); d != "" {
				t.Fatalf("r0 and r%d: %s", i+1, d)
			}
		}
		for key, at := range had {
			var a, b string
			_, _ = fmt.Sscanf(key, "%1s/%s", &a, &b) // what follows shows it
			if got, known := all[n-1].CommitPosition(a, b); !known || got < at {
				t.Fatalf("session %s: %d, learned %d", key, got, at)
			}
		}
	})
}

// Whatever comes, what is held is bounded, and a position of the future is not believed once this router knows any.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := store(t, "r", 5)
		s.settings.MaxOrigins = 4
		for i := range 300 {
			e := Entry{Kind: Kind(rapid.IntRange(0, 8).Draw(t, "kind")), Subject: rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "a"), Qualifier: fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "b")),
				Incarnation: rapid.Int64().Draw(t, "born"), Position: rapid.Int64().Draw(t, "at"), Count: rapid.Int64().Draw(t, "count"), Seq: rapid.Uint64().Draw(t, "seq"),
				Age: rapid.Int64().Draw(t, "age"), Origin: Origin{fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "from")), rapid.Uint64().Draw(t, "boot")}}
			s.Merge(clock.Nanos(i), e)
			s.MergeRuns(clock.Nanos(i), []OriginRun{{Origin: e.Origin, UpTo: e.Seq, Entries: []Entry{e}}})
			s.Expire(clock.Nanos(i))
			logged := 0
			for _, l := range s.logs {
				logged += len(l.entries)
			}
			for k := SessionCommit; k < kindCount; k++ {
				if s.Size(k) > 5 {
					t.Fatalf("%d of %s", s.Size(k), k)
				}
			}
			if len(s.logs) > 4 || len(s.seenUpTo) > 5 || len(s.entries) > 30 || logged > 30+4*130 {
				t.Fatalf("%d logs of %d, %d seen, %d entries", len(s.logs), logged, len(s.seenUpTo), len(s.entries))
			}
		}
	})
	s := store(t, "r", 0)
	s.Merge(0, Entry{Kind: ServerPosition, Subject: "h", Position: 1e6 * second, Origin: Origin{"liar", 1}, Seq: 1})
	applied := func() int64 { at, _, _ := s.AppliedPosition(0, "h", 0); return at }
	if applied() == 0 {
		t.Error("a router that knows nothing believes the first it hears")
	}
	s.Learn(0, Entry{Kind: ServerPosition, Subject: "h", Position: 5 * second})
	if applied() != 5*second || s.Rejected() != 1 {
		t.Errorf("%d after it has learned better, %d refused", applied(), s.Rejected())
	}
	if s.Merge(0, Entry{Kind: SessionCommit, Subject: "1", Qualifier: "s", Position: 100 * second, Origin: Origin{"liar", 1}, Seq: 2}) {
		t.Error("a commit of the future was believed")
	}
}

// Ages travel, not points: windows end on each router's own clock, and what is over does not come back.
func TestWindows(t *testing.T) {
	a, b := store(t, "a", 0), store(t, "b", 0)
	skew := 3600 * second
	a.Learn(0, Entry{Kind: PendingWrite, Subject: "ausleihe", Qualifier: "k"})
	a.Learn(0, Entry{Kind: Hint, Subject: "halle-a dark"})
	a.Learn(0, NewSheddingLevel("1", 300, 77, 5))
	a.Learn(4*second, NewSheddingLevel("1", 310, 78, 6))
	late := a.Since(20*second, nil, 1000)
	b.MergeRuns(20*second+skew, a.Since(5*second, nil, 1000)) // it took 15 s to come
	if !b.MayHaveRun(20*second+skew, "ausleihe", "k") || len(b.Hints(20*second+skew, "halle-a dark")) != 1 {
		t.Error("what a learned is not known at b")
	}
	c := store(t, "c", 0)
	c.settings.LevelLifetime = 2 * second
	if c.MergeRuns(5*second+skew, a.Since(5*second, nil, 1000)); c.Size(SheddingLevel) != 1 {
		t.Error("a's level is not known at c, or twice")
	}
	l := c.SheddingLevels(5500*second/1000 + skew)
	if len(l) != 1 || l[0].Age != 3*second/2 {
		t.Fatalf("%+v", l)
	}
	if load, wish, epoch := l[0].SheddingLevel(); load != 310 || wish != 78 || epoch != 6 || len(c.SheddingLevels(6*second+skew)) != 0 {
		t.Errorf("load %d, level %d, epoch %d", load, wish, epoch)
	}
	b.MergeRuns(21*second+skew, late)
	if !b.MayHaveRun(44*second+skew, "ausleihe", "k") || b.MayHaveRun(46*second+skew, "ausleihe", "k") {
		t.Error("the window does not end 30 s after the latest that it may have run")
	}
	b.Expire(60*second + skew)
	if b.Size(PendingWrite)+b.Size(Hint) != 0 {
		t.Error("what is over is kept")
	}
	if b.Merge(60*second+skew, a.All(31*second, PendingWrite)[0]); b.Size(PendingWrite) != 0 {
		t.Error("what is over came back")
	}
}

// Two that claim a group: the later evidence holds, then the later start.
func TestPrimary(t *testing.T) {
	a, b := store(t, "a", 0), store(t, "b", 0)
	a.Learn(0, Entry{Kind: PrimaryClaim, Subject: "1", Server: "x", Incarnation: 1, Position: 10})
	b.Learn(0, Entry{Kind: PrimaryClaim, Subject: "1", Server: "y", Incarnation: 2, Position: 10})
	a.MergeRuns(0, b.Since(0, nil, 1000))
	b.MergeRuns(0, a.Since(0, b.VersionVector(), 1000))
	for _, s := range []*Store{a, b} {
		if server, born, at := s.Primary("1"); server != "y" || born != 2 || at != 10 {
			t.Errorf("%s %d %d", server, born, at)
		}
	}
	if a.Learn(1, Entry{Kind: PrimaryClaim, Subject: "1", Server: "x", Incarnation: 3, Position: 11}); a.Digest(PrimaryClaim) == b.Digest(PrimaryClaim) {
		t.Error("digests do not differ")
	}
	if d := a.Difference(1, PrimaryClaim, b.All(1, PrimaryClaim), 5); len(d) != 1 || d[0].Server != "x" {
		t.Errorf("%+v", d)
	}
	a.Learn(0, Entry{Kind: Usage, Subject: "t", Qualifier: "c", Count: 500})
	b.Learn(0, Entry{Kind: Usage, Subject: "t", Qualifier: "c", Count: 700})
	if a.MergeRuns(2, b.Since(2, a.VersionVector(), 1000)); a.Usage("t", "c") != 1200 {
		t.Errorf("used %d", a.Usage("t", "c"))
	}
}

// A piece that came before the one ahead of it leaves a gap, which is asked for; a window ends by the later of two tries.
func TestGap(t *testing.T) {
	a, b := store(t, "a", 0), store(t, "b", 0)
	for i := range 6 {
		a.Learn(0, Entry{Kind: SessionCommit, Subject: "1", Qualifier: fmt.Sprint(i), Position: int64(i + 1)})
	}
	b.MergeRuns(0, a.Since(0, VersionVector{a.settings.Self: 3}, 1000))
	if b.Size(SessionCommit) != 3 || b.VersionVector()[a.settings.Self] != 0 {
		t.Errorf("%d had, up to %d", b.Size(SessionCommit), b.VersionVector()[a.settings.Self])
	}
	if b.MergeRuns(0, a.Since(0, b.VersionVector(), 1000)); b.Size(SessionCommit) != 6 || b.VersionVector()[a.settings.Self] != 6 {
		t.Errorf("%d had, up to %d", b.Size(SessionCommit), b.VersionVector()[a.settings.Self])
	}
	for k, e := range []Entry{{Origin: Origin{"x", 1}, Age: 1 * second}, {Origin: Origin{"y", 1}, Age: 20 * second}, {Origin: Origin{"w", 1}, Age: 0}} {
		e.Kind, e.Subject, e.Qualifier, e.Seq = PendingWrite, "c", "k", 1
		if b.Merge(0, e); !b.MayHaveRun(28*second, "c", "k") || k == 2 && !b.MayHaveRun(29*second, "c", "k") {
			t.Errorf("after the %d. word the window ends early", k+1)
		}
	}
}
