package shedding

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

// mostLoad and mostEpoch bound what a report may say.
const (
	maxLoad       = 1 << 24
	maxEpoch      = 1 << 62
	quorumReports = 12 // fresh reports that stand for any number of routers
	maxSample     = 16 // the most of which the mean is taken: as many others as internal/peer pushes to at a time
)

// Merged is what reports of one group say together.
type Merged struct {
	Threshold   int    // the mean of the wishes, weighted by load
	SaltEpoch   uint64 // the greatest
	Reporters   int    // routers with a fresh report that count
	AnyShedding bool   // some wish is above 0
}

// Merge is one answer for the same reports whatever their order, and whether some came twice: of each router the latest word of
// its latest start, if it is fresh; the older age of two copies of it holds, as ages tell too little of the way. Of many
// routers the freshest tell the mean: all of them would tell what it was half a Fresh ago.
func Merge(reports []Report, fresh clock.Nanos, most int) Merged {
	var j Merged
	latest := make(map[string]*Report, len(reports))
	for i := range reports {
		r := &reports[i]
		if r.SaltEpoch < maxEpoch { // also of an old word: epochs only rise
			j.SaltEpoch = max(j.SaltEpoch, r.SaltEpoch)
		}
		if old := latest[r.Router]; old == nil || old.compare(r) < 0 {
			latest[r.Router] = r
		}
	}
	list := make([]*Report, 0, len(latest))
	for _, r := range latest {
		if r.Age >= 0 && r.Age <= fresh && !r.Excluded {
			list = append(list, r)
		}
	}
	if j.Reporters = len(list); j.Reporters > maxSample {
		slices.SortFunc(list, func(x, y *Report) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Router, y.Router)) })
		list = list[:maxSample]
	}
	sum, all := int64(0), int64(0)
	for _, r := range list {
		load, wish := max(0, min(maxLoad, r.Load))+1, max(0, min(most, r.Threshold))
		sum, all = sum+load*int64(wish), all+load
		j.AnyShedding = j.AnyShedding || wish > 0
	}
	if all > 0 {
		j.Threshold = int((2*sum + all) / (2 * all)) // half is up
	}
	return j
}

// compare orders two words of one router.
func (r *Report) compare(s *Report) int {
	out := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(r.Epoch, s.Epoch), cmp.Compare(r.Seq, s.Seq), cmp.Compare(r.Age, s.Age), cmp.Compare(r.Threshold, s.Threshold), cmp.Compare(r.Load, s.Load),
		cmp.Compare(out(r.Excluded), out(s.Excluded)))
}

// Tick goes on to now with what the others report, each group's level first and then, where it is time, this router's wish.
// It returns what is to be told to the others. It wants to be called some times a Look.
func (l *Shedder) Tick(now clock.Nanos, sight Connectivity, reports []Report) []Report {
	paused := now-l.tickedAt > l.settings.MaxReportAge || now < l.tickedAt
	if l.tickedAt = now; paused {
		l.resumedAt = now
	}
	l.rotateSalt(now)
	byGroup := map[int64][]Report{}
	for _, r := range reports {
		if r.Router != l.settings.Router {
			byGroup[r.Group] = append(byGroup[r.Group], r)
			l.group(r.Group, now) // others feel its pressure before any request of it came here
		}
	}
	var out []Report
	for _, number := range l.numbers() {
		g := l.groups[number]
		if paused {
			g.forgetPressure(now)
		}
		j := l.applyReports(number, g, byGroup[number], sight, now)
		if now-g.lookedAt < l.settings.Interval {
			continue
		}
		g.adjustThreshold(&l.settings, &l.order, now)
		if l.isIsolated(g, now) {
			g.threshold = g.ownThreshold
		} else if g.ownThreshold > g.threshold && !g.hasQuorum {
			g.threshold = g.ownThreshold // it may rise on its own
		}
		if g.quietLooks++; j.AnyShedding || g.threshold > 0 || g.ownThreshold > 0 {
			g.quietLooks = 0
		}
		if g.reported = l.settings.Shared && g.quietLooks <= finalReports; g.reported {
			g.seq++
			out = append(out, Report{Group: number, Router: l.settings.Router, Epoch: l.settings.Epoch, Seq: g.seq, Load: int64(g.rate), Threshold: g.ownThreshold, SaltEpoch: l.saltEpoch})
		}
	}
	return out
}

const finalReports = 3 // a router says so often that there is nothing to shed any more

// forgetPressure forgets what was felt before this router was stopped: it tells nothing of now.
func (g *group) forgetPressure(now clock.Nanos) {
	g.resetSamples(now)
	g.quorumAt = now // and nobody could be heard meanwhile
	g.pressure, g.calmLooks, g.lookedAt, g.reported, g.newArrivals = 0, 0, now, false, 0
}

// numbers are the groups in order.
func (l *Shedder) numbers() []int64 {
	out := make([]int64, 0, len(l.groups))
	for n := range l.groups {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// applyReports takes the others' reports of a group in, and moves its level. Only whole evidence makes it fall: this router is on
// the larger side, hears and is heard, and knows what enough of the routers want now. Short of that it may rise.
func (l *Shedder) applyReports(number int64, g *group, reports []Report, sight Connectivity, now clock.Nanos) Merged {
	if g.reported {
		reports = append(reports, Report{Group: number, Router: l.settings.Router, Epoch: l.settings.Epoch, Seq: g.seq, Age: max(0, now-g.lookedAt), Load: int64(g.rate), Threshold: g.ownThreshold})
	}
	j := Merge(reports, l.settings.MaxReportAge, l.order.maxThreshold)
	if j.SaltEpoch > l.saltEpoch {
		l.saltEpoch, l.saltChangedAt = j.SaltEpoch, now
	}
	g.reporters = j.Reporters
	need := min(l.settings.Routers/2+1, quorumReports)
	g.hasQuorum = l.settings.Shared && j.Reporters >= need && sight.Majority && !sight.Isolated &&
		now-l.resumedAt >= l.settings.MaxReportAge // what waited in its sockets while it was stopped looks fresh
	if g.hasQuorum || g.threshold == 0 && g.ownThreshold == 0 {
		g.quorumAt = now
	}
	switch {
	case g.hasQuorum:
		g.threshold = j.Threshold
	case l.isIsolated(g, now):
	default: // of those that say nothing it is not known that they would have more shed: they count for none
		g.threshold = max(g.threshold, j.Threshold*min(j.Reporters, need)/need)
	}
	return j
}

// isIsolated says whether this router goes by its own pressure.
func (l *Shedder) isIsolated(g *group, now clock.Nanos) bool {
	g.isolated = !l.settings.Shared || now-g.quorumAt >= l.settings.IsolationTimeout
	return g.isolated
}

// rotateSalt begins another epoch when the present one is over by this router's clock. Whoever is first tells the others with its
// next report, and their own spans begin anew: no clock is compared with another, and the fastest one leads.
func (l *Shedder) rotateSalt(now clock.Nanos) {
	switch {
	case l.saltChangedAt == 0 || now < l.saltChangedAt:
		l.saltChangedAt = now
	case now-l.saltChangedAt >= l.settings.SaltPeriod && l.saltEpoch < maxEpoch-1:
		l.saltEpoch, l.saltChangedAt = l.saltEpoch+1, now
	}
}

// SaltEpoch is the number of the present salt.
func (l *Shedder) SaltEpoch() uint64 { return l.saltEpoch }
