package admission

import "lotushook/policy/clock"

// checkCaps checks a new connection against the limits on its address, on its prefix, and on all arrivals. If one of
// them is reached, it returns the reason, the limit and a Retry-After time; otherwise it returns None. If the address
// or prefix has its maximum of connections, checkCaps evicts the address's oldest connection without a startup message,
// if that may be evicted, and accepts the new one: clients that send a startup message take precedence over clients
// that send nothing.
func (ctl *Controller) checkCaps(address, prefix *sourceEntry, sharedAddress, inReserve bool,
	now clock.Nanos) (Reason, int, clock.Nanos) {
	if !sharedAddress {
		if limit := ctl.effectiveCap(ctl.settings.AddressRateLimit, inReserve); limit > 0 && address.admitted.count(now) >= limit {
			return AddressRate, limit, ctl.jitter(address.admitted.wait(now, limit))
		}
		if limit := ctl.effectiveCap(ctl.settings.PrefixRateLimit, inReserve); limit > 0 && prefix.admitted.count(now) >= limit {
			return PrefixRate, limit, ctl.jitter(prefix.admitted.wait(now, limit))
		}
	}
	if limit := ctl.settings.TotalRateLimit; !inReserve && limit > 0 && ctl.admitted.count(now) >= limit {
		return TotalRate, limit, ctl.jitter(ctl.admitted.wait(now, limit))
	}
	if sharedAddress {
		return None, 0, 0
	}
	addressCap, prefixCap := ctl.effectiveCap(ctl.settings.MaxPerAddress, inReserve),
		ctl.effectiveCap(ctl.settings.MaxPerPrefix, inReserve)
	// By how many connections the caps are exceeded. At 0, one connection must be evicted for the new one.
	addressExcess, prefixExcess := address.connections-addressCap, prefix.connections-prefixCap
	if addressCap == 0 {
		addressExcess = -1
	}
	if prefixCap == 0 {
		prefixExcess = -1
	}
	if addressExcess < 0 && prefixExcess < 0 {
		return None, 0, 0
	}
	if oldestSilent := address.silent.first; oldestSilent != nil &&
		now-oldestSilent.stateSince >= ctl.evictableSilence() && addressExcess <= 0 && prefixExcess <= 0 {
		ctl.evict(oldestSilent, Displaced)
		return None, 0, 0
	}
	reason, limit := AddressFull, addressCap
	if addressExcess < 0 {
		reason, limit = PrefixFull, prefixCap
	}
	return reason, limit, ctl.defaultRetryAfter()
}

// effectiveCap returns the current value of a limit on an address or a prefix, which is lower under pressure. Pressure
// does not lower it for connections of a reserve.
func (ctl *Controller) effectiveCap(limit int, inReserve bool) int {
	if !ctl.underPressure || inReserve || limit == 0 {
		return limit
	}
	return max(1, int(float64(limit)*ctl.settings.Pressure.CapFactor))
}

// isLower reports whether a cap is stricter than its old value; 0 means that there is no cap.
func isLower(newCap, oldCap int) bool { return newCap > 0 && (oldCap == 0 || newCap < oldCap) }

// updatePressure updates whether the router is under pressure. Pressure ends when the usage of connections and memory
// is below Pressure.Leave and the arrival rate is below half of Pressure.ArrivalsPerSecond, but not before
// Pressure.MinDuration has passed.
func (ctl *Controller) updatePressure(now clock.Nanos) {
	pressure := &ctl.settings.Pressure
	usage := max(float64(ctl.openCount)/float64(ctl.settings.MaxConnections), ctl.memoryShare)
	rateLimit, rate := pressure.ArrivalsPerSecond, 0
	if rateLimit > 0 {
		rate = ctl.arrivals.count(now)
	}
	switch {
	case usage >= pressure.Enter || rateLimit > 0 && rate >= rateLimit:
		ctl.underPressure, ctl.pressureSince = true, now
	case ctl.underPressure && usage < pressure.Leave && (rateLimit == 0 || rate < rateLimit/2) &&
		now-ctl.pressureSince >= pressure.MinDuration:
		ctl.underPressure = false
	}
}

// UnderPressure reports whether the router is under pressure: short of connections or memory, or with many arrivals.
func (ctl *Controller) UnderPressure() bool { return ctl.underPressure }
