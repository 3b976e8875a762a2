// Package slowstart keeps all routers together within the budget of an endpoint that warms up, though they share
// nothing. Each router spends its own part: what a warm endpoint does for it in the mean, which sums up to no more
// than the endpoint could do.
package slowstart

import (
	"cmp"
	"math"

	"lotushook/policy/clock"
	"lotushook/policy/seeded"
)

const (
	budgetUse     = 0.8  // of the budget that routers aim at in sum: the rest is for chance
	recentShare   = 0.5  // of Settings.Window: the span over which asked work fades, by which a jump is seen
	foreignDemand = 4.0  // reads at a primary, and writes at a replica, have so much less of its budget
	minWarmth     = 0.01 // of its capacity: an endpoint that has just started counts as this warm
	learnWeight   = 0.1  // weight of the newest window in what was learned
)

// Settings are told by the platform.
type Settings struct {
	ColdCapacity     float64     // share of its capacity that an endpoint has when it starts
	WarmUpTime       clock.Nanos // until it has all
	Window           clock.Nanos // in which an overload makes a warming endpoint fall; 0: none does
	OverloadMultiple float64     // of its present capacity that it bears in a window
}

// Kind says who must take a request.
type Kind int

// The kinds.
const (
	Replica Kind = iota // any member of the group
	Primary
	kinds
)

// Demand is what is asked of one group.
type Demand struct {
	requested [kinds]float64 // work in the present window
	learned   [kinds]float64 // work in a window, learned
}

// Window is what was sent to one endpoint that warms up.
type Window struct {
	startedAt      clock.Nanos // of the present window; 0: there was none
	work, previous float64     // sent in the present window and in the one before
	draw           float64     // the window's chance of one request beyond the budget
}

// Reset starts over, as the endpoint's process has.
func (w *Window) Reset() { w.startedAt = 0 }

// Sent counts work that was sent to the endpoint, warm or not.
func (w *Window) Sent(work float64) { w.work += work }

// Endpoint is the endpoint that a request would go to.
type Endpoint struct {
	ID        uint32
	Weight    float64
	StartedAt clock.Nanos // 0: long past
	IsPrimary bool
	Window    *Window
	Demand    *Demand // of its group
}

// Request is what counts of a request here.
type Request struct {
	Kind       Kind
	Work       float64
	MaxWork    float64  // of any class
	RecentWork float64  // that Asked returned for it
	Draw       *float64 // of the present attempt; 0: not drawn yet
}

// Budget is one router's part. It belongs to one goroutine.
type Budget struct {
	settings  Settings
	random    *seeded.Generator
	routers   float64 // by how many the whole is divided
	groups    int
	perRouter float64 // work that a warm endpoint of weight 1 does for this router in a nanosecond
	answered  float64 // work since learnedAt
	learnedAt clock.Nanos
	recent    float64 // work asked of this router, as it had faded at recentAt
	recentAt  clock.Nanos
	mean      [kinds]float64 // usual demand of the mean group
}

// New returns the budget of one of so many routers, which draws from a shared generator.
func New(settings Settings, routers int, random *seeded.Generator) *Budget {
	return &Budget{
		settings:  settings,
		random:    random,
		routers:   float64(routers),
		perRouter: 1 / float64(routers),
	}
}

// RouterCount is by how many what all routers share is divided.
func (b *Budget) RouterCount() float64 { return b.routers }

// WorkRate is the work that a warm endpoint of weight 1 does for this router in a nanosecond.
func (b *Budget) WorkRate() float64 { return b.perRouter }

// SetShare puts another share of the whole in force.
func (b *Budget) SetShare(share float64) { b.routers = 1 / share }

// SetGroups says how many groups there are.
func (b *Budget) SetGroups(groups int) { b.groups = groups }

// Requested counts a request's work and returns the work lately asked, this request's included.
func (b *Budget) Requested(now clock.Nanos, demand *Demand, kind Kind, work float64) (recent float64) {
	fade := math.Exp(-float64(now-b.recentAt) / recentShare / float64(b.settings.Window))
	b.recent = b.recent*fade + work
	b.recentAt = now
	demand.requested[kind] += work
	return b.recent
}

