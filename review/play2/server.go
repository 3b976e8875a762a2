//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// dataServer is one data server. It listens on one address for each router, so that it knows who sends.
type dataServer struct {
	world     *world
	name      string
	group     int
	zone      string
	addresses []string
	listed    listEntry       // guarded by world.mu
	closedTo  []time.Duration // by router: since when the router has been told that it drains or is gone; 0: it serves

	mu         sync.Mutex
	listeners  []net.Listener
	conns      map[net.Conn]bool
	primary    bool
	wasPrimary bool
	toldCopy   []time.Duration // by router: since when an answer has told that it is no primary; 0: none has
	positionAt time.Duration
	position   time.Duration // applied at positionAt
	rate       float64       // of applying, as a share of the time
	ship       time.Duration
	cores      chan struct{}
	slots      int
	open       int
	hung       chan struct{} // not nil: nothing is answered until it is closed
	errorShare float64
	value      string        // what reads answer; empty: a value of their own
	slowStart  time.Duration // a connection is welcomed so much later
	slowShare  float64       // for this share of the connections
	workFactor float64
	keys       map[string]time.Duration
	extra      func(send *sendRecord) // called before an answer
	spoil      func(send *sendRecord, out []byte) ([]byte, bool)
	muteClose  time.Duration // connections idle for so long are closed; 0: none is
}

// sendRecord is one query that a data server received whole.
type sendRecord struct {
	statement
	server      *dataServer
	router      int
	conn        int
	first, last time.Duration // of the query's bytes
	ended       time.Duration // when it was answered or its connection ended; 0: not yet
	outcome     string        // ok, miss, full, error, reset (the router gave it up), spoilt, broken
	ran         bool
	dataAt      time.Duration // position of the data
	fromPrimary bool
	commitMS    int64 // of a write that has taken effect
}

func (s *sendRecord) String() string {
	return fmt.Sprintf("send to %s by router %d conn %d: id=%s c=%s d=%.0f k=%s first=%.1f ended=%.1f outcome=%s ran=%t", s.server.name, s.router, s.conn,
		s.id, s.class, s.d, s.key, ms(s.first), ms(s.ended), s.outcome, s.ran)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// mayHaveRun reports whether the router must take the query for one that may have run.
func (s *sendRecord) mayHaveRun() bool { return s.outcome != "miss" && s.outcome != "full" }

func (w *world) addServer(group int, zone string, primary bool) *dataServer {
	name := fmt.Sprintf("s-%d%c", group, 'a'+len(w.members(group)))
	s := &dataServer{world: w, name: name, group: group, zone: zone, conns: map[net.Conn]bool{}, primary: primary, wasPrimary: primary,
		rate: 1, ship: 10 * time.Millisecond, cores: make(chan struct{}, 4), slots: 60, workFactor: 1, keys: map[string]time.Duration{}}
	s.closedTo, s.toldCopy = make([]time.Duration, w.site.routers), make([]time.Duration, w.site.routers)
	for range w.site.routers {
		s.addresses = append(s.addresses, freeAddress(fmt.Sprintf("127.1.%d.%d", group, len(w.members(group))+1)))
	}
	s.listed = listEntry{host: name, zone: zone, group: group}
	s.listen()
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.tell(s, "SERVING")
	return s
}

func (w *world) members(group int) []*dataServer {
	var members []*dataServer
	for _, server := range w.servers {
		if server.group == group {
			members = append(members, server)
		}
	}
	return members
}

func (s *dataServer) listen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, address := range s.addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			panic(err)
		}
		s.listeners = append(s.listeners, listener)
		go s.accept(listener, i)
	}
}

// stop ends the process: connections are reset and new ones refused.
func (s *dataServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		listener.Close()
	}
	s.listeners = nil
	for conn := range s.conns {
		reset(conn)
	}
	if s.hung != nil {
		close(s.hung)
		s.hung = nil
	}
}

// applied returns the position at a time.
func (s *dataServer) appliedLocked(at time.Duration) time.Duration {
	if s.primary {
		return at
	}
	return min(at-s.ship, s.position+time.Duration(float64(at-s.positionAt)*s.rate))
}

