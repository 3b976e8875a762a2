package balance

import (
	"fmt"
	"strings"
	"testing"

	"lotushook/policy/clock"
	"lotushook/policy/seeded"
)

const ms = clock.Nanos(1e6)

// The classes of testSettings.
const (
	cAny = iota
	cBounded
	cSession
	cFresh
	cWrite
	cKeyed
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

// rig drives one router by hand.
type rig struct {
	t    *testing.T
	b    *Balancer
	now  clock.Nanos
	next int
}

func newRig(t *testing.T, change func(*Settings)) *rig {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &rig{t: t, b: b, now: 1000e9}
}

func (r *rig) step(events ...Event) []Action { return r.b.Step(r.now, events) }

// members lists group 1: node 1 the primary, the others replicas.
func (r *rig) members(n int) {
	e := Event{Kind: EndpointSnapshot}
	for i := 1; i <= n; i++ {
		e.Endpoints = append(e.Endpoints, Endpoint{ID: EndpointID(i), Group: 1, Zone: "a", Primary: i == 1, Weight: 1})
	}
	r.step(e)
}

func (r *rig) in(class int, session string) (string, []Action) {
	r.next++
	id := fmt.Sprintf("r%d", r.next)
	return id, r.step(Event{Kind: RequestArrived, Request: id, Class: class, Tenant: -1, Session: session, Group: 1,
		Deadline: r.now + r.b.settings.Classes[class].Deadline})
}

func (r *rig) out(id string, no int, node EndpointID, o Outcome, role Role, pos clock.Nanos) []Action {
	return r.step(Event{Kind: AttemptEnded, Request: id, Attempt: no, Endpoint: node, Outcome: o, Final: o == Succeeded,
		Role: role, Position: pos})
}

// pass lets time go by in ticks and gathers what is done.
func (r *rig) pass(span clock.Nanos) []Action {
	var all []Action
	for end := r.now + span; r.now < end; {
		r.now += 20 * ms
		e := []Event{{Kind: TimerFired}}
		for s := int64(1); s <= r.b.requests.sequence; s++ {
			e = append(e, Event{Kind: TimerFired, TimerID: s})
		}
		all = append(all, r.step(e...)...)
	}
	return all
}

func of(kind ActionKind, acts []Action) []Action {
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

// sentTo checks that exactly one attempt went out and returns its node.
func (r *rig) sentTo(acts []Action) EndpointID {
	r.t.Helper()
	s := of(SendAttempt, acts)
	if len(s) != 1 {
		r.t.Fatalf("want one send, got %v", s)
	}
	return s[0].Endpoint
}

// hear lets a replica prove a position by answering a read of class any.
func (r *rig) hear(node EndpointID, pos clock.Nanos) {
	r.b.setReported(r.b.groups.endpoints[node], Replica, pos)
}

func TestOrdinaryPath(t *testing.T) {
	r := newRig(t, nil)
	r.members(3)
	r.hear(2, r.now)
	for _, c := range []struct {
		class int
		want  EndpointID
	}{{cWrite, 1}, {cFresh, 1}, {cBounded, 2}} {
		if _, acts := r.in(c.class, "s"); r.sentTo(acts) != c.want {
			t.Errorf("class %d: not at node %d", c.class, c.want)
		}
	}
	// Node 3 has less pending now, but only class any may read it unproven.
	if _, acts := r.in(cAny, ""); r.sentTo(acts) != 3 {
		t.Error("LPRF: want the idle replica")
	}
	if _, acts := r.in(cBounded, ""); r.sentTo(acts) != 2 {
		t.Error("a bounded read went to an unproven replica")
	}
}

func TestSessionReadHeldThenDiverted(t *testing.T) {
	r := newRig(t, nil)
	r.members(2)
	id, acts := r.in(cWrite, "s")
	r.sentTo(acts)
	r.now += 50 * ms
	commit := r.now
	r.out(id, 0, 1, Succeeded, Primary, commit)
	r.hear(2, commit-1)
	_, acts = r.in(cSession, "s")
	if len(of(SendAttempt, acts)) != 0 {
		t.Fatal("the read was not held")
	}
	if n := r.sentTo(r.pass(100 * ms)); n != 1 {
		t.Errorf("diverted to %d, want the primary", n)
	}
	r.hear(2, commit)
	if _, acts = r.in(cSession, "s"); r.sentTo(acts) != 2 {
		t.Error("a covering replica was passed over")
	}
}

func TestForgottenTokenStillBinds(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.MaxQueued = 1 })
	r.members(2)
	var last clock.Nanos
	for i := range 3 {
		id, _ := r.in(cWrite, fmt.Sprint("s", i))
		r.now += 50 * ms
		last = r.now
		r.out(id, 0, 1, Succeeded, Primary, last)
	}
	r.hear(2, last-200*ms)
	if _, acts := r.in(cSession, "s0"); len(of(SendAttempt, acts)) != 0 {
		t.Error("a replica behind a forgotten write was read")
	}
}

