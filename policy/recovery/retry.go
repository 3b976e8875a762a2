package recovery

import "lotushook/policy/clock"

// A retry is paid for by successes of the last second, Ratio each: in any ten seconds there are at most Ratio times
// the successes of these and of the second before, and Floor. With Ratio under 0.2 that is less than 1.2 attempts a request,
// on each router and so over all, without coordination. Where nothing succeeds, nothing is retried: that breaks
// the loop in which retries sustain the overload that caused them (Bronson et al. 2021, Huang et al. 2022).

const (
	slotsPerSecond = 10 // of the second
	slotSize       = second / slotsPerSecond
)

// retryBudget counts successes by tenths of a second, and what was spent of them.
type retryBudget struct {
	at             clock.Nanos // the newest slot's start
	successes      [slotsPerSecond]float64
	spent          [slotsPerSecond]float64 // of what was earned in that slot
	floorTokens    float64                 // of the floor
	floorPaidUntil clock.Nanos             // until when the floor has been credited
}

func (t *retryBudget) advance(now clock.Nanos) {
	steps := (now - t.at) / slotSize
	if steps <= 0 {
		return
	}
	for range min(steps, slotsPerSecond) {
		copy(t.successes[1:], t.successes[:slotsPerSecond-1])
		copy(t.spent[1:], t.spent[:slotsPerSecond-1])
		t.successes[0], t.spent[0] = 0, 0
	}
	t.at += steps * slotSize
}

func (t *retryBudget) addSuccess(now clock.Nanos) {
	t.advance(now)
	t.successes[0]++
}

// take pays for one retry with the oldest successes, and failing that from the floor.
func (t *retryBudget) take(now clock.Nanos, ratio, floor float64) bool {
	t.advance(now)
	t.floorTokens, t.floorPaidUntil = min(1, t.floorTokens+floor*float64(now-t.floorPaidUntil)/float64(second)), now
	left := 0.0
	for i := range t.successes {
		left += ratio*t.successes[i] - t.spent[i]
	}
	if left < 1-1e-9 {
		if t.floorTokens < 1 {
			return false
		}
		t.floorTokens--
		return true
	}
	need := 1.0
	for i := slotsPerSecond - 1; i >= 0 && need > 0; i-- {
		pay := min(need, max(0, ratio*t.successes[i]-t.spent[i]))
		t.spent[i] += pay
		need -= pay
	}
	return true
}

// responseTimes remembers the shortest recent response time of a server's class: a request must have as much time
// left, or its answer is too late. Without answers for two seconds nothing is known; and one request in each tenth of a second checks
// whether it is better by now.
type responseTimes struct {
	capacity int
	known    map[serverClass]*fastestResponse
	order    []serverClass // by first use; the oldest is dropped when all places are taken
}

type serverClass struct {
	server uint32
	class  int
}

type fastestResponse struct {
	startsAt          clock.Nanos // of the present second
	current, previous clock.Nanos // 0: none
	lastTriedAt       clock.Nanos
}

func newResponseTimes(most int) responseTimes {
	return responseTimes{capacity: most, known: map[serverClass]*fastestResponse{}}
}

func (t *responseTimes) add(now clock.Nanos, server uint32, class int, span clock.Nanos) {
	key := serverClass{server, class}
	e := t.known[key]
	if e == nil {
		if len(t.order) >= t.capacity {
			delete(t.known, t.order[0])
			t.order = append(t.order[:0], t.order[1:]...)
		}
		e = &fastestResponse{startsAt: now}
		t.known[key] = e
		t.order = append(t.order, key)
	}
	e.rotate(now)
	if span = max(1, span); e.current == 0 || span < e.current {
		e.current = span
	}
}

func (e *fastestResponse) rotate(now clock.Nanos) {
	switch age := now - e.startsAt; {
	case age < second:
	case age < 2*second:
		e.startsAt, e.previous, e.current = e.startsAt+second, e.current, 0
	default:
		e.startsAt, e.previous, e.current = now, 0, 0
	}
}

func (t *responseTimes) isTooLate(now clock.Nanos, a Attempt) bool {
	e := t.known[serverClass{a.Server, a.Class}]
	if e == nil {
		return a.Deadline <= now
	}
	e.rotate(now)
	least := e.current
	if e.previous > 0 && (least == 0 || e.previous < least) {
		least = e.previous
	}
	if now+least < a.Deadline {
		return false
	}
	if a.Deadline > now && now-e.lastTriedAt >= slotSize {
		e.lastTriedAt = now
		return false
	}
	return true
}
