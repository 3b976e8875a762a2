package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"lotushook/policy/clock"
	"lotushook/policy/quotalease"
)

const ms = clock.Nanos(1e6)

// net is a simulated network of members, each on a clock of its own; what is drawn follows from a seed.
type net struct {
	t       *testing.T
	rng     uint64
	now     clock.Nanos
	nodes   []*node
	flight  []sent
	loss    float64
	seeds   []string
	cut     func(from, to int) bool
	plain   bool     // SWIM without the corrections
	deaths  []string // every verdict that a member that serves is dead
	sent    int
	updates int
	largest int
	most    float64        // the parts of all
	index   map[string]int // by name
	doors   map[string]int // by address
}

type incarnationOf struct {
	name string
	boot uint64
}

type node struct {
	*Detector
	at          int
	boot        uint64
	killed      bool
	stoppedTill clock.Nanos
	skew        clock.Nanos // of its clock: its points differ from all others'
	rate        float64
	address     string
	served      clock.Nanos // since when it has been up and not paused
	lastIncarn  map[incarnationOf]uint32
	force       quotalease.Quota
}

type sent struct {
	at  clock.Nanos
	to  int
	msg Message
}

func (n *net) draw() float64 {
	n.rng = n.rng*6364136223846793005 + 1442695040888963407
	return float64(n.rng>>11) / (1 << 53)
}

func address(i int) string { return fmt.Sprintf("127.0.0.%d:7", i) }
func name(i int) string    { return fmt.Sprintf("r%03d", i) }

func (n *net) settings(i int) Settings {
	s := DefaultSettings(name(i), n.nodes[i].address, n.nodes[i].boot, len(n.nodes))
	for j := range n.nodes {
		s.Allowed = append(s.Allowed, name(j))
	}
	s.IsolatedShare = 0.5
	s.Seeds = n.seeds
	s.Lifeguard = !n.plain
	return s
}

func network(t *testing.T, members int, seed uint64) *net {
	t.Helper()
	n := &net{t: t, rng: seed, seeds: []string{address(0), address(1)}, cut: func(int, int) bool { return false }, index: map[string]int{}, doors: map[string]int{}}
	for i := range members {
		n.nodes = append(n.nodes, &node{at: i, skew: clock.Nanos(i) * 3600e9, rate: 1, address: address(i)})
		n.index[name(i)], n.doors[address(i)] = i, i
	}
	for i := range n.nodes {
		n.start(i)
	}
	return n
}

func (n *net) start(i int) {
	x := n.nodes[i]
	x.boot++
	m, err := New(n.settings(i), uint64(i)<<32+x.boot, n.clock(x))
	if err != nil {
		n.t.Fatal(err)
	}
	x.Detector, x.killed, x.served, x.lastIncarn = m, false, n.now, map[incarnationOf]uint32{}
}

func (n *net) post(from int, out []Message) {
	for _, m := range out {
		n.sent++
		n.updates += len(m.Updates)
		if m.Kind != StateReply {
			n.largest = max(n.largest, len(m.Updates))
		}
		to, ok := n.doors[m.To]
		if !ok {
			n.t.Fatalf("sent to %q", m.To)
		}
		if n.draw() < n.loss || n.cut(from, to) {
			continue
		}
		n.flight = append(n.flight, sent{n.now + ms + clock.Nanos(n.draw()*float64(4*ms)), to, m})
	}
}

// run plays a span in steps of 10 ms and audits each view.
func (n *net) run(span clock.Nanos) {
	for end := n.now + span; n.now < end; n.now += 10 * ms {
		slices.SortStableFunc(n.flight, func(x, y sent) int { return cmp.Compare(x.at, y.at) })
		due := 0
		for due < len(n.flight) && n.flight[due].at <= n.now {
			due++
		}
		now := slices.Clone(n.flight[:due])
		n.flight = n.flight[due:]
		for _, s := range now {
			switch x := n.nodes[s.to]; {
			case x.killed:
			case n.now < x.stoppedTill: // it waits in the socket
				s.at = x.stoppedTill
				n.flight = append(n.flight, s)
			default:
				n.post(s.to, x.Receive(n.clock(x), s.msg))
			}
		}
		for i, x := range n.nodes {
			if x.killed || n.now < x.stoppedTill {
				continue
			}
			n.post(i, x.Tick(n.clock(x)))
			if n.now/(10*ms)%n.every() == 0 {
				n.audit(x)
			}
		}
		if n.now/(10*ms)%n.every() == 0 {
			n.auditParts()
		}
	}
}

