package emulator

import (
	"sync"
	"time"
)

// Rate counts events in intervals of 100 ms, to find the maximum rate per second in a time span. It counts for an hour.
type Rate struct {
	mu    sync.Mutex
	start time.Time
	parts []int
}

const (
	ratePart = 100 * time.Millisecond
	maxRate  = 36_000 // number of intervals
)

// add counts an event.
func (rate *Rate) add() {
	rate.mu.Lock()
	defer rate.mu.Unlock()
	if rate.start.IsZero() {
		rate.start = time.Now()
	}
	index := int(time.Since(rate.start) / ratePart)
	for len(rate.parts) <= index && index < maxRate {
		rate.parts = append(rate.parts, 0)
	}
	if index < len(rate.parts) {
		rate.parts[index]++
	}
}

// Max returns the maximum number of events in any second of a time span, to a tenth of a second.
func (rate *Rate) Max(from, to time.Time) (highest int) {
	rate.mu.Lock()
	defer rate.mu.Unlock()
	if rate.start.IsZero() {
		return 0
	}
	first, last := int(from.Sub(rate.start)/ratePart), int(to.Sub(rate.start)/ratePart)
	for index := max(0, first); index <= last && index < len(rate.parts); index++ {
		total := 0
		for _, count := range rate.parts[index:min(index+10, len(rate.parts), last+1)] {
			total += count
		}
		highest = max(highest, total)
	}
	return highest
}

// Rates contains the rates of dials, probes and sends to data servers and of requests for the whole endpoint list.
type Rates struct{ Dials, Probes, Lists, Sends Rate }
