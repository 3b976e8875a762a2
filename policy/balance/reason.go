package balance

// Reason says why an action was taken: for counts, logs and people. Nothing follows from it.
type Reason int

// The reasons.
const (
	ReasonNormal Reason = iota

	// Of an attempt; the first that holds.
	ReasonPrimarySearch // to whoever may be the primary, as none is known
	ReasonCanary        // to an ejected endpoint: is it back?
	ReasonSlowStart     // to an endpoint that is warming up

	// Of a rejection or a failure.
	ReasonUnknownClass       // the class is not in the settings
	ReasonGroupOverloaded    // its group answers too late as it is
	ReasonNoPrimary          // queued to the end of its time: no primary was known
	ReasonPrimaryUnavailable // queued: the primary was ejected, paused or in a zone outage
	ReasonPrimaryAtLimit     // queued: the primary was at its limit
	ReasonNoReplica          // queued: no member was usable
	ReasonReplicasAtLimit    // queued: the members that were usable were at their limits, or too far behind
	ReasonRetriesExhausted   // an attempt failed, and no other was allowed
	ReasonTooLate            // an attempt failed, and the time was over
	ReasonRetrySuppressed    // an attempt failed in an overload

	// Of a line for the operators, about Endpoint.
	ReasonSuspected // it was ejected
	ReasonRecovered
	ReasonPrimaryNamed
	ReasonPrimaryDenied

	// ReasonCount is how many there are.
	ReasonCount = iota
)

// reasonNames are read by tools, in logs and totals, and stay as they are.
var reasonNames = [ReasonCount]string{"usual", "finding", "trial", "warming", "unknown", "crowd", "no_primary",
	"primary_away", "primary_full", "no_replica", "full", "spent", "late", "jammed", "suspected", "recovered", "named",
	"denied"}

// String is the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// sendReason is why a request goes to an endpoint.
func (b *Balancer) sendReason(r *request, ep *endpoint) Reason {
	search := ep.group.search
	switch {
	case search != nil && search.request == r && !search.ended:
		return ReasonPrimarySearch
	case ep.health.Ejected():
		return ReasonCanary
	case b.warmth(ep) < 1:
		return ReasonSlowStart
	}
	return ReasonNormal
}

// queuedReason is why a request was never placed before its time was over.
func (b *Balancer) queuedReason(r *request) Reason {
	if b.classOf(r).Consistency >= FreshRead {
		return b.primaryReason(r.group.primary)
	}
	for _, ep := range r.group.members {
		if b.usable(ep) {
			return ReasonReplicasAtLimit
		}
	}
	return ReasonNoReplica
}

func (b *Balancer) primaryReason(primary *endpoint) Reason {
	switch {
	case primary == nil:
		return ReasonNoPrimary
	case !b.usable(primary):
		return ReasonPrimaryUnavailable
	}
	return ReasonPrimaryAtLimit
}

// noRetryReason is why no attempt follows one that failed.
func (b *Balancer) noRetryReason(r *request) Reason {
	switch {
	case !b.mayRetry(r, nil):
		return ReasonRetriesExhausted
	case b.now >= b.lastStart(r):
		return ReasonTooLate
	}
	return ReasonRetrySuppressed
}
