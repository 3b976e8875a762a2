// Package emulator emulates the environment of a router, implemented from the protocol specification alone: data
// servers in replicated groups, the discovery agent that lists them, and the load balancer in front of the routers. It
// serves experiments on loopback and does not model real machines. A seed determines all random numbers.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lotushook/policy/cursor"
)

// Class describes how data servers process a class of requests.
type Class struct {
	Write   bool
	Bound   time.Duration    // maximum age of the data that a read sees; 0: limited only by the position that it states
	Work    [2]time.Duration // min and max
	Session bool             // reads that must include the session's own writes
	Feed    bool             // reads of the group's log
	Value   int              // minimum length of a read's value in bytes; it begins with the ID of the request
}

// Fleet describes the groups of data servers.
type Fleet struct {
	Groups, Members  int
	Cores            int           // requests that a server processes at a time
	Queue            int           // requests that may wait; further ones are rejected
	ReplicationDelay time.Duration // replication delay of a commit
	ApplyTime        time.Duration // time that a replica's single thread takes to apply a commit
	ColdShare        float64       // share of its capacity that a cold server has
	Ramp             time.Duration // time from a cold start to full capacity
	FailoverDelay    time.Duration // time from a primary's failure to its replacement
	Zones            []string      // members are distributed over them
	Retain           int           // number of events of a group's log that can be read; 0: no log
	Classes          map[string]Class
	Seed             uint64
	RecordStarts     bool // record the start of each request
	Record           bool // record attempts and executed requests, up to maxRecordedRuns for each group
}

// Run is the execution of a request at a data server, or its rejection because the server can't process it.
type Run struct {
	ID, Session, Server string
	Write, Missed       bool
	Pos                 int64 // position (Unix ms) that a read has seen or that a write was committed at
}

const maxRecordedRuns = 1 << 18

