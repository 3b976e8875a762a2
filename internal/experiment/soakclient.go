package experiment

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
)

// soakHabit is how a client behaves on one connection.
type soakHabit int

const (
	soakInTurn    soakHabit = iota // one request after another
	soakPipelined                  // several in one write
	soakInPieces                   // a request in several writes
	soakResting                    // rests just up to the idle limit between two
	soakCancels
	soakLeaves
	soakHabits
)

const (
	soakIdleLimit    = 2250 * time.Millisecond // README: a client may idle so long between requests
	soakRestSpread   = 40 * time.Millisecond   // around it
	soakConnectLimit = 2 * time.Second
	soakReadMargin   = 2 * time.Second // beyond the time that an answer may come
	soakMaxPipelined = 5
	soakMaxPause     = 60 * time.Millisecond
	cancelCode       = 80877102 // of a CancelRequest
)

// soakClient is one client over time, on whatever connections it gets.
type soakClient struct {
	play    *soakPlay
	rng     *rand.Rand
	number  int
	count   int
	classes []string
	wrote   int64 // its session's last commit, Unix ms; 0: none
}

// soakConn is one of its connections.
type soakConn struct {
	*client
	life   int
	number int
	place  int
	key    []byte // by which a CancelRequest names it
}

func (c *soakClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		router, life := c.play.pick(c.rng)
		if router == nil {
			_ = sleep(ctx, 20*time.Millisecond)
			continue
		}
		c.session(ctx, router.addr, life)
	}
}

// session is one connection's life.
func (c *soakClient) session(ctx context.Context, addr string, life int) {
	habit := soakHabit(c.rng.IntN(int(soakHabits)))
	raw, err := net.DialTimeout("tcp", addr, soakConnectLimit)
	if err != nil {
		_ = sleep(ctx, 20*time.Millisecond)
		return
	}
	defer raw.Close()
	conn := &soakConn{client: &client{raw, ringbuffer.New(2 << 20)}, life: life, number: c.play.connection()}
	startup := pgwire.AppendStartup(nil, "worker", "catalog")
	var first []*soakRequest
	if c.rng.IntN(2) == 0 { // straight behind the startup message
		var query []byte
		first, query = c.batch(conn, 1)
		startup = append(startup, query...)
	}
	raw.SetDeadline(time.Now().Add(soakConnectLimit + c.longestWait()))
	_, err = raw.Write(startup)
	c.sent(first, err)
	if err := conn.welcome(); err != nil {
		c.end(first, err)
		return
	}
	if len(first) > 0 && !c.read(conn, first) {
		return
	}
	for ctx.Err() == nil && c.exchange(conn, habit) {
		c.rest(ctx, habit)
	}
}

func (c *soakClient) longestWait() time.Duration { return c.play.record.Limits.LongestDeadline }

// welcome reads what comes before the first ReadyForQuery.
func (c *soakConn) welcome() error {
	for {
		m, err := c.next()
		if err != nil {
			return err
		}
		if m.Kind == pgwire.BackendKeyData {
			c.key = slices.Clone(m.Body)
		}
		kind := m.Kind
		c.in.Discard(m.Size)
		switch kind {
		case pgwire.ErrorResponse:
			return &rejectedError{}
		case pgwire.ReadyForQuery:
			return nil
		}
	}
}

// exchange makes one request, or several in one write, and says whether the connection goes on.
func (c *soakClient) exchange(conn *soakConn, habit soakHabit) bool {
	n := 1
	if habit == soakPipelined {
		n += c.rng.IntN(soakMaxPipelined)
	}
	list, query := c.batch(conn, n)
	conn.conn.SetWriteDeadline(time.Now().Add(soakConnectLimit))
	err := c.write(conn, query, habit)
	c.sent(list, err)
	if err != nil {
		c.end(list, err)
		return false
	}
	leaves := habit == soakLeaves && c.rng.IntN(3) == 0
	if leaves || habit == soakCancels && c.rng.IntN(2) == 0 {
		time.Sleep(time.Duration(c.rng.Int64N(int64(soakMaxPause))))
	}
	if leaves {
		gone := time.Now()
		conn.conn.Close()
		c.play.record.change(func() {
			for _, q := range list {
				q.Gone = gone
			}
		})
		return false
	}
	if habit == soakCancels && len(conn.key) == 8 && c.rng.IntN(2) == 0 {
		c.cancel(conn, list)
	}
	return c.read(conn, list)
}

// write sends a query, in pieces where the client does so.
func (c *soakClient) write(conn *soakConn, query []byte, habit soakHabit) error {
	for habit == soakInPieces && len(query) > 1 {
		n := 1 + c.rng.IntN(len(query)-1)
		if _, err := conn.conn.Write(query[:n]); err != nil {
			return err
		}
		query = query[n:]
		time.Sleep(time.Duration(c.rng.Int64N(int64(soakMaxPause / 2))))
		if c.rng.IntN(3) == 0 {
			break
		}
	}
	_, err := conn.conn.Write(query)
	return err
}

