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

func fleet(t *testing.T) *Running {
	t.Helper()
	f := &Fleet{Groups: 1, Members: 2, Cores: 1, Ship: time.Millisecond, Takeover: time.Millisecond, Seed: 1,
		Classes: map[string]Class{"write": {Write: true}, "own": {Session: true}, "read": {Bound: time.Hour}}}
	r, err := f.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

// A data server answers as the protocol says: the primary takes writes and drops
// the repeat of a key, a replica turns away what it can't do.
func TestAnswers(t *testing.T) {
	r := fleet(t)
	s := nettest.New(t)
	primary, replica := r.Servers()[0], r.Servers()[1]
	s.SetClients("p", primary.Addr())
	s.Run(`
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
	s.SetClients("r", replica.Addr())
	s.Define("far", fmt.Sprint(time.Now().Add(time.Hour).UnixMilli()))
	s.Run(`
		send r1 startup | Q "/* id=11,c=write,d=500,k=ac,cluster=1 */ INSERT"
		expect r1 welcome | E 25006 | S rank=copy | S as_of=# | Z
		send r1 Q "/* id=12,c=own,d=500,cluster=1,after={far} */ SELECT"
		expect r1 E 72000 | S rank=copy | S as_of=# | Z
		send r1 Q "/* id=13,c=read,d=500,cluster=1 */ SELECT"
		expect r1 T | D "v:13" | C | S rank=copy | S as_of=# | Z`)
	want := Audit{Requests: 6, Writes: 1, Dropped: 1, Misses: 2, Probes: 1}
	if got := r.Audit(); got != want {
		t.Errorf("%+v", got)
	}
}

// An attempt that comes while another one of its request is open is seen; one
// whose connection was closed is not open.
func TestDoubled(t *testing.T) {
	r := fleet(t)
	g := r.Groups[0]
	open, closed := &visit{gone: func() bool { return false }}, &visit{gone: func() bool { return true }}
	g.enter("a", closed)
	g.enter("a", open)
	g.enter("a", closed)
	g.leave("a", closed)
	g.enter("a", open)
	if got := r.Audit().Doubled; got != 1 {
		t.Errorf("%d", got)
	}
}

// When the primary dies the replica follows, the list stays as it is, and the old
// one comes back as a replica.
func TestTakeover(t *testing.T) {
	r := fleet(t)
	old, next := r.Servers()[0], r.Servers()[1]
	old.Kill()
	for end := time.Now().Add(20 * time.Second); !r.Groups[0].isPrimary(next); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nobody took over")
		}
	}
	if err := old.Restart(); err != nil {
		t.Fatal(err)
	}
	s := nettest.New(t)
	s.SetClients("c", old.Addr())
	s.Run(`
		send c1 startup | Q "/* id=01,c=write,d=500,k=ab,cluster=1 */ INSERT"
		expect c1 welcome | E 25006 | S rank=copy | S as_of=# | Z`)
}

// Who died does not follow itself, though it is back first and first by name, unless nobody else is up; and a group
// that nobody was left in has a primary again with the first that comes back.
func TestWhoFollows(t *testing.T) {
	for _, c := range []struct {
		up   [2]bool // the one that died, the other
		want int     // 2: nobody
	}{{[2]bool{true, true}, 1}, {[2]bool{false, true}, 1}, {[2]bool{true, false}, 0}, {[2]bool{false, false}, 2}} {
		r := fleet(t)
		g, all := r.Groups[0], append(r.Servers(), nil)
		g.mu.Lock()
		g.primary = nil
		g.mu.Unlock()
		for i, up := range c.up {
			if !up {
				all[i].Kill() // while nobody is primary, this starts no take-over
			}
		}
		g.follow(all[0])
		if g.primary != all[c.want] {
			t.Errorf("%v up: not %d", c.up, c.want)
		}
		if c.want == 2 {
			if err := all[1].Restart(); err != nil || !g.isPrimary(all[1]) {
				t.Errorf("the first to come back is no primary: %v", err)
			}
			if all[0].Promote(); g.isPrimary(all[0]) {
				t.Error("one that is down was promoted")
			}
		}
	}
}

// Replicas apply one commit after the other: until then they stand before it.
func TestPosition(t *testing.T) {
	s := &Server{group: &Group{fleet: &Fleet{Ship: 5 * time.Millisecond, Apply: 100 * time.Millisecond}}}
	s.ln = &net.TCPListener{} // it runs
	t0 := time.UnixMilli(1e12)
	s.ship(t0)
	s.ship(t0.Add(time.Millisecond))
	for _, c := range []struct {
		at   time.Duration
		want int64
	}{{50 * time.Millisecond, 1e12 - 1}, {110 * time.Millisecond, 1e12}, {300 * time.Millisecond, 1e12 + 295}} {
		if got := s.position(t0.Add(c.at)); got != c.want {
			t.Errorf("after %v: %d", c.at, got-1e12)
		}
	}
}

// The agent tells the whole list, and then what changed.
func TestAgent(t *testing.T) {
	r := fleet(t)
	get := func(query string) string {
		t.Helper()
		resp, err := http.Get("http://" + r.Agent.Addr() + "/v1/endpoints" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	if l := get(""); strings.Count(l, "SERVING") != 2 || !strings.Contains(l, `"whole":true`) {
		t.Error(l)
	}
	if l := get("?since=2&timeout_ms=1"); !strings.Contains(l, `"hosts":[]`) {
		t.Error(l)
	}
	r.Servers()[1].Drain()
	if l := get("?since=2&timeout_ms=20000"); strings.Count(l, "DRAINING") != 1 || strings.Count(l, `"host"`) != 1 {
		t.Error(l)
	}
}

// The front goes on sending to a dead router until it notices.
func TestFront(t *testing.T) {
	f, now := NewFront(2*time.Second), time.UnixMilli(1e12)
	if _, err := f.Pick(now); err == nil {
		t.Error("a router was found where there is none")
	}
	f.Up("a")
	f.Up("b")
	f.Died("a", now)
	seen := map[string]int{}
	for range 10 {
		addr, _ := f.Pick(now.Add(time.Second))
		seen[addr]++
	}
	for range 10 {
		addr, _ := f.Pick(now.Add(3 * time.Second))
		seen[addr]++
	}
	if seen["a"] != 5 || seen["b"] != 15 {
		t.Error(seen)
	}
}
