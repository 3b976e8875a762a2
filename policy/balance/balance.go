package balance

// The decisions of the router; types, events and actions: interface.go. The mechanism is RSI-PC of the
// Ganymed paper: updates go to the primary, other reads to a replica whose last known log position covers
// them, least pending requests first; with no such replica the read is held, then diverted.
// Each departure is marked "Departure:" and listed in docs/design.md.

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"lotushook/policy/quota"
	"lotushook/policy/zone"
)

// Tuned values. All are dimensionless; spans come from the settings or from traffic.
const (
	tickBatches    = 4     // health and holds are looked at once in so many batches
	startLimit     = 12.0  // pending per node, over all routers, before its answers have taught better
	leastLimit     = 1.0   // a limit never falls under this, or a slow node could not show that it recovered
	fullLoad       = 0.35  // answers may take this share of their aim on average before the limit shrinks
	step           = 0.2   // of one pending, per answer: a limit shrinks or grows by about a fifth a round trip
	calmWeight     = 3.0   // answers of a calm group that count beside those lately heard
	loadWeight     = 0.1   // weight of the newest answer in a load, and of the newest window in a node's part
	leaveWeight    = 8.0   // a client that left says so much more of patience than one that was served
	workWeight     = 0.05  // weight of the newest answer in a class's learned work
	firstWork      = 0.2   // a class's work before any answer, as a share of its aim
	hallLeast      = 3     // silent servers of a hall, with no answer from any, that make it dark
	silentScore    = 12.0  // silent attempts' ages over their usual ages, summed, that make a node suspect
	failsToSuspect = 4     // failures in a row; fewer may be a full connection table, or all nodes' fault
	lostLeast      = 0.003 // share of attempts lately lost, from which one that is slow is taken for lost
	lostWeight     = 0.01  // weight of the newest attempt in that share
	lostWork       = 5.0   // usual times of an answer after which an attempt is slow
	errWeight      = 0.3   // weight of the newest answer in a node's share of errors: few have any
	lostAim        = 0.5   // of its aim it is given at least
	backoffMax     = 8     // longest pause before a suspect's next trial, in shortest aims
	holdShare      = 0.125 // of its aim a read is held for a passing proof before it is diverted
	canaryShare    = 0.25  // of the shortest aim: pause between canaries after the first round
	windowRoom     = 0.125 // of a key's window left for the trip of a repeat
	scanDepth      = 16    // held requests of a class looked at for one that can go
	lateFactor     = 3.0   // late worth must exceed the price of failing late so many times to wait past the aim
	tokenDeadlines = 16    // session tokens are remembered for so many longest deadlines
	coldAim        = 0.8   // of a cold node's budget that its routers aim at in sum: the rest is for chance
	coldRecent     = 0.5   // of OverloadFor: the span over which asked work fades, by which a jump is seen
	foreign        = 4.0   // reads at a primary, and writes at a replica, have so much less of its budget
	blockLeast     = 0.5   // share of long answers of a class with which a replica had applied nothing meanwhile
)

const second = 1e9

type node struct {
	id                       uint32
	g                        *group
	zone                     string
	weight                   float64
	state                    Lifecycle
	started, lastAns         Nanos
	withdrawn, listed        bool  // the list calls it gone; calls it primary
	pos, posAt               Nanos // proven log position, which never falls back, and when it was told
	role                     Role
	out                      []*attempt
	limit                    float64
	load, errs               float64 // means: answer time over aim; errors among answers
	fails, busy              int     // in a row
	suspect, probing, down   bool    // down: refused connections since its last answer
	trialAt, backoff         Nanos
	pauseTill                Nanos // said busy
	canaryAt                 Nanos
	metTill                  Nanos // an idle connection to it is likely until then
	coldAt                   Nanos // while cold: start of the present window, work sent in it, and its draw
	coldWork, coldLast, draw float64
}

// pick is the choice so far among nodes offered one by one.
type pick struct {
	n                *node
	pending, chances float64
	met              bool
}

type attempt struct {
	r         *request
	n         *node
	no        int
	sent      Nanos
	done, ran bool // ran: may have run
}

type request struct {
	id                          string
	seq                         int64
	c, q                        int // its class and its group's queue
	g                           *group
	key                         tokenKey
	need                        Nanos // log position that the read must see
	came, aim, deadline, heldAt Nanos
	attempts                    []*attempt
	live                        int
	queued, missed, ended       bool
	sent                        bool    // an attempt reached its node
	luck, recent                float64 // of cold nodes: its attempt's draw; the router's recent work as it came
}

type tokenKey struct {
	group   int64
	session string
}

type token struct {
	tokenKey
	pos, at Nanos
}

type group struct {
	id                        int64
	members                   []*node // by id
	primary                   *node   // last named primary by list or answers
	primaryPos                Nanos   // position of the answer that named it
	canary                    *attempt
	canaryAt, probeAt, learnt Nanos
	floor                     Nanos        // commits up to here are no longer remembered one by one
	queues                    [][]*request // two a class: within the tenant's quota, over it
	shares, count             float64      // answers' shares of their aims, summed, and how many: of late
	asked, want               [2]float64   // work asked in this window, and usually: of replicas, of the primary
	dirty                     bool
}

