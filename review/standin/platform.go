//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the case's record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) { r.lineAt(time.Now(), format, args...) }

func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ms  %s\n", float64(at.Sub(r.began).Microseconds())/1e3, fmt.Sprintf(format, args...))
}

// host is an entry of the list of data servers, as the protocol page has it.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int64   `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// agent has the list of data servers. The list of these cases doesn't change.
type agent struct {
	hosts    []host
	listener net.Listener
}

func startAgent(hosts []host) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{hosts, listener}
	go func() { _ = http.Serve(listener, http.HandlerFunc(a.serve)) }()
	return a, nil
}

func (a *agent) list(whole bool) []byte {
	hosts := a.hosts
	if !whole {
		hosts = []host{}
	}
	raw, _ := json.Marshal(map[string]any{"seq": 41, "whole": whole, "hosts": hosts})
	return raw
}

func (a *agent) serve(response http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/v1/endpoints" {
		http.NotFound(response, request)
		return
	}
	values := request.URL.Query()
	whole := !values.Has("since") || values.Get("since") != "41"
	if !whole {
		milliseconds, _ := strconv.Atoi(values.Get("timeout_ms"))
		select {
		case <-time.After(time.Duration(min(milliseconds, 60000)) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	body := a.list(whole)
	response.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = response.Write(body)
}

// router is a router process, started with the commands of the deploy file.
type router struct {
	name    string
	address string
	cmd     *exec.Cmd
	ended   chan struct{}
	pid     int
}

// limits are the limits of a router's machine.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// runCommand returns the deploy file's run command.
func runCommand(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(raw)
	if found == nil {
		return "", fmt.Errorf("no run line in deploy/balancer.toml")
	}
	return string(found[1]), nil
}

// startRouter starts a router and waits until it answers an empty query.
func startRouter(root, dir, name string, discovery *agent, machine limits, settings string) (*router, error) {
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &router{name: name, address: free.Addr().String(), ended: make(chan struct{})}
	free.Close()
	config, err := json.Marshal(map[string]any{"name": name, "listen": r.address, "discovery": discovery.listener.Addr().String(),
		"seed": "8c1f30d27a5be964", "limits": machine, "known": json.RawMessage(discovery.list(true)), "settings": json.RawMessage(settings)})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	r.cmd = exec.Command("/bin/sh", "-c", run)
	r.cmd.Dir = root
	r.cmd.Env = append(os.Environ(), "NODE_NAME="+name, "NODE_LISTEN="+r.address, "NODE_DISCOVERY="+discovery.listener.Addr().String(),
		"NODE_CONFIG="+path, "TMPDIR="+dir)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	r.pid = r.cmd.Process.Pid
	go func() {
		_ = r.cmd.Wait()
		close(r.ended)
	}()
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if c, err := connect(r.address); err == nil {
			_, _ = c.conn.Write(query(""))
			result := c.readAnswer(time.Now().Add(2 * time.Second))
			c.conn.Close()
			if result.outcome == "empty" {
				return r, nil
			}
		}
		select {
		case <-r.ended:
			raw, _ := os.ReadFile(log.Name())
			return nil, fmt.Errorf("%s ended: %s", name, raw)
		default:
		}
	}
	r.kill()
	return nil, fmt.Errorf("%s is not ready after 15 s", name)
}

func (r *router) kill() {
	_ = r.cmd.Process.Kill()
	<-r.ended
}

// stop ends the router in order.
func (r *router) stop() {
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.ended:
	case <-time.After(6 * time.Second):
		r.kill()
	}
}

// memoryKB returns the router's resident memory, and the part of it that belongs to no file.
func (r *router) memoryKB() (resident, anonymous int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(raw)) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		value, _ := strconv.Atoi(words[1])
		switch words[0] {
		case "VmRSS:":
			resident = value
		case "RssAnon:":
			anonymous = value
		}
	}
	return resident, anonymous
}
