package contract

import "net/netip"

// Identity is what is known of a client.
type Identity struct {
	User, Database, Application string
	Address                     netip.Addr
}

// matcher finds teams by what clients say and their addresses.
type matcher struct {
	users, databases, applications, names map[string][]int
	prefixes                              map[netip.Prefix][]int
	bits                                  []int // the prefix lengths that occur, for either address family
}

func newMatcher(teams []Team) *matcher {
	m := &matcher{map[string][]int{}, map[string][]int{}, map[string][]int{}, map[string][]int{}, map[netip.Prefix][]int{}, nil}
	seen := map[int]bool{}
	for i, t := range teams {
		m.names[t.Name] = append(m.names[t.Name], i)
		for list, index := range map[*[]string]map[string][]int{&t.Users: m.users, &t.Databases: m.databases, &t.Applications: m.applications} {
			for _, name := range *list {
				index[name] = append(index[name], i)
			}
		}
		for _, p := range t.Addresses {
			p = p.Masked()
			m.prefixes[p] = append(m.prefixes[p], i)
			if !seen[p.Bits()] {
				seen[p.Bits()] = true
				m.bits = append(m.bits, p.Bits())
			}
		}
	}
	return m
}

// Match finds a client's team by its identity; it
// is -1 with the reason where there is none, or where there are two and the
// settings reject that.
func (b *Ledger) Match(who Identity) (team int, why Reason) {
	found, two := -1, false
	take := func(list []int) {
		for _, i := range list {
			two = two || found >= 0 && found != i
			if found < 0 || i < found {
				found = i
			}
		}
	}
	m := b.matcher
	take(m.users[who.User])
	take(m.databases[who.Database])
	take(m.applications[who.Application])
	if a := who.Address.Unmap().WithZone(""); a.IsValid() {
		for _, bits := range m.bits {
			if p, err := a.Prefix(bits); err == nil {
				take(m.prefixes[p])
			}
		}
	}
	switch {
	case two && b.settings.Ambiguous == "refuse":
		return -1, AmbiguousTeam
	case found >= 0:
		return found, Within
	}
	return b.none()
}

// Named finds the team that a request's comment names, where comments are trusted;
// otherwise the client's own team stays.
func (b *Ledger) Named(name string, team int, why Reason) (int, Reason) {
	if !b.settings.TrustComment || name == "" {
		return team, why
	}
	if list := b.matcher.names[name]; len(list) > 0 {
		return list[0], Within
	}
	return b.none()
}

func (b *Ledger) none() (int, Reason) {
	if list := b.matcher.names[b.settings.DefaultTeam]; b.settings.DefaultTeam != "" && len(list) > 0 {
		return list[0], Within
	}
	return -1, UnknownTeam
}
