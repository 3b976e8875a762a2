// Package lane decides which requests are shed while a group of data servers has more to do than it can, so that every router
// sheds the same accounts: the worst lane first, and within a lane by a salted hash of the account. It decides from arrivals,
// ends and what the other routers report; how reports travel, and where a request that is not shed goes, is not decided here.
// The compound level is DAGOR's (Zhou et al., SoCC 2018); how it is agreed without a server in the middle is this package's own.
package shedding

import (
	"errors"
	"fmt"
)

// Nanos is a span or a point of this router's own clock, in nanoseconds. No two routers' points are ever compared.
type Nanos = int64

const (
	Steps     = 64 // positions of accounts in a lane
	MostLanes = 8
)

// By says what an account is.
type By string

// What an account may be.
const (
	ByTeam    By = "team"
	BySession By = "session"
	ByBoth    By = "both" // a session of one team is another account than the same session of another
)

// Settings are the lanes, and how levels are found.
type Settings struct {
	Lanes []Lane // the best first
	Teams []Team // as the contracts number them
	By    By

	Router  string // this router's name; one that goes alone salts with it
	Boot    uint64
	Routers int  // of the installation
	Agreed  bool // levels are agreed with the others; without, each router goes alone

	High, Low float64 // pressure, as a share of aims: above, more is shed; below, less
	Look      Nanos   // between two looks at the pressure, and so two steps of a level
	Fresh     Nanos   // a report that is older says nothing
	Alone     Nanos   // without whole evidence for so long a router goes by its own pressure alone
	Epoch     Nanos   // the salt turns after it

	ComeBack, LongBack Nanos // the longest time to return, of the last lane; what the platform allows, 0: none is told
	OweFor             Nanos // a write may be repeated, and read after, in its lane for so long

	Accounts, Owed, Groups int // the most that are remembered
}

// Lane is a class of accounts.
type Lane struct {
	Name  string
	PerS  float64 // requests a second that one account may ask in it, over all routers; beyond, they fall to the next. 0: any
	Burst float64 // at once
	Least float64 // share of its positions that is shed only when the best lane would be otherwise
}

// Team is what a team's contract says of lanes.
type Team struct {
	Name  string
	Lane  int
	PerS  float64 // that the whole team may ask in its lane, over all routers; 0: only its accounts' entitlements bind
	Burst float64
}

// Usual are settings but for lanes, teams and who this router is.
func Usual() Settings {
	const ms = 1e6
	return Settings{By: BySession, Routers: 1, High: 0.35, Low: 0.25, Look: 200 * ms, Fresh: 1000 * ms, Alone: 30_000 * ms, Epoch: 60_000 * ms, ComeBack: 2000 * ms,
		OweFor: 10_000 * ms, Accounts: 32_768, Owed: 4096, Groups: 1024}
}

// SettingError is a field that can't be used.
type SettingError struct{ Field, Why string }

func (e *SettingError) Error() string { return e.Field + ": " + e.Why }

// Kind is the same for all of the type.
func (e *SettingError) Kind() string { return "lane-setting" }

// Remedy tells what to do.
func (e *SettingError) Remedy() string {
	return "correct contracts." + e.Field + " in the settings file; what was in force stays until then"
}

