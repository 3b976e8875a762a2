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

// fleet is routers whose clocks run up to 2% apart, and whose questions and answers take as long as they please.
type fleet struct {
	n      int
	names  []string
	index  map[string]int
	now    clock.Nanos
	rate   []float64
	parts  []*Lease
	boot   []uint64
	paused []bool
	dead   [][]bool // whom each believes to be dead
	way    []answer
	force  []Quota
	alone  float64
}

// answer is on its way, or its question is.
type answer struct {
	from, to int
	asked    clock.Nanos // of the asker's clock
	boot     uint64
	row      *Vote // nil: it is the question that is on its way
}

func newFleet(n int, alone float64) *fleet {
	f := &fleet{n: n, index: map[string]int{}, rate: make([]float64, n), parts: make([]*Lease, n), boot: make([]uint64, n),
		paused: make([]bool, n), dead: make([][]bool, n), force: make([]Quota, n), alone: alone}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("r%02d", i))
		f.index[f.names[i]], f.dead[i] = i, make([]bool, n)
	}
	return f
}

func (f *fleet) clock(i int) clock.Nanos {
	return clock.Nanos(i)*7_000_000*ms + clock.Nanos(float64(f.now)*f.rate[i])
}

func (f *fleet) start(t interface{ Fatal(...any) }, i int) {
	p, err := New(Settings{RouterNames: f.names, Self: f.names[i], Term: term, IsolatedShare: f.alone}, f.clock(i))
	if err != nil {
		t.Fatal(err)
	}
	f.boot[i]++
	f.parts[i], f.force[i] = p, Quota{Share: f.alone / float64(f.n), MinShare: f.alone / float64(f.n)}
}

func (f *fleet) believes(i int) func(string) bool {
	return func(name string) bool { return f.dead[i][f.index[name]] }
}

// deliver takes a question to whom it is for, or an answer back.
func (f *fleet) deliver(a answer) {
	if a.row == nil {
		if f.parts[a.to] != nil && !f.paused[a.to] {
			r := f.parts[a.to].Vote(f.clock(a.to), f.names[a.from], a.boot, f.names[a.from], f.believes(a.to))
			a.row = &r
			f.way = append(f.way, a)
		}
	} else if f.parts[a.from] != nil && !f.paused[a.from] && f.boot[a.from] == a.boot {
		f.parts[a.from].AddVote(a.asked, f.names[a.to], *a.row)
	}
}

// sum is what all use at this moment: a paused one what it was told last, as long as that holds.
func (f *fleet) sum() float64 {
	sum := 0.0
	for i, p := range f.parts {
		if p == nil {
			continue
		}
		if !f.paused[i] {
			f.force[i] = p.Quota(f.clock(i), f.believes(i))
		}
		if f.clock(i) < f.force[i].ValidUntil {
			sum += f.force[i].Share
		} else {
			sum += f.force[i].MinShare
		}
	}
	return sum
}

