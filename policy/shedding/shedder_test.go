package shedding

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"lotushook/internal/nettest"
	"lotushook/policy/clock"
)

func TestMain(m *testing.M) { nettest.RunWithFixedSeed(m) }

const (
	ms     = clock.Nanos(1e6)
	second = 1000 * ms
)

// testSettings returns settings with three priority classes, of which the two higher ones limit accounts.
func testSettings(router string, routers int) Settings {
	settings := DefaultSettings()
	settings.Router, settings.Epoch, settings.Routers, settings.Shared, settings.PlatformMaxRetryAfter = router, 1, routers, true, 4*second
	settings.PriorityClasses = []PriorityClass{{Name: "premium", RequestsPerSecond: 10, Burst: 2, ReservedShare: 0.25}, {Name: "regular", RequestsPerSecond: 5, Burst: 2, ReservedShare: 0.1}, {Name: "background", ReservedShare: 0.1}}
	settings.Teams = []Team{{"a", 0, 0, 0}, {"b", 1, 0, 0}, {"c", 2, 0, 0}, {"d", 0, 1, 1}}
	return settings
}

func newShedder(t interface{ Fatal(...any) }, settings Settings) *Shedder {
	shedder, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return shedder
}

// accountAt returns an account that has a position in the present salt epoch.
func (s *Shedder) accountAt(position int) uint64 {
	for account := uint64(1); ; account++ {
		if s.Position(account) == position {
			return account
		}
	}
}

// Each position of each class has a rank of its own. Positions of a lower class have lower ranks, except for reserved
// positions: these rank above the unreserved ones of all classes but the highest.
//
//nolint:gocognit // one table of all positions
func TestOrder(t *testing.T) {
	for n := 1; n <= MaxPriorityClasses; n++ {
		var classes []PriorityClass
		for i := range n {
			classes = append(classes, PriorityClass{Name: fmt.Sprint(i), ReservedShare: float64(i%3) * 0.1})
		}
		order, seen := newShedOrder(classes), map[int]bool{}
		for class := range n {
			for position := range Positions {
				rank := order.rank(class, position)
				if seen[rank] || rank < 0 || rank >= order.rankCount || order.priorityClassOf(n, rank) != class {
					t.Fatalf("%d classes: position %d of class %d has rank %d, of class %d", n, position, class, rank, order.priorityClassOf(n, rank))
				}
				seen[rank] = true
				if downgraded := order.downgradedRank(class, position); order.priorityClassOf(n, downgraded) != class || downgraded >= order.firstRank[class]+order.unreservedPositions[class] {
					t.Fatalf("%d classes: position %d downgraded to class %d has rank %d", n, position, class, downgraded)
				}
				if class > 0 && rank >= order.firstRank[0] {
					t.Fatalf("%d classes: position %d of class %d ranks within the highest class", n, position, class)
				}
				if lower := class + 1; lower < n && position < order.unreservedPositions[class] && (rank < order.firstRank[lower]+order.unreservedPositions[lower] || class > 0 && rank >= order.firstReservedRank[lower]) {
					t.Fatalf("%d classes: position %d of class %d has rank %d, out of order with class %d", n, position, class, rank, lower)
				}
			}
		}
		if len(seen) != order.rankCount || order.lastRank(0) < order.maxThreshold && classes[0].ReservedShare > 0 {
			t.Fatalf("%d classes: %d of %d ranks are used, the maximum threshold is %d", n, len(seen), order.rankCount, order.maxThreshold)
		}
	}
}

