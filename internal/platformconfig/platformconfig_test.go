package platformconfig

import (
	"strings"
	"testing"

	"lotushook/internal/nettest"
)

const known = `{"seq":41,"whole":true,"hosts":[]}`

func TestLoad(t *testing.T) {
	file := nettest.WriteConfig(t, nettest.RouterConfig("127.0.0.1:5433", "127.0.0.1:8500", known))
	env := map[string]string{"NODE_CONFIG": file, "NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.2:1"}
	c, err := Load(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n7" || c.Listen != "127.0.0.2:1" || c.Discovery != "127.0.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		c.Known.Version != 41 || c.Limits != (Limits{1, 192, 1024}) || c.Settings.Class("own") != 1 || c.Settings.Class("x") != -1 {
		t.Errorf("%+v", c)
	}
	if _, err := Load(func(string) string { return "" }); err == nil {
		t.Error("no error without NODE_CONFIG")
	}
}

// A bad configuration is one clear line that names the field.
func TestMalformed(t *testing.T) {
	good := nettest.RouterConfig("127.0.0.1:5433", "127.0.0.1:8500", known)
	for _, c := range []struct{ from, to, names string }{
		{good, "", "JSON"}, {good, good[:100], "JSON"}, {good, "[]", "an object wanted"}, {good, "null", "name"},
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
		{`"limits":{"cores"`, `"limit":{"cores"`, "limits: cores: 0"}, // a missing limit
		{`"memory_mb":192`, `"memory_kb":196608`, "limits: memory_mb: 0"},
		{`"sockets":1024`, `"sockets":"1k"`, "limits.sockets: "}, // a unit that is not the field's
		{`"deadline":20000000000`, `"deadline":"20s"`, "settings: classes[0].deadline: "},
		{`"free"`, `"harmless"`, `settings: classes[0].effect: unknown word "harmless"; write one of free, guarded, single_shot`},
		{`"mostHeld"`, `"mostKept"`, "settings: limits.mostHeld: missing"},
	} {
		_, err := Check(nettest.WriteConfig(t, strings.Replace(good, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.names) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40s -> %.40s: %v", c.from, c.to, err)
		}
	}
}
