//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// class is a class of requests, as the settings tell it.
type class struct {
	name, read, effect, scope           string
	objective, deadline, window, bounds time.Duration
	gain, late                          float64
	work                                time.Duration // at the data server
}

// site is the part of a deployment's settings that a scenario chooses.
type site struct {
	name     string
	checks   string // domain.behind
	marks    string // domain.sessionMarks
	grace    time.Duration
	routers  int
	classes  []class
	memoryMB int
	sockets  int
	idle     time.Duration
	report   string // report.how
	cold     float64
	ramp     time.Duration
	fallFor  time.Duration
	multiple float64
}

func (s *site) class(name string) *class {
	for i := range s.classes {
		if s.classes[i].name == name {
			return &s.classes[i]
		}
	}
	return nil
}

// settings returns the settings object of the configuration.
func (s *site) settings() string {
	var classes, reads, bounds []string
	for _, c := range s.classes {
		classes = append(classes, fmt.Sprintf(`{"name":%q,"effect":%q,"keyScope":%q,"objective":%d,"deadline":%d,"window":%d,"gain":%g,"lateWorth":%g,"streamed":false}`,
			c.name, c.effect, c.scope, c.objective, c.deadline, c.window, c.gain, c.late))
		reads, bounds = append(reads, fmt.Sprintf("%q", c.read)), append(bounds, fmt.Sprint(int64(c.bounds)))
	}
	fields := `[]`
	if s.report == "probe" {
		fields = `["x0","x1","active"]`
	}
	return fmt.Sprintf(`{"balancers":%d,"granularity":5000000,"discovery":"automatic","overShareWorth":0.2,"classes":[%s],"customers":[],`+
		`"domain":{"answersStamped":true,"behind":%q,"classRead":[%s],"holdsFor":0,"lagAllowed":[%s],"sessionMarks":%q,"showsRole":"none","waitsForCopy":true,"zero":0},`+
		`"limits":{"cancel":true,"connectTimeout":250000000,"idleClose":%d,"maxAttempts":8,"maxRetryAfter":1000000000,"mostHeld":20000,"peerMessages":false,"probing":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":1},`+
		`"penalties":{"handshake":0,"lateFail":0.042,"probe":0.02},"report":{"fields":%s,"how":%q},`+
		`"rules":{"answerSlack":20000000,"coldShare":%g,"drainGrace":%d,"fallMultiple":%g,"overloadFor":%d,"rampTime":%d},"weights":"rough","zones":["a","b","c"],"zone":"a","kinds":["std-4"]}`,
		s.routers, strings.Join(classes, ","), s.checks, strings.Join(reads, ","), strings.Join(bounds, ","), s.marks,
		s.idle, fields, s.report, s.cold, s.grace, s.multiple, s.fallFor, s.ramp)
}

// world is one play: routers as processes, and stand-ins for all that is around them.
type world struct {
	site    *site
	dir     string
	epoch   time.Time
	trouble bool

	mu       sync.Mutex
	lines    []line
	sends    []*sendRecord
	requests []*requestRecord
	breaks   []string

	routers []*router
	servers []*dataServer
	agents  []*agent
	version int64
	counter int
}

type line struct {
	at   time.Duration
	text string
}

func newWorld(s *site, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "play2-")
	return &world{site: s, dir: dir, epoch: time.Now(), trouble: trouble}, err
}

func (w *world) now() time.Duration { return time.Since(w.epoch) }

// unix converts a time of the play to Unix time.
func (w *world) unix(at time.Duration) time.Time { return w.epoch.Add(at) }

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, line{w.now(), fmt.Sprintf(format, args...)})
}

// fault records a broken rule.
func (w *world) fault(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks = append(w.breaks, text)
}