// Balancer is one router instance. It is not safe for concurrent use.
type Balancer struct {
	set             Settings
	now             Nanos
	rng             uint64
	seq             int64
	acts            []Action
	nodes           map[uint32]*node
	groups          map[int64]*group
	order           []*group // by first sight
	requests        map[string]*request
	bySeq           map[int64]*request
	tokens          map[tokenKey]Nanos
	history         []token   // in order of arrival
	patience        []float64 // by class: the aim, or how long its clients wait where they often leave earlier
	work            []float64 // by class: learned time of an answer without waiting
	rank            []int     // queues, most worth for work first
	part, routers   float64   // work that a warm node of size 1 does for it a second; by how many all is divided
	answered        float64   // work answered since partAt
	recent          float64   // work asked of this router, as it had faded at askedAt
	lost            float64   // share of attempts that were lost at nodes that answered others
	partAt, askedAt Nanos
	halls           *zone.Halls
	want            [2]float64 // as a group's, the mean of all groups
	quotas          *quota.Quotas
	blocks          []float64 // by class: share of long answers at replicas that had applied nothing meanwhile
	minAim, maxDead Nanos
	ticking         bool
}

// New returns a router that knows nothing but its settings.
func New(s Settings, seed uint64) (b *Balancer, err error) {
	if err := validate(&s); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	b = &Balancer{set: s, rng: seed, nodes: map[uint32]*node{}, groups: map[int64]*group{},
		blocks: make([]float64, len(s.Classes)), requests: map[string]*request{},
		bySeq: map[int64]*request{}, tokens: map[tokenKey]Nanos{}, minAim: s.Classes[0].Aim,
		part: 1 / float64(s.Instances), routers: float64(s.Instances)}
	for i := range s.Classes {
		c := &s.Classes[i]
		b.minAim, b.maxDead = min(b.minAim, c.Aim), max(b.maxDead, c.Deadline)
		b.work = append(b.work, firstWork*float64(c.Aim))
		b.patience = append(b.patience, float64(c.Aim))
		b.rank = append(b.rank, 2*i, 2*i+1)
	}
	b.quotas = quota.New(s.quotas())
	b.rankQueues()
	b.halls, err = zone.New(zone.Settings{Servers: hallLeast, Pause: b.minAim, MaxPause: backoffMax * b.minAim})
	return b, err
}

// Step takes a batch's events and returns what to do now. A clock earlier than the last counts as the last.
func (b *Balancer) Step(now Nanos, events []Event) []Action {
	b.now = max(b.now, now)
	b.acts = nil
	for i := range events {
		b.event(&events[i])
	}
	for _, g := range b.order {
		b.pump(g)
	}
	if !b.ticking && len(b.requests) > 0 {
		b.ticking = true
		b.act(Action{Kind: Timer, At: b.now + tickBatches*b.set.Granularity})
	}
	return b.acts
}

func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

func (b *Balancer) log(why Reason, n *node, format string, args ...any) {
	b.act(Action{Kind: Log, Why: why, Node: n.id, Text: fmt.Sprintf(format, args...)})
}

// draw is seeded, from 0 to 1: the top bits of a 64-bit linear congruence, short enough to port.
func (b *Balancer) draw() float64 {
	b.rng = b.rng*6364136223846793005 + 1442695040888963407
	return float64(b.rng>>11) / (1 << 53)
}

func (b *Balancer) event(e *Event) {
	switch e.Kind {
	case NodesFull, NodesChanged:
		b.list(e)
	case Divided:
		b.routers = 1 / e.Share
	case ListLost:
		b.act(Action{Kind: Follow})
	case RequestIn:
		if b.requests[e.Request] == nil {
			b.request(e)
		}
	case AttemptDone:
		b.outcome(e)
	case ProbeDone:
		b.probed(e)
	case RequestGone:
		if r := b.requests[e.Request]; r != nil && !r.ended {
			b.patience[r.c] += leaveWeight * workWeight * min(0, float64(b.now-r.came)-b.patience[r.c])
			b.end(r)
		}
	case Wakeup:
		if e.Tag == 0 {
			b.tick()
		} else if r := b.bySeq[e.Tag]; r != nil && r.queued {
			b.expire(r)
		}
	}
}

func (b *Balancer) list(e *Event) {
	first := len(b.nodes) == 0
	seen := map[uint32]bool{}
	for i := range e.Nodes {
		seen[e.Nodes[i].Node] = true
		b.entry(&e.Nodes[i])
	}
	for _, g := range b.order {
		for _, n := range g.members {
			if e.Kind == NodesFull && !seen[n.id] {
				b.setState(n, Gone)
			}
		}
		g.members = slices.DeleteFunc(g.members, b.forgotten)
		g.dirty = true
	}
	if first && b.set.Subscribe {
		b.act(Action{Kind: Follow})
	}
}

// forgotten drops a node that was withdrawn and is silent for long, so that replaced ones don't pile up.
func (b *Balancer) forgotten(n *node) bool {
	old := n.withdrawn && len(n.out) == 0 && n != n.g.primary && b.now-n.lastAns > tokenDeadlines*b.maxDead
	if old {
		delete(b.nodes, n.id)
	}
	return old
}

