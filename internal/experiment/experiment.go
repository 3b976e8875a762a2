// Package experiment runs experiments on routers: real router processes in front of emulated data servers, with a load,
// scheduled faults, and checks on what clients and data servers observed. An experiment is a file under deploy/lab.
// Its arms run one after the other; each repeats the experiment with something changed.
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

// Experiment is the content of an experiment file. Its parts refer to each other by name: an arm runs some of the loads
// and floods, and a check reads "arm.part.metric".
type Experiment struct {
	Name            string              `json:"name"`
	About           string              `json:"about"`
	Seconds         float64             `json:"seconds"`  // how long each arm is measured
	Settle          float64             `json:"settle"`   // seconds of load before the measuring starts
	Platform        jsoniter.RawMessage `json:"platform"` // the settings object in the routers' configuration
	Classes         map[string]Class    `json:"classes"`
	Fleet           Fleet               `json:"fleet"`
	Routers         Routers             `json:"routers"`
	Loads           []Load              `json:"loads"`
	Readers         []Readers           `json:"readers"`
	Floods          []Flood             `json:"floods"`
	PriorityClasses []string            `json:"lanes"` // most important first; if given, shedding is audited and the metrics have a part "lanes"
	Arms            []Arm               `json:"arms"`
	Checks          []Check             `json:"checks"`
	Soak            *Soak               `json:"soak"` // makes this a soak of restarts, which has no arms, loads or checks; nil: an ordinary experiment
}

// Class is a class of requests: how clients make them and data servers process them.
type Class struct {
	Read        string    `json:"read"` // "bounded", "session", "write" or "feed"
	BoundMS     float64   `json:"bound_ms"`
	ObjectiveMS float64   `json:"aim_ms"`
	TimeoutMS   float64   `json:"wait_ms"` // a client gives up after this time
	Weight      float64   `json:"worth"`
	WorkMS      []float64 `json:"work_ms"` // min and max
}

// Fleet describes the emulated data servers.
type Fleet struct {
	Groups        int      `json:"groups"`
	Members       int      `json:"members"`
	Cores         int      `json:"cores"`
	Queue         int      `json:"queue"`
	ReplicationMS float64  `json:"ship_ms"`
	ApplyMS       float64  `json:"apply_ms"`
	ColdShare     float64  `json:"cold_share"`
	RampS         float64  `json:"ramp_s"`
	FailoverMS    float64  `json:"takeover_ms"`
	Retain        int      `json:"retain"` // number of events of a group's log that can be read; 0: no log
	Zones         []string `json:"halls"`
}

// Routers describes the router processes.
type Routers struct {
	Count          int                 `json:"count"`
	Cores          float64             `json:"cores"`
	MemoryMB       int64               `json:"memory_mb"`
	Sockets        int                 `json:"sockets"`
	DetectionMS    float64             `json:"notice_ms"` // how long the load balancer takes to notice that a router has died
	RouterSettings jsoniter.RawMessage `json:"own"`       // content of the routers' settings file; nil: no file
	Members        jsoniter.RawMessage `json:"members"`   // the "members" part of the settings, without names and addresses; if given, the routers form a cluster over links that can be faulted
}

// Load describes well-behaved clients.
type Load struct {
	Name           string             `json:"name"`
	Clients        int                `json:"clients"`
	PerS           float64            `json:"per_s"` // rate of requests that arrive independently of the answers; 0: each client sends its next request after an answer
	Address        string             `json:"address"`
	User           string             `json:"user"`
	ReconnectShare float64            `json:"fresh"` // share of the clients that open a new connection for each request
	Mix            map[string]float64 `json:"mix"`
	Retries        int                `json:"repeats"`  // immediate retries of a rejected request, marked as the client's own
	Direct         bool               `json:"direct"`   // clients connect to data servers, not to routers
	OmitPosition   bool               `json:"forget"`   // sessions omit the position of their last write, so the routers must remember it
	PauseMS        float64            `json:"pause_ms"` // pause between an answer and the next request
	FromS          float64            `json:"from_s"`
	ToS            float64            `json:"to_s"` // 0: until the end

	PriorityClass string    `json:"lane"`      // priority class of its accounts; "": not audited
	SwitchRouter  bool      `json:"elsewhere"` // a rejected client reconnects, possibly to another router
	Skew          []float64 `json:"skew"`      // share of the connections that goes to each router, by number; nil: even
}

