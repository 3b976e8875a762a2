// Package emulator holds what a router meets, written from the protocol alone:
// data servers in replicated groups, the agent that lists them, and the front
// that deals out connections. They are for experiments on loopback, not models of
// real machines; what they draw follows from a seed.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lotushook/policy/cursor"
)

// Class is what a data server does with a class of requests.
type Class struct {
	Write   bool
	Bound   time.Duration // a read may see data of this age; 0: only a position that it names binds
	Work    [2]time.Duration
	Session bool
	Feed    bool // reads of the group's log
	Value   int  // bytes of a read's value at least; it begins with what names the request
}

// Fleet describes the groups.
type Fleet struct {
	Groups, Members int
	Cores           int           // requests in work at a time
	Queue           int           // that wait beside them; beyond it a request is turned away
	Ship            time.Duration // until a replica has a commit
	Apply           time.Duration // one commit's time in a replica's one thread
	ColdShare       float64       // of its capacity that a server starts with
	Ramp            time.Duration // until it has all
	Takeover        time.Duration // from a primary's death to the next one
	Zones           []string      // members are spread over them
	Retain          int           // events of a group's log that can be read; 0: there is no log
	Classes         map[string]Class
	Seed            uint64
	Note            bool // keep who began when
	Record          bool // of each request that ran, up to mostRan a group
}

// Ran is one request that a data server has done, or turned away as one that it can't do.
type Ran struct {
	ID, Session, Server string
	Write, Missed       bool
	Pos                 int64 // Unix ms: up to where the answer saw the log; a write's commit
}

const maxRecordedRuns = 1 << 18

func (g *Group) ranOne(r Ran) {
	if !g.fleet.Record {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.ran) < maxRecordedRuns {
		g.ran = append(g.ran, r)
	}
}

// Ran is what all groups have recorded.
func (r *Running) Ran() (all []Ran) {
	for _, g := range r.Groups {
		g.mu.Lock()
		all = append(all, g.ran...)
		g.mu.Unlock()
	}
	return all
}

// Group is one replicated set: its first member starts as the primary.
type Group struct {
	fleet   *Fleet
	number  int64
	servers []*Server
	agent   *Agent
	rates   *Rates

	mu          sync.Mutex
	primary     *Server // nil: none yet
	vacant      bool    // nobody was up to follow it
	keys        map[string]time.Time
	wrote       map[string]int64  // the last commit of each session, Unix ms
	open        map[string]*visit // by request id
	audit       Audit
	began       []Began // where Fleet.Note
	ran         []Ran
	attempts    []Attempt // where Fleet.Record
	rng         *rand.Rand
	lose        int           // events, at the next take-over
	clockOffset time.Duration // that the clock was set back
}

// Audit is what the data servers of a group saw.
type Audit struct {
	Requests  int // that began
	Writes    int // that ran
	Dropped   int // repeats of a key
	Doubled   int // that came while another attempt of theirs was open
	Misses    int
	Rejected  int
	Probes    int
	OwnReads  int // session reads of a session that has written here
	Stale     int // of these, answered as of before its last commit
	FeedReads int
	Late      int // that came over 1 s after the list said that the server drains
}

func (a *Audit) add(b Audit) {
	a.Requests += b.Requests
	a.Writes += b.Writes
	a.Dropped += b.Dropped
	a.Doubled += b.Doubled
	a.Misses += b.Misses
	a.OwnReads += b.OwnReads
	a.Stale += b.Stale
	a.Rejected += b.Rejected
	a.Probes += b.Probes
	a.Late += b.Late
	a.FeedReads += b.FeedReads
}

const keysFor = 5 * time.Second

// commit runs a write at the primary: it returns its position, in Unix ms, and
// whether the key was new.
func (g *Group) commit(s *Server, key string, now time.Time) (pos int64, ran bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	pos = now.UnixMilli() + 1
	if at, ok := g.keys[key]; ok && now.Sub(at) < keysFor {
		g.audit.Dropped++
		return pos, false
	}
	if len(g.keys) > 1<<14 {
		for k, at := range g.keys {
			if now.Sub(at) >= keysFor {
				delete(g.keys, k)
			}
		}
	}
	g.keys[key] = now
	g.audit.Writes++
	pos = g.note(s, pos, key)
	for _, r := range g.servers {
		if r != s {
			r.ship(now)
		}
	}
	return pos, true
}

// fail takes note that a server has died: a primary is followed by the replica
// that has most of the log.
func (g *Group) fail(s *Server) {
	g.mu.Lock()
	was := g.primary == s
	if was {
		g.primary = nil
	}
	g.mu.Unlock()
	if was {
		time.AfterFunc(g.fleet.Takeover, func() { g.follow(s) })
	}
}