func (b *Balancer) group(id int64) *group {
	g := b.groups[id]
	if g == nil {
		g = &group{id: id, queues: make([][]*request, 2*len(b.set.Classes))}
		b.groups[id] = g
		b.order = append(b.order, g)
	}
	return g
}

func (b *Balancer) entry(e *NodeEntry) {
	n := b.nodes[e.Node]
	if n == nil {
		limit := max(leastLimit, startLimit/b.routers)
		n = &node{id: e.Node, g: b.group(e.Group), limit: limit, load: firstWork, lastAns: b.now}
		b.nodes[e.Node] = n
		n.g.members = append(n.g.members, n)
		slices.SortFunc(n.g.members, func(x, y *node) int { return cmp.Compare(x.id, y.id) })
	}
	n.zone, n.weight = e.Zone, cmp.Or(max(e.Weight, 0), 1)
	if e.Started > n.started {
		n.started, n.trialAt, n.coldAt = e.Started, b.now, 0
	}
	b.setState(n, e.State)
	b.listedRole(n, e.Primary)
}

// setState: drain and removal bind from the batch that tells them.
func (b *Balancer) setState(n *node, s Lifecycle) {
	n.withdrawn = s == Gone
	if s != Gone || !b.set.SoftRemoval || n.state != Ready {
		n.state = s
	}
	if n.state != Ready && n.g.primary == n {
		n.g.primary = nil
	}
}

// listedRole believes the list only where no answer knows better.
func (b *Balancer) listedRole(n *node, primary bool) {
	g, news := n.g, primary && !n.listed
	n.listed = primary
	known := b.set.RoleView == RoleHidden || (b.set.RoleView == RoleStatic && b.seq > 0)
	if news && !known && n.state == Ready && (g.primary == nil || g.primary.suspect) {
		g.primary = n
	}
}

// told takes a node's own word on role and position.
func (b *Balancer) told(n *node, role Role, pos Nanos) {
	g := n.g
	g.dirty = true
	if pos > 0 {
		n.pos, n.posAt = max(n.pos, pos), b.now
	}
	if role != RoleUnknown {
		n.role = role
	}
	switch {
	case role == Primary && n.state == Ready && (g.primary == nil || n.pos >= g.primaryPos):
		if g.primary != n {
			b.log(Named, n, "group %d: node %d is primary", g.id, n.id)
		}
		g.primary, g.primaryPos = n, max(g.primaryPos, pos)
	case role == Replica && g.primary == n:
		b.log(Denied, n, "group %d: node %d is primary no more", g.id, n.id)
		g.primary = nil
	}
}

func (b *Balancer) outcome(e *Event) {
	r := b.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return
	}
	a := r.attempts[e.Attempt]
	n := a.n
	a.done, n.g.dirty = true, true
	r.live--
	n.out = slices.DeleteFunc(n.out, func(x *attempt) bool { return x == a })
	b.judge(a, e)
	a.ran = !slices.Contains([]Outcome{Busy, Refused, Skipped, Miss}, e.Outcome)
	r.missed = r.missed || e.Outcome == Miss
	r.sent = r.sent || (e.Outcome != Refused && e.Outcome != Skipped)
	b.commit(r, e) // also after the request's end: the session must see what its answer proves
	switch {
	case r.ended:
		b.forget(r)
	case e.Finished || e.Outcome == Done:
		b.end(r)
	case e.Outcome != Skipped && b.mayRepeat(r, nil) && b.now < b.lastStart(r) && (!a.ran || !b.crowded(r.g)):
		b.enqueue(r)
	default:
		b.giveUp(r, b.spent(r))
	}
}

// judge learns of the node from how an attempt ended.
func (b *Balancer) judge(a *attempt, e *Event) {
	n, c, work := a.n, a.r.c, b.work[a.r.c]
	switch took := float64(b.now - a.sent); e.Outcome {
	case Done:
		b.weigh(n, took/b.patience[c])
		b.patience[c] += workWeight * (float64(b.set.Classes[c].Aim) - b.patience[c])
		b.work[c] += workWeight * (took - work)
		b.answered += work
		if n != n.g.primary && took > float64(b.minAim)/2 && e.Position > 0 {
			b.blocks[c] += errWeight * (min(1, float64(b.now-e.Position)/took) - b.blocks[c])
		}
		n.errs -= errWeight * n.errs
		b.lost -= lostWeight * b.lost
		b.clear(n)
	case Miss:
		n.canaryAt = b.now // it is no primary: a write moves on to the others first
		b.clear(n)
	case Busy:
		// A full or draining node answers fast and would look idle: it gets less, after a growing pause.
		n.busy++
		n.limit = max(b.leastOf(n), n.limit-step)
		b.pause(n, Nanos(work))
	case Failed, Refused, Reset:
		if e.Outcome == Refused && b.now-a.sent > Nanos(work) && b.set.Probing { // it said nothing
			b.halls.Silent(n.zone, n.id, a.sent, b.now)
		} else if e.Outcome == Failed {
			n.errs += errWeight * (1 - n.errs)
			if e.Role == Primary { // it is there, and nobody else takes what only it can do
				n.pauseTill = b.now + Nanos(work/2)
				break
			}
		}
		n.down, n.metTill = n.down || e.Outcome == Refused, 0
		b.failed(n, Nanos(work))
	case Canceled, TimedOut:
		// What ends unanswered was slow, else only survivors would count; for one aim at most, as it may be heavy.
		late := e.Outcome == TimedOut
		if late && n.lastAns > a.sent && n.load <= fullLoad {
			b.lost += lostWeight * (1 - b.lost)
		}
		b.weigh(n, max(n.load, min(took/b.patience[c], 1)))
		if late && n.lastAns <= a.sent {
			if b.set.Probing { // on open connections a lost hall shows only by this
				b.halls.Silent(n.zone, n.id, a.sent, b.now)
			}
			b.failed(n, Nanos(work))
		}
	}
	if slices.Contains([]Outcome{Done, Miss, Busy, Failed}, e.Outcome) {
		b.halls.Answered(n.zone, b.now)
		n.lastAns, n.metTill = b.now, b.now+b.set.IdleClose/2
		b.told(n, e.Role, e.Position)
	}
}

