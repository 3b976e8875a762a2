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

// three lanes: two premium accounts' worth of entitlement, regular ones, and the rest.
func three(router string, routers int) Settings {
	s := DefaultSettings()
	s.Router, s.Epoch, s.Routers, s.Shared, s.PlatformMaxRetryAfter = router, 1, routers, true, 4*second
	s.PriorityClasses = []PriorityClass{{Name: "premium", PerS: 10, Burst: 2, ReservedShare: 0.25}, {Name: "regular", PerS: 5, Burst: 2, ReservedShare: 0.1}, {Name: "background", ReservedShare: 0.1}}
	s.Teams = []Team{{"a", 0, 0, 0}, {"b", 1, 0, 0}, {"c", 2, 0, 0}, {"d", 0, 1, 1}}
	return s
}

func lanes(t interface{ Fatal(...any) }, s Settings) *Shedder {
	l, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// account finds one of a position in the present epoch.
func (l *Shedder) account(position int) uint64 {
	for a := uint64(1); ; a++ {
		if l.Position(a) == position {
			return a
		}
	}
}

// Each position of each lane stands alone; a lower lane stands lower but for the least shares, and these lower than the best lane.
//
//nolint:gocognit // one history or table of cases, told in order
func TestOrder(t *testing.T) {
	for n := 1; n <= MaxPriorityClasses; n++ {
		var list []PriorityClass
		for i := range n {
			list = append(list, PriorityClass{Name: fmt.Sprint(i), ReservedShare: float64(i%3) * 0.1})
		}
		o, seen := newShedOrder(list), map[int]bool{}
		for lane := range n {
			for p := range Steps {
				at := o.standing(lane, p)
				if seen[at] || at < 0 || at >= o.size || o.priorityClassAt(n, at) != lane {
					t.Fatalf("%d lanes: %d of %d stands at %d, lane %d", n, p, lane, at, o.priorityClassAt(n, at))
				}
				seen[at] = true
				if f := o.downgradedStanding(lane, p); o.priorityClassAt(n, f) != lane || f >= o.first[lane]+o.unreserved[lane] {
					t.Fatalf("%d lanes: fallen %d of %d stands at %d", n, p, lane, f)
				}
				if lane > 0 && at >= o.first[0] {
					t.Fatalf("%d lanes: %d of %d stands among the best", n, p, lane)
				}
				if worse := lane + 1; worse < n && p < o.unreserved[lane] && (at < o.first[worse]+o.unreserved[worse] || lane > 0 && at >= o.reservedFirst[worse]) {
					t.Fatalf("%d lanes: %d of %d at %d against lane %d", n, p, lane, at, worse)
				}
			}
		}
		if len(seen) != o.size || o.lastStanding(0) < o.maxThreshold && list[0].ReservedShare > 0 {
			t.Fatalf("%d lanes: %d of %d standings, most %d", n, len(seen), o.size, o.maxThreshold)
		}
	}
}

// What each request is judged as, at one level after the other.
func TestAsk(t *testing.T) {
	s := three("a", 1)
	o := newShedOrder(s.PriorityClasses)
	type row struct {
		name   string
		r      Request
		before int // requests of the same account just before
		level  int
		want   Verdict // but the time to return
	}
	for _, c := range []row{
		{"calm: nobody is shed", Request{Team: 2}, 0, 0, Verdict{AboveThreshold, 2, 3, 0, 0}},
		{"background stands lowest", Request{Team: 2}, 0, 4, Verdict{Shed, 2, 3, 4, 0}},
		{"at the level it is taken", Request{Team: 2}, 0, 3, Verdict{AboveThreshold, 2, 3, 3, 0}},
		{"regular is above all background", Request{Team: 1}, 0, o.first[1], Verdict{AboveThreshold, 1, o.first[1] + 3, o.first[1], 0}},
		{"no team is of the last lane", Request{Team: -1}, 0, 4, Verdict{Shed, 2, 3, 4, 0}},
		{"premium beyond its entitlement is regular", Request{Team: 0}, 2, o.first[1] + 1, Verdict{Downgraded, 1, o.downgradedStanding(1, 3), o.first[1] + 1, 0}},
		{"and shed as regular", Request{Team: 0}, 2, o.first[0], Verdict{Shed, 1, o.downgradedStanding(1, 3), o.first[0], 0}},
		{"beyond two entitlements it is background", Request{Team: 0}, 4, 0, Verdict{Downgraded, 2, o.downgradedStanding(2, 3), 0, 0}},
		{"a team beyond its own falls too", Request{Team: 3}, 1, 0, Verdict{Downgraded, 1, o.downgradedStanding(1, 3), 0, 0}},
		{"a repeat of a premium write stands last in its lane", Request{Team: 2, Key: "k"}, 0, o.maxThreshold, Verdict{FollowsWrite, 0, o.lastStanding(0), o.maxThreshold, 0}},
		{"a read after a premium write too", Request{Team: 2, ReadSession: "s"}, 0, o.maxThreshold, Verdict{FollowsWrite, 0, o.lastStanding(0), o.maxThreshold, 0}},
		{"a read after another router's write is of its own lane", Request{Team: 2, WroteElsewhere: true}, 0, o.first[1], Verdict{FollowsWrite, 2, o.lastStanding(2), o.first[1], 0}},
		{"another key is not", Request{Team: 2, Key: "x", ReadSession: "y"}, 0, 0, Verdict{AboveThreshold, 2, 3, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := lanes(t, s)
			c.r.Account, c.r.Share, c.r.Group = l.account(3), 1, 1
			l.RequestEnded(1, 0, "k", End{MayRun: true}, second)
			l.RequestEnded(1, 0, "", End{Served: true, SessionWritten: "s"}, second)
			for range c.before {
				r := c.r
				r.Key, r.ReadSession = "", ""
				l.Admit(r, second)
			}
			l.group(1, second).threshold = c.level
			v := l.Admit(c.r, second)
			if wait := v.RetryAfter; (v.Reason == Shed) != (wait > 0) || wait > 2*second {
				t.Errorf("a time to return of %d ms", wait/ms)
			}
			if v.RetryAfter = 0; v != c.want {
				t.Errorf("%+v, wanted %+v", v, c.want)
			}
			if v.Reason == FollowsWrite { // for a while
				if v := l.Admit(c.r, second+s.WriteAffinity); !c.r.WroteElsewhere && v.Reason == FollowsWrite {
					t.Error("it is owed for ever")
				}
			}
		})
	}
	// Half of an entitlement at a router that sees half of the load, and no budget from a clock that goes back.
	l := lanes(t, s)
	r := Request{Team: 0, Account: 9, Group: 1, Share: 0.5}
	got := map[Reason]int{}
	for i := range 100 {
		got[l.Admit(r, second+clock.Nanos(i)*20*ms).Reason]++
	}
	if got[AboveThreshold] != 2+9 {
		t.Errorf("%v of 100 in 2 s at 5 a second and a burst of 2", got)
	}
	if v := l.Admit(r, 0); v.Reason == AboveThreshold {
		t.Error("a clock that goes back fills a budget")
	}
}

// Times to return are sooner in better lanes, spread, and within what the platform allows; the salt turns who stands where.
func TestWaitAndSalt(t *testing.T) {
	l := lanes(t, three("a", 1))
	sum, least, most := [3]clock.Nanos{}, clock.Nanos(1<<60), clock.Nanos(0)
	for a := range uint64(1000) {
		for lane := range 3 {
			w := l.retryAfter(a, lane)
			sum[lane] += w
			if lane == 2 {
				least, most = min(least, w), max(most, w)
			}
		}
	}
	if sum[0] >= sum[1] || sum[1] >= sum[2] || least > 1100*ms || most < 1900*ms || most > 2*second {
		t.Errorf("%v, from %d to %d ms", sum, least/ms, most/ms)
	}
	low := map[uint64]bool{}
	for a := range uint64(6400) {
		low[a] = l.Position(a) < Steps/4
	}
	both, n := 0, 0
	l.saltEpoch++
	for a, was := range low {
		if was {
			n++
			if l.Position(a) < Steps/4 {
				both++
			}
		}
	}
	if n < 1400 || n > 1800 || both > n/3 || both < n/6 {
		t.Errorf("of %d that stood low %d do so in the next epoch", n, both)
	}
	other := lanes(t, three("b", 1))
	if other.saltEpoch = l.saltEpoch; other.Position(77) != l.Position(77) {
		t.Error("two routers place an account differently")
	}
	for by, want := range map[AccountKey]bool{ByTeam: true, BySession: false, ByBoth: false} {
		s := Settings{AccountKey: by}
		if same := s.Account("t", "x") == s.Account("t", "y"); same != want {
			t.Errorf("by %s: two sessions of a team are one account: %v", by, same)
		}
	}
	if s := (Settings{AccountKey: BySession}); s.Account("t", "x") != s.Account("u", "x") || s.Account("t", "") == s.Account("u", "") {
		t.Error("by session: teams")
	}
}

func TestSettings(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"lanes.lanes:":         func(s *Settings) { s.PriorityClasses = nil },
		"lanes.lanes[1].name":  func(s *Settings) { s.PriorityClasses[1].Name = "premium" },
		"lanes.lanes[0].per_s": func(s *Settings) { s.PriorityClasses[0].Burst = 0 },
		"lanes.lanes[2].least": func(s *Settings) { s.PriorityClasses[2].ReservedShare = 0.6 },
		"teams.b.lane":         func(s *Settings) { s.Teams[1].PriorityClass = 3 },
		"teams.d.lane_per_s":   func(s *Settings) { s.Teams[3].Burst = 0 },
		"lanes.by":             func(s *Settings) { s.AccountKey = "x" },
		"lanes.routers":        func(s *Settings) { s.Router = "" },
		"lanes.high":           func(s *Settings) { s.Low = s.High },
		"lanes.look_ms":        func(s *Settings) { s.MaxReportAge = s.Interval },
		"lanes.epoch_ms":       func(s *Settings) { s.SaltPeriod = 1 },
		"lanes.come_back_ms":   func(s *Settings) { s.MaxRetryAfter = -1 },
		"lanes.accounts":       func(s *Settings) { s.MaxWriteAffinities = 0 },
	} {
		s := three("a", 1)
		spoil(&s)
		_, err := New(s)
		var bad *SettingError
		if !errors.As(err, &bad) || !strings.HasPrefix(err.Error(), field) || bad.Kind() == "" || !strings.Contains(bad.Hint(), bad.Field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

func BenchmarkAsk(b *testing.B) {
	l := lanes(b, three("a", 7))
	b.ReportAllocs()
	for i := range b.N {
		l.Admit(Request{Team: i % 3, Account: uint64(i % 5000), Group: int64(i % 8), Share: 0.3}, clock.Nanos(i)*10_000)
	}
}
