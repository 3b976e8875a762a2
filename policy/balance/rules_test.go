package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"lotushook/policy/clock"
)

// history sends one Balancer a random sequence of events, adversarial but within the interface's contract, and checks
// every action against the platform's five rules and that contract.
type history struct {
	random       *rand.Rand
	settings     Settings
	lb           *Balancer
	now          clock.Nanos
	requestCount int
	endpoints    []*trackedEndpoint
	requests     map[string]*trackedRequest
	openIDs      []string
	abandoned    []*trackedRequest // abandoned in this batch; the router may have answered them before it read the event
	timers       []Event
	timerTimes   []clock.Nanos // of timers, by index
	commits      map[string]clock.Nanos
	newCommits   map[string]clock.Nanos
	trace        []string       // actions of each step
	observe      func([]Action) // called with the actions of each step; may be nil
	violation    string         // first violation of a rule
}

type trackedEndpoint struct {
	Endpoint
	mayBePrimary    bool        // it was listed or reported as primary
	reportedReplica bool        // its last outcome that reported a role said that it is a replica
	position        clock.Nanos // highest position reported
	coldAttempts    []coldAttemptRecord
	probes          int // probes in flight
}

type coldAttemptRecord struct{ sentAt, work clock.Nanos }

type trackedRequest struct {
	class            int
	session          string
	requiredPosition clock.Nanos // position of the session's last commit at arrival
	deadline         clock.Nanos
	group            int64
	attempts         []trackedAttempt
	ended            bool // it has its final answer
}

type trackedAttempt struct {
	endpoint          *trackedEndpoint
	sentAt            clock.Nanos
	ended, mayHaveRun bool
}

// variantSettings derives settings from bits, so that every kind of settings that a platform can configure occurs.
func variantSettings(bits uint16) Settings {
	settings := testSettings()
	bit := func(i int) bool { return bits>>i&1 == 1 }
	settings.LagHandling = LagHandling(bits % 3)
	settings.RoleVisibility = RoleVisibility(bits / 3 % 3)
	settings.ClientPositions, settings.CancelAllowed, settings.ProbesAllowed = bit(4), bit(5), bit(6)
	settings.RetryAfterAllowed, settings.SoftRemoval, settings.ProbesReportPosition = bit(8), bit(9), bit(10)
	settings.Classes[keyedWrite].KeyScope = KeyScope(bits / 5 % 3)
	settings.MaxAttempts = 1 + int(bits)%7
	settings.MaxQueued = 1 + int(bits)%50
	if bit(12) {
		settings.Routers = 140
	}
	if bit(11) {
		settings.Tenants = []Tenant{{Name: "t", Quota: 20}}
	}
	return settings
}

func newHistory(seed uint64, variant uint16) (*history, error) {
	history := &history{random: rand.New(rand.NewPCG(seed, uint64(variant))), settings: variantSettings(variant), now: 5000e9,
		requests: map[string]*trackedRequest{}, commits: map[string]clock.Nanos{}, newCommits: map[string]clock.Nanos{}}
	lb, err := New(history.settings, seed)
	history.lb = lb
	return history, err
}

func (history *history) failf(format string, args ...any) {
	if history.violation == "" {
		history.violation = fmt.Sprintf("at %d ms: ", (history.now-5000e9)/ms) + fmt.Sprintf(format, args...)
	}
}

func (history *history) chance(percent int) bool { return history.random.IntN(100) < percent }

// run sends batches of random events, then runs until all requests have ended. It returns the first violation.
func (history *history) run(batches int) string {
	history.step([]Event{history.endpointList(true)})
	for i := 0; (i < batches || len(history.openIDs) > 0) && history.violation == ""; i++ {
		history.advance()
		events := history.dueEvents()
		if i < batches {
			events = append(events, history.randomEvents()...)
		}
		history.random.Shuffle(len(events), func(x, y int) { events[x], events[y] = events[y], events[x] })
		history.step(events)
	}
	return history.violation
}

// advance moves the clock, not past the next timer or deadline. Without open requests it sometimes jumps far ahead.
func (history *history) advance() {
	next := history.now + history.settings.BatchInterval*clock.Nanos(1+history.random.IntN(12))
	if len(history.openIDs) == 0 && history.chance(10) {
		next += 20e9
	}
	for _, timerAt := range history.timerTimes {
		next = min(next, max(timerAt, history.now+history.settings.BatchInterval))
	}
	for _, id := range history.openIDs {
		next = min(next, max(history.requests[id].deadline, history.now+history.settings.BatchInterval))
	}
	history.now = next
}

