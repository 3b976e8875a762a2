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
	"lotushook/policy/contract"
	"lotushook/policy/shedding"
)

const (
	mostAccounts = 200 // log lines a period; the rest are counted

	// What a server says that it holds tells this router's part of the load. One
	// is asked so often, by turns: some hundredths of a probe a request.
	askEvery = 200 * time.Millisecond
)

// terms carries the teams' contracts out. All but run and settings is the owner's
// goroutine's.
type terms struct {
	router *Router
	book   *contract.Book
	out    map[uint32]int   // this router's open attempts by node
	groups map[uint32]int64 // of the listed nodes
	took   *accounting.Times
	own    *siteconfig.Accounts
	lanes  *lanes             // who is shed before contracts are asked; nil: nobody
	list   []contract.Waiting // to be used again
	swap   []balance.Event
}

func newTerms(r *Router, own *siteconfig.Setup) (*terms, error) {
	t := &terms{router: r, out: map[uint32]int{}, groups: map[uint32]int64{}, took: accounting.NewTimes(), own: own.Accounts}
	s, err := t.settings(own.Contracts)
	if err != nil {
		return nil, err
	}
	if t.book, err = contract.New(s, r.conf.Seed); err != nil {
		return nil, err
	}
	t.lanes, err = newLanes(r, own)
	return t, err
}

// settings are contracts as they hold on this platform.
func (t *terms) settings(c *siteconfig.Contracts) (contract.Settings, error) {
	b := &t.router.conf.Settings.Balance
	back := contract.Nanos(0)
	if b.RetryAfter {
		back = b.MaxRetryAfter
	}
	s, err := c.Book(c.Classes(b.Classes), b.Instances, back)
	if err != nil {
		return s, fmt.Errorf("contracts: %w", err)
	}
	return s, nil
}

// lanesOf are the lanes as they hold with other settings, which can't switch them on or off.
func (t *terms) lanesOf(own *siteconfig.Setup) (*shedding.Settings, error) {
	if (own.Contracts.Lanes != nil) != (t.lanes != nil) {
		return nil, errors.New("contracts: lanes can't be switched on or off in service")
	}
	if t.lanes == nil {
		return nil, nil
	}
	return t.lanes.settings(own)
}

// set puts contracts in force, and lanes with them.
func (t *terms) set(s contract.Settings, l *shedding.Settings) error {
	var err error
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	if !t.router.owner.do(ctx, func() {
		if l != nil {
			if err = t.lanes.decide.Set(*l); err != nil {
				return
			}
			t.lanes.own = *l
		}
		err = t.take(s)
	}) {
		return fmt.Errorf("contracts: %w", ctx.Err())
	}
	return err
}

// take puts contracts in force; open requests stay with their teams by name.
func (t *terms) take(s contract.Settings) error {
	names := map[*request]string{}
	for _, r := range t.router.owner.requests {
		names[r] = t.book.Name(r.asked.Team)
	}
	if err := t.book.Set(s); err != nil {
		return err
	}
	for r, name := range names {
		r.asked.Team = t.book.Team(name)
	}
	return nil
}

// hear notes what passes: which nodes there are, what ends there, and what they
// say that they hold.
func (t *terms) hear(e *event) {
	switch e.Kind {
	case balance.NodesFull:
		clear(t.groups)
		fallthrough
	case balance.NodesChanged:
		for _, n := range e.Nodes {
			if t.groups[n.Node] = n.Group; n.State == balance.Gone {
				delete(t.groups, n.Node)
			}
		}
	case balance.AttemptDone:
		t.back(e.Node)
	case balance.ProbeDone:
		if g, ok := t.groups[e.Node]; ok && e.Outcome == balance.Done && e.held >= 0 {
			t.book.Load(g, t.out[e.Node], e.held)
		}
	}
}

// back counts an attempt that has ended.
func (t *terms) back(node uint32) {
	if t.out[node]--; t.out[node] <= 0 {
		delete(t.out, node)
	}
}

