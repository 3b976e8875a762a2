package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"lotushook/internal/sharded"
	"lotushook/policy/crdt"
)

const (
	shardCount = 16 // shards of a copy; the same on all routers, because each shard has its own sequence numbers
	// Maximum number of writes that wait for another member's acknowledgement. Further writes don't wait, and are
	// counted.
	maxWaits = 1024
)

// State is a router's copy of the replicated state. It is sharded by the entries' keys, so that lookups in different
// shards don't wait for each other. It is safe for concurrent use.
//
// Each shard is a crdt.Store of its own, with its own sequence numbers for each origin. The shards share only the
// greatest position that this router learned by itself, ownMaxPosition: each shard receives it when it is next used.
type State struct {
	shards         *sharded.Shards[crdt.Store]
	now            func() int64
	self           crdt.Origin
	changed        chan struct{} // signals that there are new entries to broadcast
	ownMaxPosition atomic.Int64
	persister      Persister // nil without persistence; set before the first use

	mu             sync.Mutex
	waits          map[uint64]*ackWait // by wait number
	lastWaitNumber uint64
	urgentEntries  []urgentEntry // to be broadcast immediately
	waitCounts     waitTotals
	noOtherMember  atomic.Bool // no other member is present to acknowledge an entry
}

// ackWait is one write's wait for the first acknowledgement of its entry.
type ackWait struct {
	acknowledged chan struct{}
	startedAt    int64
}

// urgentEntry is an entry to be broadcast immediately. waitNumber is the wait for its acknowledgement; 0 if none.
type urgentEntry struct {
	entry      crdt.Entry
	waitNumber uint64
}

type waitTotals struct {
	acknowledged, timedOut, limitReached, noOtherMember uint64
	longest                                             int64 // nanoseconds
}

// NewState returns an empty copy that uses the given clock.
func NewState(s crdt.Settings, now func() int64) (*State, error) { return newState(s, now, shardCount) }

func newState(settings crdt.Settings, now func() int64, shards int) (*State, error) {
	if _, err := crdt.New(settings); err != nil {
		return nil, err
	}
	settings = settings.Shard(shards)
	return &State{now: now, self: settings.Self, changed: make(chan struct{}, 1), waits: map[uint64]*ackWait{},
		shards: sharded.New(shards, func(int) crdt.Store {
			store, _ := crdt.New(settings) // the settings were checked above
			return *store
		})}, nil
}

// withShardAt calls use with a shard, which use must not retain.
func (state *State) withShardAt(index int, use func(store *crdt.Store, now int64)) {
	now, position := state.now(), state.ownMaxPosition.Load()
	state.shards.At(index, func(store *crdt.Store) {
		store.ObservePosition(position)
		use(store, now)
	})
}

// WithShard calls use with the shard of a key (see crdt.Entry.Key) while it holds the shard's lock.
func (state *State) WithShard(a, b string, use func(store *crdt.Store, now int64)) {
	state.withShardAt(state.shards.Index(a, b), use)
}

// EachShard calls use with each shard in turn. It holds one lock at a time: the state may change between two calls.
func (state *State) EachShard(use func(store *crdt.Store, now int64)) {
	for index := range state.shards.Len() {
		state.withShardAt(index, use)
	}
}

func (state *State) shardIndex(entry *crdt.Entry) int { return state.shards.Index(entry.Key()) }

// observeOwnPosition raises the greatest position that this router has learned by itself to that of the entry.
func (state *State) observeOwnPosition(entry *crdt.Entry) {
	if entry.Kind > crdt.ServerPosition || entry.Kind == crdt.PendingWrite {
		return
	}
	position := state.ownMaxPosition.Load()
	for entry.At > position && !state.ownMaxPosition.CompareAndSwap(position, entry.At) {
		position = state.ownMaxPosition.Load()
	}
}

