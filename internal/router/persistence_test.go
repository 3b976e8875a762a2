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

// Entries that a router learned itself or received from peers are restored from disk at its next start. They
// immediately raise the positions that reads must see, and are confirmed only by answers to this router or by peers
// that have been up since. A restored copy that is outdated is detected.
//
//nolint:funlen // one sequence of steps
func TestRestoredState(t *testing.T) {
	dir := t.TempDir()
	keyFile := filepath.Join(dir, "keys")
	if err := os.WriteFile(keyFile, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := siteconfig.Load(nettest.WriteConfig(t, fmt.Sprintf(`{"members":{"cluster":"x","key_file":%q,"share":true,"keep":{"dir":%q,"load_ms":20000},"routers":{"n0":{"listen":"127.0.0.1:0"}}}}`, keyFile, filepath.Join(dir, "keep"))))
	if err != nil {
		t.Fatal(err)
	}
	start := func() (*membershipService, func()) {
		service := newRouterWithConfig(t, config, nettest.EndpointList(1)).membership
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		service.restore(ctx, &running)
		return service, func() { cancel(); running.Wait() }
	}
	session := crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "mine"}
	service, stop := start()
	service.state.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "mine", At: 5e9})
	primary := crdt.Entry{Kind: crdt.PrimaryClaim, A: "1", Server: "s1", At: 4e9, From: crdt.Origin{Name: "n1", Boot: 3}, Seq: 1}
	service.state.Learn(crdt.NewSheddingLevel("1", 100, 7, 1)) // shedding levels and cursors are not persisted
	service.state.Learn(crdt.Entry{Kind: crdt.FeedCursor, A: "f", B: "mine", Count: 1, At: 5})
	peerUp := crdt.Origin{Name: "n1", Boot: 3}
	service.persisted.Persist(primary, peerUp)
	epoch := service.detectorSettings.Epoch
	waitUntil(t, "all entries are on disk (a stopping router waits for the disk for a second only)", func() bool {
		report := service.persisted.report().(persistedReport)
		return report.PendingBytes == 0 && report.Counts.Batches > 0
	})
	stop()

	service, stop = start()
	defer func() { stop() }()
	if at := service.commit(1, "mine"); at != 5e9 {
		t.Fatalf("the commit position is %d", at)
	}
	for _, entry := range []crdt.Entry{session, primary} {
		if fact, _ := service.persisted.fact(entry); fact.Provenance != trust.FromDisk || fact.Proven || fact.MinAgeOnly || fact.Age <= 0 {
			t.Fatalf("%s: %+v", entry.Kind, fact)
		}
	}
	// A peer that was not up meanwhile may have restored the entry from its own disk.
	service.persisted.Persist(primary, crdt.Origin{Name: "n2", Boot: 9})
	if fact, _ := service.persisted.fact(primary); fact.Proven {
		t.Errorf("proven by a peer that was not up: %+v", fact)
	}
	service.persisted.Persist(primary, peerUp)
	if fact, _ := service.persisted.fact(primary); !fact.Proven {
		t.Errorf("not proven by a peer that has been up since: %+v", fact)
	}
	service.state.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "mine", At: 4e9})
	if at := service.commit(1, "mine"); at != 5e9 {
		t.Errorf("an older answer lowered the commit position to %d", at)
	}
	service.state.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "mine", At: 6e9})
	if fact, entry := service.persisted.fact(session); fact.Provenance != trust.OwnResponse || entry.At != 6e9 {
		t.Errorf("after an answer to this router: %+v", fact)
	}
	report := service.persisted.report().(persistedReport)
	if report.Restored != 2 || report.Doubted != 0 || report.Old || !report.Writable {
		t.Errorf("%+v", report)
	}
	// An entry of this router from a later epoch than the copy's shows that the copy is outdated.
	entry := session
	entry.B, entry.At, entry.From, entry.Seq = "other", 7e9, crdt.Origin{Name: service.detectorSettings.Name, Boot: epoch + 1}, 1
	if service.persisted.Persist(entry, peerUp); !service.persisted.report().(persistedReport).Old {
		t.Error("the outdated copy was not detected")
	}
	if fact, _ := service.persisted.fact(primary); !fact.MinAgeOnly || fact.Proven {
		t.Errorf("from an outdated copy: %+v", fact)
	}
}
