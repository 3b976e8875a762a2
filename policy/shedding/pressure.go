package shedding

import "lotushook/policy/clock"

const (
	unservedSample       = 1.5 // sample of an unserved request, and maximum of any sample, in latency objectives
	minSamples           = 3   // number of samples that are enough to update the pressure
	priorSamples         = 4.0 // weight of the pressure so far, in samples
	arrivalDecay         = 0.8 // factor on the counted arrivals and served requests, per evaluation
	severePressure       = 2.0 // multiple of HighPressure at which one evaluation is enough to start shedding
	settleEvaluations    = 2   // evaluations until the outcomes reflect a changed threshold
	maxShedStep          = 0.4 // max share of the admitted requests that one step of the threshold sheds
	minShedStep          = 0.02
	initialReleaseStep   = 0.04 // like maxShedStep, for the first step down; small, or all shed requests return together
	releaseStepIncrement = 0.01 // by how much the step down grows with each further calm evaluation
	maxReleaseStep       = 0.15 // like maxShedStep, for steps down
	releaseHeadroom      = 0.9  // share of the capacity; steps down that stay below it may be as large as maxReleaseStep
	minCalmEvaluations   = 2    // evaluations below LowPressure before the threshold falls
	maxReleaseRanks      = Positions / 4
)

// group is the pressure and the threshold of one group of data servers.
type group struct {
	threshold        int    // threshold in force
	ownThreshold     int    // threshold that this router would choose by itself
	hasReport        bool   // this router sent a report at the latest evaluation
	seq              uint64 // sequence number of the latest report
	quietEvaluations int    // evaluations since any router had a threshold above 0

	arrivalsByRank []float64   // sums of arrivals that decay with each evaluation
	newArrivals    float64     // arrivals since the last evaluation
	arrivalRate    float64     // requests per second, moving average
	sampleSum      float64     // sum of time/objective over the requests that ended since the last update
	sampleCount    float64     // number of these requests
	thresholdSince clock.Nanos // requests that arrived earlier are ignored, as they don't reflect the present threshold

	openRequests      int         // open requests that arrived since thresholdSince
	inverseObjectives float64     // sum of 1/objective over these
	weightedArrivals  float64     // sum of (arrival time - referenceTime)/objective over these
	referenceTime     clock.Nanos // see weightedArrivals
	evaluatedAt       clock.Nanos
	evaluations       int         // evaluations since thresholdSince
	calmEvaluations   int         // consecutive evaluations below LowPressure
	highEvaluations   int         // consecutive evaluations above HighPressure with threshold 0
	served            float64     // sum of served requests that decays like arrivalsByRank
	servedAtOverload  float64     // served in the latest overload, which shows the capacity; 0: none since threshold 0
	createdAt         clock.Nanos // when this state was created
	quorumAt          clock.Nanos // when the reports last had a quorum

	pressure            float64
	reporters           int
	hasQuorum, isolated bool
}

func newGroup(now clock.Nanos, rankCount int) *group {
	return &group{arrivalsByRank: make([]float64, rankCount), referenceTime: now, thresholdSince: now, evaluatedAt: now, createdAt: now, quorumAt: now, quietEvaluations: finalReports + 1}
}

// addArrival counts an arrival, unless the client marked the request as a retry, which is not new demand.
func (state *group) addArrival(rank int, isRetry bool) {
	if !isRetry {
		state.arrivalsByRank[rank]++
		state.newArrivals++
	}
}

func (state *group) requestStarted(arrivedAt, latencyObjective clock.Nanos) {
	if arrivedAt < state.thresholdSince { // the threshold changed before the event loop processed the request
		return
	}
	state.openRequests++
	state.inverseObjectives += 1 / float64(latencyObjective)
	state.weightedArrivals += float64(arrivedAt-state.referenceTime) / float64(latencyObjective)
}

// resetSamples drops the samples that an earlier threshold caused. Requests that arrived before now are ignored when
// they end, which may be as late as their clients wait.
func (state *group) resetSamples(now clock.Nanos) {
	state.thresholdSince, state.evaluations = now, 0
	state.openRequests, state.inverseObjectives, state.weightedArrivals = 0, 0, 0
	state.sampleSum, state.sampleCount = 0, 0
}

func (state *group) requestEnded(outcome Outcome) {
	if outcome.Served {
		state.served++
	}
	if outcome.ArrivedAt < state.thresholdSince {
		return
	}
	if state.openRequests--; state.openRequests <= 0 {
		state.openRequests, state.inverseObjectives, state.weightedArrivals = 0, 0, 0
	} else {
		state.inverseObjectives -= 1 / float64(outcome.LatencyObjective)
		state.weightedArrivals -= float64(outcome.ArrivedAt-state.referenceTime) / float64(outcome.LatencyObjective)
	}
	sample := unservedSample
	switch {
	case outcome.Abandoned && outcome.Elapsed < outcome.LatencyObjective: // the client left before the answer was due
		return
	case outcome.Served:
		sample = min(unservedSample, float64(outcome.Elapsed)/float64(outcome.LatencyObjective))
	}
	state.sampleSum += sample
	state.sampleCount++
}

