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

// MaxMessageBytes is the longest message accepted from a data server. Values are specified to have at most 64 KiB, but
// data servers have sent complete values of 400 KB. The total size of all buffers is limited by Options.ReadQuota.
const MaxMessageBytes = 1 << 20

// maxAnswerBytes is the longest answer accepted. Apart from the value its messages are short; reading on would let a
// server that never stops sending use the time of other requests.
const maxAnswerBytes = MaxMessageBytes + 64<<10

var (
	errUnsolicited = errors.New("the data server sent unsolicited bytes")
	errUnwanted    = errors.New("the deadline has passed or the query is no longer wanted")
	errTooLong     = fmt.Errorf("%w: answer too long", pgwire.ErrMalformed)
	errDraining    = errors.New("the endpoint is draining")
	errDemoted     = errors.New("the endpoint is no longer the primary")
	errStale       = errors.New("the known position of the endpoint has become too old for this read")
)

// serverConn is one connection to a data server. Its goroutine dials and then reads until the connection ends, so that
// the end of an idle connection is detected too.
type serverConn struct {
	pool      *Pool
	endpoint  balance.EndpointID
	address   string
	dialDelay time.Duration
	idleAt    time.Time // guarded by the pool's lock
	released  sync.Once
	connReader
	connWriter

	mu          sync.Mutex // guards the fields below
	socket      net.Conn
	rawSocket   syscall.RawConn // of socket
	current     *Attempt        // the attempt whose answer is awaited; nil while idle
	sentAt      time.Time       // when the query of current was sent
	unsolicited bool            // bytes arrived while there was no attempt
	closed      bool
}

// connReader holds the fields that only the connection's goroutine uses.
type connReader struct {
	in             *ringbuffer.Buffer
	previousRow    uint64 // hash of the row of the previous successful answer
	previousAnswer uint64 // hash of all its messages
}

// connWriter holds the fields that the goroutine that writes a query uses.
type connWriter struct {
	out *ringbuffer.Buffer
	// Receives one value for each attempt bound to the connection: whether its query was written completely. The writer
	// may be another goroutine than the reader, and bytes read before the query was complete are not its answer.
	written chan bool
}

func newServerConn(pool *Pool, endpoint balance.EndpointID, address string) *serverConn {
	return &serverConn{
		pool:       pool,
		endpoint:   endpoint,
		address:    address,
		connReader: connReader{in: ringbuffer.New(MaxMessageBytes).WithQuota(pool.ReadQuota)},
		connWriter: connWriter{out: ringbuffer.New(maxWriteBytes), written: make(chan bool, 1)},
	}
}

// close closes the connection. Its goroutine notices that and cleans up.
func (conn *serverConn) close() {
	conn.mu.Lock()
	conn.closed = true
	socket := conn.socket
	conn.mu.Unlock()
	if socket != nil { // without holding the lock: closing waits for the reading goroutine, which needs it
		closeQuietly(socket)
	}
}

// closeQuietly closes a connection and ignores the error, which only means that the connection has already ended.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// release closes the connection, removes it from the pool and returns its descriptor, once.
func (conn *serverConn) release() {
	conn.close()
	conn.pool.remove(conn)
	conn.released.Do(conn.pool.Descriptors.ReleaseServer)
}

// run is the connection's goroutine.
func (conn *serverConn) run(first *Attempt) {
	defer conn.release()
	defer conn.in.Free()
	result := conn.connect(first)
	conn.pool.Metrics.Add(dialCounter(result.Outcome))
	if result.Outcome != balance.Succeeded {
		conn.close()
		first.finish(result)
		return
	}
	conn.send(first)
	for conn.serveNext() {
	}
}

// serveNext reads one answer and delivers it to its attempt. It reports whether the connection may carry another.
func (conn *serverConn) serveNext() bool {
	attempt, result, keep := conn.readAnswer()
	if attempt == nil { // an idle connection has ended or sent unsolicited bytes
		return false
	}
	if !keep {
		conn.close()
	}
	if !conn.awaitWrite() { // the writer finishes or reassigns the attempt
		return false
	}
	if !keep {
		attempt.finish(result)
		return false
	}
	conn.pool.roles.record(conn.endpoint, result.Role, time.Now())
	conn.mu.Lock()
	conn.current = nil
	conn.mu.Unlock()
	conn.in.ShrinkIfEmpty()
	conn.socket.SetReadDeadline(time.Time{})
	pooled := conn.pool.putIdle(conn) // before the result is delivered, so that the next attempt finds the connection
	attempt.finish(result)
	return pooled
}
