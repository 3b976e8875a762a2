package recovery

// Recovery is one router's. It belongs to one goroutine, or to one lock; what it holds follows from the settings.
type Recovery struct {
	set     Settings
	now     Nanos
	started Nanos
	stage   Stage
	since   Nanos // of the stage
	proven  bool  // the stage was reached by proof
	listed  bool
	fed     bool
	viewed  bool  // enough of the others are seen to say who returns
	back    int   // how many return
	till    Nanos // until then a router that serves leaves room for them
	proofs  int

	ramp      float64 // times its part of the first sends
	stepAt    Nanos   // the present step's start
	good, bad int     // ends of attempts in it
	denied    Nanos   // the last send that the budget denied
	last      [Kinds]Nanos
	phase     [Kinds]float64
	tokens    float64 // of sends
	tokensAt  Nanos
	retries   retries
	times     times
	returns   returns
	counts    [Reasons]int64
	salt      uint64
}

// New returns the recovery of a router that has just started.
func New(s Settings, now Nanos) (*Recovery, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &Recovery{set: s, now: now, started: now, since: now, proven: true, back: s.Routers, ramp: 1, tokensAt: now, times: newTimes(s.Places),
		salt: hash(s.Name, "", s.Boot)}
	for k := range r.phase {
		r.phase[k] = fraction(hash(s.Name, kindNames[k], s.Boot))
		r.last[k] = -1 << 62
	}
	r.returns.at, r.retries.at, r.retries.paid, r.stepAt, r.till = now, now, now, now, now+s.Together
	return r, nil
}

// Listed notes that a list of data servers is in hand.
func (r *Recovery) Listed(now Nanos) {
	r.listed = true
	r.Tick(now)
}

// Fed notes that this router has all that it will be fed: a peer has told it everything, or a copy on disk was read.
func (r *Recovery) Fed(now Nanos) {
	r.fed = true
	r.Tick(now)
}

// FeedLost notes that who fed this router has gone before the end. It waits for another, no longer than the bound.
func (r *Recovery) FeedLost(now Nanos) {
	if r.stage == Empty {
		r.fed = false
	}
	r.Tick(now)
}

// Ended notes how an attempt has ended: done, or not. One that was never sent is not told.
func (r *Recovery) Ended(now Nanos, a Attempt, done bool, took Nanos) {
	r.Tick(now)
	if !done {
		r.bad++
		return
	}
	r.good++
	r.proofs++
	r.retries.success(now)
	r.times.add(now, a.Server, a.Class, took)
	r.Tick(now)
}

// Tick moves on with time. Every other call does so too; before it serves, a router that has nothing else to do calls it within
// each Pause. A router that was stopped goes on where it was: what it waits for can't have come meanwhile.
func (r *Recovery) Tick(now Nanos) {
	if now < r.now { // a clock that goes back stands still here
		now = r.now
	}
	if gap := now - r.now; gap > r.set.Pause && r.stage < Serving {
		r.since += gap
		r.stepAt += gap
		r.denied += gap
		r.tokensAt += gap
	}
	r.now = now
	for r.stage < Serving {
		bound := r.since + r.set.Bounds[r.stage]
		switch {
		case r.stage == Fed && !r.set.Fellows: // there is nothing to wait for
			r.enter(Proving, r.since, true)
		case r.ends(now):
			r.enter(r.stage+1, now, true)
		case now >= bound: // from when it was over, however late this was looked at
			r.enter(r.stage+1, bound, false)
		default:
			r.climb(now)
			return
		}
	}
}

// ends says whether what the present stage waits for is proven.
func (r *Recovery) ends(now Nanos) bool {
	switch r.stage {
	case Empty:
		return r.listed && (r.fed || !r.set.Feeders)
	case Fed:
		return r.viewed
	case Proving:
		return r.proofs >= r.set.Proofs
	case Ramping:
		return r.good > 0 && now-max(r.denied, r.since) >= r.set.Calm
	}
	return false
}

func (r *Recovery) enter(s Stage, at Nanos, proven bool) {
	r.stage, r.since, r.proven, r.stepAt = s, at, proven, at
	r.proofs, r.good, r.bad = 0, 0, 0
	if s == Proving { // from nothing, by chance up to one: all that return start alike
		r.tokens, r.tokensAt = r.phase[Send], at
	}
	if s == Ramping {
		r.stepAt = at + second - r.set.Step // the first second is the budget's
	}
}

// climb doubles a ramp step by step while nearly all answers come, and halves it, not below its start, while most don't.
func (r *Recovery) climb(now Nanos) {
	if r.stage != Ramping || now-r.stepAt < r.set.Step {
		return
	}
	r.refill(now)
	switch ends := r.good + r.bad; {
	case ends == 0:
	case 5*r.good >= 4*ends:
		r.ramp *= 2
	case 2*r.good < ends:
		r.ramp = max(1, r.ramp/2)
	}
	r.stepAt, r.good, r.bad = now, min(r.good, 1), 0
}

// Stage is the present stage.
func (r *Recovery) Stage() Stage { return r.stage }

// Report says how far this router is.
func (r *Recovery) Report(now Nanos) Report {
	r.Tick(now)
	denied := map[string]int64{}
	for why, n := range r.counts {
		if n > 0 {
			denied[Reason(why).String()] = n
		}
	}
	return Report{Stage: r.stage.String(), SinceMS: (r.now - r.since) / 1e6, Returning: r.back, Part: r.part(), Proven: r.proven, Denied: denied}
}
