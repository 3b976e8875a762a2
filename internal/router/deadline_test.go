package router

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"lotushook/internal/pgwire"
	"lotushook/internal/siteconfig"
	"lotushook/policy/clock"
)

// deadlineTolerance is how much the deadline that a data server receives may exceed the client's remaining time.
const deadlineTolerance = 150 * time.Millisecond

// testWait is how long the clients in these tests wait for an answer.
const testWait = 20 * time.Second

var deadlineField = regexp.MustCompile(`,d=(\d+),`)

// receivedQuery is a query as a data server received it.
type receivedQuery struct {
	at       time.Time
	deadline time.Duration
	text     string
}

// slowServers are data servers that delay the welcome message and the answers.
type slowServers struct {
	hosts    []string // as in the endpoint list
	received chan receivedQuery
}

// startSlowServers starts two data servers. welcome and answer are the delays of these messages; code, if not empty, is
// the error code of the answer to the first query.
func startSlowServers(t *testing.T, welcome, answer time.Duration, code string) *slowServers {
	t.Helper()
	servers := &slowServers{received: make(chan receivedQuery, 64)}
	failures := make(chan string, 1)
	if code != "" {
		failures <- code
	}
	for i := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		servers.hosts = append(servers.hosts, fmt.Sprintf("h-%d %s 1 SERVING", i+1, listener.Addr()))
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go servers.serve(conn, welcome, answer, failures)
			}
		}()
	}
	return servers
}

func (servers *slowServers) serve(conn net.Conn, welcome, answer time.Duration, failures chan string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := readBody(reader); err != nil { // the startup message
		return
	}
	time.Sleep(welcome)
	_, _ = conn.Write(pgwire.AppendSessionStart(nil, pgwire.CancelKey{})) // the next read shows an error
	for {
		if _, err := reader.ReadByte(); err != nil { // the message type
			return
		}
		body, err := readBody(reader)
		if err != nil {
			return
		}
		text := string(body)
		query := receivedQuery{at: time.Now(), text: text}
		if match := deadlineField.FindStringSubmatch(text); match != nil {
			milliseconds, _ := strconv.Atoi(match[1])
			query.deadline = time.Duration(milliseconds) * time.Millisecond
		}
		servers.received <- query
		time.Sleep(answer)
		select {
		case code := <-failures:
			_, _ = conn.Write(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, "later", ""))) // the next read shows an error
		default:
			_, _ = conn.Write(pgwire.AppendReady(pgwire.AppendRow(nil, "v", "1"))) // the next read shows an error
		}
	}
}

// readBody reads a message's length and body.
func readBody(reader io.Reader) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(length[:])-4)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// deadlineClient connects, sends messages and waits until this number of answers has arrived.
func deadlineClient(t *testing.T, address string, messages []byte, answers int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := conn.Write(append(pgwire.AppendStartup(nil, "u", "d"), messages...)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for ready := 0; ready <= answers; { // the welcome also ends with a ReadyForQuery
		kind, err := reader.ReadByte()
		if err == nil {
			_, err = readBody(reader)
		}
		if err != nil {
			t.Fatalf("after %d ReadyForQuery messages: %v", ready, err)
		}
		if kind == pgwire.ReadyForQuery {
			ready++
		}
	}
}

func timedQuery(id int) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=q%d,c=read,d=%d,cluster=1 */ A", id, testWait.Milliseconds()))
}

// The time that a connection spends in the accept queue counts against the deadline of its first request.
//
// While descriptors are exhausted, connections wait to be accepted. In the soak test of restarts (seeds 2 and 4) the
// router read the requests of such connections up to 0.4 s after they were sent, took the time of the read for their
// arrival, and passed deadlines of up to 120 ms to data servers for requests whose clients had given up 320 ms before.
// A comparison of came_ms in the access log with the clients' own times showed it.
func TestDeadlineOfUnacceptedConnection(t *testing.T) {
	const unaccepted = 500 * time.Millisecond
	servers := startSlowServers(t, 0, 0, "")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(append(pgwire.AppendStartup(nil, "u", "d"), timedQuery(0)...)); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	time.Sleep(unaccepted)
	accepted := make(chan time.Time)
	close(accepted)
	startRouterOn(t, listener, 0, &siteconfig.Config{}, accepted, nil, noTimeouts, servers.hosts...)
	query := <-servers.received
	if left := testWait - query.at.Sub(sent); query.deadline > left+deadlineTolerance {
		t.Errorf("a deadline of %v was passed on with %v left", query.deadline, left)
	}
}

