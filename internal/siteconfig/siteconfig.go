// Package siteconfig reads an installation's own settings: a file that its operators write for their routers, in
// addition to the configuration that the platform gives to each. Each subsystem has one section; without its section it
// is off.
package siteconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/strictjson"
	"lotushook/policy/admission"
	"lotushook/policy/clock"
)

// Config is the content of the settings file.
type Config struct {
	Admission *Admission `json:"admission,omitempty"` // SIGHUP changes its limits, but can't switch it on or off
	Contracts *Contracts `json:"contracts,omitempty"` // as for Admission
	Accounts  *Accounts  `json:"accounts,omitempty"`  // requires Contracts
	Log       *Log       `json:"log,omitempty"`
	Members   *Members   `json:"members,omitempty"` // SIGHUP changes only its keys
	Feeds     *Feeds     `json:"feeds,omitempty"`   // SIGHUP changes none of it
	Recovery  *Recovery  `json:"recovery,omitempty"`
}

// Log sets what a router logs about its requests.
type Log struct {
	TotalsIntervalMS int64  `json:"totals_ms"`   // between log lines of totals; one more is written at shutdown; 0: none
	Trace            string `json:"trace"`       // which requests are traced: off, wrong (those not served) or all; SIGHUP changes it
	TracePerS        int    `json:"trace_per_s"` // max traced requests per second; the others are only counted; SIGHUP changes it
}

// Which requests are traced.
const (
	TraceOff   = "off"
	TraceWrong = "wrong"
	TraceAll   = "all"
)

func defaultLog() *Log { return &Log{TotalsIntervalMS: 10000, Trace: TraceOff, TracePerS: 100} }

func (log *Log) check() error {
	switch {
	case log.TotalsIntervalMS != 0 && (log.TotalsIntervalMS < 100 || log.TotalsIntervalMS > 3600e3):
		return fmt.Errorf("totals_ms: %d is not 0 or between 100 and an hour", log.TotalsIntervalMS)
	case log.Trace != TraceOff && log.Trace != TraceWrong && log.Trace != TraceAll:
		return fmt.Errorf("trace: %q is not off, wrong or all", log.Trace)
	case log.TracePerS < 1 || log.TracePerS > 1e6:
		return fmt.Errorf("trace_per_s: %d is not between 1 and a million", log.TracePerS)
	}
	return nil
}

// Load reads and validates a settings file.
func Load(path string) (*Config, error) {
	config := &Config{}
	var sections struct {
		Admission jsoniter.RawMessage `json:"admission"`
		Contracts jsoniter.RawMessage `json:"contracts"`
		Accounts  jsoniter.RawMessage `json:"accounts"`
		Log       jsoniter.RawMessage `json:"log"`
		Members   jsoniter.RawMessage `json:"members"`
		Feeds     jsoniter.RawMessage `json:"feeds"`
		Recovery  jsoniter.RawMessage `json:"recovery"`
	}
	err := strictjson.UnmarshalFile(path, &sections)
	if err == nil { // decode again, over the defaults of the sections that are set
		if sections.Admission != nil {
			config.Admission = defaultAdmission()
		}
		if sections.Contracts != nil {
			config.Contracts = defaultContracts()
			var contracts struct {
				Lanes jsoniter.RawMessage `json:"lanes"`
			}
			// A syntax or type error in this part is reported by the second decoding.
			if jsoniter.Unmarshal(sections.Contracts, &contracts) == nil && contracts.Lanes != nil {
				config.Contracts.Shedding = defaultShedding()
			}
		}
		if sections.Accounts != nil {
			config.Accounts = defaultAccounts()
		}
		if sections.Log != nil {
			config.Log = defaultLog()
		}
		if sections.Members != nil {
			config.Members = defaultMembers()
		}
		if sections.Feeds != nil {
			config.Feeds = defaultFeeds()
		}
		if sections.Recovery != nil {
			config.Recovery = defaultRecovery()
		}
		err = strictjson.UnmarshalFile(path, config)
	}
	if err == nil {
		err = config.check()
	}
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return config, nil
}

