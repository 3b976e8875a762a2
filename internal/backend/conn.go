package backend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
	"lotushook/policy/balance"
)

// MaxMessageBytes is the longest message taken from a data server. Values are said to have 64 KiB at most, but complete
// ones of 400 KB were seen; what the buffers take together is bounded by a quota.
const MaxMessageBytes = 1 << 20

// maxAnswerBytes: what comes beside a value is short; beyond these bytes an answer has no end, and reading on would take
// the time of other requests.
const maxAnswerBytes = MaxMessageBytes + 64<<10

var (
	errUnsolicited = errors.New("the data server sent what was not requested")
	errUnwanted    = errors.New("no time is left, or nobody waits for it")
	errTooLong     = fmt.Errorf("%w: what has no end", pgwire.ErrMalformed)
	errDraining    = errors.New("the endpoint drains")
	errStale       = errors.New("what is known of the endpoint's position is too old for the read by now")
)

// serverConn is one connection to a data server. Its goroutine dials, and then reads for as long as the connection lives,
// so that its end is seen while it idles.
type serverConn struct {
	pool      *Pool
	endpoint  balance.EndpointID
	address   string
	dialDelay time.Duration
	idleAt    time.Time // guarded by the pool's lock
	released  sync.Once
	connReader
	connWriter

	mu          sync.Mutex // guards what follows
	socket      net.Conn
	rawSocket   syscall.RawConn // of socket
	current     *Attempt        // being made on this connection
	sentAt      time.Time       // since when
	unsolicited bool            // bytes came while there was no attempt
	closed      bool
}

// connReader belongs to the connection's goroutine.
type connReader struct {
	in          *ringbuffer.Buffer
	previousRow uint64 // the hash of the row of the answer before
}

// connWriter belongs to whoever writes a query.
type connWriter struct {
	out *ringbuffer.Buffer
	// For each attempt that is bound to the connection, once: whether its query went out complete. Who writes it may be
	// another goroutine than the one that reads, and what is read tells nothing of a query that was not there.
	written chan bool
}

func newServerConn(p *Pool, endpoint balance.EndpointID, address string) *serverConn {
	return &serverConn{
		pool:       p,
		endpoint:   endpoint,
		address:    address,
		connReader: connReader{in: ringbuffer.New(MaxMessageBytes).Within(p.ReadQuota)},
		connWriter: connWriter{out: ringbuffer.New(MaxMessageBytes), written: make(chan bool, 1)},
	}
}

// close ends the connection; the goroutine sees it and cleans up.
func (c *serverConn) close() {
	c.mu.Lock()
	c.closed = true
	socket := c.socket
	c.mu.Unlock()
	if socket != nil { // without the lock: it waits for the goroutine that reads, which takes it
		closeQuietly(socket)
	}
}

// closeQuietly closes what nobody wants to hear of any more: an error says only that it has ended already.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// release closes the connection, forgets it, and gives its descriptor back, once.
func (c *serverConn) release() {
	c.close()
	c.pool.remove(c)
	c.released.Do(c.pool.Descriptors.ReleaseServer)
}

// run is the life of the connection.
func (c *serverConn) run(first *Attempt) {
	defer c.release()
	defer c.in.Free()
	result := c.connect(first)
	c.pool.Metrics.Add(dialCounter(result.Outcome))
	if result.Outcome != balance.Succeeded {
		c.close()
		first.finish(result)
		return
	}
	c.send(first)
	for c.serveNext() {
	}
}

// serveNext reads one answer and hands it to its attempt. It says whether the connection goes on.
func (c *serverConn) serveNext() bool {
	attempt, result, keep := c.readAnswer()
	if attempt == nil { // idle, and ended or in doubt
		return false
	}
	if !keep {
		c.close()
	}
	if !c.awaitWrite() { // who writes sees to the attempt
		return false
	}
	if !keep {
		attempt.finish(result)
		return false
	}
	c.mu.Lock()
	c.current = nil
	c.mu.Unlock()
	c.in.Idle()
	c.socket.SetReadDeadline(time.Time{})
	pooled := c.pool.putIdle(c) // before the result is known, so that the next attempt finds it
	attempt.finish(result)
	return pooled
}
