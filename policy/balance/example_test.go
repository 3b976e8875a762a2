package balance_test

import (
	"fmt"
	"time"

	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// A router of one group: its own loop calls Step with what happened and carries out what comes back.
func Example() {
	ns := func(d time.Duration) clock.Nanos { return d.Nanoseconds() }
	b, err := balance.New(balance.Settings{
		Routers:          1,
		BatchInterval:    ns(5 * time.Millisecond),
		AttemptSettings:  balance.AttemptSettings{MaxAttempts: 4, MaxQueued: 1000},
		EndpointSettings: balance.EndpointSettings{RoleVisibility: balance.RoleDelayed},
		Classes: []balance.Class{
			{Name: "browse", Consistency: balance.AnyReplica, LatencyObjective: ns(300 * time.Millisecond), Deadline: ns(time.Second), PriorityWeight: 1},
			{Name: "write", Consistency: balance.Write, Idempotency: balance.NotIdempotent, LatencyObjective: ns(500 * time.Millisecond),
				Deadline: ns(2 * time.Second), PriorityWeight: 3},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := ns(time.Hour) // any clock that only goes forward
	actions := b.Step(now, []balance.Event{
		{Kind: balance.EndpointSnapshot, Endpoints: []balance.Endpoint{
			{ID: 1, Group: 7, Zone: "a", Primary: true, Weight: 1},
			{ID: 2, Group: 7, Zone: "a", Weight: 1},
		}},
		{Kind: balance.RequestArrived, Request: "w1", Class: 1, Tenant: -1, Session: "s", Group: 7,
			Deadline: now + ns(2*time.Second)},
		{Kind: balance.RequestArrived, Request: "r1", Class: 0, Tenant: -1, Group: 7, Deadline: now + ns(time.Second)},
	})
	for _, a := range actions {
		if a.Kind == balance.SendAttempt {
			fmt.Printf("%s to node %d\n", a.Request, a.Endpoint)
		}
	}
	// Output:
	// w1 to node 1
	// r1 to node 2
}