// recordRun records an executed or rejected request.
func (group *Group) recordRun(run Run) {
	if !group.fleet.Record {
		return
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	if len(group.runs) < maxRecordedRuns {
		group.runs = append(group.runs, run)
	}
}

// Runs returns the recorded runs of all groups.
func (running *Running) Runs() (runs []Run) {
	for _, group := range running.Groups {
		group.mu.Lock()
		runs = append(runs, group.runs...)
		group.mu.Unlock()
	}
	return runs
}

// Group is a set of servers that replicate the same data. Its first member is the primary at the start.
type Group struct {
	fleet   *Fleet
	number  int64
	servers []*Server
	agent   *Agent
	rates   *Rates

	mu           sync.Mutex
	primary      *Server                 // nil: none at the moment
	needsPrimary bool                    // the last failover found no running server
	keys         map[string]time.Time    // when each key was committed
	lastWrites   map[string]int64        // by session: position of its last write
	openAttempts map[string]*openAttempt // by request ID: the attempt that is open
	audit        Audit
	starts       []Start // if Fleet.RecordStarts is set
	runs         []Run
	attempts     []Attempt // if Fleet.Record is set
	rng          *rand.Rand
	lose         int           // number of events that the next failover loses
	clockOffset  time.Duration // how far the clock was set back
}

// Audit contains the counters of the data servers of a group.
type Audit struct {
	Requests           int // attempts
	Writes             int // executed writes
	DuplicateWrites    int // repeated keys, which were not executed again
	ConcurrentAttempts int // attempts received while another attempt of the same request was open
	Misses             int // rejected because the server could not process them
	Rejected           int // rejected because the queue was full
	Probes             int
	OwnReads           int // session reads after a write of the session
	StaleReads         int // of these, answered from before the session's last write
	FeedReads          int
	LateAttempts       int // received more than 1 s after the server was listed as draining
}

func (audit *Audit) add(other Audit) {
	audit.Requests += other.Requests
	audit.Writes += other.Writes
	audit.DuplicateWrites += other.DuplicateWrites
	audit.ConcurrentAttempts += other.ConcurrentAttempts
	audit.Misses += other.Misses
	audit.OwnReads += other.OwnReads
	audit.StaleReads += other.StaleReads
	audit.Rejected += other.Rejected
	audit.Probes += other.Probes
	audit.LateAttempts += other.LateAttempts
	audit.FeedReads += other.FeedReads
}

const keyRetention = 5 * time.Second // how long a key is remembered

// commit executes a write at the primary. It returns its position (Unix ms) and whether the key was new.
func (group *Group) commit(primary *Server, key string, now time.Time) (position int64, executed bool) {
	group.mu.Lock()
	defer group.mu.Unlock()
	position = now.UnixMilli() + 1
	if committedAt, ok := group.keys[key]; ok && now.Sub(committedAt) < keyRetention {
		group.audit.DuplicateWrites++
		return position, false
	}
	if len(group.keys) > 1<<14 {
		for other, committedAt := range group.keys {
			if now.Sub(committedAt) >= keyRetention {
				delete(group.keys, other)
			}
		}
	}
	group.keys[key] = now
	group.audit.Writes++
	position = group.appendLog(primary, position, key)
	for _, replica := range group.servers {
		if replica != primary {
			replica.replicate(now)
		}
	}
	return position, true
}

// handleFailure handles the failure of a server. A primary is replaced by the replica with the highest position.
func (group *Group) handleFailure(server *Server) {
	group.mu.Lock()
	wasPrimary := group.primary == server
	if wasPrimary {
		group.primary = nil
	}
	group.mu.Unlock()
	if wasPrimary {
		time.AfterFunc(group.fleet.FailoverDelay, func() { group.choosePrimary(server) })
	}
}

// choosePrimary chooses the primary that replaces a failed one. If the failed server is already running again, it is
// only chosen if no other server is: it is cold, and would execute all writes with a fifth of its former capacity. If
// no server is running, the first one to restart becomes the primary.
func (group *Group) choosePrimary(failed *Server) {
	now := time.Now()
	group.mu.Lock()
	defer group.mu.Unlock()
	var best *Server
	for _, server := range group.servers {
		if server != failed && server.up() && (best == nil || server.position(now) > best.position(now)) {
			best = server
		}
	}
	if best == nil && failed.up() {
		best = failed
	}
	group.fork(best, now)
	group.primary, group.needsPrimary = best, best == nil
}

// handleRestart makes a restarted server the primary if the last failover found no running server.
func (group *Group) handleRestart(server *Server) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.needsPrimary {
		group.fork(server, time.Now())
		group.primary, group.needsPrimary = server, false
	}
}

// Promote makes a running server the primary of its group, as an operator would to restore the original primary. A
// failover in progress still replaces it.
func (server *Server) Promote() {
	up := server.up()
	server.group.mu.Lock()
	defer server.group.mu.Unlock()
	if up {
		server.group.fork(server, time.Now())
		server.group.primary, server.group.needsPrimary = server, false
	}
}

// isPrimary reports whether a server is the current primary.
func (group *Group) isPrimary(server *Server) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	return group.primary == server
}

// Start is the start of a request at a data server. It is recorded if Fleet.RecordStarts is set.
type Start struct {
	ID    string
	Group int64
	At    time.Time
}

const maxRecordedStarts = 1 << 20 // for each group

// recordStart records the start of a request.
func (group *Group) recordStart(id string) {
	if !group.fleet.RecordStarts {
		return
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	if len(group.starts) < maxRecordedStarts {
		group.starts = append(group.starts, Start{id, group.number, time.Now()})
	}
}

// Starts returns the recorded starts of all groups.
func (running *Running) Starts() (starts []Start) {
	for _, group := range running.Groups {
		group.mu.Lock()
		starts = append(starts, group.starts...)
		group.mu.Unlock()
	}
	return starts
}

// openAttempt is an open attempt.
type openAttempt struct{ closed func() bool }

// addAttempt registers an open attempt. An earlier attempt counts as open only if the router has not closed its
// connection.
func (group *Group) addAttempt(id string, attempt *openAttempt) {
	group.mu.Lock()
	defer group.mu.Unlock()
	group.audit.Requests++
	if previous := group.openAttempts[id]; previous != nil && !previous.closed() {
		group.audit.ConcurrentAttempts++
	}
	group.openAttempts[id] = attempt
}

// removeAttempt unregisters an attempt.
func (group *Group) removeAttempt(id string, attempt *openAttempt) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if group.openAttempts[id] == attempt {
		delete(group.openAttempts, id)
	}
}

