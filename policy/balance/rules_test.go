package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"lotushook/policy/clock"
)

// history feeds one router a seeded, adversarial but legal history and checks the five rules and the
// contract of the interface on every action. It knows no service times and gives no scores.
type history struct {
	rnd     *rand.Rand
	set     Settings
	b       *Balancer
	now     clock.Nanos
	next    int
	nodes   []*seenNode
	open    map[string]*seenRequest
	order   []string
	gone    []*seenRequest // left in this batch: the router may have answered before it read that
	timers  []Event
	due     []clock.Nanos
	commit  map[string]clock.Nanos
	fresh   map[string]clock.Nanos
	trace   []string
	observe func([]Action) // for the replay
	fault   string
}

type seenNode struct {
	Endpoint
	listedPrimary bool // excused until it says otherwise
	saidReplica   bool
	pos           clock.Nanos
	cold          []coldSend
	probes        int
}

type coldSend struct{ at, work clock.Nanos }

type seenRequest struct {
	class    int
	session  string
	need     clock.Nanos
	deadline clock.Nanos
	group    int64
	sends    []seenSend
	ended    bool
}

type seenSend struct {
	node      *seenNode
	at        clock.Nanos
	done, ran bool
}

// variant turns the bits of v into settings of every kind that the wire can state.
func variant(v uint16) Settings {
	s := testSettings()
	bit := func(i int) bool { return v>>i&1 == 1 }
	s.LagHandling = LagHandling(v % 3)
	s.RoleVisibility = RoleVisibility(v / 3 % 3)
	s.ClientPositions, s.CancelAllowed, s.ProbesAllowed = bit(4), bit(5), bit(6)
	s.RetryAfterAllowed, s.SoftRemoval, s.ProbesReportPosition = bit(8), bit(9), bit(10)
	s.Classes[cKeyed].KeyScope = KeyScope(v / 5 % 3)
	s.MaxAttempts = 1 + int(v)%7
	s.MaxQueued = 1 + int(v)%50
	if bit(12) {
		s.Routers = 140
	}
	if bit(11) {
		s.Tenants = []Tenant{{Name: "t", Quota: 20}}
	}
	return s
}

func newHistory(seed uint64, v uint16) (*history, error) {
	h := &history{rnd: rand.New(rand.NewPCG(seed, uint64(v))), set: variant(v), now: 5000e9,
		open: map[string]*seenRequest{}, commit: map[string]clock.Nanos{}, fresh: map[string]clock.Nanos{}}
	b, err := New(h.set, seed)
	h.b = b
	return h, err
}

func (h *history) failf(format string, args ...any) {
	if h.fault == "" {
		h.fault = fmt.Sprintf("at %d ms: ", (h.now-5000e9)/ms) + fmt.Sprintf(format, args...)
	}
}

func (h *history) chance(percent int) bool { return h.rnd.IntN(100) < percent }

// run plays steps batches and then lets all that is open end.
func (h *history) run(steps int) string {
	h.step([]Event{h.list(true)})
	for i := 0; (i < steps || len(h.order) > 0) && h.fault == ""; i++ {
		h.advance()
		events := h.forced()
		if i < steps {
			events = append(events, h.random()...)
		}
		h.rnd.Shuffle(len(events), func(x, y int) { events[x], events[y] = events[y], events[x] })
		h.step(events)
	}
	return h.fault
}

// advance moves the clock, never past the next thing that is due; idle routers see long jumps.
func (h *history) advance() {
	to := h.now + h.set.BatchInterval*clock.Nanos(1+h.rnd.IntN(12))
	if len(h.order) == 0 && h.chance(10) {
		to += 20e9
	}
	for _, at := range h.due {
		to = min(to, max(at, h.now+h.set.BatchInterval))
	}
	for _, id := range h.order {
		to = min(to, max(h.open[id].deadline, h.now+h.set.BatchInterval))
	}
	h.now = to
}

