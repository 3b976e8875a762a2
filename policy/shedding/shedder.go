package shedding

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"lotushook/policy/clock"
)

// Shedder keeps the accounts' usage and the groups' thresholds, and decides. It is not safe for concurrent use.
type Shedder struct {
	settings      Settings
	order         shedOrder
	buckets       [2]map[bucketKey]*bucket // the younger first: where it is full the older is dropped, and its accounts start anew
	affinities    map[string]writeAffinity
	affinityOrder []string // the oldest first
	groups        map[int64]*group
	saltEpoch     uint64
	saltChangedAt clock.Nanos // when the epoch last changed
	tickedAt      clock.Nanos
	resumedAt     clock.Nanos // it was paused, or started, until then
	counts        [MaxPriorityClasses][ReasonCount]uint64
	ungrouped     uint64
}

type bucketKey struct {
	account  uint64
	priority int
}

// writeAffinity is the class of a write for its retries and the reads after it.
type writeAffinity struct {
	priority int
	at       clock.Nanos
}

// New returns a Shedder without usage, and with thresholds that shed nothing.
func New(s Settings) (*Shedder, error) {
	l := &Shedder{affinities: map[string]writeAffinity{}, groups: map[int64]*group{}, buckets: [2]map[bucketKey]*bucket{{}, {}}}
	return l, l.Configure(s)
}

// Configure puts new settings in force in one step. Usage stays; thresholds start anew where the classes changed.
func (l *Shedder) Configure(s Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	if !slices.Equal(l.settings.PriorityClasses, s.PriorityClasses) {
		clear(l.groups)
		l.counts = [MaxPriorityClasses][ReasonCount]uint64{}
		l.buckets = [2]map[bucketKey]*bucket{{}, {}}
		clear(l.affinities)
		l.affinityOrder = nil
	}
	for i := range l.buckets { // teams may have other numbers now
		maps.DeleteFunc(l.buckets[i], func(k bucketKey, _ *bucket) bool { return k.priority < 0 })
	}
	l.settings, l.order = s, newShedOrder(s.PriorityClasses)
	return nil
}

// shedOrder is the order of shedding. The first positions of each class but the best come first, the lowest class before the others;
// then the last positions of these classes, their reserved shares; then the best class. So one number cuts all classes.
type shedOrder struct {
	unreserved    [MaxPriorityClasses]int // positions that are not reserved
	first         [MaxPriorityClasses]int // where these begin
	reservedFirst [MaxPriorityClasses]int // where the reserved share begins
	maxThreshold  int                     // the greatest threshold: the best class's reserved share is never shed
	size          int
}

func newShedOrder(lanes []PriorityClass) shedOrder {
	var o shedOrder
	at := 0
	for i, l := range lanes {
		o.unreserved[i] = Positions - int(l.ReservedShare*Positions+0.5)
		if l.ReservedShare > 0 {
			o.unreserved[i] = min(o.unreserved[i], Positions-1)
		}
	}
	for i := len(lanes) - 1; i > 0; i-- {
		o.first[i], at = at, at+o.unreserved[i]
	}
	for i := len(lanes) - 1; i > 0; i-- {
		o.reservedFirst[i], at = at, at+Positions-o.unreserved[i]
	}
	o.first[0], o.reservedFirst[0] = at, at+o.unreserved[0]
	o.maxThreshold, o.size = o.reservedFirst[0], at+Positions
	return o
}

// standing is the standing of a position of a class.
func (o *shedOrder) standing(lane, position int) int {
	if position < o.unreserved[lane] {
		return o.first[lane] + position
	}
	return o.reservedFirst[lane] + position - o.unreserved[lane]
}

// downgradedStanding is the standing of a request that was downgraded to the class: never in the reserved share, which is for the class's own.
func (o *shedOrder) downgradedStanding(lane, position int) int {
	return o.first[lane] + position*o.unreserved[lane]/Positions
}

// lastStanding is the standing in a class that is shed last.
func (o *shedOrder) lastStanding(lane int) int { return o.standing(lane, Positions-1) }

// priorityClassAt is the class of a standing.
func (o *shedOrder) priorityClassAt(lanes, standing int) int {
	for i := range lanes {
		if standing >= o.first[i] && standing < o.first[i]+o.unreserved[i] || standing >= o.reservedFirst[i] && standing < o.reservedFirst[i]+Positions-o.unreserved[i] {
			return i
		}
	}
	return 0
}

