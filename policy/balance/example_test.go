package balance_test

import (
	"fmt"
	"time"

	"lotushook/policy/balance"
)

// A router of one group: its own loop calls Step with what happened and carries out what comes back.
func Example() {
	ns := func(d time.Duration) balance.Nanos { return d.Nanoseconds() }
	b, err := balance.New(balance.Settings{
		Instances: 1, Granularity: ns(5 * time.Millisecond), MaxAttempts: 4, MaxHeld: 1000,
		Behind: balance.BehindNone, RoleView: balance.RoleTrailing,
		Classes: []balance.Class{
			{Name: "browse", Read: balance.Any, Aim: ns(300 * time.Millisecond), Deadline: ns(time.Second), Worth: 1},
			{Name: "write", Read: balance.Write, Effect: balance.Unsafe, Aim: ns(500 * time.Millisecond),
				Deadline: ns(2 * time.Second), Worth: 3},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := ns(time.Hour) // any clock that only goes forward
	actions := b.Step(now, []balance.Event{
		{Kind: balance.NodesFull, Nodes: []balance.NodeEntry{
			{Node: 1, Group: 7, Zone: "a", Primary: true, Weight: 1},
			{Node: 2, Group: 7, Zone: "a", Weight: 1},
		}},
		{Kind: balance.RequestIn, Request: "w1", Class: 1, Tenant: -1, Session: "s", Group: 7,
			Deadline: now + ns(2*time.Second)},
		{Kind: balance.RequestIn, Request: "r1", Class: 0, Tenant: -1, Group: 7, Deadline: now + ns(time.Second)},
	})
	for _, a := range actions {
		if a.Kind == balance.Send {
			fmt.Printf("%s to node %d\n", a.Request, a.Node)
		}
	}
	// Output:
	// w1 to node 1
	// r1 to node 2
}
