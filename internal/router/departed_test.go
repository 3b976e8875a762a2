package router

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"strings"
	"testing"
	"time"

	"lotushook/internal/invariant"
	"lotushook/internal/nettest"
	"lotushook/internal/pgwire"
	"lotushook/internal/platformconfig"
	"lotushook/internal/ringbuffer"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
)

// withoutCancel changes settings so that attempts in flight can't be canceled.
func withoutCancel(settings string) string {
	return strings.Replace(settings, `"cancel":true`, `"cancel":false`, 1)
}

// startRouterWithSettings is startRouterWithHold with changed platform settings.
func startRouterWithSettings(t *testing.T, hold time.Duration, timeouts clientTimeouts, changeSettings func(settings string) string, hosts ...string) (*nettest.Network, *Router) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stage := nettest.New(t, "s1", "s2", "agent")
	for i, host := range hosts {
		hosts[i] = stage.Expand(host)
	}
	config, err := platformconfig.Check(nettest.WriteConfig(t, changeSettings(nettest.RouterConfig(listener.Addr().String(), stage.Addr("agent"), nettest.EndpointList(1, hosts...)))))
	if err != nil {
		t.Fatal(err)
	}
	router, err := New(config, &siteconfig.Config{})
	if err != nil {
		t.Fatal(err)
	}
	acceptEnd := make(chan time.Time)
	close(acceptEnd)
	router.shutdown.acceptEnd = func() <-chan time.Time { return acceptEnd }
	router.shutdown.timeoutEnd = func() <-chan time.Time { return nil }
	router.shutdown.timeout, router.timeouts, router.start.timeout = time.Hour, timeouts, hold
	router.pool.SettleTime, router.pool.DuplicateWindow, router.pool.StallTimeout = 0, 0, time.Hour
	ctx, shutDown := context.WithCancel(context.Background())
	done, broken := make(chan error, 1), len(invariant.Counts())
	go func() { done <- router.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stage.Close()
		shutDown()
		<-done //nolint:errcheck // the tests check the error themselves
		if count := len(invariant.Counts()); count > broken {
			t.Errorf("invariants broken: %v", invariant.Counts())
		}
	})
	stage.SetClients("c", listener.Addr().String())
	return stage, router
}

// anyClient reports whether a condition is true for any connected client.
func anyClient(router *Router, condition func(client *client) bool) (found bool) {
	router.clients.each(func(client *client) { found = found || condition(client) })
	return found
}

func left(client *client) bool {
	select {
	case <-client.left:
		return true
	default:
		return false
	}
}

const (
	readQuery1      = `Q "/* id=01,c=read,d=20000,cluster=1 */ A"`
	readQuery2      = `Q "/* id=02,c=read,d=20000,cluster=1 */ B"`
	writeQuery1     = `Q "/* id=01,c=write,d=20000,k=ab,cluster=1 */ A"`
	forwardedRead1  = `Q "/* id=01,c=read,d=#,cluster=1 */ A"`
	forwardedRead2  = `Q "/* id=02,c=read,d=#,cluster=1 */ B"`
	forwardedWrite1 = `Q "/* id=01,c=write,d=#,k=ab,cluster=1 */ A"`
	value           = ` T | D "v" | C | S rank=copy | Z`
)

// If a client disconnects while a connection to a data server is established for its request, the request is not sent,
// even if attempts can't be canceled. The connection is used for the next request.
func TestClientLeavesDuringDial(t *testing.T) {
	stage, router := startRouterWithSettings(t, 0, noTimeouts, withoutCancel, "h-1 {s1} 1 SERVING")
	stage.Run("send c1 startup | " + readQuery1 + `
		wait s1
		expect s1 startup
		close c1`)
	waitUntil(t, "the disconnect is detected", func() bool { return anyClient(router, left) })
	stage.Run("send s1 welcome")
	waitUntil(t, "the request has ended", func() bool { return !anyClient(router, left) })
	stage.Run("send c2 startup | " + readQuery2 + `
		expect s1 ` + forwardedRead2 + `
		send s1` + value + `
		expect c2 welcome | T | D "v" | C | Z`)
}

