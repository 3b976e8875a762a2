package recovery

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// Whatever each sees, whether it is right, old, of one side of a split, or a lie, the parts of all that are there add
// up to Slack at the most; with views that are right, or with none, to 1.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestPartsStayWithinSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 1000).Draw(t, "routers")
		s := DefaultSettings("", 0, n)
		s.MaxShareFactor = rapid.Float64Range(1, 4).Draw(t, "slack")
		s.ServingShare = rapid.Float64Range(0, 1).Draw(t, "keep")
		seed := rapid.Uint64().Draw(t, "seed")
		draw := func(k int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % k
		}
		how := rapid.SampledFrom([]string{"right", "none", "split", "wrong"}).Draw(t, "views")
		now := 100 * second
		returns := 1 + draw(n)
		var truth []Peer
		for i := range n {
			boot := uint64(1e15)
			if i < returns {
				boot += uint64(99*second) + uint64(draw(900))*uint64(ms)
			}
			truth = append(truth, Peer{Name: fmt.Sprint(i), Epoch: boot, Alive: true, HeardDirectly: true})
		}
		side := draw(n)
		sum := 0.0
		for i := range n {
			s.Name, s.Epoch = truth[i].Name, truth[i].Epoch
			start := now - second
			if i >= returns {
				start = 0
			}
			r := must(t, s, start)
			if i >= returns {
				serve(r, 5*second)
			} else if draw(2) == 0 {
				r.ListReceived(start)
			}
			view := truth
			switch how {
			case "none":
				view = nil
			case "split":
				if view = truth[:side]; i >= side {
					view = truth[side:]
				}
			case "wrong":
				view = nil
				for range draw(min(n, 30) + 1) {
					view = append(view, Peer{Name: fmt.Sprint(draw(n)), Epoch: uint64(draw(3)) * uint64(1e15), Alive: draw(2) == 0, HeardDirectly: draw(2) == 0})
				}
				if draw(2) == 0 {
					for j := range n { // all others have served for ever
						view = append(view, Peer{Name: fmt.Sprint(j), Alive: true, HeardDirectly: true})
					}
				}
			}
			r.UpdatePeers(now, view)
			if i < returns && r.Stage() == Serving {
				t.Fatal("a router that returns serves already")
			}
			sum += r.Share(now)
		}
		most := s.MaxShareFactor
		if how == "none" || how == "right" {
			most = 1
		}
		if sum > most+1e-9 {
			t.Fatalf("%d of %d routers return, views %s: parts add up to %v, %v at most", returns, n, how, sum, most)
		}
	})
}

// What is spent follows: over any span at most Slack times the budget, and one for each router; and nobody waits for
// ever.
//
//nolint:gocognit // one history or table of cases, told in order
func TestSpendingStaysWithinBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "routers")
		kind := Kind(rapid.IntRange(int(Dial), int(CatchUp)).Draw(t, "kind"))
		var all []*Recovery
		starts := make([]clock.Nanos, n)
		s := DefaultSettings("", 0, n)
		s.Budgets[kind] = rapid.Float64Range(1, 400).Draw(t, "budget")
		crashes := 0.0 // a start has one turn more
		seed := rapid.Uint64().Draw(t, "seed")
		draw := func(k int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % k
		}
		for i := range n {
			s.Name, s.Epoch = fmt.Sprint(i), uint64(draw(1000))
			starts[i] = clock.Nanos(draw(300)) * ms
			all = append(all, must(t, s, starts[i]))
		}
		done := make([][]clock.Nanos, n)
		for now := clock.Nanos(0); now < 4*second; now += 20 * ms {
			for i, r := range all {
				if now < starts[i] {
					continue
				}
				switch draw(60) {
				case 0:
					r.ListReceived(now)
				case 1:
					r.UpdatePeers(now, []Peer{{Name: fmt.Sprint(draw(n)), Epoch: uint64(draw(1e18)), Alive: true, HeardDirectly: true}})
				case 2: // it crashes
					crashes++
					s.Name, s.Epoch = fmt.Sprint(i), uint64(draw(1<<30))
					all[i], starts[i] = must(t, s, now), now
					done[i] = slices.DeleteFunc(done[i], func(at clock.Nanos) bool { return at >= now })
				}
				for range draw(6) {
					if wait, why := r.Allow(now, kind, second); why == Allowed {
						done[i] = append(done[i], now+wait)
					} else if wait <= 0 {
						t.Fatalf("%s: denied as %s, and no time to ask again", kind, why)
					}
				}
			}
		}
		for _, from := range []clock.Nanos{0, 500 * ms, 1500 * ms, 3 * second} {
			got := 0
			for _, at := range slices.Concat(done...) {
				if at >= from && at < from+second {
					got++
				}
			}
			if most := s.Budgets[kind]*s.MaxShareFactor + float64(n) + crashes; float64(got) > most {
				t.Fatalf("%d of %s in the second from %d ms on, %v at most", got, kind, from/ms, most)
			}
		}
	})
}
