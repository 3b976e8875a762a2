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
	"lotushook/policy/crdt"
	"lotushook/policy/quotalease"
)

// The owner goes by the part that is in force, and by the least one from the moment on when it was not renewed.
func TestPartInForce(t *testing.T) {
	m := &members{share: 0.2}
	for _, c := range []struct {
		now   balance.Nanos
		force quotalease.Force
		share float64 // of the event; 0: there is none
	}{
		{10, quotalease.Force{Share: 0.2, Until: 20, Least: 0.1}, 0},
		{19, quotalease.Force{Share: 0.35, Until: 20, Least: 0.1}, 0.35},
		{19, quotalease.Force{Share: 0.35, Until: 40, Least: 0.1}, 0},
		{40, quotalease.Force{Share: 0.35, Until: 40, Least: 0.1}, 0.1}, // nobody renewed it: this process may have been stopped
		{41, quotalease.Force{Share: 0.35, Until: 40, Least: 0.1}, 0},
		{42, quotalease.Force{Share: 0.2, Until: 60, Least: 0.1}, 0.2},
	} {
		m.force.Store(&c.force)
		e, ok := m.divided(c.now)
		if ok != (c.share > 0) || ok && (e.Kind != balance.Divided || e.Share != c.share) {
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
	if at := r.members.commit(1, written.Session); at != 1767225600000e6 {
		t.Fatalf("the commit of session %q is %d", written.Session, at)
	}
	idle := newOwnRouter(t, own, nettest.List(1)) // its owner does not run: events can be read
	idle.members.state.Learn(crdt.Entry{Kind: crdt.Session, A: "1", B: written.Session, At: 1767225600000e6})
	for _, c := range []struct {
		class string
		after balance.Nanos
	}{{"own", 1767225600000e6}, {"read", 0}} {
		one := &request{Request: written, router: idle, client: &client{left: make(chan struct{})}, acts: make(chan balance.Action, mailbox)}
		one.Class, one.deadline = c.class, idle.clock.now()+int64(time.Minute)
		go one.run()
		if e := <-idle.owner.events; e.Kind != balance.RequestIn || e.after != c.after {
			t.Errorf("%s: a read comes in after %d", c.class, e.after)
		}
		one.hand(balance.Action{Kind: balance.Fail})
		if e := <-idle.owner.events; !e.over {
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
	load := func(modes string) *siteconfig.Setup {
		own, err := siteconfig.Load(nettest.File(t, fmt.Sprintf(`{"members":{"cluster":"x","key_file":%q,"share":true,"modes":%s,"routers":{"n0":{"listen":"127.0.0.1:0"}}}}`, keys, modes)))
		if err != nil {
			t.Fatal(err)
		}
		return own
	}
	good := load(`{"classes":{"write":"one"}}`)
	r := newOwnRouter(t, good, nettest.List(1))
	for _, class := range []string{"own", "nothing"} {
		_, err := New(r.conf, load(fmt.Sprintf(`{"classes":{%q:"one"}}`, class)))
		if e := operr.Of(err); e == nil || e.Kind() != "modes-class" || !strings.Contains(e.Remedy(), class) || !strings.Contains(err.Error(), "modes.classes."+class) {
			t.Errorf("%s: %v", class, err)
		}
	}
	m := r.members
	m.probes, m.given = true, map[uint32]balance.Nanos{}
	e := r.dir.Apply(&discovery.List{Whole: true, Hosts: []discovery.Host{{Host: "h", Block: 1, BornMS: 5}}})
	node := e.Nodes[0].Node
	tell := func(born, at, age int64) {
		m.state.Look("h", "", func(s *crdt.Store, now int64) {
			s.Take(now, crdt.Entry{Kind: crdt.Position, A: "h", Born: born, At: at, Age: age, From: crdt.Origin{Name: "n9", Boot: 1}, Seq: uint64(at)})
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
	tell(5e6, 70, 2*toldFor)
	if at := m.position(node); at != 0 {
		t.Errorf("%d is old", at)
	}
	m.heard(1, node, &backend.Result{Outcome: balance.Done, Role: balance.Primary, Position: 80})
	if at := m.position(node); at != 0 {
		t.Errorf("%d is this router's own", at)
	}
	m.state.Look("1", "", func(s *crdt.Store, _ int64) {
		if server, born, at := s.Primary("1"); server != "h" || born != 5e6 || at != 80 {
			t.Errorf("primary %s %d %d", server, born, at)
		}
	})
}
