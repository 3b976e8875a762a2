// Package siteconfig reads an installation's own settings: the file that people write
// for their routers, beside the configuration that the platform gives to each.
// Every subsystem has one part in it; a part that is not there is off.
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

// Config is the file.
type Config struct {
	Admission *Admission `json:"admission,omitempty"` // a reload changes its limits, and can't switch it on or off
	Contracts *Contracts `json:"contracts,omitempty"` // likewise
	Accounts  *Accounts  `json:"accounts,omitempty"`  // needs contracts
	Log       *Log       `json:"log,omitempty"`
	Members   *Members   `json:"members,omitempty"` // of what changes in service only its keys
	Feeds     *Feeds     `json:"feeds,omitempty"`   // nothing of it changes in service
	Recovery  *Recovery  `json:"recovery,omitempty"`
}

// Log says what a router writes of its work, beside what happens to it.
type Log struct {
	TotalsMS  int64  `json:"totals_ms"`   // a line of totals so often, and one at the end; 0: none
	Trace     string `json:"trace"`       // whose way is written: off, wrong (not served), all. Changes on SIGHUP
	TracePerS int    `json:"trace_per_s"` // of those lines at most so many a second; the rest are counted. Changes on SIGHUP
}

// Whose way is written.
const (
	TraceOff   = "off"
	TraceWrong = "wrong"
	TraceAll   = "all"
)

func defaultLog() *Log { return &Log{TotalsMS: 10000, Trace: TraceOff, TracePerS: 100} }

func (l *Log) check() error {
	switch {
	case l.TotalsMS != 0 && (l.TotalsMS < 100 || l.TotalsMS > 3600e3):
		return fmt.Errorf("totals_ms: %d is not 0 or between 100 and an hour", l.TotalsMS)
	case l.Trace != TraceOff && l.Trace != TraceWrong && l.Trace != TraceAll:
		return fmt.Errorf("trace: %q is not off, wrong or all", l.Trace)
	case l.TracePerS < 1 || l.TracePerS > 1e6:
		return fmt.Errorf("trace_per_s: %d is not between 1 and a million", l.TracePerS)
	}
	return nil
}

// Load reads and checks a file.
func Load(path string) (*Config, error) {
	s := &Config{}
	var parts struct {
		Admission jsoniter.RawMessage `json:"admission"`
		Contracts jsoniter.RawMessage `json:"contracts"`
		Accounts  jsoniter.RawMessage `json:"accounts"`
		Log       jsoniter.RawMessage `json:"log"`
		Members   jsoniter.RawMessage `json:"members"`
		Feeds     jsoniter.RawMessage `json:"feeds"`
		Recovery  jsoniter.RawMessage `json:"recovery"`
	}
	err := strictjson.UnmarshalFile(path, &parts)
	if err == nil { // again, over the defaults of the parts that are there
		if parts.Admission != nil {
			s.Admission = defaultAdmission()
		}
		if parts.Contracts != nil {
			s.Contracts = defaultContracts()
			var has struct {
				Lanes jsoniter.RawMessage `json:"lanes"`
			}
			if jsoniter.Unmarshal(parts.Contracts, &has) == nil && has.Lanes != nil { // what is wrong otherwise is found below
				s.Contracts.Shedding = defaultShedding()
			}
		}
		if parts.Accounts != nil {
			s.Accounts = defaultAccounts()
		}
		if parts.Log != nil {
			s.Log = defaultLog()
		}
		if parts.Members != nil {
			s.Members = defaultMembers()
		}
		if parts.Feeds != nil {
			s.Feeds = defaultFeeds()
		}
		if parts.Recovery != nil {
			s.Recovery = defaultRecovery()
		}
		err = strictjson.UnmarshalFile(path, s)
	}
	if err == nil {
		err = s.check()
	}
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

func (s *Config) check() error {
	var errs []error
	part := func(name string, err error) {
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %s", name, strings.ReplaceAll(err.Error(), "\n", "; ")))
		}
	}
	if s.Admission != nil {
		part("admission", s.Admission.check())
	}
	if s.Contracts != nil {
		part("contracts", s.Contracts.check())
	}
	if s.Accounts != nil {
		part("accounts", s.Accounts.check())
		if s.Contracts == nil {
			part("accounts", errors.New("there are none without contracts"))
		}
	}
	if s.Log != nil {
		part("log", s.Log.check())
	}
	if s.Members != nil {
		part("members", s.Members.check())
	}
	if s.Feeds != nil {
		part("feeds", s.Feeds.check())
	}
	if s.Recovery != nil {
		part("recovery", s.Recovery.check())
	}
	if len(errs) == 0 {
		return nil
	}
	return errors.New(strings.ReplaceAll(errors.Join(errs...).Error(), "\n", "; "))
}

// Print is the file as it is in force, defaults and all.
func (s *Config) Print() (string, error) {
	out, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(s, "", "  ")
	return string(out), err
}

