package shedding

import "lotushook/policy/clock"

const (
	unservedShare  = 1.5 // what a request counts as that was taken and not served, in aims
	minSamples     = 3   // ends that tell something; fewer wait for more
	priorSamples   = 4.0 // of what was felt before, against each end
	arrivalDecay   = 0.8 // of the arrivals by standing is left, a look
	severePressure = 2.0 // times High: then one look is enough to begin
	settleLooks    = 2   // looks until a level shows in what ends
	maxCut         = 0.4 // of what is taken, in one look
	minCut         = 0.02
	initialGive    = 0.04 // more than is taken, in one look: stepwise, or all that were shed return together
	giveIncrement  = 0.01 // for each such step in a row
	maxGive        = 0.15 // where all that would be taken is well below what was served when it was too much
	headroom       = 0.9  // of that
	minCalmLooks   = 2    // looks under Low before anything is given
	maxStep        = Steps / 4
)

// group is the pressure and the level of one group of data servers.
type group struct {
	threshold    int // in force
	ownThreshold int // this router's own
	reported     bool
	seq          uint64
	quietLooks   int // looks since anybody had a level above 0

	arrivals       []float64 // arrivals by standing, fading
	newArrivals    float64   // arrivals since the last look
	rate           float64   // of them, a second
	endedShare     float64   // of ends since then: of their times as shares of their aims
	ended          float64
	thresholdSince clock.Nanos // what came before it tells nothing of the present level

	open              int     // that came since
	inverseObjectives float64 // sums over these: of 1/aim, and of arrival/aim with arrivals counted from base
	weightedArrivals  float64
	baseTime          clock.Nanos
	lookedAt          clock.Nanos
	looks             int // since the last change
	calmLooks         int
	highLooks         int     // looks above High in a row, from level 0
	served            float64 // what was served, fading as hist does
	servedAtOverload  float64 // what was served, by good, when too much was taken lately: what the servers can do. 0: it has not been since all was released
	createdAt         clock.Nanos
	quorumAt          clock.Nanos // evidence was last whole

	pressure            float64
	reporters           int
	hasQuorum, isolated bool
}

func newGroup(now clock.Nanos, standings int) *group {
	return &group{arrivals: make([]float64, standings), baseTime: now, thresholdSince: now, lookedAt: now, createdAt: now, quorumAt: now, quietLooks: finalReports + 1}
}

// addArrival counts an arrival; a repeat that its client marks asks for nothing that was not asked for.
func (g *group) addArrival(standing int, again bool) {
	if !again {
		g.arrivals[standing]++
		g.newArrivals++
	}
}

func (g *group) requestStarted(came, aim clock.Nanos) {
	if came < g.thresholdSince { // its level was another one by the time that the owner took it
		return
	}
	g.open++
	g.inverseObjectives += 1 / float64(aim)
	g.weightedArrivals += float64(came-g.baseTime) / float64(aim)
}

// resetSamples forgets what came under another level: it would go on telling of that one for as long as clients wait.
func (g *group) resetSamples(now clock.Nanos) {
	g.thresholdSince, g.looks = now, 0
	g.open, g.inverseObjectives, g.weightedArrivals = 0, 0, 0
	g.endedShare, g.ended = 0, 0
}

func (g *group) requestEnded(e End) {
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
	case e.Abandoned && e.Elapsed < e.LatencyObjective: // it left before it could be told anything
		return
	case e.Served:
		share = min(unservedShare, float64(e.Elapsed)/float64(e.LatencyObjective))
	}
	g.endedShare += share
	g.ended++
}

// openAge is the mean age of what is open, as a share of the aims.
func (g *group) openAge(now clock.Nanos) float64 {
	if g.open == 0 || g.inverseObjectives <= 0 {
		return 0
	}
	return max(0, min(unservedShare, (float64(now-g.baseTime)*g.inverseObjectives-g.weightedArrivals)/float64(g.open)))
}

// updatePressure brings the pressure up to now, and says whether it tells of the present level.
func (g *group) updatePressure(now clock.Nanos) bool {
	g.looks++
	old := g.openAge(now)
	switch {
	case g.ended >= minSamples || g.ended > 0 && g.looks > settleLooks:
		g.pressure += g.ended / (g.ended + priorSamples) * (max(g.endedShare/g.ended, old) - g.pressure) // what ends soon does not hide a queue that stands
	case g.looks > settleLooks: // nothing ended for long: what is open tells, and nothing open is calm
		g.pressure += 0.5 * (old - g.pressure)
	default:
		return false
	}
	g.endedShare, g.ended = 0, 0
	return true
}

// adjustThreshold moves this router's wish one step from the level in force: up by a share of what is taken, the larger the worse it
// is; down by a smaller one, and only after calm looks.
func (g *group) adjustThreshold(set *Settings, o *shedOrder, now clock.Nanos) {
	g.rate += 0.4 * (g.newArrivals/(float64(now-g.lookedAt)/1e9) - g.rate)
	g.newArrivals = 0
	if g.ownThreshold = g.threshold; g.threshold == 0 {
		g.servedAtOverload = 0
	}
	if g.updatePressure(now) {
		step := 0
		switch {
		case g.pressure > set.High && g.looks < settleLooks: // what was queued under the last level is still felt
			g.calmLooks = 0
		case g.pressure > set.High && g.threshold == 0 && g.highLooks == 0 && g.pressure < severePressure*set.High: // one look may be chance
			g.highLooks, g.calmLooks = 1, 0
		case g.pressure > set.High:
			g.calmLooks = 0
			if g.servedAtOverload == 0 {
				g.servedAtOverload = g.served
			} else {
				g.servedAtOverload += 0.5 * (g.served - g.servedAtOverload)
			}
			if taken := g.admittedAt(g.threshold); taken > 0 { // what is not served of what is taken is too much
				step = g.stepUp(min(maxCut, max(minCut, 1-g.served/taken)), o.maxThreshold)
			}
		case g.pressure >= set.Low:
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

// admittedAt is what would be taken at a level, of what came lately.
func (g *group) admittedAt(level int) (sum float64) {
	for _, n := range g.arrivals[level:] {
		sum += n
	}
	return sum
}

// stepUp is how many standings hold a share of what is taken, from the level on.
func (g *group) stepUp(share float64, most int) int {
	taken, sum := g.admittedAt(g.threshold), 0.0
	if taken == 0 { // there is nobody to shed
		return 0
	}
	for i := g.threshold; i < most; i++ {
		if sum += g.arrivals[i]; sum >= share*taken || i-g.threshold+1 >= Steps {
			return i - g.threshold + 1
		}
	}
	return max(0, most-g.threshold)
}

// stepDown is how many standings below the level hold no more than a share of what is taken: one at the least.
func (g *group) stepDown(share float64) int {
	taken, sum := g.admittedAt(g.threshold), 0.0
	for i := g.threshold - 1; i >= 0; i-- {
		if sum += g.arrivals[i]; i < g.threshold-1 && sum > share*taken || g.threshold-i > maxStep {
			return g.threshold - 1 - i
		}
	}
	return g.threshold
}
