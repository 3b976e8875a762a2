package recovery

// A further attempt is paid for by successes of the last second, Ratio each: in any ten seconds there are at most Ratio times
// the successes of these and of the second before, and Floor. With Ratio under 0.2 that is less than 1.2 attempts a request,
// on each router and so over all, without a word between them. Where nothing succeeds, nothing is tried again: that breaks
// the loop in which retries keep up the overload that made them (Bronson et al. 2021, Huang et al. 2022).

const (
	parts = 10 // of the second
	part  = second / parts
)

// retries are successes by tenths of a second, and what they paid for.
type retries struct {
	at   Nanos // the newest tenth's start
	won  [parts]float64
	used [parts]float64 // of what was won in that tenth
	free float64        // of the floor
	paid Nanos          // until when the floor has grown
}

func (t *retries) move(now Nanos) {
	steps := (now - t.at) / part
	if steps <= 0 {
		return
	}
	for range min(steps, parts) {
		copy(t.won[1:], t.won[:parts-1])
		copy(t.used[1:], t.used[:parts-1])
		t.won[0], t.used[0] = 0, 0
	}
	t.at += steps * part
}

func (t *retries) success(now Nanos) {
	t.move(now)
	t.won[0]++
}

// take pays for one further attempt with the oldest successes, and failing that from the floor.
func (t *retries) take(now Nanos, ratio, floor float64) bool {
	t.move(now)
	t.free, t.paid = min(1, t.free+floor*float64(now-t.paid)/float64(second)), now
	left := 0.0
	for i := range t.won {
		left += ratio*t.won[i] - t.used[i]
	}
	if left < 1-1e-9 {
		if t.free < 1 {
			return false
		}
		t.free--
		return true
	}
	need := 1.0
	for i := parts - 1; i >= 0 && need > 0; i-- {
		pay := min(need, max(0, ratio*t.won[i]-t.used[i]))
		t.used[i] += pay
		need -= pay
	}
	return true
}

// times remembers the least that answers of a server's class have lately taken: what is left of a request's time must be as
// much, or the work is for nobody. Without answers for two seconds nothing is known; and one in each tenth of a second finds
// out whether it is better by now.
type times struct {
	most  int
	known map[place]*took
	order []place // by first sight; the oldest goes when all places are taken
}

type place struct {
	server uint32
	class  int
}

type took struct {
	from          Nanos // of the present second
	least, before Nanos // 0: none
	tried         Nanos
}

func newTimes(most int) times { return times{most: most, known: map[place]*took{}} }

func (t *times) add(now Nanos, server uint32, class int, span Nanos) {
	key := place{server, class}
	e := t.known[key]
	if e == nil {
		if len(t.order) >= t.most {
			delete(t.known, t.order[0])
			t.order = append(t.order[:0], t.order[1:]...)
		}
		e = &took{from: now}
		t.known[key] = e
		t.order = append(t.order, key)
	}
	e.turn(now)
	if span = max(1, span); e.least == 0 || span < e.least {
		e.least = span
	}
}

func (e *took) turn(now Nanos) {
	switch age := now - e.from; {
	case age < second:
	case age < 2*second:
		e.from, e.before, e.least = e.from+second, e.least, 0
	default:
		e.from, e.before, e.least = now, 0, 0
	}
}

func (t *times) late(now Nanos, a Attempt) bool {
	e := t.known[place{a.Server, a.Class}]
	if e == nil {
		return a.Until <= now
	}
	e.turn(now)
	least := e.least
	if e.before > 0 && (least == 0 || e.before < least) {
		least = e.before
	}
	if now+least < a.Until {
		return false
	}
	if a.Until > now && now-e.tried >= part {
		e.tried = now
		return false
	}
	return true
}
