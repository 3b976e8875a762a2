package balance

import (
	"fmt"
	"strings"
	"testing"

	"lotushook/policy/clock"
	"lotushook/policy/seeded"
)

const ms = clock.Nanos(1e6)

// Indexes of the classes in testSettings.
const (
	anyRead = iota
	boundedRead
	sessionRead
	freshRead
	plainWrite
	keyedWrite
)

func testSettings() Settings {
	return Settings{
		Routers:       2,
		BatchInterval: 5 * ms,
		EndpointSettings: EndpointSettings{
			LagHandling:    LagUnchecked,
			RoleVisibility: RoleAtStart,
			ProbesAllowed:  true,
		},
		AttemptSettings: AttemptSettings{
			MaxAttempts:       6,
			MaxQueued:         1000,
			CancelAllowed:     true,
			RetryAfterAllowed: true,
			MaxRetryAfter:     500 * ms,
			AnswerSlack:       20 * ms,
		},
		SlowStartSettings: SlowStartSettings{
			ColdCapacity:     0.2,
			WarmUpTime:       10e9,
			OverloadMultiple: 2,
			OverloadWindow:   1500 * ms,
		},
		CostSettings: CostSettings{OverQuotaWeight: 0.1, LateFailureCost: 0.05},
		Classes: []Class{
			{Name: "any", Consistency: AnyReplica, LatencyObjective: 400 * ms, Deadline: 1000 * ms, PriorityWeight: 1},
			{Name: "bounded", Consistency: BoundedStaleness, LatencyObjective: 400 * ms, Deadline: 1000 * ms, StalenessBound: 800 * ms, PriorityWeight: 1},
			{Name: "session", Consistency: ReadYourWrites, LatencyObjective: 400 * ms, Deadline: 1000 * ms, PriorityWeight: 1},
			{Name: "fresh", Consistency: FreshRead, LatencyObjective: 400 * ms, Deadline: 1000 * ms, PriorityWeight: 1},
			{Name: "write", Consistency: Write, Idempotency: NotIdempotent, LatencyObjective: 400 * ms, Deadline: 2000 * ms, PriorityWeight: 3, LateWeight: 0.7},
			{Name: "keyed", Consistency: Write, Idempotency: IdempotentByKey, KeyScope: ScopeGroup, IdempotencyWindow: 1000 * ms, LatencyObjective: 400 * ms,
				Deadline: 2000 * ms, PriorityWeight: 3, LateWeight: 0.7},
		}}
}

// testRouter drives one Balancer with events and a simulated clock.
type testRouter struct {
	t            *testing.T
	lb           *Balancer
	now          clock.Nanos
	requestCount int
}

func newTestRouter(t *testing.T, change func(*Settings)) *testRouter {
	t.Helper()
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	lb, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &testRouter{t: t, lb: lb, now: 1000e9}
}

func (router *testRouter) step(events ...Event) []Action { return router.lb.Step(router.now, events) }

// listEndpoints sends an endpoint list with one group: endpoint 1 is the primary, the others are replicas.
func (router *testRouter) listEndpoints(count int) {
	event := Event{Kind: EndpointSnapshot}
	for i := 1; i <= count; i++ {
		event.Endpoints = append(event.Endpoints, Endpoint{ID: EndpointID(i), Group: 1, Zone: "a", Primary: i == 1, Weight: 1})
	}
	router.step(event)
}

// arrive sends the arrival of a request of group 1 and returns its ID.
func (router *testRouter) arrive(class int, session string) (string, []Action) {
	router.requestCount++
	id := fmt.Sprintf("r%d", router.requestCount)
	return id, router.step(Event{Kind: RequestArrived, Request: id, Class: class, Tenant: -1, Session: session, Group: 1,
		Deadline: router.now + router.lb.settings.Classes[class].Deadline})
}

func (router *testRouter) endAttempt(id string, attempt int, ep EndpointID, outcome Outcome, role Role, position clock.Nanos) []Action {
	return router.step(Event{Kind: AttemptEnded, Request: id, Attempt: attempt, Endpoint: ep, Outcome: outcome, Final: outcome == Succeeded,
		Role: role, Position: position})
}

// advance moves the clock in steps of 20 ms, fires all timers at each step, and returns all actions.
func (router *testRouter) advance(span clock.Nanos) []Action {
	var all []Action
	for end := router.now + span; router.now < end; {
		router.now += 20 * ms
		events := []Event{{Kind: TimerFired}}
		for sequence := int64(1); sequence <= router.lb.requests.sequence; sequence++ {
			events = append(events, Event{Kind: TimerFired, TimerID: sequence})
		}
		all = append(all, router.step(events...)...)
	}
	return all
}

func ofKind(kind ActionKind, actions []Action) []Action {
	var matching []Action
	for _, action := range actions {
		if action.Kind == kind {
			matching = append(matching, action)
		}
	}
	return matching
}

// sentTo checks that exactly one attempt was sent and returns its endpoint.
func (router *testRouter) sentTo(actions []Action) EndpointID {
	router.t.Helper()
	sends := ofKind(SendAttempt, actions)
	if len(sends) != 1 {
		router.t.Fatalf("want one attempt, got %v", sends)
	}
	return sends[0].Endpoint
}

