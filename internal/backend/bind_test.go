package backend

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lotushook/internal/nettest"
	"lotushook/internal/pgwire"
	"lotushook/policy/balance"
)

// answerOK is a successful answer that leaves its connection ready for the next query.
const answerOK = `send s T | D "v" | C | Z`

func writeQuery(text string) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := w.Write(pgwire.AppendQuery(nil, text))
		return err
	}
}

// onlyConn returns the only connection of a pool.
func onlyConn(t *testing.T, pool *Pool) *serverConn {
	t.Helper()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for conn := range pool.all {
		if len(pool.all) == 1 {
			return conn
		}
	}
	t.Fatalf("%d connections, want 1", len(pool.all))
	return nil
}

// waitFor waits until a condition holds, and fails the test after 30 seconds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting: " + what)
		}
	}
}

// newDeadlines returns deadlines for an answer within timeout, with an hour to connect. If fresh is not 0, the known
// position of the endpoint becomes too old after it.
func newDeadlines(timeout, fresh time.Duration) Deadlines {
	deadlines := Deadlines{Connect: time.Now().Add(time.Hour), Answer: time.Now().Add(timeout)}
	if fresh > 0 {
		deadlines.Fresh = time.Now().Add(fresh)
	}
	return deadlines
}

// Conditions that change after an attempt has got a new or an idle connection, but before the first byte of its query
// is sent, must still be honored: nothing is written, the outcome says that the query did not run, and the connection
// remains usable.
func TestLastStep(t *testing.T) {
	const position = 200 * time.Millisecond // how long the known position remains fresh enough, where the case limits it
	for _, tc := range []struct {
		name    string
		change  func(dir *directory, unwanted *atomic.Bool)
		timeout time.Duration // of the answer
		want    balance.Outcome

		fresh time.Duration // how long the known position of the endpoint is fresh enough; 0: no limit
	}{
		{"the endpoint starts draining", func(dir *directory, _ *atomic.Bool) { dir.drain() }, time.Hour, balance.Busy, 0},
		{"the query is no longer wanted", func(_ *directory, unwanted *atomic.Bool) { unwanted.Store(true) }, time.Hour, balance.NotSent, 0},
		{"the answer deadline passes", func(*directory, *atomic.Bool) { time.Sleep(200 * time.Millisecond) }, 200 * time.Millisecond, balance.NotSent, 0},
		{"the known position becomes too old", func(*directory, *atomic.Bool) { time.Sleep(position) }, time.Hour, balance.NotEligible, position},
	} {
		for _, reused := range []bool{false, true} {
			name := tc.name + " during a dial"
			if reused {
				name = tc.name + " as an idle connection is reused"
			}
			t.Run(name, func(t *testing.T) {
				network, pool, dir := newTestPool(t, 1024)
				var unwanted atomic.Bool
				if reused {
					attempt := pool.try()
					network.Run(handshakeAndQuery + answerOK)
					<-attempt.Done()
				}
				writeLate := writeQuery("late")
				attempt := pool.Start(1, newDeadlines(tc.timeout, tc.fresh), func(w io.Writer) error {
					if reused {
						tc.change(dir, &unwanted)
					}
					return writeLate(w)
				}, func() bool { return !unwanted.Load() })
				if !reused {
					network.Run("wait s\nexpect s startup")
					tc.change(dir, &unwanted)
					network.Run("send s welcome")
				}
				if res := <-attempt.Done(); res.Outcome != tc.want {
					t.Errorf("outcome %d, %v", res.Outcome, res.Err)
				}
				waitFor(t, "the connection is idle again", func() bool { return pool.Idle() == 1 })
				dir.mu.Lock()
				dir.draining = false
				dir.mu.Unlock()
				attempt = pool.try()
				network.Run("expect s Q \"A\"\n" + answerOK)
				if res := <-attempt.Done(); res.Outcome != balance.Succeeded {
					t.Errorf("the next attempt: outcome %d, %v", res.Outcome, res.Err)
				}
			})
		}
	}
}

