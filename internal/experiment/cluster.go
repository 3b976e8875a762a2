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

// memberCluster is the cluster that the routers of one arm form: their settings, the simulated links between them and
// the history of each router's condition. The recording methods of a nil cluster do nothing.
type memberCluster struct {
	net           *faultinject.Net
	count         int
	dir           string
	members       map[string]any // the "members" part of the settings
	leaseTerm     time.Duration  // how long a lease of quota lasts
	isolatedShare float64        // total share that isolated routers may use

	mu        sync.Mutex
	changes   []conditionChange
	reports   map[int]peer.Report // by router, taken at the end
	stoppedAt time.Time           // the routers are stopped from this time on; views logged later are ignored
}

// condition is the state that the experiment has put a router into.
type condition string

const (
	up      condition = "up"
	paused  condition = "paused"
	killed  condition = "killed"
	stopped condition = "stopped"
)

// conditionChange is a change of a router's condition.
type conditionChange struct {
	at           time.Time
	router       int
	newCondition condition
}

func routerName(number int) string { return fmt.Sprintf("n%d", number) }

// newMemberCluster prepares the cluster of an arm, or returns nil if the arm has none. Each router gets a loopback
// address that it listens on and a second one, where the simulated links receive
// messages for it, that it advertises to the others.
func newMemberCluster(experiment *Experiment, arm *Arm, dir string, seed uint64, runNumber uint32) (cluster *memberCluster, err error) {
	raw := experiment.Routers.Members
	if arm.Members != nil {
		raw = arm.Members
	}
	if raw == nil || string(raw) == "null" {
		return nil, nil
	}
	cluster = &memberCluster{net: faultinject.New(seed), count: experiment.Routers.Count, dir: dir, members: map[string]any{}, reports: map[int]peer.Report{}}
	defer func() {
		if err != nil {
			cluster.net.Close()
		}
	}()
	if err := jsoniter.Unmarshal(raw, &cluster.members); err != nil {
		return cluster, fmt.Errorf("members: %w", err)
	}
	var key [32]byte
	rand.Read(key[:])
	path := filepath.Join(dir, "keys")
	if err := os.WriteFile(path, []byte(hex.EncodeToString(key[:])+"\n"), 0o600); err != nil {
		return cluster, err
	}
	addresses, seeds := map[string]siteconfig.RouterAddress{}, []string{}
	for number := range cluster.count {
		address, err := freeAddress(memberHost(runNumber, number))
		if err != nil {
			return cluster, err
		}
		_, advertised, err := cluster.net.Add(address)
		if err != nil {
			return cluster, err
		}
		addresses[routerName(number)] = siteconfig.RouterAddress{Listen: address.String(), Advertise: advertised.String()}
		if number < 2 {
			seeds = append(seeds, advertised.String())
		}
	}
	cluster.members["cluster"], cluster.members["key_file"], cluster.members["routers"], cluster.members["seeds"] = "lab", path, addresses, seeds
	return cluster, nil
}

// runNumbers numbers the arms and soaks that this process has run, some of them in parallel.
var runNumbers atomic.Uint32

// clientHost returns a loopback address that only one router of one arm uses, so that no other connection can occupy
// its ports.
func clientHost(runNumber uint32, router int) string { return loopback(64, runNumber, router) }

// memberHost returns the loopback address that a router uses for the other routers. It differs from the address for
// clients because both ports are chosen and released before the router listens: on one host the system might choose the
// same port twice.
func memberHost(runNumber uint32, router int) string { return loopback(128, runNumber, router) }

// loopback returns a loopback address for a router. The address lies in a range of 64 networks, which begins at first,
// a multiple of 64; the process ID selects the network.
func loopback(first int, runNumber uint32, router int) string {
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%64, runNumber%250, 1+router%250)
}

