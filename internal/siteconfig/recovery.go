package siteconfig

import (
	"fmt"
	"math"

	"lotushook/policy/clock"
	"lotushook/policy/recovery"
)

// Recovery says what a router may do while it, or others with it, come back. One file serves all routers: budgets are for all
// of them together, and 0 does not bind. Nothing of it changes on SIGHUP.
type Recovery struct {
	DialsPerS    float64 `json:"dials_per_s"`     // new connections to data servers
	ProbesPerS   float64 `json:"probes_per_s"`    // questions to data servers beside requests
	ListsPerS    float64 `json:"lists_per_s"`     // calls of discovery for the whole list
	CatchUpsPerS float64 `json:"catch_ups_per_s"` // pieces of state that peers are asked for
	SendsPerS    float64 `json:"sends_per_s"`     // requests sent in the first second by routers that do not serve yet
	Slack        float64 `json:"slack"`           // from 1 to 4: what all together may spend of a budget, however wrong they see each other
	Keep         float64 `json:"keep"`            // from 0 to 1: of its even part, what a router that serves spends while others return

	TogetherMS int64 `json:"together_ms"` // starts so close to each other are one return
	EmptyMS    int64 `json:"empty_ms"`    // the longest wait for a list and for what peers feed
	FedMS      int64 `json:"fed_ms"`      // for a view of who returns
	ProvingMS  int64 `json:"proving_ms"`  // for the first answers
	RampingMS  int64 `json:"ramping_ms"`  // until whatever is asked is sent

	Ratio     float64 `json:"ratio"`       // further attempts for each success of the last second; under 0.2
	FloorPerS float64 `json:"floor_per_s"` // further attempts that need no success, over all routers
	SoonestMS int64   `json:"soonest_ms"`  // the soonest that a client which is turned away is told to come again
	LatestMS  int64   `json:"latest_ms"`   // and the latest
}

func defaultRecovery() *Recovery {
	const ms = 1e6
	u := recovery.DefaultSettings("-", 0, 1)
	b := u.Budgets
	return &Recovery{DialsPerS: b[recovery.Dial], ProbesPerS: b[recovery.Probe], ListsPerS: b[recovery.ListCall], CatchUpsPerS: b[recovery.CatchUp],
		SendsPerS: b[recovery.Send], Slack: u.MaxShareFactor, Keep: u.ServingShare, TogetherMS: u.RestartWindow / ms, EmptyMS: u.StageTimeouts[recovery.Starting] / ms,
		FedMS: u.StageTimeouts[recovery.Restored] / ms, ProvingMS: u.StageTimeouts[recovery.Proving] / ms, RampingMS: u.StageTimeouts[recovery.Ramping] / ms,
		Ratio: u.RetryRatio, FloorPerS: u.MinRetryRate, SoonestMS: u.RetryAfterRange[0] / ms, LatestMS: u.RetryAfterRange[1] / ms}
}

// Decision are the settings of the decision for one router.
func (r *Recovery) Decision(name string, boot uint64, routers int) recovery.Settings {
	const ms = 1e6
	s := recovery.DefaultSettings(name, boot, routers)
	s.Budgets = [recovery.KindCount]float64{recovery.Dial: r.DialsPerS, recovery.Probe: r.ProbesPerS, recovery.ListCall: r.ListsPerS,
		recovery.CatchUp: r.CatchUpsPerS, recovery.Send: r.SendsPerS}
	s.MaxShareFactor, s.ServingShare, s.RestartWindow, s.RetryRatio, s.MinRetryRate = r.Slack, r.Keep, r.TogetherMS*ms, r.Ratio, r.FloorPerS
	s.StageTimeouts = [recovery.Serving]clock.Nanos{r.EmptyMS * ms, r.FedMS * ms, r.ProvingMS * ms, r.RampingMS * ms}
	s.RetryAfterRange = [2]clock.Nanos{r.SoonestMS * ms, r.LatestMS * ms}
	return s
}

func (r *Recovery) check() error {
	for _, f := range []struct {
		name     string
		value    float64
		min, max float64
	}{{"dials_per_s", r.DialsPerS, 0, 1e7}, {"probes_per_s", r.ProbesPerS, 0, 1e7}, {"lists_per_s", r.ListsPerS, 0, 1e7},
		{"catch_ups_per_s", r.CatchUpsPerS, 0, 1e7}, {"sends_per_s", r.SendsPerS, 0, 1e7}, {"slack", r.Slack, 1, 4}, {"keep", r.Keep, 0, 1},
		{"together_ms", float64(r.TogetherMS), 1, 600e3}, {"empty_ms", float64(r.EmptyMS), 1, 60e3}, {"fed_ms", float64(r.FedMS), 1, 60e3},
		{"proving_ms", float64(r.ProvingMS), 1, 60e3}, {"ramping_ms", float64(r.RampingMS), 1, 60e3}, {"ratio", r.Ratio, 0, 0.199},
		{"floor_per_s", r.FloorPerS, 0, 1e6}, {"soonest_ms", float64(r.SoonestMS), 1, 60e3}, {"latest_ms", float64(r.LatestMS), float64(r.SoonestMS), 60e3}} {
		if math.IsNaN(f.value) || f.value < f.min || f.value > f.max {
			return fmt.Errorf("%s: %v is not between %v and %v", f.name, f.value, f.min, f.max)
		}
	}
	return nil
}