// clock is what a member's own clock shows.
func (n *net) clock(x *node) clock.Nanos { return x.skew + clock.Nanos(float64(n.now)*x.rate) }

// every is how many steps pass between audits.
func (n *net) every() clock.Nanos { return clock.Nanos(10 + len(n.nodes)*len(n.nodes)/1000) }

// auditParts: what all that run hold adds up to no more than the whole; who is paused holds what it was told last.
func (n *net) auditParts() {
	sum := 0.0
	for _, x := range n.nodes {
		if x.killed {
			continue
		}
		if n.now >= x.stoppedTill {
			x.force = x.View().Quota
		}
		if n.clock(x) < x.force.ValidUntil {
			sum += x.force.Share
		} else {
			sum += x.force.MinShare
		}
	}
	if n.most = max(n.most, sum); sum > 1+1e-9 {
		n.t.Fatalf("%d ms: the parts add up to %v", n.now/ms, sum)
	}
}

// audit: whoever serves all along is dead in nobody's view, unless nobody could hear it, and incarnations never fall.
func (n *net) audit(x *node) {
	for _, m := range x.View().Members {
		of := n.nodes[n.index[m.Name]]
		key := incarnationOf{m.Name, m.Epoch}
		if m.Incarnation < x.lastIncarn[key] {
			n.t.Fatalf("%s: the incarnation of %s fell to %d", x.settings.Name, m.Name, m.Incarnation)
		}
		x.lastIncarn[key] = m.Incarnation
		if m.State >= Dead && m.Epoch == of.boot && !of.killed && n.now >= of.stoppedTill && n.now-of.served > 5000*ms {
			n.deaths = append(n.deaths, fmt.Sprintf("%d ms: %s takes %s for %s", n.now/ms, x.settings.Name, m.Name, m.State))
		}
	}
}

// agree says whether every member that is up has exactly those alive that are up.
func (n *net) agree() bool {
	for _, x := range n.nodes {
		if x.killed {
			continue
		}
		seen := map[string]State{}
		for _, m := range x.View().Members {
			seen[m.Name] = m.State
		}
		for _, y := range n.nodes {
			if !right(seen[name(y.at)], y) {
				return false
			}
		}
	}
	return true
}

// right says whether a state is what a member's should be: alive, or dead, departed or unknown.
func right(s State, of *node) bool {
	if of.killed {
		return s == 0 || s >= Dead
	}
	return s == Alive
}

// until runs until all agree, and says how long that took.
func (n *net) until(most clock.Nanos) clock.Nanos {
	from := n.now
	for n.now-from < most {
		if n.agree() {
			return n.now - from
		}
		n.run(50 * ms)
	}
	n.t.Fatalf("no agreement within %d ms: %s", most/ms, n.differ())
	return 0
}

func (n *net) differ() string {
	for _, x := range n.nodes {
		if x.killed {
			continue
		}
		v := x.View()
		seen := map[string]State{}
		for _, m := range v.Members {
			seen[m.Name] = m.State
		}
		for _, y := range n.nodes {
			if s := seen[name(y.at)]; !right(s, y) {
				return fmt.Sprintf("%s (deaf %v) has %s as %s, killed %v", x.settings.Name, v.Isolated, name(y.at), s, y.killed)
			}
		}
	}
	return ""
}

func (n *net) noDeaths(what string) {
	n.t.Helper()
	if len(n.deaths) > 0 {
		n.t.Errorf("%s: %d wrong verdicts, first %s", what, len(n.deaths), n.deaths[0])
	}
}