// freeAddress returns an address on a host with a port that is free for both UDP and TCP. The port is fixed in advance
// because a router that restarts must listen on the same one.
func freeAddress(host string) (netip.AddrPort, error) {
	for range 20 {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return netip.AddrPort{}, err
		}
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		listener.Close()
		if err == nil {
			udp.Close()
			return address, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no port of %s is free", host)
}

// settings returns the settings of one router: base, with the "members" part added.
func (cluster *memberCluster) settings(base jsoniter.RawMessage, number int) (jsoniter.RawMessage, error) {
	fields := map[string]any{}
	if base != nil && string(base) != "null" {
		if err := jsoniter.Unmarshal(base, &fields); err != nil {
			return nil, fmt.Errorf("own: %w", err)
		}
	}
	cluster.members["socket"] = cluster.socket(number)
	for part, location := range map[string][2]string{"keep": {"dir", routerName(number) + "-keep"}, "decisions": {"file", sendsName(number)}} {
		if section, ok := cluster.members[part].(map[string]any); ok { // each router has its own directory or file
			section[location[0]] = filepath.Join(cluster.dir, location[1])
		}
	}
	fields["members"] = cluster.members
	raw, err := jsoniter.Marshal(fields)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(cluster.dir, "check.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	parsed, err := siteconfig.Load(path) // applies the defaults, as the router does
	if err != nil {
		return nil, err
	}
	section, err := parsed.Members.MembershipSettings(routerName(number), 1)
	if err != nil {
		return nil, err
	}
	cluster.leaseTerm, cluster.isolatedShare = time.Duration(section.Term()), section.IsolatedShare
	return raw, nil
}

// socket returns the path of a router's admin socket. It lies in the temporary directory because the path of a result
// directory may exceed the length limit of a socket path.
func (cluster *memberCluster) socket(number int) string {
	return filepath.Join(os.TempDir(), fmt.Sprintf("lotushook-lab-%d-%s", cluster.net.Number(), routerName(number)))
}

// recordCondition records a change of a router's condition.
func (cluster *memberCluster) recordCondition(router int, is condition) {
	if cluster == nil {
		return
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.changes = append(cluster.changes, conditionChange{time.Now(), router, is})
}

// conditionAt returns the condition of a router at a time, and since when it had been in it.
func (cluster *memberCluster) conditionAt(router int, at time.Time) (condition, time.Time) {
	current, since := stopped, time.Time{}
	for _, change := range cluster.changes {
		if change.router == router && !change.at.After(at) && change.newCondition != current {
			current, since = change.newCondition, change.at
		}
	}
	return current, since
}

// queryReports asks each running router for its report on membership messages.
func (cluster *memberCluster) queryReports(routers []*process) {
	if cluster == nil {
		return
	}
	cluster.stoppedAt = time.Now()
	for number := range routers {
		if is, _ := cluster.conditionAt(number, time.Now()); is != up {
			continue
		}
		var report peer.Report
		if admin.Query(cluster.socket(number), "members", &report) == nil {
			cluster.reports[number] = report
		}
	}
}

// reachable reports whether messages from one router could reach another at a time, directly or through other running
// routers.
func (cluster *memberCluster) reachable(from, to int, at time.Time, cuts []faultinject.Event) bool {
	cut := map[[2]int]bool{}
	for _, event := range cuts {
		if !event.At.After(at) {
			cut[[2]int{event.From, event.To}] = event.Link.Cut
		}
	}
	visited, queue := map[int]bool{from: true}, []int{from}
	for len(queue) > 0 {
		member := queue[0]
		queue = queue[1:]
		if member == to {
			return true
		}
		for next := range cluster.count {
			is, _ := cluster.conditionAt(next, at)
			if !visited[next] && !cut[[2]int{member, next}] && (is == up || next == to) {
				visited[next] = true
				queue = append(queue, next)
			}
		}
	}
	return false
}

// changeTimes returns the times at which a link or a condition changed, in order. Between two of them nothing changes.
func (cluster *memberCluster) changeTimes(cuts []faultinject.Event) []time.Time {
	var all []time.Time
	for _, change := range cluster.changes {
		all = append(all, change.at)
	}
	for _, event := range cuts {
		all = append(all, event.At)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}
