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

// soakBehavior is the behavior of a client on one connection.
type soakBehavior int

const (
	soakSequential soakBehavior = iota // one request at a time
	soakPipelined                      // several requests in one write
	soakInPieces                       // one request in several writes
	soakIdling                         // pauses for about the idle limit between requests
	soakCancels                        // sometimes sends a CancelRequest
	soakLeaves                         // sometimes closes the connection before the answer
	soakBehaviors
)

const (
	soakIdleLimit    = 2250 * time.Millisecond // how long a connection may be idle between requests (README)
	soakIdleSpread   = 40 * time.Millisecond   // the pause differs from the idle limit by at most this
	soakConnectLimit = 2 * time.Second
	soakReadMargin   = 2 * time.Second // how much longer than an answer may take the client reads
	soakMaxPipelined = 5
	soakMaxPause     = 60 * time.Millisecond
	cancelCode       = 80877102 // request code of a CancelRequest message
)

// soakClient is one simulated client, over its successive connections.
type soakClient struct {
	soak         *soakRun
	rng          *rand.Rand
	number       int
	requestCount int
	classes      []string
	lastWrite    int64 // position (Unix ms) of the session's last acknowledged write; 0: none
}

// soakConn is one connection of a client.
type soakConn struct {
	*clientConn
	process   int
	number    int
	requests  int    // made so far
	cancelKey []byte // process ID and secret key, which a CancelRequest contains
}

// run opens one connection after the other until the context ends.
func (client *soakClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		router, process := client.soak.pick(client.rng)
		if router == nil {
			_ = sleep(ctx, 20*time.Millisecond)
			continue
		}
		client.session(ctx, router.addr, process)
	}
}

// session opens a connection and makes requests until it ends.
func (client *soakClient) session(ctx context.Context, addr string, process int) {
	behavior := soakBehavior(client.rng.IntN(int(soakBehaviors)))
	raw, err := net.DialTimeout("tcp", addr, soakConnectLimit)
	if err != nil {
		_ = sleep(ctx, 20*time.Millisecond)
		return
	}
	defer raw.Close()
	conn := &soakConn{clientConn: &clientConn{raw, ringbuffer.New(2 << 20)}, process: process, number: client.soak.connection()}
	startup := pgwire.AppendStartup(nil, "worker", "catalog")
	var first []*soakRequest
	if client.rng.IntN(2) == 0 { // the first request directly follows the startup message
		var query []byte
		first, query = client.batch(conn, 1)
		startup = append(startup, query...)
	}
	raw.SetDeadline(time.Now().Add(soakConnectLimit + client.maxWait()))
	_, err = raw.Write(startup)
	client.recordSent(first, err)
	if err := conn.completeStartup(); err != nil {
		client.recordEnd(first, err)
		return
	}
	if len(first) > 0 && !client.readAnswers(conn, first) {
		return
	}
	for ctx.Err() == nil && client.exchange(conn, behavior) {
		client.pause(ctx, behavior)
	}
}

func (client *soakClient) maxWait() time.Duration { return client.soak.record.Limits.LongestDeadline }

// completeStartup reads the messages up to the first ReadyForQuery.
func (conn *soakConn) completeStartup() error {
	for {
		message, err := conn.next()
		if err != nil {
			return err
		}
		if message.Kind == pgwire.BackendKeyData {
			conn.cancelKey = slices.Clone(message.Body)
		}
		kind := message.Kind
		conn.in.Discard(message.Size)
		switch kind {
		case pgwire.ErrorResponse:
			return &rejectionError{}
		case pgwire.ReadyForQuery:
			return nil
		}
	}
}

// exchange makes one request, or several pipelined ones, and reports whether the connection is still usable.
func (client *soakClient) exchange(conn *soakConn, behavior soakBehavior) bool {
	count := 1
	if behavior == soakPipelined {
		count += client.rng.IntN(soakMaxPipelined)
	}
	requests, query := client.batch(conn, count)
	conn.conn.SetWriteDeadline(time.Now().Add(soakConnectLimit))
	err := client.write(conn, query, behavior)
	client.recordSent(requests, err)
	if err != nil {
		client.recordEnd(requests, err)
		return false
	}
	leaves := behavior == soakLeaves && client.rng.IntN(3) == 0
	if leaves || behavior == soakCancels && client.rng.IntN(2) == 0 {
		time.Sleep(time.Duration(client.rng.Int64N(int64(soakMaxPause))))
	}
	if leaves {
		leftAt := time.Now()
		conn.conn.Close()
		client.soak.record.change(func() {
			for _, req := range requests {
				req.LeftAt = leftAt
			}
		})
		return false
	}
	if behavior == soakCancels && len(conn.cancelKey) == 8 && client.rng.IntN(2) == 0 {
		client.cancel(conn, requests)
	}
	return client.readAnswers(conn, requests)
}

// write sends a query, in pieces if the behavior of the client is soakInPieces.
func (client *soakClient) write(conn *soakConn, query []byte, behavior soakBehavior) error {
	for behavior == soakInPieces && len(query) > 1 {
		size := 1 + client.rng.IntN(len(query)-1)
		if _, err := conn.conn.Write(query[:size]); err != nil {
			return err
		}
		query = query[size:]
		time.Sleep(time.Duration(client.rng.Int64N(int64(soakMaxPause / 2))))
		if client.rng.IntN(3) == 0 {
			break
		}
	}
	_, err := conn.conn.Write(query)
	return err
}