// ask lets a request that has come in go on, has it wait for its turn, or refuses
// it at once.
func (t *terms) ask(e *event, now balance.Nanos) (taken, hold bool) {
	r := e.req
	team, why := t.book.Match(r.who)
	team, why = t.book.Named(r.Team, team, why)
	v := contract.Verdict{Reason: why}
	if team >= 0 {
		if t.lanes != nil && !t.lanes.ask(r, team, now) {
			return false, false
		}
		r.asked = contract.Request{Team: team, Class: e.Class, Group: r.Cluster, Key: r.Key, Retry: r.Retry, ID: r.ID, Until: r.deadline}
		v = t.book.Ask(r.asked, now)
	}
	if r.ground = v.Reason; !v.Reason.Taken() {
		r.why = t.wording(team, r, v)
		t.router.tally.Add(metrics.Contract)
		r.hand(balance.Action{Kind: balance.Refuse, Wait: v.Wait})
		return false, false
	}
	if t.lanes != nil {
		t.lanes.begun(r)
	}
	if v.Instead != nil {
		t.refuse(*v.Instead)
	}
	if v.Hold {
		return true, true
	}
	r.after, e.Over = v.After, v.After
	return true, false
}

// refuse ends the wait of one that has no turn.
func (t *terms) refuse(turn contract.Turn) {
	if r := t.router.owner.requests[turn.ID]; r != nil {
		t.router.tally.Add(metrics.Contract)
		r.ground, r.why = turn.Reason, t.wording(r.asked.Team, r, turn.Verdict)
		r.hand(balance.Action{Kind: balance.Refuse, Wait: turn.Wait})
	}
}

// due lets those go on whose turn has come, and refuses those whose time is over.
func (t *terms) due(now balance.Nanos) {
	o := t.router.owner
	for _, turn := range t.book.Due(now) {
		r := o.requests[turn.ID]
		switch {
		case r == nil:
		case !turn.Reason.Taken():
			t.refuse(turn)
		default:
			r.after = true
			e := r.held
			e.Over = true
			o.admit(e)
		}
	}
}

// ended tells the book of a request's end.
func (t *terms) ended(r *request, now balance.Nanos) {
	end := r.end
	end.Gone = end.Gone || !r.ground.Taken()
	t.book.Ended(r.asked, r.after, end, now)
	if t.lanes != nil {
		t.lanes.ended(r, now)
	}
	if r.end.Served {
		t.took.Add(t.book.Name(r.asked.Team), r.Class, time.Duration(r.end.Took))
	}
}

// order puts the requests that came in one batch into the teams' turns. They stay
// in the places that requests had, so that nothing else moves.
func (t *terms) order(batch []balance.Event, requests map[string]*request) {
	t.list = t.list[:0]
	for i := range batch {
		if r := requests[batch[i].Request]; batch[i].Kind == balance.RequestIn && r != nil {
			t.list = append(t.list, contract.Waiting{Team: r.asked.Team, Class: r.asked.Class, Ground: r.ground, Index: i})
		}
	}
	if len(t.list) < 2 {
		return
	}
	t.swap = t.swap[:0]
	places := make([]int, len(t.list))
	for i, w := range t.list {
		places[i] = w.Index
	}
	t.book.Order(t.list)
	for _, w := range t.list {
		t.swap = append(t.swap, batch[w.Index])
	}
	for i, at := range places {
		batch[at] = t.swap[i]
	}
	clear(t.swap)
}

// wording names the team, the limit and its figure.
func (t *terms) wording(team int, r *request, v contract.Verdict) *refusal {
	name := t.book.Name(team)
	figure := strconv.FormatFloat(v.Limit, 'g', 4, 64)
	back := "come back after the time in DETAIL, in ms; what is beyond the contract passes again when others leave room"
	switch v.Reason {
	case contract.Unknown:
		return &refusal{"no team is known by this user, database, application or address (contracts)", "ask the operators for a contract"}
	case contract.TwoTeams:
		return &refusal{"two teams are known by this user, database, application or address (contracts)", "the operators want to know"}
	case contract.NoClass:
		return &refusal{fmt.Sprintf("team %s may not use class %s (contracts)", name, r.Class), "ask the operators for a larger contract"}
	case contract.OpenFull:
		return &refusal{fmt.Sprintf("team %s has its %s requests open (contracts: open)", name, figure), back}
	case contract.RateOver:
		return &refusal{fmt.Sprintf("team %s is over its %s a second of class %s (contracts: per_s), and others need the room", name, figure, r.Class), back}
	case contract.ShareOver:
		return &refusal{fmt.Sprintf("team %s is over its share %s of the primary of cluster %d (contracts: primary_share), and others need the room", name, figure, r.Cluster), back}
	case contract.RetryOver:
		return &refusal{fmt.Sprintf("team %s repeats more than %s of its first tries (contracts: retry_share), and others need the room", name, figure), back}
	}
	return &refusal{v.Reason.String(), ""}
}

