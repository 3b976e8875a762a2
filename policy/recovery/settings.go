// Package recovery decides what a router may do while it restarts, alone or with other routers. It passes through
// stages, each of which ends by a proof or a timeout, and stays within budgets that all routers share without a leader.
// It also limits retries in proportion to successes, detects requests that can't be answered before their deadline, and
// decides when a rejected client may retry.
//
// Its inputs are events and the time. It decides neither which routers are alive (policy/membership) nor which endpoint
// a request is sent to (policy/balance), and sends nothing itself.
package recovery

import (
	"errors"
	"fmt"

	"lotushook/policy/clock"
)

const second clock.Nanos = 1e9

// Stage is a stage of the recovery. It never decreases while a process runs.
type Stage uint8

// The stages of a recovery.
const (
	Starting Stage = iota // only the configuration is known; list calls and catch-up are permitted
	Restored              // list and state are present; dials and probes are permitted until the peers are seen
	Proving               // a few sends are permitted, whose answers confirm the state
	Ramping               // sends within this router's share of the budget, which grows while attempts succeed
	Serving               // sends are not limited; the other budgets still apply
	StageCount
)

var stageNames = [...]string{"empty", "fed", "proving", "ramping", "serving"}

// String returns the stage's name in logs.
func (s Stage) String() string { return stageNames[s] }

// Kind is the kind of an action with a budget.
type Kind uint8

// The kinds of actions.
const (
	Dial     Kind = iota // open a connection to a data server
	Probe                // probe a data server
	ListCall             // request the endpoint list from discovery
	CatchUp              // request a part of the replicated state from a peer
	Send                 // send an attempt before the stage Serving
	KindCount
)

var kindNames = [...]string{"dial", "probe", "list", "catch-up", "send"}

// String returns the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

// Reason says why an action is permitted or denied.
type Reason uint8

// The reasons for a decision.
const (
	Allowed      Reason = iota // the action is permitted
	TooEarly                   // the stage does not permit the action
	OverBudget                 // this router's share of the budget is used up
	RetryLimited               // there are too many retries for the recent successes
	TooLate                    // no answer can be expected before the deadline
	ReasonCount
)

var reasonNames = [...]string{"free", "early", "budget", "again", "late"}

// String returns the reason's name in logs and rejections.
func (r Reason) String() string { return reasonNames[r] }

// Settings are the settings of one router. All routers of an installation have the same settings except for Name, Epoch
// and CanCatchUp.
type Settings struct {
	Name       string
	Epoch      uint64 // greater at each start
	Routers    int    // configured routers of the installation, present or not
	CanCatchUp bool   // peers or a copy on disk may supply the state; otherwise an endpoint list ends Starting
	SeesPeers  bool   // other routers can be seen; otherwise Restored waits for none, and all count as returning

	Budgets                 [KindCount]float64   // per second, over all routers; 0: not limited
	MaxShareFactor          float64              // bound on the sum of all shares of a budget, from 1 to 4
	ServingShare            float64              // used fraction of a serving router's even share while others return
	RestartWindow           clock.Nanos          // routers that start within it of each other return together
	MaxWait                 clock.Nanos          // an action whose slot is further away is denied
	StageTimeouts           [Serving]clock.Nanos // maximum duration of each stage
	MaxTickGap              clock.Nanos          // a longer gap between calls is a pause and counts for no timeout
	MinSuccesses            int                  // successful attempts that end Proving
	RampStep                clock.Nanos          // time between two doublings of the ramp, after its first second
	RampQuiet               clock.Nanos          // Ramping ends after this time without a denied send
	RetryRatio              float64              // retries per success of the last second
	MinRetryRate            float64              // retries per second, over all routers, that need no success
	RetryAfterRange         [2]clock.Nanos       // minimum and maximum Retry-After time
	PriorityClasses         int                  // number of priority classes of accounts; class 0 is the best
	MaxTrackedResponseTimes int                  // pairs of a server and a class whose response times are tracked
	trustViews              bool                 // for tests: don't bound the shares by MaxShareFactor
}

