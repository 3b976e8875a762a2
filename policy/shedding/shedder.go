package shedding

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"lotushook/policy/clock"
)

// Shedder tracks the usage of accounts and the thresholds of groups, and decides on requests. It is not safe for
// concurrent use.
type Shedder struct {
	settings Settings
	order    shedOrder
	// buckets has two generations, the newer one first. Once the newer one is full, the older one is dropped, and accounts
	// that were only in the older one start again with full buckets.
	buckets       [2]map[bucketKey]*bucket
	affinities    map[string]writeAffinity
	affinityOrder []string // keys of affinities, oldest first
	groups        map[int64]*group
	saltEpoch     uint64
	saltChangedAt clock.Nanos
	tickedAt      clock.Nanos
	resumedAt     clock.Nanos // end of this process's latest pause, or its start
	counts        [MaxPriorityClasses][ReasonCount]uint64
	ungrouped     uint64 // see Ungrouped
}

type bucketKey struct {
	account uint64
	class   int // -1: the account is a team
}

// writeAffinity is the class of a write, which applies to its retries and the reads after it.
type writeAffinity struct {
	class     int
	writtenAt clock.Nanos
}

// New returns a Shedder that has counted no usage and sheds nothing.
func New(settings Settings) (*Shedder, error) {
	s := &Shedder{affinities: map[string]writeAffinity{}, groups: map[int64]*group{}, buckets: [2]map[bucketKey]*bucket{{}, {}}}
	return s, s.Configure(settings)
}

// Configure replaces the settings. If the priority classes change, all state is reset; otherwise only the usage of the
// teams' entitlements is.
func (s *Shedder) Configure(settings Settings) error {
	if err := settings.Check(); err != nil {
		return err
	}
	if !slices.Equal(s.settings.PriorityClasses, settings.PriorityClasses) {
		clear(s.groups)
		s.counts = [MaxPriorityClasses][ReasonCount]uint64{}
		s.buckets = [2]map[bucketKey]*bucket{{}, {}}
		clear(s.affinities)
		s.affinityOrder = nil
	}
	for i := range s.buckets { // the teams' indices may have changed
		maps.DeleteFunc(s.buckets[i], func(key bucketKey, _ *bucket) bool { return key.class < 0 })
	}
	s.settings, s.order = settings, newShedOrder(settings.PriorityClasses)
	return nil
}

// shedOrder ranks the positions of all classes in the order of shedding, so that one threshold applies to all classes.
// The unreserved positions of each class but the highest are shed first, lowest class first; then the reserved
// positions of these classes; then the highest class.
type shedOrder struct {
	unreservedPositions [MaxPriorityClasses]int // number of positions that are not reserved
	firstRank           [MaxPriorityClasses]int // lowest rank of the unreserved positions
	firstReservedRank   [MaxPriorityClasses]int // lowest rank of the reserved positions
	maxThreshold        int                     // the reserved positions of the highest class are never shed
	rankCount           int
}

func newShedOrder(classes []PriorityClass) shedOrder {
	var order shedOrder
	rank := 0
	for i, class := range classes {
		order.unreservedPositions[i] = Positions - int(class.ReservedShare*Positions+0.5)
		if class.ReservedShare > 0 {
			order.unreservedPositions[i] = min(order.unreservedPositions[i], Positions-1)
		}
	}
	for i := len(classes) - 1; i > 0; i-- {
		order.firstRank[i], rank = rank, rank+order.unreservedPositions[i]
	}
	for i := len(classes) - 1; i > 0; i-- {
		order.firstReservedRank[i], rank = rank, rank+Positions-order.unreservedPositions[i]
	}
	order.firstRank[0], order.firstReservedRank[0] = rank, rank+order.unreservedPositions[0]
	order.maxThreshold, order.rankCount = order.firstReservedRank[0], rank+Positions
	return order
}

