// Package nettest implements a small language for tests of network code. A script is a list of steps, one on each line,
// which are executed in order:
//
//	send c1 startup | Q "SELECT 1"     write messages
//	expect c1 welcome | E 42601 | Z    read messages; they must be these
//	close c1                           close the connection
//	wait s1                            wait for a connection to server s1
//
// A name with the prefix given to SetClients is a client, which connects when its name is first used. A name given to New
// is a server; in send, expect and close it stands for the connection that the last wait for that server has accepted.
// "wait s1 as s2" calls that connection s2 instead.
//
// A message of PostgreSQL's protocol is written as its kind and the content that matters: startup, welcome, ssl,
// Q "text", T, D "value", C, Z, I, X, S name=value, E code, FATAL code. In an expected error, a detail field follows the
// code: E code ms. raw "bytes" is sent or expected unchanged, line "text" is a line of text, and EOF is the end of the
// connection. In expected messages, # stands for one or more digits.
package nettest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// scriptTimeout is the time after which a script that is stuck fails. Scripts that pass take much less time.
const scriptTimeout = 30 * time.Second

// Network holds the servers, clients and connections that a script uses.
type Network struct {
	t               testing.TB
	servers         map[string]net.Listener
	clientTarget    string
	clientPrefix    string            // the prefix of the names of clients
	sourceAddresses map[string]string // by prefix of client names: the address that they connect from
	conns           map[string]*connection
	values          []string // pairs of {name} and its value
}

type connection struct {
	net.Conn
	reader *bufio.Reader
}

// New returns a network with servers of the given names, which listen on loopback addresses.
func New(tb testing.TB, servers ...string) *Network {
	tb.Helper()
	network := &Network{t: tb, servers: map[string]net.Listener{}, conns: map[string]*connection{}, sourceAddresses: map[string]string{}}
	for _, name := range servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		network.servers[name] = listener
		network.Define(name, network.Addr(name))
		tb.Cleanup(func() { listener.Close() })
	}
	tb.Cleanup(network.Close)
	return network
}

// Close closes all connections.
func (nw *Network) Close() {
	for _, conn := range nw.conns {
		conn.Close()
	}
}

// Addr returns the address of a server.
func (nw *Network) Addr(name string) string { return nw.servers[name].Addr().String() }

// CloseListener makes a server refuse connections.
func (nw *Network) CloseListener(name string) { nw.servers[name].Close() }

// HasPendingConnection reports whether there is a connection to a server that no wait has accepted, and closes it.
func (nw *Network) HasPendingConnection(name string) bool {
	listener := nw.servers[name].(*net.TCPListener)
	listener.SetDeadline(time.Now().Add(10 * time.Millisecond)) // a pending connection is accepted at once
	conn, err := listener.Accept()
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// ServeDiscovery turns a server into a discovery agent. The agent does not answer until publish is called. From then on
// it answers a call with the list published last, and a watch once a newer list is published or its wait is over.
func (nw *Network) ServeDiscovery(name string) (publish func(seq int, list string)) {
	var mu sync.Mutex
	current, changed := "", make(chan struct{})
	version := 0
	server := &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		since, _ := strconv.Atoi(request.URL.Query().Get("since"))
		wait, _ := strconv.Atoi(request.URL.Query().Get("timeout_ms"))
		mu.Lock()
		currentChanged, same := changed, since == version
		mu.Unlock()
		if same {
			select {
			case <-currentChanged:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if since == version {
			fmt.Fprintf(response, `{"seq":%d,"whole":false,"hosts":[]}`, version)
		} else {
			_, _ = io.WriteString(response, current)
		}
	})}
	nw.t.Cleanup(func() { server.Close() })
	start := sync.OnceFunc(func() {
		go func() { _ = server.Serve(nw.servers[name]) }() // ends with an error when the listener closes
	})
	return func(seq int, list string) {
		mu.Lock()
		version, current = seq, nw.Expand(list)
		close(changed)
		changed = make(chan struct{})
		mu.Unlock()
		start()
	}
}

// SetClients makes all names that begin with prefix clients, which connect to an address.
func (nw *Network) SetClients(prefix, addr string) { nw.clientPrefix, nw.clientTarget = prefix, addr }

// SetSourceAddress makes clients whose names begin with prefix connect from an address. The longest matching prefix
// applies.
func (nw *Network) SetSourceAddress(prefix, addr string) { nw.sourceAddresses[prefix] = addr }

// Define replaces {name} by value in later steps. The name of a server is defined as its address.
func (nw *Network) Define(name, value string) { nw.values = append(nw.values, "{"+name+"}", value) }

// Expand replaces the defined names in a text.
func (nw *Network) Expand(text string) string { return strings.NewReplacer(nw.values...).Replace(text) }

// Run executes the steps of a script.
func (nw *Network) Run(script string) {
	nw.t.Helper()
	for i, line := range strings.Split(script, "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := nw.step(nw.Expand(line)); err != nil {
			nw.t.Fatalf("step %d, %s: %v", i, line, err)
		}
	}
}

// RunStep executes one step and returns its error.
func (nw *Network) RunStep(step string) error { return nw.step(nw.Expand(step)) }

func (nw *Network) step(line string) error {
	verb, rest, _ := strings.Cut(line, " ")
	name, rest, _ := strings.Cut(strings.TrimSpace(rest), " ")
	if verb == "wait" {
		return nw.accept(name, strings.TrimPrefix(rest, "as "))
	}
	conn, err := nw.connection(name)
	if err != nil {
		return err
	}
	switch verb {
	case "send":
		var all []byte // one write, so that the peer can't close the connection in between
		for _, message := range splitMessages(rest) {
			encoded, err := encode(message)
			if err != nil {
				return fmt.Errorf("%s: %w", message, err)
			}
			all = append(all, encoded...)
		}
		_, err := conn.Write(all)
		return err
	case "expect":
		return expect(conn, splitMessages(rest))
	case "close":
		return conn.Close()
	}
	return fmt.Errorf("unknown step: %s", verb)
}

func (nw *Network) accept(name, as string) error {
	listener, ok := nw.servers[name].(*net.TCPListener)
	if !ok {
		return fmt.Errorf("no server %s", name)
	}
	if as == "" {
		as = name
	}
	listener.SetDeadline(time.Now().Add(scriptTimeout))
	conn, err := listener.Accept()
	if err == nil {
		nw.add(as, conn)
	}
	return err
}

func (nw *Network) connection(name string) (*connection, error) {
	if conn := nw.conns[name]; conn != nil {
		return conn, nil
	}
	if nw.clientTarget == "" || !strings.HasPrefix(name, nw.clientPrefix) {
		return nil, fmt.Errorf("no connection named %s", name)
	}
	var dialer net.Dialer
	longestPrefix := ""
	for prefix, addr := range nw.sourceAddresses {
		if strings.HasPrefix(name, prefix) && len(prefix) > len(longestPrefix) {
			longestPrefix, dialer.LocalAddr = prefix, &net.TCPAddr{IP: net.ParseIP(addr)}
		}
	}
	conn, err := dialer.Dial("tcp", nw.clientTarget)
	if err != nil {
		return nil, err
	}
	return nw.add(name, conn), nil
}

func (nw *Network) add(name string, conn net.Conn) *connection {
	if old := nw.conns[name]; old != nil {
		old.Close()
	}
	conn.SetDeadline(time.Now().Add(scriptTimeout))
	nw.conns[name] = &connection{conn, bufio.NewReaderSize(conn, 1<<16)}
	return nw.conns[name]
}
