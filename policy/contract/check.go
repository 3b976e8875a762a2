package contract

import (
	"fmt"
	"slices"
)

// Capacity is what contracts are checked against.
type Capacity struct {
	Groups          int
	PrimaryPerS     float64 // work units
	PromisableShare float64 // share of a primary that may be promised
}

// Finding is a questionable part of contracts, and its path in the settings.
type Finding struct{ Where, Text string }

// Findings checks the contracts against a fleet's capacity. They are valid all the same: each
// finding is a promise that can't be kept, or one that no client can use.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (s *Settings) Findings(f Capacity) []Finding {
	var found []Finding
	add := func(where, text string, args ...any) {
		found = append(found, Finding{where, fmt.Sprintf(text, args...)})
	}
	promised, shares := 0.0, 0.0
	known := map[string]string{}
	for i := range s.Teams {
		t := &s.Teams[i]
		at, most := "teams."+t.Name, 1.0
		for _, h := range t.Hours {
			most = max(most, h.Factor)
		}
		units := 0.0
		for c, l := range t.Limits {
			where := at + ".classes." + s.Classes[c].Name
			switch {
			case l.PerS > 0 && l.Burst < l.PerS/20:
				add(where, "burst %v: requests of %v a second come a tenth of a second apart at times, and more than %v of them are then refused", l.Burst, l.PerS, l.Burst)
			case l.PerS > 0 && l.Burst > 60*l.PerS:
				add(where, "burst %v is a minute of the rate, %v a second: the rate does not bind", l.Burst, l.PerS)
			}
			if s.Classes[c].Primary {
				units += l.PerS * s.Classes[c].Cost * most
			}
		}
		promised += units
		shares += t.PrimaryShare * most
		if room := t.PrimaryShare * most * f.PrimaryPerS * float64(f.Groups); t.PrimaryShare > 0 && units > room*(1+1e-9) {
			add(at, "rates of %.4g units a second on primaries, but its share of all primaries is %.4g", units, room)
		}
		if len(t.Users)+len(t.Databases)+len(t.Applications)+len(t.Addresses) == 0 && s.DefaultTeam != t.Name && !s.TrustComment {
			add(at, "nobody can be known to be of it")
		}
		for kind, list := range map[string][]string{"user": t.Users, "database": t.Databases, "application": t.Applications} {
			for _, n := range list {
				if other := known[kind+" "+n]; other != "" && other != t.Name {
					add(at, "%s %q is also of team %s", kind, n, other)
				}
				known[kind+" "+n] = t.Name
			}
		}
	}
	for c, class := range s.Classes {
		if len(s.Teams) > 0 && !slices.ContainsFunc(s.Teams, func(t Team) bool { return t.Limits[c].PerS > 0 }) {
			add("classes."+class.Name, "no team may use it")
		}
	}
	if most := f.PromisableShare * f.PrimaryPerS * float64(f.Groups); f.PrimaryPerS > 0 && promised > most*(1+1e-9) {
		add("teams", "%.4g units a second are promised on primaries, of which %.4g are there (%.0f%% of %d primaries of %.4g)",
			promised, most, 100*f.PromisableShare, f.Groups, f.PrimaryPerS)
	}
	if shares > f.PromisableShare+1e-9 {
		add("teams", "shares of %.0f%% of each primary are promised, of which %.0f%% are there", 100*shares, 100*f.PromisableShare)
	}
	slices.SortStableFunc(found, func(x, y Finding) int {
		if x.Where < y.Where {
			return -1
		}
		if x.Where > y.Where {
			return 1
		}
		return 0
	})
	return found
}