func TestUnsafeWriteNeverRepeated(t *testing.T) {
	for _, o := range []Outcome{Failed, ConnectionReset, TimedOut, Canceled} {
		r := newRig(t, nil)
		r.members(3)
		id, _ := r.in(cWrite, "")
		acts := append(r.out(id, 0, 1, o, RoleUnknown, 0), r.pass(2500*ms)...)
		if len(of(SendAttempt, acts)) != 0 || len(of(RejectRequest, acts)) != 0 || len(of(FailRequest, acts)) != 1 {
			t.Errorf("outcome %d: %v", o, acts)
		}
	}
}

func TestKeyedRepeatOnlyInsideWindow(t *testing.T) {
	for _, c := range []struct {
		wait  clock.Nanos
		sends int
	}{{100 * ms, 1}, {950 * ms, 0}} {
		r := newRig(t, nil)
		r.members(3)
		id, _ := r.in(cKeyed, "")
		r.now += c.wait
		acts := r.out(id, 0, 1, ConnectionReset, RoleUnknown, 0)
		if len(of(SendAttempt, acts)) != c.sends {
			t.Errorf("after %d: %v", c.wait/ms, acts)
		}
	}
}

func TestDrainBindsAtOnce(t *testing.T) {
	for _, e := range []Event{
		{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: 1, Group: 1, State: Draining}}},
		{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: 1, Group: 1, State: Removed}}},
		{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: 2, Group: 1}}},
	} {
		r := newRig(t, nil)
		r.members(2)
		r.step(e)
		if _, acts := r.in(cFresh, ""); len(of(SendAttempt, acts)) != 0 {
			t.Errorf("%v: sent to a withdrawn node", e.Kind)
		}
	}
	r := newRig(t, func(s *Settings) { s.SoftRemoval = true })
	r.members(2)
	r.step(Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: 2, Group: 1}}})
	if _, acts := r.in(cFresh, ""); len(of(SendAttempt, acts)) != 1 {
		t.Error("soft removal bound")
	}
}

func TestColdNodeKeepsItsBudget(t *testing.T) {
	sends, drawn := 0, 0
	for seed := range uint64(50) {
		r := newRig(t, nil)
		*r.b.random = *seeded.New(seed << 58)
		r.step(Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: 1, Group: 1, Primary: true, StartedAt: r.now, Weight: 1}}})
		before := sends
		for range 20 {
			_, acts := r.in(cWrite, "")
			sends += len(of(SendAttempt, acts))
		}
		drawn = max(drawn, sends-before)
	}
	// An instance without history counts on its part of one core: twice a fifth of half a core for 1.5 s are 300 ms.
	// All routers aim at four fifths of that, as the sum's mean has to stay clear of the budget: 240 ms, or three of
	// the 80 ms that a write is first taken for.
	if mean := float64(sends) / 50; mean < 2.8 || mean > 3.2 || drawn > 3 {
		t.Errorf("%.2f writes in the mean, %d at most, into a cold primary", mean, drawn)
	}
}

func TestSilentPrimaryHandsOver(t *testing.T) {
	r := newRig(t, nil)
	r.members(3)
	keyed, _ := r.in(cKeyed, "")
	r.in(cWrite, "")
	r.in(cWrite, "")
	acts := r.pass(600 * ms)
	if len(of(WriteLog, acts)) == 0 || !strings.Contains(of(WriteLog, acts)[0].Message, "silent") {
		t.Fatalf("no suspicion: %v", acts)
	}
	if !r.b.groups.endpoints[1].health.Ejected() {
		t.Fatal("the silent primary is trusted")
	}
	for _, a := range of(SendAttempt, acts) {
		if a.Request != keyed {
			t.Errorf("an unsafe write was repeated: %v", a)
		}
	}
}

func TestEveryRequestEnds(t *testing.T) {
	r := newRig(t, nil)
	var acts []Action
	for c := range r.b.settings.Classes {
		_, a := r.in(c, "s")
		acts = append(acts, a...)
	}
	acts = append(acts, r.pass(2500*ms)...)
	if got := len(of(RejectRequest, acts)) + len(of(FailRequest, acts)); got != len(r.b.settings.Classes) {
		t.Errorf("%d final answers without any node, want %d", got, len(r.b.settings.Classes))
	}
	if len(r.b.requests.byID) != 0 || len(r.b.requests.bySequence) != 0 {
		t.Error("requests are kept after their end")
	}
}

