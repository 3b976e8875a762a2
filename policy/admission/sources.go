package admission

import (
	"net/netip"

	"lotushook/policy/clock"
)

// source is an address or a prefix that connections come from.
type source struct {
	key         netip.Prefix
	connections int
	admitted    rateWindow
	silent      silentList

	newer, older *source // neighbors among the sources without connections, by when they last had one
}

// sources remembers addresses or prefixes: all that have connections, and of the
// others the latest, up to a bound.
type sources struct {
	all               map[netip.Prefix]*source
	newest, oldest    *source // of those without connections
	resting, capacity int
}

func newSources(most int) *sources {
	return &sources{all: map[netip.Prefix]*source{}, capacity: most}
}

// get finds a source, or makes one that is not remembered before it has a connection or
// an arrival.
func (s *sources) get(key netip.Prefix) *source {
	if f := s.all[key]; f != nil {
		return f
	}
	return &source{key: key}
}

// connect counts a connection of a source that get returned.
func (s *sources) connect(f *source, now clock.Nanos) {
	if f.connections == 0 && s.all[f.key] == f {
		s.unlinkIdle(f)
	}
	s.all[f.key] = f
	f.connections++
	f.admitted.add(now)
}

// disconnect ends a connection of a source. A source without connections is
// remembered for its rate; the least recently used one is dropped for it.
func (s *sources) disconnect(f *source) {
	if f.connections--; f.connections > 0 {
		return
	}
	f.older, f.newer = s.newest, nil
	if s.newest != nil {
		s.newest.newer = f
	} else {
		s.oldest = f
	}
	s.newest = f
	if s.resting++; s.resting > s.capacity {
		old := s.oldest
		s.unlinkIdle(old)
		delete(s.all, old.key)
	}
}

// unlinkIdle removes a source from those without connections.
func (s *sources) unlinkIdle(f *source) {
	if f.newer != nil {
		f.newer.older = f.older
	} else {
		s.newest = f.older
	}
	if f.older != nil {
		f.older.newer = f.newer
	} else {
		s.oldest = f.newer
	}
	f.newer, f.older = nil, nil
	s.resting--
}

// sourceKeys returns an address and its prefix. A v4-mapped v6 address counts as v4.
func sourceKeys(a netip.Addr) (addr, prefix netip.Prefix) {
	a = a.Unmap().WithZone("")
	bits := 64
	if a.Is4() {
		bits = 24
	}
	addr = netip.PrefixFrom(a, a.BitLen())
	prefix, err := a.Prefix(bits)
	if err != nil { // no address at all: all such share one entry
		return netip.Prefix{}, netip.Prefix{}
	}
	return addr, prefix
}

func contains(list []netip.Prefix, a netip.Addr) bool {
	a = a.Unmap().WithZone("")
	for _, p := range list {
		if p.Contains(a) {
			return true
		}
	}
	return false
}
