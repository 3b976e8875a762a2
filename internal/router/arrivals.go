package router

import (
	"time"

	"lotushook/policy/clock"
)

// promptRead is how long a read of bytes that were there takes at most; a longer one has waited for them.
const promptRead = clock.Nanos(time.Millisecond)

// arrivals bounds when the bytes that a reader holds were sent. A client's deadline counts from its sending, and a reader may
// come late to what its client has sent: behind open requests, or in a pause after unusable queries.
type arrivals struct {
	by     clock.Nanos // all that was read by now had been sent at this time, or earlier: no more is left of its deadline
	lastAt clock.Nanos // the end of the last read
}

// read notes one read. Bytes that did not have to be waited for may have come any time since the read before.
func (a *arrivals) read(began, ended clock.Nanos) {
	if a.lastAt == 0 || ended-began > promptRead {
		a.by = ended
	} else {
		a.by = a.lastAt
	}
	a.lastAt = ended
}
