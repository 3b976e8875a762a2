package discovery

import (
	"errors"
	"fmt"
	"hash/fnv"
	"sync"

	"lotushook/policy/balance"
)

// Directory maps hosts to the endpoint IDs that the decisions use, and IDs to
// addresses and states. It is safe for concurrent use.
type Directory struct {
	mu           sync.RWMutex
	entries      map[balance.EndpointID]directoryEntry
	ids          map[string]balance.EndpointID
	removedOrder []balance.EndpointID // removed hosts, the earliest first
}

type directoryEntry struct {
	name      string
	address   string
	group     int64
	startedMS int64 // the latest reported start, Unix ms
	ready     bool
	removed   bool
}

// NewDirectory returns a directory without entries.
func NewDirectory() *Directory {
	return &Directory{entries: map[balance.EndpointID]directoryEntry{}, ids: map[string]balance.EndpointID{}}
}

// errEmptyList reports an agent that has lost its list: servers leave one after the other, and never all at once.
var errEmptyList = errors.New("list: whole and empty, though hosts were listed: the old one is kept")

// tooManyHostsError reports a list with more hosts than a router can hold.
type tooManyHostsError struct{ hosts int }

// Error implements the error interface.
func (e tooManyHostsError) Error() string {
	return fmt.Sprintf("list: %d hosts would be listed, and at most %d may: the old list is kept", e.hosts, maxListed)
}

// Update is Apply of a list from discovery. One that would remove all hosts, or list too many, changes nothing. One that is
// doubtful may withdraw, drain and add hosts, but does not lift a withdrawal or drain of a server's present start.
func (d *Directory) Update(l *List) (balance.Event, error) {
	if l.Doubtful {
		l = d.withoutRevivals(l)
	}
	if l.Complete && len(l.Hosts) == 0 && d.hasListed() {
		return balance.Event{}, errEmptyList
	}
	if n := d.countAfter(l); n > maxListed {
		return balance.Event{}, tooManyHostsError{n}
	}
	return d.Apply(l), nil
}

// withoutRevivals returns a list without the entries that would reactivate a draining or removed server, or end its slow start early.
func (d *Directory) withoutRevivals(l *List) *List {
	d.mu.RLock()
	defer d.mu.RUnlock()
	kept := &List{Version: l.Version, Complete: l.Complete}
	for _, h := range l.Hosts {
		id, met := d.ids[h.Name]
		if p := d.entries[id]; met && h.StartedMS <= p.startedMS {
			if h.StartedMS = p.startedMS; !p.ready && states[h.State] == balance.Ready {
				h.State = "DRAINING"
			}
		}
		kept.Hosts = append(kept.Hosts, h)
	}
	return kept
}

// countAfter is the number of listed hosts after a list is applied, at most: each changed host counts that is not listed yet.
func (d *Directory) countAfter(l *List) int {
	if l.Complete {
		return len(l.Hosts)
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := len(d.entries)
	for _, h := range l.Hosts {
		if _, met := d.ids[h.Name]; !met {
			n++
		}
	}
	return n
}

func (d *Directory) hasListed() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, p := range d.entries {
		if !p.removed {
			return true
		}
	}
	return false
}

// Apply applies a list and returns it as an event for the decisions.
func (d *Directory) Apply(l *List) balance.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := balance.Event{Kind: balance.EndpointUpdate}
	if l.Complete {
		e.Kind = balance.EndpointSnapshot
		listed := map[string]bool{}
		for _, h := range l.Hosts {
			listed[h.Name] = true
		}
		for id, p := range d.entries { // absent from the complete list: removed
			if !listed[p.name] {
				d.remove(id, p)
			}
		}
	}
	for _, h := range l.Hosts {
		id := d.id(h.Name)
		p := directoryEntry{name: h.Name, address: h.Address, group: h.Group, startedMS: h.StartedMS, ready: states[h.State] == balance.Ready, removed: d.entries[id].removed}
		if p.address == "" {
			p.address = d.entries[id].address
		}
		if states[h.State] == balance.Removed {
			p.startedMS = max(p.startedMS, d.entries[id].startedMS) // a withdrawal may omit it
			d.remove(id, p)
		} else {
			p.removed = false
			d.entries[id] = p
		}
		e.Endpoints = append(e.Endpoints, balance.Endpoint{ID: id, Group: h.Group, Zone: h.Zone,
			State: states[h.State], Primary: h.Role == "source", Weight: h.Weight, StartedAt: h.StartedMS * 1e6})
	}
	return e
}

// remove marks a host as removed, and forgets the earliest removed ones: with
// servers replaced all day they would pile up.
func (d *Directory) remove(id balance.EndpointID, p directoryEntry) {
	if p.ready = false; !p.removed {
		p.removed = true
		d.removedOrder = append(d.removedOrder, id)
	}
	d.entries[id] = p
	for len(d.removedOrder) > maxRemoved {
		id := d.removedOrder[0]
		d.removedOrder = d.removedOrder[1:]
		if p := d.entries[id]; p.removed {
			delete(d.entries, id)
			delete(d.ids, p.name)
		}
	}
}

// HasGroup says whether a group has a listed host. Before the first list, every
// group may have one.
func (d *Directory) HasGroup(group int64) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, p := range d.entries {
		if p.group == group && !p.removed {
			return true
		}
	}
	return len(d.entries) == 0
}

// id gives a host the same ID at every router, except where two names share a hash.
func (d *Directory) id(host string) balance.EndpointID {
	if id, ok := d.ids[host]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(host))
	id := balance.EndpointID(h.Sum32())
	for {
		if _, taken := d.entries[id]; !taken {
			break
		}
		id++
	}
	d.ids[host], d.entries[id] = id, directoryEntry{}
	return id
}

// NameOf returns an endpoint's name; "" for one that was never listed, or removed long ago.
func (d *Directory) NameOf(node balance.EndpointID) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.entries[node].name
}

// StartOf returns an endpoint's name and start time, as listed.
func (d *Directory) StartOf(node balance.EndpointID) (host string, born int64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.entries[node].name, d.entries[node].startedMS * 1e6
}

// Address returns the address of an endpoint, and whether it may get new queries: it is
// listed, and neither draining nor removed.
func (d *Directory) Address(node balance.EndpointID) (dial string, ready bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p := d.entries[node]
	return p.address, p.ready
}

// maxRemoved is how many removed hosts are remembered: connections to them may
// still be open, and one may come back under its ID.
const maxRemoved = 64

// maxListed is how many hosts may be listed at once: each costs memory here and in the decisions, and an agent that lists
// ever new ones would use all of it.
const maxListed = 16 << 10
