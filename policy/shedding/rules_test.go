package shedding

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// drawReport draws a report of one of a few routers. The sequence number is unique, so no process sends two different
// reports with the same number.
func drawReport(t *rapid.T, i int) Report {
	return Report{Group: 1, Router: fmt.Sprint("r", rapid.IntRange(0, 6).Draw(t, "name")), Epoch: uint64(rapid.IntRange(1, 2).Draw(t, "boot")), Seq: uint64(i + 1),
		Age: clock.Nanos(rapid.IntRange(0, 1500).Draw(t, "age")) * ms, Load: rapid.Int64Range(-5, 1<<30).Draw(t, "load"), Threshold: rapid.IntRange(-5, 200).Draw(t, "wish"),
		SaltEpoch: uint64(rapid.IntRange(0, 9).Draw(t, "epoch")), Excluded: rapid.IntRange(0, 5).Draw(t, "out") == 0}
}

// Merging gives the same result for any order of the reports, with duplicates, and with outdated reports. The merged
// threshold lies between the lowest and the highest one reported.
func TestMergeRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Report
		latest := map[string]Report{}
		for i := range rapid.IntRange(0, 20).Draw(t, "reports") {
			report := drawReport(t, i)
			all = append(all, report)
			if old, ok := latest[report.Router]; !ok || report.Epoch > old.Epoch || report.Epoch == old.Epoch && report.Seq > old.Seq {
				latest[report.Router] = report
			}
		}
		want := Merge(all, second, 150)
		reporters, lowest, highest := 0, 1<<30, 0
		for _, report := range latest {
			if report.Age <= second && !report.Excluded {
				reporters++
				lowest, highest = min(lowest, max(0, min(150, report.Threshold))), max(highest, max(0, min(150, report.Threshold)))
			}
		}
		if want.Reporters != reporters || reporters > 0 && (want.Threshold < lowest || want.Threshold > highest) || want.AnyShedding != (reporters > 0 && highest > 0) {
			t.Fatalf("merged %+v from %d fresh reports with thresholds from %d to %d", want, reporters, lowest, highest)
		}
		duplicated := append([]Report(nil), all...)
		for _, report := range all {
			// A copy of the report whose age omits some of its time in transit.
			report.Age -= clock.Nanos(rapid.IntRange(0, int(report.Age/ms)).Draw(t, "younger")) * ms
			duplicated = append(duplicated, report)
		}
		if got := Merge(rapid.Permutation(duplicated).Draw(t, "order"), second, 150); got != want {
			t.Fatalf("merged %+v in another order and with duplicates, %+v before", got, want)
		}
	})
}

