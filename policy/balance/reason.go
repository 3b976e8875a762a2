package balance

// What these say goes into counts and logs. No decision asks them.

var reasons = [...]string{"usual", "finding", "trial", "warming", "unknown", "crowd", "no_primary", "primary_away",
	"primary_full", "no_replica", "full", "spent", "late", "jammed", "suspected", "recovered", "named", "denied"}

// String is the reason's name in logs.
func (r Reason) String() string { return reasons[r] }

// Reasons is how many there are.
const Reasons = len(reasons)

// sending is why a request goes to a node.
func (b *Balancer) sending(r *request, n *node) Reason {
	switch {
	case n.g.canary != nil && n.g.canary.r == r && !n.g.canary.done:
		return Finding
	case n.suspect:
		return Trial
	case b.warmth(n) < 1:
		return Warming
	}
	return Usual
}

// held is why a request was never placed before its time was over.
func (b *Balancer) held(r *request) Reason {
	p, usable := r.g.primary, 0
	if b.set.Classes[r.c].Read >= Fresh {
		switch {
		case p == nil:
			return NoPrimary
		case !b.usable(p):
			return PrimaryAway
		}
		return PrimaryFull
	}
	for _, n := range r.g.members {
		if b.usable(n) {
			usable++
		}
	}
	if usable == 0 {
		return NoReplica
	}
	return Full
}

// spent is why no attempt follows one that failed.
func (b *Balancer) spent(r *request) Reason {
	switch {
	case !b.mayRepeat(r, nil):
		return Spent
	case b.now >= b.lastStart(r):
		return Late
	}
	return Jammed
}