func (s *dataServer) accept(listener net.Listener, router int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		delay := time.Duration(0)
		if rand.Float64() < s.slowShare {
			delay = time.Duration(rand.Int64N(int64(s.slowStart) + 1))
		}
		s.mu.Unlock()
		s.world.mu.Lock()
		s.world.counter++
		number := s.world.counter
		s.world.mu.Unlock()
		go s.serve(&serverConn{server: s, conn: conn, router: router, number: number, gone: make(chan struct{}), lastUse: time.Now()}, delay)
	}
}

// serverConn is one connection from a router.
type serverConn struct {
	server  *dataServer
	conn    net.Conn
	router  int
	number  int
	gone    chan struct{} // closed once the router has ended the connection
	lastUse time.Time
	current *sendRecord // the last query
	writing sync.Mutex
}

func (s *dataServer) serve(c *serverConn, delay time.Duration) {
	defer func() {
		close(c.gone)
		if c.current != nil { // the router has given it up, or it is answered
			s.end(c.current, "reset", false)
		}
		s.mu.Lock()
		delete(s.conns, c.conn)
		s.mu.Unlock()
		c.conn.Close()
	}()
	reader := bufio.NewReaderSize(c.conn, 1<<16)
	if readStartup(reader) != nil {
		return
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	c.write(welcome())
	for {
		if s.muteClose > 0 {
			c.conn.SetReadDeadline(time.Now().Add(s.muteClose))
		}
		if _, err := reader.Peek(1); err != nil {
			return
		}
		c.conn.SetReadDeadline(time.Time{})
		first := s.world.now()
		got, err := readMessage(reader)
		if err != nil || got.kind != 'Q' || len(got.body) == 0 {
			return
		}
		text := string(got.body[:len(got.body)-1])
		if parsed, ok := parseStatement(text); ok {
			send := &sendRecord{statement: parsed, server: s, router: c.router, conn: c.number, first: first, last: s.world.now()}
			s.world.mu.Lock()
			s.world.sends = append(s.world.sends, send)
			s.world.mu.Unlock()
			c.current = send
			go s.run(c, send)
			continue
		}
		s.answerOther(c, text)
	}
}

func (c *serverConn) write(out []byte) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := c.conn.Write(out)
	return err == nil
}

// answerOther answers a probe, or a statement that does nothing.
func (s *dataServer) answerOther(c *serverConn, text string) {
	s.mu.Lock()
	hung := s.hung
	now := s.world.now()
	position, primary, open := s.appliedLocked(now), 0, s.open
	if s.primary {
		primary = 1
	}
	s.mu.Unlock()
	if hung != nil {
		return // a probe is answered by nobody
	}
	switch {
	case strings.Contains(text, "vitals") && s.world.site.report == "probe":
		at := float64(s.world.unix(position).UnixMilli()) / 1000
		c.write(appendReady(rowAnswer(fmt.Sprintf("x0=%.3f,x1=%d,inflight=%d", at, primary, open), "SHOW")))
	case strings.Contains(text, "vitals"):
		c.write(appendReady(errorAnswer("42501", "no reports")))
	case strings.Contains(text, "SELECT 1"):
		c.write(appendReady(rowAnswer("1", "SELECT 1")))
	default:
		c.write(appendReady(appendMessage(nil, 'I', nil)))
	}
}

// end records the end of a query.
func (s *dataServer) end(send *sendRecord, outcome string, ran bool) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if send.ended == 0 {
		send.ended, send.outcome = s.world.now(), outcome
	}
	send.ran = send.ran || ran
}

// notes returns the messages that tell role and position.
func (s *dataServer) notes(c *serverConn, at time.Duration, position time.Duration, commit bool) []byte {
	s.mu.Lock()
	role := "copy"
	if s.primary {
		role = "source"
	} else if s.toldCopy[c.router] == 0 {
		s.toldCopy[c.router] = at
	}
	s.mu.Unlock()
	stamp := s.world.unix(position).UnixMilli()
	if commit {
		stamp++
	}
	return appendParameter(appendParameter(nil, "rank", role), "as_of", fmt.Sprint(stamp))
}

