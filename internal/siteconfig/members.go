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

// Members configures the cluster of the installation's routers. One file serves all of them: each router finds its
// entry by its name. SIGHUP changes only the keys in the key file.
type Members struct {
	Cluster      string                   `json:"cluster"`             // messages of other clusters are ignored
	Routers      map[string]RouterAddress `json:"routers"`             // all routers, by name; shared limits are divided by their number
	Seeds        []string                 `json:"seeds"`               // addresses that a router contacts when it starts
	KeyFile      string                   `json:"key_file"`            // one key or two, see internal/peer
	Socket       string                   `json:"socket"`              // a Unix socket that serves the member list; "": none
	ShareCommits bool                     `json:"share"`               // routers propagate the last commits of sessions
	CommitModes  CommitModes              `json:"modes"`               // which writes' commits are propagated, and whether answers wait for it
	Persistence  *Persistence             `json:"keep,omitempty"`      // of the shared state on the router's disk; requires share
	DecisionLog  *DecisionLog             `json:"decisions,omitempty"` // of each send, for experiments
	// part of its even share that a router uses while others may have declared it dead; 1: fixed shares
	IsolatedShare float64 `json:"alone"`

	ProbeIntervalMS int64 `json:"period_ms"`      // one router is probed in each interval
	AckTimeoutMS    int64 `json:"wait_ms"`        // how long to wait for an answer before other routers are asked to probe
	IndirectChecks  int   `json:"helpers"`        // the number of those other routers
	MinSuspicionMS  int64 `json:"least_doubt_ms"` // from suspected to dead, if several routers suspect the member
	MaxSuspicionMS  int64 `json:"most_doubt_ms"`  // the same, if only one router suspects it
	// after a larger jump of its clock a router assumes that it was stopped, and ignores its expired timers
	MaxTickGapMS int64 `json:"pause_ms"`
	ForgetAfterS int64 `json:"forget_s"`    // how long a dead member is remembered
	Lifeguard    bool  `json:"corrections"` // the Lifeguard extensions of SWIM; false: plain SWIM, for experiments
}

// RouterAddress is where a router is reached.
type RouterAddress struct {
	Listen    string `json:"listen"`              // its own address and port, for UDP and TCP
	Advertise string `json:"advertise,omitempty"` // the address that others use; "": the same
	Zone      string `json:"hall,omitempty"`      // a router that starts without state fetches it from routers of its own zone first
}

// CommitModes set how the commit of a write is propagated, by the class of its request.
type CommitModes struct {
	Default   string            `json:"default"` // of classes that are not named
	Classes   map[string]string `json:"classes"`
	MaxWaitMS int64             `json:"wait_ms"` // in mode "one", after which the answer is sent in any case and the timeout is counted
}

// How a commit is propagated.
const (
	ModeOff   = "off"   // not at all
	ModeAsync = "async" // once the answer has been sent
	ModeOne   = "one"   // before the answer, which waits until one other router has it
)

// ForClass returns the mode of a class.
func (m *CommitModes) ForClass(class string) string { return cmp.Or(m.Classes[class], m.Default) }

func (m *CommitModes) check(shareCommits bool) error {
	known := func(mode string) bool { return mode == ModeOff || mode == ModeAsync || mode == ModeOne }
	switch {
	case !known(m.Default):
		return fmt.Errorf("modes.default: %q is not off, async or one", m.Default)
	case m.MaxWaitMS < 1 || m.MaxWaitMS > 10_000:
		return fmt.Errorf("modes.wait_ms: %d is not between 1 and 10000", m.MaxWaitMS)
	case !shareCommits && (m.Default != ModeAsync || len(m.Classes) > 0):
		return errors.New("modes: requires share")
	}
	for _, class := range slices.Sorted(maps.Keys(m.Classes)) {
		if !known(m.Classes[class]) {
			return fmt.Errorf("modes.classes.%s: %q is not off, async or one", class, m.Classes[class])
		}
	}
	return nil
}

