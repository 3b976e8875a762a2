// Package admission decides which client connections a router accepts and which it evicts. A connection is decided on
// when it arrives, by its address; when its startup message identifies the client; and when it sends a request. It may
// be evicted to free capacity for another one, when the router is under pressure, or when a cap is lowered. A cap is a
// limit on connections or arrivals: those of one address or prefix, or all. A reserve is capacity for certain clients.
//
// Decisions depend only on counts and on the times passed to this package, which opens and closes no sockets. Other
// packages decide what happens to accepted requests.
package admission

import (
	"errors"
	"fmt"
	"net/netip"

	"lotushook/policy/clock"
)

// ID identifies an open connection. The caller chooses it, and may reuse it after Closed.
type ID uint64

// Settings are the limits. A limit of 0 is not enforced.
type Settings struct {
	MaxConnections int // maximum number of open connections

	MaxPerAddress      int            // open connections from one address
	MaxPerPrefix       int            // open connections from one prefix: IPv4 /24, IPv6 /64
	AddressRateLimit   int            // arrivals from one address within any second
	PrefixRateLimit    int            // arrivals from one prefix within any second
	TotalRateLimit     int            // arrivals in total within any second
	SharedAddresses    []netip.Prefix // addresses that many clients share, so that limits by address or prefix don't apply
	Reserves           []Reserve
	CrowdedThreshold   int // number of open connections above which those idle for CrowdedIdleTimeout are evicted
	CrowdedIdleTimeout clock.Nanos
	EvictableIdle      clock.Nanos // time without a request after which a connection may be evicted for another
	EvictableSilence   clock.Nanos // time without a startup message after which a connection may be evicted for another
	SilenceTimeout     clock.Nanos // time without a startup message after which a connection is evicted under pressure
	Pressure           Pressure
	MaxSources         int         // maximum number of stored addresses without connections, and of such prefixes
	RetryAfter         clock.Nanos // default Retry-After time, if no better one is known; jitter adds up to half of it
	MaxRetryAfter      clock.Nanos // maximum of all Retry-After times; 0: none
}

// Reserve is capacity for certain clients. A connection belongs to a reserve by its address, or once its startup
// message contains one of the listed names. Unused capacity of a reserve is lent to other connections, which are
// evicted when the reserve needs it back.
type Reserve struct {
	Name         string
	Addresses    []netip.Prefix
	Users        []string
	Databases    []string
	Applications []string
	Capacity     int // number of connections
}

// Pressure defines when the router is under pressure, and how much this lowers the caps.
type Pressure struct {
	Enter, Leave      float64     // used shares of connections or memory: pressure begins at Enter and ends below Leave
	ArrivalsPerSecond int         // arrivals, accepted or not, at which pressure begins; 0: not considered
	MinDuration       clock.Nanos // minimum duration of pressure
	CapFactor         float64     // factor on the limits by address and prefix under pressure
}

// Reason says why a connection was rejected or evicted.
type Reason int

// The reasons. None is the reason of an accepted connection.
const (
	None             Reason = iota
	AddressFull             // its address has its maximum of connections
	AddressRate             // too many arrivals from its address
	PrefixFull              // its prefix has its maximum of connections
	PrefixRate              // too many arrivals from its prefix
	TotalRate               // too many arrivals in total
	AtCapacity              // no capacity, and no connection may be evicted
	Reserved                // only reserved capacity is left, which can't be reclaimed from a connection that waits
	Displaced               // evicted for another connection
	Silent                  // no startup message for too long under pressure
	Idle                    // idle for CrowdedIdleTimeout while there are many connections
	OverCap                 // idle, and over a cap that was lowered
	OutOfDescriptors        // the system has no file descriptors left
	ReasonCount             // the number of reasons
)

var reasonNames = [ReasonCount]string{"none", "address_full", "address_rate", "prefix_full", "prefix_rate", "total_rate",
	"full", "reserved", "displaced", "silent", "idle", "over_cap", "out_of_descriptors"}

