package contract

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lotushook/policy/clock"
)

const ms = clock.Nanos(1e6)

// testStart is a Monday, 12:00 UTC.
const testStart = clock.Nanos(1767614400) * second

const (
	readClass = iota
	writeClass
)

func testSettings() Settings {
	limits := func(reads, writes float64) []Limit { return []Limit{{reads, reads}, {writes, writes}} }
	return Settings{
		Classes: []Class{{Name: "read", LatencyObjective: second, PriorityWeight: 1, Cost: 1}, {Name: "write", LatencyObjective: second, IdempotencyWindow: 5 * second, Primary: true, PriorityWeight: 6, Cost: 1}},
		Teams: []Team{
			{Name: "lending", Weight: 1, Users: []string{"app"}, Addresses: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}, Limits: limits(20, 10), MaxOpen: 100, RetryShare: 0.1},
			{Name: "counters", Weight: 3, Users: []string{"counter"}, Applications: []string{"desk"}, Limits: limits(20, 10), PrimaryShare: 0.3, RetryShare: 0.1},
			{Name: "reports", Weight: 1, Databases: []string{"dwh"}, Limits: limits(5, 0)},
		},
		Ambiguous: "first", Routers: 1, Skew: 1, PrimaryWorkPerSecond: 50, HighPressure: 0.3, LowPressure: 0.12, MaxKeys: 4, MaxGroupEntries: 8, MaxRetryAfter: 2 * second,
	}
}

func newTestLedger(t *testing.T, settings Settings) *Ledger {
	t.Helper()
	ledger, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	return ledger
}

var lastID int

// withNewID returns the request with a unique ID.
func withNewID(request Request) Request {
	lastID++
	request.ID = fmt.Sprint("r", lastID)
	return request
}

// applyPressure ends slow requests within a contract until group 1's primary is under pressure, and returns the time
// of the last one.
func applyPressure(ledger *Ledger, now clock.Nanos) clock.Nanos {
	for range 100 {
		ledger.RequestEnded(Request{Team: 1, Class: writeClass, Group: 1}, false, Outcome{Served: true, Elapsed: 2 * second}, now)
		now += 20 * ms
	}
	return now
}

func TestMatch(t *testing.T) {
	settings := testSettings()
	ledger := newTestLedger(t, settings)
	parseAddr := netip.MustParseAddr
	for _, test := range []struct {
		identity Identity
		team     int
		reason   Reason
	}{
		{Identity{User: "app"}, 0, Within}, {Identity{Application: "desk"}, 1, Within}, {Identity{Database: "dwh"}, 2, Within},
		{Identity{Address: parseAddr("10.1.2.3")}, 0, Within}, {Identity{Address: parseAddr("::ffff:10.1.2.3")}, 0, Within}, {Identity{Address: parseAddr("10.2.2.3")}, -1, UnknownTeam},
		{Identity{User: "counter", Address: parseAddr("10.1.2.3")}, 0, Within}, {Identity{User: "nobody"}, -1, UnknownTeam}, {Identity{}, -1, UnknownTeam},
	} {
		if team, reason := ledger.Match(test.identity); team != test.team || reason != test.reason {
			t.Errorf("%+v: %d %s", test.identity, team, reason)
		}
	}
	if team, _ := ledger.TeamFromComment("counters", 0, Within); team != 0 {
		t.Error("a comment is trusted although TrustComment is off")
	}
	settings.Ambiguous, settings.DefaultTeam, settings.TrustComment = "refuse", "reports", true
	if err := ledger.UpdateSettings(settings); err != nil {
		t.Fatal(err)
	}
	if team, reason := ledger.Match(Identity{User: "counter", Database: "dwh"}); team != -1 || reason != AmbiguousTeam {
		t.Errorf("%d %s", team, reason)
	}
	if team, reason := ledger.Match(Identity{User: "nobody"}); team != 2 || reason != Within {
		t.Errorf("%d %s", team, reason)
	}
	if team, _ := ledger.TeamFromComment("counters", 0, Within); team != 1 {
		t.Error("a comment is not trusted although TrustComment is on")
	}
	if team, _ := ledger.TeamFromComment("odd", 0, Within); team != 2 {
		t.Error("an unknown name in a comment did not lead to the default team")
	}
}

