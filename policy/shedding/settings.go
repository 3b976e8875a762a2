// Package shedding decides which requests are shed while a group of data servers is overloaded, so that every router
// sheds the same accounts: the lowest priority class first, and within a class by a salted hash of the account. It decides from
// arrivals, ends and the other routers' reports; how reports travel, and where a request that is not shed goes, is not decided here.
// The compound threshold is DAGOR's (Zhou et al., SoCC 2018); how it is agreed without a central server is this package's own.
package shedding

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

// Bounds of the standing of accounts.
const (
	Positions          = 64 // positions of accounts in a priority class
	MaxPriorityClasses = 8
)

// AccountKey says what identifies an account.
type AccountKey string

// The keys of an account.
const (
	ByTeam    AccountKey = "team"
	BySession AccountKey = "session"
	ByBoth    AccountKey = "both" // a session of one team is another account than the same session of another
)

// Settings are the priority classes, and how thresholds are found.
type Settings struct {
	PriorityClasses []PriorityClass // the best first
	Teams           []Team          // as the contracts number them
	AccountKey      AccountKey

	Router  string // this router's name; the salt of an isolated one
	Epoch   uint64
	Routers int  // of the installation
	Shared  bool // thresholds are agreed with the others; without, each router decides alone

	HighPressure, LowPressure float64     // pressure, as a share of latency objectives: above, more is shed; below, less
	Interval                  clock.Nanos // between two evaluations of the pressure, and so two steps of a threshold
	MaxReportAge              clock.Nanos // an older report is ignored
	IsolationTimeout          clock.Nanos // without a quorum for so long a router uses its own pressure alone
	SaltPeriod                clock.Nanos // the salt changes after it

	MaxRetryAfter, PlatformMaxRetryAfter clock.Nanos // the longest Retry-After time, of the lowest class; the platform's maximum, 0: none is sent
	WriteAffinity                        clock.Nanos // retries of a write, and reads after it, stay in its class for so long

	MaxAccounts, MaxWriteAffinities, MaxGroups int // remembered at most
}

// PriorityClass is a class of accounts.
type PriorityClass struct {
	Name              string
	RequestsPerSecond float64 // requests a second of one account in the class, over all routers; beyond, they are downgraded. 0: no limit
	Burst             float64 // at once
	ReservedShare     float64 // share of its positions that is shed only when the best class would be otherwise
}

// Team is the part of a team's contract about priority classes.
type Team struct {
	Name              string
	PriorityClass     int
	RequestsPerSecond float64 // requests a second of the whole team in its class, over all routers; 0: only its accounts' limits apply
	Burst             float64
}

// DefaultSettings are settings without priority classes, teams and this router's name.
func DefaultSettings() Settings {
	const ms = 1e6
	return Settings{AccountKey: BySession, Routers: 1, HighPressure: 0.35, LowPressure: 0.25, Interval: 200 * ms, MaxReportAge: 1000 * ms, IsolationTimeout: 30_000 * ms, SaltPeriod: 60_000 * ms, MaxRetryAfter: 2000 * ms,
		WriteAffinity: 10_000 * ms, MaxAccounts: 32_768, MaxWriteAffinities: 4096, MaxGroups: 1024}
}

// SettingError is an invalid field.
type SettingError struct{ Field, Reason string }

// Error implements the error interface.
func (e *SettingError) Error() string { return e.Field + ": " + e.Reason }

// Kind is the same for all of the type.
func (e *SettingError) Kind() string { return "lane-setting" }

// Hint is for operators.
func (e *SettingError) Hint() string {
	return "correct contracts." + e.Field + " in the settings file; what was in force stays until then"
}

