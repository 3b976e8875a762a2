package emulator

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// Agent is the discovery agent, which serves the endpoint list to routers over HTTP.
type Agent struct {
	server *http.Server
	addr   string
	lists  *Rate // requests for the whole list

	mu      sync.Mutex
	seq     int64
	hosts   []host // in the order in which they were added
	changed chan struct{}

	watchesHangUntil, requestsHangUntil time.Time      // see HangWatches and HangRequests
	moved                               []*http.Server // servers on further addresses, see AddAddress
}

// host is an entry of the endpoint list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int64   `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
	seq    int64
}

func newAgent() *Agent { return &Agent{changed: make(chan struct{})} }

// publish adds a server to the list, or replaces its entry.
func (agent *Agent) publish(server *Server, health string) {
	entry := host{Host: server.Name, Dial: server.Addr(), Site: server.Zone, Class: "std-4", Block: server.group.number, Health: health, Share: 1}
	server.mu.Lock()
	if !server.started.IsZero() {
		entry.BornMS = server.started.UnixMilli()
	}
	server.mu.Unlock()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.seq++
	entry.seq = agent.seq
	found := false
	for index := range agent.hosts {
		if agent.hosts[index].Host == entry.Host {
			agent.hosts[index], found = entry, true
		}
	}
	if !found {
		agent.hosts = append(agent.hosts, entry)
	}
	close(agent.changed)
	agent.changed = make(chan struct{})
}

// Addr returns the address that the agent listens on.
func (agent *Agent) Addr() string { return agent.addr }

// List returns the whole list as JSON, as routers receive it.
func (agent *Agent) List() string { return agent.list(-1) }

// list returns the entries newer than a version as JSON; a negative version returns the whole list.
func (agent *Agent) list(since int64) string {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	answer := struct {
		Seq   int64  `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []host `json:"hosts"`
	}{agent.seq, since < 0, []host{}}
	for _, entry := range agent.hosts {
		if entry.seq > since {
			answer.Hosts = append(answer.Hosts, entry)
		}
	}
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalToString(answer)
	if err != nil {
		panic(err) // can't fail: the value contains only numbers and strings
	}
	return text
}

func (agent *Agent) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	agent.addr = listener.Addr().String()
	agent.server = &http.Server{Handler: http.HandlerFunc(agent.serve)}
	go func() { _ = agent.server.Serve(listener) }() // ends when the listener is closed
	return nil
}

func (agent *Agent) serve(response http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/v1/endpoints" {
		http.NotFound(response, request)
		return
	}
	if !agent.awaitHold(request.Context().Done(), false) {
		return
	}
	since := int64(-1)
	if !request.URL.Query().Has("since") {
		agent.lists.add()
	}
	if query := request.URL.Query(); query.Has("since") {
		var err error
		if since, err = strconv.ParseInt(query.Get("since"), 10, 64); err != nil {
			http.Error(response, "since", http.StatusBadRequest)
			return
		}
		timeoutMS, _ := strconv.Atoi(query.Get("timeout_ms"))
		agent.wait(request, since, time.Duration(min(max(timeoutMS, 0), 60000))*time.Millisecond)
		if !agent.awaitHold(request.Context().Done(), true) {
			return
		}
	}
	response.Header().Set("Content-Type", "application/json")
	text := agent.list(since)
	response.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = response.Write([]byte(text))
}

// wait waits until the list is newer than a version, the maximum time has elapsed, or the client has left.
func (agent *Agent) wait(request *http.Request, since int64, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		agent.mu.Lock()
		newer, changed := agent.seq > since, agent.changed
		agent.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-request.Context().Done():
			return
		}
	}
}

// AddAddress makes the agent listen on a further address, as after discovery has moved, and returns it. The other
// addresses stay.
func (agent *Agent) AddAddress() (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("agent: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(agent.serve)}
	go func() { _ = server.Serve(listener) }() // ends when the listener is closed
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.moved = append(agent.moved, server)
	return listener.Addr().String(), nil
}

// Stop stops the agent on all addresses.
func (agent *Agent) Stop() {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	for _, server := range agent.moved {
		server.Close()
	}
	if agent.server != nil {
		agent.server.Close()
	}
}
