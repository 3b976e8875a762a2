// Package recovery decides what a router may do while it, or others with it, restart: by stages, each with a proof that ends it
// and a timeout, and by budgets that all routers share without a leader. It bounds retries by successes, says
// which requests can't be answered in time any more, and when a rejected client may return.
// It takes events and the time. Which routers are alive (policy/membership), where a request goes (policy/balance) and how anything is
// sent are not decided here.
package recovery

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

const second clock.Nanos = 1e9

// Stage is a stage of the recovery. Within one start it only rises.
type Stage uint8

// The stages.
const (
	Starting Stage = iota // only configuration is known: list calls and catch-up alone
	Restored              // it has a list and the replicated state: dials and probes; it waits to learn which routers return with it
	Proving               // a few sends, whose answers confirm the state
	Ramping               // its share of the first sends, then more as answers come
	Serving               // all that the decision module wants; budgets apply to the rest
	StageCount
)

var stageNames = [...]string{"empty", "fed", "proving", "ramping", "serving"}

// String is the stage's name in logs.
func (s Stage) String() string { return stageNames[s] }

// Kind is the kind of an action with a budget.
type Kind uint8

// The kinds.
const (
	Dial     Kind = iota // a new connection to a data server
	Probe                // of a data server, beside its requests
	ListCall             // to discovery
	CatchUp              // a piece of replicated state from a peer
	Send                 // a request, while this router does not serve yet
	KindCount
)

var kindNames = [...]string{"dial", "probe", "list", "catch-up", "send"}

// String is the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

// Reason says why an action may not be done now.
type Reason uint8

// The reasons.
const (
	Allowed      Reason = iota // permitted
	TooEarly                   // not in this stage
	OverBudget                 // this router's share of the budget is used up
	RetryLimited               // too many retries for the recent successes
	TooLate                    // an answer can't be in time any more
	ReasonCount
)

var reasonNames = [...]string{"free", "early", "budget", "again", "late"}

// String is the reason's name in logs and rejections.
func (r Reason) String() string { return reasonNames[r] }

// Settings are the settings of one router; all of an installation have the same but for Name, Epoch and CanCatchUp.
type Settings struct {
	Name       string
	Epoch      uint64 // greater at each start
	Routers    int    // of the installation, present or not
	CanCatchUp bool   // peers or a copy on disk may supply the state; without, a list alone ends Starting
	SeesPeers  bool   // other routers can be seen; without, none is waited for in Restored, and all count as returning

	Budgets                 [KindCount]float64   // a second, over all routers; 0: not limited
	MaxShareFactor          float64              // what all together may spend of a budget, however wrong their views are: from 1 to 4
	ServingShare            float64              // from 0 to 1: of its even share, what a serving router spends while others return
	RestartWindow           clock.Nanos          // starts within it are one return
	MaxWait                 clock.Nanos          // an action whose slot is later is denied instead
	StageTimeouts           [Serving]clock.Nanos // the longest stay in each stage
	MaxTickGap              clock.Nanos          // a longer gap between calls means that this router was paused: no timeout counts it
	MinSuccesses            int                  // answers that end Proving
	RampStep                clock.Nanos          // after the first second a ramp doubles in each, while answers come
	RampQuiet               clock.Nanos          // the ramp is over after so long without a denied send
	RetryRatio              float64              // retries for each success of the last second
	MinRetryRate            float64              // retries a second, over all routers, that need no success
	RetryAfterRange         [2]clock.Nanos       // the shortest and the longest Retry-After time
	PriorityClasses         int                  // of accounts: 0 is the best
	MaxTrackedResponseTimes int                  // servers and classes whose times are remembered
	trustViews              bool                 // tests only: views are trusted without bound
}

// DefaultSettings are settings for a name; budgets are those of a fleet of a few dozen data servers.
func DefaultSettings(name string, boot uint64, routers int) Settings {
	const ms = second / 1000
	return Settings{Name: name, Epoch: boot, Routers: routers, Budgets: [KindCount]float64{2000, 1000, 200, 100, 2000}, MaxShareFactor: 1.2, ServingShare: 0.5,
		RestartWindow: 15 * second, MaxWait: 250 * ms, StageTimeouts: [Serving]clock.Nanos{300 * ms, 200 * ms, 500 * ms, 3000 * ms}, MaxTickGap: 500 * ms, MinSuccesses: 3, RampStep: 250 * ms,
		RampQuiet: 500 * ms, RetryRatio: 0.15, MinRetryRate: 10, RetryAfterRange: [2]clock.Nanos{50 * ms, 3000 * ms}, PriorityClasses: 1, MaxTrackedResponseTimes: 4096}
}

// SettingError is an invalid field.
type SettingError struct{ Field string }

// Error implements the error interface.
func (e *SettingError) Error() string {
	return fmt.Sprintf("recovery: %s: missing or out of range: not started", e.Field)
}

// Kind is the error's, for counting.
func (*SettingError) Kind() string { return "recovery-setting" }

// Hint is for operators.
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
	want(s.MinSuccesses > 0 && s.PriorityClasses > 0 && s.MaxTrackedResponseTimes > 0, "Proofs, Lanes, Places")
	want(s.RetryRatio >= 0 && s.RetryRatio < 0.2 && s.MinRetryRate >= 0, "Ratio, Floor")
	want(s.RetryAfterRange[0] > 0 && s.RetryAfterRange[1] >= s.RetryAfterRange[0], "Returns")
	return errors.Join(errs...)
}

// Peer is another router as membership sees it.
type Peer struct {
	Name          string
	Epoch         uint64 // the wall clock at its start, in nanoseconds: it may be wrong, and then costs speed within MaxShareFactor, nothing else
	Alive         bool   // alive or suspect
	HeardDirectly bool   // this router has heard it directly
}

// Attempt is a send that the decision module wants.
type Attempt struct {
	Server   uint32
	Class    int
	IsRetry  bool        // the request had an attempt before
	Deadline clock.Nanos // an answer after this is useless
}

// Report is the operators' report.
type Report struct {
	Stage     string           `json:"stage"`
	SinceMS   int64            `json:"since_ms"`  // its start
	Returning int              `json:"returning"` // routers that return together, this one included; all, where it is not known
	Share     float64          `json:"part"`      // of each budget
	Proven    bool             `json:"proven"`    // the present stage was reached by proof, not by the timeout of the one before
	Denied    map[string]int64 `json:"denied"`    // by reason
}
