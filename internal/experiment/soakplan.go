package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	jsoniter "github.com/json-iterator/go"
)

// Soak is an experiment of another kind: routers that restart over and over under clients that go on, everything drawn from the
// seed, and an audit of the rules over the records of clients, data servers and routers.
type Soak struct {
	Seconds  float64       `json:"seconds"` // of faults
	Clients  int           `json:"clients"` // for each router
	Profiles []SoakProfile `json:"profiles"`
}

// SoakProfile is one set of settings; the seed draws which one is played.
type SoakProfile struct {
	Name     string              `json:"name"`
	Platform jsoniter.RawMessage `json:"platform"`
	Classes  map[string]Class    `json:"classes"`
}

// SoakPlan is what a seed has drawn. Two plays of one plan send the same faults; what meets in which order is the machine's.
type SoakPlan struct {
	Seed    uint64     `json:"seed"`
	Profile int        `json:"profile"`
	Routers int        `json:"routers"`
	Crowd   bool       `json:"crowd"` // idle clients fill the descriptors
	Steps   []SoakStep `json:"steps"`
}

// SoakAction is what one step does.
type SoakAction string

// The actions.
const (
	soakRestart SoakAction = "restart" // SIGTERM, SIGKILL at the earliest that the pages allow, and the next start right after the end
	soakReload  SoakAction = "reload"  // SIGHUP, several in a row
	soakAbort   SoakAction = "abort"   // a restart whose next process gets SIGTERM in its first moments, and is started again
	soakHang    SoakAction = "hang"
	soakDrain   SoakAction = "drain" // and back: killed, and restarted cold
	soakReset   SoakAction = "reset"
	soakIdle    SoakAction = "close-idle"
	soakLate    SoakAction = "late-connections"
	soakMute    SoakAction = "mute-watches"
	soakAway    SoakAction = "discovery-away"
)

// SoakStep is one of them, at a time.
type SoakStep struct {
	AtMS    int          `json:"at_ms"`
	Do      SoakAction   `json:"do"`
	Router  int          `json:"router"`
	Server  int          `json:"server"`
	ForMS   int          `json:"for_ms"`
	Signals []SoakSignal `json:"signals,omitempty"`
}

// SoakSignal is a signal so long after a step begins.
type SoakSignal struct {
	AfterMS int      `json:"after_ms"`
	Term    bool     `json:"term"`
	File    SoakFile `json:"file,omitempty"` // what the configuration is when SIGHUP comes
}

// SoakFile is the state of a configuration file.
type SoakFile string

// The states.
const (
	soakSame   SoakFile = "same"
	soakMoved  SoakFile = "moved" // discovery has another address
	soakBroken SoakFile = "broken"
)

func (s SoakStep) String() string {
	return fmt.Sprintf("%d ms: %s, router %d, server %d, for %d ms, %v", s.AtMS, s.Do, s.Router, s.Server, s.ForMS, s.Signals)
}

// drawSoak draws a plan.
func drawSoak(k *Soak, servers int, seed uint64) *SoakPlan {
	rng := rand.New(rand.NewPCG(seed, 7))
	p := &SoakPlan{Seed: seed, Profile: rng.IntN(len(k.Profiles)), Routers: 2 + rng.IntN(2), Crowd: rng.IntN(4) == 0}
	end := int(1000 * k.Seconds)
	for at := 200 + rng.IntN(400); at < end; {
		router := rng.IntN(p.Routers)
		p.Steps = append(p.Steps, drawRouterStep(rng, at, router))
		if rng.IntN(4) == 0 { // two at once
			p.Steps = append(p.Steps, drawRouterStep(rng, at, (router+1)%p.Routers))
		}
		at += 300 + rng.IntN(1200)
	}
	for at := rng.IntN(600); at < end; at += 150 + rng.IntN(900) {
		p.Steps = append(p.Steps, drawServerStep(rng, at, servers))
	}
	if rng.IntN(2) == 0 {
		step := SoakStep{AtMS: rng.IntN(end), Do: soakMute, ForMS: 500 + rng.IntN(4000)}
		if rng.IntN(2) == 0 {
			step.Do = soakAway
		}
		p.Steps = append(p.Steps, step)
	}
	slices.SortStableFunc(p.Steps, func(x, y SoakStep) int { return x.AtMS - y.AtMS })
	return p
}

func drawRouterStep(rng *rand.Rand, at, router int) SoakStep {
	s := SoakStep{AtMS: at, Router: router, Do: soakRestart, ForMS: rng.IntN(300)} // until the next start, after the end
	hups := func(n, within int) {
		for range n {
			s.Signals = append(s.Signals, SoakSignal{AfterMS: rng.IntN(within + 1), File: []SoakFile{soakSame, soakMoved, soakBroken}[rng.IntN(3)]})
		}
	}
	term := func(after int) { s.Signals = append(s.Signals, SoakSignal{AfterMS: after, Term: true}) }
	switch rng.IntN(6) {
	case 0:
		s.Do = soakReload
		hups(2+rng.IntN(3), 200)
	case 1: // SIGHUP, then SIGTERM, or the other way round
		hups(1, 50)
		term(rng.IntN(51))
	case 2: // twice
		term(0)
		term(rng.IntN(600))
	case 3:
		s.Do = soakAbort
		term(0)
		s.ForMS = rng.IntN(200) // of the next process's life
	default:
		term(0)
	}
	slices.SortStableFunc(s.Signals, func(x, y SoakSignal) int { return x.AfterMS - y.AfterMS })
	return s
}

func drawServerStep(rng *rand.Rand, at, servers int) SoakStep {
	actions := []SoakAction{soakHang, soakHang, soakDrain, soakReset, soakIdle, soakLate}
	return SoakStep{AtMS: at, Do: actions[rng.IntN(len(actions))], Server: rng.IntN(servers), ForMS: 200 + rng.IntN(2500)}
}

// checkSoak checks the file of a soak.
func (e *Experiment) checkSoak() error {
	switch {
	case e.Soak.Seconds <= 0 || e.Soak.Clients < 1 || len(e.Soak.Profiles) == 0:
		return errors.New("soak: seconds, clients and profiles are wanted")
	case e.Fleet.Groups < 1 || e.Fleet.Members < 2 || e.Fleet.Cores < 1:
		return errors.New("soak: fleet: groups and cores are above 0, members above 1")
	case len(e.Arms)+len(e.Loads)+len(e.Checks) > 0:
		return errors.New("soak: its load and checks are its own: arms, loads and checks are not taken")
	}
	for _, p := range e.Soak.Profiles {
		for name, c := range p.Classes {
			if len(c.WorkMS) != 2 || c.WaitMS <= 0 {
				return fmt.Errorf("soak: profile %s: class %s: work_ms and wait_ms are wanted", p.Name, name)
			}
		}
	}
	return nil
}