// Check says what is wrong with settings, naming the field.
func (s *Settings) Check() error {
	var errs []error
	want := func(ok bool, field, text string, args ...any) {
		if !ok {
			errs = append(errs, &SettingError{field, fmt.Sprintf(text, args...)})
		}
	}
	want(len(s.Lanes) >= 1 && len(s.Lanes) <= MostLanes, "lanes.lanes", "%d, 1 to %d wanted", len(s.Lanes), MostLanes)
	names := map[string]bool{}
	for i, l := range s.Lanes {
		at := fmt.Sprintf("lanes.lanes[%d]", i)
		want(l.Name != "" && !names[l.Name], at+".name", "%q is missing or given twice", l.Name)
		names[l.Name] = true
		want(l.PerS >= 0 && l.Burst >= 0 && (l.PerS == 0 || l.Burst >= 1), at+".per_s", "%v and burst %v: a rate above 0 wants a burst of 1 at least", l.PerS, l.Burst)
		want(l.Least >= 0 && l.Least <= 0.5, at+".least", "%v is not between 0 and 0.5", l.Least)
	}
	for _, t := range s.Teams {
		at := "teams." + t.Name
		want(t.Lane >= 0 && t.Lane < len(s.Lanes), at+".lane", "no lane %d", t.Lane)
		want(t.PerS >= 0 && t.Burst >= 0 && (t.PerS == 0 || t.Burst >= 1), at+".lane_per_s", "%v and burst %v: a rate above 0 wants a burst of 1 at least", t.PerS, t.Burst)
	}
	want(s.By == ByTeam || s.By == BySession || s.By == ByBoth, "lanes.by", "%q is none of team, session, both", s.By)
	want(s.Routers >= 1 && (s.Router != "" || !s.Agreed), "lanes.routers", "%d, or no name of this one", s.Routers)
	want(s.Low > 0 && s.Low < s.High, "lanes.high, lanes.low", "low %v and high %v are not in order above 0", s.Low, s.High)
	want(s.Look >= 10e6 && s.Fresh >= 2*s.Look && s.Alone >= s.Fresh, "lanes.look_ms, fresh_ms, alone_ms", "%d, %d, %d ns: 10 ms at least, twice the first at least, the second at least", s.Look, s.Fresh, s.Alone)
	want(s.Epoch >= s.Fresh, "lanes.epoch_ms", "%d ns is below fresh_ms", s.Epoch)
	want(s.ComeBack >= 0 && s.LongBack >= 0 && s.OweFor >= 0, "lanes.come_back_ms, owe_ms", "below 0")
	want(min(s.Accounts, s.Owed, s.Groups) >= 1, "lanes.accounts, owed, groups", "%d, %d, %d, at least 1 needed", s.Accounts, s.Owed, s.Groups)
	return errors.Join(errs...)
}

// Reason says on what ground a request was taken, or that it was shed.
type Reason uint8

// The grounds, and the refusal.
const (
	Above Reason = iota // in its own lane, and above the level
	Fell                // beyond its entitlement: in a lane below its own, and above the level
	Owed                // it repeats a write that may have run, or reads after its session's write: the last of that lane
	Shed                // below the level
	Reasons
)

var reasonNames = [Reasons]string{"above", "fell", "owed", "shed"}

// String is the reason's name in accounts.
func (r Reason) String() string {
	if r < Reasons {
		return reasonNames[r]
	}
	return "unknown"
}

// Request is what counts of a request here.
type Request struct {
	Team    int
	Account uint64 // as Account makes it
	Group   int64
	Key     string  // of a keyed write
	Reads   string  // of a session's read: the session, as Session names it
	Own     bool    // some router saw its session write within the last while
	Part    float64 // of the entitlements that this router lets through
	Again   bool    // its client marks it as a repeat of its own
}

// Verdict is what becomes of a request.
type Verdict struct {
	Reason   Reason
	Lane     int // that it was judged in
	Standing int // among all, the first that are shed first
	Level    int // in force: whoever stands below it is shed
	Wait     Nanos
}

// End is how a taken request ended.
type End struct {
	Came   Nanos
	Took   Nanos
	Aim    Nanos
	Served bool
	MayRun bool   // not served, and it can't be ruled out that it ran
	Gone   bool   // its client left: within its aim it says nothing of load
	Wrote  string // the session of a write that was served
}

// Report is what one router says of a group.
type Report struct {
	Group int64
	Name  string
	Boot  uint64
	Seq   uint64 // a later word of the same process holds
	Age   Nanos
	Load  int64 // requests a second that come to it
	Wish  int   // the level that it would have
	Epoch uint64
	Out   bool // the router is not one of those that count: dead, gone or cut off
}

// Sight is what membership says.
type Sight struct {
	Majority bool // more than half of the installation's routers are there
	CutOff   bool // this router hears hardly anybody, or is not heard
}

// State is what operators read of a group.
type State struct {
	Group    int64   `json:"group"`
	Level    int     `json:"level"` // whoever stands below is shed; 0: nobody
	Most     int     `json:"most"`
	Lane     string  `json:"lane"` // that the level stands in; "": it sheds nobody
	Wish     int     `json:"wish"`
	Epoch    uint64  `json:"epoch"`
	Heard    int     `json:"heard"` // routers whose reports are fresh, this one too
	Whole    bool    `json:"whole"` // they are enough for the level to fall
	Alone    bool    `json:"alone"` // it goes by its own pressure
	Pressure float64 `json:"pressure"`
	PerS     int64   `json:"per_s"`
}

// Count is what became of a lane's requests, by the lane that they were judged in.
type Count struct {
	Lane   string            `json:"lane"`
	By     [Reasons]uint64   `json:"-"`
	Counts map[string]uint64 `json:"counts"`
}
