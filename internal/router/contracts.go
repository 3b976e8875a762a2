package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"lotushook/internal/accounting"
	"lotushook/internal/admin"
	"lotushook/internal/metrics"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
	"lotushook/policy/contract"
	"lotushook/policy/shedding"
)

const (
	maxAccountLines = 200 // log lines per period; further accounts are only counted

	// Probes report an endpoint's load, from which the contract ledger derives this router's share of the endpoint's
	// capacity. One endpoint is probed per interval, in round-robin order, which adds a few hundredths of a probe per
	// request.
	loadProbeInterval = 200 * time.Millisecond
)

// contractService enforces the teams' contracts and serves the accounts, the report on the requests of each team
// (package accounting). Except for run and settings, only the event loop's goroutine may use it.
type contractService struct {
	router        *Router
	ledger        *contract.Ledger
	openAttempts  map[balance.EndpointID]int   // number of this router's open attempts by endpoint
	groups        map[balance.EndpointID]int64 // groups of the listed endpoints
	responseTimes *accounting.Latencies
	settings      *siteconfig.Accounts
	shedding      *sheddingService          // load shedding, applied before the contracts; nil: off
	orderBuffer   []contract.BatchedRequest // reused between batches
	swapBuffer    []balance.Event           // reused between batches
}

func newContractService(router *Router, config *siteconfig.Config) (*contractService, error) {
	service := &contractService{router: router, openAttempts: map[balance.EndpointID]int{}, groups: map[balance.EndpointID]int64{}, responseTimes: accounting.NewLatencies(), settings: config.Accounts}
	settings, err := service.contractSettings(config.Contracts)
	if err != nil {
		return nil, err
	}
	if service.ledger, err = contract.New(settings, router.config.Seed); err != nil {
		return nil, err
	}
	service.shedding, err = newSheddingService(router, config)
	return service, err
}

// contractSettings returns the contracts as they apply on this platform.
func (service *contractService) contractSettings(contracts *siteconfig.Contracts) (contract.Settings, error) {
	platform := &service.router.config.Settings.Balance
	maxRetryAfter := clock.Nanos(0)
	if platform.RetryAfterAllowed {
		maxRetryAfter = platform.MaxRetryAfter
	}
	settings, err := contracts.LedgerSettings(contracts.Classes(platform.Classes), platform.Routers, maxRetryAfter)
	if err != nil {
		return settings, fmt.Errorf("contracts: %w", err)
	}
	return settings, nil
}

// sheddingSettings returns the load shedding settings of a reloaded configuration. A reload can't enable or disable
// load shedding.
func (service *contractService) sheddingSettings(config *siteconfig.Config) (*shedding.Settings, error) {
	if (config.Contracts.Shedding != nil) != (service.shedding != nil) {
		return nil, errors.New("contracts: lanes can't be enabled or disabled by a reload")
	}
	if service.shedding == nil {
		return nil, nil
	}
	return service.shedding.settingsFrom(config)
}

// reload applies new contracts and new load shedding settings.
func (service *contractService) reload(contracts contract.Settings, shedding *shedding.Settings) error {
	var err error
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if !service.router.loop.do(ctx, func() {
		if shedding != nil {
			if err = service.shedding.shedder.Configure(*shedding); err != nil {
				return
			}
			service.shedding.settings = *shedding
		}
		err = service.apply(contracts)
	}) {
		return fmt.Errorf("contracts: %w", ctx.Err())
	}
	return err
}

// apply applies new contracts. Open requests remain with the team of the same name.
func (service *contractService) apply(contracts contract.Settings) error {
	teamNames := map[*request]string{}
	for _, request := range service.router.loop.requests {
		teamNames[request] = service.ledger.TeamName(request.contractRequest.Team)
	}
	if err := service.ledger.UpdateSettings(contracts); err != nil {
		return err
	}
	for request, name := range teamNames {
		request.contractRequest.Team = service.ledger.TeamIndex(name)
	}
	return nil
}

