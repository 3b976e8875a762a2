package siteconfig

import (
	"fmt"
	"math"

	"lotushook/policy/clock"
	"lotushook/policy/recovery"
)

// Recovery limits what a router may do while it, or other routers, restart. One file serves all routers: budgets apply
// to all of them together, and 0 means no limit. SIGHUP changes none of it.
type Recovery struct {
	DialsPerS     float64 `json:"dials_per_s"`     // new connections to data servers
	ProbesPerS    float64 `json:"probes_per_s"`    // health checks of data servers, beside requests
	ListCallsPerS float64 `json:"lists_per_s"`     // calls of discovery for the whole endpoint list
	CatchUpsPerS  float64 `json:"catch_ups_per_s"` // chunks of shared state fetched from peers
	SendsPerS     float64 `json:"sends_per_s"`     // requests sent in the first second by routers that are not yet in service
	// 1 to 4: the max multiple of a budget that all routers together may spend, however wrong their views
	MaxShareFactor float64 `json:"slack"`
	ServingShare   float64 `json:"keep"` // 0 to 1: part of its even share that a router in service spends while others restart

	RestartWindowMS   int64 `json:"together_ms"` // starts within this time of each other count as one restart
	StartingTimeoutMS int64 `json:"empty_ms"`    // max wait for an endpoint list and for the peers' state
	RestoredTimeoutMS int64 `json:"fed_ms"`      // max wait for a view of the routers that restart
	ProvingTimeoutMS  int64 `json:"proving_ms"`  // max wait for the first answers
	RampingTimeoutMS  int64 `json:"ramping_ms"`  // max time until every request is sent

	RetryRatio      float64 `json:"ratio"`       // further attempts per success of the last second; below 0.2
	MinRetriesPerS  float64 `json:"floor_per_s"` // further attempts allowed without any success, over all routers
	MinRetryAfterMS int64   `json:"soonest_ms"`  // min retry delay advised to a rejected client
	MaxRetryAfterMS int64   `json:"latest_ms"`   // max retry delay advised to a rejected client
}

func defaultRecovery() *Recovery {
	const nanosPerMS = 1e6
	defaults := recovery.DefaultSettings("-", 0, 1)
	budgets := defaults.Budgets
	return &Recovery{DialsPerS: budgets[recovery.Dial], ProbesPerS: budgets[recovery.Probe], ListCallsPerS: budgets[recovery.ListCall], CatchUpsPerS: budgets[recovery.CatchUp],
		SendsPerS: budgets[recovery.Send], MaxShareFactor: defaults.MaxShareFactor, ServingShare: defaults.ServingShare, RestartWindowMS: defaults.RestartWindow / nanosPerMS, StartingTimeoutMS: defaults.StageTimeouts[recovery.Starting] / nanosPerMS,
		RestoredTimeoutMS: defaults.StageTimeouts[recovery.Restored] / nanosPerMS, ProvingTimeoutMS: defaults.StageTimeouts[recovery.Proving] / nanosPerMS, RampingTimeoutMS: defaults.StageTimeouts[recovery.Ramping] / nanosPerMS,
		RetryRatio: defaults.RetryRatio, MinRetriesPerS: defaults.MinRetryRate, MinRetryAfterMS: defaults.RetryAfterRange[0] / nanosPerMS, MaxRetryAfterMS: defaults.RetryAfterRange[1] / nanosPerMS}
}

// RouterSettings returns the settings of package recovery for one router.
func (config *Recovery) RouterSettings(name string, epoch uint64, routers int) recovery.Settings {
	const nanosPerMS = 1e6
	settings := recovery.DefaultSettings(name, epoch, routers)
	settings.Budgets = [recovery.KindCount]float64{recovery.Dial: config.DialsPerS, recovery.Probe: config.ProbesPerS, recovery.ListCall: config.ListCallsPerS,
		recovery.CatchUp: config.CatchUpsPerS, recovery.Send: config.SendsPerS}
	settings.MaxShareFactor, settings.ServingShare, settings.RestartWindow, settings.RetryRatio, settings.MinRetryRate = config.MaxShareFactor, config.ServingShare, config.RestartWindowMS*nanosPerMS, config.RetryRatio, config.MinRetriesPerS
	settings.StageTimeouts = [recovery.Serving]clock.Nanos{config.StartingTimeoutMS * nanosPerMS, config.RestoredTimeoutMS * nanosPerMS, config.ProvingTimeoutMS * nanosPerMS, config.RampingTimeoutMS * nanosPerMS}
	settings.RetryAfterRange = [2]clock.Nanos{config.MinRetryAfterMS * nanosPerMS, config.MaxRetryAfterMS * nanosPerMS}
	return settings
}

func (config *Recovery) check() error {
	for _, field := range []struct {
		name     string
		value    float64
		min, max float64
	}{{"dials_per_s", config.DialsPerS, 0, 1e7}, {"probes_per_s", config.ProbesPerS, 0, 1e7}, {"lists_per_s", config.ListCallsPerS, 0, 1e7},
		{"catch_ups_per_s", config.CatchUpsPerS, 0, 1e7}, {"sends_per_s", config.SendsPerS, 0, 1e7}, {"slack", config.MaxShareFactor, 1, 4}, {"keep", config.ServingShare, 0, 1},
		{"together_ms", float64(config.RestartWindowMS), 1, 600e3}, {"empty_ms", float64(config.StartingTimeoutMS), 1, 60e3}, {"fed_ms", float64(config.RestoredTimeoutMS), 1, 60e3},
		{"proving_ms", float64(config.ProvingTimeoutMS), 1, 60e3}, {"ramping_ms", float64(config.RampingTimeoutMS), 1, 60e3}, {"ratio", config.RetryRatio, 0, 0.199},
		{"floor_per_s", config.MinRetriesPerS, 0, 1e6}, {"soonest_ms", float64(config.MinRetryAfterMS), 1, 60e3}, {"latest_ms", float64(config.MaxRetryAfterMS), float64(config.MinRetryAfterMS), 60e3}} {
		if math.IsNaN(field.value) || field.value < field.min || field.value > field.max {
			return fmt.Errorf("%s: %v is not between %v and %v", field.name, field.value, field.min, field.max)
		}
	}
	return nil
}
