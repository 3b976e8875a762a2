package experiment

import "time"

const (
	recoveredShare   = 0.95  // of the weight served in the calm arm in the same second
	recoveredSeconds = 5     // consecutive seconds
	notRecovered     = 999.0 // seconds
)

// addRecoveryTimes measures the time to full service of each load in the arms in which a fault ended: from the last
// restart of a router or the last change of a burden until the weight served per second reaches 0.95 of that in the arm
// "calm" and stays there for 5 s. Seconds are whole seconds of the arm, so the result is up to one second too long; 999
// means that the arm ended before.
func (result *Result) addRecoveryTimes() {
	for arm, recoveryStart := range result.faultsOverAt {
		for load, points := range result.Series[arm] {
			calm := result.Series["calm"][load]
			if result.Arms[arm][load] == nil || len(calm) != len(points) {
				continue
			}
			metrics := result.Arms[arm][load]
			metrics["full_service_s"] = timeToFullService(calm, points, recoveryStart)
			metrics["worth_after"] = weightShare(calm, points, recoveryStart)
		}
	}
}

// timeToFullService returns how many seconds after the end of the fault the load was fully served again. The last point
// is ignored because it covers less than a second.
func timeToFullService(calm, points []Point, recoveryStart float64) float64 {
	consecutive := 0
	for second := int(recoveryStart); second < len(points)-1; second++ {
		if second < 0 {
			continue
		}
		if points[second].Weight < recoveredShare*calm[second].Weight {
			consecutive = 0
		} else if consecutive++; consecutive == recoveredSeconds {
			return max(0, float64(second+1-recoveredSeconds)-recoveryStart)
		}
	}
	return notRecovered
}

// weightShare returns the weight served after the end of the fault, relative to the calm arm.
func weightShare(calm, points []Point, recoveryStart float64) float64 {
	served, expected := 0.0, 0.0
	for second := max(0, int(recoveryStart)); second < len(points)-1; second++ {
		served, expected = served+points[second].Weight, expected+calm[second].Weight
	}
	return ratio(served, expected)
}

// addRecoveryMetrics adds the maximum rates per second that the data servers and the discovery agent saw between the
// first restart of a router and 5 s after the last one. The rate of sends is that of the first second.
func (run *armRun) addRecoveryMetrics(metrics map[string]float64) {
	if run.firstRestart.IsZero() {
		return
	}
	from, to, rates := run.firstRestart, run.faultsOver.Add(5*time.Second), run.fleet.Rates
	metrics["worst_dials_per_s"], metrics["worst_probes_per_s"] = float64(rates.Dials.Max(from, to)), float64(rates.Probes.Max(from, to))
	metrics["worst_lists_per_s"] = float64(rates.Lists.Max(from, to))
	metrics["first_sends_per_s"] = float64(rates.Sends.Max(from, from.Add(time.Second)))
}