// cancel sends a CancelRequest for the requests of a connection.
func (client *soakClient) cancel(conn *soakConn, requests []*soakRequest) {
	cancelConn, err := net.DialTimeout("tcp", conn.conn.RemoteAddr().String(), soakConnectLimit)
	if err != nil {
		return
	}
	defer cancelConn.Close()
	message := binary.BigEndian.AppendUint32(nil, 16)
	message = binary.BigEndian.AppendUint32(message, cancelCode)
	if _, err := cancelConn.Write(append(message, conn.cancelKey...)); err != nil {
		return
	}
	var buffer [1]byte
	cancelConn.SetReadDeadline(time.Now().Add(soakConnectLimit))
	if _, err := cancelConn.Read(buffer[:]); err == nil || strings.Contains(err.Error(), "reset") {
		return // the router may not have read the message
	}
	leftAt := time.Now()
	client.soak.record.change(func() {
		for _, req := range requests {
			req.LeftAt = leftAt
		}
	})
}

// batch draws count requests, records them and encodes their query messages.
func (client *soakClient) batch(conn *soakConn, count int) (requests []*soakRequest, query []byte) {
	for range count {
		req := client.nextRequest()
		query = append(query, req.query()...)
		recorded := &soakRequest{ID: req.id, Key: req.key, Class: req.class, Process: conn.process, Conn: conn.number, Index: conn.requests, Wait: req.timeout, Outcome: waiting}
		conn.requests++
		requests = append(requests, recorded)
		client.soak.record.addRequest(recorded)
	}
	return requests, query
}

// nextRequest returns the next request.
func (client *soakClient) nextRequest() *request {
	client.requestCount++
	class := client.classes[client.rng.IntN(len(client.classes))]
	settings := client.soak.record.Profile.Classes[class]
	timeout := milliseconds(settings.TimeoutMS)
	if client.rng.IntN(8) == 0 { // a short deadline
		timeout = time.Duration(float64(timeout) * (0.02 + 0.3*client.rng.Float64()))
	}
	id := fmt.Sprintf("s%d-%d", client.number, client.requestCount)
	next := &request{id: id, objectID: fmt.Sprintf("session-%d", client.number), class: class, timeout: timeout.Truncate(time.Millisecond), group: 1 + client.rng.Int64N(int64(client.soak.experiment.Fleet.Groups))}
	switch settings.Read {
	case "write":
		next.key = id
		next.group = 1 + int64(client.number)%int64(client.soak.experiment.Fleet.Groups) // a session belongs to one group
	case "session":
		next.group = 1 + int64(client.number)%int64(client.soak.experiment.Fleet.Groups)
		next.minPosition = client.lastWrite
	}
	return next
}

// recordSent records that requests were written completely, unless writing failed.
func (client *soakClient) recordSent(requests []*soakRequest, err error) {
	if err != nil {
		return
	}
	now := time.Now()
	client.soak.record.change(func() {
		for _, req := range requests {
			req.Sent = now
		}
	})
}

// readAnswers reads the answers to requests and reports whether the connection is still usable.
func (client *soakClient) readAnswers(conn *soakConn, requests []*soakRequest) bool {
	preceding := time.Time{}
	for index, req := range requests {
		start := req.Sent
		if preceding.After(start) {
			start = preceding
		}
		conn.conn.SetReadDeadline(start.Add(req.Wait + answerGrace + soakReadMargin))
		result, err := conn.readAnswer()
		if err != nil {
			client.recordEnd(requests[index:], err)
			return false
		}
		now := time.Now()
		client.soak.record.change(func() {
			req.Outcome, req.At, req.PrecedingAt = result.outcome, now, preceding
			req.OtherValue = result.outcome == served && result.value != expectedValue(req)
		})
		if result.outcome == served && req.Key != "" {
			client.lastWrite = now.UnixMilli()
		}
		preceding = now
		if result.fatal {
			client.recordEnd(requests[index+1:], errFatal)
			return false
		}
	}
	return true
}

var errFatal = &rejectionError{}

// expectedValue returns the value that a data server returns for a request.
func expectedValue(req *soakRequest) string {
	if req.Key != "" {
		return "k:" + req.Key
	}
	return "v:" + req.ID
}

// recordEnd records that the connection ended without answers to requests.
func (client *soakClient) recordEnd(requests []*soakRequest, err error) {
	now := time.Now()
	var timeout net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	client.soak.record.change(func() {
		for _, req := range requests {
			req.At, req.Ended = now, !timedOut
		}
	})
}

// pause waits between two requests.
func (client *soakClient) pause(ctx context.Context, behavior soakBehavior) {
	pause := time.Duration(client.rng.Int64N(int64(soakMaxPause)))
	if behavior == soakIdling && client.rng.IntN(4) == 0 {
		pause = soakIdleLimit + time.Duration(client.rng.Int64N(int64(2*soakIdleSpread))) - soakIdleSpread
	}
	_ = sleep(ctx, pause)
}

// idle keeps a connection open that makes only an empty query, and opens a new one when it is closed.
func (client *soakClient) idle(ctx context.Context) {
	for ctx.Err() == nil {
		router, _ := client.soak.pick(client.rng)
		if router == nil {
			_ = sleep(ctx, 50*time.Millisecond)
			continue
		}
		client.idleOnce(ctx, router.addr)
		_ = sleep(ctx, 100*time.Millisecond+time.Duration(client.rng.Int64N(int64(400*time.Millisecond))))
	}
}

// idleOnce opens one such connection and waits until it is closed.
func (client *soakClient) idleOnce(ctx context.Context, addr string) {
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
	for buffer := make([]byte, 512); err == nil; {
		_, err = raw.Read(buffer)
	}
}
