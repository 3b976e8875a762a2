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

// program is the built command, which these tests start as the platform does.
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
	own := nettest.WriteConfig(t, `{"admission":{"per_address":40,"reserve":[{"name":"counters","users":["c"],"connections":40}]}}`)
	slip := nettest.WriteConfig(t, `{"admission":{"per_adress":40}}`)
	greedy := nettest.WriteConfig(t, `{"admission":{"reserve":[{"name":"counters","users":["c"],"connections":4000}]}}`)
	fellows := `{"members":{"cluster":"x","key_file":"/nowhere/keys","routers":{"n0":{"listen":"127.0.0.1:0"}}}}`
	keyless := nettest.WriteConfig(t, fellows)
	crowded := nettest.WriteConfig(t, strings.Replace(fellows, `}}}}`, `},"n1":{"listen":"127.0.0.2:0"}}}}`, 1))
	stranger := nettest.WriteConfig(t, strings.Replace(fellows, "n0", "n9", 1))
	good := nettest.WriteConfig(t, nettest.RouterConfig("127.0.0.1:0", "127.0.0.1:1", emptyList))
	torn := nettest.WriteConfig(t, "\n{\n\n\"name\": \n")
	bad := nettest.WriteConfig(t, strings.Replace(nettest.RouterConfig("127.0.0.1:0", "127.0.0.1:1", emptyList), "mutate", "mutant", 1))
	for _, c := range []struct {
		args, config string
		code         int
		says         string // on standard output, or as the one line on standard error
	}{
		{"version", "", 0, "lotushook " + version},
		{"check " + good, "", 0, "valid: router n0"},
		{"check " + good, "", 0, "3 classes, 0 tenants, 1 router; list pushed; "},
		{"check " + bad, "", 1, `settings: domain.classRead[2]: unknown word "mutant"; write one of causal, `},
		{"check", "", 1, "one file"},
		{"check --settings " + own, "", 0, own + ": valid"},
		{"check --settings " + own + " " + good, "", 0, "valid: router n0"},
		{"check --settings " + slip, "", 1, "admission.per_adress: unknown key"},
		{"check --settings " + greedy + " " + good, "", 1, "nothing is left for others"},
		{"check --settings", "", 1, "settings"},
		{"serve --settings " + slip, good, 1, "admission.per_adress: unknown key"},
		{"serve --settings " + greedy, good, 1, "nothing is left for others"},
		{"serve --settings /nowhere/at/all", good, 1, "no such file"},
		{"serve --settings " + keyless, good, 1, "keys: no such file"},
		{"serve --settings " + crowded, good, 1, "routers: 2 of them, and the configuration has 1"},
		{"check --settings " + stranger + " " + good, "", 1, `"n0" is not among them`},
		{"check /nowhere/at/all", "", 1, "no such file"},
		{"serve", bad, 1, "mutant"},
		{"serve", torn, 1, "lotushook: config"},
		{"serve", "", 1, "NODE_CONFIG"},
		{"serve now", good, 1, "no argument"},
		{"serve --fast", good, 1, "fast"},
		{"dance", "", 1, "dance"},
		{"", "", 1, "no command"},
		{"version 2", "", 1, "no argument"},
	} {
		cmd := exec.Command(program, strings.Fields(c.args)...)
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+c.config)
		var out, errs bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		said := out.String()
		if c.code != 0 {
			said = errs.String()
		}
		if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(said, c.says) || strings.Count(said, "\n") != 1 {
			t.Errorf("lotushook %s: %v, code %d, out %q, err %q", c.args, err, code, out.String(), errs.String())
		}
	}
}

// start runs the program against the stage's agent and s1, and tells where its
// configuration is; clients are named c.
func start(t *testing.T) (*nettest.Network, *exec.Cmd, string) {
	t.Helper()
	return startAs(t, program, "serve")
}

// startAs is start by some command line.
func startAs(t *testing.T, line ...string) (*nettest.Network, *exec.Cmd, string) {
	t.Helper()
	return startWith(t, func(config string) string { return config }, line...)
}

// startWith is startAs with another configuration.
func startWith(t *testing.T, other func(config string) string, line ...string) (*nettest.Network, *exec.Cmd, string) {
	t.Helper()
	s := nettest.New(t, "s1", "s2", "agent", "next")
	known := nettest.EndpointList(1, "h-1 "+s.Addr("s1")+" 1 SERVING")
	file := nettest.WriteConfig(t, other(nettest.RouterConfig("127.0.0.9:1", "127.0.0.9:2", known)))
	cmd := exec.Command(line[0], line[1:]...)
	cmd.Env = append(os.Environ(), "NODE_NAME=n3", "NODE_LISTEN=127.0.0.1:0", "NODE_DISCOVERY="+s.Addr("agent"),
		"NODE_CONFIG="+file)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // what follows shows it
		_ = cmd.Wait()         // what follows shows it
	})
	lines := bufio.NewScanner(log)
	serving := regexp.MustCompile(`msg=serving name=n3 listen=(\S+)`)
	for lines.Scan() {
		if m := serving.FindStringSubmatch(lines.Text()); m != nil {
			s.SetClients("", m[1])
			go func() { // or the program would block on a full pipe
				for lines.Scan() {
				}
			}()
			return s, cmd, file
		}
	}
	t.Fatal("the program does not serve")
	return nil, nil, ""
}

