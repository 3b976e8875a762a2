// Package experiment runs experiments: routers as real processes before stand-ins, a
// load, what goes wrong and when, and checks on what was seen at both ends. An
// experiment is a file under deploy/lab; its arms play the same with something
// changed, one after the other.
package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/emulator"
	"lotushook/internal/faultinject"
	"lotushook/internal/strictjson"
)

// Experiment is the file. Names tie its parts together: an arm plays some loads
// and floods, and a check reads "arm.part.metric".
type Experiment struct {
	Name            string              `json:"name"`
	About           string              `json:"about"`
	Seconds         float64             `json:"seconds"`  // that each arm is measured for
	Settle          float64             `json:"settle"`   // seconds before that
	Platform        jsoniter.RawMessage `json:"platform"` // the settings object of the routers' configuration
	Classes         map[string]Class    `json:"classes"`
	Fleet           Fleet               `json:"fleet"`
	Routers         Routers             `json:"routers"`
	Loads           []Load              `json:"loads"`
	Readers         []Readers           `json:"readers"`
	Floods          []Flood             `json:"floods"`
	PriorityClasses []string            `json:"lanes"` // the best first, where requests are held against each other by lane: a part "lanes" of the figures
	Arms            []Arm               `json:"arms"`
	Checks          []Check             `json:"checks"`
	Soak            *Soak               `json:"soak"` // an experiment of restarts: it has no arms, loads or checks; none: it is not one
}

// Class is a class of requests as clients and data servers see it.
type Class struct {
	Read    string    `json:"read"` // "bounded", "session", "write" or "feed"
	BoundMS float64   `json:"bound_ms"`
	AimMS   float64   `json:"aim_ms"`
	WaitMS  float64   `json:"wait_ms"` // a client gives up after it
	Worth   float64   `json:"worth"`
	WorkMS  []float64 `json:"work_ms"` // least and most
}

// Fleet is the data servers.
type Fleet struct {
	Groups     int      `json:"groups"`
	Members    int      `json:"members"`
	Cores      int      `json:"cores"`
	Queue      int      `json:"queue"`
	ShipMS     float64  `json:"ship_ms"`
	ApplyMS    float64  `json:"apply_ms"`
	ColdShare  float64  `json:"cold_share"`
	RampS      float64  `json:"ramp_s"`
	TakeoverMS float64  `json:"takeover_ms"`
	Retain     int      `json:"retain"` // events of a group's log that can be read; 0: there is no log
	Halls      []string `json:"halls"`
}

// Routers is the processes.
type Routers struct {
	Count    int                 `json:"count"`
	Cores    float64             `json:"cores"`
	MemoryMB int64               `json:"memory_mb"`
	Sockets  int                 `json:"sockets"`
	NoticeMS float64             `json:"notice_ms"` // until the front notices that one is dead
	Own      jsoniter.RawMessage `json:"own"`       // their own settings; none: started without
	Members  jsoniter.RawMessage `json:"members"`   // their part "members" but for who and where they are: this switches it on, over links that faults can be put on
}

// Load is clients that behave.
type Load struct {
	Name    string             `json:"name"`
	Clients int                `json:"clients"`
	PerS    float64            `json:"per_s"` // requests that come by themselves; 0: each client asks again once it is answered
	Address string             `json:"address"`
	User    string             `json:"user"`
	Fresh   float64            `json:"fresh"` // share of the clients that connect anew for each request
	Mix     map[string]float64 `json:"mix"`
	Repeats int                `json:"repeats"`  // of one that was refused, at once, marked as the client's own
	Direct  bool               `json:"direct"`   // straight to data servers
	Forget  bool               `json:"forget"`   // sessions that don't bring their last commit: who saw it must know
	PauseMS float64            `json:"pause_ms"` // between an answer and the next request
	FromS   float64            `json:"from_s"`
	ToS     float64            `json:"to_s"` // 0: the end

	Lane      string    `json:"lane"`      // of its accounts, where the experiment has lanes
	Elsewhere bool      `json:"elsewhere"` // a client that was refused connects anew, and so to another router
	Skew      []float64 `json:"skew"`      // shares of its connections that the routers get, from the first on; none: even
}

