package experiment

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"strings"
	"testing"

	"lotushook/internal/emulator"
	"lotushook/internal/nettest"
	"lotushook/internal/router"
)

// TestComeBackWithDisks kills all routers at once and restarts them with their disks. Clients send no positions, so the
// routers know the positions that reads must include from the disks alone, and no send may be based on an invalid
// source.
func TestComeBackWithDisks(t *testing.T) {
	t.Parallel()
	platform := strings.Replace(nettest.Settings, `"balancers":1`, `"balancers":3`, 1)
	faults := ""
	for _, do := range []string{"kill", "start"} {
		for router := range 3 {
			faults += fmt.Sprintf(`,{"at_s":%v,"do":%q,"router":%d}`, map[string]float64{"kill": 2.5, "start": 2.9}[do], do, router)
		}
	}
	text := fmt.Sprintf(`{"name":"m","seconds":6,"settle":3,"platform":%s,"classes":{"own":{"read":"session","wait_ms":2000,"work_ms":[1,2]},"write":{"read":"write","wait_ms":2000,"work_ms":[1,2]}},
		"fleet":{"groups":1,"members":3,"cores":4,"queue":64,"ship_ms":5,"apply_ms":1},
		"routers":{"count":3,"cores":1,"memory_mb":48,"sockets":256,"notice_ms":100,"members":{"period_ms":100,"wait_ms":40,"share":true,"keep":{"fsyncs_per_s":20},"decisions":{}}},
		"loads":[{"name":"roaming","clients":24,"pause_ms":30,"fresh":1,"forget":true,"mix":{"own":0.6,"write":0.4}}],
		"arms":[{"name":"a","events":[%s]}],"checks":[{"name":"x","value":"a.sends.unrecorded","max":0}]}`, platform, faults[1:])
	experiment, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	result, err := Run(context.Background(), experiment, Options{Seed: 1, Dir: dir, Build: program})
	if err != nil {
		t.Fatal(err)
	}
	metrics := result.Arms["a"]["sends"]
	if len(result.Ended) > 0 || metrics["restored"] == 0 || metrics["ran"] < 100 {
		t.Errorf("%v %v %v", result.Ended, metrics, result.Arms["a"]["servers"])
	}
	for _, name := range []string{"unrecorded", "unlisted", "blind_writes", "ungrounded", "lowered", "below", "young"} {
		if metrics[name] != 0 {
			t.Errorf("%s: %v", name, metrics)
		}
	}
	if all, err := readSends(filepath.Join(dir, "a", sendsName(0))); err != nil || len(all) == 0 {
		t.Errorf("%d sends, %v", len(all), err)
	}
}

// TestSendsAuditFails checks that each metric of the audit is raised by a record changed for it, and by no other.
func TestSendsAuditFails(t *testing.T) {
	provenance := func(what, origin string, age int64, says string) router.Evidence {
		return router.Evidence{Subject: what, Origin: origin, AgeMS: age, Value: says}
	}
	for _, test := range []struct {
		metric string
		change func(sends []router.AttemptRecord, ran []emulator.Run) []emulator.Run
	}{
		{"", func(_ []router.AttemptRecord, ran []emulator.Run) []emulator.Run { return ran }},
		{"unrecorded", func(_ []router.AttemptRecord, ran []emulator.Run) []emulator.Run { ran[0].Server = "s2"; return ran }},
		{"unlisted", func(sends []router.AttemptRecord, ran []emulator.Run) []emulator.Run {
			sends[0].Listed = false
			return ran
		}},
		{"blind_writes", func(sends []router.AttemptRecord, ran []emulator.Run) []emulator.Run {
			sends[0].Used = append(sends[0].Used, provenance("primary", "restored", 9000, "s1"))
			return ran
		}},
		{"ungrounded", func(sends []router.AttemptRecord, ran []emulator.Run) []emulator.Run {
			sends[0].Used[0].Value = "s9"
			return ran
		}},
		{"lowered", func(sends []router.AttemptRecord, ran []emulator.Run) []emulator.Run {
			sends[2].MinPosition = 40
			return ran
		}},
		{"below", func(_ []router.AttemptRecord, ran []emulator.Run) []emulator.Run { ran[1].Pos = 49; return ran }},
		{"young", func(sends []router.AttemptRecord, ran []emulator.Run) []emulator.Run {
			sends[1].Used[1].AgeMS = 10
			return ran
		}},
	} {
		sends := []router.AttemptRecord{
			{AtMS: 50, Router: "n0", ID: "1", Server: "s1", Listed: true, Write: true, Used: []router.Evidence{provenance("server", "own", 0, "s1")}},
			{AtMS: 60, Router: "n0", ID: "2", Session: "x", Server: "s1", Listed: true, MinPosition: 50, Used: []router.Evidence{provenance("server", "own", 0, "s1"), provenance("floor", "restored", 900, "50")}},
			{AtMS: 70, Router: "n0", ID: "3", Session: "x", Server: "s1", Listed: true, MinPosition: 50, Used: []router.Evidence{provenance("server", "own", 0, "s1"), provenance("floor", "peer", 5, "50")}},
		}
		ran := test.change(sends, []emulator.Run{{ID: "1", Server: "s1", Write: true, Pos: 45}, {ID: "2", Session: "x", Server: "s1", Pos: 50}, {ID: "3", Session: "x", Server: "s1", Pos: 55}})
		metrics := auditSends(sends, ran)
		maps.DeleteFunc(metrics, func(name string, value float64) bool {
			return value == 0 || name == "sends" || name == "ran" || name == "restored"
		})
		if len(metrics) != len(test.metric)/max(1, len(test.metric)) || test.metric != "" && metrics[test.metric] == 0 {
			t.Errorf("%q: %v", test.metric, metrics)
		}
	}
}
