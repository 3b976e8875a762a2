package balance

import (
	"fmt"

	"lotushook/policy/clock"
)

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of actions that a step returns.
const (
	SendAttempt    ActionKind = iota + 1 // send an attempt of Request to Endpoint
	RejectRequest                        // final answer: the client may retry after RetryAfter
	FailRequest                          // final answer: the request may have run, and a retry may not be safe
	CancelAttempt                        // cancel an attempt in flight
	SetTimer                             // send TimerFired with TimerID at TimerAt
	SendProbe                            // probe Endpoint
	WatchEndpoints                       // subscribe to changes of the endpoint list
	WriteLog                             // write Message to the operators' log
)

// Action is one decision of a step. Its kind determines which fields are set.
type Action struct {
	Kind              ActionKind
	Reason            Reason
	Request           string
	Attempt           int
	Endpoint          EndpointID
	AtPrimary         bool        // SendAttempt: Endpoint is the group's primary, as far as the module knows
	AttemptDeadline   clock.Nanos // SendAttempt: when to abort the attempt
	ConnectDeadline   clock.Nanos // SendAttempt: when to abort it if no connection is up by then, so that nothing ran
	FreshnessDeadline clock.Nanos // SendAttempt: when to end it as NotEligible if unsent, as the replica may lag; 0: never
	RetryAfter        clock.Nanos // RejectRequest: when the client may retry; 0: the rejection names no time
	TimerAt           clock.Nanos
	TimerID           int64
	Message           string // WriteLog
}

// log adds an action that writes a log line about an endpoint.
func (lb *Balancer) log(reason Reason, subject *endpoint, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	lb.emit(Action{Kind: WriteLog, Reason: reason, Endpoint: subject.id, Message: message})
}