// rank returns the rank of a position of a class.
func (order *shedOrder) rank(class, position int) int {
	if position < order.unreservedPositions[class] {
		return order.firstRank[class] + position
	}
	return order.firstReservedRank[class] + position - order.unreservedPositions[class]
}

// downgradedRank returns the rank of a request that was downgraded to a class. It is never a reserved rank, because
// reserved ranks are for the class's own accounts.
func (order *shedOrder) downgradedRank(class, position int) int {
	return order.firstRank[class] + position*order.unreservedPositions[class]/Positions
}

// lastRank returns the rank of a class that is shed last.
func (order *shedOrder) lastRank(class int) int { return order.rank(class, Positions-1) }

// priorityClassOf returns the class of a rank.
func (order *shedOrder) priorityClassOf(classes, rank int) int {
	for i := range classes {
		if rank >= order.firstRank[i] && rank < order.firstRank[i]+order.unreservedPositions[i] || rank >= order.firstReservedRank[i] && rank < order.firstReservedRank[i]+Positions-order.unreservedPositions[i] {
			return i
		}
	}
	return 0
}

// Account returns the number of an account. A request without a session belongs to its team's account.
func (settings *Settings) Account(team, session string) uint64 {
	hash := fnv.New64a()
	if settings.AccountKey != BySession || session == "" {
		hash.Write([]byte(team))
		hash.Write([]byte{0})
	}
	if settings.AccountKey != ByTeam {
		hash.Write([]byte(session))
	}
	return hash.Sum64()
}

// Session returns a name for a session of a group that is unique over all groups.
func Session(group int64, session string) string {
	name := make([]byte, 0, len(session)+9)
	for i := range 8 {
		name = append(name, byte(group>>(8*i)))
	}
	return string(append(append(name, 1), session...))
}

// mix maps account numbers to evenly distributed ones (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// salt returns the salt of the present epoch. It is the same on all routers that share thresholds, and different on
// each router that decides alone.
func (s *Shedder) salt() uint64 {
	salt := mix(s.saltEpoch + 0x9e3779b97f4a7c15)
	if !s.settings.Shared {
		hash := fnv.New64a()
		hash.Write([]byte(s.settings.Router))
		salt ^= hash.Sum64()
	}
	return salt
}

// Position returns an account's position, which is the same in each class, in the present salt epoch.
func (s *Shedder) Position(account uint64) int { return int(mix(account^s.salt()) % Positions) }

// Admit decides on a new request.
func (s *Shedder) Admit(request Request, now clock.Nanos) Verdict {
	own := len(s.settings.PriorityClasses) - 1
	var team Team
	if request.Team >= 0 && request.Team < len(s.settings.Teams) {
		team = s.settings.Teams[request.Team]
		own = team.PriorityClass
	}
	verdict := Verdict{Reason: AboveThreshold, PriorityClass: own}
	if class, ok := s.affinityOf(request, own, now); ok {
		verdict.Reason, verdict.PriorityClass, verdict.Rank = FollowsWrite, class, s.order.lastRank(class)
	} else {
		var entitled bool
		position := s.Position(request.Account)
		verdict.PriorityClass, entitled = s.consumeEntitlement(request, team, own, now)
		switch {
		case !entitled: // beyond the entitlement of the lowest class, too
			verdict.Reason, verdict.Rank = Downgraded, s.order.firstRank[verdict.PriorityClass]
		case verdict.PriorityClass == own:
			verdict.Rank = s.order.rank(own, position)
		default:
			verdict.Reason, verdict.Rank = Downgraded, s.order.downgradedRank(verdict.PriorityClass, position)
		}
	}
	if group := s.group(request.Group, now); group != nil {
		group.addArrival(verdict.Rank, request.IsRetry)
		if verdict.Threshold = group.threshold; verdict.Rank < group.threshold {
			verdict.Reason, verdict.RetryAfter = Shed, s.retryAfter(request.Account, verdict.PriorityClass)
		}
	}
	s.counts[verdict.PriorityClass][verdict.Reason]++
	return verdict
}

