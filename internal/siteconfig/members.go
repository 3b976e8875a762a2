package siteconfig

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"lotushook/policy/membership"
)

// Members says how the routers of the installation find each other. One file serves all of them: each looks itself up
// by its name. Nothing of it but the key file's keys changes on SIGHUP.
type Members struct {
	Cluster string           `json:"cluster"`             // routers of another one are not taken
	Routers map[string]Place `json:"routers"`             // all of them, by name: what is shared is divided by these
	Seeds   []string         `json:"seeds"`               // addresses that a router asks at its start
	KeyFile string           `json:"key_file"`            // one key or two, see internal/peer
	Socket  string           `json:"socket"`              // a Unix socket on which the members can be read; "": none
	Share   bool             `json:"share"`               // routers tell each other the last commits of sessions that they have seen
	Modes   Modes            `json:"modes"`               // which writes' commits, and whether their answers wait for it
	Keep    *Persistence     `json:"keep,omitempty"`      // a copy of that on the router's disk; needs share
	Sends   *Sends           `json:"decisions,omitempty"` // a line for each send: for experiments
	Alone   float64          `json:"alone"`               // what a router keeps of its even part while others may have left it out; 1: parts are fixed

	PeriodMS       int64 `json:"period_ms"` // one router is asked in each
	WaitMS         int64 `json:"wait_ms"`   // for its answer, before others are asked to try
	Helpers        int   `json:"helpers"`
	MinSuspicionMS int64 `json:"least_doubt_ms"` // one that several doubt is dead after so long
	MaxSuspicionMS int64 `json:"most_doubt_ms"`  // and one that only one doubts
	PauseMS        int64 `json:"pause_ms"`       // a router whose clock jumps so far was stopped, and trusts no timer of its own
	ForgetS        int64 `json:"forget_s"`       // who is dead is remembered so long
	Corrections    bool  `json:"corrections"`    // without, it is plain SWIM: for experiments
}

// Place is where a router is reached.
type Place struct {
	Listen    string `json:"listen"`              // its own address and port, for UDP and TCP
	Advertise string `json:"advertise,omitempty"` // what others are to use; "": the same
	Hall      string `json:"hall,omitempty"`      // one that starts empty is fed by routers of its own hall first
}

// Modes say how a write's commit is shared, by the class of its request.
type Modes struct {
	Default string            `json:"default"` // of classes that are not named
	Classes map[string]string `json:"classes"`
	WaitMS  int64             `json:"wait_ms"` // in mode "one" an answer goes out after it in any case, and is counted
}

// How a commit is shared.
const (
	ModeOff   = "off"   // not at all
	ModeAsync = "async" // it is told once the answer is on its way
	ModeOne   = "one"   // the answer waits until one other router has it
)

// Of is a class's mode.
func (m *Modes) Of(class string) string { return cmp.Or(m.Classes[class], m.Default) }

func (m *Modes) check(share bool) error {
	known := func(mode string) bool { return mode == ModeOff || mode == ModeAsync || mode == ModeOne }
	switch {
	case !known(m.Default):
		return fmt.Errorf("modes.default: %q is not off, async or one", m.Default)
	case m.WaitMS < 1 || m.WaitMS > 10_000:
		return fmt.Errorf("modes.wait_ms: %d is not between 1 and 10000", m.WaitMS)
	case !share && (m.Default != ModeAsync || len(m.Classes) > 0):
		return errors.New("modes: nothing is shared (share)")
	}
	for _, class := range slices.Sorted(maps.Keys(m.Classes)) {
		if !known(m.Classes[class]) {
			return fmt.Errorf("modes.classes.%s: %q is not off, async or one", class, m.Classes[class])
		}
	}
	return nil
}

// Zones are those of the routers, by name.
func (m *Members) Zones() map[string]string {
	halls := map[string]string{}
	for name, p := range m.Routers {
		halls[name] = p.Hall
	}
	return halls
}

// Persistence says where a router keeps a copy of what all share, and what it may cost.
type Persistence struct {
	Dir       string  `json:"dir"`          // the router's own
	MaxMB     int64   `json:"most_mb"`      // of the file, rounded down to a power of two; records take a sixth of it
	QueueKB   int     `json:"queue_kb"`     // of what waits to be written; as much again may be on its way
	FsyncsPer float64 `json:"fsyncs_per_s"` // at the most; a batch takes two or three
	LoadMS    int64   `json:"load_ms"`      // a start waits so long for the disk
}

// Sends says where a router writes, for each send, on what evidence it was made.
type Sends struct {
	File  string `json:"file"`    // appended to
	MaxMB int64  `json:"most_mb"` // of what one process writes; what comes beyond is left out and counted
}

func (k *Persistence) setDefaults() {
	k.MaxMB, k.QueueKB, k.FsyncsPer, k.LoadMS = cmp.Or(k.MaxMB, 32), cmp.Or(k.QueueKB, 1024), cmp.Or(k.FsyncsPer, 4), cmp.Or(k.LoadMS, 500)
}

