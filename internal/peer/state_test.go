package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lotushook/policy/crdt"
	"lotushook/policy/membership"
)

// sharer is a router that shares what it learns.
func sharer(t *testing.T, name string, of []string, seeds ...string) (*Peers, *State, func()) {
	t.Helper()
	now := func() int64 { return int64(time.Since(began)) }
	boot := uint64(time.Since(began))
	st, err := NewState(crdt.DefaultSettings(crdt.Origin{Name: name, Boot: boot}), now)
	if err != nil {
		t.Fatal(err)
	}
	s := membership.DefaultSettings(name, "", boot, len(of))
	s.Allowed, s.IsolatedShare, s.Seeds, s.ProbeInterval, s.AckTimeout = of, 0.5, seeds, 50e6, 20e6
	p, err := Listen(Options{Cluster: "x", Listen: "127.0.0.1:0", Member: s, Keys: [][]byte{oldKey}, State: st, Now: now})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return p, st, stop
}

func commit(s *State, session string) (at int64) {
	s.Look("1", session, func(store *crdt.Store, _ int64) { at, _ = store.CommitPosition("1", session) })
	return at
}

func equal(x, y *State) bool {
	cx, cy := x.copy(nil), y.copy(nil)
	return fmt.Sprint(cx.Digest, cx.Size) == fmt.Sprint(cy.Digest, cy.Size)
}

// What one learns the others know; one that comes back empty gets all of it again, what it had learned itself before too, in
// pieces, while it hears what is new.
func TestStateSpreads(t *testing.T) {
	names := []string{"a", "b", "c"}
	a, sa, _ := sharer(t, "a", names)
	_, sb, stopB := sharer(t, "b", names, a.Address())
	_, sc, _ := sharer(t, "c", names, a.Address())
	until(t, "all know all", func() bool { return states(a) == "a alive, b alive, c alive" })
	sb.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "s", At: 7})
	until(t, "b's commit is known", func() bool { return commit(sa, "s") == 7 && commit(sc, "s") == 7 })
	for i := range 5000 { // more than a push carries, and than a piece
		sb.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: fmt.Sprint("many-", i), At: int64(100 + i)})
	}
	until(t, "all copies are equal", func() bool { return equal(sa, sb) && equal(sa, sc) })
	stopB()
	sc.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "s", At: 9})
	_, sb, _ = sharer(t, "b", names, a.Address())
	until(t, "b has caught up", func() bool {
		return commit(sb, "s") == 9 && commit(sb, "many-17") == 117 && equal(sa, sb) && equal(sa, sc)
	})
}

// Who is no member is not believed, whatever it shares.
func TestStateOfStrangers(t *testing.T) {
	a, sa, _ := sharer(t, "a", []string{"a", "b"})
	raw, err := seal(&envelope{Cluster: "x", From: "b", Address: "127.0.0.1:9", Session: 7, To: a.session, Count: 1,
		State: &state{Push: &push{Number: 1, Entries: []entry{{Kind: 1, A: "1", B: "s", At: 5, Name: "b", Boot: 1, Seq: 1}}}}}, oldKey)
	if err != nil {
		t.Fatal(err)
	}
	say(t, a.Address(), raw)
	until(t, "it was taken", func() bool { return a.Counts().Taken == 1 })
	time.Sleep(50 * time.Millisecond)
	if at := commit(sa, "s"); at != 0 {
		t.Errorf("a commit at %d was believed", at)
	}
}

// An answer that waits goes out with the first member's word, and without one when its time is over; who waits holds nobody up.
func TestAssure(t *testing.T) {
	names := []string{"a", "b", "c"}
	a, sa, _ := sharer(t, "a", names)
	gone := make(chan struct{})
	if sa.LearnDurably(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "early", At: 1}, time.Millisecond, nil) {
		t.Error("a word came from nobody")
	}
	_, sb, _ := sharer(t, "b", names, a.Address())
	until(t, "both know both", func() bool { return states(a) == "a alive, b alive" })
	for i := range 20 {
		name := fmt.Sprint("s", i)
		if !sa.LearnDurably(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: name, At: int64(10 + i)}, 20*time.Second, gone) || commit(sb, name) != int64(10+i) {
			t.Fatalf("%s: no word, or b has it at %d", name, commit(sb, name))
		}
	}
	if c := a.Report().State; c.Waits.Acknowledged != 20 || c.Waits.Over != 1 || c.Waits.LongestMS <= 0 {
		t.Errorf("%+v", c.Waits)
	}
}

