package backend

import (
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"sync"
	"syscall"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
	"lotushook/policy/balance"
)

// MaxMessageBytes is the longest message taken from a data server. Values are said to
// have 64 KiB at most, but whole ones of 400 KB were seen; what the buffers take
// together is bounded by a quota.
const MaxMessageBytes = 1 << 20

const (
	user     = "worker"
	database = "catalog"
)

// What comes beside a value is short, and so is what comes before the first query: beyond these bytes it has no end, and
// reading on would take the time of other requests.
const (
	maxAnswerBytes  = MaxMessageBytes + 64<<10
	maxWelcomeBytes = 64 << 10
)

// ahead is what a commit's position, which is rounded up, may be in the future.
const maxClockAhead = 2 * time.Millisecond

// rowSeed is for the rows' hashes: a row itself may be large, and would stay with
// each idle connection.
var rowHashSeed = maphash.MakeSeed()

var (
	errUnsolicited = errors.New("the data server spoke unasked")
	errUnwanted    = errors.New("no time is left, or nobody waits for it")
	errTooLong     = fmt.Errorf("%w: what has no end", pgwire.ErrMalformed)
	errDraining    = errors.New("the node drains")
)

// serverConn is one connection to a data server. Its goroutine dials, and then reads
// for as long as the connection lives, so that its end is seen while it idles.
type serverConn struct {
	pool      *Pool
	endpoint  balance.EndpointID
	address   string
	in        *ringbuffer.Buffer // only the goroutine's
	out       *ringbuffer.Buffer // only who writes the query's
	idleAt    time.Time          // the pool's lock
	dialDelay time.Duration      // before it dials

	mu          sync.Mutex
	socket      net.Conn
	rawSocket   syscall.RawConn // of net
	current     *Attempt        // being made on this connection
	sentAt      time.Time       // since when
	unsolicited bool            // bytes came while there was no attempt
	closed      bool
	previousRow uint64 // only the goroutine's: the hash of the row of the answer before
	released    sync.Once

	// For each attempt that is bound to the connection, once: whether its query went out whole. Who writes it may be
	// another goroutine than the one that reads, and what is read tells nothing of a query that was not there.
	written chan bool
}

func newServerConn(p *Pool, node balance.EndpointID, dial string) *serverConn {
	return &serverConn{pool: p, endpoint: node, address: dial, in: ringbuffer.New(MaxMessageBytes).Within(p.ReadQuota), out: ringbuffer.New(1 << 20),
		written: make(chan bool, 1)}
}

// close ends the connection; the goroutine sees it and cleans up.
func (c *serverConn) close() {
	c.mu.Lock()
	c.closed = true
	conn := c.socket
	c.mu.Unlock()
	if conn != nil { // without the lock: it waits for the goroutine that reads, which takes it
		conn.Close()
	}
}

// release closes the connection, forgets it, and gives its descriptor back, once.
func (c *serverConn) release() {
	c.close()
	c.pool.remove(c)
	c.released.Do(c.pool.Descriptors.Hangup)
}

// run is the life of the connection.
func (c *serverConn) run(first *Attempt) {
	defer c.release()
	defer c.in.Free()
	res := c.connect(first)
	c.pool.Metrics.Add(dialCounter(res.Outcome))
	if res.Outcome != balance.Succeeded {
		c.close()
		first.finish(res)
		return
	}
	c.send(first)
	for {
		a, res, keep := c.readAnswer()
		if a == nil { // idle, and ended or in doubt
			return
		}
		if !keep {
			c.close()
		}
		if !c.awaitWrite() { // who writes sees to the attempt
			return
		}
		if !keep {
			a.finish(res)
			return
		}
		c.mu.Lock()
		c.current = nil
		c.mu.Unlock()
		c.in.Idle()
		c.socket.SetReadDeadline(time.Time{})
		kept := c.pool.putIdle(c) // before the result is known, so that the next attempt finds it
		a.finish(res)
		if !kept {
			return
		}
	}
}
