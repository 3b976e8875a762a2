package balance

import (
	"fmt"
	"testing"

	"lotushook/policy/clock"
	"lotushook/policy/seeded"
)

// These tests check what many routers do together: what one router does rarely happens all the time among eighty.

// A probe costs something and needs a connection. Where endpoints check their lag themselves, an attempt finds out
// the same and may succeed: reads that are rejected while their group has no primary must not cause probes.
func TestNoProbesIfEndpointsCheckLag(t *testing.T) {
	router := newTestRouter(t, func(settings *Settings) { settings.ProbesReportPosition, settings.LagHandling = true, LagRejected })
	router.listEndpoints(3)
	router.lb.groups.byID[1].primary = nil
	rejections, probes := 0, 0
	for range 20 {
		router.now += 100 * ms
		id, actions := router.arrive(boundedRead, "")
		for attempt := 0; ; attempt++ {
			probes += len(ofKind(SendProbe, actions))
			sends := ofKind(SendAttempt, actions)
			if len(sends) == 0 {
				break
			}
			rejections++
			actions = router.endAttempt(id, attempt, sends[0].Endpoint, NotEligible, Replica, router.now-2e9)
		}
	}
	if rejections < 20 || probes != 0 {
		t.Errorf("%d rejected attempts and %d probes for 20 reads, want at least 20 and none", rejections, probes)
	}
}

// newFleet creates routers that share one deployment.
func newFleet(t *testing.T, routerCount int, change func(*Settings)) []*testRouter {
	t.Helper()
	routers := make([]*testRouter, routerCount)
	for i := range routers {
		routers[i] = newTestRouter(t, func(settings *Settings) {
			settings.Routers = routerCount
			if change != nil {
				change(settings)
			}
		})
		*routers[i].lb.random = *seeded.New(uint64(i) * 0x9e3779b97f4a7c15)
	}
	return routers
}

// A cold primary replaces a warm one, under writes that need a fifth of its full capacity. Each of eighty routers has
// one write per five windows: if each drew for its own share only, the fleet would use a fifth of the budget. Nearly
// all writes must be sent, and their work must stay within OverloadMultiple of the cold endpoint's current capacity.
//
//nolint:gocognit // one sequence of events, in order
func TestFleetUsesAColdPrimarysBudget(t *testing.T) {
	const routerCount, cores, warmTime = 80, 4.0, 20e9
	routers := newFleet(t, routerCount, func(settings *Settings) { settings.OverloadMultiple = 3 })
	settings := &routers[0].lb.settings
	groupCount := int64(8)
	var startedAt clock.Nanos
	requested, sent := 0, 0
	var sendTimes []clock.Nanos
	for elapsed := clock.Nanos(0); elapsed < warmTime+6e9; elapsed += 100 * ms {
		for i, router := range routers {
			if router.now = 1000e9 + elapsed; elapsed == 0 || elapsed == warmTime {
				list := Event{Kind: EndpointSnapshot}
				for group := range groupCount {
					if elapsed > 0 && group == 0 {
						startedAt = router.now
						list.Endpoints = append(list.Endpoints, Endpoint{ID: 100, Group: 0, Primary: true, Weight: 4, StartedAt: startedAt})
					} else {
						list.Endpoints = append(list.Endpoints, Endpoint{ID: EndpointID(group), Group: group, Primary: true, Weight: 4})
					}
				}
				router.step(list)
				router.lb.groups.byID[0].primary = router.lb.groups.endpoints[list.Endpoints[0].ID]
			}
			router.step(Event{Kind: TimerFired})
			// Each router sends one write per second, each time to the next group.
			if (i+int(elapsed/(100*ms)))%10 > 0 {
				continue
			}
			group := (int64(i) + elapsed/1e9) % groupCount
			router.requestCount++
			id := fmt.Sprintf("w%d", router.requestCount)
			actions := router.step(Event{Kind: RequestArrived, Request: id, Class: keyedWrite, Tenant: -1, Group: group, Deadline: router.now + 2e9})
			if elapsed > warmTime && group == 0 {
				requested++
			}
			for _, action := range ofKind(SendAttempt, actions) {
				if elapsed > warmTime && group == 0 {
					sent++
					sendTimes = append(sendTimes, elapsed)
				}
				router.now += 80 * ms
				router.step(Event{Kind: AttemptEnded, Request: id, Attempt: action.Attempt, Endpoint: action.Endpoint, Outcome: Succeeded, Final: true,
					Role: Primary, Position: router.now})
			}
			if router.lb.requests.byID[id] != nil {
				router.step(Event{Kind: RequestAbandoned, Request: id})
			}
		}
		capacityShare := settings.ColdCapacity + (1-settings.ColdCapacity)*float64(elapsed-warmTime)/float64(settings.WarmUpTime)
		work := 0.0
		for _, sentAt := range sendTimes {
			if sentAt > elapsed-settings.OverloadWindow {
				work += float64(80 * ms)
			}
		}
		if allowed := settings.OverloadMultiple * capacityShare * cores * float64(settings.OverloadWindow); elapsed > warmTime && work > allowed {
			t.Fatalf("%d ms after the start: %.1f s of work in a window, %.1f s allowed", (elapsed-warmTime)/ms, work/1e9, allowed/1e9)
		}
	}
	if requested < 50 || float64(sent) < 0.9*float64(requested) {
		t.Errorf("%d of %d writes were sent to a cold primary with capacity for all", sent, requested)
	}
}

