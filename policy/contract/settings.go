// Package contract decides which requests a team's contract covers, and how
// those beyond it are treated: they borrow unused capacity, and are the first to be
// rejected while a request within a contract would be slow. It decides from
// arrivals, ends, and load reports passed to it; which server a request goes
// to, and whether a request is retried, is not decided here.
package contract

import (
	"errors"
	"fmt"
	"net/netip"

	"lotushook/policy/clock"
)

// Settings are the contracts, and what the router knows of the fleet.
type Settings struct {
	Teams   []Team
	Classes []Class // as the router numbers them

	DefaultTeam  string // the team of clients that match none; "": they are rejected
	Ambiguous    string // "first": a client that matches two belongs to the first; "refuse": it is rejected
	TrustComment bool   // a request's comment may name its team

	Routers              int     // routers that share the contracts without coordination
	Skew                 float64 // the largest share of a team's traffic that one of them normally sees
	PrimaryWorkPerSecond float64 // work units a primary does in a second; 0: shares of primaries are not enforced

	HighPressure, LowPressure float64     // latencies as a share of their objectives: above, borrowing shrinks; below, it grows
	MaxKeys                   int         // remembered keys of writes that may have run
	MaxShares                 int         // remembered budgets of teams in groups
	UTCOffsetSeconds          int64       // local time less UTC, in seconds, for Hours
	MaxRetryAfter             clock.Nanos // the longest Retry-After time
}

// Class is a class of requests.
type Class struct {
	Name              string
	LatencyObjective  clock.Nanos
	IdempotencyWindow clock.Nanos // how long the servers drop a retry of a key
	Primary           bool        // only the primary takes it
	PriorityWeight    float64
	Cost              float64 // work units of one request
}

// Team is one team's contract.
type Team struct {
	Name   string
	Weight float64 // its weight where borrowers share capacity; above 0

	Users, Databases, Applications []string // a client that sends one of them at the start belongs to the team
	Addresses                      []netip.Prefix

	Limits       []Limit // by class; the zero Limit: it may not use the class
	PrimaryShare float64 // of each group's primary, over all classes; 0: none is promised beyond the limits
	MaxOpen      int     // open requests over all routers; 0: no limit
	RetryShare   float64 // clients' retries that the contract covers, as a share of first attempts
	Hours        []Hours
}

// Limit is what a team may request of a class, over all routers.
type Limit struct {
	PerS  float64 // requests a second
	Burst float64 // requests at once
}

// Hours are a part of each week in which the limits are larger.
type Hours struct {
	From, To int64 // seconds after Monday 00:00, local time; To may be after the week's end
	Factor   float64
}

// Reason says why a request was admitted or rejected.
type Reason int

// The reasons for admission, and those for rejection.
const (
	Within           Reason = iota // its contract covers it
	Borrowed                       // beyond it, from unused capacity
	RetryOfWrite                   // a keyed write that may have run: it always passes
	UnknownTeam                    // it matches no team
	AmbiguousTeam                  // it matches two
	ClassNotAllowed                // its team may not use the class
	TooManyOpen                    // its team has its maximum of open requests
	OverRate                       // beyond the class's rate, while others need the capacity
	OverPrimaryShare               // beyond the share of the primary, while others need the capacity
	OverRetryShare                 // a client's retry beyond the retry budget, while others need the capacity
	ReasonCount
)

var reasonNames = [ReasonCount]string{"within", "borrowed", "repeat", "unknown_team", "two_teams", "no_class", "open", "rate", "share", "retry"}

