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
	startTimeout = 10 * time.Second
	stopTimeout  = 15 * time.Second
)

// process is one router, which runs as a process. A restarted router has the same name and address.
type process struct {
	name, addr        string
	program           string
	dir, settingsFile string
	config            string
	openFileLimit     int
	cmd               *exec.Cmd
	ended             chan error
	lastLine          string // the last line of its log, once it has ended
	startMB           float64
	maxMemoryMB       float64
	cpu               time.Duration
	crashed           string // how it ended unexpectedly; "": it did not
	log               *os.File
	mu                sync.Mutex
	killed, stopping  bool
	removeFault       func() // removes the fault that the process has; nil: it has none
}

// newProcess writes the files of a router, starts it and waits until it serves.
func newProcess(experiment *Experiment, arm *Arm, program, dir string, number int, seed uint64, agent, list string, cluster *memberCluster, runNumber uint32) (*process, error) {
	router, err := prepareProcess(experiment, arm, program, dir, number, seed, agent, list, cluster, runNumber)
	if err != nil {
		return nil, err
	}
	return router, router.start()
}

// prepareProcess writes the files of a router.
func prepareProcess(experiment *Experiment, arm *Arm, program, dir string, number int, seed uint64, agent, list string, cluster *memberCluster, runNumber uint32) (*process, error) {
	router := &process{name: routerName(number), program: program, dir: dir, openFileLimit: arm.OpenFileLimit}
	settings := experiment.Routers.RouterSettings
	if arm.RouterSettings != nil {
		settings = arm.RouterSettings
	}
	if cluster != nil {
		var err error
		if settings, err = cluster.settings(settings, number); err != nil {
			return nil, err
		}
	}
	address, err := freeAddress(clientHost(runNumber, number))
	if err != nil {
		return nil, err
	}
	router.addr = address.String()
	config := struct {
		Name      string              `json:"name"`
		Listen    string              `json:"listen"`
		Discovery string              `json:"discovery"`
		Seed      string              `json:"seed"`
		Limits    map[string]any      `json:"limits"`
		Known     jsoniter.RawMessage `json:"known"`
		Settings  jsoniter.RawMessage `json:"settings"`
	}{router.name, router.addr, agent, fmt.Sprintf("%016x", seed+uint64(number)),
		map[string]any{"cores": experiment.Routers.Cores, "memory_mb": experiment.Routers.MemoryMB, "sockets": experiment.Routers.Sockets},
		jsoniter.RawMessage(list), experiment.Platform}
	raw, err := jsoniter.Marshal(config)
	if err != nil {
		return nil, err
	}
	router.config = filepath.Join(dir, router.name+".json")
	if err := os.WriteFile(router.config, raw, 0o644); err != nil {
		return nil, err
	}
	if settings != nil && string(settings) != "null" {
		router.settingsFile = filepath.Join(dir, router.name+"-own.json")
		if err := os.WriteFile(router.settingsFile, settings, 0o644); err != nil {
			return nil, err
		}
	}
	if router.log, err = os.OpenFile(filepath.Join(dir, router.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644); err != nil {
		return nil, err
	}
	return router, nil
}

var servingMessage = regexp.MustCompile(`msg=serving `)

// start runs the router and waits until it serves.
func (router *process) start() error {
	ready, err := router.launch()
	if err != nil {
		return err
	}
	if err := router.awaitReady(ready); err != nil {
		return err
	}
	router.startMB, _ = memory(router.pid())
	return nil
}

// launch runs the router; ready is closed once its log says that it serves.
func (router *process) launch() (ready <-chan struct{}, err error) {
	args := []string{"serve"}
	if router.settingsFile != "" {
		args = append(args, "--settings", router.settingsFile)
	}
	cmd := exec.Command(router.program, args...)
	if router.openFileLimit > 0 {
		cmd = exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, router.openFileLimit), router.program}, args...)...)
	}
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+router.config)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("router %s: %w", router.name, err)
	}
	serving, ended := make(chan struct{}), make(chan error, 1)
	router.mu.Lock()
	router.cmd, router.ended, router.killed, router.stopping, router.lastLine = cmd, ended, false, false, ""
	router.mu.Unlock()
	go router.follow(cmd, stderr, serving, ended)
	return serving, nil
}

