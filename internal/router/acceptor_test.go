package router

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lotushook/internal/nettest"
	"lotushook/internal/siteconfig"
)

// admissionConfig returns a site configuration with these admission settings.
func admissionConfig(t *testing.T, settings string) *siteconfig.Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(`{"admission":`+settings+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := siteconfig.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// startAdmissionRouter starts a router with admission settings. Clients a and b have addresses with the same prefix,
// client k has an address that a reserve (capacity for certain clients) is for.
func startAdmissionRouter(t *testing.T, settings string) (*nettest.Network, *Router) {
	t.Helper()
	acceptEnd := make(chan time.Time)
	close(acceptEnd)
	stage, router, _, _ := startRouterWithConfig(t, admissionConfig(t, settings), acceptEnd, noTimeouts)
	stage.SetSourceAddress("a", "127.2.0.1")
	stage.SetSourceAddress("b", "127.2.0.2")
	stage.SetSourceAddress("k", "127.9.0.1")
	stage.SetClients("", stage.Expand("{router}"))
	return stage, router
}

// firstReadScenario is a scenario in which the read of a client makes the router connect to s1.
const firstReadScenario = `
	send %[1]s startup | Q "/* id=%[1]s0,c=read,d=20000,cluster=1 */ A"
	wait s1
	expect s1 startup
	send s1 welcome
	expect s1 Q "/* id=%[1]s0,c=read,d=#,cluster=1 */ A"
	send s1 T | D "v" | C | S rank=copy | Z
	expect %[1]s welcome | T | D "v" | C | Z
	`

// A client whose address is over its limit is rejected with a Retry-After time before the router reads anything from
// it. Clients from other addresses are accepted.
func TestAdmissionCaps(t *testing.T) {
	stage, router := startAdmissionRouter(t, `{"per_address":2,"per_prefix":3,"come_back_ms":200}`)
	stage.Run(`
		send a1 startup
		send a2 startup
		expect a1 welcome
		expect a2 welcome
		expect a3 FATAL 53300 # | EOF
		send b1 startup
		expect b1 welcome
		expect b2 FATAL 53300 # | EOF
		send k1 startup | Q ""
		expect k1 welcome | I | Z
		send a1 Q ""
		expect a1 I | Z
		close a2
		close b2`)
	waitForConnections(t, router, 3)
	stage.Run(`
		send a4 startup
		expect a4 welcome`)
}

// waitForConnections waits until the admission controller counts this number of connections.
func waitForConnections(t *testing.T, router *Router, want int) {
	t.Helper()
	for timeout := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		router.acceptor.mu.Lock()
		connections, _ := router.acceptor.admission.Size()
		router.acceptor.mu.Unlock()
		if connections == want {
			return
		}
		if time.Now().After(timeout) {
			t.Fatalf("%d connections are counted, want %d", connections, want)
		}
	}
}

// waitForIdleClients waits until this number of clients that have queried are idle. A client receives its answer
// shortly before the router counts it as idle, so without this wait two clients that are answered in turn can become
// idle in the reverse order.
func waitForIdleClients(t *testing.T, router *Router, want int) {
	t.Helper()
	for timeout := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		count := 0
		router.clients.mu.Lock()
		for client := range router.clients.all {
			if _, hasQueried, idle := client.idleState(); hasQueried && idle {
				count++
			}
		}
		router.clients.mu.Unlock()
		if count == want {
			return
		}
		if time.Now().After(timeout) {
			t.Fatalf("%d clients are idle, want %d", count, want)
		}
	}
}

// A client that a reserve is for is accepted at once, though the unused capacity of the reserve is lent to other
// clients: one of them is evicted. An evicted client that has queried is closed without an error, so that it can send a
// query that was in transit at the close elsewhere. An evicted client that has not queried receives an error.
func TestDoorReserve(t *testing.T) {
	stage, router := startAdmissionRouter(t, `{"spare_ms":3600000,"green_ms":3600000,"crowd_share":0,
		"reserve":[{"name":"counters","addresses":["127.9.0.0/24"],"connections":3}]}`)
	capacity := router.acceptor.capacity()
	stage.Run(fmt.Sprintf(firstReadScenario, "a1"))
	stage.Run(`send a2 startup
		expect a2 welcome`)
	waitForIdleClients(t, router, 1)
	for i := range capacity - 2 {
		stage.Run(fmt.Sprintf("send b%d startup\nexpect b%[1]d welcome\nsend b%[1]d Q \"\"\nexpect b%[1]d I | Z", i))
		waitForIdleClients(t, router, i+2)
	}
	stage.Run(`
		expect c1 FATAL 53300 # | EOF
		send k1 startup | Q ""
		expect k1 welcome | I | Z
		expect a1 EOF
		send k2 startup
		expect k2 welcome
		send b0 Q ""`)
	stage.Run("expect b0 EOF\nsend k3 startup\nexpect k3 welcome\nexpect b1 EOF")
	stage.Run(`expect k4 FATAL 53300 # | EOF
		send b2 Q ""
		expect b2 I | Z`)
}

