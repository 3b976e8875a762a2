package admission

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"lotushook/policy/clock"
)

// Controller keeps the counts and decides. It is not safe for concurrent use: callers
// share it under a lock. It remembers the connections held and, beside
// their addresses and prefixes, Settings.MaxSources of each.
type Controller struct {
	settings    Settings
	random      *rand.Rand
	connections map[ID]*connection
	free        []*connection // reused
	addresses   *sources
	prefixes    *sources

	queues         [][states]queue // by reserve, the common ones first
	total          int             // held and not closing
	reserveMembers []int           // held of each reserve
	reserved       int             // the sum of all reserves

	arrivals, admitted rateWindow
	memory             float64
	underPressure      bool
	pressureSince      clock.Nanos
	overCaps           bool // a cap was lowered, and some sources may exceed it
	counts             [ReasonCount]uint64
	evictions          []Eviction
}

// New returns a controller without connections. Its random numbers, which spread the Retry-After
// times, follow from the seed.
func New(s Settings, seed uint64) (*Controller, error) {
	g := &Controller{random: rand.New(rand.NewPCG(seed, 0xad)), connections: map[ID]*connection{}, addresses: newSources(s.MaxSources), prefixes: newSources(s.MaxSources)}
	if err := g.Set(s); err != nil {
		return nil, err
	}
	return g, nil
}

// Set puts new limits in force. Connections stay: those over a lowered cap
// are closed once they are idle, and a reserve that has the name of an old one keeps
// its members as far as they fit; others become common.
func (g *Controller) Set(s Settings) error {
	if err := s.Check(); err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	old := g.settings
	g.overCaps = g.overCaps || isLower(s.PerAddress, old.PerAddress) || isLower(s.PerPrefix, old.PerPrefix) || s.Connections < old.Connections
	index := make([]int, len(old.Reserves))
	for i, r := range old.Reserves {
		index[i] = slices.IndexFunc(s.Reserves, func(n Reserve) bool { return n.Name == r.Name })
	}
	g.settings, g.reserveMembers, g.reserved = s, make([]int, len(s.Reserves)), 0
	for _, r := range s.Reserves {
		g.reserved += r.Connections
	}
	queues := g.queues
	g.queues = make([][states]queue, len(s.Reserves)+1)
	for _, by := range queues {
		for _, q := range by {
			for h := q.first; h != nil; {
				next := h.next
				if h.reserve >= 0 {
					if h.reserve = index[h.reserve]; h.reserve >= 0 && g.reserveMembers[h.reserve] >= s.Reserves[h.reserve].Connections {
						h.reserve = -1
					}
				}
				if h.reserve >= 0 {
					g.reserveMembers[h.reserve]++
				}
				g.queues[h.reserve+1][h.state].push(h)
				h = next
			}
		}
	}
	g.addresses.capacity, g.prefixes.capacity = s.MaxSources, s.MaxSources
	return nil
}

// SetCapacity changes how many connections may be held, as the system grants
// fewer descriptors than promised, or more again. The reserves stay.
func (g *Controller) SetCapacity(n int) {
	n = max(n, g.reserved+1)
	g.overCaps = g.overCaps || n < g.settings.Connections
	g.settings.Connections = n
}

// Arrive decides on a new connection. If it is accepted,
// the evictions make room for it.
func (g *Controller) Arrive(id ID, addr netip.Addr, now clock.Nanos) Verdict {
	g.evictions = g.evictions[:0]
	g.arrivals.add(now)
	g.updatePressure(now)
	akey, pkey := sourceKeys(addr)
	a, p := g.addresses.get(akey), g.prefixes.get(pkey)
	member := g.reserveOf(addr)
	reason, limit, wait := g.checkCaps(a, p, contains(g.settings.SharedAddresses, addr), member >= 0, now)
	if reason != None {
		return g.reject(reason, limit, wait)
	}
	if g.total >= g.settings.Connections && !g.makeRoom(member, now) {
		return g.reject(AtCapacity, g.settings.Connections, g.retryAfter())
	}
	h := g.newConnection()
	*h = connection{id: id, address: a, prefix: p, reserve: member, state: silent, since: now}
	g.connections[id] = h
	g.addresses.connect(a, now)
	g.prefixes.connect(p, now)
	g.admitted.add(now)
	if member >= 0 {
		g.reserveMembers[member]++
	}
	g.enter(h, silent, now)
	g.total++
	if g.settings.CrowdedFrom > 0 && g.total > g.settings.CrowdedFrom { // two for each arrival, so that the number falls
		for range 2 {
			if v := g.queues[0][idle].first; v != nil && now-v.since >= g.settings.CrowdedIdleTimeout {
				g.evict(v, Idle)
			}
		}
	}
	return Verdict{Close: g.evictions}
}

// reserveOf returns the reserve with capacity that an address belongs to; -1: none.
func (g *Controller) reserveOf(addr netip.Addr) int {
	for i := range g.settings.Reserves {
		if r := &g.settings.Reserves[i]; g.reserveMembers[i] < r.Connections && contains(r.Addresses, addr) {
			return i
		}
	}
	return -1
}

