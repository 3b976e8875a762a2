package contract

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

// groupRole identifies either the primary or the replicas of a group.
type groupRole struct {
	group   int64
	primary bool
}

const (
	tick                     = second / 10
	minWindowFactor          = 0.7  // min factor on the window per tick, while requests within contracts are slow
	maxWindowGrowth          = 0.5  // requests per tick, while the latency is low and the window is reached
	unlimited                = 4096 // window, in requests, that counts as no limit
	sampleWeight             = 0.15 // weight of one sample in the mean latency
	failureShare             = 1.5  // sample of a rejected or failed request, in latency objectives; also the max sample
	idleDecay                = 0.7  // factor on the mean latency for a tick without a sample
	calmTicksBeforeUnlimited = 20   // ticks without slow requests until a window that is not reached becomes unlimited
	rateWeight               = 0.1  // weight of one tick in the mean admission rate
)

// groupPressure measures the pressure on a group's primary, or on its replicas: the mean latency of requests without
// low priority. By this latency it adjusts the window, which limits how many low-priority requests are open at the same
// time. A low-priority request that exceeds the window is queued for a short time or rejected. Weighted fair queueing
// divides the queue among the teams.
type groupPressure struct {
	meanLatency       float64     // as a share of the latency objectives
	sampled           bool        // a sample was added in this tick
	window            float64     // how many low-priority requests may be open
	lowPriorityOpen   int         // how many low-priority requests are open
	windowReached     bool        // the window was reached, or requests are queued, in this tick
	calmTicks         int         // ticks without slow requests
	lastTick          clock.Nanos // the start of the current tick
	admittedInTick    int         // low-priority requests
	admissionsPerTick float64     // exponentially weighted mean of admittedInTick

	queue       []queuedRequest // sorted by virtual start time
	finishTimes map[int]float64 // virtual finish time of each team's last request
	virtualTime float64
}

// queuedRequest is a low-priority request that waits for capacity.
type queuedRequest struct {
	Request
	rejection      Verdict     // the verdict if it is rejected
	expiresAt      clock.Nanos // when it is decided at the latest
	withinContract bool        // its contract covers it, so it is never rejected
	virtualStart   float64     // its place in the fair queue
	virtualStep    float64     // by how much it advances its team's virtual finish time
}

func newGroupPressure(now clock.Nanos) *groupPressure {
	return &groupPressure{window: unlimited, lastTick: now, finishTimes: map[int]float64{}}
}

// addSample adds one request's latency, as a share of its objective.
func (pressure *groupPressure) addSample(latency float64) {
	pressure.meanLatency += sampleWeight * (latency - pressure.meanLatency)
	pressure.sampled = true
}

// advance updates the window once for each tick until now. If the clock went back or jumped by more than 100 ticks,
// the mean latency restarts at 0 and the window is updated once.
func (pressure *groupPressure) advance(now clock.Nanos, high, low float64) {
	if now < pressure.lastTick || now-pressure.lastTick > 100*tick {
		pressure.lastTick, pressure.meanLatency = now-tick, 0
	}
	for now-pressure.lastTick >= tick {
		pressure.lastTick += tick
		pressure.calmTicks++
		switch {
		case pressure.meanLatency > high:
			pressure.calmTicks = 0
			// Shrink from the number of open requests, which may be far below the window.
			pressure.window = min(pressure.window, float64(pressure.lowPriorityOpen)+1)
			pressure.window = max(pressure.window*max(minWindowFactor, high/pressure.meanLatency), 0.25)
		case pressure.meanLatency < low && pressure.windowReached: // growth slows down as the mean latency approaches low
			pressure.window += maxWindowGrowth * (1 - pressure.meanLatency/low)
		}
		if pressure.calmTicks >= calmTicksBeforeUnlimited && !pressure.windowReached {
			pressure.window = unlimited
		}
		if !pressure.sampled {
			pressure.meanLatency *= idleDecay
		}
		pressure.admissionsPerTick += rateWeight * (float64(pressure.admittedInTick) - pressure.admissionsPerTick)
		pressure.sampled, pressure.windowReached, pressure.admittedInTick = false, len(pressure.queue) > 0, 0
	}
}

// hasCapacity reports whether one more low-priority request may be open. A window below 1 admits none. As it grows to
// 1 again whenever the latency is low, a request is still admitted from time to time.
func (pressure *groupPressure) hasCapacity() bool {
	if float64(pressure.lowPriorityOpen)+1 <= pressure.window {
		return true
	}
	pressure.windowReached = true
	return false
}

// admit counts the admission of a low-priority request.
func (pressure *groupPressure) admit() {
	pressure.lowPriorityOpen++
	pressure.admittedInTick++
}

// enqueue inserts a request by its team's virtual time. If more requests are queued than can be admitted in time, it
// removes and returns the last one that may be rejected.
func (pressure *groupPressure) enqueue(request queuedRequest, weight float64,
	objective clock.Nanos) (displaced *queuedRequest) {
	request.virtualStart = max(pressure.virtualTime, pressure.finishTimes[request.Team])
	request.virtualStep = 1 / weight
	pressure.finishTimes[request.Team] = request.virtualStart + request.virtualStep
	index, _ := slices.BinarySearchFunc(pressure.queue, request, func(x, y queuedRequest) int {
		return cmp.Or(cmp.Compare(x.virtualStart, y.virtualStart), -1)
	})
	pressure.queue = slices.Insert(pressure.queue, index, request)
	if maxQueued := 2 + int(pressure.admissionsPerTick*float64(objective/2)/float64(tick)); len(pressure.queue) <= maxQueued {
		return nil
	}
	for i := len(pressure.queue) - 1; i >= 0; i-- {
		if !pressure.queue[i].withinContract { // this request is not served, so it must not delay its team's next ones
			pressure.finishTimes[pressure.queue[i].Team] -= pressure.queue[i].virtualStep
			return pressure.removeAt(i)
		}
	}
	return nil
}

// removeAt removes and returns a queued request.
func (pressure *groupPressure) removeAt(i int) *queuedRequest {
	removed := pressure.queue[i]
	pressure.queue = slices.Delete(pressure.queue, i, i+1)
	return &removed
}

// dequeue removes and returns the next queued request, if the window has capacity.
func (pressure *groupPressure) dequeue() *queuedRequest {
	if len(pressure.queue) == 0 || !pressure.hasCapacity() {
		return nil
	}
	next := pressure.removeAt(0)
	pressure.virtualTime = next.virtualStart
	for team, finish := range pressure.finishTimes {
		if finish <= pressure.virtualTime {
			delete(pressure.finishTimes, team)
		}
	}
	pressure.admit()
	return next
}

// dequeueExpired removes and returns a queued request that has expired; nil: there is none.
func (pressure *groupPressure) dequeueExpired(now clock.Nanos) *queuedRequest {
	for i := range pressure.queue {
		if pressure.queue[i].expiresAt <= now {
			return pressure.removeAt(i)
		}
	}
	return nil
}
