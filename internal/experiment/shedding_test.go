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

// sound is what an audit sees where all is right: at each tenth of a second router 0 sheds a regular account and serves a
// premium one, and router 1 serves a premium and sheds a background one; a background one within its floor is served.
func sound(from time.Time) (all []sheddingRequest, ran []emulator.Began) {
	add := func(router int, at time.Duration, lane, account, shed string) {
		a := sheddingRequest{id: fmt.Sprint(len(all)), priorityClass: lane, account: account, group: 1, router: router, at: from.Add(at), end: from.Add(at + 20*time.Millisecond), outcome: served, shed: shed}
		if shed != "" {
			a.outcome = refused
		} else {
			ran = append(ran, emulator.Began{ID: a.id, Group: 1, At: a.at.Add(5 * time.Millisecond)})
		}
		all = append(all, a)
	}
	for i := range 50 {
		at := time.Duration(i) * 100 * time.Millisecond
		add(0, at, "regular", "r", "regular")
		add(1, at+10*time.Millisecond, "regular", "r", "regular")
		add(0, at, "premium", "p", "")
		add(1, at, "premium", "p", "")
		add(1, at, "background", "b", "background")
		add(1, at, "background", "floor", "")
	}
	return all, ran
}

// The audit finds what is wrong in a doctored record, in either end's.
func TestLanesAudit(t *testing.T) {
	from := time.Unix(1000, 0)
	lanes := []string{"premium", "regular", "background"}
	for _, c := range []struct {
		name   string
		doctor func(all []sheddingRequest, ran []emulator.Began) ([]sheddingRequest, []emulator.Began)
		metric string
		want   float64
		err    string
	}{
		{"right", func(a []sheddingRequest, r []emulator.Began) ([]sheddingRequest, []emulator.Began) { return a, r }, "inversions_after", 0, ""},
		{"premium shed late", func(a []sheddingRequest, r []emulator.Began) ([]sheddingRequest, []emulator.Began) {
			a[40*6+2].shed, a[40*6+2].outcome = "premium", refused
			return a, r
		}, "inversions_after", 1, ""},
		{"premium shed early", func(a []sheddingRequest, r []emulator.Began) ([]sheddingRequest, []emulator.Began) {
			a[2].shed, a[2].outcome = "premium", refused
			return a, r
		}, "inversions_first_share", 1.0 / 40, ""},
		{"premium shed by the router that serves background", func(a []sheddingRequest, r []emulator.Began) ([]sheddingRequest, []emulator.Began) {
			a[40*6+3].shed, a[40*6+3].outcome = "premium", refused
			return a, r
		}, "inversions_after", 0, ""},
		{"premium's excess is regular", func(a []sheddingRequest, r []emulator.Began) ([]sheddingRequest, []emulator.Began) {
			a[40*6+2].shed, a[40*6+2].outcome = "regular", refused
			return a, r
		}, "inversions_after", 0, ""},
		{"one account shed here and served there", func(a []sheddingRequest, r []emulator.Began) ([]sheddingRequest, []emulator.Began) {
			for i := 30; i < 40; i++ {
				x := &a[i*6+1]
				x.shed, x.outcome = "", served
				r = append(r, emulator.Began{ID: x.id, Group: 1, At: x.at})
			}
			return a, r
		}, "torn_share", 20.0 / 59, ""},
		{"a server began nothing", func(a []sheddingRequest, r []emulator.Began) ([]sheddingRequest, []emulator.Began) { return a, r[1:] }, "", 0, "no data server began it"},
		{"another group", func(a []sheddingRequest, r []emulator.Began) ([]sheddingRequest, []emulator.Began) {
			r[0].Group = 2
			return a, r
		}, "", 0, "begun at 2"},
		{"twice", func(a []sheddingRequest, r []emulator.Began) ([]sheddingRequest, []emulator.Began) {
			return append(a, a[0]), r
		}, "", 0, "twice"},
	} {
		t.Run(c.name, func(t *testing.T) {
			all, ran := c.doctor(sound(from))
			m, err := auditShedding(lanes, all, ran, from, []time.Time{from}, from, from.Add(3*time.Second))
			switch {
			case c.err != "":
				if err == nil || !strings.Contains(err.Error(), c.err) {
					t.Errorf("%v, %v", m, err)
				}
			case err != nil || m[c.metric] < c.want-0.01 || m[c.metric] > c.want+0.01 || c.want == 0 && m[c.metric] != 0:
				t.Errorf("%s: %v, %v", c.metric, m, err)
			case c.name == "right" && (m["torn_share"] != 0 || m["pairs"] == 0 || m["served_share_background"] != 0.5 || m["released_s"] < 1.9 || m["released_s"] > 2):
				t.Errorf("%v", m)
			}
		})
	}
}

// Four routers as processes before a group that more is asked of than it can do: 30% of what they tell each other is lost all
// along, one is killed, and one does not hear another. They shed the same accounts, and nobody sheds the best lane while
// another serves the last.
func TestLanesProcesses(t *testing.T) {
	t.Parallel()
	platform := strings.NewReplacer(`"balancers":1`, `"balancers":4`, `5000000000`, `300000000`, `20000000000`, `1000000000`).Replace(nettest.Settings)
	classes := `{"per_s":10000,"burst":10000}`
	team := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"worth":1,"users":[%[1]q],"lane":%[1]q,"retry_share":10,"classes":{"read":%s,"own":%[2]s,"write":%[2]s}}`, name, classes)
	}
	load := func(name string, clients int, perS float64, more string) string {
		return fmt.Sprintf(`{"name":%q,"user":%[1]q,"lane":%[1]q,"clients":%d,"per_s":%v,"mix":{"read":1},"forget":true,"repeats":1,"elsewhere":true%s}`, name, clients, perS, more)
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
	e, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), e, Options{Seed: 1, Dir: t.TempDir(), Build: program})
	if err != nil {
		t.Fatal(err)
	}
	m := r.Arms["a"]["lanes"]
	if len(r.Ended) > 0 || m["shed"] == 0 || m["inversions_after"] > 0 || m["pairs"] == 0 || m["torn_share"] > 0.2 {
		t.Errorf("%v, %v", r.Ended, m)
	}
	t.Log(m, r.Arms["a"]["premium"], r.Arms["a"]["regular"])
}
