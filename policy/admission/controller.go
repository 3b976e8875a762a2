package admission

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"lotushook/policy/clock"
)

// Controller tracks the open connections and decides on new ones. It is not safe for concurrent use: callers share it
// under a lock. It stores the open connections with their addresses and prefixes. Of addresses without connections,
// and of prefixes without connections, it stores at most Settings.MaxSources each.
type Controller struct {
	settings    Settings
	random      *rand.Rand
	connections map[ID]*clientConnection
	freeList    []*clientConnection // for reuse
	addresses   *sourceTable
	prefixes    *sourceTable

	queues       [][stateCount]connectionQueue // by state; at index 0 for connections in no reserve, at i+1 for reserve i
	openCount    int                           // open connections, except those that are being evicted
	reserveUsage []int                         // open connections in each reserve
	reserved     int                           // sum of the capacities of all reserves

	arrivals, admitted rateWindow
	memoryShare        float64 // share of memory in use, from the last Sweep
	underPressure      bool
	pressureSince      clock.Nanos
	sourcesOverCap     bool // a cap was lowered, and some sources may exceed it
	counts             [ReasonCount]uint64
	evictions          []Eviction
}

// New returns a controller without connections. Its random numbers, which jitter the Retry-After times, follow from
// the seed.
func New(settings Settings, seed uint64) (*Controller, error) {
	ctl := &Controller{random: rand.New(rand.NewPCG(seed, 0xad)), connections: map[ID]*clientConnection{},
		addresses: newSourceTable(settings.MaxSources), prefixes: newSourceTable(settings.MaxSources)}
	if err := ctl.UpdateSettings(settings); err != nil {
		return nil, err
	}
	return ctl, nil
}

// UpdateSettings replaces the limits. Connections stay open, but those over a lowered cap are evicted once they are
// idle. A connection stays in its reserve if the new settings have a reserve of the same name with capacity for it;
// otherwise it belongs to no reserve from then on.
func (ctl *Controller) UpdateSettings(settings Settings) error {
	if err := settings.Check(); err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	oldSettings := ctl.settings
	ctl.sourcesOverCap = ctl.sourcesOverCap || isLower(settings.MaxPerAddress, oldSettings.MaxPerAddress) ||
		isLower(settings.MaxPerPrefix, oldSettings.MaxPerPrefix) || settings.MaxConnections < oldSettings.MaxConnections
	newReserveIndex := make([]int, len(oldSettings.Reserves))
	for i, reserve := range oldSettings.Reserves {
		newReserveIndex[i] = slices.IndexFunc(settings.Reserves,
			func(candidate Reserve) bool { return candidate.Name == reserve.Name })
	}
	ctl.settings, ctl.reserveUsage, ctl.reserved = settings, make([]int, len(settings.Reserves)), 0
	for _, reserve := range settings.Reserves {
		ctl.reserved += reserve.Capacity
	}
	oldQueues := ctl.queues
	ctl.queues = make([][stateCount]connectionQueue, len(settings.Reserves)+1)
	for _, byState := range oldQueues {
		for _, queue := range byState {
			for connection := queue.first; connection != nil; {
				next := connection.next
				if connection.reserve >= 0 {
					if connection.reserve = newReserveIndex[connection.reserve]; connection.reserve >= 0 &&
						ctl.reserveUsage[connection.reserve] >= settings.Reserves[connection.reserve].Capacity {
						connection.reserve = -1
					}
				}
				if connection.reserve >= 0 {
					ctl.reserveUsage[connection.reserve]++
				}
				ctl.queues[connection.reserve+1][connection.state].push(connection)
				connection = next
			}
		}
	}
	ctl.addresses.capacity, ctl.prefixes.capacity = settings.MaxSources, settings.MaxSources
	return nil
}

// SetCapacity changes the maximum number of open connections, for example when the system's limit on file descriptors
// changes. The reserves keep their capacity, so the maximum is always above their sum.
func (ctl *Controller) SetCapacity(maxConnections int) {
	maxConnections = max(maxConnections, ctl.reserved+1)
	ctl.sourcesOverCap = ctl.sourcesOverCap || maxConnections < ctl.settings.MaxConnections
	ctl.settings.MaxConnections = maxConnections
}

