package balance

import "lotushook/policy/clock"

// EndpointID identifies an endpoint. All routers use the same IDs.
type EndpointID uint32

// LogPosition is the time up to which an endpoint has applied all commits.
type LogPosition = clock.Nanos

// EndpointState is an endpoint's state in the endpoint list.
type EndpointState int

// The states of a listed endpoint.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Role is the role that an endpoint reports for itself.
type Role int

// The roles. RoleUnknown: the endpoint reported none.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Group     int64
	Zone      string
	State     EndpointState
	Primary   bool
	Weight    float64     // size relative to the default endpoint
	StartedAt clock.Nanos // time of the latest start; 0: started long ago
}

// Outcome is the result of an attempt or a probe.
type Outcome int

// The outcomes. Busy, ConnectionRefused, NotSent and NotEligible prove that the request did not run.
const (
	Succeeded Outcome = iota + 1
	Failed
	Busy
	TimedOut
	ConnectionRefused
	ConnectionReset
	Canceled
	NotSent     // the router itself could not send
	NotEligible // the endpoint is not the primary, or it lags too far for the read
)

// mayRun reports whether the request may have run in an attempt with this outcome.
func (o Outcome) mayRun() bool {
	return o != Busy && o != ConnectionRefused && o != NotSent && o != NotEligible
}

// isAnswer reports whether the endpoint itself answered.
func (o Outcome) isAnswer() bool {
	return o == Succeeded || o == NotEligible || o == Busy || o == Failed
}

// minFairTime is how long an attempt must have had to fail by its time, in typical response times.
const minFairTime = 2

// evidence returns what an outcome says of its endpoint, given the time that the request left for the attempt, the time
// that has elapsed and the typical response time. An attempt that was given up at its request's deadline and had little
// time until then says nothing, as if it had not been sent.
func (o Outcome) evidence(given, elapsed, typical clock.Nanos) Outcome {
	if (o == TimedOut || o == ConnectionRefused) && elapsed >= given && given < minFairTime*typical {
		return NotSent
	}
	return o
}

// EventKind is the kind of an event.
type EventKind int

// The kinds of events.
const (
	EndpointSnapshot  EventKind = iota + 1 // the complete endpoint list
	EndpointUpdate                         // the changed entries of the endpoint list
	RequestArrived                         // a client sent a request
	AttemptEnded                           // an attempt ended with Outcome
	RequestAbandoned                       // the client disconnected or stopped waiting
	TimerFired                             // a timer requested by SetTimer fired
	ProbeEnded                             // a probe ended with Outcome
	EndpointWatchLost                      // the subscription to the endpoint list failed or was dropped
	QuotaShareChanged                      // this router's share of the tenants' quotas changed
)

// Event is one input to a step. Its kind determines which fields are read.
type Event struct {
	Kind      EventKind
	Endpoints []Endpoint // EndpointSnapshot, EndpointUpdate

	Request   string // RequestArrived, AttemptEnded, RequestAbandoned
	Class     int    // index in Settings.Classes; negative: unknown class
	Tenant    int    // index in Settings.Tenants; negative: no tenant
	Session   string
	Deadline  clock.Nanos
	Group     int64
	CommitAge clock.Nanos // with ClientPositions: time since the session's last commit; 0: none
	OverQuota bool        // the client exceeds its share, so that other requests are placed first

	Attempt  int // AttemptEnded
	Endpoint EndpointID
	Outcome  Outcome
	Final    bool // the client has received this attempt's answer
	Role     Role
	Position LogPosition // 0: not reported

	HasLoad bool // ProbeEnded: Waiting and Active were reported
	Waiting int  // requests queued at the endpoint
	Active  int  // all requests at the endpoint, those queued included

	TimerID int64 // TimerFired

	Share float64 // QuotaShareChanged: from 0 to 1; until the first event it is 1/Settings.Routers
}

// handlers maps each kind of event to its method.
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

// handle dispatches an event. Events of unknown kinds are ignored.
func (lb *Balancer) handle(event *Event) {
	if handler := handlers[event.Kind]; handler != nil {
		handler(lb, event)
	}
}

func (lb *Balancer) timerFired(event *Event) {
	if event.TimerID == 0 {
		lb.tick()
	} else if req := lb.requests.bySequence[event.TimerID]; req != nil && req.queued {
		lb.expire(req)
	}
}

func (lb *Balancer) endpointWatchLost(*Event) { lb.emit(Action{Kind: WatchEndpoints}) }

func (lb *Balancer) quotaShareChanged(event *Event) { lb.slowStart.SetShare(event.Share) }
