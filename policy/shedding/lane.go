package shedding

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

// Lanes hold what accounts have used and the levels of groups, and decide. One goroutine owns them.
type Lanes struct {
	set    Settings
	order  order
	uses   [2]map[use]*bucket // the younger first: where it is full the older is forgotten, and its accounts start anew
	owed   map[string]debt
	debts  []string // the oldest first
	groups map[int64]*group
	epoch  uint64
	turned Nanos // when the epoch was last another one
	ticked Nanos
	woke   Nanos // it was stopped, or started, until then
	counts [MostLanes][Reasons]uint64
	full   uint64
}

type use struct {
	account uint64
	lane    int
}

// debt is the lane of a write that may be repeated, or read after.
type debt struct {
	lane int
	at   Nanos
}

// New returns lanes in which nobody has used anything, and levels that shed nobody.
func New(s Settings) (*Lanes, error) {
	l := &Lanes{owed: map[string]debt{}, groups: map[int64]*group{}, uses: [2]map[use]*bucket{{}, {}}}
	return l, l.Set(s)
}

// Set puts other settings in force in one step. What was used stays used; levels begin anew where the lanes are others.
func (l *Lanes) Set(s Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	if !slices.Equal(l.set.Lanes, s.Lanes) {
		clear(l.groups)
		l.counts = [MostLanes][Reasons]uint64{}
		l.uses = [2]map[use]*bucket{{}, {}}
		clear(l.owed)
		l.debts = nil
	}
	for i := range l.uses { // teams may have other numbers now
		maps.DeleteFunc(l.uses[i], func(k use, _ *bucket) bool { return k.lane < 0 })
	}
	l.set, l.order = s, newOrder(s.Lanes)
	return nil
}

// order is who is shed before whom. The first positions of each lane but the best go first, the worst lane before the others;
// then the last positions of these lanes, which are their least shares; then the best lane. So one number cuts all lanes.
type order struct {
	free  [MostLanes]int // positions that are not of the least share
	first [MostLanes]int // where these begin
	least [MostLanes]int // where the least share begins
	most  int            // the greatest level: the best lane's least share is never shed
	whole int
}

func newOrder(lanes []Lane) order {
	var o order
	at := 0
	for i, l := range lanes {
		o.free[i] = Steps - int(l.Least*Steps+0.5)
		if l.Least > 0 {
			o.free[i] = min(o.free[i], Steps-1)
		}
	}
	for i := len(lanes) - 1; i > 0; i-- {
		o.first[i], at = at, at+o.free[i]
	}
	for i := len(lanes) - 1; i > 0; i-- {
		o.least[i], at = at, at+Steps-o.free[i]
	}
	o.first[0], o.least[0] = at, at+o.free[0]
	o.most, o.whole = o.least[0], at+Steps
	return o
}

// native is where a position of a lane stands.
func (o *order) native(lane, position int) int {
	if position < o.free[lane] {
		return o.first[lane] + position
	}
	return o.least[lane] + position - o.free[lane]
}

// fallen is where it stands for a request that fell into the lane: never among the least share, which is the lane's own.
func (o *order) fallen(lane, position int) int {
	return o.first[lane] + position*o.free[lane]/Steps
}

// last is the place in a lane that is shed last.
func (o *order) last(lane int) int { return o.native(lane, Steps-1) }

// lane is whose place a standing is.
func (o *order) lane(lanes, standing int) int {
	for i := range lanes {
		if standing >= o.first[i] && standing < o.first[i]+o.free[i] || standing >= o.least[i] && standing < o.least[i]+Steps-o.free[i] {
			return i
		}
	}
	return 0
}

// Account is the number of an account. A request without a session is its team's.
func (s *Settings) Account(team, session string) uint64 {
	h := fnv.New64a()
	if s.By != BySession || session == "" {
		h.Write([]byte(team))
		h.Write([]byte{0})
	}
	if s.By != ByTeam {
		h.Write([]byte(session))
	}
	return h.Sum64()
}

