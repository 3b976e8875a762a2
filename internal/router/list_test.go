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

// A new endpoint list is received immediately even if clients use all descriptors reserved for them and connections to
// data servers use all but one of theirs while discovery is silent. A client's request is then sent to the server in
// the new list.
func TestListBehindFullDescriptors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stage := nettest.New(t, "s1", "s2", "agent")
	configText := nettest.RouterConfig(listener.Addr().String(), stage.Addr("agent"), nettest.EndpointList(1, stage.Expand("h-1 {s1} 1 SERVING")))
	config, err := platformconfig.Check(nettest.WriteConfig(t, strings.Replace(configText, `"sockets":1024`, `"sockets":64`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	router, err := New(config, &siteconfig.Config{})
	if err != nil {
		t.Fatal(err)
	}
	router.timeouts, router.start.timeout = noTimeouts, 0
	oldEndpoint := router.directory.Apply(config.LastKnownList).Endpoints[0].ID
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- router.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stage.Close()
		cancel()
		<-done //nolint:errcheck // not part of the test
	})
	stage.SetClients("c", listener.Addr().String())
	maxClients, _ := router.descriptors.Clients()
	for i := range maxClients {
		stage.Run(fmt.Sprintf(`
			send c%[1]d startup | Q ""
			expect c%[1]d welcome | I | Z`, i))
	}
	// This client waits in the accept queue, as no descriptor is left for it.
	stage.Run(fmt.Sprintf("send c%d startup", maxClients))
	if _, used := router.descriptors.Clients(); used != maxClients || maxClients < 10 {
		t.Fatalf("%d of %d clients are connected", used, maxClients)
	}
	for router.descriptors.ReserveServer() { // uses up the descriptors for connections to data servers
	}
	router.descriptors.ReleaseServer()
	stage.ServeDiscovery("agent")(2, nettest.EndpointList(2, "h-1 {s1} 1 DRAINING", "h-2 {s2} 1 SERVING"))
	waitUntil(t, "the list is received", func() bool {
		_, ready := router.directory.Address(oldEndpoint)
		return !ready
	})
	stage.Run(`
		send c1 Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s2
		expect s2 startup
		send s2 welcome
		expect s2 Q "/* id=01,c=read,d=#,cluster=1 */ A"
		send s2 T | D "a" | C | S rank=copy | Z
		expect c1 T | D "a" | C | Z`)
	if stage.HasPendingConnection("s1") {
		t.Error("a draining server received a connection")
	}
}
