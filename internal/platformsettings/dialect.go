package platformsettings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"lotushook/policy/balance"
)

// The words of the platform's settings object, and what each means here.
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

// LookUp returns the value of a keyword of the dialect. The error names the field and the keywords that it may have.
func LookUp[T any](table map[string]T, field, word string) (T, error) {
	value, ok := table[word]
	if !ok {
		words := slices.Sorted(maps.Keys(table))
		words = slices.DeleteFunc(words, func(word string) bool { return word == "" })
		return value, &FieldError{
			Field: field,
			What:  fmt.Sprintf("unknown word %.40q", word),
			Do:    "write one of " + strings.Join(words, ", "),
		}
	}
	return value, nil
}
