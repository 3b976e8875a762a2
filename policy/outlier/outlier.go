// Package outlier decides from the outcomes of attempts which endpoint is ejected, and when a canary request may test
// whether it has recovered. It tracks the load and the error rate that an endpoint's answers show.
package outlier

import "lotushook/policy/clock"

const (
	maxUnanswered      = 12.0 // sum over unanswered attempts of their ages relative to the usual age
	failuresToEject    = 4    // consecutively; fewer may be a full connection table, or a fault of all endpoints
	maxDoublings       = 8    // of the pause after consecutive failures
	maxEjectionBackoff = 8    // longest time between canaries, as a multiple of Settings.BaseDelay
	errorWeight        = 0.3  // weight of the newest answer in the error rate: few answers are errors
	loadWeight         = 0.1  // weight of the newest answer in the load
	healthyErrors      = 0.15 // error rate below which an endpoint is healthy
)

// Settings are the same for all endpoints of a router.
type Settings struct {
	BaseDelay clock.Nanos // longest pause, and first ejection backoff: the shortest latency objective
	HighLoad  float64     // load above which an endpoint is not healthy
}

// Health is the health of one endpoint. It is not safe for concurrent use.
type Health struct {
	settings *Settings
	load     float64 // mean of answer time over latency objective
	errors   float64 // share of answers that are errors
	failures int     // consecutive
	busy     int     // consecutive answers that the endpoint is busy
	ejected  bool
	down     bool // it has refused connections since its last answer

	backoff     clock.Nanos // from an ejection to the next canary
	canaryAt    clock.Nanos // when the next canary may be sent
	pausedUntil clock.Nanos
}

// New returns the health of an endpoint about which only an initial load is known.
func New(settings *Settings, load float64) Health { return Health{settings: settings, load: load} }

// Load returns the mean of answer time over latency objective.
func (h *Health) Load() float64 { return h.load }

// SetLoad replaces the load with a reported one.
func (h *Health) SetLoad(load float64) { h.load = load }

// AddLoad updates the load with one attempt's answer time over its latency objective.
func (h *Health) AddLoad(share float64) { h.load += loadWeight * (share - h.load) }

// Errors returns the share of answers that are errors.
func (h *Health) Errors() float64 { return h.errors }

// Healthy reports whether load and error rate are both low.
func (h *Health) Healthy() bool { return h.load <= h.settings.HighLoad && h.errors < healthyErrors }

// Overloaded reports whether the load is above Settings.HighLoad.
func (h *Health) Overloaded() bool { return h.load > h.settings.HighLoad }

// Ejected reports whether only canary requests may be sent to the endpoint.
func (h *Health) Ejected() bool { return h.ejected }

// Available reports whether the endpoint is neither ejected nor paused.
func (h *Health) Available(now clock.Nanos) bool { return !h.ejected && !h.Paused(now) }

// Paused reports whether no requests should be sent to the endpoint for now.
func (h *Health) Paused(now clock.Nanos) bool { return now < h.pausedUntil }

// Failing reports whether the latest attempts failed, or were answered that the endpoint is busy.
func (h *Health) Failing() bool { return h.failures+h.busy > 0 }

// AddSuccess records an answer that is not an error.
func (h *Health) AddSuccess() { h.errors -= errorWeight * h.errors }

// AddError records an answer that is an error.
func (h *Health) AddError() { h.errors += errorWeight * (1 - h.errors) }

// AddBusy records an answer that the endpoint is busy, and pauses the endpoint: it answers fast and would seem idle.
func (h *Health) AddBusy(now, work clock.Nanos) {
	h.busy++
	h.pause(now, work)
}

// AddFailure records a failure and pauses the endpoint, because an endpoint that fails fast would seem idle. It reports
// whether the endpoint should be ejected.
func (h *Health) AddFailure(now, work clock.Nanos) (eject bool) {
	h.pause(now, work)
	h.failures++
	return h.failures >= failuresToEject
}

// PauseFor pauses the endpoint for a span.
func (h *Health) PauseFor(now, span clock.Nanos) { h.pausedUntil = now + span }

// pause prevents requests in a tight loop to the best endpoint of a group whose endpoints all fail.
func (h *Health) pause(now, work clock.Nanos) {
	doublings := min(h.failures+h.busy, maxDoublings)
	h.pausedUntil = now + min(work<<doublings, h.settings.BaseDelay)
}

// SetDown records that the endpoint refuses connections.
func (h *Health) SetDown() { h.down = true }

// UnansweredTooLong reports whether an endpoint must be ejected because of its unanswered attempts, given the sum of
// their ages relative to the usual age.
func UnansweredTooLong(ages float64) bool { return ages > maxUnanswered }

// Eject ejects the endpoint, or extends its ejection if a canary request was due. It reports whether the endpoint was
// not ejected before, and whether anything changed.
func (h *Health) Eject(now clock.Nanos) (first, changed bool) {
	first = !h.ejected
	if !first && now < h.canaryAt {
		return false, false
	}
	h.ejected = true
	h.backoff = max(2*h.backoff, h.settings.BaseDelay)
	h.backoff = min(h.backoff, maxEjectionBackoff*h.settings.BaseDelay)
	h.canaryAt = now + h.backoff
	return first, true
}

// CanaryDue reports whether a canary request may be sent.
func (h *Health) CanaryDue(now clock.Nanos) bool { return h.ejected && now >= h.canaryAt }

// CanaryAt returns when the next canary request of an ejected endpoint is due.
func (h *Health) CanaryAt() clock.Nanos { return h.canaryAt }

// CanarySent schedules the next canary request.
func (h *Health) CanarySent(now clock.Nanos) { h.canaryAt = now + max(h.backoff, h.settings.BaseDelay) }

// Restarted permits a canary request at once, because the endpoint's process is a new one.
func (h *Health) Restarted(now clock.Nanos) { h.canaryAt = now }

// Readmit resets failures and ends an ejection, because the endpoint has answered. It reports whether the endpoint was
// ejected, and whether it had refused connections.
func (h *Health) Readmit() (wasEjected, wasDown bool) {
	wasEjected, wasDown = h.ejected, h.down
	h.ejected, h.down = false, false
	h.failures, h.busy = 0, 0
	h.backoff, h.pausedUntil = 0, 0
	return wasEjected, wasDown
}
