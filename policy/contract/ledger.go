package contract

import (
	"fmt"
	"math/rand/v2"

	"lotushook/policy/clock"
)

// Ledger tracks the teams' usage and decides on requests. It is not safe for concurrent use. Its size is bounded: it
// stores one budget per team and class, at most Settings.MaxKeys idempotency keys, and at most
// Settings.MaxGroupEntries entries each for the teams' budgets at primaries, for the groups' observed loads, and for
// pressures without open or queued requests.
type Ledger struct {
	settings       Settings
	random         *rand.Rand
	matcher        *teamMatcher
	teams          []teamUsage
	primaryBudgets map[teamGroup]*tokenBucket
	pressures      map[groupRole]*groupPressure
	loads          map[int64]*observedLoad
	totalLoad      observedLoad           // over all groups
	minLoadShare   float64                // min share of the load that this router is assumed to receive; 0: 1/Routers
	recentKeys     map[string]clock.Nanos // by key of a write that may have run: when its last attempt ended
	keyOrder       []string               // the keys of recentKeys, the oldest first
	finishTimes    map[int]float64        // virtual finish times of Order's fair queueing, by team
	virtualTime    float64                // of Order's fair queueing

	queued     map[string]groupRole // by request ID
	roleBuffer []groupRole          // reused
}

type teamGroup struct {
	team  int
	group int64
}

// New returns a ledger without usage. Its random numbers, which jitter the Retry-After times, follow from the seed.
func New(settings Settings, seed uint64) (*Ledger, error) {
	ledger := &Ledger{random: rand.New(rand.NewPCG(seed, 0xc0)), primaryBudgets: map[teamGroup]*tokenBucket{},
		pressures: map[groupRole]*groupPressure{}, finishTimes: map[int]float64{}, queued: map[string]groupRole{},
		loads: map[int64]*observedLoad{}, recentKeys: map[string]clock.Nanos{}}
	if err := ledger.UpdateSettings(settings); err != nil {
		return nil, err
	}
	return ledger, nil
}

// UpdateSettings replaces the contracts in one step. A team that the new contracts also name retains its usage, and
// its open requests are not decided again. On an error, the old contracts stay in force.
func (ledger *Ledger) UpdateSettings(settings Settings) error {
	if err := settings.Check(); err != nil {
		return fmt.Errorf("contracts: %w", err)
	}
	oldTeams, newTeams, newBudgets := ledger.teams, make([]teamUsage, len(settings.Teams)), map[teamGroup]*tokenBucket{}
	oldTeamIndex := map[string]int{}
	for i, team := range ledger.settings.Teams {
		oldTeamIndex[team.Name] = i
	}
	oldClassIndex := map[string]int{}
	for i, class := range ledger.settings.Classes {
		oldClassIndex[class.Name] = i
	}
	newTeamIndex := map[int]int{}
	for i, team := range settings.Teams {
		newTeams[i].classes = make([]classUsage, len(settings.Classes))
		j, ok := oldTeamIndex[team.Name]
		if !ok {
			continue
		}
		newTeamIndex[j] = i
		newTeams[i].retryBudget, newTeams[i].open = oldTeams[j].retryBudget, oldTeams[j].open
		for class := range settings.Classes {
			if k, ok := oldClassIndex[settings.Classes[class].Name]; ok {
				newTeams[i].classes[class] = oldTeams[j].classes[k]
			}
		}
	}
	for key, budget := range ledger.primaryBudgets {
		if i, ok := newTeamIndex[key.team]; ok {
			newBudgets[teamGroup{i, key.group}] = budget
		}
	}
	for _, pressure := range ledger.pressures { // fair queueing restarts; queued requests stay queued
		clear(pressure.finishTimes)
		for i := range pressure.queue {
			if j, ok := newTeamIndex[pressure.queue[i].Team]; ok {
				pressure.queue[i].Team = j
			} else {
				pressure.queue[i].Team = -1
			}
		}
	}
	clear(ledger.finishTimes)
	ledger.settings, ledger.teams, ledger.primaryBudgets, ledger.matcher =
		settings, newTeams, newBudgets, newTeamMatcher(settings.Teams)
	return nil
}

// TeamIndex returns the index of the team with a name, or -1 if there is none.
func (ledger *Ledger) TeamIndex(name string) int {
	if indexes := ledger.matcher.teamNames[name]; len(indexes) > 0 {
		return indexes[0]
	}
	return -1
}

