package store

import (
	"context"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lotushook/internal/operr"
	"lotushook/policy/persistence"
)

var processStart = time.Now()

func testSettings(dir string) Settings {
	queue := persistence.DefaultSettings()
	queue.FsyncsPerSecond, queue.RetryBackoff = 1000, 1e6
	return Settings{Dir: dir, MaxBytes: 1 << 20, Cluster: "x", Name: "n0", Epoch: 7, Queue: queue, Now: func() int64 { return int64(time.Since(processStart)) },
		Wall: func() int64 { return time.Now().UnixNano() }}
}

// start runs a store; stop ends its context and waits for Run.
func start(tb testing.TB, settings Settings) (store *Store, stop func()) {
	tb.Helper()
	store, err := New(settings)
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { store.Run(ctx); close(done) }()
	stop = func() { cancel(); <-done }
	tb.Cleanup(stop)
	return store, stop
}

func waitFor(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("not within 20 s: %s", what)
		}
	}
}

func (s *Store) allWritten() bool {
	report := s.Report()
	return report.PendingBytes == 0 && report.Counts.Batches > 0
}

func newRecord(key, value string) persistence.Record {
	return persistence.Record{Kind: 1, Key: []byte(key), Value: []byte(value)}
}

// writeCopy writes records with a store that runs only for this.
func writeCopy(tb testing.TB, settings Settings, records map[string]string) {
	tb.Helper()
	store, stop := start(tb, settings)
	<-store.Loaded()
	for key, value := range records {
		store.Put(newRecord(key, value))
	}
	stop() // the final batch writes all queued records
}

// readCopy opens a copy with Run, and returns the restored values by key and the report.
func readCopy(tb testing.TB, settings Settings) (map[string]string, *Report) {
	tb.Helper()
	store, stop := start(tb, settings)
	defer stop()
	<-store.Loaded()
	return values(store.TakeRestored()), store.Report()
}

// values returns the values of restored records by key.
func values(restored Restored) map[string]string {
	out := map[string]string{}
	for _, record := range restored.Records {
		out[string(record.Key)] = string(record.Value)
	}
	return out
}

func numberedRecords(from, count int) map[string]string {
	out := map[string]string{}
	for i := from; i < from+count; i++ {
		out[fmt.Sprintf("key-%04d", i)] = strings.Repeat("v", i%60)
	}
	return out
}

// After a restart the records are restored, older by the elapsed wall-clock time, and the generation continues. Expired
// records are not restored, and ages are lower bounds if the clock was set back.
func TestRestore(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made")
	settings := testSettings(dir)
	wall := int64(1e18)
	settings.Wall = func() int64 { return wall }
	want := numberedRecords(0, 500)
	writeCopy(t, settings, want)
	wall, settings.Epoch = wall+3600e9, 8
	settings.Retention[2] = 30e9
	store, stop := start(t, settings)
	<-store.Loaded()
	restored := store.TakeRestored()
	if got := values(restored); !maps.Equal(got, want) || restored.Epoch != 7 || restored.Generation == 0 || restored.Dropped != 0 {
		t.Fatalf("%d records, epoch %d, generation %d, %d dropped", len(got), restored.Epoch, restored.Generation, restored.Dropped)
	}
	for _, record := range restored.Records {
		if record.Age < 3600e9 || record.Age > 3700e9 || record.MinAgeOnly {
			t.Fatalf("%s has age %d, minimum age only %v", record.Key, record.Age, record.MinAgeOnly)
		}
	}
	if len(store.TakeRestored().Records) != 0 {
		t.Error("the restored records are returned twice")
	}
	store.Put(newRecord("key-0001", "new"))
	store.Put(persistence.Record{Kind: 2, Key: []byte("key-0001"), Value: []byte("of another kind")})
	store.Put(newRecord(strings.Repeat("k", maxKeyBytes+1), "too long"))
	stop()
	if epoch, generation := store.Generation(); epoch != 8 || generation <= restored.Generation {
		t.Errorf("epoch %d, generation %d after %d", epoch, generation, restored.Generation)
	}
	wall += 31e9 // the record of kind 2 expires
	if got, _ := readCopy(t, settings); len(got) != 500 || got["key-0001"] != "new" {
		t.Errorf("%d records, key-0001 is %q", len(got), got["key-0001"])
	}
	wall -= 3600e9 // the clock is set back
	store, stop = start(t, settings)
	defer stop()
	<-store.Loaded()
	for _, record := range store.TakeRestored().Records {
		if !record.MinAgeOnly || record.Age > 3700e9 {
			t.Fatalf("%s has age %d, minimum age only %v, after the clock was set back", record.Key, record.Age, record.MinAgeOnly)
		}
	}
	if report := store.Report(); report.ErrorKind != "keep-clock" || !report.Writable {
		t.Errorf("%+v", report)
	}
}

