package discovery

import (
	"errors"
	"fmt"
	"hash/fnv"
	"sync"

	"lotushook/policy/balance"
)

// Directory maps the host names in endpoint lists to the endpoint IDs that the decision module (policy/balance) uses,
// and IDs to addresses and states. It is safe for concurrent use.
type Directory struct {
	mu           sync.RWMutex
	entries      map[balance.EndpointID]directoryEntry
	ids          map[string]balance.EndpointID
	removedOrder []balance.EndpointID // removed hosts, the one removed first in front
}

type directoryEntry struct {
	name      string
	address   string
	group     int64
	startedMS int64 // the latest start time that was listed, Unix ms
	ready     bool
	removed   bool
}

// NewDirectory returns a directory without entries.
func NewDirectory() *Directory {
	return &Directory{entries: map[balance.EndpointID]directoryEntry{}, ids: map[string]balance.EndpointID{}}
}

// errEmptyList rejects a complete list without hosts while hosts are listed. The agent must have lost its list, as
// servers leave one after the other and never all at once.
var errEmptyList = errors.New("list: complete but empty, although hosts are listed; keeping the current list")

// tooManyHostsError reports a list with more hosts than a router supports.
type tooManyHostsError struct{ hosts int }

// Error implements the error interface.
func (err tooManyHostsError) Error() string {
	return fmt.Sprintf("list: %d hosts exceed the limit of %d; keeping the current list", err.hosts, maxListed)
}

// Update applies a list from discovery. A list that would remove all hosts, or list too many, is rejected and changes
// nothing. A list that may be outdated can remove, drain and add hosts, but does not reactivate a removed or draining
// server unless the server has restarted.
func (directory *Directory) Update(list *List) (balance.Event, error) {
	if list.MayBeOutdated {
		list = directory.withoutReactivations(list)
	}
	if list.Complete && len(list.Hosts) == 0 && directory.hasListed() {
		return balance.Event{}, errEmptyList
	}
	if count := directory.countAfter(list); count > maxListed {
		return balance.Event{}, tooManyHostsError{count}
	}
	return directory.Apply(list), nil
}

// withoutReactivations returns the list without changes that would reactivate a draining or removed server that has not
// restarted, or that would end its slow start early.
func (directory *Directory) withoutReactivations(list *List) *List {
	directory.mu.RLock()
	defer directory.mu.RUnlock()
	filtered := &List{Version: list.Version, Complete: list.Complete}
	for _, host := range list.Hosts {
		id, known := directory.ids[host.Name]
		if entry := directory.entries[id]; known && host.StartedMS <= entry.startedMS {
			if host.StartedMS = entry.startedMS; !entry.ready && states[host.State] == balance.Ready {
				host.State = "DRAINING"
			}
		}
		filtered.Hosts = append(filtered.Hosts, host)
	}
	return filtered
}

// countAfter returns an upper bound of the number of listed hosts after a list is applied: each changed host that is
// not in the directory counts as an addition.
func (directory *Directory) countAfter(list *List) int {
	if list.Complete {
		return len(list.Hosts)
	}
	directory.mu.RLock()
	defer directory.mu.RUnlock()
	count := len(directory.entries)
	for _, host := range list.Hosts {
		if _, known := directory.ids[host.Name]; !known {
			count++
		}
	}
	return count
}

func (directory *Directory) hasListed() bool {
	directory.mu.RLock()
	defer directory.mu.RUnlock()
	for _, entry := range directory.entries {
		if !entry.removed {
			return true
		}
	}
	return false
}