// If a client disconnects during an attempt that can't be canceled, and the attempt fails, the request is not retried.
func TestClientLeavesBeforeRepeat(t *testing.T) {
	stage, router := startRouterWithSettings(t, 0, noTimeouts, withoutCancel, "h-1 {s1} 1 SERVING")
	stage.Run("send c1 startup | " + writeQuery1 + `
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 ` + forwardedWrite1 + `
		close c1`)
	waitUntil(t, "the disconnect is detected", func() bool { return anyClient(router, left) })
	stage.Run("close s1")
	waitUntil(t, "the request has ended", func() bool { return !anyClient(router, left) })
	if stage.HasPendingConnection("s1") {
		t.Error("a request of a disconnected client was retried")
	}
}

// If a send action arrives at the same time as the client's disconnect or cancel, the request is not sent, whichever of
// the two select chooses.
func TestLeavingMeetsSend(t *testing.T) {
	for _, canceled := range []bool{false, true} {
		router := newRouter(t, nettest.EndpointList(1, "h-1 127.0.0.1:1 1 SERVING")) // its event loop does not run
		update := router.directory.Apply(router.config.LastKnownList)
		for range 64 {
			parsed, err := pgwire.ParseRequest("/* id=01,c=read,d=20000,cluster=1 */ A")
			if err != nil {
				t.Fatal(err)
			}
			now := router.clock.now()
			pending := &request{Request: parsed, router: router, client: &client{left: make(chan struct{})}, canceled: make(chan struct{}),
				actions: make(chan balance.Action, actionQueueSize), deadline: now + int64(time.Hour)}
			pending.deliver(balance.Action{Kind: balance.SendAttempt, Endpoint: update.Endpoints[0].ID, ConnectDeadline: now + int64(time.Hour), AttemptDeadline: now + int64(time.Hour)})
			if canceled {
				closeOnce(pending.canceled)
			} else {
				close(pending.client.left)
			}
			answer := pending.run()
			if strings.Contains(string(answer), pgwire.CodeQueryCanceled) != canceled {
				t.Errorf("answer %q", answer)
			}
			for _, want := range []balance.EventKind{balance.RequestArrived, balance.RequestAbandoned, 0} {
				if event := <-router.loop.events; event.Kind != want {
					t.Fatalf("event %d, want %d", event.Kind, want)
				}
			}
		}
	}
}

// A client's disconnect is detected while its reader is blocked because the maximum number of requests is open, whether
// or not there is unread input.
func TestCloseBehindPipelinedRequests(t *testing.T) {
	for _, count := range []int{maxPipelined + 1, maxPipelined * 30} {
		stage, router := startRouterWithSettings(t, time.Hour, noTimeouts, withoutCancel, "h-1 {s1} 1 SERVING") // without decisions for an hour
		var queries []string
		for i := range count {
			queries = append(queries, fmt.Sprintf(`Q "/* id=%d,c=read,d=20000,cluster=1 */ A"`, i+1))
		}
		stage.Run("send c1 startup | " + strings.Join(queries, " | "))
		waitUntil(t, "no slot is free", func() bool { return anyClient(router, func(c *client) bool { return len(c.slots) == maxPipelined }) })
		closedAt := time.Now()
		stage.Run("close c1")
		waitUntil(t, "the disconnect is detected", func() bool { return !anyClient(router, func(c *client) bool { return !left(c) }) })
		if elapsed := time.Since(closedAt); elapsed > 10*time.Second { // the requests' deadline is at 20 s
			t.Errorf("%d requests: the disconnect was detected after %v", count, elapsed)
		}
		waitUntil(t, "no client is connected", func() bool { return !anyClient(router, func(*client) bool { return true }) })
		stage.ServeDiscovery("agent")(2, nettest.EndpointList(2, "h-1 {s1} 1 SERVING"))
		stage.Run(`send c2 startup | Q "/* id=b,c=read,d=20000,cluster=1 */ B"
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 Q "/* id=b,c=read,d=#,cluster=1 */ B"
			send s1` + value + `
			expect c2 welcome | T | D "v" | C | Z`)
		if stage.HasPendingConnection("s1") {
			t.Errorf("%d requests: a request of a disconnected client was sent", count)
		}
	}
}

// The requests of a client that violates the protocol and then disconnects are canceled at once. They are not awaited
// as for a client that only violates the protocol.
func TestCloseBehindBrokenMessage(t *testing.T) {
	timeouts := noTimeouts
	timeouts.openRequests = time.Hour
	stage, router := startRouterWithSettings(t, time.Hour, timeouts, withoutCancel, "h-1 {s1} 1 SERVING")
	stage.Run("send c1 startup | " + readQuery1 + ` | raw "Q\x00\x00\x00\x01more that nobody reads"`)
	waitUntil(t, "the request has arrived", func() bool { return len(router.loop.events) > 1 })
	stage.Run("close c1")
	waitUntil(t, "the disconnect is detected", func() bool { return !anyClient(router, func(c *client) bool { return !left(c) }) })
	waitUntil(t, "the request has ended", func() bool { return !anyClient(router, func(*client) bool { return true }) })
}