// Start processes the startup message. A connection that belongs to a
// reserve with capacity is a member from now on. One that uses lent capacity while
// all other connections wait for answers is rejected: its queries would be anyway.
func (g *Controller) Start(id ID, who Identity, now clock.Nanos) Verdict {
	g.evictions = g.evictions[:0]
	h := g.connections[id]
	if h == nil || h.state == closing {
		return Verdict{Reason: Displaced}
	}
	if h.state != silent {
		return Verdict{}
	}
	if h.reserve < 0 {
		for i := range g.settings.Reserves {
			r := &g.settings.Reserves[i]
			if g.reserveMembers[i] < r.Connections && (slices.Contains(r.Users, who.User) || slices.Contains(r.Databases, who.Database) ||
				slices.Contains(r.Applications, who.Application)) {
				g.leave(h)
				h.reserve = i
				g.reserveMembers[i]++
				g.enter(h, started, now)
				return Verdict{}
			}
		}
	}
	if h.reserve < 0 && g.reserved > 0 && g.queues[0][busy].len >= g.settings.Connections-g.reserved {
		g.evict(h, Reserved)
		g.evictions = g.evictions[:0]
		return Verdict{Reason: Reserved, Limit: g.reserved, RetryAfter: g.retryAfter()}
	}
	g.move(h, started, now)
	return Verdict{}
}

// Request decides whether a connection's next request is accepted. Only a connection
// without a reserve may be rejected, when those that wait for answers would begin
// to fill the reserves: lent capacity could not be reclaimed then. Nothing has run.
func (g *Controller) Request(id ID, now clock.Nanos) Verdict {
	g.evictions = g.evictions[:0]
	h := g.connections[id]
	switch {
	case h == nil || h.state == closing:
		return Verdict{Reason: Displaced}
	case h.state == busy:
		return Verdict{}
	case h.reserve < 0 && g.reserved > 0 && g.queues[0][busy].len >= g.settings.Connections-g.reserved:
		g.evict(h, Reserved)
		g.evictions = g.evictions[:0]
		return Verdict{Reason: Reserved, Limit: g.reserved, RetryAfter: g.retryAfter()}
	}
	g.move(h, busy, now)
	return Verdict{}
}

// Answered reports that no request of a connection is open any more.
func (g *Controller) Answered(id ID, now clock.Nanos) {
	if h := g.connections[id]; h != nil && h.state == busy {
		g.move(h, idle, now)
	}
}

// Closed reports that a connection has ended.
func (g *Controller) Closed(id ID) {
	h := g.connections[id]
	if h == nil {
		return
	}
	delete(g.connections, id)
	if h.state != closing {
		g.drop(h)
	}
	*h = connection{}
	g.free = append(g.free, h)
}

// Size is how many connections are held, and how many addresses and prefixes are
// remembered.
func (g *Controller) Size() (connections, remembered int) {
	return g.total, len(g.addresses.all) + len(g.prefixes.all)
}

// Counts is how many were rejected or evicted, by reason.
func (g *Controller) Counts() [ReasonCount]uint64 { return g.counts }

// OutOfDescriptors is the verdict on a connection for which the system has no descriptor
// left.
func (g *Controller) OutOfDescriptors() Verdict {
	g.evictions = g.evictions[:0]
	return g.reject(OutOfDescriptors, 0, g.retryAfter())
}

func (g *Controller) reject(r Reason, limit int, wait clock.Nanos) Verdict {
	g.counts[r]++
	return Verdict{Reason: r, Limit: limit, RetryAfter: wait, Close: g.evictions}
}

// drop removes a connection from the counts.
func (g *Controller) drop(h *connection) {
	g.leave(h)
	if h.reserve >= 0 {
		g.reserveMembers[h.reserve]--
	}
	g.total--
	g.addresses.disconnect(h.address)
	g.prefixes.disconnect(h.prefix)
}

func (g *Controller) move(h *connection, to state, now clock.Nanos) {
	g.leave(h)
	g.enter(h, to, now)
}

func (g *Controller) enter(h *connection, to state, now clock.Nanos) {
	h.state, h.since = to, now
	g.queues[h.reserve+1][to].push(h)
	if to == silent {
		h.address.silent.push(h)
	}
}

func (g *Controller) leave(h *connection) {
	g.queues[h.reserve+1][h.state].remove(h)
	if h.state == silent {
		h.address.silent.remove(h)
	}
}

func (g *Controller) newConnection() *connection {
	if n := len(g.free); n > 0 {
		h := g.free[n-1]
		g.free = g.free[:n-1]
		return h
	}
	return &connection{}
}

// retryAfter is a Retry-After time, spread so that clients rejected together don't
// return together.
func (g *Controller) retryAfter() clock.Nanos { return g.spreadRetryAfter(g.settings.RetryAfter) }

func (g *Controller) spreadRetryAfter(t clock.Nanos) clock.Nanos {
	t += int64(g.random.Float64() * float64(g.settings.RetryAfter) / 2)
	if g.settings.MaxRetryAfter > 0 {
		t = min(t, g.settings.MaxRetryAfter)
	}
	return t
}