// writeRecord writes the record to a file.
func (w *world) writeRecord(path string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := append([]line(nil), w.lines...)
	for _, send := range w.sends {
		lines = append(lines, line{send.last, send.String()})
	}
	for _, request := range w.requests {
		lines = append(lines, line{request.sentAt, request.String()})
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	var out strings.Builder
	for _, entry := range lines {
		fmt.Fprintf(&out, "%9.3f %s\n", float64(entry.at)/float64(time.Millisecond), entry.text)
	}
	for _, text := range w.breaks {
		fmt.Fprintln(&out, "BROKEN", text)
	}
	return os.WriteFile(path, []byte(out.String()), 0o644)
}

// router is one router process.
type router struct {
	world   *world
	index   int
	name    string
	address string
	agent   *agent
	command *exec.Cmd
	exited  chan struct{}
	exitErr error
	started int
	file    string // the platform's configuration
	own     string // the installation's settings, in place of the deploy file's; empty: as the deploy file says
	known   string // the list in the configuration
	downs   [][2]time.Duration
	killed  bool
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(host string) string {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// deployCommand returns the run line of the deploy file.
func deployCommand() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for text := range strings.SplitSeq(string(raw), "\n") {
		if value, ok := strings.CutPrefix(text, "run = "); ok {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run line")
}

// addRouter adds a router with its agent; start starts its process.
func (w *world) addRouter() {
	index := len(w.routers)
	r := &router{world: w, index: index, name: fmt.Sprintf("n%d", index), address: freeAddress(fmt.Sprintf("127.0.%d.1", index+1))}
	r.agent = newAgent(w, index)
	r.file = filepath.Join(w.dir, r.name+".json")
	w.routers = append(w.routers, r)
}

// configure writes the platform's configuration of a router.
func (r *router) configure() error {
	w := r.world
	known := r.known
	if known == "" {
		known = w.list(r.index, true, 0)
	}
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be9%02x","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		r.name, r.address, r.agent.address(), r.index+16, w.site.memoryMB, w.site.sockets, known, w.site.settings())
	temporary := r.file + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, r.file)
}

// start starts the router's process with the deploy file's command, from the repository's root.
func (r *router) start() error {
	if err := r.configure(); err != nil {
		return err
	}
	command, err := deployCommand()
	if err != nil {
		return err
	}
	if r.own != "" {
		command = strings.Replace(command, "deploy/router.json", r.own, 1)
	}
	r.command = exec.Command("/bin/sh", "-c", command)
	temporary := filepath.Join(r.world.dir, fmt.Sprintf("tmp-%s-%d", r.name, r.started))
	if err := os.MkdirAll(temporary, 0o755); err != nil {
		return err
	}
	r.command.Env = append(os.Environ(), "NODE_NAME="+r.name, "NODE_LISTEN="+r.address,
		"NODE_DISCOVERY="+r.agent.address(), "NODE_CONFIG="+r.file, "TMPDIR="+temporary)
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(r.world.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	r.command.Stdout, r.command.Stderr = log, log
	r.started++
	r.killed = false
	if err := r.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.exited = exited
	r.world.note("router %s started, process %d", r.name, r.command.Process.Pid)
	go func(command *exec.Cmd) {
		r.exitErr = command.Wait()
		r.world.note("router %s ended: %v", r.name, r.exitErr)
		close(exited)
	}(r.command)
	return nil
}

// awaitReady waits until the router answers an empty query.
func (r *router) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r.isReady() {
			r.world.note("router %s is ready", r.name)
			return true
		}
	}
	return false
}

func (r *router) isReady() bool {
	conn, err := dialClient(r.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := conn.Write(queryMessage("")); err != nil {
		return false
	}
	for {
		got, err := readMessage(conn.reader)
		if err != nil {
			return false
		}
		if got.kind == 'I' {
			return true
		}
	}
}

func (r *router) signal(signal syscall.Signal) {
	r.world.note("router %s gets %v", r.name, signal)
	if signal == syscall.SIGKILL {
		r.killed = true
	}
	_ = r.command.Process.Signal(signal)
}

// hasExited reports whether the process has ended within a time.
func (r *router) hasExited(limit time.Duration) bool {
	select {
	case <-r.exited:
		return true
	default:
	}
	select {
	case <-r.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// stop ends all that the play has started.
func (w *world) stop() {
	for _, r := range w.routers {
		if r.command != nil && r.command.Process != nil {
			r.killed = true
			_ = r.command.Process.Signal(syscall.SIGCONT)
			_ = r.command.Process.Kill()
			r.hasExited(2 * time.Second)
		}
	}
	for _, server := range w.servers {
		server.stop()
	}
	for _, agent := range w.agents {
		agent.stop()
	}
	os.RemoveAll(w.dir)
}
