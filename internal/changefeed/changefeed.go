// Package changefeed answers the requests of change feed subscribers. Package policy/cursor makes the decisions. This
// package stores the cursors in shards, reads endpoints through the router, with one read for all requests that need
// the same events, and encodes the answers. The terms of change feeds, such as cursor, generation, head and ring, are
// defined in package cursor.
package changefeed

import (
	"hash/maphash"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lotushook/internal/peer"
	"lotushook/policy/contract"
	"lotushook/policy/crdt"
	"lotushook/policy/cursor"
)

const (
	shardCount    = 64
	maxReads      = 3       // reads per answer: a second one to detect a fork, a third one if an endpoint is forked
	maxGeneration = 1 << 32 // a generation that exceeds the head by more than this can't result from reconnects
)

// Options are the settings of Feeds.
type Options struct {
	Settings    cursor.Settings            // limits that all feed classes share
	Classes     map[string]cursor.Settings // by class name; only intervals and batch sizes may differ from Settings
	MaxWaiting  int                        // limit of requests that wait for reads; further ones are asked to retry later
	ReadTimeout time.Duration
	Self        crdt.Origin
	State       *peer.State // the state that replicates cursors; nil disables their replication
	Now         func() int64
	Read        func(ReadRequest) ReadResult // reads from an endpoint of the group; returns by the request's deadline
}

// ReadRequest describes a read of the events after a position, or of the last events if the position has no history.
type ReadRequest struct {
	Class     string
	Group     int64
	After     cursor.Position
	MaxEvents int
	Deadline  int64
	Identity  contract.Identity // the client of the request that caused the read
}

// ReadResult is the result of a read: an endpoint's encoded response, or an error with an optional retry delay.
type ReadResult struct {
	Value      []byte
	RetryAfter int64
	Err        error
}

// Request is one subscriber's request.
type Request struct {
	Class      string
	Group      int64
	Subscriber string
	After      cursor.Position // the client's cursor; without a history if the client sent none
	Generation int64           // of the client's cursor
	Deadline   int64
	Identity   contract.Identity
	ClientLeft <-chan struct{} // closed when the client has disconnected
}

// Counts are the numbers of requests, events and reads since the start.
type Counts struct {
	Cursors      int               `json:"cursors"` // stored at present
	Answers      uint64            `json:"answers"`
	Events       uint64            `json:"events"`
	HeadReads    uint64            `json:"end_reads"` // reads of the last events of a feed
	CatchUpReads uint64            `json:"far_reads"` // reads for subscribers behind the ring of recent events
	Rejected     uint64            `json:"refused"`
	Outcomes     map[string]uint64 `json:"rows"` // requests by the name of their outcome
	outcomes     [cursor.OutcomeCount]uint64
}

// Feeds answers the requests of subscribers. It is safe for concurrent use.
type Feeds struct {
	options Options
	seed    maphash.Seed
	shards  [shardCount]shard
	limiter struct {
		sync.Mutex
		*cursor.Limiter
	}
	logs struct {
		sync.Mutex
		byName map[logName]*feedLog
	}
	waiting atomic.Int64
	reads   sync.WaitGroup
	counts  struct {
		sync.Mutex
		Counts
	}
}

// shard contains the cursors of some of the subscribers, under a lock of its own.
type shard struct {
	mu       sync.Mutex
	registry *cursor.Registry
}

// withRegistry calls use with the cursors of the key's shard while it holds the shard's lock; use must not block.
func (feeds *Feeds) withRegistry(key string, use func(*cursor.Registry)) {
	shard := &feeds.shards[maphash.String(feeds.seed, key)%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	use(shard.registry)
}

type logName struct {
	class string
	group int64
}

// feedLog is the log of one group as read for one feed class.
type feedLog struct {
	logName
	label    string // name of the feed in messages and in replicated entries
	number   uint32
	settings cursor.Settings

	mu           sync.Mutex
	feed         *cursor.Feed
	headRead     *read
	catchUpReads map[cursor.Position]*read
}

// New returns Feeds without any cursors.
func New(options Options) (*Feeds, error) {
	if err := options.Settings.Check(); err != nil {
		return nil, err
	}
	feeds := &Feeds{options: options, seed: maphash.MakeSeed()}
	for i := range feeds.shards {
		feeds.shards[i].registry = cursor.NewRegistry(options.Self, (options.Settings.MaxCursors+shardCount-1)/shardCount)
	}
	feeds.limiter.Limiter = cursor.NewLimiter(&options.Settings, options.Now())
	feeds.logs.byName = map[logName]*feedLog{}
	for _, settings := range options.Classes {
		if err := settings.Check(); err != nil {
			return nil, err
		}
	}
	return feeds, nil
}

// Serves reports whether a class is a feed.
func (feeds *Feeds) Serves(class string) bool {
	_, ok := feeds.options.Classes[class]
	return ok
}

// Close waits for the reads in progress.
func (feeds *Feeds) Close() { feeds.reads.Wait() }

// Counts returns the current counts.
func (feeds *Feeds) Counts() Counts {
	feeds.counts.Lock()
	counts := feeds.counts.Counts
	feeds.counts.Unlock()
	counts.Cursors, counts.Outcomes = feeds.cursorCount(), map[string]uint64{}
	for outcome, count := range counts.outcomes {
		if count > 0 {
			counts.Outcomes[cursor.Outcome(outcome).String()] = count
		}
	}
	return counts
}

// cursorCount returns the number of cursors that this router stores.
func (feeds *Feeds) cursorCount() (count int) {
	for i := range feeds.shards {
		feeds.shards[i].mu.Lock()
		count += feeds.shards[i].registry.Size()
		feeds.shards[i].mu.Unlock()
	}
	return count
}

// logOf returns the log that a class reads from a group. Logs are never removed: there are at most as many as feed
// classes times listed groups.
func (feeds *Feeds) logOf(class string, group int64) *feedLog {
	feeds.logs.Lock()
	defer feeds.logs.Unlock()
	key := logName{class, group}
	found := feeds.logs.byName[key]
	if found == nil {
		found = &feedLog{logName: key, label: class + "/" + strconv.FormatInt(group, 10), number: uint32(len(feeds.logs.byName)),
			settings: feeds.options.Classes[class], catchUpReads: map[cursor.Position]*read{}}
		found.feed = cursor.NewFeed(&found.settings)
		feeds.logs.byName[key] = found
	}
	return found
}
