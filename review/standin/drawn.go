//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drawn"] = playDrawn }

const (
	drawnGroups  = 5
	drawnMembers = 3
	drawnSpan    = 90 * time.Second
)

// drawnGroup is a group whose primaries hang, one after the other, at drawn times.
type drawnGroup struct {
	number int

	mu       sync.Mutex
	primary  int // -1: the group has none
	hung     int // the member that hangs; -1: none
	hungAt   time.Time
	resumeAt time.Time
	movedAt  time.Time // the last take-over
	members  [drawnMembers]drawnMember
}

// drawnMember is what is known of a member's role and position.
type drawnMember struct {
	wasPrimary  bool
	demotedAt   time.Time
	toldAt      time.Time // when it first answered, wholly, that it is a replica since then
	behindFrom  time.Time // the position from which it catches up; zero: it doesn't
	behindSince time.Time
}

// drawnPlay draws all times from one seed.
type drawnPlay struct {
	*play
	mu      sync.Mutex
	random  *rand.Rand
	reads   map[string]servedRead
	excused map[string]bool
	served  map[string]bool
	counts  map[string]int
}

// between draws a duration, in seconds.
func (play *drawnPlay) between(low, high float64) time.Duration {
	play.mu.Lock()
	defer play.mu.Unlock()
	return time.Duration((low + play.random.Float64()*(high-low)) * float64(time.Second))
}

// share draws a number from 0 to 1.
func (play *drawnPlay) share() float64 { return play.between(0, 1).Seconds() }

func (play *drawnPlay) exponential(mean time.Duration) time.Duration {
	play.mu.Lock()
	defer play.mu.Unlock()
	return time.Duration(play.random.ExpFloat64() * float64(mean))
}

// state returns a member's role and position. The caller holds the lock.
func (group *drawnGroup) state(number int, now time.Time) (primary bool, position time.Time) {
	member := &group.members[number]
	if group.primary == number {
		return true, now
	}
	if group.hung == number {
		return false, group.hungAt
	}
	end := now.Add(-shipping) // of the log that the member has
	if group.primary < 0 {
		end = group.hungAt.Add(-shipping) // until the take-over no position passes it
	}
	if !member.behindFrom.IsZero() {
		if position = member.behindFrom.Add(catchUp * now.Sub(member.behindSince)); position.Before(end) {
			return false, position
		}
		member.behindFrom = time.Time{}
	}
	return false, end
}

// lastCommit returns a position at which the group may have had a commit, some time ago.
func (group *drawnGroup) lastCommit(ago time.Duration) time.Time {
	group.mu.Lock()
	defer group.mu.Unlock()
	at := time.Now().Add(-ago)
	if at.After(group.hungAt) && (group.primary < 0 || group.movedAt.After(at)) {
		return group.hungAt.Add(-2 * shipping)
	}
	return at
}

// playDrawn draws, from SEED, when primaries hang and connections come up late, and what clients ask for, and looks for
// stale reads. It is no case of the review; it shows how often the order of events of `dial` comes unasked for.
func playDrawn(played *play) ([]string, error) {
	seed := int64(1)
	_, _ = fmt.Sscan(os.Getenv("SEED"), &seed)
	play := &drawnPlay{play: played, random: rand.New(rand.NewSource(seed)), reads: map[string]servedRead{},
		excused: map[string]bool{}, served: map[string]bool{}, counts: map[string]int{}}
	var hosts []host
	var groups []*drawnGroup
	for number := 1; number <= drawnGroups; number++ {
		group := &drawnGroup{number: number, hung: -1}
		group.members[0].wasPrimary = true
		groups = append(groups, group)
		for member := range drawnMembers {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			name := fmt.Sprintf("s-%d-%d", number, member+1)
			hosts = append(hosts, host{name, listener.Addr().String(), "burnaby", "small-fast", int64(number), "SERVING", 1, 0})
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go play.serve(group, member, name, conn)
				}
			}()
		}
	}
	discovery, err := startAgent(hosts)
	if err != nil {
		return nil, err
	}
	router, err := startRouter(play.root, play.dir, "n0", discovery, usualMachine, booking)
	if err != nil {
		return nil, err
	}
	defer router.stop()
	end := time.Now().Add(drawnSpan)
	var running sync.WaitGroup
	for _, group := range groups {
		if play.trouble {
			running.Go(func() { play.hangPrimaries(group, end) })
		}
		running.Go(func() { play.askGroup(group, router.address, end) })
	}
	running.Wait()
	play.line("answers: %v", play.counts)
	return play.audit(), nil
}

