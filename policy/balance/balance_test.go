package balance

import (
	"fmt"
	"strings"
	"testing"
)

const ms = Nanos(1e6)

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
	return Settings{Instances: 2, Granularity: 5 * ms, Behind: BehindNone, RoleView: RoleStatic,
		Cancel: true, Probing: true, RetryAfter: true, MaxAttempts: 6,
		MaxHeld: 1000, MaxRetryAfter: 500 * ms, ColdShare: 0.2, RampTime: 10e9, FallMultiple: 2,
		OverloadFor: 1500 * ms, AnswerSlack: 20 * ms, OverShareWorth: 0.1,
		LateFailPrice: 0.05,
		Classes: []Class{
			{Name: "any", Read: Any, Aim: 400 * ms, Deadline: 1000 * ms, Worth: 1},
			{Name: "bounded", Read: Bounded, Aim: 400 * ms, Deadline: 1000 * ms, Bound: 800 * ms, Worth: 1},
			{Name: "session", Read: Session, Aim: 400 * ms, Deadline: 1000 * ms, Worth: 1},
			{Name: "fresh", Read: Fresh, Aim: 400 * ms, Deadline: 1000 * ms, Worth: 1},
			{Name: "write", Read: Write, Effect: Unsafe, Aim: 400 * ms, Deadline: 2000 * ms, Worth: 3, LateWorth: 0.7},
			{Name: "keyed", Read: Write, Effect: Keyed, Scope: ScopeGroup, Window: 1000 * ms, Aim: 400 * ms,
				Deadline: 2000 * ms, Worth: 3, LateWorth: 0.7},
		}}
}

