package balance

import (
	"cmp"

	"lotushook/policy/clock"
)

// sessionPosition is what a session's read must see.
func (b *Balancer) sessionPosition(r *request, e *Event) LogPosition {
	if !b.settings.ClientPositions {
		return b.sessions.Position(r.session)
	}
	if e.CommitAge <= 0 { // none is known: any position does
		return 0
	}
	return b.now - e.CommitAge + clock.Millisecond // ages are rounded down to a millisecond
}

// recordCommit remembers the position of a write that succeeded, for its session's reads.
func (b *Balancer) recordCommit(r *request, e *Event) {
	write := b.classOf(r).Consistency == Write && e.Outcome == Succeeded
	if write && !b.settings.ClientPositions && r.session.Session != "" {
		b.sessions.Record(b.now, r.session, cmp.Or(e.Position, b.now))
	}
}