// Zones returns the zone of each router, by name.
func (members *Members) Zones() map[string]string {
	zones := map[string]string{}
	for name, router := range members.Routers {
		zones[name] = router.Zone
	}
	return zones
}

// Persistence sets where a router persists the shared state, and its limits.
type Persistence struct {
	Dir           string  `json:"dir"`          // used by this router only
	MaxMB         int64   `json:"most_mb"`      // size of the file, rounded down to a power of two; records take a sixth of it
	QueueKB       int     `json:"queue_kb"`     // size of the write queue; a batch of the same size may be in flight
	FsyncsPerS    float64 `json:"fsyncs_per_s"` // max rate; a batch takes two or three
	LoadTimeoutMS int64   `json:"load_ms"`      // how long a start waits for the disk
}

// DecisionLog sets where a router records the evidence for each send.
type DecisionLog struct {
	File  string `json:"file"`    // appended to
	MaxMB int64  `json:"most_mb"` // written by one process; further records are dropped and counted
}

func (persistence *Persistence) setDefaults() {
	persistence.MaxMB, persistence.QueueKB, persistence.FsyncsPerS, persistence.LoadTimeoutMS = cmp.Or(persistence.MaxMB, 32), cmp.Or(persistence.QueueKB, 1024), cmp.Or(persistence.FsyncsPerS, 4), cmp.Or(persistence.LoadTimeoutMS, 500)
}

func (persistence *Persistence) check() error {
	switch {
	case persistence.Dir == "":
		return errors.New("dir: missing")
	case persistence.MaxMB < 1 || persistence.MaxMB > 1024:
		return fmt.Errorf("most_mb: %d is not between 1 and 1024", persistence.MaxMB)
	case persistence.QueueKB < 16 || persistence.QueueKB > 64<<10:
		return fmt.Errorf("queue_kb: %d is not between 16 and 65536", persistence.QueueKB)
	case !(persistence.FsyncsPerS >= 0.1 && persistence.FsyncsPerS <= 1000):
		return fmt.Errorf("fsyncs_per_s: %v is not between 0.1 and 1000", persistence.FsyncsPerS)
	case persistence.LoadTimeoutMS < 1 || persistence.LoadTimeoutMS > 60e3:
		return fmt.Errorf("load_ms: %d is not between 1 and 60000", persistence.LoadTimeoutMS)
	}
	return nil
}

func defaultMembers() *Members {
	const nanosPerMS = 1e6
	defaults := membership.DefaultSettings("-", "-", 0, 1)
	return &Members{Seeds: []string{}, CommitModes: CommitModes{Default: ModeAsync, Classes: map[string]string{}, MaxWaitMS: 20}, IsolatedShare: 0.5, ProbeIntervalMS: defaults.ProbeInterval / nanosPerMS, AckTimeoutMS: defaults.AckTimeout / nanosPerMS, IndirectChecks: defaults.IndirectChecks, MinSuspicionMS: defaults.MinSuspicion / nanosPerMS,
		MaxSuspicionMS: defaults.MaxSuspicion / nanosPerMS, MaxTickGapMS: defaults.MaxTickGap / nanosPerMS, ForgetAfterS: defaults.ForgetAfter / 1e9, Lifeguard: defaults.Lifeguard}
}

// MembershipSettings returns the settings of package membership for one router.
func (members *Members) MembershipSettings(name string, epoch uint64) (membership.Settings, error) {
	const nanosPerMS = 1e6
	router, ok := members.Routers[name]
	if !ok {
		return membership.Settings{}, fmt.Errorf("members: routers: %q is not among them", name)
	}
	settings := membership.DefaultSettings(name, router.Advertise, epoch, len(members.Routers))
	settings.Seeds, settings.AllowedNames, settings.IsolatedShare = members.Seeds, slices.Sorted(maps.Keys(members.Routers)), members.IsolatedShare
	settings.ProbeInterval, settings.AckTimeout, settings.IndirectChecks = members.ProbeIntervalMS*nanosPerMS, members.AckTimeoutMS*nanosPerMS, members.IndirectChecks
	settings.MinSuspicion, settings.MaxSuspicion, settings.MaxTickGap, settings.ForgetAfter = members.MinSuspicionMS*nanosPerMS, members.MaxSuspicionMS*nanosPerMS, members.MaxTickGapMS*nanosPerMS, members.ForgetAfterS*1e9
	settings.Lifeguard = members.Lifeguard
	return settings, nil
}