func TestSettingsNamed(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Routers": func(s *Settings) { s.Routers = 0 }, "Classes": func(s *Settings) { s.Classes = nil },
		"BatchInterval": func(s *Settings) { s.BatchInterval = 0 }, "MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"ColdCapacity": func(s *Settings) { s.ColdCapacity = 2 }, "LatencyObjective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"MaxQueued": func(s *Settings) { s.MaxQueued = 0 }, "StalenessBound": func(s *Settings) { s.Classes[1].StalenessBound = 0 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// A jam in which clients lose patience: the newest held read goes first.
func TestNewestHeldFirst(t *testing.T) {
	r := newRig(t, nil)
	r.members(1)
	first, acts := r.in(cFresh, "")
	r.sentTo(acts)
	held := ""
	for range 20 {
		held, acts = r.in(cFresh, "")
	}
	if len(of(SendAttempt, acts)) != 0 {
		t.Fatal("the node has no limit")
	}
	r.now += 50 * ms
	sent := of(SendAttempt, r.out(first, 0, 1, Succeeded, Primary, r.now))
	if len(sent) == 0 {
		t.Fatal("nothing sent")
	}
	if sent[0].Request != held {
		t.Errorf("sent %s, want the newest, %s", sent[0].Request, held)
	}
}

// A full node answers at once: it must not be asked again within the same batch, though it is the only one.
func TestFullNodeIsNotAskedInALoop(t *testing.T) {
	r := newRig(t, nil)
	r.members(1)
	id, acts := r.in(cFresh, "")
	r.sentTo(acts)
	for no := range 3 {
		acts = r.out(id, no, 1, Busy, RoleUnknown, 0)
		if n := len(of(SendAttempt, acts)); n != 0 {
			t.Fatalf("asked again at once after answer %d", no)
		}
		if len(of(SendAttempt, r.pass(300*ms))) == 0 {
			return
		}
	}
}

// Writes on a primary that is never idle must still teach how much work they are.
func TestBusyPrimaryTeachesWork(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Routers = 1 })
	r.members(1)
	first := r.b.classes.Work(cWrite)
	open, _ := r.in(cWrite, "")
	for range 40 {
		next, _ := r.in(cWrite, "")
		r.now += 20 * ms
		r.out(open, 0, 1, Succeeded, Primary, r.now)
		open = next
	}
	if got := r.b.classes.Work(cWrite); got > first*0.8 {
		t.Errorf("work still %.0f ms after 40 answers of 20 to 40 ms", got/1e6)
	}
}

// Clients that leave long before the aim: what is held must be given up, and nodes filled, by that.
func TestClientsThatLeaveEarlyShortenTheAim(t *testing.T) {
	r := newRig(t, nil)
	r.members(1)
	for range 40 {
		id, _ := r.in(cFresh, "")
		r.now += 100 * ms
		r.step(Event{Kind: RequestAbandoned, Request: id})
	}
	if got := r.b.classes.Patience(cFresh); got > 150e6 {
		t.Errorf("patience %.0f ms after 40 clients left at 100 ms", got/1e6)
	}
	for range 200 {
		r.now += 20 * ms
		id, acts := r.in(cAny, "")
		if len(of(SendAttempt, acts)) == 1 {
			r.out(id, 0, 1, Succeeded, Primary, r.now)
		}
	}
	if got := r.b.classes.Patience(cAny); got < 390e6 {
		t.Errorf("patience %.0f ms where nobody left", got/1e6)
	}
}

// Half of the attempts end unanswered at a node that answers the rest quickly: it is crowded, and its limit
// must fall although every answer that does come is quick.
func TestUnansweredAttemptsShrinkTheLimit(t *testing.T) {
	r := newRig(t, nil)
	r.members(1)
	n := r.b.groups.endpoints[1]
	before := n.limit
	for range 30 {
		lost, a := r.in(cFresh, "")
		quick, b := r.in(cAny, "")
		if len(of(SendAttempt, a))+len(of(SendAttempt, b)) == 0 {
			break
		}
		r.now += 40 * ms
		if len(of(SendAttempt, b)) == 1 {
			r.out(quick, 0, 1, Succeeded, Primary, r.now)
		} else {
			r.hear(1, r.now)
			n.answeredAt = r.now
		}
		r.now += 360 * ms
		r.out(lost, 0, 1, TimedOut, RoleUnknown, 0)
		r.step(Event{Kind: RequestAbandoned, Request: lost})
	}
	if n.health.Ejected() || n.limit >= before/2 {
		t.Errorf("limit %.1f of %.1f, suspect %v", n.limit, before, n.health.Ejected())
	}
}

