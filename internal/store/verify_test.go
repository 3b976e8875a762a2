package store

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"lotushook/policy/persistence"
)

// twoBatches returns the file of a copy after each of two batches, and the records that each file holds.
func twoBatches(tb testing.TB) (firstFile, secondFile []byte, firstRecords, secondRecords map[string]string) {
	tb.Helper()
	settings := testSettings(tb.TempDir())
	path := filepath.Join(settings.Dir, fileName)
	firstRecords = numberedRecords(0, 400)
	writeBatch := func(records map[string]string) []byte { // all records in one batch
		store, err := New(settings)
		if err != nil {
			tb.Fatal(err)
		}
		_, header, _, problem := store.read()
		if problem != nil {
			tb.Fatal(problem)
		}
		defer func() { store.close()() }()
		var batch []persistence.Record
		for _, key := range slices.Sorted(maps.Keys(records)) {
			batch = append(batch, newRecord(key, records[key]))
		}
		if _, _, err := store.write(&fileHeader{format: format, cluster: "x", name: "n0", epoch: 7, generation: header.generation + 1, writtenAt: 1}, batch); err != nil {
			tb.Fatal(err)
		}
		file, err := os.ReadFile(path)
		if err != nil {
			tb.Fatal(err)
		}
		return file
	}
	firstFile = writeBatch(firstRecords)
	secondRecords = maps.Clone(firstRecords)
	maps.Copy(secondRecords, map[string]string{"key-0007": "new", "key-0300": "new", "key-9000": "more"})
	return firstFile, writeBatch(secondRecords), firstRecords, secondRecords
}

// readAndWrite reads a copy with the given content, and then writes to that copy or to the new one that replaced it.
func readAndWrite(tb testing.TB, content []byte) (records map[string]string, errorKind string) {
	tb.Helper()
	dir, err := os.MkdirTemp("", "keep")
	if err != nil {
		tb.Fatal(err)
	}
	defer os.RemoveAll(dir)
	if err := os.WriteFile(filepath.Join(dir, fileName), content, 0o600); err != nil {
		tb.Fatal(err)
	}
	store, err := New(testSettings(dir))
	if err != nil {
		tb.Fatal(err)
	}
	restored, header, disabled, problem := store.read()
	if problem != nil {
		errorKind = problem.Kind()
	}
	if disabled {
		tb.Fatalf("the store continues without a copy: %v", problem)
	}
	nextHeader := fileHeader{format: format, cluster: "x", name: "n0", epoch: 9, generation: header.generation + 1, writtenAt: 1}
	if _, _, err := store.write(&nextHeader, []persistence.Record{newRecord("one more", "1"), newRecord("key-0200", "2")}); err != nil {
		tb.Fatalf("write after %q: %v", errorKind, err)
	}
	store.close()
	written, err := os.Open(filepath.Join(dir, fileName))
	if err != nil {
		tb.Fatal(err)
	}
	defer written.Close()
	info, _ := written.Stat()
	if err := verifyFile(written, info.Size()); err != nil {
		tb.Fatalf("the file written after %q is not valid: %v", errorKind, err)
	}
	return values(restored), errorKind
}

// After a write that stopped at any page, with pages written in any order, or after a bit flip anywhere, the store
// restores all records of one batch or all of the other, or rejects the copy.
func TestTornWritesAndBitFlips(t *testing.T) {
	firstFile, secondFile, firstRecords, secondRecords := twoBatches(t)
	var rejected, accepted atomic.Int64
	type damagedFile struct {
		damage  string
		offset  int
		content []byte
	}
	var files []damagedFile
	add := func(damage string, at int, file []byte) { files = append(files, damagedFile{damage, at, file}) }
	check := func(t *testing.T, damage string, offset int, content []byte) {
		t.Helper()
		got, errorKind := readAndWrite(t, content)
		switch {
		case errorKind == "keep-torn" || errorKind == "keep-spoiled" || errorKind == "keep-empty":
			rejected.Add(1)
			if len(got) > 0 {
				t.Errorf("%s at %d: rejected as %s, but %d records restored", damage, offset, errorKind, len(got))
			}
		case errorKind == "" && (maps.Equal(got, firstRecords) || maps.Equal(got, secondRecords)):
			accepted.Add(1)
		default:
			t.Errorf("%s at %d: error kind %q, and %d records that are those of neither batch", damage, offset, errorKind, len(got))
		}
	}
	for offset := 0; offset <= len(secondFile); offset += 2048 {
		add("truncated", offset, secondFile[:offset])
		mixed := append([]byte(nil), secondFile...)
		copy(mixed[offset:], firstFile[min(offset, len(firstFile)):])
		add("only the beginning written", offset, mixed)
		mixed = append([]byte(nil), secondFile...)
		copy(mixed, firstFile[:min(offset, len(firstFile))])
		add("only the end written", offset, mixed)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		flipped := append([]byte(nil), secondFile...)
		offset := rng.IntN(len(secondFile))
		if rng.IntN(2) == 0 { // in a page header or in its first elements
			offset = offset&^(pageBytes-1) + rng.IntN(200)
		}
		flipped[min(offset, len(secondFile)-1)] ^= 1 << rng.IntN(8)
		add("bit flip", offset, flipped)
	}
	t.Run("each", func(t *testing.T) {
		for part := range 8 {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for i := part; i < len(files); i += 8 {
					check(t, files[i].damage, files[i].offset, files[i].content)
				}
			})
		}
	})
	if rejected.Load() < 50 || accepted.Load() < 50 {
		t.Errorf("%d files rejected, %d accepted", rejected.Load(), accepted.Load())
	}
}

// Whatever the file contains, the store starts and can write.
func FuzzFile(f *testing.F) {
	firstFile, secondFile, firstRecords, secondRecords := twoBatches(f)
	f.Add(firstFile)
	f.Add(secondFile)
	f.Add(firstFile[:len(firstFile)/2])
	f.Add([]byte{})
	f.Add([]byte(strings.Repeat("x", 4*pageBytes)))
	f.Fuzz(func(t *testing.T, content []byte) {
		if len(content) > 1<<18 {
			return
		}
		got, errorKind := readAndWrite(t, content)
		// Other records are no error: the fuzzer may have produced valid checksums.
		if errorKind == "" && !maps.Equal(got, firstRecords) && !maps.Equal(got, secondRecords) {
			t.Logf("%d records", len(got))
		}
	})
}
