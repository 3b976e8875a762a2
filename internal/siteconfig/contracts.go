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

// Contracts limit what teams may request from all routers together. SIGHUP replaces them in one step; a team's usage is
// carried over by its name.
type Contracts struct {
	Teams           []Team        `json:"teams"`
	DefaultTeam     string        `json:"none"`          // the team of an account that matches no team; "": rejected
	Ambiguous       string        `json:"two"`           // for an account that matches several teams: "first" in this file's order, or "refuse"
	TrustComment    bool          `json:"trust_comment"` // accept team= in a request's comment
	Skew            float64       `json:"skew"`          // the largest share of a team's traffic that one router normally sees
	Fleet           FleetCapacity `json:"fleet"`
	Pressure        TeamPressure  `json:"pressure"`
	UTCOffsetMin    int64         `json:"utc_offset_min"` // local time minus UTC, for Hours
	MaxKeys         int           `json:"keys"`           // remembered idempotency keys of writes that may have been applied
	MaxGroupEntries int           `json:"shares"`         // remembered budgets of teams per group
	Shedding        *Shedding     `json:"lanes,omitempty"`
}

// Team is the contract of one team.
type Team struct {
	Name          string           `json:"name"`
	Weight        float64          `json:"worth"` // share of the spare capacity among teams over their contracts
	Users         []string         `json:"users,omitempty"`
	Databases     []string         `json:"databases,omitempty"`
	Applications  []string         `json:"applications,omitempty"`
	Addresses     []netip.Prefix   `json:"addresses,omitempty"`
	Classes       map[string]Limit `json:"classes"`       // the team may not use other classes
	PrimaryShare  float64          `json:"primary_share"` // of each group's primary; 0: only the classes' rates limit it
	MaxOpen       int              `json:"open"`          // open requests over all routers; 0: no limit
	RetryShare    float64          `json:"retry_share"`   // clients' retries, as a share of first attempts
	Hours         []Hours          `json:"hours,omitempty"`
	PriorityClass string           `json:"lane,omitempty"` // of the team's accounts, where priority classes are set; "": the last
	// requests per second of all its accounts over all routers; requests beyond it drop to the next priority class; 0:
	// no limit
	PriorityClassPerS  float64 `json:"lane_per_s,omitempty"`
	PriorityClassBurst float64 `json:"lane_burst,omitempty"`
}

// Limit applies to all routers together.
type Limit struct {
	PerS  float64 `json:"per_s"` // requests per second
	Burst float64 `json:"burst"` // requests at once
}

// Hours multiply a contract's limits on certain days between two local times. A To that is not later than From lies on
// the next day.
type Hours struct {
	Days   []string `json:"days"` // mon, tue, …
	From   string   `json:"from"` // 18:00
	To     string   `json:"to"`
	Factor float64  `json:"times"`
}

// FleetCapacity is the capacity of the data servers that the contracts promise shares of.
type FleetCapacity struct {
	Groups          int                `json:"groups"`
	PrimaryWorkPerS float64            `json:"primary_per_s"` // work units that a primary can do per second
	PromisableShare float64            `json:"primary_use"`   // share of that work that contracts may promise
	Cost            map[string]float64 `json:"cost"`          // work units per request, of each class that only primaries serve
}

// TeamPressure sets when the capacity lent beyond contracts shrinks and grows.
type TeamPressure struct {
	High float64 `json:"high"` // above this ratio of latency to its objective, within contracts, less is lent
	Low  float64 `json:"low"`  // below it, more is lent
}

// Accounts configures the report of what teams requested and got. SIGHUP changes none of it.
type Accounts struct {
	LogIntervalS int64  `json:"every_s"` // of a log line for each team that sent requests; 0: none
	Socket       string `json:"socket"`  // a Unix socket that serves the accounts; "": none
}

func defaultContracts() *Contracts {
	return &Contracts{Teams: []Team{}, Ambiguous: "first", Skew: 1, Fleet: FleetCapacity{PromisableShare: 0.78, Cost: map[string]float64{}},
		Pressure: TeamPressure{High: 0.28, Low: 0.2}, MaxKeys: 4096, MaxGroupEntries: 1 << 16}
}

func defaultAccounts() *Accounts { return &Accounts{LogIntervalS: 60} }

func (accounts *Accounts) check() error {
	if accounts.LogIntervalS < 0 || accounts.LogIntervalS > 24*3600 {
		return fmt.Errorf("every_s: %d is not between 0 and a day", accounts.LogIntervalS)
	}
	if len(accounts.Socket) > 100 {
		return errors.New("socket: longer than the 100 bytes allowed for a Unix socket path")
	}
	return nil
}

// NamedClasses returns the classes that contracts name, with the properties that this file alone defines.
func (contracts *Contracts) NamedClasses() []contract.Class {
	var names []string
	for _, team := range contracts.Teams {
		for name := range team.Classes {
			names = append(names, name)
		}
	}
	for name := range contracts.Fleet.Cost {
		names = append(names, name)
	}
	slices.Sort(names)
	var classes []contract.Class
	for _, name := range slices.Compact(names) {
		cost, primary := contracts.Fleet.Cost[name]
		classes = append(classes, contract.Class{Name: name, Primary: primary, Cost: cost})
	}
	return classes
}

