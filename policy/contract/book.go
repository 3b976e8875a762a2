package contract

import (
	"cmp"
	"fmt"
	"lotushook/policy/clock"
	"math"
	"math/rand/v2"
	"slices"
)

// Ledger holds what the teams have used, and decides. One goroutine owns it. It
// remembers a budget for each team and class, Settings.MaxShares of teams in groups,
// Settings.Keys keys, and a pressure for each group that it was told of.
type Ledger struct {
	settings       Settings
	random         *rand.Rand
	matcher        *matcher
	teams          []teamUsage
	primaryBudgets map[teamGroup]*bucket
	pressures      map[place]*pressure
	loads          map[int64]*observedLoad
	totalLoad      observedLoad // over all groups
	evenShare      float64      // this router's share of the contracts; 0: one in Routers
	recentKeys     map[string]clock.Nanos
	keyOrder       []string // of the keys, the oldest first
	finishTimes    map[int]float64
	virtualTime    float64 // of the lanes

	queued  map[string]place
	scratch []place // to be used again
}

type teamGroup struct {
	team  int
	group int64
}

// teamUsage is one team's.
type teamUsage struct {
	classes []classUsage
	retry   bucket
	open    int
}

type classUsage struct {
	bucket     bucket
	guaranteed bucket // what the contract covers at the least: this router's even part
	Account
}

// Account is what a team has asked of a class and got.
type Account struct {
	Asked       uint64
	ByReason    [ReasonCount]uint64 // grounds and refusals
	Served      uint64
	InObjective uint64
	Refused     uint64 // by the router after it was taken
	Failed      uint64
	Weight      float64 // earned
}

// observedLoad is how much of the traffic this router sees.
type observedLoad struct{ mine, all float64 }

// New returns a book in which nothing has been used.
func New(s Settings, seed uint64) (*Ledger, error) {
	b := &Ledger{random: rand.New(rand.NewPCG(seed, 0xc0)), primaryBudgets: map[teamGroup]*bucket{}, pressures: map[place]*pressure{}, finishTimes: map[int]float64{}, queued: map[string]place{}, loads: map[int64]*observedLoad{}, recentKeys: map[string]clock.Nanos{}}
	if err := b.Set(s); err != nil {
		return nil, err
	}
	return b, nil
}

// Set puts other contracts in force in one step. What a team of the same name has
// used stays used, and its open requests stay open under what they were taken
// under. It returns where each old team stands now, -1 for one that is gone.
func (b *Ledger) Set(s Settings) error {
	if err := s.Check(); err != nil {
		return fmt.Errorf("contracts: %w", err)
	}
	old, teams, share := b.teams, make([]teamUsage, len(s.Teams)), map[teamGroup]*bucket{}
	was := map[string]int{}
	for i, t := range b.settings.Teams {
		was[t.Name] = i
	}
	classes := map[string]int{}
	for i, c := range b.settings.Classes {
		classes[c.Name] = i
	}
	now := map[int]int{}
	for i, t := range s.Teams {
		teams[i].classes = make([]classUsage, len(s.Classes))
		j, ok := was[t.Name]
		if !ok {
			continue
		}
		now[j] = i
		teams[i].retry, teams[i].open = old[j].retry, old[j].open
		for c := range s.Classes {
			if k, ok := classes[s.Classes[c].Name]; ok {
				teams[i].classes[c] = old[j].classes[k]
			}
		}
	}
	for k, v := range b.primaryBudgets {
		if i, ok := now[k.team]; ok {
			share[teamGroup{i, k.group}] = v
		}
	}
	for _, p := range b.pressures { // turns begin anew; who waits goes on waiting
		clear(p.finishTimes)
		for i := range p.queue {
			if j, ok := now[p.queue[i].Team]; ok {
				p.queue[i].Team = j
			} else {
				p.queue[i].Team = -1
			}
		}
	}
	clear(b.finishTimes)
	b.settings, b.teams, b.primaryBudgets, b.matcher = s, teams, share, newMatcher(s.Teams)
	return nil
}

