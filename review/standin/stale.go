//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["note"] = playDiscardedNote
	cases["dial"] = playLateConnection
}

// booking is the settings object of the second deployment: data servers check no read, so that the router alone keeps
// age bounds and sessions.
const booking = `{"balancers":2,"granularity":5000000,"discovery":"automatic","workload":"replicas","me":0,"stage":0,"tiers":["booking-db"],
"classes":[
 {"deadline":750000000,"effect":"free","gain":2,"keyScope":"all","lateWorth":0,"name":"trip-lookup","objective":300000000,"streamed":false,"window":3000000000},
 {"deadline":2500000000,"effect":"free","gain":2,"keyScope":"all","lateWorth":0,"name":"own-booking","objective":750000000,"streamed":false,"window":3000000000},
 {"deadline":6000000000,"effect":"free","gain":6,"keyScope":"all","lateWorth":0.2,"name":"monthly-report","objective":3000000000,"streamed":false,"window":3000000000},
 {"deadline":5000000000,"effect":"guarded","gain":4,"keyScope":"cell","lateWorth":0.3,"name":"booking-write","objective":500000000,"streamed":false,"window":3000000000}],
"clientHabits":{"marksRetry":true},"customers":[],
"domain":{"answersStamped":true,"behind":"none","classRead":["lag_bound","causal","eventual","mutate"],"holdsFor":0,"lagAllowed":[200000000,0,0,0],
 "notes":"","reportX0":"","reportX1":"","sessionMarks":"brought","showsRole":"none","waitsForCopy":false,"zero":0},
"goal":{"whole":0.4,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.3},"kinds":["small-fast","large-steady"],
"limits":{"cancel":true,"connectTimeout":250000000,"cpuUsPerRequest":0,"cpuUsPerS":500000,"idleClose":15000000000,"maxAttempts":8,
 "maxRetryAfter":500000000,"mostHeld":20000,"peerMessages":false,"probing":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":1},
"overShareWorth":0.2,"penalties":{"connection":0,"crossZone":0.02,"discovery":0,"handshake":0,"lateFail":0.05,"moves":0,"origin":0,"peer":0,"probe":0.01,"waste":0.08},
"report":{"fields":[],"how":"none"},
"rules":{"answerSlack":20000000,"askWithin":10000000000,"coldShare":0.23,"drainGrace":500000000,"fallMultiple":3,"overloadFor":1000000000,"rampTime":17000000000},
"weights":"rough","worthBy":"request","zone":"burnaby","zones":["burnaby","surrey"]}`

const (
	ageBound   = 200 * time.Millisecond  // trip-lookup: the greatest age of its data when it is sent
	knownAfter = 100 * time.Millisecond  // what an answer tells counts as known so long after it was written
	slack      = 50 * time.Millisecond   // every time limit on sockets is so much longer
	hangFor    = 6800 * time.Millisecond // a server that hangs does so for 6.8 to 22 s
	giveUp     = 1500 * time.Millisecond // a primary that hangs is given up after 1.1 to 2.2 s
	takeOver   = 2500 * time.Millisecond // and a replica takes over 1.2 to 3.7 s later
	shipping   = 10 * time.Millisecond   // a replica gets the log after 5.5 to 14 ms
	catchUp    = 2                       // a replica's single thread is busy 35 to 56% of the time, so it catches up at twice the pace
)

// bookingGroup is one group of three members, of which s-1 is the primary at first. Nine more data servers, in three
// further groups, are in no trouble, so that one server in twelve hangs.
type bookingGroup struct {
	play        *play
	workTime    time.Duration // of a read
	lateEvery   int           // of the connections made after the hang, every so many comes up late; 0: none
	lateBy      time.Duration
	mu          sync.Mutex
	hangAt      time.Time // zero: s-1 does not hang
	connections int       // made to s-1 after the hang
	changedAt   time.Time // when the value was changed, at s-2; zero: it wasn't
	reads       []servedRead
	toldAt      map[string]time.Time // by member: when it first answered, wholly, that it is a replica
}