// The answer of a write comes after its client has left: the session's reads must see that write all the same.
func TestLateWriteAnswerStillBindsItsSession(t *testing.T) {
	r := newRig(t, nil)
	r.members(2)
	id, _ := r.in(cWrite, "s")
	r.step(Event{Kind: RequestAbandoned, Request: id})
	r.now += 50 * ms
	r.out(id, 0, 1, Succeeded, Primary, r.now)
	r.hear(2, r.now-1)
	if _, acts := r.in(cSession, "s"); len(of(SendAttempt, acts)) != 0 {
		t.Error("a replica behind the session's write was read")
	}
}

// A probe's report is older than an answer that said replica: it must not name the node primary again.
func TestOldReportDoesNotBringARoleBack(t *testing.T) {
	r := newRig(t, nil)
	r.members(2)
	r.b.setReported(r.b.groups.endpoints[1], Replica, 0)
	r.b.groups.endpoints[1].probing = true
	r.step(Event{Kind: ProbeEnded, Endpoint: 1, Outcome: Succeeded, Role: Primary, Position: r.now})
	if r.b.groups.byID[1].primary != nil {
		t.Error("an old report made the node primary")
	}
}

// One router alone has many answers a round trip: a slow moment must not close its nodes.
func TestOneSlowRoundTripDoesNotCloseANode(t *testing.T) {
	r := newRig(t, nil)
	r.members(1)
	n := r.b.groups.endpoints[1]
	n.limit = 12
	for range 12 {
		r.b.observeLoad(n, 1)
	}
	if n.limit < 12*0.7 {
		t.Errorf("limit %.1f after one slow round trip, want most of 12", n.limit)
	}
	for range 200 {
		r.b.observeLoad(n, 1)
	}
	if n.limit != minLimit {
		t.Errorf("limit %.1f of a node that stays slow, want the least", n.limit)
	}
}

// Many routers before one cold node: what they send together must stay under the stated multiple of what a node
// with three cores can then do, although each of them would send only one request a window.
func TestManyRoutersTogetherSpareAColdNode(t *testing.T) {
	const routers, cores = 140, 3.0
	rigs := make([]*rig, routers)
	for i := range rigs {
		rigs[i] = newRig(t, func(s *Settings) { s.Routers = routers })
		*rigs[i].b.random = *seeded.New(uint64(i) * 0x9e3779b97f4a7c15)
		rigs[i].step(Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: 1, Group: 1, StartedAt: rigs[i].now, Weight: 1}}})
	}
	set := &rigs[0].b.settings
	var sends []clock.Nanos
	for at := clock.Nanos(0); at < 6e9; at += 100 * ms {
		for i, r := range rigs {
			if r.now = 1000e9 + at; (i+int(at/(100*ms)))%5 > 0 {
				continue // each has two reads a second
			}
			id, acts := r.in(cAny, "")
			for _, a := range of(SendAttempt, acts) {
				sends = append(sends, at)
				r.now += 40 * ms
				r.out(id, a.Attempt, 1, Succeeded, Replica, r.now)
			}
		}
		share := set.ColdCapacity + (1-set.ColdCapacity)*float64(at)/float64(set.WarmUpTime)
		limit := set.OverloadMultiple * share * cores * float64(set.OverloadWindow)
		work := 0.0
		for _, s := range sends {
			if s > at-set.OverloadWindow {
				work += float64(80 * ms)
			}
		}
		if work > limit {
			t.Fatalf("after %d ms: %.1f s of work in a window, %.1f s allowed", at/ms, work/1e9, limit/1e9)
		}
	}
	if len(sends) == 0 {
		t.Error("the cold node got nothing in 6 s")
	}
}

