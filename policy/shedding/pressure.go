package shedding

import "lotushook/policy/clock"

const (
	unservedShare  = 1.5 // the sample of a request that was admitted and not served, in objectives
	minSamples     = 3   // ends needed for an update
	priorSamples   = 4.0 // the weight of earlier samples, in ends
	arrivalDecay   = 0.8 // factor on the arrivals by standing, per evaluation
	severePressure = 2.0 // times High: then one evaluation is enough to begin
	settleLooks    = 2   // evaluations until a threshold shows in the ends
	maxCut         = 0.4 // of what is admitted, in one evaluation
	minCut         = 0.02
	initialGive    = 0.04 // more than is admitted, in one evaluation: stepwise, or all that were shed return together
	giveIncrement  = 0.01 // for each such step in a row
	maxGive        = 0.15 // where all that would be admitted is well below what was served during the overload
	headroom       = 0.9  // of that
	minCalmLooks   = 2    // evaluations under Low before the threshold falls
	maxStep        = Positions / 4
)

// group is the pressure and the threshold of one group of data servers.
type group struct {
	threshold    int // in force
	ownThreshold int // this router's own choice
	reported     bool
	seq          uint64
	quietLooks   int // evaluations since any router had a threshold above 0

	arrivals       []float64 // arrivals by standing, decaying
	newArrivals    float64   // arrivals since the last evaluation
	rate           float64   // of them, a second
	endedShare     float64   // of ends since then: of their times as shares of their objectives
	ended          float64
	thresholdSince clock.Nanos // earlier arrivals say nothing about the present threshold

	open              int     // open requests that arrived since
	inverseObjectives float64 // sums over these: of 1/objective, and of arrival/objective with arrivals counted from base
	weightedArrivals  float64
	baseTime          clock.Nanos
	lookedAt          clock.Nanos
	looks             int // since the last change
	calmLooks         int
	highLooks         int     // evaluations above High in a row, from threshold 0
	served            float64 // what was served, decaying as arrivals do
	servedAtOverload  float64 // what was served during the latest overload: the servers' capacity. 0: there was none since all was released
	createdAt         clock.Nanos
	quorumAt          clock.Nanos // the reports last had a quorum

	pressure            float64
	reporters           int
	hasQuorum, isolated bool
}

func newGroup(now clock.Nanos, standings int) *group {
	return &group{arrivals: make([]float64, standings), baseTime: now, thresholdSince: now, lookedAt: now, createdAt: now, quorumAt: now, quietLooks: finalReports + 1}
}

// addArrival counts an arrival; a client's marked retry is no new demand.
func (g *group) addArrival(standing int, again bool) {
	if !again {
		g.arrivals[standing]++
		g.newArrivals++
	}
}

func (g *group) requestStarted(came, aim clock.Nanos) {
	if came < g.thresholdSince { // its threshold was replaced before the event loop processed it
		return
	}
	g.open++
	g.inverseObjectives += 1 / float64(aim)
	g.weightedArrivals += float64(came-g.baseTime) / float64(aim)
}

// resetSamples drops samples from an earlier threshold: they would count for as long as clients wait.
func (g *group) resetSamples(now clock.Nanos) {
	g.thresholdSince, g.looks = now, 0
	g.open, g.inverseObjectives, g.weightedArrivals = 0, 0, 0
	g.endedShare, g.ended = 0, 0
}

func (g *group) requestEnded(e Outcome) {
	if e.Served {
		g.served++
	}
	if e.ArrivedAt < g.thresholdSince {
		return
	}
	if g.open--; g.open <= 0 {
		g.open, g.inverseObjectives, g.weightedArrivals = 0, 0, 0
	} else {
		g.inverseObjectives -= 1 / float64(e.LatencyObjective)
		g.weightedArrivals -= float64(e.ArrivedAt-g.baseTime) / float64(e.LatencyObjective)
	}
	share := unservedShare
	switch {
	case e.Abandoned && e.Elapsed < e.LatencyObjective: // it left before it could be answered
		return
	case e.Served:
		share = min(unservedShare, float64(e.Elapsed)/float64(e.LatencyObjective))
	}
	g.endedShare += share
	g.ended++
}

