package recovery

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"lotushook/policy/clock"
)

// Retry-After times are spread over the time that the rejected clients need: as many as were rejected and are not back yet, at the rate
// at which this router sends. A better priority class has the earlier part of that span; within its part an account's place follows
// from its hash, salted by this start, so that no account is always the last and all of one account's connections return together.

const (
	calendarSlots = 64 // spans in which the rejected are counted
	slotSpan      = second / 8
)

// retryAfterCalendar counts the rejected clients by when they return.
type retryAfterCalendar struct {
	startsAt clock.Nanos
	slots    [calendarSlots]float64
	sum      float64
}

func (b *retryAfterCalendar) advance(now clock.Nanos) {
	steps := (now - b.startsAt) / slotSpan
	if steps <= 0 {
		return
	}
	for i := range min(steps, calendarSlots) {
		b.sum -= b.slots[i]
	}
	if steps >= calendarSlots {
		b.slots = [calendarSlots]float64{}
		b.sum = 0
	} else {
		copy(b.slots[:], b.slots[steps:])
		clear(b.slots[calendarSlots-steps:])
	}
	b.startsAt += steps * slotSpan
}

// RetryAfter is how long a client of an account should stay away that is rejected now.
func (r *Recovery) RetryAfter(now clock.Nanos, tenant, session string, lane int) clock.Nanos {
	r.Tick(now)
	now = r.now
	b := &r.retryAfters
	b.advance(now)
	least, most := r.settings.RetryAfterRange[0], r.settings.RetryAfterRange[1]
	var span clock.Nanos
	switch rate := r.sendRate(); {
	case r.stage < Proving: // until it may send at all, and then over a second
		span = r.stageSince + r.settings.StageTimeouts[r.stage] - now + second
	case r.stage < Serving && rate > 0:
		span = clock.Nanos((b.sum + 1) / rate * float64(second))
	default: // its recent rate of successes
		span = clock.Nanos((b.sum + 1) / max(1, r.retries.successRate()) * float64(second))
	}
	span = min(max(span, least), most-least)
	lanes := float64(r.settings.PriorityClasses)
	at := (float64(min(max(lane, 0), r.settings.PriorityClasses-1)) + fraction(hash(tenant, session, r.salt))) / lanes
	wait := least + clock.Nanos(at*float64(span))
	i := min((now+wait-b.startsAt)/slotSpan, calendarSlots-1)
	b.slots[i]++
	b.sum++
	return wait
}

// successRate is how many successes there were in the last second.
func (t *retryBudget) successRate() (sum float64) {
	for _, n := range t.successes {
		sum += n
	}
	return sum
}

// hash is of two names and a salt.
func hash(a, b string, salt uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(salt)
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(a)))
	d.Write(n[:])
	d.WriteString(a)
	d.WriteString(b)
	return d.Sum64()
}

// fraction is from 0 to 1.
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }
