package peer

import (
	"log/slog"

	"lotushook/policy/membership"
)

// LogViewChanges logs the differences between two views; before is nil for the first view.
func LogViewChanges(before, now *membership.View) {
	previous := map[string]membership.Member{}
	if before != nil {
		for _, member := range before.Members {
			previous[member.Name] = member
		}
	}
	for _, member := range now.Members {
		if last := previous[member.Name]; last.State != member.State || last.Epoch != member.Epoch || last.Incarnation != member.Incarnation {
			slog.Info("member", "of", member.Name, "state", member.State.String(), "was", last.State.String(),
				"boot", member.Epoch, "incarnation", member.Incarnation, "by", member.ReportedBy)
		}
	}
	if before == nil ||
		before.Quota != now.Quota && (before.Quota.Share != now.Quota.Share || before.Quota.IsHolder != now.Quota.IsHolder) ||
		before.Majority != now.Majority || before.Isolated != now.Isolated || before.DuplicateName != now.DuplicateName {
		slog.Info("view", "counting", now.Present, "majority", now.Majority, "deaf", now.Isolated, "taken", now.DuplicateName,
			"share", now.Quota.Share, "holder", now.Quota.IsHolder, "gone", now.Quota.Excluded)
	}
}

// viewChanged reports whether two views differ in more than the times of the last messages from members.
func viewChanged(before, after *membership.View) bool {
	if len(before.Members) != len(after.Members) || before.Majority != after.Majority || before.Isolated != after.Isolated ||
		before.DuplicateName != after.DuplicateName || before.Quota != after.Quota {
		return true
	}
	for index := range before.Members {
		if before.Members[index].Update != after.Members[index].Update {
			return true
		}
	}
	return false
}