// run runs one query and answers it.
func (s *dataServer) run(c *serverConn, send *sendRecord) {
	w := s.world
	s.mu.Lock()
	s.open++
	hung, full := s.hung, s.open > s.slots
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	if hung != nil {
		select {
		case <-hung:
		case <-c.gone:
			s.end(send, "reset", true)
			return
		}
	}
	class := w.site.class(send.class)
	s.mu.Lock()
	position, primary := s.appliedLocked(w.now()), s.primary
	s.mu.Unlock()
	switch {
	case class == nil:
		s.answer(c, send, "error", errorAnswer("08P01", "no such class"), position, false)
	case full:
		s.answer(c, send, "full", errorAnswer("53300", "queue full"), position, false)
	case class.read == "mutate" && !primary:
		s.answer(c, send, "miss", errorAnswer("25006", "not the primary"), position, false)
	case w.site.checks == "bounce" && !primary && s.tooFarBehind(send, class, position):
		s.answer(c, send, "miss", errorAnswer("72000", "too far behind"), position, false)
	case rand.Float64() < s.errorShare:
		s.answer(c, send, "error", errorAnswer("XX000", "internal"), position, true)
	default:
		s.work(c, send, class)
	}
}

func (s *dataServer) tooFarBehind(send *sendRecord, class *class, position time.Duration) bool {
	switch class.read {
	case "lag_bound":
		return position < send.last-class.bounds
	case "causal":
		return s.world.unix(position).UnixMilli() < send.after
	}
	return false
}

// work does a query's work, unless the router gives it up while it waits.
func (s *dataServer) work(c *serverConn, send *sendRecord, class *class) {
	select {
	case s.cores <- struct{}{}:
	case <-c.gone:
		s.end(send, "reset", false)
		return
	}
	s.mu.Lock()
	position, primary := s.appliedLocked(s.world.now()), s.primary
	factor := s.workFactor
	s.mu.Unlock()
	s.world.mu.Lock()
	send.ran, send.dataAt, send.fromPrimary = true, position, primary
	s.world.mu.Unlock()
	time.Sleep(time.Duration(float64(class.work) * factor * (0.5 + rand.Float64())))
	<-s.cores
	if class.read == "mutate" {
		s.mu.Lock()
		primary = s.primary
		s.mu.Unlock()
		if !primary { // it lost its role while it held the write
			s.answer(c, send, "error", errorAnswer("XX000", "role lost"), position, true)
			return
		}
		s.commit(send)
		tag := "INSERT 0 1"
		s.answer(c, send, "ok", rowAnswer(valueOf(send.id), tag), s.world.now(), true)
		return
	}
	s.answer(c, send, "ok", rowAnswer(valueOf(send.id)+s.value, "SELECT 1"), position, true)
}

// commit records that a write has taken effect, unless its key is known from the window.
func (s *dataServer) commit(send *sendRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.world.now()
	s.keys[send.key] = now
	s.world.mu.Lock()
	send.commitMS = s.world.unix(now).UnixMilli() + 1
	s.world.mu.Unlock()
}

// valueOf returns the value that a data server makes for a request.
func valueOf(id string) string { return "value of " + id }

func (s *dataServer) answer(c *serverConn, send *sendRecord, outcome string, body []byte, position time.Duration, ran bool) {
	select {
	case <-c.gone:
		s.end(send, "reset", ran)
		return
	default:
	}
	if s.extra != nil {
		s.extra(send)
	}
	s.mu.Lock()
	hung := s.hung
	s.mu.Unlock()
	if hung != nil {
		select {
		case <-hung:
		case <-c.gone:
			s.end(send, "reset", ran)
			return
		}
	}
	write := outcome == "ok" && s.world.site.class(send.class).read == "mutate"
	out := appendReady(append(body, s.notes(c, s.world.now(), position, write)...))
	if s.spoil != nil {
		spoilt, bad := s.spoil(send, out)
		if out = spoilt; bad {
			outcome = "spoilt"
		}
	}
	s.end(send, outcome, ran)
	if !c.write(out) {
		s.world.note("%s could not answer %s", s.name, send.id)
	}
}
