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

// admitting is a setup with this admission.
func admitting(t *testing.T, text string) *siteconfig.Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(`{"admission":`+text+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	own, err := siteconfig.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return own
}

// doorStage is a running router that admits clients; those named a and b have
// addresses of one prefix, k those of a reserve.
func doorStage(t *testing.T, text string) (*nettest.Network, *Router) {
	t.Helper()
	now := make(chan time.Time)
	close(now)
	s, r, _, _ := stageOwn(t, admitting(t, text), now, endless)
	s.SetSourceAddress("a", "127.2.0.1")
	s.SetSourceAddress("b", "127.2.0.2")
	s.SetSourceAddress("k", "127.9.0.1")
	s.SetClients("", s.Expand("{router}"))
	return s, r
}

// meet is a scenario in which a client makes the router connect to s1.
const meet = `
	send %[1]s startup | Q "/* id=%[1]s0,c=read,d=20000,cluster=1 */ A"
	wait s1
	expect s1 startup
	send s1 welcome
	expect s1 Q "/* id=%[1]s0,c=read,d=#,cluster=1 */ A"
	send s1 T | D "v" | C | S rank=copy | Z
	expect %[1]s welcome | T | D "v" | C | Z
	`

// An address over its cap hears why before anything of it is read, and when to
// come again; another address gets in.
func TestDoorCaps(t *testing.T) {
	s, r := doorStage(t, `{"per_address":2,"per_prefix":3,"come_back_ms":200}`)
	s.Run(`
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
	waitHeld(t, r, 3)
	s.Run(`
		send a4 startup
		expect a4 welcome`)
}

// waitHeld waits until the gate holds so many.
func waitHeld(t *testing.T, r *Router, want int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		r.acceptor.mu.Lock()
		held, _ := r.acceptor.admission.Size()
		r.acceptor.mu.Unlock()
		if held == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d are held, %d wanted", held, want)
		}
	}
}

// waitIdle waits until so many clients that have queried are idle: a client has its answer a moment before the router counts it as
// idle, so that without this wait two clients that are answered in turn can become idle in the other order.
func waitIdle(t *testing.T, r *Router, want int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		count := 0
		r.clients.mu.Lock()
		for c := range r.clients.all {
			if _, hasQueried, idle := c.idleState(); hasQueried && idle {
				count++
			}
		}
		r.clients.mu.Unlock()
		if count == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d clients are idle, %d wanted", count, want)
		}
	}
}

// A member of a reserve gets in at once though its room is lent. Of those that
// must go one that asked before just ends, so that the query that crosses the
// close is sent elsewhere; one that never asked hears why.
func TestDoorReserve(t *testing.T) {
	s, r := doorStage(t, `{"spare_ms":3600000,"green_ms":3600000,"crowd_share":0,
		"reserve":[{"name":"counters","addresses":["127.9.0.0/24"],"connections":3}]}`)
	whole := r.acceptor.capacity()
	s.Run(fmt.Sprintf(meet, "a1"))
	s.Run(`send a2 startup
		expect a2 welcome`)
	waitIdle(t, r, 1)
	for i := range whole - 2 {
		s.Run(fmt.Sprintf("send b%d startup\nexpect b%[1]d welcome\nsend b%[1]d Q \"\"\nexpect b%[1]d I | Z", i))
		waitIdle(t, r, i+2)
	}
	s.Run(`
		expect c1 FATAL 53300 # | EOF
		send k1 startup | Q ""
		expect k1 welcome | I | Z
		expect a1 EOF
		send k2 startup
		expect k2 welcome
		send b0 Q ""`)
	s.Run("expect b0 EOF\nsend k3 startup\nexpect k3 welcome\nexpect b1 EOF")
	s.Run(`expect k4 FATAL 53300 # | EOF
		send b2 Q ""
		expect b2 I | Z`)
}

// Lent room is not filled with those that wait: the query that would is refused,
// and nothing of it has run.
func TestDoorLentBusy(t *testing.T) {
	const most, room = 593, 2 // of a router with 1,024 descriptors
	s, r := doorStage(t, fmt.Sprintf(`{"crowd_share":0,"reserve":[{"name":"counters","addresses":["127.9.0.0/24"],"connections":%d}]}`, most-room))
	if n := r.acceptor.capacity(); n != most {
		t.Fatalf("there is room for %d", n)
	}
	for i := range room + 1 {
		s.Run(fmt.Sprintf("send a%d startup\nexpect a%[1]d welcome", i))
	}
	for i := range room {
		s.Run(fmt.Sprintf(`send a%d Q "/* id=%[1]d,c=read,d=20000,cluster=1 */ A"
			wait s1 as x%[1]d
			expect x%[1]d startup
			send x%[1]d welcome
			expect x%[1]d Q "/* id=%[1]d,c=read,d=#,cluster=1 */ A"`, i))
	}
	s.Run(fmt.Sprintf(`send a%d Q "/* id=x,c=read,d=20000,cluster=1 */ A"
		expect a%[1]d FATAL 53300 # | EOF
		send x0 T | D "v" | C | S rank=copy | Z
		expect a0 T | D "v" | C | Z`, room))
}

// Hundreds of addresses of one prefix together get what the prefix may have.
func TestDoorPrefixFlood(t *testing.T) {
	s, r := doorStage(t, `{"per_address":2,"per_prefix":5,"green_ms":3600000}`)
	for i := range 200 {
		name := fmt.Sprintf("f%d.", i)
		s.SetSourceAddress(name, fmt.Sprintf("127.3.0.%d", i+1))
		if i < 5 {
			s.Run("send " + name + " startup\nexpect " + name + " welcome")
		} else {
			s.Run("expect " + name + " FATAL 53300 # | EOF")
		}
	}
	s.Run(`send k1 startup | Q ""
		expect k1 welcome | I | Z`)
	waitHeld(t, r, 6)
}

// A reload that lowers a cap under what is held closes what idles, and lets what
// is open end; what can't be in force changes nothing.
func TestDoorReload(t *testing.T) {
	s, r := doorStage(t, `{"per_address":4,"spare_ms":0}`)
	s.Run(fmt.Sprintf(meet, "a1"))
	s.Run(`send a2 startup
		expect a2 welcome
		send a3 startup | Q "/* id=03,c=read,d=20000,cluster=1 */ A"
		expect a3 welcome
		expect s1 Q "/* id=03,c=read,d=#,cluster=1 */ A"`)
	if err := r.Reload(r.config, &siteconfig.Config{}); err == nil {
		t.Error("admission was switched off in service")
	}
	if err := r.Reload(r.config, admitting(t, `{"reserve":[{"name":"x","users":["x"],"connections":100000}]}`)); err == nil {
		t.Error("a reserve beyond the whole was taken")
	}
	s.Run(`send a1 Q ""
		expect a1 I | Z`)
	if err := r.Reload(r.config, admitting(t, `{"per_address":1,"spare_ms":0}`)); err != nil {
		t.Fatal(err)
	}
	s.Run(`expect a1 EOF
		expect a4 FATAL 53300 # | EOF
		send s1 T | D "v" | C | S rank=copy | Z
		expect a3 T | D "v" | C | Z | EOF`)
}

// In a flood a router that is told to stop still answers what it has, and ends.
func TestDoorStopInFlood(t *testing.T) {
	accepted := make(chan time.Time)
	p := endless
	p.firstQuery = time.Millisecond // the flood asks nothing
	s, r, stop, done := stageOwn(t, admitting(t, `{"per_address":20}`), accepted, p)
	accept := sync.OnceFunc(func() { close(accepted) })
	t.Cleanup(accept)
	s.SetSourceAddress("a", "127.2.0.1")
	s.SetClients("", s.Expand("{router}"))
	s.Run(`
		send a1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	var flood sync.WaitGroup
	var ended atomic.Bool
	var told atomic.Int64
	for range 50 {
		flood.Go(func() {
			b := make([]byte, 64)
			for !ended.Load() {
				conn, err := net.Dial("tcp", s.Expand("{router}"))
				if err != nil {
					return // it listens no more
				}
				conn.SetReadDeadline(time.Now().Add(time.Second))
				if n, _ := conn.Read(b); n > 0 && b[0] == 'E' {
					told.Add(1)
				}
				conn.Close()
			}
		})
	}
	for end := time.Now().Add(20 * time.Second); told.Load() < 200; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("only %d of the flood heard why", told.Load())
		}
	}
	stop()
	accept()
	s.Run(`
		send s1 T | D "v" | C | S rank=copy | Z
		expect a1 welcome | T | D "v" | C | Z | EOF`)
	if err := <-done; err != nil {
		t.Error(err)
	}
	ended.Store(true)
	flood.Wait()
	if _, clients := r.descriptors.Clients(); clients != 0 {
		t.Errorf("%d clients' descriptors are still counted", clients)
	}
	until(t, "no data server's descriptor is counted", func() bool { return r.descriptors.Used() == 0 }) // a probe may be out
}
