package balance

// Reason says why an action was taken. It serves metrics and logs only; no decision depends on it.
type Reason int

// The reasons.
const (
	ReasonNormal Reason = iota

	// Reasons of an attempt. If several apply, the first one is reported.
	ReasonPrimarySearch // sent to an endpoint that may be the primary, as none is known
	ReasonCanary        // canary request, which finds out whether an ejected endpoint has recovered
	ReasonSlowStart     // sent to an endpoint that is warming up

	// Reasons of a rejection or a failure.
	ReasonUnknownClass       // the class is not in the settings
	ReasonGroupOverloaded    // the group's responses are already too slow
	ReasonNoPrimary          // expired in the queue: no primary was known
	ReasonPrimaryUnavailable // expired in the queue: the primary was ejected, paused or in a zone outage
	ReasonPrimaryAtLimit     // expired in the queue: the primary was at its concurrency limit
	ReasonNoReplica          // expired in the queue: no endpoint of the group was usable
	ReasonReplicasAtLimit    // expired in the queue: all usable endpoints were at their limits, or lagged too far
	ReasonRetriesExhausted   // an attempt failed, and no retry was allowed
	ReasonTooLate            // an attempt failed, and too little time was left for a retry
	ReasonRetrySuppressed    // an attempt failed, and the group was too overloaded for a retry

	// Reasons of a log line about Endpoint.
	ReasonEjected
	ReasonRecovered
	ReasonPrimaryDetected
	ReasonPrimaryDemoted

	// ReasonCount is the number of reasons.
	ReasonCount = iota
)

// reasonNames must not change, because tools parse them from logs and totals.
var reasonNames = [ReasonCount]string{"usual", "finding", "trial", "warming", "unknown", "crowd", "no_primary",
	"primary_away", "primary_full", "no_replica", "full", "spent", "late", "jammed", "suspected", "recovered", "named",
	"denied"}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// sendReason returns why an attempt of a request goes to an endpoint.
func (lb *Balancer) sendReason(req *request, ep *endpoint) Reason {
	search := ep.group.search
	switch {
	case search != nil && search.request == req && !search.ended:
		return ReasonPrimarySearch
	case ep.health.Ejected():
		return ReasonCanary
	case lb.warmth(ep) < 1:
		return ReasonSlowStart
	}
	return ReasonNormal
}

// queuedReason returns why a request expired in the queue.
func (lb *Balancer) queuedReason(req *request) Reason {
	if lb.classOf(req).Consistency >= FreshRead {
		return lb.primaryReason(req.group.primary)
	}
	for _, ep := range req.group.endpoints {
		if lb.usable(ep) {
			return ReasonReplicasAtLimit
		}
	}
	return ReasonNoReplica
}

func (lb *Balancer) primaryReason(primary *endpoint) Reason {
	switch {
	case primary == nil:
		return ReasonNoPrimary
	case !lb.usable(primary):
		return ReasonPrimaryUnavailable
	}
	return ReasonPrimaryAtLimit
}

// noRetryReason returns why a failed attempt is not retried.
func (lb *Balancer) noRetryReason(req *request) Reason {
	switch {
	case !lb.mayRetry(req, nil):
		return ReasonRetriesExhausted
	case lb.now >= lb.startDeadline(req):
		return ReasonTooLate
	}
	return ReasonRetrySuppressed
}