// A cold replica replaces a warm one, and requests arrive in pairs, as rejected clients retry at the same router: a
// router has no request in most windows and two in some. The budget of the cold endpoint must still be used.
//
//nolint:gocognit,funlen // one sequence of events, in order
func TestFleetUsesColdReplicaBudgetInBursts(t *testing.T) {
	const routerCount, cores, warmTime, coldTime = 300, 4.0, 30e9, 4e9
	routers := newFleet(t, routerCount, func(settings *Settings) { settings.OverloadMultiple = 3 })
	settings := &routers[0].lb.settings
	randomState := uint64(1)
	draw := func() float64 {
		randomState = randomState*6364136223846793005 + 1442695040888963407
		return float64(randomState>>11) / (1 << 53)
	}
	var startedAt clock.Nanos
	requested, sent := 0, 0
	sendTimes := []float64{}
	for elapsed := clock.Nanos(0); elapsed < warmTime+coldTime; elapsed += 100 * ms {
		for _, router := range routers {
			if router.now = 1000e9 + elapsed; elapsed == 0 || elapsed == warmTime {
				list := Event{Kind: EndpointSnapshot}
				for group := range int64(20) {
					listed := Endpoint{ID: EndpointID(group), Group: group, Weight: cores}
					if elapsed > 0 && group == 0 {
						startedAt = router.now - 3e9 // the endpoint now has a third of its capacity, more than is requested
						listed.ID, listed.StartedAt = 100, startedAt
					}
					list.Endpoints = append(list.Endpoints, listed)
				}
				router.step(list)
			}
			router.step(Event{Kind: TimerFired})
			// In one of twenty steps of 100 ms, a router gets two reads of one group.
			if draw() > 0.05 {
				continue
			}
			group := int64(draw() * 20)
			if elapsed >= warmTime {
				group = int64(draw() * 4) // more reads for group 0, which has the cold replica
			}
			for range 2 {
				router.requestCount++
				id := fmt.Sprintf("c%d", router.requestCount)
				if elapsed >= warmTime && group == 0 {
					requested++
				}
				for _, action := range ofKind(SendAttempt, router.step(Event{Kind: RequestArrived, Request: id, Class: anyRead, Tenant: -1, Group: group, Deadline: router.now + 2e9})) {
					if elapsed >= warmTime && group == 0 {
						sent++
						sendTimes = append(sendTimes, float64(elapsed))
					}
					router.now += 30 * ms
					router.step(Event{Kind: AttemptEnded, Request: id, Attempt: action.Attempt, Endpoint: action.Endpoint, Outcome: Succeeded, Final: true, Role: Replica, Position: router.now})
				}
				if router.lb.requests.byID[id] != nil {
					router.step(Event{Kind: RequestAbandoned, Request: id})
				}
			}
		}
		capacityShare := settings.ColdCapacity + (1-settings.ColdCapacity)*float64(1000e9+elapsed-startedAt)/float64(settings.WarmUpTime)
		work := 0.0
		for _, sentAt := range sendTimes {
			if sentAt > float64(elapsed-settings.OverloadWindow) {
				work += float64(30 * ms)
			}
		}
		if allowed := settings.OverloadMultiple * capacityShare * cores * float64(settings.OverloadWindow); elapsed > warmTime && work > allowed {
			t.Fatalf("%d ms after the start: %.1f s of work in a window, %.1f s allowed", (elapsed-warmTime)/ms, work/1e9, allowed/1e9)
		}
	}
	t.Logf("%d of %d reads sent", sent, requested)
	if requested < 100 || float64(sent) < 0.6*float64(requested) {
		t.Errorf("%d of %d reads were sent to a cold replica with capacity for all", sent, requested)
	}
}

