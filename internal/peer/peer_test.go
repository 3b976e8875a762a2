package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lotushook/policy/membership"
)

var (
	oldKey    = []byte(strings.Repeat("o", minKeyBytes))
	newKey    = []byte(strings.Repeat("n", minKeyBytes))
	testStart = time.Now()
)

// startRouter starts one of the named routers. Routers need a seed address to find each other.
func startRouter(t *testing.T, name string, names []string, keys [][]byte, seeds ...string) (peers *Peers, stop func()) {
	t.Helper()
	settings := membership.DefaultSettings(name, "", uint64(time.Since(testStart)), len(names))
	settings.AllowedNames, settings.IsolatedShare, settings.Seeds = names, 0.5, seeds
	settings.ProbeInterval, settings.AckTimeout = 50e6, 20e6
	peers, err := Listen(Options{Cluster: "x", Listen: "127.0.0.1:0", Membership: settings, Keys: keys, Now: func() int64 { return int64(time.Since(testStart)) }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { peers.Run(ctx); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return peers, stop
}

// waitFor waits until a condition holds, for at most 20 seconds. How long it takes is not checked.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 20 s: %s", condition)
		}
	}
}

func states(peers *Peers) string {
	var states []string
	for _, member := range peers.View().Members {
		states = append(states, member.Name+" "+member.State.String())
	}
	return strings.Join(states, ", ")
}

func sendDatagrams(t *testing.T, address string, datagrams ...[]byte) {
	t.Helper()
	conn, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, datagram := range datagrams {
		if _, err := conn.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
}

// Routers find each other through a seed address and get equal quota shares. All learn that a router leaves, and that
// it joins again.
func TestJoinAndLeave(t *testing.T) {
	names := []string{"a", "b", "c"}
	keys := [][]byte{oldKey}
	a, _ := startRouter(t, "a", names, keys)
	b, stop := startRouter(t, "b", names, keys, a.Address())
	c, _ := startRouter(t, "c", names, keys, a.Address())
	all := "a alive, b alive, c alive"
	waitFor(t, "all know all", func() bool { return states(a) == all && states(b) == all && states(c) == all })
	waitFor(t, "equal shares", func() bool { q := a.View().Quota; return q.IsHolder && q.Share > 0.3333 && q.Share < 0.3334 })
	b.Leave(context.Background())
	stop()
	waitFor(t, "b has left", func() bool { return states(a) == "a alive, b left, c alive" && states(c) == states(a) })
	waitFor(t, "b's share is redistributed", func() bool { return a.View().Quota.Excluded == 1 && c.View().Quota.Excluded == 1 })
	b, _ = startRouter(t, "b", names, keys, c.Address())
	waitFor(t, "b is back", func() bool { return states(a) == all && states(b) == all && states(c) == all })
	waitFor(t, "equal shares again", func() bool { return a.View().Quota.Excluded == 0 && b.View().Quota.IsHolder })
	if counts := a.Counts(); counts.Malformed+counts.Unauthenticated+counts.OtherCluster+counts.OtherVersion+counts.Replayed > 0 {
		t.Errorf("%+v", counts)
	}
}

// Messages without a valid MAC, from another cluster, for another session, of another version, duplicates and
// undecodable messages are rejected and change nothing. Each is counted under its reason.
func TestInvalidMessagesAreRejected(t *testing.T) {
	names := []string{"a", "b"}
	a, _ := startRouter(t, "a", names, [][]byte{oldKey})
	b, _ := startRouter(t, "b", names, [][]byte{oldKey}, a.Address())
	bothAlive := "a alive, b alive"
	waitFor(t, "both know both", func() bool { return states(a) == bothAlive && states(b) == bothAlive })
	spoofed := envelope{Cluster: "x", From: "b", Address: b.Address(), Session: 7, To: a.session, Sequence: 1, Membership: &membershipMessage{Kind: uint8(membership.Ack), Epoch: 1,
		Updates: []wireUpdate{{Name: "b", Address: b.Address(), Epoch: b.View().Members[1].Epoch, Incarnation: 9, State: uint8(membership.Left)}}}}
	forged, err := seal(&spoofed, newKey)
	if err != nil {
		t.Fatal(err)
	}
	spoofed.Cluster = "y"
	foreign, _ := seal(&spoofed, oldKey)
	spoofed.Cluster, spoofed.To = "x", a.session+1
	otherSession, _ := seal(&spoofed, oldKey)
	spoofed.To, spoofed.Membership = a.session, nil
	duplicate, _ := seal(&spoofed, oldKey)
	otherVersion := append([]byte{}, duplicate...)
	otherVersion[2]++
	sendDatagrams(t, a.Address(), forged, foreign, otherSession, duplicate, duplicate, otherVersion, nil, []byte("GET / HTTP/1.1\r\n\r\n"), duplicate[:40], make([]byte, 9000))
	waitFor(t, "all are counted", func() bool {
		counts := a.Counts()
		return counts.Unauthenticated == 2 && counts.OtherCluster == 1 && counts.Outdated >= 1 && counts.Replayed == 1 && counts.OtherVersion == 1 && counts.Malformed == 3
	})
	// Over TCP: an empty stream, too long a message, a truncated message.
	for _, stream := range []string{"", "\xff\xff\xff\xff", "\x00\x00\x00\x09half"} {
		conn, err := net.Dial("tcp", a.Address())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, stream)
		conn.Close()
	}
	waitFor(t, "connections are counted", func() bool { return a.Counts().Malformed == 6 })
	if states(a) != bothAlive || states(b) != bothAlive {
		t.Errorf("%s; %s", states(a), states(b))
	}
}