// Session is how a session of a group is named here.
func Session(group int64, session string) string {
	b := make([]byte, 0, len(session)+9)
	for i := range 8 {
		b = append(b, byte(group>>(8*i)))
	}
	return string(append(append(b, 1), session...))
}

// mix spreads an account's number (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// salt is the same at all routers of an epoch, and another at each that goes alone.
func (l *Lanes) salt() uint64 {
	s := mix(l.epoch + 0x9e3779b97f4a7c15)
	if !l.set.Agreed {
		h := fnv.New64a()
		h.Write([]byte(l.set.Router))
		s ^= h.Sum64()
	}
	return s
}

// Position is where an account stands in any lane, in this epoch.
func (l *Lanes) Position(account uint64) int { return int(mix(account^l.salt()) % Steps) }

// Ask decides on a request that has just come.
func (l *Lanes) Ask(r Request, now Nanos) Verdict {
	own := len(l.set.Lanes) - 1
	var team Team
	if r.Team >= 0 && r.Team < len(l.set.Teams) {
		team = l.set.Teams[r.Team]
		own = team.Lane
	}
	v := Verdict{Reason: Above, Lane: own}
	if lane, ok := l.owes(r, own, now); ok {
		v.Reason, v.Lane, v.Standing = Owed, lane, l.order.last(lane)
	} else {
		position, fits := l.Position(r.Account), false
		v.Lane, fits = l.entitled(r, team, own, now)
		switch {
		case !fits: // beyond the last lane's too
			v.Reason, v.Standing = Fell, l.order.first[v.Lane]
		case v.Lane == own:
			v.Standing = l.order.native(own, position)
		default:
			v.Reason, v.Standing = Fell, l.order.fallen(v.Lane, position)
		}
	}
	if g := l.group(r.Group, now); g != nil {
		g.came(v.Standing, r.Again)
		if v.Level = g.level; v.Standing < g.level {
			v.Reason, v.Wait = Shed, l.wait(r.Account, v.Lane)
		}
	}
	l.counts[v.Lane][v.Reason]++
	return v
}

// owes says whether a request belongs to a write that went before it, and in which lane that was.
func (l *Lanes) owes(r Request, own int, now Nanos) (lane int, ok bool) {
	for _, name := range [2]string{r.Key, r.Reads} {
		if d, found := l.owed[name]; name != "" && found && now-d.at < l.set.OweFor {
			return d.lane, true
		}
	}
	return own, r.Own // another router took the write: in which lane is not known here, so its account's
}

// entitled finds the lane whose entitlement covers a request, from the account's own downwards, and takes it.
func (l *Lanes) entitled(r Request, team Team, own int, now Nanos) (lane int, fits bool) {
	for lane = own; lane < len(l.set.Lanes); lane++ {
		set := &l.set.Lanes[lane]
		var mine, all *bucket
		if set.PerS > 0 {
			if mine = l.bucket(use{r.Account, lane}, now, set.PerS*r.Part); !mine.has(set.Burst) {
				continue
			}
		}
		if lane == own && team.PerS > 0 {
			if all = l.bucket(use{uint64(r.Team), -1}, now, team.PerS*r.Part); !all.has(team.Burst) {
				continue
			}
		}
		if mine != nil {
			mine.spent++
		}
		if all != nil {
			all.spent++
		}
		return lane, true
	}
	return len(l.set.Lanes) - 1, false
}

// bucket is a token bucket that starts full.
type bucket struct {
	spent float64
	at    Nanos
}

func (b *bucket) has(burst float64) bool { return b.spent+1 <= burst+1e-9 }

// bucket is what an account has used of a lane, filled at a rate up to now.
func (l *Lanes) bucket(k use, now Nanos, rate float64) *bucket {
	b := l.uses[0][k]
	if b == nil {
		if len(l.uses[0]) >= l.set.Accounts {
			l.uses[0], l.uses[1] = map[use]*bucket{}, l.uses[0]
		}
		if b = l.uses[1][k]; b == nil {
			b = &bucket{at: now}
		}
		l.uses[0][k] = b
	}
	if now > b.at {
		b.spent = max(0, b.spent-rate*float64(now-b.at)/1e9)
	}
	b.at = now // a clock that goes back refills nothing
	return b
}