// servedRead is a read that a data server answered.
type servedRead struct {
	id, class, server string
	primary           bool
	at                time.Time // of its last byte
	position          time.Time // up to which the server had applied all commits
	after             time.Time // the position that it had to see
}

func (group *bookingGroup) resumesAt() time.Time { return group.hangAt.Add(hangFor) }
func (group *bookingGroup) newPrimaryAt() time.Time {
	return group.hangAt.Add(giveUp + takeOver)
}

// state returns a member's role and position. The caller holds the lock.
func (group *bookingGroup) state(name string, now time.Time) (primary bool, position time.Time) {
	switch moved := !group.hangAt.IsZero() && now.After(group.hangAt); {
	case !strings.HasPrefix(name, "s-"): // of a further group
		return strings.HasSuffix(name, "-1"), now.Add(-shipping)
	case !moved && name == "s-1":
		return true, now
	case !moved:
		return false, now.Add(-shipping)
	case name == "s-1" && now.Before(group.newPrimaryAt()):
		return true, group.hangAt
	case name == "s-1" && now.Before(group.resumesAt()):
		return false, group.hangAt
	case name == "s-1":
		return false, minTime(group.hangAt.Add(catchUp*now.Sub(group.resumesAt())), now.Add(-shipping))
	case now.Before(group.newPrimaryAt()):
		return false, group.hangAt.Add(-shipping) // until the take-over all positions stand still
	case name == "s-2":
		return true, now
	}
	return false, now.Add(-shipping)
}

func minTime(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

func (group *bookingGroup) start() ([]host, error) {
	var hosts []host
	for number := range 12 {
		name, cluster := fmt.Sprintf("s-%d", number+1), 1+number/3
		if cluster > 1 {
			name = fmt.Sprintf("t-%d-%d", cluster, 1+number%3)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, host{name, listener.Addr().String(), "burnaby", "small-fast", int64(cluster), "SERVING", 1, 0})
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go group.serve(name, conn)
			}
		}()
	}
	return hosts, nil
}

// awaitHang waits while a member hangs.
func (group *bookingGroup) awaitHang(name string) {
	group.mu.Lock()
	hangs := name == "s-1" && !group.hangAt.IsZero() && time.Now().After(group.hangAt)
	left := time.Until(group.resumesAt())
	group.mu.Unlock()
	if hangs && left > 0 {
		time.Sleep(left)
	}
}

// handshakeDelay returns how late a new connection comes up.
func (group *bookingGroup) handshakeDelay(name string) time.Duration {
	group.mu.Lock()
	defer group.mu.Unlock()
	if name != "s-1" || group.lateEvery == 0 || group.hangAt.IsZero() || time.Now().Before(group.resumesAt()) {
		return 0
	}
	if group.connections++; group.connections%group.lateEvery != 0 {
		return 0
	}
	return group.lateBy
}

func (group *bookingGroup) serve(name string, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if readStartup(reader) != nil {
		return
	}
	group.awaitHang(name)
	if delay := group.handshakeDelay(name); delay > 0 {
		group.play.line("%s: a connection comes up %v late", name, delay)
		time.Sleep(delay)
	}
	if _, err := conn.Write(append(message('R', []byte{0, 0, 0, 0}), ready()...)); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(reader)
		if err != nil || kind != 'Q' {
			return
		}
		at := time.Now()
		group.awaitHang(name)
		if !group.answer(name, conn, string(body[:len(body)-1]), at) {
			return
		}
	}
}

