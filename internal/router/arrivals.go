package router

import (
	"time"

	"lotushook/policy/clock"
)

// maxPromptRead is the maximum duration of a read of bytes that were already available. A longer read had to wait for
// them.
const maxPromptRead = clock.Nanos(time.Millisecond)

// arrivals estimates when the bytes in a reader's buffer were sent. A client counts its deadline from the time of
// sending, and the reader may read a message late: it waits while too many requests are open, and pauses after unusable
// queries (see rejectUnusable).
type arrivals struct {
	sentBy clock.Nanos // all bytes read so far were sent at this time or earlier; deadlines count from it
	lastAt clock.Nanos // the end of the last read
}

// recordRead records one read. Bytes that were already available may have arrived at any time since the previous read.
func (arrivals *arrivals) recordRead(startedAt, endedAt clock.Nanos) {
	if arrivals.lastAt == 0 || endedAt-startedAt > maxPromptRead {
		arrivals.sentBy = endedAt
	} else {
		arrivals.sentBy = arrivals.lastAt
	}
	arrivals.lastAt = endedAt
}
