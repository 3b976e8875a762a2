// Package outlier decides from the ends of attempts which endpoint is ejected, and when a canary request may find
// out whether it is back. It keeps the load and the share of errors that an endpoint's answers have shown.
package outlier

import "lotushook/policy/clock"

const (
	silenceToEject     = 12.0 // ages of silent attempts over their usual ages, summed
	failuresToEject    = 4    // in a row; fewer may be a full connection table, or the fault of all endpoints
	maxDoublings       = 8    // of the pause after failures in a row
	maxEjectionBackoff = 8    // longest time between canaries, in Settings.Unit
	errorWeight        = 0.3  // weight of the newest answer in the share of errors: few have any
	loadWeight         = 0.1  // weight of the newest answer in the load
	healthyErrors      = 0.15 // share of errors below which an endpoint is healthy
)

// Settings are the same for all endpoints of a router.
type Settings struct {
	BaseDelay clock.Nanos // the shortest latency objective
	HighLoad  float64     // load above which an endpoint is not healthy
}

// Health is one endpoint's. It belongs to one goroutine.
type Health struct {
	settings *Settings
	load     float64 // mean of answer time over latency objective
	errors   float64 // share among answers
	failures int     // in a row
	busy     int     // answers in a row that it is busy
	ejected  bool
	down     bool // it has refused connections since its last answer

	backoff     clock.Nanos // from an ejection to the next canary
	canaryAt    clock.Nanos // when it may go
	pausedUntil clock.Nanos
}

// New returns the health of an endpoint of which nothing is known but the load to start from.
func New(settings *Settings, load float64) Health { return Health{settings: settings, load: load} }

// Load is the mean of answer time over latency objective.
func (h *Health) Load() float64 { return h.load }

// SetLoad takes a load report.
func (h *Health) SetLoad(load float64) { h.load = load }

// AddLoad moves the load by one attempt.
func (h *Health) AddLoad(share float64) { h.load += loadWeight * (share - h.load) }

// Errors is the share of errors among answers.
func (h *Health) Errors() float64 { return h.errors }

// Healthy says that neither load nor errors speak against the endpoint.
func (h *Health) Healthy() bool { return h.load <= h.settings.HighLoad && h.errors < healthyErrors }

// Overloaded says that answers take more of their latency objectives than an endpoint should need.
func (h *Health) Overloaded() bool { return h.load > h.settings.HighLoad }

// Ejected says that only canary requests may go to the endpoint.
func (h *Health) Ejected() bool { return h.ejected }

// Available says that the endpoint is neither ejected nor paused.
func (h *Health) Available(now clock.Nanos) bool { return !h.ejected && !h.Paused(now) }

// Paused says that the endpoint is left alone for a moment.
func (h *Health) Paused(now clock.Nanos) bool { return now < h.pausedUntil }

// Failing says that its last answers were failures, or that it is busy.
func (h *Health) Failing() bool { return h.failures+h.busy > 0 }

// AddSuccess counts an answer that was none of errors.
func (h *Health) AddSuccess() { h.errors -= errorWeight * h.errors }

// AddError counts an answer that was an error.
func (h *Health) AddError() { h.errors += errorWeight * (1 - h.errors) }

// AddBusy counts an answer that the endpoint is busy, and pauses it: it answers fast and would look idle.
func (h *Health) AddBusy(now, work clock.Nanos) {
	h.busy++
	h.pause(now, work)
}

// AddFailure counts a failure and pauses the endpoint; it says whether the endpoint is to be ejected. This guards
// against endpoints that fail fast, which look idle.
func (h *Health) AddFailure(now, work clock.Nanos) (eject bool) {
	h.pause(now, work)
	h.failures++
	return h.failures >= failuresToEject
}

// PauseFor leaves the endpoint alone for a span.
func (h *Health) PauseFor(now, span clock.Nanos) { h.pausedUntil = now + span }

// pause keeps the least bad of a group whose members all fail from being asked in a tight loop.
func (h *Health) pause(now, work clock.Nanos) {
	doublings := min(h.failures+h.busy, maxDoublings)
	h.pausedUntil = now + min(work<<doublings, h.settings.BaseDelay)
}

// SetDown notes that the endpoint refuses connections.
func (h *Health) SetDown() { h.down = true }

// UnansweredTooLong says whether the ages of silent attempts, each over its usual age and summed, eject an endpoint.
func UnansweredTooLong(ages float64) bool { return ages > silenceToEject }

// Eject ejects the endpoint, or extends the ejection once a canary request was due. The first result says whether
// it was not ejected before, the second whether anything changed.
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

// CanaryDue says whether a canary request may go.
func (h *Health) CanaryDue(now clock.Nanos) bool { return h.ejected && now >= h.canaryAt }

// CanaryAt orders ejected endpoints by when their canaries are due.
func (h *Health) CanaryAt() clock.Nanos { return h.canaryAt }

// CanarySent delays the next canary request.
func (h *Health) CanarySent(now clock.Nanos) { h.canaryAt = now + max(h.backoff, h.settings.BaseDelay) }

// Restarted lets a canary request go at once: the endpoint's process is a new one.
func (h *Health) Restarted(now clock.Nanos) { h.canaryAt = now }

// Readmit ends failures and ejection, as the endpoint has answered. It says whether the endpoint was ejected, and
// whether its process had been gone.
func (h *Health) Readmit() (wasEjected, wasDown bool) {
	wasEjected, wasDown = h.ejected, h.down
	h.ejected, h.down = false, false
	h.failures, h.busy = 0, 0
	h.backoff, h.pausedUntil = 0, 0
	return wasEjected, wasDown
}
