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
	"lotushook/policy/clock"
	"lotushook/policy/crdt"
	"lotushook/policy/membership"
	"lotushook/policy/quotalease"
	"lotushook/policy/recovery"
	"lotushook/policy/trust"
)

const (
	maxSuspects       = 64
	maxGivenPositions = 4096
	maxPositionAge    = int64(300 * time.Millisecond)
)

// membershipService connects the membership protocol to the router. The event loop never waits for it: it reads the quota share
// in force and its expiry from the current view.
type membershipService struct {
	router           *Router
	settings         *siteconfig.Members
	detectorSettings membership.Settings
	keys             [][]byte
	peers            *peer.Peers             // from listen on
	state            *peer.State             // the state that routers replicate to each other; nil: none
	suspects         chan balance.EndpointID // endpoints that the module suspects, to be sent to the peers
	probes           bool                    // the module probes for positions: where it does, positions that peers heard replace a probe
	mu               sync.Mutex
	givenPositions   map[balance.EndpointID]clock.Nanos // the last replicated position that was used, by endpoint
	persisted        *persistedState                    // its copy on disk; nil: there is none
	attemptLog       *attemptLog                        // nil: sends are not recorded
	quota            atomic.Pointer[quotalease.Quota]
	share            float64          // the quota share that the module uses; belongs to the event loop
	loggedView       *membership.View // the view that was last logged
}

func newMembershipService(r *Router, own *siteconfig.Members) (*membershipService, error) {
	m := &membershipService{router: r, settings: own}
	var err error
	if m.detectorSettings, err = own.MembershipSettings(r.config.Name, uint64(r.clock.unix)); err != nil {
		return nil, err
	}
	if n := r.config.Settings.Balance.Routers; n != m.detectorSettings.Configured {
		return nil, fmt.Errorf("members: routers: %d of them, and the configuration has %d", m.detectorSettings.Configured, n)
	}
	m.share = 1 / float64(m.detectorSettings.Configured)
	if own.ShareCommits {
		set := crdt.DefaultSettings(crdt.Origin{Name: m.detectorSettings.Name, Boot: m.detectorSettings.Epoch})
		if b := &r.config.Settings.Balance; b.ProbesAllowed && b.ProbesReportPosition && b.LagHandling == balance.LagUnchecked {
			m.probes, m.givenPositions = true, map[balance.EndpointID]clock.Nanos{}
		} else {
			set.MinLearnInterval *= 4 // this router doesn't read positions
		}
		if m.state, err = peer.NewState(set, r.clock.now); err != nil {
			return nil, err
		}
		m.suspects = make(chan balance.EndpointID, maxSuspects)
		for _, class := range slices.Sorted(maps.Keys(own.CommitModes.Classes)) {
			if !r.config.Settings.IsWrite(class) {
				return nil, &ModeError{class, r.config.Settings.Class(class) >= 0}
			}
		}
	}
	if own.Persistence != nil {
		if m.persisted, err = newPersistedState(own, crdt.Origin{Name: m.detectorSettings.Name, Boot: m.detectorSettings.Epoch}, r.clock.now); err != nil {
			return nil, err
		}
		m.state.SetKeeper(m.persisted)
	}
	m.keys, err = peer.ReadKeys(own.KeyFile)
	return m, err
}

// listen opens the sockets, and the attempt log if one is configured.
func (m *membershipService) listen() error {
	var err error
	if m.settings.DecisionLog != nil {
		if m.attemptLog, err = newAttemptLog(m.settings.DecisionLog); err != nil {
			return err
		}
	}
	m.peers, err = peer.Listen(peer.Options{Cluster: m.settings.Cluster, Listen: m.settings.Routers[m.detectorSettings.Name].Listen, Member: m.detectorSettings, Keys: m.keys, State: m.state, Zones: m.settings.Zones(), Changed: m.changed,
		Now: m.router.clock.now})
	if err != nil {
		return err
	}
	m.changed(m.peers.View())
	slog.Info("members", "cluster", m.settings.Cluster, "address", m.peers.Address(), "routers", m.detectorSettings.Configured)
	return nil
}

