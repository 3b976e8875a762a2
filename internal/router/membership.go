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
	maxSuspects      = 64                            // capacity of the queue of suspicions
	maxUsedPositions = 4096                          // endpoints whose last used position is stored
	maxPositionAge   = int64(300 * time.Millisecond) // older positions from peers do not replace a probe
)

// membershipService connects the membership protocol, by which the members of a cluster detect each other's failures,
// to the router. It also provides the quota share: this router's share of the limits that all members divide among
// themselves (package quotalease). The event loop never waits for the service, and reads the current quota share and
// its expiry from an atomic pointer.
type membershipService struct {
	router           *Router
	settings         *siteconfig.Members
	detectorSettings membership.Settings
	keys             [][]byte
	peers            *peer.Peers                        // nil until listen is called
	state            *peer.State                        // replicated between the routers; nil if replication is disabled
	suspects         chan balance.EndpointID            // suspected endpoints, to be announced to the peers
	probes           bool                               // the decision module probes for positions; peers' positions can replace probes
	mu               sync.Mutex                         // guards usedPositions
	usedPositions    map[balance.EndpointID]clock.Nanos // the position from a peer that was last used, by endpoint
	persisted        *persistedState                    // copy of the state on disk; nil if the state is not persisted
	attemptLog       *attemptLog                        // nil if attempts are not recorded
	quota            atomic.Pointer[quotalease.Quota]
	share            float64          // the quota share that the decision module uses; only the event loop may use it
	loggedView       *membership.View // the view that was last logged
}

func newMembershipService(router *Router, settings *siteconfig.Members) (*membershipService, error) {
	service := &membershipService{router: router, settings: settings}
	var err error
	if service.detectorSettings, err = settings.MembershipSettings(router.config.Name, uint64(router.clock.unix)); err != nil {
		return nil, err
	}
	if count := router.config.Settings.Balance.Routers; count != service.detectorSettings.Configured {
		return nil, fmt.Errorf("members: routers: %d of them, and the configuration has %d", service.detectorSettings.Configured, count)
	}
	service.share = 1 / float64(service.detectorSettings.Configured)
	if settings.ShareCommits {
		storeSettings := crdt.DefaultSettings(crdt.Origin{Name: service.detectorSettings.Name, Boot: service.detectorSettings.Epoch})
		if platform := &router.config.Settings.Balance; platform.ProbesAllowed && platform.ProbesReportPosition && platform.LagHandling == balance.LagUnchecked {
			service.probes, service.usedPositions = true, map[balance.EndpointID]clock.Nanos{}
		} else {
			storeSettings.MinLearnInterval *= 4 // this router does not use positions from peers
		}
		if service.state, err = peer.NewState(storeSettings, router.clock.now); err != nil {
			return nil, err
		}
		service.suspects = make(chan balance.EndpointID, maxSuspects)
		for _, class := range slices.Sorted(maps.Keys(settings.CommitModes.Classes)) {
			if !router.config.Settings.IsWrite(class) {
				return nil, &ModeError{class, router.config.Settings.Class(class) >= 0}
			}
		}
	}
	if settings.Persistence != nil {
		if service.persisted, err = newPersistedState(settings, crdt.Origin{Name: service.detectorSettings.Name, Boot: service.detectorSettings.Epoch}, router.clock.now); err != nil {
			return nil, err
		}
		service.state.SetPersister(service.persisted)
	}
	service.keys, err = peer.ReadKeys(settings.KeyFile)
	return service, err
}

// listen opens the membership sockets and, if configured, the attempt log.
func (service *membershipService) listen() error {
	var err error
	if service.settings.DecisionLog != nil {
		if service.attemptLog, err = newAttemptLog(service.settings.DecisionLog); err != nil {
			return err
		}
	}
	service.peers, err = peer.Listen(peer.Options{Cluster: service.settings.Cluster, Listen: service.settings.Routers[service.detectorSettings.Name].Listen, Membership: service.detectorSettings, Keys: service.keys, State: service.state, Zones: service.settings.Zones(), OnViewChange: service.changed,
		Now: service.router.clock.now})
	if err != nil {
		return err
	}
	service.changed(service.peers.View())
	slog.Info("members", "cluster", service.settings.Cluster, "address", service.peers.Address(), "routers", service.detectorSettings.Configured)
	return nil
}

