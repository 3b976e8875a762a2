package backend

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"lotushook/internal/fdlimit"
	"lotushook/internal/nettest"
	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
)

// directory knows only the endpoint with ID 1.
type directory struct {
	mu       sync.Mutex
	address  string
	draining bool
}

func (dir *directory) Address(endpoint balance.EndpointID) (string, bool) {
	dir.mu.Lock()
	defer dir.mu.Unlock()
	return dir.address, endpoint == 1 && !dir.draining
}

func (dir *directory) drain() {
	dir.mu.Lock()
	dir.draining = true
	dir.mu.Unlock()
}

// newTestPool returns a pool for one scripted data server, s, with the given limit of sockets.
func newTestPool(t *testing.T, sockets int) (*nettest.Network, *Pool, *directory) {
	t.Helper()
	network := nettest.New(t, "s")
	dir := &directory{address: network.Addr("s")}
	pool := NewPool(Options{Directory: dir, Descriptors: fdlimit.New(sockets), ConnectTimeout: 20 * time.Second, StallTimeout: 20 * time.Second, IdleClose: time.Hour})
	t.Cleanup(pool.closeAll)
	return network, pool, dir
}

func writeQueryA(w io.Writer) error {
	_, err := w.Write(pgwire.AppendQuery(nil, "A"))
	return err
}

// try starts an attempt that sends the query "A" within 20 seconds.
func (pool *Pool) try() *Attempt {
	deadline := time.Now().Add(20 * time.Second)
	return pool.Start(1, Deadlines{Connect: deadline, Answer: deadline}, writeQueryA, nil)
}

// handshakeAndQuery accepts a connection, completes the handshake and reads the first query.
const handshakeAndQuery = `
	wait s
	expect s startup
	send s welcome
	expect s Q "A"
	`