// dueEvents returns the timers that are due and the attempts that time out at their clients' deadlines.
func (history *history) dueEvents() []Event {
	var events []Event
	for i := 0; i < len(history.timerTimes); {
		if history.timerTimes[i] > history.now {
			i++
			continue
		}
		events = append(events, history.timers[i])
		history.timerTimes, history.timers = slices.Delete(history.timerTimes, i, i+1), slices.Delete(history.timers, i, i+1)
	}
	for _, id := range history.openIDs {
		for attempt, sent := range history.requests[id].attempts {
			if !sent.ended && history.now >= history.requests[id].deadline {
				events = append(events, history.attemptEnd(id, attempt, TimedOut))
			}
		}
	}
	return events
}

// randomEvents returns random outcomes, abandonments, endpoint lists, probe results, invalid events and arrivals.
func (history *history) randomEvents() []Event {
	var events []Event
	for _, id := range slices.Clone(history.openIDs) {
		for attempt, sent := range history.requests[id].attempts {
			if !sent.ended && history.now < history.requests[id].deadline && history.chance(12) {
				events = append(events, history.attemptEnd(id, attempt, []Outcome{Succeeded, Succeeded, Succeeded, Failed, Busy, TimedOut,
					ConnectionRefused, ConnectionReset, NotEligible, Canceled}[history.random.IntN(10)]))
			}
		}
		if history.chance(1) {
			events = append(events, Event{Kind: RequestAbandoned, Request: id})
			history.abandoned = append(history.abandoned, history.requests[id])
		}
	}
	if history.chance(6) {
		events = append(events, history.endpointList(history.chance(30)))
	}
	for _, target := range history.endpoints {
		if target.probes > 0 && history.chance(30) {
			target.probes--
			target.position = max(target.position, history.now-clock.Nanos(history.random.IntN(2000))*ms)
			events = append(events, Event{Kind: ProbeEnded, Endpoint: target.ID, Outcome: Succeeded, Position: target.position})
		}
	}
	if history.chance(5) { // invalid events, which must be ignored
		events = append(events, Event{Kind: AttemptEnded, Request: "none", Attempt: 3, Outcome: Succeeded},
			Event{Kind: TimerFired, TimerID: 1 << 40}, Event{Kind: RequestAbandoned, Request: "none"}, Event{Kind: 99},
			Event{Kind: ProbeEnded, Endpoint: 77, Outcome: Succeeded})
	}
	for range history.random.IntN(4) {
		events = append(events, history.arrival())
	}
	return events
}

func (history *history) arrival() Event {
	history.requestCount++
	id := fmt.Sprint("q", history.requestCount)
	class := history.random.IntN(len(history.settings.Classes))
	req := &trackedRequest{class: class, session: fmt.Sprint("s", history.random.IntN(8)), group: int64(history.random.IntN(3)),
		deadline: history.now + history.settings.Classes[class].Deadline*clock.Nanos(40+history.random.IntN(60))/100}
	event := Event{Kind: RequestArrived, Request: id, Class: class, Tenant: history.random.IntN(2) - 1, Session: req.session,
		Group: req.group, Deadline: req.deadline}
	req.requiredPosition = history.commits[fmt.Sprint(req.group, req.session)]
	if history.settings.ClientPositions {
		req.requiredPosition = 0
		if history.chance(60) {
			event.CommitAge = clock.Nanos(1+history.random.IntN(900)) * ms
			req.requiredPosition = history.now - event.CommitAge
		}
	}
	history.requests[id] = req
	history.openIDs = append(history.openIDs, id)
	return event
}

// attemptEnd ends an attempt with an outcome. A commit that it reports applies to reads that arrive in later batches.
func (history *history) attemptEnd(id string, attempt int, outcome Outcome) Event {
	req := history.requests[id]
	sent := &req.attempts[attempt]
	sent.ended = true
	sent.mayHaveRun = outcome != Busy && outcome != ConnectionRefused && outcome != NotSent && outcome != NotEligible
	event := Event{Kind: AttemptEnded, Request: id, Attempt: attempt, Endpoint: sent.endpoint.ID, Outcome: outcome,
		Final: req.ended || outcome == Succeeded}
	if outcome == Succeeded || outcome == Busy || outcome == NotEligible || outcome == Failed {
		event.Role = Replica
		if history.chance(40) {
			event.Role = Primary
		}
		if history.chance(70) {
			sent.endpoint.position = max(sent.endpoint.position, history.now-clock.Nanos(history.random.IntN(1500))*ms)
			event.Position = sent.endpoint.position
		}
	}
	if outcome == Succeeded {
		req.ended = true
		if history.settings.Classes[req.class].Consistency == Write { // even if the request had ended before
			key := fmt.Sprint(req.group, req.session)
			history.newCommits[key] = max(history.newCommits[key], cmp.Or(event.Position, history.now))
		}
	}
	return event
}

