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

	newer, older *source // among those that hold nothing, by when they held something last
}

// sources remembers addresses or prefixes: all that hold connections, and of the
// others the latest, up to a bound.
type sources struct {
	all               map[netip.Prefix]*source
	newest, oldest    *source // of those that hold nothing
	resting, capacity int
}

func newSources(most int) *sources {
	return &sources{all: map[netip.Prefix]*source{}, capacity: most}
}

// get finds a source, or makes one that is not remembered before it holds or
// took something.
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

// disconnect is the end of a connection of a source. What holds nothing any more is
// remembered for its rate; the one that has rested longest makes room.
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

// unlinkIdle takes a source out of those that hold nothing.
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

// sourceKeys are an address and its prefix. A v4 address in v6 clothes counts as v4.
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