// The pause after an unusable query ends when the client disconnects.
func TestCloseDuringRest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for _, unread := range []string{"", "x"} {
		for _, reset := range []bool{false, true} {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			client := &client{conn: accepted}
			if client.hasDisconnected() {
				t.Error("a connected client counts as disconnected")
			}
			if _, err := conn.Write([]byte(unread)); err != nil {
				t.Fatal(err)
			}
			if client.hasDisconnected() {
				t.Error("a connected client with unread input counts as disconnected")
			}
			if reset {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
			if err := client.pause(time.Hour, nil); err == nil {
				t.Errorf("unread %q, reset %v: the pause did not end early", unread, reset)
			}
			accepted.Close()
		}
	}
}

// A client's disconnect is detected while an answer to it blocks in a write. Its later requests are canceled.
func TestCloseDuringAnswer(t *testing.T) {
	stage, router := startRouterWithSettings(t, 0, noTimeouts, withoutCancel, "h-1 {s1} 1 SERVING")
	const large = 12 // answers of 1,000 KB: more than the socket buffers hold
	stage.Define("large", strings.Repeat("v", 1000<<10))
	var queries []string
	for i := range large {
		queries = append(queries, fmt.Sprintf(`Q "/* id=%d,c=read,d=20000,cluster=1 */ A"`, i+1))
	}
	stage.Run("send c1 startup | " + queries[0] + `
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=1,c=read,d=#,cluster=1 */ A"
		send s1 T | D "{large}" | C | S rank=copy | Z`)
	for i := 1; i < large; i++ {
		waitUntil(t, "the previous answer was read", func() bool { return router.pool.Idle() == 1 })
		stage.Run("send c1 " + queries[i])
		stage.Run(fmt.Sprintf("expect s1 Q \"/* id=%d,c=read,d=#,cluster=1 */ A\"", i+1))
		stage.Run(`send s1 T | D "{large}" | C | S rank=copy | Z`)
	}
	waitUntil(t, "the last answer was read", func() bool { return router.pool.Idle() == 1 })
	// One more request, whose attempt fails after the client has disconnected.
	stage.Run("send c1 " + readQuery2 + `
		expect s1 ` + forwardedRead2 + `
		close c1`)
	waitUntil(t, "the disconnect is detected", func() bool { return anyClient(router, left) || !anyClient(router, func(*client) bool { return true }) })
	stage.Run("close s1")
	waitUntil(t, "the requests have ended", func() bool { return !anyClient(router, func(*client) bool { return true }) })
	if stage.HasPendingConnection("s1") {
		t.Error("a request of a disconnected client was retried")
	}
}

// onlyCancelKey returns the cancel key of the only client.
func onlyCancelKey(t *testing.T, router *Router) (key pgwire.CancelKey) {
	t.Helper()
	waitUntil(t, "the client has its key", func() bool {
		count := 0
		router.cancelKeys.clients.Each(func(_ int, shard *map[uint32]*client) {
			for _, client := range *shard {
				key, count = client.cancelKey, count+1
			}
		})
		return count == 1
	})
	return key
}

// cancelRequest returns a CancelRequest as a raw step of a scenario.
func cancelRequest(key pgwire.CancelKey) string {
	message := []byte{0, 0, 0, 16, 4, 210, 22, 46}
	message = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(message, key.Process), key.Secret)
	return fmt.Sprintf("raw %q", message)
}

