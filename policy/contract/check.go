package contract

import (
	"fmt"
	"slices"
)

// Capacity describes the fleet against which contracts are checked.
type Capacity struct {
	Groups               int
	PrimaryWorkPerSecond float64 // work units a primary does in a second
	PromisableShare      float64 // share of a primary's work per second that all contracts together may promise
}

// Finding describes a problem in the contracts, and the path of the setting that causes it.
type Finding struct{ Path, Text string }

// CheckCapacity compares the contracts with the capacity of a fleet. Each finding is a promise that the fleet can't
// keep, or that no client can use. Contracts with findings are still valid.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func (settings *Settings) CheckCapacity(capacity Capacity) []Finding {
	var findings []Finding
	add := func(path, text string, args ...any) {
		findings = append(findings, Finding{path, fmt.Sprintf(text, args...)})
	}
	promisedWork, promisedShare := 0.0, 0.0
	owners := map[string]string{}
	for i := range settings.Teams {
		team := &settings.Teams[i]
		path, maxFactor := "teams."+team.Name, 1.0
		for _, hours := range team.Hours {
			maxFactor = max(maxFactor, hours.Factor)
		}
		primaryWork := 0.0
		for classIndex, limit := range team.Limits {
			classPath := path + ".classes." + settings.Classes[classIndex].Name
			switch {
			case limit.PerSecond > 0 && limit.Burst < limit.PerSecond/20:
				add(classPath,
					"burst %v: requests at %v a second may arrive in batches a tenth of a second apart, and more than %v at once are rejected",
					limit.Burst, limit.PerSecond, limit.Burst)
			case limit.PerSecond > 0 && limit.Burst > 60*limit.PerSecond:
				add(classPath,
					"burst %v is over a minute of the rate, %v a second: the rate is not an effective limit",
					limit.Burst, limit.PerSecond)
			}
			if settings.Classes[classIndex].Primary {
				primaryWork += limit.PerSecond * settings.Classes[classIndex].Cost * maxFactor
			}
		}
		promisedWork += primaryWork
		promisedShare += team.PrimaryShare * maxFactor
		if available := team.PrimaryShare * maxFactor * capacity.PrimaryWorkPerSecond * float64(capacity.Groups); team.PrimaryShare > 0 &&
			primaryWork > available*(1+1e-9) {
			add(path, "rates of %.4g units a second on primaries exceed its share of all primaries, %.4g", primaryWork, available)
		}
		if len(team.Users)+len(team.Databases)+len(team.Applications)+len(team.Addresses) == 0 &&
			settings.DefaultTeam != team.Name && !settings.TrustComment {
			add(path, "no client can match this team")
		}
		for kind, names := range map[string][]string{"user": team.Users,
			"database": team.Databases, "application": team.Applications} {
			for _, name := range names {
				if other := owners[kind+" "+name]; other != "" && other != team.Name {
					add(path, "%s %q also belongs to team %s", kind, name, other)
				}
				owners[kind+" "+name] = team.Name
			}
		}
	}
	for classIndex, class := range settings.Classes {
		if len(settings.Teams) > 0 && !slices.ContainsFunc(settings.Teams,
			func(team Team) bool { return team.Limits[classIndex].PerSecond > 0 }) {
			add("classes."+class.Name, "no team may use it")
		}
	}
	if promisable := capacity.PromisableShare * capacity.PrimaryWorkPerSecond * float64(capacity.Groups); capacity.PrimaryWorkPerSecond > 0 &&
		promisedWork > promisable*(1+1e-9) {
		add("teams", "%.4g units a second are promised on primaries, but only %.4g are available (%.0f%% of %d primaries of %.4g)",
			promisedWork, promisable, 100*capacity.PromisableShare, capacity.Groups, capacity.PrimaryWorkPerSecond)
	}
	if promisedShare > capacity.PromisableShare+1e-9 {
		add("teams", "shares of %.0f%% of each primary are promised, but at most %.0f%% may be", 100*promisedShare, 100*capacity.PromisableShare)
	}
	slices.SortStableFunc(findings, func(x, y Finding) int {
		if x.Path < y.Path {
			return -1
		}
		if x.Path > y.Path {
			return 1
		}
		return 0
	})
	return findings
}