// observe processes an event on its way to the decision module: it tracks the listed endpoints, the attempts that end
// and the load that endpoints report.
func (service *contractService) observe(event *loopEvent) {
	switch event.Kind {
	case balance.EndpointSnapshot:
		clear(service.groups)
		fallthrough
	case balance.EndpointUpdate:
		for _, endpoint := range event.Endpoints {
			if service.groups[endpoint.ID] = endpoint.Group; endpoint.State == balance.Removed {
				delete(service.groups, endpoint.ID)
			}
		}
	case balance.AttemptEnded:
		service.attemptEnded(event.Endpoint)
	case balance.ProbeEnded:
		if group, listed := service.groups[event.Endpoint]; listed && event.Outcome == balance.Succeeded && event.reportedActive >= 0 {
			service.ledger.AddLoadReport(group, service.openAttempts[event.Endpoint], event.reportedActive)
		}
	}
}

// attemptEnded decrements the number of open attempts of an endpoint.
func (service *contractService) attemptEnded(endpoint balance.EndpointID) {
	if service.openAttempts[endpoint]--; service.openAttempts[endpoint] <= 0 {
		delete(service.openAttempts, endpoint)
	}
}

// admit applies load shedding and the contracts to a request that has arrived. It reports whether the request is
// admitted and, if so, whether it is queued. A request that is not admitted is rejected immediately.
func (service *contractService) admit(arrival *loopEvent, now clock.Nanos) (admitted, queued bool) {
	request := arrival.request
	team, reason := service.ledger.Match(request.identity)
	team, reason = service.ledger.TeamFromComment(request.Team, team, reason)
	verdict := contract.Verdict{Reason: reason}
	if team >= 0 {
		if service.shedding != nil && !service.shedding.admit(request, team, now) {
			return false, false
		}
		request.contractRequest = contract.Request{Team: team, Class: arrival.Class, Group: request.Cluster, Key: request.Key, IsRetry: request.Retry, ID: request.ID, Deadline: request.deadline}
		verdict = service.ledger.Admit(request.contractRequest, now)
	}
	if request.contractReason = verdict.Reason; !verdict.Reason.Admitted() {
		request.rejectionReason = service.rejectionFor(team, request, verdict)
		service.router.metrics.Add(metrics.RejectedByContract)
		request.deliver(balance.Action{Kind: balance.RejectRequest, RetryAfter: verdict.RetryAfter})
		return false, false
	}
	if service.shedding != nil {
		service.shedding.requestStarted(request)
	}
	if verdict.Displaced != nil {
		service.rejectQueued(*verdict.Displaced)
	}
	if verdict.Queued {
		return true, true
	}
	request.lowPriority, arrival.OverQuota = verdict.LowPriority, verdict.LowPriority
	return true, false
}

// rejectQueued rejects a queued request.
func (service *contractService) rejectQueued(verdict contract.QueuedVerdict) {
	if request := service.router.loop.requests[verdict.ID]; request != nil {
		service.router.metrics.Add(metrics.RejectedByContract)
		request.contractReason, request.rejectionReason = verdict.Reason, service.rejectionFor(request.contractRequest.Team, request, verdict.Verdict)
		request.deliver(balance.Action{Kind: balance.RejectRequest, RetryAfter: verdict.RetryAfter})
	}
}

// releaseQueued passes the queued requests that are now admitted to the decision module, and rejects those that expired
// in the queue.
func (service *contractService) releaseQueued(now clock.Nanos) {
	loop := service.router.loop
	for _, verdict := range service.ledger.DecideQueued(now) {
		request := loop.requests[verdict.ID]
		switch {
		case request == nil:
		case !verdict.Reason.Admitted():
			service.rejectQueued(verdict)
		default:
			request.lowPriority = true
			arrival := request.queuedArrival
			arrival.OverQuota = true
			loop.addToBatch(arrival)
		}
	}
}