// endpointList returns a snapshot or an update in which endpoints are added, drain, restart and are removed. A
// snapshot may also omit endpoints.
func (history *history) endpointList(full bool) Event {
	for len(history.endpoints) < 6 || (history.chance(10) && len(history.endpoints) < 12) {
		index := len(history.endpoints)
		history.endpoints = append(history.endpoints, &trackedEndpoint{Endpoint: Endpoint{ID: EndpointID(100 - index), Group: int64(index % 2),
			Zone: []string{"a", "b"}[index/2%2], Primary: index < 2, Weight: float64(history.random.IntN(3))}})
	}
	event := Event{Kind: EndpointUpdate}
	if full {
		event.Kind = EndpointSnapshot
	}
	first := history.now == 5000e9
	omitPercent := 0 // percentage of endpoints, live ones included, that a wrong list omits
	if full && !first && history.chance(20) {
		omitPercent = []int{60, 90, 100}[history.random.IntN(3)]
	}
	for _, target := range history.endpoints {
		switch change := history.random.IntN(20); {
		case history.chance(omitPercent):
			history.remove(target)
			continue
		case first:
		case change == 0:
			target.State = Draining
		case change == 1:
			history.remove(target)
			listed := target.Endpoint
			listed.State = Removed
			event.Endpoints = append(event.Endpoints, listed)
			continue
		case change == 2 && full:
			history.remove(target)
			continue
		case change == 3:
			target.StartedAt = history.now
			target.State = Ready
		case change < 8:
			target.State = Ready
		case !full:
			continue
		}
		if target.State == Removed && history.settings.SoftRemoval {
			target.State = Draining
		}
		target.mayBePrimary = target.mayBePrimary || target.Primary
		listed := target.Endpoint
		if listed.StartedAt > 0 && listed.StartedAt < history.now && history.chance(20) { // an outdated list: the later start that was listed before still counts
			listed.StartedAt -= 3e9
		}
		event.Endpoints = append(event.Endpoints, listed)
	}
	if !first && history.chance(10) { // endpoints that do not exist, in a group with requests and in one without
		for range 3 {
			target := &trackedEndpoint{Endpoint: Endpoint{ID: EndpointID(1000 + len(history.endpoints)), Group: int64(history.random.IntN(2) * 7),
				Zone: "c", StartedAt: history.now}}
			history.endpoints = append(history.endpoints, target)
			event.Endpoints = append(event.Endpoints, target.Endpoint)
		}
	}
	return event
}

func (history *history) remove(target *trackedEndpoint) {
	if !history.settings.SoftRemoval || target.State == Draining {
		target.State = Removed
	}
}

// step passes a batch to the Balancer and checks its actions. Roles that the batch reports already apply to this
// check.
func (history *history) step(events []Event) {
	for _, event := range events {
		for _, target := range history.endpoints {
			if event.Kind == AttemptEnded && event.Role != RoleUnknown && target.ID == event.Endpoint {
				target.reportedReplica = event.Role == Replica
				target.mayBePrimary = target.mayBePrimary || event.Role == Primary
			}
		}
	}
	actions := history.lb.Step(history.now, events)
	if history.observe != nil {
		history.observe(actions)
	}
	history.trace = append(history.trace, fmt.Sprint(actions))
	for _, action := range actions {
		history.check(action)
	}
	for key, position := range history.newCommits { // reads that arrive in later batches must see these commits
		history.commits[key] = max(history.commits[key], position)
	}
	clear(history.newCommits)
	for _, req := range history.abandoned {
		req.ended = true
	}
	history.abandoned = nil
	history.openIDs = slices.DeleteFunc(history.openIDs, func(id string) bool {
		req := history.requests[id]
		if !req.ended && history.now > req.deadline+history.settings.AnswerSlack {
			history.failf("request %s has no final answer after its deadline", id)
		}
		return req.ended && !slices.ContainsFunc(req.attempts, func(sent trackedAttempt) bool { return !sent.ended })
	})
}

func (history *history) check(action Action) {
	switch action.Kind {
	case SetTimer:
		history.timerTimes = append(history.timerTimes, action.TimerAt)
		history.timers = append(history.timers, Event{Kind: TimerFired, TimerID: action.TimerID})
	case SendProbe:
		if !history.settings.ProbesAllowed {
			history.failf("probe, but probes are not allowed")
		}
		for _, target := range history.endpoints {
			if target.ID == action.Endpoint {
				target.probes++
			}
		}
	case SendAttempt, RejectRequest, FailRequest, CancelAttempt:
		req := history.requests[action.Request]
		if req == nil {
			history.failf("action %v for an unknown request", action)
			return
		}
		history.checkRequest(action, req)
	}
}

