package admission

import "lotushook/policy/clock"

// rateWindow counts arrivals within the last second. The second is divided into
// slots; one slot more than a second is stored, so that no second has more arrivals
// than the limit allows, wherever it begins.
type rateWindow struct {
	parts [parts + 1]uint16
	at    int64 // the number of the newest slot since time 0
}

const (
	parts   = 10
	part    = clock.Nanos(1e9 / parts)
	maxRate = 1<<16 - 1
)

// advance drops the slots that are over a second old.
func (w *rateWindow) advance(now clock.Nanos) {
	n := now / part
	if n <= w.at { // a clock that stands still or goes back drops nothing
		return
	}
	if n-w.at > parts {
		w.parts = [parts + 1]uint16{}
	} else {
		for i := w.at + 1; i <= n; i++ {
			w.parts[i%(parts+1)] = 0
		}
	}
	w.at = n
}

func (w *rateWindow) count(now clock.Nanos) int {
	w.advance(now)
	sum := 0
	for _, n := range w.parts {
		sum += int(n)
	}
	return sum
}

func (w *rateWindow) add(now clock.Nanos) {
	w.advance(now)
	if p := &w.parts[w.at%(parts+1)]; *p < maxRate {
		*p++
	}
}

// wait is how long it takes from now until fewer than the limit are counted.
func (w *rateWindow) wait(now clock.Nanos, most int) clock.Nanos {
	over := w.count(now) - most + 1
	for i := w.at - parts; i <= w.at && over > 0; i++ {
		if i >= 0 {
			over -= int(w.parts[i%(parts+1)])
		}
		if over <= 0 {
			return max((i+parts+1)*part-now, 0)
		}
	}
	return 0
}