func (config *Config) check() error {
	var errs []error
	add := func(name string, err error) {
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %s", name, strings.ReplaceAll(err.Error(), "\n", "; ")))
		}
	}
	if config.Admission != nil {
		add("admission", config.Admission.check())
	}
	if config.Contracts != nil {
		add("contracts", config.Contracts.check())
	}
	if config.Accounts != nil {
		add("accounts", config.Accounts.check())
		if config.Contracts == nil {
			add("accounts", errors.New("requires contracts"))
		}
	}
	if config.Log != nil {
		add("log", config.Log.check())
	}
	if config.Members != nil {
		add("members", config.Members.check())
	}
	if config.Feeds != nil {
		add("feeds", config.Feeds.check())
	}
	if config.Recovery != nil {
		add("recovery", config.Recovery.check())
	}
	if len(errs) == 0 {
		return nil
	}
	return errors.New(strings.ReplaceAll(errors.Join(errs...).Error(), "\n", "; "))
}

// Print returns the effective settings, including defaults, as JSON.
func (config *Config) Print() (string, error) {
	out, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(config, "", "  ")
	return string(out), err
}

// Admission limits the client connections that the router holds. SIGHUP changes all of it. A limit of 0 does not apply.
type Admission struct {
	PerAddress      int            `json:"per_address"`      // connections of one address
	PerPrefix       int            `json:"per_prefix"`       // connections of one prefix: IPv4 /24, IPv6 /64
	NewPerS         int            `json:"new_per_s"`        // new connections of one address within one second
	NewPerSPrefix   int            `json:"new_per_s_prefix"` // new connections of one prefix within one second
	NewPerSTotal    int            `json:"new_per_s_total"`  // new connections of all addresses except those of reserves
	SharedAddresses []netip.Prefix `json:"shared"`           // addresses of proxies and gateways, exempt from limits per address and prefix
	Reserves        []Reserve      `json:"reserve"`          // capacity for known clients
	Pressure        Pressure       `json:"pressure"`         // when and how far the router tightens its limits
	// a client that has sent nothing for so long may be closed to admit another; a quarter of it under pressure
	EvictableSilenceMS   int64   `json:"green_ms"`
	EvictableIdleMS      int64   `json:"spare_ms"`      // a client that has been idle for so long may be closed to admit another
	SilenceTimeoutMS     int64   `json:"silence_ms"`    // under pressure, a client that has sent nothing for so long is closed
	CrowdedIdleTimeoutMS int64   `json:"early_idle_ms"` // above CrowdedShare, each new connection closes one that has been idle for so long
	CrowdedShare         float64 `json:"crowd_share"`   // share of the connections in use; 0: never
	RetryAfterMS         int64   `json:"come_back_ms"`  // advised retry delay if no better one is known
	MaxSources           int     `json:"remembered"`    // addresses, and prefixes, whose rates are remembered without a connection
	LingerMS             int64   `json:"linger_ms"`     // how long a rejected client may read the error
}

// Reserve is capacity for certain clients only: those from one of its addresses, or whose startup message has one of
// its names.
type Reserve struct {
	Name         string         `json:"name"`
	Addresses    []netip.Prefix `json:"addresses,omitempty"`
	Users        []string       `json:"users,omitempty"`
	Databases    []string       `json:"databases,omitempty"`
	Applications []string       `json:"applications,omitempty"`
	Connections  int            `json:"connections"`
}

// Pressure sets when the router is short of a resource: from a use of Enter on, until all use is below Leave
// and MinDurationMS have passed.
type Pressure struct {
	Enter         float64 `json:"enter"`     // share of the connections or of the memory
	Leave         float64 `json:"leave"`     // share
	ArrivalsPerS  int     `json:"new_per_s"` // new connections within one second, rejected ones included; 0: they don't count
	MinDurationMS int64   `json:"hold_ms"`
	CapFactor     float64 `json:"caps"` // factor on the limits per address and prefix under pressure
}