// restore reads the copy on disk, if there is one, and keeps it written until the context ends.
func (m *membershipService) restore(ctx context.Context, parts *sync.WaitGroup) {
	if m.persisted != nil {
		m.persisted.start(ctx, parts, m.state)
	}
}

// run takes part in the membership until the context ends, and serves the list of members.
func (m *membershipService) run(ctx context.Context) {
	if m.settings.Socket != "" && !m.router.controls(m.settings.Socket) {
		stop, err := admin.Serve(ctx, m.settings.Socket, admin.Answers{"members": m.report})
		if err != nil {
			slog.Error("members can't be read", operr.Attrs(err)...)
		} else {
			defer stop()
		}
	}
	var parts sync.WaitGroup
	defer parts.Wait()
	if m.state != nil {
		parts.Go(func() { m.announceSuspects(ctx) })
	}
	m.peers.Run(ctx)
}

// ModeError reports a replication mode given to a class that has no writes: the router does not start.
type ModeError struct {
	Class string
	Known bool
}

// Error implements the error interface.
func (e *ModeError) Error() string {
	if e.Known {
		return fmt.Sprintf("members: modes.classes.%s: no class of writes: not started", e.Class)
	}
	return fmt.Sprintf("members: modes.classes.%s: no class of that name: not started", e.Class)
}

// Kind implements operr.Error.
func (*ModeError) Kind() string { return "modes-class" }

// Hint implements operr.Error.
func (e *ModeError) Hint() string {
	return "name a class of writes that the configuration has, or take " + e.Class + " out of members.modes.classes"
}

// controls says whether an admin socket is configured: the members can then be read there too.
func (r *Router) controls(path string) bool {
	return r.loop.contracts != nil && r.loop.contracts.settings != nil && r.loop.contracts.settings.Socket == path
}

// changed is called on the membership goroutine for each view that differs from the last.
func (m *membershipService) changed(v *membership.View) {
	force := v.Quota
	m.quota.Store(&force)
	m.router.recovery.peersSeen(v)
	peer.Log(m.loggedView, v)
	m.loggedView = v
}

// committed records a session's commit: its position in its group's log. In mode "one" it returns
// once another router has it too, or the wait has timed out, or the client has left. It runs on the request's goroutine.
func (m *membershipService) committed(r *request, at clock.Nanos) {
	if m == nil || m.state == nil || r.Session == "" || at <= 0 {
		return
	}
	e := crdt.Entry{Kind: crdt.SessionCommit, A: strconv.FormatInt(r.Cluster, 10), B: r.Session, At: at}
	switch m.settings.CommitModes.ForClass(r.Class) {
	case siteconfig.ModeAsync:
		m.state.Learn(e)
	case siteconfig.ModeOne:
		most := min(time.Duration(m.settings.CommitModes.MaxWaitMS)*time.Millisecond, time.Duration(r.deadline-m.router.clock.now()))
		m.state.LearnDurably(e, most, r.client.left)
	}
}

// learnFrom learns from a complete answer how far its server has applied the log, and whether it is the
// primary. Each is replicated at a limited rate.
func (m *membershipService) learnFrom(group int64, node balance.EndpointID, res *backend.Result) {
	if m == nil || m.state == nil || res.Outcome != balance.Succeeded || res.Position <= 0 {
		return
	}
	host, born := m.router.directory.StartOf(node)
	if host == "" {
		return
	}
	m.state.Learn(crdt.Entry{Kind: crdt.ServerPosition, A: host, Born: born, At: res.Position})
	if res.Role == balance.Primary {
		m.state.Learn(crdt.Entry{Kind: crdt.PrimaryClaim, A: strconv.FormatInt(group, 10), Server: host, Born: born, At: res.Position})
	}
}

// mayHaveRun records that an attempt at a keyed write ended with an unknown outcome.
func (m *membershipService) mayHaveRun(class, key string) {
	if m != nil && m.state != nil && key != "" {
		m.state.Learn(crdt.Entry{Kind: crdt.PendingWrite, A: class, B: key})
	}
}

