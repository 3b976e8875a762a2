package peer

import (
	"log/slog"

	"lotushook/policy/membership"
)

// Log logs the changes of a view.
func Log(before, now *membership.View) {
	was := map[string]membership.Member{}
	if before != nil {
		for _, m := range before.Members {
			was[m.Name] = m
		}
	}
	for _, m := range now.Members {
		if old := was[m.Name]; old.State != m.State || old.Epoch != m.Epoch || old.Incarnation != m.Incarnation {
			slog.Info("member", "of", m.Name, "state", m.State.String(), "was", old.State.String(), "boot", m.Epoch, "incarnation", m.Incarnation, "by", m.ReportedBy)
		}
	}
	if before == nil || before.Quota != now.Quota && (before.Quota.Share != now.Quota.Share || before.Quota.IsHolder != now.Quota.IsHolder) || before.Majority != now.Majority || before.Isolated != now.Isolated || before.DuplicateName != now.DuplicateName {
		slog.Info("view", "counting", now.Present, "majority", now.Majority, "deaf", now.Isolated, "taken", now.DuplicateName, "share", now.Quota.Share,
			"holder", now.Quota.IsHolder, "gone", now.Quota.Excluded)
	}
}

// differ says whether a view has changed in more than the times at which members were heard.
func differ(x, y *membership.View) bool {
	if len(x.Members) != len(y.Members) || x.Majority != y.Majority || x.Isolated != y.Isolated || x.DuplicateName != y.DuplicateName || x.Quota != y.Quota {
		return true
	}
	for i := range x.Members {
		if x.Members[i].Update != y.Members[i].Update {
			return true
		}
	}
	return false
}
