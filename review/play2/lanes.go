//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["lanes"] = entry{laneSite, lanes} }

// laneSite is like the deployment of kit/sites, with its work and one group.
func laneSite() *site {
	s := oberland()
	s.classes[0].work, s.classes[1].work, s.classes[2].work = 95*msec, 95*msec, 140*msec
	return s
}

// team is a team of clients, known by the address that they connect from.
type team struct {
	name, lane, address string
	sessions            int
}

var teams = []team{{"lending", "premium", "127.2.1.1", 70}, {"counters", "regular", "127.2.2.1", 100}, {"halls", "background", "127.2.3.1", 8}, {"batch", "batch", "127.2.4.1", 40}}

// laneSettings returns the installation's settings with the lanes of the given names; a team whose lane is gone is in
// the last one.
func (w *world) laneSettings(names ...string) string {
	var lanes, list []string
	for _, name := range names {
		lanes = append(lanes, fmt.Sprintf(`{"name":%q}`, name))
	}
	for _, t := range teams {
		lane := names[len(names)-1]
		for _, name := range names {
			if name == t.lane {
				lane = name
			}
		}
		var classes []string
		for _, c := range w.site.classes {
			classes = append(classes, fmt.Sprintf(`%q:{"per_s":10000,"burst":10000}`, c.name))
		}
		list = append(list, fmt.Sprintf(`{"name":%q,"worth":1,"retry_share":10,"lane":%q,"addresses":["%s/32"],"classes":{%s}}`, t.name, lane, t.address, strings.Join(classes, ",")))
	}
	return fmt.Sprintf(`{"admission":{"shared":["0.0.0.0/0","::/0"]},"accounts":{"every_s":60},"contracts":{"lanes":{"by":"session","lanes":[%s]},"teams":[%s]},"log":{"totals_ms":10000,"trace":"off"}}`,
		strings.Join(lanes, ","), strings.Join(list, ","))
}

// dialFrom connects from an address.
func dialFrom(from, address string) (*clientConn, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	client := &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
	_, err = conn.Write(startupMessage())
	return client, err
}

// laneSession plays one session of a team: it asks, pauses, and asks again, until stop is closed.
func (w *world) laneSession(t team, pace *atomic.Int64, stop chan struct{}) {
	session, commit, wrote := randomID(), int64(0), false
	began := w.now() - time.Duration(rand.IntN(9000))*msec
	var conn *clientConn
	for {
		wait := time.Duration(float64(pace.Load()) * rand.ExpFloat64())
		if wrote { // most reads come soon after a write
			wait = time.Duration(180+rand.IntN(500)) * msec
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		if conn == nil || conn.used < 0 {
			fresh, err := dialFrom(t.address, w.routers[0].address)
			if err != nil {
				w.note("a client of %s can't connect: %v", t.name, err)
				continue
			}
			conn = fresh
		}
		class := &w.site.classes[rand.IntN(2)]
		switch {
		case wrote || t.name == "batch" && commit > 0: // a batch writes once, and then reads what it has written
			class = &w.site.classes[1]
		case rand.Float64() < 0.17 || t.name == "batch":
			class = &w.site.classes[2]
		}
		if t.name == "batch" && commit > 0 && w.now()-began > 9*time.Second {
			session, commit, wrote, began = randomID(), 0, false, w.now()
			continue
		}
		request := w.newRequest(0, 1, class)
		request.session, request.team = session, t.name
		if class.read == "causal" {
			request.after = commit
		}
		conn.ask(w, request)
		if wrote = class.read == "mutate" && request.outcome == "served"; wrote {
			commit = w.commitOf(request.id)
		}
	}
}

// openWrites returns how many writes of a team data servers hold.
func (w *world) openWrites(team string) (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	open := map[string]bool{}
	for _, send := range w.sends {
		if send.ended == 0 && send.key != "" {
			open[send.id] = true
		}
	}
	for _, request := range w.requests {
		if request.team == team && open[request.id] {
			count++
		}
	}
	return count
}

// lanes plays a burst of traffic, and a new configuration that takes one lane away.
func lanes(w *world) error {
	w.addRouters()
	w.addGroups(1, 3)
	r := w.routers[0]
	r.own = filepath.Join(w.dir, "settings.json")
	if err := os.WriteFile(r.own, []byte(w.laneSettings("premium", "regular", "background", "batch")), 0o644); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	var pace atomic.Int64
	pace.Store(int64(2500 * msec))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, t := range teams {
		for range t.sessions {
			clients.Go(func() { w.laneSession(t, &pace, stop) })
		}
	}
	time.Sleep(8 * time.Second)
	if err := os.WriteFile(r.own+".new", []byte(w.laneSettings("premium", "regular", "background")), 0o644); err != nil {
		return err
	}
	for w.openWrites("batch") < 2 && w.now() < 20*time.Second { // as in a larger fleet at any time
		time.Sleep(2 * msec)
	}
	if w.trouble {
		if err := os.Rename(r.own+".new", r.own); err != nil {
			return err
		}
		r.signal(syscall.SIGHUP)
	}
	time.Sleep(200 * msec)
	w.note("the burst begins")
	pace.Store(int64(1000 * msec))
	time.Sleep(8200 * msec)
	pace.Store(int64(2500 * msec))
	time.Sleep(2 * time.Second)
	raw, _ := os.ReadFile(filepath.Join(w.dir, r.name+".log"))
	for text := range strings.SplitSeq(string(raw), "\n") {
		w.note("log: %s", text)
	}
	if r.hasExited(0) {
		w.note("log: %s", strings.ReplaceAll(string(raw[:min(len(raw), 3000)]), "\n", " | "))
		w.fault("crash", "the router ended: %v", r.exitErr)
	}
	close(stop)
	clients.Wait()
	return nil
}
