package balance

import "lotushook/policy/clock"

// EndpointID names an endpoint. It is the same at all routers.
type EndpointID uint32

// LogPosition is a point of the clock up to which an endpoint has applied all commits.
type LogPosition = clock.Nanos

// EndpointState is an endpoint's state in the list.
type EndpointState int

// The states of a listed endpoint.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Role is what an endpoint said of itself.
type Role int

// The roles; RoleUnknown when nothing was said.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// Endpoint is one entry of the list of data servers.
type Endpoint struct {
	ID        EndpointID
	Group     int64
	Zone      string
	State     EndpointState
	Primary   bool
	Weight    float64     // size against the usual endpoint
	StartedAt clock.Nanos // latest start; 0: long past
}

// Outcome says how an attempt or a probe ended.
type Outcome int

// The outcomes. Busy, ConnectionRefused, NotSent and NotEligible prove that nothing ran.
const (
	Succeeded Outcome = iota + 1
	Failed
	Busy
	TimedOut
	ConnectionRefused
	ConnectionReset
	Canceled
	NotSent     // the router itself could not send
	NotEligible // the endpoint is no primary, or too far behind
)

// mayRun says whether an outcome leaves open that the attempt ran.
func (o Outcome) mayRun() bool {
	return o != Busy && o != ConnectionRefused && o != NotSent && o != NotEligible
}

// isAnswer says whether the endpoint itself answered.
func (o Outcome) isAnswer() bool {
	return o == Succeeded || o == NotEligible || o == Busy || o == Failed
}

// EventKind names an event.
type EventKind int

// The events of a batch.
const (
	EndpointSnapshot  EventKind = iota + 1 // the complete list of endpoints
	EndpointUpdate                         // changed entries only
	RequestArrived                         // a client's request
	AttemptEnded                           // how an attempt ended
	RequestAbandoned                       // the client left
	TimerFired                             // a timer that was set
	ProbeEnded                             // how a probe ended
	EndpointWatchLost                      // a watch of the list failed or was dropped
	QuotaShareChanged                      // this router's share of what all have together is another one
)

// Event is one thing that happened; its kind says which fields count.
type Event struct {
	Kind      EventKind
	Endpoints []Endpoint // EndpointSnapshot, EndpointUpdate

	Request   string // RequestArrived, AttemptEnded, RequestAbandoned
	Class     int    // index in Settings.Classes; negative when unknown
	Tenant    int    // index in Settings.Tenants; negative when none
	Session   string
	Deadline  clock.Nanos
	Group     int64
	CommitAge clock.Nanos // ClientPositions: time since the session's last commit; 0: none
	OverQuota bool        // its sender is beyond its share: others are placed before it

	Attempt  int // AttemptEnded
	Endpoint EndpointID
	Outcome  Outcome
	Final    bool // the client has its answer
	Role     Role
	Position LogPosition // 0: not reported

	HasLoad bool // ProbeEnded: the next two were reported
	Waiting int  // requests in the endpoint's waiting room
	Active  int  // all that it holds

	TimerID int64 // TimerFired

	Share float64 // QuotaShareChanged: from 0 to 1; before the first it is one part in Settings.Routers
}

// handlers has the method for each kind of event.
var handlers = map[EventKind]func(*Balancer, *Event){
	EndpointSnapshot:  (*Balancer).updateEndpoints,
	EndpointUpdate:    (*Balancer).updateEndpoints,
	RequestArrived:    (*Balancer).requestArrived,
	AttemptEnded:      (*Balancer).attemptEnded,
	RequestAbandoned:  (*Balancer).requestAbandoned,
	TimerFired:        (*Balancer).timerFired,
	ProbeEnded:        (*Balancer).probeEnded,
	EndpointWatchLost: (*Balancer).endpointWatchLost,
	QuotaShareChanged: (*Balancer).quotaShareChanged,
}

// handle hands an event to its method. A kind that is not known is ignored.
func (b *Balancer) handle(e *Event) {
	if handler := handlers[e.Kind]; handler != nil {
		handler(b, e)
	}
}

func (b *Balancer) timerFired(e *Event) {
	if e.TimerID == 0 {
		b.tick()
	} else if r := b.requests.bySequence[e.TimerID]; r != nil && r.queued {
		b.expire(r)
	}
}

func (b *Balancer) endpointWatchLost(*Event) { b.act(Action{Kind: WatchEndpoints}) }

func (b *Balancer) quotaShareChanged(e *Event) { b.slowStart.SetShare(e.Share) }