func (history *history) checkRequest(action Action, req *trackedRequest) {
	class := &history.settings.Classes[req.class]
	if action.Kind == CancelAttempt {
		if !history.settings.CancelAllowed || action.Attempt >= len(req.attempts) {
			history.failf("invalid cancel %v", action)
		}
		return
	}
	if req.ended {
		history.failf("action %v after the end of the request", action)
		return
	}
	if action.Kind == SendAttempt {
		history.checkSend(action, req, class)
		return
	}
	req.ended = true
	if action.RetryAfter > history.settings.MaxRetryAfter {
		history.failf("RetryAfter exceeds MaxRetryAfter")
	}
	mayHaveRun := slices.ContainsFunc(req.attempts, func(sent trackedAttempt) bool { return !sent.ended || sent.mayHaveRun })
	if action.Kind == RejectRequest && mayHaveRun && (class.Idempotency == NotIdempotent || (class.Idempotency == IdempotentByKey && class.KeyScope != ScopeAll)) {
		history.failf("rejected %s, which may have run", action.Request)
	}
}

func (history *history) checkSend(action Action, req *trackedRequest, class *Class) {
	index := slices.IndexFunc(history.endpoints, func(target *trackedEndpoint) bool { return target.ID == action.Endpoint })
	if index < 0 || history.endpoints[index].Group != req.group {
		history.failf("sent to endpoint %d, which is not in the group", action.Endpoint)
		return
	}
	target := history.endpoints[index]
	if target.State != Ready {
		history.failf("sent to endpoint %d, which is draining or removed", action.Endpoint)
	}
	if len(req.attempts) >= history.settings.MaxAttempts {
		history.failf("more attempts than MaxAttempts")
	}
	for _, sent := range req.attempts {
		if !sent.ended {
			history.failf("a second attempt of %s while one is in flight", action.Request)
		}
		inScope := class.KeyScope != ScopeZone || sent.endpoint.Zone == target.Zone
		if (!sent.ended || sent.mayHaveRun) && (class.Idempotency == NotIdempotent || (class.Idempotency == IdempotentByKey && (history.now-sent.sentAt > class.IdempotencyWindow || !inScope))) {
			history.failf("forbidden retry of %s", action.Request)
		}
	}
	history.checkFreshness(target, req, class)
	history.checkSlowStart(target, req)
	req.attempts = append(req.attempts, trackedAttempt{endpoint: target, sentAt: history.now})
}

// checkFreshness checks that a read is sent only to an endpoint whose reported position covers it, where endpoints do
// not check this themselves. An endpoint that was primary and has not reported otherwise is exempt.
func (history *history) checkFreshness(target *trackedEndpoint, req *trackedRequest, class *Class) {
	if history.settings.LagHandling != LagUnchecked || (target.mayBePrimary && !target.reportedReplica) {
		return
	}
	if (class.Consistency == BoundedStaleness && target.position < history.now-class.StalenessBound) || (class.Consistency == ReadYourWrites && target.position < req.requiredPosition) || class.Consistency == FreshRead {
		history.failf("endpoint %d may lag too far for read of class %s: required position %d, reported %d, was primary %v, reported replica %v", target.ID, class.Name, req.requiredPosition, target.position, target.mayBePrimary, target.reportedReplica)
	}
}

// checkSlowStart checks the estimated work sent to a cold endpoint within OverloadWindow against this router's share
// of the slow-start budget. Three requests may exceed it, as random draws may let them through.
func (history *history) checkSlowStart(target *trackedEndpoint, req *trackedRequest) {
	uptime := history.now - target.StartedAt
	if target.StartedAt == 0 || uptime >= history.settings.WarmUpTime {
		target.coldAttempts = nil
		return
	}
	work := history.lb.classes.Work(req.class)
	target.coldAttempts = append(target.coldAttempts, coldAttemptRecord{history.now, clock.Nanos(work)})
	total := 0.0
	for _, sent := range target.coldAttempts {
		if sent.sentAt > history.now-history.settings.OverloadWindow && sent.sentAt >= target.StartedAt {
			total += float64(sent.work)
		}
	}
	capacityShare := history.settings.ColdCapacity + (1-history.settings.ColdCapacity)*float64(uptime)/float64(history.settings.WarmUpTime)
	routerShare := history.lb.slowStart.WorkRate() * cmp.Or(target.Weight, 1)
	if allowed := history.settings.OverloadMultiple * capacityShare * routerShare * float64(history.settings.OverloadWindow); total-3*work > allowed {
		history.failf("cold endpoint %d is over its budget: %.0f of %.0f", target.ID, total, allowed)
	}
}