// The system may have fewer descriptors than the router was told of. When they
// end while requests are in flight, each of these still gets its one answer, who
// comes hears why, and once there is room again all is as before.
func TestOutOfDescriptors(t *testing.T) {
	own := nettest.WriteConfig(t, `{"admission":{"green_ms":3600000,"spare_ms":3600000,"crowd_share":0,"linger_ms":1}}`)
	s, cmd, _ := startAs(t, "sh", "-c", "ulimit -n 40 && exec "+program+" serve --settings "+own)
	const open = 4
	for i := range open {
		s.Run(fmt.Sprintf(`
			send c%[1]d startup | Q "/* id=0%[1]d,c=read,d=20000,cluster=1 */ A%[1]d"
			wait s1 as x%[1]d
			expect x%[1]d startup
			send x%[1]d welcome
			expect x%[1]d Q "/* id=0%[1]d,c=read,d=#,cluster=1 */ A%[1]d"`, i))
	}
	const flood = 100
	for i := range flood { // the first are held; from some on there is no descriptor
		s.Run(fmt.Sprintf(`send f%d raw ""`, i))
	}
	s.Run(fmt.Sprintf(`expect f%d FATAL 53300 # | EOF`, flood-1))
	for i := range open {
		s.Run(fmt.Sprintf(`
			send x%[1]d T | D "v%[1]d" | C | S rank=copy | Z
			expect c%[1]d welcome | T | D "v%[1]d" | C | Z
			send c%[1]d Q ""
			expect c%[1]d I | Z`, i))
	}
	for i := range flood {
		s.Run(fmt.Sprintf(`close f%d`, i))
	}
	if err := cmd.Process.Signal(syscall.Signal(0)); err != nil {
		t.Error(err)
	}
	got := false
	for i := 0; !got && i < 1000; i++ { // the flood's ends are seen one by one
		got = s.RunStep(fmt.Sprintf("send n%d startup", i)) == nil && s.RunStep(fmt.Sprintf("expect n%d welcome", i)) == nil
	}
	if !got {
		t.Error("after the flood nobody gets in")
	}
}