// Arrive decides on a new connection. The verdict's evictions are the connections to close, most to free capacity for
// the new one.
func (ctl *Controller) Arrive(id ID, address netip.Addr, now clock.Nanos) Verdict {
	ctl.evictions = ctl.evictions[:0]
	ctl.arrivals.add(now)
	ctl.updatePressure(now)
	addressKey, prefixKey := sourceKeys(address)
	addressSource, prefixSource := ctl.addresses.lookup(addressKey), ctl.prefixes.lookup(prefixKey)
	reserve := ctl.reserveOf(address)
	reason, limit, retryAfter := ctl.checkCaps(addressSource, prefixSource,
		contains(ctl.settings.SharedAddresses, address), reserve >= 0, now)
	if reason != None {
		return ctl.reject(reason, limit, retryAfter)
	}
	if ctl.openCount >= ctl.settings.MaxConnections && !ctl.evictForNew(reserve, now) {
		return ctl.reject(AtCapacity, ctl.settings.MaxConnections, ctl.defaultRetryAfter())
	}
	connection := ctl.newConnection()
	*connection = clientConnection{id: id, address: addressSource, prefix: prefixSource, reserve: reserve,
		state: silent, stateSince: now}
	ctl.connections[id] = connection
	ctl.addresses.connect(addressSource, now)
	ctl.prefixes.connect(prefixSource, now)
	ctl.admitted.add(now)
	if reserve >= 0 {
		ctl.reserveUsage[reserve]++
	}
	ctl.enterState(connection, silent, now)
	ctl.openCount++
	// Two evictions for each arrival, so that the number of connections falls.
	if ctl.settings.CrowdedThreshold > 0 && ctl.openCount > ctl.settings.CrowdedThreshold {
		for range 2 {
			if longestIdle := ctl.queues[0][idle].first; longestIdle != nil &&
				now-longestIdle.stateSince >= ctl.settings.CrowdedIdleTimeout {
				ctl.evict(longestIdle, Idle)
			}
		}
	}
	return Verdict{Evictions: ctl.evictions}
}

// reserveOf returns the index of a reserve with free capacity that lists the address; -1: none.
func (ctl *Controller) reserveOf(address netip.Addr) int {
	for i := range ctl.settings.Reserves {
		if reserve := &ctl.settings.Reserves[i]; ctl.reserveUsage[i] < reserve.Capacity && contains(reserve.Addresses, address) {
			return i
		}
	}
	return -1
}

// Identify processes a connection's startup message. If a reserve with free capacity lists the client's identity, the
// connection belongs to that reserve from now on. A connection outside the reserves is rejected if connections that
// wait for responses already use all capacity that is not reserved, because its requests would be rejected anyway.
func (ctl *Controller) Identify(id ID, identity Identity, now clock.Nanos) Verdict {
	ctl.evictions = ctl.evictions[:0]
	connection := ctl.connections[id]
	if connection == nil || connection.state == closing {
		return Verdict{Reason: Displaced}
	}
	if connection.state != silent {
		return Verdict{}
	}
	if connection.reserve < 0 {
		for i := range ctl.settings.Reserves {
			reserve := &ctl.settings.Reserves[i]
			if ctl.reserveUsage[i] < reserve.Capacity && (slices.Contains(reserve.Users, identity.User) ||
				slices.Contains(reserve.Databases, identity.Database) ||
				slices.Contains(reserve.Applications, identity.Application)) {
				ctl.leaveState(connection)
				connection.reserve = i
				ctl.reserveUsage[i]++
				ctl.enterState(connection, started, now)
				return Verdict{}
			}
		}
	}
	if connection.reserve < 0 && ctl.reserved > 0 && ctl.queues[0][busy].len >= ctl.settings.MaxConnections-ctl.reserved {
		ctl.evict(connection, Reserved)
		ctl.evictions = ctl.evictions[:0]
		return Verdict{Reason: Reserved, Limit: ctl.reserved, RetryAfter: ctl.defaultRetryAfter()}
	}
	ctl.changeState(connection, started, now)
	return Verdict{}
}

