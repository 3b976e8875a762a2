// Package backend manages connections to data servers and makes attempts and probes on them. It speaks PostgreSQL as a
// client and makes no routing decisions.
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

// Directory resolves endpoints to addresses and knows which may get new queries.
type Directory interface {
	Address(endpoint balance.EndpointID) (address string, ready bool)
}

// Options configure a pool.
type Options struct {
	Directory        Directory
	Descriptors      *fdlimit.Budget
	ConnectTimeout   time.Duration
	IdleClose        time.Duration     // data servers close idle connections after this
	ReadQuota        *ringbuffer.Quota // limits the total size of buffered answers; nil: no limit
	StallTimeout     time.Duration     // maximum time between two reads of an answer that has begun
	SettleTime       time.Duration     // no reuse for this long after an answer, to detect unsolicited messages
	OutOfDescriptors func()            // called when the system has no descriptor left; may be nil
	Metrics          *metrics.Metrics  // counts dials; may be nil
	// DialDelay is called before each dial, which is then delayed by wait, at most maxWait. If ok is false, the dial
	// must not be made and the query counts as not sent. If DialDelay is nil, dials are not delayed.
	DialDelay       func(maxWait time.Duration) (wait time.Duration, ok bool)
	DuplicateWindow time.Duration // an answer that equals the previous one in all it says, within this time after its query, is a duplicate
}

// Pool contains the connections to all data servers. It is safe for concurrent use.
type Pool struct {
	Options
	roles  reportedRoles
	mu     sync.Mutex
	idle   map[balance.EndpointID][]*serverConn // by endpoint; the most recently used last
	all    map[*serverConn]struct{}
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	return &Pool{
		Options: options,
		roles:   reportedRoles{byEndpoint: map[balance.EndpointID]reportedRole{}},
		idle:    map[balance.EndpointID][]*serverConn{},
		all:     map[*serverConn]struct{}{},
	}
}

// Run closes idle connections well before the data servers would, until the context ends; then it closes all
// connections.
func (pool *Pool) Run(ctx context.Context) {
	maxIdle := pool.IdleClose / 2
	ticker := time.NewTicker(max(maxIdle/8, 10*time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			pool.closeAll()
			return
		case now := <-ticker.C:
			pool.retire(now.Add(-maxIdle))
		}
	}
}

func (pool *Pool) closeAll() {
	pool.mu.Lock()
	pool.closed = true
	var all []*serverConn
	for conn := range pool.all {
		all = append(all, conn)
	}
	pool.mu.Unlock()
	for _, conn := range all {
		conn.close()
	}
}

// retire closes connections that have been idle since before the given time, and all idle connections to endpoints that
// are draining, are removed or have another address.
func (pool *Pool) retire(before time.Time) {
	pool.roles.forget(func(endpoint balance.EndpointID) bool {
		_, ready := pool.Directory.Address(endpoint)
		return !ready
	})
	var expired []*serverConn
	pool.mu.Lock()
	for endpoint, list := range pool.idle {
		address, ready := pool.Directory.Address(endpoint)
		var keep []*serverConn
		for _, conn := range list {
			if !ready || address != conn.address || conn.idleAt.Before(before) {
				expired = append(expired, conn)
			} else {
				keep = append(keep, conn)
			}
		}
		pool.idle[endpoint] = keep
		if len(keep) == 0 {
			delete(pool.idle, endpoint)
		}
	}
	pool.mu.Unlock()
	for _, conn := range expired {
		conn.close()
	}
}

// takeIdle removes and returns the most recently used connection to an endpoint that has been idle for the settle time,
// or nil.
func (pool *Pool) takeIdle(endpoint balance.EndpointID, address string, now time.Time) *serverConn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	list := pool.idle[endpoint]
	for i := len(list) - 1; i >= 0 && !pool.closed; i-- {
		if conn := list[i]; conn.address == address && now.Sub(conn.idleAt) >= pool.SettleTime {
			pool.removeIdle(conn)
			return conn
		}
	}
	return nil
}

// add registers a new connection, unless the pool is closed.
func (pool *Pool) add(conn *serverConn) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.closed {
		return false
	}
	pool.all[conn] = struct{}{}
	return true
}

// putIdle makes a connection available again. It reports false if the connection or the pool has been closed.
func (pool *Pool) putIdle(conn *serverConn) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if _, live := pool.all[conn]; pool.closed || !live {
		return false
	}
	conn.idleAt = time.Now()
	pool.idle[conn.endpoint] = append(pool.idle[conn.endpoint], conn)
	return true
}

// remove removes a closed connection from the pool.
func (pool *Pool) remove(conn *serverConn) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	delete(pool.all, conn)
	pool.removeIdle(conn)
}

// removeIdle removes a connection from the idle list. The caller holds the lock.
func (pool *Pool) removeIdle(conn *serverConn) {
	list := pool.idle[conn.endpoint]
	for i, idle := range list {
		if idle == conn {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if pool.idle[conn.endpoint] = list; len(list) == 0 {
		delete(pool.idle, conn.endpoint)
	}
}

// EvictIdle closes the connection that has been idle longest and so frees its descriptor. It reports false if no
// connection was idle.
func (pool *Pool) EvictIdle() bool {
	pool.mu.Lock()
	var oldest *serverConn
	for _, list := range pool.idle {
		if oldest == nil || list[0].idleAt.Before(oldest.idleAt) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		pool.removeIdle(oldest)
	}
	pool.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.release()
	return true
}

// Counts returns the number of connections, and how many of them are idle.
func (pool *Pool) Counts() (all, idle int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, list := range pool.idle {
		idle += len(list)
	}
	return len(pool.all), idle
}

// Idle returns the number of idle connections.
func (pool *Pool) Idle() int {
	_, idle := pool.Counts()
	return idle
}
