package router

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lotushook/internal/changefeed"
	"lotushook/internal/pgwire"
	"lotushook/internal/ringbuffer"
	"lotushook/policy/admission"
	"lotushook/policy/clock"
	"lotushook/policy/contract"
	"lotushook/policy/inputpacing"
)

const (
	maxQueryBytes = 1 << 20
	maxPipelined  = 16 // concurrent requests per client
)

// client is one client connection. One goroutine, the reader, reads it. Each query has a task, a goroutine that obtains
// the answer and writes it. Other goroutines ask the reader to close the connection, as only the reader knows whether a
// request has been read.
type client struct {
	router         *Router
	conn           net.Conn
	identity       contract.Identity // from the startup message
	cancelKey      pgwire.CancelKey
	admissionID    admission.ID
	left           chan struct{} // closed once the client has disconnected or is being disconnected
	failedByClient bool          // set before left is closed: the client made an error and still receives messages
	clientReader
	clientWriter
	blocked blockedWrite

	mu sync.Mutex // guards the fields below
	clientState
}

// clientReader belongs to the goroutine that reads the connection.
type clientReader struct {
	input            *ringbuffer.Buffer
	arrived          arrivals                 // when the bytes of the input were sent
	connectedAt      clock.Nanos              // when the client was last seen to be connected, although input was left
	pacing           inputpacing.Client       // guarded by the lock of the router's inputPacer
	skipUntilSync    bool                     // after an error in an extended query
	unusableInRow    int                      // consecutive unusable queries (see rejectUnusable)
	feedSubscription *changefeed.Subscription // nil: the client has not queried a change feed
	hasSession       bool                     // the session's start has been answered
	readingEnded     atomic.Bool              // nothing more is to be read; any goroutine may set it
}

// clientWriter belongs to the task whose turn it is to write its answer; any goroutine may use the channels.
type clientWriter struct {
	writing          sync.Mutex // held while an answer is written
	writes           writeProgress
	slots            chan struct{} // a semaphore that limits the pipelined requests
	writeFailed      chan struct{} // closed once an answer could not be written: later answers can't be delivered
	closeWriteFailed sync.Once
}

// clientState is shared by the reader, the tasks and the periodic sweep of all clients (clientSet.sweep).
type clientState struct {
	openQueries  int             // read and not yet answered
	cancelable   []chan struct{} // of the open requests, in the order of their queries; a CancelRequest closes the first
	earlyCancel  earlyCancel     // a CancelRequest that may name the next query
	lastAnswered chan struct{}   // closed once the most recent query is answered; only the reader replaces it
	hasQueried   bool            // the client has sent a complete query
	pipelines    bool            // the client has sent a query before the previous one was answered
	idleSince    time.Time       // since when no query is open
	partialSince time.Time       // since when a message is incomplete; zero: none is
	partialBytes int             // the memory of the incomplete message, when partialSince is set
	wakeup
	lingering      bool      // the reader is closing the connection and must not be woken
	lingeringSince time.Time // since when the reader waits for the client to close its side; zero: it does not
}

// wakeup says why another goroutine has woken the reader. A read deadline in the past wakes it.
type wakeup struct {
	rejection *rejection // to be sent by the reader
	overdue   bool       // a query or the rest of a message did not arrive in time
	closing   bool       // close the connection unless a request is open or has arrived
	displaced bool       // set with closing: the admission controller has given the capacity to another client
}

var (
	errDone             = errors.New("done") // the regular end of a connection
	errAnswerNotWritten = errors.New("an answer could not be written")
	errDraining         = errors.New("refused: the router stops")
)

func newClient(router *Router, conn net.Conn) *client {
	answered := make(chan struct{})
	close(answered)
	return &client{
		router:       router,
		conn:         conn,
		left:         make(chan struct{}),
		clientReader: clientReader{input: ringbuffer.New(maxQueryBytes).WithQuota(router.readQuota)},
		clientWriter: clientWriter{
			slots:       make(chan struct{}, maxPipelined),
			writeFailed: make(chan struct{}),
		},
		clientState: clientState{lastAnswered: answered, idleSince: time.Now()},
	}
}

// run reads the connection until it ends, and waits for the open requests.
func (client *client) run() {
	var tasks sync.WaitGroup
	err := client.startSession()
	started := err == nil
	for err == nil {
		err = client.readMessage(&tasks)
	}
	client.finish(&tasks, client.closeCause(err), started)
}

// finish closes the connection once all queries that were read are answered.
func (client *client) finish(tasks *sync.WaitGroup, cause error, started bool) {
	code, retryAfter := fatalCode(cause)
	var unserved []byte
	if started {
		unserved = client.rejectUnserved(cause)
	}
	client.input.Free()
	client.failedByClient = code != ""
	if client.failedByClient { // open requests are answered before the error is sent
		client.awaitOpenRequests(client.router.timeouts.openRequests)
	}
	close(client.left)
	client.router.cancelKeys.remove(client)
	tasks.Wait()
	if client.failedByClient {
		client.writeLast(pgwire.AppendError(unserved, "FATAL", code, cause.Error(), retryAfter))
	}
	if client.failedByClient || client.pipelines && errors.Is(cause, errDone) {
		client.lingeringClose()
	}
	closeQuietly(client.conn)
	client.router.removeClient(client)
}
