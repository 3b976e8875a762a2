// Package backend keeps connections to data servers and makes attempts and
// probes on them. It speaks PostgreSQL as a client and decides nothing.
package backend

import (
	"context"
	"sync"
	"time"

	"lotushook/internal/fdlimit"
	"lotushook/internal/metrics"
	"lotushook/internal/ringbuffer"
	"lotushook/policy/balance"
)

// Directory resolves endpoints to addresses, and knows which may get new queries.
type Directory interface {
	Address(node balance.EndpointID) (dial string, ready bool)
}

// Options are a pool's settings.
type Options struct {
	Directory        Directory
	Descriptors      *fdlimit.Budget
	ConnectTimeout   time.Duration
	IdleClose        time.Duration     // data servers close idle connections after this
	ReadQuota        *ringbuffer.Quota // bounds the buffered part of answers; nil: no bound
	StallTimeout     time.Duration     // an answer that has begun must make progress within this
	SettleTime       time.Duration     // a connection rests so long after an answer: unsolicited messages are seen by then
	OutOfDescriptors func()            // called when the system has no descriptor left; nil: not called
	Metrics          *metrics.Metrics  // counts dials; nil: not counted
	// DialDelay is called before a dial, which may be made after wait, no longer than most; !ok: it must not be made, and
	// nothing was sent. nil: at once.
	DialDelay       func(most time.Duration) (wait time.Duration, ok bool)
	DuplicateWindow time.Duration // so soon after its query, the same answer again is a duplicate of the previous one
}

// Pool holds the idle connections to all data servers. It is safe for
// concurrent use.
type Pool struct {
	Options
	mu     sync.Mutex
	idle   map[balance.EndpointID][]*serverConn // by endpoint; the most recently used last
	all    map[*serverConn]struct{}
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	return &Pool{Options: o, idle: map[balance.EndpointID][]*serverConn{}, all: map[*serverConn]struct{}{}}
}

// Run retires connections well before the data servers close them, until the
// context ends; then it closes all.
func (p *Pool) Run(ctx context.Context) {
	keep := p.IdleClose / 2
	tick := time.NewTicker(max(keep/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			return
		case now := <-tick.C:
			p.retire(now.Add(-keep))
		}
	}
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	p.closed = true
	var all []*serverConn
	for c := range p.all {
		all = append(all, c)
	}
	p.mu.Unlock()
	for _, c := range all {
		c.close()
	}
}

// retire closes connections that have been idle since before a time, and all idle
// connections to endpoints that drain, are gone, or have moved.
func (p *Pool) retire(before time.Time) {
	var old []*serverConn
	p.mu.Lock()
	for node, list := range p.idle {
		dial, ready := p.Directory.Address(node)
		var keep []*serverConn
		for _, c := range list {
			if !ready || dial != c.address || c.idleAt.Before(before) {
				old = append(old, c)
			} else {
				keep = append(keep, c)
			}
		}
		p.idle[node] = keep
		if len(keep) == 0 {
			delete(p.idle, node)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// takeIdle returns the most recently used idle connection to an endpoint that has settled,
// if any.
func (p *Pool) takeIdle(node balance.EndpointID, dial string, now time.Time) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[node]
	for i := len(list) - 1; i >= 0 && !p.closed; i-- {
		if c := list[i]; c.address == dial && now.Sub(c.idleAt) >= p.SettleTime {
			p.removeIdle(c)
			return c
		}
	}
	return nil
}

// add registers a new connection, unless the pool is closed.
func (p *Pool) add(c *serverConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.all[c] = struct{}{}
	return true
}

// putIdle makes a connection available again.
func (p *Pool) putIdle(c *serverConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, live := p.all[c]; p.closed || !live {
		return false
	}
	c.idleAt = time.Now()
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
	return true
}

// remove forgets a closed connection.
func (p *Pool) remove(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, c)
	p.removeIdle(c)
}

// removeIdle takes a connection off the idle list; the lock is held.
func (p *Pool) removeIdle(c *serverConn) {
	list := p.idle[c.endpoint]
	for i, x := range list {
		if x == c {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if p.idle[c.endpoint] = list; len(list) == 0 {
		delete(p.idle, c.endpoint)
	}
}

// EvictIdle closes the connection that has been idle longest, so that its
// descriptor comes free; false means that none was idle.
func (p *Pool) EvictIdle() bool {
	p.mu.Lock()
	var oldest *serverConn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleAt.Before(oldest.idleAt) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.removeIdle(oldest)
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.release()
	return true
}

// Counts returns the number of connections, and how many of them are idle.
func (p *Pool) Counts() (all, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return len(p.all), idle
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	_, idle := p.Counts()
	return idle
}