// For each fault of a copy or of the disk, the store starts, and reports what it did and what the operator can do. A
// copy that can't be used is moved aside unchanged.
//
//nolint:gocognit,funlen // a table of cases and one sequence of checks for all of them
func TestCopyAndDiskFaults(t *testing.T) {
	for _, test := range []struct {
		name       string
		inject     func(t *testing.T, dir string, settings *Settings)
		errorKind  string
		restores   bool // the records written before the fault
		writable   bool
		movedAside int
	}{
		{"valid copy", func(*testing.T, string, *Settings) {}, "", true, true, 0},
		{"no directory", func(_ *testing.T, dir string, settings *Settings) { settings.Dir = filepath.Join(dir, "a", "b") }, "", false, true, 0},
		{"no file", func(_ *testing.T, dir string, _ *Settings) { os.Remove(filepath.Join(dir, fileName)) }, "", false, true, 0},
		{"empty file", func(t *testing.T, dir string, _ *Settings) {
			t.Helper()
			changeFile(t, dir, func([]byte) []byte { return nil })
		}, "keep-empty", false, true, 1},
		{"truncated file", func(t *testing.T, dir string, _ *Settings) {
			t.Helper()
			changeFile(t, dir, func(content []byte) []byte { return content[:len(content)/2] })
		}, "keep-torn", false, true, 1},
		{"bit flip in a value", func(t *testing.T, dir string, _ *Settings) {
			t.Helper()
			changeFile(t, dir, func(content []byte) []byte { content[strings.LastIndex(string(content), "vvvv")] ^= 4; return content })
		}, "keep-spoiled", false, true, 1},
		{"not a database file", func(t *testing.T, dir string, _ *Settings) {
			t.Helper()
			changeFile(t, dir, func(_ []byte) []byte { return []byte(strings.Repeat("what is this? ", 5000)) })
		}, "keep-spoiled", false, true, 1},
		{"copy of another router", func(_ *testing.T, _ string, settings *Settings) { settings.Name = "n1" }, "keep-foreign", false, true, 1},
		{"copy of another cluster", func(_ *testing.T, _ string, settings *Settings) { settings.Cluster = "y" }, "keep-foreign", false, true, 1},
		{"newer format", func(t *testing.T, dir string, _ *Settings) {
			t.Helper()
			opened, err := osDisk{}.open(filepath.Join(dir, fileName), 1<<20, false)
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err = opened.commit(&fileHeader{format: format + 1}, nil); err != nil {
				t.Fatal(err)
			}
			opened.close()
		}, "keep-later", false, true, 1},
		{"locked by another process", func(t *testing.T, _ string, settings *Settings) {
			t.Helper()
			other, stop := start(t, *settings)
			<-other.Loaded()
			t.Cleanup(stop)
		}, "keep-locked", false, false, 0},
		{"read-only directory", func(_ *testing.T, _ string, settings *Settings) {
			settings.disk = &faultyDisk{osDisk: osDisk{}, lockError: syscall.EROFS}
		}, "keep-read-only", true, false, 0},
		{"read-only file", func(_ *testing.T, _ string, settings *Settings) {
			settings.disk = &faultyDisk{osDisk: osDisk{}, openError: syscall.EACCES}
		}, "keep-read-only", true, false, 0},
		{"a file in place of the directory", func(_ *testing.T, dir string, settings *Settings) { settings.Dir = filepath.Join(dir, fileName) }, "keep-failed", false, false, 0},
		{"too many copies moved aside", func(t *testing.T, dir string, settings *Settings) {
			t.Helper()
			for range maxMovedAside {
				changeFile(t, dir, func([]byte) []byte { return nil })
				readCopy(t, *settings)
			}
			changeFile(t, dir, func([]byte) []byte { return nil })
		}, "keep-crowded", false, false, maxMovedAside},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			settings := testSettings(dir)
			want := numberedRecords(0, 300)
			writeCopy(t, settings, want)
			test.inject(t, dir, &settings)
			before, _ := os.ReadFile(filepath.Join(dir, fileName))
			store, stop := start(t, settings)
			<-store.Loaded()
			got, report := values(store.TakeRestored()), store.Report()
			if report.ErrorKind != test.errorKind || report.Writable != test.writable || test.restores != maps.Equal(got, want) || !test.restores && len(got) > 0 || (report.Hint == "") != (test.errorKind == "") {
				t.Errorf("%d records, %+v", len(got), report)
			}
			movedAside, _ := filepath.Glob(filepath.Join(dir, "*.aside-*"))
			if len(movedAside) != test.movedAside {
				t.Errorf("moved aside: %v", movedAside)
			}
			if test.movedAside == 1 {
				if after, _ := os.ReadFile(movedAside[0]); string(after) != string(before) {
					t.Error("the file that was moved aside is changed")
				}
			}
			store.Put(newRecord("more", "of it"))
			if stop(); !test.writable {
				if after, _ := os.ReadFile(filepath.Join(dir, fileName)); string(after) != string(before) {
					t.Error("the copy was written to")
				}
				return
			}
			settings.disk = nil
			if got, report = readCopy(t, settings); got["more"] != "of it" || report.ErrorKind != "" {
				t.Errorf("after a restart: %d records, %+v", len(got), report)
			}
		})
	}
}

