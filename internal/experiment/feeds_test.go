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

// runFeeds runs subscribers and a write load on a cluster of three routers and returns the metrics by part; reader is
// an entry of the readers, faults are events.
func runFeeds(t *testing.T, seconds float64, reader, faults string) map[string]map[string]float64 {
	t.Helper()
	platform := strings.Replace(nettest.Settings, `"balancers":1`, `"balancers":3`, 1)
	text := fmt.Sprintf(`{"name":"f","seconds":%v,"settle":2,"platform":%s,
		"classes":{"write":{"read":"write","wait_ms":2000,"work_ms":[1,2]},"read":{"read":"feed","wait_ms":2000,"work_ms":[0,1]}},
		"fleet":{"groups":1,"members":3,"cores":4,"queue":64,"ship_ms":2,"apply_ms":1,"takeover_ms":500,"retain":100000},
		"routers":{"count":3,"cores":1,"memory_mb":64,"sockets":512,"notice_ms":300,"members":{"period_ms":100,"wait_ms":40,"share":true},
			"own":{"feeds":{"classes":{"read":{"kind":"feed"}},"fresh_ms":50,"again_ms":100,"ring_events":200}}},
		"loads":[{"name":"writers","clients":2,"pause_ms":10,"mix":{"write":1}}],
		"readers":[%s],"arms":[{"name":"a","events":[%s]}],"checks":[{"name":"gaps","value":"a.subs.gaps","max":0}]}`, seconds, platform, reader, faults)
	parsed, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(context.Background(), parsed, Options{Seed: 1, Dir: t.TempDir(), Build: program})
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Ended) > 0 {
		t.Error(result.Ended)
	}
	return result.Arms["a"]
}

// TestFeeds compares what subscribers of real routers received with the data servers' log. A subscriber that sends its
// cursor gets each event once, whatever fails. Any other may get events again, but misses none that its routers knew it
// had not received.
func TestFeeds(t *testing.T) {
	// The lost events were read by all subscribers while there was no primary.
	lostTail := `{"at_s":2,"do":"kill","server":"s-1-1","lose":20},{"at_s":2.2,"do":"restart","server":"s-1-1"}`
	for _, test := range []struct {
		name, reader, faults string
		seconds              float64
		effect               string // a metric that must not be 0, which shows that the fault had its effect
	}{
		{"router killed", `"carry":true`, `{"at_s":1,"do":"kill","router":0},{"at_s":3,"do":"start","router":0}`, 4.5, "resumed"},
		{"lost tail", `"carry":true`, lostTail, 5, "rewound"},
		{"clock set back an hour", `"carry":true`, `{"at_s":0.5,"do":"clock","server":"s-1-1","back_s":3600},` + lostTail, 5, "rewound"},
		{"two routers at once, and cursors of the future", `"carry":true,"twice":true,"future":0.1`, "", 4, "fenced"},
		{"no cursors", ``, `{"at_s":1,"do":"kill","router":1},{"at_s":3,"do":"start","router":1}`, 4.5, "resumed"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			reader := `{"name":"subs","subscribers":30,"class":"read"`
			if test.reader != "" {
				reader += "," + test.reader
			}
			arm := runFeeds(t, test.seconds, reader+"}", test.faults)
			metrics := arm["subs"]
			if metrics["gaps"] > 0 || metrics["phantoms"] > 0 || metrics["silent"] > 0 || metrics["events"] < 1 || metrics[test.effect] < 1 || metrics["snapshots"] > 0 {
				t.Errorf("%v", metrics)
			}
			if strings.Contains(test.reader, "carry") && metrics["duplicates"] > 0 {
				t.Errorf("%v duplicates", metrics["duplicates"])
			}
			if strings.Contains(test.reader, "future") && metrics["future_refused"] < 1 {
				t.Errorf("no cursor of the future was rejected: %v", metrics)
			}
			t.Logf("%v; %v reads", metrics, arm["servers"]["feed_reads"])
		})
	}
}

// TestFeedAudit checks that the audit finds a missing event, a duplicate, a wrong event and an event of a lost tail.
func TestFeedAudit(t *testing.T) {
	history := cursor.History{Era: 2, ID: 5}
	log := &groupLog{cursor.Lineage{{History: cursor.History{Era: 1, ID: 4}}, {History: history, From: 20}}, []cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 30, Text: "c"}}}
	for _, test := range []struct {
		events []cursor.Event
		last   cursor.History
		want   feedErrors
	}{
		{[]cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 30, Text: "c"}}, history, feedErrors{}},
		{[]cursor.Event{{At: 10, Text: "a"}, {At: 30, Text: "c"}}, history, feedErrors{gaps: 1}},
		{[]cursor.Event{{At: 10, Text: "a"}, {At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 30, Text: "c"}}, history, feedErrors{duplicates: 1}},
		{[]cursor.Event{{At: 20, Text: "b"}, {At: 10, Text: "a"}, {At: 30, Text: "c"}}, history, feedErrors{duplicates: 1}},
		{[]cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 25, Text: "lost"}, {At: 30, Text: "c"}}, history, feedErrors{phantoms: 1}},
		{[]cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 30, Text: "x"}}, history, feedErrors{gaps: 1, phantoms: 1}},
		{nil, cursor.History{Era: 1, ID: 4}, feedErrors{behind: 1}},
	} {
		record := &subscriberRecord{events: test.events, last: cursor.Position{History: test.last, At: 30}}
		if got := record.differences(log); got != test.want {
			t.Errorf("%v: %+v", test.events, got)
		}
	}
	record := &subscriberRecord{events: []cursor.Event{{At: 10, Text: "a"}, {At: 20, Text: "b"}, {At: 25, Text: "lost"}}}
	revoked, err := record.apply(&changefeed.Batch{Next: changefeed.ClientCursor{After: 20, History: history.String()}, Rewound: &changefeed.Rewound{From: 25, To: 20}})
	if err != nil || revoked != 1 || record.differences(log) != (feedErrors{}) {
		t.Errorf("%d revoked, %v, %+v", revoked, err, record.differences(log))
	}
}
