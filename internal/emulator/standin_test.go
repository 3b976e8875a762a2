package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lotushook/internal/nettest"
)

// startFleet starts a group of two servers and stops it at the end of the test.
func startFleet(t *testing.T) *Running {
	t.Helper()
	fleet := &Fleet{Groups: 1, Members: 2, Cores: 1, ReplicationDelay: time.Millisecond, FailoverDelay: time.Millisecond, Seed: 1,
		Classes: map[string]Class{"write": {Write: true}, "own": {Session: true}, "read": {Bound: time.Hour}}}
	running, err := fleet.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Stop)
	return running
}

// TestAnswers checks that data servers follow the protocol: the primary executes writes, but not the repetition of a
// key, and a replica rejects what it can't process.
func TestAnswers(t *testing.T) {
	running := startFleet(t)
	script := nettest.New(t)
	primary, replica := running.Servers()[0], running.Servers()[1]
	script.SetClients("p", primary.Addr())
	script.Run(`
		send p1 startup | Q "/* id=01,c=write,d=500,k=ab,cluster=1 */ INSERT"
		expect p1 welcome | T | D "k:ab" | C | S rank=source | S as_of=# | Z
		send p1 Q "/* id=02,c=write,d=500,k=ab,cluster=1 */ INSERT"
		expect p1 T | D "k:ab" | C | S rank=source | S as_of=# | Z
		send p1 Q "/* id=03,c=read,d=500,cluster=1 */ SELECT"
		expect p1 T | D "v:03" | C | S rank=source | S as_of=# | Z
		send p1 Q "SHOW vitals" | Q ""
		expect p1 T | D "x0=#.#,x1=1,inflight=0" | C | Z | I | Z
		send p1 Q "/* id=04,c=read,d=500,cluster=2 */ SELECT"
		expect p1 E XX000 | Z`)
	script.SetClients("r", replica.Addr())
	script.Define("far", fmt.Sprint(time.Now().Add(time.Hour).UnixMilli()))
	script.Run(`
		send r1 startup | Q "/* id=11,c=write,d=500,k=ac,cluster=1 */ INSERT"
		expect r1 welcome | E 25006 | S rank=copy | S as_of=# | Z
		send r1 Q "/* id=12,c=own,d=500,cluster=1,after={far} */ SELECT"
		expect r1 E 72000 | S rank=copy | S as_of=# | Z
		send r1 Q "/* id=13,c=read,d=500,cluster=1 */ SELECT"
		expect r1 T | D "v:13" | C | S rank=copy | S as_of=# | Z`)
	want := Audit{Requests: 6, Writes: 1, DuplicateWrites: 1, Misses: 2, Probes: 1}
	if got := running.Audit(); got != want {
		t.Errorf("%+v", got)
	}
}

// TestDoubled checks that an attempt is counted if another one of its request is open. An attempt whose connection was
// closed is not open.
func TestDoubled(t *testing.T) {
	running := startFleet(t)
	group := running.Groups[0]
	open, closed := &openAttempt{closed: func() bool { return false }}, &openAttempt{closed: func() bool { return true }}
	group.addAttempt("a", closed)
	group.addAttempt("a", open)
	group.addAttempt("a", closed)
	group.removeAttempt("a", closed)
	group.addAttempt("a", open)
	if got := running.Audit().ConcurrentAttempts; got != 1 {
		t.Errorf("%d", got)
	}
}

// TestTakeover checks that the replica becomes the primary when the primary fails, and that the old primary restarts as
// a replica.
func TestTakeover(t *testing.T) {
	running := startFleet(t)
	old, next := running.Servers()[0], running.Servers()[1]
	old.Kill()
	for deadline := time.Now().Add(20 * time.Second); !running.Groups[0].isPrimary(next); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no server became the primary")
		}
	}
	if err := old.Restart(); err != nil {
		t.Fatal(err)
	}
	script := nettest.New(t)
	script.SetClients("c", old.Addr())
	script.Run(`
		send c1 startup | Q "/* id=01,c=write,d=500,k=ab,cluster=1 */ INSERT"
		expect c1 welcome | E 25006 | S rank=copy | S as_of=# | Z`)
}

