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
	maxAccountLines = 200 // log lines a period; the rest are counted

	// The load that a server reports determines this router's share of its capacity.
	// One endpoint is probed per interval, in turn: a few hundredths of a probe per request.
	loadProbeInterval = 200 * time.Millisecond
)

// contractService carries out the teams' contracts. All of it except run and settings belongs to the event loop's
// goroutine.
type contractService struct {
	router        *Router
	ledger        *contract.Ledger
	openAttempts  map[balance.EndpointID]int   // this router's open attempts by endpoint
	groups        map[balance.EndpointID]int64 // of the listed endpoints
	responseTimes *accounting.Times
	settings      *siteconfig.Accounts
	shedding      *sheddingService          // load shedding, applied before the contracts; nil: off
	orderBuffer   []contract.BatchedRequest // reused
	swapBuffer    []balance.Event
}

func newContractService(r *Router, own *siteconfig.Config) (*contractService, error) {
	t := &contractService{router: r, openAttempts: map[balance.EndpointID]int{}, groups: map[balance.EndpointID]int64{}, responseTimes: accounting.NewTimes(), settings: own.Accounts}
	s, err := t.contractSettings(own.Contracts)
	if err != nil {
		return nil, err
	}
	if t.ledger, err = contract.New(s, r.config.Seed); err != nil {
		return nil, err
	}
	t.shedding, err = newSheddingService(r, own)
	return t, err
}

// contractSettings are the contracts as applied on this platform.
func (t *contractService) contractSettings(c *siteconfig.Contracts) (contract.Settings, error) {
	b := &t.router.config.Settings.Balance
	back := clock.Nanos(0)
	if b.RetryAfterAllowed {
		back = b.MaxRetryAfter
	}
	s, err := c.LedgerSettings(c.Classes(b.Classes), b.Routers, back)
	if err != nil {
		return s, fmt.Errorf("contracts: %w", err)
	}
	return s, nil
}

// sheddingSettings returns the shedding settings that a reload brings; a reload can't switch shedding on or off.
func (t *contractService) sheddingSettings(own *siteconfig.Config) (*shedding.Settings, error) {
	if (own.Contracts.Shedding != nil) != (t.shedding != nil) {
		return nil, errors.New("contracts: lanes can't be switched on or off in service")
	}
	if t.shedding == nil {
		return nil, nil
	}
	return t.shedding.settingsFrom(own)
}

// reload puts new contracts in force, and new shedding settings with them.
func (t *contractService) reload(s contract.Settings, l *shedding.Settings) error {
	var err error
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	if !t.router.loop.do(ctx, func() {
		if l != nil {
			if err = t.shedding.shedder.Configure(*l); err != nil {
				return
			}
			t.shedding.settings = *l
		}
		err = t.apply(s)
	}) {
		return fmt.Errorf("contracts: %w", ctx.Err())
	}
	return err
}

// apply puts new contracts in force; open requests stay with their teams by name.
func (t *contractService) apply(s contract.Settings) error {
	names := map[*request]string{}
	for _, r := range t.router.loop.requests {
		names[r] = t.ledger.TeamName(r.contractRequest.Team)
	}
	if err := t.ledger.UpdateSettings(s); err != nil {
		return err
	}
	for r, name := range names {
		r.contractRequest.Team = t.ledger.TeamIndex(name)
	}
	return nil
}

// observe tracks the events that pass: which endpoints are listed, which attempts end, and which load the
// endpoints report.
func (t *contractService) observe(e *loopEvent) {
	switch e.Kind {
	case balance.EndpointSnapshot:
		clear(t.groups)
		fallthrough
	case balance.EndpointUpdate:
		for _, n := range e.Endpoints {
			if t.groups[n.ID] = n.Group; n.State == balance.Removed {
				delete(t.groups, n.ID)
			}
		}
	case balance.AttemptEnded:
		t.attemptEnded(e.Endpoint)
	case balance.ProbeEnded:
		if g, ok := t.groups[e.Endpoint]; ok && e.Outcome == balance.Succeeded && e.reportedActive >= 0 {
			t.ledger.AddLoadReport(g, t.openAttempts[e.Endpoint], e.reportedActive)
		}
	}
}

// attemptEnded counts an attempt that has ended.
func (t *contractService) attemptEnded(node balance.EndpointID) {
	if t.openAttempts[node]--; t.openAttempts[node] <= 0 {
		delete(t.openAttempts, node)
	}
}

