package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"lotushook/internal/sharded"
	"lotushook/policy/crdt"
)

const (
	pieces   = 16   // shards of a copy; the same in all routers, as sequence numbers are counted in each
	maxWaits = 1024 // writes that wait for another member's acknowledgement; more go on at once, and are counted
)

// State is a router's copy of the replicated state, in shards by the entries' keys: a query for a session's commit
// does not wait for one that uses another shard. It is safe for concurrent use.
//
// Each shard is a store of its own, with its own sequence numbers for each origin. Global is only the greatest
// position that this router learned by itself; a shard is given it when it is next used.
type State struct {
	shards *sharded.Shards[crdt.Store]
	now    func() int64
	self   crdt.Origin
	fresh  chan struct{} // signals new entries to broadcast
	top    atomic.Int64
	keeper Keeper // nil: none; set before the first use

	mu     sync.Mutex
	waits  map[uint64]*wait // by number
	number uint64
	urgent []urgent // to be broadcast at once
	counts waits
	alone  atomic.Bool // no other member is present that could acknowledge
}

// wait is one write's wait for the first acknowledgement of its entry.
type wait struct {
	acknowledged chan struct{}
	at           int64
}

type urgent struct {
	entry crdt.Entry
	wait  uint64
}

type waits struct {
	Acknowledged, Over, Full, Alone uint64
	longest                         int64
}

// NewState returns an empty copy on a clock.
func NewState(s crdt.Settings, now func() int64) (*State, error) { return newState(s, now, pieces) }

func newState(s crdt.Settings, now func() int64, n int) (*State, error) {
	if _, err := crdt.New(s); err != nil {
		return nil, err
	}
	s = s.Shard(n)
	return &State{now: now, self: s.Self, fresh: make(chan struct{}, 1), waits: map[uint64]*wait{}, shards: sharded.New(n, func(int) crdt.Store {
		store, _ := crdt.New(s) // the settings were checked
		return *store
	})}, nil
}

// at calls a function with a shard, which it must not keep.
func (s *State) at(i int, f func(store *crdt.Store, now int64)) {
	now, top := s.now(), s.top.Load()
	s.shards.At(i, func(store *crdt.Store) {
		store.ObservePosition(top)
		f(store, now)
	})
}

// Look calls a function with the shard of a key, see crdt.Entry.Key: the shard's lock is held meanwhile.
func (s *State) Look(a, b string, f func(store *crdt.Store, now int64)) {
	s.at(s.shards.Index(a, b), f)
}

// Each calls a function with all shards, one by one: between two of them anything may change.
func (s *State) Each(f func(store *crdt.Store, now int64)) {
	for i := range s.shards.Len() {
		s.at(i, f)
	}
}

func (s *State) index(e *crdt.Entry) int { return s.shards.Index(e.Key()) }

// know raises the greatest position that this router has learned by itself.
func (s *State) know(e *crdt.Entry) {
	if e.Kind > crdt.ServerPosition || e.Kind == crdt.PendingWrite {
		return
	}
	top := s.top.Load()
	for e.At > top && !s.top.CompareAndSwap(top, e.At) {
		top = s.top.Load()
	}
}

// Learn stores what this router itself has learned just now.
func (s *State) Learn(e crdt.Entry) (learned bool) {
	s.know(&e)
	s.at(s.index(&e), func(store *crdt.Store, now int64) {
		if learned = store.Learn(now, e); learned {
			e.Age = 0
			e.From, e.Seq = store.LastLearned()
		}
	})
	if learned && s.keeper != nil {
		s.keeper.Put(e, crdt.Origin{})
	}
	if learned {
		s.poke()
	}
	return learned
}

// poke wakes Run's goroutine.
func (s *State) poke() {
	select {
	case s.fresh <- struct{}{}:
	default:
	}
}

// pending signals that there are entries to broadcast; a nil State never does.
func (s *State) pending() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.fresh
}

// LearnDurably is Learn that waits until one other member has acknowledged the entry, or one that supersedes it; at most so
// long, and not beyond the end of gone. It says whether it was acknowledged. Where no other member is present it does not wait.
func (s *State) LearnDurably(e crdt.Entry, most time.Duration, gone <-chan struct{}) bool {
	s.know(&e)
	ok := false
	var tell crdt.Entry
	s.at(s.index(&e), func(store *crdt.Store, now int64) { tell, ok = store.LearnDurably(now, e) })
	if ok && s.keeper != nil && tell.From == s.self {
		s.keeper.Put(tell, crdt.Origin{})
	}
	s.mu.Lock()
	if alone := s.alone.Load(); !ok || alone || len(s.waits) >= maxWaits {
		if alone {
			s.counts.Alone++
		} else {
			s.counts.Full++
		}
		if ok && len(s.urgent) < maxWaits {
			s.urgent = append(s.urgent, urgent{tell, 0})
		}
		s.mu.Unlock()
		s.poke()
		return false
	}
	s.number++
	number, w := s.number, &wait{make(chan struct{}), s.now()}
	s.waits[number] = w
	s.urgent = append(s.urgent, urgent{tell, number})
	s.mu.Unlock()
	s.poke()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-w.acknowledged:
	case <-gone:
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.waits[number]; open { // not acknowledged by now, whatever ended the wait
		delete(s.waits, number)
		s.counts.Over++
		return false
	}
	return true
}

// pressed says whether entries wait to be broadcast at once.
func (s *State) pressed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.urgent) > 0
}

// takeUrgent removes and returns the entries to broadcast at once.
func (s *State) takeUrgent() []urgent {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.urgent
	s.urgent = nil
	return out
}

// ended ends the waits of acknowledged entries.
func (s *State) ended(numbers []uint64) {
	if len(numbers) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range numbers {
		if w := s.waits[n]; w != nil {
			delete(s.waits, n)
			s.counts.Acknowledged++
			s.counts.longest = max(s.counts.longest, s.now()-w.at)
			close(w.acknowledged)
		}
	}
}

// take merges an entry of a peer, says whether it changed anything, and whether this copy needs nothing more for it.
func (s *State) take(e *crdt.Entry) (changed, covered bool) {
	s.at(s.index(e), func(store *crdt.Store, now int64) { changed, covered = store.Merge(now, *e), store.Covers(now, e) })
	return changed, covered
}

// takePending removes and returns what was learned since the last call, for the broadcaster.
func (s *State) takePending() (out []crdt.Entry) {
	s.Each(func(store *crdt.Store, now int64) {
		store.Expire(now)
		out = append(out, store.TakePending(now, 1<<20)...)
	})
	return out
}