// Account is the number of an account. A request without a session is its team's.
func (s *Settings) Account(team, session string) uint64 {
	h := fnv.New64a()
	if s.AccountKey != BySession || session == "" {
		h.Write([]byte(team))
		h.Write([]byte{0})
	}
	if s.AccountKey != ByTeam {
		h.Write([]byte(session))
	}
	return h.Sum64()
}

// Session names a session of a group.
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

// salt is the same at all routers of an epoch, and different at each isolated one.
func (l *Shedder) salt() uint64 {
	s := mix(l.saltEpoch + 0x9e3779b97f4a7c15)
	if !l.settings.Shared {
		h := fnv.New64a()
		h.Write([]byte(l.settings.Router))
		s ^= h.Sum64()
	}
	return s
}

// Position is an account's position in any class, in this epoch.
func (l *Shedder) Position(account uint64) int { return int(mix(account^l.salt()) % Positions) }

// Admit decides on a new request.
func (l *Shedder) Admit(r Request, now clock.Nanos) Verdict {
	own := len(l.settings.PriorityClasses) - 1
	var team Team
	if r.Team >= 0 && r.Team < len(l.settings.Teams) {
		team = l.settings.Teams[r.Team]
		own = team.PriorityClass
	}
	v := Verdict{Reason: AboveThreshold, PriorityClass: own}
	if lane, ok := l.affinityOf(r, own, now); ok {
		v.Reason, v.PriorityClass, v.Rank = FollowsWrite, lane, l.order.lastStanding(lane)
	} else {
		var fits bool
		position := l.Position(r.Account)
		v.PriorityClass, fits = l.takeEntitlement(r, team, own, now)
		switch {
		case !fits: // beyond the lowest class's too
			v.Reason, v.Rank = Downgraded, l.order.first[v.PriorityClass]
		case v.PriorityClass == own:
			v.Rank = l.order.standing(own, position)
		default:
			v.Reason, v.Rank = Downgraded, l.order.downgradedStanding(v.PriorityClass, position)
		}
	}
	if g := l.group(r.Group, now); g != nil {
		g.addArrival(v.Rank, r.IsRetry)
		if v.Threshold = g.threshold; v.Rank < g.threshold {
			v.Reason, v.RetryAfter = Shed, l.retryAfter(r.Account, v.PriorityClass)
		}
	}
	l.counts[v.PriorityClass][v.Reason]++
	return v
}

// affinityOf says whether a request belongs to an earlier write, and in which class that was.
func (l *Shedder) affinityOf(r Request, own int, now clock.Nanos) (lane int, ok bool) {
	for _, name := range [2]string{r.Key, r.ReadSession} {
		if d, found := l.affinities[name]; name != "" && found && now-d.at < l.settings.WriteAffinity {
			return d.priority, true
		}
	}
	return own, r.WroteElsewhere // another router served the write: its class is not known here, so the account's own
}