// DefaultSettings returns settings with budgets for a few dozen data servers.
func DefaultSettings(name string, epoch uint64, routers int) Settings {
	const ms = second / 1000
	return Settings{Name: name, Epoch: epoch, Routers: routers, Budgets: [KindCount]float64{2000, 1000, 200, 100, 2000}, MaxShareFactor: 1.2, ServingShare: 0.5,
		RestartWindow: 15 * second, MaxWait: 250 * ms, StageTimeouts: [Serving]clock.Nanos{300 * ms, 200 * ms, 500 * ms, 3000 * ms}, MaxTickGap: 500 * ms, MinSuccesses: 3, RampStep: 250 * ms,
		RampQuiet: 500 * ms, RetryRatio: 0.15, MinRetryRate: 10, RetryAfterRange: [2]clock.Nanos{50 * ms, 3000 * ms}, PriorityClasses: 1, MaxTrackedResponseTimes: 4096}
}

// SettingError reports settings that are missing or out of range.
type SettingError struct{ Field string }

// Error implements the error interface.
func (err *SettingError) Error() string {
	return fmt.Sprintf("recovery: %s: missing or out of range: not started", err.Field)
}

// Kind returns the kind under which this error is counted.
func (*SettingError) Kind() string { return "recovery-setting" }

// Hint tells operators how to correct the error.
func (err *SettingError) Hint() string {
	return "correct " + err.Field + " in the settings' part recovery, or leave it out for its default"
}

func (s *Settings) validate() error {
	var errs []error
	require := func(ok bool, field string) {
		if !ok {
			errs = append(errs, &SettingError{field})
		}
	}
	require(s.Name != "" && s.Routers >= 1, "Name, Routers")
	require(s.MaxShareFactor >= 1 && s.MaxShareFactor <= 4, "Slack")
	require(s.ServingShare >= 0 && s.ServingShare <= 1, "Keep")
	for kind, value := range s.Budgets {
		require(value >= 0 && value <= 1e7, "Budgets: "+Kind(kind).String())
	}
	for stage, value := range s.StageTimeouts {
		require(value > 0 && value <= 60*second, "Bounds: "+Stage(stage).String())
	}
	require(min(s.RestartWindow, s.MaxWait, s.MaxTickGap, s.RampStep, s.RampQuiet) > 0, "Together, Longest, Pause, Step, Calm")
	require(s.MinSuccesses > 0 && s.PriorityClasses > 0 && s.MaxTrackedResponseTimes > 0, "Proofs, Lanes, Places")
	require(s.RetryRatio >= 0 && s.RetryRatio < 0.2 && s.MinRetryRate >= 0, "Ratio, Floor")
	require(s.RetryAfterRange[0] > 0 && s.RetryAfterRange[1] >= s.RetryAfterRange[0], "Returns")
	return errors.Join(errs...)
}

// Peer is another router as membership sees it.
type Peer struct {
	Name          string
	Epoch         uint64 // wall clock at its start, in ns; if wrong, it only costs speed, within MaxShareFactor
	Alive         bool   // alive or suspect
	HeardDirectly bool   // this router has received a message from it directly
}

// Attempt is an attempt that the decision module is about to send.
type Attempt struct {
	Server   uint32
	Class    int
	IsRetry  bool        // the request had an earlier attempt
	Deadline clock.Nanos // a later answer is useless
}

// Report is the report for operators.
type Report struct {
	Stage     string           `json:"stage"`
	SinceMS   int64            `json:"since_ms"`  // time since the stage started
	Returning int              `json:"returning"` // routers that return together, with this one; all if unknown
	Share     float64          `json:"part"`      // this router's share of each budget
	Proven    bool             `json:"proven"`    // the stage was reached by its predecessor's proof, not by a timeout
	Denied    map[string]int64 `json:"denied"`    // decisions by reason
}
