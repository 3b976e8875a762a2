package crdt

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// Whatever is added, lost and acknowledged in whatever order: queues are bounded, a wait ends once and by a word only, what is
// waited for goes first, no batch goes to its own source or to somebody who acknowledged it, and in the end nothing is open.
//
//nolint:gocognit,funlen // one history or table of cases, told in order
func TestTeller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := DefaultBroadcasterSettings()
		set.MaxQueuedEntries, set.MaxOpenBatches, set.MaxBatchBytes, set.MaxRecipients = 6, 3, 150, 2
		tell, err := NewBroadcaster(set)
		if err != nil {
			t.Fatal(err)
		}
		others, now, wait := []string{"b", "c", "d"}, clock.Nanos(0), uint64(0)
		ended, acked, times := map[uint64]bool{}, map[string]bool{}, map[string]int{}
		var way []Delivery
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += clock.Nanos(rapid.IntRange(0, 20e6).Draw(t, "wait"))
			switch e := (Entry{Kind: SessionCommit, Subject: "1", Qualifier: fmt.Sprint(now), Origin: Origin{"a", 1}, Seq: 1}); rapid.IntRange(0, 4).Draw(t, "do") {
			case 0:
				wait++
				tell.Add(now, e, wait)
			case 1:
				e.Kind = ServerPosition
				tell.Add(now, e, 0)
			case 2:
				e.Origin.Name = "b"
				tell.Forward(now, e, "b")
			default:
				if len(way) > 0 {
					i := rapid.IntRange(0, len(way)-1).Draw(t, "which")
					acked[fmt.Sprint(way[i].To, way[i].BatchNumber)] = true
					for _, n := range tell.Acknowledge(way[i].To, way[i].BatchNumber, nil) {
						if ended[n] {
							t.Fatalf("wait %d ended twice", n)
						}
						ended[n] = true
					}
				}
			}
			for _, x := range tell.Deliveries(now, others) {
				key := fmt.Sprint(x.To, x.BatchNumber)
				if times[key]++; acked[key] || times[key] > set.MaxAttempts || x.AwaitedCount > len(x.Entries) || len(x.Entries) == 0 {
					t.Fatalf("%+v, acknowledged %v, told %d times", x, acked[key], times[key])
				}
				for _, e := range x.Entries {
					if e.Origin.Name == x.To || e.Age < 0 {
						t.Fatalf("%+v goes to %s", e, x.To)
					}
				}
				way = append(way, x)
			}
			if entries, batches := tell.Size(); entries > set.MaxQueuedEntries || batches > set.MaxOpenBatches {
				t.Fatalf("%d wait, %d are open", entries, batches)
			}
		}
		for range 200 {
			now += set.MaxRetryDelay
			tell.Deliveries(now, others)
		}
		if entries, batches := tell.Size(); entries+batches > 0 {
			t.Fatalf("%d wait, %d are open for good", entries, batches)
		}
		if at, ok := tell.Due(); ok {
			t.Fatalf("due at %d", at)
		}
	})
}

// Ten are fed at a time, an eleventh when one has all or has stopped asking; all together get no more bytes than there are;
// who comes back asks its own hall first.
//
//nolint:gocognit // one history or table of cases, told in order
func TestFeeder(t *testing.T) {
	f, err := NewCatchUpServer(DefaultCatchUpSettings(), 0)
	if err != nil {
		t.Fatal(err)
	}
	now, gave, turned := clock.Nanos(0), 0, 0
	for round := range 200 {
		now += second / 100
		for i := range 12 {
			who := fmt.Sprint("n", i)
			room, wait := f.Admit(now, who, true)
			if room == 0 && wait <= 0 || f.ClientCount() > 10 {
				t.Fatalf("%s gets nothing and may come after %d; %d are fed", who, wait, f.ClientCount())
			}
			if i >= 10 && room > 0 {
				t.Fatalf("%s is fed beside ten, round %d", who, round)
			}
			if room == 0 {
				turned++
				continue
			}
			gave += room
			f.Served(who, room, false)
		}
	}
	if most := 2*f.settings.BytesPerSecond + f.settings.MaxPieceBytes; gave > most || gave < most/2 || turned == 0 {
		t.Errorf("%d bytes in 2 s, at most %d; %d turned away", gave, most, turned)
	}
	f.Served("n3", 0, true)
	if now += second; f.ClientCount() != 9 {
		t.Errorf("%d fed", f.ClientCount())
	}
	if room, _ := f.Admit(now, "n11", true); room == 0 {
		t.Error("the eleventh gets nothing though there is a place")
	}
	if now += 3 * second; true {
		if room, _ := f.Admit(now, "late", true); room == 0 || f.ClientCount() != 1 {
			t.Errorf("room %d; %d are fed after all others have stopped", room, f.ClientCount())
		}
	}
	list := []PeerInZone{{"a", "x"}, {"b", "y"}, {"c", "x"}, {"d", "z"}}
	for tries, halls := range []string{"x", "x", "yz", "yz", "x"} {
		if of, _ := ChoosePeer(list, "x", true, tries, 5); of.Zone != halls[:1] && of.Zone != halls[len(halls)-1:] {
			t.Errorf("after %d tries %v", tries, of)
		}
	}
	seen := map[string]bool{}
	for turn := range 4 {
		of, ok := ChoosePeer(list, "x", false, 0, turn)
		seen[of.Name] = ok
	}
	if _, ok := ChoosePeer(nil, "x", true, 0, 0); ok || len(seen) != 4 {
		t.Errorf("%v, %v", seen, ok)
	}
}