// Classes returns the platform's classes as package contract describes them.
func (contracts *Contracts) Classes(platform []balance.Class) []contract.Class {
	var classes []contract.Class
	for _, class := range platform {
		cost, ok := contracts.Fleet.Cost[class.Name]
		if !ok {
			cost = 1
		}
		classes = append(classes, contract.Class{Name: class.Name, LatencyObjective: class.LatencyObjective, IdempotencyWindow: class.IdempotencyWindow, PriorityWeight: class.PriorityWeight, Cost: cost,
			Primary: class.Consistency == balance.Write || class.Consistency == balance.FreshRead})
	}
	return classes
}

// LedgerSettings returns the settings of package contract for one of several routers.
func (contracts *Contracts) LedgerSettings(classes []contract.Class, routers int, maxRetryAfter clock.Nanos) (contract.Settings, error) {
	settings := contract.Settings{Classes: classes, DefaultTeam: contracts.DefaultTeam, Ambiguous: contracts.Ambiguous, TrustComment: contracts.TrustComment, Routers: routers, Skew: contracts.Skew,
		PrimaryWorkPerSecond: contracts.Fleet.PrimaryWorkPerS, HighPressure: contracts.Pressure.High, LowPressure: contracts.Pressure.Low, MaxKeys: contracts.MaxKeys, MaxGroupEntries: contracts.MaxGroupEntries,
		UTCOffsetSeconds: contracts.UTCOffsetMin * 60, MaxRetryAfter: maxRetryAfter}
	if settings.Skew*float64(routers) < 1 {
		settings.Skew = 1 / float64(routers)
	}
	classIndex := map[string]int{}
	for i, class := range classes {
		classIndex[class.Name] = i
	}
	for name, cost := range contracts.Fleet.Cost {
		if i, ok := classIndex[name]; !ok || !classes[i].Primary || !(cost > 0) {
			return settings, fmt.Errorf("fleet.cost.%s: %v is not above 0, or the class is not served by primaries alone", name, cost)
		}
	}
	for _, configured := range contracts.Teams {
		team := contract.Team{Name: configured.Name, Weight: configured.Weight, Users: configured.Users, Databases: configured.Databases, Applications: configured.Applications,
			Addresses: configured.Addresses, PrimaryShare: configured.PrimaryShare, MaxOpen: configured.MaxOpen, RetryShare: configured.RetryShare, Limits: make([]contract.Limit, len(classes))}
		for name, limit := range configured.Classes {
			i, ok := classIndex[name]
			if !ok {
				return settings, fmt.Errorf("teams.%s.classes.%s: no such class", configured.Name, name)
			}
			team.Limits[i] = contract.Limit{PerSecond: limit.PerS, Burst: limit.Burst}
		}
		for i, hours := range configured.Hours {
			intervals, err := hours.intervals()
			if err != nil {
				return settings, fmt.Errorf("teams.%s.hours[%d].%w", configured.Name, i, err)
			}
			team.Hours = append(team.Hours, intervals...)
		}
		settings.Teams = append(settings.Teams, team)
	}
	return settings, settings.Check()
}

func (contracts *Contracts) check() error {
	_, err := contracts.LedgerSettings(contracts.NamedClasses(), 1, 0)
	if err == nil {
		_, err = contracts.SheddingSettings(SheddingRouter{Routers: 1}, 0)
	}
	return err
}

var weekdays = []string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}

// intervals converts the hours to seconds since the start of the week, one interval per day.
func (hours Hours) intervals() ([]contract.Hours, error) {
	from, err := timeOfDay(hours.From)
	if err != nil {
		return nil, fmt.Errorf("from: %w", err)
	}
	to, err := timeOfDay(hours.To)
	if err != nil {
		return nil, fmt.Errorf("to: %w", err)
	}
	if to <= from {
		to += 24 * 3600
	}
	if len(hours.Days) == 0 {
		return nil, errors.New("days: none")
	}
	var intervals []contract.Hours
	for _, day := range hours.Days {
		index := slices.Index(weekdays, day)
		if index < 0 {
			return nil, fmt.Errorf("days: %q is none of %s", day, strings.Join(weekdays, ", "))
		}
		start := int64(index) * 24 * 3600
		intervals = append(intervals, contract.Hours{From: start + from, To: start + to, Factor: hours.Factor})
	}
	return intervals, nil
}

// timeOfDay parses a time such as 18:30 and returns the seconds since midnight.
func timeOfDay(text string) (int64, error) {
	hourText, minuteText, ok := strings.Cut(text, ":")
	hours, hourErr := strconv.Atoi(hourText)
	minutes, minuteErr := strconv.Atoi(minuteText)
	if !ok || hourErr != nil || minuteErr != nil || hours < 0 || hours > 24 || minutes < 0 || minutes > 59 || hours == 24 && minutes > 0 {
		return 0, fmt.Errorf("%q is not a time of day such as 18:30", text)
	}
	return int64(hours*3600 + minutes*60), nil
}
