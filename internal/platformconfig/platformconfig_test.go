package platformconfig

import (
	"strings"
	"testing"

	"lotushook/internal/nettest"
)

const knownList = `{"seq":41,"whole":true,"hosts":[]}`

func TestLoad(t *testing.T) {
	file := nettest.WriteConfig(t, nettest.RouterConfig("127.0.0.1:5433", "127.0.0.1:8500", knownList))
	env := map[string]string{"NODE_CONFIG": file, "NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.2:1"}
	config, err := Load(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if config.Name != "n7" || config.Listen != "127.0.0.2:1" || config.Discovery != "127.0.0.1:8500" || config.Seed != 0x8c1f30d27a5be964 ||
		config.LastKnownList.Version != 41 || config.Limits != (Limits{1, 192, 1024}) || config.Settings.Class("own") != 1 || config.Settings.Class("x") != -1 {
		t.Errorf("%+v", config)
	}
	if _, err := Load(func(string) string { return "" }); err == nil {
		t.Error("no error without NODE_CONFIG")
	}
}

// The error of an invalid configuration is one line that names the field.
func TestInvalidConfig(t *testing.T) {
	valid := nettest.RouterConfig("127.0.0.1:5433", "127.0.0.1:8500", knownList)
	for _, test := range []struct{ from, to, wantInError string }{
		{valid, "", "JSON"}, {valid, valid[:100], "JSON"}, {valid, "[]", "an object wanted"}, {valid, "null", "name"},
		{`"name":"n0"`, `"name":""`, "name"},
		{`"127.0.0.1:5433"`, `"localhost"`, "listen"},
		{`"127.0.0.1:8500"`, `":8500"`, "discovery"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed"},
		{`"cores":1.0`, `"cores":0`, "cores"},
		{`"cores":1.0`, `"cores":"1"`, "limits.cores: a number wanted, got a string"},
		{`"memory_mb":192`, `"memory_mb":1`, "memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "sockets"},
		{`"whole":true`, `"whole":1`, "known"},
		{`"balancers":1`, `"balancers":0`, "settings: balancers"},
		{`"mutate"`, `"mutant"`, "mutant"},
		{`"connectTimeout":5000000000`, `"connectTimeout":0`, "connectTimeout"},
		{nettest.Settings, "null", "settings"},
		{`"limits":{"cores"`, `"limit":{"cores"`, "limits: cores: 0"}, // a misspelled field, so the limits are missing
		{`"memory_mb":192`, `"memory_kb":196608`, "limits: memory_mb: 0"},
		{`"sockets":1024`, `"sockets":"1k"`, "limits.sockets: "}, // a number with a unit
		{`"deadline":20000000000`, `"deadline":"20s"`, "settings: classes[0].deadline: "},
		{`"free"`, `"harmless"`, `settings: classes[0].effect: unknown word "harmless"; write one of free, guarded, single_shot`},
		{`"mostHeld"`, `"mostKept"`, "settings: limits.mostHeld: missing"},
	} {
		_, err := Check(nettest.WriteConfig(t, strings.Replace(valid, test.from, test.to, 1)))
		if err == nil || !strings.Contains(err.Error(), test.wantInError) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40s -> %.40s: %v", test.from, test.to, err)
		}
	}
}