// answers are what is told at the accounts' socket.
func (t *terms) answers() admin.Answers {
	a := admin.Answers{"accounts": func(ctx context.Context) any { return t.rows(ctx) }}
	if t.lanes != nil {
		a["lanes"] = func(ctx context.Context) (out any) {
			t.router.owner.do(ctx, func() { out = t.lanes.report() })
			return out
		}
	}
	if m := t.router.members; m != nil && m.own.Socket == t.own.Socket {
		a["members"] = m.rows
	}
	return a
}

// rows are the accounts as they stand.
func (t *terms) rows(ctx context.Context) []accounting.Row {
	var rows []accounting.Row
	t.router.owner.do(ctx, func() {
		t.book.Accounts(func(team, class string, a contract.Account) {
			row := accounting.Row{Team: team, Class: class, Asked: a.Asked, Served: a.Served, InAim: a.InAim, TurnedAway: a.Refused, Failed: a.Failed, Worth: a.Worth,
				Grounds: map[string]uint64{}, Refused: map[string]uint64{}}
			for r, n := range a.By {
				switch reason := contract.Reason(r); {
				case n == 0:
				case reason.Taken():
					row.Grounds[reason.String()] = n
				default:
					row.Refused[reason.String()] = n
				}
			}
			row.P50MS, row.P99MS = t.took.Quantiles(team, class)
			rows = append(rows, row)
		})
	})
	return rows
}

// next is the node to ask for its load after another: by number, round and round.
func (t *terms) next(after uint32) (node uint32, ok bool) {
	least, found := uint32(0), false
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

// run asks for loads, logs the accounts once a period, and lets them be read,
// until the context ends.
func (t *terms) run(ctx context.Context) {
	var asked, told <-chan time.Time
	if b := &t.router.conf.Settings.Balance; b.Probing && b.Instances > 1 {
		tick := time.NewTicker(askEvery)
		defer tick.Stop()
		asked = tick.C
	}
	if t.own != nil && t.own.Socket != "" {
		stop, err := admin.Serve(ctx, t.own.Socket, t.answers())
		if err != nil {
			slog.Error("accounts can't be read", "err", err)
		} else {
			defer stop()
		}
	}
	if t.own != nil && t.own.EveryS > 0 {
		tick := time.NewTicker(time.Duration(t.own.EveryS) * time.Second)
		defer tick.Stop()
		told = tick.C
	}
	var shed <-chan time.Time
	if t.lanes != nil {
		tick := time.NewTicker(laneEvery)
		defer tick.Stop()
		shed = tick.C
	}
	before, node := map[[2]string]uint64{}, uint32(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
			found := false
			if t.router.owner.do(ctx, func() { node, found = t.next(node) }) && found {
				t.router.probe(node)
			}
		case <-shed:
			t.router.owner.do(ctx, func() { t.lanes.tick(t.router.clock.now()) })
		case <-told:
			t.tell(ctx, before)
		}
	}
}

// tell logs the accounts of those that have asked since they were last told.
func (t *terms) tell(ctx context.Context, before map[[2]string]uint64) {
	lines := 0
	for _, row := range t.rows(ctx) {
		key := [2]string{row.Team, row.Class}
		if row.Asked == before[key] {
			continue
		}
		before[key] = row.Asked
		if lines++; lines <= mostAccounts {
			slog.Info("account", "team", row.Team, "class", row.Class, "asked", row.Asked, "grounds", row.Grounds, "refused", row.Refused,
				"served", row.Served, "in_aim", row.InAim, "turned_away", row.TurnedAway, "failed", row.Failed, "worth", row.Worth, "p50_ms", row.P50MS, "p99_ms", row.P99MS)
		}
	}
	if lines > mostAccounts {
		slog.Info("accounts without a line", "count", lines-mostAccounts)
	}
}
