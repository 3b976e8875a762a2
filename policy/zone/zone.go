// Package zone decides whether a whole zone is out of service, from how attempts at its endpoints end. One router among
// many sends to each endpoint so seldom that it would lose several requests to each one of the zone, so the failures of all
// its endpoints count together. Which endpoint gets a request, and whether a single endpoint is healthy, is not decided here.
package zone

import (
	"errors"
	"fmt"
	"math"

	"lotushook/policy/clock"
)

// Settings are the thresholds.
type Settings struct {
	MinSize    int         // endpoints of a zone that stay silent, with no answer from any, before the zone is in outage
	Backoff    clock.Nanos // from the start of an outage to the first try whether the zone is back
	MaxBackoff clock.Nanos // the pause doubles with each failed try, up to this
}

// Tracker tracks the zones by name. It is not safe for concurrent use. It remembers one entry for each zone seen, and
// in it at most Settings.Servers endpoints.
type Tracker struct {
	settings Settings
	zones    map[string]*state
}

type state struct {
	answeredAt    clock.Nanos // its last answer
	silentServers []uint32    // endpoints that had requests since then and stayed silent
	silentSince   clock.Nanos // when the first of these was sent
	nextTryAt     clock.Nanos
	backoff       clock.Nanos
}

// New returns a Tracker without outages.
func New(s Settings) (*Tracker, error) {
	if s.MinSize < 2 {
		return nil, fmt.Errorf("zone: Servers: %d, at least 2 wanted: one server is not a zone", s.MinSize)
	}
	if s.Backoff <= 0 || s.MaxBackoff < s.Backoff {
		return nil, errors.New("zone: Backoff is above 0, and MaxBackoff not below it")
	}
	return &Tracker{settings: s, zones: map[string]*state{}}, nil
}

// Answered records that an endpoint of a zone answered, be it an error.
func (h *Tracker) Answered(hall string, now clock.Nanos) {
	s := h.zone(hall)
	s.answeredAt, s.silentServers = max(s.answeredAt, now), s.silentServers[:0]
}

func (h *Tracker) zone(name string) *state {
	s := h.zones[name]
	if s == nil {
		s = &state{answeredAt: math.MinInt64}
		h.zones[name] = s
	}
	return s
}

// Unanswered records that an endpoint has not answered a request by now, though answers usually come sooner. A
// refused connection is no silence: the machine answers. If the zone has answered since, the silence is the endpoint's
// own: a slow endpoint is noticed long after another's answer.
func (h *Tracker) Unanswered(hall string, server uint32, asked, now clock.Nanos) {
	s := h.zone(hall)
	if asked < s.answeredAt || s.inOutage(h.settings.MinSize) {
		return
	}
	if len(s.silentServers) == 0 {
		s.silentSince, s.backoff = asked, h.settings.Backoff
	}
	s.silentSince = min(s.silentSince, asked)
	for _, x := range s.silentServers {
		if x == server {
			return
		}
	}
	if s.silentServers = append(s.silentServers, server); s.inOutage(h.settings.MinSize) {
		s.nextTryAt = now + s.backoff
	}
}

func (s *state) inOutage(servers int) bool { return len(s.silentServers) >= servers }

// InOutage says whether an endpoint with a given last answer is lost with its zone. An endpoint that answered after the
// outage began is not; with an empty name, which is no zone, none is.
func (h *Tracker) InOutage(hall string, answered clock.Nanos) bool {
	if len(h.zones) == 0 || hall == "" {
		return false
	}
	s := h.zones[hall]
	return s != nil && s.inOutage(h.settings.MinSize) && answered <= s.silentSince
}

// StartProbe says whether it is time to probe one endpoint of a zone in outage, and counts that as done.
func (h *Tracker) StartProbe(hall string, now clock.Nanos) bool {
	s := h.zones[hall]
	if s == nil || !s.inOutage(h.settings.MinSize) || now < s.nextTryAt {
		return false
	}
	s.nextTryAt = now + s.backoff
	s.backoff = min(2*s.backoff, h.settings.MaxBackoff)
	return true
}

// Size is the number of zones that are remembered: all that were seen.
func (h *Tracker) Size() int { return len(h.zones) }
