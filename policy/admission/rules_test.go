package admission

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// model tracks what a caller of the controller can observe.
type model struct {
	addresses map[ID]netip.Addr
	busy      map[ID]bool              // a request waits for its response
	closed    map[ID]bool              // evicted or rejected, and not yet reported as Closed
	arrivals  map[string][]clock.Nanos // by address and by prefix
}

func (connections *model) countFrom(matches func(netip.Addr) bool) int {
	count := 0
	for id, address := range connections.addresses {
		if matches(address) && !connections.closed[id] {
			count++
		}
	}
	return count
}

func (connections *model) close(t *rapid.T, evictions []Eviction) {
	for _, eviction := range evictions {
		if _, open := connections.addresses[eviction.ID]; !open || connections.closed[eviction.ID] {
			t.Fatalf("%+v is not open", eviction)
		}
		if connections.busy[eviction.ID] {
			t.Fatalf("%+v waits for a response", eviction)
		}
		connections.closed[eviction.ID] = true
	}
}

// In any sequence of events, the limits on open connections and arrival rates hold, no connection that waits for a
// response is evicted, clients of a reserve are accepted up to its capacity, and the stored entries stay bounded.
//
//nolint:gocognit,funlen // one sequence of steps
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		settings.MaxConnections = rapid.IntRange(5, 12).Draw(t, "connections")
		settings.MaxPerPrefix = rapid.SampledFrom([]int{0, 6}).Draw(t, "per prefix")
		settings.AddressRateLimit = rapid.SampledFrom([]int{0, 3}).Draw(t, "new")
		settings.CrowdedThreshold = rapid.SampledFrom([]int{0, 5}).Draw(t, "crowd")
		settings.MaxSources = 8 // enough for all addresses below: the arrival rate of one that is dropped restarts at 0
		settings.Reserves = append(settings.Reserves, Reserve{Name: "desks", Users: []string{"desk"}, Capacity: 1})
		controller, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		connections := model{map[ID]netip.Addr{}, map[ID]bool{}, map[ID]bool{}, map[string][]clock.Nanos{}}
		addresses := []netip.Addr{parseAddr("10.1.0.1"), parseAddr("10.1.0.2"), parseAddr("10.1.0.3"), parseAddr("10.2.0.1"), parseAddr("10.9.0.1"), parseAddr("10.9.1.1"), parseAddr("fd00::1"), parseAddr("fd00::2")}
		now, next := clock.Nanos(5e9), ID(0)
		anyID := func() ID { return ID(rapid.Uint64Range(0, uint64(next)).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += rapid.Int64Range(0, 400).Draw(t, "ms") * ms },
			"arrive": func(t *rapid.T) {
				address := rapid.SampledFrom(addresses).Draw(t, "from")
				inReserve := address.Is4() && address.As4()[1] == 9
				used := controller.reserveUsage[0]
				verdict := controller.Arrive(next, address, now)
				connections.close(t, verdict.Evictions)
				if verdict.Admitted() {
					connections.addresses[next] = address
					for _, key := range sourceNames(address) {
						connections.arrivals[key] = append(connections.arrivals[key], now)
					}
				} else if inReserve && used < 3 && verdict.Reason == AtCapacity {
					t.Fatalf("no capacity for a client of a reserve that has %d of 3 connections", used)
				}
				next++
			},
			"start": func(t *rapid.T) {
				id := anyID()
				verdict := controller.Identify(id, Identity{User: rapid.SampledFrom([]string{"app", "desk"}).Draw(t, "user")}, now)
				if _, open := connections.addresses[id]; open && !verdict.Admitted() {
					connections.closed[id] = true
				}
			},
			"ask": func(t *rapid.T) {
				id := anyID()
				_, open := connections.addresses[id]
				switch verdict := controller.Request(id, now); {
				case verdict.Admitted() && (!open || connections.closed[id]):
					t.Fatalf("%d is not open, but its request was accepted", id)
				case verdict.Admitted():
					connections.busy[id] = true
				case open:
					connections.closed[id] = true
				}
			},
			"answered": func(_ *rapid.T) {
				id := anyID()
				controller.Answered(id, now)
				connections.busy[id] = false
			},
			"left": func(_ *rapid.T) {
				id := anyID()
				controller.Closed(id)
				delete(connections.addresses, id)
				delete(connections.busy, id)
				delete(connections.closed, id)
			},
			"sweep": func(t *rapid.T) {
				connections.close(t, controller.Sweep(now, rapid.Float64Range(0, 1).Draw(t, "memory")))
			},
			"": func(t *rapid.T) {
				openCount, stored := controller.Size()
				if count := connections.countFrom(func(netip.Addr) bool { return true }); openCount > settings.MaxConnections || openCount != count {
					t.Fatalf("%d are open, %d in the model, of at most %d", openCount, count, settings.MaxConnections)
				}
				busyOutsideReserves := 0
				for id := range connections.busy {
					if connection := controller.connections[id]; connection != nil && connection.state == busy && connection.reserve < 0 {
						busyOutsideReserves++
					}
				}
				if busyOutsideReserves > settings.MaxConnections-4 {
					t.Fatalf("%d busy connections outside the reserves, on capacity for %d", busyOutsideReserves, settings.MaxConnections-4)
				}
				for i, reserve := range settings.Reserves {
					if controller.reserveUsage[i] < 0 || controller.reserveUsage[i] > reserve.Capacity {
						t.Fatalf("reserve %s has %d connections", reserve.Name, controller.reserveUsage[i])
					}
				}
				for _, address := range addresses {
					_, prefix := sourceKeys(address)
					if count := connections.countFrom(func(other netip.Addr) bool { return address == other }); count > settings.MaxPerAddress {
						t.Fatalf("%s has %d connections", address, count)
					}
					if count := connections.countFrom(prefix.Contains); settings.MaxPerPrefix > 0 && count > settings.MaxPerPrefix {
						t.Fatalf("%s has %d connections", prefix, count)
					}
					for i, key := range sourceNames(address) {
						limit := []int{settings.AddressRateLimit, settings.PrefixRateLimit}[i]
						arrivals := connections.arrivals[key]
						if count := len(arrivals); limit > 0 && count > limit && arrivals[count-1]-arrivals[count-1-limit] < 1e9 {
							t.Fatalf("%s: more than %d arrivals within a second", key, limit)
						}
					}
				}
				if stored > 2*(settings.MaxConnections+settings.MaxSources) {
					t.Fatalf("%d addresses and prefixes are stored", stored)
				}
			},
		})
		// No client is excluded for good: once all requests have been answered and some time has passed, a new
		// connection is accepted.
		for id := range connections.busy {
			controller.Answered(id, now)
		}
		now += 5e9
		// Connections that never send a request are closed by a timeout of the router, not by the controller.
		for id, connection := range controller.connections {
			if connection.state == started {
				controller.Closed(id)
			}
		}
		if verdict := controller.Arrive(next, parseAddr("10.7.0.1"), now); !verdict.Admitted() {
			t.Fatalf("after all requests were answered: %+v", verdict)
		}
	})
}

