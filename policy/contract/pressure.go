package contract

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

// place is a group's primary, or its replicas.
type place struct {
	group   int64
	primary bool
}

const (
	tick               = second / 10
	minWindowFactor    = 0.7  // of the window is left at least, a tick, while somebody within a contract suffers
	maxWindowGrowth    = 0.5  // requests at most, a tick, while nobody does and the window is used
	unlimited          = 4096 // a window that does not bind
	sampleWeight       = 0.15 // one answer's weight in the mean
	failureShare       = 1.5  // what a refused or failed request within its contract counts as, in aims
	idleDecay          = 0.7  // of the mean, a tick without an answer
	calmTicksToUnlimit = 20   // ticks without anybody suffering, and the window does not bind any more
	rateWeight         = 0.1  // one tick's weight in the rate of releases
)

// pressure is how a place does, as the requests within their contracts feel it,
// and how many of the others it has open at a time. What finds no room waits a
// moment for its turn, or is refused: by turns, each team as often as its worth.
type pressure struct {
	mean      float64     // of how long answers took, as a share of their aims
	sampled   bool        // in this tick
	window    float64     // how many of the others may be open
	open      int         // that are
	windowMet bool        // the window was met in this tick
	calmTicks int         // ticks since somebody suffered
	tickAt    clock.Nanos // the tick
	admitted  int         // releases in this tick
	admitRate float64     // of them, a tick, in the mean

	queue       []queuedRequest // by their turns
	finishTimes map[int]float64
	virtualTime float64
}

// queuedRequest is a request that waits for its turn.
type queuedRequest struct {
	Request
	verdict Verdict // if it is refused
	until   clock.Nanos
	within  bool // its contract covers it: it is never refused here
	start   float64
	step    float64 // of its team's turns
}

func newPressure(now clock.Nanos) *pressure {
	return &pressure{window: unlimited, tickAt: now, finishTimes: map[int]float64{}}
}

// addSample takes in how long an answer took, as a share of its aim.
func (p *pressure) addSample(share float64) {
	p.mean += sampleWeight * (share - p.mean)
	p.sampled = true
}

// advance goes on to now, tick by tick; after a jump of the clock it starts anew
// from where it was.
func (p *pressure) advance(now clock.Nanos, high, low float64) {
	if now < p.tickAt || now-p.tickAt > 100*tick {
		p.tickAt, p.mean = now-tick, 0
	}
	for now-p.tickAt >= tick {
		p.tickAt += tick
		p.calmTicks++
		switch {
		case p.mean > high:
			p.calmTicks = 0
			p.window = min(p.window, float64(p.open)+1) // from what is really open
			p.window = max(p.window*max(minWindowFactor, high/p.mean), 0.25)
		case p.mean < low && p.windowMet: // the nearer to it the slower
			p.window += maxWindowGrowth * (1 - p.mean/low)
		}
		if p.calmTicks >= calmTicksToUnlimit && !p.windowMet {
			p.window = unlimited
		}
		if !p.sampled {
			p.mean *= idleDecay
		}
		p.admitRate += rateWeight * (float64(p.admitted) - p.admitRate)
		p.sampled, p.windowMet, p.admitted = false, len(p.queue) > 0, 0
	}
}

// hasRoom says whether one more may be open. A window under one lets one through
// now and then: it grows to one.
func (p *pressure) hasRoom() bool {
	if float64(p.open)+1 <= p.window {
		return true
	}
	p.windowMet = true
	return false
}

// admit counts one that goes on.
func (p *pressure) admit() {
	p.open++
	p.admitted++
}

// enqueue queues a request by its team's turn. Where more wait than can have their
// turn in time, whoever's turn is the last goes, unless it may not be refused.
func (p *pressure) enqueue(w queuedRequest, worth float64, aim clock.Nanos) (gone *queuedRequest) {
	w.start = max(p.virtualTime, p.finishTimes[w.Team])
	w.step = 1 / worth
	p.finishTimes[w.Team] = w.start + w.step
	at, _ := slices.BinarySearchFunc(p.queue, w, func(x, y queuedRequest) int {
		return cmp.Or(cmp.Compare(x.start, y.start), -1)
	})
	p.queue = slices.Insert(p.queue, at, w)
	if most := 2 + int(p.admitRate*float64(aim/2)/float64(tick)); len(p.queue) <= most {
		return nil
	}
	for i := len(p.queue) - 1; i >= 0; i-- {
		if !p.queue[i].within { // it has had no turn: its team is not put back for it
			p.finishTimes[p.queue[i].Team] -= p.queue[i].step
			return p.removeAt(i)
		}
	}
	return nil
}

// removeAt takes a waiter out.
func (p *pressure) removeAt(i int) *queuedRequest {
	w := p.queue[i]
	p.queue = slices.Delete(p.queue, i, i+1)
	return &w
}

// dequeue is the waiter whose turn it is, if there is room; the others' turns follow.
func (p *pressure) dequeue() *queuedRequest {
	if len(p.queue) == 0 || !p.hasRoom() {
		return nil
	}
	w := p.removeAt(0)
	p.virtualTime = w.start
	for t, f := range p.finishTimes {
		if f <= p.virtualTime {
			delete(p.finishTimes, t)
		}
	}
	p.admit()
	return w
}

// dequeueExpired is a waiter whose time is over.
func (p *pressure) dequeueExpired(now clock.Nanos) *queuedRequest {
	for i := range p.queue {
		if p.queue[i].until <= now {
			return p.removeAt(i)
		}
	}
	return nil
}
