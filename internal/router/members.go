package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lotushook/internal/admin"
	"lotushook/internal/backend"
	"lotushook/internal/changefeed"
	"lotushook/internal/operr"
	"lotushook/internal/peer"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/crdt"
	"lotushook/policy/membership"
	"lotushook/policy/quotalease"
	"lotushook/policy/recovery"
	"lotushook/policy/trust"
)

const (
	mostNotes = 64
	mostGiven = 4096
	toldFor   = int64(300 * time.Millisecond)
)

// members carries out what membership says. The owner never waits for it: it reads the part that is in force and when it
// ends, as it stands.
type members struct {
	router *Router
	own    *siteconfig.Members
	set    membership.Settings
	keys   [][]byte
	peers  *peer.Peers // from listen on
	state  *peer.State // what is shared of what routers learn; nil: nothing
	notes  chan uint32 // nodes that the module suspects, to be told
	probes bool        // the module probes for positions: where it does, those that others heard answer for a probe
	mu     sync.Mutex
	given  map[uint32]balance.Nanos // of those, the last of each node
	kept   *kept                    // the copy of that on disk; nil: there is none
	sends  *recorder                // nil: sends are not recorded
	force  atomic.Pointer[quotalease.Force]
	share  float64          // the owner's: what the module goes by
	seen   *membership.View // of what was logged
}

func newMembers(r *Router, own *siteconfig.Members) (*members, error) {
	m := &members{router: r, own: own}
	var err error
	if m.set, err = own.Member(r.conf.Name, uint64(r.clock.unix)); err != nil {
		return nil, err
	}
	if n := r.conf.Settings.Balance.Instances; n != m.set.Configured {
		return nil, fmt.Errorf("members: routers: %d of them, and the configuration has %d", m.set.Configured, n)
	}
	m.share = 1 / float64(m.set.Configured)
	if own.Share {
		set := crdt.Usual(crdt.Origin{Name: m.set.Name, Boot: m.set.Boot})
		if b := &r.conf.Settings.Balance; b.Probing && b.ProbeReports && b.Behind == balance.BehindNone {
			m.probes, m.given = true, map[uint32]balance.Nanos{}
		} else {
			set.Pace *= 4 // nobody here reads positions
		}
		if m.state, err = peer.NewState(set, r.clock.now); err != nil {
			return nil, err
		}
		m.notes = make(chan uint32, mostNotes)
		for _, class := range slices.Sorted(maps.Keys(own.Modes.Classes)) {
			if !r.conf.Settings.IsWrite(class) {
				return nil, &ModeError{class, r.conf.Settings.Class(class) >= 0}
			}
		}
	}
	if own.Keep != nil {
		if m.kept, err = newKept(own, crdt.Origin{Name: m.set.Name, Boot: m.set.Boot}, r.clock.now); err != nil {
			return nil, err
		}
		m.state.Tell(m.kept)
	}
	m.keys, err = peer.ReadKeys(own.KeyFile)
	return m, err
}

// listen opens the sockets, and the record of sends if there is one.
func (m *members) listen() error {
	var err error
	if m.own.Sends != nil {
		if m.sends, err = newRecorder(m.own.Sends); err != nil {
			return err
		}
	}
	m.peers, err = peer.Listen(peer.Options{Cluster: m.own.Cluster, Listen: m.own.Routers[m.set.Name].Listen, Member: m.set, Keys: m.keys, State: m.state, Halls: m.own.Halls(), Changed: m.changed,
		Now: m.router.clock.now})
	if err != nil {
		return err
	}
	m.changed(m.peers.View())
	slog.Info("members", "cluster", m.own.Cluster, "address", m.peers.Address(), "routers", m.set.Configured)
	return nil
}

// restore reads the copy on disk, if there is one, and has it written until the context ends.
func (m *members) restore(ctx context.Context, parts *sync.WaitGroup) {
	if m.kept != nil {
		m.kept.start(ctx, parts, m.state)
	}
}

// run takes part until the context ends, and lets the members be read.
func (m *members) run(ctx context.Context) {
	if m.own.Socket != "" && !m.router.controls(m.own.Socket) {
		stop, err := admin.Serve(ctx, m.own.Socket, admin.Answers{"members": m.rows})
		if err != nil {
			slog.Error("members can't be read", operr.Attrs(err)...)
		} else {
			defer stop()
		}
	}
	var parts sync.WaitGroup
	defer parts.Wait()
	if m.state != nil {
		parts.Go(func() { m.note(ctx) })
	}
	m.peers.Run(ctx)
}

// ModeError is a class that a mode is given to and that is none of writes: the router does not start.
type ModeError struct {
	Class string
	Known bool
}

func (e *ModeError) Error() string {
	if e.Known {
		return fmt.Sprintf("members: modes.classes.%s: no class of writes: not started", e.Class)
	}
	return fmt.Sprintf("members: modes.classes.%s: no class of that name: not started", e.Class)
}

// Kind is that of remedy.Error.
func (*ModeError) Kind() string { return "modes-class" }

// Remedy is that of remedy.Error.
func (e *ModeError) Remedy() string {
	return "name a class of writes that the configuration has, or take " + e.Class + " out of members.modes.classes"
}

// controls says whether accounts are read at a socket: the members can then be read there too.
func (r *Router) controls(path string) bool {
	return r.owner.terms != nil && r.owner.terms.own != nil && r.owner.terms.own.Socket == path
}

// changed is called for each view that differs from the last, by membership's goroutine.
func (m *members) changed(v *membership.View) {
	force := v.Part
	m.force.Store(&force)
	m.router.recovery.seen(v)
	peer.Log(m.seen, v)
	m.seen = v
}

