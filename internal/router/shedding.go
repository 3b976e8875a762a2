package router

import (
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"lotushook/internal/metrics"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
	"lotushook/policy/crdt"
	"lotushook/policy/membership"
	"lotushook/policy/shedding"
)

const (
	sheddingInterval    = 50 * time.Millisecond // how soon the peers' reports come into force
	sheddingLogInterval = time.Second           // one line at most for each group whose threshold moved to another priority class
)

// sheddingService applies load shedding. All of it belongs to the event loop's goroutine, like the contracts. Its reports to the
// peers travel with the replicated state; nothing waits for them.
type sheddingService struct {
	router    *Router
	settings  shedding.Settings
	shedder   *shedding.Shedder
	lastLines map[int64]thresholdLine
}

// thresholdLine is the last line logged of a group.
type thresholdLine struct {
	at            clock.Nanos
	priorityClass string
}

func newSheddingService(r *Router, own *siteconfig.Config) (*sheddingService, error) {
	l := &sheddingService{router: r, lastLines: map[int64]thresholdLine{}}
	s, err := l.settingsFrom(own)
	if err != nil || s == nil {
		return nil, err
	}
	l.settings = *s
	if l.shedder, err = shedding.New(*s); err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	return l, nil
}

// settingsFrom returns the shedding settings as applied on this platform; nil: shedding is off.
func (l *sheddingService) settingsFrom(own *siteconfig.Config) (*shedding.Settings, error) {
	b := &l.router.config.Settings.Balance
	back := clock.Nanos(0)
	if b.RetryAfterAllowed {
		back = b.MaxRetryAfter
	}
	s, err := own.Contracts.SheddingSettings(siteconfig.SheddingRouter{Router: l.router.config.Name, Epoch: uint64(l.router.clock.unix), Routers: b.Routers, Shared: own.Members != nil && own.Members.ShareCommits}, back)
	if err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	return s, nil
}

// admit says whether a request is accepted; one that is shed is rejected at once.
func (l *sheddingService) admit(r *request, team int, now clock.Nanos) bool {
	set := l.router.config.Settings
	terms := l.router.loop.contracts
	q := shedding.Request{Team: team, Account: l.settings.Account(terms.ledger.TeamName(team), r.Session), Group: r.Cluster, Key: r.Key, IsRetry: r.Retry, Share: terms.ledger.ContractShare(r.Cluster)}
	if set.IsSession(r.Class) && r.Session != "" {
		q.ReadSession = shedding.Session(r.Cluster, r.Session)
		q.WroteElsewhere = r.sessionWroteAt > 0 && now-r.sessionWroteAt < l.settings.WriteAffinity
	}
	r.sheddingVerdict = l.shedder.Admit(q, now)
	if r.sheddingVerdict.Reason != shedding.Shed {
		return true
	}
	l.router.metrics.Add(metrics.RejectedByShedding)
	r.rejectionReason = &rejectionReason{"lane " + l.shedder.Name(r.sheddingVerdict.PriorityClass) + " is shed at cluster " + strconv.FormatInt(r.Cluster, 10) + ", by all routers (lanes)",
		"come back after the time in DETAIL, in ms; another router refuses the same"}
	if !l.settings.Shared {
		r.rejectionReason.text, r.rejectionReason.hint = "lane "+l.shedder.Name(r.sheddingVerdict.PriorityClass)+" is shed at cluster "+strconv.FormatInt(r.Cluster, 10)+" (lanes)", "come back after the time in DETAIL, in ms"
	}
	r.deliver(balance.Action{Kind: balance.RejectRequest, RetryAfter: r.sheddingVerdict.RetryAfter})
	return false
}

func (l *sheddingService) latencyObjective(class int) clock.Nanos {
	if classes := l.router.config.Settings.Balance.Classes; class >= 0 && class < len(classes) {
		return classes[class].LatencyObjective
	}
	return 0
}