// Readers describes subscribers of change feeds. Each follows the feed of one group throughout, through whichever
// router the load balancer chooses.
type Readers struct {
	Name        string  `json:"name"`
	Subscribers int     `json:"subscribers"`
	Class       string  `json:"class"`
	Groups      int     `json:"groups"` // number of groups that they are distributed over; 0: all
	SendCursor  bool    `json:"carry"`  // they send their cursors
	Reconnect   bool    `json:"twice"`  // each occasionally opens a second connection as the same subscriber
	FutureShare float64 `json:"future"` // share of the requests whose cursor lies in the future
	Address     string  `json:"address"`
	FromS       float64 `json:"from_s"`
}

// Flood describes misbehaving connections.
type Flood struct {
	Name        string  `json:"name"`
	Connections int     `json:"connections"` // open at a time
	Address     string  `json:"address"`
	Payload     string  `json:"says"`     // what a connection sends: "nothing", "half" (of a startup message) or "startup" (a startup message only)
	PauseMS     float64 `json:"pause_ms"` // mean pause before a closed connection is opened again; the actual one is 0.5 to 1.5 times as long
	FromS       float64 `json:"from_s"`
	ToS         float64 `json:"to_s"`
}

// Event is a fault, its end, or another change at a time after the measuring began.
type Event struct {
	AtS            float64             `json:"at_s"`
	Do             string              `json:"do"`     // router: kill, stop, start, reload, pause, resume, throttle, free; link; server: kill, restart, drain, promote, slow, burden, clock
	Router         int                 `json:"router"` // by number, from 0
	Server         string              `json:"server"` // "*": all
	LoseEvents     int                 `json:"lose"`   // kill: events that the next failover loses in addition to those that no replica has
	ClockBackS     float64             `json:"back_s"` // clock: how far the group's clock is set back
	Factor         float64             `json:"times"`  // slow, burden: factor of the time that work takes; throttle: share of the time that the router runs
	From           []int               `json:"from"`   // link: the sending and, in To, the receiving routers; nil: all
	To             []int               `json:"to"`
	Link           faultinject.Link    `json:"link"`
	RouterSettings jsoniter.RawMessage `json:"own"` // reload: the new content of the settings file
}

// Arm is one variant of the experiment.
type Arm struct {
	Name           string               `json:"name"`
	Loads          []string             `json:"loads"`  // nil: all
	Floods         []string             `json:"floods"` // nil: none
	Events         []Event              `json:"events"`
	RouterSettings jsoniter.RawMessage  `json:"own"`         // replaces the routers' settings file
	Members        jsoniter.RawMessage  `json:"members"`     // replaces Routers.Members; null: the routers form no cluster
	OpenFileLimit  int                  `json:"descriptors"` // limit of open files that the system grants a router process, whatever its configuration says; 0: not lowered
	Skew           map[string][]float64 `json:"skew"`        // by load, replaces Load.Skew
	Build          string               `json:"build"`       // path of another build of the router; "": Options.Build
}

// Check compares a metric, or the ratio of two metrics, with a bound.
type Check struct {
	Name  string   `json:"name"`
	Value string   `json:"value"`
	Over  string   `json:"over"` // "" or the metric that Value is divided by
	Min   *float64 `json:"min"`
	Max   *float64 `json:"max"`
}

// Parse reads an experiment from JSON and checks it.
func Parse(raw []byte) (*Experiment, error) {
	experiment := &Experiment{}
	if err := strictjson.Unmarshal(raw, experiment); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	check := experiment.check
	if experiment.Soak != nil {
		check = experiment.checkSoak
	}
	if err := check(); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", experiment.Name, err)
	}
	return experiment, nil
}

