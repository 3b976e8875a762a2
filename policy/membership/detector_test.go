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

// simNet is a simulated network of members with a clock each. Its random choices follow from a seed.
type simNet struct {
	t              *testing.T
	rng            uint64
	now            clock.Nanos
	nodes          []*simNode
	inFlight       []delivery
	lossRate       float64
	seeds          []string
	blocked        func(from, to int) bool
	plainSWIM      bool     // without the corrections of Lifeguard and those for pauses and partitions
	falseDeaths    []string // views in which a serving member is dead
	sentMessages   int
	sentUpdates    int
	maxUpdatesSent int
	maxShareSum    float64 // maximum sum of the quota shares of all nodes
	nodeByName     map[string]int
	nodeByAddress  map[string]int
}

type process struct {
	name  string
	epoch uint64
}

type simNode struct {
	*Detector
	index            int
	epoch            uint64
	killed           bool
	resumesAt        clock.Nanos
	skew             clock.Nanos // offset of its clock, different for each node
	rate             float64     // speed of its clock relative to real time
	address          string
	servingSince     clock.Nanos // when it last started, resumed or became reachable
	lastIncarnations map[process]uint32
	quota            quotalease.Quota
}

type delivery struct {
	arrivesAt clock.Nanos
	to        int
	message   Message
}

func (sim *simNet) random() float64 {
	sim.rng = sim.rng*6364136223846793005 + 1442695040888963407
	return float64(sim.rng>>11) / (1 << 53)
}

func nodeAddress(i int) string { return fmt.Sprintf("127.0.0.%d:7", i) }
func nodeName(i int) string    { return fmt.Sprintf("r%03d", i) }

func (sim *simNet) settings(index int) Settings {
	settings := DefaultSettings(nodeName(index), sim.nodes[index].address, sim.nodes[index].epoch, len(sim.nodes))
	for other := range sim.nodes {
		settings.AllowedNames = append(settings.AllowedNames, nodeName(other))
	}
	settings.IsolatedShare = 0.5
	settings.Seeds = sim.seeds
	settings.Lifeguard = !sim.plainSWIM
	return settings
}

func newSimNet(t *testing.T, memberCount int, seed uint64) *simNet {
	t.Helper()
	sim := &simNet{t: t, rng: seed, seeds: []string{nodeAddress(0), nodeAddress(1)}, blocked: func(int, int) bool { return false }, nodeByName: map[string]int{}, nodeByAddress: map[string]int{}}
	for index := range memberCount {
		sim.nodes = append(sim.nodes, &simNode{index: index, skew: clock.Nanos(index) * 3600e9, rate: 1, address: nodeAddress(index)})
		sim.nodeByName[nodeName(index)], sim.nodeByAddress[nodeAddress(index)] = index, index
	}
	for index := range sim.nodes {
		sim.start(index)
	}
	return sim
}

func (sim *simNet) start(index int) {
	node := sim.nodes[index]
	node.epoch++
	detector, err := New(sim.settings(index), uint64(index)<<32+node.epoch, sim.time(node))
	if err != nil {
		sim.t.Fatal(err)
	}
	node.Detector, node.killed, node.servingSince, node.lastIncarnations = detector, false, sim.now, map[process]uint32{}
}

func (sim *simNet) send(from int, messages []Message) {
	for _, message := range messages {
		sim.sentMessages++
		sim.sentUpdates += len(message.Updates)
		if message.Kind != StateReply {
			sim.maxUpdatesSent = max(sim.maxUpdatesSent, len(message.Updates))
		}
		to, known := sim.nodeByAddress[message.To]
		if !known {
			sim.t.Fatalf("message to unknown address %q", message.To)
		}
		if sim.random() < sim.lossRate || sim.blocked(from, to) {
			continue
		}
		sim.inFlight = append(sim.inFlight, delivery{sim.now + ms + clock.Nanos(sim.random()*float64(4*ms)), to, message})
	}
}