// requestStarted records a request that is passed on or queued.
func (l *sheddingService) requestStarted(r *request) {
	l.shedder.RequestStarted(r.Cluster, r.arrivedAt, l.latencyObjective(r.contractRequest.Class))
}

// requestEnded records a request's end.
func (l *sheddingService) requestEnded(r *request, now clock.Nanos) {
	e := shedding.Outcome{ArrivedAt: r.arrivedAt, Elapsed: r.end.Elapsed, LatencyObjective: l.latencyObjective(r.contractRequest.Class), Served: r.end.Served, MayHaveRun: r.end.MayHaveRun, Abandoned: r.end.Abandoned || !r.contractReason.Admitted()}
	if l.router.config.Settings.IsWrite(r.Class) && r.Session != "" {
		e.SessionWritten = shedding.Session(r.Cluster, r.Session)
	}
	l.shedder.RequestEnded(r.Cluster, r.sheddingVerdict.PriorityClass, r.Key, e, now)
}

// tick takes in the peers' reports, and reports the threshold that this router would choose.
func (l *sheddingService) tick(now clock.Nanos) {
	m := l.router.membership
	if !l.settings.Shared || m == nil || m.state == nil || m.peers == nil {
		l.shedder.Tick(now, shedding.Connectivity{}, nil)
		l.log(now)
		return
	}
	v := m.peers.View()
	counts := make(map[string]bool, len(v.Members))
	for i := range v.Members {
		counts[v.Members[i].Name] = v.Members[i].State == membership.Alive || v.Members[i].State == membership.Suspect
	}
	var reports []shedding.Report
	m.state.Each(func(store *crdt.Store, now int64) {
		for _, e := range store.SheddingLevels(now) {
			if group, err := strconv.ParseInt(e.A, 10, 64); err == nil {
				load, wish, epoch := e.SheddingLevel()
				reports = append(reports, shedding.Report{Group: group, Router: e.From.Name, Epoch: e.From.Boot, Seq: e.Seq, Age: e.Age, Load: load, Threshold: wish, SaltEpoch: epoch, Excluded: !counts[e.From.Name]})
			}
		}
	})
	for _, s := range l.shedder.Tick(now, shedding.Connectivity{Majority: v.Majority, Isolated: v.Isolated || v.DuplicateName}, reports) {
		m.state.Learn(crdt.NewSheddingLevel(strconv.FormatInt(s.Group, 10), s.Load, s.Threshold, s.SaltEpoch))
	}
	l.log(now)
}

// log writes a line when a group's threshold moves to another priority class.
func (l *sheddingService) log(now clock.Nanos) {
	for _, s := range l.shedder.States() {
		if old := l.lastLines[s.Group]; s.PriorityClass != old.priorityClass && now-old.at >= int64(sheddingLogInterval) {
			if len(l.lastLines) >= l.settings.MaxGroups {
				clear(l.lastLines)
			}
			l.lastLines[s.Group] = thresholdLine{now, s.PriorityClass}
			slog.Info("lanes", "cluster", s.Group, "shed_up_to", s.PriorityClass, "level", s.Threshold, "most", s.MaxThreshold, "epoch", s.SaltEpoch, "heard", s.Reporters, "whole", s.Quorum, "alone", s.Isolated,
				"pressure", strconv.FormatFloat(s.Pressure, 'f', 3, 64))
		}
	}
}

// SheddingReport is the operators' report of load shedding.
type SheddingReport struct {
	Groups []shedding.GroupState  `json:"groups"`
	Lanes  []shedding.ClassCounts `json:"lanes"`
	Full   uint64                 `json:"full"` // requests that passed because there was no room for their group
}

// report returns the current state; it is called on the event loop's goroutine.
func (l *sheddingService) report() *SheddingReport {
	return &SheddingReport{l.shedder.States(), l.shedder.Counts(), l.shedder.Ungrouped()}
}
