package siteconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoad(t *testing.T) {
	s, err := Load(file(t, `{"admission": {"per_address": 40, "per_prefix": 200, "new_per_s": 100, "pressure": {"hold_ms": 5},
		"reserve": [{"name": "counters", "addresses": ["127.0.0.1/32"], "connections": 40}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	l := s.Admission.Limits(300, 2e9)
	if l.MaxConnections != 300 || l.MaxPerAddress != 40 || l.AddressRateLimit != 100 || l.Reserves[0].Capacity != 40 || l.EvictableSilence != 20e6 ||
		l.Pressure.MinDuration != 5e6 || l.Pressure.Enter != 0.9 || l.MaxRetryAfter != 2e9 {
		t.Errorf("%+v", l)
	}
	if s, err = Load(file(t, `{}`)); err != nil || s.Admission != nil {
		t.Errorf("an empty file: %+v, %v", s, err)
	}
}

// Hours that go over midnight, and over the week's end, are one stretch.
func TestContracts(t *testing.T) {
	s, err := Load(file(t, `{"contracts":{"skew":0.45,"fleet":{"cost":{"write":2},"primary_per_s":50,"groups":2},"teams":[
		{"name":"a","worth":2,"users":["u"],"classes":{"write":{"per_s":5,"burst":5}},"primary_share":0.1,
		 "hours":[{"days":["sun","mon"],"from":"18:00","to":"01:30","times":1.5}]}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	b, err := s.Contracts.LedgerSettings(s.Contracts.Named(), 3, 0)
	if err != nil {
		t.Fatal(err)
	}
	h := b.Teams[0].Hours
	if len(h) != 2 || h[0].From != 6*86400+18*3600 || h[0].To != 7*86400+5400 || h[1].From != 18*3600 || b.Classes[0].Cost != 2 || !b.Classes[0].Primary {
		t.Errorf("%+v", b)
	}
	if _, err := s.Contracts.LedgerSettings(nil, 3, 0); err == nil {
		t.Error("a class that the platform does not have")
	}
}

// What is printed is a whole file that says the same.
func TestPrint(t *testing.T) {
	s, err := Load(file(t, `{"admission":{"shared":["10.0.0.0/8"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	text, err := s.Print()
	if err != nil || !strings.Contains(text, `"remembered": 4096`) {
		t.Fatalf("%v: %s", err, text)
	}
	again, err := Load(file(t, text))
	if err != nil {
		t.Fatal(err)
	}
	if next, _ := again.Print(); next != text {
		t.Errorf("%s\n%s", text, next)
	}
}

const members = `{"members":{"cluster":"x","key_file":"k","routers":{"n0":{"listen":"10.0.0.1:7"},"n1":{"listen":"10.0.0.2:7","advertise":"10.0.1.2:7"}}}}`

// One file serves all routers: each finds itself in it.
func TestMembers(t *testing.T) {
	s, err := Load(file(t, members))
	if err != nil {
		t.Fatal(err)
	}
	m, err := s.Members.Member("n1", 5)
	if err != nil || m.Configured != 2 || m.Address != "10.0.1.2:7" || m.ProbeInterval != 200e6 || m.Term() != 1600e6 || len(m.AllowedNames) != 2 || m.IsolatedShare != 0.5 {
		t.Errorf("%+v, %v", m, err)
	}
	if _, err := s.Members.Member("n2", 5); err == nil || !strings.Contains(err.Error(), `"n2" is not among them`) {
		t.Error(err)
	}
}

// A slip is one line that says where it stands.
func TestRefuses(t *testing.T) {
	for text, says := range map[string]string{
		`{"admision":{}}`:                                                              "admision: unknown key",
		`{"admission":{"per_adress":1}}`:                                               "admission.per_adress: unknown key",
		`{"admission":{"per_address":"40"}}`:                                           "admission.per_address: a whole number wanted",
		`{"admission":{"per_address":-1}}`:                                             "admission: per_address: -1 is below 0",
		`{"admission":{"linger_ms":-1}}`:                                               "linger_ms",
		`{"admission":{"crowd_share":2}}`:                                              "crowd_share",
		`{"admission":{"pressure":{"caps":0}}}`:                                        "pressure.caps",
		`{"admission":{"reserve":[{"name":"x","connections":1}]}}`:                     "reserve[0]: nobody",
		`{"contracts":{"teams":[{"name":"a","worth":1,"classes":{"x":{"per_s":5}}}]}}`: "teams.a.classes.x: per_s 5 and burst 0",
		`{"contracts":{"teams":[{"name":"a","worth":1,"classes":{},"hours":[{"days":["su"],"from":"1:00","to":"2:00","times":2}]}]}}`:   `teams.a.hours[0].days: "su"`,
		`{"contracts":{"teams":[{"name":"a","worth":1,"classes":{},"hours":[{"days":["sun"],"from":"25:00","to":"2:00","times":2}]}]}}`: `hours[0].from: "25:00"`,
		`{"contracts":{"fleet":{"cost":{"x":0}}}}`:             "fleet.cost.x",
		`{"contracts":{"two":"both"}}`:                         "two: ",
		`{"accounts":{}}`:                                      "accounts: there are none without contracts",
		`{"contracts":{},"accounts":{"every_s":-1}}`:           "every_s",
		`{"admission":null}`:                                   "admission: ",
		`{"admission":{"shared":["10.0.0.1"]}}`:                "admission.shared[0]",
		`{"members":{}}`:                                       "members: cluster",
		`{"members":{"cluster":"x"}}`:                          "key_file",
		`{"recovery":{"ratio":0.2}}`:                           "recovery: ratio: 0.2 is not between 0 and 0.199",
		`{"recovery":{"soonest_ms":9,"latest_ms":8}}`:          "latest_ms",
		strings.Replace(members, "n0", "", 1):                  `routers: ""`,
		strings.Replace(members, "10.0.0.1:7", "host:7", 1):    `routers.n0.listen: "host:7"`,
		strings.Replace(members, "10.0.0.1:7", "0.0.0.0:7", 1): "advertise",
		strings.Replace(members, `"10.0.0.1:7"`, `"0.0.0.0:7","advertise":"10.0.0.1:0"`, 1):           `routers.n0.advertise: "10.0.0.1:0"`,
		strings.Replace(members, `{"cl`, `{"alone":0,"cl`, 1):                                         "alone: 0",
		strings.Replace(members, `{"cl`, `{"wait_ms":300,"cl`, 1):                                     "wait_ms must be under period_ms",
		strings.Replace(members, `{"cl`, `{"seeds":["x"],"cl`, 1):                                     `seeds: "x"`,
		strings.Replace(members, `{"cl`, `{"most_doubt_ms":1,"cl`, 1):                                 "most_doubt_ms: 1",
		strings.Replace(members, `{"cl`, `{"modes":{"default":"one"},"cl`, 1):                         "modes: nothing is shared",
		strings.Replace(members, `{"cl`, `{"share":true,"modes":{"default":"two"},"cl`, 1):            `modes.default: "two"`,
		strings.Replace(members, `{"cl`, `{"share":true,"modes":{"wait_ms":0},"cl`, 1):                "modes.wait_ms: 0",
		strings.Replace(members, `{"cl`, `{"share":true,"modes":{"classes":{"a":""}},"cl`, 1):         `modes.classes.a: ""`,
		strings.Replace(members, `{"cl`, `{"share":true,"keep":{},"cl`, 1):                            "keep.dir: missing",
		strings.Replace(members, `{"cl`, `{"keep":{"dir":"d"},"cl`, 1):                                "keep: there is nothing to keep",
		strings.Replace(members, `{"cl`, `{"share":true,"keep":{"dir":"d","queue_kb":1},"cl`, 1):      "keep.queue_kb: 1",
		strings.Replace(members, `{"cl`, `{"share":true,"keep":{"dir":"d","load_ms":-1},"cl`, 1):      "keep.load_ms: -1",
		strings.Replace(members, `{"cl`, `{"share":true,"keep":{"dir":"d","most_mb":5000},"cl`, 1):    "keep.most_mb: 5000",
		strings.Replace(members, `{"cl`, `{"share":true,"keep":{"dir":"d","fsyncs_per_s":-1},"cl`, 1): "keep.fsyncs_per_s: -1",
		strings.Replace(members, `{"cl`, `{"decisions":{},"cl`, 1):                                    "decisions: file",
		`{"feeds":{}}`: "feeds: classes: none",
		`{"feeds":{"classes":{"f":{"kind":"queue"}}}}`:                 `feeds: classes.f.kind: "queue"`,
		`{"feeds":{"classes":{"f":{"kind":"feed"}},"most_cursors":0}}`: "most_cursors: 0",
		`{"feeds":{"classes":{"f":{"kind":"feed"}},"fresh_ms":-1}}`:    "feeds: fresh_ms: -1",
		`{"feeds":{"classes":{"f":{"kind":"feed"}},"return_per_s":0}}`: "return_per_s",
		`{"feeds":{"classes":{"f":{"kind":"feed","fresh":1}}}}`:        "feeds.classes.f.fresh: unknown key",
	} {
		_, err := Load(file(t, text))
		if err == nil || !strings.Contains(err.Error(), says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, wanted %s", text, err, says)
		}
	}
	if _, err := Load("/nowhere/at/all"); err == nil {
		t.Error("no error without a file")
	}
}

// Lanes have their defaults, a team its lane by name, and what is wrong is named where it stands.
func TestLanes(t *testing.T) {
	const teams = `"teams":[{"name":"a","worth":1,"users":["u"],"lane":"%s","classes":{}},{"name":"b","worth":1,"users":["v"],"classes":{}}]`
	with := func(lanes, lane string) (*Config, error) {
		return Load(file(t, `{"contracts":{`+lanes+strings.Replace(teams, "%s", lane, 1)+`}}`))
	}
	s, err := with(`"lanes":{"lanes":[{"name":"x","per_s":5,"burst":5},{"name":"y","least":0}],"epoch_ms":9000},`, "x")
	if err != nil {
		t.Fatal(err)
	}
	l, err := s.Contracts.SheddingSettings(Fleet{"n0", 3, 7, true}, 4e9)
	if err != nil || l.SaltPeriod != 9e9 || l.Interval != 200e6 || l.PriorityClasses[0].ReservedShare != 0.05 || l.PriorityClasses[1].ReservedShare != 0 || l.Teams[0].PriorityClass != 0 || l.Teams[1].PriorityClass != 1 || !l.Shared || l.Routers != 7 {
		t.Errorf("%+v, %v", l, err)
	}
	if text, _ := s.Print(); !strings.Contains(text, `"fresh_ms": 1000`) {
		t.Error(text)
	}
	if s, err = with("", ""); err != nil || s.Contracts.Shedding != nil {
		t.Errorf("%+v, %v", s, err)
	}
	for want, c := range map[string][2]string{
		"contracts: teams.a.lane: there are no lanes":    {"", "x"},
		`contracts: teams.a.lane: no lane "z"`:           {`"lanes":{"lanes":[{"name":"x"}]},`, "z"},
		"contracts: lanes.lanes: 0, 1 to 8 wanted":       {`"lanes":{},`, ""},
		"contracts: lanes.look_ms":                       {`"lanes":{"lanes":[{"name":"x"}],"look_ms":-1},`, "x"},
		"contracts: lanes.lanes[0].per_s: 5 and burst 0": {`"lanes":{"lanes":[{"name":"x","per_s":5}]},`, "x"},
		"contracts.lanes":                                {`"lanes":{"lames":[]},`, "x"},
	} {
		if _, err := with(c[0], c[1]); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