// hangPrimaries makes the group's primary hang again and again.
func (play *drawnPlay) hangPrimaries(group *drawnGroup, end time.Time) {
	for {
		time.Sleep(play.between(4, 15))
		if time.Now().After(end) {
			return
		}
		resumesIn, takeOverIn, step := play.between(6.8, 9), play.between(2.3, 5.9), 1+int(2*play.share())
		group.mu.Lock()
		old := group.primary
		group.hung, group.hungAt, group.primary = old, time.Now(), -1
		group.resumeAt = group.hungAt.Add(resumesIn)
		group.mu.Unlock()
		time.Sleep(takeOverIn)
		group.mu.Lock()
		next := (old + step) % drawnMembers
		group.primary, group.movedAt = next, time.Now()
		group.members[next].wasPrimary, group.members[next].toldAt = true, time.Time{}
		group.members[old].demotedAt = group.movedAt
		group.mu.Unlock()
		sleepUntil(group.resumeAt)
		group.mu.Lock()
		group.hung = -1
		group.members[old].behindFrom, group.members[old].behindSince = group.hungAt, time.Now()
		group.mu.Unlock()
		play.line("s-%d-%d goes on; the primary is s-%d-%d", group.number, old+1, group.number, next+1)
	}
}

// askGroup sends requests for a group, in bursts with rests between them.
func (play *drawnPlay) askGroup(group *drawnGroup, address string, end time.Time) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for sent := 0; time.Now().Before(end); {
		if play.share() < 0.35 {
			time.Sleep(play.between(2, 12))
		}
		for range 1 + int(12*play.share()) {
			sent++
			id, text := fmt.Sprintf("q%d.%d", group.number, sent), ""
			wait := 0.5 + play.share()/2
			switch class := play.share(); {
			case class < 0.2:
				text = fmt.Sprintf(`/* id=%s,c=booking-write,d=%d,k=%s,cluster=%d */ INSERT INTO objects (oid, body) VALUES ('%s', '\x9f') RETURNING body`,
					id, int(5000*wait), id, group.number, id)
			case class < 0.6:
				text = fmt.Sprintf(`/* id=%s,c=own-booking,d=%d,cluster=%d,after=%d */ SELECT body FROM objects WHERE oid = 'a'`,
					id, int(2500*wait), group.number, group.lastCommit(play.between(0.1, 1)).UnixMilli())
			default:
				text = fmt.Sprintf(`/* id=%s,c=trip-lookup,d=%d,cluster=%d */ SELECT body FROM objects WHERE oid = 'a%d'`,
					id, int(750*wait), group.number, sent%3)
			}
			clients.Go(func() {
				_, result := ask(address, text, 6*time.Second)
				play.mu.Lock()
				defer play.mu.Unlock()
				play.counts[result.outcome]++
				play.served[id] = result.outcome == "served"
			})
			time.Sleep(play.exponential(30 * time.Millisecond))
		}
		time.Sleep(play.exponential(400 * time.Millisecond))
	}
}

// awaitResume waits while a member hangs.
func (group *drawnGroup) awaitResume(number int) {
	for {
		group.mu.Lock()
		hangs, resumeAt := group.hung == number, group.resumeAt
		group.mu.Unlock()
		if !hangs {
			return
		}
		time.Sleep(max(time.Until(resumeAt), time.Millisecond))
	}
}