// Learn stores an entry that this router has just learned by itself, and reports whether it changed the copy.
func (state *State) Learn(entry crdt.Entry) (learned bool) {
	state.observeOwnPosition(&entry)
	state.withShardAt(state.shardIndex(&entry), func(store *crdt.Store, now int64) {
		if learned = store.Learn(now, entry); learned {
			entry.Age = 0
			entry.From, entry.Seq = store.LastLearned()
		}
	})
	if learned && state.persister != nil {
		state.persister.Persist(entry, crdt.Origin{})
	}
	if learned {
		state.signalChange()
	}
	return learned
}

// signalChange wakes Run's goroutine.
func (state *State) signalChange() {
	select {
	case state.changed <- struct{}{}:
	default:
	}
}

// changes returns the channel that signals new entries to broadcast. It is nil for a nil State.
func (state *State) changes() <-chan struct{} {
	if state == nil {
		return nil
	}
	return state.changed
}

// LearnDurably stores an entry like Learn, and waits until one other member has acknowledged it or an entry that
// supersedes it. The wait ends at the timeout or when canceled is closed. LearnDurably reports whether the entry was
// acknowledged. It does not wait if no other member is present.
func (state *State) LearnDurably(entry crdt.Entry, timeout time.Duration, canceled <-chan struct{}) bool {
	state.observeOwnPosition(&entry)
	accepted := false
	var learned crdt.Entry
	state.withShardAt(state.shardIndex(&entry), func(store *crdt.Store, now int64) { learned, accepted = store.LearnDurably(now, entry) })
	if accepted && state.persister != nil && learned.From == state.self {
		state.persister.Persist(learned, crdt.Origin{})
	}
	state.mu.Lock()
	if noOtherMember := state.noOtherMember.Load(); !accepted || noOtherMember || len(state.waits) >= maxWaits {
		if noOtherMember {
			state.waitCounts.noOtherMember++
		} else {
			state.waitCounts.limitReached++
		}
		if accepted && len(state.urgentEntries) < maxWaits {
			state.urgentEntries = append(state.urgentEntries, urgentEntry{learned, 0})
		}
		state.mu.Unlock()
		state.signalChange()
		return false
	}
	state.lastWaitNumber++
	number, pending := state.lastWaitNumber, &ackWait{make(chan struct{}), state.now()}
	state.waits[number] = pending
	state.urgentEntries = append(state.urgentEntries, urgentEntry{learned, number})
	state.mu.Unlock()
	state.signalChange()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-pending.acknowledged:
	case <-canceled:
	case <-timer.C:
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	if _, unacknowledged := state.waits[number]; unacknowledged { // not acknowledged, whatever ended the wait
		delete(state.waits, number)
		state.waitCounts.timedOut++
		return false
	}
	return true
}

// hasUrgent reports whether there are entries to be broadcast immediately.
func (state *State) hasUrgent() bool {
	state.mu.Lock()
	defer state.mu.Unlock()
	return len(state.urgentEntries) > 0
}

// takeUrgent removes and returns the entries to be broadcast immediately.
func (state *State) takeUrgent() []urgentEntry {
	state.mu.Lock()
	defer state.mu.Unlock()
	entries := state.urgentEntries
	state.urgentEntries = nil
	return entries
}

// endWaits ends the waits for acknowledged entries.
func (state *State) endWaits(numbers []uint64) {
	if len(numbers) == 0 {
		return
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, number := range numbers {
		if pending := state.waits[number]; pending != nil {
			delete(state.waits, number)
			state.waitCounts.acknowledged++
			state.waitCounts.longest = max(state.waitCounts.longest, state.now()-pending.startedAt)
			close(pending.acknowledged)
		}
	}
}

// merge merges an entry from a peer. It reports whether the entry changed the copy, and whether the copy now covers it.
func (state *State) merge(e *crdt.Entry) (changed, covered bool) {
	state.withShardAt(state.shardIndex(e), func(store *crdt.Store, now int64) { changed, covered = store.Merge(now, *e), store.Covers(now, e) })
	return changed, covered
}

// takePending removes and returns the entries learned since the last call, for the broadcaster. It also expires
// entries.
func (state *State) takePending() (entries []crdt.Entry) {
	state.EachShard(func(store *crdt.Store, now int64) {
		store.Expire(now)
		entries = append(entries, store.TakePending(now, 1<<20)...)
	})
	return entries
}
