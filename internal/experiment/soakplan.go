package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	jsoniter "github.com/json-iterator/go"
)

// Soak describes an experiment in which routers restart again and again under continuous load. The seed determines all
// faults. An audit then checks the records of clients, data servers and routers against the rules.
type Soak struct {
	Seconds  float64       `json:"seconds"` // duration of the faults and the load
	Clients  int           `json:"clients"` // number of clients for each router
	Profiles []SoakProfile `json:"profiles"`
}

// SoakProfile is one set of settings; the seed selects the one that is used.
type SoakProfile struct {
	Name     string              `json:"name"`
	Platform jsoniter.RawMessage `json:"platform"`
	Classes  map[string]Class    `json:"classes"`
}

// SoakPlan is the schedule that a seed determines. Every run of a plan causes the same faults, but the exact
// interleaving depends on the machine.
type SoakPlan struct {
	Seed      uint64     `json:"seed"`
	Profile   int        `json:"profile"`
	Routers   int        `json:"routers"`
	IdleCrowd bool       `json:"crowd"` // idle clients occupy the descriptors of the routers
	Steps     []SoakStep `json:"steps"`
}

// SoakAction is the action of a step.
type SoakAction string

// The actions.
const (
	soakRestart          SoakAction = "restart" // SIGTERM, SIGKILL at the earliest time that the documentation allows, and a new start after the end
	soakReload           SoakAction = "reload"  // several SIGHUPs
	soakAbort            SoakAction = "abort"   // a restart whose new process gets SIGTERM while it starts, and is started again
	soakHang             SoakAction = "hang"
	soakDrain            SoakAction = "drain" // the server drains, is killed, and restarts cold
	soakReset            SoakAction = "reset"
	soakCloseIdle        SoakAction = "close-idle"
	soakDelayConnections SoakAction = "late-connections"
	soakMuteWatches      SoakAction = "mute-watches"
	soakDiscoveryAway    SoakAction = "discovery-away"
)

// SoakStep is an action at a time.
type SoakStep struct {
	AtMS    int          `json:"at_ms"`
	Do      SoakAction   `json:"do"`
	Router  int          `json:"router"`
	Server  int          `json:"server"`
	ForMS   int          `json:"for_ms"`
	Signals []SoakSignal `json:"signals,omitempty"`
}

// SoakSignal is a signal at a time after the step begins: SIGTERM or SIGHUP.
type SoakSignal struct {
	AfterMS int      `json:"after_ms"`
	Term    bool     `json:"term"`
	File    SoakFile `json:"file,omitempty"` // state of the configuration file at a SIGHUP
}

// SoakFile is the state of a configuration file.
type SoakFile string

// The states.
const (
	soakUnchanged SoakFile = "same"
	soakMoved     SoakFile = "moved" // the file names the second address of the discovery agent
	soakBroken    SoakFile = "broken"
)

func (step SoakStep) String() string {
	return fmt.Sprintf("%d ms: %s, router %d, server %d, for %d ms, %v", step.AtMS, step.Do, step.Router, step.Server, step.ForMS, step.Signals)
}

// drawSoak draws a plan from a seed.
func drawSoak(soak *Soak, servers int, seed uint64) *SoakPlan {
	rng := rand.New(rand.NewPCG(seed, 7))
	plan := &SoakPlan{Seed: seed, Profile: rng.IntN(len(soak.Profiles)), Routers: 2 + rng.IntN(2), IdleCrowd: rng.IntN(4) == 0}
	end := int(1000 * soak.Seconds)
	for at := 200 + rng.IntN(400); at < end; {
		router := rng.IntN(plan.Routers)
		plan.Steps = append(plan.Steps, drawRouterStep(rng, at, router))
		if rng.IntN(4) == 0 { // two routers at once
			plan.Steps = append(plan.Steps, drawRouterStep(rng, at, (router+1)%plan.Routers))
		}
		at += 300 + rng.IntN(1200)
	}
	for at := rng.IntN(600); at < end; at += 150 + rng.IntN(900) {
		plan.Steps = append(plan.Steps, drawServerStep(rng, at, servers))
	}
	if rng.IntN(2) == 0 {
		step := SoakStep{AtMS: rng.IntN(end), Do: soakMuteWatches, ForMS: 500 + rng.IntN(4000)}
		if rng.IntN(2) == 0 {
			step.Do = soakDiscoveryAway
		}
		plan.Steps = append(plan.Steps, step)
	}
	slices.SortStableFunc(plan.Steps, func(x, y SoakStep) int { return x.AtMS - y.AtMS })
	return plan
}

func drawRouterStep(rng *rand.Rand, at, router int) SoakStep {
	step := SoakStep{AtMS: at, Router: router, Do: soakRestart, ForMS: rng.IntN(300)} // between the end of the process and the next start
	hups := func(count, within int) {
		for range count {
			step.Signals = append(step.Signals, SoakSignal{AfterMS: rng.IntN(within + 1), File: []SoakFile{soakUnchanged, soakMoved, soakBroken}[rng.IntN(3)]})
		}
	}
	term := func(after int) { step.Signals = append(step.Signals, SoakSignal{AfterMS: after, Term: true}) }
	switch rng.IntN(6) {
	case 0:
		step.Do = soakReload
		hups(2+rng.IntN(3), 200)
	case 1: // SIGHUP and SIGTERM, in either order
		hups(1, 50)
		term(rng.IntN(51))
	case 2: // SIGTERM twice
		term(0)
		term(rng.IntN(600))
	case 3:
		step.Do = soakAbort
		term(0)
		step.ForMS = rng.IntN(200) // until the new process gets SIGTERM
	default:
		term(0)
	}
	slices.SortStableFunc(step.Signals, func(x, y SoakSignal) int { return x.AfterMS - y.AfterMS })
	return step
}

func drawServerStep(rng *rand.Rand, at, servers int) SoakStep {
	actions := []SoakAction{soakHang, soakHang, soakDrain, soakReset, soakCloseIdle, soakDelayConnections}
	return SoakStep{AtMS: at, Do: actions[rng.IntN(len(actions))], Server: rng.IntN(servers), ForMS: 200 + rng.IntN(2500)}
}

// checkSoak validates an experiment that is a soak.
func (experiment *Experiment) checkSoak() error {
	switch {
	case experiment.Soak.Seconds <= 0 || experiment.Soak.Clients < 1 || len(experiment.Soak.Profiles) == 0:
		return errors.New("soak: seconds, clients and profiles are required")
	case experiment.Fleet.Groups < 1 || experiment.Fleet.Members < 2 || experiment.Fleet.Cores < 1:
		return errors.New("soak: fleet: groups and cores must be above 0, members above 1")
	case len(experiment.Arms)+len(experiment.Loads)+len(experiment.Checks) > 0:
		return errors.New("soak: arms, loads and checks are not allowed")
	}
	for _, profile := range experiment.Soak.Profiles {
		for name, class := range profile.Classes {
			if len(class.WorkMS) != 2 || class.TimeoutMS <= 0 {
				return fmt.Errorf("soak: profile %s: class %s: work_ms and wait_ms are required", profile.Name, name)
			}
		}
	}
	return nil
}