// Answered counts work that was answered.
func (b *Budget) Answered(work float64) { b.answered += work }

// Warmth is the least share of its capacity that an endpoint surely has by now.
func (b *Budget) Warmth(now, startedAt clock.Nanos) float64 {
	age := now - startedAt
	if startedAt == 0 || age >= b.settings.WarmUpTime {
		return 1
	}
	cold := b.settings.ColdCapacity
	return max(minWarmth, cold+(1-cold)*float64(max(age, 0))/float64(b.settings.WarmUpTime))
}

// Allows says whether a request may go to an endpoint. Where this router's part is less than a request, few routers
// have one at hand when they might send it: there each request goes with the chance that the part is of what is asked
// now. So the budget is the mean of the sum whatever is asked.
func (b *Budget) Allows(now clock.Nanos, e Endpoint, r Request) bool {
	warmth, span := b.Warmth(now, e.StartedAt), b.settings.Window
	if warmth >= 1 || span == 0 {
		return true
	}
	window := e.Window
	b.advance(now, window)
	// The rule holds for any window: what the last one sent counts as far as it may lie in a sliding one.
	used := window.work + window.previous*(1-float64(now-window.startedAt)/float64(span))
	budget := budgetUse * b.settings.OverloadMultiple * warmth * b.perRouter * e.Weight * float64(span)
	asked := b.demandAt(e, r)
	known := b.mean[Replica]+b.mean[Primary] > 0
	if known && asked > 0 && budget < r.MaxWork {
		*r.Draw = cmp.Or(*r.Draw, b.random.Draw())
		draw := math.Mod(*r.Draw+float64(e.ID)*math.Phi, 1) // another one at each endpoint
		return used < budget+r.Work && draw*asked < budget
	}
	return budget-used >= window.draw*r.Work
}

// advance begins a new window when the present one is over.
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

// demandAt is the work in a window that this router could have for an endpoint: its group's usual share (no less than
// the mean group's, as one is seen too seldom) of the usual amount, or of what was lately asked of the router as the
// request arrived, that included, where this is more: a jump of demand shows in it at once.
func (b *Budget) demandAt(e Endpoint, r Request) float64 {
	total := (b.mean[Replica] + b.mean[Primary]) * float64(b.groups)
	share := max(e.Demand.learned[r.Kind], b.mean[r.Kind]) / total
	asked := share * max(total, r.RecentWork/recentShare)
	if e.IsPrimary != (r.Kind == Primary) {
		asked *= foreignDemand
	}
	return asked
}

// LearnDue says whether a window has passed since Learn was called.
func (b *Budget) LearnDue(now clock.Nanos) bool {
	span := now - b.learnedAt
	return span >= b.settings.Window && span > 0
}

// Learn takes in what was asked and answered since it was called last; warmSize sums the present sizes of all
// endpoints. It counts answered work, so that a backlog is not taken for capacity.
func (b *Budget) Learn(now clock.Nanos, demands []*Demand, warmSize float64) {
	span := float64(now - b.learnedAt)
	asked := b.learnDemand(span, demands)
	if b.learnedAt > 0 && warmSize > 0 {
		b.perRouter += learnWeight * (b.answered/span/warmSize - b.perRouter)
		for i, work := range asked {
			b.mean[i] = cmp.Or(b.mean[i], work) // the first window is all that is known
			b.mean[i] += learnWeight * (work - b.mean[i])
		}
	}
	b.answered, b.learnedAt = 0, now
}

// learnDemand moves each group's usual demand by what was asked of it in a span, and returns the mean group's.
func (b *Budget) learnDemand(span float64, demands []*Demand) (mean [kinds]float64) {
	for _, d := range demands {
		for i := range d.learned {
			asked := d.requested[i] * float64(b.settings.Window) / span
			d.learned[i] += learnWeight * (asked - d.learned[i])
			mean[i] += asked / float64(len(demands))
			d.requested[i] = 0
		}
	}
	return mean
}
