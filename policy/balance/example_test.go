package balance_test

import (
	"fmt"
	"time"

	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// A router with one group of two endpoints: its event loop passes events to Step and executes the returned actions.
func Example() {
	nanos := func(d time.Duration) clock.Nanos { return d.Nanoseconds() }
	router, err := balance.New(balance.Settings{
		Routers:          1,
		BatchInterval:    nanos(5 * time.Millisecond),
		AttemptSettings:  balance.AttemptSettings{MaxAttempts: 4, MaxQueued: 1000},
		EndpointSettings: balance.EndpointSettings{RoleVisibility: balance.RoleDelayed},
		Classes: []balance.Class{
			{Name: "browse", Consistency: balance.AnyReplica, LatencyObjective: nanos(300 * time.Millisecond), Deadline: nanos(time.Second), PriorityWeight: 1},
			{Name: "write", Consistency: balance.Write, Idempotency: balance.NotIdempotent, LatencyObjective: nanos(500 * time.Millisecond),
				Deadline: nanos(2 * time.Second), PriorityWeight: 3},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := nanos(time.Hour) // from any monotonic clock
	actions := router.Step(now, []balance.Event{
		{Kind: balance.EndpointSnapshot, Endpoints: []balance.Endpoint{
			{ID: 1, Group: 7, Zone: "a", Primary: true, Weight: 1},
			{ID: 2, Group: 7, Zone: "a", Weight: 1},
		}},
		{Kind: balance.RequestArrived, Request: "w1", Class: 1, Tenant: -1, Session: "s", Group: 7,
			Deadline: now + nanos(2*time.Second)},
		{Kind: balance.RequestArrived, Request: "r1", Class: 0, Tenant: -1, Group: 7, Deadline: now + nanos(time.Second)},
	})
	for _, action := range actions {
		if action.Kind == balance.SendAttempt {
			fmt.Printf("%s to endpoint %d\n", action.Request, action.Endpoint)
		}
	}
	// Output:
	// w1 to endpoint 1
	// r1 to endpoint 2
}