// Many routers have nothing pending anywhere: equal replicas must share the reads evenly, and one that answers three
// times slower than its peers must get much less, but not nothing.
func TestTiesDoNotFlockToOneReplica(t *testing.T) {
	r := newRig(t, nil)
	r.members(5)
	count := func() map[EndpointID]int {
		got := map[EndpointID]int{}
		for range 2000 {
			id, acts := r.in(cAny, "")
			node := r.sentTo(acts)
			got[node]++
			r.b.groups.endpoints[node].attempts = nil
			delete(r.b.requests.byID, id)
		}
		return got
	}
	for node, got := range count() {
		if got < 400 || got > 600 {
			t.Errorf("replica %d got %d of 2000 reads, want about 500", node, got)
		}
	}
	slow := &r.b.groups.endpoints[5].health
	slow.SetLoad(3 * slow.Load())
	if got := count()[5]; got < 20 || got > 140 {
		t.Errorf("the slow replica got %d of 2000 reads, want about 70", got)
	}
}

// Where replicas of a group answer late although this router has nothing pending there, the group is crowded: the
// primary takes part, and where replicas are quick it does not.
func TestCrowdedReplicasLetThePrimaryHelp(t *testing.T) {
	r := newRig(t, nil)
	r.members(3)
	for _, c := range []struct {
		load float64
		want bool
	}{{0.2, false}, {0.6, true}} {
		r.b.groups.endpoints[2].health.SetLoad(c.load)
		r.b.groups.endpoints[3].health.SetLoad(c.load)
		helped := false
		for range 20 {
			id, acts := r.in(cAny, "")
			helped = helped || r.sentTo(acts) == 1
			for _, n := range r.b.groups.endpoints {
				n.attempts = nil
			}
			delete(r.b.requests.byID, id)
		}
		if helped != c.want {
			t.Errorf("load %.1f: primary helped %v", c.load, helped)
		}
	}
}

// A router among many knows no position that is recent enough: it asks a likely replica at once.
func TestUnprovenReadProbesAtOnce(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.ProbesReportPosition = true })
	r.members(3)
	_, acts := r.in(cBounded, "")
	if len(of(SendProbe, acts)) != 1 || len(of(SendAttempt, acts)) != 0 {
		t.Fatalf("want one probe and no send, got %v", acts)
	}
	node := of(SendProbe, acts)[0].Endpoint
	r.now += 5 * ms
	if got := r.sentTo(r.step(Event{Kind: ProbeEnded, Endpoint: node, Outcome: Succeeded, Role: Replica, Position: r.now})); got != node {
		t.Errorf("the read went to %d, the position was told by %d", got, node)
	}
}

// More routers than a node has room for: limits of one pending each cannot hold a crowd back. A group that answers
// late must be spared a part of the requests, refused at once with a time to come back; a quick group none.
func TestCrowdBehindManyRoutersIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		routers   int
		load      float64
		low, high int
	}{{140, 0.2, 0, 0}, {140, 0.7, 60, 140}, {140, 2, 140, 200}, {2, 0.7, 0, 0}} {
		r := newRig(t, func(s *Settings) { s.Routers = c.routers })
		r.members(3)
		refused := 0
		for range 200 {
			g := r.b.groups.byID[1]
			for range 100_000 {
				g.answers.Add(r.now, r.b.maxDeadline, c.load)
			}
			_, acts := r.in(cAny, "")
			for _, a := range of(RejectRequest, acts) {
				if refused++; a.RetryAfter == 0 {
					t.Fatal("refused without a time to come back")
				}
			}
			for _, n := range r.b.groups.endpoints {
				n.attempts = nil
			}
		}
		if refused < c.low || refused > c.high {
			t.Errorf("%d routers, load %.1f: %d of 200 refused, want %d to %d", c.routers, c.load, refused, c.low, c.high)
		}
	}
}

// A router's part of a tenant's quota may be less than one request a second: traffic within it is not over it.
func TestSmallPartOfAQuotaIsNotOverIt(t *testing.T) {
	r := newRig(t, func(s *Settings) {
		s.Routers, s.Tenants = 140, []Tenant{{Name: "t", Quota: 70}}
	})
	over := 0
	for range 50 {
		r.now += 2500 * ms
		r.step()
		if r.b.quotas.Exceeds(r.now, 0, r.b.slowStart.RouterCount()) {
			over++
		}
	}
	if over > 0 {
		t.Errorf("%d of 50 requests over a quota that is used to four fifths", over)
	}
}

// When others' parts have been divided, a router's part of a quota is larger, and smaller when it may have been left out.
func TestQuotaFollowsTheShare(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Routers, s.Tenants = 10, []Tenant{{Name: "t", Quota: 200}} })
	for _, c := range []struct {
		share float64
		want  int // of 100 in a second
	}{{0, 20}, {0.2, 40}, {0.05, 10}} {
		if c.share > 0 {
			r.step(Event{Kind: QuotaShareChanged, Share: c.share})
		}
		r.now += 10000 * ms // what was saved up is a second's part
		r.step()
		within := 0
		for range 100 {
			if !r.b.quotas.Exceeds(r.now, 0, r.b.slowStart.RouterCount()) {
				within++
			}
		}
		if within != c.want {
			t.Errorf("share %v: %d within the quota, want %d", c.share, within, c.want)
		}
	}
}

