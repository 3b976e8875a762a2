package router

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lotushook/internal/backend"
	"lotushook/internal/discovery"
	"lotushook/internal/nettest"
	"lotushook/internal/operr"
	"lotushook/internal/pgwire"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
	"lotushook/policy/crdt"
	"lotushook/policy/quotalease"
)

// The event loop uses the current quota share. Once the share has expired, for example because the process was paused,
// it uses the minimum share.
func TestQuotaChange(t *testing.T) {
	service := &membershipService{share: 0.2}
	for _, tc := range []struct {
		now   clock.Nanos
		quota quotalease.Quota
		share float64 // the event's share; 0: no event
	}{
		{10, quotalease.Quota{Share: 0.2, ValidUntil: 20, MinShare: 0.1}, 0},
		{19, quotalease.Quota{Share: 0.35, ValidUntil: 20, MinShare: 0.1}, 0.35},
		{19, quotalease.Quota{Share: 0.35, ValidUntil: 40, MinShare: 0.1}, 0},
		{40, quotalease.Quota{Share: 0.35, ValidUntil: 40, MinShare: 0.1}, 0.1}, // not renewed
		{41, quotalease.Quota{Share: 0.35, ValidUntil: 40, MinShare: 0.1}, 0},
		{42, quotalease.Quota{Share: 0.2, ValidUntil: 60, MinShare: 0.1}, 0.2},
	} {
		service.quota.Store(&tc.quota)
		event, changed := service.quotaChange(tc.now)
		if changed != (tc.share > 0) || changed && (event.Kind != balance.QuotaShareChanged || event.Share != tc.share) {
			t.Errorf("at %d, %+v: %+v, %v", tc.now, tc.quota, event, changed)
		}
	}
}

// The position in the answer to a session's write becomes the session's commit position on all routers. The session's
// next read passes it to the decision module although the client does not send it.
func TestSessionCommitsAreReplicated(t *testing.T) {
	keyFile := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keyFile, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := siteconfig.Load(nettest.WriteConfig(t, fmt.Sprintf(`{"members":{"cluster":"x","key_file":%q,"share":true,"routers":{"n0":{"listen":"127.0.0.1:0"}}}}`, keyFile)))
	if err != nil {
		t.Fatal(err)
	}
	now := make(chan time.Time)
	close(now)
	stage, router, _, _ := startRouterWithConfig(t, config, now, noTimeouts)
	stage.Run(`
		send c1 startup | Q "/* id=01,c=write,d=20000,k=ab,cluster=1 */ INSERT INTO objects (oid, body) VALUES ('visitor-7', 'v')"
		wait s1
		expect s1 startup
		send s1 welcome
		expect s1 Q "/* id=01,c=write,d=#,k=ab,cluster=1 */ INSERT INTO objects (oid, body) VALUES ('visitor-7', 'v')"
		send s1 T | D "v" | C | S rank=source | S as_of=1767225600000 | Z
		expect c1 welcome | T | D "v" | C | Z`)
	written, err := pgwire.ParseRequest("/* id=02,c=own,d=20000,cluster=1 */ SELECT body FROM objects WHERE oid = 'visitor-7'")
	if err != nil {
		t.Fatal(err)
	}
	if at := router.membership.commit(1, written.Session); at != 1767225600000e6 {
		t.Fatalf("the commit position of session %q is %d", written.Session, at)
	}
	// The event loop of this router does not run, so that the test can receive the events.
	idle := newRouterWithConfig(t, config, nettest.EndpointList(1))
	idle.membership.state.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: written.Session, At: 1767225600000e6})
	for _, tc := range []struct {
		class string
		after clock.Nanos
	}{{"own", 1767225600000e6}, {"read", 0}} {
		read := &request{Request: written, router: idle, client: &client{left: make(chan struct{})}, actions: make(chan balance.Action, actionQueueSize)}
		read.Class, read.deadline = tc.class, idle.clock.now()+int64(time.Minute)
		go read.run()
		if event := <-idle.loop.events; event.Kind != balance.RequestArrived || event.minPosition != tc.after {
			t.Errorf("%s: a read must see position %d", tc.class, event.minPosition)
		}
		read.deliver(balance.Action{Kind: balance.FailRequest})
		if event := <-idle.loop.events; !event.requestEnded {
			t.Errorf("%s: the request did not end: %+v", tc.class, event)
		}
	}
}

// A router does not start with a replication mode for a class that is not a class of writes, and the error says how to
// correct it. A position of a data server that another router received replaces one probe, and only while it is recent.
func TestModesAndPositionsFromPeers(t *testing.T) {
	keyFile := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keyFile, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	load := func(modes string) *siteconfig.Config {
		config, err := siteconfig.Load(nettest.WriteConfig(t, fmt.Sprintf(`{"members":{"cluster":"x","key_file":%q,"share":true,"modes":%s,"routers":{"n0":{"listen":"127.0.0.1:0"}}}}`, keyFile, modes)))
		if err != nil {
			t.Fatal(err)
		}
		return config
	}
	valid := load(`{"classes":{"write":"one"}}`)
	router := newRouterWithConfig(t, valid, nettest.EndpointList(1))
	for _, class := range []string{"own", "nothing"} {
		_, err := New(router.config, load(fmt.Sprintf(`{"classes":{%q:"one"}}`, class)))
		if e := operr.Find(err); e == nil || e.Kind() != "modes-class" || !strings.Contains(e.Hint(), class) || !strings.Contains(err.Error(), "modes.classes."+class) {
			t.Errorf("%s: %v", class, err)
		}
	}
	service := router.membership
	service.probes, service.usedPositions = true, map[balance.EndpointID]clock.Nanos{}
	update := router.directory.Apply(&discovery.List{Complete: true, Hosts: []discovery.Host{{Name: "h", Group: 1, StartedMS: 5}}})
	endpoint := update.Endpoints[0].ID
	receive := func(startedAt, at, age int64) {
		service.state.WithShard("h", "", func(store *crdt.Store, now int64) {
			store.Merge(now, crdt.Entry{Kind: crdt.ServerPosition, A: "h", Born: startedAt, At: at, Age: age, From: crdt.Origin{Name: "n9", Boot: 1}, Seq: uint64(at)})
		})
	}
	receive(4e6, 50, 0)
	if at := service.position(endpoint); at != 0 {
		t.Errorf("position %d is from an earlier start of the server", at)
	}
	receive(5e6, 60, 0)
	if first, again := service.position(endpoint), service.position(endpoint); first != 60 || again != 0 {
		t.Errorf("position %d, then %d", first, again)
	}
	receive(5e6, 70, 2*maxPositionAge)
	if at := service.position(endpoint); at != 0 {
		t.Errorf("position %d is too old", at)
	}
	service.learnFrom(1, endpoint, &backend.Result{Outcome: balance.Succeeded, Role: balance.Primary, Position: 80})
	if at := service.position(endpoint); at != 0 {
		t.Errorf("position %d was received by this router itself", at)
	}
	service.state.WithShard("1", "", func(store *crdt.Store, _ int64) {
		if server, startedAt, at := store.Primary("1"); server != "h" || startedAt != 5e6 || at != 80 {
			t.Errorf("primary %s, started at %d, position %d", server, startedAt, at)
		}
	})
}