// Team is the number of a team, -1 where there is none of the name.
func (b *Ledger) Team(name string) int {
	if list := b.matcher.names[name]; len(list) > 0 {
		return list[0]
	}
	return -1
}

// Name is a team's name.
func (b *Ledger) Name(team int) string {
	if team < 0 || team >= len(b.settings.Teams) {
		return ""
	}
	return b.settings.Teams[team].Name
}

// SetShare puts another even share in force, as when other routers' parts have been divided: what this router takes itself to
// see of the load at the least. All routers' shares together must not exceed 1. One that sees much may have a small share
// while others divide its part: all together then admit 2 Skew Routers times a contract at the most, in place of Multiple.
func (b *Ledger) SetShare(share float64) { b.evenShare = share }

// AddLoadReport takes in a report: of what a server of a group holds, so many are this
// router's. From it follows how much of the contracts is enforced here.
func (b *Ledger) AddLoadReport(group int64, mine, all int) {
	if all <= 0 || mine < 0 {
		return
	}
	mine = min(mine, all)
	p := b.loads[group]
	if p == nil {
		if len(b.loads) >= b.settings.MaxShares {
			clear(b.loads)
		}
		p = &observedLoad{}
		b.loads[group] = p
	}
	p.add(mine, all)
	b.totalLoad.add(mine, all)
}

const reportDecay = 0.9 // of the older reports, with each new one

func (p *observedLoad) add(mine, all int) {
	p.mine, p.all = p.mine*reportDecay+float64(mine), p.all*reportDecay+float64(all)
}

// Share is the share of a contract that this router lets through. Routers can't
// talk. In usual times each lets through the most that it may see of a team's
// traffic; one that sees a larger part of the load than its even share, as when
// another has died, lets through as much more. So all together admit at most
// Multiple times a contract, and never less than the contract where no router
// sees more of a team's traffic than its part.
func (b *Ledger) Share(group int64) float64 {
	p := b.loads[group]
	if p == nil {
		p = &observedLoad{}
	}
	return b.shareOf(p)
}

const minReports = 20 // requests in reports: less tells nothing

func (b *Ledger) shareOf(p *observedLoad) float64 {
	n := float64(b.settings.Routers)
	seen := cmp.Or(b.evenShare, 1/n)
	if p.all >= minReports {
		seen = max(seen, p.mine/p.all)
	}
	return min(1, b.settings.Skew*n*seen)
}

// Multiple bounds what all routers together admit, as a multiple of a contract.
// What they see of the load adds up to no more than all of it, so only some can
// see so much that they let all through; the others let through Skew.
func (s *Settings) Multiple() float64 {
	n, skew := float64(s.Routers), s.Skew
	whole := math.Floor(skew*n + 1e-9) // each of them sees 1/(skew n) of the load
	rest := 1 - whole/(skew*n)
	return min(n, whole+(n-whole)*skew+max(0, skew*n*rest-skew))
}

// hoursFactor is how much larger a team's contract is by the hours.
func (b *Ledger) hoursFactor(t *Team, now clock.Nanos) float64 {
	if len(t.Hours) == 0 {
		return 1
	}
	at := ((now/second+b.settings.UTCOffsetSeconds-monday)%week + week) % week
	most := 1.0
	for _, h := range t.Hours {
		if at >= h.From && at < h.To || at+week < h.To {
			most = max(most, h.Factor)
		}
	}
	return most
}

// Ask decides on a request that has just come. One that is taken is open until
// Ended.
func (b *Ledger) Ask(r Request, now clock.Nanos) Verdict {
	if r.Team < 0 || r.Team >= len(b.teams) {
		return Verdict{Reason: UnknownTeam}
	}
	t, a := &b.settings.Teams[r.Team], &b.teams[r.Team]
	if r.Class < 0 || r.Class >= len(a.classes) {
		return Verdict{Reason: ClassNotAllowed}
	}
	c := &a.classes[r.Class]
	c.Asked++
	v := b.decide(r, t, a, c, now)
	if v.LowPriority {
		b.borrowOrQueue(r, t, &v, now)
	}
	if c.ByReason[v.Reason]++; v.Displaced != nil {
		b.spreadRetryAfter(v.Displaced)
	}
	if v.Reason.Admitted() {
		a.open++
	} else if v.RetryAfter > 0 {
		v.RetryAfter = b.spread(v.RetryAfter)
	}
	return v
}

