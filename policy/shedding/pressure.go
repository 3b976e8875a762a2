package shedding

import "lotushook/policy/clock"

const (
	unservedSample       = 1.5 // sample of an unserved request, and maximum of any sample, in latency objectives
	minSamples           = 3   // needed to update the pressure
	priorSamples         = 4.0 // weight of earlier samples, in samples
	arrivalDecay         = 0.8 // factor on the arrivals by rank, per evaluation
	severePressure       = 2.0 // multiple of HighPressure at which one evaluation is enough to start shedding
	settleEvaluations    = 2   // until the outcomes reflect a changed threshold
	maxShedStep          = 0.4 // share of the admitted requests, per evaluation
	minShedStep          = 0.02
	initialReleaseStep   = 0.04 // like maxShedStep; small, or all shed requests return together
	releaseStepIncrement = 0.01 // for each consecutive step
	maxReleaseStep       = 0.15 // like maxShedStep; used below releaseHeadroom
	releaseHeadroom      = 0.9  // share of the capacity below which steps may be as large as maxReleaseStep
	minCalmEvaluations   = 2    // evaluations below LowPressure before the threshold falls
	maxReleaseRanks      = Positions / 4
)

// group is the pressure and the threshold of one group of data servers.
type group struct {
	threshold        int // in force
	ownThreshold     int // that this router would choose by itself
	hasReport        bool
	seq              uint64
	quietEvaluations int // since any router had a threshold above 0

	arrivalsByRank []float64   // decaying
	newArrivals    float64     // since the last evaluation
	arrivalRate    float64     // requests per second, moving average
	sampleSum      float64     // sum over requests ended since the last update of time/objective
	sampleCount    float64     // number of these requests
	thresholdSince clock.Nanos // requests that arrived earlier are ignored, as they don't reflect the present threshold

	openRequests      int         // that arrived since thresholdSince
	inverseObjectives float64     // sum over the open requests of 1/objective
	weightedArrivals  float64     // sum over the open requests of (arrival time - referenceTime)/objective
	referenceTime     clock.Nanos // of weightedArrivals
	evaluatedAt       clock.Nanos
	evaluations       int // since thresholdSince
	calmEvaluations   int
	highEvaluations   int         // consecutive evaluations above HighPressure with threshold 0
	served            float64     // decaying like arrivalsByRank
	servedAtOverload  float64     // during the latest overload, shows the capacity; 0: no overload since threshold 0
	createdAt         clock.Nanos // of this state
	quorumAt          clock.Nanos // when the reports last had a quorum

	pressure            float64
	reporters           int
	hasQuorum, isolated bool
}

func newGroup(now clock.Nanos, rankCount int) *group {
	return &group{arrivalsByRank: make([]float64, rankCount), referenceTime: now, thresholdSince: now, evaluatedAt: now, createdAt: now, quorumAt: now, quietEvaluations: finalReports + 1}
}

// addArrival counts an arrival. A request marked as the client's own retry is not new demand.
func (g *group) addArrival(rank int, isRetry bool) {
	if !isRetry {
		g.arrivalsByRank[rank]++
		g.newArrivals++
	}
}

func (g *group) requestStarted(arrivedAt, latencyObjective clock.Nanos) {
	if arrivedAt < g.thresholdSince { // the threshold changed before the event loop processed the request
		return
	}
	g.openRequests++
	g.inverseObjectives += 1 / float64(latencyObjective)
	g.weightedArrivals += float64(arrivedAt-g.referenceTime) / float64(latencyObjective)
}

// resetSamples drops the samples of an earlier threshold. They would otherwise keep arriving for as long as clients
// wait.
func (g *group) resetSamples(now clock.Nanos) {
	g.thresholdSince, g.evaluations = now, 0
	g.openRequests, g.inverseObjectives, g.weightedArrivals = 0, 0, 0
	g.sampleSum, g.sampleCount = 0, 0
}

func (g *group) requestEnded(outcome Outcome) {
	if outcome.Served {
		g.served++
	}
	if outcome.ArrivedAt < g.thresholdSince {
		return
	}
	if g.openRequests--; g.openRequests <= 0 {
		g.openRequests, g.inverseObjectives, g.weightedArrivals = 0, 0, 0
	} else {
		g.inverseObjectives -= 1 / float64(outcome.LatencyObjective)
		g.weightedArrivals -= float64(outcome.ArrivedAt-g.referenceTime) / float64(outcome.LatencyObjective)
	}
	sample := unservedSample
	switch {
	case outcome.Abandoned && outcome.Elapsed < outcome.LatencyObjective: // the client left before the answer was due
		return
	case outcome.Served:
		sample = min(unservedSample, float64(outcome.Elapsed)/float64(outcome.LatencyObjective))
	}
	g.sampleSum += sample
	g.sampleCount++
}

