// Package shedding decides which requests are shed, which means rejected, while a group of data servers is overloaded.
// Every request belongs to an account, which is a team, a session or both. All routers shed the same accounts: those of
// the lowest priority class first, and within a class by a salted hash of the account, its position. The salt changes
// with each salt epoch, so that the same accounts are not shed every time. Classes and positions together rank all
// requests in the order of shedding, and a group's threshold says which ranks are shed at the moment.
//
// Each router measures the pressure on a group, which is how long requests take compared with their latency objectives.
// From it the router derives a threshold of its own, and reports that to the other routers. If enough routers report, a
// quorum, the threshold in force is the mean of the reported ones. The combined threshold over classes and accounts is
// DAGOR's (Zhou et al., SoCC 2018); agreement on it without a central server is this package's own. Other packages send
// the reports, and choose the servers of admitted requests.
package shedding

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

// Sizes of the order of shedding.
const (
	Positions          = 64 // positions of accounts within a priority class
	MaxPriorityClasses = 8
)

// AccountKey says what identifies an account.
type AccountKey string

// The account keys.
const (
	ByTeam    AccountKey = "team"
	BySession AccountKey = "session"
	ByBoth    AccountKey = "both" // sessions of the same name in different teams are different accounts
)

// Settings are the priority classes, and the parameters of the thresholds.
type Settings struct {
	PriorityClasses []PriorityClass // highest priority first
	Teams           []Team          // in the order of the contracts
	AccountKey      AccountKey

	Router  string // this router's name; part of the salt if the thresholds are not shared
	Epoch   uint64 // of this process; greater at each start
	Routers int    // number of routers in the installation
	Shared  bool   // the routers agree on thresholds; otherwise each router decides alone

	HighPressure, LowPressure float64     // shares of latency objectives; above High more is shed, below Low less
	Interval                  clock.Nanos // between two evaluations of the pressure
	MaxReportAge              clock.Nanos // older reports are ignored
	IsolationTimeout          clock.Nanos // a router without a quorum for this long uses only its own pressure
	SaltPeriod                clock.Nanos // how long a salt is used

	// MaxRetryAfter is the longest Retry-After time of the lowest class. PlatformMaxRetryAfter is the platform's limit on
	// all Retry-After times; 0 means that none is sent.
	MaxRetryAfter, PlatformMaxRetryAfter clock.Nanos
	WriteAffinity                        clock.Nanos // how long a write's class applies to its retries and later reads

	MaxAccounts, MaxWriteAffinities, MaxGroups int // limits on stored entries
}

// PriorityClass is a class of accounts. An account is entitled to a rate of requests in its class. A request beyond
// this entitlement is downgraded, which means that it is decided in a lower class whose entitlement covers it.
type PriorityClass struct {
	Name              string
	RequestsPerSecond float64 // entitlement of an account over all routers; requests beyond it are downgraded; 0: no limit
	Burst             float64 // requests at once
	ReservedShare     float64 // share of its positions that are shed after all unreserved ones of the lower classes
}

// Team is the part of a team's contract that concerns priority classes.
type Team struct {
	Name              string
	PriorityClass     int
	RequestsPerSecond float64 // entitlement of the team in its class, over all routers; 0: only its accounts' apply
	Burst             float64 // requests at once
}

// DefaultSettings returns the default settings, to which the caller adds priority classes, teams and the router's name.
func DefaultSettings() Settings {
	const ms = 1e6
	return Settings{AccountKey: BySession, Routers: 1, HighPressure: 0.35, LowPressure: 0.25, Interval: 200 * ms, MaxReportAge: 1000 * ms, IsolationTimeout: 30_000 * ms, SaltPeriod: 60_000 * ms, MaxRetryAfter: 2000 * ms,
		WriteAffinity: 10_000 * ms, MaxAccounts: 32_768, MaxWriteAffinities: 4096, MaxGroups: 1024}
}

// SettingError is an invalid field.
type SettingError struct{ Field, Reason string }

// Error implements the error interface.
func (e *SettingError) Error() string { return e.Field + ": " + e.Reason }

// Kind returns the kind under which this error is counted.
func (e *SettingError) Kind() string { return "lane-setting" }

// Hint tells operators how to correct the error.
func (e *SettingError) Hint() string {
	return "correct contracts." + e.Field + " in the settings file; the previous settings stay in force until then"
}