// Requests beyond a contract borrow unused capacity while latency is low. Under pressure, they are rejected, and the
// verdict names the limit that was reached and a Retry-After time after which a retry is admitted.
func TestBorrowedCapacity(t *testing.T) {
	settings := testSettings()
	settings.Teams[0].MaxOpen = 0
	ledger := newTestLedger(t, settings)
	now, request := testStart, Request{Team: 0, Class: writeClass, Group: 1}
	admit := func(count int) map[Reason]int {
		got := map[Reason]int{}
		for range count {
			got[ledger.Admit(withNewID(request), now).Reason]++
		}
		return got
	}
	if diff := cmp.Diff(map[Reason]int{Within: 10, Borrowed: 20}, admit(30)); diff != "" {
		t.Error("without pressure", diff)
	}
	now = applyPressure(ledger, now)
	got := admit(100)
	if got[Within] != 10 || got[Borrowed] > 3 || got[OverRate] < 87 {
		t.Error("under pressure", got)
	}
	verdict := ledger.Admit(request, now)
	if verdict.Reason != OverRate || verdict.Limit != 10 || verdict.RetryAfter < 100*ms || verdict.RetryAfter > second {
		t.Errorf("%+v", verdict)
	}
	if verdict := ledger.Admit(request, now+verdict.RetryAfter); verdict.Reason != Within {
		t.Errorf("retry after RetryAfter: %+v", verdict)
	}
	if window := ledger.Window(1, true); window > 1 {
		t.Errorf("window %v at the primary under pressure", window)
	}
	otherGroup := map[Reason]int{}
	for range 30 {
		otherGroup[ledger.Admit(withNewID(Request{Team: 0, Class: writeClass, Group: 2}), now).Reason]++
	}
	if otherGroup[Borrowed] < 15 || otherGroup[Within]+otherGroup[Borrowed] != 30 {
		t.Errorf("another group's primary: %v", otherGroup)
	}
	for range 60 { // the primary recovers
		ledger.RequestEnded(Request{Team: 1, Class: writeClass, Group: 1}, false, Outcome{Served: true, Elapsed: 10 * ms}, now)
		ledger.DecideQueued(now)
		now += 50 * ms
	}
	if got := admit(30); got[Borrowed] != 20 {
		t.Error("after the recovery", got)
	}
}

// Capacity that other teams borrowed returns within a second to the team whose contract covers it. That team's
// requests within its contract are never rejected, however loaded the primary is when they arrive.
func TestLentCapacityIsReclaimed(t *testing.T) {
	ledger := newTestLedger(t, testSettings())
	now := testStart
	lent := [4]int{}     // borrowed requests admitted in each second
	for i := range 400 { // for 4 s, the team "lending" sends as many requests as it can
		for range 3 {
			borrower := withNewID(Request{Team: 0, Class: writeClass, Group: 1, Deadline: now + 4*second})
			verdict := ledger.Admit(borrower, now)
			if verdict.Reason == Borrowed && !verdict.Queued {
				lent[i/100]++
			}
			if verdict.Reason.Admitted() && !verdict.Queued {
				ledger.RequestEnded(borrower, verdict.LowPriority, Outcome{Abandoned: true}, now)
			}
		}
		for _, decided := range ledger.DecideQueued(now) {
			if decided.Reason == Borrowed {
				lent[i/100]++
			}
			ledger.RequestEnded(Request{Team: 0, Class: writeClass, Group: 1, ID: decided.ID}, decided.LowPriority, Outcome{Abandoned: true}, now)
		}
		if i >= 200 && i%10 == 0 { // from 2 s on, the other team sends requests, which are slow
			request := withNewID(Request{Team: 1, Class: writeClass, Group: 1})
			if verdict := ledger.Admit(request, now); verdict.Reason != Within || verdict.Queued {
				t.Fatalf("at %d: %+v", i, verdict)
			}
			ledger.RequestEnded(request, false, Outcome{Served: true, Elapsed: 1500 * ms}, now)
		}
		now += 10 * ms
	}
	if lent[0] < 250 || lent[1] < 250 || lent[3] > 10 {
		t.Errorf("lent in each second: %v", lent)
	}
}