const (
	retryBurst      = 10 // repeats that a team may make at once
	usualRetryAfter = second / 2
)

// decide finds the ground on which a request is taken, or why it is not. What is
// within is always taken.
func (b *Ledger) decide(r Request, t *Team, a *teamUsage, c *classUsage, now clock.Nanos) Verdict {
	class, limit := &b.settings.Classes[r.Class], t.Limits[r.Class]
	times, part := b.hoursFactor(t, now), b.shareOf(&b.totalLoad)
	rate, burst := limit.PerS*times*part, max(1, limit.Burst*times) // a burst may come to one router alone
	c.bucket.refill(now, rate)
	if at, ok := b.recentKeys[r.Key]; ok && r.Key != "" && now-at < max(class.IdempotencyWindow, second) { // its answer is owed
		c.bucket.take(1, burst)
		return Verdict{Reason: RetryOfWrite}
	}
	if limit.PerS <= 0 {
		return Verdict{Reason: ClassNotAllowed}
	}
	if most := max(1, float64(t.MaxOpen)*times*part); t.MaxOpen > 0 && float64(a.open) >= most {
		return Verdict{Reason: TooManyOpen, Limit: float64(t.MaxOpen) * times, RetryAfter: usualRetryAfter}
	}
	v := Verdict{Reason: Within}
	if r.IsRetry {
		if a.retry.has(1, retryBurst) {
			a.retry.take(1, retryBurst)
		} else {
			v = Verdict{Reason: OverRetryShare, Limit: t.RetryShare, RetryAfter: usualRetryAfter}
		}
	} else {
		a.retry.used = max(0, a.retry.used-t.RetryShare)
	}
	if v.Reason == Within && !c.bucket.has(1, burst) {
		v = Verdict{Reason: OverRate, Limit: limit.PerS * times, RetryAfter: c.bucket.wait(1, burst, rate)}
	}
	var share *bucket
	shareRate := t.PrimaryShare * b.settings.PrimaryWorkPerSecond * times * b.Share(r.Group)
	shareBurst := max(class.Cost, t.PrimaryShare*b.settings.PrimaryWorkPerSecond*times) // a second's
	if v.Reason == Within && class.Primary && t.PrimaryShare > 0 {
		share = b.primaryBudget(teamGroup{r.Team, r.Group}, now)
		share.refill(now, shareRate)
		if !share.has(class.Cost, shareBurst) {
			v = Verdict{Reason: OverPrimaryShare, Limit: t.PrimaryShare, RetryAfter: share.wait(class.Cost, shareBurst, shareRate)}
		}
	}
	if v.Reason == Within {
		c.bucket.take(1, burst)
		if share != nil {
			share.take(class.Cost, shareBurst)
		}
		slack := b.settings.Skew * float64(b.settings.Routers) // what the part has beyond the load that is seen
		c.guaranteed.refill(now, rate/slack)
		if v.LowPriority = !c.guaranteed.has(1, burst); !v.LowPriority {
			c.guaranteed.take(1, burst)
		}
		return v
	}
	v.LowPriority = true
	return v
}

