// Package admission decides which client connections a router holds: at the
// accept by the address, again when the startup message identifies the client, and when
// a connection must be evicted. It decides from counts and times passed to it, and knows
// no sockets. Requests that were admitted are not its concern.
package admission

import (
	"errors"
	"fmt"
	"net/netip"

	"lotushook/policy/clock"
)

// ID identifies a connection while it is held; the caller chooses it and does not reuse
// it before Closed.
type ID uint64

// Settings are the limits. A cap of 0 is not enforced.
type Settings struct {
	Connections int // the maximum of all connections

	PerAddress         int // held by one address
	PerPrefix          int // held by one prefix: IPv4 /24, IPv6 /64
	NewAddress         int // arrivals from one address within any second
	NewPrefix          int // arrivals from one prefix within any second
	NewTotal           int // arrivals in all within any second
	SharedAddresses    []netip.Prefix
	Reserves           []Reserve
	CrowdedFrom        int         // from so many connections on, those that idle longer than CrowdedIdleTimeout are closed early
	CrowdedIdleTimeout clock.Nanos //
	EvictableIdle      clock.Nanos // a connection idle for so long may be evicted
	EvictableSilence   clock.Nanos // so may one that has been silent for so long
	SilenceTimeout     clock.Nanos // under pressure, one that has been silent for so long is closed
	Pressure           Pressure
	MaxSources         int         // addresses and prefixes that are remembered at most, beside those of connections held
	RetryAfter         clock.Nanos // the Retry-After time where no better one is known; spread over half as much again
	MaxRetryAfter      clock.Nanos // the longest Retry-After time
}

// Reserve is capacity that only its members can take. A connection is a
// member by its address, or once its startup message names it.
type Reserve struct {
	Name         string
	Addresses    []netip.Prefix
	Users        []string
	Databases    []string
	Applications []string
	Connections  int
}

// Pressure defines when the router is under pressure, and how far it lowers the caps. Shares are of the maximum.
type Pressure struct {
	Enter, Leave float64     // of connections or memory in use: pressure begins at Enter and ends when all are under Leave
	NewPerSecond int         // arrivals, accepted or not, at which pressure begins; 0: they don't count
	MinDuration  clock.Nanos // pressure lasts at least so long
	CapFactor    float64     // factor on the caps for each address and prefix under pressure
}

// Reason says why a connection was rejected or evicted.
type Reason int

// The reasons. None is that of an accepted connection.
const (
	None             Reason = iota
	AddressFull             // its address holds its maximum
	AddressRate             // too many arrivals from its address
	PrefixFull              // its prefix holds its maximum
	PrefixRate              // too many arrivals from its prefix
	TotalRate               // too many arrivals in all
	AtCapacity              // no capacity, and no connection that could be evicted
	Reserved                // the capacity is lent and its reserve may need it back
	Displaced               // evicted for another connection
	Silent                  // silent for too long while capacity is short
	Idle                    // idle while capacity is short
	OverCap                 // idle, and over a cap that was lowered
	OutOfDescriptors        // the system has no descriptors left
	ReasonCount             // the number of reasons
)

var reasonNames = [ReasonCount]string{"none", "address_full", "address_rate", "prefix_full", "prefix_rate", "total_rate",
	"full", "reserved", "displaced", "silent", "idle", "over_cap", "out_of_descriptors"}

// String is the reason's name in logs and accounts.
func (r Reason) String() string {
	if r < 0 || r >= ReasonCount {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return reasonNames[r]
}

// Verdict is the decision on a connection that arrives, starts or sends a request.
type Verdict struct {
	Reason     Reason      // None: accepted
	Limit      int         // the cap that was reached
	RetryAfter clock.Nanos // when it may return; 0: not known
	Close      []Eviction
}

// Admitted says whether the connection is accepted.
func (v Verdict) Admitted() bool { return v.Reason == None }

// Eviction is a connection that is to be closed. It counts as held until
// Closed, and its further requests are rejected.
type Eviction struct {
	ID         ID
	Reason     Reason
	RetryAfter clock.Nanos // when it may return
	// Word says whether the client receives the error: one that has queried before may be sending
	// a query right now, and would take the error for its answer.
	Notify bool
}

// Identity is what a startup message says about its client.
type Identity struct{ User, Database, Application string }

// Check returns an error that names the first invalid field.
//
//nolint:funlen // to be split (docs/ROADMAP.md, readable code)
func (s *Settings) Check() error {
	var errs []error
	bad := func(field, text string, args ...any) {
		errs = append(errs, fmt.Errorf(field+": "+text, args...))
	}
	if s.Connections < 1 {
		bad("connections", "%d, at least 1 needed", s.Connections)
	}
	for _, c := range []struct {
		name string
		n    int
	}{{"per_address", s.PerAddress}, {"per_prefix", s.PerPrefix}} {
		if c.n < 0 {
			bad(c.name, "%d is below 0", c.n)
		}
	}
	for _, c := range []struct {
		name string
		n    int
	}{{"new_per_s", s.NewAddress}, {"new_per_s_prefix", s.NewPrefix}, {"new_per_s_total", s.NewTotal}} {
		if c.n < 0 || c.n > maxRate {
			bad(c.name, "%d is not between 0 and %d", c.n, maxRate)
		}
	}
	if s.PerAddress > 0 && s.PerPrefix > 0 && s.PerPrefix < s.PerAddress {
		bad("per_prefix", "%d is under per_address, %d", s.PerPrefix, s.PerAddress)
	}
	if s.NewAddress > 0 && s.NewPrefix > 0 && s.NewPrefix < s.NewAddress {
		bad("new_per_s_prefix", "%d is under new_per_s, %d", s.NewPrefix, s.NewAddress)
	}
	sum, names := 0, map[string]bool{}
	for i, r := range s.Reserves {
		at := fmt.Sprintf("reserve[%d]", i)
		switch {
		case r.Name == "":
			bad(at+".name", "missing")
		case names[r.Name]:
			bad(at+".name", "%q again", r.Name)
		}
		names[r.Name] = true
		if r.Connections < 1 {
			bad(at+".connections", "%d, at least 1 needed", r.Connections)
		}
		if len(r.Addresses)+len(r.Users)+len(r.Databases)+len(r.Applications) == 0 {
			bad(at, "nobody is known by it: addresses, users, databases and applications are empty")
		}
		if s.PerAddress > 0 && r.Connections > s.PerAddress && r.oneAddress() {
			bad(at+".connections", "%d for a single address, of which per_address allows %d", r.Connections, s.PerAddress)
		}
		sum += r.Connections
	}
	if sum > 0 && sum >= s.Connections {
		bad("reserve", "%d connections in all, of %d that the router holds: nothing is left for others", sum, s.Connections)
	}
	p := s.Pressure
	if !(p.Leave >= 0 && p.Leave <= p.Enter) || p.Enter > 1 {
		bad("pressure", "leave %v and enter %v are not in order between 0 and 1", p.Leave, p.Enter)
	}
	if !(p.CapFactor > 0 && p.CapFactor <= 1) {
		bad("pressure.caps", "%v is not above 0 and up to 1", p.CapFactor)
	}
	if s.MaxSources < 1 {
		bad("remembered", "%d, at least 1 needed", s.MaxSources)
	}
	return errors.Join(errs...)
}

// oneAddress says whether only a single address can ever use the reserve.
func (r *Reserve) oneAddress() bool {
	return len(r.Addresses) == 1 && r.Addresses[0].IsSingleIP() && len(r.Users)+len(r.Databases)+len(r.Applications) == 0
}