// forced are the timers that are due and the attempts that time out at their client's deadline.
func (h *history) forced() []Event {
	var events []Event
	for i := 0; i < len(h.due); {
		if h.due[i] > h.now {
			i++
			continue
		}
		events = append(events, h.timers[i])
		h.due, h.timers = slices.Delete(h.due, i, i+1), slices.Delete(h.timers, i, i+1)
	}
	for _, id := range h.order {
		for no, s := range h.open[id].sends {
			if !s.done && h.now >= h.open[id].deadline {
				events = append(events, h.answer(id, no, TimedOut))
			}
		}
	}
	return events
}

func (h *history) random() []Event {
	var events []Event
	for _, id := range slices.Clone(h.order) {
		for no, s := range h.open[id].sends {
			if !s.done && h.now < h.open[id].deadline && h.chance(12) {
				events = append(events, h.answer(id, no, []Outcome{Succeeded, Succeeded, Succeeded, Failed, Busy, TimedOut,
					ConnectionRefused, ConnectionReset, NotEligible, Canceled}[h.rnd.IntN(10)]))
			}
		}
		if h.chance(1) {
			events = append(events, Event{Kind: RequestAbandoned, Request: id})
			h.gone = append(h.gone, h.open[id])
		}
	}
	if h.chance(6) {
		events = append(events, h.list(h.chance(30)))
	}
	for _, n := range h.nodes {
		if n.probes > 0 && h.chance(30) {
			n.probes--
			n.pos = max(n.pos, h.now-clock.Nanos(h.rnd.IntN(2000))*ms)
			events = append(events, Event{Kind: ProbeEnded, Endpoint: n.ID, Outcome: Succeeded, Position: n.pos})
		}
	}
	if h.chance(5) { // nonsense that must be ignored
		events = append(events, Event{Kind: AttemptEnded, Request: "none", Attempt: 3, Outcome: Succeeded},
			Event{Kind: TimerFired, TimerID: 1 << 40}, Event{Kind: RequestAbandoned, Request: "none"}, Event{Kind: 99},
			Event{Kind: ProbeEnded, Endpoint: 77, Outcome: Succeeded})
	}
	for range h.rnd.IntN(4) {
		events = append(events, h.arrival())
	}
	return events
}

func (h *history) arrival() Event {
	h.next++
	id := fmt.Sprint("q", h.next)
	class := h.rnd.IntN(len(h.set.Classes))
	r := &seenRequest{class: class, session: fmt.Sprint("s", h.rnd.IntN(8)), group: int64(h.rnd.IntN(3)),
		deadline: h.now + h.set.Classes[class].Deadline*clock.Nanos(40+h.rnd.IntN(60))/100}
	e := Event{Kind: RequestArrived, Request: id, Class: class, Tenant: h.rnd.IntN(2) - 1, Session: r.session,
		Group: r.group, Deadline: r.deadline}
	r.need = h.commit[fmt.Sprint(r.group, r.session)]
	if h.set.ClientPositions {
		r.need = 0
		if h.chance(60) {
			e.CommitAge = clock.Nanos(1+h.rnd.IntN(900)) * ms
			r.need = h.now - e.CommitAge
		}
	}
	h.open[id] = r
	h.order = append(h.order, id)
	return e
}

// answer makes the outcome of an attempt; what it tells counts from the next batch on.
func (h *history) answer(id string, no int, o Outcome) Event {
	r := h.open[id]
	s := &r.sends[no]
	s.done = true
	s.ran = o != Busy && o != ConnectionRefused && o != NotSent && o != NotEligible
	e := Event{Kind: AttemptEnded, Request: id, Attempt: no, Endpoint: s.node.ID, Outcome: o,
		Final: r.ended || o == Succeeded}
	if o == Succeeded || o == Busy || o == NotEligible || o == Failed {
		e.Role = Replica
		if h.chance(40) {
			e.Role = Primary
		}
		if h.chance(70) {
			s.node.pos = max(s.node.pos, h.now-clock.Nanos(h.rnd.IntN(1500))*ms)
			e.Position = s.node.pos
		}
	}
	if o == Succeeded {
		r.ended = true
		if h.set.Classes[r.class].Consistency == Write { // also when the request had ended before
			key := fmt.Sprint(r.group, r.session)
			h.fresh[key] = max(h.fresh[key], cmp.Or(e.Position, h.now))
		}
	}
	return e
}