// The parts of all add up to the whole at most, whatever happens, in whatever order, and whatever they believe.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestPartsNeverExceedTheWhole(t *testing.T) {
	grown, all := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n, rounds := rapid.IntRange(3, 6).Draw(t, "routers"), 400 // what can go wrong between few shows soonest
		if rapid.Bool().Draw(t, "many") {
			n, rounds = rapid.IntRange(7, 80).Draw(t, "more routers"), 40
		}
		f := newFleet(n, rapid.SampledFrom([]float64{0, 0.5, 0.9}).Draw(t, "alone"))
		gone := map[int]bool{} // dead, to most views
		for i := range n {
			f.rate[i] = rapid.Float64Range(0.98, 1.02).Draw(t, "rate")
			f.start(t, i)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		draw := func(k int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % k
		}
		cut := func(_, _ int) bool { return false }
		for range rounds {
			f.now += clock.Nanos(draw(100)) * 2 * ms
			switch draw(40) {
			case 0:
				i := draw(n)
				f.parts[i], gone[i] = nil, true
			case 1:
				for i := range n {
					if f.parts[i] == nil && draw(2) == 0 {
						f.start(t, i)
						f.paused[i] = false
						delete(gone, i)
					}
				}
			case 2:
				f.paused[draw(n)] = true
			case 3:
				for i := range n {
					f.paused[i] = false
				}
			case 4:
				k := draw(n)
				cut = func(a, b int) bool { return (a < k) != (b < k) }
			case 5:
				cut = func(_, _ int) bool { return false }
			case 6:
				for j := range n / 2 { // a large part goes at once
					if draw(3) == 0 {
						f.parts[j], gone[j] = nil, true
					}
				}
			case 7, 8, 9: // what was promised is forgotten
				for i := range n {
					if f.parts[i] != nil && !f.paused[i] && draw(3) == 0 {
						f.start(t, i)
					}
				}
			}
			for i := range n {
				for j := range n {
					f.dead[i][j] = gone[j] || cut(i, j) || draw(40) == 0
					if f.parts[i] != nil && !f.paused[i] && i != j && !cut(i, j) && draw(3) == 0 {
						f.way = append(f.way, answer{from: i, to: j, asked: f.clock(i), boot: f.boot[i]})
					}
				}
			}
			for range 2 {
				way := f.way
				f.way = nil
				for _, a := range way {
					switch draw(8) {
					case 0: // lost
					case 1:
						f.way = append(f.way, a)
					default:
						f.deliver(a)
					}
				}
				if s := f.sum(); s > 1+1e-9 {
					t.Fatalf("%d routers: the parts add up to %v", n, s)
				}
			}
			for _, x := range f.force {
				all++
				if x.Excluded > 0 {
					grown++
				}
			}
		}
	})
	if grown == 0 {
		t.Error("no part ever grew: the check says nothing")
	}
	t.Logf("%d of %d verdicts divided the parts of others", grown, all)
}

// calm has all ask all for a while.
func (f *fleet) calm(span clock.Nanos) {
	for end := f.now + span; f.now < end; f.now += 50 * ms {
		for i := range f.n {
			for j := range f.n {
				if i != j && f.parts[i] != nil && f.parts[j] != nil && !f.dead[i][j] {
					f.deliver(answer{from: i, to: j, asked: f.clock(i), boot: f.boot[i]})
				}
			}
		}
		for _, a := range f.way {
			f.deliver(a)
		}
		f.way = nil
	}
}

// What survivors get, by who is left: fixed parts while none may be left out, more once a majority calls others gone, and
// the least where the others may have gone on without it.
func TestForce(t *testing.T) {
	for _, c := range []struct {
		routers, dead int
		share         float64 // of each that is left, with half of its part kept when alone
		holder        bool
	}{
		{7, 0, 1.0 / 7, true}, {7, 1, 0.5/7 + 0.5/6, true}, {7, 3, 0.5/7 + 0.5/4, true}, {7, 4, 0.5 / 7, false},
		{8, 4, 1.0 / 8, true}, {8, 5, 0.5 / 8, false}, {1, 0, 1, true}, {2, 1, 0.5, true},
	} {
		f := newFleet(c.routers, 0.5)
		for i := range c.routers {
			f.rate[i] = 1
			f.start(t, i)
		}
		f.calm(3 * term)
		for i := range c.dead {
			f.parts[i] = nil
			for j := range c.routers {
				f.dead[j][i] = true
			}
		}
		f.calm(3 * term)
		last := f.parts[c.routers-1]
		got := last.Quota(f.clock(c.routers-1), f.believes(c.routers-1))
		if diff := got.Share - c.share; diff > 1e-9 || diff < -1e-9 || got.IsHolder != c.holder {
			t.Errorf("%d of %d dead: %+v, want %v", c.dead, c.routers, got, c.share)
		}
	}
}

func TestBadSettings(t *testing.T) {
	for _, s := range []Settings{
		{RouterNames: []string{"a", "b"}, Self: "c", Term: 1}, {RouterNames: []string{"a", "a"}, Self: "a", Term: 1}, {RouterNames: []string{"a"}, Self: "a"},
		{RouterNames: []string{"a"}, Self: "a", Term: 1, IsolatedShare: 2}, {Self: "a", Term: 1},
	} {
		if _, err := New(s, 0); err == nil {
			t.Errorf("%+v was taken", s)
		}
	}
}
