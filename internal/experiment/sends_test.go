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

// All routers are killed at once and come back with their disks. Clients bring no commits: what their reads must see is
// known from the disks alone, and no send rests on anything that it must not.
func TestComeBackWithDisks(t *testing.T) {
	t.Parallel()
	platform := strings.Replace(nettest.Settings, `"balancers":1`, `"balancers":3`, 1)
	faults := ""
	for _, do := range []string{"kill", "start"} {
		for n := range 3 {
			faults += fmt.Sprintf(`,{"at_s":%v,"do":%q,"router":%d}`, map[string]float64{"kill": 2.5, "start": 2.9}[do], do, n)
		}
	}
	text := fmt.Sprintf(`{"name":"m","seconds":6,"settle":3,"platform":%s,"classes":{"own":{"read":"session","wait_ms":2000,"work_ms":[1,2]},"write":{"read":"write","wait_ms":2000,"work_ms":[1,2]}},
		"fleet":{"groups":1,"members":3,"cores":4,"queue":64,"ship_ms":5,"apply_ms":1},
		"routers":{"count":3,"cores":1,"memory_mb":48,"sockets":256,"notice_ms":100,"members":{"period_ms":100,"wait_ms":40,"share":true,"keep":{"fsyncs_per_s":20},"decisions":{}}},
		"loads":[{"name":"roaming","clients":24,"pause_ms":30,"fresh":1,"forget":true,"mix":{"own":0.6,"write":0.4}}],
		"arms":[{"name":"a","events":[%s]}],"checks":[{"name":"x","value":"a.sends.unrecorded","max":0}]}`, platform, faults[1:])
	e, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	res, err := Run(context.Background(), e, Options{Seed: 1, Dir: dir, Build: program})
	if err != nil {
		t.Fatal(err)
	}
	m := res.Arms["a"]["sends"]
	if len(res.Ended) > 0 || m["restored"] == 0 || m["ran"] < 100 {
		t.Errorf("%v %v %v", res.Ended, m, res.Arms["a"]["servers"])
	}
	for _, never := range []string{"unrecorded", "unlisted", "blind_writes", "ungrounded", "lowered", "below", "young"} {
		if m[never] != 0 {
			t.Errorf("%s: %v", never, m)
		}
	}
	if all, err := readSends(filepath.Join(dir, "a", sendsName(0))); err != nil || len(all) == 0 {
		t.Errorf("%d sends, %v", len(all), err)
	}
}

// Each figure of the audit comes from a record that was doctored for it, and from no other.
func TestSendsAuditFails(t *testing.T) {
	ground := func(what, origin string, age int64, says string) router.Evidence {
		return router.Evidence{Subject: what, Origin: origin, AgeMS: age, Value: says}
	}
	for _, c := range []struct {
		figure string
		doctor func(s []router.AttemptRecord, r []emulator.Ran) []emulator.Ran
	}{
		{"", func(_ []router.AttemptRecord, r []emulator.Ran) []emulator.Ran { return r }},
		{"unrecorded", func(_ []router.AttemptRecord, r []emulator.Ran) []emulator.Ran { r[0].Server = "s2"; return r }},
		{"unlisted", func(s []router.AttemptRecord, r []emulator.Ran) []emulator.Ran { s[0].Listed = false; return r }},
		{"blind_writes", func(s []router.AttemptRecord, r []emulator.Ran) []emulator.Ran {
			s[0].Used = append(s[0].Used, ground("primary", "restored", 9000, "s1"))
			return r
		}},
		{"ungrounded", func(s []router.AttemptRecord, r []emulator.Ran) []emulator.Ran { s[0].Used[0].Value = "s9"; return r }},
		{"lowered", func(s []router.AttemptRecord, r []emulator.Ran) []emulator.Ran { s[2].MinPosition = 40; return r }},
		{"below", func(_ []router.AttemptRecord, r []emulator.Ran) []emulator.Ran { r[1].Pos = 49; return r }},
		{"young", func(s []router.AttemptRecord, r []emulator.Ran) []emulator.Ran { s[1].Used[1].AgeMS = 10; return r }},
	} {
		sends := []router.AttemptRecord{
			{AtMS: 50, Router: "n0", ID: "1", Server: "s1", Listed: true, Write: true, Used: []router.Evidence{ground("server", "own", 0, "s1")}},
			{AtMS: 60, Router: "n0", ID: "2", Session: "x", Server: "s1", Listed: true, MinPosition: 50, Used: []router.Evidence{ground("server", "own", 0, "s1"), ground("floor", "restored", 900, "50")}},
			{AtMS: 70, Router: "n0", ID: "3", Session: "x", Server: "s1", Listed: true, MinPosition: 50, Used: []router.Evidence{ground("server", "own", 0, "s1"), ground("floor", "peer", 5, "50")}},
		}
		ran := c.doctor(sends, []emulator.Ran{{ID: "1", Server: "s1", Write: true, Pos: 45}, {ID: "2", Session: "x", Server: "s1", Pos: 50}, {ID: "3", Session: "x", Server: "s1", Pos: 55}})
		m := auditSends(sends, ran)
		maps.DeleteFunc(m, func(name string, v float64) bool {
			return v == 0 || name == "sends" || name == "ran" || name == "restored"
		})
		if len(m) != len(c.figure)/max(1, len(c.figure)) || c.figure != "" && m[c.figure] == 0 {
			t.Errorf("%q: %v", c.figure, m)
		}
	}
}
