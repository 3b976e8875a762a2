// Package balance decides, for one router instance, which member of a
// replication group answers each request. It does no input or output of its
// own: New takes the settings and Step turns a batch of events into actions.
package balance

// Nanos is a span or a point of the router's clock, in nanoseconds. Log
// positions are points of the same clock.
type Nanos = int64

// Read says how fresh the data of a class must be.
type Read int

// What a class needs of the node that answers it.
const (
	Any     Read = iota // any member will do
	Bounded             // bounded staleness, at the time of the send
	Session             // all that the session token covers
	Fresh               // all commits before the request's arrival
	Write               // only the primary takes it
)

// Effect says whether a request may run more than once.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // repeats do no harm
	Keyed                // repeats are dropped within Window, inside KeyScope
	Unsafe               // must never run twice
)

// KeyScope is the set of nodes that drops repeats of a keyed request.
type KeyScope int

// The scopes of a key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeGroup
)

// Behind says what a node does with a read that it is too far behind for.
type Behind int

// The habits of a node that lags.
const (
	BehindNone   Behind = iota // answers from what it has
	BehindRefuse               // turns the read away
	BehindWait                 // waits a little, then turns it away
)

// RoleView says how the list shows the primary.
type RoleView int

// The ways in which the list's Primary mark follows the role.
const (
	RoleHidden   RoleView = iota // never marked
	RoleStatic                   // as at the start
	RoleTrailing                 // late
)

// Class is one class of requests.
type Class struct {
	Name      string
	Read      Read
	Effect    Effect
	Scope     KeyScope
	Aim       Nanos // full worth when answered within this
	Deadline  Nanos // a client waits so long over all its tries
	Window    Nanos // Keyed: how long repeats are dropped
	Bound     Nanos // Bounded: greatest age of the data
	Worth     float64
	LateWorth float64 // share of Worth after Aim
}

// Tenant has a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all routers; 0 means no quota
}

// Settings is what a router is told at its start.
type Settings struct {
	Instances   int // routers of the deployment
	Classes     []Class
	Tenants     []Tenant
	Granularity Nanos // batches come at most this often
	Subscribe   bool  // the list's changes come only after Follow

	Behind       Behind
	RoleView     RoleView
	CarriedToken bool // session reads carry their token's age
	ProbeReports bool // a probe's answer carries position and role

	Cancel, Probing, RetryAfter bool
	MaxAttempts, MaxHeld        int
	MaxRetryAfter               Nanos

	ColdShare    float64
	RampTime     Nanos
	FallMultiple float64
	OverloadFor  Nanos
	AnswerSlack  Nanos
	SoftRemoval  bool // gone alone does not bind

	OverShareWorth float64
	LateFailPrice  float64
	HandshakePrice float64 // of a new connection, as a share of a request's worth
	IdleClose      Nanos   // connections that stood idle so long are closed
	HalfwayBound   bool    // refused or failed past half of its time with nothing sent, a request costs more than the rest is worth
}

// EventKind names an event.
type EventKind int

// The events of a batch.
const (
	NodesFull    EventKind = iota + 1 // the complete list
	NodesChanged                      // changed entries only
	RequestIn                         // a client's request
	AttemptDone                       // how an attempt ended
	RequestGone                       // the client left
	Wakeup                            // a timer fired
	ProbeDone                         // how a probe ended
	ListLost                          // a subscription failed or dropped
	Divided                           // this router's share of what all have together is another one
)

// Outcome says how an attempt or a probe ended.
type Outcome int

// The outcomes. Busy, Refused, Skipped and Miss prove that nothing ran.
const (
	Done Outcome = iota + 1
	Failed
	Busy
	TimedOut
	Refused
	Reset
	Canceled
	Skipped
	Miss
)

// Lifecycle is a node's state in the list.
type Lifecycle int

// The states of a listed node.
const (
	Ready Lifecycle = iota
	Draining
	Gone
)

// Role is what a node said of itself.
type Role int

// The roles; RoleUnknown when nothing was said.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// NodeEntry is one entry of the list.
type NodeEntry struct {
	Node    uint32
	Group   int64
	Zone    string
	State   Lifecycle
	Primary bool
	Weight  float64
	Started Nanos // latest start; 0: long past
}

// Event is one thing that happened; its kind says which fields count.
type Event struct {
	Kind  EventKind
	Nodes []NodeEntry // NodesFull, NodesChanged

	Request  string // RequestIn, AttemptDone, RequestGone
	Class    int    // index in Settings.Classes; negative when unknown
	Tenant   int    // index in Settings.Tenants; negative when none
	Session  string
	Deadline Nanos
	Group    int64
	TokenAge Nanos // CarriedToken: time since the session's last commit; 0: none
	Over     bool  // its sender is beyond its share: others are placed before it

	Attempt  int // AttemptDone
	Node     uint32
	Outcome  Outcome
	Finished bool
	Role     Role
	Position Nanos // 0: not told

	Reported        bool // ProbeDone: the next two were told
	Waiting, Active int  // requests waiting, and all that the node holds

	Tag int64 // Wakeup

	Share float64 // Divided: from 0 to 1; before the first it is one part in Instances
}

// ActionKind names an action.
type ActionKind int

// The actions of a step.
const (
	Send   ActionKind = iota + 1 // start an attempt
	Refuse                       // final: the client may come again after Wait
	Fail                         // final: promises nothing
	Cancel                       // call an attempt off
	Timer                        // wake up at At with Tag
	Probe                        // probe Node
	Follow                       // subscribe to the list's changes
	Log                          // a line for the operators
)

// Reason says why an action was taken: for counts, logs and people. Nothing follows from it.
type Reason int

// The reasons.
const (
	Usual Reason = iota

	// Of a send; the first that holds.
	Finding // to whoever may be the primary, as none is known
	Trial   // to a suspect: is it back?
	Warming // to a node that is warming up

	// Of a refusal or a failure.
	Unknown     // the class is not in the settings
	Crowd       // its group answers too late as it is
	NoPrimary   // held to the end of its time: no primary was known
	PrimaryAway // held: the primary was suspect, paused or dark
	PrimaryFull // held: the primary was at its limit
	NoReplica   // held: no member was usable
	Full        // held: the members that were usable were at their limits, or too far behind
	Spent       // an attempt failed, and no other was allowed
	Late        // an attempt failed, and the time was over
	Jammed      // an attempt failed in a crowd

	// Of a line for the operators, about Node.
	Suspected
	Recovered
	Named  // as primary
	Denied // as primary
)

// Action is one decision.
type Action struct {
	Kind    ActionKind
	Why     Reason
	Request string
	Attempt int
	Node    uint32
	Until   Nanos // Send: when the attempt is given up
	Up      Nanos // Send: when it is given up unless a connection is there; nothing ran
	Wait    Nanos
	At      Nanos
	Tag     int64
	Text    string
}