// While descriptors are exhausted, a connection that waits to be accepted until its request is more than half a second
// past its deadline is closed unread. A connection whose request can still be answered is served.
//
// In the soak test of restarts (seed 112) two requests with 158 and 359 ms until their deadlines waited 0.78 and 1.02 s
// to be accepted, and were then answered with an error, 0.62 and 0.66 s after their deadlines.
func TestExpiredConnectionIsClosedUnread(t *testing.T) {
	const waited = 700 * time.Millisecond
	servers := startSlowServers(t, 0, 0, "")
	_, router := startRouterWithSettings(t, 0, noTimeouts, strings.Clone, servers.hosts...)
	reserved := 0
	for router.descriptors.ReserveClient() { // by connections that are not closed
		reserved++
	}
	dial := func(wait time.Duration) net.Conn {
		conn, err := net.Dial("tcp", router.config.Listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		query := pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%p,c=read,d=%d,cluster=1 */ A", conn, wait.Milliseconds()))
		if _, err := conn.Write(append(pgwire.AppendStartup(nil, "u", "d"), query...)); err != nil {
			t.Fatal(err)
		}
		conn.SetReadDeadline(time.Now().Add(testWait))
		return conn
	}
	dial(testWait) // the acceptor had already reserved a descriptor for it
	late, inTime := dial(100*time.Millisecond), dial(testWait)
	time.Sleep(waited)
	for range reserved {
		router.descriptors.ReleaseClient()
	}
	var buffer [1]byte
	if _, err := late.Read(buffer[:]); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a request with a wait of 100 ms that was accepted after %v is answered: %v", waited, err)
	}
	if _, err := inTime.Read(buffer[:]); err != nil {
		t.Errorf("a connection whose request has time left is closed: %v", err)
	}
}

// A stall is detected both after the late tick and before it, while the tick is overdue.
func TestStallWatch(t *testing.T) {
	const second = clock.Second
	tick := clock.Nanos(sweepInterval)
	var detector stallDetector
	if _, stalled := detector.stalledSince(second); stalled {
		t.Error("a stall is reported before the first tick")
	}
	detector.tick(second)
	detector.tick(second + tick)
	if _, stalled := detector.stalledSince(second + tick + minStall); stalled {
		t.Error("a stall is reported though the next tick is hardly late")
	}
	if from, stalled := detector.stalledSince(3 * second); !stalled || from != second+tick {
		t.Errorf("read before the late tick: %v from %d", stalled, from)
	}
	detector.tick(3 * second)
	if from, stalled := detector.stalledSince(3*second + 1); !stalled || from != second+tick {
		t.Errorf("read after the late tick: %v from %d", stalled, from)
	}
	if _, stalled := detector.stalledSince(3*second + stallRecoveryTime); stalled {
		t.Error("a stall is reported after its end")
	}
}

// The deadline that a data server receives is at most the client's remaining time, counted from when the client sent
// the request. That includes time spent establishing a connection, in a failed attempt, or unread behind other
// messages.
func TestDeadlinePassedOn(t *testing.T) {
	pipelinedQueries := func() []byte {
		var messages []byte
		for i := range maxPipelined + 2 {
			messages = append(messages, timedQuery(i)...)
		}
		return messages
	}
	unusableQueries := func() []byte {
		messages := []byte{}
		for range 30 {
			messages = append(messages, pgwire.AppendQuery(nil, "nonsense")...)
		}
		return append(messages, timedQuery(0)...)
	}
	for _, test := range []struct {
		name            string
		welcome, answer time.Duration
		code            string
		messages        []byte
		answers         int
		minDelay        time.Duration // the minimum delay of the last query before it is forwarded
	}{
		{"while a connection is established", 400 * time.Millisecond, 0, "", timedQuery(0), 1, 400 * time.Millisecond},
		{"in a retry", 0, 400 * time.Millisecond, pgwire.CodeFailed, timedQuery(0), 1, 400 * time.Millisecond},
		{"unread behind open requests", 0, 400 * time.Millisecond, "", pipelinedQueries(), maxPipelined + 2, 400 * time.Millisecond},
		{"unread behind unusable queries", 0, 0, "", unusableQueries(), 31, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := startSlowServers(t, test.welcome, test.answer, test.code)
			_, router := startRouterWithSettings(t, 0, noTimeouts, strings.Clone, servers.hosts...)
			sent := time.Now()
			deadlineClient(t, router.config.Listen, test.messages, test.answers)
			var last receivedQuery
			for more := true; more; {
				select {
				case query := <-servers.received:
					left := testWait - query.at.Sub(sent)
					if query.deadline > left+deadlineTolerance {
						t.Errorf("%.20q: a deadline of %v was passed on with %v left", query.text, query.deadline, left)
					}
					last = query
				default:
					more = false
				}
			}
			if spent := last.at.Sub(sent); spent < test.minDelay {
				t.Fatalf("the last query was forwarded after %v: the case does not delay it", spent)
			}
		})
	}
}