// restore loads the persisted state, if there is one, and keeps its copy on disk up to date until the context is done.
func (service *membershipService) restore(ctx context.Context, running *sync.WaitGroup) {
	if service.persisted != nil {
		service.persisted.start(ctx, running, service.state)
	}
}

// run participates in the membership protocol and serves the list of members, until the context is done.
func (service *membershipService) run(ctx context.Context) {
	if service.settings.Socket != "" && !service.router.controls(service.settings.Socket) {
		stopServing, err := admin.Serve(ctx, service.settings.Socket, admin.Handlers{"members": service.report})
		if err != nil {
			slog.Error("serving the members on the admin socket failed", operr.Attrs(err)...)
		} else {
			defer stopServing()
		}
	}
	var running sync.WaitGroup
	defer running.Wait()
	if service.state != nil {
		running.Go(func() { service.announceSuspects(ctx) })
	}
	service.peers.Run(ctx)
}

// ModeError is the error of a configuration that sets a replication mode for a class that is not a class of writes. The
// router does not start with it.
type ModeError struct {
	Class string
	Known bool // the platform has a class of this name
}

// Error implements the error interface.
func (e *ModeError) Error() string {
	if e.Known {
		return fmt.Sprintf("members: modes.classes.%s: not a class of writes; the router does not start", e.Class)
	}
	return fmt.Sprintf("members: modes.classes.%s: no class of this name; the router does not start", e.Class)
}

// Kind implements operr.Error.
func (*ModeError) Kind() string { return "modes-class" }

// Hint implements operr.Error.
func (e *ModeError) Hint() string {
	return "name a class of writes that the configuration has, or remove " + e.Class + " from members.modes.classes"
}

// controls reports whether the accounts' admin socket, which also serves the members, has the given path.
func (router *Router) controls(path string) bool {
	return router.loop.contracts != nil && router.loop.contracts.settings != nil && router.loop.contracts.settings.Socket == path
}

// changed is called on the membership goroutine with each view that differs from the previous one.
func (service *membershipService) changed(view *membership.View) {
	quota := view.Quota
	service.quota.Store(&quota)
	service.router.recovery.peersSeen(view)
	peer.LogViewChanges(service.loggedView, view)
	service.loggedView = view
}

// committed records the log position of a session's commit in the replicated state. In mode "one" it returns only when
// another router has the entry too, the wait has timed out or the client has left. It is called on the request's
// goroutine.
func (service *membershipService) committed(request *request, position clock.Nanos) {
	if service == nil || service.state == nil || request.Session == "" || position <= 0 {
		return
	}
	entry := crdt.Entry{Kind: crdt.SessionCommit, A: strconv.FormatInt(request.Cluster, 10), B: request.Session, At: position}
	switch service.settings.CommitModes.ForClass(request.Class) {
	case siteconfig.ModeAsync:
		service.state.Learn(entry)
	case siteconfig.ModeOne:
		timeout := min(time.Duration(service.settings.CommitModes.MaxWaitMS)*time.Millisecond, time.Duration(request.deadline-service.router.clock.now()))
		service.state.LearnDurably(entry, timeout, request.client.left)
	}
}

// learnFrom records what a complete answer says about its data server: how far it has applied the log, and whether it
// is the primary. The peers receive both at a limited rate.
func (service *membershipService) learnFrom(group int64, endpoint balance.EndpointID, result *backend.Result) {
	if service == nil || service.state == nil || result.Outcome != balance.Succeeded || result.Position <= 0 {
		return
	}
	host, startedAt := service.router.directory.StartOf(endpoint)
	if host == "" {
		return
	}
	service.state.Learn(crdt.Entry{Kind: crdt.ServerPosition, A: host, Born: startedAt, At: result.Position})
	if result.Role == balance.Primary {
		service.state.Learn(crdt.Entry{Kind: crdt.PrimaryClaim, A: strconv.FormatInt(group, 10), Server: host, Born: startedAt, At: result.Position})
	}
}

// mayHaveRun records that an attempt of a write with an idempotency key ended with an unknown outcome.
func (service *membershipService) mayHaveRun(class, key string) {
	if service != nil && service.state != nil && key != "" {
		service.state.Learn(crdt.Entry{Kind: crdt.PendingWrite, A: class, B: key})
	}
}

