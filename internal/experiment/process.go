package experiment

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lotushook/internal/pgwire"
)

const (
	startFor = 10 * time.Second
	stopFor  = 15 * time.Second
)

// process is one router.
type process struct {
	name, addr   string
	build        string
	dir, own     string
	config       string
	ulimit       int
	cmd          *exec.Cmd
	ended        chan error
	lastLine     string // of its log, once it has ended
	startMB      float64
	maxMemoryMB  float64
	cpu          time.Duration
	crashed      string // how it ended by itself
	log          *os.File
	mu           sync.Mutex
	killed, stop bool
	undo         func() // ends a fault that is on the process; nil: there is none
}

// newProcess writes the files of one router and starts it.
func newProcess(e *Experiment, arm *Arm, build, dir string, n int, seed uint64, agent, list string, f *memberCluster, run uint32) (*process, error) {
	p, err := prepareProcess(e, arm, build, dir, n, seed, agent, list, f, run)
	if err != nil {
		return nil, err
	}
	return p, p.start()
}

// prepareProcess writes the files of one router.
func prepareProcess(e *Experiment, arm *Arm, build, dir string, n int, seed uint64, agent, list string, f *memberCluster, run uint32) (*process, error) {
	p := &process{name: routerName(n), build: build, dir: dir, ulimit: arm.Ulimit}
	own := e.Routers.Own
	if arm.Own != nil {
		own = arm.Own
	}
	if f != nil {
		var err error
		if own, err = f.settings(own, n); err != nil {
			return nil, err
		}
	}
	at, err := freeOn(hostOf(run, n))
	if err != nil {
		return nil, err
	}
	p.addr = at.String()
	conf := struct {
		Name      string              `json:"name"`
		Listen    string              `json:"listen"`
		Discovery string              `json:"discovery"`
		Seed      string              `json:"seed"`
		Limits    map[string]any      `json:"limits"`
		Known     jsoniter.RawMessage `json:"known"`
		Settings  jsoniter.RawMessage `json:"settings"`
	}{p.name, p.addr, agent, fmt.Sprintf("%016x", seed+uint64(n)),
		map[string]any{"cores": e.Routers.Cores, "memory_mb": e.Routers.MemoryMB, "sockets": e.Routers.Sockets},
		jsoniter.RawMessage(list), e.Platform}
	raw, err := jsoniter.Marshal(conf)
	if err != nil {
		return nil, err
	}
	p.config = filepath.Join(dir, p.name+".json")
	if err := os.WriteFile(p.config, raw, 0o644); err != nil {
		return nil, err
	}
	if own != nil && string(own) != "null" {
		p.own = filepath.Join(dir, p.name+"-own.json")
		if err := os.WriteFile(p.own, own, 0o644); err != nil {
			return nil, err
		}
	}
	if p.log, err = os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644); err != nil {
		return nil, err
	}
	return p, nil
}

var serving = regexp.MustCompile(`msg=serving `)

// start runs the program and waits until it serves.
func (p *process) start() error {
	ready, err := p.launch()
	if err != nil {
		return err
	}
	if err := p.awaitReady(ready); err != nil {
		return err
	}
	p.startMB, _ = memory(p.pid())
	return nil
}

// launch runs the program; ready is closed once its log says that it serves.
func (p *process) launch() (ready <-chan struct{}, err error) {
	args := []string{"serve"}
	if p.own != "" {
		args = append(args, "--settings", p.own)
	}
	cmd := exec.Command(p.build, args...)
	if p.ulimit > 0 {
		cmd = exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.ulimit), p.build}, args...)...)
	}
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.config)
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("router %s: %w", p.name, err)
	}
	served, ended := make(chan struct{}), make(chan error, 1)
	p.mu.Lock()
	p.cmd, p.ended, p.killed, p.stop, p.lastLine = cmd, ended, false, false, ""
	p.mu.Unlock()
	go p.follow(cmd, out, served, ended)
	return served, nil
}

// follow copies the process's log until it ends, and notes how it ended.
func (p *process) follow(cmd *exec.Cmd, out io.Reader, served chan<- struct{}, ended chan<- error) {
	lines, told := bufio.NewScanner(out), false
	last, panicked := "", ""
	for lines.Scan() {
		fmt.Fprintln(p.log, lines.Text())
		last = lines.Text()
		if panicked == "" && strings.HasPrefix(last, "panic: ") { // its stack follows, and says less in its last line
			panicked = last + " "
		}
		if !told && serving.MatchString(last) {
			told = true
			close(served)
		}
	}
	err := cmd.Wait()
	p.mu.Lock()
	p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	p.lastLine = last
	if !p.killed && (!p.stop || err != nil) {
		p.crashed = fmt.Sprintf("%s ended: %v: %s%s", p.name, err, panicked, last)
	}
	p.mu.Unlock()
	ended <- err
	close(ended) // one that was stopped by an event is ended once more with all others
}

// awaitReady waits until a launched process serves and has answered the empty query.
func (p *process) awaitReady(ready <-chan struct{}) error {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	select {
	case <-ready:
	case err := <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return fmt.Errorf("router %s did not start: %w: %s", p.name, errors.Join(err), p.lastLine)
	case <-time.After(startFor):
		_ = cmd.Process.Kill()
		return fmt.Errorf("router %s does not serve", p.name)
	}
	if err := greet(p.addr); err != nil {
		return fmt.Errorf("router %s: %w", p.name, err)
	}
	return nil
}

// greet asks a router the empty query, as the front does.
func greet(addr string) error {
	c, err := dial(addr, "", "worker", time.Now().Add(startFor))
	if err != nil {
		return err
	}
	defer c.conn.Close()
	_, err = c.query(pgwire.AppendQuery(nil, ""), time.Now().Add(startFor))
	return err
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// fault ends what was wrong with the process, and keeps how to end what is now.
func (p *process) fault(undo func()) {
	if p.undo != nil {
		p.undo()
	}
	p.undo = undo
}

func (p *process) kill() {
	p.mu.Lock()
	p.killed = true
	cmd := p.cmd
	p.mu.Unlock()
	_ = cmd.Process.Kill()
}

// end stops a router in order and waits for it.
func (p *process) end() {
	p.sample()
	p.fault(nil) // one that is paused could not stop
	p.mu.Lock()
	p.stop = true
	cmd, ended, killed := p.cmd, p.ended, p.killed
	p.mu.Unlock()
	if !killed {
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-ended: //nolint:errcheck // how it ended is in the log that is read
	case <-time.After(stopFor):
		p.mu.Lock()
		p.crashed = p.name + " did not end"
		p.mu.Unlock()
		_ = cmd.Process.Kill()
		<-ended //nolint:errcheck // it was killed
	}
}

// reload replaces the router's own settings.
func (p *process) reload(own jsoniter.RawMessage) error {
	if own != nil && p.own != "" {
		if err := os.WriteFile(p.own, own, 0o644); err != nil {
			return err
		}
	}
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// sample looks at the memory in use.
func (p *process) sample() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	_, most := memory(cmd.Process.Pid)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxMemoryMB = max(p.maxMemoryMB, most)
}

// used is the CPU time that the running process has had so far.
func (p *process) used() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return p.cpu
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return p.cpu
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return p.cpu + time.Duration(user+system)*10*time.Millisecond // in hundredths of a second
}

// memory is what a process has resident now, and had at the most, in MB.
func memory(pid int) (now, most float64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			most = kb / 1024
		}
	}
	return now, most
}
