package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"lotushook/internal/nettest"
)

// program is the path of the built command, which these tests start as the platform does.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lotushook")
	if err == nil {
		program = filepath.Join(dir, "router")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	code := 1
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

const emptyList = `{"seq":1,"whole":true,"hosts":[]}`

func TestCommandLine(t *testing.T) {
	valid := nettest.WriteConfig(t, `{"admission":{"per_address":40,"reserve":[{"name":"counters","users":["c"],"connections":40}]}}`)
	unknownKey := nettest.WriteConfig(t, `{"admission":{"per_adress":40}}`)
	oversizedReserve := nettest.WriteConfig(t, `{"admission":{"reserve":[{"name":"counters","users":["c"],"connections":4000}]}}`)
	members := `{"members":{"cluster":"x","key_file":"/nowhere/keys","routers":{"n0":{"listen":"127.0.0.1:0"}}}}`
	missingKeyFile := nettest.WriteConfig(t, members)
	extraMember := nettest.WriteConfig(t, strings.Replace(members, `}}}}`, `},"n1":{"listen":"127.0.0.2:0"}}}}`, 1))
	notAMember := nettest.WriteConfig(t, strings.Replace(members, "n0", "n9", 1))
	config := nettest.WriteConfig(t, nettest.RouterConfig("127.0.0.1:0", "127.0.0.1:1", emptyList))
	malformed := nettest.WriteConfig(t, "\n{\n\n\"name\": \n")
	unknownWord := nettest.WriteConfig(t, strings.Replace(nettest.RouterConfig("127.0.0.1:0", "127.0.0.1:1", emptyList), "mutate", "mutant", 1))
	for _, test := range []struct {
		args, config string
		code         int
		want         string // in the line on standard output, or on standard error if code isn't 0
	}{
		{"version", "", 0, "lotushook " + version},
		{"check " + config, "", 0, "valid: router n0"},
		{"check " + config, "", 0, "3 classes, 0 tenants, 1 router; list pushed; "},
		{"check " + unknownWord, "", 1, `settings: domain.classRead[2]: unknown word "mutant"; write one of causal, `},
		{"check", "", 1, "one file"},
		{"check --settings " + valid, "", 0, valid + ": valid"},
		{"check --settings " + valid + " " + config, "", 0, "valid: router n0"},
		{"check --settings " + unknownKey, "", 1, "admission.per_adress: unknown key"},
		{"check --settings " + oversizedReserve + " " + config, "", 1, "nothing is left for others"},
		{"check --settings", "", 1, "settings"},
		{"serve --settings " + unknownKey, config, 1, "admission.per_adress: unknown key"},
		{"serve --settings " + oversizedReserve, config, 1, "nothing is left for others"},
		{"serve --settings /nowhere/at/all", config, 1, "no such file"},
		{"serve --settings " + missingKeyFile, config, 1, "keys: no such file"},
		{"serve --settings " + extraMember, config, 1, "routers: 2 of them, and the configuration has 1"},
		{"check --settings " + notAMember + " " + config, "", 1, `"n0" is not among them`},
		{"check /nowhere/at/all", "", 1, "no such file"},
		{"serve", unknownWord, 1, "mutant"},
		{"serve", malformed, 1, "lotushook: config"},
		{"serve", "", 1, "NODE_CONFIG"},
		{"serve now", config, 1, "no argument"},
		{"serve --fast", config, 1, "fast"},
		{"dance", "", 1, "dance"},
		{"", "", 1, "no command"},
		{"version 2", "", 1, "no argument"},
	} {
		cmd := exec.Command(program, strings.Fields(test.args)...)
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+test.config)
		var out, errs bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		output := out.String()
		if test.code != 0 {
			output = errs.String()
		}
		if code := cmd.ProcessState.ExitCode(); code != test.code || !strings.Contains(output, test.want) || strings.Count(output, "\n") != 1 {
			t.Errorf("lotushook %s: %v, code %d, out %q, err %q", test.args, err, code, out.String(), errs.String())
		}
	}
}