// rig drives one router by hand.
type rig struct {
	t    *testing.T
	b    *Balancer
	now  Nanos
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
func (r *rig) members(n int) []Action {
	e := Event{Kind: NodesFull}
	for i := 1; i <= n; i++ {
		e.Nodes = append(e.Nodes, NodeEntry{Node: uint32(i), Group: 1, Zone: "a", Primary: i == 1, Weight: 1})
	}
	return r.step(e)
}

func (r *rig) in(class int, session string) (string, []Action) {
	r.next++
	id := fmt.Sprintf("r%d", r.next)
	return id, r.step(Event{Kind: RequestIn, Request: id, Class: class, Tenant: -1, Session: session, Group: 1,
		Deadline: r.now + r.b.set.Classes[class].Deadline})
}

func (r *rig) out(id string, no int, node uint32, o Outcome, role Role, pos Nanos) []Action {
	return r.step(Event{Kind: AttemptDone, Request: id, Attempt: no, Node: node, Outcome: o, Finished: o == Done,
		Role: role, Position: pos})
}

// pass lets time go by in ticks and gathers what is done.
func (r *rig) pass(span Nanos) []Action {
	var all []Action
	for end := r.now + span; r.now < end; {
		r.now += 20 * ms
		e := []Event{{Kind: Wakeup}}
		for s := int64(1); s <= r.b.seq; s++ {
			e = append(e, Event{Kind: Wakeup, Tag: s})
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
func (r *rig) sentTo(acts []Action) uint32 {
	r.t.Helper()
	s := of(Send, acts)
	if len(s) != 1 {
		r.t.Fatalf("want one send, got %v", s)
	}
	return s[0].Node
}

// hear lets a replica prove a position by answering a read of class any.
func (r *rig) hear(node uint32, pos Nanos) {
	r.b.told(r.b.nodes[node], Replica, pos)
}

func TestOrdinaryPath(t *testing.T) {
	r := newRig(t, nil)
	r.members(3)
	r.hear(2, r.now)
	for _, c := range []struct {
		class int
		want  uint32
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
	r.out(id, 0, 1, Done, Primary, commit)
	r.hear(2, commit-1)
	_, acts = r.in(cSession, "s")
	if len(of(Send, acts)) != 0 {
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
	r := newRig(t, func(s *Settings) { s.MaxHeld = 1 })
	r.members(2)
	var last Nanos
	for i := range 3 {
		id, _ := r.in(cWrite, fmt.Sprint("s", i))
		r.now += 50 * ms
		last = r.now
		r.out(id, 0, 1, Done, Primary, last)
	}
	r.hear(2, last-200*ms)
	if _, acts := r.in(cSession, "s0"); len(of(Send, acts)) != 0 {
		t.Error("a replica behind a forgotten write was read")
	}
}

func TestUnsafeWriteNeverRepeated(t *testing.T) {
	for _, o := range []Outcome{Failed, Reset, TimedOut, Canceled} {
		r := newRig(t, nil)
		r.members(3)
		id, _ := r.in(cWrite, "")
		acts := append(r.out(id, 0, 1, o, RoleUnknown, 0), r.pass(2500*ms)...)
		if len(of(Send, acts)) != 0 || len(of(Refuse, acts)) != 0 || len(of(Fail, acts)) != 1 {
			t.Errorf("outcome %d: %v", o, acts)
		}
	}
}

func TestKeyedRepeatOnlyInsideWindow(t *testing.T) {
	for _, c := range []struct {
		wait  Nanos
		sends int
	}{{100 * ms, 1}, {950 * ms, 0}} {
		r := newRig(t, nil)
		r.members(3)
		id, _ := r.in(cKeyed, "")
		r.now += c.wait
		acts := r.out(id, 0, 1, Reset, RoleUnknown, 0)
		if len(of(Send, acts)) != c.sends {
			t.Errorf("after %d: %v", c.wait/ms, acts)
		}
	}
}

func TestDrainBindsAtOnce(t *testing.T) {
	for _, e := range []Event{
		{Kind: NodesChanged, Nodes: []NodeEntry{{Node: 1, Group: 1, State: Draining}}},
		{Kind: NodesChanged, Nodes: []NodeEntry{{Node: 1, Group: 1, State: Gone}}},
		{Kind: NodesFull, Nodes: []NodeEntry{{Node: 2, Group: 1}}},
	} {
		r := newRig(t, nil)
		r.members(2)
		r.step(e)
		if _, acts := r.in(cFresh, ""); len(of(Send, acts)) != 0 {
			t.Errorf("%v: sent to a withdrawn node", e.Kind)
		}
	}
	r := newRig(t, func(s *Settings) { s.SoftRemoval = true })
	r.members(2)
	r.step(Event{Kind: NodesFull, Nodes: []NodeEntry{{Node: 2, Group: 1}}})
	if _, acts := r.in(cFresh, ""); len(of(Send, acts)) != 1 {
		t.Error("soft removal bound")
	}
}

func TestColdNodeKeepsItsBudget(t *testing.T) {
	sends, drawn := 0, 0
	for seed := range uint64(50) {
		r := newRig(t, nil)
		r.b.rng = seed << 58
		r.step(Event{Kind: NodesFull, Nodes: []NodeEntry{{Node: 1, Group: 1, Primary: true, Started: r.now, Weight: 1}}})
		before := sends
		for range 20 {
			_, acts := r.in(cWrite, "")
			sends += len(of(Send, acts))
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
	if len(of(Log, acts)) == 0 || !strings.Contains(of(Log, acts)[0].Text, "silent") {
		t.Fatalf("no suspicion: %v", acts)
	}
	if !r.b.nodes[1].suspect {
		t.Fatal("the silent primary is trusted")
	}
	for _, a := range of(Send, acts) {
		if a.Request != keyed {
			t.Errorf("an unsafe write was repeated: %v", a)
		}
	}
}

func TestEveryRequestEnds(t *testing.T) {
	r := newRig(t, nil)
	var acts []Action
	for c := range r.b.set.Classes {
		_, a := r.in(c, "s")
		acts = append(acts, a...)
	}
	acts = append(acts, r.pass(2500*ms)...)
	if got := len(of(Refuse, acts)) + len(of(Fail, acts)); got != len(r.b.set.Classes) {
		t.Errorf("%d final answers without any node, want %d", got, len(r.b.set.Classes))
	}
	if len(r.b.requests) != 0 || len(r.b.bySeq) != 0 {
		t.Error("requests are kept after their end")
	}
}

func TestSettingsNamed(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Instances": func(s *Settings) { s.Instances = 0 }, "Classes": func(s *Settings) { s.Classes = nil },
		"Granularity": func(s *Settings) { s.Granularity = 0 }, "MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"ColdShare": func(s *Settings) { s.ColdShare = 2 }, "Aim": func(s *Settings) { s.Classes[0].Aim = 0 },
		"MaxHeld": func(s *Settings) { s.MaxHeld = 0 }, "Bound": func(s *Settings) { s.Classes[1].Bound = 0 },
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
	if len(of(Send, acts)) != 0 {
		t.Fatal("the node has no limit")
	}
	r.now += 50 * ms
	for _, a := range of(Send, r.out(first, 0, 1, Done, Primary, r.now)) {
		if a.Request != held {
			t.Errorf("sent %s, want the newest, %s", a.Request, held)
		}
		return
	}
	t.Error("nothing sent")
}

// A full node answers at once: it must not be asked again within the same batch, though it is the only one.
func TestFullNodeIsNotAskedInALoop(t *testing.T) {
	r := newRig(t, nil)
	r.members(1)
	id, acts := r.in(cFresh, "")
	r.sentTo(acts)
	for no := range 3 {
		acts = r.out(id, no, 1, Busy, RoleUnknown, 0)
		if n := len(of(Send, acts)); n != 0 {
			t.Fatalf("asked again at once after answer %d", no)
		}
		if len(of(Send, r.pass(300*ms))) == 0 {
			return
		}
	}
}

// Writes on a primary that is never idle must still teach how much work they are.
func TestBusyPrimaryTeachesWork(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Instances = 1 })
	r.members(1)
	first := r.b.work[cWrite]
	open, _ := r.in(cWrite, "")
	for range 40 {
		next, _ := r.in(cWrite, "")
		r.now += 20 * ms
		r.out(open, 0, 1, Done, Primary, r.now)
		open = next
	}
	if got := r.b.work[cWrite]; got > first*0.8 {
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
		r.step(Event{Kind: RequestGone, Request: id})
	}
	if got := r.b.patience[cFresh]; got > 150e6 {
		t.Errorf("patience %.0f ms after 40 clients left at 100 ms", got/1e6)
	}
	for range 200 {
		r.now += 20 * ms
		id, acts := r.in(cAny, "")
		if len(of(Send, acts)) == 1 {
			r.out(id, 0, 1, Done, Primary, r.now)
		}
	}
	if got := r.b.patience[cAny]; got < 390e6 {
		t.Errorf("patience %.0f ms where nobody left", got/1e6)
	}
}

// Half of the attempts end unanswered at a node that answers the rest quickly: it is crowded, and its limit
// must fall although every answer that does come is quick.
func TestUnansweredAttemptsShrinkTheLimit(t *testing.T) {
	r := newRig(t, nil)
	r.members(1)
	n := r.b.nodes[1]
	before := n.limit
	for range 30 {
		lost, a := r.in(cFresh, "")
		quick, b := r.in(cAny, "")
		if len(of(Send, a))+len(of(Send, b)) == 0 {
			break
		}
		r.now += 40 * ms
		if len(of(Send, b)) == 1 {
			r.out(quick, 0, 1, Done, Primary, r.now)
		} else {
			r.hear(1, r.now)
			n.lastAns = r.now
		}
		r.now += 360 * ms
		r.out(lost, 0, 1, TimedOut, RoleUnknown, 0)
		r.step(Event{Kind: RequestGone, Request: lost})
	}
	if n.suspect || n.limit >= before/2 {
		t.Errorf("limit %.1f of %.1f, suspect %v", n.limit, before, n.suspect)
	}
}

// The answer of a write comes after its client has left: the session's reads must see that write all the same.
func TestLateWriteAnswerStillBindsItsSession(t *testing.T) {
	r := newRig(t, nil)
	r.members(2)
	id, _ := r.in(cWrite, "s")
	r.step(Event{Kind: RequestGone, Request: id})
	r.now += 50 * ms
	r.out(id, 0, 1, Done, Primary, r.now)
	r.hear(2, r.now-1)
	if _, acts := r.in(cSession, "s"); len(of(Send, acts)) != 0 {
		t.Error("a replica behind the session's write was read")
	}
}

// A probe's report is older than an answer that said replica: it must not name the node primary again.
func TestOldReportDoesNotBringARoleBack(t *testing.T) {
	r := newRig(t, nil)
	r.members(2)
	r.b.told(r.b.nodes[1], Replica, 0)
	r.b.nodes[1].probing = true
	r.step(Event{Kind: ProbeDone, Node: 1, Outcome: Done, Role: Primary, Position: r.now})
	if r.b.groups[1].primary != nil {
		t.Error("an old report made the node primary")
	}
}

// One router alone has many answers a round trip: a slow moment must not close its nodes.
func TestOneSlowRoundTripDoesNotCloseANode(t *testing.T) {
	r := newRig(t, nil)
	r.members(1)
	n := r.b.nodes[1]
	n.limit = 12
	for range 12 {
		r.b.weigh(n, 1)
	}
	if n.limit < 12*0.7 {
		t.Errorf("limit %.1f after one slow round trip, want most of 12", n.limit)
	}
	for range 200 {
		r.b.weigh(n, 1)
	}
	if n.limit != leastLimit {
		t.Errorf("limit %.1f of a node that stays slow, want the least", n.limit)
	}
}

// Many routers before one cold node: what they send together must stay under the stated multiple of what a node
// with three cores can then do, although each of them would send only one request a window.
func TestManyRoutersTogetherSpareAColdNode(t *testing.T) {
	const routers, cores = 140, 3.0
	rigs := make([]*rig, routers)
	for i := range rigs {
		rigs[i] = newRig(t, func(s *Settings) { s.Instances = routers })
		rigs[i].b.rng = uint64(i) * 0x9e3779b97f4a7c15
		rigs[i].step(Event{Kind: NodesFull, Nodes: []NodeEntry{{Node: 1, Group: 1, Started: rigs[i].now, Weight: 1}}})
	}
	set := &rigs[0].b.set
	var sends []Nanos
	for at := Nanos(0); at < 6e9; at += 100 * ms {
		for i, r := range rigs {
			if r.now = 1000e9 + at; (i+int(at/(100*ms)))%5 > 0 {
				continue // each has two reads a second
			}
			id, acts := r.in(cAny, "")
			for _, a := range of(Send, acts) {
				sends = append(sends, at)
				r.now += 40 * ms
				r.out(id, a.Attempt, 1, Done, Replica, r.now)
			}
		}
		share := set.ColdShare + (1-set.ColdShare)*float64(at)/float64(set.RampTime)
		limit := set.FallMultiple * share * cores * float64(set.OverloadFor)
		work := 0.0
		for _, s := range sends {
			if s > at-set.OverloadFor {
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
	count := func() map[uint32]int {
		got := map[uint32]int{}
		for range 2000 {
			id, acts := r.in(cAny, "")
			node := r.sentTo(acts)
			got[node]++
			r.b.nodes[node].out = nil
			delete(r.b.requests, id)
		}
		return got
	}
	for node, got := range count() {
		if got < 400 || got > 600 {
			t.Errorf("replica %d got %d of 2000 reads, want about 500", node, got)
		}
	}
	r.b.nodes[5].load *= 3
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
		r.b.nodes[2].load, r.b.nodes[3].load = c.load, c.load
		helped := false
		for range 20 {
			id, acts := r.in(cAny, "")
			helped = helped || r.sentTo(acts) == 1
			for _, n := range r.b.nodes {
				n.out = nil
			}
			delete(r.b.requests, id)
		}
		if helped != c.want {
			t.Errorf("load %.1f: primary helped %v", c.load, helped)
		}
	}
}

// A router among many knows no position that is recent enough: it asks a likely replica at once.
func TestUnprovenReadProbesAtOnce(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.ProbeReports = true })
	r.members(3)
	_, acts := r.in(cBounded, "")
	if len(of(Probe, acts)) != 1 || len(of(Send, acts)) != 0 {
		t.Fatalf("want one probe and no send, got %v", acts)
	}
	node := of(Probe, acts)[0].Node
	r.now += 5 * ms
	if got := r.sentTo(r.step(Event{Kind: ProbeDone, Node: node, Outcome: Done, Role: Replica, Position: r.now})); got != node {
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
		r := newRig(t, func(s *Settings) { s.Instances = c.routers })
		r.members(3)
		refused := 0
		for range 200 {
			g := r.b.groups[1]
			g.shares, g.count, g.learnt = c.load*1e6, 1e6, r.now
			_, acts := r.in(cAny, "")
			for _, a := range of(Refuse, acts) {
				if refused++; a.Wait == 0 {
					t.Fatal("refused without a time to come back")
				}
			}
			for _, n := range r.b.nodes {
				n.out = nil
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
		s.Instances, s.Tenants = 140, []Tenant{{Name: "t", Quota: 70}}
	})
	over := 0
	for range 50 {
		r.now += 2500 * ms
		r.step()
		if r.b.quotas.Over(r.now, 0, r.b.routers) {
			over++
		}
	}
	if over > 0 {
		t.Errorf("%d of 50 requests over a quota that is used to four fifths", over)
	}
}

// When others' parts have been divided, a router's part of a quota is larger, and smaller when it may have been left out.
func TestQuotaFollowsTheShare(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Instances, s.Tenants = 10, []Tenant{{Name: "t", Quota: 200}} })
	for _, c := range []struct {
		share float64
		want  int // of 100 in a second
	}{{0, 20}, {0.2, 40}, {0.05, 10}} {
		if c.share > 0 {
			r.step(Event{Kind: Divided, Share: c.share})
		}
		r.now += 10000 * ms // what was saved up is a second's part
		r.step()
		within := 0
		for range 100 {
			if !r.b.quotas.Over(r.now, 0, r.b.routers) {
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
		if len(of(Send, acts)) == 0 {
			continue
		}
		node := r.sentTo(acts)
		r.now += 350 * ms
		r.step(Event{Kind: RequestGone, Request: id})
		r.out(id, 0, node, Canceled, RoleUnknown, 0)
	}
	if got := r.b.groups[1].learn(r.now, r.b.maxDead, 0, 0); got < fullLoad {
		t.Errorf("group load %.2f after 20 clients left unanswered at most of the aim", got)
	}
}

// A replica that reports a queue gets fewer reads than its idle peer, before any request was lost there; and the queue
// counts for the group.
func TestReportedQueueIsAvoided(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.ProbeReports = true })
	r.members(3)
	before := r.b.groups[1].learn(r.now, r.b.maxDead, 0, 0)
	for node, waiting := range map[uint32]int{2: 0, 3: 12} {
		r.b.nodes[node].probing = true
		r.step(Event{Kind: ProbeDone, Node: node, Outcome: Done, Role: Replica, Position: r.now, Reported: true,
			Waiting: waiting, Active: waiting + 3})
	}
	if r.b.groups[1].learn(r.now, r.b.maxDead, 0, 0) <= before {
		t.Error("a queue of 12 did not raise the group's load")
	}
	got := map[uint32]int{}
	for range 300 {
		_, acts := r.in(cAny, "")
		for _, a := range of(Send, acts) {
			got[a.Node]++
		}
		for _, n := range r.b.nodes {
			n.out = nil
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
		r := newRig(t, func(s *Settings) { s.Instances = 30 })
		r.members(8)
		for range 40 {
			r.now += 400 * ms
			id, acts := r.in(cAny, "")
			for _, a := range of(Send, acts) {
				r.out(id, a.Attempt, a.Node, Done, Replica, r.now)
			}
			for i := range suspects {
				r.b.nodes[uint32(8-i)].suspect = true
			}
			r.step(Event{Kind: Wakeup})
		}
		return r.b.part
	}
	if all, few := part(0), part(6); few > all*1.01 {
		t.Errorf("part %.4f with six of eight suspect, %.4f with none", few, all)
	}
}

// Weeks of replaced servers: what was withdrawn and is silent for long must not pile up, and what a list still calls
// ready must stay however silent.
func TestReplacedNodesAreForgotten(t *testing.T) {
	r := newRig(t, nil)
	for i := range uint32(200) {
		r.now += 60e9
		r.step(Event{Kind: NodesFull, Nodes: []NodeEntry{{Node: 1, Group: 1}, {Node: 1000 + i, Group: 1, Started: r.now}}})
	}
	if got := len(r.b.nodes); got > 4 || got != len(r.b.groups[1].members) || r.b.nodes[1] == nil {
		t.Errorf("%d nodes and %d members after 200 replacements", got, len(r.b.groups[1].members))
	}
}

// The list marks the primary as at the start: a node that was forgotten, or comes new, must not be believed for it later.
func TestStaticMarkIsNotBelievedLater(t *testing.T) {
	r := newRig(t, nil)
	r.members(2)
	r.in(cAny, "")
	r.step(Event{Kind: NodesChanged, Nodes: []NodeEntry{{Node: 1, Group: 1, State: Gone}}})
	r.step(Event{Kind: NodesChanged, Nodes: []NodeEntry{{Node: 9, Group: 1, Primary: true}}})
	if r.b.groups[1].primary != nil {
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
		r.step(Event{Kind: RequestGone, Request: ids[i*37%len(ids)]})
	}
	for _, q := range r.b.groups[1].queues {
		if len(q) > 0 {
			t.Errorf("%d requests left in a queue", len(q))
		}
	}
}

// A step of one request and its answer, for fleets and queues of two sizes: read the figures as ratios.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ nodes, held int }{{6, 0}, {60, 0}, {6, 5000}} {
		b.Run(fmt.Sprintf("nodes=%d/held=%d", size.nodes, size.held), func(b *testing.B) {
			s := testSettings()
			s.MaxHeld = 1 << 20
			router, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			list := Event{Kind: NodesFull}
			for i := range size.nodes {
				list.Nodes = append(list.Nodes, NodeEntry{Node: uint32(i + 1), Group: int64(i / 6), Primary: i%6 == 0})
			}
			now := Nanos(1000e9)
			router.Step(now, []Event{list})
			for i := range size.held { // of a group without nodes
				router.Step(now, []Event{{Kind: RequestIn, Request: fmt.Sprint("h", i), Group: 99, Tenant: -1,
					Class: cFresh, Deadline: now + 1e15}})
			}
			for i := 0; b.Loop(); i++ {
				now += 5 * ms
				id := fmt.Sprint(i)
				for _, a := range router.Step(now, []Event{{Kind: RequestIn, Request: id, Class: cAny, Tenant: -1,
					Deadline: now + 1e9}}) {
					if a.Kind == Send {
						router.Step(now+40*ms, []Event{{Kind: AttemptDone, Request: id, Node: a.Node, Outcome: Done,
							Finished: true, Role: Replica}})
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
	n := r.b.nodes[2]
	for i := range 40 {
		id, acts := r.in(cAny, "")
		for _, a := range of(Send, acts) {
			r.out(id, a.Attempt, a.Node, []Outcome{Failed, Failed, Failed, Done}[i%4], Replica, 0)
		}
		if n.suspect {
			t.Fatalf("suspect after %d failures in a row", n.fails)
		}
		r.now += 500 * ms
	}
	for range 4 {
		r.b.failed(n, 80*ms)
	}
	if !n.suspect {
		t.Error("trusted after four failures in a row")
	}
}

// A node restarts between two lists, or the list never tells: routers whose connections it refused must ramp it when it
// answers again, or all of them push the cold node over at once. One that only reset or erred was not down.
func TestNodeBackFromRefusalIsRamped(t *testing.T) {
	for o, want := range map[Outcome]bool{Refused: true, Reset: false, Failed: false} {
		r := newRig(t, nil)
		r.members(2)
		id, acts := r.in(cAny, "")
		node := r.sentTo(acts)
		r.out(id, 0, node, o, RoleUnknown, 0)
		r.pass(2000 * ms)
		r.b.clear(r.b.nodes[node])
		if got := r.b.warmth(r.b.nodes[node]) < 1; got != want {
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
		held  Nanos
	}{{true, Refused, 1000 * ms}, {true, Miss, 1900 * ms}, {false, Refused, 1900 * ms}} {
		r := newRig(t, func(s *Settings) { s.HalfwayBound = c.bound })
		r.members(2)
		id, acts := r.in(cWrite, "")
		r.step(Event{Kind: NodesChanged, Nodes: []NodeEntry{{Node: 1, Group: 1, State: Gone}, {Node: 2, Group: 1, State: Gone}}})
		r.out(id, 0, r.sentTo(acts), c.first, RoleUnknown, 0)
		if acts := of(Refuse, r.pass(c.held-40*ms)); len(acts) > 0 {
			t.Errorf("%+v: given up early", c)
		}
		if acts := of(Refuse, r.pass(80*ms)); len(acts) != 1 {
			t.Errorf("%+v: %v", c, acts)
		}
	}
}

// A slow node still serves with all its cores side by side: where it is the only one that is left, a limit that shrank
// under this router's part of them would leave cores idle while reads are refused.
func TestLimitKeepsThePartOfTheCores(t *testing.T) {
	for weight, want := range map[float64]float64{1: leastLimit, 4: 2} { // of two routers
		r := newRig(t, nil)
		r.members(2)
		n := r.b.nodes[2]
		n.weight = weight
		for range 100 {
			r.b.weigh(n, 1)
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
	until := func(class int) Nanos {
		id, acts := r.in(class, "")
		node := r.sentTo(acts)
		at := of(Send, acts)[0].Until - r.now
		r.out(id, 0, node, Done, RoleUnknown, 0)
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
	for class, want := range map[int]Nanos{cAny: 400 * ms, cKeyed: 400 * ms, cWrite: 2000 * ms} {
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
		lag  Nanos // of an answer's position, after 300 ms of work
		room bool  // at the primary
		want uint32
	}{
		{"stops, room", 300 * ms, true, 1}, {"stops, no room", 300 * ms, false, 4}, {"stops nothing", 10 * ms, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, func(s *Settings) { s.Classes[cAny].Aim, s.Classes[cAny].Deadline = 3000*ms, 6000*ms })
			r.members(4)
			for range 2 {
				id, acts := r.in(cAny, "")
				node := r.sentTo(acts)
				if node == 1 {
					t.Fatal("the first went to the primary though nothing was known")
				}
				r.now += 300 * ms
				r.out(id, 0, node, Done, Replica, r.now-c.lag)
				r.now += 100 * ms
			}
			r.hear(2, r.now-5*ms)
			r.hear(3, r.now-5*ms)
			r.hear(4, r.b.nodes[4].pos) // heard last of all when it served, or never
			if r.b.nodes[4].pos >= r.now-5*ms {
				t.Fatal("node 4 is not behind")
			}
			if !c.room {
				r.b.nodes[1].limit = 0
			}
			_, acts := r.in(cAny, "")
			got := r.sentTo(acts)
			if c.want != 0 && got != c.want || c.want == 0 && got == 1 {
				t.Errorf("sent to node %d, want %d (0: any replica)", got, c.want)
			}
		})
	}
}
