//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// clientConn is a client's connection to a router.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   int // requests answered on it
}

// dialClient connects and starts a session.
func dialClient(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	client := &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
	if _, err := conn.Write(startupMessage()); err != nil {
		conn.Close()
		return nil, err
	}
	return client, nil
}

// requestRecord is one request of a client.
type requestRecord struct {
	id, class, key string
	router         int
	group          int
	d              time.Duration
	after          int64
	sentAt         time.Duration // its last byte
	endedAt        time.Duration // the last byte of its answer, or the end of its connection
	outcome        string        // served, refused, failed, closed (no answer), left (the client closed), wrong
	code           string
	leftAt         time.Duration // when the client closed; 0: it did not
	reused         bool          // the connection had carried requests before
	note           string
	waits          time.Duration // until when the answers before it took
	session, team  string
}

func (r *requestRecord) String() string {
	return fmt.Sprintf("request to router %d: id=%s c=%s d=%.0f k=%s after=%d ended=%.1f %s %s left=%.1f %s", r.router, r.id, r.class, ms(r.d), r.key, r.after,
		ms(r.endedAt), r.outcome, r.code, ms(r.leftAt), r.note)
}

func randomID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newRequest returns a request of a class.
func (w *world) newRequest(router, group int, class *class) *requestRecord {
	request := &requestRecord{id: randomID(), class: class.name, router: router, group: group, d: class.deadline}
	if class.effect != "free" {
		request.key = randomID()
	}
	w.mu.Lock()
	w.requests = append(w.requests, request)
	w.mu.Unlock()
	return request
}

// text returns the request's statement.
func (r *requestRecord) text(read string) string {
	comment := fmt.Sprintf("id=%s,c=%s,d=%.0f", r.id, r.class, ms(r.d))
	if r.key != "" {
		comment += ",k=" + r.key
	}
	comment += fmt.Sprintf(",cluster=%d", r.group)
	if r.after > 0 {
		comment += fmt.Sprintf(",after=%d", r.after)
	}
	session := r.session
	if session == "" {
		session = r.id
	}
	if read == "mutate" {
		return fmt.Sprintf("/* %s */ INSERT INTO objects (oid, body) VALUES ('%s', '\\x9f03') RETURNING body", comment, session)
	}
	return fmt.Sprintf("/* %s */ SELECT body FROM objects WHERE oid = '%s'", comment, session)
}

// readAnswer reads the answer to a request up to ReadyForQuery.
func (c *clientConn) readAnswer(w *world, r *requestRecord) error {
	value, rows, complete := "", 0, false
	for {
		got, err := readMessage(c.reader)
		if err != nil {
			return err
		}
		switch got.kind {
		case 'D':
			value, _ = rowValue(got.body)
			rows++
		case 'C':
			complete = rows == 1
		case 'S':
			continue
		case 'E':
			r.code = errorField(got.body, 'C')
			r.outcome = "failed"
			if r.code == "53300" || r.code == "57P03" {
				r.outcome = "refused"
			}
			if errorField(got.body, 'S') == "FATAL" {
				r.endedAt = w.now()
				r.note += " fatal: " + errorField(got.body, 'M')
				return io.EOF
			}
		case 'Z':
			if r.outcome == "" && !complete { // the session's start
				continue
			}
			if r.outcome == "" {
				r.outcome = "served"
				if made, _, _ := strings.Cut(value, "vv"); made != valueOf(r.id) {
					r.outcome, r.note = "wrong", value[:min(len(value), 100)]
				}
			}
			r.endedAt = w.now()
			return nil
		}
	}
}

// ask sends a request and awaits its answer, at most until some time after its deadline.
func (c *clientConn) ask(w *world, r *requestRecord) {
	r.reused = c.used > 0
	_, err := c.Write(queryMessage(r.text(w.site.class(r.class).read)))
	r.sentAt = w.now()
	if err == nil {
		c.SetReadDeadline(time.Now().Add(r.d + 1500*time.Millisecond))
		err = c.readAnswer(w, r)
	}
	c.finish(w, r, err)
}

// finish records the end of a request on a connection that may have ended.
func (c *clientConn) finish(w *world, r *requestRecord, err error) {
	var netError net.Error
	switch {
	case err == nil:
		c.used++
		return
	case r.outcome != "":
	case r.leftAt > 0:
		r.outcome = "left"
	case errors.As(err, &netError) && netError.Timeout():
		r.outcome, r.note = "none", r.note+" no answer in time"
	default:
		r.outcome, r.note = "closed", r.note+" "+err.Error()
	}
	if r.endedAt == 0 {
		r.endedAt = w.now()
	}
	c.used = -1
	c.Close()
}