// weigh moves the node's load by one attempt's share of its aim, and its limit after it.
func (b *Balancer) weigh(n *node, share float64) {
	n.load += loadWeight * (min(share, 2) - n.load)
	n.g.learn(b.now, b.maxDead, share, 1)
	if n.load > fullLoad {
		n.limit = max(b.leastOf(n), n.limit-step)
	} else if float64(len(n.out)+1) >= n.limit-1 {
		n.limit += min(1/n.limit, step*n.limit)
	}
}

// leastOf is the least limit: this router's part of the cores, which work side by side however slow.
func (b *Balancer) leastOf(n *node) float64 {
	return max(leastLimit, n.weight/b.routers)
}

func (b *Balancer) clear(n *node) {
	if n.suspect {
		b.log(Recovered, n, "node %d answers again", n.id)
	}
	if n.down { // its process was gone: it is cold, though the list may tell that late or never
		n.started = b.now
	}
	n.down, n.fails, n.busy, n.suspect, n.backoff, n.pauseTill = false, 0, 0, false, 0, 0
}

// pause keeps the least bad of a group whose members all fail from being asked in a tight loop.
func (b *Balancer) pause(n *node, work Nanos) {
	n.pauseTill = b.now + min(work<<min(n.fails+n.busy, 8), b.minAim)
}

// failed guards against nodes that fail fast, which look idle to LPRF.
func (b *Balancer) failed(n *node, work Nanos) {
	b.pause(n, work)
	if n.fails++; n.fails >= failsToSuspect {
		b.suspect(n, "fails")
	}
}

func (b *Balancer) suspect(n *node, why string) {
	if !n.suspect {
		b.log(Suspected, n, "node %d suspect: %s", n.id, why)
	} else if b.now < n.trialAt {
		return
	}
	n.suspect, n.g.dirty = true, true
	n.backoff = min(max(2*n.backoff, b.minAim), backoffMax*b.minAim)
	n.trialAt = b.now + n.backoff
}

// probed takes a probe's word on role and position; it is answered beside the queue and proves no health.
func (b *Balancer) probed(e *Event) {
	if n := b.nodes[e.Node]; n != nil && n.probing {
		if e.Outcome == Done {
			b.halls.Answered(n.zone, b.now)
		}
		role := e.Role
		if n.probing = false; n.role != RoleUnknown {
			role = RoleUnknown // a report is old: its role must not bring back what an answer denied
		}
		b.told(n, role, e.Position) // both empty where the probe failed
		if e.Reported {
			n.load = firstWork * (1 + float64(e.Waiting)/float64(max(1, e.Active-e.Waiting)))
			n.g.learn(b.now, b.maxDead, n.load, 1)
		}
	}
}

func (b *Balancer) probe(n *node) {
	if n != nil && b.set.Probing && !n.probing && n.state == Ready {
		n.probing, n.g.probeAt = true, b.now+b.minAim/4
		b.act(Action{Kind: Probe, Node: n.id})
	}
}

func (b *Balancer) request(e *Event) {
	if e.Class < 0 || e.Class >= len(b.set.Classes) {
		b.act(Action{Kind: Refuse, Why: Unknown, Request: e.Request})
		return
	}
	b.seq++
	c := &b.set.Classes[e.Class]
	g := b.group(e.Group)
	fade := math.Exp(-float64(b.now-b.askedAt) / coldRecent / float64(b.set.OverloadFor))
	b.recent, b.askedAt = b.recent*fade+b.work[e.Class], b.now
	r := &request{id: e.Request, seq: b.seq, c: e.Class, g: g, key: tokenKey{e.Group, e.Session}, came: b.now,
		recent: b.recent, aim: b.now + Nanos(b.patience[e.Class]), deadline: e.Deadline, q: 2 * e.Class}
	if b.quotas.Over(b.now, e.Tenant, b.routers) || e.Over {
		r.q++
	}
	if c.Read == Session {
		r.need = b.tokenFor(r, e)
	}
	b.requests[r.id], b.bySeq[r.seq] = r, r
	g.asked[c.Read/Fresh] += b.work[r.c] // Fresh and Write are the primary's
	// Departure: many routers with one pending each fill a node, so limits can't hold the crowd back. There
	// what is beyond is refused at once, and may come again.
	if b.routers*leastLimit > startLimit && b.crowded(g) {
		b.giveUp(r, Crowd)
	} else {
		b.enqueue(r)
	}
}