// One pending a router: what its clients gave up on must show in the group's load, or only the answers that were quick
// enough would count.
func TestAbandonedAttemptsRaiseTheGroupsLoad(t *testing.T) {
	r := newRig(t, nil)
	r.members(3)
	for range 20 {
		id, acts := r.in(cAny, "")
		if len(of(SendAttempt, acts)) == 0 {
			continue
		}
		node := r.sentTo(acts)
		r.now += 350 * ms
		r.step(Event{Kind: RequestAbandoned, Request: id})
		r.out(id, 0, node, Canceled, RoleUnknown, 0)
	}
	if got := r.b.groups.byID[1].answers.Value(r.now, r.b.maxDeadline, calmLoad, calmAnswers); got < overloadShare {
		t.Errorf("group load %.2f after 20 clients left unanswered at most of the aim", got)
	}
}

// A replica that reports a queue gets fewer reads than its idle peer, before any request was lost there; and the queue
// counts for the group.
func TestReportedQueueIsAvoided(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.ProbesReportPosition = true })
	r.members(3)
	before := r.b.groups.byID[1].answers.Value(r.now, r.b.maxDeadline, calmLoad, calmAnswers)
	for node, waiting := range map[EndpointID]int{2: 0, 3: 12} {
		r.b.groups.endpoints[node].probing = true
		r.step(Event{Kind: ProbeEnded, Endpoint: node, Outcome: Succeeded, Role: Replica, Position: r.now, HasLoad: true,
			Waiting: waiting, Active: waiting + 3})
	}
	if r.b.groups.byID[1].answers.Value(r.now, r.b.maxDeadline, calmLoad, calmAnswers) <= before {
		t.Error("a queue of 12 did not raise the group's load")
	}
	got := map[EndpointID]int{}
	for range 300 {
		_, acts := r.in(cAny, "")
		for _, a := range of(SendAttempt, acts) {
			got[a.Endpoint]++
		}
		for _, n := range r.b.groups.endpoints {
			n.attempts = nil
		}
	}
	if got[3] > got[2]/5 {
		t.Errorf("%d reads to the idle replica, %d to the one with a queue", got[2], got[3])
	}
}

// Every node fails by turns, so that nearly all are suspect at any time: what the few others answer is no measure of a
// node, or the cold budget would grow as the fleet shrinks.
func TestSuspectPeersDoNotSwellTheColdBudget(t *testing.T) {
	part := func(suspects int) float64 {
		r := newRig(t, func(s *Settings) { s.Routers = 30 })
		r.members(8)
		for range 40 {
			r.now += 400 * ms
			id, acts := r.in(cAny, "")
			for _, a := range of(SendAttempt, acts) {
				r.out(id, a.Attempt, a.Endpoint, Succeeded, Replica, r.now)
			}
			for i := range suspects {
				r.b.groups.endpoints[EndpointID(8-i)].health.Eject(0)
			}
			r.step(Event{Kind: TimerFired})
		}
		return r.b.slowStart.WorkRate()
	}
	if all, few := part(0), part(6); few > all*1.01 {
		t.Errorf("part %.4f with six of eight suspect, %.4f with none", few, all)
	}
}

// Weeks of replaced servers: what was withdrawn and is silent for long must not pile up, and what a list still calls
// ready must stay however silent.
func TestReplacedNodesAreForgotten(t *testing.T) {
	r := newRig(t, nil)
	for i := range EndpointID(200) {
		r.now += 60e9
		r.step(Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: 1, Group: 1}, {ID: 1000 + i, Group: 1, StartedAt: r.now}}})
	}
	if got := len(r.b.groups.endpoints); got > 4 || got != len(r.b.groups.byID[1].members) || r.b.groups.endpoints[1] == nil {
		t.Errorf("%d nodes and %d members after 200 replacements", got, len(r.b.groups.byID[1].members))
	}
}

// The list marks the primary as at the start: a node that was forgotten, or comes new, must not be believed for it later.
func TestStaticMarkIsNotBelievedLater(t *testing.T) {
	r := newRig(t, nil)
	r.members(2)
	r.in(cAny, "")
	r.step(Event{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: 1, Group: 1, State: Removed}}})
	r.step(Event{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: 9, Group: 1, Primary: true}}})
	if r.b.groups.byID[1].primary != nil {
		t.Error("a mark as at the start named a primary after it")
	}
}