// follow copies the log of a process until it ends, and records how it ended.
func (router *process) follow(cmd *exec.Cmd, stderr io.Reader, serving chan<- struct{}, ended chan<- error) {
	lines, closed := bufio.NewScanner(stderr), false
	last, panicked := "", ""
	for lines.Scan() {
		fmt.Fprintln(router.log, lines.Text())
		last = lines.Text()
		if panicked == "" && strings.HasPrefix(last, "panic: ") { // the stack trace that follows says less in its last line
			panicked = last + " "
		}
		if !closed && servingMessage.MatchString(last) {
			closed = true
			close(serving)
		}
	}
	err := cmd.Wait()
	router.mu.Lock()
	router.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	router.lastLine = last
	if !router.killed && (!router.stopping || err != nil) {
		router.crashed = fmt.Sprintf("%s ended: %v: %s%s", router.name, err, panicked, last)
	}
	router.mu.Unlock()
	ended <- err
	close(ended) // a process that an event has stopped is awaited again when all routers are stopped
}

// awaitReady waits until a launched process serves and has answered an empty query.
func (router *process) awaitReady(ready <-chan struct{}) error {
	router.mu.Lock()
	cmd, ended := router.cmd, router.ended
	router.mu.Unlock()
	select {
	case <-ready:
	case err := <-ended:
		router.mu.Lock()
		defer router.mu.Unlock()
		return fmt.Errorf("router %s did not start: %w: %s", router.name, errors.Join(err), router.lastLine)
	case <-time.After(startTimeout):
		_ = cmd.Process.Kill()
		return fmt.Errorf("router %s: timed out waiting until it serves", router.name)
	}
	if err := sendEmptyQuery(router.addr); err != nil {
		return fmt.Errorf("router %s: %w", router.name, err)
	}
	return nil
}

// sendEmptyQuery sends a router an empty query, as the load balancer does.
func sendEmptyQuery(addr string) error {
	conn, err := dial(addr, "", "worker", time.Now().Add(startTimeout))
	if err != nil {
		return err
	}
	defer conn.conn.Close()
	_, err = conn.query(pgwire.AppendQuery(nil, ""), time.Now().Add(startTimeout))
	return err
}

// pid returns the process ID.
func (router *process) pid() int {
	router.mu.Lock()
	defer router.mu.Unlock()
	return router.cmd.Process.Pid
}

// setFault removes the previous fault of the process. remove, which may be nil, removes the fault that it has now.
func (router *process) setFault(remove func()) {
	if router.removeFault != nil {
		router.removeFault()
	}
	router.removeFault = remove
}

// kill ends the process with SIGKILL.
func (router *process) kill() {
	router.mu.Lock()
	router.killed = true
	cmd := router.cmd
	router.mu.Unlock()
	_ = cmd.Process.Kill()
}

// terminate stops the process with SIGTERM and waits until it has ended.
func (router *process) terminate() {
	router.sampleMemory()
	router.setFault(nil) // a paused process could not stop
	router.mu.Lock()
	router.stopping = true
	cmd, ended, killed := router.cmd, router.ended, router.killed
	router.mu.Unlock()
	if !killed {
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-ended: //nolint:errcheck // follow records how it ended
	case <-time.After(stopTimeout):
		router.mu.Lock()
		router.crashed = router.name + " did not end after SIGTERM"
		router.mu.Unlock()
		_ = cmd.Process.Kill()
		<-ended //nolint:errcheck // it was killed
	}
}

// reload makes the router reload its settings. Non-nil settings first replace the content of its settings file.
func (router *process) reload(settings jsoniter.RawMessage) error {
	if settings != nil && router.settingsFile != "" {
		if err := os.WriteFile(router.settingsFile, settings, 0o644); err != nil {
			return err
		}
	}
	return router.cmd.Process.Signal(syscall.SIGHUP)
}

// sampleMemory updates the maximum of the memory in use.
func (router *process) sampleMemory() {
	router.mu.Lock()
	cmd := router.cmd
	router.mu.Unlock()
	_, peak := memory(cmd.Process.Pid)
	router.mu.Lock()
	defer router.mu.Unlock()
	router.maxMemoryMB = max(router.maxMemoryMB, peak)
}

// cpuTime returns the CPU time that the router has used so far, over all its processes.
func (router *process) cpuTime() time.Duration {
	router.mu.Lock()
	defer router.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", router.cmd.Process.Pid))
	if err != nil {
		return router.cpu
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return router.cpu
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return router.cpu + time.Duration(user+system)*10*time.Millisecond // clock ticks of 10 ms
}

// memory returns the current and the maximum resident memory of a process in MB.
func memory(pid int) (current, peak float64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			current = kilobytes / 1024
		case "VmHWM:":
			peak = kilobytes / 1024
		}
	}
	return current, peak
}
