package recovery

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"lotushook/policy/clock"
)

// Retry-After times are distributed over a window. At the rate at which this router sends, the window is long enough to
// serve all rejected clients that have not returned yet. It is divided among the priority classes, the best class
// first. An account's place within the part of its class follows from a hash, so that all connections of the account
// return together. The hash is salted with the router's epoch, so that the same account is not last after every
// restart.

const (
	calendarSlots        = 64
	calendarSlotDuration = second / 8
)

// retryAfterCalendar counts the rejected clients by the slot of time in which they are expected to return. Clients that
// are expected after the last slot count in that slot.
type retryAfterCalendar struct {
	startedAt clock.Nanos
	slots     [calendarSlots]float64
	total     float64
}

func (calendar *retryAfterCalendar) advance(now clock.Nanos) {
	elapsed := (now - calendar.startedAt) / calendarSlotDuration
	if elapsed <= 0 {
		return
	}
	for slot := range min(elapsed, calendarSlots) {
		calendar.total -= calendar.slots[slot]
	}
	if elapsed >= calendarSlots {
		calendar.slots = [calendarSlots]float64{}
		calendar.total = 0
	} else {
		copy(calendar.slots[:], calendar.slots[elapsed:])
		clear(calendar.slots[calendarSlots-elapsed:])
	}
	calendar.startedAt += elapsed * calendarSlotDuration
}

// RetryAfter returns the time after which a client that is rejected now should retry. The tenant and the session
// identify its account.
func (recovery *Recovery) RetryAfter(now clock.Nanos, tenant, session string, priorityClass int) clock.Nanos {
	recovery.Tick(now)
	now = recovery.now
	calendar := &recovery.retryCalendar
	calendar.advance(now)
	minWait, maxWait := recovery.settings.RetryAfterRange[0], recovery.settings.RetryAfterRange[1]
	var window clock.Nanos
	switch rate := recovery.sendRate(); {
	case recovery.stage < Proving: // the window ends a second after the stage's timeout
		window = recovery.stageStartedAt + recovery.settings.StageTimeouts[recovery.stage] - now + second
	case recovery.stage < Serving && rate > 0:
		window = clock.Nanos((calendar.total + 1) / rate * float64(second))
	default: // long enough at the rate of recent successes
		window = clock.Nanos((calendar.total + 1) / max(1, recovery.retryBudget.successRate()) * float64(second))
	}
	window = min(max(window, minWait), maxWait-minWait)
	classes := float64(recovery.settings.PriorityClasses)
	offset := (float64(min(max(priorityClass, 0), recovery.settings.PriorityClasses-1)) + fraction(hash(tenant, session, recovery.salt))) / classes
	wait := minWait + clock.Nanos(offset*float64(window))
	slot := min((now+wait-calendar.startedAt)/calendarSlotDuration, calendarSlots-1)
	calendar.slots[slot]++
	calendar.total++
	return wait
}

// successRate returns the number of successes in the last second.
func (budget *retryBudget) successRate() (sum float64) {
	for _, count := range budget.successes {
		sum += count
	}
	return sum
}

// hash returns a salted hash of two strings.
func hash(first, rest string, salt uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(salt)
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(first)))
	digest.Write(length[:])
	digest.WriteString(first)
	digest.WriteString(rest)
	return digest.Sum64()
}

// fraction maps a hash to a number from 0 to 1.
func fraction(hashed uint64) float64 { return float64(hashed>>11) / (1 << 53) }