// affinityOf reports whether a request follows an earlier write, and returns the class of that write.
func (s *Shedder) affinityOf(request Request, own int, now clock.Nanos) (class int, ok bool) {
	for _, name := range [2]string{request.Key, request.ReadSession} {
		if affinity, found := s.affinities[name]; name != "" && found && now-affinity.writtenAt < s.settings.WriteAffinity {
			return affinity.class, true
		}
	}
	return own, request.WroteElsewhere // the class of another router's write is unknown; the own class is used
}

// consumeEntitlement finds the highest class, from the account's own class downwards, in which the entitlement covers
// the request. It consumes that entitlement and returns the class, or the lowest class and false if there is none.
func (s *Shedder) consumeEntitlement(request Request, team Team, own int, now clock.Nanos) (class int, entitled bool) {
	for class = own; class < len(s.settings.PriorityClasses); class++ {
		settings := &s.settings.PriorityClasses[class]
		var accountBucket, teamBucket *bucket
		if settings.RequestsPerSecond > 0 {
			if accountBucket = s.bucket(bucketKey{request.Account, class}, now, settings.RequestsPerSecond*request.Share); !accountBucket.hasToken(settings.Burst) {
				continue
			}
		}
		if class == own && team.RequestsPerSecond > 0 {
			if teamBucket = s.bucket(bucketKey{uint64(request.Team), -1}, now, team.RequestsPerSecond*request.Share); !teamBucket.hasToken(team.Burst) {
				continue
			}
		}
		if accountBucket != nil {
			accountBucket.spent++
		}
		if teamBucket != nil {
			teamBucket.spent++
		}
		return class, true
	}
	return len(s.settings.PriorityClasses) - 1, false
}

// bucket is a token bucket that starts full.
type bucket struct {
	spent     float64 // tokens
	updatedAt clock.Nanos
}

func (b *bucket) hasToken(burst float64) bool { return b.spent+1 <= burst+1e-9 }

// bucket returns the bucket of an account in a class, refilled up to now.
func (s *Shedder) bucket(key bucketKey, now clock.Nanos, rate float64) *bucket {
	found := s.buckets[0][key]
	if found == nil {
		if len(s.buckets[0]) >= s.settings.MaxAccounts {
			s.buckets[0], s.buckets[1] = map[bucketKey]*bucket{}, s.buckets[0]
		}
		if found = s.buckets[1][key]; found == nil {
			found = &bucket{updatedAt: now}
		}
		s.buckets[0][key] = found
	}
	if now > found.updatedAt {
		found.spent = max(0, found.spent-rate*float64(now-found.updatedAt)/1e9)
	}
	found.updatedAt = now // a clock that is set back refills nothing
	return found
}

// retryAfter returns the Retry-After time for an account whose request is shed: shorter in a higher class, and
// different between accounts so that clients don't return together.
func (s *Shedder) retryAfter(account uint64, class int) clock.Nanos {
	longest := min(s.settings.MaxRetryAfter, s.settings.PlatformMaxRetryAfter)
	window := float64(longest) * float64(class+1) / float64(len(s.settings.PriorityClasses))
	return clock.Nanos(window * (0.5 + 0.5*float64(mix(account^0x5bd1e995)>>11)/(1<<53)))
}

// addAffinity stores the class of a write under a key or session, and evicts the oldest entries over the limit.
func (s *Shedder) addAffinity(name string, class int, now clock.Nanos) {
	if name == "" {
		return
	}
	if _, ok := s.affinities[name]; !ok {
		s.affinityOrder = append(s.affinityOrder, name)
	}
	s.affinities[name] = writeAffinity{class, now}
	for len(s.affinityOrder) > s.settings.MaxWriteAffinities {
		delete(s.affinities, s.affinityOrder[0])
		s.affinityOrder = s.affinityOrder[1:]
	}
}