// Two teams that exceed their contracts at the same time share the unused capacity by their weights, not by their
// request rates. Requests that are not admitted in time are rejected, and each queued request is decided.
//
//nolint:gocognit // one sequence of steps
func TestTwoBorrowers(t *testing.T) {
	settings := testSettings()
	settings.Teams[0].MaxOpen, settings.Teams[1].PrimaryShare = 0, 0
	ledger := newTestLedger(t, settings)
	now, admitted, rejected, queuedTeams := testStart, [2]int{}, 0, map[string]int{}
	var open []Request
	handle := func(decided QueuedVerdict, team int) {
		request := Request{Team: team, Class: writeClass, Group: 1, ID: decided.ID}
		if delete(queuedTeams, decided.ID); decided.Reason.Admitted() {
			admitted[team]++
			open = append(open, request)
		} else {
			rejected++
			ledger.RequestEnded(request, false, Outcome{Abandoned: true}, now)
		}
	}
	for i := range 6000 {
		for team, count := range []int{4, 2} { // requests every 10 ms: 400 and 200 a second
			for range count {
				request := withNewID(Request{Team: team, Class: writeClass, Group: 1})
				verdict := ledger.Admit(request, now)
				if verdict.Displaced != nil {
					handle(*verdict.Displaced, queuedTeams[verdict.Displaced.ID])
				}
				switch {
				case verdict.Queued:
					queuedTeams[request.ID] = team
				case verdict.LowPriority:
					handle(QueuedVerdict{request.ID, verdict}, team)
				case verdict.Reason.Admitted():
					ledger.RequestEnded(request, false, Outcome{Abandoned: true}, now)
				}
			}
		}
		if i%2 == 0 { // the primary serves one request every 20 ms
			if len(open) > 0 {
				ledger.RequestEnded(open[0], true, Outcome{Abandoned: true}, now)
				open = open[1:]
			}
			latency := 100 * ms
			if len(open) > 4 {
				latency = 600 * ms
			}
			ledger.RequestEnded(Request{Team: 1, Class: writeClass, Group: 1}, false, Outcome{Served: true, Elapsed: latency}, now)
		}
		for _, decided := range ledger.DecideQueued(now) {
			handle(decided, queuedTeams[decided.ID])
		}
		if i == 1000 {
			admitted = [2]int{}
		}
		now += 10 * ms
	}
	if share := float64(admitted[1]) / float64(admitted[0]+admitted[1]); share < 0.65 || share > 0.85 || admitted[0]+admitted[1] < 1000 {
		t.Errorf("the team with three times the weight got %.2f of %v", share, admitted)
	}
	if rejected == 0 || len(queuedTeams) != ledger.QueuedCount() {
		t.Errorf("%d rejected, %d queued, %d in the test's count", rejected, ledger.QueuedCount(), len(queuedTeams))
	}
}

// A team's retries have a budget. Beyond it, they use only unused capacity, and never the rate that first attempts
// need.
func TestRetries(t *testing.T) {
	ledger := newTestLedger(t, testSettings())
	now := applyPressure(ledger, testStart)
	got := map[Reason]int{}
	for range 50 {
		got[ledger.Admit(withNewID(Request{Team: 0, Class: writeClass, Group: 1, IsRetry: true}), now).Reason]++
	}
	if got[Within] > 10 || got[OverRetryShare] < 38 {
		t.Error(got)
	}
	now += second
	for i := range 9 {
		if verdict := ledger.Admit(Request{Team: 0, Class: writeClass, Group: 1}, now); verdict.Reason != Within {
			t.Errorf("first attempt %d: %+v", i, verdict)
		}
	}
}

