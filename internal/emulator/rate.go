package emulator

import (
	"sync"
	"time"
)

// Rate counts what comes by tenths of a second, for the most in any second of a span. It is bounded by an hour.
type Rate struct {
	mu    sync.Mutex
	start time.Time
	parts []int
}

const (
	ratePart = 100 * time.Millisecond
	maxRate  = 36_000
)

func (r *Rate) add() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start.IsZero() {
		r.start = time.Now()
	}
	i := int(time.Since(r.start) / ratePart)
	for len(r.parts) <= i && i < maxRate {
		r.parts = append(r.parts, 0)
	}
	if i < len(r.parts) {
		r.parts[i]++
	}
}

// Max is the most that came in any second of a span, to a tenth of a second.
func (r *Rate) Max(from, to time.Time) (most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start.IsZero() {
		return 0
	}
	first, last := int(from.Sub(r.start)/ratePart), int(to.Sub(r.start)/ratePart)
	for i := max(0, first); i <= last && i < len(r.parts); i++ {
		sum := 0
		for _, n := range r.parts[i:min(i+10, len(r.parts), last+1)] {
			sum += n
		}
		most = max(most, sum)
	}
	return most
}

// Rates are what reaches a fleet from outside.
type Rates struct{ Dials, Probes, Lists, Sends Rate }