// reportPosition records a log position that a replica reports.
func (router *testRouter) reportPosition(ep EndpointID, position clock.Nanos) {
	router.lb.recordReport(router.lb.groups.endpoints[ep], Replica, position)
}

func TestSelectionByClass(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(3)
	router.reportPosition(2, router.now)
	for _, test := range []struct {
		class int
		want  EndpointID
	}{{plainWrite, 1}, {freshRead, 1}, {boundedRead, 2}} {
		if _, actions := router.arrive(test.class, "s"); router.sentTo(actions) != test.want {
			t.Errorf("class %d: not sent to endpoint %d", test.class, test.want)
		}
	}
	// Endpoint 3 has fewer pending requests, but its position is unknown: only class any may read it.
	if _, actions := router.arrive(anyRead, ""); router.sentTo(actions) != 3 {
		t.Error("class any: not sent to the replica without pending requests")
	}
	if _, actions := router.arrive(boundedRead, ""); router.sentTo(actions) != 2 {
		t.Error("a bounded read was sent to a replica of unknown position")
	}
}

func TestSessionReadQueuedThenDiverted(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(2)
	id, actions := router.arrive(plainWrite, "s")
	router.sentTo(actions)
	router.now += 50 * ms
	commit := router.now
	router.endAttempt(id, 0, 1, Succeeded, Primary, commit)
	router.reportPosition(2, commit-1)
	_, actions = router.arrive(sessionRead, "s")
	if len(ofKind(SendAttempt, actions)) != 0 {
		t.Fatal("the read was not queued")
	}
	if target := router.sentTo(router.advance(100 * ms)); target != 1 {
		t.Errorf("diverted to endpoint %d, want the primary", target)
	}
	router.reportPosition(2, commit)
	if _, actions = router.arrive(sessionRead, "s"); router.sentTo(actions) != 2 {
		t.Error("not sent to the replica whose position covers the read")
	}
}

// When a session's commit is evicted from the table, the session's reads must still see all commits recorded before.
func TestEvictedSessionStillLimitsReads(t *testing.T) {
	router := newTestRouter(t, func(settings *Settings) { settings.MaxQueued = 1 })
	router.listEndpoints(2)
	var last clock.Nanos
	for i := range 3 {
		id, _ := router.arrive(plainWrite, fmt.Sprint("s", i))
		router.now += 50 * ms
		last = router.now
		router.endAttempt(id, 0, 1, Succeeded, Primary, last)
	}
	router.reportPosition(2, last-200*ms)
	if _, actions := router.arrive(sessionRead, "s0"); len(ofKind(SendAttempt, actions)) != 0 {
		t.Error("a read was sent to a replica that lags behind an evicted commit")
	}
}

func TestNonIdempotentWriteNeverRetried(t *testing.T) {
	for _, outcome := range []Outcome{Failed, ConnectionReset, TimedOut, Canceled} {
		router := newTestRouter(t, nil)
		router.listEndpoints(3)
		id, _ := router.arrive(plainWrite, "")
		actions := append(router.endAttempt(id, 0, 1, outcome, RoleUnknown, 0), router.advance(2500*ms)...)
		if len(ofKind(SendAttempt, actions)) != 0 || len(ofKind(RejectRequest, actions)) != 0 || len(ofKind(FailRequest, actions)) != 1 {
			t.Errorf("outcome %d: %v", outcome, actions)
		}
	}
}

func TestKeyedRepeatOnlyInsideWindow(t *testing.T) {
	for _, test := range []struct {
		wait  clock.Nanos
		sends int
	}{{100 * ms, 1}, {950 * ms, 0}} {
		router := newTestRouter(t, nil)
		router.listEndpoints(3)
		id, _ := router.arrive(keyedWrite, "")
		router.now += test.wait
		actions := router.endAttempt(id, 0, 1, ConnectionReset, RoleUnknown, 0)
		if len(ofKind(SendAttempt, actions)) != test.sends {
			t.Errorf("after %d ms: %v", test.wait/ms, actions)
		}
	}
}

func TestDrainAndRemovalApplyAtOnce(t *testing.T) {
	for _, event := range []Event{
		{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: 1, Group: 1, State: Draining}}},
		{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: 1, Group: 1, State: Removed}}},
		{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: 2, Group: 1}}},
	} {
		router := newTestRouter(t, nil)
		router.listEndpoints(2)
		router.step(event)
		if _, actions := router.arrive(freshRead, ""); len(ofKind(SendAttempt, actions)) != 0 {
			t.Errorf("event kind %v: sent to a draining or removed endpoint", event.Kind)
		}
	}
	router := newTestRouter(t, func(settings *Settings) { settings.SoftRemoval = true })
	router.listEndpoints(2)
	router.step(Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: 2, Group: 1}}})
	if _, actions := router.arrive(freshRead, ""); len(ofKind(SendAttempt, actions)) != 1 {
		t.Error("SoftRemoval: an endpoint removed without draining was not used")
	}
}

