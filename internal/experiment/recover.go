package experiment

import "time"

const (
	recoveredShare   = 0.95 // of the calm arm's worth in the same second
	recoveredSeconds = 5    // seconds on end
	never            = 999.0
)

// recovered measures each load's time to full service in arms in which something came back: from the last router's start, or
// the last change of a burden, until what it earns a second has reached 0.95 of the arm "calm" in the same seconds, and stays
// there for 5 s. Seconds are whole ones after that start, so it is up to one more than it was; 999: not within the arm.
func (r *Result) recovered() {
	for arm, back := range r.faultsOverAt {
		for load, points := range r.Series[arm] {
			calm := r.Series["calm"][load]
			if r.Arms[arm][load] == nil || len(calm) != len(points) {
				continue
			}
			m := r.Arms[arm][load]
			m["full_service_s"] = fullService(calm, points, back)
			m["worth_after"] = share(calm, points, back)
		}
	}
}

// fullService is how many seconds after back service was whole. The last point is less than a second.
func fullService(calm, points []Point, back float64) float64 {
	good := 0
	for sec := int(back); sec < len(points)-1; sec++ {
		if sec < 0 {
			continue
		}
		if points[sec].Weight < recoveredShare*calm[sec].Weight {
			good = 0
		} else if good++; good == recoveredSeconds {
			return max(0, float64(sec+1-recoveredSeconds)-back)
		}
	}
	return never
}

// share is what was earned from back on, of what the calm arm did.
func share(calm, points []Point, back float64) float64 {
	got, all := 0.0, 0.0
	for sec := max(0, int(back)); sec < len(points)-1; sec++ {
		got, all = got+points[sec].Weight, all+calm[sec].Weight
	}
	return ratio(got, all)
}

// recoveryFigures counts, at the data servers and the agent, the most in any second from the first router's start again until 5 s after
// the last one's; the sends are those of the first second after the first.
func (p *play) recoveryFigures(m map[string]float64) {
	if p.firstBack.IsZero() {
		return
	}
	from, to, r := p.firstBack, p.back.Add(5*time.Second), p.fleet.Rates
	m["worst_dials_per_s"], m["worst_probes_per_s"] = float64(r.Dials.Max(from, to)), float64(r.Probes.Max(from, to))
	m["worst_lists_per_s"] = float64(r.Lists.Max(from, to))
	m["first_sends_per_s"] = float64(r.Sends.Max(from, from.Add(time.Second)))
}