func changeFile(tb testing.TB, dir string, change func([]byte) []byte) {
	tb.Helper()
	path := filepath.Join(dir, fileName)
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, change(content), 0o600); err != nil {
		tb.Fatal(err)
	}
}

// faultyDisk is a disk that injects faults.
type faultyDisk struct {
	osDisk
	lockError, openError error                        // openError is not returned for a read-only open
	beforeCommit         atomic.Pointer[func() error] // called before each batch; its error fails the batch
	commits              atomic.Int64
}

func (d *faultyDisk) lock(path string) (io.Closer, error) {
	if d.lockError != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: d.lockError}
	}
	return d.osDisk.lock(path)
}

func (d *faultyDisk) open(path string, maxBytes int64, readOnly bool) (engine, error) {
	if d.openError != nil && !readOnly {
		return nil, &os.PathError{Op: "open", Path: path, Err: d.openError}
	}
	opened, err := d.osDisk.open(path, maxBytes, readOnly)
	return &faultyEngine{opened, d}, err
}

type faultyEngine struct {
	engine
	disk *faultyDisk
}

func (e *faultyEngine) commit(header *fileHeader, batch []persistence.Record) (int, int, error) {
	e.disk.commits.Add(1)
	if beforeCommit := e.disk.beforeCommit.Load(); beforeCommit != nil {
		if err := (*beforeCommit)(); err != nil {
			return 2, 0, err
		}
	}
	return e.engine.commit(header, batch)
}