// learn counts n answers' share of their aim and returns the mean. What was counted fades within a span, and
// calmWeight answers of a calm group stand beside it: one of many routers hears few before a jam is over.
func (g *group) learn(now, span Nanos, share, n float64) float64 {
	fade := math.Exp(-float64(now-g.learnt) / float64(span))
	g.shares, g.count, g.learnt = g.shares*fade+n*min(share, 2), g.count*fade+n, now
	return (g.shares + calmWeight*firstWork) / (g.count + calmWeight)
}

// crowded draws whether one more request is beyond what a group answers within fullLoad of the aims.
func (b *Balancer) crowded(g *group) bool { return g.learn(b.now, b.maxDead, 0, 0)*b.draw() > fullLoad }

// tokenFor is the position that a session read must see. A session whose writes are no longer remembered
// needs the floor under which tokens were dropped, so that forgetting never lets a stale read through.
func (b *Balancer) tokenFor(r *request, e *Event) Nanos {
	if !b.set.CarriedToken {
		return max(b.tokens[r.key], r.g.floor)
	}
	return b.now - cmp.Or(max(0, e.TokenAge), b.now+second/1000) + second/1000 // no age: any position does
}

func (b *Balancer) commit(r *request, e *Event) {
	if b.set.Classes[r.c].Read != Write || b.set.CarriedToken || r.key.session == "" || e.Outcome != Done {
		return
	}
	pos := cmp.Or(e.Position, b.now)
	b.tokens[r.key] = max(b.tokens[r.key], pos)
	b.history = append(b.history, token{r.key, pos, b.now})
	for len(b.history) > b.set.MaxHeld || b.history[0].at < b.now-tokenDeadlines*b.maxDead {
		t := b.history[0]
		b.history = b.history[1:]
		if b.tokens[t.tokenKey] == t.pos {
			delete(b.tokens, t.tokenKey)
			b.groups[t.tokenKey.group].floor = max(b.groups[t.tokenKey.group].floor, t.pos)
		}
	}
}

// enqueue holds a request. The newest goes first: in a jam that serves most within their aim, and their
// clients' patience, instead of starting each one too late; the oldest is refused.
func (b *Balancer) enqueue(r *request) {
	r.queued, r.heldAt = true, b.now
	r.g.queues[r.q] = append(r.g.queues[r.q], r)
	r.g.dirty = true
	b.act(Action{Kind: Timer, At: max(b.lastStart(r), b.now+1), Tag: r.seq})
}

// lastStart is the latest time at which starting the request can still earn something: past its aim only
// where late worth outweighs the price of failing late, past half of its time only if that is not charged.
func (b *Balancer) lastStart(r *request) Nanos {
	c, last := &b.set.Classes[r.c], r.deadline
	if c.LateWorth <= lateFactor*b.set.LateFailPrice {
		last = min(last, r.aim)
	}
	last -= max(Nanos(b.work[r.c]), 2*b.set.Granularity)
	if b.set.HalfwayBound && !r.sent {
		last = min(last, r.came+(r.deadline-r.came)/2)
	}
	return last
}

func (b *Balancer) expire(r *request) {
	if last := b.lastStart(r); b.now < last {
		b.act(Action{Kind: Timer, At: last, Tag: r.seq})
	} else {
		b.giveUp(r, b.held(r))
	}
}

// unqueue finds the request by the time since which it is held, in which its queue is ordered.
func (b *Balancer) unqueue(r *request) {
	q := r.g.queues[r.q]
	i, _ := slices.BinarySearchFunc(q, r, func(x, y *request) int { return cmp.Compare(x.heldAt, y.heldAt) })
	for q[i] != r {
		i++
	}
	r.queued, r.g.queues[r.q] = false, slices.Delete(q, i, i+1)
}

// giveUp ends a request at once: refused with a time to come back where a repeat is harmless.
func (b *Balancer) giveUp(r *request, why Reason) {
	c := &b.set.Classes[r.c]
	ran := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.ran })
	if c.Effect == Safe || (c.Effect == Keyed && c.Scope == ScopeAll) || !ran {
		a := Action{Kind: Refuse, Why: why, Request: r.id}
		if b.set.RetryAfter {
			a.Wait = min(c.Aim, b.set.MaxRetryAfter)
		}
		b.act(a)
	} else {
		b.act(Action{Kind: Fail, Why: why, Request: r.id})
	}
	b.end(r)
}

// end closes a request after its final answer; attempts still out are called off.
func (b *Balancer) end(r *request) {
	if r.queued {
		b.unqueue(r)
	}
	r.ended = true
	for _, a := range r.attempts {
		if !a.done && b.set.Cancel {
			b.act(Action{Kind: Cancel, Request: r.id, Attempt: a.no})
		}
	}
	b.forget(r)
}

func (b *Balancer) forget(r *request) {
	delete(b.bySeq, r.seq)
	if r.live == 0 {
		delete(b.requests, r.id)
	}
}