// borrowOrQueue lets a request go on that others are placed before, has it wait for its
// turn, or leaves it refused.
func (b *Ledger) borrowOrQueue(r Request, t *Team, v *Verdict, now clock.Nanos) {
	p, aim := b.pressure(r, now), b.settings.Classes[r.Class].LatencyObjective
	within := v.Reason == Within
	if len(p.queue) == 0 && p.hasRoom() {
		p.admit()
		*v = Verdict{Reason: Borrowed, LowPriority: true}
		if within {
			v.Reason = Within
		}
		return
	}
	until := now + aim/2
	if r.Deadline > 0 {
		until = min(until, now+(r.Deadline-now)*2/5) // a refusal past the half is charged
	}
	gone := p.enqueue(queuedRequest{Request: r, verdict: *v, until: until, within: within}, t.Weight, aim)
	b.queued[r.ID] = place{r.Group, b.settings.Classes[r.Class].Primary}
	if gone != nil && gone.ID == r.ID {
		delete(b.queued, r.ID)
		v.LowPriority = false
		return
	}
	if gone != nil {
		delete(b.queued, gone.ID)
		gone.verdict.LowPriority = false
		v.Displaced = &Turn{gone.ID, gone.verdict}
		b.recount(gone.Request, gone.verdict.Reason)
	}
	*v = Verdict{Reason: Borrowed, LowPriority: true, Queued: true, Displaced: v.Displaced}
	if within {
		v.Reason = Within
	}
}

// recount moves one that was counted as borrowed to why it is refused.
func (b *Ledger) recount(r Request, to Reason) {
	if r.Team >= 0 && r.Team < len(b.teams) {
		c := &b.teams[r.Team].classes[r.Class]
		c.ByReason[Borrowed]--
		c.ByReason[to]++
	}
}

// spreadRetryAfter gives a refusal its time to return.
func (b *Ledger) spreadRetryAfter(t *Turn) {
	if t.RetryAfter > 0 {
		t.RetryAfter = b.spread(t.RetryAfter)
	}
}

// Due is what becomes of those that wait: they go on, or are refused because
// their time is over. It wants to be called after each end, and some times a
// second while any wait.
func (b *Ledger) Due(now clock.Nanos) []Turn {
	if len(b.queued) == 0 {
		return nil
	}
	var out []Turn
	done := func(w *queuedRequest, v Verdict) {
		delete(b.queued, w.ID)
		out = append(out, Turn{w.ID, v})
	}
	for _, k := range b.queuedPlaces() {
		p := b.pressures[k]
		p.advance(now, b.settings.HighPressure, b.settings.LowPressure)
		for w := p.dequeue(); w != nil; w = p.dequeue() {
			done(w, Verdict{Reason: Borrowed, LowPriority: true})
		}
		for w := p.dequeueExpired(now); w != nil; w = p.dequeueExpired(now) {
			if w.within {
				p.admit()
				done(w, Verdict{Reason: Within, LowPriority: true})
				continue
			}
			w.verdict.LowPriority = false
			t := Turn{w.ID, w.verdict}
			b.spreadRetryAfter(&t)
			b.recount(w.Request, t.Reason)
			done(w, t.Verdict)
		}
	}
	return out
}

// QueuedCount is how many wait for their turns.
func (b *Ledger) QueuedCount() int { return len(b.queued) }

// Abandon forgets one that waits, as its client has left. It says whether it waited.
func (b *Ledger) Abandon(id string) bool {
	k, ok := b.queued[id]
	if !ok {
		return false
	}
	delete(b.queued, id)
	p := b.pressures[k]
	p.queue = slices.DeleteFunc(p.queue, func(w queuedRequest) bool { return w.ID == id })
	return true
}

// queuedPlaces are those at which any wait, in order.
func (b *Ledger) queuedPlaces() []place {
	b.scratch = b.scratch[:0]
	for k, p := range b.pressures {
		if len(p.queue) > 0 {
			b.scratch = append(b.scratch, k)
		}
	}
	slices.SortFunc(b.scratch, func(x, y place) int {
		if x.group != y.group {
			return cmp.Compare(x.group, y.group)
		}
		if x.primary == y.primary {
			return 0
		}
		if x.primary {
			return -1
		}
		return 1
	})
	return b.scratch
}

// primaryBudget is a team's budget at a group's primary. Where too many are remembered
// those that are full are forgotten, and failing that all: each starts full.
func (b *Ledger) primaryBudget(k teamGroup, now clock.Nanos) *bucket {
	s := b.primaryBudgets[k]
	if s == nil {
		if len(b.primaryBudgets) >= b.settings.MaxShares {
			for k, v := range b.primaryBudgets {
				if v.used == 0 || now-v.updatedAt > second {
					delete(b.primaryBudgets, k)
				}
			}
			if len(b.primaryBudgets) >= b.settings.MaxShares {
				clear(b.primaryBudgets)
			}
		}
		s = &bucket{updatedAt: now}
		b.primaryBudgets[k] = s
	}
	return s
}