func TestColdNodeKeepsItsBudget(t *testing.T) {
	sends, most := 0, 0
	for seed := range uint64(50) {
		router := newTestRouter(t, nil)
		*router.lb.random = *seeded.New(seed << 58)
		router.step(Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: 1, Group: 1, Primary: true, StartedAt: router.now, Weight: 1}}})
		before := sends
		for range 20 {
			_, actions := router.arrive(plainWrite, "")
			sends += len(ofKind(SendAttempt, actions))
		}
		most = max(most, sends-before)
	}
	// Without history, each of the 2 routers assumes that it may use half of one core. OverloadMultiple 2 times
	// ColdCapacity 0.2 of half a core for OverloadWindow 1.5 s is 300 ms of work. The routers use four fifths of it,
	// so that chance does not lift the sum of their work over the budget: 240 ms, or three writes estimated at 80 ms.
	if mean := float64(sends) / 50; mean < 2.8 || mean > 3.2 || most > 3 {
		t.Errorf("%.2f writes on average, at most %d, were sent to a cold primary", mean, most)
	}
}

func TestSilentPrimaryEjected(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(3)
	keyed, _ := router.arrive(keyedWrite, "")
	router.arrive(plainWrite, "")
	router.arrive(plainWrite, "")
	actions := router.advance(600 * ms)
	if len(ofKind(WriteLog, actions)) == 0 || !strings.Contains(ofKind(WriteLog, actions)[0].Message, "silent") {
		t.Fatalf("the silent primary was not ejected: %v", actions)
	}
	if !router.lb.groups.endpoints[1].health.Ejected() {
		t.Fatal("the silent primary is not ejected")
	}
	for _, action := range ofKind(SendAttempt, actions) {
		if action.Request != keyed {
			t.Errorf("a write that is not idempotent was retried: %v", action)
		}
	}
}

func TestEveryRequestGetsFinalAnswer(t *testing.T) {
	router := newTestRouter(t, nil)
	var actions []Action
	for class := range router.lb.settings.Classes {
		_, more := router.arrive(class, "s")
		actions = append(actions, more...)
	}
	actions = append(actions, router.advance(2500*ms)...)
	if got := len(ofKind(RejectRequest, actions)) + len(ofKind(FailRequest, actions)); got != len(router.lb.settings.Classes) {
		t.Errorf("%d final answers without any endpoint, want %d", got, len(router.lb.settings.Classes))
	}
	if len(router.lb.requests.byID) != 0 || len(router.lb.requests.bySequence) != 0 {
		t.Error("requests remain in the table after their end")
	}
}

