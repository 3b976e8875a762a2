// Package fdlimit shares the process's file descriptors out between clients and
// connections to data servers. Neither side can take the other's: a flood of
// clients must leave the way to the data servers open.
package fdlimit

import (
	"errors"
	"sync"
	"syscall"
)

// Budget counts descriptors. It is safe for concurrent use.
type Budget struct {
	mu               sync.Mutex
	clients, servers side
	waiting          chan struct{}
}

type side struct{ capacity, used, advertised int }

// own covers what is neither a client nor a data server: standard streams, the
// listener, the poller, discovery, the config file while it is read.
const own = 24

// New returns a budget for a process that may hold limit descriptors.
func New(limit int) *Budget {
	most := max(limit-own, 2)
	servers := most * 3 / 8 // a third may be clients with a request open; then there are probes, and some that idle
	return &Budget{clients: side{capacity: most - servers, advertised: most - servers}, servers: side{capacity: servers}, waiting: make(chan struct{}, 1)}
}

// Dial takes a descriptor for a connection to a data server, if one is free.
func (b *Budget) Dial() bool { return b.take(&b.servers) }

// Hangup gives back what Dial took.
func (b *Budget) Hangup() { b.give(&b.servers) }

// Accept takes a descriptor for a client, if one is free.
func (b *Budget) Accept() bool { return b.take(&b.clients) }

// Leave gives back what Accept took.
func (b *Budget) Leave() {
	b.give(&b.clients)
	select {
	case b.waiting <- struct{}{}:
	default:
	}
}

// Clients is how many descriptors clients may hold by now, and how many they do.
func (b *Budget) Clients() (most, used int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients.capacity, b.clients.used
}

// LimitClients is for when the system grants fewer descriptors than were told of:
// clients may hold so many from now on, at least leastClients and at most what
// they were to have. It returns what is in force.
func (b *Budget) LimitClients(n int) int {
	const leastClients = 8
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clients.capacity = min(max(n, leastClients), b.clients.advertised)
	return b.clients.capacity
}

// Exhausted says whether an error is that the process, or the system, has no
// descriptor left, whatever was counted.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

func (b *Budget) take(s *side) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.used >= s.capacity {
		return false
	}
	s.used++
	return true
}

func (b *Budget) give(s *side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.used--
}

// Left signals that a client may have left since it was last read.
func (b *Budget) Left() <-chan struct{} { return b.waiting }

// Used is the number of descriptors taken.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients.used + b.servers.used
}