func runTwice(t *testing.T, seed uint64, variant uint16, batches int) {
	t.Helper()
	var traces [2][]string
	for i := range traces {
		history, err := newHistory(seed, variant)
		if err != nil {
			t.Fatal(err)
		}
		if violation := history.run(batches); violation != "" {
			t.Fatalf("seed %d variant %d: %s", seed, variant, violation)
		}
		traces[i] = history.trace
	}
	if !slices.Equal(traces[0], traces[1]) {
		t.Fatalf("seed %d variant %d: equal histories led to different actions", seed, variant)
	}
}

func TestRulesUnderSeededHistories(t *testing.T) {
	for seed := range uint64(150) {
		runTwice(t, seed, uint16(seed*2654435761>>7), 250)
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint16(0))
	f.Add(uint64(2), uint16(0xfff))
	f.Add(uint64(37), uint16(0)) // a session whose later write has the lower position and whose first commit was evicted
	f.Fuzz(func(t *testing.T, seed uint64, variant uint16) { runTwice(t, seed, variant, 120) })
}

// Where a replica does not check a bounded read itself, its attempt must carry the time until which the replica's
// known position covers the read, as connecting may take longer. Other attempts have no such deadline.
func TestFreshnessDeadline(t *testing.T) {
	const age = 300 * ms
	for _, test := range []struct {
		name     string
		class    int
		handling LagHandling
		primary  bool
		want     clock.Nanos // time left until the deadline; 0: no deadline
	}{
		{"bounded read that the replica does not check", boundedRead, LagUnchecked, false, 800*ms - age},
		{"bounded read that the replica checks", boundedRead, LagRejected, false, 0},
		{"read of any replica", anyRead, LagUnchecked, false, 0},
		{"session read", sessionRead, LagUnchecked, false, 0},
		{"fresh read at the primary", freshRead, LagUnchecked, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newTestRouter(t, func(settings *Settings) { settings.LagHandling = test.handling })
			router.listEndpoints(2)
			router.reportPosition(1, router.now-age)
			router.reportPosition(2, router.now-age)
			router.lb.groups.endpoints[1].group.primary = nil
			if test.primary {
				router.lb.groups.endpoints[1].group.primary = router.lb.groups.endpoints[1]
			}
			_, actions := router.arrive(test.class, "s")
			for _, action := range actions {
				if action.Kind != SendAttempt {
					continue
				}
				want := clock.Nanos(0)
				if test.want > 0 {
					want = router.now + test.want
				}
				if action.FreshnessDeadline != want {
					t.Errorf("freshness deadline %d, want %d", action.FreshnessDeadline, want)
				}
				return
			}
			t.Fatalf("no attempt: %+v", actions)
		})
	}
}

// A late answer of the former primary, without a position, makes the router take it for the primary again. This must
// cost the next write one rejected attempt only: the write is retried at the new primary, and the former one is known
// as a replica. It can't run the write, as it rejects writes. The platform's rule permits fresh reads there until an
// outcome has shown this router that it is a replica.
func TestOldPrimarysLateAnswerCostsOneMiss(t *testing.T) {
	const oldPrimary, newPrimary = EndpointID(1), EndpointID(2)
	router := newTestRouter(t, nil)
	router.listEndpoints(2)
	late, _ := router.arrive(freshRead, "a")                          // in flight at the old primary during the handover
	router.lb.recordReport(router.lb.groups.endpoints[2], Primary, 0) // the new primary answers
	router.endAttempt(late, 0, oldPrimary, Succeeded, Primary, 0)     // the late answer
	id, actions := router.arrive(keyedWrite, "b")
	if target := router.sentTo(actions); target != oldPrimary {
		t.Fatalf("sent to endpoint %d, want the old primary as the premise of this test", target)
	}
	actions = append(router.endAttempt(id, 0, oldPrimary, NotEligible, Replica, 0), router.advance(200*ms)...)
	if target := router.sentTo(actions); target != newPrimary {
		t.Errorf("the write was retried at endpoint %d", target)
	}
	router.endAttempt(id, 1, newPrimary, Succeeded, Primary, 0)
	if _, actions := router.arrive(keyedWrite, "c"); router.sentTo(actions) != newPrimary {
		t.Error("the next write was not sent to the new primary")
	}
}
