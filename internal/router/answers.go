package router

import (
	"strconv"

	"lotushook/internal/pgwire"
	"lotushook/policy/clock"
)

// rejectionReason is why a request is rejected, where it is not the decision module that says so.
type rejectionReason struct{ text, hint string }

// rejectedByShutdown is why a router that stops rejects what it has no time for.
var rejectedByShutdown = &rejectionReason{text: "the router stops"}

// rejectedAnswer is the answer that a repeat does no harm; retryAfter, where not 0, is when to come again.
func rejectedAnswer(retryAfter clock.Nanos, reason *rejectionReason) []byte {
	if reason == nil {
		reason = &rejectionReason{text: "nothing ran"}
	}
	message := pgwire.AppendErrorWithHint(nil, "ERROR", pgwire.CodeTooManyConnections, "refused: "+reason.text,
		retryAfterField(retryAfter), reason.hint)
	return pgwire.AppendReady(message)
}

// retryAfterField is a Retry-After as the field D tells it: complete milliseconds, and nothing where none is known.
func retryAfterField(retryAfter clock.Nanos) string {
	if retryAfter <= 0 {
		return ""
	}
	return strconv.FormatInt((retryAfter+clock.Millisecond-1)/clock.Millisecond, 10)
}

// failedAnswer is the answer that promises nothing.
func failedAnswer(cause string) []byte { return errorAnswer(pgwire.CodeFailed, cause) }