// Request decides whether a connection's next request is accepted. A request outside the reserves is rejected if the
// connections that wait for responses already use all capacity that is not reserved: this one would use reserved
// capacity, which can't be reclaimed from a connection that waits for a response. A rejected request has not run.
func (ctl *Controller) Request(id ID, now clock.Nanos) Verdict {
	ctl.evictions = ctl.evictions[:0]
	connection := ctl.connections[id]
	switch {
	case connection == nil || connection.state == closing:
		return Verdict{Reason: Displaced}
	case connection.state == busy:
		return Verdict{}
	case connection.reserve < 0 && ctl.reserved > 0 && ctl.queues[0][busy].len >= ctl.settings.MaxConnections-ctl.reserved:
		ctl.evict(connection, Reserved)
		ctl.evictions = ctl.evictions[:0]
		return Verdict{Reason: Reserved, Limit: ctl.reserved, RetryAfter: ctl.defaultRetryAfter()}
	}
	ctl.changeState(connection, busy, now)
	return Verdict{}
}

// Answered records that all requests of a connection have been answered.
func (ctl *Controller) Answered(id ID, now clock.Nanos) {
	if connection := ctl.connections[id]; connection != nil && connection.state == busy {
		ctl.changeState(connection, idle, now)
	}
}

// Closed records that a connection has been closed.
func (ctl *Controller) Closed(id ID) {
	connection := ctl.connections[id]
	if connection == nil {
		return
	}
	delete(ctl.connections, id)
	if connection.state != closing {
		ctl.release(connection)
	}
	*connection = clientConnection{}
	ctl.freeList = append(ctl.freeList, connection)
}

// Size returns the number of open connections, and of the addresses and prefixes that are stored.
func (ctl *Controller) Size() (connections, remembered int) {
	return ctl.openCount, len(ctl.addresses.byKey) + len(ctl.prefixes.byKey)
}

// Counts returns how many connections were rejected or evicted, by reason.
func (ctl *Controller) Counts() [ReasonCount]uint64 { return ctl.counts }

// OutOfDescriptors returns the verdict on a connection for which the system has no file descriptor left.
func (ctl *Controller) OutOfDescriptors() Verdict {
	ctl.evictions = ctl.evictions[:0]
	return ctl.reject(OutOfDescriptors, 0, ctl.defaultRetryAfter())
}

func (ctl *Controller) reject(reason Reason, limit int, retryAfter clock.Nanos) Verdict {
	ctl.counts[reason]++
	return Verdict{Reason: reason, Limit: limit, RetryAfter: retryAfter, Evictions: ctl.evictions}
}

// release removes a connection from its queue and from all counts.
func (ctl *Controller) release(connection *clientConnection) {
	ctl.leaveState(connection)
	if connection.reserve >= 0 {
		ctl.reserveUsage[connection.reserve]--
	}
	ctl.openCount--
	ctl.addresses.disconnect(connection.address)
	ctl.prefixes.disconnect(connection.prefix)
}

func (ctl *Controller) changeState(connection *clientConnection, to connectionState, now clock.Nanos) {
	ctl.leaveState(connection)
	ctl.enterState(connection, to, now)
}

func (ctl *Controller) enterState(connection *clientConnection, to connectionState, now clock.Nanos) {
	connection.state, connection.stateSince = to, now
	ctl.queues[connection.reserve+1][to].push(connection)
	if to == silent {
		connection.address.silent.push(connection)
	}
}

func (ctl *Controller) leaveState(connection *clientConnection) {
	ctl.queues[connection.reserve+1][connection.state].remove(connection)
	if connection.state == silent {
		connection.address.silent.remove(connection)
	}
}

func (ctl *Controller) newConnection() *clientConnection {
	if count := len(ctl.freeList); count > 0 {
		connection := ctl.freeList[count-1]
		ctl.freeList = ctl.freeList[:count-1]
		return connection
	}
	return &clientConnection{}
}

// defaultRetryAfter returns the configured Retry-After time with jitter.
func (ctl *Controller) defaultRetryAfter() clock.Nanos { return ctl.jitter(ctl.settings.RetryAfter) }

// jitter adds jitter to a Retry-After time, so that clients that are rejected together don't return together.
func (ctl *Controller) jitter(retryAfter clock.Nanos) clock.Nanos {
	retryAfter += int64(ctl.random.Float64() * float64(ctl.settings.RetryAfter) / 2)
	if ctl.settings.MaxRetryAfter > 0 {
		retryAfter = min(retryAfter, ctl.settings.MaxRetryAfter)
	}
	return retryAfter
}
