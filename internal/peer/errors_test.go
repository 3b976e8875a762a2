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

// Each error type has a kind and a hint, also when it is wrapped, and its cause can be found with errors.Is. A key file's
// contents are secret and must not appear in an error.
func TestErrorsHaveKindAndHint(t *testing.T) {
	_, missing := ReadKeys(filepath.Join(t.TempDir(), "none"))
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte("abcd"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, malformed := ReadKeys(path)
	_, listen := Listen(Options{Listen: "nowhere"})
	seen := map[string]bool{}
	for _, err := range []error{missing, malformed, listen, &CorruptError{"n1", 3}, &MissingEntryError{From: "n1", Entry: crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "s"}}} {
		typed := operr.Find(fmt.Errorf("router: %w", err))
		if typed == nil || typed.Kind() == "" || strings.ContainsAny(typed.Kind(), " \n") || len(typed.Hint()) < 20 || strings.Contains(typed.Error()+typed.Hint(), "\n") {
			t.Errorf("%T: %v", err, err)
			continue
		}
		seen[typed.Kind()] = true
	}
	if len(seen) != 4 || !errors.Is(missing, fs.ErrNotExist) || strings.Contains(malformed.Error(), "abcd") {
		t.Errorf("%v; %v; %v", seen, missing, malformed)
	}
}

// A catch-up piece with a wrong checksum is rejected, and the same piece is accepted once it is sent unchanged.
func TestCorruptPieceIsRejected(t *testing.T) {
	receiver, receiverState, stop := startStateRouter(t, "a", []string{"a", "b"})
	stop() // the test calls the functions of Run's goroutine itself
	_, senderState, _ := startStateRouter(t, "b", []string{"a", "b"})
	senderState.Learn(crdt.Entry{Kind: crdt.SessionCommit, A: "1", B: "s", At: 9})
	request := &stateRequest{Recovering: true}
	for range shardCount {
		request.Digests, request.UpTo = append(request.Digests, 0), append(request.UpTo, nil)
	}
	sender := &Peers{options: Options{State: senderState}}
	var err error
	if sender.replication, err = newReplication(senderState.now()); err != nil {
		t.Fatal(err)
	}
	piece := sender.answerRequest(senderState.now(), "a", request)
	receiver.replication.requestedAt = 1
	piece.Runs[0].Entries[0].At++
	if receiver.receivePiece(receiverState.now(), "b", piece); commitPosition(receiverState, "s") != 0 || receiver.Counts().CorruptPieces != 1 {
		t.Errorf("corrupt piece: commit at %d, expected none; %d corrupt pieces counted, expected 1", commitPosition(receiverState, "s"), receiver.Counts().CorruptPieces)
	}
	receiver.replication.requestedAt = 1
	piece.Runs[0].Entries[0].At--
	if receiver.receivePiece(receiverState.now(), "b", piece); commitPosition(receiverState, "s") != 9 || !receiver.replication.caughtUp {
		t.Errorf("valid piece: commit at %d, expected 9", commitPosition(receiverState, "s"))
	}
	// An entry that another member has known for longer than missingAfter and that is missing here is merged, and counted
	// once.
	overdue := []wireEntry{{Kind: 1, A: "1", B: "t", At: 7, Name: "c", Epoch: 1, Seq: 1, Age: int64(2 * missingAfter)}}
	receiver.receiveCheck("b", overdue)
	receiver.receiveCheck("b", overdue)
	if commitPosition(receiverState, "t") != 7 || receiver.Counts().MissingEntries != 1 {
		t.Errorf("commit at %d, expected 7; %d missing entries counted, expected 1", commitPosition(receiverState, "t"), receiver.Counts().MissingEntries)
	}
}
