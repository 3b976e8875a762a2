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
	oldKey = []byte(strings.Repeat("o", minKeyBytes))
	newKey = []byte(strings.Repeat("n", minKeyBytes))
	began  = time.Now()
)

// router starts one of some; those that are to find each other need a seed.
func router(t *testing.T, name string, of []string, keys [][]byte, seeds ...string) (p *Peers, stop func()) {
	t.Helper()
	s := membership.DefaultSettings(name, "", uint64(time.Since(began)), len(of))
	s.AllowedNames, s.IsolatedShare, s.Seeds = of, 0.5, seeds
	s.ProbeInterval, s.AckTimeout = 50e6, 20e6
	p, err := Listen(Options{Cluster: "x", Listen: "127.0.0.1:0", Member: s, Keys: keys, Now: func() int64 { return int64(time.Since(began)) }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return p, stop
}

// until waits for something; how long that takes says nothing.
func until(t *testing.T, what string, hold func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !hold(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

func states(p *Peers) string {
	var all []string
	for _, m := range p.View().Members {
		all = append(all, m.Name+" "+m.State.String())
	}
	return strings.Join(all, ", ")
}

func say(t *testing.T, to string, raw ...[]byte) {
	t.Helper()
	c, err := net.Dial("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, r := range raw {
		if _, err := c.Write(r); err != nil {
			t.Fatal(err)
		}
	}
}

// Routers find each other through a seed, hold even parts, and hear of one that leaves and of one that comes back.
func TestFindAndLeave(t *testing.T) {
	names := []string{"a", "b", "c"}
	keys := [][]byte{oldKey}
	a, _ := router(t, "a", names, keys)
	b, stop := router(t, "b", names, keys, a.Address())
	c, _ := router(t, "c", names, keys, a.Address())
	all := "a alive, b alive, c alive"
	until(t, "all know all", func() bool { return states(a) == all && states(b) == all && states(c) == all })
	until(t, "even parts", func() bool { f := a.View().Quota; return f.IsHolder && f.Share > 0.3333 && f.Share < 0.3334 })
	b.Leave(context.Background())
	stop()
	until(t, "b has left", func() bool { return states(a) == "a alive, b left, c alive" && states(c) == states(a) })
	until(t, "b is divided", func() bool { return a.View().Quota.Excluded == 1 && c.View().Quota.Excluded == 1 })
	b, _ = router(t, "b", names, keys, c.Address())
	until(t, "b is back", func() bool { return states(a) == all && states(b) == all && states(c) == all })
	until(t, "even parts again", func() bool { return a.View().Quota.Excluded == 0 && b.View().Quota.IsHolder })
	if n := a.Counts(); n.Garbage+n.Strangers+n.Foreign+n.Versions+n.Replayed > 0 {
		t.Errorf("%+v", n)
	}
}

// Who has no key, or is of another cluster, changes nothing; each such message is counted by what is wrong with it.
func TestStrangers(t *testing.T) {
	names := []string{"a", "b"}
	a, _ := router(t, "a", names, [][]byte{oldKey})
	b, _ := router(t, "b", names, [][]byte{oldKey}, a.Address())
	both := "a alive, b alive"
	until(t, "both know both", func() bool { return states(a) == both && states(b) == both })
	kill := envelope{Cluster: "x", From: "b", Address: b.Address(), Session: 7, To: a.session, Count: 1, Body: &body{Kind: uint8(membership.Ack), Boot: 1,
		News: []update{{Name: "b", Address: b.Address(), Boot: b.View().Members[1].Epoch, Incarnation: 9, State: uint8(membership.Left)}}}}
	forged, err := seal(&kill, newKey)
	if err != nil {
		t.Fatal(err)
	}
	kill.Cluster = "y"
	foreign, _ := seal(&kill, oldKey)
	kill.Cluster, kill.To = "x", a.session+1
	early, _ := seal(&kill, oldKey)
	kill.To, kill.Body = a.session, nil
	twice, _ := seal(&kill, oldKey)
	version := append([]byte{}, twice...)
	version[2]++
	say(t, a.Address(), forged, foreign, early, twice, twice, version, nil, []byte("GET / HTTP/1.1\r\n\r\n"), twice[:40], make([]byte, 9000))
	until(t, "all are counted", func() bool {
		n := a.Counts()
		return n.Strangers == 2 && n.Foreign == 1 && n.Outdated >= 1 && n.Replayed == 1 && n.Versions == 1 && n.Garbage == 3
	})
	for _, text := range []string{"", "\xff\xff\xff\xff", "\x00\x00\x00\x09half"} { // over TCP: nothing, too long, half
		c, err := net.Dial("tcp", a.Address())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, text)
		c.Close()
	}
	until(t, "connections are counted", func() bool { return a.Counts().Garbage == 6 })
	if states(a) != both || states(b) != both {
		t.Errorf("%s; %s", states(a), states(b))
	}
}

// What was recorded before a restart is nothing to the process after it, and what was had is not taken again.
func TestReplay(t *testing.T) {
	a, stop := router(t, "a", []string{"a", "b"}, [][]byte{oldKey})
	e := envelope{Cluster: "x", From: "b", Address: "127.0.0.1:9", Session: 7, To: a.session, Count: 1, Body: &body{Kind: uint8(membership.Ping), Boot: 1,
		News: []update{{Name: "b", Address: "127.0.0.1:9", Boot: 1, State: uint8(membership.Alive)}}}}
	raw, err := seal(&e, oldKey)
	if err != nil {
		t.Fatal(err)
	}
	say(t, a.Address(), raw, raw, raw)
	until(t, "b is known", func() bool { return len(a.View().Members) == 2 && a.Counts().Replayed == 2 })
	stop()
	a, _ = router(t, "a", []string{"a", "b"}, [][]byte{oldKey})
	say(t, a.Address(), raw)
	until(t, "it is seen to be of another time", func() bool { return a.Counts().Outdated == 1 })
	if states(a) != "a alive" {
		t.Error(states(a))
	}
}

// A flood of garbage takes some of the core's time, and no more: what is beyond is left in the socket.
func TestFlood(t *testing.T) {
	names := []string{"a", "b"}
	a, _ := router(t, "a", names, [][]byte{oldKey})
	garbage := make([][]byte, 20000)
	for i := range garbage {
		garbage[i] = append([]byte{magic[0], magic[1], version}, make([]byte, 1000)...)
	}
	from := time.Now()
	say(t, a.Address(), garbage...)
	until(t, "some are counted", func() bool { return a.Counts().Strangers > 0 })
	b, _ := router(t, "b", names, [][]byte{oldKey}, a.Address())
	until(t, "they find each other after it", func() bool { return states(a) == "a alive, b alive" && states(b) == states(a) })
	if n, most := a.Counts().Strangers, uint64(time.Since(from)/slot+2)*perSlot; n > most {
		t.Errorf("%d looked at, at most %d", n, most)
	}
}

// One key is replaced by another without a moment in which they don't understand each other.
func TestKeysChange(t *testing.T) {
	names := []string{"a", "b"}
	a, _ := router(t, "a", names, [][]byte{oldKey})
	b, _ := router(t, "b", names, [][]byte{oldKey}, a.Address())
	both := "a alive, b alive"
	until(t, "both know both", func() bool { return states(a) == both && states(b) == both })
	for _, keys := range [][][]byte{{oldKey, newKey}, {newKey, oldKey}, {newKey}} {
		a.SetKeys(keys)
		had := a.Counts().Taken + b.Counts().Taken
		until(t, "they go on while one of them has changed", func() bool { return a.Counts().Taken+b.Counts().Taken > had+20 })
		b.SetKeys(keys)
		// What b sealed with the key before has to be read, however slow the machine is, before a lets go of that key.
		hadA, hadB := a.Counts().Taken, b.Counts().Taken
		until(t, "they go on with the same keys", func() bool { return a.Counts().Taken > hadA+20 && b.Counts().Taken > hadB+20 })
	}
	if n := a.Counts().Strangers + b.Counts().Strangers; n > 0 || states(a) != both || states(b) != both {
		t.Errorf("%d not understood; %s; %s", n, states(a), states(b))
	}
}

// What is too long for a datagram goes by a connection.
func TestLongMessages(t *testing.T) {
	var names []string
	for i := range 60 {
		names = append(names, fmt.Sprintf("a-router-with-a-long-name-in-a-hall-%02d", i))
	}
	a, _ := router(t, names[0], names, [][]byte{oldKey})
	var news []update
	for i, name := range names[2:] {
		news = append(news, update{Name: name, Address: fmt.Sprintf("127.0.9.%d:9", i), Boot: 1, State: uint8(membership.Alive)})
	}
	raw, err := seal(&envelope{Cluster: "x", From: names[2], Address: "127.0.9.0:9", Session: 7, To: a.session, Count: 1, Body: &body{Kind: uint8(membership.StateReply), Boot: 1, News: news}}, oldKey)
	if err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(a.Address())
	if err := a.connectAndSend(at, raw); err != nil {
		t.Fatal(err)
	}
	until(t, "all are known", func() bool { return len(a.View().Members) == 59 })
	b, _ := router(t, names[1], names, [][]byte{oldKey}, a.Address())
	until(t, "one that joins hears of all", func() bool { return len(b.View().Members) == 60 })
	if b.Counts().Connection == 0 {
		t.Error("nothing came by a connection")
	}
}

func TestReadKeys(t *testing.T) {
	hex := strings.Repeat("ab", minKeyBytes)
	for _, c := range []struct {
		text string
		keys int
		says string
	}{
		{hex, 1, ""}, {"# new\n" + hex + "\n\n" + strings.Repeat("cd", 40) + "\n", 2, ""}, {"", 0, "no key"}, {hex + "\n" + hex, 0, "twice"},
		{"abcd", 0, ":1: not 64"}, {"zz" + hex, 0, ":1: not 64"}, {hex + "\n" + hex + "00\n" + hex + "11", 0, "3 keys"},
	} {
		path := filepath.Join(t.TempDir(), "keys")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := ReadKeys(path)
		if len(keys) != c.keys || (err == nil) != (c.says == "") || err != nil && (!strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), hex)) {
			t.Errorf("%q: %d keys, %v", c.text, len(keys), err)
		}
	}
	if _, err := ReadKeys("/nowhere/at/all"); err == nil {
		t.Error("a file that is not there was read")
	}
}

// Whatever comes under a key is of bounded size, or is not taken.
func FuzzOpen(f *testing.F) {
	raw, err := enc.Marshal(&envelope{Cluster: "x", From: "b", Address: "127.0.0.1:9", Session: 7, Count: 1, Body: &body{Kind: 1, News: []update{{Name: "c", Address: "y", Boot: 1, State: 1}},
		Row: &promise{List: 1, Gone: []byte{1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xa1, 0x01, 0x9f, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		sealed := append(append([]byte{magic[0], magic[1], version}, mac(oldKey, text)...), text...)
		e, err := open(sealed, [][]byte{newKey, oldKey})
		if err != nil {
			return
		}
		if len(e.From) == 0 || len(e.From) > maxNameBytes || len(e.Address) > maxAddressBytes || e.Body != nil && len(e.Body.News) > 1<<12 {
			t.Errorf("%+v", e)
		}
		if e.Body != nil {
			e.message()
		}
	})
}
