package shedding

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// reported is any word of one of a few routers; the number of it is its time, so that no process says two things at once.
func reported(t *rapid.T, i int) Report {
	return Report{Group: 1, Router: fmt.Sprint("r", rapid.IntRange(0, 6).Draw(t, "name")), Epoch: uint64(rapid.IntRange(1, 2).Draw(t, "boot")), Seq: uint64(i + 1),
		Age: clock.Nanos(rapid.IntRange(0, 1500).Draw(t, "age")) * ms, Load: rapid.Int64Range(-5, 1<<30).Draw(t, "load"), Threshold: rapid.IntRange(-5, 200).Draw(t, "wish"),
		SaltEpoch: uint64(rapid.IntRange(0, 9).Draw(t, "epoch")), Excluded: rapid.IntRange(0, 5).Draw(t, "out") == 0}
}

// Whatever order reports come in, and however many of them come twice or come after a later word, the answer is one; without
// one of them it lies between the least and the greatest wish of those that are left.
func TestJoinRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Report
		latest := map[string]Report{}
		for i := range rapid.IntRange(0, 20).Draw(t, "reports") {
			r := reported(t, i)
			all = append(all, r)
			if old, ok := latest[r.Router]; !ok || r.Epoch > old.Epoch || r.Epoch == old.Epoch && r.Seq > old.Seq {
				latest[r.Router] = r
			}
		}
		want := Merge(all, second, 150)
		heard, least, most := 0, 1<<30, 0
		for _, r := range latest {
			if r.Age <= second && !r.Excluded {
				heard++
				least, most = min(least, max(0, min(150, r.Threshold))), max(most, max(0, min(150, r.Threshold)))
			}
		}
		if want.Reporters != heard || heard > 0 && (want.Threshold < least || want.Threshold > most) || want.AnyShedding != (heard > 0 && most > 0) {
			t.Fatalf("%+v of %d wishes from %d to %d", want, heard, least, most)
		}
		twice := append([]Report(nil), all...)
		for _, r := range all {
			r.Age -= clock.Nanos(rapid.IntRange(0, int(r.Age/ms)).Draw(t, "younger")) * ms // a copy whose way was not counted
			twice = append(twice, r)
		}
		if got := Merge(rapid.Permutation(twice).Draw(t, "order"), second, 150); got != want {
			t.Fatalf("%+v in another order, with doubles, %+v before", got, want)
		}
	})
}

// A level never falls on old evidence: only when enough routers that count have spoken within Fresh, this router is on the
// larger side and not cut off, or nobody could be heard for so long that it goes alone. It stays within its bounds, and so
// does what is remembered; the epoch never falls.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestNeverFallsOnOldEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := three("r0", 7)
		s.MaxAccounts, s.MaxWriteAffinities, s.MaxGroups = 20, 10, 3
		l := lanes(t, s)
		now, heard, woke, epoch := 1000*second, 1000*second, 1000*second, uint64(0)
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			gap := rapid.SampledFrom([]clock.Nanos{50 * ms, 50 * ms, 100 * ms, 250 * ms, 3 * second, 40 * second, -100 * ms, -3600 * second}).Draw(t, "gap")
			if now += gap; gap < 0 || gap > second || step == 0 {
				heard, woke = now, now
			}
			hot := rapid.Bool().Draw(t, "hot")
			for range rapid.IntRange(0, 6).Draw(t, "requests") {
				v := l.Admit(Request{Team: rapid.IntRange(-1, 4).Draw(t, "team"), Account: uint64(rapid.IntRange(0, 99).Draw(t, "account")), Group: int64(rapid.IntRange(1, 5).Draw(t, "group")), Share: 1}, now)
				if (v.Reason == Shed) != (v.Rank < v.Threshold) {
					t.Fatalf("%+v", v)
				}
				if v.Reason != Shed {
					l.RequestStarted(1, now, 100*ms)
					l.RequestEnded(1, v.PriorityClass, fmt.Sprint("k", step), Outcome{ArrivedAt: now, Elapsed: 10 * ms, LatencyObjective: 100 * ms, Served: !hot, MayHaveRun: true, SessionWritten: fmt.Sprint("s", step)}, now)
				}
			}
			var reports []Report
			names := map[string]Report{}
			for i := range rapid.IntRange(0, 7).Draw(t, "reports") {
				r := reported(t, step*10+i)
				reports = append(reports, r)
				if old, ok := names[r.Router]; !ok || r.Epoch > old.Epoch || r.Epoch == old.Epoch && r.Seq > old.Seq {
					names[r.Router] = r
				}
			}
			fresh := 1 // itself
			for name, r := range names {
				if name != "r0" && r.Age <= second && !r.Excluded {
					fresh++
				}
			}
			sight := Connectivity{Majority: rapid.IntRange(0, 3).Draw(t, "majority") > 0, Isolated: rapid.IntRange(0, 5).Draw(t, "cut") == 0}
			whole := fresh >= 4 && sight.Majority && !sight.Isolated && now-woke >= second
			before := map[int64]int{}
			for n, g := range l.groups {
				before[n] = g.threshold
			}
			if whole || before[1] == 0 {
				heard = now
			}
			l.Tick(now, sight, reports)
			for n, g := range l.groups {
				if g.threshold < 0 || g.threshold > l.order.maxThreshold || g.ownThreshold < 0 || g.ownThreshold > l.order.maxThreshold {
					t.Fatalf("level %d, wish %d of %d", g.threshold, g.ownThreshold, l.order.maxThreshold)
				}
				if n == 1 && g.threshold < before[n] && !whole && now-heard < s.IsolationTimeout {
					t.Fatalf("fell from %d to %d with %d fresh reports, %+v", before[n], g.threshold, fresh, sight)
				}
			}
			if l.SaltEpoch() < epoch {
				t.Fatalf("epoch %d after %d", l.SaltEpoch(), epoch)
			}
			epoch = l.SaltEpoch()
			if u, d, g := l.Size(); u > 40 || d > 10 || g > 3 || len(l.affinities) > 10 {
				t.Fatalf("%d budgets, %d debts, %d groups", u, d, g)
			}
		}
	})
}

// A group that finds no room passes; the counts say so.
func TestFull(t *testing.T) {
	s := three("a", 1)
	s.MaxGroups = 1
	l := lanes(t, s)
	l.Admit(Request{Group: 1, Share: 1}, second)
	l.groups[1].threshold = 5
	if v := l.Admit(Request{Team: 2, Account: l.account(0), Group: 2, Share: 1}, second); v.Reason != AboveThreshold || l.Ungrouped() != 1 {
		t.Errorf("%+v, %d without room", v, l.Ungrouped())
	}
	l.groups[1].threshold = 0
	if l.Admit(Request{Group: 2, Share: 1}, second); l.groups[2] == nil {
		t.Error("a group that sheds nobody did not make room")
	}
}