// requestEnded records a request's end in the ledger.
func (service *contractService) requestEnded(request *request, now clock.Nanos) {
	outcome := request.end
	outcome.Abandoned = outcome.Abandoned || !request.contractReason.Admitted()
	service.ledger.RequestEnded(request.contractRequest, request.lowPriority, outcome, now)
	if service.shedding != nil {
		service.shedding.requestEnded(request, now)
	}
	if request.end.Served {
		service.responseTimes.Record(service.ledger.TeamName(request.contractRequest.Team), request.Class, time.Duration(request.end.Elapsed))
	}
}

// order sorts the arrivals of requests in a batch into the order that is fair to the teams (contract.Order). Arrivals
// only swap places with each other, so that no other event moves.
func (service *contractService) order(batch []balance.Event, requests map[string]*request) {
	service.orderBuffer = service.orderBuffer[:0]
	for i := range batch {
		if request := requests[batch[i].Request]; batch[i].Kind == balance.RequestArrived && request != nil {
			service.orderBuffer = append(service.orderBuffer, contract.BatchedRequest{Team: request.contractRequest.Team, Class: request.contractRequest.Class, Reason: request.contractReason, Index: i})
		}
	}
	if len(service.orderBuffer) < 2 {
		return
	}
	service.swapBuffer = service.swapBuffer[:0]
	positions := make([]int, len(service.orderBuffer))
	for i, batched := range service.orderBuffer {
		positions[i] = batched.Index
	}
	service.ledger.Order(service.orderBuffer)
	for _, batched := range service.orderBuffer {
		service.swapBuffer = append(service.swapBuffer, batch[batched.Index])
	}
	for i, position := range positions {
		batch[position] = service.swapBuffer[i]
	}
	clear(service.swapBuffer)
}

// rejectionFor returns the reason for a rejection, which names the team, the limit and the limit's value.
func (service *contractService) rejectionFor(team int, request *request, verdict contract.Verdict) *rejectionReason {
	teamName := service.ledger.TeamName(team)
	limit := strconv.FormatFloat(verdict.Limit, 'g', 4, 64)
	hint := "come back after the time in DETAIL, in ms; what is beyond the contract passes again when others leave room"
	switch verdict.Reason {
	case contract.UnknownTeam:
		return &rejectionReason{"no team is known by this user, database, application or address (contracts)", "ask the operators for a contract"}
	case contract.AmbiguousTeam:
		return &rejectionReason{"two teams are known by this user, database, application or address (contracts)", "the operators want to know"}
	case contract.ClassNotAllowed:
		return &rejectionReason{fmt.Sprintf("team %s may not use class %s (contracts)", teamName, request.Class), "ask the operators for a larger contract"}
	case contract.TooManyOpen:
		return &rejectionReason{fmt.Sprintf("team %s has its %s requests open (contracts: open)", teamName, limit), hint}
	case contract.OverRate:
		return &rejectionReason{fmt.Sprintf("team %s is over its %s a second of class %s (contracts: per_s), and others need the room", teamName, limit, request.Class), hint}
	case contract.OverPrimaryShare:
		return &rejectionReason{fmt.Sprintf("team %s is over its share %s of the primary of cluster %d (contracts: primary_share), and others need the room", teamName, limit, request.Cluster), hint}
	case contract.OverRetryShare:
		return &rejectionReason{fmt.Sprintf("team %s repeats more than %s of its first tries (contracts: retry_share), and others need the room", teamName, limit), hint}
	}
	return &rejectionReason{verdict.Reason.String(), ""}
}

// answers returns the handlers of the commands that the accounts' admin socket accepts.
func (service *contractService) answers() admin.Handlers {
	commands := admin.Handlers{"accounts": func(ctx context.Context) any { return service.rows(ctx) }}
	if service.shedding != nil {
		commands["lanes"] = func(ctx context.Context) (report any) {
			service.router.loop.do(ctx, func() { report = service.shedding.report() })
			return report
		}
	}
	if members := service.router.membership; members != nil && members.settings.Socket == service.settings.Socket {
		commands["members"] = members.report
	}
	return commands
}

