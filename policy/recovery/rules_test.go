package recovery

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// The shares of all routers add up to at most MaxShareFactor, whether each router's view of its peers is right, empty,
// limited to one side of a partition, or wrong. With right or empty views the shares add up to at most 1.
//
//nolint:gocognit,funlen // one random history with its checks in order
func TestSharesStayWithinMaxShareFactor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 1000).Draw(t, "routers")
		settings := DefaultSettings("", 0, routers)
		settings.MaxShareFactor = rapid.Float64Range(1, 4).Draw(t, "slack")
		settings.ServingShare = rapid.Float64Range(0, 1).Draw(t, "keep")
		seed := rapid.Uint64().Draw(t, "seed")
		draw := func(bound int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % bound
		}
		views := rapid.SampledFrom([]string{"right", "none", "split", "wrong"}).Draw(t, "views")
		now := 100 * second
		returning := 1 + draw(routers)
		var actual []Peer
		for i := range routers {
			epoch := uint64(1e15)
			if i < returning {
				epoch += uint64(99*second) + uint64(draw(900))*uint64(ms)
			}
			actual = append(actual, Peer{Name: fmt.Sprint(i), Epoch: epoch, Alive: true, HeardDirectly: true})
		}
		split := draw(routers)
		sum := 0.0
		for i := range routers {
			settings.Name, settings.Epoch = actual[i].Name, actual[i].Epoch
			startedAt := now - second
			if i >= returning {
				startedAt = 0
			}
			recovery := newRecovery(t, settings, startedAt)
			if i >= returning {
				tickUntil(recovery, 5*second)
			} else if draw(2) == 0 {
				recovery.ListReceived(startedAt)
			}
			view := actual
			switch views {
			case "none":
				view = nil
			case "split":
				if view = actual[:split]; i >= split {
					view = actual[split:]
				}
			case "wrong":
				view = nil
				for range draw(min(routers, 30) + 1) {
					view = append(view, Peer{Name: fmt.Sprint(draw(routers)), Epoch: uint64(draw(3)) * uint64(1e15), Alive: draw(2) == 0, HeardDirectly: draw(2) == 0})
				}
				if draw(2) == 0 {
					for j := range routers { // all others have served for a long time
						view = append(view, Peer{Name: fmt.Sprint(j), Alive: true, HeardDirectly: true})
					}
				}
			}
			recovery.UpdatePeers(now, view)
			if i < returning && recovery.Stage() == Serving {
				t.Fatal("a returning router serves already")
			}
			sum += recovery.Share(now)
		}
		maxSum := settings.MaxShareFactor
		if views == "none" || views == "right" {
			maxSum = 1
		}
		if sum > maxSum+1e-9 {
			t.Fatalf("%d of %d routers return, views %s: shares add up to %v, want at most %v", returning, routers, views, sum, maxSum)
		}
	})
}

// The actions of all routers in any second stay within MaxShareFactor times the budget, plus one action for each start
// of a router. Each denial says when to ask again.
//
//nolint:gocognit // one random history with its checks in order
func TestActionsStayWithinBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 40).Draw(t, "routers")
		kind := Kind(rapid.IntRange(int(Dial), int(CatchUp)).Draw(t, "kind"))
		var recoveries []*Recovery
		startedAt := make([]clock.Nanos, routers)
		settings := DefaultSettings("", 0, routers)
		settings.Budgets[kind] = rapid.Float64Range(1, 400).Draw(t, "budget")
		crashes := 0.0 // each start may act once more
		seed := rapid.Uint64().Draw(t, "seed")
		draw := func(bound int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % bound
		}
		for i := range routers {
			settings.Name, settings.Epoch = fmt.Sprint(i), uint64(draw(1000))
			startedAt[i] = clock.Nanos(draw(300)) * ms
			recoveries = append(recoveries, newRecovery(t, settings, startedAt[i]))
		}
		performed := make([][]clock.Nanos, routers)
		for now := clock.Nanos(0); now < 4*second; now += 20 * ms {
			for i, recovery := range recoveries {
				if now < startedAt[i] {
					continue
				}
				switch draw(60) {
				case 0:
					recovery.ListReceived(now)
				case 1:
					recovery.UpdatePeers(now, []Peer{{Name: fmt.Sprint(draw(routers)), Epoch: uint64(draw(1e18)), Alive: true, HeardDirectly: true}})
				case 2: // the router crashes
					crashes++
					settings.Name, settings.Epoch = fmt.Sprint(i), uint64(draw(1<<30))
					recoveries[i], startedAt[i] = newRecovery(t, settings, now), now
					performed[i] = slices.DeleteFunc(performed[i], func(at clock.Nanos) bool { return at >= now })
				}
				for range draw(6) {
					if wait, reason := recovery.Allow(now, kind, second); reason == Allowed {
						performed[i] = append(performed[i], now+wait)
					} else if wait <= 0 {
						t.Fatalf("%s: denied as %s without a time to ask again", kind, reason)
					}
				}
			}
		}
		for _, from := range []clock.Nanos{0, 500 * ms, 1500 * ms, 3 * second} {
			count := 0
			for _, at := range slices.Concat(performed...) {
				if at >= from && at < from+second {
					count++
				}
			}
			if maxCount := settings.Budgets[kind]*settings.MaxShareFactor + float64(routers) + crashes; float64(count) > maxCount {
				t.Fatalf("%d of %s in the second from %d ms on, want at most %v", count, kind, from/ms, maxCount)
			}
		}
	})
}