// defaultAdmission sets no limits, and treats silent and idle clients as a router without an admission section does.
func defaultAdmission() *Admission {
	return &Admission{SharedAddresses: []netip.Prefix{}, Reserves: []Reserve{}, Pressure: Pressure{Enter: 0.9, Leave: 0.7, MinDurationMS: 1000, CapFactor: 0.5}, EvictableSilenceMS: 20, EvictableIdleMS: 100,
		SilenceTimeoutMS: 500, CrowdedIdleTimeoutMS: 500, CrowdedShare: 0.35, RetryAfterMS: 1000, MaxSources: 4096, LingerMS: 20}
}

const unlimitedConnections = 1 << 30 // more than the sum of all valid reserves

func (config *Admission) check() error {
	for _, field := range []struct {
		name string
		ms   int64
		min  int64
	}{{"green_ms", config.EvictableSilenceMS, 0}, {"spare_ms", config.EvictableIdleMS, 0}, {"silence_ms", config.SilenceTimeoutMS, 1}, {"early_idle_ms", config.CrowdedIdleTimeoutMS, 0},
		{"come_back_ms", config.RetryAfterMS, 0}, {"linger_ms", config.LingerMS, 0}, {"pressure.hold_ms", config.Pressure.MinDurationMS, 0}} {
		if field.ms < field.min || field.ms > 3600e3 {
			return fmt.Errorf("%s: %d is not between %d and an hour", field.name, field.ms, field.min)
		}
	}
	if !(config.CrowdedShare >= 0 && config.CrowdedShare <= 1) {
		return fmt.Errorf("crowd_share: %v is not between 0 and 1", config.CrowdedShare)
	}
	if config.MaxSources > 1<<20 {
		return errors.New("remembered: more than a million")
	}
	settings := config.Limits(unlimitedConnections, 0)
	return settings.Check()
}

// Limits returns the settings of package admission for a router with that max number of client connections and that max
// retry delay.
func (config *Admission) Limits(connections int, maxRetryAfter clock.Nanos) admission.Settings {
	const nanosPerMS = 1e6
	settings := admission.Settings{MaxConnections: connections, MaxPerAddress: config.PerAddress, MaxPerPrefix: config.PerPrefix,
		AddressRateLimit: config.NewPerS, PrefixRateLimit: config.NewPerSPrefix, TotalRateLimit: config.NewPerSTotal, SharedAddresses: config.SharedAddresses,
		CrowdedThreshold: int(config.CrowdedShare * float64(connections)), CrowdedIdleTimeout: config.CrowdedIdleTimeoutMS * nanosPerMS, EvictableIdle: config.EvictableIdleMS * nanosPerMS, EvictableSilence: config.EvictableSilenceMS * nanosPerMS,
		SilenceTimeout: config.SilenceTimeoutMS * nanosPerMS, MaxSources: config.MaxSources, RetryAfter: config.RetryAfterMS * nanosPerMS, MaxRetryAfter: maxRetryAfter,
		Pressure: admission.Pressure{Enter: config.Pressure.Enter, Leave: config.Pressure.Leave, ArrivalsPerSecond: config.Pressure.ArrivalsPerS,
			MinDuration: config.Pressure.MinDurationMS * nanosPerMS, CapFactor: config.Pressure.CapFactor}}
	for _, reserve := range config.Reserves {
		settings.Reserves = append(settings.Reserves, admission.Reserve{Name: reserve.Name, Addresses: reserve.Addresses, Users: reserve.Users,
			Databases: reserve.Databases, Applications: reserve.Applications, Capacity: reserve.Connections})
	}
	return settings
}