// mayRepeat is the one rule on further attempts; with n nil, at the group's nodes at large.
func (b *Balancer) mayRepeat(r *request, n *node) bool {
	if len(r.attempts) >= b.set.MaxAttempts {
		return false
	}
	c := &b.set.Classes[r.c]
	if c.Effect == Safe {
		return true
	}
	for _, a := range r.attempts {
		late := b.now-a.sent > Nanos(float64(c.Window)*(1-windowRoom))
		if a.ran && (c.Effect == Unsafe || late || c.Scope == ScopeZone && n != nil && n.zone != a.n.zone) {
			return false
		}
	}
	return true
}

// pump sends what can go, most worth for work first.
func (b *Balancer) pump(g *group) {
	if !g.dirty {
		return
	}
	g.dirty = false
	for _, i := range b.rank {
		for at, seen := len(g.queues[i])-1, 0; at >= 0 && seen < scanDepth; at, seen = at-1, seen+1 {
			r := g.queues[i][at]
			n := b.place(g, r)
			if n == nil {
				continue
			}
			g.queues[i] = slices.Delete(g.queues[i], at, at+1)
			r.queued = false
			if b.mayRepeat(r, n) {
				b.send(r, n)
			} else { // the window has passed while it waited
				b.giveUp(r, Spent)
			}
		}
	}
}

func (b *Balancer) rankQueues() {
	share := [2]float64{1, b.set.OverShareWorth}
	density := func(i int) float64 { return share[i%2] * b.set.Classes[i/2].Worth / b.work[i/2] }
	slices.SortStableFunc(b.rank, func(x, y int) int {
		return cmp.Or(cmp.Compare(density(y), density(x)), x-y)
	})
}

func (b *Balancer) send(r *request, n *node) {
	a := &attempt{r: r, no: len(r.attempts), n: n, sent: b.now, ran: true}
	if n.suspect {
		n.trialAt = b.now + max(n.backoff, b.minAim)
	}
	if b.set.Classes[r.c].Read == Write && n != n.g.primary {
		n.g.canary = a
	}
	n.out = append(n.out, a)
	r.attempts = append(r.attempts, a)
	r.live++
	n.coldWork, r.luck = n.coldWork+b.work[r.c], 0 // a further attempt has a chance of its own
	b.act(Action{Kind: Send, Why: b.sending(r, n), Request: r.id, Node: n.id, Until: b.until(r, n), Up: b.up(r)})
}

// until is when an attempt is given up. Departure: where attempts were lately lost at nodes that answered
// others, one that takes many times as long as usual at a node that is not busy is lost too, not heavy; and a
// trial of a suspect must not cost its read, where another node could still take it.
func (b *Balancer) until(r *request, n *node) Nanos {
	c, trial := &b.set.Classes[r.c], n.suspect && b.spare(n)
	if !trial && (b.lost < lostLeast || n.load > fullLoad) || c.Effect == Unsafe || !b.mayRepeat(r, n) {
		return r.deadline
	}
	end := min(r.deadline, b.now+max(Nanos(lostWork*b.work[r.c]), Nanos(lostAim*b.patience[r.c])))
	if trial {
		end = max(b.now, min(end, b.lastStart(r)-Nanos(b.work[r.c])))
	}
	return end
}

// up is when an attempt without a connection is given up: half of the time in which the request could still
// start goes to one node that may be gone, and the rest is there for another.
func (b *Balancer) up(r *request) Nanos {
	return b.now + max((b.lastStart(r)-b.now)/2, Nanos(b.work[r.c]))
}

// spare says whether another member could take what a node has.
func (b *Balancer) spare(n *node) bool {
	return slices.ContainsFunc(n.g.members, func(m *node) bool { return m != n && b.usable(m) })
}

// place chooses the node for a held request, or nil to hold it on.
func (b *Balancer) place(g *group, r *request) *node {
	c := &b.set.Classes[r.c]
	p := g.primary
	if c.Read == Write && !b.usable(p) && (p == nil || p.suspect || p.fails+p.busy > 0 || b.dark(p)) {
		return b.canary(g, r)
	} else if c.Read == Write {
		return b.ifRoom(p, r)
	} else if n := b.trial(g, r); n != nil {
		return n
	} else if n := b.ifRoom(p, r); c.Read == Fresh {
		return n
	} else if c.Read == Any && b.blocks[r.c] > blockLeast {
		// Departure: a read that keeps a replica from applying costs others the use of it. The primary applies
		// nothing and takes it while it has room; else the replica of least use does, the furthest behind.
		if n == nil || b.tried(r, n) {
			n = g.best(func(n *node) bool { return n != p && !b.tried(r, n) && b.ifRoom(n, r) != nil },
				func(x, y *node) bool { return x.pos < y.pos })
		}
		return cmp.Or(n, b.placeRead(g, r))
	}
	return b.placeRead(g, r)
}