// list makes a full list or a change: nodes come, drain, go, restart; a full list may omit some.
func (h *history) list(full bool) Event {
	for len(h.nodes) < 6 || (h.chance(10) && len(h.nodes) < 12) {
		i := len(h.nodes)
		h.nodes = append(h.nodes, &seenNode{Endpoint: Endpoint{ID: EndpointID(100 - i), Group: int64(i % 2),
			Zone: []string{"a", "b"}[i/2%2], Primary: i < 2, Weight: float64(h.rnd.IntN(3))}})
	}
	e := Event{Kind: EndpointUpdate}
	if full {
		e.Kind = EndpointSnapshot
	}
	first := h.now == 5000e9
	shrink := 0 // percent of the nodes that a wrong list leaves out; live ones among them
	if full && !first && h.chance(20) {
		shrink = []int{60, 90, 100}[h.rnd.IntN(3)]
	}
	for _, n := range h.nodes {
		switch k := h.rnd.IntN(20); {
		case h.chance(shrink):
			h.withdraw(n)
			continue
		case first:
		case k == 0:
			n.State = Draining
		case k == 1:
			h.withdraw(n)
			said := n.Endpoint
			said.State = Removed
			e.Endpoints = append(e.Endpoints, said)
			continue
		case k == 2 && full:
			h.withdraw(n)
			continue
		case k == 3:
			n.StartedAt = h.now
			n.State = Ready
		case k < 8:
			n.State = Ready
		case !full:
			continue
		}
		if n.State == Removed && h.set.SoftRemoval {
			n.State = Draining
		}
		n.listedPrimary = n.listedPrimary || n.Primary
		said := n.Endpoint
		if said.StartedAt > 0 && said.StartedAt < h.now && h.chance(20) { // an old page: the start that was told before still counts
			said.StartedAt -= 3e9
		}
		e.Endpoints = append(e.Endpoints, said)
	}
	if !first && h.chance(10) { // ghosts, in a group that requests name and in one that none does
		for range 3 {
			n := &seenNode{Endpoint: Endpoint{ID: EndpointID(1000 + len(h.nodes)), Group: int64(h.rnd.IntN(2) * 7),
				Zone: "c", StartedAt: h.now}}
			h.nodes = append(h.nodes, n)
			e.Endpoints = append(e.Endpoints, n.Endpoint)
		}
	}
	return e
}

func (h *history) withdraw(n *seenNode) {
	if !h.set.SoftRemoval || n.State == Draining {
		n.State = Removed
	}
}

// step hands the batch over and checks what comes back. Roles told in this batch excuse nothing yet.
func (h *history) step(events []Event) {
	for _, e := range events {
		for _, n := range h.nodes {
			if e.Kind == AttemptEnded && e.Role != RoleUnknown && n.ID == e.Endpoint {
				n.saidReplica = e.Role == Replica
				n.listedPrimary = n.listedPrimary || e.Role == Primary
			}
		}
	}
	acts := h.b.Step(h.now, events)
	if h.observe != nil {
		h.observe(acts)
	}
	h.trace = append(h.trace, fmt.Sprint(acts))
	for _, a := range acts {
		h.check(a)
	}
	for key, pos := range h.fresh { // reads of later batches must see these
		h.commit[key] = max(h.commit[key], pos)
	}
	clear(h.fresh)
	for _, r := range h.gone {
		r.ended = true
	}
	h.gone = nil
	h.order = slices.DeleteFunc(h.order, func(id string) bool {
		r := h.open[id]
		if !r.ended && h.now > r.deadline+h.set.AnswerSlack {
			h.failf("request %s is unanswered after its deadline", id)
		}
		return r.ended && !slices.ContainsFunc(r.sends, func(s seenSend) bool { return !s.done })
	})
}

func (h *history) check(a Action) {
	switch a.Kind {
	case SetTimer:
		h.due = append(h.due, a.TimerAt)
		h.timers = append(h.timers, Event{Kind: TimerFired, TimerID: a.TimerID})
	case SendProbe:
		if !h.set.ProbesAllowed {
			h.failf("probe where none is allowed")
		}
		for _, n := range h.nodes {
			if n.ID == a.Endpoint {
				n.probes++
			}
		}
	case SendAttempt, RejectRequest, FailRequest, CancelAttempt:
		r := h.open[a.Request]
		if r == nil {
			h.failf("action %v for an unknown request", a)
			return
		}
		h.checkRequest(a, r)
	}
}

