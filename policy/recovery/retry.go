package recovery

import "lotushook/policy/clock"

// A retry is permitted only if recent successes pay for it: each success of the last second pays for RetryRatio
// retries. In any ten seconds the number of retries is at most RetryRatio times the successes of those ten seconds and
// the second before them, plus what MinRetryRate allows. With a ratio below 0.2 that is less than 1.2 attempts per
// request on each router, and therefore over all routers without coordination. While nothing succeeds, only
// MinRetryRate is left, which breaks the loop in which retries sustain the overload that caused them (Bronson et al.
// 2021, Huang et al. 2022).

const (
	slotsPerSecond = 10
	slotDuration   = second / slotsPerSecond
)

// retryBudget counts the successes of the last second in slots, newest first, and the retries that were charged to each
// slot.
type retryBudget struct {
	newestSlotAt      clock.Nanos // start of the newest slot
	successes         [slotsPerSecond]float64
	spent             [slotsPerSecond]float64 // retries charged to the successes of the slot
	minRateTokens     float64                 // retries that need no success, at most 1
	minRateCreditedAt clock.Nanos             // when minRateTokens was last refilled
}

func (budget *retryBudget) advance(now clock.Nanos) {
	elapsed := (now - budget.newestSlotAt) / slotDuration
	if elapsed <= 0 {
		return
	}
	for range min(elapsed, slotsPerSecond) {
		copy(budget.successes[1:], budget.successes[:slotsPerSecond-1])
		copy(budget.spent[1:], budget.spent[:slotsPerSecond-1])
		budget.successes[0], budget.spent[0] = 0, 0
	}
	budget.newestSlotAt += elapsed * slotDuration
}

func (budget *retryBudget) addSuccess(now clock.Nanos) {
	budget.advance(now)
	budget.successes[0]++
}

// spend charges one retry to the oldest successes that are not used up or, if the successes don't suffice, to the
// minimum rate. It returns false if neither pays for the retry.
func (budget *retryBudget) spend(now clock.Nanos, ratio, minRate float64) bool {
	budget.advance(now)
	budget.minRateTokens, budget.minRateCreditedAt = min(1, budget.minRateTokens+minRate*float64(now-budget.minRateCreditedAt)/float64(second)), now
	available := 0.0
	for slot := range budget.successes {
		available += ratio*budget.successes[slot] - budget.spent[slot]
	}
	if available < 1-1e-9 {
		if budget.minRateTokens < 1 {
			return false
		}
		budget.minRateTokens--
		return true
	}
	unpaid := 1.0
	for slot := slotsPerSecond - 1; slot >= 0 && unpaid > 0; slot-- {
		paid := min(unpaid, max(0, ratio*budget.successes[slot]-budget.spent[slot]))
		budget.spent[slot] += paid
		unpaid -= paid
	}
	return true
}

// responseTimes tracks the shortest recent response time for each class of requests on each server. A request that has
// less time than this before its deadline is too late. After two seconds without an answer the shortest time is
// unknown, and no request is too late unless its deadline has passed. One late request per slotDuration is sent anyway,
// to learn whether responses are faster now.
type responseTimes struct {
	capacity int
	byClass  map[serverClass]*fastestResponse
	order    []serverClass // keys of byClass in the order of their first use; at capacity the oldest is evicted
}

type serverClass struct {
	server uint32
	class  int
}

type fastestResponse struct {
	startedAt         clock.Nanos // start of the current second
	current, previous clock.Nanos // shortest response times of two consecutive seconds; 0: none
	lastAttemptAt     clock.Nanos // when a late request was last sent anyway
}

func newResponseTimes(capacity int) responseTimes {
	return responseTimes{capacity: capacity, byClass: map[serverClass]*fastestResponse{}}
}

func (times *responseTimes) add(now clock.Nanos, server uint32, class int, elapsed clock.Nanos) {
	key := serverClass{server, class}
	fastest := times.byClass[key]
	if fastest == nil {
		if len(times.order) >= times.capacity {
			delete(times.byClass, times.order[0])
			times.order = append(times.order[:0], times.order[1:]...)
		}
		fastest = &fastestResponse{startedAt: now}
		times.byClass[key] = fastest
		times.order = append(times.order, key)
	}
	fastest.rotate(now)
	if elapsed = max(1, elapsed); fastest.current == 0 || elapsed < fastest.current {
		fastest.current = elapsed
	}
}

func (fastest *fastestResponse) rotate(now clock.Nanos) {
	switch age := now - fastest.startedAt; {
	case age < second:
	case age < 2*second:
		fastest.startedAt, fastest.previous, fastest.current = fastest.startedAt+second, fastest.current, 0
	default:
		fastest.startedAt, fastest.previous, fastest.current = now, 0, 0
	}
}

func (times *responseTimes) isTooLate(now clock.Nanos, attempt Attempt) bool {
	fastest := times.byClass[serverClass{attempt.Server, attempt.Class}]
	if fastest == nil {
		return attempt.Deadline <= now
	}
	fastest.rotate(now)
	shortest := fastest.current
	if fastest.previous > 0 && (shortest == 0 || fastest.previous < shortest) {
		shortest = fastest.previous
	}
	if now+shortest < attempt.Deadline {
		return false
	}
	if attempt.Deadline > now && now-fastest.lastAttemptAt >= slotDuration {
		fastest.lastAttemptAt = now
		return false
	}
	return true
}
