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
	batchesPerTick     = 4   // batch intervals between two checks of endpoint health and queued requests
	minSilent          = 3   // silent endpoints that make a zone outage, if no other of the zone answers
	maxZoneBackoff     = 8   // max time between probes of a zone in outage, in shortest latency objectives
	initialLoad        = 0.2 // load of an endpoint before its first answer, as a share of the latency objective
	zoneProbeChance    = 0.1 // probability per tick that an endpoint of a zone in outage is probed
	retentionDeadlines = 16  // how long sessions and removed endpoints are stored, in longest deadlines
)

// Balancer is one router instance. It is not safe for concurrent use.
type Balancer struct {
	settings        Settings
	now             clock.Nanos
	random          *seeded.Generator
	actions         []Action // actions of the current step
	tickScheduled   bool
	groups          groupTable
	requests        requestTable
	classes         *estimate.Classes
	order           []int // queue indexes by descending priority weight per unit of work
	sessions        *session.Commits
	slowStart       *slowstart.Budget
	zones           *zone.Tracker
	quotas          *quota.Quotas
	outlierSettings outlier.Settings
	lostShare       float64 // recent share of attempts that were lost at endpoints that answered others

	minObjective, maxDeadline clock.Nanos // shortest latency objective and longest deadline of all classes
}

// New returns a router with the given settings and no endpoints. The seed determines all random choices.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := validate(&settings); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	settings.Classes, settings.Tenants = slices.Clone(settings.Classes), slices.Clone(settings.Tenants)
	objectives, deadlines := settings.classTimes()
	unit, random := slices.Min(objectives), seeded.New(seed)
	zones, err := zone.New(zone.Settings{MinSize: minSilent, Backoff: unit, MaxBackoff: maxZoneBackoff * unit})
	lb := &Balancer{
		settings:        settings,
		random:          random,
		groups:          newGroupTable(queuesPerClass * len(settings.Classes)),
		requests:        newRequestTable(),
		classes:         estimate.New(objectives),
		sessions:        session.NewCommits(settings.MaxQueued, retentionDeadlines*slices.Max(deadlines)),
		slowStart:       slowstart.New(settings.slowStart(), settings.Routers, random),
		zones:           zones,
		quotas:          quota.New(settings.tenantQuotas()),
		outlierSettings: outlier.Settings{BaseDelay: unit, HighLoad: overloadShare},
		minObjective:    unit, maxDeadline: slices.Max(deadlines),
	}
	for queueIndex := range queuesPerClass * len(settings.Classes) {
		lb.order = append(lb.order, queueIndex)
	}
	lb.sortQueues()
	return lb, err
}

// Step handles a batch of events and returns the resulting actions. A clock that goes back counts as stopped.
func (lb *Balancer) Step(now clock.Nanos, events []Event) []Action {
	lb.now = max(lb.now, now)
	lb.actions = nil
	for i := range events {
		lb.handle(&events[i])
	}
	for _, group := range lb.groups.order {
		lb.placeQueued(group)
	}
	if !lb.tickScheduled && len(lb.requests.byID) > 0 {
		lb.tickScheduled = true
		lb.emit(Action{Kind: SetTimer, TimerAt: lb.now + batchesPerTick*lb.settings.BatchInterval})
	}
	return lb.actions
}

func (lb *Balancer) emit(action Action) { lb.actions = append(lb.actions, action) }

// tick checks all endpoints and makes the queued requests of all groups eligible for placement.
func (lb *Balancer) tick() {
	lb.tickScheduled = false
	lb.sortQueues()
	if lb.slowStart.LearnDue(lb.now) {
		lb.learnDemand()
	}
	for _, group := range lb.groups.order {
		group.placementDue = true
		for _, ep := range group.endpoints {
			lb.checkSilence(ep)
			lost := lb.inZoneOutage(ep) && ep.state == Ready
			if lost && lb.random.Draw() < zoneProbeChance && lb.zones.StartProbe(ep.zone, lb.now) {
				lb.probe(ep) // a probe, as a canary request could lose a read
			}
		}
	}
}