// answer answers a query from what the member has, however old.
func (group *bookingGroup) answer(name string, conn net.Conn, text string, at time.Time) (keep bool) {
	if text == "SELECT 1" {
		_, err := conn.Write(append(row([]byte("1")), ready()...))
		return err == nil
	}
	if text == "SHOW vitals" {
		_, err := conn.Write(append(errorResponse("42501", "no reports"), ready()...))
		return err == nil
	}
	request := fields(text)
	write := request["c"] == "booking-write"
	group.mu.Lock()
	primary, _ := group.state(name, time.Now())
	group.mu.Unlock()
	if !write || primary {
		time.Sleep(group.workTime)
	}
	group.mu.Lock()
	now := time.Now()
	primary, position := group.state(name, now)
	value := "pickup 08:00"
	if !group.changedAt.IsZero() && !position.Before(group.changedAt) {
		value = "pickup 07:00"
	}
	group.mu.Unlock()
	out, end := row([]byte(value)), "served "+value
	if write && !primary {
		out, end = errorResponse("25006", "no primary"), "25006"
	} else if write {
		out = row([]byte{0x9f, 3})
	}
	rank := "copy"
	if primary {
		rank = "source"
	}
	out = append(out, parameter("rank", rank)...)
	out = append(out, parameter("as_of", strconv.FormatInt(position.UnixMilli(), 10))...)
	if _, err := conn.Write(append(out, ready()...)); err != nil {
		return false
	}
	written := time.Now()
	group.play.line("%s: %s of %s came at %.3f ms: %s, rank %s, %v behind", name, request["c"], request["id"],
		float64(at.Sub(group.play.began).Microseconds())/1e3, end, rank, now.Sub(position).Round(time.Millisecond))
	group.mu.Lock()
	defer group.mu.Unlock()
	if !primary && group.toldAt[name].IsZero() {
		group.toldAt[name] = written
	}
	if !write {
		read := servedRead{id: request["id"], class: request["c"], server: name, primary: primary, at: at, position: position}
		if after, ok := request["after"]; ok {
			read.after = time.UnixMilli(number(after))
		}
		group.reads = append(group.reads, read)
	}
	return true
}

// audit returns the reads that were served to clients from data older than their class allows. A read at a server that
// has been primary is excused until the router has been told, by a whole answer, that it is none.
func (group *bookingGroup) audit(served map[string]answer) (broken []string) {
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, read := range group.reads {
		result, ok := served[read.id]
		if !ok || read.primary {
			continue
		}
		needed, rule := read.at.Add(-ageBound-slack), "its age bound"
		if read.class == "own-booking" {
			needed, rule = read.after, "its session's write"
		}
		if !read.position.Before(needed) {
			continue
		}
		told := group.toldAt[read.server]
		excused := read.server == "s-1" && (told.IsZero() || read.at.Sub(told) <= knownAfter+slack)
		group.play.line("audit: %s of %s was served %q by %s, %v short of %s; the router was told that this is a replica %v before the send; excused: %v",
			read.class, read.id, result.value, read.server, needed.Sub(read.position).Round(time.Millisecond), rule, read.at.Sub(told).Round(time.Millisecond), excused)
		if !excused {
			broken = append(broken, fmt.Sprintf("%s of %s was served %q by %s, a replica %v short of %s; the router had been told so %v before the send",
				read.class, read.id, result.value, read.server, needed.Sub(read.position).Round(time.Millisecond), rule, read.at.Sub(told).Round(time.Millisecond)))
		}
	}
	return broken
}

// startBooking starts a group, the agent and a router that knows the primary.
func startBooking(play *play, group *bookingGroup) (*router, error) {
	group.play, group.toldAt = play, map[string]time.Time{}
	hosts, err := group.start()
	if err != nil {
		return nil, err
	}
	discovery, err := startAgent(hosts)
	if err != nil {
		return nil, err
	}
	router, err := startRouter(play.root, play.dir, "n0", discovery, limits{Cores: 1, MemoryMB: 64, Sockets: 640}, booking)
	if err != nil {
		return nil, err
	}
	sent, result := ask(router.address, `/* id=w0,c=booking-write,d=4000,k=w0,cluster=1 */ INSERT INTO objects (oid, body) VALUES ('00aa', '\x9f03') RETURNING body`, 5*time.Second)
	play.lineAt(sent, "client: booking-write w0: %s %s", result.outcome, result.text)
	if result.outcome != "served" {
		router.stop()
		return nil, fmt.Errorf("the first write was not served: %s %s", result.outcome, result.text)
	}
	return router, nil
}