func (k *Persistence) check() error {
	switch {
	case k.Dir == "":
		return errors.New("dir: missing")
	case k.MaxMB < 1 || k.MaxMB > 1024:
		return fmt.Errorf("most_mb: %d is not between 1 and 1024", k.MaxMB)
	case k.QueueKB < 16 || k.QueueKB > 64<<10:
		return fmt.Errorf("queue_kb: %d is not between 16 and 65536", k.QueueKB)
	case !(k.FsyncsPer >= 0.1 && k.FsyncsPer <= 1000):
		return fmt.Errorf("fsyncs_per_s: %v is not between 0.1 and 1000", k.FsyncsPer)
	case k.LoadMS < 1 || k.LoadMS > 60e3:
		return fmt.Errorf("load_ms: %d is not between 1 and 60000", k.LoadMS)
	}
	return nil
}

func defaultMembers() *Members {
	const ms = 1e6
	u := membership.DefaultSettings("-", "-", 0, 1)
	return &Members{Seeds: []string{}, Modes: Modes{Default: ModeAsync, Classes: map[string]string{}, WaitMS: 20}, Alone: 0.5, PeriodMS: u.ProbeInterval / ms, WaitMS: u.AckTimeout / ms, Helpers: u.IndirectChecks, MinSuspicionMS: u.MinSuspicion / ms,
		MaxSuspicionMS: u.MaxSuspicion / ms, PauseMS: u.MaxTickGap / ms, ForgetS: u.ForgetAfter / 1e9, Corrections: u.Lifeguard}
}

// Member are the settings of the decision for one router.
func (m *Members) Member(name string, boot uint64) (membership.Settings, error) {
	const ms = 1e6
	place, ok := m.Routers[name]
	if !ok {
		return membership.Settings{}, fmt.Errorf("members: routers: %q is not among them", name)
	}
	s := membership.DefaultSettings(name, place.Advertise, boot, len(m.Routers))
	s.Seeds, s.AllowedNames, s.IsolatedShare = m.Seeds, slices.Sorted(maps.Keys(m.Routers)), m.Alone
	s.ProbeInterval, s.AckTimeout, s.IndirectChecks = m.PeriodMS*ms, m.WaitMS*ms, m.Helpers
	s.MinSuspicion, s.MaxSuspicion, s.MaxTickGap, s.ForgetAfter = m.MinSuspicionMS*ms, m.MaxSuspicionMS*ms, m.PauseMS*ms, m.ForgetS*1e9
	s.Lifeguard = m.Corrections
	return s, nil
}

//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (m *Members) check() error {
	if m.Keep != nil {
		m.Keep.setDefaults()
		if err := m.Keep.check(); err != nil {
			return fmt.Errorf("keep.%w", err)
		}
		if !m.Share {
			return errors.New("keep: there is nothing to keep without share")
		}
	}
	if m.Sends != nil {
		m.Sends.MaxMB = cmp.Or(m.Sends.MaxMB, 64)
		if m.Sends.File == "" || m.Sends.MaxMB < 1 || m.Sends.MaxMB > 4096 {
			return errors.New("decisions: file is missing, or most_mb is not between 1 and 4096")
		}
	}
	switch {
	case m.Cluster == "" || len(m.Cluster) > 63:
		return errors.New("cluster: missing, or longer than 63")
	case m.KeyFile == "":
		return errors.New("key_file: missing")
	case len(m.Routers) == 0 || len(m.Routers) > 1000:
		return fmt.Errorf("routers: %d, not between 1 and 1000", len(m.Routers))
	case len(m.Socket) > 100:
		return errors.New("socket: longer than a Unix socket's path may be")
	case !(m.Alone >= 0.01 && m.Alone <= 1):
		return fmt.Errorf("alone: %v is not between 0.01 and 1", m.Alone)
	}
	if err := m.Modes.check(m.Share); err != nil {
		return err
	}
	for _, f := range []struct {
		name  string
		value int64
		min   int64
	}{{"period_ms", m.PeriodMS, 20}, {"wait_ms", m.WaitMS, 5}, {"least_doubt_ms", m.MinSuspicionMS, 20}, {"most_doubt_ms", m.MaxSuspicionMS, m.MinSuspicionMS},
		{"pause_ms", m.PauseMS, 50}, {"forget_s", m.ForgetS, 1}, {"helpers", int64(m.Helpers), 0}} {
		if f.value < f.min || f.value > 3600e3 {
			return fmt.Errorf("%s: %d is not between %d and 3600000", f.name, f.value, f.min)
		}
	}
	if m.WaitMS >= m.PeriodMS || m.Helpers > 8 || m.ForgetS*1000 <= m.MaxSuspicionMS {
		return errors.New("wait_ms must be under period_ms, most_doubt_ms under forget_s, and helpers at most 8")
	}
	for _, seed := range m.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return fmt.Errorf("seeds: %q is no address with a port", seed)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.Routers)) {
		p := m.Routers[name]
		if name == "" || len(name) > 63 {
			return fmt.Errorf("routers: %q is empty, or longer than 63", name)
		}
		at, err := netip.ParseAddrPort(p.Listen)
		if err != nil {
			return fmt.Errorf("routers.%s.listen: %q is no address with a port", name, p.Listen)
		}
		if p.Advertise == "" && at.Addr().IsUnspecified() {
			return fmt.Errorf("routers.%s: listens on all addresses, so others must be told one (advertise)", name)
		}
		if out, err := netip.ParseAddrPort(p.Advertise); p.Advertise != "" && (err != nil || out.Port() == 0 || out.Addr().IsUnspecified()) {
			return fmt.Errorf("routers.%s.advertise: %q is no address that others can use", name, p.Advertise)
		}
	}
	return nil
}
