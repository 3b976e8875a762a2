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
	"lotushook/policy/balance"
	"lotushook/policy/crdt"
	dkeep "lotushook/policy/persistence"
	"lotushook/policy/trust"
)

const (
	kindMember = 200    // of the copy's own records: a member's boot, as it was seen last
	crashLoses = 10_000 // of a router's own words at most: what a queue holds
)

// kept is what a router does with its copy on disk: it writes what the state holds, gives it back after a start, and knows
// what of it is proven. It implements peer.Keeper.
type kept struct {
	keep *store.Keep
	load time.Duration
	self crdt.Origin
	now  func() int64

	mu       sync.Mutex // for some map accesses; never held while anything waits
	book     *trust.Book
	steady   map[string]uint64 // the boots of members that the process before this one saw: who still has it was up meanwhile
	boots    map[string]uint64 // as they are now
	mark     trust.Mark        // how far the copy goes in this router's own words
	standing trust.Standing
	restored int
}

func newKept(own *siteconfig.Members, self crdt.Origin, now func() int64) (*kept, error) {
	book, err := trust.NewBook(trust.Usual())
	if err != nil {
		return nil, err
	}
	q := dkeep.Usual()
	q.QueueBytes, q.Fsyncs = own.Keep.QueueKB<<10, own.Keep.FsyncsPer
	s := store.Settings{Dir: own.Keep.Dir, Most: own.Keep.MostMB << 20, Cluster: own.Cluster, Name: self.Name, Boot: self.Boot, Queue: q, Now: now,
		Wall: func() int64 { return time.Now().UnixNano() }}
	u := crdt.Usual(self)
	s.Windows[crdt.Write], s.Windows[crdt.Hint] = u.Window, u.HintFor
	k := &kept{load: time.Duration(own.Keep.LoadMS) * time.Millisecond, self: self, now: now, book: book, steady: map[string]uint64{}, boots: map[string]uint64{}}
	k.keep, err = store.New(s)
	return k, err
}

// start reads the copy and gives it back, and writes from then on; it returns once that is read, or the disk has had its time.
func (k *kept) start(ctx context.Context, parts *sync.WaitGroup, state *peer.State) {
	parts.Go(func() { k.keep.Run(ctx) })
	done := make(chan struct{})
	parts.Go(func() {
		defer close(done)
		select {
		case <-k.keep.Loaded():
			k.restore(state)
		case <-ctx.Done():
		}
	})
	wait := time.NewTimer(k.load)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
		slog.Warn("keep: the start does not wait for the disk longer", "waited", k.load)
	}
}

// restore gives the state what the disk held. Hints of unknown age are left out; a write that may have run is taken for as
// young as it can be.
func (k *kept) restore(state *peer.State) {
	f := k.keep.Found()
	var list []crdt.Entry
	bad := 0
	k.mu.Lock()
	for i := range f.Records {
		r := &f.Records[i]
		if r.Kind == kindMember {
			if len(r.Value) == 8 {
				k.steady[string(r.Key)] = binary.LittleEndian.Uint64(r.Value)
			}
			continue
		}
		var e crdt.Entry
		if cbor.Unmarshal(r.Value, &e) != nil || uint8(e.Kind) != r.Kind || string(entryKey(&e)) != string(r.Key) {
			bad++
			continue
		}
		if e.Age = r.Age; e.Kind == crdt.Hint && r.Unsure {
			continue
		}
		list = append(list, e)
		k.book.Restored(k.now(), e, r.Unsure)
		if e.From.Name == k.self.Name && (e.From.Boot > k.mark.Boot || e.From.Boot == k.mark.Boot && e.Seq > k.mark.Number) {
			k.mark = trust.Mark{Boot: e.From.Boot, Number: e.Seq}
		}
	}
	k.restored = len(list)
	k.mu.Unlock()
	if taken := state.Restore(list); f.Boot != 0 {
		slog.Info("state restored", "entries", len(list), "taken", taken, "not_read", bad)
	}
}

// Put hears what the state holds from now on. Cursors and levels are not copied: nothing says yet what may be done on the
// strength of one that came back, and a level is worth nothing after two seconds.
func (k *kept) Put(e crdt.Entry, by crdt.Origin) {
	if e.Kind > crdt.Hint {
		return
	}
	k.mu.Lock()
	now := k.now()
	was, entry := k.book.Fact(now, e)
	own := by == crdt.Origin{}
	if own {
		k.book.Own(now, e)
	} else {
		k.book.Told(now, e, by.Boot != 0 && k.steady[by.Name] == by.Boot)
		k.compare(&e)
	}
	met := !own && by.Boot != 0 && k.boots[by.Name] != by.Boot && (len(k.boots) < 4096 || k.boots[by.Name] != 0)
	if met {
		k.boots[by.Name] = by.Boot
	}
	k.mu.Unlock()
	if met {
		k.keep.Put(dkeep.Record{Kind: kindMember, Key: []byte(by.Name), Value: binary.LittleEndian.AppendUint64(nil, by.Boot)})
	}
	if was.Origin != trust.None && entry.From == e.From && entry.Seq == e.Seq && (e.Kind != crdt.Write || e.Age >= was.Age) {
		return // it is on its way or written already
	}
	value, err := cbor.Marshal(e)
	if err == nil {
		k.keep.Put(dkeep.Record{Kind: uint8(e.Kind), Key: entryKey(&e), Value: value, Age: e.Age})
	}
}

// compare holds the copy against what a peer remembers of this router's own words.
func (k *kept) compare(e *crdt.Entry) {
	if e.From.Name != k.self.Name || e.From.Boot == k.self.Boot || k.mark == (trust.Mark{}) || k.standing == trust.Behind {
		return
	}
	seen := trust.Mark{Boot: e.From.Boot, Number: e.Seq}
	if k.standing = max(k.standing, trust.Compare(k.mark, seen, crashLoses)); k.standing == trust.Behind {
		k.book.Old()
		mark := func(m trust.Mark) string { return fmt.Sprintf("word %d of start %d", m.Number, m.Boot) }
		slog.Warn("keep", operr.Attrs(&store.Old{Path: k.keep.Report().Path, Copy: mark(k.mark), Seen: mark(seen)})...)
	}
}

// fact is what is known of an entry's key.
func (k *kept) fact(e crdt.Entry) (trust.Fact, crdt.Entry) {
	if k == nil {
		return trust.Fact{}, crdt.Entry{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Fact(k.now(), e)
}

// entryKey is an entry's key on disk.
func entryKey(e *crdt.Entry) []byte {
	out := append(append([]byte(e.A), 0), e.B...)
	switch e.Kind {
	case crdt.Position:
		out = binary.LittleEndian.AppendUint64(append(out, 0), uint64(e.Born))
	case crdt.Use, crdt.Hint:
		out = binary.LittleEndian.AppendUint64(append(append(out, 0), e.From.Name...), e.From.Boot)
	}
	return out
}

// keptReport is what operators read of it.
type keptReport struct {
	*store.Report
	Restored int  `json:"restored"` // entries, at the start
	Doubted  int  `json:"doubted"`  // of these, not proven yet
	Old      bool `json:"old"`      // the copy was put back
}

func (k *kept) report() any {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return keptReport{k.keep.Report(), k.restored, k.book.Doubted(trust.Restored), k.standing == trust.Behind}
}

// ground is the evidence that a read's floor rests on.
type ground struct {
	at   balance.Nanos // the floor; 0: there is none
	fact trust.Fact
}