// run simulates a duration in steps of 10 ms and audits the views.
func (sim *simNet) run(duration clock.Nanos) {
	for end := sim.now + duration; sim.now < end; sim.now += 10 * ms {
		slices.SortStableFunc(sim.inFlight, func(left, right delivery) int { return cmp.Compare(left.arrivesAt, right.arrivesAt) })
		dueCount := 0
		for dueCount < len(sim.inFlight) && sim.inFlight[dueCount].arrivesAt <= sim.now {
			dueCount++
		}
		due := slices.Clone(sim.inFlight[:dueCount])
		sim.inFlight = sim.inFlight[dueCount:]
		for _, delivered := range due {
			switch node := sim.nodes[delivered.to]; {
			case node.killed:
			case sim.now < node.resumesAt: // the message waits in the socket
				delivered.arrivesAt = node.resumesAt
				sim.inFlight = append(sim.inFlight, delivered)
			default:
				sim.send(delivered.to, node.Receive(sim.time(node), delivered.message))
			}
		}
		for index, node := range sim.nodes {
			if node.killed || sim.now < node.resumesAt {
				continue
			}
			sim.send(index, node.Tick(sim.time(node)))
			if sim.now/(10*ms)%sim.period() == 0 {
				sim.audit(node)
			}
		}
		if sim.now/(10*ms)%sim.period() == 0 {
			sim.auditShares()
		}
	}
}

// time returns the time on a node's own clock.
func (sim *simNet) time(n *simNode) clock.Nanos { return n.skew + clock.Nanos(float64(sim.now)*n.rate) }

// period returns the number of steps between audits.
func (sim *simNet) period() clock.Nanos { return clock.Nanos(10 + len(sim.nodes)*len(sim.nodes)/1000) }

// auditShares checks that the quota shares of all running nodes add up to at most 1. A paused node still has its last
// quota.
func (sim *simNet) auditShares() {
	sum := 0.0
	for _, node := range sim.nodes {
		if node.killed {
			continue
		}
		if sim.now >= node.resumesAt {
			node.quota = node.View().Quota
		}
		if sim.time(node) < node.quota.ValidUntil {
			sum += node.quota.Share
		} else {
			sum += node.quota.MinShare
		}
	}
	if sim.maxShareSum = max(sim.maxShareSum, sum); sum > 1+1e-9 {
		sim.t.Fatalf("%d ms: the quota shares add up to %v", sim.now/ms, sum)
	}
}

// audit checks a node's view: incarnations never decrease, and no member that has served for 5 s is dead.
func (sim *simNet) audit(node *simNode) {
	for _, member := range node.View().Members {
		subject := sim.nodes[sim.nodeByName[member.Name]]
		key := process{member.Name, member.Epoch}
		if member.Incarnation < node.lastIncarnations[key] {
			sim.t.Fatalf("%s: the incarnation of %s decreased to %d", node.settings.Name, member.Name, member.Incarnation)
		}
		node.lastIncarnations[key] = member.Incarnation
		if member.State >= Dead && member.Epoch == subject.epoch && !subject.killed && sim.now >= subject.resumesAt && sim.now-subject.servingSince > 5000*ms {
			sim.falseDeaths = append(sim.falseDeaths, fmt.Sprintf("%d ms: %s sees %s as %s", sim.now/ms, node.settings.Name, member.Name, member.State))
		}
	}
}

// agrees reports whether every running node sees exactly the running nodes as alive.
func (sim *simNet) agrees() bool {
	for _, node := range sim.nodes {
		if node.killed {
			continue
		}
		seen := map[string]State{}
		for _, member := range node.View().Members {
			seen[member.Name] = member.State
		}
		for _, subject := range sim.nodes {
			if !isCorrect(seen[nodeName(subject.index)], subject) {
				return false
			}
		}
	}
	return true
}