// check validates an experiment that is not a soak.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (experiment *Experiment) check() error {
	parts := map[string]bool{"routers": true, "servers": true, "members": true, "sends": true, "lanes": len(experiment.PriorityClasses) > 0}
	for _, load := range experiment.Loads {
		parts[load.Name] = true
		switch {
		case load.Name == "" || strings.Contains(load.Name, "."):
			return errors.New("loads: a name is missing or contains a dot")
		case load.Clients < 1:
			return fmt.Errorf("loads: %s: clients is %d, must be above 0", load.Name, load.Clients)
		case len(load.Mix) == 0:
			return fmt.Errorf("loads: %s: mix is empty", load.Name)
		}
		for class := range load.Mix {
			if _, ok := experiment.Classes[class]; !ok {
				return fmt.Errorf("loads: %s: mix: unknown class %q", load.Name, class)
			}
		}
	}
	for _, readers := range experiment.Readers {
		parts[readers.Name] = true
		if class, ok := experiment.Classes[readers.Class]; readers.Name == "" || readers.Subscribers < 1 || !ok || class.Read != "feed" || experiment.Fleet.Retain < 1 {
			return fmt.Errorf("readers: %q: subscribers %d, class %q: a class with read \"feed\" and a fleet with retain are required", readers.Name, readers.Subscribers, readers.Class)
		}
	}
	for _, flood := range experiment.Floods {
		parts[flood.Name] = true
		if flood.Connections < 1 || flood.Payload != "nothing" && flood.Payload != "half" && flood.Payload != "startup" {
			return fmt.Errorf("floods: %s: connections %d, says %q", flood.Name, flood.Connections, flood.Payload)
		}
	}
	for name, class := range experiment.Classes {
		if len(class.WorkMS) != 2 || class.WorkMS[0] > class.WorkMS[1] || class.TimeoutMS <= 0 {
			return fmt.Errorf("classes: %s: work_ms must be a min and a max, wait_ms must be above 0", name)
		}
	}
	switch flood := experiment.Fleet; {
	case experiment.Name == "" || experiment.Seconds <= 0:
		return errors.New("name or seconds is missing")
	case flood.Groups < 1 || flood.Members < 1 || flood.Cores < 1:
		return errors.New("fleet: groups, members and cores must be above 0")
	case experiment.Routers.Count < 1 || len(experiment.Arms) == 0 || len(experiment.Checks) == 0:
		return errors.New("routers.count, arms or checks is missing")
	}
	arms := map[string]bool{}
	for _, arm := range experiment.Arms {
		arms[arm.Name] = true
		for _, name := range append(append([]string{}, arm.Loads...), arm.Floods...) {
			if !parts[name] {
				return fmt.Errorf("arms: %s: unknown load or flood %q", arm.Name, name)
			}
		}
		for _, event := range arm.Events {
			switch {
			case event.Do == "link":
				for _, router := range append(append([]int{}, event.From...), event.To...) {
					if router < 0 || router >= experiment.Routers.Count {
						return fmt.Errorf("arms: %s: events: unknown router %d", arm.Name, router)
					}
				}
			case slices.Contains([]string{"stop", "start", "reload", "pause", "resume", "throttle", "free"}, event.Do), event.Do == "kill" && event.Server == "":
				if event.Do == "throttle" && !(event.Factor > 0 && event.Factor < 1) {
					return fmt.Errorf("arms: %s: events: throttle: times must be between 0 and 1", arm.Name)
				}
				if event.Router < 0 || event.Router >= experiment.Routers.Count {
					return fmt.Errorf("arms: %s: events: unknown router %d", arm.Name, event.Router)
				}
			case slices.Contains([]string{"kill", "restart", "drain", "promote", "slow", "clock", "burden"}, event.Do):
			default:
				return fmt.Errorf("arms: %s: events: unknown action %q", arm.Name, event.Do)
			}
		}
	}
	for _, class := range experiment.Checks {
		if (class.Min == nil) == (class.Max == nil) {
			return fmt.Errorf("checks: %s: either min or max is required", class.Name)
		}
		for _, event := range []string{class.Value, class.Over} {
			flood := strings.Split(event, ".")
			if event != "" && (len(flood) != 3 || !arms[flood[0]] || !parts[flood[1]]) {
				return fmt.Errorf("checks: %s: %q is not of the form arm.part.metric", class.Name, event)
			}
		}
	}
	return nil
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
func seconds(v float64) time.Duration      { return time.Duration(v * float64(time.Second)) }

// fleet returns the description of the emulated data servers.
func (experiment *Experiment) fleet(seed uint64) *emulator.Fleet {
	fleet := &emulator.Fleet{RecordStarts: len(experiment.PriorityClasses) > 0, Groups: experiment.Fleet.Groups, Members: experiment.Fleet.Members, Cores: experiment.Fleet.Cores, Queue: experiment.Fleet.Queue,
		ReplicationDelay: milliseconds(experiment.Fleet.ReplicationMS), ApplyTime: milliseconds(experiment.Fleet.ApplyMS), ColdShare: experiment.Fleet.ColdShare, Ramp: seconds(experiment.Fleet.RampS),
		FailoverDelay: milliseconds(experiment.Fleet.FailoverMS), Zones: experiment.Fleet.Zones, Retain: experiment.Fleet.Retain, Seed: seed, Classes: map[string]emulator.Class{}}
	for name, class := range experiment.Classes {
		fleet.Classes[name] = emulator.Class{Write: class.Read == "write", Session: class.Read == "session", Feed: class.Read == "feed", Bound: milliseconds(class.BoundMS),
			Work: [2]time.Duration{milliseconds(class.WorkMS[0]), milliseconds(class.WorkMS[1])}}
	}
	return fleet
}
