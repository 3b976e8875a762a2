package admission

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// Gate holds the counts and decides. One goroutine at a time may use it: where
// several do, their owner locks. It remembers the held connections and, beside
// their addresses and prefixes, Settings.Remembered of each.
type Gate struct {
	set      Settings
	rng      *rand.Rand
	held     map[ID]*held
	free     []*held // to be used again
	addrs    *sources
	prefixes *sources

	queues   [][states]queue // by reserve, the common ones first
	total    int             // held and not closing
	members  []int           // held of each reserve
	reserved int             // the sum of all reserves

	arrivals, taken window
	memory          float64
	tight           bool
	tightAt         Nanos
	overCaps        bool // a cap was lowered, and some may hold more than it
	counts          [Reasons]uint64
	out             []Closing
}

// New returns a gate that holds nothing. Its draws, which spread the times to
// return, follow from the seed.
func New(s Settings, seed uint64) (*Gate, error) {
	g := &Gate{rng: rand.New(rand.NewPCG(seed, 0xad)), held: map[ID]*held{}, addrs: newSources(s.Remembered), prefixes: newSources(s.Remembered)}
	if err := g.Set(s); err != nil {
		return nil, err
	}
	return g, nil
}

// Set puts other limits in force. Who is held stays: what is over a lowered cap
// is closed once it idles, and a reserve that has the name of an old one keeps
// its members as far as they fit; others become common.
func (g *Gate) Set(s Settings) error {
	if err := s.Check(); err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	old := g.set
	g.overCaps = g.overCaps || lower(s.PerAddress, old.PerAddress) || lower(s.PerPrefix, old.PerPrefix) || s.Connections < old.Connections
	index := make([]int, len(old.Reserves))
	for i, r := range old.Reserves {
		index[i] = slices.IndexFunc(s.Reserves, func(n Reserve) bool { return n.Name == r.Name })
	}
	g.set, g.members, g.reserved = s, make([]int, len(s.Reserves)), 0
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
					if h.reserve = index[h.reserve]; h.reserve >= 0 && g.members[h.reserve] >= s.Reserves[h.reserve].Connections {
						h.reserve = -1
					}
				}
				if h.reserve >= 0 {
					g.members[h.reserve]++
				}
				g.queues[h.reserve+1][h.state].push(h)
				h = next
			}
		}
	}
	g.addrs.most, g.prefixes.most = s.Remembered, s.Remembered
	return nil
}

// Whole changes how many connections there is room for, as the system grants
// fewer than were told of, or more again. The reserves keep theirs.
func (g *Gate) Whole(n int) {
	n = max(n, g.reserved+1)
	g.overCaps = g.overCaps || n < g.set.Connections
	g.set.Connections = n
}

// lower says whether a cap binds more than an old one.
func lower(now, old int) bool { return now > 0 && (old == 0 || now < old) }

// Arrive decides on a connection that has just come. Of a verdict that takes it,
// what is to be closed is closed for its sake.
func (g *Gate) Arrive(id ID, addr netip.Addr, now Nanos) Verdict {
	g.out = g.out[:0]
	g.arrivals.add(now)
	g.press(now)
	akey, pkey := keys(addr)
	a, p := g.addrs.get(akey), g.prefixes.get(pkey)
	member := g.memberOf(addr)
	reason, limit, wait := g.caps(a, p, contains(g.set.Shared, addr), member >= 0, now)
	if reason != None {
		return g.refuse(reason, limit, wait)
	}
	if g.total >= g.set.Connections && !g.makeRoom(member, now) {
		return g.refuse(Full, g.set.Connections, g.comeBack())
	}
	h := g.take()
	*h = held{id: id, addr: a, prefix: p, reserve: member, state: silent, since: now}
	g.held[id] = h
	g.addrs.hold(a, now)
	g.prefixes.hold(p, now)
	g.taken.add(now)
	if member >= 0 {
		g.members[member]++
	}
	g.enter(h, silent, now)
	g.total++
	if g.set.Crowd > 0 && g.total > g.set.Crowd { // two for each that comes, so that it gets less
		for range 2 {
			if v := g.queues[0][idle].first; v != nil && now-v.since >= g.set.EarlyIdle {
				g.shut(v, Idle)
			}
		}
	}
	return Verdict{Close: g.out}
}

