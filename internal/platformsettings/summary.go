package platformsettings

import (
	"fmt"
	"strings"
	"time"

	"lotushook/policy/balance"
)

// Summary is on one line what these settings make a router do: what differs
// between deployments, and nothing of what is the same for all.
func (s *Settings) Summary() string {
	b := &s.Balance
	parts := []string{fmt.Sprintf("%s, %s, %s", count(len(b.Classes), "class", "classes"), count(len(b.Tenants), "tenant", "tenants"),
		count(b.Routers, "router", "routers"))}
	say := func(ok bool, yes, no string) {
		if ok {
			parts = append(parts, yes)
		} else {
			parts = append(parts, no)
		}
	}
	say(b.WatchRequired, "list asked for", "list pushed")
	say(s.AnswersHavePosition, "answers tell role and position", "answers tell the role")
	say(s.LoadReports == "none", "no load reports", fmt.Sprintf("load reports in %s (%s)",
		map[string]string{"probe": "probes", "answers": "answers and probes"}[s.LoadReports], strings.Join(s.ReportFields, ", ")))
	parts = append(parts, map[balance.LagHandling]string{
		balance.LagUnchecked: "data servers check no read: the router alone keeps age bounds and sessions",
		balance.LagRejected:  "data servers turn away reads that they are too far behind for",
		balance.LagAwaited:   "data servers hold reads that they are too far behind for, then turn them away",
	}[b.LagHandling])
	parts = append(parts, map[balance.RoleVisibility]string{
		balance.RoleHidden:  "the list hides primaries",
		balance.RoleAtStart: "the list shows primaries as at the start",
		balance.RoleDelayed: "the list shows primaries late",
	}[b.RoleVisibility])
	say(b.ClientPositions, "sessions' positions come with the request", "sessions' positions are this router's own memory")
	say(s.HedgingAllowed, "second copies allowed", "one attempt at a time")
	say(b.ProbesAllowed, "probes allowed", "no probes")
	say(b.RetryAfterAllowed, fmt.Sprintf("refusals name a time to return, %v at most", time.Duration(b.MaxRetryAfter)), "refusals name no time to return")
	say(b.SoftRemoval, "only a drain that was seen binds", "gone and draining bind")
	return strings.Join(parts, "; ")
}

func count(n int, one, more string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, more)
}
