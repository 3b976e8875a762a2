package siteconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"lotushook/policy/balance"
	"lotushook/policy/clock"
	"lotushook/policy/contract"
)

// Contracts are what teams may ask of all routers together. All of it changes on
// SIGHUP, in one step; what a team has used is kept by its name.
type Contracts struct {
	Teams        []Team       `json:"teams"`
	None         string       `json:"none"`          // the team of whoever matches none; "": refused
	Two          string       `json:"two"`           // whoever matches two: "first" in this file's order, or "refuse"
	TrustComment bool         `json:"trust_comment"` // team= in a request's comment is believed
	Skew         float64      `json:"skew"`          // the largest share of a team's traffic that one router sees in usual times
	Fleet        Promised     `json:"fleet"`
	Pressure     TeamPressure `json:"pressure"`
	UTCOffsetMin int64        `json:"utc_offset_min"` // local time less UTC, for hours
	Keys         int          `json:"keys"`           // keys remembered of writes that may have run
	Shares       int          `json:"shares"`         // budgets of teams in groups that are remembered
	Shedding     *Shedding    `json:"lanes,omitempty"`
}

// Team is one contract.
type Team struct {
	Name         string           `json:"name"`
	Weight       float64          `json:"worth"` // weight where those over their contracts share what is left
	Users        []string         `json:"users,omitempty"`
	Databases    []string         `json:"databases,omitempty"`
	Applications []string         `json:"applications,omitempty"`
	Addresses    []netip.Prefix   `json:"addresses,omitempty"`
	Classes      map[string]Limit `json:"classes"`       // a class that is not here it may not use
	PrimaryShare float64          `json:"primary_share"` // of each group's primary; 0: none beyond the classes' rates
	Open         int              `json:"open"`          // open requests over all routers; 0: no ceiling
	RetryShare   float64          `json:"retry_share"`   // clients' repeats, as a share of first tries
	Hours        []Hours          `json:"hours,omitempty"`
	Lane         string           `json:"lane,omitempty"`       // that its accounts are in, where there are lanes; "": the last
	LanePerS     float64          `json:"lane_per_s,omitempty"` // requests a second of all its accounts in their lane, over all routers; beyond, they fall. 0: any
	LaneBurst    float64          `json:"lane_burst,omitempty"`
}

// Limit is over all routers.
type Limit struct {
	PerS  float64 `json:"per_s"` // requests a second
	Burst float64 `json:"burst"` // requests at once
}

// Hours are when a contract is larger: times as large on these days from one
// local time to another, which lies on the next day where it is not later.
type Hours struct {
	Days  []string `json:"days"` // mon, tue, …
	From  string   `json:"from"` // 18:00
	To    string   `json:"to"`
	Times float64  `json:"times"`
}

// Promised is the fleet that contracts are made on.
type Promised struct {
	Groups      int                `json:"groups"`
	PrimaryPerS float64            `json:"primary_per_s"` // work units a primary does in a second
	PrimaryUse  float64            `json:"primary_use"`   // share of it that may be promised
	Cost        map[string]float64 `json:"cost"`          // work units of one request of a class that only primaries take
}

// TeamPressure is when what is lent beyond contracts shrinks and grows.
type TeamPressure struct {
	High float64 `json:"high"` // answers within contracts take this share of their aims: less is lent
	Low  float64 `json:"low"`  // under this share: more is
}

// Accounts are what teams asked and got. A reload changes nothing of them.
type Accounts struct {
	EveryS int64  `json:"every_s"` // a log line for each team that asked for something, so often; 0: none
	Socket string `json:"socket"`  // a Unix socket on which accounts can be read; "": none
}

func defaultContracts() *Contracts {
	return &Contracts{Teams: []Team{}, Two: "first", Skew: 1, Fleet: Promised{PrimaryUse: 0.78, Cost: map[string]float64{}},
		Pressure: TeamPressure{High: 0.28, Low: 0.2}, Keys: 4096, Shares: 1 << 16}
}

func defaultAccounts() *Accounts { return &Accounts{EveryS: 60} }

func (a *Accounts) check() error {
	if a.EveryS < 0 || a.EveryS > 24*3600 {
		return fmt.Errorf("every_s: %d is not between 0 and a day", a.EveryS)
	}
	if len(a.Socket) > 100 {
		return errors.New("socket: longer than a Unix socket's path may be")
	}
	return nil
}

// Named are the classes that contracts name, as far as the file itself tells of
// them.
func (c *Contracts) Named() []contract.Class {
	var names []string
	for _, t := range c.Teams {
		for n := range t.Classes {
			names = append(names, n)
		}
	}
	for n := range c.Fleet.Cost {
		names = append(names, n)
	}
	slices.Sort(names)
	var classes []contract.Class
	for _, n := range slices.Compact(names) {
		cost, primary := c.Fleet.Cost[n]
		classes = append(classes, contract.Class{Name: n, Primary: primary, Cost: cost})
	}
	return classes
}

