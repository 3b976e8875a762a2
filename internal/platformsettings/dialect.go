package platformsettings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"lotushook/policy/balance"
)

// The keywords of the platform's settings object and the corresponding values of package balance.
var (
	consistencies = map[string]balance.Consistency{
		"eventual":  balance.AnyReplica,
		"lag_bound": balance.BoundedStaleness,
		"causal":    balance.ReadYourWrites,
		"strong":    balance.FreshRead,
		"mutate":    balance.Write,
	}
	watchRequired   = map[string]bool{"": false, "automatic": false, "subscribe": true}
	clientPositions = map[string]bool{"": false, "none": false, "kept": false, "brought": true}
	loadReports     = map[string]bool{"": false, "none": false, "probe": true, "answers": true}
	idempotencies   = map[string]balance.Idempotency{
		"free":        balance.Idempotent,
		"guarded":     balance.IdempotentByKey,
		"single_shot": balance.NotIdempotent,
	}
	keyScopes = map[string]balance.KeyScope{
		"":     balance.ScopeAll,
		"all":  balance.ScopeAll,
		"zone": balance.ScopeZone,
		"cell": balance.ScopeGroup,
	}
	lagHandlings = map[string]balance.LagHandling{
		"":       balance.LagUnchecked,
		"none":   balance.LagUnchecked,
		"bounce": balance.LagRejected,
		"await":  balance.LagAwaited,
	}
	roleVisibilities = map[string]balance.RoleVisibility{
		"":         balance.RoleHidden,
		"none":     balance.RoleHidden,
		"static":   balance.RoleAtStart,
		"trailing": balance.RoleDelayed,
	}
)

// LookUp returns the value of a keyword. For an unknown keyword, the error names the field and the valid keywords.
func LookUp[T any](table map[string]T, field, keyword string) (T, error) {
	value, ok := table[keyword]
	if !ok {
		keywords := slices.Sorted(maps.Keys(table))
		keywords = slices.DeleteFunc(keywords, func(keyword string) bool { return keyword == "" })
		return value, &FieldError{
			Field:   field,
			Problem: fmt.Sprintf("unknown word %.40q", keyword),
			Remedy:  "write one of " + strings.Join(keywords, ", "),
		}
	}
	return value, nil
}
