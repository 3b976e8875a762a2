package siteconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoad(t *testing.T) {
	config, err := Load(writeFile(t, `{"admission": {"per_address": 40, "per_prefix": 200, "new_per_s": 100, "pressure": {"hold_ms": 5},
		"reserve": [{"name": "counters", "addresses": ["127.0.0.1/32"], "connections": 40}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	limits := config.Admission.Limits(300, 2e9)
	if limits.MaxConnections != 300 || limits.MaxPerAddress != 40 || limits.AddressRateLimit != 100 || limits.Reserves[0].Capacity != 40 || limits.EvictableSilence != 20e6 ||
		limits.Pressure.MinDuration != 5e6 || limits.Pressure.Enter != 0.9 || limits.MaxRetryAfter != 2e9 {
		t.Errorf("limits: %+v", limits)
	}
	if config, err = Load(writeFile(t, `{}`)); err != nil || config.Admission != nil {
		t.Errorf("empty file: got %+v, %v", config, err)
	}
}

// Hours that span midnight, or the end of the week, become a single interval.
func TestContracts(t *testing.T) {
	config, err := Load(writeFile(t, `{"contracts":{"skew":0.45,"fleet":{"cost":{"write":2},"primary_per_s":50,"groups":2},"teams":[
		{"name":"a","worth":2,"users":["u"],"classes":{"write":{"per_s":5,"burst":5}},"primary_share":0.1,
		 "hours":[{"days":["sun","mon"],"from":"18:00","to":"01:30","times":1.5}]}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := config.Contracts.LedgerSettings(config.Contracts.NamedClasses(), 3, 0)
	if err != nil {
		t.Fatal(err)
	}
	hours := settings.Teams[0].Hours
	if len(hours) != 2 || hours[0].From != 6*86400+18*3600 || hours[0].To != 7*86400+5400 || hours[1].From != 18*3600 || settings.Classes[0].Cost != 2 || !settings.Classes[0].Primary {
		t.Errorf("settings: %+v", settings)
	}
	if _, err := config.Contracts.LedgerSettings(nil, 3, 0); err == nil {
		t.Error("accepted a class that the platform does not have")
	}
}

// Print writes a complete settings file that loads to the same settings.
func TestPrint(t *testing.T) {
	config, err := Load(writeFile(t, `{"admission":{"shared":["10.0.0.0/8"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	text, err := config.Print()
	if err != nil || !strings.Contains(text, `"remembered": 4096`) {
		t.Fatalf("%v: %s", err, text)
	}
	reloaded, err := Load(writeFile(t, text))
	if err != nil {
		t.Fatal(err)
	}
	if second, _ := reloaded.Print(); second != text {
		t.Errorf("first print:\n%s\nsecond print:\n%s", text, second)
	}
}

const membersFile = `{"members":{"cluster":"x","key_file":"k","routers":{"n0":{"listen":"10.0.0.1:7"},"n1":{"listen":"10.0.0.2:7","advertise":"10.0.1.2:7"}}}}`

// One file serves all routers: each finds its entry by its name.
func TestMembers(t *testing.T) {
	config, err := Load(writeFile(t, membersFile))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := config.Members.MembershipSettings("n1", 5)
	if err != nil || settings.Configured != 2 || settings.Address != "10.0.1.2:7" || settings.ProbeInterval != 200e6 || settings.Term() != 1600e6 || len(settings.AllowedNames) != 2 || settings.IsolatedShare != 0.5 {
		t.Errorf("%+v, %v", settings, err)
	}
	if _, err := config.Members.MembershipSettings("n2", 5); err == nil || !strings.Contains(err.Error(), `"n2" is not among them`) {
		t.Error(err)
	}
}

// An error in a settings file is one line that names the setting.
func TestInvalidSettings(t *testing.T) {
	for text, want := range map[string]string{
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
		`{"contracts":{"fleet":{"cost":{"x":0}}}}`:                 "fleet.cost.x",
		`{"contracts":{"two":"both"}}`:                             "two: ",
		`{"accounts":{}}`:                                          "accounts: requires contracts",
		`{"contracts":{},"accounts":{"every_s":-1}}`:               "every_s",
		`{"admission":null}`:                                       "admission: ",
		`{"admission":{"shared":["10.0.0.1"]}}`:                    "admission.shared[0]",
		`{"members":{}}`:                                           "members: cluster",
		`{"members":{"cluster":"x"}}`:                              "key_file",
		`{"recovery":{"ratio":0.2}}`:                               "recovery: ratio: 0.2 is not between 0 and 0.199",
		`{"recovery":{"soonest_ms":9,"latest_ms":8}}`:              "latest_ms",
		strings.Replace(membersFile, "n0", "", 1):                  `routers: ""`,
		strings.Replace(membersFile, "10.0.0.1:7", "host:7", 1):    `routers.n0.listen: "host:7"`,
		strings.Replace(membersFile, "10.0.0.1:7", "0.0.0.0:7", 1): "advertise",
		strings.Replace(membersFile, `"10.0.0.1:7"`, `"0.0.0.0:7","advertise":"10.0.0.1:0"`, 1):           `routers.n0.advertise: "10.0.0.1:0"`,
		strings.Replace(membersFile, `{"cl`, `{"alone":0,"cl`, 1):                                         "alone: 0",
		strings.Replace(membersFile, `{"cl`, `{"wait_ms":300,"cl`, 1):                                     "wait_ms must be below period_ms",
		strings.Replace(membersFile, `{"cl`, `{"seeds":["x"],"cl`, 1):                                     `seeds: "x"`,
		strings.Replace(membersFile, `{"cl`, `{"most_doubt_ms":1,"cl`, 1):                                 "most_doubt_ms: 1",
		strings.Replace(membersFile, `{"cl`, `{"modes":{"default":"one"},"cl`, 1):                         "modes: requires share",
		strings.Replace(membersFile, `{"cl`, `{"share":true,"modes":{"default":"two"},"cl`, 1):            `modes.default: "two"`,
		strings.Replace(membersFile, `{"cl`, `{"share":true,"modes":{"wait_ms":0},"cl`, 1):                "modes.wait_ms: 0",
		strings.Replace(membersFile, `{"cl`, `{"share":true,"modes":{"classes":{"a":""}},"cl`, 1):         `modes.classes.a: ""`,
		strings.Replace(membersFile, `{"cl`, `{"share":true,"keep":{},"cl`, 1):                            "keep.dir: missing",
		strings.Replace(membersFile, `{"cl`, `{"keep":{"dir":"d"},"cl`, 1):                                "keep: requires share",
		strings.Replace(membersFile, `{"cl`, `{"share":true,"keep":{"dir":"d","queue_kb":1},"cl`, 1):      "keep.queue_kb: 1",
		strings.Replace(membersFile, `{"cl`, `{"share":true,"keep":{"dir":"d","load_ms":-1},"cl`, 1):      "keep.load_ms: -1",
		strings.Replace(membersFile, `{"cl`, `{"share":true,"keep":{"dir":"d","most_mb":5000},"cl`, 1):    "keep.most_mb: 5000",
		strings.Replace(membersFile, `{"cl`, `{"share":true,"keep":{"dir":"d","fsyncs_per_s":-1},"cl`, 1): "keep.fsyncs_per_s: -1",
		strings.Replace(membersFile, `{"cl`, `{"decisions":{},"cl`, 1):                                    "decisions: file",
		`{"feeds":{}}`: "feeds: classes: none",
		`{"feeds":{"classes":{"f":{"kind":"queue"}}}}`:                 `feeds: classes.f.kind: "queue"`,
		`{"feeds":{"classes":{"f":{"kind":"feed"}},"most_cursors":0}}`: "most_cursors: 0",
		`{"feeds":{"classes":{"f":{"kind":"feed"}},"fresh_ms":-1}}`:    "feeds: fresh_ms: -1",
		`{"feeds":{"classes":{"f":{"kind":"feed"}},"return_per_s":0}}`: "return_per_s",
		`{"feeds":{"classes":{"f":{"kind":"feed","fresh":1}}}}`:        "feeds.classes.f.fresh: unknown key",
	} {
		_, err := Load(writeFile(t, text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want %s", text, err, want)
		}
	}
	if _, err := Load("/nowhere/at/all"); err == nil {
		t.Error("no error for a missing file")
	}
}

// Priority classes have defaults, a team refers to its class by name, and errors name the setting.
func TestPriorityClasses(t *testing.T) {
	const teams = `"teams":[{"name":"a","worth":1,"users":["u"],"lane":"%s","classes":{}},{"name":"b","worth":1,"users":["v"],"classes":{}}]`
	load := func(lanes, teamLane string) (*Config, error) {
		return Load(writeFile(t, `{"contracts":{`+lanes+strings.Replace(teams, "%s", teamLane, 1)+`}}`))
	}
	config, err := load(`"lanes":{"lanes":[{"name":"x","per_s":5,"burst":5},{"name":"y","least":0}],"epoch_ms":9000},`, "x")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := config.Contracts.SheddingSettings(SheddingRouter{"n0", 3, 7, true}, 4e9)
	if err != nil || settings.SaltPeriod != 9e9 || settings.Interval != 200e6 || settings.PriorityClasses[0].ReservedShare != 0.05 || settings.PriorityClasses[1].ReservedShare != 0 || settings.Teams[0].PriorityClass != 0 || settings.Teams[1].PriorityClass != 1 || !settings.Shared || settings.Routers != 7 {
		t.Errorf("%+v, %v", settings, err)
	}
	if text, _ := config.Print(); !strings.Contains(text, `"fresh_ms": 1000`) {
		t.Error(text)
	}
	if config, err = load("", ""); err != nil || config.Contracts.Shedding != nil {
		t.Errorf("%+v, %v", config, err)
	}
	for want, file := range map[string][2]string{
		"contracts: teams.a.lane: no lanes are configured": {"", "x"},
		`contracts: teams.a.lane: no lane "z"`:             {`"lanes":{"lanes":[{"name":"x"}]},`, "z"},
		"contracts: lanes.lanes: 0, 1 to 8 wanted":         {`"lanes":{},`, ""},
		"contracts: lanes.look_ms":                         {`"lanes":{"lanes":[{"name":"x"}],"look_ms":-1},`, "x"},
		"contracts: lanes.lanes[0].per_s: 5 and burst 0":   {`"lanes":{"lanes":[{"name":"x","per_s":5}]},`, "x"},
		"contracts.lanes":                                  {`"lanes":{"lames":[]},`, "x"},
	} {
		if _, err := load(file[0], file[1]); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want %s", err, want)
		}
	}
}
