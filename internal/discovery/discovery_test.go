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

// A list that is malformed anywhere is refused whole, so that the old one stays.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		text  string
		hosts int
	}{
		{`{"seq":41,"whole":true,"hosts":[` + one + `],"new":1}`, 1},
		{`{"seq":41,"whole":false,"hosts":[]}`, 0},
		{`{"seq":41,"whole":false,"hosts":[{"host":"s-1","health":"DELETED"}]}`, 1},
		{``, -1}, {`null`, -1}, {`[]`, -1}, {`{"seq":41,"whole":true}`, -1}, {`{"whole":true,"hosts":[]}`, -1},
		{`{"seq":"41","whole":true,"hosts":[]}`, -1}, {`{"seq":-1,"whole":true,"hosts":[]}`, -1},
		{`{"seq":41,"whole":true,"hosts":[]}{"seq":42,"whole":true,"hosts":[]}`, -1}, // two in one
		{`{"seq":1,"whole":true,"hosts":[` + one + `,` + one + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, "SERVING", "ODD", 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, ":1\"", "\"", 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, `"born_ms":7`, `"born_ms":-7`, 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, "s-1", "", 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, `"born_ms":7`, `"born_ms":`+ahead(time.Minute), 1) + `]}`, 1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, `"born_ms":7`, `"born_ms":`+ahead(2*time.Hour), 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, `"born_ms":7`, `"born_ms":9223372036854775807`, 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, `"born_ms":7`, `"born_ms":1e30`, 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, "1.5", "-1", 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, "1.5", "1e9", 1) + `]}`, -1},
		{`{"seq":1,"whole":true,"hosts":[` + strings.Replace(one, "1.5", "1e999", 1) + `]}`, -1},
	} {
		l, err := Parse([]byte(c.text), noon)
		got := -1
		if err == nil {
			got = len(l.Hosts)
		}
		if got != c.hosts {
			t.Errorf("%s: %d hosts, %v", c.text, got, err)
		}
	}
}

func ahead(d time.Duration) string { return fmt.Sprint(noon.Add(d).UnixMilli()) }

// An agent that has lost its list must not take every server away.
func TestEmptyList(t *testing.T) {
	d, empty := NewDirectory(), &List{Version: 2, Complete: true}
	if _, err := d.Update(empty); err != nil {
		t.Errorf("before anything is listed: %v", err)
	}
	host := Host{Name: "s-1", Address: "127.0.0.1:1", Group: 3, State: "SERVING"}
	id := d.Apply(&List{Complete: true, Hosts: []Host{host}}).Endpoints[0].ID
	if _, err := d.Update(empty); err == nil {
		t.Error("an empty list was taken")
	}
	if _, ready := d.Address(id); !ready || !d.HasGroup(3) {
		t.Error("the old list was not kept")
	}
	host.State = "DELETED" // what is withdrawn by name is gone, also where it is the last
	if _, err := d.Update(&List{Hosts: []Host{host}}); err != nil || d.HasGroup(3) {
		t.Errorf("withdrawn by name: %v", err)
	}
}