// serveAttempts ends attempts and their retries, each after the response time, and returns their endpoints. Endpoints
// for which fails returns true answer with an error.
func (router *testRouter) serveAttempts(responseTime clock.Nanos, actions []Action, role func(target EndpointID) Role, fails func(target EndpointID) bool) (targets []EndpointID) {
	router.t.Helper()
	for sends := ofKind(SendAttempt, actions); len(sends) > 0; sends = ofKind(SendAttempt, actions) {
		action := sends[0]
		attempt := len(router.lb.requests.byID[action.Request].attempts) - 1
		targets = append(targets, action.Endpoint)
		if router.now += responseTime; fails(action.Endpoint) {
			actions = router.endAttempt(action.Request, attempt, action.Endpoint, Failed, role(action.Endpoint), router.now)
			for range 20 { // the endpoint is paused after a failure
				if len(ofKind(SendAttempt, actions)) > 0 || router.lb.requests.byID[action.Request] == nil {
					break
				}
				router.now += 20 * ms
				actions = router.step(Event{Kind: TimerFired})
			}
		} else {
			actions = router.endAttempt(action.Request, attempt, action.Endpoint, Succeeded, role(action.Endpoint), router.now)
		}
	}
	return targets
}

func roleOf(target EndpointID) Role {
	if target == 1 {
		return Primary
	}
	return Replica
}

// Without a handshake cost, each of eighty routers opens a connection to every replica over time, although it never
// has two reads at once. With a cost, a router must keep using its open connection, and the routers together must
// still balance their reads over the replicas.
func TestFleetOpensFewConnections(t *testing.T) {
	for _, test := range []struct {
		handshakeCost    float64
		minMean, maxMean float64 // mean number of replicas that a router connects to
	}{{0, 2.9, 3}, {0.08, 1, 1.2}} {
		connected, reads := 0, map[EndpointID]int{}
		for _, router := range newFleet(t, 80, func(settings *Settings) { settings.HandshakeCost, settings.IdleTimeout = test.handshakeCost, 30e9 }) {
			router.listEndpoints(4)
			own := map[EndpointID]bool{}
			for range 25 {
				router.now += clock.Second
				_, actions := router.arrive(anyRead, "")
				for _, target := range router.serveAttempts(70*ms, actions, roleOf, func(EndpointID) bool { return false }) {
					own[target] = true
					reads[target]++
				}
			}
			connected += len(own)
		}
		if mean := float64(connected) / 80; mean < test.minMean || mean > test.maxMean {
			t.Errorf("handshake cost %.2f: a router connects to %.2f replicas, want %.1f to %.1f", test.handshakeCost, mean, test.minMean, test.maxMean)
		}
		for target := EndpointID(2); target <= 4; target++ {
			if share := float64(reads[target]) / (80 * 25); share < 0.2 || share > 0.47 {
				t.Errorf("handshake cost %.2f: replica %d served %.2f of the reads", test.handshakeCost, target, share)
			}
		}
	}
}

// A replica that fails four of five reads quickly looks idle, and each router uses it too rarely to see the four
// failures in a row that eject it. It must lose most of its share, and regain it after it recovers.
func TestFleetAvoidsFailingReplica(t *testing.T) {
	const routerCount = 80
	sent, reads := [2]int{}, [2]int{}
	for i, router := range newFleet(t, routerCount, nil) {
		router.listEndpoints(4)
		attempts := i
		for second := range 60 {
			phase := second / 30
			router.now += clock.Second
			_, actions := router.arrive(anyRead, "")
			targets := router.serveAttempts(80*ms, actions, roleOf, func(target EndpointID) bool { attempts++; return target == 3 && phase == 0 && attempts%5 > 0 })
			if second%30 < 10 { // the routers are still learning
				continue
			}
			reads[phase]++
			for _, target := range targets {
				if target == 3 {
					sent[phase]++
				}
			}
		}
	}
	if share := float64(sent[0]) / float64(reads[0]); share > 0.15 {
		t.Errorf("%.2f attempts per read at the failing replica; a healthy one gets a third", share)
	}
	if share := float64(sent[1]) / float64(reads[1]); share < 0.1 {
		t.Errorf("%.2f of the reads at the replica after it recovered", share)
	}
}