// start runs "router serve" with the test network's agent and the data server s1, and returns the path of its
// configuration.
func start(t *testing.T) (*nettest.Network, *exec.Cmd, string) {
	t.Helper()
	return startAs(t, program, "serve")
}

// startAs runs any command line in that environment.
func startAs(t *testing.T, line ...string) (*nettest.Network, *exec.Cmd, string) {
	t.Helper()
	return startWith(t, func(config string) string { return config }, line...)
}

// startWith runs a command line with an edited configuration.
func startWith(t *testing.T, edit func(config string) string, line ...string) (*nettest.Network, *exec.Cmd, string) {
	t.Helper()
	network := nettest.New(t, "s1", "s2", "agent", "next")
	endpoints := nettest.EndpointList(1, "h-1 "+network.Addr("s1")+" 1 SERVING")
	configPath := nettest.WriteConfig(t, edit(nettest.RouterConfig("127.0.0.9:1", "127.0.0.9:2", endpoints)))
	cmd := exec.Command(line[0], line[1:]...)
	cmd.Env = append(os.Environ(), "NODE_NAME=n3", "NODE_LISTEN=127.0.0.1:0", "NODE_DISCOVERY="+network.Addr("agent"),
		"NODE_CONFIG="+configPath)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if the program has ended
		_ = cmd.Wait()         // fails if the test has waited
	})
	lines := bufio.NewScanner(stderr)
	serving := regexp.MustCompile(`msg=serving name=n3 listen=(\S+)`)
	for lines.Scan() {
		if match := serving.FindStringSubmatch(lines.Text()); match != nil {
			network.SetClients("", match[1])
			go func() { // drains the pipe, so that the program does not block
				for lines.Scan() {
				}
			}()
			return network, cmd, configPath
		}
	}
	t.Fatal("the program does not serve")
	return nil, nil, ""
}

// The system may grant fewer descriptors than the router's configuration says. If they run out, each request in flight
// still gets its one answer, new clients get an error, and new clients are served once descriptors are free again.
func TestOutOfDescriptors(t *testing.T) {
	settings := nettest.WriteConfig(t, `{"admission":{"green_ms":3600000,"spare_ms":3600000,"crowd_share":0,"linger_ms":1}}`)
	network, cmd, _ := startAs(t, "sh", "-c", "ulimit -n 40 && exec "+program+" serve --settings "+settings)
	const requests = 4
	for i := range requests {
		network.Run(fmt.Sprintf(`
			send c%[1]d startup | Q "/* id=0%[1]d,c=read,d=20000,cluster=1 */ A%[1]d"
			wait s1 as x%[1]d
			expect x%[1]d startup
			send x%[1]d welcome
			expect x%[1]d Q "/* id=0%[1]d,c=read,d=#,cluster=1 */ A%[1]d"`, i))
	}
	const flood = 100
	for i := range flood { // the first connect; the others find no free descriptor
		network.Run(fmt.Sprintf(`send f%d raw ""`, i))
	}
	network.Run(fmt.Sprintf(`expect f%d FATAL 53300 # | EOF`, flood-1))
	for i := range requests {
		network.Run(fmt.Sprintf(`
			send x%[1]d T | D "v%[1]d" | C | S rank=copy | Z
			expect c%[1]d welcome | T | D "v%[1]d" | C | Z
			send c%[1]d Q ""
			expect c%[1]d I | Z`, i))
	}
	for i := range flood {
		network.Run(fmt.Sprintf(`close f%d`, i))
	}
	if err := cmd.Process.Signal(syscall.Signal(0)); err != nil {
		t.Error(err)
	}
	connected := false
	for i := 0; !connected && i < 1000; i++ { // the router closes the connections of the flood one by one
		connected = network.RunStep(fmt.Sprintf("send n%d startup", i)) == nil && network.RunStep(fmt.Sprintf("expect n%d welcome", i)) == nil
	}
	if !connected {
		t.Error("no client is served after the flood")
	}
}