// isCorrect reports whether a state matches a node: alive if the node runs, otherwise dead, left or unknown.
func isCorrect(state State, subject *simNode) bool {
	if subject.killed {
		return state == 0 || state >= Dead
	}
	return state == Alive
}

// runUntilAgreement runs until all views are correct and returns the elapsed time.
func (sim *simNet) runUntilAgreement(limit clock.Nanos) clock.Nanos {
	startedAt := sim.now
	for sim.now-startedAt < limit {
		if sim.agrees() {
			return sim.now - startedAt
		}
		sim.run(50 * ms)
	}
	sim.t.Fatalf("no agreement within %d ms: %s", limit/ms, sim.disagreement())
	return 0
}

// disagreement describes the first incorrect state in a view, if any.
func (sim *simNet) disagreement() string {
	for _, node := range sim.nodes {
		if node.killed {
			continue
		}
		view := node.View()
		seen := map[string]State{}
		for _, member := range view.Members {
			seen[member.Name] = member.State
		}
		for _, subject := range sim.nodes {
			if state := seen[nodeName(subject.index)]; !isCorrect(state, subject) {
				return fmt.Sprintf("%s (isolated %v) sees %s as %s, killed %v", node.settings.Name, view.Isolated, nodeName(subject.index), state, subject.killed)
			}
		}
	}
	return ""
}

func (sim *simNet) expectNoFalseDeaths(scenario string) {
	sim.t.Helper()
	if len(sim.falseDeaths) > 0 {
		sim.t.Errorf("%s: %d false deaths, first %s", scenario, len(sim.falseDeaths), sim.falseDeaths[0])
	}
}

func TestMembersFindEachOther(t *testing.T) {
	for _, memberCount := range []int{2, 3, 7, 40} {
		sim := newSimNet(t, memberCount, 1)
		if elapsed := sim.runUntilAgreement(6000 * ms); elapsed > 4000*ms {
			t.Errorf("%d members: agreed after %d ms", memberCount, elapsed/ms)
		}
		sim.run(10_000 * ms)
		sim.expectNoFalseDeaths("no faults")
		if !sim.agrees() || !sim.nodes[0].View().Majority {
			t.Error("a view changed without faults, or is no majority: ", sim.disagreement())
		}
	}
}

// A seed restarts without peers. It must find the others instead of forming a cluster of its own.
func TestSeedRestartsAlone(t *testing.T) {
	sim := newSimNet(t, 5, 2)
	sim.runUntilAgreement(6000 * ms)
	sim.nodes[0].killed = true
	sim.run(6000 * ms)
	sim.start(0)
	if view := sim.nodes[0].View(); view.Majority || view.Present != 1 {
		t.Errorf("view of the restarted seed: %+v", view)
	}
	sim.runUntilAgreement(5000 * ms)
	sim.expectNoFalseDeaths("restart of a seed")
}

// All members start while their only seed is dead. They find each other once it starts.
func TestDeadSeed(t *testing.T) {
	sim := newSimNet(t, 5, 2)
	sim.seeds = []string{nodeAddress(0)}
	for index := range sim.nodes {
		sim.start(index)
	}
	sim.nodes[0].killed, sim.inFlight = true, nil
	sim.run(5000 * ms)
	for _, node := range sim.nodes[1:] {
		if view := node.View(); view.Majority || view.Present != 1 || view.Quota.IsHolder {
			t.Errorf("%s: %+v", nodeName(node.index), view)
		}
	}
	sim.start(0)
	sim.runUntilAgreement(5000 * ms)
	sim.expectNoFalseDeaths("a dead seed")
}

func TestDeathIsDetectedSoon(t *testing.T) {
	var longest clock.Nanos
	for seed := range uint64(10) {
		sim := newSimNet(t, 7, seed)
		sim.runUntilAgreement(6000 * ms)
		sim.run(clock.Nanos(seed) * 37 * ms)
		sim.nodes[3].killed = true
		longest = max(longest, sim.runUntilAgreement(6000*ms))
		sim.expectNoFalseDeaths("a killed member")
	}
	t.Logf("longest detection of ten: %d ms", longest/ms)
	if longest > 3500*ms {
		t.Errorf("all members detected a death after %d ms", longest/ms)
	}
}