// admit passes an incoming request on, queues it, or rejects
// it at once.
func (t *contractService) admit(e *loopEvent, now clock.Nanos) (taken, hold bool) {
	r := e.request
	team, why := t.ledger.Match(r.identity)
	team, why = t.ledger.TeamFromComment(r.Team, team, why)
	v := contract.Verdict{Reason: why}
	if team >= 0 {
		if t.shedding != nil && !t.shedding.admit(r, team, now) {
			return false, false
		}
		r.contractRequest = contract.Request{Team: team, Class: e.Class, Group: r.Cluster, Key: r.Key, IsRetry: r.Retry, ID: r.ID, Deadline: r.deadline}
		v = t.ledger.Admit(r.contractRequest, now)
	}
	if r.contractReason = v.Reason; !v.Reason.Admitted() {
		r.rejectionReason = t.rejectionFor(team, r, v)
		t.router.metrics.Add(metrics.RejectedByContract)
		r.deliver(balance.Action{Kind: balance.RejectRequest, RetryAfter: v.RetryAfter})
		return false, false
	}
	if t.shedding != nil {
		t.shedding.requestStarted(r)
	}
	if v.Displaced != nil {
		t.rejectQueued(*v.Displaced)
	}
	if v.Queued {
		return true, true
	}
	r.lowPriority, e.OverQuota = v.LowPriority, v.LowPriority
	return true, false
}

// rejectQueued ends the wait of a queued request.
func (t *contractService) rejectQueued(turn contract.QueuedVerdict) {
	if r := t.router.loop.requests[turn.ID]; r != nil {
		t.router.metrics.Add(metrics.RejectedByContract)
		r.contractReason, r.rejectionReason = turn.Reason, t.rejectionFor(r.contractRequest.Team, r, turn.Verdict)
		r.deliver(balance.Action{Kind: balance.RejectRequest, RetryAfter: turn.RetryAfter})
	}
}

// releaseQueued passes on the requests whose turn has come, and rejects those whose deadline has passed.
func (t *contractService) releaseQueued(now clock.Nanos) {
	o := t.router.loop
	for _, turn := range t.ledger.DecideQueued(now) {
		r := o.requests[turn.ID]
		switch {
		case r == nil:
		case !turn.Reason.Admitted():
			t.rejectQueued(turn)
		default:
			r.lowPriority = true
			e := r.queuedArrival
			e.OverQuota = true
			o.addToBatch(e)
		}
	}
}

// requestEnded records a request's end in the ledger.
func (t *contractService) requestEnded(r *request, now clock.Nanos) {
	end := r.end
	end.Abandoned = end.Abandoned || !r.contractReason.Admitted()
	t.ledger.RequestEnded(r.contractRequest, r.lowPriority, end, now)
	if t.shedding != nil {
		t.shedding.requestEnded(r, now)
	}
	if r.end.Served {
		t.responseTimes.Add(t.ledger.TeamName(r.contractRequest.Team), r.Class, time.Duration(r.end.Elapsed))
	}
}

// order sorts the requests that came in one batch into the teams' fair order. They stay
// in the positions that requests had, so that no other event moves.
func (t *contractService) order(batch []balance.Event, requests map[string]*request) {
	t.orderBuffer = t.orderBuffer[:0]
	for i := range batch {
		if r := requests[batch[i].Request]; batch[i].Kind == balance.RequestArrived && r != nil {
			t.orderBuffer = append(t.orderBuffer, contract.BatchedRequest{Team: r.contractRequest.Team, Class: r.contractRequest.Class, Reason: r.contractReason, Index: i})
		}
	}
	if len(t.orderBuffer) < 2 {
		return
	}
	t.swapBuffer = t.swapBuffer[:0]
	places := make([]int, len(t.orderBuffer))
	for i, w := range t.orderBuffer {
		places[i] = w.Index
	}
	t.ledger.Order(t.orderBuffer)
	for _, w := range t.orderBuffer {
		t.swapBuffer = append(t.swapBuffer, batch[w.Index])
	}
	for i, at := range places {
		batch[at] = t.swapBuffer[i]
	}
	clear(t.swapBuffer)
}

// rejectionFor names the team, the limit and its value.
func (t *contractService) rejectionFor(team int, r *request, v contract.Verdict) *rejectionReason {
	name := t.ledger.TeamName(team)
	figure := strconv.FormatFloat(v.Limit, 'g', 4, 64)
	back := "come back after the time in DETAIL, in ms; what is beyond the contract passes again when others leave room"
	switch v.Reason {
	case contract.UnknownTeam:
		return &rejectionReason{"no team is known by this user, database, application or address (contracts)", "ask the operators for a contract"}
	case contract.AmbiguousTeam:
		return &rejectionReason{"two teams are known by this user, database, application or address (contracts)", "the operators want to know"}
	case contract.ClassNotAllowed:
		return &rejectionReason{fmt.Sprintf("team %s may not use class %s (contracts)", name, r.Class), "ask the operators for a larger contract"}
	case contract.TooManyOpen:
		return &rejectionReason{fmt.Sprintf("team %s has its %s requests open (contracts: open)", name, figure), back}
	case contract.OverRate:
		return &rejectionReason{fmt.Sprintf("team %s is over its %s a second of class %s (contracts: per_s), and others need the room", name, figure, r.Class), back}
	case contract.OverPrimaryShare:
		return &rejectionReason{fmt.Sprintf("team %s is over its share %s of the primary of cluster %d (contracts: primary_share), and others need the room", name, figure, r.Cluster), back}
	case contract.OverRetryShare:
		return &rejectionReason{fmt.Sprintf("team %s repeats more than %s of its first tries (contracts: retry_share), and others need the room", name, figure), back}
	}
	return &rejectionReason{v.Reason.String(), ""}
}