// load is what the usual clients do.
type load struct {
	world   *world
	rate    float64 // requests a second at each router
	groups  int
	mix     map[string]float64
	left    float64 // share of requests whose clients leave before the answer
	retries bool    // clients retry what was refused or failed at once
	try     func() float64

	mu      sync.Mutex
	idle    map[int][]*clientConn
	running sync.WaitGroup
}

func newLoad(w *world, rate float64, groups int, mix map[string]float64) *load {
	return &load{world: w, rate: rate, groups: groups, mix: mix, idle: map[int][]*clientConn{}, try: func() float64 { return 1 }}
}

// run plays the load at all routers for a time.
func (l *load) run(duration time.Duration) {
	var all sync.WaitGroup
	for i := range l.world.routers {
		all.Go(func() {
			end := time.Now().Add(duration)
			next := time.Now()
			for time.Now().Before(end) {
				next = next.Add(time.Duration(rand.ExpFloat64() / l.rate * float64(time.Second)))
				time.Sleep(time.Until(next))
				l.running.Go(func() { l.one(i, 1+rand.IntN(l.groups), l.draw(), false, 0, "") })
			}
		})
	}
	all.Wait()
	l.running.Wait()
}

func (l *load) draw() *class {
	at := rand.Float64()
	for i := range l.world.site.classes {
		class := &l.world.site.classes[i]
		if at -= l.mix[class.name]; at < 0 {
			return class
		}
	}
	return &l.world.site.classes[0]
}

// take returns an idle connection to a router, or a new one.
func (l *load) take(router int) (*clientConn, error) {
	l.mu.Lock()
	if list := l.idle[router]; len(list) > 0 {
		conn := list[len(list)-1]
		l.idle[router] = list[:len(list)-1]
		l.mu.Unlock()
		return conn, nil
	}
	l.mu.Unlock()
	return dialClient(l.world.routers[router].address)
}

func (l *load) one(router, group int, class *class, again bool, after int64, session string) {
	w := l.world
	conn, err := l.take(router)
	if err != nil {
		return
	}
	request := w.newRequest(router, group, class)
	request.d = time.Duration(float64(class.deadline) * l.try())
	request.after, request.session = after, session
	leaves := rand.Float64() < l.left
	if leaves {
		wait := time.Duration(rand.Int64N(int64(class.objective)))
		time.AfterFunc(wait, func() {
			if request.endedAt == 0 {
				request.leftAt = w.now()
			}
			conn.Close()
		})
	}
	conn.ask(w, request)
	if request.outcome == "closed" && request.reused { // the closing crossed the request
		w.note("router %d closed a connection under %s", router, request.id)
		if fresh, err := dialClient(w.routers[router].address); err == nil {
			second := w.newRequest(router, request.group, class)
			second.d, second.after, second.session, second.note = request.d, after, session, "again for "+request.id
			fresh.ask(w, second)
			conn = fresh
		}
	}
	if conn.used > 0 && !leaves {
		l.mu.Lock()
		l.idle[router] = append(l.idle[router], conn)
		l.mu.Unlock()
	}
	if l.retries && !again && (request.outcome == "refused" || request.outcome == "failed" && class.effect == "free") {
		l.one(router, group, class, true, after, session)
	}
	if read := l.sessionRead(); class.read == "mutate" && request.outcome == "served" && read != nil {
		commit := w.commitOf(request.id)
		time.Sleep(time.Duration(rand.ExpFloat64() * 0.15 * float64(time.Second)))
		l.one(rand.IntN(len(w.routers)), group, read, false, commit, request.id)
	}
}

// sessionRead returns the class of reads that must see the session's writes.
func (l *load) sessionRead() *class {
	for i := range l.world.site.classes {
		if l.world.site.classes[i].read == "causal" {
			return &l.world.site.classes[i]
		}
	}
	return nil
}

// commitOf returns the commit of a write that was served.
func (w *world) commitOf(id string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.sends) - 1; i >= 0; i-- {
		if w.sends[i].id == id && w.sends[i].commitMS > 0 {
			return w.sends[i].commitMS
		}
	}
	return 0
}
