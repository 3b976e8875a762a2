// Package contract decides which requests a team's contract covers, and how requests beyond it are treated. A contract
// states how many requests of each class a team may send. Requests within it are always admitted. A request beyond it
// may be borrowed, which means that it is admitted on capacity that no contract is using at the moment. Borrowed
// requests have low priority: they are queued or rejected under pressure, which means while the requests within
// contracts are slow compared with their latency objectives. Pressure is measured for each group, separately for its
// primary and its replicas.
//
// Decisions depend only on the arrivals, outcomes and load reports passed to this package. Other packages choose the
// server of a request, and decide whether to retry it.
package contract

import (
	"errors"
	"fmt"
	"net/netip"

	"lotushook/policy/clock"
)

// Settings are the contracts, and the properties of the fleet on which decisions depend.
type Settings struct {
	Teams   []Team
	Classes []Class // in the order of the router's class numbers

	DefaultTeam  string // the team of clients that match no team; "": they are rejected
	Ambiguous    string // "first": a client that matches several teams belongs to the first; "refuse": it is rejected
	TrustComment bool   // a request's comment may name its team

	Routers              int     // routers that enforce the contracts without coordination
	Skew                 float64 // the largest share of a team's traffic that one router normally receives
	PrimaryWorkPerSecond float64 // work units a primary does in a second; 0: shares of primaries are not enforced

	// Mean latencies of requests within contracts, as a share of their objectives. Above HighPressure fewer requests
	// are borrowed, below LowPressure more.
	HighPressure, LowPressure float64
	MaxKeys                   int         // maximum number of stored keys of writes that may have run
	MaxGroupEntries           int         // maximum number of stored budgets at primaries, and of other entries by group
	UTCOffsetSeconds          int64       // local time minus UTC, for Hours
	MaxRetryAfter             clock.Nanos // the longest Retry-After time
}

// Class is a class of requests.
type Class struct {
	Name              string
	LatencyObjective  clock.Nanos
	IdempotencyWindow clock.Nanos // how long the servers recognize a retry by its key
	Primary           bool        // only primaries serve it
	PriorityWeight    float64     // credited to the team's account for a request served within its objective
	Cost              float64     // work units of one request
}

// Team is one team's contract.
type Team struct {
	Name   string
	Weight float64 // in fair queueing; above 0

	Users, Databases, Applications []string // a client whose startup message has one of these names belongs to the team
	Addresses                      []netip.Prefix

	Limits       []Limit // by class; a zero Limit: the team may not use the class
	PrimaryShare float64 // share of the work of each group's primary, over all classes; 0: only Limits apply
	MaxOpen      int     // maximum number of open requests over all routers; 0: no limit
	RetryShare   float64 // client retries that the contract covers, as a share of first attempts
	Hours        []Hours
}

// Limit bounds the requests of a team in one class, over all routers.
type Limit struct {
	PerSecond float64 // requests a second
	Burst     float64 // requests at once
}

// Hours are a period of each week in which the limits are larger.
type Hours struct {
	From, To int64   // seconds after Monday 00:00, local time; To may be after the week's end
	Factor   float64 // on the limits
}

// Reason says why a request was admitted or rejected.
type Reason int

// The reasons for admission, and those for rejection.
const (
	Within           Reason = iota // within the team's contract
	Borrowed                       // beyond the contract, on unused capacity
	RetryOfWrite                   // retry of a keyed write that may have run; always admitted
	UnknownTeam                    // the client matches no team
	AmbiguousTeam                  // the client matches several teams
	ClassNotAllowed                // the team may not use the class
	TooManyOpen                    // the team has its maximum number of open requests
	OverRate                       // beyond the class's rate, while others need the capacity
	OverPrimaryShare               // beyond the share of the primary, while others need the capacity
	OverRetryShare                 // a client's retry beyond the retry budget, while others need the capacity
	ReasonCount
)

var reasonNames = [ReasonCount]string{"within", "borrowed", "repeat", "unknown_team", "two_teams", "no_class", "open", "rate", "share", "retry"}

