// Package budget shares the process's file descriptors out between clients,
// which must always find one, and connections to data servers.
package budget

import "sync"

// Budget counts descriptors. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	most, used int
	reserve    int // of most: kept for accepted clients
	waiting    chan struct{}
}

// own covers what is neither a client nor a data server: standard streams, the
// listener, the poller, discovery, the config file while it is read.
const own = 24

// New returns a budget for a process that may hold limit descriptors.
func New(limit int) *Budget {
	most := max(limit-own, 2)
	return &Budget{most: most, reserve: most / 8, waiting: make(chan struct{}, 1)}
}

// Dial takes a descriptor for a connection to a data server, if one is free
// beyond those kept for clients.
func (b *Budget) Dial() bool { return b.take(b.reserve) }

// Accept takes a descriptor for a client, if one is free.
func (b *Budget) Accept() bool { return b.take(0) }

func (b *Budget) take(keep int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+keep >= b.most {
		return false
	}
	b.used++
	return true
}

// Free gives a descriptor back.
func (b *Budget) Free() {
	b.mu.Lock()
	b.used--
	b.mu.Unlock()
	select {
	case b.waiting <- struct{}{}:
	default:
	}
}

// Freed signals that a descriptor may have come free since it was last read.
func (b *Budget) Freed() <-chan struct{} { return b.waiting }

// Used is the number of descriptors taken.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