// Readers are subscribers of feeds: each follows one group's for the whole time, wherever the front sends it.
type Readers struct {
	Name        string  `json:"name"`
	Subscribers int     `json:"subscribers"`
	Class       string  `json:"class"`
	Groups      int     `json:"groups"` // they are spread over so many; 0: all
	Carry       bool    `json:"carry"`  // they bring their cursors
	Twice       bool    `json:"twice"`  // each connects once more, as the same subscriber, now and then
	Future      float64 `json:"future"` // share of the requests whose cursor is of the future
	Address     string  `json:"address"`
	FromS       float64 `json:"from_s"`
}

// Flood is connections that do not behave.
type Flood struct {
	Name        string  `json:"name"`
	Connections int     `json:"connections"` // at a time
	Address     string  `json:"address"`
	Says        string  `json:"says"`     // "nothing", "half" a startup message, or "startup" and nothing more
	PauseMS     float64 `json:"pause_ms"` // after each end, before the next: from half of it to half as much again
	FromS       float64 `json:"from_s"`
	ToS         float64 `json:"to_s"`
}

// Event is what goes wrong, seconds after the measuring began.
type Event struct {
	AtS    float64             `json:"at_s"`
	Do     string              `json:"do"`     // kill, stop, start, reload, pause, resume, throttle or free a router; link; kill, restart, drain, promote, slow or burden a server, or set its group's clock; Server "*": all
	Router int                 `json:"router"` // by number, from 0
	Server string              `json:"server"`
	Lose   int                 `json:"lose"`   // kill: events that the next take-over loses beside what replicas lack
	BackS  float64             `json:"back_s"` // clock: the group's clock is set back by so much
	Times  float64             `json:"times"`  // slow, burden: so many times; throttle: such a share of its time
	From   []int               `json:"from"`   // link: between which routers; none: all
	To     []int               `json:"to"`
	Link   faultinject.Link    `json:"link"`
	Own    jsoniter.RawMessage `json:"own"` // reload: the new settings
}

// Arm is one way of playing it.
type Arm struct {
	Name    string               `json:"name"`
	Loads   []string             `json:"loads"`  // none: all
	Floods  []string             `json:"floods"` // none: none
	Events  []Event              `json:"events"`
	Own     jsoniter.RawMessage  `json:"own"`         // in place of the routers' own settings
	Members jsoniter.RawMessage  `json:"members"`     // in place of the routers'; null: off
	Ulimit  int                  `json:"descriptors"` // that the system really grants a router; 0: as many as it is told
	Skew    map[string][]float64 `json:"skew"`        // of loads, in place of theirs
	Build   string               `json:"build"`       // another build of the router, by path; none: the one beside this program
}

// Check compares a value, or its ratio to another, with a bound.
type Check struct {
	Name  string   `json:"name"`
	Value string   `json:"value"`
	Over  string   `json:"over"` // divide by this
	Min   *float64 `json:"min"`
	Max   *float64 `json:"max"`
}

// Parse reads an experiment from JSON and checks it.
func Parse(raw []byte) (*Experiment, error) {
	e := &Experiment{}
	if err := strictjson.Unmarshal(raw, e); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	check := e.check
	if e.Soak != nil {
		check = e.checkSoak
	}
	if err := check(); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", e.Name, err)
	}
	return e, nil
}

