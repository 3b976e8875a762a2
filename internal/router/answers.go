package router

import (
	"strconv"

	"lotushook/internal/pgwire"
	"lotushook/policy/clock"
)

// rejectionReason tells a client why a contract, load shedding or the shutdown has rejected its request, and what it
// can do. Rejections by the decision module have no such text.
type rejectionReason struct{ text, hint string }

// rejectedByShutdown is the reason for rejecting requests that can't be completed before the shutdown ends.
var rejectedByShutdown = &rejectionReason{text: "the router stops"}

// rejectedForMemory is the reason for rejecting long requests while requests use up the memory that they may take.
var rejectedForMemory = &rejectionReason{text: "too many long requests are open"}

// rejectedAnswer returns the answer to a request that was not run, so that the client may safely retry it. A retryAfter
// other than 0 is the time to wait before the retry.
func rejectedAnswer(retryAfter clock.Nanos, reason *rejectionReason) []byte {
	if reason == nil {
		reason = &rejectionReason{text: "nothing ran"}
	}
	message := pgwire.AppendErrorWithHint(nil, "ERROR", pgwire.CodeTooManyConnections, "refused: "+reason.text,
		retryAfterField(retryAfter), reason.hint)
	return pgwire.AppendReady(message)
}

// retryAfterField returns the Retry-After time as the error field D has it: in whole milliseconds, rounded up, and
// empty where none is known.
func retryAfterField(retryAfter clock.Nanos) string {
	if retryAfter <= 0 {
		return ""
	}
	return strconv.FormatInt((retryAfter+clock.Millisecond-1)/clock.Millisecond, 10)
}

// failedAnswer returns the answer to a request that may or may not have run.
func failedAnswer(cause string) []byte { return errorAnswer(pgwire.CodeFailed, cause) }
