package contract

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
)

// borrowOrQueue admits a request as borrowed, queues it for its
// turn, or leaves it rejected.
func (b *Ledger) borrowOrQueue(r Request, t *Team, v *Verdict, now clock.Nanos) {
	p, aim := b.pressure(r, now), b.settings.Classes[r.Class].LatencyObjective
	within := v.Reason == Within
	if len(p.queue) == 0 && p.hasRoom() {
		p.admit()
		*v = Verdict{Reason: Borrowed, LowPriority: true}
		if within {
			v.Reason = Within
		}
		return
	}
	until := now + aim/2
	if r.Deadline > 0 {
		until = min(until, now+(r.Deadline-now)*2/5) // a rejection past the half is charged
	}
	gone := p.enqueue(queuedRequest{Request: r, verdict: *v, until: until, within: within}, t.Weight, aim)
	b.queued[r.ID] = place{r.Group, b.settings.Classes[r.Class].Primary}
	if gone != nil && gone.ID == r.ID {
		delete(b.queued, r.ID)
		v.LowPriority = false
		return
	}
	if gone != nil {
		delete(b.queued, gone.ID)
		gone.verdict.LowPriority = false
		v.Displaced = &Turn{gone.ID, gone.verdict}
		b.recount(gone.Request, gone.verdict.Reason)
	}
	*v = Verdict{Reason: Borrowed, LowPriority: true, Queued: true, Displaced: v.Displaced}
	if within {
		v.Reason = Within
	}
}

// recount moves a request that was counted as borrowed to the reason of its rejection.
func (b *Ledger) recount(r Request, to Reason) {
	if r.Team >= 0 && r.Team < len(b.teams) {
		c := &b.teams[r.Team].classes[r.Class]
		c.ByReason[Borrowed]--
		c.ByReason[to]++
	}
}

// spreadRetryAfter sets the Retry-After time of a rejection.
func (b *Ledger) spreadRetryAfter(t *Turn) {
	if t.RetryAfter > 0 {
		t.RetryAfter = b.spread(t.RetryAfter)
	}
}

// Due returns the queued requests that are decided: admitted, or rejected because
// their deadline has passed. It should be called after each end, and a few times a
// second while any are queued.
func (b *Ledger) Due(now clock.Nanos) []Turn {
	if len(b.queued) == 0 {
		return nil
	}
	var out []Turn
	done := func(w *queuedRequest, v Verdict) {
		delete(b.queued, w.ID)
		out = append(out, Turn{w.ID, v})
	}
	for _, k := range b.queuedPlaces() {
		p := b.pressures[k]
		p.advance(now, b.settings.HighPressure, b.settings.LowPressure)
		for w := p.dequeue(); w != nil; w = p.dequeue() {
			done(w, Verdict{Reason: Borrowed, LowPriority: true})
		}
		for w := p.dequeueExpired(now); w != nil; w = p.dequeueExpired(now) {
			if w.within {
				p.admit()
				done(w, Verdict{Reason: Within, LowPriority: true})
				continue
			}
			w.verdict.LowPriority = false
			t := Turn{w.ID, w.verdict}
			b.spreadRetryAfter(&t)
			b.recount(w.Request, t.Reason)
			done(w, t.Verdict)
		}
	}
	return out
}

// QueuedCount is how many requests are queued.
func (b *Ledger) QueuedCount() int { return len(b.queued) }

// Abandon removes a queued request whose client has left. It says whether it was queued.
func (b *Ledger) Abandon(id string) bool {
	k, ok := b.queued[id]
	if !ok {
		return false
	}
	delete(b.queued, id)
	p := b.pressures[k]
	p.queue = slices.DeleteFunc(p.queue, func(w queuedRequest) bool { return w.ID == id })
	return true
}

// queuedPlaces are the places with queued requests, in order.
func (b *Ledger) queuedPlaces() []place {
	b.scratch = b.scratch[:0]
	for k, p := range b.pressures {
		if len(p.queue) > 0 {
			b.scratch = append(b.scratch, k)
		}
	}
	slices.SortFunc(b.scratch, func(x, y place) int {
		if x.group != y.group {
			return cmp.Compare(x.group, y.group)
		}
		if x.primary == y.primary {
			return 0
		}
		if x.primary {
			return -1
		}
		return 1
	})
	return b.scratch
}
