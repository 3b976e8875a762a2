package contract

import (
	"cmp"
	"slices"
)

// place is a group's primary, or its replicas.
type place struct {
	group   int64
	primary bool
}

const (
	tick    = second / 10
	shrink  = 0.7  // of the window is left at least, a tick, while somebody within a contract suffers
	grow    = 0.5  // requests at most, a tick, while nobody does and the window is used
	unbound = 4096 // a window that does not bind
	heavier = 0.15 // one answer's weight in the mean
	trouble = 1.5  // what a refused or failed request within its contract counts as, in aims
	fade    = 0.7  // of the mean, a tick without an answer
	calm    = 20   // ticks without anybody suffering, and the window does not bind any more
	flow    = 0.1  // one tick's weight in the rate of releases
)

// pressure is how a place does, as the requests within their contracts feel it,
// and how many of the others it has open at a time. What finds no room waits a
// moment for its turn, or is refused: by turns, each team as often as its worth.
type pressure struct {
	mean   float64 // of how long answers took, as a share of their aims
	told   bool    // in this tick
	window float64 // how many of the others may be open
	out    int     // that are
	used   bool    // the window was met in this tick
	well   int     // ticks since somebody suffered
	at     Nanos   // the tick
	freed  int     // releases in this tick
	rate   float64 // of them, a tick, in the mean

	waits []waiter // by their turns
	lanes map[int]float64
	clock float64
}

// waiter is a request that waits for its turn.
type waiter struct {
	Request
	verdict Verdict // if it is refused
	until   Nanos
	within  bool // its contract covers it: it is never refused here
	start   float64
	step    float64 // of its team's turns
}

func newPressure(now Nanos) *pressure {
	return &pressure{window: unbound, at: now, lanes: map[int]float64{}}
}

// feel takes in how long an answer took, as a share of its aim.
func (p *pressure) feel(share float64) {
	p.mean += heavier * (share - p.mean)
	p.told = true
}

// move goes on to now, tick by tick; after a jump of the clock it starts anew
// from where it was.
func (p *pressure) move(now Nanos, high, low float64) {
	if now < p.at || now-p.at > 100*tick {
		p.at, p.mean = now-tick, 0
	}
	for now-p.at >= tick {
		p.at += tick
		p.well++
		switch {
		case p.mean > high:
			p.well = 0
			p.window = min(p.window, float64(p.out)+1) // from what is really open
			p.window = max(p.window*max(shrink, high/p.mean), 0.25)
		case p.mean < low && p.used: // the nearer to it the slower
			p.window += grow * (1 - p.mean/low)
		}
		if p.well >= calm && !p.used {
			p.window = unbound
		}
		if !p.told {
			p.mean *= fade
		}
		p.rate += flow * (float64(p.freed) - p.rate)
		p.told, p.used, p.freed = false, len(p.waits) > 0, 0
	}
}

// room says whether one more may be open. A window under one lets one through
// now and then: it grows to one.
func (p *pressure) room() bool {
	if float64(p.out)+1 <= p.window {
		return true
	}
	p.used = true
	return false
}

// open counts one that goes on.
func (p *pressure) open() {
	p.out++
	p.freed++
}

// wait queues a request by its team's turn. Where more wait than can have their
// turn in time, whoever's turn is the last goes, unless it may not be refused.
func (p *pressure) wait(w waiter, worth float64, aim Nanos) (gone *waiter) {
	w.start = max(p.clock, p.lanes[w.Team])
	w.step = 1 / worth
	p.lanes[w.Team] = w.start + w.step
	at, _ := slices.BinarySearchFunc(p.waits, w, func(x, y waiter) int {
		return cmp.Or(cmp.Compare(x.start, y.start), -1)
	})
	p.waits = slices.Insert(p.waits, at, w)
	if most := 2 + int(p.rate*float64(aim/2)/float64(tick)); len(p.waits) <= most {
		return nil
	}
	for i := len(p.waits) - 1; i >= 0; i-- {
		if !p.waits[i].within { // it has had no turn: its team is not put back for it
			p.lanes[p.waits[i].Team] -= p.waits[i].step
			return p.take(i)
		}
	}
	return nil
}

// take takes a waiter out.
func (p *pressure) take(i int) *waiter {
	w := p.waits[i]
	p.waits = slices.Delete(p.waits, i, i+1)
	return &w
}

// next is the waiter whose turn it is, if there is room; the others' turns follow.
func (p *pressure) next() *waiter {
	if len(p.waits) == 0 || !p.room() {
		return nil
	}
	w := p.take(0)
	p.clock = w.start
	for t, f := range p.lanes {
		if f <= p.clock {
			delete(p.lanes, t)
		}
	}
	p.open()
	return w
}

// expired is a waiter whose time is over.
func (p *pressure) expired(now Nanos) *waiter {
	for i := range p.waits {
		if p.waits[i].until <= now {
			return p.take(i)
		}
	}
	return nil
}
