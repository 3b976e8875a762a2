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
	sheddingInterval    = 50 * time.Millisecond // how often the peers' reports are processed
	sheddingLogInterval = time.Second           // minimum interval between two log lines of the same group
)

// sheddingService applies load shedding. Like the contracts, only the event loop's goroutine may use it. Its reports to
// the peers are part of the replicated state; it never waits for reports.
type sheddingService struct {
	router    *Router
	settings  shedding.Settings
	shedder   *shedding.Shedder
	lastLines map[int64]thresholdLine // by group
}

// thresholdLine is the last log line about a group's threshold. Requests below the threshold, by priority class and
// account, are shed.
type thresholdLine struct {
	at            clock.Nanos
	priorityClass string
}

func newSheddingService(router *Router, config *siteconfig.Config) (*sheddingService, error) {
	service := &sheddingService{router: router, lastLines: map[int64]thresholdLine{}}
	settings, err := service.settingsFrom(config)
	if err != nil || settings == nil {
		return nil, err
	}
	service.settings = *settings
	if service.shedder, err = shedding.New(*settings); err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	return service, nil
}

// settingsFrom returns the load shedding settings as they apply on this platform, or nil if load shedding is disabled.
func (service *sheddingService) settingsFrom(config *siteconfig.Config) (*shedding.Settings, error) {
	platform := &service.router.config.Settings.Balance
	maxRetryAfter := clock.Nanos(0)
	if platform.RetryAfterAllowed {
		maxRetryAfter = platform.MaxRetryAfter
	}
	settings, err := config.Contracts.SheddingSettings(siteconfig.SheddingRouter{Router: service.router.config.Name, Epoch: uint64(service.router.clock.unix), Routers: platform.Routers, Shared: config.Members != nil && config.Members.ShareCommits}, maxRetryAfter)
	if err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	return settings, nil
}

// admit reports whether a request is admitted. A request that is shed is rejected immediately.
func (service *sheddingService) admit(request *request, team int, now clock.Nanos) bool {
	platform := service.router.config.Settings
	contracts := service.router.loop.contracts
	sheddingRequest := shedding.Request{Team: team, Account: service.settings.Account(contracts.ledger.TeamName(team), request.Session), Group: request.Cluster, Key: request.Key, IsRetry: request.Retry, Share: contracts.ledger.ContractShare(request.Cluster)}
	if platform.IsSession(request.Class) && request.Session != "" {
		sheddingRequest.ReadSession = shedding.Session(request.Cluster, request.Session)
		sheddingRequest.WroteElsewhere = request.sessionWroteAt > 0 && now-request.sessionWroteAt < service.settings.WriteAffinity
	}
	request.sheddingVerdict = service.shedder.Admit(sheddingRequest, now)
	if request.sheddingVerdict.Reason != shedding.Shed {
		return true
	}
	service.router.metrics.Add(metrics.RejectedByShedding)
	request.rejectionReason = &rejectionReason{"lane " + service.shedder.Name(request.sheddingVerdict.PriorityClass) + " is shed at cluster " + strconv.FormatInt(request.Cluster, 10) + ", by all routers (lanes)",
		"come back after the time in DETAIL, in ms; another router refuses the same"}
	if !service.settings.Shared {
		request.rejectionReason.text, request.rejectionReason.hint = "lane "+service.shedder.Name(request.sheddingVerdict.PriorityClass)+" is shed at cluster "+strconv.FormatInt(request.Cluster, 10)+" (lanes)", "come back after the time in DETAIL, in ms"
	}
	request.deliver(balance.Action{Kind: balance.RejectRequest, RetryAfter: request.sheddingVerdict.RetryAfter})
	return false
}

// latencyObjective returns the latency objective of a class of requests, or 0 if the class is unknown.
func (service *sheddingService) latencyObjective(class int) clock.Nanos {
	if classes := service.router.config.Settings.Balance.Classes; class >= 0 && class < len(classes) {
		return classes[class].LatencyObjective
	}
	return 0
}

