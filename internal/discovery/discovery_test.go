package discovery

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lotushook/internal/nettest"
	"lotushook/policy/balance"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

const one = `{"host":"s-1","dial":"127.0.0.1:1","site":"a","class":"m","block":3,"health":"SERVING","share":1.5,"born_ms":7}`

// A list that is malformed anywhere is rejected as a whole, so that the current one stays in force.
func TestParse(t *testing.T) {
	for _, tc := range []struct {
		text  string
		hosts int
	}{
		{`{"seq":41,"whole":true,"hosts":[` + one + `],"new":1}`, 1},
		{`{"seq":41,"whole":false,"hosts":[]}`, 0},
		{`{"seq":41,"whole":false,"hosts":[{"host":"s-1","health":"DELETED"}]}`, 1},
		{``, -1}, {`null`, -1}, {`[]`, -1}, {`{"seq":41,"whole":true}`, -1}, {`{"whole":true,"hosts":[]}`, -1},
		{`{"seq":"41","whole":true,"hosts":[]}`, -1}, {`{"seq":-1,"whole":true,"hosts":[]}`, -1},
		{`{"seq":41,"whole":true,"hosts":[]}{"seq":42,"whole":true,"hosts":[]}`, -1}, // two documents
		{`{"seq":1,"whole":true,"hosts":[` + one + `,` + one + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, "SERVING", "ODD", 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, ":1\"", "\"", 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, `"born_ms":7`, `"born_ms":-7`, 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, "s-1", "", 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, `"born_ms":7`, `"born_ms":`+unixMSAfterNoon(time.Minute), 1) + `]}`, 1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, `"born_ms":7`, `"born_ms":`+unixMSAfterNoon(2*time.Hour), 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, `"born_ms":7`, `"born_ms":9223372036854775807`, 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, `"born_ms":7`, `"born_ms":1e30`, 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, "1.5", "-1", 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, "1.5", "1e9", 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, "1.5", "1e999", 1) + `]}`, -1},
	} {
		list, err := Parse([]byte(tc.text), noon)
		got := -1
		if err == nil {
			got = len(list.Hosts)
		}
		if got != tc.hosts {
			t.Errorf("%s: %d hosts, %v", tc.text, got, err)
		}
	}
}

func unixMSAfterNoon(d time.Duration) string { return fmt.Sprint(noon.Add(d).UnixMilli()) }

// An empty list from an agent that has lost its list must not remove every server.
func TestEmptyList(t *testing.T) {
	directory, empty := NewDirectory(), &List{Version: 2, Complete: true}
	if _, err := directory.Update(empty); err != nil {
		t.Errorf("before anything is listed: %v", err)
	}
	host := Host{Name: "s-1", Address: "127.0.0.1:1", Group: 3, State: "SERVING"}
	id := directory.Apply(&List{Complete: true, Hosts: []Host{host}}).Endpoints[0].ID
	if _, err := directory.Update(empty); err == nil {
		t.Error("an empty list was accepted")
	}
	if _, ready := directory.Address(id); !ready || !directory.HasGroup(3) {
		t.Error("the old list was not kept")
	}
	host.State = "DELETED" // a removal by name applies even to the last host
	if _, err := directory.Update(&List{Hosts: []Host{host}}); err != nil || directory.HasGroup(3) {
		t.Errorf("removal by name: %v", err)
	}
}

