package recovery

import "math"

// Seen takes the others as membership sees them. Who is not among them, or was not heard by this router itself, counts as
// returning: it can't be known.
func (r *Recovery) Seen(now Nanos, peers []Peer) {
	serve, news := 0, 0
	for _, p := range peers {
		if p.Name == r.set.Name || !p.Up || !p.Own {
			continue
		}
		if news++; p.Boot < r.set.Boot && r.set.Boot-p.Boot > uint64(r.set.Together) {
			serve++
		}
	}
	if r.stage < Serving {
		r.back = max(1, r.set.Routers-serve)
		r.viewed = 2*(news+1) > r.set.Routers
	} else if n := r.coming(now, peers); n > 0 {
		r.back, r.till = n, now+r.set.Together
	}
	r.Tick(now)
}

// coming are the routers that a serving one sees start after itself, a short while ago on its own clock.
func (r *Recovery) coming(now Nanos, peers []Peer) int {
	n := 0
	for _, p := range peers {
		if p.Name != r.set.Name && p.Up && p.Boot > r.set.Boot && p.Boot-r.set.Boot > uint64(max(0, now-r.started-r.set.Together)) {
			n++
		}
	}
	return n
}

// part is this router's of each budget. An even part of all that are configured is right whatever is seen or not. Who serves
// needs less beside those that return, and these take what is left over, but no more than Slack times an even part: views
// may be wrong, and all of them at once.
func (r *Recovery) part() float64 {
	n := float64(r.set.Routers)
	times := 1.0
	switch {
	case r.set.trusting && r.stage < Serving:
		return 1 / float64(r.back)
	case r.stage < Serving:
		times = min(r.set.Slack, (float64(r.back)+(1-r.set.Keep)*(n-float64(r.back)))/float64(r.back))
	case r.now < r.till:
		times = r.set.Keep
	}
	return times / n
}

// Part is this router's part of each budget now.
func (r *Recovery) Part(now Nanos) float64 {
	r.Tick(now)
	return r.part()
}

// admits says whether a stage admits a kind at all.
func admits(s Stage, k Kind) bool {
	switch k {
	case List, CatchUp:
		return true
	case Dial, Probe:
		return s >= Fed
	}
	return s >= Proving
}

// Allow is asked before a dial, a probe, a list call or a piece of catch-up: it may be done after wait, and that turn is then
// taken; or it is denied, and wait says when to ask again. A turn that comes later than most is denied and not taken: else those
// that can't wait for theirs would use up all. A turn is never saved up: each router's come at even spans, from a
// phase that its name and start draw, so that many which want something at once do it one after the other.
func (r *Recovery) Allow(now Nanos, k Kind, most Nanos) (wait Nanos, why Reason) {
	r.Tick(now)
	now = r.now
	if !admits(r.stage, k) {
		r.counts[Early]++
		return max(1, r.since+r.set.Bounds[r.stage]-now), Early
	}
	if r.set.Budgets[k] == 0 {
		return 0, Free
	}
	span := second
	if rate := r.set.Budgets[k] * r.part(); rate > 0 {
		span = Nanos(math.Ceil(float64(second) / rate))
	} else {
		span = 3600 * second // nothing is kept: practically never
	}
	first := r.started + Nanos(r.phase[k]*float64(span))
	from := max(now, r.last[k]+1, first)
	at := first + (from-first+span-1)/span*span
	if at-r.last[k] < span { // the span was another one then
		at = r.last[k] + span
	}
	if most = min(most, r.set.Longest); at-now > most {
		r.counts[Budget]++
		return max(1, at-now-most/2), Budget // asked exactly then, it would be a moment late for its turn
	}
	r.last[k] = at
	return at - now, Free
}

// Send is asked before an attempt goes to the wire. What it denies was not sent.
func (r *Recovery) Send(now Nanos, a Attempt) Reason {
	r.Tick(now)
	why := r.judge(r.now, a)
	r.counts[why]++
	return why
}

func (r *Recovery) judge(now Nanos, a Attempt) Reason {
	if !admits(r.stage, Send) {
		return Early
	}
	if r.times.late(now, a) {
		return Late
	}
	if r.stage < Serving && r.set.Budgets[Send] > 0 {
		r.refill(now)
		if r.tokens < 1 {
			r.denied = now
			return Budget
		}
	}
	if a.Again && !r.retries.take(now, r.set.Ratio, r.set.Floor/float64(r.set.Routers)) {
		return Again
	}
	if r.stage < Serving {
		r.tokens--
	}
	return Free
}

// rate is how many sends a second this router has before it serves.
func (r *Recovery) rate() float64 {
	rate := r.set.Budgets[Send] * r.part()
	if r.stage == Proving {
		return rate / 4
	}
	return rate * r.ramp
}

// refill gives the sends that have become free; no more is saved than a fiftieth of a second's, or one.
func (r *Recovery) refill(now Nanos) {
	rate := r.rate()
	r.tokens = min(max(1, rate/50), r.tokens+rate*float64(now-r.tokensAt)/float64(second))
	r.tokensAt = now
}
