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

// served is an answer that leaves its connection for the next query.
const served = `send s T | D "v" | C | Z`

func query(text string) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := w.Write(pgwire.AppendQuery(nil, text))
		return err
	}
}

// only is the one connection of a pool.
func only(t *testing.T, p *Pool) *serverConn {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.all {
		if len(p.all) == 1 {
			return c
		}
	}
	t.Fatalf("%d connections", len(p.all))
	return nil
}

func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// deadlinesIn are those of an attempt that nothing but its span, and the position that justified it, bound.
func deadlinesIn(span, fresh time.Duration) Deadlines {
	d := Deadlines{Connect: time.Now().Add(time.Hour), Answer: time.Now().Add(span)}
	if fresh > 0 {
		d.Fresh = time.Now().Add(fresh)
	}
	return d
}

// What happens after an attempt has got its connection, dialled or rested, and before the first byte of its query still
// counts: nothing is written then, and the outcome says that nothing ran. The connection is as good as before.
func TestLastStep(t *testing.T) {
	const position = 200 * time.Millisecond // until it is too old for the read, where there is one
	for _, c := range []struct {
		name string
		late func(d *directory, unwanted *atomic.Bool)
		span time.Duration // of the attempt
		want balance.Outcome

		fresh time.Duration // what is known of the node is enough for so long; 0: for ever
	}{
		{"the node drains", func(d *directory, _ *atomic.Bool) { d.drain() }, time.Hour, balance.Busy, 0},
		{"nobody waits any more", func(_ *directory, unwanted *atomic.Bool) { unwanted.Store(true) }, time.Hour, balance.NotSent, 0},
		{"its time is over", func(*directory, *atomic.Bool) { time.Sleep(200 * time.Millisecond) }, 200 * time.Millisecond, balance.NotSent, 0},
		{"the position that justified it is too old", func(*directory, *atomic.Bool) { time.Sleep(position) }, time.Hour, balance.NotEligible, position},
	} {
		for _, rested := range []bool{false, true} {
			name := c.name + " during a dial"
			if rested {
				name = c.name + " as a connection is taken"
			}
			t.Run(name, func(t *testing.T) {
				s, p, d := stage(t, 1024)
				var unwanted atomic.Bool
				if rested {
					a := p.try()
					s.Play(greeted + served)
					<-a.Done()
				}
				word := query("late")
				a := p.Start(1, deadlinesIn(c.span, c.fresh), func(w io.Writer) error {
					if rested {
						c.late(d, &unwanted)
					}
					return word(w)
				}, func() bool { return !unwanted.Load() })
				if !rested {
					s.Play("wait s\nexpect s startup")
					c.late(d, &unwanted)
					s.Play("send s welcome")
				}
				if res := <-a.Done(); res.Outcome != c.want {
					t.Errorf("outcome %d, %v", res.Outcome, res.Err)
				}
				await(t, "the connection is back", func() bool { return p.Idle() == 1 })
				d.mu.Lock()
				d.drains = false
				d.mu.Unlock()
				a = p.try()
				s.Play("expect s Q \"A\"\n" + served)
				if res := <-a.Done(); res.Outcome != balance.Succeeded {
					t.Errorf("the next one: outcome %d, %v", res.Outcome, res.Err)
				}
			})
		}
	}
}

// A node that is told to listen elsewhere while its connection comes up, or is taken, gets the query there: the old address
// may be another's by now.
func TestMovedAtTheLastStep(t *testing.T) {
	for _, rested := range []bool{false, true} {
		s, p, d := stage(t, 1024)
		other := nettest.New(t, "s")
		move := func() {
			d.mu.Lock()
			d.dial = other.Addr("s")
			d.mu.Unlock()
		}
		if rested {
			a := p.try()
			s.Play(greeted + served)
			<-a.Done()
		}
		end, moved := time.Now().Add(time.Hour), make(chan *Attempt, 1)
		go func() {
			moved <- p.Start(1, Deadlines{Connect: end, Answer: end}, func(w io.Writer) error {
				if rested {
					move()
				}
				return word(w)
			}, nil)
		}()
		if !rested {
			s.Play("wait s\nexpect s startup")
			move()
			s.Play("send s welcome")
		}
		s.Play("expect s EOF")
		other.Play(greeted + served)
		if res := <-(<-moved).Done(); res.Outcome != balance.Succeeded {
			t.Errorf("rested %v: outcome %d, %v", rested, res.Outcome, res.Err)
		}
	}
}

// An attempt that is called off before its connection is up did not run, and the node had no part in that.
func TestCalledOffDuringDial(t *testing.T) {
	s, p, _ := stage(t, 1024)
	a := p.try()
	s.Play("wait s\nexpect s startup")
	if res := a.Abort(balance.Canceled); res.Outcome != balance.NotSent {
		t.Errorf("outcome %d", res.Outcome)
	}
	s.Play("expect s EOF")
}