// A primary that answers with errors is up, and no other endpoint accepts writes: retries must not be spent on
// replicas, which can only reject them.
func TestFailingPrimaryIsRetried(t *testing.T) {
	router := newTestRouter(t, func(settings *Settings) { settings.Routers = 80 })
	router.listEndpoints(4)
	for range 5 {
		router.now += clock.Second
		attempts := 0
		_, actions := router.arrive(keyedWrite, "")
		targets := router.serveAttempts(3*ms, actions, roleOf, func(EndpointID) bool { attempts++; return attempts < 5 })
		if len(targets) != 5 {
			t.Fatalf("%d attempts, want four failures and one success", len(targets))
		}
		for _, target := range targets {
			if target != 1 {
				t.Fatalf("attempts at endpoints %v, want all at the primary, endpoint 1", targets)
			}
		}
	}
}

// One group is overloaded for ten seconds, and each router gets one slow answer per second from it. The routers must
// reject requests meanwhile, and must stop within seconds after the group is quick again.
func TestFleetRecoversFromOverload(t *testing.T) {
	rejected, requested := [2]int{}, [2]int{}
	for _, router := range newFleet(t, 80, nil) {
		router.listEndpoints(3)
		for second := range 20 {
			responseTime, phase := 600*ms, 0 // 1.5 times the latency objective
			if second >= 10 {
				responseTime, phase = 60*ms, 1
			}
			router.now += clock.Second
			_, actions := router.arrive(anyRead, "")
			if second >= 5 && second < 10 || second >= 14 {
				requested[phase]++
				rejected[phase] += len(ofKind(RejectRequest, actions))
			}
			router.serveAttempts(responseTime, actions, roleOf, func(EndpointID) bool { return false })
		}
	}
	if share := float64(rejected[0]) / float64(requested[0]); share < 0.1 {
		t.Errorf("%.2f of the requests rejected during the overload", share)
	}
	if share := float64(rejected[1]) / float64(requested[1]); share > 0.01 {
		t.Errorf("%.2f of the requests rejected more than four seconds after the overload", share)
	}
}

// A zone with eighteen endpoints, one in each group, fails: new connections to it time out, or requests on open ones
// stay unanswered. Each of eighty routers must lose few reads to the whole zone, not some to each endpoint. It must
// find out by probes, not by reads, when the zone has recovered, and use it again soon.
func TestFleetDetectsZoneOutage(t *testing.T) {
	t.Run("new connections", func(t *testing.T) { testZoneOutage(t, ConnectionRefused) })
	t.Run("open connections", func(t *testing.T) { testZoneOutage(t, TimedOut) })
}

//nolint:gocognit // one sequence of events, in order
func testZoneOutage(t *testing.T, outcome Outcome) {
	t.Helper()
	const groupCount, delay = 18, 250 * ms
	lost, probes, recovered := 0, 0, 0
	routers := newFleet(t, 80, func(settings *Settings) { settings.ProbesReportPosition, settings.LagHandling = true, LagRejected })
	for _, router := range routers {
		list := Event{Kind: EndpointSnapshot}
		for group := range EndpointID(groupCount) {
			for index, zone := range []string{"a", "b", "c"} {
				list.Endpoints = append(list.Endpoints, Endpoint{ID: 10*group + EndpointID(index), Group: int64(group), Zone: zone, Primary: index == 0, Weight: 4})
			}
		}
		router.step(list)
		probing := map[EndpointID]bool{}
		for step := range 800 { // 40 s with a read every 50 ms; the outage lasts from 10 s to 25 s
			start := router.now
			outage := step >= 200 && step < 500
			id := fmt.Sprintf("x%d", step)
			actions := router.step(Event{Kind: RequestArrived, Request: id, Class: anyRead, Tenant: -1, Group: int64(step % groupCount),
				Deadline: router.now + clock.Second})
			for _, action := range ofKind(SendAttempt, actions) {
				if action.Endpoint%10 == 2 && outage {
					lost++
					router.now += delay
					router.endAttempt(id, 0, action.Endpoint, outcome, RoleUnknown, 0)
					break
				}
				if action.Endpoint%10 == 2 && step >= 700 {
					recovered++
				}
				router.now += 20 * ms
				router.endAttempt(id, 0, action.Endpoint, Succeeded, Replica, router.now)
			}
			router.step(Event{Kind: RequestAbandoned, Request: id})
			for _, action := range ofKind(SendProbe, router.step(Event{Kind: TimerFired})) {
				probing[action.Endpoint] = true
			}
			for target := range probing {
				probes++
				probeOutcome := Succeeded
				if outage {
					probeOutcome = ConnectionRefused
				}
				router.step(Event{Kind: ProbeEnded, Endpoint: target, Outcome: probeOutcome})
			}
			clear(probing)
			router.now = max(router.now, start+50*ms)
		}
	}
	if mean := float64(lost) / 80; mean > 10 {
		t.Errorf("a router lost %.1f reads to the zone", mean)
	}
	if mean := float64(probes) / 80; mean > 12 {
		t.Errorf("a router sent %.1f probes to the zone", mean)
	}
	if recovered < 80*100/6 {
		t.Errorf("%d of %d reads sent to the zone ten seconds after it recovered", recovered, 80*100)
	}
}