// updateAudit updates the counters with the lock held.
func (group *Group) updateAudit(update func(*Audit)) {
	group.mu.Lock()
	defer group.mu.Unlock()
	update(&group.audit)
}

// checkSession records the position of a session's write, or checks that of a read against it.
func (group *Group) checkSession(name string, write bool, position int64) {
	group.mu.Lock()
	defer group.mu.Unlock()
	if write {
		group.lastWrites[name] = max(group.lastWrites[name], position)
	} else if last := group.lastWrites[name]; last > 0 {
		if group.audit.OwnReads++; position < last {
			group.audit.StaleReads++
		}
	}
}

// draw returns a random duration between a min and a max.
func (group *Group) draw(bounds [2]time.Duration) time.Duration {
	group.mu.Lock()
	defer group.mu.Unlock()
	return bounds[0] + time.Duration(group.rng.Float64()*float64(bounds[1]-bounds[0]))
}

// Start starts the data servers and the discovery agent on loopback.
func (fleet *Fleet) Start() (*Running, error) {
	running := &Running{Agent: newAgent(), Rates: &Rates{}}
	running.Agent.lists = &running.Rates.Lists
	if len(fleet.Zones) == 0 {
		fleet.Zones = []string{"a"}
	}
	for groupIndex := range fleet.Groups {
		group := &Group{fleet: fleet, number: int64(groupIndex + 1), agent: running.Agent, rates: running.Rates, keys: map[string]time.Time{}, lastWrites: map[string]int64{}, openAttempts: map[string]*openAttempt{},
			rng: rand.New(rand.NewPCG(fleet.Seed, uint64(groupIndex)))}
		running.Groups = append(running.Groups, group)
		for member := range fleet.Members {
			server := &Server{Name: fmt.Sprintf("s-%d-%d", groupIndex+1, member+1), Zone: fleet.Zones[(groupIndex+member)%len(fleet.Zones)], group: group,
				cores: make(chan struct{}, fleet.Cores)}
			group.servers = append(group.servers, server)
			if err := server.start("127.0.0.1:0", false); err != nil {
				running.Stop()
				return nil, err
			}
			running.Agent.publish(server, "SERVING")
		}
		group.primary = group.servers[0]
		if fleet.Retain > 0 {
			first := &history{History: cursor.History{Era: 1, ID: group.rng.Uint32()}}
			for _, server := range group.servers {
				server.history = first
			}
		}
	}
	return running, running.Agent.start()
}

// Running is a running fleet.
type Running struct {
	Groups []*Group
	Agent  *Agent
	Rates  *Rates
}

// Servers returns all servers, group by group.
func (running *Running) Servers() []*Server {
	var servers []*Server
	for _, group := range running.Groups {
		servers = append(servers, group.servers...)
	}
	return servers
}

// Audit returns the sum of the counters of all groups.
func (running *Running) Audit() Audit {
	var total Audit
	for _, group := range running.Groups {
		group.mu.Lock()
		total.add(group.audit)
		group.mu.Unlock()
	}
	return total
}

// Stop stops all servers and the agent.
func (running *Running) Stop() {
	for _, server := range running.Servers() {
		server.Kill()
	}
	running.Agent.Stop()
}

// Any returns the address of a server for a request: the primary for a write, otherwise a replica chosen by turn.
func (group *Group) Any(write bool, turn int) string {
	group.mu.Lock()
	primary := group.primary
	group.mu.Unlock()
	if primary != nil && (write || len(group.servers) == 1) {
		return primary.Addr()
	}
	for offset := range group.servers {
		if server := group.servers[(turn+offset)%len(group.servers)]; server != primary {
			return server.Addr()
		}
	}
	return group.servers[0].Addr()
}
