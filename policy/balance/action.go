package balance

import (
	"fmt"

	"lotushook/policy/clock"
)

// ActionKind names an action.
type ActionKind int

// The actions of a step.
const (
	SendAttempt    ActionKind = iota + 1 // start an attempt
	RejectRequest                        // final: the client may come again after RetryAfter
	FailRequest                          // final: promises nothing
	CancelAttempt                        // call an attempt off
	SetTimer                             // fire TimerID at TimerAt
	SendProbe                            // probe Endpoint
	WatchEndpoints                       // subscribe to the list's changes
	WriteLog                             // a line for the operators
)

// Action is one decision.
type Action struct {
	Kind            ActionKind
	Reason          Reason
	Request         string
	Attempt         int
	Endpoint        EndpointID
	AttemptDeadline clock.Nanos // SendAttempt: when the attempt is given up
	ConnectDeadline clock.Nanos // SendAttempt: when it is given up unless a connection is there; nothing ran
	FreshUntil      clock.Nanos // SendAttempt: after it the endpoint may be too far behind: NotEligible, unsent; 0: never
	RetryAfter      clock.Nanos // RejectRequest: 0: no time is named
	TimerAt         clock.Nanos
	TimerID         int64
	Message         string // WriteLog
}

// log writes a line for the operators about an endpoint.
func (b *Balancer) log(reason Reason, about *endpoint, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	b.act(Action{Kind: WriteLog, Reason: reason, Endpoint: about.id, Message: message})
}