func FuzzList(f *testing.F) {
	f.Add(`{"seq":41,"whole":true,"hosts":[` + one + `]}`)
	f.Add(`{"seq":1,"whole":false,"hosts":[{"host":"s-1","health":"DELETED"}]}`)
	f.Add(`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"1.2.3.4:5","health":"DRAINING","share":1e308,"born_ms":-1}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		list, err := Parse([]byte(text), noon)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("error with more than one line: %q", err)
			}
			return
		}
		directory := NewDirectory()
		event, err := directory.Update(list)
		if err != nil {
			t.Fatalf("the first list was rejected: %v", err)
		}
		for _, endpoint := range event.Endpoints {
			if endpoint.StartedAt < 0 || endpoint.Weight < 0 || endpoint.StartedAt > noon.Add(maxClockAhead).UnixNano() {
				t.Fatalf("accepted: %+v", endpoint)
			}
		}
	})
}

func TestDirectory(t *testing.T) {
	directory := NewDirectory()
	apply := func(text string) balance.Event {
		t.Helper()
		list, err := Parse([]byte(text), noon)
		if err != nil {
			t.Fatal(err)
		}
		return directory.Apply(list)
	}
	event := apply(`{"seq":1,"whole":true,"hosts":[` + one + `]}`)
	id := event.Endpoints[0].ID
	want := balance.Event{Kind: balance.EndpointSnapshot, Endpoints: []balance.Endpoint{
		{ID: id, Group: 3, Zone: "a", Weight: 1.5, StartedAt: 7e6}}}
	if diff := cmp.Diff(want, event); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	if diff := cmp.Diff(event, NewDirectory().Apply(&List{Complete: true, Hosts: []Host{{Name: "s-1", Zone: "a", Group: 3,
		State: "SERVING", Weight: 1.5, StartedMS: 7}}})); diff != "" {
		t.Errorf("a host's ID differs between routers:\n%s", diff)
	}
	check := func(address string, ready bool) {
		t.Helper()
		if gotAddress, gotReady := directory.Address(id); gotAddress != address || gotReady != ready {
			t.Errorf("%s %v, want %s %v", gotAddress, gotReady, address, ready)
		}
	}
	check("127.0.0.1:1", true)
	apply(`{"seq":2,"whole":false,"hosts":[` + strings.Replace(one, "SERVING", "DRAINING", 1) + `]}`)
	check("127.0.0.1:1", false)
	apply(`{"seq":3,"whole":false,"hosts":[` + strings.Replace(one, "0.1:1", "0.1:2", 1) + `]}`)
	check("127.0.0.1:2", true)
	apply(`{"seq":4,"whole":false,"hosts":[]}`)
	check("127.0.0.1:2", true)
	apply(`{"seq":5,"whole":true,"hosts":[]}`) // absent from the complete list: removed
	check("127.0.0.1:2", false)
	if directory.HasGroup(3) {
		t.Error("a group without hosts is reported")
	}
	for i := range 1000 { // many replacements: the number of remembered hosts is limited, and no listed host is forgotten
		apply(fmt.Sprintf(`{"seq":6,"whole":false,"hosts":[{"host":"x-%d","dial":"127.0.0.1:1","block":4,"health":"SERVING"},`+
			`{"host":"x-%d","health":"DELETED"}]}`, i, i-1))
	}
	if len(directory.entries) > maxRemoved+1 || len(directory.ids) != len(directory.entries) || !directory.HasGroup(4) || directory.HasGroup(5) {
		t.Errorf("%d entries, %d names remembered", len(directory.entries), len(directory.ids))
	}
	if _, ready := directory.Address(id + 1); ready {
		t.Error("an unlisted endpoint is ready")
	}
}

func TestResponses(t *testing.T) {
	for _, tc := range []struct{ in, want string }{
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcrest", "200 abc true"},
		{"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: x\r\n\r\n", "200 abc true"},
		{"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "503  false"},
		{"HTTP/1.0 200 OK\r\n\r\nabc", "200 abc false"},
		{"HTTP/1.1 204 None\r\n\r\n", "204  true"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", "error"},
		{"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "error"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "error"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "error"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "error"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "error"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "error"},
		{"HTTP/1.1 200 OK\r\nno header\r\n\r\n", "error"},
		{"HTTP/1.1 200 OK\r\n", "error"},
		{"SSH-2.0\r\n\r\n", "error"}, {"HTTP/1.1 20 OK\r\n\r\n", "error"}, {"", "error"},
		{"HTTP/1.1 200 " + strings.Repeat("x", 5000) + "\r\n\r\n", "error"},
	} {
		status, body, keepAlive, err := readResponse(bufio.NewReader(strings.NewReader(tc.in)))
		got := fmt.Sprintf("%d %s %v", status, body, keepAlive)
		if err != nil {
			got = "error"
		}
		if got != tc.want {
			t.Errorf("%.60q: %s, %v; want %s", tc.in, got, err, tc.want)
		}
	}
}

func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\nab")
	f.Fuzz(func(t *testing.T, in string) {
		_, body, _, err := readResponse(bufio.NewReader(strings.NewReader(in)))
		if err == nil && len(body) > len(in) {
			t.Fatalf("%d bytes of body from %d", len(body), len(in))
		}
		if list, err := Parse(body, noon); err == nil {
			NewDirectory().Apply(list)
		}
	})
}

// The watcher requests the complete list and then watches for changes after the version that it has. After an error, a
// malformed list or on a new connection, it requests the complete list again.
func TestWatch(t *testing.T) {
	network := nettest.New(t, "agent")
	ctx, stop := context.WithCancel(context.Background())
	versions, stopped, delayCalls := make(chan int64, 10), make(chan struct{}), 0
	go func() {
		defer close(stopped)
		watcher := NewWatcher(network.Addr("agent"), 0, 0)
		// No delay is cut short, however slow the machine is.
		watcher.maxCallDelay = time.Hour
		// Each call for the complete list is permitted the third time that CallDelay is asked.
		watcher.CallDelay = func() (time.Duration, bool) { delayCalls++; return time.Millisecond, delayCalls%3 == 0 }
		watcher.Run(ctx, func(list *List) error { versions <- list.Version; return nil })
	}()
	expect := func(seq int64) {
		t.Helper()
		if got := <-versions; got != seq {
			t.Errorf("got version %d, want %d", got, seq)
		}
	}
	const complete, rest = `expect agent line "GET /v1/endpoints HTTP/1.1"`, `
		expect agent line "Host: {agent}"
		expect agent line "Accept: application/json"
		expect agent line ""`
	watch := func(since int) string {
		return fmt.Sprintf(`expect agent line "GET /v1/endpoints?since=%d&timeout_ms=# HTTP/1.1"`, since)
	}
	play := func(steps ...string) {
		t.Helper()
		network.Run(strings.Join(steps, "\n"))
	}
	play("wait agent", complete, rest, nettest.HTTPResponse("agent", `{"seq":41,"whole":true,"hosts":[]}`))
	expect(41)
	play(watch(41), rest, nettest.HTTPResponse("agent", `{"seq":43,"whole":false,"hosts":[`+one+`]}`))
	expect(43)
	// Without changes, apply is not called and the watch continues.
	play(watch(43), rest, nettest.HTTPResponse("agent", `{"seq":43,"whole":false,"hosts":[]}`), watch(43), rest,
		`send agent raw "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"`)
	// After a 503 the list is still valid, so the changes since then are requested. After a 410 it is not.
	play("wait agent", watch(43), rest, `send agent raw "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"`)
	play("wait agent", complete, rest, nettest.HTTPResponse("agent", `{"seq":44,"whole":true,"hosts":[`+one+`]}`))
	expect(44)
	play(watch(44), rest, nettest.HTTPResponse("agent", `{"seq":45,"whole":true,"hosts":[{}]}`))
	play("wait agent", complete, rest, "close agent")
	play("wait agent", complete, rest, nettest.HTTPResponse("agent", `{"seq":46,"whole":false,"hosts":[]}`)) // not the complete list
	play("wait agent", complete, rest, nettest.HTTPResponse("agent", `{"seq":47,"whole":true,"hosts":[]}`))
	expect(47)
	stop()
	<-stopped
	if len(versions) > 0 {
		t.Errorf("%d more lists were applied", len(versions))
	}
	if delayCalls != 3*5 {
		t.Errorf("CallDelay was called %d times, want 3 for each of the 5 calls for the complete list and none for watches", delayCalls)
	}
}

// If a connection to the agent falls silent, this is detected only at the end of the watch, so watches are short. The
// complete list is then requested on a new connection.
func TestSilentAgent(t *testing.T) {
	network := nettest.New(t, "agent")
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		NewWatcher(network.Addr("agent"), 0, 0).Run(ctx, func(*List) error { return nil })
	}()
	const rest = `
		expect agent line "Host: {agent}"
		expect agent line "Accept: application/json"
		expect agent line ""
		`
	network.Run(`wait agent
		expect agent line "GET /v1/endpoints HTTP/1.1"` + rest +
		nettest.HTTPResponse("agent", `{"seq":41,"whole":true,"hosts":[]}`) + `
		expect agent line "GET /v1/endpoints?since=41&timeout_ms=500 HTTP/1.1"` + rest + `wait agent
		expect agent line "GET /v1/endpoints HTTP/1.1"`)
	stop()
	<-stopped
}

// The watcher must wait longer for a shared service, whose calls may queue, than for an agent of its own.
func TestSharedServiceIsWaitedFor(t *testing.T) {
	const routers = 80
	network := nettest.New(t, "agent")
	ctx, stop := context.WithCancel(context.Background())
	versions, stopped := make(chan int64, 1), make(chan struct{})
	go func() {
		defer close(stopped)
		NewWatcher(network.Addr("agent"), routers, 0).Run(ctx, func(list *List) error { versions <- list.Version; return nil })
	}()
	network.Run(`wait agent
		expect agent line "GET /v1/endpoints HTTP/1.1"
		expect agent line "Host: {agent}"
		expect agent line "Accept: application/json"
		expect agent line ""`)
	time.Sleep(1500 * time.Millisecond) // longer than the router's own agent may be silent
	network.Run(nettest.HTTPResponse("agent", `{"seq":41,"whole":true,"hosts":[]}`))
	if got := <-versions; got != 41 {
		t.Errorf("got version %d", got)
	}
	stop()
	<-stopped
}