// openAge returns the mean age of the open requests, as a share of their latency objectives.
func (g *group) openAge(now clock.Nanos) float64 {
	if g.openRequests == 0 || g.inverseObjectives <= 0 {
		return 0
	}
	return max(0, min(unservedSample, (float64(now-g.referenceTime)*g.inverseObjectives-g.weightedArrivals)/float64(g.openRequests)))
}

// updatePressure updates the pressure and reports whether it reflects the present threshold.
func (g *group) updatePressure(now clock.Nanos) bool {
	g.evaluations++
	age := g.openAge(now)
	switch {
	case g.sampleCount >= minSamples || g.sampleCount > 0 && g.evaluations > settleEvaluations:
		// The age of open requests counts too, so that fast answers do not hide a persistent queue.
		g.pressure += g.sampleCount / (g.sampleCount + priorSamples) * (max(g.sampleSum/g.sampleCount, age) - g.pressure)
	case g.evaluations > settleEvaluations: // no request has ended for long: only open requests count, if any
		g.pressure += 0.5 * (age - g.pressure)
	default:
		return false
	}
	g.sampleSum, g.sampleCount = 0, 0
	return true
}

// adjustThreshold moves this router's own threshold by one step from the threshold in force. A step up sheds a share of
// the admitted requests, the larger the more of them are not served. A step down is smaller, and needs several calm
// evaluations.
func (g *group) adjustThreshold(settings *Settings, order *shedOrder, now clock.Nanos) {
	g.arrivalRate += 0.4 * (g.newArrivals/(float64(now-g.evaluatedAt)/1e9) - g.arrivalRate)
	g.newArrivals = 0
	if g.ownThreshold = g.threshold; g.threshold == 0 {
		g.servedAtOverload = 0
	}
	if g.updatePressure(now) {
		step := 0
		switch {
		case g.pressure > settings.HighPressure && g.evaluations < settleEvaluations:
			// The pressure still includes requests that were queued under the previous threshold.
			g.calmEvaluations = 0
		case g.pressure > settings.HighPressure && g.threshold == 0 && g.highEvaluations == 0 && g.pressure < severePressure*settings.HighPressure:
			// A single evaluation may be chance.
			g.highEvaluations, g.calmEvaluations = 1, 0
		case g.pressure > settings.HighPressure:
			g.calmEvaluations = 0
			if g.servedAtOverload == 0 {
				g.servedAtOverload = g.served
			} else {
				g.servedAtOverload += 0.5 * (g.served - g.servedAtOverload)
			}
			if admitted := g.admittedAt(g.threshold); admitted > 0 { // shed the share that was admitted but not served
				step = g.stepUp(min(maxShedStep, max(minShedStep, 1-g.served/admitted)), order.maxThreshold)
			}
		case g.pressure >= settings.LowPressure:
			g.calmEvaluations, g.highEvaluations = 0, 0
		case g.threshold == 0:
			g.highEvaluations = 0
		default:
			if g.calmEvaluations++; g.calmEvaluations >= minCalmEvaluations {
				step = g.stepDown(maxReleaseStep)
				if g.admittedAt(g.threshold-step) > releaseHeadroom*g.servedAtOverload {
					step = g.stepDown(min(maxReleaseStep, initialReleaseStep+releaseStepIncrement*float64(g.calmEvaluations-minCalmEvaluations)))
				}
				step = -step
			}
		}
		if step != 0 {
			g.ownThreshold = g.threshold + step
			g.resetSamples(now)
		}
	}
	for i := range g.arrivalsByRank {
		g.arrivalsByRank[i] *= arrivalDecay
	}
	g.served *= arrivalDecay
	g.evaluatedAt = now
}

// admittedAt returns how many of the recent arrivals a threshold would admit.
func (g *group) admittedAt(threshold int) (sum float64) {
	for _, arrivals := range g.arrivalsByRank[threshold:] {
		sum += arrivals
	}
	return sum
}

// stepUp returns how many ranks from the threshold on contain a share of the admitted requests.
func (g *group) stepUp(share float64, maxThreshold int) int {
	admitted, sum := g.admittedAt(g.threshold), 0.0
	if admitted == 0 { // there is nothing to shed
		return 0
	}
	for i := g.threshold; i < maxThreshold; i++ {
		if sum += g.arrivalsByRank[i]; sum >= share*admitted || i-g.threshold+1 >= Positions {
			return i - g.threshold + 1
		}
	}
	return max(0, maxThreshold-g.threshold)
}

// stepDown returns how many ranks below the threshold contain no more than a share of the admitted requests, at least
// one.
func (g *group) stepDown(share float64) int {
	admitted, sum := g.admittedAt(g.threshold), 0.0
	for i := g.threshold - 1; i >= 0; i-- {
		if sum += g.arrivalsByRank[i]; i < g.threshold-1 && sum > share*admitted || g.threshold-i > maxReleaseRanks {
			return g.threshold - 1 - i
		}
	}
	return g.threshold
}
