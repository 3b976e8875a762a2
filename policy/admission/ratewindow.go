package admission

import "lotushook/policy/clock"

// rateWindow counts the arrivals within the last second by slots of a tenth of a second. It stores one slot more than a
// second has, so that the limit holds for any period of one second, even if that begins in the middle of a slot.
type rateWindow struct {
	slots      [slotsPerSecond + 1]uint16
	newestSlot int64 // number of the current slot, counted from time 0
}

const (
	slotsPerSecond = 10
	slotDuration   = clock.Nanos(1e9 / slotsPerSecond)
	maxRate        = 1<<16 - 1
)

// advance clears the slots that are over a second old.
func (window *rateWindow) advance(now clock.Nanos) {
	slot := now / slotDuration
	if slot <= window.newestSlot { // a clock that stands still or goes back clears nothing
		return
	}
	if slot-window.newestSlot > slotsPerSecond {
		window.slots = [slotsPerSecond + 1]uint16{}
	} else {
		for expired := window.newestSlot + 1; expired <= slot; expired++ {
			window.slots[expired%(slotsPerSecond+1)] = 0
		}
	}
	window.newestSlot = slot
}

// count returns the arrivals within the last second.
func (window *rateWindow) count(now clock.Nanos) int {
	window.advance(now)
	sum := 0
	for _, arrivals := range window.slots {
		sum += int(arrivals)
	}
	return sum
}

// add counts an arrival.
func (window *rateWindow) add(now clock.Nanos) {
	window.advance(now)
	if counter := &window.slots[window.newestSlot%(slotsPerSecond+1)]; *counter < maxRate {
		*counter++
	}
}

// wait returns the time from now until the count falls below the limit.
func (window *rateWindow) wait(now clock.Nanos, limit int) clock.Nanos {
	excess := window.count(now) - limit + 1
	for slot := window.newestSlot - slotsPerSecond; slot <= window.newestSlot && excess > 0; slot++ {
		if slot >= 0 {
			excess -= int(window.slots[slot%(slotsPerSecond+1)])
		}
		if excess <= 0 {
			return max((slot+slotsPerSecond+1)*slotDuration-now, 0)
		}
	}
	return 0
}
