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

// fleet simulates routers whose clocks run up to 2% apart, and whose messages may take arbitrarily long.
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
	vote          *Vote // nil: this is the probe
}

func newFleet(n int, isolatedShare float64) *fleet {
	f := &fleet{n: n, indexByName: map[string]int{}, clockRates: make([]float64, n), leases: make([]*Lease, n), epochs: make([]uint64, n),
		paused: make([]bool, n), removed: make([][]bool, n), quotas: make([]Quota, n), isolatedShare: isolatedShare}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("r%02d", i))
		f.indexByName[f.names[i]], f.removed[i] = i, make([]bool, n)
	}
	return f
}

// clock returns the time on a router's clock.
func (f *fleet) clock(router int) clock.Nanos {
	return clock.Nanos(router)*7_000_000*ms + clock.Nanos(float64(f.now)*f.clockRates[router])
}

func (f *fleet) start(t interface{ Fatal(...any) }, router int) {
	lease, err := New(Settings{RouterNames: f.names, Self: f.names[router], Term: term, IsolatedShare: f.isolatedShare}, f.clock(router))
	if err != nil {
		t.Fatal(err)
	}
	f.epochs[router]++
	f.leases[router], f.quotas[router] = lease, Quota{Share: f.isolatedShare / float64(f.n), MinShare: f.isolatedShare / float64(f.n)}
}

func (f *fleet) isRemoved(router int) func(string) bool {
	return func(name string) bool { return f.removed[router][f.indexByName[name]] }
}

// deliver delivers a probe to the voter, or an answer to the prober.
func (f *fleet) deliver(m message) {
	if m.vote == nil {
		if f.leases[m.voter] != nil && !f.paused[m.voter] {
			vote := f.leases[m.voter].Vote(f.clock(m.voter), f.names[m.prober], m.epoch, f.names[m.prober], f.isRemoved(m.voter))
			m.vote = &vote
			f.inFlight = append(f.inFlight, m)
		}
	} else if f.leases[m.prober] != nil && !f.paused[m.prober] && f.epochs[m.prober] == m.epoch {
		f.leases[m.prober].AddVote(m.sentAt, f.names[m.voter], *m.vote)
	}
}

// sum returns the sum of the shares in use. A paused router uses its last quota until that expires.
func (f *fleet) sum() float64 {
	sum := 0.0
	for router, lease := range f.leases {
		if lease == nil {
			continue
		}
		if !f.paused[router] {
			f.quotas[router] = lease.Quota(f.clock(router), f.isRemoved(router))
		}
		if f.clock(router) < f.quotas[router].ValidUntil {
			sum += f.quotas[router].Share
		} else {
			sum += f.quotas[router].MinShare
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
		n, rounds := rapid.IntRange(3, 6).Draw(t, "routers"), 400 // small fleets show most faults soonest
		if rapid.Bool().Draw(t, "many") {
			n, rounds = rapid.IntRange(7, 80).Draw(t, "more routers"), 40
		}
		f := newFleet(n, rapid.SampledFrom([]float64{0, 0.5, 0.9}).Draw(t, "alone"))
		dead := map[int]bool{} // dead routers, known to most others
		for router := range n {
			f.clockRates[router] = rapid.Float64Range(0.98, 1.02).Draw(t, "rate")
			f.start(t, router)
		}
		state := rapid.Uint64().Draw(t, "seed")
		draw := func(limit int) int {
			state = state*6364136223846793005 + 1442695040888963407
			return int(state>>33) % limit
		}
		partitioned := func(_, _ int) bool { return false }
		for range rounds {
			f.now += clock.Nanos(draw(100)) * 2 * ms
			switch draw(40) {
			case 0:
				router := draw(n)
				f.leases[router], dead[router] = nil, true
			case 1:
				for router := range n {
					if f.leases[router] == nil && draw(2) == 0 {
						f.start(t, router)
						f.paused[router] = false
						delete(dead, router)
					}
				}
			case 2:
				f.paused[draw(n)] = true
			case 3:
				for router := range n {
					f.paused[router] = false
				}
			case 4:
				border := draw(n)
				partitioned = func(a, b int) bool { return (a < border) != (b < border) }
			case 5:
				partitioned = func(_, _ int) bool { return false }
			case 6:
				for router := range n / 2 { // many routers die at once
					if draw(3) == 0 {
						f.leases[router], dead[router] = nil, true
					}
				}
			case 7, 8, 9: // restarted routers have lost the votes that they cast
				for router := range n {
					if f.leases[router] != nil && !f.paused[router] && draw(3) == 0 {
						f.start(t, router)
					}
				}
			}
			for i := range n {
				for j := range n {
					f.removed[i][j] = dead[j] || partitioned(i, j) || draw(40) == 0
					if f.leases[i] != nil && !f.paused[i] && i != j && !partitioned(i, j) && draw(3) == 0 {
						f.inFlight = append(f.inFlight, message{prober: i, voter: j, sentAt: f.clock(i), epoch: f.epochs[i]})
					}
				}
			}
			for range 2 {
				inFlight := f.inFlight
				f.inFlight = nil
				for _, m := range inFlight {
					switch draw(8) {
					case 0: // lost
					case 1: // delayed
						f.inFlight = append(f.inFlight, m)
					default:
						f.deliver(m)
					}
				}
				if sum := f.sum(); sum > 1+1e-9 {
					t.Fatalf("the shares of %d routers sum up to %v", n, sum)
				}
			}
			for _, quota := range f.quotas {
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
func (f *fleet) runWithoutFaults(span clock.Nanos) {
	for end := f.now + span; f.now < end; f.now += 50 * ms {
		for i := range f.n {
			for j := range f.n {
				if i != j && f.leases[i] != nil && f.leases[j] != nil && !f.removed[i][j] {
					f.deliver(message{prober: i, voter: j, sentAt: f.clock(i), epoch: f.epochs[i]})
				}
			}
		}
		for _, m := range f.inFlight {
			f.deliver(m)
		}
		f.inFlight = nil
	}
}

// The survivors' shares by the number of dead routers: even shares while none may be excluded, larger ones once a
// majority excludes the dead, and the minimum where the other routers may have excluded the survivors.
func TestQuota(t *testing.T) {
	for _, test := range []struct {
		routers, dead int
		share         float64 // of each survivor; an isolated router uses half of its even share
		holder        bool
	}{
		{7, 0, 1.0 / 7, true}, {7, 1, 0.5/7 + 0.5/6, true}, {7, 3, 0.5/7 + 0.5/4, true}, {7, 4, 0.5 / 7, false},
		{8, 4, 1.0 / 8, true}, {8, 5, 0.5 / 8, false}, {1, 0, 1, true}, {2, 1, 0.5, true},
	} {
		f := newFleet(test.routers, 0.5)
		for router := range test.routers {
			f.clockRates[router] = 1
			f.start(t, router)
		}
		f.runWithoutFaults(3 * term)
		for dead := range test.dead {
			f.leases[dead] = nil
			for router := range test.routers {
				f.removed[router][dead] = true
			}
		}
		f.runWithoutFaults(3 * term)
		survivor := f.leases[test.routers-1]
		got := survivor.Quota(f.clock(test.routers-1), f.isRemoved(test.routers-1))
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