// A CancelRequest cancels the request that the client with its key waits for, and no other.
//
//nolint:funlen // one table of cases
func TestCancelRequest(t *testing.T) {
	const (
		begin = `
			send c1 startup | ` + readQuery1 + `
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 ` + forwardedRead1
		ask = `
			send x {cancel}
			expect x EOF`
		next = `
			send c1 ` + readQuery2 + `
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 ` + forwardedRead2 + `
			send s1` + value + `
			expect c1 T | D "v" | C | Z`
	)
	for _, test := range []struct {
		name   string
		set    func(string) string
		wrong  pgwire.CancelKey // the difference between the key that is sent and the client's key
		before string
		after  string
	}{
		{"a request in flight is canceled, and the next one is served", strings.Clone, pgwire.CancelKey{}, begin,
			"expect s1 EOF\nexpect c1 welcome | E 57014 | Z" + next},
		{"a request whose connection is being established is canceled", strings.Clone, pgwire.CancelKey{},
			"send c1 startup | " + readQuery1 + "\nwait s1\nexpect s1 startup", "expect s1 EOF\nexpect c1 welcome | E 57014 | Z" + next},
		{"a wrong secret is ignored", strings.Clone, pgwire.CancelKey{Secret: 1}, begin, "send s1" + value + "\nexpect c1 welcome | T | D \"v\" | C | Z"},
		{"an unknown process is ignored", strings.Clone, pgwire.CancelKey{Process: 1}, begin, "send s1" + value + "\nexpect c1 welcome | T | D \"v\" | C | Z"},
		{"neither a request that is answered nor the next one is canceled", strings.Clone, pgwire.CancelKey{},
			begin + "\nsend s1" + value + "\nexpect c1 welcome | T | D \"v\" | C | Z", "send c1 " + readQuery2 + "\nexpect s1 " + forwardedRead2 + "\nsend s1" + value + "\nexpect c1 T | D \"v\" | C | Z"},
		{"only the first of the pipelined requests is canceled", strings.Clone, pgwire.CancelKey{}, begin + `
			send c1 ` + readQuery2 + `
			wait s1 as y
			expect y startup
			send y welcome
			expect y ` + forwardedRead2, "expect s1 EOF\nsend y" + value + "\nexpect c1 welcome | E 57014 | Z | T | D \"v\" | C | Z"},
		{"if attempts can't be canceled, the answer is delivered", withoutCancel, pgwire.CancelKey{}, begin,
			"send s1" + value + "\nexpect c1 welcome | T | D \"v\" | C | Z"},
		{"if attempts can't be canceled, a failed one is not retried", withoutCancel, pgwire.CancelKey{}, begin,
			"close s1\nexpect c1 welcome | E 57014 | Z" + next},
	} {
		t.Run(test.name, func(t *testing.T) {
			stage, router := startRouterWithSettings(t, 0, noTimeouts, test.set, "h-1 {s1} 1 SERVING")
			stage.Run(test.before)
			key := onlyCancelKey(t, router)
			key.Process += test.wrong.Process
			key.Secret += test.wrong.Secret
			stage.Define("cancel", cancelRequest(key))
			stage.SetClients("", router.config.Listen)
			stage.Run(ask)
			stage.Run(test.after)
			waitUntil(t, "the canceling connection is removed", func() bool {
				count := 0
				router.clients.each(func(*client) { count++ })
				return count == 1
			})
		})
	}
}

// A CancelRequest cancels a query that was still unread when it arrived, but not a query that was sent later. The two
// messages are read by different goroutines, and a busy router may read the CancelRequest first.
//
// In the soak test of restarts (seeds 1, 3, 4 and 5) a client sent a query and canceled it within a millisecond. The
// router processed the cancel first, found no open request and dropped it, and started attempts up to 227 ms later. In
// this test the reader pauses after unusable queries, so that the order is always the same.
func TestCancelOfUnreadQuery(t *testing.T) {
	stage, router := startRouterWithSettings(t, 0, noTimeouts, strings.Clone, "h-1 {s1} 1 SERVING")
	stage.SetClients("", router.config.Listen)
	stage.Run("send c1 startup\nexpect c1 welcome")
	for range 10 { // the pause grows to a tenth of a second
		stage.Run("send c1 Q \"SELECT 1\"\nexpect c1 E 42601 | Z")
	}
	stage.Define("cancel", cancelRequest(onlyCancelKey(t, router)))
	stage.Run("send c1 " + readQuery1 + "\nsend x {cancel}\nexpect x EOF\nexpect c1 E 57014 | Z")
	if stage.HasPendingConnection("s1") {
		t.Error("a request that was canceled before it was read was sent")
	}
	stage.Run("send c1 " + readQuery2 + `
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 ` + forwardedRead2 + `
		send s1` + value + `
		expect c1 T | D "v" | C | Z`)
}