// TeamName returns the name of the team with an index, or "" if there is none.
func (ledger *Ledger) TeamName(team int) string {
	if team < 0 || team >= len(ledger.settings.Teams) {
		return ""
	}
	return ledger.settings.Teams[team].Name
}

// hoursFactor returns the factor by which a team's limits are multiplied at this time of the week.
func (ledger *Ledger) hoursFactor(team *Team, now clock.Nanos) float64 {
	if len(team.Hours) == 0 {
		return 1
	}
	secondOfWeek := ((now/second+ledger.settings.UTCOffsetSeconds-firstMonday)%week + week) % week
	factor := 1.0
	for _, hours := range team.Hours {
		if secondOfWeek >= hours.From && secondOfWeek < hours.To || secondOfWeek+week < hours.To {
			factor = max(factor, hours.Factor)
		}
	}
	return factor
}

// Admit decides on a new request. An admitted or queued request is open until RequestEnded is called for it.
func (ledger *Ledger) Admit(request Request, now clock.Nanos) Verdict {
	if request.Team < 0 || request.Team >= len(ledger.teams) {
		return Verdict{Reason: UnknownTeam}
	}
	team, usage := &ledger.settings.Teams[request.Team], &ledger.teams[request.Team]
	if request.Class < 0 || request.Class >= len(usage.classes) {
		return Verdict{Reason: ClassNotAllowed}
	}
	perClass := &usage.classes[request.Class]
	perClass.Requested++
	verdict := ledger.decide(request, team, usage, perClass, now)
	if verdict.LowPriority {
		ledger.borrowOrQueue(request, team, &verdict, now)
	}
	if perClass.ByReason[verdict.Reason]++; verdict.Displaced != nil {
		ledger.jitterRetryAfter(verdict.Displaced)
	}
	if verdict.Reason.Admitted() {
		usage.open++
	} else if verdict.RetryAfter > 0 {
		verdict.RetryAfter = ledger.jitter(verdict.RetryAfter)
	}
	return verdict
}

const (
	retryBurst        = 10 // retries that a team may send at once
	defaultRetryAfter = second / 2
)

// decide compares a request with its contract. A request within its contract is always admitted. For one beyond it,
// decide returns the rejection that applies if no capacity can be borrowed.
func (ledger *Ledger) decide(request Request, team *Team, usage *teamUsage, perClass *classUsage, now clock.Nanos) Verdict {
	class, limit := &ledger.settings.Classes[request.Class], team.Limits[request.Class]
	factor, contractShare := ledger.hoursFactor(team, now), ledger.contractShareFor(&ledger.totalLoad)
	// The burst is not scaled by the share, because a whole burst may arrive at one router.
	rate, burst := limit.PerSecond*factor*contractShare, max(1, limit.Burst*factor)
	perClass.budget.refill(now, rate)
	if endedAt, ok := ledger.recentKeys[request.Key]; ok && request.Key != "" &&
		now-endedAt < max(class.IdempotencyWindow, second) { // the write may have run, so the client needs its answer
		perClass.budget.take(1, burst)
		return Verdict{Reason: RetryOfWrite}
	}
	if limit.PerSecond <= 0 {
		return Verdict{Reason: ClassNotAllowed}
	}
	if maxOpen := max(1, float64(team.MaxOpen)*factor*contractShare); team.MaxOpen > 0 && float64(usage.open) >= maxOpen {
		return Verdict{Reason: TooManyOpen, Limit: float64(team.MaxOpen) * factor, RetryAfter: defaultRetryAfter}
	}
	verdict := Verdict{Reason: Within}
	if request.IsRetry {
		if usage.retryBudget.canTake(1, retryBurst) {
			usage.retryBudget.take(1, retryBurst)
		} else {
			verdict = Verdict{Reason: OverRetryShare, Limit: team.RetryShare, RetryAfter: defaultRetryAfter}
		}
	} else {
		usage.retryBudget.used = max(0, usage.retryBudget.used-team.RetryShare)
	}
	if verdict.Reason == Within && !perClass.budget.canTake(1, burst) {
		verdict = Verdict{Reason: OverRate, Limit: limit.PerSecond * factor, RetryAfter: perClass.budget.wait(1, burst, rate)}
	}
	var primaryBudget *tokenBucket
	primaryRate := team.PrimaryShare * ledger.settings.PrimaryWorkPerSecond * factor * ledger.ContractShare(request.Group)
	primaryBurst := max(class.Cost, team.PrimaryShare*ledger.settings.PrimaryWorkPerSecond*factor) // one second of work
	if verdict.Reason == Within && class.Primary && team.PrimaryShare > 0 {
		primaryBudget = ledger.primaryBudget(teamGroup{request.Team, request.Group}, now)
		primaryBudget.refill(now, primaryRate)
		if !primaryBudget.canTake(class.Cost, primaryBurst) {
			verdict = Verdict{Reason: OverPrimaryShare, Limit: team.PrimaryShare,
				RetryAfter: primaryBudget.wait(class.Cost, primaryBurst, primaryRate)}
		}
	}
	if verdict.Reason == Within {
		perClass.budget.take(1, burst)
		if primaryBudget != nil {
			primaryBudget.take(class.Cost, primaryBurst)
		}
		// contractShare is at most this many times the share of the load that this router receives.
		shareMargin := ledger.settings.Skew * float64(ledger.settings.Routers)
		perClass.guaranteed.refill(now, rate/shareMargin)
		if verdict.LowPriority = !perClass.guaranteed.canTake(1, burst); !verdict.LowPriority {
			perClass.guaranteed.take(1, burst)
		}
		return verdict
	}
	verdict.LowPriority = true
	return verdict
}

