package router

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lotushook/internal/operr"
	"lotushook/internal/peer"
	"lotushook/internal/siteconfig"
	"lotushook/internal/store"
	"lotushook/policy/clock"
	"lotushook/policy/crdt"
	"lotushook/policy/persistence"
	"lotushook/policy/trust"
)

const (
	memberRecordKind = 200    // kind of the records that contain a member's last seen epoch; other records are entries
	maxCrashLoss     = 10_000 // how many of a router's own entries a crash can lose: the capacity of the write queue
)

// persistedState connects the state that routers replicate to its copy on disk: it writes the entries, restores them at
// startup and tracks which of them are confirmed. An entry from disk or from a peer is confirmed once an answer to this
// router, or a peer that has been up continuously, has proven it (package trust). It implements peer.Keeper.
type persistedState struct {
	store       *store.Store
	loadTimeout time.Duration
	self        crdt.Origin
	now         func() int64

	mu             sync.Mutex // guards the fields below; not held during blocking calls
	ledger         *trust.Ledger
	previousEpochs map[string]uint64 // from disk; a member whose current epoch is the same has been up since
	currentEpochs  map[string]uint64 // the members' current epochs
	copyVersion    trust.CopyVersion // version of the last of this router's own entries in the restored copy
	copyStatus     trust.CopyStatus
	restoredCount  int
}

func newPersistedState(settings *siteconfig.Members, self crdt.Origin, now func() int64) (*persistedState, error) {
	ledger, err := trust.NewLedger(trust.DefaultSettings())
	if err != nil {
		return nil, err
	}
	queueSettings := persistence.DefaultSettings()
	queueSettings.QueueBytes, queueSettings.FsyncsPerSecond = settings.Persistence.QueueKB<<10, settings.Persistence.FsyncsPerS
	storeSettings := store.Settings{Dir: settings.Persistence.Dir, MaxBytes: settings.Persistence.MaxMB << 20, Cluster: settings.Cluster, Name: self.Name, Epoch: self.Boot, Queue: queueSettings, Now: now,
		Wall: func() int64 { return time.Now().UnixNano() }}
	stateSettings := crdt.DefaultSettings(self)
	storeSettings.Retention[crdt.PendingWrite], storeSettings.Retention[crdt.Hint] = stateSettings.WriteWindow, stateSettings.HintLifetime
	persisted := &persistedState{loadTimeout: time.Duration(settings.Persistence.LoadTimeoutMS) * time.Millisecond, self: self, now: now, ledger: ledger, previousEpochs: map[string]uint64{}, currentEpochs: map[string]uint64{}}
	persisted.store, err = store.New(storeSettings)
	return persisted, err
}

// start restores the copy on disk and starts writing to it in the background. It returns once the state is restored or
// loading has timed out.
func (persisted *persistedState) start(ctx context.Context, running *sync.WaitGroup, state *peer.State) {
	running.Go(func() { persisted.store.Run(ctx) })
	done := make(chan struct{})
	running.Go(func() {
		defer close(done)
		select {
		case <-persisted.store.Loaded():
			persisted.restore(state)
		case <-ctx.Done():
		}
	})
	timeout := time.NewTimer(persisted.loadTimeout)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
		slog.Warn("keep: loading timed out; starting before the persisted state is restored", "waited", persisted.loadTimeout)
	}
}

// restore merges the records on disk into the replicated state. Hints of unknown age are omitted. A pending write,
// which is a keyed write that may have run, is restored with its minimum age if its age is unknown.
func (persisted *persistedState) restore(state *peer.State) {
	found := persisted.store.TakeRestored()
	var entries []crdt.Entry
	unreadable := 0
	persisted.mu.Lock()
	for i := range found.Records {
		record := &found.Records[i]
		if record.Kind == memberRecordKind {
			if len(record.Value) == 8 {
				persisted.previousEpochs[string(record.Key)] = binary.LittleEndian.Uint64(record.Value)
			}
			continue
		}
		var entry crdt.Entry
		if cbor.Unmarshal(record.Value, &entry) != nil || uint8(entry.Kind) != record.Kind || string(entryKey(&entry)) != string(record.Key) {
			unreadable++
			continue
		}
		if entry.Age = record.Age; entry.Kind == crdt.Hint && record.MinAgeOnly {
			continue
		}
		entries = append(entries, entry)
		persisted.ledger.AddRestored(persisted.now(), entry, record.MinAgeOnly)
		if entry.From.Name == persisted.self.Name && (entry.From.Boot > persisted.copyVersion.Epoch || entry.From.Boot == persisted.copyVersion.Epoch && entry.Seq > persisted.copyVersion.Number) {
			persisted.copyVersion = trust.CopyVersion{Epoch: entry.From.Boot, Number: entry.Seq}
		}
	}
	persisted.restoredCount = len(entries)
	persisted.mu.Unlock()
	if mergedCount := state.Restore(entries); found.Epoch != 0 {
		slog.Info("state restored", "entries", len(entries), "taken", mergedCount, "not_read", unreadable)
	}
}