// TestWhoFollows checks that a failed primary which is running again is chosen only if no other server is running. In a
// group without a running server, the first one to restart becomes the primary.
func TestWhoFollows(t *testing.T) {
	for _, test := range []struct {
		up   [2]bool // the failed server, the other one
		want int     // 2: none
	}{{[2]bool{true, true}, 1}, {[2]bool{false, true}, 1}, {[2]bool{true, false}, 0}, {[2]bool{false, false}, 2}} {
		running := startFleet(t)
		group, servers := running.Groups[0], append(running.Servers(), nil)
		group.mu.Lock()
		group.primary = nil
		group.mu.Unlock()
		for index, up := range test.up {
			if !up {
				servers[index].Kill() // starts no failover, as there is no primary
			}
		}
		group.choosePrimary(servers[0])
		if group.primary != servers[test.want] {
			t.Errorf("%v up: not %d", test.up, test.want)
		}
		if test.want == 2 {
			if err := servers[1].Restart(); err != nil || !group.isPrimary(servers[1]) {
				t.Errorf("the first server to restart is not the primary: %v", err)
			}
			if servers[0].Promote(); group.isPrimary(servers[0]) {
				t.Error("a stopped server was promoted")
			}
		}
	}
}

// TestPosition checks that the position of a replica stays before a commit until the replica has applied it.
func TestPosition(t *testing.T) {
	server := &Server{group: &Group{fleet: &Fleet{ReplicationDelay: 5 * time.Millisecond, ApplyTime: 100 * time.Millisecond}}}
	server.listener = &net.TCPListener{} // marks the server as running
	start := time.UnixMilli(1e12)
	server.replicate(start)
	server.replicate(start.Add(time.Millisecond))
	for _, test := range []struct {
		at   time.Duration
		want int64
	}{{50 * time.Millisecond, 1e12 - 1}, {110 * time.Millisecond, 1e12}, {300 * time.Millisecond, 1e12 + 295}} {
		if got := server.position(start.Add(test.at)); got != test.want {
			t.Errorf("after %v: %d", test.at, got-1e12)
		}
	}
}

// TestAgent checks that the agent serves the whole list, and the changes since a version.
func TestAgent(t *testing.T) {
	running := startFleet(t)
	get := func(query string) string {
		t.Helper()
		response, err := http.Get("http://" + running.Agent.Addr() + "/v1/endpoints" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(body)
	}
	if list := get(""); strings.Count(list, "SERVING") != 2 || !strings.Contains(list, `"whole":true`) {
		t.Error(list)
	}
	if list := get("?since=2&timeout_ms=1"); !strings.Contains(list, `"hosts":[]`) {
		t.Error(list)
	}
	running.Servers()[1].Drain()
	if list := get("?since=2&timeout_ms=20000"); strings.Count(list, "DRAINING") != 1 || strings.Count(list, `"host"`) != 1 {
		t.Error(list)
	}
}

// TestFront checks that the load balancer still chooses a dead router until it has detected the failure.
func TestFront(t *testing.T) {
	balancer, now := NewLoadBalancer(2*time.Second), time.UnixMilli(1e12)
	if _, err := balancer.Pick(now); err == nil {
		t.Error("a router was chosen, but there is none")
	}
	balancer.Add("a")
	balancer.Add("b")
	balancer.MarkDead("a", now)
	counts := map[string]int{}
	for range 10 {
		addr, _ := balancer.Pick(now.Add(time.Second))
		counts[addr]++
	}
	for range 10 {
		addr, _ := balancer.Pick(now.Add(3 * time.Second))
		counts[addr]++
	}
	if counts["a"] != 5 || counts["b"] != 15 {
		t.Error(counts)
	}
}
