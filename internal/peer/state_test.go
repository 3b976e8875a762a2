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

// startStateRouter starts a router that replicates state.
func startStateRouter(t *testing.T, name string, names []string, seeds ...string) (*Peers, *State, func()) {
	t.Helper()
	now := func() int64 { return int64(time.Since(testStart)) }
	epoch := uint64(time.Since(testStart))
	state, err := NewState(crdt.DefaultSettings(crdt.Origin{Name: name, Boot: epoch}), now)
	if err != nil {
		t.Fatal(err)
	}
	settings := membership.DefaultSettings(name, "", epoch, len(names))
	settings.AllowedNames, settings.IsolatedShare, settings.Seeds, settings.ProbeInterval, settings.AckTimeout = names, 0.5, seeds, 50e6, 20e6
	peers, err := Listen(Options{Cluster: "x", Listen: "127.0.0.1:0", Membership: settings, Keys: [][]byte{oldKey}, State: state, Now: now})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { peers.Run(ctx); close(done) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return peers, state, stop
}

func commitPosition(state *State, session string) (position int64) {
	state.WithShard("1", session, func(store *crdt.Store, _ int64) { position, _ = store.CommitPosition("1", session) })
	return position
}

func equal(first, second *State) bool {
	firstReport, secondReport := first.copy(nil), second.copy(nil)
	return fmt.Sprint(firstReport.Digest, firstReport.Size) == fmt.Sprint(secondReport.Digest, secondReport.Size)
}

// Entries that one router learns reach all others. A router that restarts with an empty copy receives all entries again
// in pieces, including those that it had learned itself before the restart.
func TestStateReplicates(t *testing.T) {
	names := []string{"a", "b", "c"}
	a, stateA, _ := startStateRouter(t, "a", names)
	_, stateB, stopB := startStateRouter(t, "b", names, a.Address())
	_, stateC, _ := startStateRouter(t, "c", names, a.Address())
	waitFor(t, "all know all", func() bool { return states(a) == "a alive, b alive, c alive" })
	stateB.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "s", At: 7})
	waitFor(t, "b's commit is known", func() bool { return commitPosition(stateA, "s") == 7 && commitPosition(stateC, "s") == 7 })
	for i := range 5000 { // more than fit into a batch or a piece
		stateB.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: fmt.Sprint("many-", i), At: int64(100 + i)})
	}
	waitFor(t, "all copies are equal", func() bool { return equal(stateA, stateB) && equal(stateA, stateC) })
	stopB()
	stateC.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "s", At: 9})
	_, stateB, _ = startStateRouter(t, "b", names, a.Address())
	waitFor(t, "b has caught up", func() bool {
		return commitPosition(stateB, "s") == 9 && commitPosition(stateB, "many-17") == 117 && equal(stateA, stateB) && equal(stateA, stateC)
	})
}

// Entries from a sender that is not a member are ignored, even if the message is signed with the right key.
func TestStateOfNonMemberIsRejected(t *testing.T) {
	a, stateA, _ := startStateRouter(t, "a", []string{"a", "b"})
	sealed, err := seal(&envelope{Cluster: "x", From: "b", Address: "127.0.0.1:9", Session: 7, To: a.session, Sequence: 1,
		State: &stateMessage{Batch: &batch{Number: 1, Entries: []wireEntry{{Kind: 1, A: "1", B: "s", At: 5, Name: "b", Epoch: 1, Seq: 1}}}}}, oldKey)
	if err != nil {
		t.Fatal(err)
	}
	sendDatagrams(t, a.Address(), sealed)
	waitFor(t, "the message is received", func() bool { return a.Counts().Accepted == 1 })
	time.Sleep(50 * time.Millisecond)
	if position := commitPosition(stateA, "s"); position != 0 {
		t.Errorf("a commit at %d from a non-member was merged", position)
	}
}

// LearnDurably returns true after the first acknowledgement by another member, and false at once or at the timeout if
// there is no other member.
func TestLearnDurably(t *testing.T) {
	names := []string{"a", "b", "c"}
	a, stateA, _ := startStateRouter(t, "a", names)
	canceled := make(chan struct{})
	if stateA.LearnDurably(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "early", At: 1}, time.Millisecond, nil) {
		t.Error("acknowledged without another member")
	}
	_, stateB, _ := startStateRouter(t, "b", names, a.Address())
	waitFor(t, "both know both", func() bool { return states(a) == "a alive, b alive" })
	for i := range 20 {
		name := fmt.Sprint("s", i)
		if !stateA.LearnDurably(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: name, At: int64(10 + i)}, 20*time.Second, canceled) || commitPosition(stateB, name) != int64(10+i) {
			t.Fatalf("%s: not acknowledged, or b has the commit at %d", name, commitPosition(stateB, name))
		}
	}
	if report := a.Report().State; report.Waits.Acknowledged != 20 || report.Waits.TimedOut != 1 || report.Waits.LongestMS <= 0 {
		t.Errorf("%+v", report.Waits)
	}
}

