package balance

import (
	"fmt"
	"slices"

	"lotushook/policy/clock"
	"lotushook/policy/estimate"
	"lotushook/policy/outlier"
	"lotushook/policy/quota"
	"lotushook/policy/seeded"
	"lotushook/policy/session"
	"lotushook/policy/slowstart"
	"lotushook/policy/zone"
)

const (
	tickBatches      = 4   // endpoint health and queued requests are examined once in so many batches
	minZoneSize      = 3   // silent servers of a zone, with no answer from any, that make an outage
	maxZoneBackoff   = 8   // longest time between probes of a lost zone, in shortest latency objectives
	initialLoad      = 0.2 // of an endpoint before any answer, as a share of the latency objective
	zoneProbeShare   = 0.1 // chance at each tick that one endpoint of a lost zone is probed
	sessionDeadlines = 16  // sessions and withdrawn endpoints are remembered for so many longest deadlines
)

// Balancer is one router instance. It is not safe for concurrent use.
type Balancer struct {
	settings  Settings
	now       clock.Nanos
	random    *seeded.Generator
	actions   []Action
	ticking   bool // a timer for the next tick is set
	groups    groupTable
	requests  requestTable
	classes   *estimate.Classes
	rank      []int // queue indexes, most priority weight for work first
	sessions  *session.Commits
	slowStart *slowstart.Budget
	zones     *zone.Tracker
	quotas    *quota.Quotas
	outliers  outlier.Settings
	lostShare float64 // share of attempts that were lost at endpoints that answered others

	minObjective, maxDeadline clock.Nanos // of all classes: the shortest objective, the longest deadline
}

// New returns a router that knows nothing but its settings. The seed determines all of its draws.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := validate(&settings); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	settings.Classes, settings.Tenants = slices.Clone(settings.Classes), slices.Clone(settings.Tenants)
	objectives, deadlines := settings.classSpans()
	unit, random := slices.Min(objectives), seeded.New(seed)
	zones, err := zone.New(zone.Settings{MinSize: minZoneSize, Backoff: unit, MaxBackoff: maxZoneBackoff * unit})
	b := &Balancer{
		settings:     settings,
		random:       random,
		groups:       newGroupTable(queuesPerClass * len(settings.Classes)),
		requests:     newRequestTable(),
		classes:      estimate.New(objectives),
		sessions:     session.NewCommits(settings.MaxQueued, sessionDeadlines*slices.Max(deadlines)),
		slowStart:    slowstart.New(settings.slowStart(), settings.Routers, random),
		zones:        zones,
		quotas:       quota.New(settings.tenantQuotas()),
		outliers:     outlier.Settings{BaseDelay: unit, HighLoad: overloadShare},
		minObjective: unit, maxDeadline: slices.Max(deadlines),
	}
	for queue := range queuesPerClass * len(settings.Classes) {
		b.rank = append(b.rank, queue)
	}
	b.rankQueues()
	return b, err
}

// Step takes a batch's events and returns what to do now. A clock earlier than the last counts as the last.
func (b *Balancer) Step(now clock.Nanos, events []Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	for i := range events {
		b.handle(&events[i])
	}
	for _, g := range b.groups.order {
		b.placeQueued(g)
	}
	if !b.ticking && len(b.requests.byID) > 0 {
		b.ticking = true
		b.act(Action{Kind: SetTimer, TimerAt: b.now + tickBatches*b.settings.BatchInterval})
	}
	return b.actions
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

// tick examines all endpoints and reconsiders all queued requests.
func (b *Balancer) tick() {
	b.ticking = false
	b.rankQueues()
	if b.slowStart.LearnDue(b.now) {
		b.learnDemand()
	}
	for _, g := range b.groups.order {
		g.changed = true
		for _, ep := range g.members {
			b.checkSilence(ep)
			lost := b.inZoneOutage(ep) && ep.state == Ready
			if lost && b.random.Draw() < zoneProbeShare && b.zones.StartProbe(ep.zone, b.now) {
				b.probe(ep) // a read sent for the same answer would be lost
			}
		}
	}
}