// A recorded message is rejected when it is sent again, and also after a restart of the receiver, which has a new
// session.
func TestReplay(t *testing.T) {
	a, stop := startRouter(t, "a", []string{"a", "b"}, [][]byte{oldKey})
	message := envelope{Cluster: "x", From: "b", Address: "127.0.0.1:9", Session: 7, To: a.session, Sequence: 1, Membership: &membershipMessage{Kind: uint8(membership.Ping), Epoch: 1,
		Updates: []wireUpdate{{Name: "b", Address: "127.0.0.1:9", Epoch: 1, State: uint8(membership.Alive)}}}}
	sealed, err := seal(&message, oldKey)
	if err != nil {
		t.Fatal(err)
	}
	sendDatagrams(t, a.Address(), sealed, sealed, sealed)
	waitFor(t, "b is known", func() bool { return len(a.View().Members) == 2 && a.Counts().Replayed == 2 })
	stop()
	a, _ = startRouter(t, "a", []string{"a", "b"}, [][]byte{oldKey})
	sendDatagrams(t, a.Address(), sealed)
	waitFor(t, "the message of the earlier session is counted", func() bool { return a.Counts().Outdated == 1 })
	if states(a) != "a alive" {
		t.Error(states(a))
	}
}

// A flood of unauthenticated datagrams is read at a limited rate: the rest stays in the socket, or is dropped there.
func TestDatagramFlood(t *testing.T) {
	names := []string{"a", "b"}
	a, _ := startRouter(t, "a", names, [][]byte{oldKey})
	garbage := make([][]byte, 20000)
	for i := range garbage {
		garbage[i] = append([]byte{magic[0], magic[1], protocolVersion}, make([]byte, 1000)...)
	}
	startedAt := time.Now()
	sendDatagrams(t, a.Address(), garbage...)
	waitFor(t, "some are counted", func() bool { return a.Counts().Unauthenticated > 0 })
	b, _ := startRouter(t, "b", names, [][]byte{oldKey}, a.Address())
	waitFor(t, "a and b find each other after the flood", func() bool { return states(a) == "a alive, b alive" && states(b) == states(a) })
	if count, limit := a.Counts().Unauthenticated, uint64(time.Since(startedAt)/readSlot+2)*maxDatagramsPerSlot; count > limit {
		t.Errorf("%d datagrams read, expected at most %d", count, limit)
	}
}