// Guards against reads that are sent to a former primary after it has reported that it is a replica: the decision to send
// them was made before, and their connections came up late.
func TestDemotedAtTheLastStep(t *testing.T) {
	for _, tc := range []struct {
		name      string
		reports   []string // roles in the answers that other connections get during the dial
		asPrimary bool
		want      balance.Outcome
	}{
		{"it has reported that it is a replica", []string{"copy"}, true, balance.NotEligible},
		{"it has reported that it is the primary", []string{"source"}, true, balance.Succeeded},
		{"it has become the primary again", []string{"copy", "source"}, true, balance.Succeeded},
		{"the query does not rely on it", []string{"copy"}, false, balance.Succeeded},
		{"the report came before the decision", nil, true, balance.Succeeded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			network, pool, _ := newTestPool(t, 1024)
			answerWithRole := func(role string) {
				attempt := pool.try()
				network.Run(`
					wait s as other
					expect other startup
					send other welcome
					expect other Q "A"
					send other T | D "v" | C | S rank=` + role + ` | Z
					close other`)
				<-attempt.Done()
				waitFor(t, "the other connection has ended", func() bool { return pool.Idle() == 0 })
			}
			answerWithRole("copy")
			deadlines := newDeadlines(time.Hour, 0)
			if tc.asPrimary {
				deadlines.AsPrimary = time.Now()
			}
			attempt := pool.Start(1, deadlines, writeQuery("late"), nil)
			network.Run("wait s\nexpect s startup")
			for _, role := range tc.reports {
				answerWithRole(role)
			}
			network.Run("send s welcome")
			if tc.want == balance.Succeeded {
				network.Run("expect s Q \"late\"\n" + answerOK)
			}
			select {
			case result := <-attempt.Done():
				if result.Outcome != tc.want {
					t.Errorf("outcome %d, %v", result.Outcome, result.Err)
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the query was sent")
			}
			waitFor(t, "the connection is idle again", func() bool { return pool.Idle() == 1 })
		})
	}
}

// If an endpoint gets another address while its connection is dialed or reused, the query is sent to the new address:
// the old one may belong to another server by now.
func TestMovedAtTheLastStep(t *testing.T) {
	for _, reused := range []bool{false, true} {
		network, pool, dir := newTestPool(t, 1024)
		other := nettest.New(t, "s")
		changeAddress := func() {
			dir.mu.Lock()
			dir.address = other.Addr("s")
			dir.mu.Unlock()
		}
		if reused {
			attempt := pool.try()
			network.Run(handshakeAndQuery + answerOK)
			<-attempt.Done()
		}
		deadline, started := time.Now().Add(time.Hour), make(chan *Attempt, 1)
		go func() {
			started <- pool.Start(1, Deadlines{Connect: deadline, Answer: deadline}, func(w io.Writer) error {
				if reused {
					changeAddress()
				}
				return writeQueryA(w)
			}, nil)
		}()
		if !reused {
			network.Run("wait s\nexpect s startup")
			changeAddress()
			network.Run("send s welcome")
		}
		network.Run("expect s EOF")
		other.Run(handshakeAndQuery + answerOK)
		if res := <-(<-started).Done(); res.Outcome != balance.Succeeded {
			t.Errorf("reused %v: outcome %d, %v", reused, res.Outcome, res.Err)
		}
	}
}

// An attempt that is canceled before its connection is established did not run, and the endpoint was not involved.
func TestCalledOffDuringDial(t *testing.T) {
	network, pool, _ := newTestPool(t, 1024)
	attempt := pool.try()
	network.Run("wait s\nexpect s startup")
	if res := attempt.Abort(balance.Canceled); res.Outcome != balance.NotSent {
		t.Errorf("outcome %d", res.Outcome)
	}
	network.Run("expect s EOF")
}

// If a data server closes an idle connection, or sends anything on it, just as an attempt is about to use it, the query
// is not written there but sent on another connection, within the same attempt.
func TestSpoiltAsItIsTaken(t *testing.T) {
	for _, interference := range []string{"close s", `send s raw "S\x00"`, `send s FATAL 57P03`, `send s FATAL 53300`, `send s E 53300 | Z`, `send s T | D "w" | C | Z`} {
		network, pool, _ := newTestPool(t, 1024)
		attempt := pool.try()
		network.Run(handshakeAndQuery + answerOK)
		<-attempt.Done()
		conn := onlyConn(t, pool)
		deadline, interfered := time.Now().Add(time.Hour), false
		attempt = pool.Start(1, Deadlines{Connect: deadline, Answer: deadline}, func(w io.Writer) error {
			if !interfered { // the attempt has the connection and has not written yet
				interfered = true
				network.Run(interference)
				waitFor(t, "the interference has arrived", func() bool { return conn.isUnsolicited() || conn.hasUnread() })
			}
			return writeQueryA(w)
		}, nil)
		network.Run(handshakeAndQuery + answerOK)
		if res := <-attempt.Done(); res.Outcome != balance.Succeeded || string(res.Value) != "v" {
			t.Errorf("%s: outcome %d, %q, %v", interference, res.Outcome, res.Value, res.Err)
		}
	}
}

// shrinkWriteBuffer makes writes to a connection block early when the peer does not read.
func shrinkWriteBuffer(t *testing.T, conn *serverConn) {
	t.Helper()
	if err := conn.socket.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
}