// rows returns the rows of the current accounts.
func (service *contractService) rows(ctx context.Context) []accounting.Row {
	var rows []accounting.Row
	service.router.loop.do(ctx, func() {
		service.ledger.Accounts(func(team, class string, account contract.Account) {
			row := accounting.Row{Team: team, Class: class, Requested: account.Requested, Served: account.Served, InObjective: account.InObjective, Rejected: account.Rejected, Failed: account.Failed, Weight: account.Weight,
				Admitted: map[string]uint64{}, RejectedByContract: map[string]uint64{}}
			for index, count := range account.ByReason {
				switch reason := contract.Reason(index); {
				case count == 0:
				case reason.Admitted():
					row.Admitted[reason.String()] = count
				default:
					row.RejectedByContract[reason.String()] = count
				}
			}
			row.P50MS, row.P99MS = service.responseTimes.Quantiles(team, class)
			rows = append(rows, row)
		})
	})
	return rows
}

// nextToProbe returns the endpoint to probe after the given one, in round-robin order by ID.
func (service *contractService) nextToProbe(previous balance.EndpointID) (next balance.EndpointID, ok bool) {
	lowest, found := balance.EndpointID(0), false
	for endpoint := range service.groups {
		switch {
		case endpoint > previous && (!ok || endpoint < next):
			next, ok = endpoint, true
		case !found || endpoint < lowest:
			lowest, found = endpoint, true
		}
	}
	if !ok {
		return lowest, found
	}
	return next, ok
}

// run probes the endpoints' load, logs the accounts periodically and serves them on the admin socket until the context
// is done.
func (service *contractService) run(ctx context.Context) {
	var probeTick, logTick <-chan time.Time
	if platform := &service.router.config.Settings.Balance; platform.ProbesAllowed && platform.Routers > 1 {
		ticker := time.NewTicker(loadProbeInterval)
		defer ticker.Stop()
		probeTick = ticker.C
	}
	if service.settings != nil && service.settings.Socket != "" {
		stopServing, err := admin.Serve(ctx, service.settings.Socket, service.answers())
		if err != nil {
			slog.Error("serving the accounts on the admin socket failed", "err", err)
		} else {
			defer stopServing()
		}
	}
	if service.settings != nil && service.settings.LogIntervalS > 0 {
		ticker := time.NewTicker(time.Duration(service.settings.LogIntervalS) * time.Second)
		defer ticker.Stop()
		logTick = ticker.C
	}
	var sheddingTick <-chan time.Time
	if service.shedding != nil {
		ticker := time.NewTicker(sheddingInterval)
		defer ticker.Stop()
		sheddingTick = ticker.C
	}
	loggedCounts, endpoint := map[[2]string]uint64{}, balance.EndpointID(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-probeTick:
			found := false
			if service.router.loop.do(ctx, func() { endpoint, found = service.nextToProbe(endpoint) }) && found {
				service.router.probe(endpoint)
			}
		case <-sheddingTick:
			service.router.loop.do(ctx, func() { service.shedding.tick(service.router.clock.now()) })
		case <-logTick:
			service.logAccounts(ctx, loggedCounts)
		}
	}
}

// logAccounts logs the accounts that have received requests since they were last logged.
func (service *contractService) logAccounts(ctx context.Context, loggedCounts map[[2]string]uint64) {
	lines := 0
	for _, row := range service.rows(ctx) {
		key := [2]string{row.Team, row.Class}
		if row.Requested == loggedCounts[key] {
			continue
		}
		loggedCounts[key] = row.Requested
		if lines++; lines <= maxAccountLines {
			slog.Info("account", "team", row.Team, "class", row.Class, "asked", row.Requested, "grounds", row.Admitted, "refused", row.RejectedByContract,
				"served", row.Served, "in_aim", row.InObjective, "turned_away", row.Rejected, "failed", row.Failed, "worth", row.Weight, "p50_ms", row.P50MS, "p99_ms", row.P99MS)
		}
	}
	if lines > maxAccountLines {
		slog.Info("accounts omitted from the log", "count", lines-maxAccountLines)
	}
}
