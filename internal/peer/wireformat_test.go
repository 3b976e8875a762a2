package peer

import (
	"bytes"
	"encoding/hex"
	"testing"

	"lotushook/policy/crdt"
	"lotushook/policy/membership"
	"lotushook/policy/quotalease"
)

// The wire format must stay the same byte for byte when identifiers are renamed, as routers of the same version must
// understand each other.
func TestWireFormat(t *testing.T) {
	message := &membership.Message{Kind: membership.Ack, From: "n1", Address: "127.0.0.1:7001", Epoch: 3, To: "127.0.0.1:7002", Seq: 4, Target: "n2",
		TargetAddress: "127.0.0.1:7003", Isolated: true,
		Updates: []membership.Update{{Name: "n3", Address: "127.0.0.1:7004", Epoch: 5, Incarnation: 6, State: membership.Suspect, ReportedBy: "n4"}},
		Vote:    &quotalease.Vote{NamesHash: 7, Granted: true, Excluded: []byte{1, 2}}}
	entry := &crdt.Entry{Kind: crdt.FeedCursor, A: "feed", B: "subscriber", Born: 8, At: 9, Acked: 10, Count: 11, Server: "s1",
		From: crdt.Origin{Name: "n5", Boot: 12}, Seq: 13, Age: 14}
	for name, sent := range map[string]struct {
		envelope *envelope
		recorded string
	}{
		"membership": {&envelope{Cluster: "x", From: "n1", Address: "127.0.0.1:7001", Session: 1, To: 2, Sequence: 3, Membership: encodeMembership(message)},
			"6c6802e509d5747b1a2ba1836eead5b1f70444a701617802626e31036e3132372e302e302e313a3730303104010502060307a801030203030404626e32056e3132372e302e302e313a3730303306f5078186626e336e3132372e302e302e313a37303034050602626e34088307f5420102"},
		"state": {&envelope{Cluster: "x", From: "n1", Address: "127.0.0.1:7001", Session: 1, To: 2, Sequence: 4, State: &stateMessage{
			Batch:   &batch{Number: 1, ForwardCount: 1, Entries: []wireEntry{encodeEntry(entry)}},
			Acks:    []ack{{Number: 2, Missing: []byte{3}}},
			Request: &stateRequest{FirstShard: 1, Digests: []uint64{2}, Origins: []wireOrigin{{Name: "n5", Epoch: 12}}, UpTo: [][]uint64{{3}}, Recovering: true},
			Piece:   &piece{FirstShard: 1, ShardCount: 2, Runs: []wireRun{{Shard: 3, Name: "n5", Epoch: 12, After: 4, UpTo: 5, Entries: []wireEntry{encodeEntry(entry)}}}, Sum: 6, More: true, RetryAfterMS: 7},
			Check:   []wireEntry{encodeEntry(entry)}}},
			"6c68021286bcb9fd0066e8ce00cee9a2348e2ca701617802626e31036e3132372e302e302e313a3730303104010502060408a50b830101818c0764666565646a7375627363726962657208090b627331626e350c0d0e0a0c81820241030f818c0764666565646a7375627363726962657208090b627331626e350c0d0e0a10850181028182626e350c818103f511860102818903626e350c0405000000818c0764666565646a7375627363726962657208090b627331626e350c0d0e0a06f507"},
	} {
		key := bytes.Repeat([]byte{1}, 32)
		sealed, err := seal(sent.envelope, key)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(sealed); got != sent.recorded {
			t.Errorf("%s: %s, recorded %s", name, got, sent.recorded)
		}
		if _, err := open(sealed, [][]byte{key}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