// On SIGHUP the admission limits change. Invalid settings change nothing, and the router goes on.
func TestReloadSettings(t *testing.T) {
	path := nettest.WriteConfig(t, `{"admission":{"per_address":2}}`)
	network, cmd, _ := startAs(t, program, "serve", "--settings", path)
	reload := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	network.Run(`
		send c1 startup | Q ""
		send c2 startup | Q ""
		expect c1 welcome | I | Z
		expect c2 welcome | I | Z
		expect c3 FATAL 53300 # | EOF`)
	reload(`{"admission":{"per_address":0`)
	reload(`{}`)
	network.Run(`expect c4 FATAL 53300 # | EOF`)
	reload(`{"admission":{"per_address":3}}`)
	connected := false
	for i := 0; !connected && i < 2000; i++ { // the program handles the signal asynchronously
		connected = network.RunStep(fmt.Sprintf("send n%d startup", i)) == nil && network.RunStep(fmt.Sprintf("expect n%d welcome", i)) == nil
	}
	if !connected {
		t.Error("the limit was not raised")
	}
}

// The program serves from its initial endpoint list while discovery does not answer, then follows discovery, and on
// SIGTERM completes the requests in flight.
func TestServe(t *testing.T) {
	network, cmd, _ := start(t)
	network.Run(`
		send c1 startup | Q ""
		expect c1 welcome | I | Z
		send c1 Q "/* id=01,c=write,d=20000,k=ab,cluster=1 */ INSERT"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=write,d=#,k=ab,cluster=1 */ INSERT"
		send s1 T | D "\x00\xff" | C | S rank=source | Z
		expect c1 T | D "\x00\xff" | C | Z`)
	publish := network.ServeDiscovery("agent")
	publish(2, nettest.EndpointList(2, "h-1 {s1} 1 DRAINING"))
	network.Run(`
		expect s1 EOF
		send c2 startup
		expect c2 welcome`)
	publish(3, nettest.EndpointList(3, "h-1 {s1} 1 SERVING"))
	network.Run(`
		send c1 Q "/* id=02,c=write,d=20000,k=ac,cluster=1 */ INSERT"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=02,c=write,d=#,k=ac,cluster=1 */ INSERT"`)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	network.Run(`
		expect c2 EOF
		send s1 T | D "late" | C | S rank=source | Z
		expect c1 T | D "late" | C | Z | EOF`)
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// On SIGHUP the program asks the agent that the reloaded file names for the whole endpoint list, even if NODE_DISCOVERY
// names another, and serves from the old list until the answer. An invalid file changes nothing, and nothing ends the
// program.
func TestReload(t *testing.T) {
	network, cmd, path := start(t)
	reload := func(config string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	network.Run(`
		wait agent
		expect agent line "GET /v1/endpoints HTTP/1.1"`)
	reload("{")
	reload(nettest.RouterConfig("127.0.0.9:1", network.Addr("next"), emptyList))
	network.Run(`
		wait next
		expect next line "GET /v1/endpoints HTTP/1.1"
		expect agent line "Host: {agent}"
		expect agent line "Accept: application/json"
		expect agent line ""
		expect agent EOF
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 welcome | T | D "v" | C | Z`)
	network.ServeDiscovery("next")(2, nettest.EndpointList(2, "h-1 {s1} 1 DRAINING"))
	network.Run(`expect s1 EOF`)
}

// Two routers can't listen on one address: the second reports it and ends.
func TestAddressInUse(t *testing.T) {
	network := nettest.New(t, "taken")
	cmd := exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), "NODE_LISTEN="+network.Addr("taken"),
		"NODE_CONFIG="+nettest.WriteConfig(t, nettest.RouterConfig("127.0.0.9:1", "127.0.0.1:1", emptyList)))
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "address already in use") {
		t.Errorf("%v: %s", err, out)
	}
}

