// Package changefeed answers subscribers of feeds. policy/cursor decides; this package keeps the state in shards, reads
// data servers through the router, once for all requests that need the same, and writes the answers.
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
	shards        = 64
	maxTries      = 3       // reads for one answer: a fork that shows needs a second, a forked member a third
	maxGeneration = 1 << 32 // a generation so far beyond the head was not raised by reconnects
)

// Options are the settings of Feeds.
type Options struct {
	Settings cursor.Settings            // of classes that have none of their own
	Classes  map[string]cursor.Settings // by name; only the intervals and the batches may differ
	Waiting  int                        // requests that wait for data servers at a time; more are delayed
	ReadFor  time.Duration              // a read's timeout
	Self     crdt.Origin
	State    *peer.State // where cursors are replicated; nil: nowhere
	Now      func() int64
	Read     func(ReadRequest) ReadResult // reads from some member; returns by ReadRequest.Until
}

// ReadRequest is one read: of what follows a position, or of the last events where it has no history.
type ReadRequest struct {
	Class     string
	Group     int64
	After     cursor.Position
	MaxEvents int
	Until     int64
	Who       contract.Identity // the first of those that it is for
}

// ReadResult is the result of a read: a value, or an error with a Retry-After time if there is one.
type ReadResult struct {
	Value []byte
	Wait  int64
	Err   error
}

// Request is one subscriber's request.
type Request struct {
	Class      string
	Group      int64
	Subscriber string
	After      cursor.Position // its cursor; none: without a history
	Gen        int64           // of its cursor
	Until      int64
	Who        contract.Identity
	Left       <-chan struct{} // closed when the client has gone
}

// Counts are since the start.
type Counts struct {
	Cursors  int               `json:"cursors"` // held now
	Answers  uint64            `json:"answers"`
	Events   uint64            `json:"events"`
	EndReads uint64            `json:"end_reads"` // of feeds' ends
	FarReads uint64            `json:"far_reads"` // for subscribers behind the ring
	Refused  uint64            `json:"refused"`
	Rows     map[string]uint64 `json:"rows"` // of the table, by name
	rows     [cursor.OutcomeCount]uint64
}

// Feeds answers subscribers. It is safe for concurrent use.
type Feeds struct {
	opt    Options
	seed   maphash.Seed
	shards [shards]shard
	pace   struct {
		sync.Mutex
		*cursor.Limiter
	}
	logs struct {
		sync.Mutex
		by map[name]*log
	}
	waiting  atomic.Int64
	readings sync.WaitGroup
	count    struct {
		sync.Mutex
		Counts
	}
}

// shard is a part of the subscribers' cursors under a lock of its own.
type shard struct {
	mu       sync.Mutex
	registry *cursor.Registry
}

// do calls a function with the cursors of a key's shard. It must not block.
func (p *Feeds) do(key string, f func(*cursor.Registry)) {
	s := &p.shards[maphash.String(p.seed, key)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.registry)
}

type name struct {
	class string
	group int64
}

// log is one group's log, as a class reads it.
type log struct {
	name
	text   string // as routers write it
	number uint32
	set    cursor.Settings

	mu   sync.Mutex
	feed *cursor.Feed
	end  *reading
	far  map[cursor.Position]*reading
}

// New returns Feeds without any cursor.
func New(o Options) (*Feeds, error) {
	if err := o.Settings.Check(); err != nil {
		return nil, err
	}
	p := &Feeds{opt: o, seed: maphash.MakeSeed()}
	for i := range p.shards {
		p.shards[i].registry = cursor.NewRegistry(o.Self, (o.Settings.MaxCursors+shards-1)/shards)
	}
	p.pace.Limiter = cursor.NewLimiter(&o.Settings, o.Now())
	p.logs.by = map[name]*log{}
	for _, s := range o.Classes {
		if err := s.Check(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Serves says whether a class is a feed.
func (p *Feeds) Serves(class string) bool {
	_, ok := p.opt.Classes[class]
	return ok
}

// Close waits for the reads in progress.
func (p *Feeds) Close() { p.readings.Wait() }

// Counts returns the present counts.
func (p *Feeds) Counts() Counts {
	p.count.Lock()
	c := p.count.Counts
	p.count.Unlock()
	c.Cursors, c.Rows = p.cursors(), map[string]uint64{}
	for row, n := range c.rows {
		if n > 0 {
			c.Rows[cursor.Outcome(row).String()] = n
		}
	}
	return c
}

// cursors is how many this router holds.
func (p *Feeds) cursors() (n int) {
	for i := range p.shards {
		p.shards[i].mu.Lock()
		n += p.shards[i].registry.Size()
		p.shards[i].mu.Unlock()
	}
	return n
}

// log returns a request's log. There are as many as classes times listed groups.
func (p *Feeds) log(class string, group int64) *log {
	p.logs.Lock()
	defer p.logs.Unlock()
	n := name{class, group}
	l := p.logs.by[n]
	if l == nil {
		l = &log{name: n, text: class + "/" + strconv.FormatInt(group, 10), number: uint32(len(p.logs.by)), set: p.opt.Classes[class], far: map[cursor.Position]*reading{}}
		l.feed = cursor.NewFeed(&l.set)
		p.logs.by[n] = l
	}
	return l
}
