package admission

// window counts what was taken within the last second. The second is cut into
// parts; one part more than a second is kept, so that in no second more is taken
// than the count allows, wherever the second begins.
type window struct {
	parts [parts + 1]uint16
	at    int64 // the number of the newest part since time 0
}

const (
	parts    = 10
	part     = Nanos(1e9 / parts)
	mostRate = 1<<16 - 1
)

// move forgets what is over a second old.
func (w *window) move(now Nanos) {
	n := now / part
	if n <= w.at { // a clock that stands or goes back forgets nothing
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

func (w *window) count(now Nanos) int {
	w.move(now)
	sum := 0
	for _, n := range w.parts {
		sum += int(n)
	}
	return sum
}

func (w *window) add(now Nanos) {
	w.move(now)
	if p := &w.parts[w.at%(parts+1)]; *p < mostRate {
		*p++
	}
}

// wait is how long it takes from now until fewer than most are counted.
func (w *window) wait(now Nanos, most int) Nanos {
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