// Every router repeatedly sends canary requests to an ejected endpoint, so that many reads may be lost there. The
// attempt must be aborted early enough for a retry at another endpoint. If there is none, it may use the full
// deadline.
func TestCanaryLeavesTimeForRetry(t *testing.T) {
	for _, test := range []struct {
		name   string
		others EndpointState
		early  bool
	}{{"other endpoints ready", Ready, true}, {"no other endpoint", Removed, false}} {
		router := newTestRouter(t, nil)
		router.listEndpoints(3)
		router.lb.groups.endpoints[2].health.Eject(0)
		for _, id := range []EndpointID{1, 3} {
			router.lb.setState(router.lb.groups.endpoints[id], test.others)
		}
		id, actions := router.arrive(anyRead, "")
		sends := ofKind(SendAttempt, actions)
		if len(sends) != 1 || sends[0].Endpoint != 2 || sends[0].Reason != ReasonCanary {
			t.Fatalf("%s: %+v", test.name, sends)
		}
		deadline := router.lb.requests.byID[id].deadline
		if early := sends[0].AttemptDeadline < router.now+(deadline-router.now)/2; early != test.early {
			t.Errorf("%s: aborted after %d of %d ms", test.name, (sends[0].AttemptDeadline-router.now)/ms, (deadline-router.now)/ms)
		}
		if !test.early {
			continue
		}
		router.now = sends[0].AttemptDeadline
		if next := ofKind(SendAttempt, router.endAttempt(id, 0, 2, TimedOut, RoleUnknown, 0)); len(next) != 1 || next[0].Endpoint == 2 {
			t.Errorf("%s: after the timeout: %+v", test.name, next)
		}
	}
}

// Connections to a host that is down hang. Nothing ran there, so the attempt must be aborted while the request can
// still start elsewhere, even where LateRejectionCharged leaves an unsent request only half of its time.
func TestConnectDeadlineLeavesTimeForRetry(t *testing.T) {
	router := newTestRouter(t, func(settings *Settings) { settings.LateRejectionCharged = true })
	router.listEndpoints(3)
	for _, class := range []int{anyRead, plainWrite} {
		id, actions := router.arrive(class, "")
		sends := ofKind(SendAttempt, actions)
		if len(sends) != 1 {
			t.Fatalf("%+v", actions)
		}
		first := sends[0]
		if last := router.lb.startDeadline(router.lb.requests.byID[id]); first.ConnectDeadline <= router.now || first.ConnectDeadline >= last || first.ConnectDeadline > first.AttemptDeadline {
			t.Errorf("class %d: connect deadline after %d of %d ms", class, (first.ConnectDeadline-router.now)/ms, (last-router.now)/ms)
		}
		router.now = first.ConnectDeadline
		actions = router.endAttempt(id, 0, first.Endpoint, ConnectionRefused, RoleUnknown, 0)
		for tries := 0; tries < 20 && len(ofKind(SendAttempt, actions)) == 0; tries++ { // the primary is retried after a pause
			router.now += 5 * ms
			actions = router.step(Event{Kind: TimerFired})
		}
		if next := ofKind(SendAttempt, actions); len(next) != 1 {
			t.Errorf("class %d: after the connect deadline: %+v", class, actions)
		}
	}
}
