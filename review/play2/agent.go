//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// listEntry is one data server in the list.
type listEntry struct {
	host, health, zone string
	group              int
	bornMS             int64
	version            int64 // when it changed last
}

// list returns the list, or the changes after a version, as one router sees it. The caller holds no lock.
func (w *world) list(router int, whole bool, since int64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listLocked(router, whole, since)
}

func (w *world) listLocked(router int, whole bool, since int64) string {
	var hosts []string
	for _, server := range w.servers {
		listed := server.listed
		if whole && (listed.health == "DELETED" || listed.health == "") || !whole && listed.version <= since || listed.health == "" {
			continue
		}
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"std-4","block":%d,"health":%q,"share":1.0,"born_ms":%d}`,
			listed.host, server.addresses[router], listed.zone, listed.group, listed.health, listed.bornMS))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, w.version, whole, strings.Join(hosts, ","))
}

// tell changes what discovery says of a data server. All agents have it at once.
func (w *world) tell(server *dataServer, health string) {
	w.note("list: %s is %s", server.name, health)
	w.mu.Lock()
	w.version++
	server.listed.health, server.listed.version = health, w.version
	now := w.now()
	for i := range w.routers {
		if health == "SERVING" {
			server.closedTo[i] = 0
		} else if server.closedTo[i] == 0 {
			server.closedTo[i] = now
		}
	}
	w.mu.Unlock()
	for _, agent := range w.agents {
		agent.changed()
	}
}

// agent is the discovery agent on one router's machine.
type agent struct {
	world    *world
	router   int
	listener net.Listener

	mu     sync.Mutex
	wake   chan struct{}
	silent bool // answers nothing, on old and new connections
	conns  map[net.Conn]bool
	hushed map[net.Conn]bool // connections that have fallen silent for good
	calls  int
}

func newAgent(w *world, router int) *agent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	a := &agent{world: w, router: router, listener: listener, wake: make(chan struct{}), conns: map[net.Conn]bool{}, hushed: map[net.Conn]bool{}}
	w.agents = append(w.agents, a)
	go a.accept()
	return a
}

func (a *agent) address() string { return a.listener.Addr().String() }

func (a *agent) changed() {
	a.mu.Lock()
	close(a.wake)
	a.wake = make(chan struct{})
	a.mu.Unlock()
}

func (a *agent) accept() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns[conn] = true
		a.mu.Unlock()
		go a.serve(conn)
	}
}

func reset(conn net.Conn) {
	if socket, ok := conn.(*net.TCPConn); ok {
		socket.SetLinger(0)
	}
	conn.Close()
}

func (a *agent) serve(conn net.Conn) {
	defer func() {
		a.mu.Lock()
		delete(a.conns, conn)
		a.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !a.answer(conn, request.URL.Query()) {
			return
		}
	}
}

func (a *agent) answer(conn net.Conn, query url.Values) bool {
	since, whole := int64(0), true
	end := time.Now()
	if text := query.Get("since"); text != "" {
		since, _ = strconv.ParseInt(text, 10, 64)
		ms, _ := strconv.Atoi(query.Get("timeout_ms"))
		whole, end = false, end.Add(time.Duration(ms)*time.Millisecond)
	}
	for {
		a.world.mu.Lock()
		version := a.world.version
		a.world.mu.Unlock()
		a.mu.Lock()
		wake, silent := a.wake, a.silent || a.hushed[conn]
		a.mu.Unlock()
		due := whole || version > since || !time.Now().Before(end)
		if due && !silent {
			break
		}
		wait := time.Until(end)
		if silent {
			wait = 50 * time.Millisecond
		}
		select {
		case <-wake:
		case <-time.After(wait):
		}
	}
	body := a.world.list(a.router, whole, since)
	a.mu.Lock()
	a.calls++
	a.mu.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

func (a *agent) stop() {
	a.listener.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		conn.Close()
	}
}