// placeRead is the mechanism: LPRF over the replicas whose position covers the read; else hold, then divert.
func (b *Balancer) placeRead(g *group, r *request) *node {
	var best, ahead pick
	var hope *node
	for _, n := range g.members {
		if n == g.primary || !b.usable(n) || b.tried(r, n) {
			continue
		}
		if hope == nil || n.pos > hope.pos {
			hope = n
		}
		if b.ifRoom(n, r) == nil {
			continue
		} else if b.covers(r, n.pos) {
			b.lighter(&best, n)
		} else if b.covers(r, n.pos+b.now-n.posAt) {
			b.lighter(&ahead, n)
		}
	}
	primary := b.ifRoom(g.primary, r)
	if primary != nil && b.tried(r, primary) {
		primary = nil
	}
	if best.n != nil {
		// Departure: with many routers a crowded replica is full though this router has nothing pending there.
		// Where its answers say so, the primary takes part in the draw.
		if primary != nil && best.n.load > fullLoad {
			b.lighter(&best, primary)
		}
		return best.n
	}
	// Departure: where nodes check, a replica whose position is likely to have moved on far enough since it
	// was told, and failing that the most advanced one, is tried before the read is diverted.
	if b.set.Behind != BehindNone && !r.missed {
		if n := cmp.Or(ahead.n, b.ifRoom(hope, r)); n != nil {
			return n
		}
	}
	// A router among many hears a replica too seldom to know its position: where no attempt tells, it probes.
	if b.now >= g.probeAt && b.set.ProbeReports && b.set.Behind == BehindNone {
		b.probe(cmp.Or(ahead.n, hope))
	}
	if b.now-r.heldAt < Nanos(holdShare*float64(b.set.Classes[r.c].Aim)) && hope != nil && !r.missed {
		return nil
	}
	if primary == nil && hope == nil {
		return b.leastBad(g, r)
	}
	return primary
}

// best picks among the members that pass; the earlier one where neither is better.
func (g *group) best(pass func(*node) bool, better func(x, y *node) bool) *node {
	var best *node
	for _, n := range g.members {
		if pass(n) && (best == nil || better(n, best)) {
			best = n
		}
	}
	return best
}

// leastBad keeps suspicion from emptying a group: with nobody else left, the one heard last.
func (b *Balancer) leastBad(g *group, r *request) *node {
	return g.best(func(n *node) bool {
		return n.suspect && len(n.out) < 2 && !b.tried(r, n) && b.mayAsk(n, r)
	}, func(x, y *node) bool { return x.lastAns > y.lastAns })
}

// trial lets one safe read at a time, which has time for another attempt, find out whether a suspect is back.
func (b *Balancer) trial(g *group, r *request) *node {
	timely := b.now+3*Nanos(b.work[r.c]) < b.lastStart(r)
	if b.set.Classes[r.c].Effect != Safe || len(r.attempts) > 0 || !timely {
		return nil
	}
	return g.best(func(n *node) bool { return n.suspect && b.now >= n.trialAt && b.mayAsk(n, r) },
		func(x, y *node) bool { return x.trialAt < y.trialAt })
}

// mayAsk says whether a suspect may be sent a read at all.
func (b *Balancer) mayAsk(n *node, r *request) bool {
	judged := b.set.Classes[r.c].Read != Fresh && b.set.Behind != BehindNone // by the node itself
	return (n == n.g.primary || judged || b.covers(r, n.pos)) &&
		n.state == Ready && b.now >= n.pauseTill && b.warmRoom(n, r) && !b.dark(n)
}

// canary sends one write at a time while no primary is known: a node that is none turns it away unrun.
// Departure: after one full round (in id order) the members are asked again and again, least lately asked
// and most advanced first, paced, so that a new primary is found although no read passes it.
func (b *Balancer) canary(g *group, r *request) *node {
	out := g.canary != nil && !g.canary.done && !g.canary.n.suspect
	if out || b.now < g.canaryAt || len(r.attempts) >= max(1, b.set.MaxAttempts-1) {
		return nil
	}
	n := g.best(func(n *node) bool { return n != g.primary && b.ifRoom(n, r) != nil },
		func(x, y *node) bool {
			return x.canaryAt < y.canaryAt || (x.canaryAt == y.canaryAt && x.canaryAt > 0 && x.pos > y.pos)
		})
	if n != nil {
		if n.canaryAt > 0 {
			g.canaryAt = b.now + Nanos(canaryShare*float64(b.minAim))
		}
		n.canaryAt = b.now
	}
	return n
}

func (b *Balancer) dark(n *node) bool { return b.halls.Dark(n.zone, n.lastAns) }

func (b *Balancer) usable(n *node) bool {
	return n != nil && n.state == Ready && !n.suspect && b.now >= n.pauseTill && !b.dark(n)
}

// covers says whether a position is enough for a read.
func (b *Balancer) covers(r *request, pos Nanos) bool {
	c := &b.set.Classes[r.c]
	return c.Read == Any || (c.Read == Session && pos >= r.need) || (c.Read == Bounded && pos >= b.now-c.Bound)
}

// tried keeps a further attempt off the nodes that failed the earlier ones.
func (b *Balancer) tried(r *request, n *node) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.n == n && (a.ran || n.posAt < a.sent)
	})
}