// A request that is canceled before the first decision about it is answered at once, and never sent.
func TestCancelBeforeDecision(t *testing.T) {
	stage, router := startRouterWithSettings(t, time.Hour, noTimeouts, strings.Clone, "h-1 {s1} 1 SERVING")
	stage.SetClients("", router.config.Listen)
	stage.Run("send c1 startup | " + readQuery1)
	waitUntil(t, "the request has arrived", func() bool { return len(router.loop.events) > 1 })
	stage.Define("cancel", cancelRequest(onlyCancelKey(t, router)))
	stage.Run("send x {cancel}\nexpect x EOF\nexpect c1 welcome | E 57014 | Z")
	stage.ServeDiscovery("agent")(2, nettest.EndpointList(2, "h-1 {s1} 1 SERVING"))
	stage.Run("send c1 " + readQuery2 + `
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 ` + forwardedRead2 + `
		send s1` + value + `
		expect c1 T | D "v" | C | Z`)
}

// Each client gets a unique cancel key with its welcome message. The key is removed when the client disconnects.
func TestCancelKeys(t *testing.T) {
	stage, router := startRouterWithSettings(t, 0, noTimeouts, strings.Clone, "h-1 {s1} 1 SERVING")
	sent := map[pgwire.CancelKey]bool{}
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", router.config.Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
		if _, err := conn.Write(pgwire.AppendStartup(nil, "worker", "catalog")); err != nil {
			t.Fatal(err)
		}
		input := ringbuffer.New(1 << 10)
		for ready := false; !ready; {
			message, err := pgwire.Next(input)
			if err != nil {
				if err := input.Fill(conn); err != nil {
					t.Fatal(err)
				}
				continue
			}
			if message.Kind == pgwire.BackendKeyData {
				sent[pgwire.CancelKey{Process: binary.BigEndian.Uint32(message.Body), Secret: binary.BigEndian.Uint32(message.Body[4:])}] = true
			}
			ready = message.Kind == pgwire.ReadyForQuery
			input.Discard(message.Size)
		}
	}
	stored := func() (count int) {
		router.cancelKeys.clients.Each(func(_ int, shard *map[uint32]*client) {
			for _, client := range *shard {
				if !sent[client.cancelKey] {
					t.Errorf("key %v was not sent to a client", client.cancelKey)
				}
				count++
			}
		})
		return count
	}
	if len(sent) != 20 || stored() != 20 || sent[pgwire.CancelKey{}] {
		t.Errorf("%d keys sent, %d stored", len(sent), stored())
	}
	for i, invalid := range []string{`raw "\x00\x00\x00\x0c\x04\xd2\x16\x2e\x00\x00\x00\x01"`, `raw "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x00\x00\x00\x00\x00"`} {
		stage.Run(fmt.Sprintf("send c%[1]d %[2]s\nexpect c%[1]d EOF", i, invalid))
	}
	for _, conn := range conns {
		conn.Close()
	}
	waitUntil(t, "no key is stored", func() bool { return stored() == 0 })
}

// A retry of a write is sent only within the idempotency window, which starts with the first attempt. If establishing a
// connection takes longer, the request fails and nothing is sent.
func TestRepeatAfterItsWindow(t *testing.T) {
	const window = 2 * time.Second // the first attempt on loopback takes far less, even on a slow machine
	shortWindow := func(settings string) string {
		return strings.Replace(settings, `"name":"write","objective":5000000000,"window":5000000000`,
			fmt.Sprintf(`"name":"write","objective":5000000000,"window":%d`, window.Nanoseconds()), 1)
	}
	stage, _ := startRouterWithSettings(t, 0, noTimeouts, shortWindow, "h-1 {s1} 1 SERVING")
	stage.Run("send c1 startup | " + writeQuery1 + `
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 ` + forwardedWrite1 + `
		close s1
		wait s1
		expect s1 startup`)
	time.Sleep(window) // the window started earlier, with the first attempt
	stage.Run(`
		send s1 welcome
		expect c1 welcome | E 58000 | Z
		send c1 ` + readQuery2 + `
		expect s1 ` + forwardedRead2 + `
		send s1` + value + `
		expect c1 T | D "v" | C | Z`)
}

// lastRetryAt depends only on the class's idempotency and window, and on whether an attempt may have run.
func TestLastRepeat(t *testing.T) {
	router := newRouter(t, nettest.EndpointList(1))
	for _, test := range []struct {
		class      string
		mayHaveRun bool
		want       clock.Nanos
	}{
		{"write", true, 1000e9 + 5e9 - 5e9/8},
		{"write", false, 1<<63 - 1}, // nothing ran, so that there is no duplicate
		{"read", true, 1<<63 - 1},   // may run any number of times
	} {
		retried := &request{router: router, requestTask: requestTask{mayHaveRun: test.mayHaveRun, firstRunAt: 1000e9}}
		retried.Class = test.class
		if got := retried.lastRetryAt(); got != test.want {
			t.Errorf("%+v: %d", test, got)
		}
	}
}