// SIGTERM while the program still reads its configuration ends it without an error, as it does later.
func TestStopDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+path)
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })     // fails if the program has ended
	config, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the program opens it
	if err == nil {
		err = cmd.Process.Signal(syscall.SIGTERM)
	}
	if err == nil {
		_, err = config.WriteString(nettest.RouterConfig("127.0.0.1:0", "127.0.0.1:1", emptyList))
	}
	if err != nil {
		t.Fatal(err)
	}
	config.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, log.String())
	}
}

// During the shutdown SIGHUP reloads as usual, and a second SIGTERM changes nothing: requests in flight get their
// answers.
func TestSignalsWhileStopping(t *testing.T) {
	network, cmd, path := start(t)
	network.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		send c2 startup | Q ""
		expect c2 welcome | I | Z
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	send := func(sig syscall.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	send(syscall.SIGTERM)
	network.Run(`expect c2 EOF`)
	if err := os.WriteFile(path, []byte(nettest.RouterConfig("127.0.0.9:1", network.Addr("next"), emptyList)), 0o600); err != nil {
		t.Fatal(err)
	}
	send(syscall.SIGHUP)
	network.Run(`wait next`)
	send(syscall.SIGTERM)
	send(syscall.SIGHUP)
	send(syscall.SIGINT)
	network.Run(`
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 welcome | T | D "v" | C | Z | EOF`)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// Idle clients may use all descriptors that clients are allowed while discovery does not answer. New clients are still
// served, data servers are reached, the endpoint list is updated once discovery answers, and the program never exceeds
// its descriptor limit.
func TestIdleClientsFillDescriptors(t *testing.T) {
	const maxDescriptors = 64
	settings := nettest.WriteConfig(t, `{"admission":{"shared":["0.0.0.0/0"]}}`)
	for _, commandLine := range [][]string{{program, "serve"}, {program, "serve", "--settings", settings}} {
		t.Run(fmt.Sprint(len(commandLine)), func(t *testing.T) {
			network, cmd, _ := startWith(t, func(config string) string {
				return strings.Replace(config, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, maxDescriptors), 1)
			}, commandLine...)
			checkDescriptors := func() {
				t.Helper()
				open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
				if err != nil || len(open) > maxDescriptors {
					t.Fatalf("%d descriptors, %v", len(open), err)
				}
			}
			clients := 0
			connect := func(query, want string) (name string) { // with admission a client may be told to retry
				t.Helper()
				for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
					name, clients = fmt.Sprintf("c%d", clients), clients+1
					if network.RunStep("send "+name+" startup | "+query) == nil && network.RunStep("expect "+name+" "+want) == nil {
						return name
					}
					checkDescriptors()
				}
				t.Fatal("no client is served")
				return ""
			}
			fill := func() {
				t.Helper()
				for range 2 * maxDescriptors {
					connect(`Q ""`, "welcome | I | Z")
					checkDescriptors()
				}
			}
			fill()
			network.Define("first", connect(`Q "/* id=01,c=read,d=20000,cluster=1 */ A"`, "welcome"))
			network.Run(`
				wait s1
				expect s1 startup
				send s1 welcome
				expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
				send s1 T | D "v" | C | S rank=copy | Z
				expect {first} T | D "v" | C | Z`)
			fill()
			network.ServeDiscovery("agent")(2, nettest.EndpointList(2, "h-1 {s1} 1 DRAINING", "h-2 {s2} 1 SERVING"))
			network.Run(`expect s1 EOF`)
			network.Define("last", connect(`Q "/* id=02,c=read,d=20000,cluster=1 */ A"`, "welcome"))
			network.Run(`
				wait s2
				expect s2 startup
				send s2 welcome
				expect s2 Q "/* id=02,c=read,d=#,cluster=1 */ A"
				send s2 T | D "v" | C | S rank=copy | Z
				expect {last} T | D "v" | C | Z`)
			checkDescriptors()
		})
	}
}