// Check returns an error that names the first invalid field.
func (s *Settings) Check() error {
	var errs []error
	want := func(ok bool, field, text string, args ...any) {
		if !ok {
			errs = append(errs, &SettingError{field, fmt.Sprintf(text, args...)})
		}
	}
	want(len(s.PriorityClasses) >= 1 && len(s.PriorityClasses) <= MaxPriorityClasses, "lanes.lanes", "%d, 1 to %d wanted", len(s.PriorityClasses), MaxPriorityClasses)
	names := map[string]bool{}
	for i, l := range s.PriorityClasses {
		at := fmt.Sprintf("lanes.lanes[%d]", i)
		want(l.Name != "" && !names[l.Name], at+".name", "%q is missing or given twice", l.Name)
		names[l.Name] = true
		want(l.RequestsPerSecond >= 0 && l.Burst >= 0 && (l.RequestsPerSecond == 0 || l.Burst >= 1), at+".per_s", "%v and burst %v: a rate above 0 wants a burst of 1 at least", l.RequestsPerSecond, l.Burst)
		want(l.ReservedShare >= 0 && l.ReservedShare <= 0.5, at+".least", "%v is not between 0 and 0.5", l.ReservedShare)
	}
	for _, t := range s.Teams {
		at := "teams." + t.Name
		want(t.PriorityClass >= 0 && t.PriorityClass < len(s.PriorityClasses), at+".lane", "no lane %d", t.PriorityClass)
		want(t.RequestsPerSecond >= 0 && t.Burst >= 0 && (t.RequestsPerSecond == 0 || t.Burst >= 1), at+".lane_per_s", "%v and burst %v: a rate above 0 wants a burst of 1 at least", t.RequestsPerSecond, t.Burst)
	}
	want(s.AccountKey == ByTeam || s.AccountKey == BySession || s.AccountKey == ByBoth, "lanes.by", "%q is none of team, session, both", s.AccountKey)
	want(s.Routers >= 1 && (s.Router != "" || !s.Shared), "lanes.routers", "%d, or no name of this one", s.Routers)
	want(s.LowPressure > 0 && s.LowPressure < s.HighPressure, "lanes.high, lanes.low", "low %v and high %v are not in order above 0", s.LowPressure, s.HighPressure)
	want(s.Interval >= 10e6 && s.MaxReportAge >= 2*s.Interval && s.IsolationTimeout >= s.MaxReportAge, "lanes.look_ms, fresh_ms, alone_ms", "%d, %d, %d ns: 10 ms at least, twice the first at least, the second at least", s.Interval, s.MaxReportAge, s.IsolationTimeout)
	want(s.SaltPeriod >= s.MaxReportAge, "lanes.epoch_ms", "%d ns is below fresh_ms", s.SaltPeriod)
	want(s.MaxRetryAfter >= 0 && s.PlatformMaxRetryAfter >= 0 && s.WriteAffinity >= 0, "lanes.come_back_ms, owe_ms", "below 0")
	want(min(s.MaxAccounts, s.MaxWriteAffinities, s.MaxGroups) >= 1, "lanes.accounts, owed, groups", "%d, %d, %d, at least 1 needed", s.MaxAccounts, s.MaxWriteAffinities, s.MaxGroups)
	return errors.Join(errs...)
}

// Reason says why a request was admitted, or that it was shed.
type Reason uint8

// The reasons for admission, and Shed.
const (
	AboveThreshold Reason = iota // in its own class, and above the threshold
	Downgraded                   // beyond its entitlement: in a class below its own, and above the threshold
	FollowsWrite                 // a retry of a write that may have run, or a read after its session's write: in the class of that write
	Shed                         // below the threshold
	ReasonCount
)

var reasonNames = [ReasonCount]string{"above", "fell", "owed", "shed"}

// String is the reason's name in accounts.
func (r Reason) String() string {
	if r < ReasonCount {
		return reasonNames[r]
	}
	return "unknown"
}

// Request is the part of a request that decisions need.
type Request struct {
	Team           int
	Account        uint64 // as Account returns it
	Group          int64
	Key            string  // of a keyed write
	ReadSession    string  // of a session's read: the session, as Session returns it
	WroteElsewhere bool    // another router saw its session write recently
	Share          float64 // of the entitlements that this router admits
	IsRetry        bool    // its client marks it as its own retry
}

// Verdict is the decision on a request.
type Verdict struct {
	Reason        Reason
	PriorityClass int // in which it was decided
	Rank          int // among all, the first that are shed first
	Threshold     int // in force: a lower standing is shed
	RetryAfter    clock.Nanos
}

// Outcome is how an admitted request ended.
type Outcome struct {
	ArrivedAt        clock.Nanos
	Elapsed          clock.Nanos
	LatencyObjective clock.Nanos
	Served           bool
	MayHaveRun       bool   // not served, and it may have run
	Abandoned        bool   // its client left: within its objective it says nothing about load
	SessionWritten   string // the session of a write that was served
}

// Report is one router's report on a group.
type Report struct {
	Group     int64
	Router    string
	Epoch     uint64
	Seq       uint64 // the latest report of a process holds
	Age       clock.Nanos
	Load      int64 // requests a second that arrive
	Threshold int   // the threshold that it would choose
	SaltEpoch uint64
	Excluded  bool // the router does not count: it is dead, departed or isolated
}

// Connectivity is what membership reports.
type Connectivity struct {
	Majority bool // more than half of the installation's routers are present
	Isolated bool // this router hears hardly any member, or is not heard
}

// GroupState is the operators' report on a group.
type GroupState struct {
	Group             int64   `json:"group"`
	Threshold         int     `json:"level"` // a lower standing is shed; 0: none
	MaxThreshold      int     `json:"most"`
	PriorityClass     string  `json:"lane"` // that contains the threshold; "": none is shed
	OwnThreshold      int     `json:"wish"`
	SaltEpoch         uint64  `json:"epoch"`
	Reporters         int     `json:"heard"` // routers whose reports are fresh, this one included
	Quorum            bool    `json:"whole"` // they are enough for the threshold to fall
	Isolated          bool    `json:"alone"` // it uses its own pressure alone
	Pressure          float64 `json:"pressure"`
	RequestsPerSecond int64   `json:"per_s"`
}

// ClassCounts counts the requests of a class, by the class in which they were decided.
type ClassCounts struct {
	PriorityClass string              `json:"lane"`
	ByReason      [ReasonCount]uint64 `json:"-"`
	Counts        map[string]uint64   `json:"counts"`
}