// takeEntitlement finds the class whose entitlement covers a request, from the account's own downwards, and takes it.
func (l *Shedder) takeEntitlement(r Request, team Team, own int, now clock.Nanos) (lane int, fits bool) {
	for lane = own; lane < len(l.settings.PriorityClasses); lane++ {
		set := &l.settings.PriorityClasses[lane]
		var mine, all *bucket
		if set.RequestsPerSecond > 0 {
			if mine = l.bucket(bucketKey{r.Account, lane}, now, set.RequestsPerSecond*r.Share); !mine.has(set.Burst) {
				continue
			}
		}
		if lane == own && team.RequestsPerSecond > 0 {
			if all = l.bucket(bucketKey{uint64(r.Team), -1}, now, team.RequestsPerSecond*r.Share); !all.has(team.Burst) {
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
	return len(l.settings.PriorityClasses) - 1, false
}

// bucket is a token bucket that starts full.
type bucket struct {
	spent float64
	at    clock.Nanos
}

func (b *bucket) has(burst float64) bool { return b.spent+1 <= burst+1e-9 }

// bucket returns an account's bucket of a class, refilled up to now.
func (l *Shedder) bucket(k bucketKey, now clock.Nanos, rate float64) *bucket {
	b := l.buckets[0][k]
	if b == nil {
		if len(l.buckets[0]) >= l.settings.MaxAccounts {
			l.buckets[0], l.buckets[1] = map[bucketKey]*bucket{}, l.buckets[0]
		}
		if b = l.buckets[1][k]; b == nil {
			b = &bucket{at: now}
		}
		l.buckets[0][k] = b
	}
	if now > b.at {
		b.spent = max(0, b.spent-rate*float64(now-b.at)/1e9)
	}
	b.at = now // a clock that goes back refills nothing
	return b
}

// retryAfter is a shed account's Retry-After time: shorter in a better class, and spread, so that clients don't return together.
func (l *Shedder) retryAfter(account uint64, lane int) clock.Nanos {
	longest := min(l.settings.MaxRetryAfter, l.settings.PlatformMaxRetryAfter)
	window := float64(longest) * float64(lane+1) / float64(len(l.settings.PriorityClasses))
	return clock.Nanos(window * (0.5 + 0.5*float64(mix(account^0x5bd1e995)>>11)/(1<<53)))
}

// addAffinity remembers the class of a write; the oldest is forgotten where there are too many.
func (l *Shedder) addAffinity(name string, lane int, now clock.Nanos) {
	if name == "" {
		return
	}
	if _, ok := l.affinities[name]; !ok {
		l.affinityOrder = append(l.affinityOrder, name)
	}
	l.affinities[name] = writeAffinity{lane, now}
	for len(l.affinityOrder) > l.settings.MaxWriteAffinities {
		delete(l.affinities, l.affinityOrder[0])
		l.affinityOrder = l.affinityOrder[1:]
	}
}

// RequestStarted records that a request admitted here is open; RequestEnded must follow.
func (l *Shedder) RequestStarted(group int64, came, aim clock.Nanos) {
	if g := l.groups[group]; g != nil && aim > 0 {
		g.requestStarted(came, aim)
	}
}

// RequestEnded processes the end of a started request; class and key are its verdict's and its own.
func (l *Shedder) RequestEnded(group int64, lane int, key string, e Outcome, now clock.Nanos) {
	if key != "" && !e.Served && e.MayHaveRun {
		l.addAffinity(key, lane, now)
	}
	if e.Served && e.SessionWritten != "" {
		l.addAffinity(e.SessionWritten, lane, now)
	}
	if g := l.groups[group]; g != nil && e.LatencyObjective > 0 {
		g.requestEnded(e)
	}
}

// group returns a group's state. Where too many are remembered one is dropped that sheds nothing and has no open request; failing that the
// group has no state, and its requests pass as without shedding: they are counted.
func (l *Shedder) group(number int64, now clock.Nanos) *group {
	g := l.groups[number]
	if g == nil {
		if len(l.groups) >= l.settings.MaxGroups && !l.evictGroup() {
			l.ungrouped++
			return nil
		}
		g = newGroup(now, l.order.size)
		l.groups[number] = g
	}
	return g
}

// evictGroup drops a group, the first by number so that runs can be replayed.
func (l *Shedder) evictGroup() bool {
	least, found := int64(0), false
	for n, g := range l.groups {
		if g.threshold == 0 && g.ownThreshold == 0 && g.open == 0 && (!found || n < least) {
			least, found = n, true
		}
	}
	delete(l.groups, least)
	return found
}

// Ungrouped counts requests that passed because there was no room for their group.
func (l *Shedder) Ungrouped() uint64 { return l.ungrouped }

// Size is how many buckets, affinities and groups are remembered.
func (l *Shedder) Size() (budgets, debts, groups int) {
	return len(l.buckets[0]) + len(l.buckets[1]), len(l.affinityOrder), len(l.groups)
}

// States are the current thresholds, by group.
func (l *Shedder) States() []GroupState {
	var out []GroupState
	for n, g := range l.groups {
		s := GroupState{Group: n, Threshold: g.threshold, MaxThreshold: l.order.maxThreshold, OwnThreshold: g.ownThreshold, SaltEpoch: l.saltEpoch, Reporters: g.reporters, Quorum: g.hasQuorum, Isolated: g.isolated, Pressure: g.pressure, RequestsPerSecond: int64(g.rate)}
		if g.threshold > 0 {
			s.PriorityClass = l.settings.PriorityClasses[l.order.priorityClassAt(len(l.settings.PriorityClasses), g.threshold-1)].Name
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y GroupState) int { return cmp.Compare(x.Group, y.Group) })
	return out
}

// Counts are the decisions since the start, by the class in which they were made.
func (l *Shedder) Counts() []ClassCounts {
	var out []ClassCounts
	for i, lane := range l.settings.PriorityClasses {
		c := ClassCounts{PriorityClass: lane.Name, ByReason: l.counts[i], Counts: map[string]uint64{}}
		for r, n := range c.ByReason {
			if n > 0 {
				c.Counts[Reason(r).String()] = n
			}
		}
		out = append(out, c)
	}
	return out
}

// Name is a class's name.
func (l *Shedder) Name(lane int) string { return l.settings.PriorityClasses[lane].Name }
