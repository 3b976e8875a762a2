package contract

import "net/netip"

// Identity is what identifies a client.
type Identity struct {
	User, Database, Application string
	Address                     netip.Addr
}

// teamMatcher finds teams by the names that clients send and by their addresses.
type teamMatcher struct {
	users, databases, applications, teamNames map[string][]int
	prefixes                                  map[netip.Prefix][]int
	prefixLengths                             []int // the prefix lengths that occur, in either address family
}

func newTeamMatcher(teams []Team) *teamMatcher {
	matcher := &teamMatcher{map[string][]int{}, map[string][]int{}, map[string][]int{}, map[string][]int{},
		map[netip.Prefix][]int{}, nil}
	seen := map[int]bool{}
	for i, team := range teams {
		matcher.teamNames[team.Name] = append(matcher.teamNames[team.Name], i)
		for names, index := range map[*[]string]map[string][]int{&team.Users: matcher.users,
			&team.Databases: matcher.databases, &team.Applications: matcher.applications} {
			for _, name := range *names {
				index[name] = append(index[name], i)
			}
		}
		for _, prefix := range team.Addresses {
			prefix = prefix.Masked()
			matcher.prefixes[prefix] = append(matcher.prefixes[prefix], i)
			if !seen[prefix.Bits()] {
				seen[prefix.Bits()] = true
				matcher.prefixLengths = append(matcher.prefixLengths, prefix.Bits())
			}
		}
	}
	return matcher
}

// Match returns the index of the team that a client's identity matches. If several teams match, it returns the first
// of them, or -1 and the reason if the settings reject such clients. If no team matches, it returns the default team,
// or -1 and the reason if there is none.
func (ledger *Ledger) Match(identity Identity) (team int, reason Reason) {
	found, ambiguous := -1, false
	addCandidates := func(teams []int) {
		for _, i := range teams {
			ambiguous = ambiguous || found >= 0 && found != i
			if found < 0 || i < found {
				found = i
			}
		}
	}
	matcher := ledger.matcher
	addCandidates(matcher.users[identity.User])
	addCandidates(matcher.databases[identity.Database])
	addCandidates(matcher.applications[identity.Application])
	if address := identity.Address.Unmap().WithZone(""); address.IsValid() {
		for _, bits := range matcher.prefixLengths {
			if prefix, err := address.Prefix(bits); err == nil {
				addCandidates(matcher.prefixes[prefix])
			}
		}
	}
	switch {
	case ambiguous && ledger.settings.Ambiguous == "refuse":
		return -1, AmbiguousTeam
	case found >= 0:
		return found, Within
	}
	return ledger.defaultTeam()
}

// TeamFromComment returns the team that a request's comment names, or the default team if there is no team of that
// name. If comments are not trusted or name no team, it returns the team and reason that Match returned for the client.
func (ledger *Ledger) TeamFromComment(name string, team int, reason Reason) (int, Reason) {
	if !ledger.settings.TrustComment || name == "" {
		return team, reason
	}
	if indexes := ledger.matcher.teamNames[name]; len(indexes) > 0 {
		return indexes[0], Within
	}
	return ledger.defaultTeam()
}

func (ledger *Ledger) defaultTeam() (int, Reason) {
	if indexes := ledger.matcher.teamNames[ledger.settings.DefaultTeam]; ledger.settings.DefaultTeam != "" && len(indexes) > 0 {
		return indexes[0], Within
	}
	return -1, UnknownTeam
}