func TestInvalidSettingNamed(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Routers": func(settings *Settings) { settings.Routers = 0 }, "Classes": func(settings *Settings) { settings.Classes = nil },
		"BatchInterval": func(settings *Settings) { settings.BatchInterval = 0 }, "MaxAttempts": func(settings *Settings) { settings.MaxAttempts = 0 },
		"ColdCapacity": func(settings *Settings) { settings.ColdCapacity = 2 }, "LatencyObjective": func(settings *Settings) { settings.Classes[0].LatencyObjective = 0 },
		"MaxQueued": func(settings *Settings) { settings.MaxQueued = 0 }, "StalenessBound": func(settings *Settings) { settings.Classes[1].StalenessBound = 0 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// Under overload, the newest queued read must be sent first, as the clients of the oldest ones are about to leave.
func TestNewestQueuedFirst(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(1)
	first, actions := router.arrive(freshRead, "")
	router.sentTo(actions)
	queued := ""
	for range 20 {
		queued, actions = router.arrive(freshRead, "")
	}
	if len(ofKind(SendAttempt, actions)) != 0 {
		t.Fatal("no limit of attempts in flight")
	}
	router.now += 50 * ms
	sent := ofKind(SendAttempt, router.endAttempt(first, 0, 1, Succeeded, Primary, router.now))
	if len(sent) == 0 {
		t.Fatal("no queued read was sent after an answer")
	}
	if sent[0].Request != queued {
		t.Errorf("sent %s, want the newest, %s", sent[0].Request, queued)
	}
}

// A busy endpoint rejects at once. Even if it is the only one, it must not be sent a retry within the same batch.
func TestBusyEndpointNotRetriedInSameBatch(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(1)
	id, actions := router.arrive(freshRead, "")
	router.sentTo(actions)
	for attempt := range 3 {
		actions = router.endAttempt(id, attempt, 1, Busy, RoleUnknown, 0)
		if count := len(ofKind(SendAttempt, actions)); count != 0 {
			t.Fatalf("retried at once after answer %d", attempt)
		}
		if len(ofKind(SendAttempt, router.advance(300*ms))) == 0 {
			return
		}
	}
}

// The work of writes must be learned even from a primary that is never idle.
func TestWorkLearnedFromBusyPrimary(t *testing.T) {
	router := newTestRouter(t, func(settings *Settings) { settings.Routers = 1 })
	router.listEndpoints(1)
	first := router.lb.classes.Work(plainWrite)
	inFlight, _ := router.arrive(plainWrite, "")
	for range 40 {
		next, _ := router.arrive(plainWrite, "")
		router.now += 20 * ms
		router.endAttempt(inFlight, 0, 1, Succeeded, Primary, router.now)
		inFlight = next
	}
	if got := router.lb.classes.Work(plainWrite); got > first*0.8 {
		t.Errorf("work is still %.0f ms after 40 answers of 20 to 40 ms", got/1e6)
	}
}

// If clients leave long before the latency objective, the time that they wait replaces it in deadlines and limits.
func TestAbandonmentShortensPatience(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(1)
	for range 40 {
		id, _ := router.arrive(freshRead, "")
		router.now += 100 * ms
		router.step(Event{Kind: RequestAbandoned, Request: id})
	}
	if got := router.lb.classes.Patience(freshRead); got > 150e6 {
		t.Errorf("patience is %.0f ms after 40 clients left at 100 ms", got/1e6)
	}
	for range 200 {
		router.now += 20 * ms
		id, actions := router.arrive(anyRead, "")
		if len(ofKind(SendAttempt, actions)) == 1 {
			router.endAttempt(id, 0, 1, Succeeded, Primary, router.now)
		}
	}
	if got := router.lb.classes.Patience(anyRead); got < 390e6 {
		t.Errorf("patience is %.0f ms in a class whose clients all stayed", got/1e6)
	}
}

// An overloaded endpoint leaves half of the attempts unanswered and answers the rest quickly: its limit must fall
// even though every answer is quick.
func TestUnansweredAttemptsLowerLimit(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(1)
	ep := router.lb.groups.endpoints[1]
	before := ep.limit
	for range 30 {
		lost, lostActions := router.arrive(freshRead, "")
		quick, quickActions := router.arrive(anyRead, "")
		if len(ofKind(SendAttempt, lostActions))+len(ofKind(SendAttempt, quickActions)) == 0 {
			break
		}
		router.now += 40 * ms
		if len(ofKind(SendAttempt, quickActions)) == 1 {
			router.endAttempt(quick, 0, 1, Succeeded, Primary, router.now)
		} else {
			router.reportPosition(1, router.now)
			ep.answeredAt = router.now
		}
		router.now += 360 * ms
		router.endAttempt(lost, 0, 1, TimedOut, RoleUnknown, 0)
		router.step(Event{Kind: RequestAbandoned, Request: lost})
	}
	if ep.health.Ejected() || ep.limit >= before/2 {
		t.Errorf("limit %.1f, initially %.1f; ejected: %v", ep.limit, before, ep.health.Ejected())
	}
}

// The answer of a write arrives after its client has left: later reads of the session must still see the write.
func TestLateWriteAnswerRecordsCommit(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(2)
	id, _ := router.arrive(plainWrite, "s")
	router.step(Event{Kind: RequestAbandoned, Request: id})
	router.now += 50 * ms
	router.endAttempt(id, 0, 1, Succeeded, Primary, router.now)
	router.reportPosition(2, router.now-1)
	if _, actions := router.arrive(sessionRead, "s"); len(ofKind(SendAttempt, actions)) != 0 {
		t.Error("a read was sent to a replica that lags behind the session's write")
	}
}

// A probe's report may be older than an answer with the role replica: it must not make the endpoint primary again.
func TestProbeReportDoesNotOverrideRole(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(2)
	router.lb.recordReport(router.lb.groups.endpoints[1], Replica, 0)
	router.lb.groups.endpoints[1].probing = true
	router.step(Event{Kind: ProbeEnded, Endpoint: 1, Outcome: Succeeded, Role: Primary, Position: router.now})
	if router.lb.groups.byID[1].primary != nil {
		t.Error("the probe's report made the endpoint primary")
	}
}

// A single router gets many answers per round trip: one slow round trip must not reduce a limit to its minimum.
func TestOneSlowRoundTripBarelyLowersLimit(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(1)
	ep := router.lb.groups.endpoints[1]
	ep.limit = 12
	for range 12 {
		router.lb.recordLoad(ep, 1)
	}
	if ep.limit < 12*0.7 {
		t.Errorf("limit %.1f after one slow round trip, want at least 0.7 times 12", ep.limit)
	}
	for range 200 {
		router.lb.recordLoad(ep, 1)
	}
	if ep.limit != minLimit {
		t.Errorf("limit %.1f of an endpoint that stays slow, want the minimum", ep.limit)
	}
}

// Many routers send to one cold endpoint with three cores. The work of all of them must stay within OverloadMultiple
// of its current capacity, although each router alone would send only one request per window.
func TestManyRoutersStayWithinSlowStartBudget(t *testing.T) {
	const routerCount, cores = 140, 3.0
	fleet := make([]*testRouter, routerCount)
	for i := range fleet {
		fleet[i] = newTestRouter(t, func(settings *Settings) { settings.Routers = routerCount })
		*fleet[i].lb.random = *seeded.New(uint64(i) * 0x9e3779b97f4a7c15)
		fleet[i].step(Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: 1, Group: 1, StartedAt: fleet[i].now, Weight: 1}}})
	}
	settings := &fleet[0].lb.settings
	var sends []clock.Nanos
	for elapsed := clock.Nanos(0); elapsed < 6e9; elapsed += 100 * ms {
		for i, router := range fleet {
			if router.now = 1000e9 + elapsed; (i+int(elapsed/(100*ms)))%5 > 0 {
				continue // two reads per second from each router
			}
			id, actions := router.arrive(anyRead, "")
			for _, action := range ofKind(SendAttempt, actions) {
				sends = append(sends, elapsed)
				router.now += 40 * ms
				router.endAttempt(id, action.Attempt, 1, Succeeded, Replica, router.now)
			}
		}
		capacityShare := settings.ColdCapacity + (1-settings.ColdCapacity)*float64(elapsed)/float64(settings.WarmUpTime)
		allowed := settings.OverloadMultiple * capacityShare * cores * float64(settings.OverloadWindow)
		work := 0.0
		for _, sentAt := range sends {
			if sentAt > elapsed-settings.OverloadWindow {
				work += float64(80 * ms)
			}
		}
		if work > allowed {
			t.Fatalf("after %d ms: %.1f s of work in a window, %.1f s allowed", elapsed/ms, work/1e9, allowed/1e9)
		}
	}
	if len(sends) == 0 {
		t.Error("the cold endpoint was sent nothing in 6 s")
	}
}

