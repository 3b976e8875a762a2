package router

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"lotushook/internal/nettest"
	"lotushook/internal/siteconfig"
	"lotushook/policy/crdt"
	"lotushook/policy/trust"
)

// What a router had learned and been told comes back after its start as the disk's word: it raises floors at once, and is
// proven by who was up meanwhile or by own answers alone. A copy that was put back is noticed.
//
//nolint:funlen // one history or table of cases, told in order
func TestRestored(t *testing.T) {
	dir := t.TempDir()
	keys := filepath.Join(dir, "keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	own, err := siteconfig.Load(nettest.File(t, fmt.Sprintf(`{"members":{"cluster":"x","key_file":%q,"share":true,"keep":{"dir":%q,"load_ms":20000},"routers":{"n0":{"listen":"127.0.0.1:0"}}}}`, keys, filepath.Join(dir, "keep"))))
	if err != nil {
		t.Fatal(err)
	}
	start := func() (*membershipService, func()) {
		m := newOwnRouter(t, own, nettest.List(1)).membership
		ctx, cancel := context.WithCancel(context.Background())
		var parts sync.WaitGroup
		m.restore(ctx, &parts)
		return m, func() { cancel(); parts.Wait() }
	}
	session := crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "mine"}
	m, stop := start()
	m.state.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "mine", At: 5e9})
	primary := crdt.Entry{Kind: crdt.PrimaryClaim, A: "1", Server: "s1", At: 4e9, From: crdt.Origin{Name: "n1", Boot: 3}, Seq: 1}
	m.state.Learn(crdt.NewSheddingLevel("1", 100, 7, 1)) // neither this nor a cursor is copied
	m.state.Learn(crdt.Entry{Kind: crdt.FeedCursor, A: "f", B: "mine", Count: 1, At: 5})
	steady := crdt.Origin{Name: "n1", Boot: 3}
	m.persisted.Persist(primary, steady)
	boot := m.detectorSettings.Epoch
	until(t, "all is on the disk: a stop waits for it for a second only", func() bool {
		r := m.persisted.report().(persistedReport)
		return r.Waiting == 0 && r.Counts.Batches > 0
	})
	stop()

	m, stop = start()
	defer func() { stop() }()
	if at := m.commit(1, "mine"); at != 5e9 {
		t.Fatalf("the commit is %d", at)
	}
	for _, e := range []crdt.Entry{session, primary} {
		if f, _ := m.persisted.fact(e); f.Provenance != trust.FromDisk || f.Proven || f.MinAgeOnly || f.Age <= 0 {
			t.Fatalf("%s: %+v", e.Kind, f)
		}
	}
	m.persisted.Persist(primary, crdt.Origin{Name: "n2", Boot: 9}) // it may have it from its own disk
	if f, _ := m.persisted.fact(primary); f.Proven {
		t.Errorf("proven by who was not up: %+v", f)
	}
	m.persisted.Persist(primary, steady)
	if f, _ := m.persisted.fact(primary); !f.Proven {
		t.Errorf("not proven by who was up all the while: %+v", f)
	}
	m.state.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "mine", At: 4e9})
	if at := m.commit(1, "mine"); at != 5e9 {
		t.Errorf("an older answer lowered the commit to %d", at)
	}
	m.state.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "mine", At: 6e9})
	if f, e := m.persisted.fact(session); f.Provenance != trust.OwnResponse || e.At != 6e9 {
		t.Errorf("after an own answer: %+v", f)
	}
	r := m.persisted.report().(persistedReport)
	if r.Restored != 2 || r.Doubted != 0 || r.Old || !r.Writes {
		t.Errorf("%+v", r)
	}
	e := session
	e.B, e.At, e.From, e.Seq = "other", 7e9, crdt.Origin{Name: m.detectorSettings.Name, Boot: boot + 1}, 1 // of a start that the copy has not seen
	if m.persisted.Persist(e, steady); !m.persisted.report().(persistedReport).Old {
		t.Error("an old copy was not noticed")
	}
	if f, _ := m.persisted.fact(primary); !f.MinAgeOnly || f.Proven {
		t.Errorf("of an old copy: %+v", f)
	}
}