func (b *Ledger) pressure(r Request, now clock.Nanos) *pressure {
	k := place{r.Group, b.settings.Classes[r.Class].Primary}
	p := b.pressures[k]
	if p == nil {
		if len(b.pressures) >= b.settings.MaxShares { // groups come and go
			for k, p := range b.pressures {
				if p.open == 0 && len(p.queue) == 0 {
					delete(b.pressures, k)
				}
			}
		}
		p = newPressure(now)
		b.pressures[k] = p
	}
	p.advance(now, b.settings.HighPressure, b.settings.LowPressure)
	return p
}

// Ended takes in how a taken request ended; after is its verdict's. From those
// that others are not placed before it is felt how the group does; a keyed write
// that may have run is remembered.
func (b *Ledger) Ended(r Request, after bool, e End, now clock.Nanos) {
	if r.Class < 0 || r.Class >= len(b.settings.Classes) {
		return
	}
	class := &b.settings.Classes[r.Class]
	if after {
		if p := b.pressures[place{r.Group, class.Primary}]; p != nil {
			p.open = max(0, p.open-1)
		}
	}
	if r.Team >= 0 && r.Team < len(b.teams) {
		a := &b.teams[r.Team]
		a.open = max(0, a.open-1)
		c := &a.classes[r.Class]
		switch {
		case e.Served:
			c.Served++
			if e.Elapsed <= class.LatencyObjective {
				c.InObjective++
				c.Weight += class.PriorityWeight
			}
		case e.MayRun:
			c.Failed++
		case !e.Abandoned:
			c.Refused++
		}
	}
	if r.Key != "" && !e.Served && e.MayRun {
		b.remember(r.Key, now)
	} else if e.Served {
		delete(b.recentKeys, r.Key)
	}
	if after || e.Abandoned || class.LatencyObjective <= 0 {
		return
	}
	felt := failureShare
	if e.Served {
		felt = min(failureShare, float64(e.Elapsed)/float64(class.LatencyObjective))
	}
	b.pressure(r, now).addSample(felt)
}

// remember keeps a key; the oldest goes where there are too many.
func (b *Ledger) remember(key string, now clock.Nanos) {
	if _, ok := b.recentKeys[key]; !ok {
		b.keyOrder = append(b.keyOrder, key)
	}
	b.recentKeys[key] = now
	for len(b.keyOrder) > b.settings.MaxKeys {
		delete(b.recentKeys, b.keyOrder[0])
		b.keyOrder = b.keyOrder[1:]
	}
}

// spread spreads a time to return, so that a team's clients don't return together.
func (b *Ledger) spread(t clock.Nanos) clock.Nanos {
	t += clock.Nanos(b.random.Float64() * float64(usualRetryAfter))
	if b.settings.MaxRetryAfter > 0 {
		t = min(t, b.settings.MaxRetryAfter-clock.Nanos(b.random.Float64()*float64(b.settings.MaxRetryAfter)/4))
	}
	return t
}

// IdempotencyWindow is how many requests beyond contracts may be open at a group's primary,
// or at its replicas, through this router.
func (b *Ledger) Window(group int64, primary bool) float64 {
	if p := b.pressures[place{group, primary}]; p != nil {
		return p.window
	}
	return unlimited
}

// Size is how many budgets, keys and groups are remembered.
func (b *Ledger) Size() (shares, keys, places int) {
	return len(b.primaryBudgets), len(b.recentKeys), len(b.pressures)
}

// Accounts calls each with each team and class that was ever asked for.
func (b *Ledger) Accounts(each func(team, class string, a Account)) {
	for i := range b.teams {
		for c := range b.teams[i].classes {
			if a := b.teams[i].classes[c].Account; a.Asked > 0 {
				each(b.settings.Teams[i].Name, b.settings.Classes[c].Name, a)
			}
		}
	}
}