// suspected queues an endpoint that the decision module has ejected, to be announced to the peers as suspected. The
// event loop calls this method, so it must not block: if the queue is full, the suspicion is dropped.
func (service *membershipService) suspected(endpoint balance.EndpointID) {
	if service == nil || service.state == nil {
		return
	}
	select {
	case service.suspects <- endpoint:
	default:
	}
}

// announceSuspects announces the queued endpoints to the peers as suspected until the context is done.
func (service *membershipService) announceSuspects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case endpoint := <-service.suspects:
			if host := service.router.directory.NameOf(endpoint); host != "" {
				service.state.Learn(crdt.Entry{Kind: crdt.Hint, A: "suspect " + host})
			}
		}
	}
}

// position returns the position up to which an endpoint had applied the log according to another router, or 0. It
// returns only a position that is later than the last one used and so recent that a probe would hardly give a later
// one. A data server's position never decreases until its next start, so the position can be used unchanged. It says
// nothing about the server's health.
func (service *membershipService) position(endpoint balance.EndpointID) (position clock.Nanos) {
	if service == nil || !service.probes {
		return 0
	}
	host, startedAt := service.router.directory.StartOf(endpoint)
	service.state.WithShard(host, "", func(store *crdt.Store, now int64) {
		if reported, age, own := store.AppliedPosition(now, host, startedAt); !own && age < maxPositionAge {
			position = reported
		}
	})
	service.mu.Lock()
	defer service.mu.Unlock()
	if position <= service.usedPositions[endpoint] {
		return 0
	}
	if len(service.usedPositions) >= maxUsedPositions {
		clear(service.usedPositions) // each position may then be used a second time
	}
	service.usedPositions[endpoint] = position
	return position
}

// provenanceOf returns the provenance of a session's commit position, for the attempt log.
func (service *membershipService) provenanceOf(group int64, session string, position clock.Nanos) positionProvenance {
	if service == nil || service.attemptLog == nil {
		return positionProvenance{}
	}
	fact, entry := service.persisted.fact(crdt.Entry{Kind: crdt.SessionCommit, A: strconv.FormatInt(group, 10), B: session})
	if entry.At != position {
		fact = trust.Fact{} // the client sent the position, or it is the lower bound for evicted sessions
	}
	return positionProvenance{position, fact}
}

// commit returns the log position that a session's reads must see, which is that of the session's latest commit known
// to any router, or 0 if no commit is known.
func (service *membershipService) commit(group int64, session string) (position clock.Nanos) {
	if service != nil && service.state != nil && session != "" {
		groupName := strconv.FormatInt(group, 10)
		service.state.WithShard(groupName, session, func(store *crdt.Store, _ int64) { position, _ = store.CommitPosition(groupName, session) })
	}
	return position
}

// leave announces to the peers that this router stops.
func (service *membershipService) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	service.peers.Leave(ctx)
}

// reload reads the keys again. All other settings must be unchanged.
func (service *membershipService) reload(settings *siteconfig.Members) (keys [][]byte, err error) {
	if !reflect.DeepEqual(settings, service.settings) {
		return nil, errors.New("members: a reload can change the keys only")
	}
	return peer.ReadKeys(settings.KeyFile)
}

// quotaChange returns an event with the current quota share if the share has changed since the last call. A share that
// was not renewed in time expires even if no new view has been received.
func (service *membershipService) quotaChange(now clock.Nanos) (balance.Event, bool) {
	quota := service.quota.Load()
	share := quota.Share
	if now >= quota.ValidUntil {
		share = quota.MinShare
	}
	if share == service.share {
		return balance.Event{}, false
	}
	service.share = share
	return balance.Event{Kind: balance.QuotaShareChanged, Share: share}, true
}

// report returns the members for the admin socket.
func (service *membershipService) report(ctx context.Context) any {
	report := struct {
		peer.Report
		Recovery *recovery.Report   `json:"recovery,omitempty"`
		Feeds    *changefeed.Counts `json:"feeds,omitempty"`
	}{service.peers.Report(), service.router.recovery.report(), nil}
	if contracts := service.router.loop.contracts; contracts != nil && contracts.shedding != nil {
		service.router.loop.do(ctx, func() { report.Shedding = contracts.shedding.report() })
	}
	report.Persisted = service.persisted.report()
	if service.router.changefeed != nil {
		counts := service.router.changefeed.feeds.Counts()
		report.Feeds = &counts
	}
	return report
}