// beginHang makes the primary hang, if the disruption is played, and returns when it resumes. At s-2, which takes over,
// another router's client changes the value.
func (group *bookingGroup) beginHang() (resumes time.Time) {
	now := time.Now()
	if !group.play.trouble {
		return now.Add(hangFor)
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	group.hangAt = now
	group.changedAt = group.newPrimaryAt().Add(500 * time.Millisecond)
	group.play.line("s-1, the primary, hangs for %v; s-2 takes over after %v, and there the value is changed %v later", hangFor, giveUp+takeOver, 500*time.Millisecond)
	return group.resumesAt()
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// playDiscardedNote reads the same value as before from a former primary, which answers within 10 ms that it is a
// replica now, and then reads again.
func playDiscardedNote(play *play) ([]string, error) {
	group := &bookingGroup{workTime: 2 * time.Millisecond}
	router, err := startBooking(play, group)
	if err != nil {
		return nil, err
	}
	defer router.stop()
	served := map[string]answer{}
	lookUp := func(id string) answer {
		sent, result := ask(router.address, fmt.Sprintf(`/* id=%s,c=trip-lookup,d=700,cluster=1 */ SELECT body FROM objects WHERE oid = '7f3a9c21e0b4d655'`, id), 2*time.Second)
		play.lineAt(sent, "client: trip-lookup %s: %s %q %s after %v", id, result.outcome, result.value, result.text, result.at.Sub(sent).Round(time.Millisecond))
		if result.outcome == "served" {
			served[id] = result
		}
		return result
	}
	time.Sleep(400 * time.Millisecond) // what is known of the replicas' positions gets too old
	if result := lookUp("r0"); result.outcome != "served" {
		return nil, fmt.Errorf("the first read was not served: %s %s", result.outcome, result.text)
	}
	resumes := group.beginHang()
	sleepUntil(resumes.Add(100 * time.Millisecond))
	lookUp("r1")
	sleepUntil(resumes.Add(600 * time.Millisecond))
	lookUp("r2")
	time.Sleep(300 * time.Millisecond)
	lookUp("r3")
	return group.audit(served), nil
}

// playLateConnection sends reads of several sessions at once to a former primary. One is answered, by a replica, while
// connections for others come up late.
func playLateConnection(play *play) ([]string, error) {
	group := &bookingGroup{workTime: 20 * time.Millisecond}
	if play.trouble {
		group.lateEvery, group.lateBy = 3, 225*time.Millisecond
	}
	router, err := startBooking(play, group)
	if err != nil {
		return nil, err
	}
	defer router.stop()
	resumes := group.beginHang()
	sleepUntil(resumes.Add(100 * time.Millisecond))
	var mu sync.Mutex
	served := map[string]answer{}
	var clients sync.WaitGroup
	for number := range 6 { // the sessions have written through another router, up to 1 s ago
		id, after := fmt.Sprintf("o%d", number), time.Now().Add(-time.Duration(500+100*number)*time.Millisecond)
		clients.Go(func() {
			sent, result := ask(router.address, fmt.Sprintf(`/* id=%s,c=own-booking,d=2400,cluster=1,after=%d */ SELECT body FROM objects WHERE oid = '5e%02d'`, id, after.UnixMilli(), number), 4*time.Second)
			play.lineAt(sent, "client: own-booking %s: %s %q %s after %v", id, result.outcome, result.value, result.text, result.at.Sub(sent).Round(time.Millisecond))
			if result.outcome == "served" {
				mu.Lock()
				defer mu.Unlock()
				served[id] = result
			}
		})
	}
	clients.Wait()
	return group.audit(served), nil
}