//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (e *Experiment) check() error {
	parts := map[string]bool{"routers": true, "servers": true, "members": true, "sends": true, "lanes": len(e.PriorityClasses) > 0}
	for _, l := range e.Loads {
		parts[l.Name] = true
		switch {
		case l.Name == "" || strings.Contains(l.Name, "."):
			return errors.New("loads: one has no name, or a dot in it")
		case l.Clients < 1:
			return fmt.Errorf("loads: %s: clients: %d", l.Name, l.Clients)
		case len(l.Mix) == 0:
			return fmt.Errorf("loads: %s: mix: empty", l.Name)
		}
		for c := range l.Mix {
			if _, ok := e.Classes[c]; !ok {
				return fmt.Errorf("loads: %s: mix: no class %q", l.Name, c)
			}
		}
	}
	for _, r := range e.Readers {
		parts[r.Name] = true
		if c, ok := e.Classes[r.Class]; r.Name == "" || r.Subscribers < 1 || !ok || c.Read != "feed" || e.Fleet.Retain < 1 {
			return fmt.Errorf("readers: %q: subscribers %d of class %q; wanted: a class of read feed, and a fleet with retain", r.Name, r.Subscribers, r.Class)
		}
	}
	for _, f := range e.Floods {
		parts[f.Name] = true
		if f.Connections < 1 || f.Says != "nothing" && f.Says != "half" && f.Says != "startup" {
			return fmt.Errorf("floods: %s: connections %d, says %q", f.Name, f.Connections, f.Says)
		}
	}
	for name, c := range e.Classes {
		if len(c.WorkMS) != 2 || c.WorkMS[0] > c.WorkMS[1] || c.WaitMS <= 0 {
			return fmt.Errorf("classes: %s: work_ms wants the least and the most, wait_ms is above 0", name)
		}
	}
	switch f := e.Fleet; {
	case e.Name == "" || e.Seconds <= 0:
		return errors.New("name or seconds: missing")
	case f.Groups < 1 || f.Members < 1 || f.Cores < 1:
		return errors.New("fleet: groups, members and cores are above 0")
	case e.Routers.Count < 1 || len(e.Arms) == 0 || len(e.Checks) == 0:
		return errors.New("routers.count, arms or checks: missing")
	}
	arms := map[string]bool{}
	for _, a := range e.Arms {
		arms[a.Name] = true
		for _, n := range append(append([]string{}, a.Loads...), a.Floods...) {
			if !parts[n] {
				return fmt.Errorf("arms: %s: no load or flood %q", a.Name, n)
			}
		}
		for _, v := range a.Events {
			switch {
			case v.Do == "link":
				for _, i := range append(append([]int{}, v.From...), v.To...) {
					if i < 0 || i >= e.Routers.Count {
						return fmt.Errorf("arms: %s: events: no router %d", a.Name, i)
					}
				}
			case slices.Contains([]string{"stop", "start", "reload", "pause", "resume", "throttle", "free"}, v.Do), v.Do == "kill" && v.Server == "":
				if v.Do == "throttle" && !(v.Times > 0 && v.Times < 1) {
					return fmt.Errorf("arms: %s: events: throttle: times is between 0 and 1", a.Name)
				}
				if v.Router < 0 || v.Router >= e.Routers.Count {
					return fmt.Errorf("arms: %s: events: no router %d", a.Name, v.Router)
				}
			case slices.Contains([]string{"kill", "restart", "drain", "promote", "slow", "clock", "burden"}, v.Do):
			default:
				return fmt.Errorf("arms: %s: events: %q can't be done", a.Name, v.Do)
			}
		}
	}
	for _, c := range e.Checks {
		if (c.Min == nil) == (c.Max == nil) {
			return fmt.Errorf("checks: %s: one bound wanted, min or max", c.Name)
		}
		for _, v := range []string{c.Value, c.Over} {
			f := strings.Split(v, ".")
			if v != "" && (len(f) != 3 || !arms[f[0]] || !parts[f[1]]) {
				return fmt.Errorf("checks: %s: %q is not arm.part.metric", c.Name, v)
			}
		}
	}
	return nil
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
func s(v float64) time.Duration  { return time.Duration(v * float64(time.Second)) }

// fleet is the description that the stand-ins take.
func (e *Experiment) fleet(seed uint64) *emulator.Fleet {
	f := &emulator.Fleet{Note: len(e.PriorityClasses) > 0, Groups: e.Fleet.Groups, Members: e.Fleet.Members, Cores: e.Fleet.Cores, Queue: e.Fleet.Queue,
		Ship: ms(e.Fleet.ShipMS), Apply: ms(e.Fleet.ApplyMS), ColdShare: e.Fleet.ColdShare, Ramp: s(e.Fleet.RampS),
		Takeover: ms(e.Fleet.TakeoverMS), Zones: e.Fleet.Halls, Retain: e.Fleet.Retain, Seed: seed, Classes: map[string]emulator.Class{}}
	for name, c := range e.Classes {
		f.Classes[name] = emulator.Class{Write: c.Read == "write", Session: c.Read == "session", Feed: c.Read == "feed", Bound: ms(c.BoundMS),
			Work: [2]time.Duration{ms(c.WorkMS[0]), ms(c.WorkMS[1])}}
	}
	return f
}