// On SIGHUP limits change; settings that are wrong change nothing, and all goes on.
func TestReloadSettings(t *testing.T) {
	own := nettest.WriteConfig(t, `{"admission":{"per_address":2}}`)
	s, cmd, _ := startAs(t, program, "serve", "--settings", own)
	hup := func(text string) {
		t.Helper()
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	s.Run(`
		send c1 startup | Q ""
		send c2 startup | Q ""
		expect c1 welcome | I | Z
		expect c2 welcome | I | Z
		expect c3 FATAL 53300 # | EOF`)
	hup(`{"admission":{"per_address":0`)
	hup(`{}`)
	s.Run(`expect c4 FATAL 53300 # | EOF`)
	hup(`{"admission":{"per_address":3}}`)
	got := false
	for i := 0; !got && i < 2000; i++ { // the signal takes a moment
		got = s.RunStep(fmt.Sprintf("send n%d startup", i)) == nil && s.RunStep(fmt.Sprintf("expect n%d welcome", i)) == nil
	}
	if !got {
		t.Error("the cap was not raised")
	}
}

// The program serves from the list it was started with while discovery is
// silent, then follows discovery, and on SIGTERM finishes what it has taken.
func TestServe(t *testing.T) {
	s, cmd, _ := start(t)
	s.Run(`
		send c1 startup | Q ""
		expect c1 welcome | I | Z
		send c1 Q "/* id=01,c=write,d=20000,k=ab,cluster=1 */ INSERT"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=write,d=#,k=ab,cluster=1 */ INSERT"
		send s1 T | D "\x00\xff" | C | S rank=source | Z
		expect c1 T | D "\x00\xff" | C | Z`)
	tell := s.ServeDiscovery("agent")
	tell(2, nettest.EndpointList(2, "h-1 {s1} 1 DRAINING"))
	s.Run(`
		expect s1 EOF
		send c2 startup
		expect c2 welcome`)
	tell(3, nettest.EndpointList(3, "h-1 {s1} 1 SERVING"))
	s.Run(`
		send c1 Q "/* id=02,c=write,d=20000,k=ac,cluster=1 */ INSERT"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=02,c=write,d=#,k=ac,cluster=1 */ INSERT"`)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	s.Run(`
		expect c2 EOF
		send s1 T | D "late" | C | S rank=source | Z
		expect c1 T | D "late" | C | Z | EOF`)
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// On SIGHUP the program asks the agent that the file now names for the whole
// list, though NODE_DISCOVERY names another, and serves from the old list until
// it is in. A file that is invalid changes nothing, and nothing ends the program.
func TestReload(t *testing.T) {
	s, cmd, file := start(t)
	hup := func(config string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	s.Run(`
		wait agent
		expect agent line "GET /v1/endpoints HTTP/1.1"`)
	hup("{")
	hup(nettest.RouterConfig("127.0.0.9:1", s.Addr("next"), emptyList))
	s.Run(`
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
	s.ServeDiscovery("next")(2, nettest.EndpointList(2, "h-1 {s1} 1 DRAINING"))
	s.Run(`expect s1 EOF`)
}

// Two routers can't listen on one address: the second says so and ends.
func TestAddressTaken(t *testing.T) {
	s := nettest.New(t, "taken")
	cmd := exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), "NODE_LISTEN="+s.Addr("taken"),
		"NODE_CONFIG="+nettest.WriteConfig(t, nettest.RouterConfig("127.0.0.9:1", "127.0.0.1:1", emptyList)))
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "address already in use") {
		t.Errorf("%v: %s", err, out)
	}
}

// Told to stop while it still reads its configuration, the program ends as it does later: without an error.
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
	t.Cleanup(func() { _ = cmd.Process.Kill() })     // it may have ended
	config, err := os.OpenFile(path, os.O_WRONLY, 0) // done once the program reads it
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

// SIGHUP while the program stops is taken as ever, and a second SIGTERM changes nothing: what was taken gets its answer.
func TestSignalsWhileStopping(t *testing.T) {
	s, cmd, file := start(t)
	s.Run(`
		send c1 startup | Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		send c2 startup | Q ""
		expect c2 welcome | I | Z
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"`)
	tell := func(sig syscall.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	tell(syscall.SIGTERM)
	s.Run(`expect c2 EOF`)
	if err := os.WriteFile(file, []byte(nettest.RouterConfig("127.0.0.9:1", s.Addr("next"), emptyList)), 0o600); err != nil {
		t.Fatal(err)
	}
	tell(syscall.SIGHUP)
	s.Run(`wait next`)
	tell(syscall.SIGTERM)
	tell(syscall.SIGHUP)
	tell(syscall.SIGINT)
	s.Run(`
		send s1 T | D "v" | C | S rank=copy | Z
		expect c1 welcome | T | D "v" | C | Z | EOF`)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// Clients that idle may fill all that clients may hold while discovery is silent: who comes gets in, data servers are reached, what
// discovery says on its return is taken, and the program never holds more descriptors than it may.
func TestIdleClientsFillDescriptors(t *testing.T) {
	const most = 64
	own := nettest.WriteConfig(t, `{"admission":{"shared":["0.0.0.0/0"]}}`)
	for _, line := range [][]string{{program, "serve"}, {program, "serve", "--settings", own}} {
		t.Run(fmt.Sprint(len(line)), func(t *testing.T) {
			s, cmd, _ := startWith(t, func(config string) string {
				return strings.Replace(config, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, most), 1)
			}, line...)
			count := func() {
				t.Helper()
				open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
				if err != nil || len(open) > most {
					t.Fatalf("%d descriptors, %v", len(open), err)
				}
			}
			clients := 0
			enter := func(ask, hear string) (name string) { // under admission a client may hear that it is to come again
				t.Helper()
				for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
					name, clients = fmt.Sprintf("c%d", clients), clients+1
					if s.RunStep("send "+name+" startup | "+ask) == nil && s.RunStep("expect "+name+" "+hear) == nil {
						return name
					}
					count()
				}
				t.Fatal("nobody gets in")
				return ""
			}
			fill := func() {
				t.Helper()
				for range 2 * most {
					enter(`Q ""`, "welcome | I | Z")
					count()
				}
			}
			fill()
			s.Define("first", enter(`Q "/* id=01,c=read,d=20000,cluster=1 */ A"`, "welcome"))
			s.Run(`
				wait s1
				expect s1 startup
				send s1 welcome
				expect s1 Q "/* id=01,c=read,d=#,cluster=1 */ A"
				send s1 T | D "v" | C | S rank=copy | Z
				expect {first} T | D "v" | C | Z`)
			fill()
			s.ServeDiscovery("agent")(2, nettest.EndpointList(2, "h-1 {s1} 1 DRAINING", "h-2 {s2} 1 SERVING"))
			s.Run(`expect s1 EOF`)
			s.Define("last", enter(`Q "/* id=02,c=read,d=20000,cluster=1 */ A"`, "welcome"))
			s.Run(`
				wait s2
				expect s2 startup
				send s2 welcome
				expect s2 Q "/* id=02,c=read,d=#,cluster=1 */ A"
				send s2 T | D "v" | C | S rank=copy | Z
				expect {last} T | D "v" | C | Z`)
			count()
		})
	}
}
