package contract

import (
	"fmt"
	"math/rand/v2"

	"lotushook/policy/clock"
)

// Ledger keeps the teams' usage, and decides. It is not safe for concurrent use. It
// remembers a budget for each team and class, Settings.MaxShares of teams in groups,
// Settings.MaxKeys keys, and the pressure of each group in load reports.
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
	virtualTime    float64 // of the fair queues

	queued  map[string]place
	scratch []place // reused
}

type teamGroup struct {
	team  int
	group int64
}

// New returns a ledger without usage.
func New(s Settings, seed uint64) (*Ledger, error) {
	b := &Ledger{random: rand.New(rand.NewPCG(seed, 0xc0)), primaryBudgets: map[teamGroup]*bucket{}, pressures: map[place]*pressure{}, finishTimes: map[int]float64{}, queued: map[string]place{}, loads: map[int64]*observedLoad{}, recentKeys: map[string]clock.Nanos{}}
	if err := b.Set(s); err != nil {
		return nil, err
	}
	return b, nil
}

// Set puts new contracts in force in one step. The usage of a team whose name stays
// is kept, and its open requests stay open under the terms that admitted
// them. It returns the new index of each old team, -1 for one that was removed.
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
	for _, p := range b.pressures { // fair queueing starts anew; queued requests stay
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

// Team is the index of a team, -1 where there is none of the name.
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

// hoursFactor is how much larger a team's contract is at this time of the week.
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

// Admit decides on a new request. One that is admitted is open until
// Ended.
func (b *Ledger) Admit(r Request, now clock.Nanos) Verdict {
	if r.Team < 0 || r.Team >= len(b.teams) {
		return Verdict{Reason: UnknownTeam}
	}
	t, a := &b.settings.Teams[r.Team], &b.teams[r.Team]
	if r.Class < 0 || r.Class >= len(a.classes) {
		return Verdict{Reason: ClassNotAllowed}
	}
	c := &a.classes[r.Class]
	c.Requested++
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
	retryBurst        = 10 // retries that a team may make at once
	defaultRetryAfter = second / 2
)

// decide finds the reason for which a request is admitted or rejected. A request
// within its contract is always admitted.
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
		return Verdict{Reason: TooManyOpen, Limit: float64(t.MaxOpen) * times, RetryAfter: defaultRetryAfter}
	}
	v := Verdict{Reason: Within}
	if r.IsRetry {
		if a.retry.has(1, retryBurst) {
			a.retry.take(1, retryBurst)
		} else {
			v = Verdict{Reason: OverRetryShare, Limit: t.RetryShare, RetryAfter: defaultRetryAfter}
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
		slack := b.settings.Skew * float64(b.settings.Routers) // the margin of the share beyond the load that is seen
		c.guaranteed.refill(now, rate/slack)
		if v.LowPriority = !c.guaranteed.has(1, burst); !v.LowPriority {
			c.guaranteed.take(1, burst)
		}
		return v
	}
	v.LowPriority = true
	return v
}

// primaryBudget is a team's budget at a group's primary. Where too many are remembered
// the full ones are dropped, and failing that all: each starts full.
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

// spread spreads a Retry-After time, so that a team's clients don't return together.
func (b *Ledger) spread(t clock.Nanos) clock.Nanos {
	t += clock.Nanos(b.random.Float64() * float64(defaultRetryAfter))
	if b.settings.MaxRetryAfter > 0 {
		t = min(t, b.settings.MaxRetryAfter-clock.Nanos(b.random.Float64()*float64(b.settings.MaxRetryAfter)/4))
	}
	return t
}

// Window is how many requests beyond contracts may be open at a group's primary,
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
