package crdt

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotushook/policy/clock"
)

// Entries are added, batches are lost, and acknowledgements arrive in any order. The queue and the number of open
// batches stay within their limits, a wait ends once and only by an acknowledgement, awaited entries are sent first, no
// batch is sent to its own source or to a member that has acknowledged it, and in the end no batch stays open.
//
//nolint:gocognit,funlen // one linear scenario or table of cases
func TestBroadcaster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultBroadcasterSettings()
		settings.MaxQueuedEntries, settings.MaxOpenBatches, settings.MaxBatchBytes, settings.MaxRecipients = 6, 3, 150, 2
		broadcaster, err := NewBroadcaster(settings)
		if err != nil {
			t.Fatal(err)
		}
		members, now, waitNumber := []string{"b", "c", "d"}, clock.Nanos(0), uint64(0)
		ended, acked, sends := map[uint64]bool{}, map[string]bool{}, map[string]int{}
		var sent []Delivery
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += clock.Nanos(rapid.IntRange(0, 20e6).Draw(t, "wait"))
			switch entry := (Entry{Kind: SessionCommit, A: "1", B: fmt.Sprint(now), From: Origin{"a", 1}, Seq: 1}); rapid.IntRange(0, 4).Draw(t, "do") {
			case 0:
				waitNumber++
				broadcaster.Add(now, entry, waitNumber)
			case 1:
				entry.Kind = ServerPosition
				broadcaster.Add(now, entry, 0)
			case 2:
				entry.From.Name = "b"
				broadcaster.Forward(now, entry, "b")
			default:
				if len(sent) > 0 {
					index := rapid.IntRange(0, len(sent)-1).Draw(t, "which")
					acked[fmt.Sprint(sent[index].To, sent[index].BatchNumber)] = true
					for _, number := range broadcaster.Acknowledge(sent[index].To, sent[index].BatchNumber, nil) {
						if ended[number] {
							t.Fatalf("wait %d ended twice", number)
						}
						ended[number] = true
					}
				}
			}
			for _, delivery := range broadcaster.Deliveries(now, members) {
				key := fmt.Sprint(delivery.To, delivery.BatchNumber)
				if sends[key]++; acked[key] || sends[key] > settings.MaxAttempts || delivery.AwaitedCount > len(delivery.Entries) || len(delivery.Entries) == 0 {
					t.Fatalf("%+v, acknowledged %v, sent %d times", delivery, acked[key], sends[key])
				}
				for _, entry := range delivery.Entries {
					if entry.From.Name == delivery.To || entry.Age < 0 {
						t.Fatalf("%+v is sent to %s", entry, delivery.To)
					}
				}
				sent = append(sent, delivery)
			}
			if entries, batches := broadcaster.Size(); entries > settings.MaxQueuedEntries || batches > settings.MaxOpenBatches {
				t.Fatalf("%d queued entries, %d open batches", entries, batches)
			}
		}
		for range 200 {
			now += settings.MaxRetryDelay
			broadcaster.Deliveries(now, members)
		}
		if entries, batches := broadcaster.Size(); entries+batches > 0 {
			t.Fatalf("%d entries stay queued, %d batches stay open", entries, batches)
		}
		if at, ok := broadcaster.Due(); ok {
			t.Fatalf("due at %d", at)
		}
	})
}

// At most ten clients are served at a time; an eleventh is admitted when one of them has caught up or has stopped
// asking. All clients together receive no more than the configured rate. A router that restarts asks the members of its
// own zone first.
//
//nolint:gocognit // one linear scenario or table of cases
func TestCatchUpServer(t *testing.T) {
	server, err := NewCatchUpServer(DefaultCatchUpSettings(), 0)
	if err != nil {
		t.Fatal(err)
	}
	now, sentBytes, rejected := clock.Nanos(0), 0, 0
	for round := range 200 {
		now += second / 100
		for i := range 12 {
			client := fmt.Sprint("n", i)
			maxBytes, retryAfter := server.Admit(now, client, true)
			if maxBytes == 0 && retryAfter <= 0 || server.ClientCount() > 10 {
				t.Fatalf("%s is not admitted and may retry after %d; %d clients are served", client, retryAfter, server.ClientCount())
			}
			if i >= 10 && maxBytes > 0 {
				t.Fatalf("%s is served in addition to ten clients, round %d", client, round)
			}
			if maxBytes == 0 {
				rejected++
				continue
			}
			sentBytes += maxBytes
			server.Served(client, maxBytes, false)
		}
	}
	if limit := 2*server.settings.BytesPerSecond + server.settings.MaxPieceBytes; sentBytes > limit || sentBytes < limit/2 || rejected == 0 {
		t.Errorf("%d bytes in 2 s, limit %d; %d rejected", sentBytes, limit, rejected)
	}
	server.Served("n3", 0, true)
	if now += second; server.ClientCount() != 9 {
		t.Errorf("%d clients served, want 9", server.ClientCount())
	}
	if maxBytes, _ := server.Admit(now, "n11", true); maxBytes == 0 {
		t.Error("the eleventh client is rejected although a slot is free")
	}
	if now += 3 * second; true {
		if maxBytes, _ := server.Admit(now, "late", true); maxBytes == 0 || server.ClientCount() != 1 {
			t.Errorf("%d bytes admitted; %d clients served after all others have stopped", maxBytes, server.ClientCount())
		}
	}
	peers := []PeerInZone{{"a", "x"}, {"b", "y"}, {"c", "x"}, {"d", "z"}}
	for tries, zones := range []string{"x", "x", "yz", "yz", "x"} {
		if peer, _ := ChoosePeer(peers, "x", true, tries, 5); peer.Zone != zones[:1] && peer.Zone != zones[len(zones)-1:] {
			t.Errorf("after %d failures %v", tries, peer)
		}
	}
	seen := map[string]bool{}
	for turn := range 4 {
		peer, ok := ChoosePeer(peers, "x", false, 0, turn)
		seen[peer.Name] = ok
	}
	if _, ok := ChoosePeer(nil, "x", true, 0, 0); ok || len(seen) != 4 {
		t.Errorf("%v, %v", seen, ok)
	}
}