// With nothing in flight, no replica has fewer pending requests. Equal replicas must get equal shares of the reads, and
// one that is three times slower than its peers must get far fewer, but some.
func TestTiesAreBalanced(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(5)
	count := func() map[EndpointID]int {
		reads := map[EndpointID]int{}
		for range 2000 {
			id, actions := router.arrive(anyRead, "")
			target := router.sentTo(actions)
			reads[target]++
			router.lb.groups.endpoints[target].attempts = nil
			delete(router.lb.requests.byID, id)
		}
		return reads
	}
	for target, reads := range count() {
		if reads < 400 || reads > 600 {
			t.Errorf("replica %d was sent %d of 2000 reads, want about 500", target, reads)
		}
	}
	slow := &router.lb.groups.endpoints[5].health
	slow.SetLoad(3 * slow.Load())
	if reads := count()[5]; reads < 20 || reads > 140 {
		t.Errorf("the slow replica was sent %d of 2000 reads, want about 70", reads)
	}
}

// If a group's replicas answer slowly although this router has nothing in flight there, other routers overload them,
// and the primary must serve reads too. If the replicas are quick, the primary must not.
func TestPrimaryServesReadsOfOverloadedReplicas(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(3)
	for _, test := range []struct {
		load float64
		want bool
	}{{0.2, false}, {0.6, true}} {
		router.lb.groups.endpoints[2].health.SetLoad(test.load)
		router.lb.groups.endpoints[3].health.SetLoad(test.load)
		primaryUsed := false
		for range 20 {
			id, actions := router.arrive(anyRead, "")
			primaryUsed = primaryUsed || router.sentTo(actions) == 1
			for _, ep := range router.lb.groups.endpoints {
				ep.attempts = nil
			}
			delete(router.lb.requests.byID, id)
		}
		if primaryUsed != test.want {
			t.Errorf("load %.1f: the primary served reads: %v", test.load, primaryUsed)
		}
	}
}

// A router that knows no position recent enough for a read must probe a likely replica at once.
func TestUncoveredReadProbesAtOnce(t *testing.T) {
	router := newTestRouter(t, func(settings *Settings) { settings.ProbesReportPosition = true })
	router.listEndpoints(3)
	_, actions := router.arrive(boundedRead, "")
	if len(ofKind(SendProbe, actions)) != 1 || len(ofKind(SendAttempt, actions)) != 0 {
		t.Fatalf("want one probe and no attempt, got %v", actions)
	}
	target := ofKind(SendProbe, actions)[0].Endpoint
	router.now += 5 * ms
	if got := router.sentTo(router.step(Event{Kind: ProbeEnded, Endpoint: target, Outcome: Succeeded, Role: Replica, Position: router.now})); got != target {
		t.Errorf("the read was sent to endpoint %d, but endpoint %d reported the position", got, target)
	}
}

// With more routers than an endpoint has capacity for, limits of one attempt per router can't stop an overload. Part
// of the requests for a slow group must be rejected at once with a Retry-After time, and no requests for a quick group.
func TestOverloadedGroupRejectsAtOnce(t *testing.T) {
	for _, test := range []struct {
		routers                  int
		load                     float64
		minRejected, maxRejected int
	}{{140, 0.2, 0, 0}, {140, 0.7, 60, 140}, {140, 2, 140, 200}, {2, 0.7, 0, 0}} {
		router := newTestRouter(t, func(settings *Settings) { settings.Routers = test.routers })
		router.listEndpoints(3)
		rejected := 0
		for range 200 {
			group := router.lb.groups.byID[1]
			for range 100_000 {
				group.load.Add(router.now, router.lb.maxDeadline, test.load)
			}
			_, actions := router.arrive(anyRead, "")
			for _, action := range ofKind(RejectRequest, actions) {
				if rejected++; action.RetryAfter == 0 {
					t.Fatal("rejected without a Retry-After time")
				}
			}
			for _, ep := range router.lb.groups.endpoints {
				ep.attempts = nil
			}
		}
		if rejected < test.minRejected || rejected > test.maxRejected {
			t.Errorf("%d routers, load %.1f: %d of 200 rejected, want %d to %d", test.routers, test.load, rejected, test.minRejected, test.maxRejected)
		}
	}
}

