package admission

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"lotushook/policy/clock"
)

const ms = clock.Nanos(1e6)

// ignoreRetryAfter leaves out the Retry-After times, which have random jitter.
var ignoreRetryAfter = cmpopts.IgnoreFields(Eviction{}, "RetryAfter")

// testSettings returns limits that are small enough to be reached in a few steps.
func testSettings() Settings {
	return Settings{MaxConnections: 10, MaxPerAddress: 4, MaxPerPrefix: 6, AddressRateLimit: 8, PrefixRateLimit: 12,
		EvictableIdle: 100 * ms, EvictableSilence: 20 * ms, SilenceTimeout: 250 * ms, CrowdedIdleTimeout: 500 * ms, MaxSources: 4, RetryAfter: 1000 * ms, MaxRetryAfter: 2000 * ms,
		Pressure: Pressure{Enter: 0.9, Leave: 0.5, MinDuration: 1000 * ms, CapFactor: 0.5},
		Reserves: []Reserve{{Name: "counters", Addresses: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}, Capacity: 3}}}
}

func newTestController(t *testing.T, settings Settings) *Controller {
	t.Helper()
	controller, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	return controller
}

func parseAddr(address string) netip.Addr { return netip.MustParseAddr(address) }

// Open connections and arrivals are limited for each address and each prefix.
func TestCaps(t *testing.T) {
	for _, test := range []struct {
		name      string
		settings  func(*Settings)
		addresses []string // of the arrivals in sequence, all at the same time
		want      []Reason
	}{
		{"one address", nil, []string{"10.1.0.1", "10.1.0.1", "10.1.0.1", "10.1.0.1", "10.1.0.1", "10.1.0.2"},
			[]Reason{None, None, None, None, AddressFull, None}},
		{"many addresses of a /24", nil, []string{"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4", "10.1.0.5", "10.1.0.6", "10.1.0.7", "10.1.1.1"},
			[]Reason{None, None, None, None, None, None, PrefixFull, None}},
		{"many addresses of a /64", nil, []string{"fd00::1", "fd00::2", "fd00::3", "fd00::4", "fd00::5", "fd00::6", "fd00::7", "fd00:0:0:1::1"},
			[]Reason{None, None, None, None, None, None, PrefixFull, None}},
		{"an IPv4-mapped IPv6 address", nil, []string{"10.1.0.1", "::ffff:10.1.0.1", "10.1.0.1", "::ffff:10.1.0.1", "10.1.0.1"},
			[]Reason{None, None, None, None, AddressFull}},
		{"arrival rate of an address", func(s *Settings) { s.MaxPerAddress, s.MaxPerPrefix, s.AddressRateLimit = 0, 0, 2 }, []string{"10.1.0.1", "10.1.0.1", "10.1.0.1", "10.1.0.2"},
			[]Reason{None, None, AddressRate, None}},
		{"arrival rate of a prefix", func(s *Settings) { s.MaxPerAddress, s.MaxPerPrefix, s.AddressRateLimit, s.PrefixRateLimit = 0, 0, 0, 2 }, []string{"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.1.1"},
			[]Reason{None, None, PrefixRate, None}},
		{"total arrival rate, which exempts reserves", func(s *Settings) { s.TotalRateLimit = 2 }, []string{"10.1.0.1", "10.2.0.1", "10.3.0.1", "10.9.0.1"},
			[]Reason{None, None, TotalRate, None}},
		{"a shared address has no limits", func(s *Settings) {
			s.SharedAddresses = []netip.Prefix{netip.MustParsePrefix("10.1.0.1/32")}
		}, []string{"10.1.0.1", "10.1.0.1", "10.1.0.1", "10.1.0.1", "10.1.0.1", "10.1.0.1", "10.1.0.1"}, []Reason{None, None, None, None, None, None, None}},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings()
			settings.Pressure.Enter = 1
			if test.settings != nil {
				test.settings(&settings)
			}
			controller, got := newTestController(t, settings), []Reason(nil)
			for i, address := range test.addresses {
				got = append(got, controller.Arrive(ID(i), parseAddr(address), 5e9).Reason)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A rejected client that connects again after the Retry-After time is accepted.
func TestRetryAfter(t *testing.T) {
	settings := testSettings()
	settings.AddressRateLimit, settings.MaxRetryAfter, settings.MaxConnections = 3, 0, 100
	controller := newTestController(t, settings)
	now := 5e9 + 37*ms
	for i := range 3 {
		controller.Arrive(ID(i), parseAddr("10.1.0.1"), now)
		controller.Closed(ID(i))
		now += 120 * ms
	}
	verdict := controller.Arrive(9, parseAddr("10.1.0.1"), now)
	if verdict.Reason != AddressRate || verdict.Limit != 3 || verdict.RetryAfter <= 0 || verdict.RetryAfter > 1600*ms {
		t.Fatalf("%+v", verdict)
	}
	if verdict = controller.Arrive(10, parseAddr("10.1.0.1"), now+verdict.RetryAfter); !verdict.Admitted() {
		t.Errorf("after RetryAfter: %+v", verdict)
	}
}

// Unused capacity of a reserve is lent to other connections. When the reserve needs it, it is reclaimed at once: first
// from connections without a startup message, then from idle ones, never from one that waits for a response.
func TestLentReserve(t *testing.T) {
	settings := testSettings()
	settings.MaxPerAddress, settings.MaxPerPrefix, settings.AddressRateLimit, settings.PrefixRateLimit = 0, 0, 0, 0
	controller := newTestController(t, settings)
	now := clock.Nanos(5e9)
	for i := range 10 { // connections use all capacity, three of them on capacity that the reserve lends
		if verdict := controller.Arrive(ID(i), parseAddr("10.1.0.1"), now); !verdict.Admitted() {
			t.Fatalf("%d: %+v", i, verdict)
		}
	}
	for i := range 9 {
		controller.Identify(ID(i), Identity{}, now)
	}
	for i := range 8 {
		want := None
		if i == 7 { // the eighth request would wait for its response on lent capacity
			want = Reserved
		}
		if verdict := controller.Request(ID(i), now); verdict.Reason != want {
			t.Fatalf("%d: %+v", i, verdict)
		}
	}
	controller.Closed(7)
	controller.Answered(6, now)
	if verdict := controller.Arrive(20, parseAddr("10.1.0.1"), now); !verdict.Admitted() { // on connection 7's capacity
		t.Fatalf("%+v", verdict)
	}
	for i, want := range []Eviction{{ID: 9, Reason: Displaced, Notify: true}, {ID: 20, Reason: Displaced, Notify: true}, {ID: 6, Reason: Displaced, Notify: false}} {
		verdict := controller.Arrive(ID(30+i), parseAddr("10.9.0.1"), now)
		if !verdict.Admitted() || !cmp.Equal(verdict.Evictions, []Eviction{want}, ignoreRetryAfter) {
			t.Errorf("connection %d of the reserve: %+v", i, verdict)
		}
	}
	if verdict := controller.Arrive(40, parseAddr("10.9.0.1"), now); verdict.Reason != AtCapacity { // the reserve is full
		t.Errorf("%+v", verdict)
	}
	if verdict := controller.Request(6, now); verdict.Reason != Displaced { // the request arrives while its connection is being closed
		t.Errorf("%+v", verdict)
	}
}

// A connection that only its startup message identifies as part of a reserve is accepted when it arrives.
func TestNamedReserve(t *testing.T) {
	settings := testSettings()
	settings.MaxPerAddress, settings.MaxPerPrefix, settings.AddressRateLimit, settings.PrefixRateLimit = 0, 0, 0, 0
	settings.Reserves = []Reserve{{Name: "counters", Users: []string{"counter"}, Databases: []string{"loans"}, Applications: []string{"desk"}, Capacity: 2}}
	controller := newTestController(t, settings)
	now := clock.Nanos(5e9)
	for i := range 10 {
		controller.Arrive(ID(i), parseAddr("10.1.0.1"), now)
		controller.Identify(ID(i), Identity{User: "app"}, now)
	}
	for i, identity := range []Identity{{User: "counter"}, {Application: "desk"}} {
		verdict := controller.Arrive(ID(20+i), parseAddr("10.1.0.1"), now)
		if !verdict.Admitted() || len(verdict.Evictions) != 1 || !controller.Identify(ID(20+i), identity, now).Admitted() {
			t.Fatalf("%+v", verdict)
		}
	}
	if verdict := controller.Arrive(30, parseAddr("10.1.0.1"), now); verdict.Reason != AtCapacity {
		t.Errorf("the reserve is in use: %+v", verdict)
	}
}

// Under pressure, the limits by address and prefix shrink and connections without a startup message are closed early.
// Pressure ends only when all usage is well below its start level, and not before MinDuration.
func TestPressure(t *testing.T) {
	settings := testSettings()
	settings.Pressure.ArrivalsPerSecond = 5
	controller := newTestController(t, settings)
	now := clock.Nanos(5e9)
	for i := range 5 {
		controller.Arrive(ID(i), parseAddr("10.1.0.1"), now)
	}
	if !controller.UnderPressure() {
		t.Fatal("no pressure at 5 arrivals a second")
	}
	if verdict := controller.Arrive(9, parseAddr("10.1.0.1"), now); verdict.Reason != AddressRate || verdict.Limit != 4 {
		t.Errorf("%+v", verdict)
	}
	if evictions := controller.Sweep(now+4*ms, 0); len(evictions) > 0 {
		t.Errorf("evicted early: %v", evictions)
	}
	// Two connections exceed the caps under pressure and are evicted before SilenceTimeout, the others after it.
	want := []Eviction{{ID: 0, Reason: Silent, Notify: true}, {ID: 1, Reason: Silent, Notify: true}}
	if diff := cmp.Diff(want, controller.Sweep(now+249*ms, 0), ignoreRetryAfter); diff != "" {
		t.Error(diff)
	}
	want = []Eviction{{ID: 2, Reason: Silent, Notify: true}, {ID: 3, Reason: Silent, Notify: true}}
	if diff := cmp.Diff(want, controller.Sweep(now+250*ms, 0), ignoreRetryAfter); diff != "" {
		t.Error(diff)
	}
	controller.Sweep(now+2000*ms, 0.95)
	controller.Sweep(now+2900*ms, 0)
	if !controller.UnderPressure() {
		t.Error("pressure ended before MinDuration")
	}
	controller.Sweep(now+3000*ms, 0.6)
	if !controller.UnderPressure() {
		t.Error("pressure ended between Leave and Enter")
	}
	if controller.Sweep(now+3100*ms, 0.4); controller.UnderPressure() {
		t.Error("pressure did not end")
	}
}

// After a cap is lowered, connections over it are evicted once they are idle, but not while they wait for a response.
func TestLoweredCap(t *testing.T) {
	settings := testSettings()
	settings.Pressure.Enter = 1
	controller := newTestController(t, settings)
	now := clock.Nanos(5e9)
	for i := range 4 {
		controller.Arrive(ID(i), parseAddr("10.1.0.1"), now)
		controller.Identify(ID(i), Identity{}, now)
		controller.Request(ID(i), now)
	}
	settings.MaxPerAddress = 1
	if err := controller.UpdateSettings(settings); err != nil {
		t.Fatal(err)
	}
	if evictions := controller.Sweep(now, 0); len(evictions) > 0 {
		t.Errorf("evicted while waiting for a response: %v", evictions)
	}
	for i := range 4 {
		controller.Answered(ID(i), now)
	}
	if evictions := controller.Sweep(now+50*ms, 0); len(evictions) > 0 {
		t.Errorf("evicted just after a response: %v", evictions)
	}
	want := []Eviction{{ID: 0, Reason: OverCap, Notify: false}, {ID: 1, Reason: OverCap, Notify: false}, {ID: 2, Reason: OverCap, Notify: false}}
	if diff := cmp.Diff(want, controller.Sweep(now+100*ms, 0), ignoreRetryAfter); diff != "" {
		t.Error(diff)
	}
	if open, _ := controller.Size(); open != 1 {
		t.Errorf("%d are open", open)
	}
	settings.Reserves = nil
	settings.MaxConnections = 0
	if err := controller.UpdateSettings(settings); err == nil || !strings.Contains(err.Error(), "connections") {
		t.Errorf("no connections: %v", err)
	}
}

func TestCheck(t *testing.T) {
	for message, invalidate := range map[string]func(*Settings){
		"per_address":            func(s *Settings) { s.MaxPerAddress = -1 },
		"per_prefix":             func(s *Settings) { s.MaxPerPrefix = 3 },
		"new_per_s":              func(s *Settings) { s.AddressRateLimit = 1 << 20 },
		"new_per_s_prefix":       func(s *Settings) { s.PrefixRateLimit = 7 },
		"reserve[0].name":        func(s *Settings) { s.Reserves[0].Name = "" },
		"reserve[0].connections": func(s *Settings) { s.Reserves[0].Capacity = 0 },
		"nobody can match":       func(s *Settings) { s.Reserves[0].Addresses = nil },
		"nothing is left":        func(s *Settings) { s.Reserves[0].Capacity = 10 },
		"of which per_address": func(s *Settings) {
			s.Reserves[0] = Reserve{"x", []netip.Prefix{netip.MustParsePrefix("10.0.0.1/32")}, nil, nil, nil, 5}
		},
		"pressure: leave":         func(s *Settings) { s.Pressure.Leave = 1 },
		"pressure.caps":           func(s *Settings) { s.Pressure.CapFactor = 0 },
		"remembered":              func(s *Settings) { s.MaxSources = 0 },
		`reserve[1].name: "count`: func(s *Settings) { s.Reserves = append(s.Reserves, s.Reserves[0]) },
	} {
		settings := testSettings()
		invalidate(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%s: %v", message, err)
		}
	}
}

// No memory is allocated when a new connection is rejected, nor while an accepted one opens, sends requests and closes.
func BenchmarkArrive(b *testing.B) {
	settings := testSettings()
	settings.MaxConnections, settings.AddressRateLimit, settings.PrefixRateLimit, settings.MaxSources = 1000, 0, 0, 1000
	controller, err := New(settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	address, now := parseAddr("10.1.0.1"), clock.Nanos(5e9)
	for i := range 4 {
		controller.Arrive(ID(i), address, now)
		controller.Identify(ID(i), Identity{}, now)
	}
	b.Run("refused", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			controller.Arrive(9, address, now)
		}
	})
	b.Run("visit", func(b *testing.B) {
		other := parseAddr("10.2.0.1")
		b.ReportAllocs()
		for range b.N {
			now += 1e4
			controller.Arrive(10, other, now)
			controller.Identify(10, Identity{}, now)
			controller.Request(10, now)
			controller.Answered(10, now)
			controller.Closed(10)
		}
	})
}
