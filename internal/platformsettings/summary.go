package platformsettings

import (
	"fmt"
	"strings"
	"time"

	"lotushook/policy/balance"
)

// Summary describes on one line how these settings make a router behave. It contains only what differs between
// deployments.
func (settings *Settings) Summary() string {
	platform := &settings.Balance
	parts := []string{fmt.Sprintf("%s, %s, %s", count(len(platform.Classes), "class", "classes"), count(len(platform.Tenants), "tenant", "tenants"),
		count(platform.Routers, "router", "routers"))}
	choose := func(condition bool, yes, no string) {
		if condition {
			parts = append(parts, yes)
		} else {
			parts = append(parts, no)
		}
	}
	choose(platform.WatchRequired, "list asked for", "list pushed")
	choose(settings.AnswersHavePosition, "answers tell role and position", "answers tell the role")
	choose(settings.LoadReports == "none", "no load reports", fmt.Sprintf("load reports in %s (%s)",
		map[string]string{"probe": "probes", "answers": "answers and probes"}[settings.LoadReports], strings.Join(settings.ReportFields, ", ")))
	parts = append(parts, map[balance.LagHandling]string{
		balance.LagUnchecked: "data servers check no read: the router alone keeps age bounds and sessions",
		balance.LagRejected:  "data servers turn away reads that they are too far behind for",
		balance.LagAwaited:   "data servers hold reads that they are too far behind for, then turn them away",
	}[platform.LagHandling])
	parts = append(parts, map[balance.RoleVisibility]string{
		balance.RoleHidden:  "the list hides primaries",
		balance.RoleAtStart: "the list shows primaries as at the start",
		balance.RoleDelayed: "the list shows primaries late",
	}[platform.RoleVisibility])
	choose(platform.ClientPositions, "sessions' positions come with the request", "sessions' positions are this router's own memory")
	choose(settings.HedgingAllowed, "second copies allowed", "one attempt at a time")
	choose(platform.ProbesAllowed, "probes allowed", "no probes")
	choose(platform.RetryAfterAllowed, fmt.Sprintf("refusals name a time to return, %v at most", time.Duration(platform.MaxRetryAfter)), "refusals name no time to return")
	choose(platform.SoftRemoval, "only a drain that was seen binds", "gone and draining bind")
	return strings.Join(parts, "; ")
}

func count(number int, singular, plural string) string {
	if number == 1 {
		return "1 " + singular
	}
	return fmt.Sprintf("%d %s", number, plural)
}
