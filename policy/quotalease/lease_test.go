package quotalease

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

const (
	ms   = clock.Nanos(1e6)
	term = 1000 * ms
)

// fleet simulates routers whose clocks run up to 2% fast or slow, and whose messages may take arbitrarily long.
type fleet struct {
	n             int
	names         []string
	indexByName   map[string]int
	now           clock.Nanos
	clockRates    []float64
	leases        []*Lease // nil: the router is dead
	epochs        []uint64
	paused        []bool
	removed       [][]bool // by router: which others it believes to be dead
	inFlight      []message
	quotas        []Quota
	isolatedShare float64
}

// message is a probe, or its answer, in flight.
type message struct {
	prober, voter int
	sentAt        clock.Nanos // by the prober's clock
	epoch         uint64
	vote          *Vote // the answer; nil: this is the probe
}

func newFleet(n int, isolatedShare float64) *fleet {
	sim := &fleet{n: n, indexByName: map[string]int{}, clockRates: make([]float64, n), leases: make([]*Lease, n), epochs: make([]uint64, n),
		paused: make([]bool, n), removed: make([][]bool, n), quotas: make([]Quota, n), isolatedShare: isolatedShare}
	for i := range n {
		sim.names = append(sim.names, fmt.Sprintf("r%02d", i))
		sim.indexByName[sim.names[i]], sim.removed[i] = i, make([]bool, n)
	}
	return sim
}

// clock returns the time on a router's clock.
func (sim *fleet) clock(router int) clock.Nanos {
	return clock.Nanos(router)*7_000_000*ms + clock.Nanos(float64(sim.now)*sim.clockRates[router])
}

func (sim *fleet) start(t interface{ Fatal(...any) }, router int) {
	lease, err := New(Settings{RouterNames: sim.names, Self: sim.names[router], Term: term, IsolatedShare: sim.isolatedShare}, sim.clock(router))
	if err != nil {
		t.Fatal(err)
	}
	sim.epochs[router]++
	sim.leases[router], sim.quotas[router] = lease, Quota{Share: sim.isolatedShare / float64(sim.n), MinShare: sim.isolatedShare / float64(sim.n)}
}

func (sim *fleet) isRemoved(router int) func(string) bool {
	return func(name string) bool { return sim.removed[router][sim.indexByName[name]] }
}

// deliver delivers a probe to the voter, or an answer to the prober.
func (sim *fleet) deliver(pending message) {
	if pending.vote == nil {
		if sim.leases[pending.voter] != nil && !sim.paused[pending.voter] {
			vote := sim.leases[pending.voter].Vote(sim.clock(pending.voter), sim.names[pending.prober], pending.epoch, sim.names[pending.prober], sim.isRemoved(pending.voter))
			pending.vote = &vote
			sim.inFlight = append(sim.inFlight, pending)
		}
	} else if sim.leases[pending.prober] != nil && !sim.paused[pending.prober] && sim.epochs[pending.prober] == pending.epoch {
		sim.leases[pending.prober].AddVote(pending.sentAt, sim.names[pending.voter], *pending.vote)
	}
}

// sum returns the sum of the shares that the routers use. A paused router uses its last quota until that expires.
func (sim *fleet) sum() float64 {
	sum := 0.0
	for router, lease := range sim.leases {
		if lease == nil {
			continue
		}
		if !sim.paused[router] {
			sim.quotas[router] = lease.Quota(sim.clock(router), sim.isRemoved(router))
		}
		if sim.clock(router) < sim.quotas[router].ValidUntil {
			sum += sim.quotas[router].Share
		} else {
			sum += sim.quotas[router].MinShare
		}
	}
	return sum
}

