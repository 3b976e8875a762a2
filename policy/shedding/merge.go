package shedding

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

// Limits on the values of a report, and on the number of reports.
const (
	maxLoad           = 1 << 24
	maxEpoch          = 1 << 62
	quorumReports     = 12 // number of fresh reports that suffice for a quorum, however many routers there are
	maxSampledReports = 16 // max reports in the mean: as many as internal/peer sends at a time
)

// Merged is the result of merging the reports on one group.
type Merged struct {
	Threshold   int    // mean of the reported thresholds, weighted by load
	SaltEpoch   uint64 // highest of all reports
	Reporters   int    // routers with a fresh report, excluded ones not counted
	AnyShedding bool   // any reported threshold is above 0
}

// Merge merges reports on one group. The result depends neither on their order nor on duplicates. Only the latest
// report of each router's latest process counts, and only if it is fresh, which means no older than maxAge. Of two
// copies of a report the one with the higher age counts, because ages omit part of the time in transit. With many
// routers, only the freshest reports are averaged, because all of them together would on average be half of maxAge old.
func Merge(reports []Report, maxAge clock.Nanos, maxThreshold int) Merged {
	var merged Merged
	latest := make(map[string]*Report, len(reports))
	for i := range reports {
		report := &reports[i]
		if report.SaltEpoch < maxEpoch { // outdated reports count here too, because salt epochs never decrease
			merged.SaltEpoch = max(merged.SaltEpoch, report.SaltEpoch)
		}
		if old := latest[report.Router]; old == nil || old.compare(report) < 0 {
			latest[report.Router] = report
		}
	}
	fresh := make([]*Report, 0, len(latest))
	for _, report := range latest {
		if report.Age >= 0 && report.Age <= maxAge && !report.Excluded {
			fresh = append(fresh, report)
		}
	}
	if merged.Reporters = len(fresh); merged.Reporters > maxSampledReports {
		slices.SortFunc(fresh, func(x, y *Report) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Router, y.Router)) })
		fresh = fresh[:maxSampledReports]
	}
	sum, totalLoad := int64(0), int64(0)
	for _, report := range fresh {
		load, threshold := max(0, min(maxLoad, report.Load))+1, max(0, min(maxThreshold, report.Threshold))
		sum, totalLoad = sum+load*int64(threshold), totalLoad+load
		merged.AnyShedding = merged.AnyShedding || threshold > 0
	}
	if totalLoad > 0 {
		merged.Threshold = int((2*sum + totalLoad) / (2 * totalLoad)) // rounded, half up
	}
	return merged
}

// compare orders two reports of one router; the later one is greater.
func (report *Report) compare(other *Report) int {
	toInt := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(report.Epoch, other.Epoch), cmp.Compare(report.Seq, other.Seq), cmp.Compare(report.Age, other.Age), cmp.Compare(report.Threshold, other.Threshold), cmp.Compare(report.Load, other.Load),
		cmp.Compare(toInt(report.Excluded), toInt(other.Excluded)))
}

// Tick applies the other routers' reports to each group's threshold. It then adjusts this router's own threshold of
// each group whose evaluation is due, and returns the reports to send to the other routers. It must be called several
// times per Settings.Interval.
func (s *Shedder) Tick(now clock.Nanos, connectivity Connectivity, reports []Report) []Report {
	paused := now-s.tickedAt > s.settings.MaxReportAge || now < s.tickedAt
	if s.tickedAt = now; paused {
		s.resumedAt = now
	}
	s.rotateSalt(now)
	byGroup := map[int64][]Report{}
	for _, report := range reports {
		if report.Router != s.settings.Router {
			byGroup[report.Group] = append(byGroup[report.Group], report)
			s.group(report.Group, now) // creates a state, as no request for the group may have arrived here yet
		}
	}
	var own []Report
	for _, number := range s.groupNumbers() {
		group := s.groups[number]
		if paused {
			group.resetAfterPause(now)
		}
		merged := s.applyReports(number, group, byGroup[number], connectivity, now)
		if now-group.evaluatedAt < s.settings.Interval {
			continue
		}
		group.adjustThreshold(&s.settings, &s.order, now)
		if s.updateIsolated(group, now) {
			group.threshold = group.ownThreshold
		} else if group.ownThreshold > group.threshold && !group.hasQuorum {
			group.threshold = group.ownThreshold // without a quorum the threshold may still rise
		}
		if group.quietEvaluations++; merged.AnyShedding || group.threshold > 0 || group.ownThreshold > 0 {
			group.quietEvaluations = 0
		}
		if group.hasReport = s.settings.Shared && group.quietEvaluations <= finalReports; group.hasReport {
			group.seq++
			own = append(own, Report{Group: number, Router: s.settings.Router, Epoch: s.settings.Epoch, Seq: group.seq, Load: int64(group.arrivalRate), Threshold: group.ownThreshold, SaltEpoch: s.saltEpoch})
		}
	}
	return own
}