// If an endpoint begins to drain during a write, its answer still counts. A retry of the write and the next write are
// sent to another endpoint.
func TestDrainCrossesWrite(t *testing.T) {
	for _, broken := range []bool{false, true} {
		stage, router := startRouterWithSettings(t, 0, noTimeouts, strings.Clone, "h-1 {s1} 1 SERVING")
		stage.Run("send c1 startup | " + writeQuery1 + `
			wait s1
			expect s1 startup
			send s1 welcome
			expect s1 ` + forwardedWrite1)
		stage.ServeDiscovery("agent")(2, nettest.EndpointList(2, "h-1 {s1} 1 DRAINING", "h-2 {s2} 1 SERVING"))
		known := router.config.LastKnownList.Hosts[0].Name
		waitUntil(t, "the drain is known", func() bool {
			_, ready := router.directory.Address(endpointIDOf(known))
			return !ready
		})
		const forwardToS2 = `
			wait s2
			expect s2 startup
			send s2 welcome
			expect s2 `
		const answerFromS2 = `
			send s2 T | D "w" | C | S rank=source | Z
			expect c1 `
		if broken {
			stage.Run("close s1" + forwardToS2 + forwardedWrite1 + answerFromS2 + `welcome | T | D "w" | C | Z`)
		} else {
			stage.Run(`send s1 T | D "v" | C | S rank=source | Z
				expect c1 welcome | T | D "v" | C | Z
				send c1 Q "/* id=02,c=write,d=20000,k=ac,cluster=1 */ B"` + forwardToS2 + `Q "/* id=02,c=write,d=#,k=ac,cluster=1 */ B"` + answerFromS2 + `T | D "w" | C | Z`)
		}
		if stage.HasPendingConnection("s1") {
			t.Error("a connection to a draining server was established")
		}
	}
}

// endpointIDOf returns the ID of a host if no two hosts have the same hash.
func endpointIDOf(host string) balance.EndpointID {
	hash := fnv.New32a()
	hash.Write([]byte(host))
	return balance.EndpointID(hash.Sum32())
}

// Guards against a request that runs twice: its client leaves while an attempt is open, the attempt is canceled, and the
// same ID comes again on another connection (operators' picture (c)). Whether it has run is unknown, so it may not run
// again, unless data servers drop a duplicate of its key.
func TestRequestOfDepartedClientComesAgain(t *testing.T) {
	unkeyed := func(settings string) string { return strings.Replace(settings, `"guarded"`, `"single_shot"`, 1) }
	briefWindow := func(settings string) string {
		return strings.Replace(settings, `"name":"write","objective":5000000000,"window":5000000000`, `"name":"write","objective":5000000000,"window":1000000`, 1)
	}
	const unkeyedWrite = `Q "/* id=01,c=write,d=20000,cluster=1 */ A"`
	for _, test := range []struct {
		name      string
		set       func(settings string) string
		write     string
		forwarded string
		runsAgain bool
	}{
		{"must not run twice", unkeyed, unkeyedWrite, strings.Replace(unkeyedWrite, "20000", "#", 1), false},
		{"keyed, within the idempotency window", strings.Clone, writeQuery1, forwardedWrite1, true},
		{"keyed, after the idempotency window", briefWindow, writeQuery1, forwardedWrite1, false},
		{"read", strings.Clone, readQuery1, forwardedRead1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			stage, router := startRouterWithSettings(t, 0, noTimeouts, test.set, "h-1 {s1} 1 SERVING")
			stage.Run("send c1 startup | " + test.write + `
				wait s1
				expect s1 startup
				send s1 welcome
				expect s1 ` + test.forwarded + `
				close c1`)
			waitUntil(t, "the request has ended", func() bool { return !anyClient(router, func(*client) bool { return true }) })
			stage.Run("send c2 startup | " + test.write)
			if !test.runsAgain {
				stage.Run("expect c2 welcome | E 58000 | Z")
				if stage.HasPendingConnection("s1") {
					t.Error("the request was sent again")
				}
				return
			}
			stage.Run("wait s1 as t1\nexpect t1 startup\nsend t1 welcome\nexpect t1 " + test.forwarded + "\nsend t1" + value + `
				expect c2 welcome | T | D "v" | C | Z`)
		})
	}
}
