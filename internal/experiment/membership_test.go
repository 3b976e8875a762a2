package experiment

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"lotushook/internal/nettest"
)

// program is the router, built once.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("test.parallel", "12") // the tests mostly wait for timeouts and need few cores
	code := 1
	dir, err := os.MkdirTemp("", "lab")
	if err == nil {
		program = filepath.Join(dir, "router")
		var out []byte
		if out, err = exec.Command("go", "build", "-tags", "debug", "-o", program, "lotushook/cmd/router").CombinedOutput(); err == nil {
			code = m.Run()
		} else {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// runMembers runs one arm of five routers without clients and returns its metrics and view changes; faults are events.
func runMembers(t *testing.T, seconds float64, members, faults string) (map[string]float64, []ViewChange) {
	t.Helper()
	platform := strings.Replace(nettest.Settings, `"balancers":1`, `"balancers":5`, 1)
	text := fmt.Sprintf(`{"name":"m","seconds":%v,"settle":4,"platform":%s,"classes":{},
		"fleet":{"groups":1,"members":1,"cores":1,"queue":4},"routers":{"count":5,"cores":1,"memory_mb":48,"sockets":256,"members":%s},
		"arms":[{"name":"a","events":[%s]}],"checks":[{"name":"wrong","value":"a.members.false_deaths","max":0}]}`, seconds, platform, members, faults)
	experiment, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(context.Background(), experiment, Options{Seed: 1, Dir: t.TempDir(), Build: program})
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Ended) > 0 {
		t.Error(result.Ended)
	}
	return result.Arms["a"]["members"], result.Views["a"]
}

const fastProbing = `{"period_ms":100,"wait_ms":40,"least_doubt_ms":500,"most_doubt_ms":1500}`

// TestProcesses checks the routers' views during and after faults of links and processes.
func TestProcesses(t *testing.T) {
	for _, test := range []struct {
		name, faults string
		seconds      float64
		agreed       float64 // whether all views must be right at the end
		never        string  // "3 dead": no view may ever show router 3 as dead; "dead": any router
	}{
		{"calm", "", 2, 1, "dead"},
		{"a third of all messages lost", `{"at_s":0,"do":"link","link":{"loss":0.3,"double":0.1,"reorder":0.1}},{"at_s":5,"do":"link"}`, 9, 1, "dead"},
		{"1 to 3 cut", `{"at_s":0,"do":"link","from":[1],"to":[3],"link":{"cut":true}},{"at_s":6,"do":"link"}`, 10, 1, "dead"},
		{"2 hears nobody", `{"at_s":0,"do":"link","to":[2],"link":{"cut":true}},{"at_s":6,"do":"link"}`, 14, 1, "0 dead"},
		{"split and healed", `{"at_s":0,"do":"link","from":[0,1,2],"to":[3,4],"link":{"cut":true}},{"at_s":0,"do":"link","from":[3,4],"to":[0,1,2],"link":{"cut":true}},{"at_s":6,"do":"link"}`, 14, 1, ""},
		{"killed, and back", `{"at_s":0,"do":"kill","router":4},{"at_s":6,"do":"start","router":4}`, 10, 1, "0 dead"},
		{"killed for good", `{"at_s":0,"do":"kill","router":4}`, 8, 1, "1 dead"},
		{"stopped for a while", `{"at_s":0,"do":"pause","router":1},{"at_s":1,"do":"resume","router":1}`, 7, 1, "0 dead"},
		{"leaves", `{"at_s":0,"do":"stop","router":2}`, 5, 1, "2 suspect"},
		{"slow", `{"at_s":0,"do":"throttle","router":1,"times":0.2},{"at_s":5,"do":"free","router":1}`, 10, 1, "0 dead"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			metrics, views := runMembers(t, test.seconds, fastProbing, test.faults)
			if metrics["false_deaths"] > 0 || metrics["fallen"] > 0 || metrics["parts_over"] > 0 || metrics["unnoticed"] > 0 || metrics["agreed"] != test.agreed {
				t.Errorf("%v", metrics)
			}
			if metrics["sent_per_s"] <= 0 || metrics["sent_per_s"] > 60 {
				t.Errorf("%v messages a second", metrics["sent_per_s"])
			}
			subject, state, hasSubject := strings.Cut(test.never, " ")
			for _, change := range views {
				if change.Subject >= 0 && change.Router != change.Subject && (hasSubject && fmt.Sprint(change.Subject) == subject && change.State == state || !hasSubject && subject != "" && change.State == subject) {
					t.Errorf("at %.1f s: %d has %d as %s", change.AtS, change.Router, change.Subject, change.State)
				}
			}
		})
	}
}