// serve answers on one connection. A third of the connections come up late.
func (play *drawnPlay) serve(group *drawnGroup, number int, name string, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if readStartup(reader) != nil {
		return
	}
	group.awaitResume(number)
	if play.trouble && play.share() < 0.33 {
		time.Sleep(play.between(0, 0.24))
	}
	if _, err := conn.Write(append(message('R', []byte{0, 0, 0, 0}), ready()...)); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(reader)
		if err != nil || kind != 'Q' || !play.answer(group, number, name, conn, string(body[:len(body)-1]), time.Now()) {
			return
		}
	}
}

func (play *drawnPlay) answer(group *drawnGroup, index int, name string, conn net.Conn, text string, at time.Time) (keep bool) {
	group.awaitResume(index)
	if text == "SELECT 1" || text == "SHOW vitals" {
		_, err := conn.Write(append(row([]byte("1")), ready()...))
		return err == nil
	}
	request := fields(text)
	write := request["c"] == "booking-write"
	group.mu.Lock()
	member := group.members[index] // as the router may know it when it sends
	primary, _ := group.state(index, time.Now())
	group.mu.Unlock()
	if !write || primary {
		time.Sleep(play.exponential(30 * time.Millisecond))
	}
	group.awaitResume(index)
	group.mu.Lock()
	primary, position := group.state(index, time.Now())
	group.mu.Unlock()
	out, rank := row([]byte("value of "+text[len(text)-4:])), "copy"
	if write && !primary {
		out = errorResponse("25006", "no primary")
	}
	if primary {
		rank = "source"
	}
	out = append(out, parameter("rank", rank)...)
	out = append(out, parameter("as_of", strconv.FormatInt(position.UnixMilli(), 10))...)
	if hasClosed(conn) { // what is written to a closed connection tells nothing
		return false
	}
	if _, err := conn.Write(append(out, ready()...)); err != nil {
		return false
	}
	written := time.Now()
	group.mu.Lock()
	if known := &group.members[index]; !primary && known.toldAt.Before(known.demotedAt) {
		known.toldAt = written
	}
	group.mu.Unlock()
	toldBefore := !member.toldAt.IsZero() && !member.toldAt.Before(member.demotedAt) && at.Sub(member.toldAt) > knownAfter+slack
	play.line("%s: %s of %s came at %.3f ms, rank %s, %v behind; the router had been told of a replica: %v", name, request["c"], request["id"],
		float64(at.Sub(play.began).Microseconds())/1e3, rank, written.Sub(position).Round(time.Millisecond), toldBefore)
	if write {
		return true
	}
	read := servedRead{id: request["id"], class: request["c"], server: name, primary: primary, at: at, position: position}
	if after, ok := request["after"]; ok {
		read.after = time.UnixMilli(number(after))
	}
	play.mu.Lock()
	defer play.mu.Unlock()
	play.reads[read.id], play.excused[read.id] = read, member.wasPrimary && !toldBefore
	return true
}

// audit returns the reads that were served from data older than their class allows, and are not excused.
func (play *drawnPlay) audit() (broken []string) {
	play.mu.Lock()
	defer play.mu.Unlock()
	excused := 0
	for id, read := range play.reads {
		needed := read.at.Add(-ageBound - slack)
		if read.class == "own-booking" {
			needed = read.after
		}
		switch {
		case !play.served[id] || read.primary || !read.position.Before(needed):
		case play.excused[id]:
			excused++
		default:
			broken = append(broken, fmt.Sprintf("%s of %s was served by %s, a replica %v short", read.class, id, read.server, needed.Sub(read.position).Round(time.Millisecond)))
		}
	}
	play.line("%d reads were stale and excused", excused)
	return broken
}

// hasClosed reports whether the other side has closed a connection.
func hasClosed(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		count, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = count == 0 && err == nil || err != nil && err != syscall.EAGAIN
	})
	return closed || err != nil
}
