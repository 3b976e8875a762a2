package router

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lotushook/internal/nettest"
	"lotushook/internal/siteconfig"
	"lotushook/internal/store"
	"lotushook/policy/crdt"
	dkeep "lotushook/policy/persistence"
)

// writeStore has TestReadsStoreOfFormat1 write the file that it reads. The one in testdata was written by the build of
// commit 1585d09 and is not to be written again: installations have such files.
var writeStore = flag.String("write-store", "", "write the store fixture to this file")

const storeFixture = "testdata/format1.db"

// storedEntries has an entry of each kind that is copied to disk.
func storedEntries() []crdt.Entry {
	from := crdt.Origin{Name: "n1", Boot: 3}
	return []crdt.Entry{
		{Kind: crdt.SessionCommit, A: "1", B: "mine", At: 5e9, From: from, Seq: 1},
		{Kind: crdt.PrimaryClaim, A: "1", Born: 7, At: 4e9, Server: "s1", From: from, Seq: 2},
		{Kind: crdt.PendingWrite, A: "write", B: "key", From: from, Seq: 3},
		{Kind: crdt.ServerPosition, A: "s1", Born: 7, At: 6e9, From: from, Seq: 4},
		{Kind: crdt.Usage, A: "team", B: "read", Count: 1500, From: from, Seq: 5},
		{Kind: crdt.Hint, A: "suspect s2", From: from, Seq: 6},
	}
}

// newStoredCopy returns a copy in a directory, as a router of a fixed name has it, and its end.
func newStoredCopy(t *testing.T, dir string) (*persistedState, func()) {
	t.Helper()
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	own, err := siteconfig.Load(nettest.File(t, fmt.Sprintf(`{"members":{"cluster":"x","key_file":%q,"share":true,
		"keep":{"dir":%q,"load_ms":20000},"routers":{"n0":{"listen":"127.0.0.1:0"}}}}`, keys, dir)))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	k, err := newPersistedState(own.Members, crdt.Origin{Name: "n0", Boot: 9}, func() int64 { return int64(time.Since(began)) })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { k.store.Run(ctx) })
	<-k.store.Loaded()
	return k, func() { cancel(); running.Wait() }
}

// readStore reads a copy in which nothing expires.
func readStore(t *testing.T, dir string) store.Found {
	t.Helper()
	began := time.Now()
	k, err := store.New(store.Settings{Dir: dir, MaxBytes: 16 << 20, Cluster: "x", Name: "n0", Boot: 9, Queue: dkeep.DefaultSettings(),
		Now: func() int64 { return int64(time.Since(began)) }, Wall: func() int64 { return time.Now().UnixNano() }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { k.Run(ctx) })
	<-k.Loaded()
	found := k.Found()
	cancel()
	running.Wait()
	return found
}

// A copy that an older build wrote is read, record by record: names in the code may change, the file may not.
func TestReadsStoreOfFormat1(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "keep.db")
	if *writeStore != "" {
		k, stop := newStoredCopy(t, dir)
		for _, e := range storedEntries() {
			k.Persist(e, e.From)
		}
		until(t, "all is on the disk", func() bool {
			r := k.report().(persistedReport)
			return r.Waiting == 0 && r.Counts.Batches > 0
		})
		stop()
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(*writeStore, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	raw, err := os.ReadFile(storeFixture)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	found := readStore(t, dir)
	if found.Boot != 9 || found.Generation == 0 {
		t.Errorf("boot %d, generation %d", found.Boot, found.Generation)
	}
	read := map[crdt.Kind]crdt.Entry{}
	boots := map[string]bool{}
	for _, record := range found.Records {
		if record.Kind == memberRecordKind {
			boots[string(record.Key)] = true
			continue
		}
		var e crdt.Entry
		if err := cbor.Unmarshal(record.Value, &e); err != nil {
			t.Fatalf("kind %d: %v", record.Kind, err)
		}
		if string(entryKey(&e)) != string(record.Key) {
			t.Errorf("%s is under the key %q", e.Kind, record.Key)
		}
		read[e.Kind] = e
	}
	for _, want := range storedEntries() {
		got := read[want.Kind]
		got.Age = 0
		if got != want {
			t.Errorf("%s: read %+v, written %+v", want.Kind, got, want)
		}
	}
	if !boots["n1"] || len(found.Records) != len(storedEntries())+1 {
		t.Errorf("%d records, members %v", len(found.Records), boots)
	}
}