// Check returns an error that names each invalid field.
func (settings *Settings) Check() error {
	var errs []error
	check := func(ok bool, field, reason string, args ...any) {
		if !ok {
			errs = append(errs, &SettingError{field, fmt.Sprintf(reason, args...)})
		}
	}
	check(len(settings.PriorityClasses) >= 1 && len(settings.PriorityClasses) <= MaxPriorityClasses, "lanes.lanes", "%d, 1 to %d wanted", len(settings.PriorityClasses), MaxPriorityClasses)
	names := map[string]bool{}
	for i, class := range settings.PriorityClasses {
		path := fmt.Sprintf("lanes.lanes[%d]", i)
		check(class.Name != "" && !names[class.Name], path+".name", "%q is empty or a duplicate", class.Name)
		names[class.Name] = true
		check(class.RequestsPerSecond >= 0 && class.Burst >= 0 && (class.RequestsPerSecond == 0 || class.Burst >= 1), path+".per_s", "%v and burst %v: neither may be negative, and a rate above 0 needs a burst of at least 1", class.RequestsPerSecond, class.Burst)
		check(class.ReservedShare >= 0 && class.ReservedShare <= 0.5, path+".least", "%v is not between 0 and 0.5", class.ReservedShare)
	}
	for _, team := range settings.Teams {
		path := "teams." + team.Name
		check(team.PriorityClass >= 0 && team.PriorityClass < len(settings.PriorityClasses), path+".lane", "there is no lane %d", team.PriorityClass)
		check(team.RequestsPerSecond >= 0 && team.Burst >= 0 && (team.RequestsPerSecond == 0 || team.Burst >= 1), path+".lane_per_s", "%v and burst %v: neither may be negative, and a rate above 0 needs a burst of at least 1", team.RequestsPerSecond, team.Burst)
	}
	check(settings.AccountKey == ByTeam || settings.AccountKey == BySession || settings.AccountKey == ByBoth, "lanes.by", "%q is none of team, session, both", settings.AccountKey)
	check(settings.Routers >= 1 && (settings.Router != "" || !settings.Shared), "lanes.routers", "%d is below 1, or this router has no name", settings.Routers)
	check(settings.LowPressure > 0 && settings.LowPressure < settings.HighPressure, "lanes.high, lanes.low", "low %v must be above 0 and below high %v", settings.LowPressure, settings.HighPressure)
	check(settings.Interval >= 10e6 && settings.MaxReportAge >= 2*settings.Interval && settings.IsolationTimeout >= settings.MaxReportAge, "lanes.look_ms, fresh_ms, alone_ms", "%d, %d, %d ns: the first must be at least 10 ms, the second at least twice the first, the third at least the second", settings.Interval, settings.MaxReportAge, settings.IsolationTimeout)
	check(settings.SaltPeriod >= settings.MaxReportAge, "lanes.epoch_ms", "%d ns is below fresh_ms", settings.SaltPeriod)
	check(settings.MaxRetryAfter >= 0 && settings.PlatformMaxRetryAfter >= 0 && settings.WriteAffinity >= 0, "lanes.come_back_ms, owe_ms", "must not be negative")
	check(min(settings.MaxAccounts, settings.MaxWriteAffinities, settings.MaxGroups) >= 1, "lanes.accounts, owed, groups", "%d, %d, %d: each must be at least 1", settings.MaxAccounts, settings.MaxWriteAffinities, settings.MaxGroups)
	return errors.Join(errs...)
}

// Reason says why a request was admitted, or that it was shed.
type Reason uint8

// The reasons for admission, and Shed.
const (
	AboveThreshold Reason = iota // in its own class, and above the threshold
	Downgraded                   // over its entitlement, so in a class below its own, and above the threshold
	FollowsWrite                 // in a write's class: its retry if it may have run, or a later read of its session
	Shed                         // below the threshold
	ReasonCount
)

var reasonNames = [ReasonCount]string{"above", "fell", "owed", "shed"}

// String returns the reason's name in ClassCounts.
func (r Reason) String() string {
	if r < ReasonCount {
		return reasonNames[r]
	}
	return "unknown"
}

// Request contains the properties of a request that decisions depend on.
type Request struct {
	Team           int
	Account        uint64 // as returned by Settings.Account
	Group          int64
	Key            string  // idempotency key of a keyed write
	ReadSession    string  // session of a read, as returned by Session; "": not a read in a session
	WroteElsewhere bool    // another router recently served a write of the request's session
	Share          float64 // part of each entitlement that this router grants
	IsRetry        bool    // the client marked the request as its own retry
}

// Verdict is the decision on a request.
type Verdict struct {
	Reason        Reason
	PriorityClass int // class in which the request was decided
	Rank          int // place in the order of shedding; the lowest ranks are shed first
	Threshold     int // threshold in force; ranks below it are shed
	RetryAfter    clock.Nanos
}

// Outcome is how an admitted request ended.
type Outcome struct {
	ArrivedAt        clock.Nanos
	Elapsed          clock.Nanos
	LatencyObjective clock.Nanos
	Served           bool
	MayHaveRun       bool   // the request was not served, but may have run
	Abandoned        bool   // the client left; if within the latency objective, that does not count for the pressure
	SessionWritten   string // session of a served write
}

// Report is one router's report on a group.
type Report struct {
	Group     int64
	Router    string
	Epoch     uint64
	Seq       uint64      // increases with each report of a process; only the latest report counts
	Age       clock.Nanos // time since the report was made, as far as known
	Load      int64       // arriving requests per second
	Threshold int         // threshold that the router would choose by itself
	SaltEpoch uint64
	Excluded  bool // the router does not count, because it is dead, departed or isolated
}

// Connectivity describes this router's connectivity, as membership reports it.
type Connectivity struct {
	Majority bool // more than half of the installation's routers are present
	Isolated bool // this router receives messages from hardly any member, or can send to hardly any
}

// GroupState reports a group's state to operators.
type GroupState struct {
	Group             int64   `json:"group"`
	Threshold         int     `json:"level"` // ranks below it are shed; 0: none
	MaxThreshold      int     `json:"most"`
	PriorityClass     string  `json:"lane"` // class that contains the threshold; "": nothing is shed
	OwnThreshold      int     `json:"wish"`
	SaltEpoch         uint64  `json:"epoch"`
	Reporters         int     `json:"heard"` // routers with a fresh report, including this one
	Quorum            bool    `json:"whole"` // the reporters are enough for the threshold to fall
	Isolated          bool    `json:"alone"` // this router uses only its own pressure
	Pressure          float64 `json:"pressure"`
	RequestsPerSecond int64   `json:"per_s"`
}

// ClassCounts counts the decisions made in a priority class.
type ClassCounts struct {
	PriorityClass string              `json:"lane"`
	ByReason      [ReasonCount]uint64 `json:"-"`
	Counts        map[string]uint64   `json:"counts"`
}
