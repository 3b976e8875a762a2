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
	dkeep "lotushook/policy/persistence"
	"lotushook/policy/trust"
)

const (
	memberRecordKind = 200    // the store's own records: a member's epoch, as last seen
	maxCrashLoss     = 10_000 // at most so many of a router's own entries: the capacity of the queue
)

// persistedState connects the replicated state to its copy on disk: it writes the entries, restores them at a start, and knows
// which of them are confirmed. It implements peer.Keeper.
type persistedState struct {
	store       *store.Store
	loadTimeout time.Duration
	self        crdt.Origin
	now         func() int64

	mu           sync.Mutex // guards the maps; never held while anything blocks
	ledger       *trust.Ledger
	steadyEpochs map[string]uint64 // the members' epochs that the previous process saw: a member that still has it was up meanwhile
	seenEpochs   map[string]uint64 // the present epochs
	mark         trust.CopyVersion // the last of this router's own entries in the copy
	standing     trust.CopyStatus
	restored     int
}

func newPersistedState(own *siteconfig.Members, self crdt.Origin, now func() int64) (*persistedState, error) {
	ledger, err := trust.NewLedger(trust.DefaultSettings())
	if err != nil {
		return nil, err
	}
	q := dkeep.DefaultSettings()
	q.QueueBytes, q.FsyncsPerSecond = own.Persistence.QueueKB<<10, own.Persistence.FsyncsPerS
	s := store.Settings{Dir: own.Persistence.Dir, MaxBytes: own.Persistence.MaxMB << 20, Cluster: own.Cluster, Name: self.Name, Boot: self.Boot, Queue: q, Now: now,
		Wall: func() int64 { return time.Now().UnixNano() }}
	u := crdt.DefaultSettings(self)
	s.Windows[crdt.PendingWrite], s.Windows[crdt.Hint] = u.WriteWindow, u.HintLifetime
	k := &persistedState{loadTimeout: time.Duration(own.Persistence.LoadTimeoutMS) * time.Millisecond, self: self, now: now, ledger: ledger, steadyEpochs: map[string]uint64{}, seenEpochs: map[string]uint64{}}
	k.store, err = store.New(s)
	return k, err
}

// start reads the copy and restores it, and writes from then on; it returns once that is done, or the load has timed out.
func (k *persistedState) start(ctx context.Context, parts *sync.WaitGroup, state *peer.State) {
	parts.Go(func() { k.store.Run(ctx) })
	done := make(chan struct{})
	parts.Go(func() {
		defer close(done)
		select {
		case <-k.store.Loaded():
			k.restore(state)
		case <-ctx.Done():
		}
	})
	wait := time.NewTimer(k.loadTimeout)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
		slog.Warn("keep: the start does not wait for the disk longer", "waited", k.loadTimeout)
	}
}

// restore merges the disk's records into the state. Hints of unknown age are left out; a write that may have run counts as
// young as it can be.
func (k *persistedState) restore(state *peer.State) {
	f := k.store.Found()
	var list []crdt.Entry
	bad := 0
	k.mu.Lock()
	for i := range f.Records {
		r := &f.Records[i]
		if r.Kind == memberRecordKind {
			if len(r.Value) == 8 {
				k.steadyEpochs[string(r.Key)] = binary.LittleEndian.Uint64(r.Value)
			}
			continue
		}
		var e crdt.Entry
		if cbor.Unmarshal(r.Value, &e) != nil || uint8(e.Kind) != r.Kind || string(entryKey(&e)) != string(r.Key) {
			bad++
			continue
		}
		if e.Age = r.Age; e.Kind == crdt.Hint && r.MinAgeOnly {
			continue
		}
		list = append(list, e)
		k.ledger.AddRestored(k.now(), e, r.MinAgeOnly)
		if e.From.Name == k.self.Name && (e.From.Boot > k.mark.Epoch || e.From.Boot == k.mark.Epoch && e.Seq > k.mark.Number) {
			k.mark = trust.CopyVersion{Epoch: e.From.Boot, Number: e.Seq}
		}
	}
	k.restored = len(list)
	k.mu.Unlock()
	if taken := state.Restore(list); f.Boot != 0 {
		slog.Info("state restored", "entries", len(list), "taken", taken, "not_read", bad)
	}
}

