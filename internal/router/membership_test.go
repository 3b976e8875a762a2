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

// The owner goes by the part that is in force, and by the least one from the moment on when it was not renewed.
func TestPartInForce(t *testing.T) {
	m := &membershipService{share: 0.2}
	for _, c := range []struct {
		now   clock.Nanos
		force quotalease.Quota
		share float64 // of the event; 0: there is none
	}{
		{10, quotalease.Quota{Share: 0.2, ValidUntil: 20, MinShare: 0.1}, 0},
		{19, quotalease.Quota{Share: 0.35, ValidUntil: 20, MinShare: 0.1}, 0.35},
		{19, quotalease.Quota{Share: 0.35, ValidUntil: 40, MinShare: 0.1}, 0},
		{40, quotalease.Quota{Share: 0.35, ValidUntil: 40, MinShare: 0.1}, 0.1}, // nobody renewed it: this process may have been stopped
		{41, quotalease.Quota{Share: 0.35, ValidUntil: 40, MinShare: 0.1}, 0},
		{42, quotalease.Quota{Share: 0.2, ValidUntil: 60, MinShare: 0.1}, 0.2},
	} {
		m.quota.Store(&c.force)
		e, ok := m.quotaChange(c.now)
		if ok != (c.share > 0) || ok && (e.Kind != balance.QuotaShareChanged || e.Share != c.share) {
			t.Errorf("at %d, %+v: %+v, %v", c.now, c.force, e, ok)
		}
	}
}

// What a session's write was told is its commit here and at every other router, and its next read says so to the module
// though its client does not.
func TestSessionsAreShared(t *testing.T) {
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	own, err := siteconfig.Load(nettest.File(t, fmt.Sprintf(`{"members":{"cluster":"x","key_file":%q,"share":true,"routers":{"n0":{"listen":"127.0.0.1:0"}}}}`, keys)))
	if err != nil {
		t.Fatal(err)
	}
	now := make(chan time.Time)
	close(now)
	s, r, _, _ := stageOwn(t, own, now, endless)
	s.Play(`
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
	if at := r.membership.commit(1, written.Session); at != 1767225600000e6 {
		t.Fatalf("the commit of session %q is %d", written.Session, at)
	}
	idle := newOwnRouter(t, own, nettest.List(1)) // its owner does not run: events can be read
	idle.membership.state.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: written.Session, At: 1767225600000e6})
	for _, c := range []struct {
		class string
		after clock.Nanos
	}{{"own", 1767225600000e6}, {"read", 0}} {
		one := &request{Request: written, router: idle, client: &client{left: make(chan struct{})}, actions: make(chan balance.Action, actionQueueSize)}
		one.Class, one.deadline = c.class, idle.clock.now()+int64(time.Minute)
		go one.run()
		if e := <-idle.loop.events; e.Kind != balance.RequestArrived || e.mustSee != c.after {
			t.Errorf("%s: a read comes in after %d", c.class, e.mustSee)
		}
		one.deliver(balance.Action{Kind: balance.FailRequest})
		if e := <-idle.loop.events; !e.requestEnded {
			t.Errorf("%s: it does not end: %+v", c.class, e)
		}
	}
}

// A mode for a class that is none of writes stops the start, with a word on what to do; what another router heard of a server
// answers a probe once, and no longer than it is fresh.
func TestModesAndTold(t *testing.T) {
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	load := func(modes string) *siteconfig.Config {
		own, err := siteconfig.Load(nettest.File(t, fmt.Sprintf(`{"members":{"cluster":"x","key_file":%q,"share":true,"modes":%s,"routers":{"n0":{"listen":"127.0.0.1:0"}}}}`, keys, modes)))
		if err != nil {
			t.Fatal(err)
		}
		return own
	}
	good := load(`{"classes":{"write":"one"}}`)
	r := newOwnRouter(t, good, nettest.List(1))
	for _, class := range []string{"own", "nothing"} {
		_, err := New(r.config, load(fmt.Sprintf(`{"classes":{%q:"one"}}`, class)))
		if e := operr.Of(err); e == nil || e.Kind() != "modes-class" || !strings.Contains(e.Hint(), class) || !strings.Contains(err.Error(), "modes.classes."+class) {
			t.Errorf("%s: %v", class, err)
		}
	}
	m := r.membership
	m.probes, m.givenPositions = true, map[balance.EndpointID]clock.Nanos{}
	e := r.directory.Apply(&discovery.List{Complete: true, Hosts: []discovery.Host{{Name: "h", Group: 1, StartedMS: 5}}})
	node := e.Endpoints[0].ID
	tell := func(born, at, age int64) {
		m.state.WithShard("h", "", func(s *crdt.Store, now int64) {
			s.Merge(now, crdt.Entry{Kind: crdt.ServerPosition, A: "h", Born: born, At: at, Age: age, From: crdt.Origin{Name: "n9", Boot: 1}, Seq: uint64(at)})
		})
	}
	tell(4e6, 50, 0)
	if at := m.position(node); at != 0 {
		t.Errorf("%d was told of an earlier start", at)
	}
	tell(5e6, 60, 0)
	if first, again := m.position(node), m.position(node); first != 60 || again != 0 {
		t.Errorf("%d, then %d", first, again)
	}
	tell(5e6, 70, 2*maxPositionAge)
	if at := m.position(node); at != 0 {
		t.Errorf("%d is old", at)
	}
	m.learnFrom(1, node, &backend.Result{Outcome: balance.Succeeded, Role: balance.Primary, Position: 80})
	if at := m.position(node); at != 0 {
		t.Errorf("%d is this router's own", at)
	}
	m.state.WithShard("1", "", func(s *crdt.Store, _ int64) {
		if server, born, at := s.Primary("1"); server != "h" || born != 5e6 || at != 80 {
			t.Errorf("primary %s %d %d", server, born, at)
		}
	})
}
