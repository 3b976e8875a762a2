package experiment

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"lotushook/internal/emulator"
	"lotushook/internal/nettest"
)

// validShedding returns records without an error. Every 100 ms both routers shed a regular account and serve a premium
// one, and router 1 sheds a background account and serves another that is within its guaranteed share.
func validShedding(from time.Time) (requests []sheddingRequest, ran []emulator.Start) {
	add := func(router int, offset time.Duration, class, account, shed string) {
		request := sheddingRequest{id: fmt.Sprint(len(requests)), priorityClass: class, account: account, group: 1, router: router, at: from.Add(offset), end: from.Add(offset + 20*time.Millisecond), outcome: served, shed: shed}
		if shed != "" {
			request.outcome = rejected
		} else {
			ran = append(ran, emulator.Start{ID: request.id, Group: 1, At: request.at.Add(5 * time.Millisecond)})
		}
		requests = append(requests, request)
	}
	for step := range 50 {
		offset := time.Duration(step) * 100 * time.Millisecond
		add(0, offset, "regular", "r", "regular")
		add(1, offset+10*time.Millisecond, "regular", "r", "regular")
		add(0, offset, "premium", "p", "")
		add(1, offset, "premium", "p", "")
		add(1, offset, "background", "b", "background")
		add(1, offset, "background", "floor", "")
	}
	return requests, ran
}

// TestLanesAudit checks that the audit finds each error in the records of clients or data servers.
func TestLanesAudit(t *testing.T) {
	from := time.Unix(1000, 0)
	classes := []string{"premium", "regular", "background"}
	for _, test := range []struct {
		name   string
		change func(all []sheddingRequest, ran []emulator.Start) ([]sheddingRequest, []emulator.Start)
		metric string
		want   float64
		err    string
	}{
		{"right", func(a []sheddingRequest, r []emulator.Start) ([]sheddingRequest, []emulator.Start) { return a, r }, "inversions_after", 0, ""},
		{"premium shed late", func(a []sheddingRequest, r []emulator.Start) ([]sheddingRequest, []emulator.Start) {
			a[40*6+2].shed, a[40*6+2].outcome = "premium", rejected
			return a, r
		}, "inversions_after", 1, ""},
		{"premium shed early", func(a []sheddingRequest, r []emulator.Start) ([]sheddingRequest, []emulator.Start) {
			a[2].shed, a[2].outcome = "premium", rejected
			return a, r
		}, "inversions_first_share", 1.0 / 40, ""},
		{"premium shed by the router that serves background", func(a []sheddingRequest, r []emulator.Start) ([]sheddingRequest, []emulator.Start) {
			a[40*6+3].shed, a[40*6+3].outcome = "premium", rejected
			return a, r
		}, "inversions_after", 0, ""},
		{"premium's excess is regular", func(a []sheddingRequest, r []emulator.Start) ([]sheddingRequest, []emulator.Start) {
			a[40*6+2].shed, a[40*6+2].outcome = "regular", rejected
			return a, r
		}, "inversions_after", 0, ""},
		{"one account shed here and served there", func(a []sheddingRequest, r []emulator.Start) ([]sheddingRequest, []emulator.Start) {
			for step := 30; step < 40; step++ {
				request := &a[step*6+1]
				request.shed, request.outcome = "", served
				r = append(r, emulator.Start{ID: request.id, Group: 1, At: request.at})
			}
			return a, r
		}, "torn_share", 20.0 / 59, ""},
		{"a server began nothing", func(a []sheddingRequest, r []emulator.Start) ([]sheddingRequest, []emulator.Start) { return a, r[1:] }, "", 0, "no data server began it"},
		{"another group", func(a []sheddingRequest, r []emulator.Start) ([]sheddingRequest, []emulator.Start) {
			r[0].Group = 2
			return a, r
		}, "", 0, "begun at 2"},
		{"twice", func(a []sheddingRequest, r []emulator.Start) ([]sheddingRequest, []emulator.Start) {
			return append(a, a[0]), r
		}, "", 0, "twice"},
	} {
		t.Run(test.name, func(t *testing.T) {
			requests, ran := test.change(validShedding(from))
			metrics, err := auditShedding(classes, requests, ran, from, []time.Time{from}, from, from.Add(3*time.Second))
			switch {
			case test.err != "":
				if err == nil || !strings.Contains(err.Error(), test.err) {
					t.Errorf("%v, %v", metrics, err)
				}
			case err != nil || metrics[test.metric] < test.want-0.01 || metrics[test.metric] > test.want+0.01 || test.want == 0 && metrics[test.metric] != 0:
				t.Errorf("%s: %v, %v", test.metric, metrics, err)
			case test.name == "right" && (metrics["torn_share"] != 0 || metrics["pairs"] == 0 || metrics["served_share_background"] != 0.5 || metrics["released_s"] < 1.9 || metrics["released_s"] > 2):
				t.Errorf("%v", metrics)
			}
		})
	}
}