// Admission limits which client connections the router holds. All of it changes
// on SIGHUP. A cap of 0 does not bind.
type Admission struct {
	PerAddress    int            `json:"per_address"`      // connections of one address
	PerPrefix     int            `json:"per_prefix"`       // connections of one prefix: IPv4 /24, IPv6 /64
	NewPerS       int            `json:"new_per_s"`        // new connections of one address within any second
	NewPerSPrefix int            `json:"new_per_s_prefix"` // of one prefix
	NewPerSTotal  int            `json:"new_per_s_total"`  // of all but the reserves' addresses
	Shared        []netip.Prefix `json:"shared"`           // addresses that many clients share, fronts and gateways: no caps of their own
	Reserve       []Reserve      `json:"reserve"`          // room for those who are known
	Pressure      Pressure       `json:"pressure"`         // when and how far the router tightens
	GreenMS       int64          `json:"green_ms"`         // one that has said nothing for so long may be closed for another; a quarter of it under pressure
	SpareMS       int64          `json:"spare_ms"`         // one that has idled for so long may be closed for another
	SilenceMS     int64          `json:"silence_ms"`       // under pressure, one that has said nothing for so long is closed
	EarlyIdleMS   int64          `json:"early_idle_ms"`    // in a crowd, one that has idled for so long is closed for each that comes
	CrowdShare    float64        `json:"crowd_share"`      // a crowd is this share of the connections; 0: there is none
	ComeBackMS    int64          `json:"come_back_ms"`     // the time to return where no better one is known
	Remembered    int            `json:"remembered"`       // addresses, and prefixes, whose rates are remembered without a connection
	LingerMS      int64          `json:"linger_ms"`        // a refused client has so long to read why
}

// Reserve is room that only its members can take. Whoever has one of the
// addresses, or says one of the names at the start, is a member.
type Reserve struct {
	Name         string         `json:"name"`
	Addresses    []netip.Prefix `json:"addresses,omitempty"`
	Users        []string       `json:"users,omitempty"`
	Databases    []string       `json:"databases,omitempty"`
	Applications []string       `json:"applications,omitempty"`
	Connections  int            `json:"connections"`
}

// Pressure is when the router is short of something: from Enter on, until all is
// under Leave again and HoldMS have passed.
type Pressure struct {
	Enter   float64 `json:"enter"`     // share of the connections or of the memory
	Leave   float64 `json:"leave"`     // share
	NewPerS int     `json:"new_per_s"` // arrivals within a second, refused ones too; 0: they don't count
	HoldMS  int64   `json:"hold_ms"`
	Caps    float64 `json:"caps"` // what is left of the caps for each address and prefix, as a share
}

// defaultAdmission are the defaults: no cap binds, and what was always done against
// silent and idle clients is done.
func defaultAdmission() *Admission {
	return &Admission{Shared: []netip.Prefix{}, Reserve: []Reserve{}, Pressure: Pressure{Enter: 0.9, Leave: 0.7, HoldMS: 1000, Caps: 0.5}, GreenMS: 20, SpareMS: 100,
		SilenceMS: 500, EarlyIdleMS: 500, CrowdShare: 0.35, ComeBackMS: 1000, Remembered: 4096, LingerMS: 20}
}

const anyConnections = 1 << 30 // a whole that no reserve exceeds

func (a *Admission) check() error {
	for _, f := range []struct {
		name string
		ms   int64
		min  int64
	}{{"green_ms", a.GreenMS, 0}, {"spare_ms", a.SpareMS, 0}, {"silence_ms", a.SilenceMS, 1}, {"early_idle_ms", a.EarlyIdleMS, 0},
		{"come_back_ms", a.ComeBackMS, 0}, {"linger_ms", a.LingerMS, 0}, {"pressure.hold_ms", a.Pressure.HoldMS, 0}} {
		if f.ms < f.min || f.ms > 3600e3 {
			return fmt.Errorf("%s: %d is not between %d and an hour", f.name, f.ms, f.min)
		}
	}
	if !(a.CrowdShare >= 0 && a.CrowdShare <= 1) {
		return fmt.Errorf("crowd_share: %v is not between 0 and 1", a.CrowdShare)
	}
	if a.Remembered > 1<<20 {
		return errors.New("remembered: more than a million")
	}
	set := a.Limits(anyConnections, 0)
	return set.Check()
}

// Limits are the settings of the decision for a router that may hold so many
// client connections, and may tell times to return up to longestBack.
func (a *Admission) Limits(connections int, longestBack clock.Nanos) admission.Settings {
	const ms = 1e6
	s := admission.Settings{MaxConnections: connections, MaxPerAddress: a.PerAddress, MaxPerPrefix: a.PerPrefix,
		AddressRateLimit: a.NewPerS, PrefixRateLimit: a.NewPerSPrefix, TotalRateLimit: a.NewPerSTotal, SharedAddresses: a.Shared,
		CrowdedThreshold: int(a.CrowdShare * float64(connections)), CrowdedIdleTimeout: a.EarlyIdleMS * ms, EvictableIdle: a.SpareMS * ms, EvictableSilence: a.GreenMS * ms,
		SilenceTimeout: a.SilenceMS * ms, MaxSources: a.Remembered, RetryAfter: a.ComeBackMS * ms, MaxRetryAfter: longestBack,
		Pressure: admission.Pressure{Enter: a.Pressure.Enter, Leave: a.Pressure.Leave, ArrivalsPerSecond: a.Pressure.NewPerS,
			MinDuration: a.Pressure.HoldMS * ms, CapFactor: a.Pressure.Caps}}
	for _, r := range a.Reserve {
		s.Reserves = append(s.Reserves, admission.Reserve{Name: r.Name, Addresses: r.Addresses, Users: r.Users,
			Databases: r.Databases, Applications: r.Applications, Capacity: r.Connections})
	}
	return s
}