// A connection that a data server spoils just as it is taken, with its end or with anything that it says, is not written on:
// the query goes to another one, as one and the same attempt.
func TestSpoiltAsItIsTaken(t *testing.T) {
	for _, spoil := range []string{"close s", `send s raw "S\x00"`, `send s FATAL 57P03`, `send s FATAL 53300`, `send s E 53300 | Z`, `send s T | D "w" | C | Z`} {
		s, p, _ := stage(t, 1024)
		a := p.try()
		s.Play(greeted + served)
		<-a.Done()
		c := only(t, p)
		end, spoilt := time.Now().Add(time.Hour), false
		a = p.Start(1, Deadlines{Connect: end, Answer: end}, func(w io.Writer) error {
			if !spoilt { // the connection is this attempt's, and not written on
				spoilt = true
				s.Play(spoil)
				await(t, "it has arrived", func() bool { return c.isUnsolicited() || c.hasUnread() })
			}
			return word(w)
		}, nil)
		s.Play(greeted + served)
		if res := <-a.Done(); res.Outcome != balance.Succeeded || string(res.Value) != "v" {
			t.Errorf("%s: outcome %d, %q, %v", spoil, res.Outcome, res.Value, res.Err)
		}
	}
}

// narrow makes a connection hold little of what is not read.
func narrow(t *testing.T, c *serverConn) {
	t.Helper()
	if err := c.socket.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
}

// A connection that ends, or says anything, before the last byte of a query is written has not run it. On one that rested
// the query goes to another, as the same attempt, whoever hears of the end first.
func TestBrokenInTheMiddleOfAQuery(t *testing.T) {
	large := strings.Repeat("x", 900<<10)
	for _, end := range []string{"close s", "send s FATAL 57P03\nclose s", `send s E 53300 | Z`, `send s T | D "w" | C | Z`, `send s T | D "w"`} {
		s, p, _ := stage(t, 1024)
		p.StallTimeout = 50 * time.Millisecond
		a := p.try()
		s.Play(greeted + served)
		<-a.Done()
		narrow(t, only(t, p))
		until, started := time.Now().Add(time.Hour), make(chan *Attempt, 1)
		go func() { started <- p.Start(1, Deadlines{Connect: until, Answer: until}, query(large), nil) }()
		s.Play(`expect s raw "Q"` + "\n" + end) // it is on its way, and nobody reads on
		s.Set("large", large)
		s.Play("wait s as y\nexpect y startup\nsend y welcome\nexpect y Q \"{large}\"\n" + `send y T | D "v" | C | Z`)
		if res := <-(<-started).Done(); res.Outcome != balance.Succeeded || string(res.Value) != "v" {
			t.Errorf("%s: outcome %d, %q, %v", end, res.Outcome, res.Value, res.Err)
		}
	}
}

// heldWrite is a connection whose next write is done and does not return before it is let go.
type heldWrite struct {
	net.Conn
	hold atomic.Bool
	done chan struct{}
	free chan struct{}
}

func (h *heldWrite) Write(p []byte) (int, error) {
	n, err := h.Conn.Write(p)
	if h.hold.Swap(false) {
		close(h.done)
		<-h.free
	}
	return n, err
}

// An answer that overtakes the goroutine that wrote its query must not give the connection to another attempt: what the
// writer drops at its end would be the other's query, which then never went out and is waited for to the end of its time.
func TestAnswerOvertakesTheWriter(t *testing.T) {
	s, p, _ := stage(t, 1024)
	p.StallTimeout = 20 * time.Millisecond
	a := p.try()
	s.Play(greeted + served)
	<-a.Done()
	c := only(t, p)
	held := &heldWrite{Conn: c.socket, done: make(chan struct{}), free: make(chan struct{})}
	held.hold.Store(true)
	c.mu.Lock()
	c.socket = held
	c.mu.Unlock()
	first := make(chan *Attempt, 1)
	go func() { first <- p.try() }()
	<-held.done
	s.Play("expect s Q \"A\"\n" + served)
	closed := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.closed
	}
	await(t, "the answer is here", func() bool { return closed() || p.Idle() > 0 })
	if p.Idle() > 0 {
		t.Error("a connection is free that is being written on")
	}
	close(held.free)
	if res := <-(<-first).Done(); res.Outcome != balance.Succeeded {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
}

// A node that was replaced under its old name listens elsewhere: the connections to the old one are not used again.
func TestReplacedUnderItsName(t *testing.T) {
	s, p, d := stage(t, 1024)
	other := nettest.New(t, "s")
	a := p.try()
	s.Play(greeted + served)
	<-a.Done()
	d.mu.Lock()
	d.dial = other.Addr("s")
	d.mu.Unlock()
	a = p.try()
	other.Play(greeted + served)
	if res := <-a.Done(); res.Outcome != balance.Succeeded {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
	p.retire(time.Time{})
	s.Play("expect s EOF")
}

// A node that died and is back on its address: what was open to the one before shows its end as it is taken, and the
// attempt goes on with the new one.
func TestBackOnItsAddress(t *testing.T) {
	s, p, _ := stage(t, 1024)
	a, b := p.try(), p.try()
	s.Play("wait s as x\nwait s as y\nexpect x startup\nexpect y startup\nsend x welcome\nsend y welcome\nexpect x Q \"A\"\nexpect y Q \"A\"\n" +
		`send x T | D "v" | C | Z` + "\n" + `send y T | D "v" | C | Z`)
	<-a.Done()
	<-b.Done()
	s.Play("close x\nclose y")
	a = p.try()
	s.Play(greeted + served)
	if res := <-a.Done(); res.Outcome != balance.Succeeded {
		t.Errorf("outcome %d, %v", res.Outcome, res.Err)
	}
}
