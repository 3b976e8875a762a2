package admission

import "lotushook/policy/clock"

// checkCaps checks the limits on an address, its prefix, and all. Where an address holds
// its maximum, its silent connections are evicted for new ones: a client that starts properly is preferred to those
// that send nothing.
func (g *Controller) checkCaps(a, p *source, shared, member bool, now clock.Nanos) (Reason, int, clock.Nanos) {
	if !shared {
		if most := g.effectiveCap(g.settings.NewAddress, member); most > 0 && a.admitted.count(now) >= most {
			return AddressRate, most, g.spreadRetryAfter(a.admitted.wait(now, most))
		}
		if most := g.effectiveCap(g.settings.NewPrefix, member); most > 0 && p.admitted.count(now) >= most {
			return PrefixRate, most, g.spreadRetryAfter(p.admitted.wait(now, most))
		}
	}
	if most := g.settings.NewTotal; !member && most > 0 && g.admitted.count(now) >= most {
		return TotalRate, most, g.spreadRetryAfter(g.admitted.wait(now, most))
	}
	if shared {
		return None, 0, 0
	}
	mostA, mostP := g.effectiveCap(g.settings.PerAddress, member), g.effectiveCap(g.settings.PerPrefix, member)
	overA, overP := a.connections-mostA, p.connections-mostP // 0: one must be evicted for the next
	if mostA == 0 {
		overA = -1
	}
	if mostP == 0 {
		overP = -1
	}
	if overA < 0 && overP < 0 {
		return None, 0, 0
	}
	if v := a.silent.first; v != nil && now-v.since >= g.evictableSilence() && overA <= 0 && overP <= 0 {
		g.evict(v, Displaced)
		return None, 0, 0
	}
	full, limit := AddressFull, mostA
	if overA < 0 {
		full, limit = PrefixFull, mostP
	}
	return full, limit, g.retryAfter()
}

// effectiveCap is a cap for an address or a prefix as it is now, lower under pressure.
func (g *Controller) effectiveCap(most int, member bool) int {
	if !g.underPressure || member || most == 0 {
		return most
	}
	return max(1, int(float64(most)*g.settings.Pressure.CapFactor))
}

// isLower says whether a cap is stricter than an old one.
func isLower(now, old int) bool { return now > 0 && (old == 0 || now < old) }

// updatePressure checks whether the router is short of a resource. Pressure lasts
// until all usage is well below the level at which it began.
func (g *Controller) updatePressure(now clock.Nanos) {
	p := &g.settings.Pressure
	use := max(float64(g.total)/float64(g.settings.Connections), g.memory)
	most, rate := p.NewPerSecond, 0
	if most > 0 {
		rate = g.arrivals.count(now)
	}
	switch {
	case use >= p.Enter || most > 0 && rate >= most:
		g.underPressure, g.pressureSince = true, now
	case g.underPressure && use < p.Leave && (most == 0 || rate < most/2) && now-g.pressureSince >= p.MinDuration:
		g.underPressure = false
	}
}

// UnderPressure says whether the controller is under pressure.
func (g *Controller) UnderPressure() bool { return g.underPressure }