// A copy with 64 shards gives the same answers as one with a single shard, and the same total sizes.
func TestShardingGivesSameAnswers(t *testing.T) {
	now := int64(0)
	clock := func() int64 { return now }
	unsharded, err := newState(crdt.DefaultSettings(crdt.Origin{Name: "a", Boot: 1}), clock, 1)
	if err != nil {
		t.Fatal(err)
	}
	sharded, _ := newState(crdt.DefaultSettings(crdt.Origin{Name: "a", Boot: 1}), clock, 64)
	rng := rand.New(rand.NewPCG(1, 2))
	for step := range 5000 {
		now += int64(rng.IntN(20e6))
		entry := crdt.Entry{Kind: crdt.Kind(1 + rng.IntN(6)), A: fmt.Sprint(rng.IntN(5)), B: fmt.Sprint(rng.IntN(40)), At: rng.Int64N(200e9), Count: rng.Int64N(100)}
		if entry.Kind == crdt.ServerPosition {
			entry.B = ""
		}
		if rng.IntN(2) == 0 {
			entry.From, entry.Seq = crdt.Origin{Name: "b", Boot: 1}, uint64(step+1)
			expected, covered := unsharded.merge(&entry)
			if got, gotCovered := sharded.merge(&entry); got != expected || gotCovered != covered {
				t.Fatalf("step %d: %+v: changed %v and %v, covered %v and %v", step, entry, expected, got, covered, gotCovered)
			}
		} else if expected, got := unsharded.Learn(entry), sharded.Learn(entry); expected != got {
			t.Fatalf("step %d: %+v: learned %v and %v", step, entry, expected, got)
		}
		answers := func(state *State) (text string) {
			state.WithShard(entry.A, entry.B, func(store *crdt.Store, now int64) {
				at, known := store.CommitPosition(entry.A, entry.B)
				text = fmt.Sprint(at, known, store.MayHaveRun(now, entry.A, entry.B), store.Usage(entry.A, entry.B))
			})
			state.WithShard(entry.A, "", func(store *crdt.Store, now int64) {
				server, born, at := store.Primary(entry.A)
				applied, _, _ := store.AppliedPosition(now, entry.A, 0)
				text += fmt.Sprint(server, born, at, applied, len(store.Hints(now, entry.A)))
			})
			return text
		}
		if expected, got := answers(unsharded), answers(sharded); expected != got {
			t.Fatalf("step %d: %+v: %s and %s", step, entry, expected, got)
		}
	}
	unsharded.takePending()
	sharded.takePending()
	if unshardedReport, shardedReport := unsharded.copy(nil), sharded.copy(nil); fmt.Sprint(unshardedReport.Size) != fmt.Sprint(shardedReport.Size) || unshardedReport.Size["session"] == 0 {
		t.Errorf("%v and %v", unshardedReport.Size, shardedReport.Size)
	}
}

// Eight goroutines learn entries, look them up and take pending ones concurrently. Positions must never decrease.
func TestConcurrentUseOfState(t *testing.T) {
	state, err := NewState(crdt.DefaultSettings(crdt.Origin{Name: "a", Boot: 1}), func() int64 { return int64(time.Since(testStart)) })
	if err != nil {
		t.Fatal(err)
	}
	var goroutines sync.WaitGroup
	for worker := range 8 {
		goroutines.Go(func() {
			lastPosition := int64(0)
			for i := range 2000 {
				name := fmt.Sprint("s", (i+worker)%50)
				state.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: name, At: int64(i + 1)})
				if position := commitPosition(state, name); position < int64(i+1) {
					t.Errorf("%s at %d, learned %d", name, position, i+1)
				}
				if i%100 == 0 {
					state.takePending()
				}
				if position := commitPosition(state, "s0"); position < lastPosition {
					t.Errorf("s0 decreased from %d to %d", lastPosition, position)
				} else {
					lastPosition = position
				}
			}
		})
	}
	goroutines.Wait()
}

// BenchmarkState measures nine lookups of a commit for each commit that is learned, alternately with one shard and with
// as many as a router has.
func BenchmarkState(b *testing.B) {
	const operations = 5_000
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("session-", i)
	}
	for _, goroutines := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprint("goroutines=", goroutines), func(b *testing.B) {
			now := func() int64 { return int64(time.Since(testStart)) }
			settings := crdt.DefaultSettings(crdt.Origin{Name: "a", Boot: 1})
			unsharded, _ := newState(settings, now, 1)
			sharded, _ := newState(settings, now, shardCount)
			var elapsed [2]time.Duration
			rounds := 0
			for b.Loop() {
				rounds++
				for kind, state := range []*State{unsharded, sharded} {
					var workers sync.WaitGroup
					startedAt := time.Now()
					for worker := range goroutines {
						workers.Go(func() {
							for i := range operations {
								name := names[(i*31+worker*2499)%len(names)]
								if i%10 == 0 {
									state.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: name, At: int64(rounds*operations + i)})
								} else {
									state.WithShard("1", name, func(store *crdt.Store, _ int64) { store.CommitPosition("1", name) })
								}
							}
						})
					}
					workers.Wait()
					elapsed[kind] += time.Since(startedAt)
					state.takePending()
				}
			}
			count := float64(rounds * goroutines * operations)
			b.ReportMetric(float64(elapsed[0].Nanoseconds())/count, "ns/one")
			b.ReportMetric(float64(elapsed[1].Nanoseconds())/count, "ns/shards")
			b.ReportMetric(elapsed[0].Seconds()/elapsed[1].Seconds(), "times")
		})
	}
}

// A shedding level fits into a datagram of at most 160 bytes, the size that the simulation of load shedding assumes.
func TestSheddingLevelFitsShortDatagram(t *testing.T) {
	entry := crdt.NewSheddingLevel("1000", 1200, 186, 100_000)
	entry.From, entry.Seq = crdt.Origin{Name: "r0001", Boot: 1 << 60}, 100_000
	sealed, err := seal(&envelope{Cluster: "oberland", From: entry.From.Name, Address: "10.7.255.255:7400", Session: 1<<64 - 1, To: 1<<64 - 1, Sequence: 1 << 40, State: &stateMessage{Batch: &batch{Number: 1, Entries: []wireEntry{encodeEntry(&entry)}}}}, oldKey)
	if err != nil || len(sealed) > 160 {
		t.Errorf("%d bytes, %v", len(sealed), err)
	}
	t.Log(len(sealed))
}