//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (members *Members) check() error {
	if members.Persistence != nil {
		members.Persistence.setDefaults()
		if err := members.Persistence.check(); err != nil {
			return fmt.Errorf("keep.%w", err)
		}
		if !members.ShareCommits {
			return errors.New("keep: requires share")
		}
	}
	if members.DecisionLog != nil {
		members.DecisionLog.MaxMB = cmp.Or(members.DecisionLog.MaxMB, 64)
		if members.DecisionLog.File == "" || members.DecisionLog.MaxMB < 1 || members.DecisionLog.MaxMB > 4096 {
			return errors.New("decisions: file is missing, or most_mb is not between 1 and 4096")
		}
	}
	switch {
	case members.Cluster == "" || len(members.Cluster) > 63:
		return errors.New("cluster: missing, or longer than 63 bytes")
	case members.KeyFile == "":
		return errors.New("key_file: missing")
	case len(members.Routers) == 0 || len(members.Routers) > 1000:
		return fmt.Errorf("routers: %d is not between 1 and 1000", len(members.Routers))
	case len(members.Socket) > 100:
		return errors.New("socket: longer than the 100 bytes allowed for a Unix socket path")
	case !(members.IsolatedShare >= 0.01 && members.IsolatedShare <= 1):
		return fmt.Errorf("alone: %v is not between 0.01 and 1", members.IsolatedShare)
	}
	if err := members.CommitModes.check(members.ShareCommits); err != nil {
		return err
	}
	for _, field := range []struct {
		name  string
		value int64
		min   int64
	}{{"period_ms", members.ProbeIntervalMS, 20}, {"wait_ms", members.AckTimeoutMS, 5}, {"least_doubt_ms", members.MinSuspicionMS, 20}, {"most_doubt_ms", members.MaxSuspicionMS, members.MinSuspicionMS},
		{"pause_ms", members.MaxTickGapMS, 50}, {"forget_s", members.ForgetAfterS, 1}, {"helpers", int64(members.IndirectChecks), 0}} {
		if field.value < field.min || field.value > 3600e3 {
			return fmt.Errorf("%s: %d is not between %d and 3600000", field.name, field.value, field.min)
		}
	}
	if members.AckTimeoutMS >= members.ProbeIntervalMS || members.IndirectChecks > 8 || members.ForgetAfterS*1000 <= members.MaxSuspicionMS {
		return errors.New("wait_ms must be below period_ms, most_doubt_ms below forget_s, and helpers at most 8")
	}
	for _, seed := range members.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return fmt.Errorf("seeds: %q is not an IP address with a port", seed)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(members.Routers)) {
		router := members.Routers[name]
		if name == "" || len(name) > 63 {
			return fmt.Errorf("routers: %q is empty, or longer than 63 bytes", name)
		}
		listen, err := netip.ParseAddrPort(router.Listen)
		if err != nil {
			return fmt.Errorf("routers.%s.listen: %q is not an IP address with a port", name, router.Listen)
		}
		if router.Advertise == "" && listen.Addr().IsUnspecified() {
			return fmt.Errorf("routers.%s: listens on all addresses, so advertise is required", name)
		}
		if advertise, err := netip.ParseAddrPort(router.Advertise); router.Advertise != "" && (err != nil || advertise.Port() == 0 || advertise.Addr().IsUnspecified()) {
			return fmt.Errorf("routers.%s.advertise: %q is not an address that other routers can use", name, router.Advertise)
		}
	}
	return nil
}