// Verdicts on requests of different teams, usage and write affinities, at different thresholds.
func TestAdmit(t *testing.T) {
	settings := testSettings("a", 1)
	order := newShedOrder(settings.PriorityClasses)
	type row struct {
		name      string
		request   Request
		before    int // earlier requests of the same account
		threshold int
		want      Verdict // without RetryAfter
	}
	for _, test := range []row{
		{"threshold 0: nothing is shed", Request{Team: 2}, 0, 0, Verdict{AboveThreshold, 2, 3, 0, 0}},
		{"background ranks lowest", Request{Team: 2}, 0, 4, Verdict{Shed, 2, 3, 4, 0}},
		{"at the threshold it is admitted", Request{Team: 2}, 0, 3, Verdict{AboveThreshold, 2, 3, 3, 0}},
		{"regular ranks above all background", Request{Team: 1}, 0, order.firstRank[1], Verdict{AboveThreshold, 1, order.firstRank[1] + 3, order.firstRank[1], 0}},
		{"without a team it is of the lowest class", Request{Team: -1}, 0, 4, Verdict{Shed, 2, 3, 4, 0}},
		{"premium over its entitlement is regular", Request{Team: 0}, 2, order.firstRank[1] + 1, Verdict{Downgraded, 1, order.downgradedRank(1, 3), order.firstRank[1] + 1, 0}},
		{"and shed as regular", Request{Team: 0}, 2, order.firstRank[0], Verdict{Shed, 1, order.downgradedRank(1, 3), order.firstRank[0], 0}},
		{"over two entitlements it is background", Request{Team: 0}, 4, 0, Verdict{Downgraded, 2, order.downgradedRank(2, 3), 0, 0}},
		{"a team over its entitlement is downgraded too", Request{Team: 3}, 1, 0, Verdict{Downgraded, 1, order.downgradedRank(1, 3), 0, 0}},
		{"a retry of a premium write ranks last in its class", Request{Team: 2, Key: "k"}, 0, order.maxThreshold, Verdict{FollowsWrite, 0, order.lastRank(0), order.maxThreshold, 0}},
		{"a read after a premium write too", Request{Team: 2, ReadSession: "s"}, 0, order.maxThreshold, Verdict{FollowsWrite, 0, order.lastRank(0), order.maxThreshold, 0}},
		{"a read after another router's write is of its own class", Request{Team: 2, WroteElsewhere: true}, 0, order.firstRank[1], Verdict{FollowsWrite, 2, order.lastRank(2), order.firstRank[1], 0}},
		{"another key has no write affinity", Request{Team: 2, Key: "x", ReadSession: "y"}, 0, 0, Verdict{AboveThreshold, 2, 3, 0, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			shedder := newShedder(t, settings)
			test.request.Account, test.request.Share, test.request.Group = shedder.accountAt(3), 1, 1
			shedder.RequestEnded(1, 0, "k", Outcome{MayHaveRun: true}, second)
			shedder.RequestEnded(1, 0, "", Outcome{Served: true, SessionWritten: "s"}, second)
			for range test.before {
				request := test.request
				request.Key, request.ReadSession = "", ""
				shedder.Admit(request, second)
			}
			shedder.group(1, second).threshold = test.threshold
			verdict := shedder.Admit(test.request, second)
			if retryAfter := verdict.RetryAfter; (verdict.Reason == Shed) != (retryAfter > 0) || retryAfter > 2*second {
				t.Errorf("RetryAfter is %d ms", retryAfter/ms)
			}
			if verdict.RetryAfter = 0; verdict != test.want {
				t.Errorf("verdict is %+v, want %+v", verdict, test.want)
			}
			if verdict.Reason == FollowsWrite { // the affinity expires
				if verdict := shedder.Admit(test.request, second+settings.WriteAffinity); !test.request.WroteElsewhere && verdict.Reason == FollowsWrite {
					t.Error("the write affinity did not expire")
				}
			}
		})
	}
	// A router that gets half of the load grants half of an entitlement. A clock that is set back refills no bucket.
	shedder := newShedder(t, settings)
	request := Request{Team: 0, Account: 9, Group: 1, Share: 0.5}
	got := map[Reason]int{}
	for i := range 100 {
		got[shedder.Admit(request, second+clock.Nanos(i)*20*ms).Reason]++
	}
	if got[AboveThreshold] != 2+9 {
		t.Errorf("100 requests in 2 s have reasons %v, want 11 above the threshold: a burst of 2, then 5 per second", got)
	}
	if verdict := shedder.Admit(request, 0); verdict.Reason == AboveThreshold {
		t.Error("a clock that was set back refilled a bucket")
	}
}

