package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// history feeds one router a seeded, adversarial but legal history and checks the five rules and the
// contract of the interface on every action. It knows no service times and gives no scores.
type history struct {
	rnd     *rand.Rand
	set     Settings
	b       *Balancer
	now     Nanos
	next    int
	nodes   []*seenNode
	open    map[string]*seenRequest
	order   []string
	gone    []*seenRequest // left in this batch: the router may have answered before it read that
	timers  []Event
	due     []Nanos
	commit  map[string]Nanos
	fresh   map[string]Nanos
	trace   []string
	observe func([]Action) // for the replay
	fault   string
}

type seenNode struct {
	NodeEntry
	listedPrimary bool // excused until it says otherwise
	saidReplica   bool
	pos           Nanos
	cold          []coldSend
	probes        int
}

type coldSend struct{ at, work Nanos }

type seenRequest struct {
	class    int
	session  string
	need     Nanos
	deadline Nanos
	group    int64
	sends    []seenSend
	ended    bool
}

type seenSend struct {
	node      *seenNode
	at        Nanos
	done, ran bool
}

// variant turns the bits of v into settings of every kind that the wire can state.
func variant(v uint16) Settings {
	s := testSettings()
	bit := func(i int) bool { return v>>i&1 == 1 }
	s.Behind = Behind(v % 3)
	s.RoleView = RoleView(v / 3 % 3)
	s.CarriedToken, s.Cancel, s.Probing = bit(4), bit(5), bit(6)
	s.RetryAfter, s.SoftRemoval, s.ProbeReports = bit(8), bit(9), bit(10)
	s.Classes[cKeyed].Scope = KeyScope(v / 5 % 3)
	s.MaxAttempts = 1 + int(v)%7
	s.MaxHeld = 1 + int(v)%50
	if bit(12) {
		s.Instances = 140
	}
	if bit(11) {
		s.Tenants = []Tenant{{Name: "t", Quota: 20}}
	}
	return s
}