// Persist stores an entry that the replicated state now contains. Feed cursors and shedding levels are not stored: no rule
// defines yet how a restored cursor may be used, and a level expires after two seconds.
func (persisted *persistedState) Persist(entry crdt.Entry, peer crdt.Origin) {
	if entry.Kind > crdt.Hint {
		return
	}
	persisted.mu.Lock()
	now := persisted.now()
	previousFact, previousEntry := persisted.ledger.Fact(now, entry)
	own := peer == crdt.Origin{}
	if own {
		persisted.ledger.AddOwnResponse(now, entry)
	} else {
		persisted.ledger.AddFromPeer(now, entry, peer.Boot != 0 && persisted.previousEpochs[peer.Name] == peer.Boot)
		persisted.compareWithPeer(&entry)
	}
	newEpoch := !own && peer.Boot != 0 && persisted.currentEpochs[peer.Name] != peer.Boot && (len(persisted.currentEpochs) < 4096 || persisted.currentEpochs[peer.Name] != 0)
	if newEpoch {
		persisted.currentEpochs[peer.Name] = peer.Boot
	}
	persisted.mu.Unlock()
	if newEpoch {
		persisted.store.Put(persistence.Record{Kind: memberRecordKind, Key: []byte(peer.Name), Value: binary.LittleEndian.AppendUint64(nil, peer.Boot)})
	}
	if previousFact.Provenance != trust.Unknown && previousEntry.From == entry.From && previousEntry.Seq == entry.Seq && (entry.Kind != crdt.PendingWrite || entry.Age >= previousFact.Age) {
		return // already queued or written
	}
	value, err := cbor.Marshal(entry)
	if err == nil {
		persisted.store.Put(persistence.Record{Kind: uint8(entry.Kind), Key: entryKey(&entry), Value: value, Age: entry.Age})
	}
}

// compareWithPeer compares the version of the restored copy with an entry that this router wrote before its restart and
// that a peer still has. A later entry shows that the last copy on disk was replaced by an outdated one.
func (persisted *persistedState) compareWithPeer(entry *crdt.Entry) {
	if entry.From.Name != persisted.self.Name || entry.From.Boot == persisted.self.Boot || persisted.copyVersion == (trust.CopyVersion{}) || persisted.copyStatus == trust.CopyOutdated {
		return
	}
	seen := trust.CopyVersion{Epoch: entry.From.Boot, Number: entry.Seq}
	if persisted.copyStatus = max(persisted.copyStatus, trust.CompareCopy(persisted.copyVersion, seen, maxCrashLoss)); persisted.copyStatus == trust.CopyOutdated {
		persisted.ledger.DistrustRestored()
		describe := func(v trust.CopyVersion) string { return fmt.Sprintf("entry %d of epoch %d", v.Number, v.Epoch) }
		slog.Warn("keep", operr.Attrs(&store.OutdatedError{Path: persisted.store.Report().Path, Copy: describe(persisted.copyVersion), Seen: describe(seen)})...)
	}
}

// fact looks up the recorded entry that has the same key as the given one. It returns that entry, and the fact that
// describes its provenance and whether it is confirmed.
func (persisted *persistedState) fact(entry crdt.Entry) (trust.Fact, crdt.Entry) {
	if persisted == nil {
		return trust.Fact{}, crdt.Entry{}
	}
	persisted.mu.Lock()
	defer persisted.mu.Unlock()
	return persisted.ledger.Fact(persisted.now(), entry)
}

// entryKey returns an entry's key on disk.
func entryKey(entry *crdt.Entry) []byte {
	key := append(append([]byte(entry.A), 0), entry.B...)
	switch entry.Kind {
	case crdt.ServerPosition:
		key = binary.LittleEndian.AppendUint64(append(key, 0), uint64(entry.Born))
	case crdt.Usage, crdt.Hint:
		key = binary.LittleEndian.AppendUint64(append(append(key, 0), entry.From.Name...), entry.From.Boot)
	}
	return key
}

// persistedReport describes the copy on disk in the members' report.
type persistedReport struct {
	*store.Report
	Restored int  `json:"restored"` // entries restored at startup
	Doubted  int  `json:"doubted"`  // restored entries that are not confirmed yet
	Old      bool `json:"old"`      // the restored copy is outdated
}

func (persisted *persistedState) report() any {
	if persisted == nil {
		return nil
	}
	persisted.mu.Lock()
	defer persisted.mu.Unlock()
	return persistedReport{persisted.store.Report(), persisted.restoredCount, persisted.ledger.Unconfirmed(trust.FromDisk), persisted.copyStatus == trust.CopyOutdated}
}

// positionProvenance is the log position that a read must see, and the fact that says from where the router knows it.
type positionProvenance struct {
	at   clock.Nanos // 0: none
	fact trust.Fact
}
