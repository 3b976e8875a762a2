package experiment

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/admin"
	"lotushook/internal/faultinject"
	"lotushook/internal/peer"
	"lotushook/internal/siteconfig"
)

// memberCluster are the routers of one arm that know each other: their settings, the links between them, and what happened to
// each when. A nil one notes nothing.
type memberCluster struct {
	net     *faultinject.Net
	count   int
	dir     string
	members map[string]any // the part of the settings
	term    time.Duration  // of their promises
	alone   float64

	mu      sync.Mutex
	turns   []turn
	reports map[int]peer.Report // at the end
	until   time.Time           // all routers are stopped from here on: what they believe then counts for nothing
}

// condition is how a router is.
type condition string

const (
	up      condition = "up"
	paused  condition = "paused"
	killed  condition = "killed"
	stopped condition = "stopped"
)

// turn is a change of a router's condition.
type turn struct {
	at     time.Time
	router int
	is     condition
}

func routerName(n int) string { return fmt.Sprintf("n%d", n) }

// newMemberCluster gives each router a loopback address of its own and one that others must use, where the arm has members.
func newMemberCluster(e *Experiment, arm *Arm, dir string, seed uint64, run uint32) (f *memberCluster, err error) {
	raw := e.Routers.Members
	if arm.Members != nil {
		raw = arm.Members
	}
	if raw == nil || string(raw) == "null" {
		return nil, nil
	}
	f = &memberCluster{net: faultinject.New(seed), count: e.Routers.Count, dir: dir, members: map[string]any{}, reports: map[int]peer.Report{}}
	defer func() {
		if err != nil {
			f.net.Close()
		}
	}()
	if err := jsoniter.Unmarshal(raw, &f.members); err != nil {
		return f, fmt.Errorf("members: %w", err)
	}
	var key [32]byte
	rand.Read(key[:])
	path := filepath.Join(dir, "keys")
	if err := os.WriteFile(path, []byte(hex.EncodeToString(key[:])+"\n"), 0o600); err != nil {
		return f, err
	}
	places, seeds := map[string]siteconfig.RouterAddress{}, []string{}
	for n := range f.count {
		at, err := freeOn(memberHostOf(run, n))
		if err != nil {
			return f, err
		}
		_, out, err := f.net.Add(at)
		if err != nil {
			return f, err
		}
		places[routerName(n)] = siteconfig.RouterAddress{Listen: at.String(), Advertise: out.String()}
		if n < 2 {
			seeds = append(seeds, out.String())
		}
	}
	f.members["cluster"], f.members["key_file"], f.members["routers"], f.members["seeds"] = "lab", path, places, seeds
	return f, nil
}

// runs counts the arms that this process has played, some of them at once.
var runs atomic.Uint32

// hostOf is a loopback address that only one router of one arm has: nobody else's connections take its ports.
func hostOf(run uint32, n int) string { return loopback(64, run, n) }

// memberHostOf is a router's address for other routers. It has another host than the one for clients: both ports are drawn and let go
// before the router listens, and of one host the system may draw the same one twice.
func memberHostOf(run uint32, n int) string { return loopback(128, run, n) }

// loopback is an address of a router of this process, in one of the ranges of 64 networks that begin at a multiple of 64.
func loopback(first int, run uint32, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%64, run%250, 1+n%250)
}

// freeOn is a port of a host that is free for datagrams and connections. A router that comes back needs the one that it had.
func freeOn(host string) (netip.AddrPort, error) {
	for range 20 {
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			return netip.AddrPort{}, err
		}
		at := ln.Addr().(*net.TCPAddr).AddrPort()
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		ln.Close()
		if err == nil {
			udp.Close()
			return at, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no port of %s is free", host)
}

// settings are one router's own, with its part "members".
func (f *memberCluster) settings(own jsoniter.RawMessage, n int) (jsoniter.RawMessage, error) {
	all := map[string]any{}
	if own != nil && string(own) != "null" {
		if err := jsoniter.Unmarshal(own, &all); err != nil {
			return nil, fmt.Errorf("own: %w", err)
		}
	}
	f.members["socket"] = f.socket(n)
	for part, at := range map[string][2]string{"keep": {"dir", routerName(n) + "-keep"}, "decisions": {"file", sendsName(n)}} {
		if m, ok := f.members[part].(map[string]any); ok { // its own place for each
			m[at[0]] = filepath.Join(f.dir, at[1])
		}
	}
	all["members"] = f.members
	raw, err := jsoniter.Marshal(all)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, "check.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	s, err := siteconfig.Load(path) // with the defaults, as the router has it
	if err != nil {
		return nil, err
	}
	m, err := s.Members.MembershipSettings(routerName(n), 1)
	if err != nil {
		return nil, err
	}
	f.term, f.alone = time.Duration(m.Term()), m.IsolatedShare
	return raw, nil
}

// socket is short: a folder of results may have a longer name than a socket may.
func (f *memberCluster) socket(n int) string {
	return filepath.Join(os.TempDir(), fmt.Sprintf("lotushook-lab-%d-%s", f.net.Number(), routerName(n)))
}

func (f *memberCluster) note(router int, is condition) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turns = append(f.turns, turn{time.Now(), router, is})
}

// is says how a router was at a time, and since when.
func (f *memberCluster) is(router int, at time.Time) (condition, time.Time) {
	now, since := stopped, time.Time{}
	for _, t := range f.turns {
		if t.router == router && !t.at.After(at) && t.is != now {
			now, since = t.is, t.at
		}
	}
	return now, since
}

// requestViews reads what each router that is up says of its messages.
func (f *memberCluster) requestViews(routers []*process) {
	if f == nil {
		return
	}
	f.until = time.Now()
	for n := range routers {
		if is, _ := f.is(n, time.Now()); is != up {
			continue
		}
		var r peer.Report
		if admin.Query(f.socket(n), "members", &r) == nil {
			f.reports[n] = r
		}
	}
}

// reach says whether what one router sends came to another at a time, directly or through others that were up.
func (f *memberCluster) reach(from, to int, at time.Time, cuts []faultinject.Event) bool {
	cut := map[[2]int]bool{}
	for _, e := range cuts {
		if !e.At.After(at) {
			cut[[2]int{e.From, e.To}] = e.Link.Cut
		}
	}
	seen, queue := map[int]bool{from: true}, []int{from}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		if i == to {
			return true
		}
		for j := range f.count {
			is, _ := f.is(j, at)
			if !seen[j] && !cut[[2]int{i, j}] && (is == up || j == to) {
				seen[j] = true
				queue = append(queue, j)
			}
		}
	}
	return false
}

// moments are when something changed: between two of them all links and conditions are the same.
func (f *memberCluster) moments(cuts []faultinject.Event) []time.Time {
	var all []time.Time
	for _, t := range f.turns {
		all = append(all, t.at)
	}
	for _, e := range cuts {
		all = append(all, e.At)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}