// Clients with open requests must not use up the capacity that a reserve lends: a query that would exceed the limit is
// rejected, and has not run.
func TestDoorLentBusy(t *testing.T) {
	const capacity, shared = 593, 2 // of a router with 1,024 descriptors
	stage, router := startAdmissionRouter(t, fmt.Sprintf(`{"crowd_share":0,"reserve":[{"name":"counters","addresses":["127.9.0.0/24"],"connections":%d}]}`, capacity-shared))
	if actual := router.acceptor.capacity(); actual != capacity {
		t.Fatalf("the capacity is %d", actual)
	}
	for i := range shared + 1 {
		stage.Run(fmt.Sprintf("send a%d startup\nexpect a%[1]d welcome", i))
	}
	for i := range shared {
		stage.Run(fmt.Sprintf(`send a%d Q "/* id=%[1]d,c=read,d=20000,cluster=1 */ A"
			wait s1 as x%[1]d
			expect x%[1]d startup
			send x%[1]d welcome
			expect x%[1]d Q "/* id=%[1]d,c=read,d=#,cluster=1 */ A"`, i))
	}
	stage.Run(fmt.Sprintf(`send a%d Q "/* id=x,c=read,d=20000,cluster=1 */ A"
		expect a%[1]d FATAL 53300 # | EOF
		send x0 T | D "v" | C | S rank=copy | Z
		expect a0 T | D "v" | C | Z`, shared))
}

// Hundreds of addresses with the same prefix together can't exceed the limit of the prefix.
func TestAdmissionPrefixFlood(t *testing.T) {
	stage, router := startAdmissionRouter(t, `{"per_address":2,"per_prefix":5,"green_ms":3600000}`)
	for i := range 200 {
		name := fmt.Sprintf("f%d.", i)
		stage.SetSourceAddress(name, fmt.Sprintf("127.3.0.%d", i+1))
		if i < 5 {
			stage.Run("send " + name + " startup\nexpect " + name + " welcome")
		} else {
			stage.Run("expect " + name + " FATAL 53300 # | EOF")
		}
	}
	stage.Run(`send k1 startup | Q ""
		expect k1 welcome | I | Z`)
	waitForConnections(t, router, 6)
}

// A reload that lowers a limit below the number of connections closes the idle clients and lets open requests finish.
// Invalid settings change nothing.
func TestAdmissionReload(t *testing.T) {
	stage, router := startAdmissionRouter(t, `{"per_address":4,"spare_ms":0}`)
	stage.Run(fmt.Sprintf(firstReadScenario, "a1"))
	stage.Run(`send a2 startup
		expect a2 welcome
		send a3 startup | Q "/* id=03,c=read,d=20000,cluster=1 */ A"
		expect a3 welcome
		expect s1 Q "/* id=03,c=read,d=#,cluster=1 */ A"`)
	if err := router.Reload(router.config, &siteconfig.Config{}); err == nil {
		t.Error("a reload disabled admission")
	}
	if err := router.Reload(router.config, admissionConfig(t, `{"reserve":[{"name":"x","users":["x"],"connections":100000}]}`)); err == nil {
		t.Error("a reserve above the total capacity was accepted")
	}
	stage.Run(`send a1 Q ""
		expect a1 I | Z`)
	if err := router.Reload(router.config, admissionConfig(t, `{"per_address":1,"spare_ms":0}`)); err != nil {
		t.Fatal(err)
	}
	stage.Run(`expect a1 EOF
		expect a4 FATAL 53300 # | EOF
		send s1 T | D "v" | C | S rank=copy | Z
		expect a3 T | D "v" | C | Z | EOF`)
}

// A router that shuts down during a flood of connections answers its open requests and ends.
func TestShutdownDuringConnectionFlood(t *testing.T) {
	acceptEnd := make(chan time.Time)
	timeouts := noTimeouts
	timeouts.firstQuery = time.Millisecond // the flooding clients send no query
	stage, router, shutDown, done := startRouterWithConfig(t, admissionConfig(t, `{"per_address":20}`), acceptEnd, timeouts)
	stopAccepting := sync.OnceFunc(func() { close(acceptEnd) })
	t.Cleanup(stopAccepting)
	stage.SetSourceAddress("a", "127.2.0.1")
	stage.SetClients("", stage.Expand("{router}"))
	stage.Run(`
		send a1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	var flood sync.WaitGroup
	var floodOver atomic.Bool
	var rejected atomic.Int64
	for range 50 {
		flood.Go(func() {
			buffer := make([]byte, 64)
			for !floodOver.Load() {
				conn, err := net.Dial("tcp", stage.Expand("{router}"))
				if err != nil {
					return // the listener is closed
				}
				conn.SetReadDeadline(time.Now().Add(time.Second))
				if count, _ := conn.Read(buffer); count > 0 && buffer[0] == 'E' {
					rejected.Add(1)
				}
				conn.Close()
			}
		})
	}
	for timeout := time.Now().Add(20 * time.Second); rejected.Load() < 200; time.Sleep(time.Millisecond) {
		if time.Now().After(timeout) {
			t.Fatalf("only %d of the flooding clients received an error", rejected.Load())
		}
	}
	shutDown()
	stopAccepting()
	stage.Run(`
		send s1 T | D "v" | C | S rank=copy | Z
		expect a1 welcome | T | D "v" | C | Z | EOF`)
	if err := <-done; err != nil {
		t.Error(err)
	}
	floodOver.Store(true)
	flood.Wait()
	if _, clients := router.descriptors.Clients(); clients != 0 {
		t.Errorf("%d clients' descriptors are still counted", clients)
	}
	// A probe may still be in flight.
	waitUntil(t, "no data server's descriptor is counted", func() bool { return router.descriptors.Used() == 0 })
}