func (h *history) checkRequest(a Action, r *seenRequest) {
	c := &h.set.Classes[r.class]
	if a.Kind == CancelAttempt {
		if !h.set.CancelAllowed || a.Attempt >= len(r.sends) {
			h.failf("bad cancel %v", a)
		}
		return
	}
	if r.ended {
		h.failf("action %v after the end of the request", a)
		return
	}
	if a.Kind == SendAttempt {
		h.checkSend(a, r, c)
		return
	}
	r.ended = true
	if a.RetryAfter > h.set.MaxRetryAfter {
		h.failf("a time to come back beyond the limit")
	}
	may := slices.ContainsFunc(r.sends, func(s seenSend) bool { return !s.done || s.ran })
	if a.Kind == RejectRequest && may && (c.Idempotency == NotIdempotent || (c.Idempotency == IdempotentByKey && c.KeyScope != ScopeAll)) {
		h.failf("refused %s, which may have run", a.Request)
	}
}

func (h *history) checkSend(a Action, r *seenRequest, c *Class) {
	at := slices.IndexFunc(h.nodes, func(n *seenNode) bool { return n.ID == a.Endpoint })
	if at < 0 || h.nodes[at].Group != r.group {
		h.failf("sent to node %d, not of the group", a.Endpoint)
		return
	}
	n := h.nodes[at]
	if n.State != Ready {
		h.failf("sent to node %d, which drains or is gone", a.Endpoint)
	}
	if len(r.sends) >= h.set.MaxAttempts {
		h.failf("more attempts than allowed")
	}
	for _, s := range r.sends {
		if !s.done {
			h.failf("a second copy of %s", a.Request)
		}
		scoped := c.KeyScope != ScopeZone || s.node.Zone == n.Zone
		if (!s.done || s.ran) && (c.Idempotency == NotIdempotent || (c.Idempotency == IdempotentByKey && (h.now-s.at > c.IdempotencyWindow || !scoped))) {
			h.failf("forbidden repeat of %s", a.Request)
		}
	}
	h.checkFresh(n, r, c)
	h.checkCold(n, r)
	r.sends = append(r.sends, seenSend{node: n, at: h.now})
}

// checkFresh: where nodes don't check, the position must be proven, unless the node was primary and has not
// said otherwise.
func (h *history) checkFresh(n *seenNode, r *seenRequest, c *Class) {
	if h.set.LagHandling != LagUnchecked || (n.listedPrimary && !n.saidReplica) {
		return
	}
	if (c.Consistency == BoundedStaleness && n.pos < h.now-c.StalenessBound) || (c.Consistency == ReadYourWrites && n.pos < r.need) || c.Consistency == FreshRead {
		h.failf("unproven read at node %d: %s, need %d, pos %d, listed %v said %v", n.ID, c.Name, r.need, n.pos, n.listedPrimary, n.saidReplica)
	}
}

// checkCold holds the work that the module itself reckons with against the stated budget of this instance's
// part of the node, beyond the requests that draws may let through.
func (h *history) checkCold(n *seenNode, r *seenRequest) {
	age := h.now - n.StartedAt
	if n.StartedAt == 0 || age >= h.set.WarmUpTime {
		n.cold = nil
		return
	}
	work := h.b.classes.Work(r.class)
	n.cold = append(n.cold, coldSend{h.now, clock.Nanos(work)})
	total := 0.0
	for _, s := range n.cold {
		if s.at > h.now-h.set.OverloadWindow && s.at >= n.StartedAt {
			total += float64(s.work)
		}
	}
	share := h.set.ColdCapacity + (1-h.set.ColdCapacity)*float64(age)/float64(h.set.WarmUpTime)
	part := h.b.slowStart.WorkRate() * cmp.Or(n.Weight, 1)
	if limit := h.set.OverloadMultiple * share * part * float64(h.set.OverloadWindow); total-3*work > limit {
		h.failf("cold node %d over its budget: %.0f of %.0f", n.ID, total, limit)
	}
}

