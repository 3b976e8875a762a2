package experiment

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"lotushook/internal/changefeed"
	"lotushook/internal/nettest"
	"lotushook/policy/cursor"
)

// fed plays subscribers before three routers of which each knows the others, and a write load; faults are events.
func fed(t *testing.T, seconds float64, reader, faults string) map[string]map[string]float64 {
	t.Helper()
	platform := strings.Replace(nettest.Settings, `"balancers":1`, `"balancers":3`, 1)
	text := fmt.Sprintf(`{"name":"f","seconds":%v,"settle":2,"platform":%s,
		"classes":{"write":{"read":"write","wait_ms":2000,"work_ms":[1,2]},"read":{"read":"feed","wait_ms":2000,"work_ms":[0,1]}},
		"fleet":{"groups":1,"members":3,"cores":4,"queue":64,"ship_ms":2,"apply_ms":1,"takeover_ms":500,"retain":100000},
		"routers":{"count":3,"cores":1,"memory_mb":64,"sockets":512,"notice_ms":300,"members":{"period_ms":100,"wait_ms":40,"share":true},
			"own":{"feeds":{"classes":{"read":{"kind":"feed"}},"fresh_ms":50,"again_ms":100,"ring_events":200}}},
		"loads":[{"name":"writers","clients":2,"pause_ms":10,"mix":{"write":1}}],
		"readers":[%s],"arms":[{"name":"a","events":[%s]}],"checks":[{"name":"gaps","value":"a.subs.gaps","max":0}]}`, seconds, platform, reader, faults)
	e, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), e, Options{Seed: 1, Dir: t.TempDir(), Build: program})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Ended) > 0 {
		t.Error(r.Ended)
	}
	return r.Arms["a"]
}

// Subscribers over real routers: what each was told, held against the data servers' log. Whoever carries its cursor gets each
// event once, whatever fails; whoever does not hears some again, and misses none that its routers knew it had not had.
func TestFeeds(t *testing.T) {
	// What is lost was read by all while there was no primary.
	tail := `{"at_s":2,"do":"kill","server":"s-1-1","lose":20},{"at_s":2.2,"do":"restart","server":"s-1-1"}`
	for _, c := range []struct {
		name, reader, faults string
		seconds              float64
		wanted               string // a count that must not be 0: what was to be played did happen
	}{
		{"router killed", `"carry":true`, `{"at_s":1,"do":"kill","router":0},{"at_s":3,"do":"start","router":0}`, 4.5, "resumed"},
		{"lost tail", `"carry":true`, tail, 5, "rewound"},
		{"clock set back an hour", `"carry":true`, `{"at_s":0.5,"do":"clock","server":"s-1-1","back_s":3600},` + tail, 5, "rewound"},
		{"two routers at once, and cursors of the future", `"carry":true,"twice":true,"future":0.1`, "", 4, "fenced"},
		{"no cursors", ``, `{"at_s":1,"do":"kill","router":1},{"at_s":3,"do":"start","router":1}`, 4.5, "resumed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			reader := `{"name":"subs","subscribers":30,"class":"read"`
			if c.reader != "" {
				reader += "," + c.reader
			}
			arm := fed(t, c.seconds, reader+"}", c.faults)
			m := arm["subs"]
			if m["gaps"] > 0 || m["phantoms"] > 0 || m["silent"] > 0 || m["events"] < 1 || m[c.wanted] < 1 || m["snapshots"] > 0 {
				t.Errorf("%v", m)
			}
			if strings.Contains(c.reader, "carry") && m["duplicates"] > 0 {
				t.Errorf("%v duplicates", m["duplicates"])
			}
			if strings.Contains(c.reader, "future") && m["future_refused"] < 1 {
				t.Errorf("no cursor of the future was refused: %v", m)
			}
			t.Logf("%v; %v reads", m, arm["servers"]["feed_reads"])
		})
	}
}

// The audit can fail: a record with an event left out, one twice, one that the log has otherwise, one of a lost tail.
func TestFeedAudit(t *testing.T) {
	h := cursor.History{Era: 2, ID: 5}
	log := &truth{cursor.Lineage{{History: cursor.History{Era: 1, ID: 4}}, {History: h, From: 20}}, []cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 30, Text: "c"}}}
	for _, c := range []struct {
		events []cursor.Event
		last   cursor.History
		want   wrongs
	}{
		{[]cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 30, Text: "c"}}, h, wrongs{}},
		{[]cursor.Event{{At: 10, Text: "a"}, {At: 30, Text: "c"}}, h, wrongs{gaps: 1}},
		{[]cursor.Event{{At: 10, Text: "a"}, {At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 30, Text: "c"}}, h, wrongs{duplicates: 1}},
		{[]cursor.Event{{At: 20, Text: "b"}, {At: 10, Text: "a"}, {At: 30, Text: "c"}}, h, wrongs{duplicates: 1}},
		{[]cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 25, Text: "lost"}, {At: 30, Text: "c"}}, h, wrongs{phantoms: 1}},
		{[]cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 30, Text: "x"}}, h, wrongs{gaps: 1, phantoms: 1}},
		{nil, cursor.History{Era: 1, ID: 4}, wrongs{behind: 1}},
	} {
		r := &record{events: c.events, last: cursor.Position{History: c.last, At: 30}}
		if got := r.against(log); got != c.want {
			t.Errorf("%v: %+v", c.events, got)
		}
	}
	r := &record{events: []cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 25, Text: "lost"}}}
	voided, err := r.take(&changefeed.Batch{Next: changefeed.ClientCursor{After: 20, History: h.String()}, Rewound: &changefeed.Rewound{From: 25, To: 20}})
	if err != nil || voided != 1 || r.against(log) != (wrongs{}) {
		t.Errorf("%d voided, %v, %+v", voided, err, r.against(log))
	}
}