// follow names who comes after a primary that died. That one may be back already, cold and with nothing new in its
// log: it is no rival to those that served on, or it would take its role back and run all writes with a fifth of
// what it could do before. Where nobody is up, the first to come back follows.
func (g *Group) follow(dead *Server) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var best *Server
	for _, r := range g.servers {
		if r != dead && r.up() && (best == nil || r.position(now) > best.position(now)) {
			best = r
		}
	}
	if best == nil && dead.up() {
		best = dead
	}
	g.fork(best, now)
	g.primary, g.vacant = best, best == nil
}

// returned takes the primary's place where nobody was left to follow.
func (g *Group) returned(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.vacant {
		g.fork(s, time.Now())
		g.primary, g.vacant = s, false
	}
}

// Promote makes a server that is up its group's primary, as operators do who want one back where it was. A take-over
// that is on its way changes it again.
func (s *Server) Promote() {
	up := s.up()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if up {
		s.group.fork(s, time.Now())
		s.group.primary, s.group.vacant = s, false
	}
}

func (g *Group) isPrimary(s *Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary == s
}

// Began is a request that a data server began to work on, kept where Fleet.Note asks for it.
type Began struct {
	ID    string
	Group int64
	At    time.Time
}

const maxRecordedStarts = 1 << 20 // of a group

// begin keeps one.
func (g *Group) begin(id string) {
	if !g.fleet.Note {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.began) < maxRecordedStarts {
		g.began = append(g.began, Began{id, g.number, time.Now()})
	}
}

// Began is what all groups kept.
func (r *Running) Began() (all []Began) {
	for _, g := range r.Groups {
		g.mu.Lock()
		all = append(all, g.began...)
		g.mu.Unlock()
	}
	return all
}

// visit is one attempt while it is open.
type visit struct{ gone func() bool }

// enter notes an attempt; one whose connection the router has closed is given up.
func (g *Group) enter(id string, v *visit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.audit.Requests++
	if old := g.open[id]; old != nil && !old.gone() {
		g.audit.Doubled++
	}
	g.open[id] = v
}

func (g *Group) leave(id string, v *visit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[id] == v {
		delete(g.open, id)
	}
}

func (g *Group) count(f func(*Audit)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.audit)
}

// session notes a session's commit, or holds a read against the last one.
func (g *Group) session(name string, write bool, pos int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if write {
		g.wrote[name] = max(g.wrote[name], pos)
	} else if last := g.wrote[name]; last > 0 {
		if g.audit.OwnReads++; pos < last {
			g.audit.Stale++
		}
	}
}

func (g *Group) draw(r [2]time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r[0] + time.Duration(g.rng.Float64()*float64(r[1]-r[0]))
}

// Start starts the groups' servers on loopback and the agent that lists them.
func (f *Fleet) Start() (*Running, error) {
	r := &Running{Agent: newAgent(), Rates: &Rates{}}
	r.Agent.lists = &r.Rates.Lists
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	for n := range f.Groups {
		g := &Group{fleet: f, number: int64(n + 1), agent: r.Agent, rates: r.Rates, keys: map[string]time.Time{}, wrote: map[string]int64{}, open: map[string]*visit{},
			rng: rand.New(rand.NewPCG(f.Seed, uint64(n)))}
		r.Groups = append(r.Groups, g)
		for m := range f.Members {
			s := &Server{Name: fmt.Sprintf("s-%d-%d", n+1, m+1), Zone: f.Zones[(n+m)%len(f.Zones)], group: g,
				cores: make(chan struct{}, f.Cores)}
			g.servers = append(g.servers, s)
			if err := s.start("127.0.0.1:0", false); err != nil {
				r.Stop()
				return nil, err
			}
			r.Agent.put(s, "SERVING")
		}
		g.primary = g.servers[0]
		if f.Retain > 0 {
			first := &history{History: cursor.History{Era: 1, ID: g.rng.Uint32()}}
			for _, s := range g.servers {
				s.history = first
			}
		}
	}
	return r, r.Agent.start()
}

// Running is a fleet that runs.
type Running struct {
	Groups []*Group
	Agent  *Agent
	Rates  *Rates
}

// Servers are all servers, by group.
func (r *Running) Servers() []*Server {
	var all []*Server
	for _, g := range r.Groups {
		all = append(all, g.servers...)
	}
	return all
}

// Audit sums up what all groups saw.
func (r *Running) Audit() Audit {
	var sum Audit
	for _, g := range r.Groups {
		g.mu.Lock()
		sum.add(g.audit)
		g.mu.Unlock()
	}
	return sum
}

// Stop ends all.
func (r *Running) Stop() {
	for _, s := range r.Servers() {
		s.Kill()
	}
	r.Agent.Stop()
}

// Any is the address of a server that takes a request: the primary for a write,
// otherwise one of the others by turns.
func (g *Group) Any(write bool, turn int) string {
	g.mu.Lock()
	primary := g.primary
	g.mu.Unlock()
	if primary != nil && (write || len(g.servers) == 1) {
		return primary.Addr()
	}
	for i := range g.servers {
		if s := g.servers[(turn+i)%len(g.servers)]; s != primary {
			return s.Addr()
		}
	}
	return g.servers[0].Addr()
}
