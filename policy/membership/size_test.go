package membership

import (
	"os"
	"testing"
)

// The messages per member don't grow with the cluster, and the time to detect a death grows at most with its logarithm.
func TestClusterSizes(t *testing.T) {
	type figures struct{ joinMS, detectionMS, messages, updates float64 }
	results := map[int]figures{}
	sizes := []int{10, 100}
	if os.Getenv("LOTUSHOOK_LONG") != "" { // takes a minute
		sizes = append(sizes, 1000)
	}
	for _, memberCount := range sizes {
		sim := newSimNet(t, memberCount, 15)
		joined := sim.runUntilAgreement(60_000 * ms)
		sim.run(30_000 * ms)
		sim.sentMessages, sim.sentUpdates = 0, 0
		sim.run(5000 * ms)
		result := figures{joinMS: float64(joined / ms), messages: float64(sim.sentMessages) / 5 / float64(memberCount), updates: float64(sim.sentUpdates) / float64(sim.sentMessages)}
		sim.nodes[memberCount/2].killed = true
		result.detectionMS = float64(sim.runUntilAgreement(30_000*ms) / ms)
		sim.expectNoFalseDeaths("no faults")
		results[memberCount] = result
		t.Logf("%d members: found each other in %.0f ms; %.1f messages per second with %.1f updates each; all detect a death after %.0f ms",
			memberCount, result.joinMS, result.messages, result.updates, result.detectionMS)
	}
	for _, memberCount := range sizes[1:] {
		if result := results[memberCount]; result.messages > 1.3*results[10].messages || result.detectionMS > 3*results[10].detectionMS {
			t.Errorf("%d members: %+v, 10 members: %+v", memberCount, result, results[10])
		}
	}
}