// wait is when a shed account may come again: sooner in a better lane, and spread, so that they don't return together.
func (l *Lanes) wait(account uint64, lane int) Nanos {
	longest := min(l.set.ComeBack, l.set.LongBack)
	window := float64(longest) * float64(lane+1) / float64(len(l.set.Lanes))
	return Nanos(window * (0.5 + 0.5*float64(mix(account^0x5bd1e995)>>11)/(1<<53)))
}

// owe remembers the lane of a write; the oldest is forgotten where there are too many.
func (l *Lanes) owe(name string, lane int, now Nanos) {
	if name == "" {
		return
	}
	if _, ok := l.owed[name]; !ok {
		l.debts = append(l.debts, name)
	}
	l.owed[name] = debt{lane, now}
	for len(l.debts) > l.set.Owed {
		delete(l.owed, l.debts[0])
		l.debts = l.debts[1:]
	}
}

// Begun notes that a request which was taken here is open now; Ended must follow.
func (l *Lanes) Begun(group int64, came, aim Nanos) {
	if g := l.groups[group]; g != nil && aim > 0 {
		g.begin(came, aim)
	}
}

// Ended takes in how a request ended that had begun; lane and key are its verdict's and its own.
func (l *Lanes) Ended(group int64, lane int, key string, e End, now Nanos) {
	if key != "" && !e.Served && e.MayRun {
		l.owe(key, lane, now)
	}
	if e.Served && e.Wrote != "" {
		l.owe(e.Wrote, lane, now)
	}
	if g := l.groups[group]; g != nil && e.Aim > 0 {
		g.end(e)
	}
}

// group is a group's state. Where too many are remembered one goes that sheds nobody and has nothing open; failing that the
// group has none, and its requests pass as they would without lanes: it is counted.
func (l *Lanes) group(number int64, now Nanos) *group {
	g := l.groups[number]
	if g == nil {
		if len(l.groups) >= l.set.Groups && !l.forget() {
			l.full++
			return nil
		}
		g = newGroup(now, l.order.whole)
		l.groups[number] = g
	}
	return g
}

// forget makes room for a group, by number so that the same always goes.
func (l *Lanes) forget() bool {
	least, found := int64(0), false
	for n, g := range l.groups {
		if g.level == 0 && g.wish == 0 && g.open == 0 && (!found || n < least) {
			least, found = n, true
		}
	}
	delete(l.groups, least)
	return found
}

// Full counts requests that passed because their group found no room.
func (l *Lanes) Full() uint64 { return l.full }

// Size is how many budgets, debts and groups are remembered.
func (l *Lanes) Size() (budgets, debts, groups int) {
	return len(l.uses[0]) + len(l.uses[1]), len(l.debts), len(l.groups)
}

// States are the levels as they stand, by group.
func (l *Lanes) States() []State {
	var out []State
	for n, g := range l.groups {
		s := State{Group: n, Level: g.level, Most: l.order.most, Wish: g.wish, Epoch: l.epoch, Heard: g.heard, Whole: g.whole, Alone: g.alone, Pressure: g.pressure, PerS: int64(g.rate)}
		if g.level > 0 {
			s.Lane = l.set.Lanes[l.order.lane(len(l.set.Lanes), g.level-1)].Name
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y State) int { return cmp.Compare(x.Group, y.Group) })
	return out
}

// Counts are what became of requests since the start, by the lane that they were judged in.
func (l *Lanes) Counts() []Count {
	var out []Count
	for i, lane := range l.set.Lanes {
		c := Count{Lane: lane.Name, By: l.counts[i], Counts: map[string]uint64{}}
		for r, n := range c.By {
			if n > 0 {
				c.Counts[Reason(r).String()] = n
			}
		}
		out = append(out, c)
	}
	return out
}

// Name is a lane's name.
func (l *Lanes) Name(lane int) string { return l.set.Lanes[lane].Name }