// The shares of all routers sum up to at most 1 under any order of crashes, restarts, pauses, partitions, message loss
// and wrong beliefs about which routers are dead.
//
//nolint:gocognit,funlen // the events of one simulated history
func TestPartsNeverExceedTheWhole(t *testing.T) {
	increased, all := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n, rounds := rapid.IntRange(3, 6).Draw(t, "routers"), 400 // most faults occur soonest in small fleets
		if rapid.Bool().Draw(t, "many") {
			n, rounds = rapid.IntRange(7, 80).Draw(t, "more routers"), 40
		}
		sim := newFleet(n, rapid.SampledFrom([]float64{0, 0.5, 0.9}).Draw(t, "alone"))
		dead := map[int]bool{} // dead routers, known to most others
		for router := range n {
			sim.clockRates[router] = rapid.Float64Range(0.98, 1.02).Draw(t, "rate")
			sim.start(t, router)
		}
		state := rapid.Uint64().Draw(t, "seed")
		draw := func(limit int) int {
			state = state*6364136223846793005 + 1442695040888963407
			return int(state>>33) % limit
		}
		partitioned := func(_, _ int) bool { return false }
		for range rounds {
			sim.now += clock.Nanos(draw(100)) * 2 * ms
			switch draw(40) {
			case 0:
				router := draw(n)
				sim.leases[router], dead[router] = nil, true
			case 1:
				for router := range n {
					if sim.leases[router] == nil && draw(2) == 0 {
						sim.start(t, router)
						sim.paused[router] = false
						delete(dead, router)
					}
				}
			case 2:
				sim.paused[draw(n)] = true
			case 3:
				for router := range n {
					sim.paused[router] = false
				}
			case 4:
				border := draw(n)
				partitioned = func(a, b int) bool { return (a < border) != (b < border) }
			case 5:
				partitioned = func(_, _ int) bool { return false }
			case 6:
				for router := range n / 2 { // many routers die at once
					if draw(3) == 0 {
						sim.leases[router], dead[router] = nil, true
					}
				}
			case 7, 8, 9: // routers restart, which lose the record of the votes that they cast
				for router := range n {
					if sim.leases[router] != nil && !sim.paused[router] && draw(3) == 0 {
						sim.start(t, router)
					}
				}
			}
			for i := range n {
				for j := range n {
					sim.removed[i][j] = dead[j] || partitioned(i, j) || draw(40) == 0
					if sim.leases[i] != nil && !sim.paused[i] && i != j && !partitioned(i, j) && draw(3) == 0 {
						sim.inFlight = append(sim.inFlight, message{prober: i, voter: j, sentAt: sim.clock(i), epoch: sim.epochs[i]})
					}
				}
			}
			for range 2 {
				inFlight := sim.inFlight
				sim.inFlight = nil
				for _, pending := range inFlight {
					switch draw(8) {
					case 0: // lost
					case 1: // delayed
						sim.inFlight = append(sim.inFlight, pending)
					default:
						sim.deliver(pending)
					}
				}
				if sum := sim.sum(); sum > 1+1e-9 {
					t.Fatalf("the shares of %d routers sum up to %v", n, sum)
				}
			}
			for _, quota := range sim.quotas {
				all++
				if quota.Excluded > 0 {
					increased++
				}
			}
		}
	})
	if increased == 0 {
		t.Error("no router was ever excluded, so the test checked fixed shares only")
	}
	t.Logf("%d of %d quotas include shares of excluded routers", increased, all)
}

// runWithoutFaults lets all routers probe all others for a span, without loss or delay.
func (sim *fleet) runWithoutFaults(span clock.Nanos) {
	for end := sim.now + span; sim.now < end; sim.now += 50 * ms {
		for i := range sim.n {
			for j := range sim.n {
				if i != j && sim.leases[i] != nil && sim.leases[j] != nil && !sim.removed[i][j] {
					sim.deliver(message{prober: i, voter: j, sentAt: sim.clock(i), epoch: sim.epochs[i]})
				}
			}
		}
		for _, pending := range sim.inFlight {
			sim.deliver(pending)
		}
		sim.inFlight = nil
	}
}

// The shares of the routers that are alive, by the number of dead ones: even shares while none is excluded, larger ones
// once a majority excludes the dead, and the minimum if so many are dead that they could be a majority that excludes
// the others.
func TestQuota(t *testing.T) {
	for _, test := range []struct {
		routers, dead int
		share         float64 // share of each router that is alive; one that is no holder uses half of its even share
		holder        bool
	}{
		{7, 0, 1.0 / 7, true}, {7, 1, 0.5/7 + 0.5/6, true}, {7, 3, 0.5/7 + 0.5/4, true}, {7, 4, 0.5 / 7, false},
		{8, 4, 1.0 / 8, true}, {8, 5, 0.5 / 8, false}, {1, 0, 1, true}, {2, 1, 0.5, true},
	} {
		sim := newFleet(test.routers, 0.5)
		for router := range test.routers {
			sim.clockRates[router] = 1
			sim.start(t, router)
		}
		sim.runWithoutFaults(3 * term)
		for dead := range test.dead {
			sim.leases[dead] = nil
			for router := range test.routers {
				sim.removed[router][dead] = true
			}
		}
		sim.runWithoutFaults(3 * term)
		survivor := sim.leases[test.routers-1]
		got := survivor.Quota(sim.clock(test.routers-1), sim.isRemoved(test.routers-1))
		if diff := got.Share - test.share; diff > 1e-9 || diff < -1e-9 || got.IsHolder != test.holder {
			t.Errorf("%d of %d dead: quota is %+v, want a share of %v", test.dead, test.routers, got, test.share)
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	for _, settings := range []Settings{
		{RouterNames: []string{"a", "b"}, Self: "c", Term: 1}, {RouterNames: []string{"a", "a"}, Self: "a", Term: 1}, {RouterNames: []string{"a"}, Self: "a"},
		{RouterNames: []string{"a"}, Self: "a", Term: 1, IsolatedShare: 2}, {Self: "a", Term: 1},
	} {
		if _, err := New(settings, 0); err == nil {
			t.Errorf("invalid settings %+v were accepted", settings)
		}
	}
}