// While the disk hangs, Put does not block, the queue stays within its bound, and dropped records are counted in the
// copy. A store that stops during the hang gives up waiting for the disk.
func TestHangingDisk(t *testing.T) {
	settings := testSettings(t.TempDir())
	settings.Queue.QueueBytes = 4096
	disk := &faultyDisk{}
	release := make(chan struct{})
	hang := func() error { <-release; return nil } //nolint:unparam // has the type of beforeCommit
	disk.beforeCommit.Store(&hang)
	settings.disk = disk
	store, stop := start(t, settings)
	store.Put(newRecord("first", "1"))
	waitFor(t, "the disk hangs", func() bool { return disk.commits.Load() == 1 })
	maxElapsed := time.Duration(0)
	for i := range 2000 {
		startedAt := time.Now()
		store.Put(newRecord(fmt.Sprint("key-", i%200), fmt.Sprint(i)))
		maxElapsed = max(maxElapsed, time.Since(startedAt))
	}
	if report := store.Report(); report.PendingBytes > 2*4096 || report.Counts.Dropped == 0 || report.Counts.Coalesced == 0 || report.Counts.Batches != 0 {
		t.Errorf("%+v", report)
	}
	waitFor(t, "the slow disk is reported", func() bool { return store.Report().ErrorKind == "keep-slow" })
	if maxElapsed > 5*time.Second { // a Put that waited for the disk would have hung for longer
		t.Errorf("a Put took %v", maxElapsed)
	}
	release <- struct{}{}
	waitFor(t, "the dropped records are reported", func() bool { return store.Report().ErrorKind == "keep-behind" })
	close(release)
	waitFor(t, "the queue is written", func() bool { report := store.Report(); return report.PendingBytes == 0 && report.Counts.Batches == 2 })
	store.Put(newRecord("key-0", "after it"))
	waitFor(t, "no problem is reported", func() bool { report := store.Report(); return report.Counts.Batches == 3 && report.ErrorKind == "" })
	stop()
	settings.disk = nil
	restarted, _ := start(t, settings)
	<-restarted.Loaded()
	if restored := restarted.TakeRestored(); restored.Dropped == 0 || values(restored)["key-0"] != "after it" {
		t.Errorf("%d dropped, key-0 is %q", restored.Dropped, values(restored)["key-0"])
	}

	testEnd := make(chan struct{})
	defer close(testEnd)
	hang = func() error { <-testEnd; return nil } //nolint:unparam // has the type of beforeCommit
	settings = testSettings(t.TempDir())
	settings.disk = disk
	store, stop = start(t, settings)
	store.Put(newRecord("a", "b"))
	waitFor(t, "the disk hangs again", func() bool { return disk.commits.Load() == 4 })
	stoppedAt := time.Now()
	if stop(); time.Since(stoppedAt) > 10*time.Second {
		t.Errorf("the stop took %v", time.Since(stoppedAt))
	}
}

// After a batch that failed on a full disk or for another reason, the batch is retried with the newest values, and the
// records written before are still there.
func TestFullDisk(t *testing.T) {
	for _, test := range []struct {
		err       error
		errorKind string
	}{{syscall.ENOSPC, "keep-full"}, {syscall.EDQUOT, "keep-full"}, {syscall.EIO, "keep-failed"}} {
		settings := testSettings(t.TempDir())
		writeCopy(t, settings, map[string]string{"old": "1"})
		disk := &faultyDisk{}
		fail := func() error { return test.err }
		disk.beforeCommit.Store(&fail)
		settings.disk = disk
		store, stop := start(t, settings)
		store.Put(newRecord("a", "1"))
		waitFor(t, "the error is reported", func() bool { return store.Report().ErrorKind == test.errorKind })
		store.Put(newRecord("a", "2"))
		disk.beforeCommit.Store(nil)
		waitFor(t, "the batch is written", func() bool { report := store.Report(); return report.ErrorKind == "" && report.PendingBytes == 0 })
		stop()
		settings.disk = nil
		if got, _ := readCopy(t, settings); !maps.Equal(got, map[string]string{"a": "2", "old": "1"}) {
			t.Errorf("%v: %v", test.err, got)
		}
	}
}