// lighter is LPRF: pending for size, a warming node's size being its present share. With many routers ties
// decide: a seeded draw, with chances that fall with the square of the answer times and errors lately seen.
// Departure: where a new connection has a price, ties go to nodes in order that have one idle, or each of
// many routers would in time open one to each node.
func (b *Balancer) lighter(p *pick, n *node) {
	warm := b.warmth(n)
	pending, chance := float64(len(n.out))/(n.weight*warm), warm*math.Pow((1-n.errs)/n.load, 2)
	met := b.set.HandshakePrice == 0 || b.now < n.metTill && n.load <= fullLoad && n.errs < errWeight/2
	if p.n == nil || pending < p.pending || pending == p.pending && met && !p.met {
		*p = pick{n, pending, 0, met}
	} else if pending > p.pending || p.met && !met {
		return
	}
	if p.chances += chance; b.draw()*p.chances < chance {
		p.n = n
	}
}

// ifRoom returns the node if it may take one more.
func (b *Balancer) ifRoom(n *node, r *request) *node {
	if !b.usable(n) || float64(len(n.out))+1 > n.limit || !b.warmRoom(n, r) {
		return nil
	}
	return n
}

// tick looks at all nodes: suspect is who is silent for longer than its attempts' usual times explain.
func (b *Balancer) tick() {
	b.ticking = false
	b.rankQueues()
	b.learnPart()
	for _, g := range b.order {
		g.dirty = true
		for _, n := range g.members {
			b.watch(n)
			if b.dark(n) && n.state == Ready && b.draw() < loadWeight && b.halls.Try(n.zone, b.now) {
				b.probe(n) // a read would be lost for the same word
			}
		}
	}
}

func (b *Balancer) watch(n *node) {
	score := 0.0
	for _, a := range n.out {
		usual := max(b.work[a.r.c], min(n.load, 1)*b.patience[a.r.c])
		score += float64(b.now-max(n.lastAns, a.sent)) / usual
	}
	if score > silentScore {
		b.suspect(n, "silent")
	}
}

// warmth is the least share of its capacity that a node surely has by now.
func (b *Balancer) warmth(n *node) float64 {
	age := b.now - n.started
	if n.started == 0 || age >= b.set.RampTime {
		return 1
	}
	return max(0.01, b.set.ColdShare+(1-b.set.ColdShare)*float64(max(age, 0))/float64(b.set.RampTime))
}

// warmRoom keeps all routers together within a warming node's budget. This router's part is what a warm node
// does for it in the mean, which sums up to no more than the node could do; coldAim of that is the aim. Where
// the part is less than a request, few routers have one at hand when they might send it: there each goes with
// the chance that the part is of what is asked now. So the budget is the sum's mean whatever is asked.
func (b *Balancer) warmRoom(n *node, r *request) bool {
	w, span := b.warmth(n), b.set.OverloadFor
	if w >= 1 || span == 0 {
		return true
	}
	if age := b.now - n.coldAt; age >= span {
		n.coldAt, n.coldLast, n.coldWork, n.draw = b.now, n.coldWork, 0, b.draw()
		if age >= 2*span {
			n.coldLast = 0
		}
	}
	// The rule holds for any window: what the last one sent counts as far as it may lie in a sliding one.
	used := n.coldWork + n.coldLast*(1-float64(b.now-n.coldAt)/float64(span))
	budget := coldAim * b.set.FallMultiple * w * b.part * n.weight * float64(span)
	work, asked := b.work[r.c], b.askedOf(n, r)
	if known := b.want[0]+b.want[1] > 0; known && asked > 0 && budget < slices.Max(b.work) {
		r.luck = cmp.Or(r.luck, b.draw())
		luck := math.Mod(r.luck+float64(n.id)*math.Phi, 1) // another one at each node
		return used < budget+work && luck*asked < budget
	}
	return budget-used >= n.draw*work
}

// askedOf is the work in a window that this router could have for a node: its group's usual share (no less
// than the mean group's, as one is seen too seldom) of the usual amount, or of what was lately asked of the
// router as the request came, that included, where this is more: a jump of demand shows in it at once.
func (b *Balancer) askedOf(n *node, r *request) float64 {
	all, kind := (b.want[0]+b.want[1])*float64(len(b.order)), b.set.Classes[r.c].Read/Fresh
	asked := max(n.g.want[kind], b.want[kind]) / all * max(all, r.recent/coldRecent)
	if (n == n.g.primary) != (kind == 1) {
		asked *= foreign
	}
	return asked
}

// learnPart counts answered work, so that a backlog is not taken for capacity.
func (b *Balancer) learnPart() {
	span, size := b.now-b.partAt, 0.0
	if span < b.set.OverloadFor || span == 0 {
		return
	}
	var want [2]float64
	for _, g := range b.order {
		for i := range g.want {
			asked := g.asked[i] * float64(b.set.OverloadFor) / float64(span)
			g.want[i] += loadWeight * (asked - g.want[i])
			want[i] += asked / float64(len(b.order))
			g.asked[i] = 0
		}
		for _, n := range g.members {
			if n.state == Ready { // suspects too: while all fail by turns, the few others are no measure
				size += n.weight * b.warmth(n)
			}
		}
	}
	if b.partAt > 0 && size > 0 {
		b.part += loadWeight * (b.answered/float64(span)/size - b.part)
		for i, w := range want {
			b.want[i] = cmp.Or(b.want[i], w) // the first window is all that is known
			b.want[i] += loadWeight * (w - b.want[i])
		}
	}
	b.answered, b.partAt = 0, b.now
}
