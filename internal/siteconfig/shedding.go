package siteconfig

import (
	"fmt"
	"slices"

	"lotushook/policy/clock"
	"lotushook/policy/shedding"
)

// Shedding sets the order in which accounts are shed when a group of data servers is overloaded. It is a part of the
// contracts and changes with them on SIGHUP, but can't be switched on or off without a restart.
type Shedding struct {
	PriorityClasses      []PriorityClass `json:"lanes"` // highest priority first; a contract that names none belongs to the last
	AccountKey           string          `json:"by"`    // what identifies an account: "team", "session" or "both"
	DefaultReservedShare float64         `json:"least"` // of each priority class that sets none
	HighPressure         float64         `json:"high"`  // above this mean ratio of latency to its objective, more is shed
	LowPressure          float64         `json:"low"`   // below it, less is shed
	IntervalMS           int64           `json:"look_ms"`
	MaxReportAgeMS       int64           `json:"fresh_ms"` // an older report of another router is ignored
	IsolationTimeoutMS   int64           `json:"alone_ms"` // a router that hears from too few others for this long uses its own pressure only
	SaltPeriodMS         int64           `json:"epoch_ms"` // how often the order in which accounts of a priority class are shed changes
	MaxRetryAfterMS      int64           `json:"come_back_ms"`
	// how long a retry of a write that may have been applied, and a read after a write, stay in the write's priority
	// class
	WriteAffinityMS    int64 `json:"owe_ms"`
	MaxAccounts        int   `json:"accounts"`
	MaxWriteAffinities int   `json:"owed"`
	MaxGroups          int   `json:"groups"`
}

// PriorityClass is a class of accounts that are shed together.
type PriorityClass struct {
	Name string `json:"name"`
	// requests per second of one account over all routers; requests beyond it drop to the next priority class; 0: no
	// limit
	PerS  float64 `json:"per_s,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// share of its accounts that are shed only when the highest priority class would be shed otherwise
	ReservedShare *float64 `json:"least,omitempty"`
}

func defaultShedding() *Shedding {
	defaults := shedding.DefaultSettings()
	const nanosPerMS = 1e6
	return &Shedding{PriorityClasses: []PriorityClass{}, AccountKey: string(defaults.AccountKey), DefaultReservedShare: 0.05, HighPressure: defaults.HighPressure, LowPressure: defaults.LowPressure, IntervalMS: defaults.Interval / nanosPerMS, MaxReportAgeMS: defaults.MaxReportAge / nanosPerMS, IsolationTimeoutMS: defaults.IsolationTimeout / nanosPerMS, SaltPeriodMS: defaults.SaltPeriod / nanosPerMS,
		MaxRetryAfterMS: defaults.MaxRetryAfter / nanosPerMS, WriteAffinityMS: defaults.WriteAffinity / nanosPerMS, MaxAccounts: defaults.MaxAccounts, MaxWriteAffinities: defaults.MaxWriteAffinities, MaxGroups: defaults.MaxGroups}
}

// SheddingRouter describes the router that sheds, and the routers that share the priority classes with it.
type SheddingRouter struct {
	Router  string
	Epoch   uint64
	Routers int
	Shared  bool // the routers exchange their pressure
}

// SheddingSettings returns the settings of load shedding for one router; nil if no priority classes are set.
func (contracts *Contracts) SheddingSettings(router SheddingRouter, maxRetryAfter clock.Nanos) (*shedding.Settings, error) {
	if contracts.Shedding == nil {
		for _, team := range contracts.Teams {
			if team.PriorityClass != "" || team.PriorityClassPerS != 0 {
				return nil, fmt.Errorf("teams.%s.lane: no lanes are configured", team.Name)
			}
		}
		return nil, nil
	}
	const nanosPerMS = 1e6
	config := contracts.Shedding
	for _, duration := range []struct {
		field string
		ms    int64
	}{{"look_ms", config.IntervalMS}, {"fresh_ms", config.MaxReportAgeMS}, {"alone_ms", config.IsolationTimeoutMS}, {"epoch_ms", config.SaltPeriodMS}, {"come_back_ms", config.MaxRetryAfterMS}, {"owe_ms", config.WriteAffinityMS}} {
		if duration.ms < 0 || duration.ms > 7*24*3600e3 {
			return nil, fmt.Errorf("lanes.%s: %d is not between 0 and a week", duration.field, duration.ms)
		}
	}
	settings := &shedding.Settings{AccountKey: shedding.AccountKey(config.AccountKey), Router: router.Router, Epoch: router.Epoch, Routers: router.Routers, Shared: router.Shared, HighPressure: config.HighPressure, LowPressure: config.LowPressure, Interval: config.IntervalMS * nanosPerMS, MaxReportAge: config.MaxReportAgeMS * nanosPerMS,
		IsolationTimeout: config.IsolationTimeoutMS * nanosPerMS, SaltPeriod: config.SaltPeriodMS * nanosPerMS, MaxRetryAfter: config.MaxRetryAfterMS * nanosPerMS, PlatformMaxRetryAfter: maxRetryAfter, WriteAffinity: config.WriteAffinityMS * nanosPerMS, MaxAccounts: config.MaxAccounts, MaxWriteAffinities: config.MaxWriteAffinities, MaxGroups: config.MaxGroups}
	for _, class := range config.PriorityClasses {
		reservedShare := config.DefaultReservedShare
		if class.ReservedShare != nil {
			reservedShare = *class.ReservedShare
		}
		settings.PriorityClasses = append(settings.PriorityClasses, shedding.PriorityClass{Name: class.Name, RequestsPerSecond: class.PerS, Burst: class.Burst, ReservedShare: reservedShare})
	}
	for _, team := range contracts.Teams {
		index := len(config.PriorityClasses) - 1
		if team.PriorityClass != "" {
			if index = slices.IndexFunc(config.PriorityClasses, func(class PriorityClass) bool { return class.Name == team.PriorityClass }); index < 0 {
				return nil, fmt.Errorf("teams.%s.lane: no lane %q", team.Name, team.PriorityClass)
			}
		}
		settings.Teams = append(settings.Teams, shedding.Team{Name: team.Name, PriorityClass: max(0, index), RequestsPerSecond: team.PriorityClassPerS, Burst: team.PriorityClassBurst})
	}
	return settings, settings.Check()
}
