package recovery

import (
	"math"

	"lotushook/policy/clock"
)

// UpdatePeers takes the peers from membership. A router that is not among them, or was not heard directly, counts as
// returning, as it may be.
func (r *Recovery) UpdatePeers(now clock.Nanos, peers []Peer) {
	serve, news := 0, 0
	for _, p := range peers {
		if p.Name == r.settings.Name || !p.Alive || !p.HeardDirectly {
			continue
		}
		if news++; p.Epoch < r.settings.Epoch && r.settings.Epoch-p.Epoch > uint64(r.settings.RestartWindow) {
			serve++
		}
	}
	if r.stage < Serving {
		r.returning = max(1, r.settings.Routers-serve)
		r.seesMajority = 2*(news+1) > r.settings.Routers
	} else if n := r.returningPeers(now, peers); n > 0 {
		r.returning, r.peersReturnUntil = n, now+r.settings.RestartWindow
	}
	r.Tick(now)
}

// returningPeers are the routers that a serving router sees start after itself, a short while ago on its own clock.
func (r *Recovery) returningPeers(now clock.Nanos, peers []Peer) int {
	n := 0
	for _, p := range peers {
		if p.Name != r.settings.Name && p.Alive && p.Epoch > r.settings.Epoch && p.Epoch-r.settings.Epoch > uint64(max(0, now-r.started-r.settings.RestartWindow)) {
			n++
		}
	}
	return n
}

// share is this router's share of each budget. An even share of all configured routers is right whatever is seen. A serving router
// needs less while others return, and these take the rest, but no more than MaxShareFactor times an even share: views
// may be wrong, and all of them at once.
func (r *Recovery) share() float64 {
	n := float64(r.settings.Routers)
	times := 1.0
	switch {
	case r.settings.trustViews && r.stage < Serving:
		return 1 / float64(r.returning)
	case r.stage < Serving:
		times = min(r.settings.MaxShareFactor, (float64(r.returning)+(1-r.settings.ServingShare)*(n-float64(r.returning)))/float64(r.returning))
	case r.now < r.peersReturnUntil:
		times = r.settings.ServingShare
	}
	return times / n
}

// Share is this router's share of each budget now.
func (r *Recovery) Share(now clock.Nanos) float64 {
	r.Tick(now)
	return r.share()
}

// admits says whether a stage permits a kind at all.
func admits(s Stage, k Kind) bool {
	switch k {
	case ListCall, CatchUp:
		return true
	case Dial, Probe:
		return s >= Restored
	}
	return s >= Proving
}

// Allow is called before a dial, a probe, a list call or a piece of catch-up: it may be done after wait, and its slot is then
// reserved; or it is denied, and wait says when to ask again. A slot later than most is denied and not reserved: else callers
// that can't wait for theirs would use all of them up. Slots are not saved up: each router's are evenly spaced, with a
// phase drawn from its name and start, so that many routers that start together act one after the other.
func (r *Recovery) Allow(now clock.Nanos, k Kind, most clock.Nanos) (wait clock.Nanos, why Reason) {
	r.Tick(now)
	now = r.now
	if !admits(r.stage, k) {
		r.counts[TooEarly]++
		return max(1, r.stageSince+r.settings.StageTimeouts[r.stage]-now), TooEarly
	}
	if r.settings.Budgets[k] == 0 {
		return 0, Allowed
	}
	var span clock.Nanos
	if rate := r.settings.Budgets[k] * r.share(); rate > 0 {
		span = clock.Nanos(math.Ceil(float64(second) / rate))
	} else {
		span = 3600 * second // no share: practically never
	}
	first := r.started + clock.Nanos(r.phase[k]*float64(span))
	from := max(now, r.lastTurn[k]+1, first)
	at := first + (from-first+span-1)/span*span
	if at-r.lastTurn[k] < span { // the span was different then
		at = r.lastTurn[k] + span
	}
	if most = min(most, r.settings.MaxWait); at-now > most {
		r.counts[OverBudget]++
		return max(1, at-now-most/2), OverBudget // if called exactly then, it would be a moment late for its slot
	}
	r.lastTurn[k] = at
	return at - now, Allowed
}

// AllowSend is called before an attempt is sent. What it denies was not sent.
func (r *Recovery) AllowSend(now clock.Nanos, a Attempt) Reason {
	r.Tick(now)
	why := r.checkSend(r.now, a)
	r.counts[why]++
	return why
}

func (r *Recovery) checkSend(now clock.Nanos, a Attempt) Reason {
	if !admits(r.stage, Send) {
		return TooEarly
	}
	if r.responseTimes.isTooLate(now, a) {
		return TooLate
	}
	if r.stage < Serving && r.settings.Budgets[Send] > 0 {
		r.refill(now)
		if r.tokens < 1 {
			r.deniedAt = now
			return OverBudget
		}
	}
	if a.IsRetry && !r.retries.take(now, r.settings.RetryRatio, r.settings.MinRetryRate/float64(r.settings.Routers)) {
		return RetryLimited
	}
	if r.stage < Serving {
		r.tokens--
	}
	return Allowed
}

// sendRate is how many sends a second this router has before it serves.
func (r *Recovery) sendRate() float64 {
	rate := r.settings.Budgets[Send] * r.share()
	if r.stage == Proving {
		return rate / 4
	}
	return rate * r.ramp
}

// refill adds the sends that are due; no more are saved than a fiftieth of a second's, or one.
func (r *Recovery) refill(now clock.Nanos) {
	rate := r.sendRate()
	r.tokens = min(max(1, rate/50), r.tokens+rate*float64(now-r.tokensAt)/float64(second))
	r.tokensAt = now
}