// Put stores an entry that the state holds now. Feed cursors and shedding levels are not stored: no rule says yet how
// a restored cursor may be used, and a level expires after two seconds.
func (k *persistedState) Put(e crdt.Entry, by crdt.Origin) {
	if e.Kind > crdt.Hint {
		return
	}
	k.mu.Lock()
	now := k.now()
	was, entry := k.ledger.Fact(now, e)
	own := by == crdt.Origin{}
	if own {
		k.ledger.AddOwnResponse(now, e)
	} else {
		k.ledger.AddFromPeer(now, e, by.Boot != 0 && k.steadyEpochs[by.Name] == by.Boot)
		k.compareWithPeer(&e)
	}
	met := !own && by.Boot != 0 && k.seenEpochs[by.Name] != by.Boot && (len(k.seenEpochs) < 4096 || k.seenEpochs[by.Name] != 0)
	if met {
		k.seenEpochs[by.Name] = by.Boot
	}
	k.mu.Unlock()
	if met {
		k.store.Put(dkeep.Record{Kind: memberRecordKind, Key: []byte(by.Name), Value: binary.LittleEndian.AppendUint64(nil, by.Boot)})
	}
	if was.Provenance != trust.Unknown && entry.From == e.From && entry.Seq == e.Seq && (e.Kind != crdt.PendingWrite || e.Age >= was.Age) {
		return // it is queued or written already
	}
	value, err := cbor.Marshal(e)
	if err == nil {
		k.store.Put(dkeep.Record{Kind: uint8(e.Kind), Key: entryKey(&e), Value: value, Age: e.Age})
	}
}

// compareWithPeer compares the copy with what a peer remembers of this router's own entries.
func (k *persistedState) compareWithPeer(e *crdt.Entry) {
	if e.From.Name != k.self.Name || e.From.Boot == k.self.Boot || k.mark == (trust.CopyVersion{}) || k.standing == trust.CopyOutdated {
		return
	}
	seen := trust.CopyVersion{Epoch: e.From.Boot, Number: e.Seq}
	if k.standing = max(k.standing, trust.CompareCopy(k.mark, seen, maxCrashLoss)); k.standing == trust.CopyOutdated {
		k.ledger.DistrustRestored()
		mark := func(m trust.CopyVersion) string { return fmt.Sprintf("word %d of start %d", m.Number, m.Epoch) }
		slog.Warn("keep", operr.Attrs(&store.Old{Path: k.store.Report().Path, Copy: mark(k.mark), Seen: mark(seen)})...)
	}
}

// fact returns what is known of an entry's key.
func (k *persistedState) fact(e crdt.Entry) (trust.Fact, crdt.Entry) {
	if k == nil {
		return trust.Fact{}, crdt.Entry{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Fact(k.now(), e)
}

// entryKey returns an entry's key on disk.
func entryKey(e *crdt.Entry) []byte {
	out := append(append([]byte(e.A), 0), e.B...)
	switch e.Kind {
	case crdt.ServerPosition:
		out = binary.LittleEndian.AppendUint64(append(out, 0), uint64(e.Born))
	case crdt.Usage, crdt.Hint:
		out = binary.LittleEndian.AppendUint64(append(append(out, 0), e.From.Name...), e.From.Boot)
	}
	return out
}

// persistedReport is the part of the operators' report about the copy.
type persistedReport struct {
	*store.Report
	Restored int  `json:"restored"` // at the start
	Doubted  int  `json:"doubted"`  // of these, not confirmed yet
	Old      bool `json:"old"`      // the copy is an older one that was put back
}

func (k *persistedState) report() any {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return persistedReport{k.store.Report(), k.restored, k.ledger.Unconfirmed(trust.FromDisk), k.standing == trust.CopyOutdated}
}

// positionProvenance says where the position came from that a read must see.
type positionProvenance struct {
	at   clock.Nanos // the floor; 0: there is none
	fact trust.Fact
}
