package balance

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
	"lotushook/policy/slowstart"
)

// Consistency is how fresh the data of a class must be.
type Consistency int

// The consistency levels, weakest first. From FreshRead on only the primary may serve a request.
const (
	AnyReplica       Consistency = iota // any endpoint of the group
	BoundedStaleness                    // data no older than Class.StalenessBound when the request is sent
	ReadYourWrites                      // all commits of the request's own session
	FreshRead                           // all commits before the request's arrival
	Write                               // an update
)

// Idempotency says whether a request may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // running it again has no further effect
	IdempotentByKey                    // endpoints in Class.KeyScope drop duplicates within Class.IdempotencyWindow
	NotIdempotent                      // must not run more than once
)

// KeyScope is the set of endpoints among which duplicates of an idempotency key are detected.
type KeyScope int

// The scopes of a key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeGroup
)

// LagHandling is what an endpoint does with a read that needs commits it has not applied yet.
type LagHandling int

// The ways to handle replication lag.
const (
	LagUnchecked LagHandling = iota // the endpoint answers with the data that it has
	LagRejected                     // the endpoint rejects the read
	LagAwaited                      // the endpoint waits briefly for the commits, then rejects the read
)

// RoleVisibility says how the endpoint list marks the primary.
type RoleVisibility int

// The ways in which Endpoint.Primary follows the actual role.
const (
	RoleHidden  RoleVisibility = iota // no endpoint is marked
	RoleAtStart                       // the mark stays on the initial primary
	RoleDelayed                       // the mark follows with a delay
)

// Class is one class of requests.
type Class struct {
	Name              string
	Consistency       Consistency
	Idempotency       Idempotency
	KeyScope          KeyScope
	LatencyObjective  clock.Nanos // time within which an answer has the full PriorityWeight
	Deadline          clock.Nanos // how long a client waits, over all attempts
	IdempotencyWindow clock.Nanos // IdempotentByKey: how long duplicates are dropped
	StalenessBound    clock.Nanos // BoundedStaleness: max age of the data
	PriorityWeight    float64
	LateWeight        float64 // share of PriorityWeight that an answer after LatencyObjective has
}

// kind returns which endpoints can serve the class.
func (c *Class) kind() slowstart.Kind {
	if c.Consistency >= FreshRead {
		return slowstart.Primary
	}
	return slowstart.Replica
}

// repeatableAnywhere reports whether a client may retry a request that may have run, at any router.
func (c *Class) repeatableAnywhere() bool {
	return c.Idempotency == Idempotent || (c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll)
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all routers; 0: no quota
}

// Settings configure a router.
type Settings struct {
	Routers       int // number of routers in the deployment
	Classes       []Class
	Tenants       []Tenant
	BatchInterval clock.Nanos // min time between two steps

	EndpointSettings
	AttemptSettings
	SlowStartSettings
	CostSettings
}

// EndpointSettings describe the endpoint list and the endpoints' behavior.
type EndpointSettings struct {
	WatchRequired        bool // changes of the list are sent only after WatchEndpoints
	SoftRemoval          bool // a removed endpoint that did not drain first may still be used
	LagHandling          LagHandling
	RoleVisibility       RoleVisibility
	ClientPositions      bool // session reads carry the time since their session's last commit
	ProbesAllowed        bool
	ProbesReportPosition bool        // probe answers carry log position and role
	IdleTimeout          clock.Nanos // connections idle for this long are closed
}

// AttemptSettings limit attempts and final answers.
type AttemptSettings struct {
	MaxAttempts       int // max attempts per request
	MaxQueued         int // max queued requests, and max sessions whose last commit is stored
	CancelAllowed     bool
	RetryAfterAllowed bool
	MaxRetryAfter     clock.Nanos
	AnswerSlack       clock.Nanos // how long after its deadline a request's final answer may come
}

// SlowStartSettings describe endpoints that have started recently.
type SlowStartSettings struct {
	ColdCapacity     float64 // share of the full capacity that an endpoint has when it starts
	WarmUpTime       clock.Nanos
	OverloadMultiple float64 // work that an endpoint tolerates within OverloadWindow, as a multiple of its capacity
	OverloadWindow   clock.Nanos
}

// CostSettings are the costs of outcomes other than an answer within the latency objective.
type CostSettings struct {
	OverQuotaWeight      float64 // share of its weight that a request beyond its tenant's quota has
	LateFailureCost      float64
	HandshakeCost        float64 // cost of a new connection, as a share of a request's weight
	LateRejectionCharged bool    // rejecting an unsent request after half of its time costs more than a late answer earns
}

// validate names each setting that is missing or out of range.
func validate(settings *Settings) error {
	var errs []error
	check := func(ok bool, field string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: missing or out of range", field))
		}
	}
	check(len(settings.Classes) > 0 && settings.BatchInterval > 0, "Classes, BatchInterval")
	check(min(settings.Routers, settings.MaxAttempts, settings.MaxQueued) > 0, "Routers, MaxAttempts, MaxQueued")
	check(settings.ColdCapacity >= 0 && settings.ColdCapacity <= 1, "ColdCapacity")
	check(min(settings.WarmUpTime, settings.OverloadWindow, settings.MaxRetryAfter) >= 0, "WarmUpTime, OverloadWindow, MaxRetryAfter")
	check(min(settings.LateFailureCost, settings.HandshakeCost) >= 0, "LateFailureCost, HandshakeCost")
	check(settings.OverQuotaWeight >= 0 && settings.OverloadMultiple >= 0, "OverQuotaWeight, OverloadMultiple")
	check(min(settings.IdleTimeout, settings.AnswerSlack) >= 0, "IdleTimeout, AnswerSlack")
	for i := range settings.Classes {
		class, path := &settings.Classes[i], fmt.Sprintf("Classes[%d].", i)
		check(min(class.LatencyObjective, class.Deadline) > 0, path+"LatencyObjective, Deadline")
		check(min(class.PriorityWeight, class.LateWeight) >= 0, path+"PriorityWeight, LateWeight")
		check(class.Consistency != BoundedStaleness || class.StalenessBound > 0, path+"StalenessBound")
	}
	return errors.Join(errs...)
}

func (settings *Settings) hasClass(i int) bool { return i >= 0 && i < len(settings.Classes) }

// classTimes returns the latency objectives and the deadlines of all classes, by class index.
func (settings *Settings) classTimes() (objectives, deadlines []clock.Nanos) {
	for i := range settings.Classes {
		objectives = append(objectives, settings.Classes[i].LatencyObjective)
		deadlines = append(deadlines, settings.Classes[i].Deadline)
	}
	return objectives, deadlines
}

// tenantQuotas returns the quotas by tenant index.
func (settings *Settings) tenantQuotas() []float64 {
	var quotas []float64
	for _, tenant := range settings.Tenants {
		quotas = append(quotas, tenant.Quota)
	}
	return quotas
}

func (settings *Settings) slowStart() slowstart.Settings {
	return slowstart.Settings{
		ColdCapacity:     settings.ColdCapacity,
		WarmUpTime:       settings.WarmUpTime,
		Window:           settings.OverloadWindow,
		OverloadMultiple: settings.OverloadMultiple,
	}
}

// retryAfter returns the Retry-After time of a rejected request of a class; 0: none.
func (settings *Settings) retryAfter(class *Class) clock.Nanos {
	if !settings.RetryAfterAllowed {
		return 0
	}
	return min(class.LatencyObjective, settings.MaxRetryAfter)
}