// The messages that a data server sends determine the outcome and whether the connection returns to the pool.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		text string
		want Result
		idle int
	}{
		{handshakeAndQuery + `send s T | D "v" | C | S rank=source | S as_of=1767225600123 | Z`,
			Result{Outcome: balance.Succeeded, Role: balance.Primary, Position: 1767225600123e6, Value: []byte("v")}, 1},
		{handshakeAndQuery + `send s T | D "" | C | S rank=copy | S other=x | N "" | Z`,
			Result{Outcome: balance.Succeeded, Role: balance.Replica, Value: []byte{}}, 1},
		{handshakeAndQuery + `send s E 25006 | S rank=copy | Z`, Result{Outcome: balance.NotEligible, Role: balance.Replica, ServerErrorCode: "25006"}, 1},
		{handshakeAndQuery + `send s E 72000 | S rank=copy | S as_of=5 | Z`,
			Result{Outcome: balance.NotEligible, Role: balance.Replica, Position: 5e6, ServerErrorCode: "72000"}, 1},
		{handshakeAndQuery + `send s E 53300 | Z`, Result{Outcome: balance.Busy, ServerErrorCode: "53300"}, 1},
		{handshakeAndQuery + `send s E XX000 | Z`, Result{Outcome: balance.Failed, ServerErrorCode: "XX000"}, 1},
		{handshakeAndQuery + `send s E 57P03 | Z`, Result{Outcome: balance.Failed, ServerErrorCode: "57P03"}, 1},
		// A fatal error counts although the connection ends after it.
		{handshakeAndQuery + "send s FATAL 53300\nclose s", Result{Outcome: balance.Busy, ServerErrorCode: "53300"}, 0},
		// The value is complete, so the lost rest of the answer changes nothing.
		{handshakeAndQuery + "send s T | D \"v\" | C\nclose s", Result{Outcome: balance.Succeeded, Value: []byte("v")}, 0},
		{handshakeAndQuery + "send s T | D \"v\"\nclose s", Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + "close s", Result{Outcome: balance.ConnectionReset}, 0},
		// A malformed answer counts as a connection reset.
		{handshakeAndQuery + `send s Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s D "v" | C | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s T | C | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s T | D "v" | D "v" | C | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s T | D "v" | C | E XX000 | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		// CommandComplete does not cancel an error that came before it.
		{handshakeAndQuery + `send s T | D "v" | E XX000 | C | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s raw "T\x00\x00\x00\x01"`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s raw "D\x00\x1f\x00\x00"`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s w "x"`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s raw "T\x00\x00\x00\x08\x00\x01b\x00" | D "v" | C | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s T | D "v" | C "INSERT 0 2\x00" | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s T | D "v" | C "\x00" | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s T | D "v" | C "SELECT 1" | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s T | D "v" | C | Z "E"`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s E 2500 | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s E xx000 | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s T | D "v" | C | S rank=king | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		{handshakeAndQuery + `send s T | D "v" | C | S rank=copy | S as_of=x | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		// A position in the future must be rejected: it would let stale reads pass.
		{handshakeAndQuery + `send s T | D "v" | C | S rank=copy | S as_of=8767225600123 | Z`, Result{Outcome: balance.ConnectionReset}, 0},
		// After extra bytes behind the answer, the connection is not reused.
		{handshakeAndQuery + `send s T | D "v" | C | raw "Z\x00\x00\x00\x05IZ"`, Result{Outcome: balance.Succeeded, Value: []byte("v")}, 0},
		// A failure during the handshake comes before the query is sent, so it did not run.
		{"wait s\nexpect s startup\nsend s FATAL 53300", Result{Outcome: balance.Busy}, 0},
		{"wait s\nexpect s startup\nsend s FATAL 57P03", Result{Outcome: balance.ConnectionRefused}, 0},
		{"wait s\nexpect s startup\nsend s R \"\\x00\\x00\\x00\\x03\"", Result{Outcome: balance.ConnectionRefused}, 0},
		{"wait s\nexpect s startup\nclose s", Result{Outcome: balance.ConnectionRefused}, 0},
	} {
		t.Run("", func(t *testing.T) {
			network, pool, _ := newTestPool(t, 1024)
			attempt := pool.try()
			network.Run(tc.text)
			got := <-attempt.Done()
			if (got.Outcome == balance.Succeeded) != (got.Answer != nil) {
				t.Errorf("outcome %d with answer %q", got.Outcome, got.Answer)
			}
			if diff := cmp.Diff(tc.want, got, cmpopts.IgnoreFields(Result{}, "Answer", "Err")); diff != "" {
				t.Errorf("%s: %v (-want +got)\n%s", tc.text, got.Err, diff)
			}
			if pool.Idle() != tc.idle {
				t.Errorf("%s: %d idle connections, want %d", tc.text, pool.Idle(), tc.idle)
			}
		})
	}
}

// Bytes that arrive on an idle connection must not be taken for the answer to the next attempt, which uses another
// connection.
func TestUnaskedWhileIdle(t *testing.T) {
	for _, extra := range []string{`S rank=source`, `T | D "v" | C | Z`, `N ""`, `raw "S\x00"`} {
		network, pool, _ := newTestPool(t, 1024)
		attempt := pool.try()
		network.Run(handshakeAndQuery + `send s T | D "v" | C | S rank=copy | Z`)
		<-attempt.Done()
		network.Run("send s " + extra) // the connection's goroutine may or may not have read it yet
		attempt = pool.try()
		network.Run(`expect s EOF` + handshakeAndQuery + `send s T | D "w" | C | Z`)
		if res := <-attempt.Done(); res.Outcome != balance.Succeeded || res.Role != 0 || string(res.Value) != "w" {
			t.Errorf("%s: outcome %d, role %d, %q", extra, res.Outcome, res.Role, res.Value)
		}
	}
}

// A duplicate of an answer that arrives just after the next query was sent looks like the answer to that query. It is
// detected because it is identical and arrives within the duplicate window. Guards also against good answers that are
// dropped with the role or position that they report, because their value is the same as before.
func TestSecondCopyCrosses(t *testing.T) {
	const first = `T | D "v" | C | S rank=source | S as_of=5000 | Z`
	for _, tc := range []struct {
		name   string
		window time.Duration
		second string
		want   Result
	}{
		{"the same in everything", time.Hour, first, Result{Outcome: balance.ConnectionReset}},
		{"another value", time.Hour, `T | D "w" | C | S rank=source | S as_of=5000 | Z`, Result{Outcome: balance.Succeeded, Role: balance.Primary, Position: 5e9}},
		{"another role", time.Hour, `T | D "v" | C | S rank=copy | S as_of=5000 | Z`, Result{Outcome: balance.Succeeded, Role: balance.Replica, Position: 5e9}},
		{"another position", time.Hour, `T | D "v" | C | S rank=source | S as_of=5001 | Z`, Result{Outcome: balance.Succeeded, Role: balance.Primary, Position: 5001e6}},
		{"the same row, and cut off behind it", time.Hour, `T | D "v" | C`, Result{Outcome: balance.ConnectionReset}},
		{"no window", 0, first, Result{Outcome: balance.Succeeded, Role: balance.Primary, Position: 5e9}},
	} {
		network, pool, _ := newTestPool(t, 1024)
		pool.DuplicateWindow = tc.window
		attempt := pool.try()
		network.Run(handshakeAndQuery + `send s ` + first)
		<-attempt.Done()
		attempt = pool.try()
		network.Run(`expect s Q "A"
			send s ` + tc.second)
		if !strings.HasSuffix(tc.second, "Z") {
			network.Run("close s")
		}
		if got := <-attempt.Done(); got.Outcome != tc.want.Outcome || got.Role != tc.want.Role || got.Position != tc.want.Position {
			t.Errorf("%s: outcome %d, role %d, position %d, %v", tc.name, got.Outcome, got.Role, got.Position, got.Err)
		}
	}
}

// A connection is not reused before the settle time has passed after an answer, so that unsolicited messages are
// detected.
func TestSettleTime(t *testing.T) {
	network, pool, _ := newTestPool(t, 1024)
	pool.SettleTime = time.Hour
	attempt := pool.try()
	network.Run(handshakeAndQuery + `send s T | D "v" | C | Z`)
	<-attempt.Done()
	attempt = pool.try()
	network.Run(handshakeAndQuery + `send s T | D "v" | C | Z`)
	<-attempt.Done()
}

// An answer that begins and then stalls ends its attempt long before the attempt's own deadline.
func TestStalledAnswer(t *testing.T) {
	for _, partial := range []string{`raw "T\x00\x00"`, `T`, `T | raw "D\x00\x00\x10\x00\x00\x01"`} {
		network, pool, _ := newTestPool(t, 1024)
		pool.StallTimeout = 20 * time.Millisecond
		attempt := pool.Start(1, Deadlines{Connect: time.Now().Add(time.Hour), Answer: time.Now().Add(time.Hour)}, writeQueryA, nil)
		network.Run(handshakeAndQuery + "send s " + partial)
		if res := <-attempt.Done(); res.Outcome != balance.ConnectionReset {
			t.Errorf("%s: outcome %d, %v", partial, res.Outcome, res.Err)
		}
		network.Run("expect s EOF")
	}
}

// Guards against good answers that are taken for stalled ones after the process was held up in the middle of reading
// them: the rest has arrived, though the stall timeout is over before it is read.
func TestArrivedAnswerIsReadAfterTheStallTimeout(t *testing.T) {
	network, pool, _ := newTestPool(t, 1024)
	pool.StallTimeout = time.Nanosecond // over before each read
	value := strings.Repeat("v", 16<<10)
	network.Define("value", value) // longer than one read
	attempt := pool.try()
	network.Run(handshakeAndQuery + `send s T | D "{value}" | C | S rank=copy | Z`)
	if result := <-attempt.Done(); result.Outcome != balance.Succeeded || string(result.Value) != value {
		t.Errorf("outcome %d, %d bytes, %v", result.Outcome, len(result.Value), result.Err)
	}
}

// If nothing listens at the address, the query did not run.
func TestNoListener(t *testing.T) {
	network, pool, _ := newTestPool(t, 1024)
	network.CloseListener("s")
	if res := <-pool.try().Done(); res.Outcome != balance.ConnectionRefused {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
}

// Aborting an attempt closes its connection. An attempt that was never bound to a connection did not run.
func TestAbort(t *testing.T) {
	network, pool, _ := newTestPool(t, 1024)
	attempt := pool.try()
	network.Run(handshakeAndQuery)
	if res := attempt.Abort(balance.Canceled); res.Outcome != balance.Canceled {
		t.Errorf("outcome %d", res.Outcome)
	}
	network.Run("expect s EOF")
	attempt = pool.try()
	network.Run("wait s\nexpect s startup")
	if res := attempt.Abort(balance.TimedOut); res.Outcome != balance.ConnectionRefused {
		t.Errorf("outcome %d before the connection was established", res.Outcome)
	}
	network.Run("expect s EOF")
}

// If the endpoint starts draining during a dial, the query must not be sent.
func TestDrainDuringDial(t *testing.T) {
	network, pool, dir := newTestPool(t, 1024)
	attempt := pool.try()
	network.Run("wait s\nexpect s startup")
	dir.drain()
	network.Run("send s welcome")
	if res := <-attempt.Done(); res.Outcome != balance.Busy {
		t.Errorf("outcome %d", res.Outcome)
	}
	if res := <-pool.try().Done(); res.Outcome != balance.Busy {
		t.Errorf("outcome %d of a send to a draining endpoint", res.Outcome)
	}
	for open, _ := pool.Counts(); open > 0; open, _ = pool.Counts() {
		pool.retire(time.Time{}) // the connection may become idle only after the result was delivered
		time.Sleep(time.Millisecond)
	}
	network.Run("expect s EOF")
}

// The most recently used connection is reused first, so that the others can be retired. One that the data server has
// closed is not reused.
func TestPoolReusesMostRecent(t *testing.T) {
	network, pool, _ := newTestPool(t, 1024)
	attempt, second := pool.try(), pool.try()
	network.Run("wait s as x\nwait s as y\nexpect x startup\nexpect y startup\nsend x welcome\nsend y welcome\nexpect x Q \"A\"\nexpect y Q \"A\"")
	const row = ` T | D "v" | C | Z`
	awaitEither := func() {
		select {
		case <-attempt.Done():
		case <-second.Done():
		}
	}
	network.Run("send x" + row)
	awaitEither()
	network.Run("send y" + row)
	awaitEither()
	if pool.Idle() != 2 {
		t.Fatalf("%d idle connections", pool.Idle())
	}
	attempt = pool.try()
	network.Run("expect y Q \"A\"\nsend y" + row)
	<-attempt.Done()
	pool.mu.Lock()
	before := pool.idle[1][1].idleAt
	pool.mu.Unlock()
	pool.retire(before)
	network.Run("expect x EOF\nclose y")
	for pool.Idle() > 0 { // the connection's goroutine detects the end of an idle connection
		time.Sleep(time.Millisecond)
	}
	attempt = pool.try()
	network.Run(handshakeAndQuery + "send s" + row)
	if res := <-attempt.Done(); res.Outcome != balance.Succeeded {
		t.Errorf("outcome %d", res.Outcome)
	}
}

// When all descriptors are in use, an idle connection is closed for a new one. If none is idle, the attempt ends at
// once without being sent. Every descriptor is returned.
func TestDescriptors(t *testing.T) {
	network, pool, _ := newTestPool(t, 24+6) // of which two are for data servers
	attempt := pool.try()
	network.Run(handshakeAndQuery)
	second := pool.try()
	network.Run("wait s as z")
	if res := <-pool.try().Done(); res.Outcome != outcomeNotSent {
		t.Errorf("outcome %d without a descriptor", res.Outcome)
	}
	network.Run(`send s T | D "v" | C | Z`)
	<-attempt.Done()
	if !pool.EvictIdle() || pool.EvictIdle() {
		t.Error("not exactly one connection was idle")
	}
	if pool.Descriptors.Used() != 1 {
		t.Errorf("%d descriptors in use", pool.Descriptors.Used())
	}
	network.Run("expect s EOF\nclose z")
	<-second.Done()
	for pool.Descriptors.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestProbe(t *testing.T) {
	network, pool, _ := newTestPool(t, 1024)
	for _, tc := range []struct {
		send    string
		want    pgwire.Report
		outcome balance.Outcome
	}{
		{`T | D "x0=1767225600.123,x1=0,inflight=7" | C | Z`, pgwire.Report{Position: 1767225600123, HasRole: true, Active: 7, HasActive: true}, balance.Succeeded},
		{`T | D "nonsense" | C | Z`, pgwire.Report{}, balance.Failed},
		{`E 42501 | Z`, pgwire.Report{}, balance.Failed},
	} {
		type probeResult struct {
			result Result
			report pgwire.Report
		}
		got, fresh := make(chan probeResult, 1), pool.Idle() == 0
		go func() {
			result, report := pool.Probe(1, 20*time.Second)
			got <- probeResult{result, report}
		}()
		if fresh {
			network.Run("wait s\nexpect s startup\nsend s welcome")
		}
		network.Run("expect s Q \"SHOW vitals\"\nsend s " + tc.send)
		answer := <-got
		if diff := cmp.Diff(tc.want, answer.report); diff != "" || answer.result.Outcome != tc.outcome {
			t.Errorf("%s: outcome %d, %v (-want +got)\n%s", tc.send, answer.result.Outcome, answer.result.Err, diff)
		}
	}
	pool.closeAll()
	if result := <-pool.try().Done(); result.Outcome != outcomeNotSent {
		t.Errorf("attempt on a closed pool: outcome %d", result.Outcome)
	}
}

// A connection must be established by the attempt's connect deadline even if the connect timeout is longer. Otherwise
// the query did not run, and the remaining time is left for another attempt.
func TestConnectDeadline(t *testing.T) {
	network, pool, _ := newTestPool(t, 1024)
	attempt := pool.Start(1, Deadlines{Connect: time.Now().Add(20 * time.Millisecond), Answer: time.Now().Add(time.Hour)}, writeQueryA, nil)
	network.Run("wait s\nexpect s startup") // the handshake is not completed
	if res := <-attempt.Done(); res.Outcome != balance.ConnectionRefused {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
	network.Run("expect s EOF")
}
