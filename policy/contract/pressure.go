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
	minWindowFactor    = 0.7  // the smallest factor on the window per tick, while requests within a contract are slow
	maxWindowGrowth    = 0.5  // requests at most per tick, while none are slow and the window is used
	unlimited          = 4096 // a window that is not enforced
	sampleWeight       = 0.15 // one answer's weight in the mean
	failureShare       = 1.5  // the sample of a rejected or failed request within its contract, in latency objectives
	idleDecay          = 0.7  // factor on the mean for a tick without an answer
	calmTicksToUnlimit = 20   // ticks without slow requests after which the window is not enforced any more
	rateWeight         = 0.1  // one tick's weight in the rate of admissions
)

// pressure measures the latency of a place by the requests within their contracts,
// and limits how many of the others are open at a time. A request for which the window is full is queued
// for a moment, or rejected: the teams take turns, by their weights.
type pressure struct {
	mean      float64     // of the latencies, as a share of the objectives
	sampled   bool        // in this tick
	window    float64     // how many of the others may be open
	open      int         // how many of the others are open
	windowMet bool        // the window was reached in this tick
	calmTicks int         // ticks without slow requests
	tickAt    clock.Nanos // the tick
	admitted  int         // admissions in this tick
	admitRate float64     // admissions per tick, in the mean

	queue       []queuedRequest // by finish times
	finishTimes map[int]float64
	virtualTime float64
}

// queuedRequest is a request that waits for its turn.
type queuedRequest struct {
	Request
	verdict Verdict // if it is rejected
	until   clock.Nanos
	within  bool // its contract covers it: it is never rejected here
	start   float64
	step    float64 // of its team's virtual time
}

func newPressure(now clock.Nanos) *pressure {
	return &pressure{window: unlimited, tickAt: now, finishTimes: map[int]float64{}}
}

// addSample adds an answer's latency, as a share of its objective.
func (p *pressure) addSample(share float64) {
	p.mean += sampleWeight * (share - p.mean)
	p.sampled = true
}

// advance goes on to now, tick by tick; after a jump of the clock it starts anew
// from its present state.
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
			p.window = min(p.window, float64(p.open)+1) // from the number that is really open
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

// hasRoom says whether one more may be open. A window below one admits one request
// now and then: it grows to one.
func (p *pressure) hasRoom() bool {
	if float64(p.open)+1 <= p.window {
		return true
	}
	p.windowMet = true
	return false
}

// admit counts an admission.
func (p *pressure) admit() {
	p.open++
	p.admitted++
}

// enqueue queues a request by its team's virtual time. Where more are queued than can be
// admitted in time, the last one is displaced, unless it may not be rejected.
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
		if !p.queue[i].within { // it was not served: its team is not charged for it
			p.finishTimes[p.queue[i].Team] -= p.queue[i].step
			return p.removeAt(i)
		}
	}
	return nil
}

// removeAt removes a queued request.
func (p *pressure) removeAt(i int) *queuedRequest {
	w := p.queue[i]
	p.queue = slices.Delete(p.queue, i, i+1)
	return &w
}

// dequeue returns the next queued request if the window has room; the others move up.
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

// dequeueExpired returns a queued request whose deadline has passed.
func (p *pressure) dequeueExpired(now clock.Nanos) *queuedRequest {
	for i := range p.queue {
		if p.queue[i].until <= now {
			return p.removeAt(i)
		}
	}
	return nil
}