// committed notes that a session has written; the answer's commit is a position of its group's log. In mode "one" it returns
// once another router has it too, or the time for that is over, or the client has left: on the request's own goroutine.
func (m *members) committed(r *request, at balance.Nanos) {
	if m == nil || m.state == nil || r.Session == "" || at <= 0 {
		return
	}
	e := crdt.Entry{Kind: crdt.Session, A: strconv.FormatInt(r.Cluster, 10), B: r.Session, At: at}
	switch m.own.Modes.Of(r.Class) {
	case siteconfig.ModeAsync:
		m.state.Learn(e)
	case siteconfig.ModeOne:
		most := min(time.Duration(m.own.Modes.WaitMS)*time.Millisecond, time.Duration(r.deadline-m.router.clock.now()))
		m.state.Assure(e, most, r.client.left)
	}
}

// heard feeds what an answer that was whole says of its server: how far it has applied the log, and whether it is the
// primary. Each is learned anew at a pace only.
func (m *members) heard(group int64, node uint32, res *backend.Result) {
	if m == nil || m.state == nil || res.Outcome != balance.Done || res.Position <= 0 {
		return
	}
	host, born := m.router.dir.Start(node)
	if host == "" {
		return
	}
	m.state.Learn(crdt.Entry{Kind: crdt.Position, A: host, Born: born, At: res.Position})
	if res.Role == balance.Primary {
		m.state.Learn(crdt.Entry{Kind: crdt.Primary, A: strconv.FormatInt(group, 10), Server: host, Born: born, At: res.Position})
	}
}

// mayHaveRun notes that an attempt at a keyed write ended without a word of whether it ran.
func (m *members) mayHaveRun(class, key string) {
	if m != nil && m.state != nil && key != "" {
		m.state.Learn(crdt.Entry{Kind: crdt.Write, A: class, B: key})
	}
}

// suspected notes that the module suspects a node. The owner calls it: it waits for nothing, and what finds no room is lost.
func (m *members) suspected(node uint32) {
	if m == nil || m.state == nil {
		return
	}
	select {
	case m.notes <- node:
	default:
	}
}

// note tells what was suspected, until the context ends.
func (m *members) note(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case node := <-m.notes:
			if host := m.router.dir.Host(node); host != "" {
				m.state.Learn(crdt.Entry{Kind: crdt.Hint, A: "suspect " + host})
			}
		}
	}
}

// position is how far a node had applied the log when another router heard it, if that is more than was given before and so
// lately that a probe would tell hardly more; 0: there is no such word. A position never goes back for one start of a
// server, so it is taken as it is; it says nothing of the server's health.
func (m *members) position(node uint32) (at balance.Nanos) {
	if m == nil || !m.probes {
		return 0
	}
	host, born := m.router.dir.Start(node)
	m.state.Look(host, "", func(s *crdt.Store, now int64) {
		if told, age, own := s.Applied(now, host, born); !own && age < toldFor {
			at = told
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if at <= m.given[node] {
		return 0
	}
	if len(m.given) >= mostGiven {
		clear(m.given) // each may be given once more
	}
	m.given[node] = at
	return at
}

// ground is the evidence of a session's commit, for the record of sends.
func (m *members) ground(group int64, session string, at balance.Nanos) ground {
	if m == nil || m.sends == nil {
		return ground{}
	}
	f, e := m.kept.fact(crdt.Entry{Kind: crdt.Session, A: strconv.FormatInt(group, 10), B: session})
	if e.At != at {
		f = trust.Fact{} // the client brought it, or what stands for sessions that were let go
	}
	return ground{at, f}
}

// commit is the position that a session's reads must see, as far as any router has seen it write; 0: none has.
func (m *members) commit(group int64, session string) (at balance.Nanos) {
	if m != nil && m.state != nil && session != "" {
		name := strconv.FormatInt(group, 10)
		m.state.Look(name, session, func(s *crdt.Store, _ int64) { at, _ = s.Commit(name, session) })
	}
	return at
}

// leave tells the others that this router stops.
func (m *members) leave() {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	m.peers.Leave(ctx)
}

// reload reads the keys again.
func (m *members) reload(own *siteconfig.Members) (keys [][]byte, err error) {
	if !reflect.DeepEqual(own, m.own) {
		return nil, errors.New("of members only the keys change in service")
	}
	return peer.ReadKeys(own.KeyFile)
}

// divided is the event that puts another part in force, if it is another one by now. A part that was not renewed in
// time ends by itself: nobody may have looked meanwhile.
func (m *members) divided(now balance.Nanos) (balance.Event, bool) {
	f := m.force.Load()
	share := f.Share
	if now >= f.Until {
		share = f.Least
	}
	if share == m.share {
		return balance.Event{}, false
	}
	m.share = share
	return balance.Event{Kind: balance.Divided, Share: share}, true
}

// rows are what operators read.
func (m *members) rows(ctx context.Context) any {
	out := struct {
		peer.Report
		Recovery *recovery.Report   `json:"recovery,omitempty"`
		Feeds    *changefeed.Counts `json:"feeds,omitempty"`
	}{m.peers.Report(), m.router.recovery.report(), nil}
	if t := m.router.owner.terms; t != nil && t.lanes != nil {
		m.router.owner.do(ctx, func() { out.Lanes = t.lanes.report() })
	}
	out.Kept = m.kept.report()
	if m.router.feeds != nil {
		counts := m.router.feeds.part.Counts()
		out.Feeds = &counts
	}
	return out
}