// answers are the commands of the accounts' socket.
func (t *contractService) answers() admin.Answers {
	a := admin.Answers{"accounts": func(ctx context.Context) any { return t.rows(ctx) }}
	if t.shedding != nil {
		a["lanes"] = func(ctx context.Context) (out any) {
			t.router.loop.do(ctx, func() { out = t.shedding.report() })
			return out
		}
	}
	if m := t.router.membership; m != nil && m.settings.Socket == t.settings.Socket {
		a["members"] = m.report
	}
	return a
}

// rows returns the accounts' current state.
func (t *contractService) rows(ctx context.Context) []accounting.Row {
	var rows []accounting.Row
	t.router.loop.do(ctx, func() {
		t.ledger.Accounts(func(team, class string, a contract.Account) {
			row := accounting.Row{Team: team, Class: class, Requested: a.Requested, Served: a.Served, InObjective: a.InObjective, Rejected: a.Rejected, Failed: a.Failed, Weight: a.Weight,
				Grounds: map[string]uint64{}, Refused: map[string]uint64{}}
			for r, n := range a.ByReason {
				switch reason := contract.Reason(r); {
				case n == 0:
				case reason.Admitted():
					row.Grounds[reason.String()] = n
				default:
					row.Refused[reason.String()] = n
				}
			}
			row.P50MS, row.P99MS = t.responseTimes.Quantiles(team, class)
			rows = append(rows, row)
		})
	})
	return rows
}

// nextToProbe returns the endpoint to probe after another one, round-robin by ID.
func (t *contractService) nextToProbe(after balance.EndpointID) (node balance.EndpointID, ok bool) {
	least, found := balance.EndpointID(0), false
	for n := range t.groups {
		switch {
		case n > after && (!ok || n < node):
			node, ok = n, true
		case !found || n < least:
			least, found = n, true
		}
	}
	if !ok {
		return least, found
	}
	return node, ok
}

// run probes loads, logs the accounts once a period, and serves them at the socket,
// until the context ends.
func (t *contractService) run(ctx context.Context) {
	var probeTick, logTick <-chan time.Time
	if b := &t.router.config.Settings.Balance; b.ProbesAllowed && b.Routers > 1 {
		tick := time.NewTicker(loadProbeInterval)
		defer tick.Stop()
		probeTick = tick.C
	}
	if t.settings != nil && t.settings.Socket != "" {
		stop, err := admin.Serve(ctx, t.settings.Socket, t.answers())
		if err != nil {
			slog.Error("accounts can't be read", "err", err)
		} else {
			defer stop()
		}
	}
	if t.settings != nil && t.settings.LogIntervalS > 0 {
		tick := time.NewTicker(time.Duration(t.settings.LogIntervalS) * time.Second)
		defer tick.Stop()
		logTick = tick.C
	}
	var sheddingTick <-chan time.Time
	if t.shedding != nil {
		tick := time.NewTicker(sheddingInterval)
		defer tick.Stop()
		sheddingTick = tick.C
	}
	before, node := map[[2]string]uint64{}, balance.EndpointID(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-probeTick:
			found := false
			if t.router.loop.do(ctx, func() { node, found = t.nextToProbe(node) }) && found {
				t.router.probe(node)
			}
		case <-sheddingTick:
			t.router.loop.do(ctx, func() { t.shedding.tick(t.router.clock.now()) })
		case <-logTick:
			t.logAccounts(ctx, before)
		}
	}
}

// logAccounts logs the accounts that had requests since they were last logged.
func (t *contractService) logAccounts(ctx context.Context, before map[[2]string]uint64) {
	lines := 0
	for _, row := range t.rows(ctx) {
		key := [2]string{row.Team, row.Class}
		if row.Requested == before[key] {
			continue
		}
		before[key] = row.Requested
		if lines++; lines <= maxAccountLines {
			slog.Info("account", "team", row.Team, "class", row.Class, "asked", row.Requested, "grounds", row.Grounds, "refused", row.Refused,
				"served", row.Served, "in_aim", row.InObjective, "turned_away", row.Rejected, "failed", row.Failed, "worth", row.Weight, "p50_ms", row.P50MS, "p99_ms", row.P99MS)
		}
	}
	if lines > maxAccountLines {
		slog.Info("accounts without a line", "count", lines-maxAccountLines)
	}
}
