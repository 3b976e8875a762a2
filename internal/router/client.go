package router

import (
	"errors"
	"net"
	"sync"
	"time"

	"lotushook/internal/backend"
	"lotushook/internal/changefeed"
	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
	"lotushook/policy/admission"
	"lotushook/policy/contract"
)

const (
	maxQueryBytes  = 1 << 20
	maxAnswerBytes = backend.MaxMessageBytes + 64<<10 // the value, and the messages round it
	maxPipelined   = 16                               // requests of one client at a time
)

// client is one connection of a client: a goroutine that reads it, and a task for each request. Only the reader ends the
// connection, whoever wants it ended: nobody else knows whether a request has been read.
type client struct {
	router         *Router
	conn           net.Conn
	identity       contract.Identity // as its startup message says
	cancelKey      pgwire.CancelKey
	admissionID    admission.ID
	left           chan struct{} // closed once the client has gone, or is to be
	failedByClient bool          // with left closed: by an error of the client's, which still hears
	clientReader
	clientWriter

	mu sync.Mutex // guards what follows
	clientState
}

// clientReader belongs to the goroutine that reads the connection.
type clientReader struct {
	input         *ringbuffer.Buffer
	arrived       arrivals                 // when what is in the input had come
	skipUntilSync bool                     // after an error in an extended query
	unusableInRow int                      // unusable queries in a row
	feedSeat      *changefeed.Subscription // of one that has asked for a feed
}

// clientWriter belongs to whoever has the turn to answer, but for the channels.
type clientWriter struct {
	output           *ringbuffer.Buffer
	slots            chan struct{} // bounds what is pipelined
	writeFailed      chan struct{} // closed once an answer could not be written: nobody hears the next ones
	closeWriteFailed sync.Once
}

// clientState is what the reader, the tasks and the sweep share.
type clientState struct {
	openQueries  int           // read and not answered
	cancelable   []*request    // of those, the ones that a CancelRequest can name, in their order
	earlyCancel  earlyCancel   // for the next query, if it was sent before
	lastAnswered chan struct{} // closed once the newest query has its answer
	hasQueried   bool          // it has sent a complete query
	pipelines    bool          // it has sent a query without waiting for the answer before it
	idleSince    time.Time     // since when no query is open
	partialSince time.Time     // since when a message is incomplete; zero: none is
	wakeup
	lingering      bool      // the reader is closing the connection: nobody wakes it any more
	lingeringSince time.Time // since when it waits for the client's end; zero: it does not
}

// wakeup is what the reader is woken for by a read deadline long past.
type wakeup struct {
	rejection *rejection // for the reader to send
	overdue   bool       // a query, or the rest of a message, has not come in time
	closing   bool       // it is to end the connection, if nothing is open or has come
	displaced bool       // with closing: admission has given its place away
}

var (
	errDone           = errors.New("done") // ends a connection without anything being wrong
	errAnswerNotTaken = errors.New("an answer was not taken")
	errDraining       = errors.New("refused: the router stops")
)

func newClient(r *Router, conn net.Conn) *client {
	answered := make(chan struct{})
	close(answered)
	return &client{
		router:       r,
		conn:         conn,
		left:         make(chan struct{}),
		clientReader: clientReader{input: ringbuffer.New(maxQueryBytes).WithQuota(r.readQuota)},
		clientWriter: clientWriter{
			output:      ringbuffer.New(maxAnswerBytes),
			slots:       make(chan struct{}, maxPipelined),
			writeFailed: make(chan struct{}),
		},
		clientState: clientState{lastAnswered: answered, idleSince: time.Now()},
	}
}

// run reads the connection until the client leaves, and waits for its requests.
func (c *client) run() {
	var tasks sync.WaitGroup
	err := c.startSession()
	started := err == nil
	for err == nil {
		err = c.readMessage(&tasks)
	}
	c.finish(&tasks, c.closeCause(err), started)
}

// finish ends the connection once all that was read has its answer.
func (c *client) finish(tasks *sync.WaitGroup, cause error, started bool) {
	code, retryAfter := fatalCode(cause)
	var unserved []byte
	if started {
		unserved = c.rejectUnserved(cause)
	}
	c.input.Free()
	c.failedByClient = code != ""
	if c.failedByClient { // what was taken is answered before it
		c.awaitOpenRequests(c.router.timeouts.openRequests)
	}
	close(c.left)
	c.router.cancelKeys.remove(c)
	tasks.Wait()
	if c.failedByClient {
		c.writeLast(pgwire.AppendError(unserved, "FATAL", code, cause.Error(), retryAfter))
	}
	if c.failedByClient || c.pipelines && errors.Is(cause, errDone) {
		c.lingeringClose()
	}
	closeQuietly(c.conn)
	c.router.removeClient(c)
}