func TestFindEachOther(t *testing.T) {
	for _, members := range []int{2, 3, 7, 40} {
		n := network(t, members, 1)
		if took := n.until(6000 * ms); took > 4000*ms {
			t.Errorf("%d members: agreed after %d ms", members, took/ms)
		}
		n.run(10_000 * ms)
		n.noDeaths("calm")
		if !n.agree() || !n.nodes[0].View().Majority {
			t.Error("a calm view changed, or is no majority: ", n.differ())
		}
	}
}

// The one seed that all start with is dead, and comes back alone: it must not be a cluster of its own.
func TestSeedComesBackAlone(t *testing.T) {
	n := network(t, 5, 2)
	n.until(6000 * ms)
	n.nodes[0].killed = true
	n.run(6000 * ms)
	n.start(0)
	if v := n.nodes[0].View(); v.Majority || v.Present != 1 {
		t.Errorf("alone: %+v", v)
	}
	n.until(5000 * ms)
	n.noDeaths("the seed's return")
}

// All start at once, and the one seed that they know is dead; they find each other once it is there.
func TestDeadSeed(t *testing.T) {
	n := network(t, 5, 2)
	n.seeds = []string{address(0)}
	for i := range n.nodes {
		n.start(i)
	}
	n.nodes[0].killed, n.flight = true, nil
	n.run(5000 * ms)
	for _, x := range n.nodes[1:] {
		if v := x.View(); v.Majority || v.Present != 1 || v.Quota.IsHolder {
			t.Errorf("%s: %+v", name(x.at), v)
		}
	}
	n.start(0)
	n.until(5000 * ms)
	n.noDeaths("a dead seed")
}

func TestKilledIsKnownSoon(t *testing.T) {
	var worst clock.Nanos
	for seed := range uint64(10) {
		n := network(t, 7, seed)
		n.until(6000 * ms)
		n.run(clock.Nanos(seed) * 37 * ms)
		n.nodes[3].killed = true
		worst = max(worst, n.until(6000*ms))
		n.noDeaths("a kill")
	}
	t.Logf("slowest of ten: %d ms", worst/ms)
	if worst > 3500*ms {
		t.Errorf("one killed was known to all after %d ms", worst/ms)
	}
}

// The audit can fail: without the corrections, members that serve die of the same faults.
func TestPlainKillsTheLiving(t *testing.T) {
	for _, c := range []struct {
		what  string
		fault func(n *net)
	}{
		{"loss", func(n *net) { n.loss = 0.65; n.run(60_000 * ms) }},
		{"deaf", func(n *net) { n.cut = func(_, to int) bool { return to == 2 }; n.run(30_000 * ms) }},
	} {
		n := network(t, 7, 3)
		n.until(6000 * ms)
		n.plain = true
		for i := range n.nodes {
			n.start(i)
		}
		n.until(8000 * ms)
		n.run(6000 * ms)
		n.deaths = nil
		c.fault(n)
		if len(n.deaths) == 0 {
			t.Errorf("%s: no wrong verdict", c.what)
		}
		t.Logf("%s: %d wrong verdicts", c.what, len(n.deaths))
	}
}

func TestLossKillsNobody(t *testing.T) {
	for seed := range uint64(5) {
		n := network(t, 7, seed)
		n.until(6000 * ms)
		n.loss = 0.3
		n.run(60_000 * ms)
		n.noDeaths("30% of all messages lost")
		n.loss = 0
		n.until(6000 * ms)
	}
}

func TestPausesKillNobodyElse(t *testing.T) {
	for _, pause := range []clock.Nanos{200 * ms, 1000 * ms, 5000 * ms, 60_000 * ms} {
		n := network(t, 7, 3)
		n.until(6000 * ms)
		x := n.nodes[2]
		x.stoppedTill = n.now + pause
		before := x.View()
		n.run(pause)
		x.served = n.now
		n.run(300 * ms)
		for _, m := range x.View().Members { // it heard nobody meanwhile, and blames nobody for that
			if m.State >= Dead {
				t.Errorf("after %d ms asleep %s is %s", pause/ms, m.Name, m.State)
			}
		}
		n.until(6000 * ms)
		if after := x.View(); incarnation(after, name(2)) <= incarnation(before, name(2)) {
			t.Errorf("after %d ms asleep it came back as if nothing had been", pause/ms)
		}
		n.noDeaths("a pause")
	}
}