// String returns the reason's name in logs and accounts.
func (r Reason) String() string {
	if r < 0 || r >= ReasonCount {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return reasonNames[r]
}

// Admitted reports whether a request with this reason is admitted.
func (r Reason) Admitted() bool { return r <= RetryOfWrite }

// Request is the part of a request on which decisions depend.
type Request struct {
	Team     int // index from Match or TeamFromComment
	Class    int
	Group    int64
	Key      string      // idempotency key of a write; "": none
	IsRetry  bool        // the client marked it as a retry
	ID       string      // unique while it is open
	Deadline clock.Nanos // when its client stops waiting; 0: not known
}

// Verdict is the decision on a request.
type Verdict struct {
	Reason     Reason
	Limit      float64     // the contract's limit that was reached, over all routers
	RetryAfter clock.Nanos // when the client may send the request again; 0: not known
	// LowPriority says that requests without low priority are served first. A borrowed request has low priority. A
	// request within its contract has it if the team sends this router more than the router's part of the contract:
	// because the routers don't coordinate, each admits more than its part, and if the team uses the other routers as
	// much, its requests together are beyond the contract.
	LowPriority bool
	// Queued says that the decision is postponed: DecideQueued returns it later.
	Queued bool
	// Displaced is another queued request, which is rejected because the queue was full.
	Displaced *QueuedVerdict
}

// QueuedVerdict is the decision on a queued request.
type QueuedVerdict struct {
	ID string
	Verdict
}

// Outcome describes how an admitted request ended.
type Outcome struct {
	Served     bool
	Elapsed    clock.Nanos // since its arrival
	MayHaveRun bool        // not served, but it may have run
	Abandoned  bool        // the client left, or the request was rejected while queued: no sample of the latency
}

// Check returns an error that names all invalid fields.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (settings *Settings) Check() error {
	var errs []error
	invalid := func(field, text string, args ...any) {
		errs = append(errs, fmt.Errorf(field+": "+text, args...))
	}
	names := map[string]bool{}
	for i, team := range settings.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		if team.Name != "" {
			path = "teams." + team.Name
		}
		switch {
		case team.Name == "":
			invalid(path+".name", "missing")
		case names[team.Name]:
			invalid(path, "given twice")
		}
		names[team.Name] = true
		if !(team.Weight > 0) {
			invalid(path+".worth", "%v is not above 0", team.Weight)
		}
		if len(team.Limits) != len(settings.Classes) {
			invalid(path+".classes", "%d limits for %d classes", len(team.Limits), len(settings.Classes))
			continue
		}
		for class, limit := range team.Limits {
			if !(limit.PerSecond >= 0) || !(limit.Burst >= 0) || limit.PerSecond > 0 && limit.Burst < 1 {
				invalid(path+".classes."+settings.Classes[class].Name, "per_s %v and burst %v: a rate above 0 requires a burst of at least 1",
					limit.PerSecond, limit.Burst)
			}
		}
		if !(team.PrimaryShare >= 0 && team.PrimaryShare <= 1) {
			invalid(path+".primary_share", "%v is not between 0 and 1", team.PrimaryShare)
		}
		if team.PrimaryShare > 0 && !(settings.PrimaryWorkPerSecond > 0) {
			invalid(path+".primary_share", "requires fleet.primary_per_s, the work that a primary does in a second")
		}
		if team.MaxOpen < 0 {
			invalid(path+".open", "%d is below 0", team.MaxOpen)
		}
		if !(team.RetryShare >= 0) {
			invalid(path+".retry_share", "%v is below 0", team.RetryShare)
		}
		for j, hours := range team.Hours {
			if hours.From < 0 || hours.From >= week || hours.To <= hours.From || hours.To > hours.From+week || !(hours.Factor >= 1) {
				invalid(fmt.Sprintf("%s.hours[%d]", path, j), "not a period of a week, or times %v is below 1", hours.Factor)
			}
		}
	}
	if settings.DefaultTeam != "" && !names[settings.DefaultTeam] {
		invalid("none", "no team %q", settings.DefaultTeam)
	}
	if settings.Ambiguous != "first" && settings.Ambiguous != "refuse" {
		invalid("two", "%q is neither first nor refuse", settings.Ambiguous)
	}
	if settings.Routers < 1 {
		invalid("instances", "%d is below 1", settings.Routers)
	}
	if !(settings.Skew > 0 && settings.Skew <= 1) || settings.Skew*float64(settings.Routers) < 1 {
		invalid("skew", "%v: one of %d routers sees at least 1/%[2]d of a team's traffic, and at most all", settings.Skew, settings.Routers)
	}
	if !(settings.LowPressure > 0 && settings.LowPressure < settings.HighPressure) {
		invalid("pressure", "low %v and high %v are not in order above 0", settings.LowPressure, settings.HighPressure)
	}
	if settings.MaxKeys < 1 || settings.MaxGroupEntries < 1 {
		invalid("keys, shares", "%d, %d: both must be at least 1", settings.MaxKeys, settings.MaxGroupEntries)
	}
	return errors.Join(errs...)
}

const (
	second      = clock.Nanos(1e9)
	week        = 7 * 24 * 3600 // seconds
	firstMonday = 4 * 24 * 3600 // the first Monday of Unix time, in seconds
)