// A key is replaced on one router after the other, and at no time does a router reject the other's messages.
func TestKeysChange(t *testing.T) {
	names := []string{"a", "b"}
	a, _ := startRouter(t, "a", names, [][]byte{oldKey})
	b, _ := startRouter(t, "b", names, [][]byte{oldKey}, a.Address())
	bothAlive := "a alive, b alive"
	waitFor(t, "both know both", func() bool { return states(a) == bothAlive && states(b) == bothAlive })
	for _, keys := range [][][]byte{{oldKey, newKey}, {newKey, oldKey}, {newKey}} {
		a.SetKeys(keys)
		before := a.Counts().Accepted + b.Counts().Accepted
		waitFor(t, "messages are accepted while only a has changed its keys", func() bool { return a.Counts().Accepted+b.Counts().Accepted > before+20 })
		b.SetKeys(keys)
		// On a slow machine, messages that b signed with its previous key may still be unread. a must read them before
		// it drops that key.
		beforeA, beforeB := a.Counts().Accepted, b.Counts().Accepted
		waitFor(t, "messages are accepted with the same keys", func() bool { return a.Counts().Accepted > beforeA+20 && b.Counts().Accepted > beforeB+20 })
	}
	if rejected := a.Counts().Unauthenticated + b.Counts().Unauthenticated; rejected > 0 || states(a) != bothAlive || states(b) != bothAlive {
		t.Errorf("%d messages rejected; %s; %s", rejected, states(a), states(b))
	}
}

// Messages that are too long for a datagram are sent over TCP.
func TestLongMessages(t *testing.T) {
	var names []string
	for i := range 60 {
		names = append(names, fmt.Sprintf("a-router-with-a-long-name-in-a-hall-%02d", i))
	}
	a, _ := startRouter(t, names[0], names, [][]byte{oldKey})
	var updates []wireUpdate
	for i, name := range names[2:] {
		updates = append(updates, wireUpdate{Name: name, Address: fmt.Sprintf("127.0.9.%d:9", i), Epoch: 1, State: uint8(membership.Alive)})
	}
	sealed, err := seal(&envelope{Cluster: "x", From: names[2], Address: "127.0.9.0:9", Session: 7, To: a.session, Sequence: 1, Membership: &membershipMessage{Kind: uint8(membership.StateReply), Epoch: 1, Updates: updates}}, oldKey)
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(a.Address())
	if err := a.sendOverConnection(address, sealed); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "all are known", func() bool { return len(a.View().Members) == 59 })
	b, _ := startRouter(t, names[1], names, [][]byte{oldKey}, a.Address())
	waitFor(t, "a joining router knows all", func() bool { return len(b.View().Members) == 60 })
	if b.Counts().Connections == 0 {
		t.Error("b received no message over TCP")
	}
}

func TestReadKeys(t *testing.T) {
	key := strings.Repeat("ab", minKeyBytes)
	for _, test := range []struct {
		text      string
		keys      int
		errorText string
	}{
		{key, 1, ""}, {"# new\n" + key + "\n\n" + strings.Repeat("cd", 40) + "\n", 2, ""}, {"", 0, "no key"}, {key + "\n" + key, 0, "twice"},
		{"abcd", 0, ":1: not 64"}, {"zz" + key, 0, ":1: not 64"}, {key + "\n" + key + "00\n" + key + "11", 0, "3 keys"},
	} {
		path := filepath.Join(t.TempDir(), "keys")
		if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := ReadKeys(path)
		if len(keys) != test.keys || (err == nil) != (test.errorText == "") || err != nil && (!strings.Contains(err.Error(), test.errorText) || strings.Contains(err.Error(), key)) {
			t.Errorf("%q: %d keys, %v", test.text, len(keys), err)
		}
	}
	if _, err := ReadKeys("/nowhere/at/all"); err == nil {
		t.Error("no error for a missing file")
	}
}

// Any text with a valid MAC either decodes to an envelope within the size bounds, or is rejected.
func FuzzOpen(f *testing.F) {
	valid, err := encoder.Marshal(&envelope{Cluster: "x", From: "b", Address: "127.0.0.1:9", Session: 7, Sequence: 1, Membership: &membershipMessage{Kind: 1, Updates: []wireUpdate{{Name: "c", Address: "y", Epoch: 1, State: 1}},
		Vote: &wireVote{NamesHash: 1, Excluded: []byte{1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xa1, 0x01, 0x9f, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		sealed := append(append([]byte{magic[0], magic[1], protocolVersion}, computeMAC(oldKey, encoded)...), encoded...)
		message, err := open(sealed, [][]byte{newKey, oldKey})
		if err != nil {
			return
		}
		if len(message.From) == 0 || len(message.From) > maxNameBytes || len(message.Address) > maxAddressBytes || message.Membership != nil && len(message.Membership.Updates) > 1<<12 {
			t.Errorf("%+v", message)
		}
		if message.Membership != nil {
			message.decodeMembership()
		}
	})
}