func playTwice(t *testing.T, seed uint64, v uint16, steps int) {
	t.Helper()
	var traces [2][]string
	for i := range traces {
		h, err := newHistory(seed, v)
		if err != nil {
			t.Fatal(err)
		}
		if fault := h.run(steps); fault != "" {
			t.Fatalf("seed %d variant %d: %s", seed, v, fault)
		}
		traces[i] = h.trace
	}
	if !slices.Equal(traces[0], traces[1]) {
		t.Fatalf("seed %d variant %d: equal histories, other actions", seed, v)
	}
}

func TestRulesUnderSeededHistories(t *testing.T) {
	for seed := range uint64(150) {
		playTwice(t, seed, uint16(seed*2654435761>>7), 250)
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint16(0))
	f.Add(uint64(2), uint16(0xfff))
	f.Add(uint64(37), uint16(0)) // a session whose later write has the earlier position, its first one forgotten
	f.Fuzz(func(t *testing.T, seed uint64, v uint16) { playTwice(t, seed, v, 120) })
}

// An attempt at a replica for a read that nobody else checks says until when its known position covers the read: a dial may take longer.
// Where replicas check, at the primary, and for reads whose session's position does not age, there is no such time.
func TestAttemptSaysUntilWhenItIsFresh(t *testing.T) {
	const age = 300 * ms
	for _, c := range []struct {
		name     string
		class    int
		handling LagHandling
		primary  bool
		want     clock.Nanos // of life left
	}{
		{"a bounded read that nobody checks", cBounded, LagUnchecked, false, 800*ms - age},
		{"one that the replica checks", cBounded, LagRejected, false, 0},
		{"any replica will do", cAny, LagUnchecked, false, 0},
		{"a session's read", cSession, LagUnchecked, false, 0},
		{"a fresh read at the primary", cFresh, LagUnchecked, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, func(s *Settings) { s.LagHandling = c.handling })
			r.members(2)
			r.hear(1, r.now-age)
			r.hear(2, r.now-age)
			r.b.groups.endpoints[1].group.primary = nil
			if c.primary {
				r.b.groups.endpoints[1].group.primary = r.b.groups.endpoints[1]
			}
			_, acts := r.in(c.class, "s")
			for _, a := range acts {
				if a.Kind != SendAttempt {
					continue
				}
				want := clock.Nanos(0)
				if c.want > 0 {
					want = r.now + c.want
				}
				if a.FreshUntil != want {
					t.Errorf("fresh until %d, want %d", a.FreshUntil, want)
				}
				return
			}
			t.Fatalf("not sent: %+v", acts)
		})
	}
}

// An old primary's answer that comes late, without a position, names it again. It costs the next write one miss and no more: the write
// goes on to the new primary, and the old one is known as a replica. A write that it would have run can't be: it rejects writes. A fresh
// read that goes to it is excused by the operators' rule, until an outcome has told this router that it is a replica.
func TestOldPrimarysLateAnswerCostsOneMiss(t *testing.T) {
	const oldPrimary, newPrimary = EndpointID(1), EndpointID(2)
	r := newRig(t, nil)
	r.members(2)
	late, _ := r.in(cFresh, "a")                         // out at the old primary when it hands over
	r.b.setReported(r.b.groups.endpoints[2], Primary, 0) // the new one answers as a primary
	r.out(late, 0, oldPrimary, Succeeded, Primary, 0)    // and then the late answer comes
	id, acts := r.in(cKeyed, "b")
	if node := r.sentTo(acts); node != oldPrimary {
		t.Fatalf("sent to %d: the case is not met", node)
	}
	acts = append(r.out(id, 0, oldPrimary, NotEligible, Replica, 0), r.pass(200*ms)...)
	if node := r.sentTo(acts); node != newPrimary {
		t.Errorf("the write goes on to %d", node)
	}
	r.out(id, 1, newPrimary, Succeeded, Primary, 0)
	if _, acts := r.in(cKeyed, "c"); r.sentTo(acts) != newPrimary {
		t.Error("the next write misses too")
	}
}