// A connection that ends, or carries any message, before the last byte of a query is written has not run the query. If
// the connection was reused, the query is sent on another one within the same attempt, whether the reader or the writer
// detects the end first.
func TestBrokenInTheMiddleOfAQuery(t *testing.T) {
	large := strings.Repeat("x", 900<<10)
	for _, interruption := range []string{"close s", "send s FATAL 57P03\nclose s", `send s E 53300 | Z`, `send s T | D "w" | C | Z`, `send s T | D "w"`} {
		network, pool, _ := newTestPool(t, 1024)
		pool.StallTimeout = 50 * time.Millisecond
		attempt := pool.try()
		network.Run(handshakeAndQuery + answerOK)
		<-attempt.Done()
		shrinkWriteBuffer(t, onlyConn(t, pool))
		limit, started := time.Now().Add(time.Hour), make(chan *Attempt, 1)
		go func() { started <- pool.Start(1, Deadlines{Connect: limit, Answer: limit}, writeQuery(large), nil) }()
		network.Run(`expect s raw "Q"` + "\n" + interruption) // the server reads only the first byte of the query
		network.Define("large", large)
		network.Run("wait s as y\nexpect y startup\nsend y welcome\nexpect y Q \"{large}\"\n" + `send y T | D "v" | C | Z`)
		if res := <-(<-started).Done(); res.Outcome != balance.Succeeded || string(res.Value) != "v" {
			t.Errorf("%s: outcome %d, %q, %v", interruption, res.Outcome, res.Value, res.Err)
		}
	}
}

// blockingConn is a connection whose next Write, once hold is set, blocks after writing until free is closed.
type blockingConn struct {
	net.Conn
	hold atomic.Bool
	done chan struct{}
	free chan struct{}
}

func (conn *blockingConn) Write(data []byte) (int, error) {
	n, err := conn.Conn.Write(data)
	if conn.hold.Swap(false) {
		close(conn.done)
		<-conn.free
	}
	return n, err
}

// An answer that is read before the writer's goroutine has finished must not make the connection available to another
// attempt: the writer would then discard the other attempt's query, which would wait for its answer until its deadline.
func TestAnswerOvertakesTheWriter(t *testing.T) {
	network, pool, _ := newTestPool(t, 1024)
	pool.StallTimeout = 20 * time.Millisecond
	attempt := pool.try()
	network.Run(handshakeAndQuery + answerOK)
	<-attempt.Done()
	conn := onlyConn(t, pool)
	blocking := &blockingConn{Conn: conn.socket, done: make(chan struct{}), free: make(chan struct{})}
	blocking.hold.Store(true)
	conn.mu.Lock()
	conn.socket = blocking
	conn.mu.Unlock()
	first := make(chan *Attempt, 1)
	go func() { first <- pool.try() }()
	<-blocking.done
	network.Run("expect s Q \"A\"\n" + answerOK)
	isClosed := func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.closed
	}
	waitFor(t, "the answer was read", func() bool { return isClosed() || pool.Idle() > 0 })
	if pool.Idle() > 0 {
		t.Error("a connection that is still being written to is idle")
	}
	close(blocking.free)
	if res := <-(<-first).Done(); res.Outcome != balance.Succeeded {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
}

// An endpoint that was replaced under its old name has another address: the connections to the old address are not
// reused.
func TestReplacedUnderItsName(t *testing.T) {
	network, pool, dir := newTestPool(t, 1024)
	other := nettest.New(t, "s")
	attempt := pool.try()
	network.Run(handshakeAndQuery + answerOK)
	<-attempt.Done()
	dir.mu.Lock()
	dir.address = other.Addr("s")
	dir.mu.Unlock()
	attempt = pool.try()
	other.Run(handshakeAndQuery + answerOK)
	if res := <-attempt.Done(); res.Outcome != balance.Succeeded {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
	pool.retire(time.Time{})
	network.Run("expect s EOF")
}

// A data server restarted on the same address: the idle connections to the old process are found closed when reused,
// and the attempt continues on a new connection.
func TestBackOnItsAddress(t *testing.T) {
	network, pool, _ := newTestPool(t, 1024)
	attempt, second := pool.try(), pool.try()
	network.Run("wait s as x\nwait s as y\nexpect x startup\nexpect y startup\nsend x welcome\nsend y welcome\nexpect x Q \"A\"\nexpect y Q \"A\"\n" +
		`send x T | D "v" | C | Z` + "\n" + `send y T | D "v" | C | Z`)
	<-attempt.Done()
	<-second.Done()
	network.Run("close x\nclose y")
	attempt = pool.try()
	network.Run(handshakeAndQuery + answerOK)
	if res := <-attempt.Done(); res.Outcome != balance.Succeeded {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
}
