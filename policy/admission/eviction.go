package admission

import "lotushook/policy/clock"

// evictForNew evicts one connection to free capacity for a new one, and reports whether it could. A new connection of a
// reserve whose capacity is lent may take the place of any connection outside the reserves that does not wait for a
// response. Such a connection exists, because Request lets no more connections outside the reserves wait for responses
// than the capacity that is not reserved. For any other new connection, only connections that have been idle, or
// without a startup message, for long enough are evicted.
func (ctl *Controller) evictForNew(reserve int, now clock.Nanos) bool {
	common := &ctl.queues[0]
	longestIn := func(queue *connectionQueue, age clock.Nanos) *clientConnection {
		if connection := queue.first; connection != nil && now-connection.stateSince >= age {
			return connection
		}
		return nil
	}
	victim := longestIn(&common[silent], ctl.evictableSilence())
	if victim == nil {
		victim = longestIn(&common[idle], ctl.settings.EvictableIdle)
	}
	// The startup message may yet show that the new connection belongs to a reserve that is identified by names.
	if victim == nil && (reserve >= 0 || ctl.lending() && ctl.namedReserveHasCapacity()) {
		for _, state := range []connectionState{silent, idle, started} {
			if victim = common[state].first; victim != nil {
				break
			}
		}
	}
	if victim == nil && reserve >= 0 {
		victim = longestIn(&ctl.queues[reserve+1][silent], ctl.evictableSilence())
	}
	if victim == nil {
		return false
	}
	ctl.evict(victim, Displaced)
	return true
}

// evictableSilence returns how long a connection may lack its startup message before it may be evicted for another.
func (ctl *Controller) evictableSilence() clock.Nanos {
	if ctl.underPressure {
		return ctl.settings.EvictableSilence / 4
	}
	return ctl.settings.EvictableSilence
}

// lending reports whether connections outside the reserves use reserved capacity.
func (ctl *Controller) lending() bool { return ctl.common() > ctl.settings.MaxConnections-ctl.reserved }

// common returns how many connections are in no reserve.
func (ctl *Controller) common() int {
	count := ctl.openCount
	for _, used := range ctl.reserveUsage {
		count -= used
	}
	return count
}

// namedReserveHasCapacity reports whether a reserve that is identified by names in the startup message has free
// capacity.
func (ctl *Controller) namedReserveHasCapacity() bool {
	for i, reserve := range ctl.settings.Reserves {
		if len(reserve.Users)+len(reserve.Databases)+len(reserve.Applications) > 0 && ctl.reserveUsage[i] < reserve.Capacity {
			return true
		}
	}
	return false
}

// Sweep returns the evictions that are due: under pressure, connections without a startup message; after a cap was
// lowered, idle connections over it. It also records the share of memory in use. It should be called a few times a
// second.
func (ctl *Controller) Sweep(now clock.Nanos, memoryShare float64) []Eviction {
	ctl.evictions = ctl.evictions[:0]
	ctl.memoryShare = memoryShare
	ctl.updatePressure(now)
	if ctl.underPressure {
		for connection := ctl.queues[0][silent].first; connection != nil && now-connection.stateSince >= ctl.evictableSilence(); {
			next := connection.next
			if now-connection.stateSince >= ctl.settings.SilenceTimeout || ctl.exceedsEffectiveCap(connection) {
				ctl.evict(connection, Silent)
			}
			connection = next
		}
	}
	if ctl.sourcesOverCap {
		ctl.sourcesOverCap = ctl.evictOverCaps(now)
	}
	return ctl.evictions
}

// exceedsEffectiveCap reports whether the address or prefix of a connection has more connections than its effective
// cap.
func (ctl *Controller) exceedsEffectiveCap(connection *clientConnection) bool {
	addressCap, prefixCap := ctl.effectiveCap(ctl.settings.MaxPerAddress, false),
		ctl.effectiveCap(ctl.settings.MaxPerPrefix, false)
	return addressCap > 0 && connection.address.connections > addressCap ||
		prefixCap > 0 && connection.prefix.connections > prefixCap
}

// evictOverCaps evicts idle connections over the caps, and reports whether any over a cap remain open.
func (ctl *Controller) evictOverCaps(now clock.Nanos) bool {
	exceedsCap := func(connection *clientConnection) bool {
		return ctl.openCount > ctl.settings.MaxConnections ||
			ctl.settings.MaxPerAddress > 0 && connection.address.connections > ctl.settings.MaxPerAddress ||
			ctl.settings.MaxPerPrefix > 0 && connection.prefix.connections > ctl.settings.MaxPerPrefix
	}
	remaining := false
	for i := range ctl.queues {
		for state := silent; state <= busy; state++ {
			for connection := ctl.queues[i][state].first; connection != nil; {
				next := connection.next
				if exceedsCap(connection) {
					if state == silent || state == idle && now-connection.stateSince >= ctl.settings.EvictableIdle {
						ctl.evict(connection, OverCap)
					} else {
						remaining = true
					}
				}
				connection = next
			}
		}
	}
	return remaining
}

// evict adds a connection to the evictions. The connection uses no capacity from now on, although it is still open
// until Closed is called.
func (ctl *Controller) evict(connection *clientConnection, reason Reason) {
	ctl.counts[reason]++
	ctl.evictions = append(ctl.evictions, Eviction{ID: connection.id, Reason: reason,
		RetryAfter: ctl.defaultRetryAfter(), Notify: connection.state != idle})
	ctl.release(connection)
	connection.state = closing
}

// EvictOne evicts one connection under the rules for a new connection outside the reserves, if one may be evicted. It
// should be called when the system runs out of file descriptors before the maximum number of connections is reached.
func (ctl *Controller) EvictOne(now clock.Nanos) []Eviction {
	ctl.evictions = ctl.evictions[:0]
	ctl.evictForNew(-1, now)
	return ctl.evictions
}