func FuzzList(f *testing.F) {
	f.Add(`{"seq":41,"whole":true,"hosts":[` + one + `]}`)
	f.Add(`{"seq":1,"whole":false,"hosts":[{"host":"s-1","health":"DELETED"}]}`)
	f.Add(`{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"1.2.3.4:5","health":"DRAINING","share":1e308,"born_ms":-1}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		l, err := Parse([]byte(text), noon)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("more than a line: %q", err)
			}
			return
		}
		d := NewDirectory()
		e, err := d.Update(l)
		if err != nil {
			t.Fatalf("a first list was not taken: %v", err)
		}
		for _, n := range e.Endpoints {
			if n.StartedAt < 0 || n.Weight < 0 || n.StartedAt > noon.Add(maxClockAhead).UnixNano() {
				t.Fatalf("taken: %+v", n)
			}
		}
	})
}

func TestDirectory(t *testing.T) {
	d := NewDirectory()
	apply := func(text string) balance.Event {
		t.Helper()
		l, err := Parse([]byte(text), noon)
		if err != nil {
			t.Fatal(err)
		}
		return d.Apply(l)
	}
	e := apply(`{"seq":1,"whole":true,"hosts":[` + one + `]}`)
	id := e.Endpoints[0].ID
	want := balance.Event{Kind: balance.EndpointSnapshot, Endpoints: []balance.Endpoint{
		{ID: id, Group: 3, Zone: "a", Weight: 1.5, StartedAt: 7e6}}}
	if diff := cmp.Diff(want, e); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	if diff := cmp.Diff(e, NewDirectory().Apply(&List{Complete: true, Hosts: []Host{{Name: "s-1", Zone: "a", Group: 3,
		State: "SERVING", Weight: 1.5, StartedMS: 7}}})); diff != "" {
		t.Errorf("a host's number differs between routers:\n%s", diff)
	}
	check := func(dial string, ready bool) {
		t.Helper()
		if gotDial, gotReady := d.Address(id); gotDial != dial || gotReady != ready {
			t.Errorf("%s %v, want %s %v", gotDial, gotReady, dial, ready)
		}
	}
	check("127.0.0.1:1", true)
	apply(`{"seq":2,"whole":false,"hosts":[` + strings.Replace(one, "SERVING", "DRAINING", 1) + `]}`)
	check("127.0.0.1:1", false)
	apply(`{"seq":3,"whole":false,"hosts":[` + strings.Replace(one, "0.1:1", "0.1:2", 1) + `]}`)
	check("127.0.0.1:2", true)
	apply(`{"seq":4,"whole":false,"hosts":[]}`)
	check("127.0.0.1:2", true)
	apply(`{"seq":5,"whole":true,"hosts":[]}`) // absent from the whole list: gone
	check("127.0.0.1:2", false)
	if d.HasGroup(3) {
		t.Error("a group without hosts serves")
	}
	for i := range 1000 { // replaced all day: only so many are remembered, and none that is listed is forgotten
		apply(fmt.Sprintf(`{"seq":6,"whole":false,"hosts":[{"host":"x-%d","dial":"127.0.0.1:1","block":4,"health":"SERVING"},`+
			`{"host":"x-%d","health":"DELETED"}]}`, i, i-1))
	}
	if len(d.entries) > maxRemoved+1 || len(d.ids) != len(d.entries) || !d.HasGroup(4) || d.HasGroup(5) {
		t.Errorf("%d nodes, %d names remembered", len(d.entries), len(d.ids))
	}
	if _, ready := d.Address(id + 1); ready {
		t.Error("an unlisted node is ready")
	}
}

func TestResponses(t *testing.T) {
	for _, c := range []struct{ in, want string }{
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
		status, body, keep, err := readResponse(bufio.NewReader(strings.NewReader(c.in)))
		got := fmt.Sprintf("%d %s %v", status, body, keep)
		if err != nil {
			got = "error"
		}
		if got != c.want {
			t.Errorf("%.60q: %s, %v; want %s", c.in, got, err, c.want)
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
		if l, err := Parse(body, noon); err == nil {
			NewDirectory().Apply(l)
		}
	})
}

// The watcher asks for the whole list, goes on watching behind what it was told,
// and after an error, a malformed list or a new connection asks for all again.
func TestWatch(t *testing.T) {
	s := nettest.New(t, "agent")
	ctx, stop := context.WithCancel(context.Background())
	told, done, asked := make(chan int64, 10), make(chan struct{}), 0
	go func() {
		defer close(done)
		w := NewWatcher(s.Addr("agent"), 0, 0)
		// Turns are waited for however slow the machine is.
		w.maxCallDelay = time.Hour
		w.CallDelay = func() (time.Duration, bool) { asked++; return time.Millisecond, asked%3 == 0 } // each whole list has its third turn
		w.Run(ctx, func(l *List) error { told <- l.Version; return nil })
	}()
	expect := func(seq int64) {
		t.Helper()
		if got := <-told; got != seq {
			t.Errorf("told %d, want %d", got, seq)
		}
	}
	const whole, rest = `expect agent line "GET /v1/endpoints HTTP/1.1"`, `
		expect agent line "Host: {agent}"
		expect agent line "Accept: application/json"
		expect agent line ""`
	watch := func(since int) string {
		return fmt.Sprintf(`expect agent line "GET /v1/endpoints?since=%d&timeout_ms=# HTTP/1.1"`, since)
	}
	play := func(steps ...string) {
		t.Helper()
		s.Play(strings.Join(steps, "\n"))
	}
	play("wait agent", whole, rest, nettest.HTTP("agent", `{"seq":41,"whole":true,"hosts":[]}`))
	expect(41)
	play(watch(41), rest, nettest.HTTP("agent", `{"seq":43,"whole":false,"hosts":[`+one+`]}`))
	expect(43)
	// Nothing new: nobody is told, and the watch goes on.
	play(watch(43), rest, nettest.HTTP("agent", `{"seq":43,"whole":false,"hosts":[]}`), watch(43), rest,
		`send agent raw "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"`)
	// Too busy: the list is still known, and the changes since then are asked for. An unknown version is not.
	play("wait agent", watch(43), rest, `send agent raw "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"`)
	play("wait agent", whole, rest, nettest.HTTP("agent", `{"seq":44,"whole":true,"hosts":[`+one+`]}`))
	expect(44)
	play(watch(44), rest, nettest.HTTP("agent", `{"seq":45,"whole":true,"hosts":[{}]}`))
	play("wait agent", whole, rest, "close agent")
	play("wait agent", whole, rest, nettest.HTTP("agent", `{"seq":46,"whole":false,"hosts":[]}`)) // not what was asked for
	play("wait agent", whole, rest, nettest.HTTP("agent", `{"seq":47,"whole":true,"hosts":[]}`))
	expect(47)
	stop()
	<-done
	if len(told) > 0 {
		t.Errorf("told %d more", len(told))
	}
	if asked != 3*5 {
		t.Errorf("asked for %d turns: the whole list was called for five times, and watches need none", asked)
	}
}

// A connection to the agent that falls silent shows only when the wait is over:
// watches are short, and then the whole list is asked for on a new one.
func TestSilentAgent(t *testing.T) {
	s := nettest.New(t, "agent")
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		NewWatcher(s.Addr("agent"), 0, 0).Run(ctx, func(*List) error { return nil })
	}()
	const rest = `
		expect agent line "Host: {agent}"
		expect agent line "Accept: application/json"
		expect agent line ""
		`
	s.Play(`wait agent
		expect agent line "GET /v1/endpoints HTTP/1.1"` + rest +
		nettest.HTTP("agent", `{"seq":41,"whole":true,"hosts":[]}`) + `
		expect agent line "GET /v1/endpoints?since=41&timeout_ms=500 HTTP/1.1"` + rest + `wait agent
		expect agent line "GET /v1/endpoints HTTP/1.1"`)
	stop()
	<-done
}

// An answer that took its turn at a shared service must still be waited for.
func TestSharedServiceIsWaitedFor(t *testing.T) {
	const routers = 80
	s := nettest.New(t, "agent")
	ctx, stop := context.WithCancel(context.Background())
	told, done := make(chan int64, 1), make(chan struct{})
	go func() {
		defer close(done)
		NewWatcher(s.Addr("agent"), routers, 0).Run(ctx, func(l *List) error { told <- l.Version; return nil })
	}()
	s.Play(`wait agent
		expect agent line "GET /v1/endpoints HTTP/1.1"
		expect agent line "Host: {agent}"
		expect agent line "Accept: application/json"
		expect agent line ""`)
	time.Sleep(1500 * time.Millisecond) // longer than an agent of one's own may be silent
	s.Play(nettest.HTTP("agent", `{"seq":41,"whole":true,"hosts":[]}`))
	if got := <-told; got != 41 {
		t.Errorf("told %d", got)
	}
	stop()
	<-done
}