// A router's share of a tenant's quota may be less than one request per second: requests within it are not over
// quota.
func TestSmallQuotaShareNotExceeded(t *testing.T) {
	router := newTestRouter(t, func(settings *Settings) {
		settings.Routers, settings.Tenants = 140, []Tenant{{Name: "t", Quota: 70}}
	})
	over := 0
	for range 50 {
		router.now += 2500 * ms
		router.step()
		if router.lb.quotas.Exceeds(router.now, 0, router.lb.slowStart.RouterCount()) {
			over++
		}
	}
	if over > 0 {
		t.Errorf("%d of 50 requests were over quota at four fifths of it", over)
	}
}

// A router's share of the quotas follows QuotaShareChanged: it grows when the shares of other routers are divided,
// and shrinks when this router may have been left out.
func TestQuotaFollowsTheShare(t *testing.T) {
	router := newTestRouter(t, func(settings *Settings) { settings.Routers, settings.Tenants = 10, []Tenant{{Name: "t", Quota: 200}} })
	for _, test := range []struct {
		share float64
		want  int // of 100 requests in a second
	}{{0, 20}, {0.2, 40}, {0.05, 10}} {
		if test.share > 0 {
			router.step(Event{Kind: QuotaShareChanged, Share: test.share})
		}
		router.now += 10000 * ms // unused quota of at most one second accumulates
		router.step()
		within := 0
		for range 100 {
			if !router.lb.quotas.Exceeds(router.now, 0, router.lb.slowStart.RouterCount()) {
				within++
			}
		}
		if within != test.want {
			t.Errorf("share %v: %d requests within quota, want %d", test.share, within, test.want)
		}
	}
}

// Attempts whose clients left must raise the group's load, or only the answers that were quick enough would count.
func TestAbandonedAttemptsRaiseGroupLoad(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(3)
	for range 20 {
		id, actions := router.arrive(anyRead, "")
		if len(ofKind(SendAttempt, actions)) == 0 {
			continue
		}
		target := router.sentTo(actions)
		router.now += 350 * ms
		router.step(Event{Kind: RequestAbandoned, Request: id})
		router.endAttempt(id, 0, target, Canceled, RoleUnknown, 0)
	}
	if got := router.lb.groups.byID[1].load.Value(router.now, router.lb.maxDeadline, priorLoad, priorAnswers); got < overloadShare {
		t.Errorf("group load %.2f after 20 clients left unanswered shortly before the latency objective", got)
	}
}

// A replica whose probe reports a queue must get fewer reads than an idle one, before any attempt fails there, and
// the queue must raise the group's load.
func TestReportedQueueReducesReads(t *testing.T) {
	router := newTestRouter(t, func(settings *Settings) { settings.ProbesReportPosition = true })
	router.listEndpoints(3)
	before := router.lb.groups.byID[1].load.Value(router.now, router.lb.maxDeadline, priorLoad, priorAnswers)
	for target, waiting := range map[EndpointID]int{2: 0, 3: 12} {
		router.lb.groups.endpoints[target].probing = true
		router.step(Event{Kind: ProbeEnded, Endpoint: target, Outcome: Succeeded, Role: Replica, Position: router.now, HasLoad: true,
			Waiting: waiting, Active: waiting + 3})
	}
	if router.lb.groups.byID[1].load.Value(router.now, router.lb.maxDeadline, priorLoad, priorAnswers) <= before {
		t.Error("a reported queue of 12 did not raise the group's load")
	}
	reads := map[EndpointID]int{}
	for range 300 {
		_, actions := router.arrive(anyRead, "")
		for _, action := range ofKind(SendAttempt, actions) {
			reads[action.Endpoint]++
		}
		for _, ep := range router.lb.groups.endpoints {
			ep.attempts = nil
		}
	}
	if reads[3] > reads[2]/5 {
		t.Errorf("%d reads to the idle replica, %d to the one with a queue", reads[2], reads[3])
	}
}

// All endpoints fail in turn, so that most are ejected at any time. The estimate of an endpoint's capacity must not
// be based on the few others alone, or the slow-start budget would grow with each ejection.
func TestEjectedPeersDoNotRaiseSlowStartBudget(t *testing.T) {
	budgetShare := func(ejected int) float64 {
		router := newTestRouter(t, func(settings *Settings) { settings.Routers = 30 })
		router.listEndpoints(8)
		for range 40 {
			router.now += 400 * ms
			id, actions := router.arrive(anyRead, "")
			for _, action := range ofKind(SendAttempt, actions) {
				router.endAttempt(id, action.Attempt, action.Endpoint, Succeeded, Replica, router.now)
			}
			for i := range ejected {
				router.lb.groups.endpoints[EndpointID(8-i)].health.Eject(0)
			}
			router.step(Event{Kind: TimerFired})
		}
		return router.lb.slowStart.WorkRate()
	}
	if noneEjected, mostEjected := budgetShare(0), budgetShare(6); mostEjected > noneEjected*1.01 {
		t.Errorf("share %.4f with six of eight endpoints ejected, %.4f with none", mostEjected, noneEjected)
	}
}

