// Package slowstart keeps the sum of all routers' requests to a warming endpoint within the endpoint's budget, although
// the routers share no state. Each router spends only its own part: the mean work that a warm endpoint does for it.
// These parts sum up to no more than the endpoint could do.
package slowstart

import (
	"cmp"
	"math"

	"lotushook/policy/clock"
	"lotushook/policy/seeded"
)

const (
	budgetUse     = 0.8  // share of the budget that all routers together aim at; the rest absorbs random variation
	recentShare   = 0.5  // time constant of recent work, as a share of Settings.Window; short, to detect jumps
	foreignDemand = 4.0  // factor by which reads get less of a primary's budget, and writes less of a replica's
	minWarmth     = 0.01 // lower bound of the warmth: an endpoint that has just started counts as this warm
	learnWeight   = 0.1  // weight of the newest window in learned values
)

// Settings come from the platform.
type Settings struct {
	ColdCapacity     float64     // share of its capacity that an endpoint has when it starts
	WarmUpTime       clock.Nanos // until an endpoint has its full capacity
	Window           clock.Nanos // span in which an overload makes a warming endpoint fail; 0: no overload does
	OverloadMultiple float64     // multiple of its present capacity that a warming endpoint tolerates within a window
}

// Kind is the kind of endpoint that a request needs.
type Kind int

// The kinds.
const (
	Replica Kind = iota // any member of the group
	Primary
	kinds
)

// Demand is the work requested of one group.
type Demand struct {
	requested [kinds]float64 // in the present window
	learned   [kinds]float64 // per window, moving average
}

// Window records the work sent to one warming endpoint.
type Window struct {
	startedAt      clock.Nanos // of the present window; 0: there was no window yet
	work, previous float64     // sent in the present window and in the one before
	draw           float64     // random number of the window, which decides whether one request may exceed the budget
}

// Reset starts over, because the endpoint's process has restarted.
func (w *Window) Reset() { w.startedAt = 0 }

// Sent counts work sent to the endpoint, warm or not.
func (w *Window) Sent(work float64) { w.work += work }

// Endpoint describes the endpoint that is considered for a request.
type Endpoint struct {
	ID        uint32
	Weight    float64
	StartedAt clock.Nanos // 0: so long ago that the endpoint is warm
	IsPrimary bool
	Window    *Window
	Demand    *Demand // of its group
}

// Request contains the properties of a request that the budget depends on.
type Request struct {
	Kind       Kind
	Work       float64
	MaxWork    float64  // of any class
	RecentWork float64  // as Requested returned it for this request
	Draw       *float64 // random number of the present attempt; 0: not drawn yet
}

// Budget is one router's part of the endpoints' budgets. It is not safe for concurrent use.
type Budget struct {
	settings   Settings
	random     *seeded.Generator
	routers    float64 // number of routers that share the total
	groups     int
	workRate   float64 // work that a warm endpoint of weight 1 does for this router in a nanosecond
	answered   float64 // work since learnedAt
	learnedAt  clock.Nanos
	recent     float64 // work requested of this router, decayed up to recentAt
	recentAt   clock.Nanos
	meanDemand [kinds]float64 // mean of the groups' demands per window
}

// New returns the budget of one of several routers, which draws from a shared generator.
func New(settings Settings, routers int, random *seeded.Generator) *Budget {
	return &Budget{
		settings: settings,
		random:   random,
		routers:  float64(routers),
		workRate: 1 / float64(routers),
	}
}

// RouterCount returns the number of routers that share each total.
func (b *Budget) RouterCount() float64 { return b.routers }

// WorkRate returns the work that a warm endpoint of weight 1 does for this router in a nanosecond.
func (b *Budget) WorkRate() float64 { return b.workRate }

// SetShare sets this router's share of the total.
func (b *Budget) SetShare(share float64) { b.routers = 1 / share }

// SetGroups sets the number of groups.
func (b *Budget) SetGroups(groups int) { b.groups = groups }

// Requested counts a request's work and returns the recently requested work, including this request's.
func (b *Budget) Requested(now clock.Nanos, demand *Demand, kind Kind, work float64) (recent float64) {
	decay := math.Exp(-float64(now-b.recentAt) / recentShare / float64(b.settings.Window))
	b.recent = b.recent*decay + work
	b.recentAt = now
	demand.requested[kind] += work
	return b.recent
}

// Answered counts work that was answered.
func (b *Budget) Answered(work float64) { b.answered += work }