// primaryBudget returns a team's budget at a group's primary. If MaxGroupEntries are stored, those that are full or
// have been idle for over a second are dropped; if none are, all budgets are dropped. A dropped budget starts full
// again.
func (ledger *Ledger) primaryBudget(key teamGroup, now clock.Nanos) *tokenBucket {
	budget := ledger.primaryBudgets[key]
	if budget == nil {
		if len(ledger.primaryBudgets) >= ledger.settings.MaxGroupEntries {
			for key, candidate := range ledger.primaryBudgets {
				if candidate.used == 0 || now-candidate.updatedAt > second {
					delete(ledger.primaryBudgets, key)
				}
			}
			if len(ledger.primaryBudgets) >= ledger.settings.MaxGroupEntries {
				clear(ledger.primaryBudgets)
			}
		}
		budget = &tokenBucket{updatedAt: now}
		ledger.primaryBudgets[key] = budget
	}
	return budget
}

// pressureFor returns the pressure of the group role that a request goes to, advanced to now.
func (ledger *Ledger) pressureFor(request Request, now clock.Nanos) *groupPressure {
	role := groupRole{request.Group, ledger.settings.Classes[request.Class].Primary}
	pressure := ledger.pressures[role]
	if pressure == nil {
		// Groups are added and removed, so entries without requests are dropped.
		if len(ledger.pressures) >= ledger.settings.MaxGroupEntries {
			for role, pressure := range ledger.pressures {
				if pressure.lowPriorityOpen == 0 && len(pressure.queue) == 0 {
					delete(ledger.pressures, role)
				}
			}
		}
		pressure = newGroupPressure(now)
		ledger.pressures[role] = pressure
	}
	pressure.advance(now, ledger.settings.HighPressure, ledger.settings.LowPressure)
	return pressure
}

// jitter adds jitter to a Retry-After time, so that a team's clients don't return at the same time.
func (ledger *Ledger) jitter(retryAfter clock.Nanos) clock.Nanos {
	retryAfter += clock.Nanos(ledger.random.Float64() * float64(defaultRetryAfter))
	if ledger.settings.MaxRetryAfter > 0 {
		retryAfter = min(retryAfter,
			ledger.settings.MaxRetryAfter-clock.Nanos(ledger.random.Float64()*float64(ledger.settings.MaxRetryAfter)/4))
	}
	return retryAfter
}

// Window returns how many low-priority requests may be open at a group's primary, or at its replicas, through this
// router.
func (ledger *Ledger) Window(group int64, primary bool) float64 {
	if pressure := ledger.pressures[groupRole{group, primary}]; pressure != nil {
		return pressure.window
	}
	return unlimited
}

// Size returns how many budgets at primaries, keys and pressures are stored.
func (ledger *Ledger) Size() (budgets, keys, roles int) {
	return len(ledger.primaryBudgets), len(ledger.recentKeys), len(ledger.pressures)
}
