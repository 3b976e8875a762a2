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
		Connections: 40, PerAddress: 6, PerPrefix: 20, NewAddress: 10, NewPrefix: 30, NewTotal: 40,
		SharedAddresses: []netip.Prefix{netip.MustParsePrefix("10.0.1.0/30")},
		Reserves: []admission.Reserve{
			{Name: "named", Users: []string{"r-0"}, Connections: 5},
			{Name: "addressed", Addresses: []netip.Prefix{netip.MustParsePrefix("10.0.0.6/31")}, Connections: 4},
		},
		CrowdedFrom: 20, CrowdedIdleTimeout: 1e8, EvictableIdle: 5e7, EvictableSilence: 2e9, SilenceTimeout: 5e8,
		Pressure:   admission.Pressure{Enter: 0.8, Leave: 0.6, NewPerSecond: 50, MinDuration: 1e9, CapFactor: 0.5},
		MaxSources: 10, RetryAfter: 1e9, MaxRetryAfter: 5e9,
	}
}

func TestReplay(t *testing.T) {
	digest := replaytest.NewDigest()
	for seed := range uint64(8) {
		gate, err := admission.New(replaySettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		driver := replaytest.NewDriver(seed, digest)
		var held []admission.ID
		next := admission.ID(0)
		arrive := func(address netip.Addr, now int64) admission.Verdict {
			next++
			verdict := gate.Arrive(next, address, now)
			if verdict.Admitted() {
				held = append(held, next)
			}
			return verdict
		}
		pick := func() admission.ID {
			if len(held) == 0 {
				return 0
			}
			return held[driver.IntN(len(held))]
		}
		leave := func() string {
			if len(held) == 0 {
				return "nobody"
			}
			i := driver.IntN(len(held))
			gate.Closed(held[i])
			held = append(held[:i], held[i+1:]...)
			return fmt.Sprint(gate.Size())
		}
		start := func(who admission.Identity, now int64) any {
			if id := pick(); id != 0 {
				return gate.Start(id, who, now)
			}
			return nil
		}
		ask := func(now int64) any {
			if id := pick(); id != 0 {
				return gate.Request(id, now)
			}
			return nil
		}
		answered := func(now int64) {
			if id := pick(); id != 0 {
				gate.Answered(id, now)
			}
		}
		driver.Run(1500, arrive, arrive, arrive, leave, start, ask, ask, answered, gate.Sweep, gate.UnderPressure, gate.Counts)
	}
	digest.Check(t, "1fd87fe82f6a4d88/52366")
}