// Many held requests of several times of arrival: each must leave the queue by itself, whatever the order.
func TestHeldRequestsLeaveInAnyOrder(t *testing.T) {
	r := newRig(t, nil)
	var ids []string
	for i := range 60 {
		if i%3 == 0 {
			r.now += 5 * ms
		}
		id, _ := r.in(cFresh, "")
		ids = append(ids, id)
	}
	for i := range ids {
		r.step(Event{Kind: RequestAbandoned, Request: ids[i*37%len(ids)]})
	}
	for _, q := range r.b.groups.byID[1].queues {
		if q.Len() > 0 {
			t.Errorf("%d requests left in a queue", q.Len())
		}
	}
}

// A step of one request and its answer, for fleets and queues of two sizes: read the figures as ratios.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ nodes, held int }{{6, 0}, {60, 0}, {6, 5000}} {
		b.Run(fmt.Sprintf("nodes=%d/held=%d", size.nodes, size.held), func(b *testing.B) {
			s := testSettings()
			s.MaxQueued = 1 << 20
			router, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			list := Event{Kind: EndpointSnapshot}
			for i := range size.nodes {
				list.Endpoints = append(list.Endpoints, Endpoint{ID: EndpointID(i + 1), Group: int64(i / 6), Primary: i%6 == 0})
			}
			now := clock.Nanos(1000e9)
			router.Step(now, []Event{list})
			for i := range size.held { // of a group without nodes
				router.Step(now, []Event{{Kind: RequestArrived, Request: fmt.Sprint("h", i), Group: 99, Tenant: -1,
					Class: cFresh, Deadline: now + 1e15}})
			}
			for i := 0; b.Loop(); i++ {
				now += 5 * ms
				id := fmt.Sprint(i)
				for _, a := range router.Step(now, []Event{{Kind: RequestArrived, Request: id, Class: cAny, Tenant: -1,
					Deadline: now + 1e9}}) {
					if a.Kind == SendAttempt {
						router.Step(now+40*ms, []Event{{Kind: AttemptEnded, Request: id, Endpoint: a.Endpoint, Outcome: Succeeded,
							Final: true, Role: Replica}})
					}
				}
			}
		})
	}
}

// Half of all attempts err everywhere (incident ida37ac): runs of two or three errors are chance and blame no node; one
// that does nothing but fail is suspect.
func TestErrorsEverywhereBlameNoNode(t *testing.T) {
	r := newRig(t, nil)
	r.members(2)
	n := r.b.groups.endpoints[2]
	for i := range 40 {
		id, acts := r.in(cAny, "")
		for _, a := range of(SendAttempt, acts) {
			r.out(id, a.Attempt, a.Endpoint, []Outcome{Failed, Failed, Failed, Succeeded}[i%4], Replica, 0)
		}
		if n.health.Ejected() {
			t.Fatal("ejected after fewer failures in a row than eject")
		}
		r.now += 500 * ms
	}
	for range 4 {
		r.b.countFailure(n, 80*ms)
	}
	if !n.health.Ejected() {
		t.Error("trusted after four failures in a row")
	}
}

// A node restarts between two lists, or the list never tells: routers whose connections it refused must ramp it when it
// answers again, or all of them push the cold node over at once. One that only reset or erred was not down.
func TestNodeBackFromRefusalIsRamped(t *testing.T) {
	for o, want := range map[Outcome]bool{ConnectionRefused: true, ConnectionReset: false, Failed: false} {
		r := newRig(t, nil)
		r.members(2)
		id, acts := r.in(cAny, "")
		node := r.sentTo(acts)
		r.out(id, 0, node, o, RoleUnknown, 0)
		r.pass(2000 * ms)
		r.b.readmit(r.b.groups.endpoints[node])
		if got := r.b.warmth(r.b.groups.endpoints[node]) < 1; got != want {
			t.Errorf("outcome %d: ramped %v, want %v", o, got, want)
		}
	}
}

