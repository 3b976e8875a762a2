// Package recovery decides what a router may do while it restarts, alone or together with other routers. The router
// passes through stages. Each stage permits more actions than the one before, and ends by a proof, an event which shows
// that the router is ready for the next stage, or by a timeout. The actions stay within budgets that all routers share
// without a leader. A returning router is one that has restarted recently.
//
// The package also limits retries in proportion to successes, detects requests that can't be answered before their
// deadline, and decides when a rejected client may retry. Its inputs are events and the time. Which routers are alive
// is decided by policy/membership, and which endpoint a request is sent to by policy/balance.
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
	Starting Stage = iota // only the configuration is known; list calls and catch-up requests are permitted
	Restored              // endpoint list and replicated state are present; dials and probes are permitted, too
	Proving               // a few sends are permitted, too; their answers confirm the replicated state
	Ramping               // sends are permitted up to a rate that grows while attempts succeed
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

// Settings are the settings of one router. Only Name, Epoch and CanCatchUp may differ between the routers of an
// installation.
type Settings struct {
	Name       string
	Epoch      uint64 // greater at each start
	Routers    int    // configured routers of the installation, present or not
	CanCatchUp bool   // peers or a copy on disk may supply the state; if false, an endpoint list alone ends Starting
	SeesPeers  bool   // this router can see others; if false, Restored waits for none, and all count as returning

	Budgets                 [KindCount]float64   // per second, over all routers; 0: not limited
	MaxShareFactor          float64              // bound on the sum of all routers' shares of a budget, from 1 to 4
	ServingShare            float64              // fraction of its even share that it uses in Serving while others return
	RestartWindow           clock.Nanos          // routers that start within it of each other return together
	MaxWait                 clock.Nanos          // an action is denied if its slot is further away than this
	StageTimeouts           [Serving]clock.Nanos // maximum duration of each stage
	MaxTickGap              clock.Nanos          // a longer gap between calls is a pause and counts towards no timeout
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
	Epoch         uint64 // wall clock at its start, in ns; if wrong, recovery is slower, but MaxShareFactor holds
	Alive         bool   // alive or suspect
	HeardDirectly bool   // this router has received a message from it directly
}

// Attempt is an attempt that the decision module is about to send.
type Attempt struct {
	Server   uint32
	Class    int
	IsRetry  bool        // the request had an earlier attempt
	Deadline clock.Nanos // after it, an answer is useless
}

// Report is the report for operators.
type Report struct {
	Stage     string           `json:"stage"`
	SinceMS   int64            `json:"since_ms"`  // time since the stage started
	Returning int              `json:"returning"` // number of routers that return together, with this one; all if unknown
	Share     float64          `json:"part"`      // this router's share of each budget
	Proven    bool             `json:"proven"`    // the stage was reached by its predecessor's proof, not by a timeout
	Denied    map[string]int64 `json:"denied"`    // decisions by reason
}