// Classes are the platform's, as contracts see them.
func (c *Contracts) Classes(platform []balance.Class) []contract.Class {
	var classes []contract.Class
	for _, k := range platform {
		cost, ok := c.Fleet.Cost[k.Name]
		if !ok {
			cost = 1
		}
		classes = append(classes, contract.Class{Name: k.Name, LatencyObjective: k.LatencyObjective, IdempotencyWindow: k.IdempotencyWindow, PriorityWeight: k.PriorityWeight, Cost: cost,
			Primary: k.Consistency == balance.Write || k.Consistency == balance.FreshRead})
	}
	return classes
}

// LedgerSettings are the settings of the decision for one of so many routers.
func (c *Contracts) LedgerSettings(classes []contract.Class, routers int, longestBack clock.Nanos) (contract.Settings, error) {
	s := contract.Settings{Classes: classes, DefaultTeam: c.None, Ambiguous: c.Two, TrustComment: c.TrustComment, Routers: routers, Skew: c.Skew,
		PrimaryWorkPerSecond: c.Fleet.PrimaryPerS, HighPressure: c.Pressure.High, LowPressure: c.Pressure.Low, MaxKeys: c.Keys, MaxGroupEntries: c.Shares,
		UTCOffsetSeconds: c.UTCOffsetMin * 60, MaxRetryAfter: longestBack}
	if s.Skew*float64(routers) < 1 {
		s.Skew = 1 / float64(routers)
	}
	index := map[string]int{}
	for i, k := range classes {
		index[k.Name] = i
	}
	for name, cost := range c.Fleet.Cost {
		if i, ok := index[name]; !ok || !classes[i].Primary || !(cost > 0) {
			return s, fmt.Errorf("fleet.cost.%s: %v, or not a class that only primaries take", name, cost)
		}
	}
	for _, t := range c.Teams {
		team := contract.Team{Name: t.Name, Weight: t.Weight, Users: t.Users, Databases: t.Databases, Applications: t.Applications,
			Addresses: t.Addresses, PrimaryShare: t.PrimaryShare, MaxOpen: t.Open, RetryShare: t.RetryShare, Limits: make([]contract.Limit, len(classes))}
		for name, l := range t.Classes {
			i, ok := index[name]
			if !ok {
				return s, fmt.Errorf("teams.%s.classes.%s: no such class", t.Name, name)
			}
			team.Limits[i] = contract.Limit{PerSecond: l.PerS, Burst: l.Burst}
		}
		for i, h := range t.Hours {
			list, err := h.stretches()
			if err != nil {
				return s, fmt.Errorf("teams.%s.hours[%d].%w", t.Name, i, err)
			}
			team.Hours = append(team.Hours, list...)
		}
		s.Teams = append(s.Teams, team)
	}
	return s, s.Check()
}

func (c *Contracts) check() error {
	_, err := c.LedgerSettings(c.Named(), 1, 0)
	if err == nil {
		_, err = c.SheddingSettings(Fleet{Routers: 1}, 0)
	}
	return err
}

var days = []string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}

// stretches are the hours as seconds of the week.
func (h Hours) stretches() ([]contract.Hours, error) {
	from, err := timeOfDay(h.From)
	if err != nil {
		return nil, fmt.Errorf("from: %w", err)
	}
	to, err := timeOfDay(h.To)
	if err != nil {
		return nil, fmt.Errorf("to: %w", err)
	}
	if to <= from {
		to += 24 * 3600
	}
	if len(h.Days) == 0 {
		return nil, errors.New("days: none")
	}
	var list []contract.Hours
	for _, d := range h.Days {
		n := slices.Index(days, d)
		if n < 0 {
			return nil, fmt.Errorf("days: %q is none of %s", d, strings.Join(days, ", "))
		}
		start := int64(n) * 24 * 3600
		list = append(list, contract.Hours{From: start + from, To: start + to, Factor: h.Times})
	}
	return list, nil
}

// timeOfDay is a time of day such as 18:30, in seconds.
func timeOfDay(text string) (int64, error) {
	h, m, ok := strings.Cut(text, ":")
	hours, err1 := strconv.Atoi(h)
	minutes, err2 := strconv.Atoi(m)
	if !ok || err1 != nil || err2 != nil || hours < 0 || hours > 24 || minutes < 0 || minutes > 59 || hours == 24 && minutes > 0 {
		return 0, fmt.Errorf("%q is no time of day such as 18:30", text)
	}
	return int64(hours*3600 + minutes*60), nil
}