// The retry of a keyed write that may have run is admitted whatever its team has used. The retry of a write that did
// not run, or that was answered, is treated like any other request.
func TestRetryOfWriteIsAdmitted(t *testing.T) {
	ledger := newTestLedger(t, testSettings())
	now := applyPressure(ledger, testStart)
	request := Request{Team: 0, Class: writeClass, Group: 1}
	for ledger.Admit(withNewID(request), now).Reason.Admitted() {
	}
	request.Key = "k1"
	ledger.RequestEnded(request, false, Outcome{MayHaveRun: true}, now)
	if verdict := ledger.Admit(request, now+second/2); verdict.Reason != RetryOfWrite {
		t.Errorf("%+v", verdict)
	}
	ledger.RequestEnded(request, false, Outcome{Served: true, Elapsed: ms}, now+second/2)
	for range 20 {
		ledger.Admit(withNewID(Request{Team: 0, Class: writeClass, Group: 1}), now+second/2)
	}
	if verdict := ledger.Admit(request, now+second/2); verdict.Reason.Admitted() {
		t.Errorf("after the response: %+v", verdict)
	}
	for i := range 100 {
		ledger.RequestEnded(Request{Team: 0, Class: writeClass, Group: 1, Key: fmt.Sprint(i)}, false, Outcome{MayHaveRun: true}, now)
	}
	if _, keys, _ := ledger.Size(); keys > 4 {
		t.Errorf("%d keys are stored", keys)
	}
}

// A surge of writes to one group is bounded by the team's share of its primary, although the rate over all groups
// would allow it.
func TestPrimaryShare(t *testing.T) {
	settings := testSettings()
	settings.Teams[1].Limits[writeClass] = Limit{100, 100}
	ledger := newTestLedger(t, settings)
	now, got := applyPressure(ledger, testStart), map[Reason]int{}
	for range 60 {
		got[ledger.Admit(withNewID(Request{Team: 1, Class: writeClass, Group: 1}), now).Reason]++
	}
	if got[Within] != 15 || got[OverPrimaryShare] < 40 {
		t.Error(got)
	}
	if verdict := ledger.Admit(Request{Team: 1, Class: writeClass, Group: 2}, now); verdict.Reason != Within {
		t.Errorf("another group: %+v", verdict)
	}
	for group := range int64(100) {
		ledger.Admit(withNewID(Request{Team: 1, Class: writeClass, Group: group}), now)
	}
	if budgets, _, _ := ledger.Size(); budgets > 8 {
		t.Errorf("%d budgets are stored", budgets)
	}
}

func TestMaxOpenAndClassNotAllowed(t *testing.T) {
	settings := testSettings()
	settings.Teams[0].MaxOpen = 3
	ledger := newTestLedger(t, settings)
	request := Request{Team: 0, Class: readClass, Group: 1}
	for range 3 {
		ledger.Admit(request, testStart)
	}
	if verdict := ledger.Admit(request, testStart); verdict.Reason != TooManyOpen || verdict.Limit != 3 {
		t.Errorf("%+v", verdict)
	}
	ledger.RequestEnded(request, false, Outcome{Abandoned: true}, testStart)
	if verdict := ledger.Admit(request, testStart); verdict.Reason != Within {
		t.Errorf("%+v", verdict)
	}
	if verdict := ledger.Admit(Request{Team: 2, Class: writeClass, Group: 1}, testStart); verdict.Reason != ClassNotAllowed {
		t.Errorf("%+v", verdict)
	}
	if verdict := ledger.Admit(Request{Team: -1, Class: writeClass, Group: 1}, testStart); verdict.Reason != UnknownTeam {
		t.Errorf("%+v", verdict)
	}
}