// cancel calls off what the connection waits for.
func (c *soakClient) cancel(conn *soakConn, list []*soakRequest) {
	side, err := net.DialTimeout("tcp", conn.conn.RemoteAddr().String(), soakConnectLimit)
	if err != nil {
		return
	}
	defer side.Close()
	message := binary.BigEndian.AppendUint32(nil, 16)
	message = binary.BigEndian.AppendUint32(message, cancelCode)
	if _, err := side.Write(append(message, conn.key...)); err != nil {
		return
	}
	var b [1]byte
	side.SetReadDeadline(time.Now().Add(soakConnectLimit))
	if _, err := side.Read(b[:]); err == nil || strings.Contains(err.Error(), "reset") {
		return // it may not have been read
	}
	gone := time.Now()
	c.play.record.change(func() {
		for _, q := range list {
			q.Gone = gone
		}
	})
}

// batch draws requests and their query messages.
func (c *soakClient) batch(conn *soakConn, n int) (list []*soakRequest, query []byte) {
	for range n {
		r := c.draw()
		query = append(query, r.query()...)
		q := &soakRequest{ID: r.id, Key: r.key, Class: r.class, Life: conn.life, Conn: conn.number, Place: conn.place, Wait: r.wait, Outcome: waiting}
		conn.place++
		list = append(list, q)
		c.play.record.addRequest(q)
	}
	return list, query
}

// draw is the next request.
func (c *soakClient) draw() *request {
	c.count++
	class := c.classes[c.rng.IntN(len(c.classes))]
	k := c.play.record.Profile.Classes[class]
	wait := ms(k.WaitMS)
	if c.rng.IntN(8) == 0 { // very little time left
		wait = time.Duration(float64(wait) * (0.02 + 0.3*c.rng.Float64()))
	}
	id := fmt.Sprintf("s%d-%d", c.number, c.count)
	r := &request{id: id, oid: fmt.Sprintf("session-%d", c.number), class: class, wait: wait.Truncate(time.Millisecond), group: 1 + c.rng.Int64N(int64(c.play.e.Fleet.Groups))}
	switch k.Read {
	case "write":
		r.key = id
		r.group = 1 + int64(c.number)%int64(c.play.e.Fleet.Groups) // a session belongs to one group
	case "session":
		r.group = 1 + int64(c.number)%int64(c.play.e.Fleet.Groups)
		r.after = c.wrote
	}
	return r
}

// sent notes that requests were written whole, or that they were not.
func (c *soakClient) sent(list []*soakRequest, err error) {
	if err != nil {
		return
	}
	now := time.Now()
	c.play.record.change(func() {
		for _, q := range list {
			q.Sent = now
		}
	})
}

// read reads the answers to requests, and says whether the connection goes on.
func (c *soakClient) read(conn *soakConn, list []*soakRequest) bool {
	turn := time.Time{}
	for i, q := range list {
		from := q.Sent
		if turn.After(from) {
			from = turn
		}
		conn.conn.SetReadDeadline(from.Add(q.Wait + answerGrace + soakReadMargin))
		a, err := conn.readAnswer()
		if err != nil {
			c.end(list[i:], err)
			return false
		}
		now := time.Now()
		c.play.record.change(func() {
			q.Outcome, q.At, q.Turn = a.outcome, now, turn
			q.Wrong = a.outcome == served && a.value != expectedValue(q)
		})
		if a.outcome == served && q.Key != "" {
			c.wrote = now.UnixMilli()
		}
		turn = now
		if a.fatal {
			c.end(list[i+1:], errFatal)
			return false
		}
	}
	return true
}

var errFatal = &rejectedError{}

func expectedValue(q *soakRequest) string {
	if q.Key != "" {
		return "k:" + q.Key
	}
	return "v:" + q.ID
}

// end notes that the connection brought no answers to requests.
func (c *soakClient) end(list []*soakRequest, err error) {
	now := time.Now()
	var timeout net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	c.play.record.change(func() {
		for _, q := range list {
			q.At, q.Ended = now, !timedOut
		}
	})
}

func (c *soakClient) rest(ctx context.Context, habit soakHabit) {
	pause := time.Duration(c.rng.Int64N(int64(soakMaxPause)))
	if habit == soakResting && c.rng.IntN(4) == 0 {
		pause = soakIdleLimit + time.Duration(c.rng.Int64N(int64(2*soakRestSpread))) - soakRestSpread
	}
	_ = sleep(ctx, pause)
}

// idle is one of a crowd: it connects, asks nothing that takes work, and stays until it is closed.
func (c *soakClient) idle(ctx context.Context) {
	for ctx.Err() == nil {
		router, _ := c.play.pick(c.rng)
		if router == nil {
			_ = sleep(ctx, 50*time.Millisecond)
			continue
		}
		c.idleOnce(ctx, router.addr)
		_ = sleep(ctx, 100*time.Millisecond+time.Duration(c.rng.Int64N(int64(400*time.Millisecond))))
	}
}

func (c *soakClient) idleOnce(ctx context.Context, addr string) {
	raw, err := net.DialTimeout("tcp", addr, soakConnectLimit)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	defer raw.Close()
	if _, err := raw.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "worker", "catalog"), "")); err != nil {
		return
	}
	for b := make([]byte, 512); err == nil; {
		_, err = raw.Read(b)
	}
}