// suspected queues the module's suspicion of an endpoint. The event loop calls it: it does not block, and drops what finds no room.
func (m *membershipService) suspected(node balance.EndpointID) {
	if m == nil || m.state == nil {
		return
	}
	select {
	case m.suspects <- node:
	default:
	}
}

// announceSuspects sends the suspicions to the peers until the context ends.
func (m *membershipService) announceSuspects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case node := <-m.suspects:
			if host := m.router.directory.NameOf(node); host != "" {
				m.state.Learn(crdt.Entry{Kind: crdt.Hint, A: "suspect " + host})
			}
		}
	}
}

// position returns how far an endpoint had applied the log when another router heard it, if that is newer than the last one used
// and so recent that a probe would hardly add to it; 0: there is none. A position never goes back for one start of a
// server, so it is used unchanged; it says nothing about the server's health.
func (m *membershipService) position(node balance.EndpointID) (at clock.Nanos) {
	if m == nil || !m.probes {
		return 0
	}
	host, born := m.router.directory.StartOf(node)
	m.state.Look(host, "", func(s *crdt.Store, now int64) {
		if reported, age, own := s.AppliedPosition(now, host, born); !own && age < maxPositionAge {
			at = reported
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if at <= m.givenPositions[node] {
		return 0
	}
	if len(m.givenPositions) >= maxGivenPositions {
		clear(m.givenPositions) // each may be used once more
	}
	m.givenPositions[node] = at
	return at
}

// provenanceOf returns the origin of a session's commit, for the attempt log.
func (m *membershipService) provenanceOf(group int64, session string, at clock.Nanos) positionProvenance {
	if m == nil || m.attemptLog == nil {
		return positionProvenance{}
	}
	f, e := m.persisted.fact(crdt.Entry{Kind: crdt.SessionCommit, A: strconv.FormatInt(group, 10), B: session})
	if e.At != at {
		f = trust.Fact{} // the client brought the position, or it stands for sessions that were evicted
	}
	return positionProvenance{at, f}
}

// commit returns the position that a session's reads must see: the latest commit that any router knows of; 0: none.
func (m *membershipService) commit(group int64, session string) (at clock.Nanos) {
	if m != nil && m.state != nil && session != "" {
		name := strconv.FormatInt(group, 10)
		m.state.Look(name, session, func(s *crdt.Store, _ int64) { at, _ = s.CommitPosition(name, session) })
	}
	return at
}

// leave tells the peers that this router stops.
func (m *membershipService) leave() {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	m.peers.Leave(ctx)
}

// reload reads the keys again.
func (m *membershipService) reload(own *siteconfig.Members) (keys [][]byte, err error) {
	if !reflect.DeepEqual(own, m.settings) {
		return nil, errors.New("of members only the keys change in service")
	}
	return peer.ReadKeys(own.KeyFile)
}

// quotaChange returns the event that puts another quota share in force, if it has changed. A share that was not renewed in
// time expires by itself, even if no view has come since.
func (m *membershipService) quotaChange(now clock.Nanos) (balance.Event, bool) {
	f := m.quota.Load()
	share := f.Share
	if now >= f.ValidUntil {
		share = f.MinShare
	}
	if share == m.share {
		return balance.Event{}, false
	}
	m.share = share
	return balance.Event{Kind: balance.QuotaShareChanged, Share: share}, true
}

// report is the part of the operators' report about the members.
func (m *membershipService) report(ctx context.Context) any {
	out := struct {
		peer.Report
		Recovery *recovery.Report   `json:"recovery,omitempty"`
		Feeds    *changefeed.Counts `json:"feeds,omitempty"`
	}{m.peers.Report(), m.router.recovery.report(), nil}
	if t := m.router.loop.contracts; t != nil && t.shedding != nil {
		m.router.loop.do(ctx, func() { out.Shedding = t.shedding.report() })
	}
	out.Persisted = m.persisted.report()
	if m.router.changefeed != nil {
		counts := m.router.changefeed.feeds.Counts()
		out.Feeds = &counts
	}
	return out
}
