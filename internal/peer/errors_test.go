package peer

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lotushook/internal/operr"
	"lotushook/policy/crdt"
)

// Each type says what it is and what to do, through whatever it was wrapped in; causes stay reachable.
func TestErrorsHaveRemedies(t *testing.T) {
	_, keys := ReadKeys(filepath.Join(t.TempDir(), "none"))
	short := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(short, []byte("abcd"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, line := ReadKeys(short)
	_, place := Listen(Options{Listen: "nowhere"})
	seen := map[string]bool{}
	for _, err := range []error{keys, line, place, &CorruptError{"n1", 3}, &DiffersError{From: "n1", Entry: crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "s"}}} {
		e := operr.Find(fmt.Errorf("router: %w", err))
		if e == nil || e.Kind() == "" || strings.ContainsAny(e.Kind(), " \n") || len(e.Hint()) < 20 || strings.Contains(e.Error()+e.Hint(), "\n") {
			t.Errorf("%T: %v", err, err)
			continue
		}
		seen[e.Kind()] = true
	}
	if len(seen) != 4 || !errors.Is(keys, fs.ErrNotExist) || strings.Contains(line.Error(), "abcd") {
		t.Errorf("%v; %v; %v", seen, keys, line)
	}
}

// A piece that is not what it says is not taken, and what its sender is asked for next is the same again.
func TestSpoiledPiece(t *testing.T) {
	a, sa, stop := sharer(t, "a", []string{"a", "b"})
	stop() // its goroutine's part is this test's now
	_, sb, _ := sharer(t, "b", []string{"a", "b"})
	sb.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "s", At: 9})
	w := &want{Hungry: true}
	for range pieces {
		w.Digests, w.Upto = append(w.Digests, 0), append(w.Upto, nil)
	}
	b := &Peers{opt: Options{State: sb}}
	var err error
	if b.spread, err = newSpread(sb.now()); err != nil {
		t.Fatal(err)
	}
	f := b.answerState(sb.now(), "a", w)
	a.spread.requestedAt = 1
	f.Runs[0].Entries[0].At++
	if a.takeFeed(sa.now(), "b", f); commit(sa, "s") != 0 || a.Counts().Malformed != 1 {
		t.Errorf("taken: %d; %d spoiled", commit(sa, "s"), a.Counts().Malformed)
	}
	a.spread.requestedAt = 1
	f.Runs[0].Entries[0].At--
	if a.takeFeed(sa.now(), "b", f); commit(sa, "s") != 9 || !a.spread.caught {
		t.Errorf("not taken: %d", commit(sa, "s"))
	}
	// What another has known for long and lacks here is taken, and counted once.
	late := []entry{{Kind: 1, A: "1", B: "t", At: 7, Name: "c", Boot: 1, Seq: 1, Age: int64(2 * differFor)}}
	a.takeCheck("b", late)
	a.takeCheck("b", late)
	if commit(sa, "t") != 7 || a.Counts().Differed != 1 {
		t.Errorf("%d; %d differed", commit(sa, "t"), a.Counts().Differed)
	}
}