// However many records are put, the file stays within its maximum size, and the newest records stay in it.
func TestMaxFileSize(t *testing.T) {
	settings := testSettings(t.TempDir())
	settings.MaxBytes = 1 << 18
	store, _ := start(t, settings)
	<-store.Loaded()
	for i := range 60 {
		for j := range 50 {
			store.Put(persistence.Record{Kind: 1, Key: fmt.Appendf(nil, "%x-%d", (i*50+j)*7919%65536, i), Value: make([]byte, 100), Age: (60 - int64(i)) * 60e9})
		}
		waitFor(t, "all records written", func() bool { report := store.Report(); return report.PendingBytes == 0 && report.Counts.Batches > 0 })
		if report := store.Report(); report.FileBytes > settings.MaxBytes || report.ErrorKind != "" {
			t.Fatalf("%+v", report)
		}
	}
	if store.Report().Evicted == 0 {
		t.Error("no record was evicted")
	}
	store.Put(newRecord("last", "1"))
	waitFor(t, "all records written", store.allWritten)
	got, _ := readCopy(t, func() Settings { settings := settings; settings.Dir = copyFile(t, settings.Dir); return settings }())
	if _, ok := got["last"]; !ok || len(got) < 200 {
		t.Errorf("%d records", len(got))
	}
	for i := 58; i < 60; i++ {
		for j := range 50 {
			if _, ok := got[fmt.Sprintf("%x-%d", (i*50+j)*7919%65536, i)]; !ok {
				t.Fatalf("one of the newest records was evicted: %d, %d", i, j)
			}
		}
	}
}

// copyFile copies a directory's database file to a new directory, so that it can be read while the store runs.
func copyFile(t *testing.T, dir string) string {
	t.Helper()
	newDir := t.TempDir()
	content, err := os.ReadFile(filepath.Join(dir, fileName))
	if err == nil {
		err = os.WriteFile(filepath.Join(newDir, fileName), content, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return newDir
}

// The rate of fsyncs stays within its limit.
func TestFsyncRate(t *testing.T) {
	settings := testSettings(t.TempDir())
	settings.Queue.FsyncsPerSecond = 20
	store, _ := start(t, settings)
	startedAt := time.Now()
	for i := 0; time.Since(startedAt) < time.Second; i++ {
		store.Put(newRecord("a", fmt.Sprint(i)))
		time.Sleep(time.Millisecond)
	}
	if counts := store.Report().Counts; float64(counts.Fsyncs) > 20*time.Since(startedAt).Seconds()+6 || counts.Batches == 0 {
		t.Errorf("%+v in %v", counts, time.Since(startedAt))
	}
}

// Each error type has a kind of its own, a hint and an entry in the operators' documentation.
func TestErrorHints(t *testing.T) {
	cause := errors.New("why")
	examples := []operr.Error{&DamagedError{"p", "a", CauseEmpty, cause}, &DamagedError{"p", "", CauseTorn, cause}, &DamagedError{"p", "a", CauseCorrupt, cause}, &ForeignError{"p", "a", "c", "n"},
		&NewerFormatError{"p", "a", 9}, &OutdatedError{"p", "1", "2"}, &LockedError{"p", cause}, &ReadOnlyError{"p", cause}, &FullError{"p", cause}, &SlowError{"p", time.Second}, &QueueFullError{"p", 3},
		&TooManyMovedError{"p", 4, cause}, &ClockError{"p", time.Hour}, &OperationError{"p", "d", cause}}
	types, kinds := map[string]bool{}, map[string]bool{}
	for _, example := range examples {
		types[strings.TrimPrefix(fmt.Sprintf("%T", example), "*store.")] = true
		if kinds[example.Kind()] || !strings.HasPrefix(example.Kind(), "keep-") || len(example.Hint()) < 20 || !strings.Contains(example.Error(), "p") || operr.Find(fmt.Errorf("x: %w", example)) != example {
			t.Errorf("%T: %s: %s: %s", example, example.Kind(), example, example.Hint())
		}
		kinds[example.Kind()] = true
		if wrapper, ok := example.(interface{ Unwrap() error }); ok && !errors.Is(wrapper.Unwrap(), cause) {
			t.Errorf("%T does not unwrap to its cause", example)
		}
	}
	file, err := parser.ParseFile(token.NewFileSet(), "errors.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/operators/recovery.md")
	if err != nil {
		t.Fatal(err)
	}
	for kind := range kinds {
		if !strings.Contains(string(page), "`"+kind+"`") {
			t.Errorf("%s is missing in docs/operators/recovery.md", kind)
		}
	}
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && function.Name.Name == "Hint" {
			if name := function.Recv.List[0].Type.(*ast.StarExpr).X.(*ast.Ident).Name; !types[name] {
				t.Errorf("%s is not tested", name)
			}
		}
	}
}