const finalReports = 3 // number of reports that a router sends after shedding has ended

// resetAfterPause drops what was measured before this process was paused, because it is outdated.
func (state *group) resetAfterPause(now clock.Nanos) {
	state.resetSamples(now)
	state.quorumAt = now // the router could not receive reports during the pause
	state.pressure, state.calmEvaluations, state.evaluatedAt, state.hasReport, state.newArrivals = 0, 0, now, false, 0
}

// groupNumbers returns the groups' numbers in ascending order.
func (s *Shedder) groupNumbers() []int64 {
	numbers := make([]int64, 0, len(s.groups))
	for number := range s.groups {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// applyReports applies the other routers' reports to a group's threshold. With a quorum the threshold may fall: this
// router then belongs to the majority, is not isolated, and has fresh reports of enough routers. Without a quorum the
// threshold may only rise, until the router is isolated for the group (updateIsolated).
func (s *Shedder) applyReports(number int64, group *group, reports []Report, connectivity Connectivity, now clock.Nanos) Merged {
	if group.hasReport {
		reports = append(reports, Report{Group: number, Router: s.settings.Router, Epoch: s.settings.Epoch, Seq: group.seq, Age: max(0, now-group.evaluatedAt), Load: int64(group.arrivalRate), Threshold: group.ownThreshold})
	}
	merged := Merge(reports, s.settings.MaxReportAge, s.order.maxThreshold)
	if merged.SaltEpoch > s.saltEpoch {
		s.saltEpoch, s.saltChangedAt = merged.SaltEpoch, now
	}
	group.reporters = merged.Reporters
	needed := min(s.settings.Routers/2+1, quorumReports)
	group.hasQuorum = s.settings.Shared && merged.Reporters >= needed && connectivity.Majority && !connectivity.Isolated &&
		now-s.resumedAt >= s.settings.MaxReportAge // messages that were buffered in sockets during a pause seem fresh
	if group.hasQuorum || group.threshold == 0 && group.ownThreshold == 0 {
		group.quorumAt = now
	}
	switch {
	case group.hasQuorum:
		group.threshold = merged.Threshold
	case s.updateIsolated(group, now):
	default: // missing reports count as a threshold of 0, because it is unknown whether those routers would shed more
		group.threshold = max(group.threshold, merged.Threshold*min(merged.Reporters, needed)/needed)
	}
	return merged
}

// updateIsolated updates and returns whether this router uses only its own pressure for a group.
func (s *Shedder) updateIsolated(group *group, now clock.Nanos) bool {
	group.isolated = !s.settings.Shared || now-group.quorumAt >= s.settings.IsolationTimeout
	return group.isolated
}

// rotateSalt begins another salt epoch when the present one is over by this router's clock. The other routers learn of
// the new epoch from this router's next report, and restart their own timers. Thus no two routers' clocks are compared,
// and the fastest clock determines how long an epoch lasts.
func (s *Shedder) rotateSalt(now clock.Nanos) {
	switch {
	case s.saltChangedAt == 0 || now < s.saltChangedAt:
		s.saltChangedAt = now
	case now-s.saltChangedAt >= s.settings.SaltPeriod && s.saltEpoch < maxEpoch-1:
		s.saltEpoch, s.saltChangedAt = s.saltEpoch+1, now
	}
}

// SaltEpoch returns the number of the present salt epoch.
func (s *Shedder) SaltEpoch() uint64 { return s.saltEpoch }
