package router

import (
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"lotushook/internal/metrics"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/crdt"
	"lotushook/policy/membership"
	"lotushook/policy/shedding"
)

const (
	laneEvery = 50 * time.Millisecond // what others report comes into force so soon
	laneLines = time.Second           // a line for each group whose level moved to another lane, at most so often
)

// lanes carries out who is shed: all of it on the owner's goroutine, like the contracts' terms. What is told to the others
// goes by what the routers share; nobody waits for them.
type lanes struct {
	router *Router
	own    shedding.Settings
	decide *shedding.Lanes
	lines  map[int64]laneLine
}

// laneLine is what the last line of a group said.
type laneLine struct {
	at   balance.Nanos
	lane string
}

func newLanes(r *Router, own *siteconfig.Setup) (*lanes, error) {
	l := &lanes{router: r, lines: map[int64]laneLine{}}
	s, err := l.settings(own)
	if err != nil || s == nil {
		return nil, err
	}
	l.own = *s
	if l.decide, err = shedding.New(*s); err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	return l, nil
}

// settings are the lanes as they hold on this platform; nil: there are none.
func (l *lanes) settings(own *siteconfig.Setup) (*shedding.Settings, error) {
	b := &l.router.conf.Settings.Balance
	back := shedding.Nanos(0)
	if b.RetryAfter {
		back = b.MaxRetryAfter
	}
	s, err := own.Contracts.Lane(siteconfig.Fleet{Router: l.router.conf.Name, Boot: uint64(l.router.clock.unix), Routers: b.Instances, Agreed: own.Members != nil && own.Members.Share}, back)
	if err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	return s, nil
}

// ask says whether a request is taken; one that is shed is refused at once.
func (l *lanes) ask(r *request, team int, now balance.Nanos) bool {
	set := l.router.conf.Settings
	terms := l.router.owner.terms
	q := shedding.Request{Team: team, Account: l.own.Account(terms.book.Name(team), r.Session), Group: r.Cluster, Key: r.Key, Again: r.Retry, Part: terms.book.Part(r.Cluster)}
	if set.IsSession(r.Class) && r.Session != "" {
		q.Reads = shedding.Session(r.Cluster, r.Session)
		q.Own = r.wrote > 0 && now-r.wrote < l.own.OweFor
	}
	r.lane = l.decide.Ask(q, now)
	if r.lane.Reason != shedding.Shed {
		return true
	}
	l.router.tally.Add(metrics.Lane)
	r.why = &refusal{"lane " + l.decide.Name(r.lane.Lane) + " is shed at cluster " + strconv.FormatInt(r.Cluster, 10) + ", by all routers (lanes)",
		"come back after the time in DETAIL, in ms; another router refuses the same"}
	if !l.own.Agreed {
		r.why.text, r.why.hint = "lane "+l.decide.Name(r.lane.Lane)+" is shed at cluster "+strconv.FormatInt(r.Cluster, 10)+" (lanes)", "come back after the time in DETAIL, in ms"
	}
	r.hand(balance.Action{Kind: balance.Refuse, Wait: r.lane.Wait})
	return false
}

func (l *lanes) aim(class int) balance.Nanos {
	if classes := l.router.conf.Settings.Balance.Classes; class >= 0 && class < len(classes) {
		return classes[class].Aim
	}
	return 0
}

// begun notes a request that goes on, or waits for its turn.
func (l *lanes) begun(r *request) { l.decide.Begun(r.Cluster, r.came, l.aim(r.asked.Class)) }

// ended tells of a request's end.
func (l *lanes) ended(r *request, now balance.Nanos) {
	e := shedding.End{Came: r.came, Took: r.end.Took, Aim: l.aim(r.asked.Class), Served: r.end.Served, MayRun: r.end.MayRun, Gone: r.end.Gone || !r.ground.Taken()}
	if l.router.conf.Settings.IsWrite(r.Class) && r.Session != "" {
		e.Wrote = shedding.Session(r.Cluster, r.Session)
	}
	l.decide.Ended(r.Cluster, r.lane.Lane, r.Key, e, now)
}

// tick takes in what the others report, and tells them what this router would have.
func (l *lanes) tick(now balance.Nanos) {
	m := l.router.members
	if !l.own.Agreed || m == nil || m.state == nil || m.peers == nil {
		l.decide.Tick(now, shedding.Sight{}, nil)
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
		for _, e := range store.Levels(now) {
			if group, err := strconv.ParseInt(e.A, 10, 64); err == nil {
				load, wish, epoch := e.Leveled()
				reports = append(reports, shedding.Report{Group: group, Name: e.From.Name, Boot: e.From.Boot, Seq: e.Seq, Age: e.Age, Load: load, Wish: wish, Epoch: epoch, Out: !counts[e.From.Name]})
			}
		}
	})
	for _, s := range l.decide.Tick(now, shedding.Sight{Majority: v.Majority, CutOff: v.Deaf || v.Taken}, reports) {
		m.state.Learn(crdt.Leveled(strconv.FormatInt(s.Group, 10), s.Load, s.Wish, s.Epoch))
	}
	l.log(now)
}

// log writes a line when a group's level moves to another lane.
func (l *lanes) log(now balance.Nanos) {
	for _, s := range l.decide.States() {
		if old := l.lines[s.Group]; s.Lane != old.lane && now-old.at >= int64(laneLines) {
			if len(l.lines) >= l.own.Groups {
				clear(l.lines)
			}
			l.lines[s.Group] = laneLine{now, s.Lane}
			slog.Info("lanes", "cluster", s.Group, "shed_up_to", s.Lane, "level", s.Level, "most", s.Most, "epoch", s.Epoch, "heard", s.Heard, "whole", s.Whole, "alone", s.Alone,
				"pressure", strconv.FormatFloat(s.Pressure, 'f', 3, 64))
		}
	}
}

// Lanes is what operators read of the lanes.
type Lanes struct {
	Groups []shedding.State `json:"groups"`
	Lanes  []shedding.Count `json:"lanes"`
	Full   uint64           `json:"full"` // requests that passed because their group found no room
}

// report is as of now; for the owner's goroutine.
func (l *lanes) report() *Lanes {
	return &Lanes{l.decide.States(), l.decide.Counts(), l.decide.Full()}
}
