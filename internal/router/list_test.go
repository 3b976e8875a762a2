package router

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"lotushook/internal/nettest"
	"lotushook/internal/platformconfig"
	"lotushook/internal/siteconfig"
)

// Clients that stay may hold all that clients may while discovery is silent, and data servers' connections all but one of
// theirs: the list that comes with discovery's return is heard at once all the same, and a client's request finds its way
// to the server that it names.
func TestListBehindFullDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := nettest.New(t, "s1", "s2", "agent")
	text := nettest.RouterConfig(ln.Addr().String(), s.Addr("agent"), nettest.EndpointList(1, s.Expand("h-1 {s1} 1 SERVING")))
	conf, err := platformconfig.Check(nettest.WriteConfig(t, strings.Replace(text, `"sockets":1024`, `"sockets":64`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(conf, &siteconfig.Config{})
	if err != nil {
		t.Fatal(err)
	}
	r.timeouts, r.start.timeout = noTimeouts, 0
	old := r.directory.Apply(conf.LastKnownList).Endpoints[0].ID
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Serve(ctx, ln) }()
	t.Cleanup(func() {
		s.Close()
		stop()
		<-done //nolint:errcheck // the test has seen what it wants
	})
	s.SetClients("c", ln.Addr().String())
	most, _ := r.descriptors.Clients()
	for i := range most {
		s.Run(fmt.Sprintf(`
			send c%[1]d startup | Q ""
			expect c%[1]d welcome | I | Z`, i))
	}
	s.Run(fmt.Sprintf("send c%d startup", most)) // stands in the queue: there is no room for it
	if _, used := r.descriptors.Clients(); used != most || most < 10 {
		t.Fatalf("%d clients of %d", used, most)
	}
	for r.descriptors.ReserveServer() { // others, of which this test knows nothing
	}
	r.descriptors.ReleaseServer()
	s.ServeDiscovery("agent")(2, nettest.EndpointList(2, "h-1 {s1} 1 DRAINING", "h-2 {s2} 1 SERVING"))
	waitUntil(t, "the list is heard", func() bool {
		_, ready := r.directory.Address(old)
		return !ready
	})
	s.Run(`
		send c1 Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s2
		expect s2 startup
		send s2 welcome
		expect s2 Q "/* id=01,c=read,d=#,cluster=1 */ A"
		send s2 T | D "a" | C | S rank=copy | Z
		expect c1 T | D "a" | C | Z`)
	if s.HasPendingConnection("s1") {
		t.Error("a draining server got a connection")
	}
}
