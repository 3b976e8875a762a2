package siteconfig

import (
	"fmt"
	"slices"

	"lotushook/policy/clock"
	"lotushook/policy/shedding"
)

// Shedding are who is shed before whom when a group of data servers has more to do than it can. They are a part of the contracts
// and change on SIGHUP with them; they can't be switched on or off in service.
type Shedding struct {
	PriorityClasses []PriorityClass `json:"lanes"` // the best first; whoever's contract names none is in the last
	By              string          `json:"by"`    // what an account is: "team", "session" or "both"
	Least           float64         `json:"least"` // of each lane that says none of its own
	High            float64         `json:"high"`  // answers take this share of their aims in the mean: above, more is shed
	Low             float64         `json:"low"`   // below, less is
	LookMS          int64           `json:"look_ms"`
	FreshMS         int64           `json:"fresh_ms"` // an older report of another router says nothing
	AloneMS         int64           `json:"alone_ms"` // a router that hears too few others for so long goes by its own pressure
	EpochMS         int64           `json:"epoch_ms"` // until other accounts are the first to be shed
	MaxRetryAfterMS int64           `json:"come_back_ms"`
	OweMS           int64           `json:"owe_ms"` // a repeat of a write that may have run, and a read after a write, are in the write's lane for so long
	Accounts        int             `json:"accounts"`
	Owed            int             `json:"owed"`
	Groups          int             `json:"groups"`
}

// PriorityClass is a class of accounts.
type PriorityClass struct {
	Name          string   `json:"name"`
	PerS          float64  `json:"per_s,omitempty"` // requests a second of one account, over all routers; what is beyond falls to the next lane. 0: any
	Burst         float64  `json:"burst,omitempty"`
	ReservedShare *float64 `json:"least,omitempty"` // share of its accounts that are shed only when the best lane would be otherwise
}

func defaultShedding() *Shedding {
	u := shedding.DefaultSettings()
	const ms = 1e6
	return &Shedding{PriorityClasses: []PriorityClass{}, By: string(u.AccountKey), Least: 0.05, High: u.HighPressure, Low: u.LowPressure, LookMS: u.Interval / ms, FreshMS: u.MaxReportAge / ms, AloneMS: u.IsolationTimeout / ms, EpochMS: u.SaltPeriod / ms,
		MaxRetryAfterMS: u.MaxRetryAfter / ms, OweMS: u.WriteAffinity / ms, Accounts: u.MaxAccounts, Owed: u.MaxWriteAffinities, Groups: u.MaxGroups}
}

// Fleet is who shares the lanes.
type Fleet struct {
	Router  string
	Boot    uint64
	Routers int
	Agreed  bool // the routers tell each other
}

// SheddingSettings returns the settings of load shedding for one router; nil where no priority classes are set.
func (c *Contracts) SheddingSettings(f Fleet, longestBack clock.Nanos) (*shedding.Settings, error) {
	if c.Shedding == nil {
		for _, t := range c.Teams {
			if t.Lane != "" || t.LanePerS != 0 {
				return nil, fmt.Errorf("teams.%s.lane: there are no lanes", t.Name)
			}
		}
		return nil, nil
	}
	const ms = 1e6
	l := c.Shedding
	for _, v := range []struct {
		field string
		ms    int64
	}{{"look_ms", l.LookMS}, {"fresh_ms", l.FreshMS}, {"alone_ms", l.AloneMS}, {"epoch_ms", l.EpochMS}, {"come_back_ms", l.MaxRetryAfterMS}, {"owe_ms", l.OweMS}} {
		if v.ms < 0 || v.ms > 7*24*3600e3 {
			return nil, fmt.Errorf("lanes.%s: %d is not between 0 and a week", v.field, v.ms)
		}
	}
	s := &shedding.Settings{AccountKey: shedding.AccountKey(l.By), Router: f.Router, Epoch: f.Boot, Routers: f.Routers, Shared: f.Agreed, HighPressure: l.High, LowPressure: l.Low, Interval: l.LookMS * ms, MaxReportAge: l.FreshMS * ms,
		IsolationTimeout: l.AloneMS * ms, SaltPeriod: l.EpochMS * ms, MaxRetryAfter: l.MaxRetryAfterMS * ms, PlatformMaxRetryAfter: longestBack, WriteAffinity: l.OweMS * ms, MaxAccounts: l.Accounts, MaxWriteAffinities: l.Owed, MaxGroups: l.Groups}
	for _, one := range l.PriorityClasses {
		least := l.Least
		if one.ReservedShare != nil {
			least = *one.ReservedShare
		}
		s.PriorityClasses = append(s.PriorityClasses, shedding.PriorityClass{Name: one.Name, RequestsPerSecond: one.PerS, Burst: one.Burst, ReservedShare: least})
	}
	for _, t := range c.Teams {
		i := len(l.PriorityClasses) - 1
		if t.Lane != "" {
			if i = slices.IndexFunc(l.PriorityClasses, func(one PriorityClass) bool { return one.Name == t.Lane }); i < 0 {
				return nil, fmt.Errorf("teams.%s.lane: no lane %q", t.Name, t.Lane)
			}
		}
		s.Teams = append(s.Teams, shedding.Team{Name: t.Name, PriorityClass: max(0, i), RequestsPerSecond: t.LanePerS, Burst: t.LaneBurst})
	}
	return s, s.Check()
}