func incarnation(v View, of string) uint32 {
	for _, m := range v.Members {
		if m.Name == of {
			return m.Incarnation
		}
	}
	return 0
}

// A cut that works in one direction between two of them swings nobody's view: the others carry the questions.
func TestOneSidedCut(t *testing.T) {
	n := network(t, 5, 4)
	n.until(6000 * ms)
	n.cut = func(from, to int) bool { return from == 1 && to == 3 }
	for range 60 {
		n.run(1000 * ms)
		n.noDeaths("one-sided cut")
	}
	n.cut = func(int, int) bool { return false }
	n.until(5000 * ms)
}

// One that hears nobody accuses nobody, and knows that it is cut off; so does one that nobody hears, whom alone the
// others take for dead.
func TestDeafAndMute(t *testing.T) {
	for _, c := range []struct {
		what string
		cut  func(from, to int) bool
	}{
		{"deaf", func(_, to int) bool { return to == 2 }},
		{"mute", func(from, _ int) bool { return from == 2 }},
		{"both", func(from, to int) bool { return from == 2 || to == 2 }},
	} {
		n := network(t, 7, 5)
		n.until(6000 * ms)
		n.cut = c.cut
		n.run(8000 * ms)
		if v := n.nodes[2].View(); !v.Isolated || v.Majority {
			t.Errorf("%s: it does not know: deaf %v, majority %v", c.what, v.Isolated, v.Majority)
		}
		n.run(30_000 * ms)
		for _, x := range n.nodes {
			for _, m := range x.View().Members {
				if m.Name != name(2) && x.at != 2 && m.State != Alive {
					t.Errorf("%s: %s has %s as %s", c.what, name(x.at), m.Name, m.State)
				}
				if m.Name == name(2) && x.at != 2 && (m.State == Alive || m.State == Suspect) {
					t.Errorf("%s: %s still counts it: %s", c.what, name(x.at), m.State)
				}
				if x.at == 2 && m.State >= Dead {
					t.Errorf("%s: it has %s as %s", c.what, m.Name, m.State)
				}
			}
		}
		n.cut = func(int, int) bool { return false }
		n.nodes[2].served = n.now
		n.until(6000 * ms)
	}
}

// Two halves of a split both know that they may be half, and find each other again.
func TestSplitAndHeal(t *testing.T) {
	for _, left := range []int{5, 4, 3} {
		n := network(t, 8, 6)
		n.until(6000 * ms)
		n.cut = func(from, to int) bool { return (from < left) != (to < left) }
		n.run(60_000 * ms)
		for _, x := range n.nodes {
			side := left
			if x.at >= left {
				side = 8 - left
			}
			if v := x.View(); v.Majority != (2*side > 8) || v.Present != side {
				t.Errorf("%d of 8: %s counts %d, majority %v", side, name(x.at), v.Present, v.Majority)
			}
		}
		n.cut = func(int, int) bool { return false }
		for _, x := range n.nodes {
			x.served = n.now
		}
		if took := n.until(10_000 * ms); took > 5000*ms {
			t.Errorf("agreed %d ms after healing", took/ms)
		}
	}
}

// One that lies about others can't kill one that they hear.
func TestLiarKillsNobody(t *testing.T) {
	n := network(t, 7, 7)
	n.until(6000 * ms)
	for range 300 {
		n.run(100 * ms)
		for to := range 6 {
			for of := range 6 {
				u := Update{Name: name(of), Address: address(of), Epoch: 1, Incarnation: 1 << 20, State: []State{Suspect, Dead, Left}[int(n.draw()*3)], Accuser: name(6)}
				for _, m := range n.nodes[of].View().Members {
					if m.Name == name(of) {
						u.Incarnation = m.Incarnation
					}
				}
				n.post(6, []Message{{Kind: Ack, From: name(6), Address: address(6), Epoch: 1, To: address(to), Updates: []Update{u}}})
			}
		}
	}
	n.noDeaths("a liar")
}

