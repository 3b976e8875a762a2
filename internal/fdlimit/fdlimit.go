// Package fdlimit divides the process's file descriptors between client connections and connections to data servers.
// Neither side can use the descriptors of the other, so that a flood of clients does not prevent connections to the
// data servers.
package fdlimit

import (
	"errors"
	"sync"
	"syscall"
)

// Budget counts the reserved descriptors. It is safe for concurrent use.
type Budget struct {
	mu               sync.Mutex
	clients, servers side
	clientReleased   chan struct{}
}

// A side's capacity is at most its maxCapacity.
type side struct{ capacity, used, maxCapacity int }

// otherDescriptors is the number of descriptors for anything else: standard streams, the listener, the poller,
// discovery, and the configuration file while it is read.
const otherDescriptors = 24

// New returns a budget for a process that may open limit descriptors.
func New(limit int) *Budget {
	available := max(limit-otherDescriptors, 2)
	servers := available * 3 / 8 // a third of all for open requests, and the rest for probes and idle connections
	return &Budget{clients: side{capacity: available - servers, maxCapacity: available - servers}, servers: side{capacity: servers}, clientReleased: make(chan struct{}, 1)}
}

// ReserveServer reserves a descriptor for a connection to a data server, if one is free.
func (b *Budget) ReserveServer() bool { return b.reserve(&b.servers) }

// ReleaseServer releases a descriptor that ReserveServer reserved.
func (b *Budget) ReleaseServer() { b.release(&b.servers) }

// ReserveClient reserves a descriptor for a client connection, if one is free.
func (b *Budget) ReserveClient() bool { return b.reserve(&b.clients) }

// ReleaseClient releases a descriptor that ReserveClient reserved.
func (b *Budget) ReleaseClient() {
	b.release(&b.clients)
	select {
	case b.clientReleased <- struct{}{}:
	default:
	}
}

// Clients returns the current limit of client descriptors, and how many are reserved.
func (b *Budget) Clients() (limit, used int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients.capacity, b.clients.used
}

// LimitClients sets the limit of client descriptors and returns the new limit, which is at least minClients and at most
// the clients' part of New's limit. It is used when the system grants fewer descriptors than that limit.
func (b *Budget) LimitClients(limit int) int {
	const minClients = 8
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clients.capacity = min(max(limit, minClients), b.clients.maxCapacity)
	return b.clients.capacity
}

// IsExhausted reports whether an error says that the process or the system has no free descriptor, which may happen
// below the budget's limit.
func IsExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

func (b *Budget) reserve(part *side) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if part.used >= part.capacity {
		return false
	}
	part.used++
	return true
}

func (b *Budget) release(part *side) {
	b.mu.Lock()
	defer b.mu.Unlock()
	part.used--
}

// ClientReleased returns a channel that signals that ReleaseClient may have been called since the last receive.
func (b *Budget) ClientReleased() <-chan struct{} { return b.clientReleased }

// Used returns the number of reserved descriptors.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients.used + b.servers.used
}