func sourceNames(address netip.Addr) []string {
	addressKey, prefixKey := sourceKeys(address)
	return []string{addressKey.String(), fmt.Sprint("net ", prefixKey)}
}

// A permanent flood of connections without a startup message, each from another prefix, does not exclude clients that
// send their startup message at once.
func TestFloodDoesNotExcludeClients(t *testing.T) {
	settings := testSettings()
	settings.MaxConnections, settings.Reserves = 50, nil
	controller, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, next, rejected := clock.Nanos(5e9), ID(0), 0
	for round := range 2000 {
		now += 1 * ms
		for i := range 5 { // 5,000 a second, each from another prefix
			prefix := round*5 + i
			verdict := controller.Arrive(next, netip.AddrFrom4([4]byte{11, byte(prefix >> 8), byte(prefix), 1}), now)
			for _, eviction := range verdict.Evictions {
				controller.Closed(eviction.ID)
			}
			next++
		}
		if round%20 == 0 {
			id := next
			next++
			verdict := controller.Arrive(id, parseAddr("10.1.0.1"), now)
			for _, eviction := range verdict.Evictions {
				controller.Closed(eviction.ID)
			}
			if !verdict.Admitted() {
				rejected++
				continue
			}
			controller.Identify(id, Identity{}, now)
			if verdict := controller.Request(id, now); !verdict.Admitted() {
				t.Fatalf("%+v", verdict)
			}
			controller.Answered(id, now)
			controller.Closed(id)
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 100 clients that send their startup message at once were rejected", rejected)
	}
}