// openAge is the mean age of open requests, as a share of the objectives.
func (g *group) openAge(now clock.Nanos) float64 {
	if g.open == 0 || g.inverseObjectives <= 0 {
		return 0
	}
	return max(0, min(unservedShare, (float64(now-g.baseTime)*g.inverseObjectives-g.weightedArrivals)/float64(g.open)))
}

// updatePressure brings the pressure up to now, and says whether it reflects the present threshold.
func (g *group) updatePressure(now clock.Nanos) bool {
	g.looks++
	old := g.openAge(now)
	switch {
	case g.ended >= minSamples || g.ended > 0 && g.looks > settleLooks:
		g.pressure += g.ended / (g.ended + priorSamples) * (max(g.endedShare/g.ended, old) - g.pressure) // fast answers do not hide a queue that persists
	case g.looks > settleLooks: // nothing ended for long: the open requests count, and none open means no pressure
		g.pressure += 0.5 * (old - g.pressure)
	default:
		return false
	}
	g.endedShare, g.ended = 0, 0
	return true
}

// adjustThreshold moves this router's choice one step from the threshold in force: up by a share of what is admitted, the larger the
// higher the pressure; down by a smaller one, and only after calm evaluations.
func (g *group) adjustThreshold(set *Settings, o *shedOrder, now clock.Nanos) {
	g.rate += 0.4 * (g.newArrivals/(float64(now-g.lookedAt)/1e9) - g.rate)
	g.newArrivals = 0
	if g.ownThreshold = g.threshold; g.threshold == 0 {
		g.servedAtOverload = 0
	}
	if g.updatePressure(now) {
		step := 0
		switch {
		case g.pressure > set.HighPressure && g.looks < settleLooks: // what was queued under the last threshold still counts
			g.calmLooks = 0
		case g.pressure > set.HighPressure && g.threshold == 0 && g.highLooks == 0 && g.pressure < severePressure*set.HighPressure: // one evaluation may be chance
			g.highLooks, g.calmLooks = 1, 0
		case g.pressure > set.HighPressure:
			g.calmLooks = 0
			if g.servedAtOverload == 0 {
				g.servedAtOverload = g.served
			} else {
				g.servedAtOverload += 0.5 * (g.served - g.servedAtOverload)
			}
			if taken := g.admittedAt(g.threshold); taken > 0 { // what is admitted and not served is too much
				step = g.stepUp(min(maxCut, max(minCut, 1-g.served/taken)), o.maxThreshold)
			}
		case g.pressure >= set.LowPressure:
			g.calmLooks, g.highLooks = 0, 0
		case g.threshold == 0:
			g.highLooks = 0
		default:
			if g.calmLooks++; g.calmLooks >= minCalmLooks {
				step = g.stepDown(maxGive)
				if g.admittedAt(g.threshold-step) > headroom*g.servedAtOverload {
					step = g.stepDown(min(maxGive, initialGive+giveIncrement*float64(g.calmLooks-minCalmLooks)))
				}
				step = -step
			}
		}
		if step != 0 {
			g.ownThreshold = g.threshold + step
			g.resetSamples(now)
		}
	}
	for i := range g.arrivals {
		g.arrivals[i] *= arrivalDecay
	}
	g.served *= arrivalDecay
	g.lookedAt = now
}

// admittedAt is what a threshold would admit, of the recent arrivals.
func (g *group) admittedAt(level int) (sum float64) {
	for _, n := range g.arrivals[level:] {
		sum += n
	}
	return sum
}

// stepUp is how many standings hold a share of what is admitted, from the threshold on.
func (g *group) stepUp(share float64, most int) int {
	taken, sum := g.admittedAt(g.threshold), 0.0
	if taken == 0 { // nothing is there to shed
		return 0
	}
	for i := g.threshold; i < most; i++ {
		if sum += g.arrivals[i]; sum >= share*taken || i-g.threshold+1 >= Positions {
			return i - g.threshold + 1
		}
	}
	return max(0, most-g.threshold)
}

// stepDown is how many standings below the threshold hold no more than a share of what is admitted: at least one.
func (g *group) stepDown(share float64) int {
	taken, sum := g.admittedAt(g.threshold), 0.0
	for i := g.threshold - 1; i >= 0; i-- {
		if sum += g.arrivals[i]; i < g.threshold-1 && sum > share*taken || g.threshold-i > maxStep {
			return g.threshold - 1 - i
		}
	}
	return g.threshold
}