// String returns the reason's name in logs and accounts.
func (r Reason) String() string {
	if r < 0 || r >= ReasonCount {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return reasonNames[r]
}

// Verdict is the decision on a connection when it arrives, when it starts, or when it sends a request.
type Verdict struct {
	Reason     Reason      // None: accepted
	Limit      int         // the limit that was reached
	RetryAfter clock.Nanos // when the client may connect again; 0: not known
	Evictions  []Eviction
}

// Admitted reports whether the connection or request is accepted.
func (v Verdict) Admitted() bool { return v.Reason == None }

// Eviction is a connection that the caller must close. Its ID stays in use until Closed is called, and any further
// requests that it sends are rejected.
type Eviction struct {
	ID         ID
	Reason     Reason
	RetryAfter clock.Nanos // when the client may connect again
	// Notify says whether to send the client an error before closing. An idle client is sent none: it may be sending a
	// request at this moment, and would take the error for the response.
	Notify bool
}

// Identity contains the names in a client's startup message.
type Identity struct{ User, Database, Application string }

// Check returns an error that names all invalid fields.
//
//nolint:funlen // to be split (docs/ROADMAP.md, readable code)
func (settings *Settings) Check() error {
	var errs []error
	invalid := func(field, text string, args ...any) {
		errs = append(errs, fmt.Errorf(field+": "+text, args...))
	}
	if settings.MaxConnections < 1 {
		invalid("connections", "%d is below 1", settings.MaxConnections)
	}
	for _, limit := range []struct {
		name  string
		value int
	}{{"per_address", settings.MaxPerAddress}, {"per_prefix", settings.MaxPerPrefix}} {
		if limit.value < 0 {
			invalid(limit.name, "%d is below 0", limit.value)
		}
	}
	for _, limit := range []struct {
		name  string
		value int
	}{{"new_per_s", settings.AddressRateLimit},
		{"new_per_s_prefix", settings.PrefixRateLimit}, {"new_per_s_total", settings.TotalRateLimit}} {
		if limit.value < 0 || limit.value > maxRate {
			invalid(limit.name, "%d is not between 0 and %d", limit.value, maxRate)
		}
	}
	if settings.MaxPerAddress > 0 && settings.MaxPerPrefix > 0 && settings.MaxPerPrefix < settings.MaxPerAddress {
		invalid("per_prefix", "%d is under per_address, %d", settings.MaxPerPrefix, settings.MaxPerAddress)
	}
	if settings.AddressRateLimit > 0 && settings.PrefixRateLimit > 0 && settings.PrefixRateLimit < settings.AddressRateLimit {
		invalid("new_per_s_prefix", "%d is under new_per_s, %d", settings.PrefixRateLimit, settings.AddressRateLimit)
	}
	reserved, names := 0, map[string]bool{}
	for i, reserve := range settings.Reserves {
		path := fmt.Sprintf("reserve[%d]", i)
		switch {
		case reserve.Name == "":
			invalid(path+".name", "missing")
		case names[reserve.Name]:
			invalid(path+".name", "%q is a duplicate", reserve.Name)
		}
		names[reserve.Name] = true
		if reserve.Capacity < 1 {
			invalid(path+".connections", "%d is below 1", reserve.Capacity)
		}
		if len(reserve.Addresses)+len(reserve.Users)+len(reserve.Databases)+len(reserve.Applications) == 0 {
			invalid(path, "nobody can match it: addresses, users, databases and applications are empty")
		}
		if settings.MaxPerAddress > 0 && reserve.Capacity > settings.MaxPerAddress && reserve.hasSingleAddress() {
			invalid(path+".connections", "%d for a single address, of which per_address allows %d", reserve.Capacity, settings.MaxPerAddress)
		}
		reserved += reserve.Capacity
	}
	if reserved > 0 && reserved >= settings.MaxConnections {
		invalid("reserve", "%d connections in total, of %d that the router accepts: nothing is left for others", reserved, settings.MaxConnections)
	}
	pressure := settings.Pressure
	if !(pressure.Leave >= 0 && pressure.Leave <= pressure.Enter) || pressure.Enter > 1 {
		invalid("pressure", "leave %v and enter %v are not in order between 0 and 1", pressure.Leave, pressure.Enter)
	}
	if !(pressure.CapFactor > 0 && pressure.CapFactor <= 1) {
		invalid("pressure.caps", "%v is not above 0 and up to 1", pressure.CapFactor)
	}
	if settings.MaxSources < 1 {
		invalid("remembered", "%d is below 1", settings.MaxSources)
	}
	return errors.Join(errs...)
}

// hasSingleAddress reports whether only a single address can use the reserve.
func (reserve *Reserve) hasSingleAddress() bool {
	return len(reserve.Addresses) == 1 && reserve.Addresses[0].IsSingleIP() &&
		len(reserve.Users)+len(reserve.Databases)+len(reserve.Applications) == 0
}