// Warmth returns the share of its capacity that an endpoint has by now, at least.
func (b *Budget) Warmth(now, startedAt clock.Nanos) float64 {
	age := now - startedAt
	if startedAt == 0 || age >= b.settings.WarmUpTime {
		return 1
	}
	cold := b.settings.ColdCapacity
	return max(minWarmth, cold+(1-cold)*float64(max(age, 0))/float64(b.settings.WarmUpTime))
}

// Allows reports whether a request may be sent to an endpoint. If this router's part of the budget is smaller than one
// request, few of the routers that could send one have a request at hand. Each request is then sent with a probability
// of the budget over the present demand, so that the routers' total is the budget on average, whatever the demand.
func (b *Budget) Allows(now clock.Nanos, endpoint Endpoint, request Request) bool {
	warmth, span := b.Warmth(now, endpoint.StartedAt), b.settings.Window
	if warmth >= 1 || span == 0 {
		return true
	}
	window := endpoint.Window
	b.advance(now, window)
	// The limit applies to any window of this length, so work of the previous one counts by its overlap with a sliding
	// window.
	used := window.work + window.previous*(1-float64(now-window.startedAt)/float64(span))
	budget := budgetUse * b.settings.OverloadMultiple * warmth * b.workRate * endpoint.Weight * float64(span)
	demand := b.demandAt(endpoint, request)
	known := b.meanDemand[Replica]+b.meanDemand[Primary] > 0
	if known && demand > 0 && budget < request.MaxWork {
		*request.Draw = cmp.Or(*request.Draw, b.random.Draw())
		draw := math.Mod(*request.Draw+float64(endpoint.ID)*math.Phi, 1) // a different number at each endpoint
		return used < budget+request.Work && draw*demand < budget
	}
	return budget-used >= window.draw*request.Work
}

// advance begins a new window once the present one is over.
func (b *Budget) advance(now clock.Nanos, window *Window) {
	age, span := now-window.startedAt, b.settings.Window
	if age < span {
		return
	}
	*window = Window{startedAt: now, previous: window.work, draw: b.random.Draw()}
	if age >= 2*span {
		window.previous = 0
	}
}

// demandAt returns the work per window that this router could request of an endpoint: the group's learned share of
// either the learned total or, if it is more, the work requested of the router when the request arrived, which includes
// the request and shows a jump of demand at once. The share is no less than the mean group's, because one router sees
// each group too rarely to learn its share well.
func (b *Budget) demandAt(endpoint Endpoint, request Request) float64 {
	total := (b.meanDemand[Replica] + b.meanDemand[Primary]) * float64(b.groups)
	share := max(endpoint.Demand.learned[request.Kind], b.meanDemand[request.Kind]) / total
	demand := share * max(total, request.RecentWork/recentShare)
	if endpoint.IsPrimary != (request.Kind == Primary) {
		demand *= foreignDemand
	}
	return demand
}

// LearnDue reports whether a window has passed since the last call of Learn.
func (b *Budget) LearnDue(now clock.Nanos) bool {
	span := now - b.learnedAt
	return span >= b.settings.Window && span > 0
}

// Learn updates the averages with the work requested and answered since its last call. warmSize is the sum of the
// present sizes of all endpoints. The work rate follows answered work only, so that a backlog does not count as
// capacity.
func (b *Budget) Learn(now clock.Nanos, demands []*Demand, warmSize float64) {
	span := float64(now - b.learnedAt)
	demand := b.learnDemand(span, demands)
	if b.learnedAt > 0 && warmSize > 0 {
		b.workRate += learnWeight * (b.answered/span/warmSize - b.workRate)
		for i, work := range demand {
			b.meanDemand[i] = cmp.Or(b.meanDemand[i], work) // the first window initializes the average
			b.meanDemand[i] += learnWeight * (work - b.meanDemand[i])
		}
	}
	b.answered, b.learnedAt = 0, now
}

// learnDemand updates each group's learned demand with the work requested of it in a span, and returns the mean of the
// groups' demands in that span.
func (b *Budget) learnDemand(span float64, demands []*Demand) (mean [kinds]float64) {
	for _, demand := range demands {
		for i := range demand.learned {
			perWindow := demand.requested[i] * float64(b.settings.Window) / span
			demand.learned[i] += learnWeight * (perWindow - demand.learned[i])
			mean[i] += perWindow / float64(len(demands))
			demand.requested[i] = 0
		}
	}
	return mean
}