// requestStarted records that a request was admitted or queued.
func (service *sheddingService) requestStarted(request *request) {
	service.shedder.RequestStarted(request.Cluster, request.arrivedAt, service.latencyObjective(request.contractRequest.Class))
}

// requestEnded records the outcome of a request.
func (service *sheddingService) requestEnded(request *request, now clock.Nanos) {
	outcome := shedding.Outcome{ArrivedAt: request.arrivedAt, Elapsed: request.end.Elapsed, LatencyObjective: service.latencyObjective(request.contractRequest.Class), Served: request.end.Served, MayHaveRun: request.end.MayHaveRun, Abandoned: request.end.Abandoned || !request.contractReason.Admitted()}
	if service.router.config.Settings.IsWrite(request.Class) && request.Session != "" {
		outcome.SessionWritten = shedding.Session(request.Cluster, request.Session)
	}
	service.shedder.RequestEnded(request.Cluster, request.sheddingVerdict.PriorityClass, request.Key, outcome, now)
}

// tick processes the peers' reports, and reports to the peers the thresholds that follow from the pressure, the degree
// of overload of a group, as this router has measured it.
func (service *sheddingService) tick(now clock.Nanos) {
	members := service.router.membership
	if !service.settings.Shared || members == nil || members.state == nil || members.peers == nil {
		service.shedder.Tick(now, shedding.Connectivity{}, nil)
		service.log(now)
		return
	}
	view := members.peers.View()
	included := make(map[string]bool, len(view.Members))
	for i := range view.Members {
		included[view.Members[i].Name] = view.Members[i].State == membership.Alive || view.Members[i].State == membership.Suspect
	}
	var reports []shedding.Report
	members.state.EachShard(func(store *crdt.Store, now int64) {
		for _, entry := range store.SheddingLevels(now) {
			if group, err := strconv.ParseInt(entry.A, 10, 64); err == nil {
				load, threshold, saltEpoch := entry.SheddingLevel()
				reports = append(reports, shedding.Report{Group: group, Router: entry.From.Name, Epoch: entry.From.Boot, Seq: entry.Seq, Age: entry.Age, Load: load, Threshold: threshold, SaltEpoch: saltEpoch, Excluded: !included[entry.From.Name]})
			}
		}
	})
	for _, report := range service.shedder.Tick(now, shedding.Connectivity{Majority: view.Majority, Isolated: view.Isolated || view.DuplicateName}, reports) {
		members.state.Learn(crdt.NewSheddingLevel(strconv.FormatInt(report.Group, 10), report.Load, report.Threshold, report.SaltEpoch))
	}
	service.log(now)
}

// log writes a line for each group whose threshold has moved to another priority class since the group's last line.
func (service *sheddingService) log(now clock.Nanos) {
	for _, state := range service.shedder.States() {
		if last := service.lastLines[state.Group]; state.PriorityClass != last.priorityClass && now-last.at >= int64(sheddingLogInterval) {
			if len(service.lastLines) >= service.settings.MaxGroups {
				clear(service.lastLines)
			}
			service.lastLines[state.Group] = thresholdLine{now, state.PriorityClass}
			slog.Info("lanes", "cluster", state.Group, "shed_up_to", state.PriorityClass, "level", state.Threshold, "most", state.MaxThreshold, "epoch", state.SaltEpoch, "heard", state.Reporters, "whole", state.Quorum, "alone", state.Isolated,
				"pressure", strconv.FormatFloat(state.Pressure, 'f', 3, 64))
		}
	}
}

// SheddingReport describes the state of load shedding for the admin socket.
type SheddingReport struct {
	Groups          []shedding.GroupState  `json:"groups"`
	PriorityClasses []shedding.ClassCounts `json:"lanes"`
	Ungrouped       uint64                 `json:"full"` // requests admitted because the limit on groups was reached
}

// report returns the current state. It must be called on the event loop's goroutine.
func (service *sheddingService) report() *SheddingReport {
	return &SheddingReport{service.shedder.States(), service.shedder.Counts(), service.shedder.Ungrouped()}
}