// String is the reason's name in logs and accounts.
func (r Reason) String() string {
	if r < 0 || r >= ReasonCount {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return reasonNames[r]
}

// Admitted says whether a request with this reason is admitted.
func (r Reason) Admitted() bool { return r <= RetryOfWrite }

// Request is the part of a request that decisions need.
type Request struct {
	Team     int // as Match found it
	Class    int
	Group    int64
	Key      string      // of a keyed write
	IsRetry  bool        // the client marked it as its own retry
	ID       string      // unique while it is open
	Deadline clock.Nanos // when its client gives up
}

// Verdict is the decision on a request.
type Verdict struct {
	Reason     Reason
	Limit      float64     // the contract's limit that was reached, over all routers
	RetryAfter clock.Nanos // when it may return; 0: not known
	// After says that others are placed before it: it was borrowed, or it is within
	// only because routers without coordination must each admit more than their
	// even share. If the team's traffic is spread evenly, it is beyond the contract.
	LowPriority bool
	// Hold says that it is queued: Due returns the decision later.
	Queued bool
	// Displaced is a queued request that is rejected in its place; its Verdict says why.
	Displaced *Turn
}

// Turn is the decision on a queued request.
type Turn struct {
	ID string
	Verdict
}

// End is how an admitted request ended.
type End struct {
	Served    bool
	Elapsed   clock.Nanos // from its arrival
	MayRun    bool        // not served, and it may have run
	Abandoned bool        // its client left, or it was rejected while queued: it says nothing about load
}

// Check returns an error that names the first invalid field.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (s *Settings) Check() error {
	var errs []error
	bad := func(field, text string, args ...any) {
		errs = append(errs, fmt.Errorf(field+": "+text, args...))
	}
	names := map[string]bool{}
	for i, t := range s.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		if t.Name != "" {
			at = "teams." + t.Name
		}
		switch {
		case t.Name == "":
			bad(at+".name", "missing")
		case names[t.Name]:
			bad(at, "given twice")
		}
		names[t.Name] = true
		if !(t.Weight > 0) {
			bad(at+".worth", "%v is not above 0", t.Weight)
		}
		if len(t.Limits) != len(s.Classes) {
			bad(at+".classes", "%d for %d classes", len(t.Limits), len(s.Classes))
			continue
		}
		for c, l := range t.Limits {
			if !(l.PerS >= 0) || !(l.Burst >= 0) || l.PerS > 0 && l.Burst < 1 {
				bad(at+".classes."+s.Classes[c].Name, "per_s %v and burst %v: a rate above 0 wants a burst of 1 at least", l.PerS, l.Burst)
			}
		}
		if !(t.PrimaryShare >= 0 && t.PrimaryShare <= 1) {
			bad(at+".primary_share", "%v is not between 0 and 1", t.PrimaryShare)
		}
		if t.PrimaryShare > 0 && !(s.PrimaryWorkPerSecond > 0) {
			bad(at+".primary_share", "what a primary does in a second is not told (fleet.primary_per_s)")
		}
		if t.MaxOpen < 0 {
			bad(at+".open", "%d is below 0", t.MaxOpen)
		}
		if !(t.RetryShare >= 0) {
			bad(at+".retry_share", "%v is below 0", t.RetryShare)
		}
		for j, h := range t.Hours {
			if h.From < 0 || h.From >= week || h.To <= h.From || h.To > h.From+week || !(h.Factor >= 1) {
				bad(fmt.Sprintf("%s.hours[%d]", at, j), "not a stretch of the week, or times %v under 1", h.Factor)
			}
		}
	}
	if s.DefaultTeam != "" && !names[s.DefaultTeam] {
		bad("none", "no team %q", s.DefaultTeam)
	}
	if s.Ambiguous != "first" && s.Ambiguous != "refuse" {
		bad("two", "%q is neither first nor refuse", s.Ambiguous)
	}
	if s.Routers < 1 {
		bad("instances", "%d, at least 1 needed", s.Routers)
	}
	if !(s.Skew > 0 && s.Skew <= 1) || s.Skew*float64(s.Routers) < 1 {
		bad("skew", "%v: one of %d routers sees at least 1/%[2]d of a team's traffic, and at most all", s.Skew, s.Routers)
	}
	if !(s.LowPressure > 0 && s.LowPressure < s.HighPressure) {
		bad("pressure", "low %v and high %v are not in order above 0", s.LowPressure, s.HighPressure)
	}
	if s.MaxKeys < 1 || s.MaxShares < 1 {
		bad("keys, shares", "%d, %d, at least 1 needed", s.MaxKeys, s.MaxShares)
	}
	return errors.Join(errs...)
}

const (
	second = clock.Nanos(1e9)
	week   = 7 * 24 * 3600 // seconds
	monday = 4 * 24 * 3600 // the first one of Unix time, in seconds
)