func newHistory(seed uint64, v uint16) (*history, error) {
	h := &history{rnd: rand.New(rand.NewPCG(seed, uint64(v))), set: variant(v), now: 5000e9,
		open: map[string]*seenRequest{}, commit: map[string]Nanos{}, fresh: map[string]Nanos{}}
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
	to := h.now + h.set.Granularity*Nanos(1+h.rnd.IntN(12))
	if len(h.order) == 0 && h.chance(10) {
		to += 20e9
	}
	for _, at := range h.due {
		to = min(to, max(at, h.now+h.set.Granularity))
	}
	for _, id := range h.order {
		to = min(to, max(h.open[id].deadline, h.now+h.set.Granularity))
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
				events = append(events, h.answer(id, no, []Outcome{Done, Done, Done, Failed, Busy, TimedOut,
					Refused, Reset, Miss, Canceled}[h.rnd.IntN(10)]))
			}
		}
		if h.chance(1) {
			events = append(events, Event{Kind: RequestGone, Request: id})
			h.gone = append(h.gone, h.open[id])
		}
	}
	if h.chance(6) {
		events = append(events, h.list(h.chance(30)))
	}
	for _, n := range h.nodes {
		if n.probes > 0 && h.chance(30) {
			n.probes--
			n.pos = max(n.pos, h.now-Nanos(h.rnd.IntN(2000))*ms)
			events = append(events, Event{Kind: ProbeDone, Node: n.Node, Outcome: Done, Position: n.pos})
		}
	}
	if h.chance(5) { // nonsense that must be ignored
		events = append(events, Event{Kind: AttemptDone, Request: "none", Attempt: 3, Outcome: Done},
			Event{Kind: Wakeup, Tag: 1 << 40}, Event{Kind: RequestGone, Request: "none"}, Event{Kind: 99},
			Event{Kind: ProbeDone, Node: 77, Outcome: Done})
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
		deadline: h.now + h.set.Classes[class].Deadline*Nanos(40+h.rnd.IntN(60))/100}
	e := Event{Kind: RequestIn, Request: id, Class: class, Tenant: h.rnd.IntN(2) - 1, Session: r.session,
		Group: r.group, Deadline: r.deadline}
	r.need = h.commit[fmt.Sprint(r.group, r.session)]
	if h.set.CarriedToken {
		r.need = 0
		if h.chance(60) {
			e.TokenAge = Nanos(1+h.rnd.IntN(900)) * ms
			r.need = h.now - e.TokenAge
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
	s.ran = o != Busy && o != Refused && o != Skipped && o != Miss
	e := Event{Kind: AttemptDone, Request: id, Attempt: no, Node: s.node.Node, Outcome: o,
		Finished: r.ended || o == Done}
	if o == Done || o == Busy || o == Miss || o == Failed {
		e.Role = Replica
		if h.chance(40) {
			e.Role = Primary
		}
		if h.chance(70) {
			s.node.pos = max(s.node.pos, h.now-Nanos(h.rnd.IntN(1500))*ms)
			e.Position = s.node.pos
		}
	}
	if o == Done {
		r.ended = true
		if h.set.Classes[r.class].Read == Write { // also when the request had ended before
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
		h.nodes = append(h.nodes, &seenNode{NodeEntry: NodeEntry{Node: uint32(100 - i), Group: int64(i % 2),
			Zone: []string{"a", "b"}[i/2%2], Primary: i < 2, Weight: float64(h.rnd.IntN(3))}})
	}
	e := Event{Kind: NodesChanged}
	if full {
		e.Kind = NodesFull
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
			said := n.NodeEntry
			said.State = Gone
			e.Nodes = append(e.Nodes, said)
			continue
		case k == 2 && full:
			h.withdraw(n)
			continue
		case k == 3:
			n.Started = h.now
			n.State = Ready
		case k < 8:
			n.State = Ready
		case !full:
			continue
		}
		if n.State == Gone && h.set.SoftRemoval {
			n.State = Draining
		}
		n.listedPrimary = n.listedPrimary || n.Primary
		said := n.NodeEntry
		if said.Started > 0 && said.Started < h.now && h.chance(20) { // an old page: the start that was told before still counts
			said.Started -= 3e9
		}
		e.Nodes = append(e.Nodes, said)
	}
	if !first && h.chance(10) { // ghosts, in a group that requests name and in one that none does
		for range 3 {
			n := &seenNode{NodeEntry: NodeEntry{Node: uint32(1000 + len(h.nodes)), Group: int64(h.rnd.IntN(2) * 7),
				Zone: "c", Started: h.now}}
			h.nodes = append(h.nodes, n)
			e.Nodes = append(e.Nodes, n.NodeEntry)
		}
	}
	return e
}

func (h *history) withdraw(n *seenNode) {
	if !h.set.SoftRemoval || n.State == Draining {
		n.State = Gone
	}
}

// step hands the batch over and checks what comes back. Roles told in this batch excuse nothing yet.
func (h *history) step(events []Event) {
	for _, e := range events {
		for _, n := range h.nodes {
			if e.Kind == AttemptDone && e.Role != RoleUnknown && n.Node == e.Node {
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
	case Timer:
		h.due = append(h.due, a.At)
		h.timers = append(h.timers, Event{Kind: Wakeup, Tag: a.Tag})
	case Probe:
		if !h.set.Probing {
			h.failf("probe where none is allowed")
		}
		for _, n := range h.nodes {
			if n.Node == a.Node {
				n.probes++
			}
		}
	case Send, Refuse, Fail, Cancel:
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
	if a.Kind == Cancel {
		if !h.set.Cancel || a.Attempt >= len(r.sends) {
			h.failf("bad cancel %v", a)
		}
		return
	}
	if r.ended {
		h.failf("action %v after the end of the request", a)
		return
	}
	if a.Kind == Send {
		h.checkSend(a, r, c)
		return
	}
	r.ended = true
	if a.Wait > h.set.MaxRetryAfter {
		h.failf("a time to come back beyond the limit")
	}
	may := slices.ContainsFunc(r.sends, func(s seenSend) bool { return !s.done || s.ran })
	if a.Kind == Refuse && may && (c.Effect == Unsafe || (c.Effect == Keyed && c.Scope != ScopeAll)) {
		h.failf("refused %s, which may have run", a.Request)
	}
}

func (h *history) checkSend(a Action, r *seenRequest, c *Class) {
	at := slices.IndexFunc(h.nodes, func(n *seenNode) bool { return n.Node == a.Node })
	if at < 0 || h.nodes[at].Group != r.group {
		h.failf("sent to node %d, not of the group", a.Node)
		return
	}
	n := h.nodes[at]
	if n.State != Ready {
		h.failf("sent to node %d, which drains or is gone", a.Node)
	}
	if len(r.sends) >= h.set.MaxAttempts {
		h.failf("more attempts than allowed")
	}
	for _, s := range r.sends {
		if !s.done {
			h.failf("a second copy of %s", a.Request)
		}
		scoped := c.Scope != ScopeZone || s.node.Zone == n.Zone
		if (!s.done || s.ran) && (c.Effect == Unsafe || (c.Effect == Keyed && (h.now-s.at > c.Window || !scoped))) {
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
	if h.set.Behind != BehindNone || (n.listedPrimary && !n.saidReplica) {
		return
	}
	if (c.Read == Bounded && n.pos < h.now-c.Bound) || (c.Read == Session && n.pos < r.need) || c.Read == Fresh {
		h.failf("unproven read at node %d: %s, need %d, pos %d, listed %v said %v", n.Node, c.Name, r.need, n.pos, n.listedPrimary, n.saidReplica)
	}
}

// checkCold holds the work that the module itself reckons with against the stated budget of this instance's
// part of the node, beyond the requests that draws may let through.
func (h *history) checkCold(n *seenNode, r *seenRequest) {
	age := h.now - n.Started
	if n.Started == 0 || age >= h.set.RampTime {
		n.cold = nil
		return
	}
	work := h.b.work[r.class]
	n.cold = append(n.cold, coldSend{h.now, Nanos(work)})
	total := 0.0
	for _, s := range n.cold {
		if s.at > h.now-h.set.OverloadFor && s.at >= n.Started {
			total += float64(s.work)
		}
	}
	share := h.set.ColdShare + (1-h.set.ColdShare)*float64(age)/float64(h.set.RampTime)
	part := h.b.part * cmp.Or(n.Weight, 1)
	if limit := h.set.FallMultiple * share * part * float64(h.set.OverloadFor); total-3*work > limit {
		h.failf("cold node %d over its budget: %.0f of %.0f", n.Node, total, limit)
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