// Without the corrections of Lifeguard, the same faults cause false deaths. This shows that the audit can fail.
func TestPlainSWIMHasFalseDeaths(t *testing.T) {
	for _, test := range []struct {
		name        string
		injectFault func(sim *simNet)
	}{
		{"message loss", func(sim *simNet) { sim.lossRate = 0.65; sim.run(60_000 * ms) }},
		{"can't receive", func(sim *simNet) { sim.blocked = func(_, to int) bool { return to == 2 }; sim.run(30_000 * ms) }},
	} {
		sim := newSimNet(t, 7, 3)
		sim.runUntilAgreement(6000 * ms)
		sim.plainSWIM = true
		for index := range sim.nodes {
			sim.start(index)
		}
		sim.runUntilAgreement(8000 * ms)
		sim.run(6000 * ms)
		sim.falseDeaths = nil
		test.injectFault(sim)
		if len(sim.falseDeaths) == 0 {
			t.Errorf("%s: no false death", test.name)
		}
		t.Logf("%s: %d false deaths", test.name, len(sim.falseDeaths))
	}
}

func TestNoFalseDeathsUnderLoss(t *testing.T) {
	for seed := range uint64(5) {
		sim := newSimNet(t, 7, seed)
		sim.runUntilAgreement(6000 * ms)
		sim.lossRate = 0.3
		sim.run(60_000 * ms)
		sim.expectNoFalseDeaths("30% message loss")
		sim.lossRate = 0
		sim.runUntilAgreement(6000 * ms)
	}
}

func TestNoFalseDeathsAfterPause(t *testing.T) {
	for _, pause := range []clock.Nanos{200 * ms, 1000 * ms, 5000 * ms, 60_000 * ms} {
		sim := newSimNet(t, 7, 3)
		sim.runUntilAgreement(6000 * ms)
		node := sim.nodes[2]
		node.resumesAt = sim.now + pause
		before := node.View()
		sim.run(pause)
		node.servingSince = sim.now
		sim.run(300 * ms)
		for _, member := range node.View().Members { // the paused node's timeouts must not include the pause
			if member.State >= Dead {
				t.Errorf("after a pause of %d ms %s is %s", pause/ms, member.Name, member.State)
			}
		}
		sim.runUntilAgreement(6000 * ms)
		if after := node.View(); incarnationIn(after, nodeName(2)) <= incarnationIn(before, nodeName(2)) {
			t.Errorf("after a pause of %d ms it did not raise its incarnation", pause/ms)
		}
		sim.expectNoFalseDeaths("a pause")
	}
}

func incarnationIn(view View, name string) uint32 {
	for _, member := range view.Members {
		if member.Name == name {
			return member.Incarnation
		}
	}
	return 0
}

// A one-way partition between two members changes no view, as other members relay their probes.
func TestOneWayPartition(t *testing.T) {
	sim := newSimNet(t, 5, 4)
	sim.runUntilAgreement(6000 * ms)
	sim.blocked = func(from, to int) bool { return from == 1 && to == 3 }
	for range 60 {
		sim.run(1000 * ms)
		sim.expectNoFalseDeaths("one-way partition")
	}
	sim.blocked = func(int, int) bool { return false }
	sim.runUntilAgreement(5000 * ms)
}

