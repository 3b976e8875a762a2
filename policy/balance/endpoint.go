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

// endpoint is one data server as this router knows it.
type endpoint struct {
	id             EndpointID
	group          *group
	zone           string
	weight         float64 // size against the usual endpoint
	state          EndpointState
	withdrawn      bool // the list calls it removed
	listedPrimary  bool // the list calls it primary
	role           Role // by its own word
	position       LogPosition
	positionAt     clock.Nanos // when position was reported
	searchedAt     clock.Nanos // sent a write to find the primary, or said that it is none; 0: neither
	connectedUntil clock.Nanos // an idle connection to it is likely until then
	probing        bool
	attempts       []*attempt // in flight
	limit          float64    // of attempts in flight
	health         outlier.Health
	warmUp         slowstart.Window

	startedAt, answeredAt clock.Nanos // last each
}

// group is one replication group: a primary and its replicas.
type group struct {
	id              int64
	members         []*endpoint // by id
	primary         *endpoint   // last named primary by list or answers; nil: none
	primaryPosition LogPosition // of the answer that named it
	queues          []timequeue.Queue[*request]
	answers         decay.Mean // answers' shares of their latency objectives
	demand          slowstart.Demand
	changed         bool     // a queued request may be placed now
	search          *attempt // the last write that looked for the primary

	nextSearchAt, nextProbeAt clock.Nanos
}

func (b *Balancer) updateEndpoints(e *Event) {
	first := len(b.groups.endpoints) == 0
	listed := map[EndpointID]bool{}
	for i := range e.Endpoints {
		listed[e.Endpoints[i].ID] = true
		b.updateEndpoint(&e.Endpoints[i])
	}
	for _, g := range b.groups.order {
		for _, ep := range g.members {
			if e.Kind == EndpointSnapshot && !listed[ep.id] {
				b.setState(ep, Removed)
			}
		}
		g.members = slices.DeleteFunc(g.members, b.forget)
		g.changed = true
	}
	if first && b.settings.WatchRequired {
		b.act(Action{Kind: WatchEndpoints})
	}
}

// forget drops an endpoint that was withdrawn and long silent, so that replaced ones do not accumulate.
func (b *Balancer) forget(ep *endpoint) bool {
	silent := b.now-ep.answeredAt > sessionDeadlines*b.maxDeadline
	old := ep.withdrawn && silent && len(ep.attempts) == 0 && ep != ep.group.primary
	if old {
		delete(b.groups.endpoints, ep.id)
	}
	return old
}

func (b *Balancer) updateEndpoint(e *Endpoint) {
	ep := b.groups.endpoints[e.ID]
	if ep == nil {
		ep = b.addEndpoint(e)
	}
	ep.zone, ep.weight = e.Zone, cmp.Or(max(e.Weight, 0), 1)
	if e.StartedAt > ep.startedAt {
		ep.startedAt = e.StartedAt
		ep.health.Restarted(b.now)
		ep.warmUp.Reset()
	}
	b.setState(ep, e.State)
	b.setListedRole(ep, e.Primary)
}

func (b *Balancer) addEndpoint(e *Endpoint) *endpoint {
	limit := max(minLimit, initialLimit/b.slowStart.RouterCount())
	health := outlier.New(&b.outliers, initialLoad)
	ep := &endpoint{id: e.ID, group: b.group(e.Group), limit: limit, health: health, answeredAt: b.now}
	b.groups.endpoints[e.ID] = ep
	ep.group.members = append(ep.group.members, ep)
	slices.SortFunc(ep.group.members, func(x, y *endpoint) int { return cmp.Compare(x.id, y.id) })
	return ep
}

// setState applies a listed state; draining and removal bind from the batch that lists them.
func (b *Balancer) setState(ep *endpoint, state EndpointState) {
	ep.withdrawn = state == Removed
	if state != Removed || !b.settings.SoftRemoval || ep.state != Ready {
		ep.state = state
	}
	if ep.state != Ready && ep.group.primary == ep {
		ep.group.primary = nil
	}
}

// setListedRole believes the list only where no answer knows better.
func (b *Balancer) setListedRole(ep *endpoint, primary bool) {
	g, news := ep.group, primary && !ep.listedPrimary
	ep.listedPrimary = primary
	outdated := b.settings.RoleVisibility == RoleAtStart && b.requests.sequence > 0
	if !news || outdated || b.settings.RoleVisibility == RoleHidden || ep.state != Ready {
		return
	}
	if g.primary == nil || g.primary.health.Ejected() {
		g.primary = ep
	}
}

// setReported takes an endpoint's own word on its role and log position. A position never falls.
func (b *Balancer) setReported(ep *endpoint, role Role, position LogPosition) {
	g := ep.group
	g.changed = true
	if position > 0 {
		ep.position, ep.positionAt = max(ep.position, position), b.now
	}
	if role != RoleUnknown {
		ep.role = role
	}
	switch {
	case role == Primary && ep.state == Ready && (g.primary == nil || ep.position >= g.primaryPosition):
		if g.primary != ep {
			b.log(ReasonPrimaryNamed, ep, "group %d: node %d is primary", g.id, ep.id)
		}
		g.primary, g.primaryPosition = ep, max(g.primaryPosition, position)
	case role == Replica && g.primary == ep:
		b.log(ReasonPrimaryDenied, ep, "group %d: node %d is primary no more", g.id, ep.id)
		g.primary = nil
	}
}
