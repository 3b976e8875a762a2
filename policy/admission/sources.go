package admission

import (
	"net/netip"

	"lotushook/policy/clock"
)

// sourceEntry is an address or a prefix from which connections come.
type sourceEntry struct {
	key         netip.Prefix
	connections int
	admitted    rateWindow
	silent      silentList

	newer, older *sourceEntry // in the list of sources without connections, ordered by the end of their last connection
}

// sourceTable stores addresses or prefixes: all that have connections and, up to its capacity, those whose last
// connection ended most recently.
type sourceTable struct {
	byKey               map[netip.Prefix]*sourceEntry
	newest, oldest      *sourceEntry // ends of the list of the sources without connections
	idleCount, capacity int          // number of sources without connections, and its maximum
}

func newSourceTable(capacity int) *sourceTable {
	return &sourceTable{byKey: map[netip.Prefix]*sourceEntry{}, capacity: capacity}
}

// lookup returns the source with a key. If there is none, it returns a new source, which connect then stores.
func (table *sourceTable) lookup(key netip.Prefix) *sourceEntry {
	if source := table.byKey[key]; source != nil {
		return source
	}
	return &sourceEntry{key: key}
}

// connect counts a new connection of a source that lookup returned.
func (table *sourceTable) connect(source *sourceEntry, now clock.Nanos) {
	if source.connections == 0 && table.byKey[source.key] == source {
		table.unlinkIdle(source)
	}
	table.byKey[source.key] = source
	source.connections++
	source.admitted.add(now)
}

// disconnect counts the end of a connection. A source without connections stays stored, because the limit on its
// arrival rate still applies. If more such sources are stored than the capacity allows, the one that has been without
// connections for longest is removed.
func (table *sourceTable) disconnect(source *sourceEntry) {
	if source.connections--; source.connections > 0 {
		return
	}
	source.older, source.newer = table.newest, nil
	if table.newest != nil {
		table.newest.newer = source
	} else {
		table.oldest = source
	}
	table.newest = source
	if table.idleCount++; table.idleCount > table.capacity {
		oldest := table.oldest
		table.unlinkIdle(oldest)
		delete(table.byKey, oldest.key)
	}
}

// unlinkIdle removes a source from the list of those without connections.
func (table *sourceTable) unlinkIdle(source *sourceEntry) {
	if source.newer != nil {
		source.newer.older = source.older
	} else {
		table.newest = source.older
	}
	if source.older != nil {
		source.older.newer = source.newer
	} else {
		table.oldest = source.newer
	}
	source.newer, source.older = nil, nil
	table.idleCount--
}

// sourceKeys returns the keys of an address and of its prefix. An IPv4-mapped IPv6 address counts as IPv4.
func sourceKeys(address netip.Addr) (addressKey, prefixKey netip.Prefix) {
	address = address.Unmap().WithZone("")
	bits := 64
	if address.Is4() {
		bits = 24
	}
	addressKey = netip.PrefixFrom(address, address.BitLen())
	prefixKey, err := address.Prefix(bits)
	if err != nil { // an invalid address: all of them share one entry
		return netip.Prefix{}, netip.Prefix{}
	}
	return addressKey, prefixKey
}

func contains(prefixes []netip.Prefix, address netip.Addr) bool {
	address = address.Unmap().WithZone("")
	for _, prefix := range prefixes {
		if prefix.Contains(address) {
			return true
		}
	}
	return false
}