// TestLanesProcesses runs four router processes in front of an overloaded group. Links lose 30% of the messages, one
// router is killed, and one does not receive messages from another. The routers must shed the same accounts, and none
// may shed the most important class while another serves the least important one.
func TestLanesProcesses(t *testing.T) {
	t.Parallel()
	platform := strings.NewReplacer(`"balancers":1`, `"balancers":4`, `5000000000`, `300000000`, `20000000000`, `1000000000`).Replace(nettest.Settings)
	classes := `{"per_s":10000,"burst":10000}`
	team := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"worth":1,"users":[%[1]q],"lane":%[1]q,"retry_share":10,"classes":{"read":%s,"own":%[2]s,"write":%[2]s}}`, name, classes)
	}
	load := func(name string, clients int, perS float64, extra string) string {
		return fmt.Sprintf(`{"name":%q,"user":%[1]q,"lane":%[1]q,"clients":%d,"per_s":%v,"mix":{"read":1},"forget":true,"repeats":1,"elsewhere":true%s}`, name, clients, perS, extra)
	}
	text := fmt.Sprintf(`{"name":"l","seconds":5,"settle":2.5,"platform":%s,
		"classes":{"read":{"read":"session","aim_ms":300,"wait_ms":1000,"worth":1,"work_ms":[30,40]}},"lanes":["premium","regular","background"],
		"fleet":{"groups":1,"members":3,"cores":1,"queue":16,"halls":["a"]},"routers":{"count":4,"cores":1,"memory_mb":48,"sockets":512,"notice_ms":300,
			"members":{"period_ms":100,"wait_ms":40,"least_doubt_ms":500,"most_doubt_ms":1500,"share":true},
			"own":{"accounts":{"every_s":0},"contracts":{"lanes":{"lanes":[{"name":"premium"},{"name":"regular"},{"name":"background"}],"least":0.1,"by":"both"},"teams":[%s,%s,%s]}}},
		"loads":[%s,%s,%s],
		"arms":[{"name":"a","events":[{"at_s":-2,"do":"link","link":{"loss":0.3}},{"at_s":1,"do":"kill","router":3},{"at_s":1.5,"do":"link","from":[0],"to":[1],"link":{"cut":true}}]}],
		"checks":[{"name":"x","value":"a.lanes.inversions_after","max":0}]}`, platform, team("premium"), team("regular"), team("background"),
		load("premium", 20, 10, ""), load("regular", 200, 120, `,"from_s":0.1`), load("background", 20, 10, ""))
	experiment, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(context.Background(), experiment, Options{Seed: 1, Dir: t.TempDir(), Build: program})
	if err != nil {
		t.Fatal(err)
	}
	metrics := result.Arms["a"]["lanes"]
	if len(result.Ended) > 0 || metrics["shed"] == 0 || metrics["inversions_after"] > 0 || metrics["pairs"] == 0 || metrics["torn_share"] > 0.2 {
		t.Errorf("%v, %v", result.Ended, metrics)
	}
	t.Log(metrics, result.Arms["a"]["premium"], result.Arms["a"]["regular"])
}
