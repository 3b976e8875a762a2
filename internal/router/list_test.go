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
	configText := nettest.Config(listener.Addr().String(), stage.Addr("agent"), nettest.List(1, stage.Expand("h-1 {s1} 1 SERVING")))
	config, err := platformconfig.Check(nettest.File(t, strings.Replace(configText, `"sockets":1024`, `"sockets":64`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	router, err := New(config, &siteconfig.Config{})
	if err != nil {
		t.Fatal(err)
	}
	router.timeouts, router.start.timeout = endless, 0
	oldEndpoint := router.directory.Apply(config.Known).Endpoints[0].ID
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- router.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stage.Close()
		cancel()
		<-done //nolint:errcheck // not part of the test
	})
	stage.Dial("c", listener.Addr().String())
	maxClients, _ := router.descriptors.Clients()
	for i := range maxClients {
		stage.Play(fmt.Sprintf(`
			send c%[1]d startup | Q ""
			expect c%[1]d welcome | I | Z`, i))
	}
	// This client waits in the accept queue, as no descriptor is left for it.
	stage.Play(fmt.Sprintf("send c%d startup", maxClients))
	if _, used := router.descriptors.Clients(); used != maxClients || maxClients < 10 {
		t.Fatalf("%d of %d clients are connected", used, maxClients)
	}
	for router.descriptors.Dial() { // uses up the descriptors for connections to data servers
	}
	router.descriptors.Hangup()
	stage.Agent("agent")(2, nettest.List(2, "h-1 {s1} 1 DRAINING", "h-2 {s2} 1 SERVING"))
	until(t, "the list is received", func() bool {
		_, ready := router.directory.Address(oldEndpoint)
		return !ready
	})
	stage.Play(`
		send c1 Q "/* id=01,c=read,d=20000,cluster=1 */ A"
		wait s2
		expect s2 startup
		send s2 welcome
		expect s2 Q "/* id=01,c=read,d=#,cluster=1 */ A"
		send s2 T | D "a" | C | S rank=copy | Z
		expect c1 T | D "a" | C | Z`)
	if stage.HasConnection("s1") {
		t.Error("a draining server received a connection")
	}
}
