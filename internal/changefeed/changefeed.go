// Package changefeed answers subscribers of feeds. What to do for each says policy/cursor; this package keeps its state in shards, asks
// data servers through whoever made it, once for all that want the same, and writes the answers.
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
	maxTries      = 3       // readings for one answer: a fork that shows needs a second, a forked member a third
	maxGeneration = 1 << 32 // a generation so far beyond the head was not raised by reconnects
)

// Options are what a Part works with.
type Options struct {
	Settings cursor.Settings            // of classes that have none of their own
	Classes  map[string]cursor.Settings // by name; only Fresh, Again and the batches may differ
	Waiting  int                        // requests that wait for data servers at a time, beyond it they come again
	ReadFor  time.Duration              // a reading's time
	Self     crdt.Origin
	State    *peer.State // where cursors are shared; nil: nowhere
	Now      func() int64
	Read     func(ReadRequest) ReadResult // asks some member; returns by Ask.Until
}

// ReadRequest is one reading: what follows a point, or the last events where it has no history.
type ReadRequest struct {
	Class     string
	Group     int64
	After     cursor.Position
	MaxEvents int
	Until     int64
	Who       contract.Identity // the first of those it is for
}

// ReadResult is what came of it: a value, or an error and a time to come again where one was told.
type ReadResult struct {
	Value []byte
	Wait  int64
	Err   error
}

// Request is one subscriber's.
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

// Counts are what a Part did since its start.
type Counts struct {
	Cursors  int               `json:"cursors"` // held now
	Answers  uint64            `json:"answers"`
	Events   uint64            `json:"events"`
	EndReads uint64            `json:"end_reads"` // of feeds' ends
	FarReads uint64            `json:"far_reads"` // for those that are behind the ring
	Refused  uint64            `json:"refused"`
	Rows     map[string]uint64 `json:"rows"` // of the table, by name
	rows     [cursor.RowCount]uint64
}

// Feeds answers. All its methods may be called from any goroutine.
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

// shard is some of the subscribers' cursors under a lock of its own.
type shard struct {
	mu       sync.Mutex
	registry *cursor.Registry
}

// do has a function look at the cursors of a key's shard. It must wait for nothing.
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

// log is one group's, as a class reads it.
type log struct {
	name
	text   string // as routers call it
	number uint32
	set    cursor.Settings

	mu   sync.Mutex
	feed *cursor.Feed
	end  *reading
	far  map[cursor.Position]*reading
}

// New returns a Part that knows nothing yet.
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

// Serves says whether a class is one of feeds.
func (p *Feeds) Serves(class string) bool {
	_, ok := p.opt.Classes[class]
	return ok
}

// Close waits for the readings that are under way.
func (p *Feeds) Close() { p.readings.Wait() }

// Counts are as of now.
func (p *Feeds) Counts() Counts {
	p.count.Lock()
	c := p.count.Counts
	p.count.Unlock()
	c.Cursors, c.Rows = p.cursors(), map[string]uint64{}
	for row, n := range c.rows {
		if n > 0 {
			c.Rows[cursor.Row(row).String()] = n
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

// log is the one that a request is of. There are as many as classes times groups that the list has.
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