// TestAuditFails checks that the audit finds false deaths: plain SWIM declares serving routers dead when links lose
// half of all messages.
func TestAuditFails(t *testing.T) {
	t.Parallel()
	metrics, _ := runMembers(t, 6, `{"corrections":false,"period_ms":100,"wait_ms":40,"least_doubt_ms":200,"most_doubt_ms":300}`, `{"at_s":0,"do":"link","link":{"loss":0.5}}`)
	if metrics["false_deaths"] == 0 {
		t.Errorf("%v", metrics)
	}
}

// runRoaming runs clients whose sessions use another router for each request and send no position, while replicas
// receive a write long after its answer. It returns the number of session reads after a write, how many of them missed
// the session's last write, and the result of the experiment.
func runRoaming(t *testing.T, modes, faults string) (reads, stale float64, result *Result) {
	t.Helper()
	platform := strings.NewReplacer(`"balancers":1`, `"balancers":4`, `"x1","active"`, `"x1","inflight"`).Replace(nettest.Settings)
	text := fmt.Sprintf(`{"name":"o","seconds":6,"settle":3,"platform":%s,
		"classes":{"own":{"read":"session","wait_ms":4000,"work_ms":[1,2]},"write":{"read":"write","wait_ms":8000,"work_ms":[1,2]}},
		"fleet":{"groups":1,"members":3,"cores":4,"queue":16,"ship_ms":10,"apply_ms":1200},
		"routers":{"count":4,"cores":1,"memory_mb":48,"sockets":256,"notice_ms":200,"members":{"period_ms":100,"wait_ms":40,"least_doubt_ms":500,"most_doubt_ms":1500,%s}},
		"loads":[{"name":"roaming","clients":10,"pause_ms":250,"fresh":1,"forget":true,"address":"127.0.0.62","mix":{"own":0.6,"write":0.4}}],
		"arms":[{"name":"a","events":[%s]}],"checks":[{"name":"stale","value":"a.servers.stale_reads","max":0}]}`, platform, modes, faults)
	experiment, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if result, err = Run(context.Background(), experiment, Options{Seed: 3, Dir: t.TempDir(), Build: program}); err != nil {
		t.Fatal(err)
	}
	if len(result.Ended) > 0 {
		t.Error(result.Ended)
	}
	return result.Arms["a"]["servers"]["own_reads"], result.Arms["a"]["servers"]["stale_reads"], result
}

// TestOwnWrites checks that in mode one no session misses its own write while links lose 30% of the messages and a
// router is killed. With positions not shared between routers, the audit must find stale reads.
func TestOwnWrites(t *testing.T) {
	const faults = `{"at_s":0,"do":"link","link":{"loss":0.3}},{"at_s":2,"do":"kill","router":2}`
	t.Run("one", func(t *testing.T) {
		t.Parallel()
		reads, stale, result := runRoaming(t, `"share":true,"modes":{"classes":{"write":"one"},"wait_ms":3000}`, faults)
		metrics := result.Arms["a"]["members"]
		t.Logf("%v session reads after a write, %v stale; %v", reads, stale, metrics)
		// On a slow machine the wait for an acknowledgement may time out. Such answers are counted.
		if reads < 20 || stale > 0 && metrics["waits_over"] == 0 || metrics["waits_over"] > metrics["waits_came"]/5 || metrics["waits_came"] < 10 {
			t.Errorf("%v session reads after a write, %v stale; %v", reads, stale, metrics)
		}
	})
	t.Run("off", func(t *testing.T) {
		t.Parallel()
		if reads, stale, result := runRoaming(t, `"share":true,"modes":{"default":"off"}`, ""); stale == 0 {
			t.Errorf("%v session reads after a write, none stale: the audit finds nothing: %v %v", reads, result.Arms["a"]["servers"], result.Arms["a"]["roaming"])
		}
	})
}

// TestRoutersListenOnHostsOfTheirOwn checks that a router has different hosts for clients and for other routers. Their
// ports are chosen and released one after the other, so on one host they could be equal: TestProcesses sometimes failed
// as an address was in use.
func TestRoutersListenOnHostsOfTheirOwn(t *testing.T) {
	hosts := map[string]bool{}
	for run := range uint32(3) {
		for router := range 7 {
			hosts[clientHost(run, router)], hosts[memberHost(run, router)] = true, true
		}
	}
	if want := 3 * 7 * 2; len(hosts) != want {
		t.Errorf("%d hosts, want %d", len(hosts), want)
	}
}
