// Package recovery decides what a router may do while it, or others with it, come back: by stages, each with what proves it
// and a bound in time, and by budgets that all routers share without a leader. It bounds further attempts by successes, says
// which work can't be in time any more, and when a client that is turned away may come again.
// It takes what happened and what time it is. Who is there (policy/membership), where a request goes (balance) and how anything is
// sent are not decided here.
package recovery

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

const second clock.Nanos = 1e9

// Stage is how far a router has come back. Within one start it only rises.
type Stage uint8

// The stages.
const (
	Starting Stage = iota // it knows nothing but its files: list calls and catch-up alone
	Restored              // it has a list and what it will be fed: dials and probes; it waits to know who returns with it
	Proving               // a few sends, whose answers prove what it was told
	Ramping               // its part of the first sends, then more as answers come
	Serving               // whatever the module says; what it spends beside sends stays within its part
	Stages
)

var stageNames = [...]string{"empty", "fed", "proving", "ramping", "serving"}

// String is the stage's name in logs.
func (s Stage) String() string { return stageNames[s] }

// Kind is what is spent.
type Kind uint8

// The kinds.
const (
	Dial     Kind = iota // a new connection to a data server
	Probe                // a question to one beside its requests
	ListCall             // a call of discovery
	CatchUp              // a piece of state that a peer is asked for
	Send                 // a request, while this router does not serve yet
	KindCount
)

var kindNames = [...]string{"dial", "probe", "list", "catch-up", "send"}

// String is the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

// Reason says why something may not be done now.
type Reason uint8

// The reasons.
const (
	Allowed      Reason = iota // it may
	TooEarly                   // not in this stage
	OverBudget                 // this router's part of the budget is used up
	RetryLimited               // too many further attempts for the successes of late
	TooLate                    // an answer can't be in time any more
	ReasonCount
)

var reasonNames = [...]string{"free", "early", "budget", "again", "late"}

// String is the reason's name in logs and refusals.
func (r Reason) String() string { return reasonNames[r] }

// Settings are what one router goes by; all of an installation have the same but for Name, Boot and CanCatchUp.
type Settings struct {
	Name       string
	Epoch      uint64 // of this start: greater at each
	Routers    int    // of the installation, whether they are there or not
	CanCatchUp bool   // peers or a copy on disk may feed this router; without, a list alone ends Empty
	SeesPeers  bool   // others can be seen; without, nobody is waited for in Fed, and all count as returning

	Budgets         [KindCount]float64   // a second, over all routers; 0: not bounded
	MaxShareFactor  float64              // what all together may spend of a budget, however wrong they see each other: from 1 to 4
	ServingShare    float64              // from 0 to 1: of its even part, what a router that serves spends while others return
	RestartWindow   clock.Nanos          // starts so close to each other are one return
	MaxWait         clock.Nanos          // something that would wait longer for its turn is denied instead
	StageTimeouts   [Serving]clock.Nanos // the longest stay in each stage
	MaxTickGap      clock.Nanos          // a longer gap between calls is time in which this router was stopped: no bound counts it
	MinSuccesses    int                  // answers that end Proving
	RampStep        clock.Nanos          // after the first second a ramp doubles in each, while answers come
	RampQuiet       clock.Nanos          // so long without a send denied, and a ramp is over
	RetryRatio      float64              // further attempts for each success of the last second
	MinRetryRate    float64              // further attempts a second, over all routers, that need no success
	RetryAfterRange [2]clock.Nanos       // the soonest and the latest that a client is told to come again
	PriorityClasses int                  // of accounts: 0 comes first
	TrackedTimes    int                  // servers and classes whose times are remembered
	trustViews      bool                 // tests only: views are believed without bound
}

// DefaultSettings are settings for a name; budgets are those of a fleet of a few dozen data servers.
func DefaultSettings(name string, boot uint64, routers int) Settings {
	const ms = second / 1000
	return Settings{Name: name, Epoch: boot, Routers: routers, Budgets: [KindCount]float64{2000, 1000, 200, 100, 2000}, MaxShareFactor: 1.2, ServingShare: 0.5,
		RestartWindow: 15 * second, MaxWait: 250 * ms, StageTimeouts: [Serving]clock.Nanos{300 * ms, 200 * ms, 500 * ms, 3000 * ms}, MaxTickGap: 500 * ms, MinSuccesses: 3, RampStep: 250 * ms,
		RampQuiet: 500 * ms, RetryRatio: 0.15, MinRetryRate: 10, RetryAfterRange: [2]clock.Nanos{50 * ms, 3000 * ms}, PriorityClasses: 1, TrackedTimes: 4096}
}

// SettingError is a field that can't be gone by.
type SettingError struct{ Field string }

// Error says what failed, and what was done instead where that is not plain.
func (e *SettingError) Error() string {
	return fmt.Sprintf("recovery: %s: missing or out of range: not started", e.Field)
}

// Kind is the error's, for counting.
func (*SettingError) Kind() string { return "recovery-setting" }

// Hint is what to do.
func (e *SettingError) Hint() string {
	return "correct " + e.Field + " in the settings' part recovery, or leave it out for its default"
}

func (s *Settings) check() error {
	var errs []error
	want := func(ok bool, field string) {
		if !ok {
			errs = append(errs, &SettingError{field})
		}
	}
	want(s.Name != "" && s.Routers >= 1, "Name, Routers")
	want(s.MaxShareFactor >= 1 && s.MaxShareFactor <= 4, "Slack")
	want(s.ServingShare >= 0 && s.ServingShare <= 1, "Keep")
	for k, b := range s.Budgets {
		want(b >= 0 && b <= 1e7, "Budgets: "+Kind(k).String())
	}
	for i, b := range s.StageTimeouts {
		want(b > 0 && b <= 60*second, "Bounds: "+Stage(i).String())
	}
	want(min(s.RestartWindow, s.MaxWait, s.MaxTickGap, s.RampStep, s.RampQuiet) > 0, "Together, Longest, Pause, Step, Calm")
	want(s.MinSuccesses > 0 && s.PriorityClasses > 0 && s.TrackedTimes > 0, "Proofs, Lanes, Places")
	want(s.RetryRatio >= 0 && s.RetryRatio < 0.2 && s.MinRetryRate >= 0, "Ratio, Floor")
	want(s.RetryAfterRange[0] > 0 && s.RetryAfterRange[1] >= s.RetryAfterRange[0], "Returns")
	return errors.Join(errs...)
}

// Peer is another router as membership sees it.
type Peer struct {
	Name          string
	Epoch         uint64 // a wall clock's at its start, in nanoseconds: it may be wrong, and then costs speed within Slack, nothing else
	Alive         bool   // alive or suspect
	HeardDirectly bool   // this router has heard it itself
}

// Attempt is a send that the module wants.
type Attempt struct {
	Server  uint32
	Class   int
	IsRetry bool        // the request had an attempt before
	Until   clock.Nanos // an answer after this is worth nothing
}

// Report is what operators read.
type Report struct {
	Stage     string           `json:"stage"`
	SinceMS   int64            `json:"since_ms"`  // its start
	Returning int              `json:"returning"` // routers that come back together, this one too; all, where it is not known
	Part      float64          `json:"part"`      // of each budget
	Proven    bool             `json:"proven"`    // the present stage was reached by proof, not because the bound of the one before was over
	Denied    map[string]int64 `json:"denied"`    // by reason
}