// Endpoints that were removed and are long silent must not accumulate over weeks of replacements. One that is still
// listed as ready must stay, however long it is silent.
func TestReplacedEndpointsAreEvicted(t *testing.T) {
	router := newTestRouter(t, nil)
	for i := range EndpointID(200) {
		router.now += 60e9
		router.step(Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: 1, Group: 1}, {ID: 1000 + i, Group: 1, StartedAt: router.now}}})
	}
	if got := len(router.lb.groups.endpoints); got > 4 || got != len(router.lb.groups.byID[1].endpoints) || router.lb.groups.endpoints[1] == nil {
		t.Errorf("%d endpoints in the table and %d in the group after 200 replacements", got, len(router.lb.groups.byID[1].endpoints))
	}
}

// With RoleAtStart, the list's mark of the primary may be outdated after the first request, and must be ignored then.
func TestStaticPrimaryMarkIgnoredLater(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(2)
	router.arrive(anyRead, "")
	router.step(Event{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: 1, Group: 1, State: Removed}}})
	router.step(Event{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: 9, Group: 1, Primary: true}}})
	if router.lb.groups.byID[1].primary != nil {
		t.Error("an outdated mark of the list named a primary")
	}
}

// Queued requests with different arrival times must be removable in any order.
func TestQueuedRequestsLeaveInAnyOrder(t *testing.T) {
	router := newTestRouter(t, nil)
	var ids []string
	for i := range 60 {
		if i%3 == 0 {
			router.now += 5 * ms
		}
		id, _ := router.arrive(freshRead, "")
		ids = append(ids, id)
	}
	for i := range ids {
		router.step(Event{Kind: RequestAbandoned, Request: ids[i*37%len(ids)]})
	}
	for _, queue := range router.lb.groups.byID[1].queues {
		if queue.Len() > 0 {
			t.Errorf("%d requests remain in a queue", queue.Len())
		}
	}
}

// BenchmarkStep measures the steps of one request and its answer, by number of endpoints and queued requests.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ endpoints, queued int }{{6, 0}, {60, 0}, {6, 5000}} {
		b.Run(fmt.Sprintf("nodes=%d/held=%d", size.endpoints, size.queued), func(b *testing.B) {
			settings := testSettings()
			settings.MaxQueued = 1 << 20
			router, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			list := Event{Kind: EndpointSnapshot}
			for i := range size.endpoints {
				list.Endpoints = append(list.Endpoints, Endpoint{ID: EndpointID(i + 1), Group: int64(i / 6), Primary: i%6 == 0})
			}
			now := clock.Nanos(1000e9)
			router.Step(now, []Event{list})
			for i := range size.queued { // in a group without endpoints
				router.Step(now, []Event{{Kind: RequestArrived, Request: fmt.Sprint("h", i), Group: 99, Tenant: -1,
					Class: freshRead, Deadline: now + 1e15}})
			}
			for i := 0; b.Loop(); i++ {
				now += 5 * ms
				id := fmt.Sprint(i)
				for _, action := range router.Step(now, []Event{{Kind: RequestArrived, Request: id, Class: anyRead, Tenant: -1,
					Deadline: now + 1e9}}) {
					if action.Kind == SendAttempt {
						router.Step(now+40*ms, []Event{{Kind: AttemptEnded, Request: id, Endpoint: action.Endpoint, Outcome: Succeeded,
							Final: true, Role: Replica}})
					}
				}
			}
		})
	}
}

// Half of all attempts fail at every endpoint (incident ida37ac). Two or three failures in a row are then chance and
// must not eject an endpoint; four in a row must.
func TestErrorsEverywhereEjectNoEndpoint(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(2)
	ep := router.lb.groups.endpoints[2]
	for i := range 40 {
		id, actions := router.arrive(anyRead, "")
		for _, action := range ofKind(SendAttempt, actions) {
			router.endAttempt(id, action.Attempt, action.Endpoint, []Outcome{Failed, Failed, Failed, Succeeded}[i%4], Replica, 0)
		}
		if ep.health.Ejected() {
			t.Fatal("ejected after three failures in a row")
		}
		router.now += 500 * ms
	}
	for range 4 {
		router.lb.recordFailure(ep, 80*ms)
	}
	if !ep.health.Ejected() {
		t.Error("not ejected after four failures in a row")
	}
}

// An endpoint restarts between two endpoint lists, or the list never shows the restart. Routers whose connections it
// refused must apply slow start when it answers again, or together they overload it while cold. A reset or a failure
// does not prove a restart.
func TestRecoveryFromRefusalStartsSlowStart(t *testing.T) {
	for outcome, want := range map[Outcome]bool{ConnectionRefused: true, ConnectionReset: false, Failed: false} {
		router := newTestRouter(t, nil)
		router.listEndpoints(2)
		id, actions := router.arrive(anyRead, "")
		target := router.sentTo(actions)
		router.endAttempt(id, 0, target, outcome, RoleUnknown, 0)
		router.advance(2000 * ms)
		router.lb.readmit(router.lb.groups.endpoints[target])
		if got := router.lb.warmth(router.lb.groups.endpoints[target]) < 1; got != want {
			t.Errorf("outcome %d: in slow start: %v, want %v", outcome, got, want)
		}
	}
}

