package admission_test

import (
	"fmt"
	"net/netip"
	"testing"

	"lotushook/internal/replaytest"
	"lotushook/policy/admission"
)

func replaySettings() admission.Settings {
	return admission.Settings{
		MaxConnections: 40, MaxPerAddress: 6, MaxPerPrefix: 20, AddressRateLimit: 10, PrefixRateLimit: 30, TotalRateLimit: 40,
		SharedAddresses: []netip.Prefix{netip.MustParsePrefix("10.0.1.0/30")},
		Reserves: []admission.Reserve{
			{Name: "named", Users: []string{"r-0"}, Capacity: 5},
			{Name: "addressed", Addresses: []netip.Prefix{netip.MustParsePrefix("10.0.0.6/31")}, Capacity: 4},
		},
		CrowdedThreshold: 20, CrowdedIdleTimeout: 1e8, EvictableIdle: 5e7, EvictableSilence: 2e9, SilenceTimeout: 5e8,
		Pressure:   admission.Pressure{Enter: 0.8, Leave: 0.6, ArrivalsPerSecond: 50, MinDuration: 1e9, CapFactor: 0.5},
		MaxSources: 10, RetryAfter: 1e9, MaxRetryAfter: 5e9,
	}
}

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		controller, err := admission.New(replaySettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		driver := replaytest.NewDriver(seed, digest)
		var open []admission.ID
		next := admission.ID(0)
		arrive := func(address netip.Addr, now int64) admission.Verdict {
			next++
			verdict := controller.Arrive(next, address, now)
			if verdict.Admitted() {
				open = append(open, next)
			}
			return verdict
		}
		pick := func() admission.ID {
			if len(open) == 0 {
				return 0
			}
			return open[driver.IntN(len(open))]
		}
		closeOne := func() string {
			if len(open) == 0 {
				return "nobody"
			}
			i := driver.IntN(len(open))
			controller.Closed(open[i])
			open = append(open[:i], open[i+1:]...)
			return fmt.Sprint(controller.Size())
		}
		identify := func(identity admission.Identity, now int64) any {
			if id := pick(); id != 0 {
				return controller.Identify(id, identity, now)
			}
			return nil
		}
		request := func(now int64) any {
			if id := pick(); id != 0 {
				return controller.Request(id, now)
			}
			return nil
		}
		answered := func(now int64) {
			if id := pick(); id != 0 {
				controller.Answered(id, now)
			}
		}
		driver.Run(1500, arrive, arrive, arrive, closeOne, identify, request, request, answered, controller.Sweep, controller.UnderPressure, controller.Counts)
	}
	digest.Check(t, "1fd87fe82f6a4d88/52366")
}