// Of two processes with one name the older stays, and the younger is told.
func TestOneNameTwice(t *testing.T) {
	n := network(t, 4, 8)
	n.until(6000 * ms)
	s := n.settings(2)
	s.Epoch, s.Address = 99, address(3)
	n.nodes[3].killed = true
	n.run(5000 * ms)
	second, err := New(s, 1, n.now)
	if err != nil {
		t.Fatal(err)
	}
	n.nodes[3].Detector, n.nodes[3].killed, n.nodes[3].skew = second, false, 0
	n.run(4000 * ms)
	if v := second.View(); !v.NameTaken || v.Majority {
		t.Errorf("the younger one was not told: %+v", v)
	}
	for _, x := range n.nodes[:3] {
		for _, m := range x.View().Members {
			if m.Name == name(2) && (m.Epoch != 1 || m.State != Alive) {
				t.Errorf("%s has %s of boot %d as %s", name(x.at), m.Name, m.Epoch, m.State)
			}
		}
	}
}

func TestLeaveAndRestart(t *testing.T) {
	n := network(t, 5, 9)
	n.until(6000 * ms)
	x := n.nodes[4]
	n.post(4, x.Leave(n.clock(x)))
	x.killed = true
	n.run(2500 * ms)
	for _, y := range n.nodes[:4] {
		for _, m := range y.View().Members {
			if m.Name == name(4) && m.State != Left {
				t.Errorf("%s has the one that left as %s", name(y.at), m.State)
			}
		}
	}
	n.start(4)
	if took := n.until(5000 * ms); took > 3000*ms {
		t.Errorf("back after %d ms", took/ms)
	}
	n.noDeaths("a restart")
}

// What is remembered is bounded, and so is a message; what a member sends does not grow with their number.
func TestBounds(t *testing.T) {
	rate := map[int]float64{}
	for _, members := range []int{10, 100} {
		n := network(t, members, 10)
		n.until(15_000 * ms)
		n.sent = 0
		n.run(10_000 * ms)
		rate[members] = float64(n.sent) / 10 / float64(members)
		if n.largest > n.nodes[0].settings.MaxUpdates+2 {
			t.Errorf("%d updates in a message", n.largest)
		}
	}
	t.Logf("messages a member a second: %v", rate)
	if rate[100] > 1.5*rate[10] {
		t.Errorf("messages a member a second: %v", rate)
	}
	s := DefaultSettings("a", "x", 1, 3)
	s.MaxMembers = 20
	m, err := New(s, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		m.Receive(clock.Nanos(i)*ms, Message{Kind: IndirectPing, From: name(i), Address: address(i), Epoch: 1, TargetAddress: "y", Target: "z",
			Updates: []Update{{Name: name(i), Address: address(i), Epoch: 1, State: Alive}}})
	}
	if m.Size() > 20+20+maxRelays {
		t.Errorf("%d things remembered", m.Size())
	}
}

func TestBadSettings(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Name = "" }, func(s *Settings) { s.Configured = 0 }, func(s *Settings) { s.AckTimeout = s.ProbeInterval },
		func(s *Settings) { s.MaxSuspicion = 1 }, func(s *Settings) { s.IndirectChecks = 100 }, func(s *Settings) { s.ForgetAfter = 1 },
		func(s *Settings) { s.MaxUpdates = 0 }, func(s *Settings) { s.RetransmitFactor = 0 },
	} {
		s := DefaultSettings("a", "x", 1, 3)
		change(&s)
		if _, err := New(s, 1, 0); err == nil {
			t.Errorf("%+v was taken", s)
		}
	}
}