// Apply applies a list without the checks of Update, and returns the event that reports the list to the decision
// module.
func (directory *Directory) Apply(list *List) balance.Event {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	event := balance.Event{Kind: balance.EndpointUpdate}
	if list.Complete {
		event.Kind = balance.EndpointSnapshot
		listed := map[string]bool{}
		for _, host := range list.Hosts {
			listed[host.Name] = true
		}
		for id, entry := range directory.entries { // hosts absent from a complete list have been removed
			if !listed[entry.name] {
				directory.remove(id, entry)
			}
		}
	}
	for _, host := range list.Hosts {
		id := directory.id(host.Name)
		entry := directoryEntry{name: host.Name, address: host.Address, group: host.Group, startedMS: host.StartedMS, ready: states[host.State] == balance.Ready, removed: directory.entries[id].removed}
		if entry.address == "" {
			entry.address = directory.entries[id].address
		}
		if states[host.State] == balance.Removed {
			entry.startedMS = max(entry.startedMS, directory.entries[id].startedMS) // a removal may omit the start
			directory.remove(id, entry)
		} else {
			entry.removed = false
			directory.entries[id] = entry
		}
		event.Endpoints = append(event.Endpoints, balance.Endpoint{ID: id, Group: host.Group, Zone: host.Zone,
			State: states[host.State], Primary: host.Role == "source", Weight: host.Weight, StartedAt: host.StartedMS * 1e6})
	}
	return event
}

// remove marks a host as removed and forgets the hosts removed first beyond maxRemoved, so that the directory does not
// grow where servers are replaced all the time.
func (directory *Directory) remove(id balance.EndpointID, entry directoryEntry) {
	if entry.ready = false; !entry.removed {
		entry.removed = true
		directory.removedOrder = append(directory.removedOrder, id)
	}
	directory.entries[id] = entry
	for len(directory.removedOrder) > maxRemoved {
		id := directory.removedOrder[0]
		directory.removedOrder = directory.removedOrder[1:]
		if entry := directory.entries[id]; entry.removed {
			delete(directory.entries, id)
			delete(directory.ids, entry.name)
		}
	}
}

// HasGroup reports whether a group has a listed host. Before the first list, it reports true for every group.
func (directory *Directory) HasGroup(group int64) bool {
	directory.mu.RLock()
	defer directory.mu.RUnlock()
	for _, entry := range directory.entries {
		if entry.group == group && !entry.removed {
			return true
		}
	}
	return len(directory.entries) == 0
}

// id returns the ID of a host. It is the hash of the name, and so the same at every router, unless two names have the
// same hash.
func (directory *Directory) id(host string) balance.EndpointID {
	if id, ok := directory.ids[host]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(host))
	id := balance.EndpointID(hash.Sum32())
	for {
		if _, used := directory.entries[id]; !used {
			break
		}
		id++
	}
	directory.ids[host], directory.entries[id] = id, directoryEntry{}
	return id
}

// NameOf returns an endpoint's name, or an empty string if the endpoint was never listed or was removed long ago.
func (directory *Directory) NameOf(endpoint balance.EndpointID) string {
	directory.mu.RLock()
	defer directory.mu.RUnlock()
	return directory.entries[endpoint].name
}

// StartOf returns an endpoint's name and its listed start time in Unix ns.
func (directory *Directory) StartOf(endpoint balance.EndpointID) (name string, startedAt int64) {
	directory.mu.RLock()
	defer directory.mu.RUnlock()
	return directory.entries[endpoint].name, directory.entries[endpoint].startedMS * 1e6
}

// Address returns the address of an endpoint, and whether it may get new queries: it must be listed and not draining.
func (directory *Directory) Address(endpoint balance.EndpointID) (address string, ready bool) {
	directory.mu.RLock()
	defer directory.mu.RUnlock()
	entry := directory.entries[endpoint]
	return entry.address, entry.ready
}

// maxRemoved is the number of removed hosts that are remembered: connections to them may still be open, and a host that
// is listed again gets its old ID.
const maxRemoved = 64

// maxListed is the maximum number of listed hosts. Each host costs memory here and in the routing decisions, and a
// faulty agent that keeps listing new hosts would exhaust it.
const maxListed = 16 << 10