func TestHours(t *testing.T) {
	settings := testSettings()
	const hour = 3600
	settings.Teams[0].Hours = []Hours{{From: 6*24*hour + 18*hour, To: 7*24*hour + 1*hour, Factor: 2}} // Sunday 18:00 to Monday 01:00
	settings.UTCOffsetSeconds = hour
	ledger := newTestLedger(t, settings)
	for secondsLater, want := range map[clock.Nanos]float64{
		0: 1, (6*24 + 4) * hour: 1, (6*24 + 5) * hour: 2, (6*24 + 11) * hour: 2, (6*24 + 11.9) * hour: 2, (6*24 + 12) * hour: 1,
	} {
		if got := ledger.hoursFactor(&ledger.settings.Teams[0], testStart+secondsLater*second); got != want {
			t.Errorf("%d h after Monday noon: %v", secondsLater/hour, got)
		}
	}
}

// New contracts replace the old ones in one step. Usage and open requests carry over to teams of the same name.
func TestUpdateSettings(t *testing.T) {
	ledger := newTestLedger(t, testSettings())
	now := applyPressure(ledger, testStart)
	request := Request{Team: 0, Class: writeClass, Group: 1}
	for ledger.Admit(withNewID(request), now).Reason.Admitted() {
	}
	settings := testSettings()
	settings.Teams = []Team{settings.Teams[1], settings.Teams[0]} // in another order, and one team removed
	settings.Teams[1].MaxOpen = 2
	if err := ledger.UpdateSettings(settings); err != nil {
		t.Fatal(err)
	}
	request.Team = ledger.TeamIndex("lending")
	if verdict := ledger.Admit(request, now); verdict.Reason != TooManyOpen { // ten are open, two are allowed
		t.Errorf("%+v", verdict)
	}
	settings.Teams[1].MaxOpen = 0
	if err := ledger.UpdateSettings(settings); err != nil {
		t.Fatal(err)
	}
	if verdict := ledger.Admit(request, now); verdict.Reason == Within {
		t.Errorf("the usage was lost: %+v", verdict)
	}
	settings.Routers = 0
	if err := ledger.UpdateSettings(settings); err == nil || ledger.settings.Routers != 1 {
		t.Error("invalid contracts are in force")
	}
}

// A clock that jumps neither blocks a team nor gives it more than a burst.
func TestClock(t *testing.T) {
	ledger := newTestLedger(t, testSettings())
	now, request := applyPressure(ledger, testStart), Request{Team: 0, Class: writeClass, Group: 1}
	countWithin := func() int {
		within := 0
		for range 100 {
			if ledger.Admit(withNewID(request), now).Reason == Within {
				within++
			}
		}
		return within
	}
	countWithin()
	now -= 3600 * second
	if within := countWithin(); within != 0 {
		t.Errorf("after the jump back: %d", within)
	}
	now += second
	if within := countWithin(); within != 10 {
		t.Errorf("a second after the jump back: %d", within)
	}
	now += 7200 * second
	if within := countWithin(); within != 10 {
		t.Errorf("after the jump forward: %d", within)
	}
}

// A team that sends more requests than the others gets no larger share; borrowed requests go last.
func TestOrder(t *testing.T) {
	ledger := newTestLedger(t, testSettings())
	var batch []BatchedRequest
	for i := range 8 {
		batch = append(batch, BatchedRequest{Team: 0, Reason: Within, Index: i})
	}
	batch = append(batch, BatchedRequest{Team: 2, Reason: Borrowed, Index: 8}, BatchedRequest{Team: 1, Reason: Within, Index: 9},
		BatchedRequest{Team: 1, Reason: Within, Index: 10}, BatchedRequest{Team: 1, Reason: Within, Index: 11})
	ledger.Order(batch)
	var got []int
	for _, request := range batch {
		got = append(got, request.Index)
	}
	if diff := cmp.Diff([]int{0, 9, 10, 11, 1, 2, 3, 4, 5, 6, 7, 8}, got); diff != "" {
		t.Error(diff)
	}
	batch = []BatchedRequest{{Team: 0, Index: 0}, {Team: 1, Index: 1}} // team 0 has had more than its share
	if ledger.Order(batch); batch[0].Index != 1 {
		t.Error(batch)
	}
}

