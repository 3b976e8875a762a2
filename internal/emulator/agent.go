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

// Agent is where routers ask for the list.
type Agent struct {
	srv   *http.Server
	addr  string
	lists *Rate // calls for the whole list

	mu      sync.Mutex
	seq     int64
	hosts   []host // in the order in which they were first listed
	changed chan struct{}

	muteUntil, awayUntil time.Time // see Mute and Away
	moved                []*http.Server
}

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

// put lists a server.
func (a *Agent) put(s *Server, health string) {
	h := host{Host: s.Name, Dial: s.Addr(), Site: s.Zone, Class: "std-4", Block: s.group.number, Health: health, Share: 1}
	s.mu.Lock()
	if !s.started.IsZero() {
		h.BornMS = s.started.UnixMilli()
	}
	s.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	h.seq = a.seq
	found := false
	for i := range a.hosts {
		if a.hosts[i].Host == h.Host {
			a.hosts[i], found = h, true
		}
	}
	if !found {
		a.hosts = append(a.hosts, h)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// Addr is where it listens.
func (a *Agent) Addr() string { return a.addr }

// List is the whole list as routers get it.
func (a *Agent) List() string { return a.list(-1) }

// list is the whole list, or what is newer than a version.
func (a *Agent) list(since int64) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := struct {
		Seq   int64  `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []host `json:"hosts"`
	}{a.seq, since < 0, []host{}}
	for _, h := range a.hosts {
		if h.seq > since {
			out.Hosts = append(out.Hosts, h)
		}
	}
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalToString(out)
	if err != nil {
		panic(err) // numbers and strings alone
	}
	return text
}

func (a *Agent) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	a.addr = ln.Addr().String()
	a.srv = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() { _ = a.srv.Serve(ln) }() // its end is the listener's
	return nil
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	if !a.awaitHold(r.Context().Done(), false) {
		return
	}
	since := int64(-1)
	if !r.URL.Query().Has("since") {
		a.lists.add()
	}
	if q := r.URL.Query(); q.Has("since") {
		var err error
		if since, err = strconv.ParseInt(q.Get("since"), 10, 64); err != nil {
			http.Error(w, "since", http.StatusBadRequest)
			return
		}
		ms, _ := strconv.Atoi(q.Get("timeout_ms"))
		a.wait(r, since, time.Duration(min(max(ms, 0), 60000))*time.Millisecond)
		if !a.awaitHold(r.Context().Done(), true) {
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	text := a.list(since)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write([]byte(text))
}

// wait waits until there is something newer than a version.
func (a *Agent) wait(r *http.Request, since int64, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		a.mu.Lock()
		newer, changed := a.seq > since, a.changed
		a.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Move returns one more address of the agent, as after a move of discovery; the others stay.
func (a *Agent) Move() (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("agent: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() { _ = srv.Serve(ln) }() // its end is the listener's
	a.mu.Lock()
	defer a.mu.Unlock()
	a.moved = append(a.moved, srv)
	return ln.Addr().String(), nil
}

// Stop ends it.
func (a *Agent) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, srv := range a.moved {
		srv.Close()
	}
	if a.srv != nil {
		a.srv.Close()
	}
}
