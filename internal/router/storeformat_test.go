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
	"lotushook/policy/persistence"
)

// writeStore makes TestReadsStoreOfFormat1 write the fixture instead of reading it. The file in testdata was written by
// the build of commit 1585d09 and must not be written again, as installations have files of this format.
var writeStore = flag.String("write-store", "", "write the store fixture to this file")

const storeFixture = "testdata/format1.db"

// storedEntries returns an entry of each kind that is persisted.
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

// openPersistedState opens the persisted state of a router with a fixed name and epoch in a directory. It returns the
// state and a function that closes it.
func openPersistedState(t *testing.T, dir string) (*persistedState, func()) {
	t.Helper()
	keyFile := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keyFile, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := siteconfig.Load(nettest.WriteConfig(t, fmt.Sprintf(`{"members":{"cluster":"x","key_file":%q,"share":true,
		"keep":{"dir":%q,"load_ms":20000},"routers":{"n0":{"listen":"127.0.0.1:0"}}}}`, keyFile, dir)))
	if err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	persisted, err := newPersistedState(config.Members, crdt.Origin{Name: "n0", Boot: 9}, func() int64 { return int64(time.Since(startedAt)) })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { persisted.store.Run(ctx) })
	<-persisted.store.Loaded()
	return persisted, func() { cancel(); running.Wait() }
}

// readStore reads all records of the store in a directory, with settings by which no record expires.
func readStore(t *testing.T, dir string) store.Restored {
	t.Helper()
	startedAt := time.Now()
	opened, err := store.New(store.Settings{Dir: dir, MaxBytes: 16 << 20, Cluster: "x", Name: "n0", Epoch: 9, Queue: persistence.DefaultSettings(),
		Now: func() int64 { return int64(time.Since(startedAt)) }, Wall: func() int64 { return time.Now().UnixNano() }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { opened.Run(ctx) })
	<-opened.Loaded()
	found := opened.TakeRestored()
	cancel()
	running.Wait()
	return found
}

// Each record in a file that an older build wrote can still be read. Identifiers in the code may change, the file
// format may not.
func TestReadsStoreOfFormat1(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "keep.db")
	if *writeStore != "" {
		persisted, stop := openPersistedState(t, dir)
		for _, entry := range storedEntries() {
			persisted.Persist(entry, entry.From)
		}
		waitUntil(t, "all entries are on disk", func() bool {
			report := persisted.report().(persistedReport)
			return report.PendingBytes == 0 && report.Counts.Batches > 0
		})
		stop()
		fixture, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(*writeStore, fixture, 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	fixture, err := os.ReadFile(storeFixture)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, fixture, 0o600); err != nil {
		t.Fatal(err)
	}
	found := readStore(t, dir)
	if found.Epoch != 9 || found.Generation == 0 {
		t.Errorf("epoch %d, generation %d", found.Epoch, found.Generation)
	}
	entries := map[crdt.Kind]crdt.Entry{}
	memberEpochs := map[string]bool{}
	for _, record := range found.Records {
		if record.Kind == memberRecordKind {
			memberEpochs[string(record.Key)] = true
			continue
		}
		var entry crdt.Entry
		if err := cbor.Unmarshal(record.Value, &entry); err != nil {
			t.Fatalf("kind %d: %v", record.Kind, err)
		}
		if string(entryKey(&entry)) != string(record.Key) {
			t.Errorf("%s is stored under the key %q", entry.Kind, record.Key)
		}
		entries[entry.Kind] = entry
	}
	for _, want := range storedEntries() {
		read := entries[want.Kind]
		read.Age = 0
		if read != want {
			t.Errorf("%s: read %+v, written %+v", want.Kind, read, want)
		}
	}
	if !memberEpochs["n1"] || len(found.Records) != len(storedEntries())+1 {
		t.Errorf("%d records, epochs of members %v", len(found.Records), memberEpochs)
	}
}
