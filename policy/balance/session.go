package balance

import (
	"cmp"

	"lotushook/policy/clock"
)

// sessionPosition returns the log position that an endpoint must have applied to serve a session's read.
func (lb *Balancer) sessionPosition(req *request, event *Event) LogPosition {
	if !lb.settings.ClientPositions {
		return lb.sessions.Position(req.session)
	}
	if event.CommitAge <= 0 { // the session has no commit, so any position is enough
		return 0
	}
	return lb.now - event.CommitAge + clock.Millisecond // as ages are rounded down to milliseconds
}

// recordCommit records the position of a successful write for later reads of its session.
func (lb *Balancer) recordCommit(req *request, event *Event) {
	write := lb.classOf(req).Consistency == Write && event.Outcome == Succeeded
	if write && !lb.settings.ClientPositions && req.session.Session != "" {
		lb.sessions.Record(lb.now, req.session, cmp.Or(event.Position, lb.now))
	}
}