// openAge returns the mean age of the open requests, as a share of their latency objectives.
func (state *group) openAge(now clock.Nanos) float64 {
	if state.openRequests == 0 || state.inverseObjectives <= 0 {
		return 0
	}
	return max(0, min(unservedSample, (float64(now-state.referenceTime)*state.inverseObjectives-state.weightedArrivals)/float64(state.openRequests)))
}

// updatePressure updates the pressure and reports whether it reflects the present threshold.
func (state *group) updatePressure(now clock.Nanos) bool {
	state.evaluations++
	age := state.openAge(now)
	switch {
	case state.sampleCount >= minSamples || state.sampleCount > 0 && state.evaluations > settleEvaluations:
		// The age of open requests counts too, so that fast answers do not hide a persistent queue.
		state.pressure += state.sampleCount / (state.sampleCount + priorSamples) * (max(state.sampleSum/state.sampleCount, age) - state.pressure)
	case state.evaluations > settleEvaluations: // no request has ended for long: only open requests count, if any
		state.pressure += 0.5 * (age - state.pressure)
	default:
		return false
	}
	state.sampleSum, state.sampleCount = 0, 0
	return true
}

// adjustThreshold moves this router's own threshold by at most one step from the threshold in force. A step up sheds
// more of the admitted requests, the larger a share of them was not served. A step down is smaller, and follows only
// after several consecutive evaluations below LowPressure.
func (state *group) adjustThreshold(settings *Settings, order *shedOrder, now clock.Nanos) {
	state.arrivalRate += 0.4 * (state.newArrivals/(float64(now-state.evaluatedAt)/1e9) - state.arrivalRate)
	state.newArrivals = 0
	if state.ownThreshold = state.threshold; state.threshold == 0 {
		state.servedAtOverload = 0
	}
	if state.updatePressure(now) {
		step := 0
		switch {
		case state.pressure > settings.HighPressure && state.evaluations < settleEvaluations:
			// The pressure still includes requests that were queued under the previous threshold.
			state.calmEvaluations = 0
		case state.pressure > settings.HighPressure && state.threshold == 0 && state.highEvaluations == 0 && state.pressure < severePressure*settings.HighPressure:
			// A single evaluation may be chance.
			state.highEvaluations, state.calmEvaluations = 1, 0
		case state.pressure > settings.HighPressure:
			state.calmEvaluations = 0
			if state.servedAtOverload == 0 {
				state.servedAtOverload = state.served
			} else {
				state.servedAtOverload += 0.5 * (state.served - state.servedAtOverload)
			}
			if admitted := state.admittedAt(state.threshold); admitted > 0 { // shed the share that was admitted but not served
				step = state.stepUp(min(maxShedStep, max(minShedStep, 1-state.served/admitted)), order.maxThreshold)
			}
		case state.pressure >= settings.LowPressure:
			state.calmEvaluations, state.highEvaluations = 0, 0
		case state.threshold == 0:
			state.highEvaluations = 0
		default:
			if state.calmEvaluations++; state.calmEvaluations >= minCalmEvaluations {
				step = state.stepDown(maxReleaseStep)
				if state.admittedAt(state.threshold-step) > releaseHeadroom*state.servedAtOverload {
					step = state.stepDown(min(maxReleaseStep, initialReleaseStep+releaseStepIncrement*float64(state.calmEvaluations-minCalmEvaluations)))
				}
				step = -step
			}
		}
		if step != 0 {
			state.ownThreshold = state.threshold + step
			state.resetSamples(now)
		}
	}
	for i := range state.arrivalsByRank {
		state.arrivalsByRank[i] *= arrivalDecay
	}
	state.served *= arrivalDecay
	state.evaluatedAt = now
}

// admittedAt returns how many of the recent arrivals would be admitted at a threshold.
func (state *group) admittedAt(threshold int) (sum float64) {
	for _, arrivals := range state.arrivalsByRank[threshold:] {
		sum += arrivals
	}
	return sum
}

// stepUp returns by how many ranks the threshold must rise to shed a share of the requests that it now admits.
func (state *group) stepUp(share float64, maxThreshold int) int {
	admitted, sum := state.admittedAt(state.threshold), 0.0
	if admitted == 0 { // there is nothing to shed
		return 0
	}
	for i := state.threshold; i < maxThreshold; i++ {
		if sum += state.arrivalsByRank[i]; sum >= share*admitted || i-state.threshold+1 >= Positions {
			return i - state.threshold + 1
		}
	}
	return max(0, maxThreshold-state.threshold)
}

// stepDown returns by how many ranks, at least one, the threshold may fall so that the requests admitted in addition
// are at most a share of those that it now admits.
func (state *group) stepDown(share float64) int {
	admitted, sum := state.admittedAt(state.threshold), 0.0
	for i := state.threshold - 1; i >= 0; i-- {
		if sum += state.arrivalsByRank[i]; i < state.threshold-1 && sum > share*admitted || state.threshold-i > maxReleaseRanks {
			return state.threshold - 1 - i
		}
	}
	return state.threshold
}