// RequestStarted records that a request admitted here is open. RequestEnded must be called when it ends.
func (s *Shedder) RequestStarted(group int64, arrivedAt, latencyObjective clock.Nanos) {
	if state := s.groups[group]; state != nil && latencyObjective > 0 {
		state.requestStarted(arrivedAt, latencyObjective)
	}
}

// RequestEnded processes the outcome of a request for which RequestStarted was called. class is the one in which it was
// admitted; key is its idempotency key, or "".
func (s *Shedder) RequestEnded(group int64, class int, key string, outcome Outcome, now clock.Nanos) {
	if key != "" && !outcome.Served && outcome.MayHaveRun {
		s.addAffinity(key, class, now)
	}
	if outcome.Served && outcome.SessionWritten != "" {
		s.addAffinity(outcome.SessionWritten, class, now)
	}
	if state := s.groups[group]; state != nil && outcome.LatencyObjective > 0 {
		state.requestEnded(outcome)
	}
}

// group returns the state of a group, which it creates if necessary. If too many groups are stored, it evicts one that
// sheds nothing and has no open requests. If there is none to evict, it returns nil: requests of the new group are then
// admitted without shedding, and counted as ungrouped.
func (s *Shedder) group(number int64, now clock.Nanos) *group {
	found := s.groups[number]
	if found == nil {
		if len(s.groups) >= s.settings.MaxGroups && !s.evictGroup() {
			s.ungrouped++
			return nil
		}
		found = newGroup(now, s.order.rankCount)
		s.groups[number] = found
	}
	return found
}

// evictGroup evicts an idle group. It takes the one with the lowest number, so that a recorded sequence of events can
// be replayed with the same results.
func (s *Shedder) evictGroup() bool {
	lowest, found := int64(0), false
	for number, group := range s.groups {
		if group.threshold == 0 && group.ownThreshold == 0 && group.openRequests == 0 && (!found || number < lowest) {
			lowest, found = number, true
		}
	}
	delete(s.groups, lowest)
	return found
}

// Ungrouped counts requests that were admitted without shedding because too many groups were stored.
func (s *Shedder) Ungrouped() uint64 { return s.ungrouped }

// Size returns the numbers of stored buckets, write affinities and groups.
func (s *Shedder) Size() (buckets, affinities, groups int) {
	return len(s.buckets[0]) + len(s.buckets[1]), len(s.affinityOrder), len(s.groups)
}

// States returns the present states of all groups, sorted by group.
func (s *Shedder) States() []GroupState {
	var states []GroupState
	for number, group := range s.groups {
		state := GroupState{Group: number, Threshold: group.threshold, MaxThreshold: s.order.maxThreshold, OwnThreshold: group.ownThreshold, SaltEpoch: s.saltEpoch, Reporters: group.reporters, Quorum: group.hasQuorum, Isolated: group.isolated, Pressure: group.pressure, RequestsPerSecond: int64(group.arrivalRate)}
		if group.threshold > 0 {
			state.PriorityClass = s.settings.PriorityClasses[s.order.priorityClassOf(len(s.settings.PriorityClasses), group.threshold-1)].Name
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(x, y GroupState) int { return cmp.Compare(x.Group, y.Group) })
	return states
}

// Counts returns the numbers of decisions by priority class, since the start or the latest change of the classes.
func (s *Shedder) Counts() []ClassCounts {
	var counts []ClassCounts
	for i, class := range s.settings.PriorityClasses {
		count := ClassCounts{PriorityClass: class.Name, ByReason: s.counts[i], Counts: map[string]uint64{}}
		for reason, decisions := range count.ByReason {
			if decisions > 0 {
				count.Counts[Reason(reason).String()] = decisions
			}
		}
		counts = append(counts, count)
	}
	return counts
}

// Name returns the name of a priority class.
func (s *Shedder) Name(class int) string { return s.settings.PriorityClasses[class].Name }