// A threshold falls only with a quorum: fresh reports of enough routers, while this router belongs to the majority and
// is not isolated; or once this router has had no quorum for IsolationTimeout. Thresholds and stored entries stay
// within their limits, and the salt epoch never decreases.
//
//nolint:gocognit,funlen // the events of one simulated history
func TestNeverFallsOnOldEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings("r0", 7)
		settings.MaxAccounts, settings.MaxWriteAffinities, settings.MaxGroups = 20, 10, 3
		shedder := newShedder(t, settings)
		now, quorumAt, resumedAt, saltEpoch := 1000*second, 1000*second, 1000*second, uint64(0)
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			gap := rapid.SampledFrom([]clock.Nanos{50 * ms, 50 * ms, 100 * ms, 250 * ms, 3 * second, 40 * second, -100 * ms, -3600 * second}).Draw(t, "gap")
			if now += gap; gap < 0 || gap > second || step == 0 {
				quorumAt, resumedAt = now, now
			}
			overloaded := rapid.Bool().Draw(t, "hot")
			for range rapid.IntRange(0, 6).Draw(t, "requests") {
				verdict := shedder.Admit(Request{Team: rapid.IntRange(-1, 4).Draw(t, "team"), Account: uint64(rapid.IntRange(0, 99).Draw(t, "account")), Group: int64(rapid.IntRange(1, 5).Draw(t, "group")), Share: 1}, now)
				if (verdict.Reason == Shed) != (verdict.Rank < verdict.Threshold) {
					t.Fatalf("%+v: shed although the rank is not below the threshold, or admitted although it is", verdict)
				}
				if verdict.Reason != Shed {
					shedder.RequestStarted(1, now, 100*ms)
					shedder.RequestEnded(1, verdict.PriorityClass, fmt.Sprint("k", step), Outcome{ArrivedAt: now, Elapsed: 10 * ms, LatencyObjective: 100 * ms, Served: !overloaded, MayHaveRun: true, SessionWritten: fmt.Sprint("s", step)}, now)
				}
			}
			var reports []Report
			latest := map[string]Report{}
			for i := range rapid.IntRange(0, 7).Draw(t, "reports") {
				report := drawReport(t, step*10+i)
				reports = append(reports, report)
				if old, ok := latest[report.Router]; !ok || report.Epoch > old.Epoch || report.Epoch == old.Epoch && report.Seq > old.Seq {
					latest[report.Router] = report
				}
			}
			fresh := 1 // this router's own report
			for name, report := range latest {
				if name != "r0" && report.Age <= second && !report.Excluded {
					fresh++
				}
			}
			connectivity := Connectivity{Majority: rapid.IntRange(0, 3).Draw(t, "majority") > 0, Isolated: rapid.IntRange(0, 5).Draw(t, "cut") == 0}
			quorum := fresh >= 4 && connectivity.Majority && !connectivity.Isolated && now-resumedAt >= second
			before := map[int64]int{}
			for number, group := range shedder.groups {
				before[number] = group.threshold
			}
			if quorum || before[1] == 0 {
				quorumAt = now
			}
			shedder.Tick(now, connectivity, reports)
			for number, group := range shedder.groups {
				if group.threshold < 0 || group.threshold > shedder.order.maxThreshold || group.ownThreshold < 0 || group.ownThreshold > shedder.order.maxThreshold {
					t.Fatalf("threshold %d, own threshold %d, at most %d allowed", group.threshold, group.ownThreshold, shedder.order.maxThreshold)
				}
				if number == 1 && group.threshold < before[number] && !quorum && now-quorumAt < settings.IsolationTimeout {
					t.Fatalf("the threshold fell from %d to %d without a quorum: %d fresh reports, %+v", before[number], group.threshold, fresh, connectivity)
				}
			}
			if shedder.SaltEpoch() < saltEpoch {
				t.Fatalf("salt epoch %d after %d", shedder.SaltEpoch(), saltEpoch)
			}
			saltEpoch = shedder.SaltEpoch()
			if buckets, affinities, groups := shedder.Size(); buckets > 40 || affinities > 10 || groups > 3 || len(shedder.affinities) > 10 {
				t.Fatalf("%d buckets, %d write affinities and %d groups are stored, above the limits", buckets, affinities, groups)
			}
		}
	})
}

// Requests of a group over MaxGroups are admitted and counted as ungrouped.
func TestMaxGroups(t *testing.T) {
	settings := testSettings("a", 1)
	settings.MaxGroups = 1
	shedder := newShedder(t, settings)
	shedder.Admit(Request{Group: 1, Share: 1}, second)
	shedder.groups[1].threshold = 5
	if verdict := shedder.Admit(Request{Team: 2, Account: shedder.accountAt(0), Group: 2, Share: 1}, second); verdict.Reason != AboveThreshold || shedder.Ungrouped() != 1 {
		t.Errorf("verdict over MaxGroups is %+v, %d requests are ungrouped", verdict, shedder.Ungrouped())
	}
	shedder.groups[1].threshold = 0
	if shedder.Admit(Request{Group: 2, Share: 1}, second); shedder.groups[2] == nil {
		t.Error("an idle group was not evicted for a new group")
	}
}