// The same through one shard and through 64: what each question is answered with, and the sums over all.
func TestShardsGiveTheSame(t *testing.T) {
	now := int64(0)
	clock := func() int64 { return now }
	one, err := newState(crdt.DefaultSettings(crdt.Origin{Name: "a", Boot: 1}), clock, 1)
	if err != nil {
		t.Fatal(err)
	}
	many, _ := newState(crdt.DefaultSettings(crdt.Origin{Name: "a", Boot: 1}), clock, 64)
	rng := rand.New(rand.NewPCG(1, 2))
	for step := range 5000 {
		now += int64(rng.IntN(20e6))
		e := crdt.Entry{Kind: crdt.Kind(1 + rng.IntN(6)), A: fmt.Sprint(rng.IntN(5)), B: fmt.Sprint(rng.IntN(40)), At: rng.Int64N(200e9), Count: rng.Int64N(100)}
		if e.Kind == crdt.ServerPosition {
			e.B = ""
		}
		if rng.IntN(2) == 0 {
			e.From, e.Seq = crdt.Origin{Name: "b", Boot: 1}, uint64(step+1)
			was, covered := one.take(&e)
			if is, c := many.take(&e); is != was || c != covered {
				t.Fatalf("step %d: %+v: taken %v and %v, covered %v and %v", step, e, was, is, covered, c)
			}
		} else if was, is := one.Learn(e), many.Learn(e); was != is {
			t.Fatalf("step %d: %+v: learned %v and %v", step, e, was, is)
		}
		verdicts := func(s *State) (out string) {
			s.Look(e.A, e.B, func(store *crdt.Store, now int64) {
				at, known := store.CommitPosition(e.A, e.B)
				out = fmt.Sprint(at, known, store.MayHaveRun(now, e.A, e.B), store.Usage(e.A, e.B))
			})
			s.Look(e.A, "", func(store *crdt.Store, now int64) {
				server, born, at := store.Primary(e.A)
				applied, _, _ := store.AppliedPosition(now, e.A, 0)
				out += fmt.Sprint(server, born, at, applied, len(store.Hints(now, e.A)))
			})
			return out
		}
		if was, is := verdicts(one), verdicts(many); was != is {
			t.Fatalf("step %d: %+v: %s and %s", step, e, was, is)
		}
	}
	one.takePending()
	many.takePending()
	if x, y := one.copy(nil), many.copy(nil); fmt.Sprint(x.Size) != fmt.Sprint(y.Size) || x.Size["session"] == 0 {
		t.Errorf("%v and %v", x.Size, y.Size)
	}
}

// Eight goroutines learn, ask and look over all at once.
func TestStateOfManyGoroutines(t *testing.T) {
	s, err := NewState(crdt.DefaultSettings(crdt.Origin{Name: "a", Boot: 1}), func() int64 { return int64(time.Since(began)) })
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for g := range 8 {
		all.Go(func() {
			last := int64(0)
			for i := range 2000 {
				name := fmt.Sprint("s", (i+g)%50)
				s.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: name, At: int64(i + 1)})
				if at := commit(s, name); at < int64(i+1) {
					t.Errorf("%s at %d, learned %d", name, at, i+1)
				}
				if i%100 == 0 {
					s.takePending()
				}
				if at := commit(s, "s0"); at < last {
					t.Errorf("s0 fell from %d to %d", last, at)
				} else {
					last = at
				}
			}
		})
	}
	all.Wait()
}

// BenchmarkState measures nine looks at a commit to one that is learned, by turns in one shard and in as many as a router has.
func BenchmarkState(b *testing.B) {
	const looks = 5_000
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("session-", i)
	}
	for _, goroutines := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprint("goroutines=", goroutines), func(b *testing.B) {
			now := func() int64 { return int64(time.Since(began)) }
			set := crdt.DefaultSettings(crdt.Origin{Name: "a", Boot: 1})
			one, _ := newState(set, now, 1)
			many, _ := newState(set, now, pieces)
			var took [2]time.Duration
			n := 0
			for b.Loop() {
				n++
				for k, s := range []*State{one, many} {
					var all sync.WaitGroup
					from := time.Now()
					for g := range goroutines {
						all.Go(func() {
							for i := range looks {
								name := names[(i*31+g*2499)%len(names)]
								if i%10 == 0 {
									s.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: name, At: int64(n*looks + i)})
								} else {
									s.Look("1", name, func(store *crdt.Store, _ int64) { store.CommitPosition("1", name) })
								}
							}
						})
					}
					all.Wait()
					took[k] += time.Since(from)
					s.takePending()
				}
			}
			count := float64(n * goroutines * looks)
			b.ReportMetric(float64(took[0].Nanoseconds())/count, "ns/one")
			b.ReportMetric(float64(took[1].Nanoseconds())/count, "ns/shards")
			b.ReportMetric(took[0].Seconds()/took[1].Seconds(), "times")
		})
	}
}

// A report of a level travels in one short datagram: what the lanes' simulation counts for it.
func TestLevelBytes(t *testing.T) {
	e := crdt.NewSheddingLevel("1000", 1200, 186, 100_000)
	e.From, e.Seq = crdt.Origin{Name: "r0001", Boot: 1 << 60}, 100_000
	raw, err := seal(&envelope{Cluster: "oberland", From: e.From.Name, Address: "10.7.255.255:7400", Session: 1<<64 - 1, To: 1<<64 - 1, Count: 1 << 40, State: &state{Push: &push{Number: 1, Entries: []entry{wire(&e)}}}}, oldKey)
	if err != nil || len(raw) > 160 {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
	t.Log(len(raw))
}