// Retry-After times are shorter in higher classes, different between accounts, and within the platform's limit. Each
// salt epoch gives the accounts other positions.
func TestRetryAfterAndSalt(t *testing.T) {
	shedder := newShedder(t, testSettings("a", 1))
	sum, shortest, longest := [3]clock.Nanos{}, clock.Nanos(1<<60), clock.Nanos(0)
	for account := range uint64(1000) {
		for class := range 3 {
			retryAfter := shedder.retryAfter(account, class)
			sum[class] += retryAfter
			if class == 2 {
				shortest, longest = min(shortest, retryAfter), max(longest, retryAfter)
			}
		}
	}
	if sum[0] >= sum[1] || sum[1] >= sum[2] || shortest > 1100*ms || longest < 1900*ms || longest > 2*second {
		t.Errorf("Retry-After sums by class are %v; in the lowest class they range from %d to %d ms", sum, shortest/ms, longest/ms)
	}
	low := map[uint64]bool{}
	for account := range uint64(6400) {
		low[account] = shedder.Position(account) < Positions/4
	}
	both, count := 0, 0
	shedder.saltEpoch++
	for account, wasLow := range low {
		if wasLow {
			count++
			if shedder.Position(account) < Positions/4 {
				both++
			}
		}
	}
	if count < 1400 || count > 1800 || both > count/3 || both < count/6 {
		t.Errorf("%d accounts have positions in the lowest quarter, %d of them also in the next epoch; want about a quarter each", count, both)
	}
	other := newShedder(t, testSettings("b", 1))
	if other.saltEpoch = shedder.saltEpoch; other.Position(77) != shedder.Position(77) {
		t.Error("two routers give an account different positions")
	}
	for key, want := range map[AccountKey]bool{ByTeam: true, BySession: false, ByBoth: false} {
		settings := Settings{AccountKey: key}
		if same := settings.Account("t", "x") == settings.Account("t", "y"); same != want {
			t.Errorf("account key %s: two sessions of a team are one account: %v", key, same)
		}
	}
	if settings := (Settings{AccountKey: BySession}); settings.Account("t", "x") != settings.Account("u", "x") || settings.Account("t", "") == settings.Account("u", "") {
		t.Error("account key session: the team must count exactly for requests without a session")
	}
}

func TestSettings(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"lanes.lanes:":         func(s *Settings) { s.PriorityClasses = nil },
		"lanes.lanes[1].name":  func(s *Settings) { s.PriorityClasses[1].Name = "premium" },
		"lanes.lanes[0].per_s": func(s *Settings) { s.PriorityClasses[0].Burst = 0 },
		"lanes.lanes[2].least": func(s *Settings) { s.PriorityClasses[2].ReservedShare = 0.6 },
		"teams.b.lane":         func(s *Settings) { s.Teams[1].PriorityClass = 3 },
		"teams.d.lane_per_s":   func(s *Settings) { s.Teams[3].Burst = 0 },
		"lanes.by":             func(s *Settings) { s.AccountKey = "x" },
		"lanes.routers":        func(s *Settings) { s.Router = "" },
		"lanes.high":           func(s *Settings) { s.LowPressure = s.HighPressure },
		"lanes.look_ms":        func(s *Settings) { s.MaxReportAge = s.Interval },
		"lanes.epoch_ms":       func(s *Settings) { s.SaltPeriod = 1 },
		"lanes.come_back_ms":   func(s *Settings) { s.MaxRetryAfter = -1 },
		"lanes.accounts":       func(s *Settings) { s.MaxWriteAffinities = 0 },
	} {
		settings := testSettings("a", 1)
		invalidate(&settings)
		_, err := New(settings)
		var settingErr *SettingError
		if !errors.As(err, &settingErr) || !strings.HasPrefix(err.Error(), field) || settingErr.Kind() == "" || !strings.Contains(settingErr.Hint(), settingErr.Field) {
			t.Errorf("invalid field %s: error is %v", field, err)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	shedder := newShedder(b, testSettings("a", 7))
	b.ReportAllocs()
	for i := range b.N {
		shedder.Admit(Request{Team: i % 3, Account: uint64(i % 5000), Group: int64(i % 8), Share: 0.3}, clock.Nanos(i)*10_000)
	}
}