// Where a late refusal is charged, a request that nothing was sent for is given up at half of its time, as few
// that waited so long are served in the rest; one that reached a node may wait on.
func TestGivenUpHalfway(t *testing.T) {
	for _, c := range []struct {
		bound bool
		first Outcome
		held  clock.Nanos
	}{{true, ConnectionRefused, 1000 * ms}, {true, NotEligible, 1900 * ms}, {false, ConnectionRefused, 1900 * ms}} {
		r := newRig(t, func(s *Settings) { s.LateRejectionCharged = c.bound })
		r.members(2)
		id, acts := r.in(cWrite, "")
		r.step(Event{Kind: EndpointUpdate, Endpoints: []Endpoint{{ID: 1, Group: 1, State: Removed}, {ID: 2, Group: 1, State: Removed}}})
		r.out(id, 0, r.sentTo(acts), c.first, RoleUnknown, 0)
		if acts := of(RejectRequest, r.pass(c.held-40*ms)); len(acts) > 0 {
			t.Errorf("%+v: given up early", c)
		}
		if acts := of(RejectRequest, r.pass(80*ms)); len(acts) != 1 {
			t.Errorf("%+v: %v", c, acts)
		}
	}
}

// A slow node still serves with all its cores side by side: where it is the only one that is left, a limit that shrank
// under this router's part of them would leave cores idle while reads are refused.
func TestLimitKeepsThePartOfTheCores(t *testing.T) {
	for weight, want := range map[float64]float64{1: minLimit, 4: 2} { // of two routers
		r := newRig(t, nil)
		r.members(2)
		n := r.b.groups.endpoints[2]
		n.weight = weight
		for range 100 {
			r.b.observeLoad(n, 1)
		}
		if n.limit != want {
			t.Errorf("weight %v: limit %v, want %v", weight, n.limit, want)
		}
	}
}

// Connections that swallow requests hold these to their deadlines though the node answers others. Once that has been
// seen, a slow attempt of what may be repeated is given up in time for another; before, it is heavy and left alone.
func TestLostAttemptsAreMadeAgain(t *testing.T) {
	r := newRig(t, nil)
	r.members(2)
	until := func(class int) clock.Nanos {
		id, acts := r.in(class, "")
		node := r.sentTo(acts)
		at := of(SendAttempt, acts)[0].AttemptDeadline - r.now
		r.out(id, 0, node, Succeeded, RoleUnknown, 0)
		return at
	}
	if got := until(cAny); got != 1000*ms {
		t.Errorf("without a loss a read is given up after %d", got/ms)
	}
	id, acts := r.in(cAny, "")
	lost := r.sentTo(acts)
	r.now += ms
	until(cAny) // the other one goes to the same node and is answered
	r.now += 999 * ms
	r.out(id, 0, lost, TimedOut, RoleUnknown, 0)
	for class, want := range map[int]clock.Nanos{cAny: 400 * ms, cKeyed: 400 * ms, cWrite: 2000 * ms} {
		if got := until(class); got > want || class == cWrite && got != want {
			t.Errorf("class %d: given up after %d ms, want %d", class, got/ms, want/ms)
		}
	}
	for range 200 {
		until(cAny)
	}
	if got := until(cAny); got != 1000*ms {
		t.Errorf("long after the loss a read is given up after %d", got/ms)
	}
}

// A report that stops a replica's apply is known by its answers' positions. From then on it goes to the primary while that
// has room, else to the replica furthest behind; a class of reads as long that stops nothing is spread as before.
func TestReadsThatStopTheLogGoWhereTheyStopNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		lag  clock.Nanos // of an answer's position, after 300 ms of work
		room bool        // at the primary
		want EndpointID
	}{
		{"stops, room", 300 * ms, true, 1}, {"stops, no room", 300 * ms, false, 4}, {"stops nothing", 10 * ms, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, func(s *Settings) { s.Classes[cAny].LatencyObjective, s.Classes[cAny].Deadline = 3000*ms, 6000*ms })
			r.members(4)
			for range 2 {
				id, acts := r.in(cAny, "")
				node := r.sentTo(acts)
				if node == 1 {
					t.Fatal("the first went to the primary though nothing was known")
				}
				r.now += 300 * ms
				r.out(id, 0, node, Succeeded, Replica, r.now-c.lag)
				r.now += 100 * ms
			}
			r.hear(2, r.now-5*ms)
			r.hear(3, r.now-5*ms)
			r.hear(4, r.b.groups.endpoints[4].position) // heard last of all when it served, or never
			if r.b.groups.endpoints[4].position >= r.now-5*ms {
				t.Fatal("node 4 is not behind")
			}
			if !c.room {
				r.b.groups.endpoints[1].limit = 0
			}
			_, acts := r.in(cAny, "")
			got := r.sentTo(acts)
			if c.want != 0 && got != c.want || c.want == 0 && got == 1 {
				t.Errorf("sent to node %d, want %d (0: any replica)", got, c.want)
			}
		})
	}
}