// caps are the limits on an address, its prefix, and all. Where an address holds
// its most, its silent ones make room: one that starts properly goes before those
// that say nothing.
func (g *Gate) caps(a, p *source, shared, member bool, now Nanos) (Reason, int, Nanos) {
	if !shared {
		if most := g.cap(g.set.NewAddress, member); most > 0 && a.taken.count(now) >= most {
			return AddressRate, most, g.later(a.taken.wait(now, most))
		}
		if most := g.cap(g.set.NewPrefix, member); most > 0 && p.taken.count(now) >= most {
			return PrefixRate, most, g.later(p.taken.wait(now, most))
		}
	}
	if most := g.set.NewTotal; !member && most > 0 && g.taken.count(now) >= most {
		return TotalRate, most, g.later(g.taken.wait(now, most))
	}
	if shared {
		return None, 0, 0
	}
	mostA, mostP := g.cap(g.set.PerAddress, member), g.cap(g.set.PerPrefix, member)
	overA, overP := a.held-mostA, p.held-mostP // 0: one must go for the next
	if mostA == 0 {
		overA = -1
	}
	if mostP == 0 {
		overP = -1
	}
	if overA < 0 && overP < 0 {
		return None, 0, 0
	}
	if v := a.mute.first; v != nil && now-v.since >= g.green() && overA <= 0 && overP <= 0 {
		g.shut(v, Displaced)
		return None, 0, 0
	}
	full, limit := AddressFull, mostA
	if overA < 0 {
		full, limit = PrefixFull, mostP
	}
	return full, limit, g.comeBack()
}

// cap is a cap for an address or a prefix as it is now.
func (g *Gate) cap(most int, member bool) int {
	if !g.tight || member || most == 0 {
		return most
	}
	return max(1, int(float64(most)*g.set.Pressure.Caps))
}

// green is how long one may say nothing before it may be closed for another.
func (g *Gate) green() Nanos {
	if g.tight {
		return g.set.Green / 4
	}
	return g.set.Green
}

// makeRoom closes one connection for another. For a member whose reserve is lent
// any that is not waiting for an answer goes, and by the rule of Ask there is
// one. For others those go that have long been of no use.
func (g *Gate) makeRoom(member int, now Nanos) bool {
	common := &g.queues[0]
	longest := func(q *queue, age Nanos) *held {
		if h := q.first; h != nil && now-h.since >= age {
			return h
		}
		return nil
	}
	v := longest(&common[silent], g.green())
	if v == nil {
		v = longest(&common[idle], g.set.Spare)
	}
	if v == nil && (member >= 0 || g.lent() && g.namedRoom()) { // it may be a member: its startup message will tell
		for _, s := range []state{silent, idle, started} {
			if v = common[s].first; v != nil {
				break
			}
		}
	}
	if v == nil && member >= 0 {
		v = longest(&g.queues[member+1][silent], g.green())
	}
	if v == nil {
		return false
	}
	g.shut(v, Displaced)
	return true
}

// lent says whether common connections stand in reserved room.
func (g *Gate) lent() bool { return g.common() > g.set.Connections-g.reserved }

// common is how many connections are in no reserve.
func (g *Gate) common() int {
	n := g.total
	for _, m := range g.members {
		n -= m
	}
	return n
}

// namedRoom says whether a reserve that is known by names has room left.
func (g *Gate) namedRoom() bool {
	for i, r := range g.set.Reserves {
		if len(r.Users)+len(r.Databases)+len(r.Applications) > 0 && g.members[i] < r.Connections {
			return true
		}
	}
	return false
}