// A member that can't receive or can't send (or neither) detects that it is isolated, and no member is dead in its
// view. In the views of the others, only that member is isolated or dead.
func TestIsolatedMember(t *testing.T) {
	for _, test := range []struct {
		name    string
		blocked func(from, to int) bool
	}{
		{"can't receive", func(_, to int) bool { return to == 2 }},
		{"can't send", func(from, _ int) bool { return from == 2 }},
		{"can't send or receive", func(from, to int) bool { return from == 2 || to == 2 }},
	} {
		sim := newSimNet(t, 7, 5)
		sim.runUntilAgreement(6000 * ms)
		sim.blocked = test.blocked
		sim.run(8000 * ms)
		if view := sim.nodes[2].View(); !view.Isolated || view.Majority {
			t.Errorf("%s: the member does not detect it: isolated %v, majority %v", test.name, view.Isolated, view.Majority)
		}
		sim.run(30_000 * ms)
		for _, node := range sim.nodes {
			for _, member := range node.View().Members {
				if member.Name != nodeName(2) && node.index != 2 && member.State != Alive {
					t.Errorf("%s: %s sees %s as %s", test.name, nodeName(node.index), member.Name, member.State)
				}
				if member.Name == nodeName(2) && node.index != 2 && (member.State == Alive || member.State == Suspect) {
					t.Errorf("%s: %s sees the member as %s", test.name, nodeName(node.index), member.State)
				}
				if node.index == 2 && member.State >= Dead {
					t.Errorf("%s: the member sees %s as %s", test.name, member.Name, member.State)
				}
			}
		}
		sim.blocked = func(int, int) bool { return false }
		sim.nodes[2].servingSince = sim.now
		sim.runUntilAgreement(6000 * ms)
	}
}

// Both sides of a partition know whether they are a majority, and find each other after it heals.
func TestPartitionAndHeal(t *testing.T) {
	for _, leftSide := range []int{5, 4, 3} {
		sim := newSimNet(t, 8, 6)
		sim.runUntilAgreement(6000 * ms)
		sim.blocked = func(from, to int) bool { return (from < leftSide) != (to < leftSide) }
		sim.run(60_000 * ms)
		for _, node := range sim.nodes {
			side := leftSide
			if node.index >= leftSide {
				side = 8 - leftSide
			}
			if view := node.View(); view.Majority != (2*side > 8) || view.Present != side {
				t.Errorf("side of %d of 8: %s has %d present, majority %v", side, nodeName(node.index), view.Present, view.Majority)
			}
		}
		sim.blocked = func(int, int) bool { return false }
		for _, node := range sim.nodes {
			node.servingSince = sim.now
		}
		if elapsed := sim.runUntilAgreement(10_000 * ms); elapsed > 5000*ms {
			t.Errorf("agreed %d ms after the partition healed", elapsed/ms)
		}
	}
}

// A member that sends false reports about others can't remove members that the others hear.
func TestNoFalseDeathsFromFalseReports(t *testing.T) {
	sim := newSimNet(t, 7, 7)
	sim.runUntilAgreement(6000 * ms)
	for range 300 {
		sim.run(100 * ms)
		for to := range 6 {
			for subject := range 6 {
				update := Update{Name: nodeName(subject), Address: nodeAddress(subject), Epoch: 1, Incarnation: 1 << 20, State: []State{Suspect, Dead, Left}[int(sim.random()*3)], ReportedBy: nodeName(6)}
				for _, member := range sim.nodes[subject].View().Members {
					if member.Name == nodeName(subject) {
						update.Incarnation = member.Incarnation
					}
				}
				sim.send(6, []Message{{Kind: Ack, From: nodeName(6), Address: nodeAddress(6), Epoch: 1, To: nodeAddress(to), Updates: []Update{update}}})
			}
		}
	}
	sim.expectNoFalseDeaths("false reports")
}

