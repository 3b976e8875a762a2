package balance

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
	"lotushook/policy/slowstart"
)

// Consistency says how fresh the data of a class must be.
type Consistency int

// What a class needs of the endpoint that answers it. From FreshRead on only the primary will do.
const (
	AnyReplica       Consistency = iota // any member will do
	BoundedStaleness                    // no older than Class.StalenessBound when it is sent
	ReadYourWrites                      // all that its session has written
	FreshRead                           // all commits before the request's arrival
	Write                               // only the primary takes it
)

// Idempotency says whether a request may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // repeats do no harm
	IdempotentByKey                    // repeats are dropped within Class.IdempotencyWindow, inside Class.KeyScope
	NotIdempotent                      // must never run twice
)

// KeyScope is the set of endpoints that drops repeats of a key.
type KeyScope int

// The scopes of a key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeGroup
)

// LagHandling says what an endpoint does with a read that it is too far behind for.
type LagHandling int

// The ways to handle replication lag.
const (
	LagUnchecked LagHandling = iota // the endpoint answers from what it has
	LagRejected                     // it rejects the read
	LagAwaited                      // it waits a little, then rejects the read
)

// RoleVisibility says how the list shows the primary.
type RoleVisibility int

// The ways in which Endpoint.Primary follows the role.
const (
	RoleHidden  RoleVisibility = iota // never marked
	RoleAtStart                       // as at the start
	RoleDelayed                       // late
)

// Class is one class of requests.
type Class struct {
	Name              string
	Consistency       Consistency
	Idempotency       Idempotency
	KeyScope          KeyScope
	LatencyObjective  clock.Nanos // full weight when answered within this
	Deadline          clock.Nanos // a client waits so long over all its attempts
	IdempotencyWindow clock.Nanos // IdempotentByKey: how long repeats are dropped
	StalenessBound    clock.Nanos // BoundedStaleness: greatest age of the data
	PriorityWeight    float64
	LateWeight        float64 // share of PriorityWeight after LatencyObjective
}

// demand says who must take requests of the class.
func (c *Class) demand() slowstart.Kind {
	if c.Consistency >= FreshRead {
		return slowstart.Primary
	}
	return slowstart.Replica
}

// repeatableAnywhere says whether a client may repeat a request that may have run, at any router.
func (c *Class) repeatableAnywhere() bool {
	return c.Idempotency == Idempotent || (c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll)
}

// Tenant has a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all routers; 0 means no quota
}

// Settings is what a router is told at its start.
type Settings struct {
	Routers       int // of the deployment
	Classes       []Class
	Tenants       []Tenant
	BatchInterval clock.Nanos // batches come at most this often

	EndpointSettings
	AttemptSettings
	SlowStartSettings
	CostSettings
}

// EndpointSettings say what endpoints and their list tell.
type EndpointSettings struct {
	WatchRequired        bool // the list's changes come only after WatchEndpoints
	SoftRemoval          bool // a removal without draining does not bind
	LagHandling          LagHandling
	RoleVisibility       RoleVisibility
	ClientPositions      bool // session reads carry the age of their session's last commit
	ProbesAllowed        bool
	ProbesReportPosition bool        // a probe's answer carries position and role
	IdleTimeout          clock.Nanos // connections that were idle so long are closed
}

// AttemptSettings bound attempts and final answers.
type AttemptSettings struct {
	MaxAttempts       int // of a request
	MaxQueued         int // requests, and remembered commits of sessions
	CancelAllowed     bool
	RetryAfterAllowed bool
	MaxRetryAfter     clock.Nanos
	AnswerSlack       clock.Nanos // a final answer may be so late
}

// SlowStartSettings describe endpoints that have just started.
type SlowStartSettings struct {
	ColdCapacity     float64 // share of its capacity that an endpoint has when it starts
	WarmUpTime       clock.Nanos
	OverloadMultiple float64 // of its present capacity that it bears in a window
	OverloadWindow   clock.Nanos
}

// CostSettings weigh what is not an answer in time.
type CostSettings struct {
	OverQuotaWeight      float64 // share of its weight that a request beyond its tenant's quota has
	LateFailureCost      float64
	HandshakeCost        float64 // of a new connection, as a share of a request's weight
	LateRejectionCharged bool    // past half of its time with nothing sent, a rejection costs more than the rest can earn
}

// validate names each field that a router can't work with.
func validate(s *Settings) error {
	var errs []error
	check := func(ok bool, field string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: missing or out of range", field))
		}
	}
	check(len(s.Classes) > 0 && s.BatchInterval > 0, "Classes, BatchInterval")
	check(min(s.Routers, s.MaxAttempts, s.MaxQueued) > 0, "Routers, MaxAttempts, MaxQueued")
	check(s.ColdCapacity >= 0 && s.ColdCapacity <= 1, "ColdCapacity")
	check(min(s.WarmUpTime, s.OverloadWindow, s.MaxRetryAfter) >= 0, "WarmUpTime, OverloadWindow, MaxRetryAfter")
	check(min(s.LateFailureCost, s.HandshakeCost) >= 0, "LateFailureCost, HandshakeCost")
	check(s.OverQuotaWeight >= 0 && s.OverloadMultiple >= 0, "OverQuotaWeight, OverloadMultiple")
	check(min(s.IdleTimeout, s.AnswerSlack) >= 0, "IdleTimeout, AnswerSlack")
	for i := range s.Classes {
		class, path := &s.Classes[i], fmt.Sprintf("Classes[%d].", i)
		check(min(class.LatencyObjective, class.Deadline) > 0, path+"LatencyObjective, Deadline")
		check(min(class.PriorityWeight, class.LateWeight) >= 0, path+"PriorityWeight, LateWeight")
		check(class.Consistency != BoundedStaleness || class.StalenessBound > 0, path+"StalenessBound")
	}
	return errors.Join(errs...)
}

func (s *Settings) hasClass(class int) bool { return class >= 0 && class < len(s.Classes) }

// classSpans are the latency objectives and the deadlines of all classes, by class index.
func (s *Settings) classSpans() (objectives, deadlines []clock.Nanos) {
	for i := range s.Classes {
		objectives = append(objectives, s.Classes[i].LatencyObjective)
		deadlines = append(deadlines, s.Classes[i].Deadline)
	}
	return objectives, deadlines
}

// tenantQuotas are in the order of the tenants.
func (s *Settings) tenantQuotas() []float64 {
	var quotas []float64
	for _, tenant := range s.Tenants {
		quotas = append(quotas, tenant.Quota)
	}
	return quotas
}

func (s *Settings) slowStart() slowstart.Settings {
	return slowstart.Settings{
		ColdCapacity:     s.ColdCapacity,
		WarmUpTime:       s.WarmUpTime,
		Window:           s.OverloadWindow,
		OverloadMultiple: s.OverloadMultiple,
	}
}

// retryAfter is the time that a rejection of a class names.
func (s *Settings) retryAfter(class *Class) clock.Nanos {
	if !s.RetryAfterAllowed {
		return 0
	}
	return min(class.LatencyObjective, s.MaxRetryAfter)
}