// memberOf is the reserve with room that an address belongs to, -1 for none.
func (g *Gate) memberOf(addr netip.Addr) int {
	for i := range g.set.Reserves {
		if r := &g.set.Reserves[i]; g.members[i] < r.Connections && contains(r.Addresses, addr) {
			return i
		}
	}
	return -1
}

// Start takes in what the startup message says. A connection that belongs to a
// reserve with room is a member from now on. One that stands in lent room while
// all other room waits for answers is turned away: whatever it asked would be.
func (g *Gate) Start(id ID, who Who, now Nanos) Verdict {
	g.out = g.out[:0]
	h := g.held[id]
	if h == nil || h.state == closing {
		return Verdict{Reason: Displaced}
	}
	if h.state != silent {
		return Verdict{}
	}
	if h.reserve < 0 {
		for i := range g.set.Reserves {
			r := &g.set.Reserves[i]
			if g.members[i] < r.Connections && (slices.Contains(r.Users, who.User) || slices.Contains(r.Databases, who.Database) ||
				slices.Contains(r.Applications, who.Application)) {
				g.leave(h)
				h.reserve = i
				g.members[i]++
				g.enter(h, started, now)
				return Verdict{}
			}
		}
	}
	if h.reserve < 0 && g.reserved > 0 && g.queues[0][busy].len >= g.set.Connections-g.reserved {
		g.shut(h, Reserved)
		g.out = g.out[:0]
		return Verdict{Reason: Reserved, Limit: g.reserved, Wait: g.comeBack()}
	}
	g.move(h, started, now)
	return Verdict{}
}

// Ask decides whether a connection's next request is taken in. Only one that is
// in no reserve may be turned away, when those that wait for answers would begin
// to fill the reserves: then lent room could not be had back. Nothing has run.
func (g *Gate) Ask(id ID, now Nanos) Verdict {
	g.out = g.out[:0]
	h := g.held[id]
	switch {
	case h == nil || h.state == closing:
		return Verdict{Reason: Displaced}
	case h.state == busy:
		return Verdict{}
	case h.reserve < 0 && g.reserved > 0 && g.queues[0][busy].len >= g.set.Connections-g.reserved:
		g.shut(h, Reserved)
		g.out = g.out[:0]
		return Verdict{Reason: Reserved, Limit: g.reserved, Wait: g.comeBack()}
	}
	g.move(h, busy, now)
	return Verdict{}
}

// Answered says that nothing of a connection is open any more.
func (g *Gate) Answered(id ID, now Nanos) {
	if h := g.held[id]; h != nil && h.state == busy {
		g.move(h, idle, now)
	}
}

// Left says that a connection has ended.
func (g *Gate) Left(id ID) {
	h := g.held[id]
	if h == nil {
		return
	}
	delete(g.held, id)
	if h.state != closing {
		g.drop(h)
	}
	*h = held{}
	g.free = append(g.free, h)
}

// Sweep takes in how much of the memory is in use, and returns what is to be
// closed by now: under pressure those that say nothing, and after a cap was
// lowered those that idle over it. It wants to be called some times a second.
func (g *Gate) Sweep(now Nanos, memory float64) []Closing {
	g.out = g.out[:0]
	g.memory = memory
	g.press(now)
	if g.tight {
		for h := g.queues[0][silent].first; h != nil && now-h.since >= g.green(); {
			next := h.next
			if now-h.since >= g.set.Silence || g.overTight(h) {
				g.shut(h, Silent)
			}
			h = next
		}
	}
	if g.overCaps {
		g.overCaps = g.trim(now)
	}
	return g.out
}

// overTight says whether a silent connection is over its address's or prefix's
// cap as it is now.
func (g *Gate) overTight(h *held) bool {
	a, p := g.cap(g.set.PerAddress, false), g.cap(g.set.PerPrefix, false)
	return a > 0 && h.addr.held > a || p > 0 && h.prefix.held > p
}

