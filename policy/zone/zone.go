// Package zone detects outages of whole zones from the outcomes of attempts at their endpoints. In a large fleet each
// router sends requests to an endpoint so rarely that detecting each endpoint's failure separately would lose several
// requests per endpoint, so the unanswered requests of all endpoints of a zone count together. Endpoint selection and
// the health of a single endpoint are not decided here.
package zone

import (
	"errors"
	"fmt"
	"math"

	"lotushook/policy/clock"
)

// Settings are the thresholds.
type Settings struct {
	MinSize    int         // number of endpoints with unanswered requests, and none with an answer, that is an outage
	Backoff    clock.Nanos // from the start of an outage to the first probe
	MaxBackoff clock.Nanos // limit of the backoff, which doubles with each failed probe
}

// Tracker tracks zones by name. It is not safe for concurrent use. It stores one entry for each zone seen, and in each
// entry at most Settings.MinSize endpoints.
type Tracker struct {
	settings Settings
	zones    map[string]*state
}

type state struct {
	answeredAt          clock.Nanos // time of the zone's latest answer
	unansweredEndpoints []uint32    // endpoints that have left requests unanswered since then
	unansweredSince     clock.Nanos // when the earliest of these requests was sent
	nextProbeAt         clock.Nanos
	backoff             clock.Nanos
}

// New returns a Tracker without outages.
func New(settings Settings) (*Tracker, error) {
	if settings.MinSize < 2 {
		return nil, fmt.Errorf("zone: MinSize is %d, must be at least 2: a single endpoint is not a zone", settings.MinSize)
	}
	if settings.Backoff <= 0 || settings.MaxBackoff < settings.Backoff {
		return nil, errors.New("zone: Backoff must be above 0, and MaxBackoff not below Backoff")
	}
	return &Tracker{settings: settings, zones: map[string]*state{}}, nil
}

// Answered records that an endpoint of a zone answered, even if with an error.
func (t *Tracker) Answered(name string, now clock.Nanos) {
	zone := t.zone(name)
	zone.answeredAt, zone.unansweredEndpoints = max(zone.answeredAt, now), zone.unansweredEndpoints[:0]
}

func (t *Tracker) zone(name string) *state {
	zone := t.zones[name]
	if zone == nil {
		zone = &state{answeredAt: math.MinInt64}
		t.zones[name] = zone
	}
	return zone
}

// Unanswered records that an endpoint has not yet answered a request that would usually have been answered by now. A
// refused connection does not count, because the machine responded. If any endpoint of the zone has answered since the
// request was sent, the failure is the endpoint's own, not the zone's: a slow endpoint is often noticed long after
// another one's answer.
func (t *Tracker) Unanswered(name string, endpoint uint32, sentAt, now clock.Nanos) {
	zone := t.zone(name)
	if sentAt < zone.answeredAt || zone.inOutage(t.settings.MinSize) {
		return
	}
	if len(zone.unansweredEndpoints) == 0 {
		zone.unansweredSince, zone.backoff = sentAt, t.settings.Backoff
	}
	zone.unansweredSince = min(zone.unansweredSince, sentAt)
	for _, known := range zone.unansweredEndpoints {
		if known == endpoint {
			return
		}
	}
	if zone.unansweredEndpoints = append(zone.unansweredEndpoints, endpoint); zone.inOutage(t.settings.MinSize) {
		zone.nextProbeAt = now + zone.backoff
	}
}

func (s *state) inOutage(minSize int) bool { return len(s.unansweredEndpoints) >= minSize }

// InOutage reports whether an endpoint that last answered at a given time is unavailable because its zone is in outage.
// An endpoint that has answered since the outage began is available. The empty name is no zone and never in outage.
func (t *Tracker) InOutage(name string, answeredAt clock.Nanos) bool {
	if len(t.zones) == 0 || name == "" {
		return false
	}
	zone := t.zones[name]
	return zone != nil && zone.inOutage(t.settings.MinSize) && answeredAt <= zone.unansweredSince
}

// StartProbe reports whether a probe of an endpoint of a zone in outage is due. If so, the caller must send it: the
// next probe is scheduled.
func (t *Tracker) StartProbe(name string, now clock.Nanos) bool {
	zone := t.zones[name]
	if zone == nil || !zone.inOutage(t.settings.MinSize) || now < zone.nextProbeAt {
		return false
	}
	zone.nextProbeAt = now + zone.backoff
	zone.backoff = min(2*zone.backoff, t.settings.MaxBackoff)
	return true
}

// Size returns the number of zones seen.
func (t *Tracker) Size() int { return len(t.zones) }
