package balance

import (
	"cmp"
	"slices"

	"lotushook/policy/clock"
	"lotushook/policy/decay"
	"lotushook/policy/outlier"
	"lotushook/policy/slowstart"
	"lotushook/policy/timequeue"
)

// endpoint is the router's view of one data server.
type endpoint struct {
	id             EndpointID
	group          *group
	zone           string
	weight         float64 // size relative to the default endpoint
	state          EndpointState
	listedRemoved  bool        // the endpoint list shows it as removed
	listedPrimary  bool        // the endpoint list marks it as the primary
	role           Role        // last role that the endpoint reported
	position       LogPosition // highest position that the endpoint reported
	positionAt     clock.Nanos // when a position was last reported
	searchedAt     clock.Nanos // when the primary search last tried it, or it rejected a write; 0: never
	connectedUntil clock.Nanos // until then an idle connection to it probably exists
	probing        bool
	attempts       []*attempt // attempts in flight
	limit          float64    // limit on attempts in flight from this router
	health         outlier.Health
	warmUp         slowstart.Window

	startedAt, answeredAt clock.Nanos // when it last started, and when it last answered
}

// group is one replication group: a primary and its replicas.
type group struct {
	id              int64
	endpoints       []*endpoint // by id
	primary         *endpoint   // endpoint last named as primary by the endpoint list or an answer; nil: unknown
	primaryPosition LogPosition // highest position of an answer that named the primary
	queues          []timequeue.Queue[*request]
	load            decay.Mean // recent response times, as shares of their latency objectives
	demand          slowstart.Demand
	placementDue    bool     // a queued request may have become placeable
	search          *attempt // last write sent to an endpoint that was not known to be the primary

	nextSearchAt, nextProbeAt clock.Nanos
}

func (lb *Balancer) updateEndpoints(event *Event) {
	first := len(lb.groups.endpoints) == 0
	listed := map[EndpointID]bool{}
	for i := range event.Endpoints {
		listed[event.Endpoints[i].ID] = true
		lb.updateEndpoint(&event.Endpoints[i])
	}
	for _, group := range lb.groups.order {
		for _, ep := range group.endpoints {
			if event.Kind == EndpointSnapshot && !listed[ep.id] {
				lb.setState(ep, Removed)
			}
		}
		group.endpoints = slices.DeleteFunc(group.endpoints, lb.evictStale)
		group.placementDue = true
	}
	if first && lb.settings.WatchRequired {
		lb.emit(Action{Kind: WatchEndpoints})
	}
}

// evictStale drops an endpoint that is removed and long silent, so that replaced ones do not accumulate.
func (lb *Balancer) evictStale(ep *endpoint) bool {
	silent := lb.now-ep.answeredAt > retentionDeadlines*lb.maxDeadline
	stale := ep.listedRemoved && silent && len(ep.attempts) == 0 && ep != ep.group.primary
	if stale {
		delete(lb.groups.endpoints, ep.id)
	}
	return stale
}

func (lb *Balancer) updateEndpoint(listed *Endpoint) {
	ep := lb.groups.endpoints[listed.ID]
	if ep == nil {
		ep = lb.addEndpoint(listed)
	}
	ep.zone, ep.weight = listed.Zone, cmp.Or(max(listed.Weight, 0), 1)
	if listed.StartedAt > ep.startedAt {
		ep.startedAt = listed.StartedAt
		ep.health.Restarted(lb.now)
		ep.warmUp.Reset()
	}
	lb.setState(ep, listed.State)
	lb.setListedRole(ep, listed.Primary)
}

func (lb *Balancer) addEndpoint(listed *Endpoint) *endpoint {
	limit := max(minLimit, initialLimit/lb.slowStart.RouterCount())
	health := outlier.New(&lb.outlierSettings, initialLoad)
	ep := &endpoint{id: listed.ID, group: lb.group(listed.Group), limit: limit, health: health,
		answeredAt: lb.now}
	lb.groups.endpoints[listed.ID] = ep
	ep.group.endpoints = append(ep.group.endpoints, ep)
	slices.SortFunc(ep.group.endpoints, func(x, y *endpoint) int { return cmp.Compare(x.id, y.id) })
	return ep
}

// setState applies a state from the endpoint list. Draining and removal take effect within the same step.
func (lb *Balancer) setState(ep *endpoint, state EndpointState) {
	ep.listedRemoved = state == Removed
	if state != Removed || !lb.settings.SoftRemoval || ep.state != Ready {
		ep.state = state
	}
	if ep.state != Ready && ep.group.primary == ep {
		ep.group.primary = nil
	}
}

// setListedRole uses the list's mark of the primary only if no answer has named a healthy primary.
func (lb *Balancer) setListedRole(ep *endpoint, primary bool) {
	group, newlyMarked := ep.group, primary && !ep.listedPrimary
	ep.listedPrimary = primary
	outdated := lb.settings.RoleVisibility == RoleAtStart && lb.requests.sequence > 0
	if !newlyMarked || outdated || lb.settings.RoleVisibility == RoleHidden || ep.state != Ready {
		return
	}
	if group.primary == nil || group.primary.health.Ejected() {
		group.primary = ep
	}
}

// recordReport stores the role and log position that an endpoint reported. A position never decreases.
func (lb *Balancer) recordReport(ep *endpoint, role Role, position LogPosition) {
	group := ep.group
	group.placementDue = true
	if position > 0 {
		ep.position, ep.positionAt = max(ep.position, position), lb.now
	}
	if role != RoleUnknown {
		ep.role = role
	}
	switch {
	case role == Primary && ep.state == Ready && (group.primary == nil || ep.position >= group.primaryPosition):
		if group.primary != ep {
			lb.log(ReasonPrimaryDetected, ep, "group %d: endpoint %d is the primary", group.id, ep.id)
		}
		group.primary, group.primaryPosition = ep, max(group.primaryPosition, position)
	case role == Replica && group.primary == ep:
		lb.log(ReasonPrimaryDemoted, ep, "group %d: endpoint %d is no longer primary", group.id, ep.id)
		group.primary = nil
	}
}