func TestCheck(t *testing.T) {
	for message, invalidate := range map[string]func(*Settings){
		"teams.lending.worth":                    func(s *Settings) { s.Teams[0].Weight = 0 },
		"teams[0].name: missing":                 func(s *Settings) { s.Teams[0].Name = "" },
		"teams.counters: given twice":            func(s *Settings) { s.Teams[0].Name = "counters" },
		"teams.lending.classes.write: per_s":     func(s *Settings) { s.Teams[0].Limits[1].Burst = 0 },
		"teams.counters.primary_share: requires": func(s *Settings) { s.PrimaryWorkPerSecond = 0 },
		"teams.lending.hours[0]":                 func(s *Settings) { s.Teams[0].Hours = []Hours{{5, 4, 2}} },
		`none: no team "odd"`:                    func(s *Settings) { s.DefaultTeam = "odd" },
		"two:":                                   func(s *Settings) { s.Ambiguous = "" },
		"skew:":                                  func(s *Settings) { s.Routers, s.Skew = 3, 0.3 },
		"pressure: low":                          func(s *Settings) { s.LowPressure = 1 },
	} {
		settings := testSettings()
		invalidate(&settings)
		if err := settings.Check(); err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%s: %v", message, err)
		}
	}
}

func TestCheckCapacity(t *testing.T) {
	settings := testSettings()
	settings.Teams[0].Limits[readClass].Burst = 0.5
	settings.Teams[1].Limits[readClass].Burst = 5000
	settings.Teams[1].Limits[writeClass].PerSecond = 70
	settings.Teams[0].Users = append(settings.Teams[0].Users, "counter")
	settings.Classes = append(settings.Classes, Class{Name: "odd"})
	for i := range settings.Teams {
		settings.Teams[i].Limits = append(settings.Teams[i].Limits, Limit{})
	}
	settings.Teams = append(settings.Teams, Team{Name: "ghost", Limits: make([]Limit, 3), PrimaryShare: 0.5})
	var got []string
	for _, finding := range settings.CheckCapacity(Capacity{Groups: 2, PrimaryWorkPerSecond: 50, PromisableShare: 0.78}) {
		got = append(got, finding.Path+": "+finding.Text[:min(12, len(finding.Text))])
	}
	want := []string{"classes.odd: no team may ", "teams: 80 units a s", "teams: shares of 80", "teams.counters: rates of 70 ", `teams.counters: user "counte`,
		"teams.counters.classes.read: burst 5000 i", "teams.ghost: no client ca", "teams.lending.classes.read: burst 0.5: r"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	clean := testSettings()
	if found := clean.CheckCapacity(Capacity{Groups: 2, PrimaryWorkPerSecond: 50, PromisableShare: 0.78}); len(found) > 0 {
		t.Error(found)
	}
}

// A decision takes as long with ten thousand teams as with ten.
func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{10, 1000, 10000} {
		settings := testSettings()
		settings.MaxGroupEntries = 1 << 16
		team := settings.Teams[1]
		settings.Teams = nil
		for i := range teams {
			copied := team
			copied.Name, copied.Users, copied.Applications = fmt.Sprint("t", i), []string{fmt.Sprint("u", i)}, nil
			settings.Teams = append(settings.Teams, copied)
		}
		ledger, err := New(settings, 1)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			now := testStart
			b.ReportAllocs()
			for i := range b.N {
				request := Request{Team: i * 7919 % teams, Class: writeClass, Group: int64(i % 3), ID: "x"}
				if verdict := ledger.Admit(request, now); verdict.Reason.Admitted() {
					ledger.RequestEnded(request, verdict.LowPriority, Outcome{Served: true, Elapsed: 5 * ms}, now)
				}
				now += 10000
			}
		})
	}
}