// Of two processes with the same name the older one stays a member, and the younger one is notified.
func TestDuplicateName(t *testing.T) {
	sim := newSimNet(t, 4, 8)
	sim.runUntilAgreement(6000 * ms)
	settings := sim.settings(2)
	settings.Epoch, settings.Address = 99, nodeAddress(3)
	sim.nodes[3].killed = true
	sim.run(5000 * ms)
	younger, err := New(settings, 1, sim.now)
	if err != nil {
		t.Fatal(err)
	}
	sim.nodes[3].Detector, sim.nodes[3].killed, sim.nodes[3].skew = younger, false, 0
	sim.run(4000 * ms)
	if view := younger.View(); !view.DuplicateName || view.Majority {
		t.Errorf("the younger process was not notified: %+v", view)
	}
	for _, node := range sim.nodes[:3] {
		for _, member := range node.View().Members {
			if member.Name == nodeName(2) && (member.Epoch != 1 || member.State != Alive) {
				t.Errorf("%s sees %s of epoch %d as %s", nodeName(node.index), member.Name, member.Epoch, member.State)
			}
		}
	}
}

func TestLeaveAndRestart(t *testing.T) {
	sim := newSimNet(t, 5, 9)
	sim.runUntilAgreement(6000 * ms)
	node := sim.nodes[4]
	sim.send(4, node.Leave(sim.time(node)))
	node.killed = true
	sim.run(2500 * ms)
	for _, other := range sim.nodes[:4] {
		for _, member := range other.View().Members {
			if member.Name == nodeName(4) && member.State != Left {
				t.Errorf("%s sees the departed member as %s", nodeName(other.index), member.State)
			}
		}
	}
	sim.start(4)
	if elapsed := sim.runUntilAgreement(5000 * ms); elapsed > 3000*ms {
		t.Errorf("agreed %d ms after the restart", elapsed/ms)
	}
	sim.expectNoFalseDeaths("a restart")
}

// The size of the detector and of a message is bounded, and the message rate per member does not grow with the cluster.
func TestBounds(t *testing.T) {
	messageRates := map[int]float64{}
	for _, memberCount := range []int{10, 100} {
		sim := newSimNet(t, memberCount, 10)
		sim.runUntilAgreement(15_000 * ms)
		sim.sentMessages = 0
		sim.run(10_000 * ms)
		messageRates[memberCount] = float64(sim.sentMessages) / 10 / float64(memberCount)
		if sim.maxUpdatesSent > sim.nodes[0].settings.MaxUpdates+2 {
			t.Errorf("%d updates in a message", sim.maxUpdatesSent)
		}
	}
	t.Logf("messages per member and second: %v", messageRates)
	if messageRates[100] > 1.5*messageRates[10] {
		t.Errorf("messages per member and second: %v", messageRates)
	}
	settings := DefaultSettings("a", "x", 1, 3)
	settings.MaxMembers = 20
	detector, err := New(settings, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	for index := range 1000 {
		detector.Receive(clock.Nanos(index)*ms, Message{Kind: IndirectPing, From: nodeName(index), Address: nodeAddress(index), Epoch: 1, TargetAddress: "y", Target: "z",
			Updates: []Update{{Name: nodeName(index), Address: nodeAddress(index), Epoch: 1, State: Alive}}})
	}
	if detector.Size() > 20+20+maxRelays {
		t.Errorf("detector has size %d", detector.Size())
	}
}

func TestInvalidSettings(t *testing.T) {
	for _, invalidate := range []func(*Settings){
		func(settings *Settings) { settings.Name = "" }, func(settings *Settings) { settings.Configured = 0 }, func(settings *Settings) { settings.AckTimeout = settings.ProbeInterval },
		func(settings *Settings) { settings.MaxSuspicion = 1 }, func(settings *Settings) { settings.IndirectChecks = 100 }, func(settings *Settings) { settings.ForgetAfter = 1 },
		func(settings *Settings) { settings.MaxUpdates = 0 }, func(settings *Settings) { settings.RetransmitFactor = 0 },
	} {
		settings := DefaultSettings("a", "x", 1, 3)
		invalidate(&settings)
		if _, err := New(settings, 1, 0); err == nil {
			t.Errorf("invalid settings accepted: %+v", settings)
		}
	}
}