// With LateRejectionCharged, a request that reached no endpoint is rejected at half of its time, as few that waited
// this long are served in the rest. One that reached an endpoint may wait longer.
func TestUnsentRequestRejectedHalfway(t *testing.T) {
	for _, test := range []struct {
		lateRejectionCharged bool
		firstOutcome         Outcome
		wait                 clock.Nanos
	}{{true, ConnectionRefused, 1000 * ms}, {true, NotEligible, 1900 * ms}, {false, ConnectionRefused, 1900 * ms}} {
		router := newTestRouter(t, func(settings *Settings) { settings.LateRejectionCharged = test.lateRejectionCharged })
		router.listEndpoints(2)
		id, actions := router.arrive(plainWrite, "")
		router.step(Event{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: 1, Group: 1, State: Removed}, {ID: 2, Group: 1, State: Removed}}})
		router.endAttempt(id, 0, router.sentTo(actions), test.firstOutcome, RoleUnknown, 0)
		if actions := ofKind(RejectRequest, router.advance(test.wait-40*ms)); len(actions) > 0 {
			t.Errorf("%+v: rejected too early", test)
		}
		if actions := ofKind(RejectRequest, router.advance(80*ms)); len(actions) != 1 {
			t.Errorf("%+v: %v", test, actions)
		}
	}
}

// A slow endpoint can still use all its cores. If it is the only endpoint left, a limit below this router's share of
// the cores would leave cores idle while reads are rejected.
func TestLimitCoversShareOfCores(t *testing.T) {
	for weight, want := range map[float64]float64{1: minLimit, 4: 2} { // for two routers
		router := newTestRouter(t, nil)
		router.listEndpoints(2)
		ep := router.lb.groups.endpoints[2]
		ep.weight = weight
		for range 100 {
			router.lb.recordLoad(ep, 1)
		}
		if ep.limit != want {
			t.Errorf("weight %v: limit %v, want %v", weight, ep.limit, want)
		}
	}
}

// A broken connection can lose a request while its endpoint answers others. After such a loss, a slow attempt that
// may be retried must be aborted in time for a retry. Before any loss, a slow attempt is taken for expensive work.
func TestLostAttemptsAreRetried(t *testing.T) {
	router := newTestRouter(t, nil)
	router.listEndpoints(2)
	timeAllowed := func(class int) clock.Nanos {
		id, actions := router.arrive(class, "")
		target := router.sentTo(actions)
		allowed := ofKind(SendAttempt, actions)[0].AttemptDeadline - router.now
		router.endAttempt(id, 0, target, Succeeded, RoleUnknown, 0)
		return allowed
	}
	if got := timeAllowed(anyRead); got != 1000*ms {
		t.Errorf("without a loss a read is aborted after %d ms", got/ms)
	}
	id, actions := router.arrive(anyRead, "")
	lost := router.sentTo(actions)
	router.now += ms
	timeAllowed(anyRead) // a second read at the same endpoint is answered
	router.now += 999 * ms
	router.endAttempt(id, 0, lost, TimedOut, RoleUnknown, 0)
	for class, want := range map[int]clock.Nanos{anyRead: 400 * ms, keyedWrite: 400 * ms, plainWrite: 2000 * ms} {
		if got := timeAllowed(class); got > want || class == plainWrite && got != want {
			t.Errorf("class %d: aborted after %d ms, want %d", class, got/ms, want/ms)
		}
	}
	for range 200 {
		timeAllowed(anyRead)
	}
	if got := timeAllowed(anyRead); got != 1000*ms {
		t.Errorf("long after the loss a read is aborted after %d ms", got/ms)
	}
}

// A class of reads that keeps a replica from applying its log is recognized by the positions of its answers. From
// then on it must be sent to the primary while that is within its limit, otherwise to the replica with the oldest
// position. A class of equally long reads that does not block the log must be balanced over the replicas.
func TestBlockingReadsAvoidReplicas(t *testing.T) {
	for _, test := range []struct {
		name        string
		lag         clock.Nanos // of an answer's position, after a response time of 300 ms
		primaryFree bool
		want        EndpointID
	}{
		{"blocks, primary within its limit", 300 * ms, true, 1}, {"blocks, primary at its limit", 300 * ms, false, 4}, {"does not block", 10 * ms, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newTestRouter(t, func(s *Settings) { s.Classes[anyRead].LatencyObjective, s.Classes[anyRead].Deadline = 3000*ms, 6000*ms })
			router.listEndpoints(4)
			for range 2 {
				id, actions := router.arrive(anyRead, "")
				target := router.sentTo(actions)
				if target == 1 {
					t.Fatal("a read was sent to the primary before the class was known to block")
				}
				router.now += 300 * ms
				router.endAttempt(id, 0, target, Succeeded, Replica, router.now-test.lag)
				router.now += 100 * ms
			}
			router.reportPosition(2, router.now-5*ms)
			router.reportPosition(3, router.now-5*ms)
			router.reportPosition(4, router.lb.groups.endpoints[4].position) // as last reported when it served a read, or unknown
			if router.lb.groups.endpoints[4].position >= router.now-5*ms {
				t.Fatal("endpoint 4 does not lag")
			}
			if !test.primaryFree {
				router.lb.groups.endpoints[1].limit = 0
			}
			_, actions := router.arrive(anyRead, "")
			got := router.sentTo(actions)
			if test.want != 0 && got != test.want || test.want == 0 && got == 1 {
				t.Errorf("sent to endpoint %d, want %d (0: any replica)", got, test.want)
			}
		})
	}
}