// trim closes idle connections over the caps and says whether any are over.
func (g *Gate) trim(now Nanos) bool {
	over := func(h *held) bool {
		return g.total > g.set.Connections || g.set.PerAddress > 0 && h.addr.held > g.set.PerAddress ||
			g.set.PerPrefix > 0 && h.prefix.held > g.set.PerPrefix
	}
	left := false
	for i := range g.queues {
		for s := silent; s <= busy; s++ {
			for h := g.queues[i][s].first; h != nil; {
				next := h.next
				if over(h) {
					if s == silent || s == idle && now-h.since >= g.set.Spare {
						g.shut(h, OverCap)
					} else {
						left = true
					}
				}
				h = next
			}
		}
	}
	return left
}

// press finds out whether the router is short of something. Once it was, it
// stays tight until all is well under where it began.
func (g *Gate) press(now Nanos) {
	p := &g.set.Pressure
	use := max(float64(g.total)/float64(g.set.Connections), g.memory)
	most, rate := p.NewPerSecond, 0
	if most > 0 {
		rate = g.arrivals.count(now)
	}
	switch {
	case use >= p.Enter || most > 0 && rate >= most:
		g.tight, g.tightAt = true, now
	case g.tight && use < p.Leave && (most == 0 || rate < most/2) && now-g.tightAt >= p.Hold:
		g.tight = false
	}
}

// Tight says whether the gate is under pressure.
func (g *Gate) Tight() bool { return g.tight }

// Size is how many connections are held, and how many addresses and prefixes
// remembered.
func (g *Gate) Size() (connections, remembered int) {
	return g.total, len(g.addrs.all) + len(g.prefixes.all)
}

// Counts is how many were turned away or closed, by reason.
func (g *Gate) Counts() [Reasons]uint64 { return g.counts }

// Lost is the verdict on one that can't be held, as the system has no descriptor
// for it.
func (g *Gate) Lost() Verdict {
	g.out = g.out[:0]
	return g.refuse(OutOfDescriptors, 0, g.comeBack())
}

func (g *Gate) refuse(r Reason, limit int, wait Nanos) Verdict {
	g.counts[r]++
	return Verdict{Reason: r, Limit: limit, Wait: wait, Close: g.out}
}

// shut puts a connection out; it takes no room from now on.
func (g *Gate) shut(h *held, r Reason) {
	g.counts[r]++
	g.out = append(g.out, Closing{ID: h.id, Reason: r, Wait: g.comeBack(), Word: h.state != idle})
	g.drop(h)
	h.state = closing
}

// drop takes a connection out of the counts.
func (g *Gate) drop(h *held) {
	g.leave(h)
	if h.reserve >= 0 {
		g.members[h.reserve]--
	}
	g.total--
	g.addrs.leave(h.addr)
	g.prefixes.leave(h.prefix)
}

func (g *Gate) move(h *held, to state, now Nanos) {
	g.leave(h)
	g.enter(h, to, now)
}

func (g *Gate) enter(h *held, to state, now Nanos) {
	h.state, h.since = to, now
	g.queues[h.reserve+1][to].push(h)
	if to == silent {
		h.addr.mute.push(h)
	}
}

func (g *Gate) leave(h *held) {
	g.queues[h.reserve+1][h.state].remove(h)
	if h.state == silent {
		h.addr.mute.remove(h)
	}
}

func (g *Gate) take() *held {
	if n := len(g.free); n > 0 {
		h := g.free[n-1]
		g.free = g.free[:n-1]
		return h
	}
	return &held{}
}

// comeBack is a time to return, spread so that those turned away together don't
// return together.
func (g *Gate) comeBack() Nanos { return g.later(g.set.ComeBack) }

func (g *Gate) later(t Nanos) Nanos {
	t += int64(g.rng.Float64() * float64(g.set.ComeBack) / 2)
	if g.set.LongestBack > 0 {
		t = min(t, g.set.LongestBack)
	}
	return t
}

// Shed closes one connection because descriptors run out although the count said
// otherwise, if there is one that is of no use.
func (g *Gate) Shed(now Nanos) []Closing {
	g.out = g.out[:0]
	g.makeRoom(-1, now)
	return g.out
}
