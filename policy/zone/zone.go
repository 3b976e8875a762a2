// Package zone decides whether a whole hall has gone dark, from how attempts at its servers end. One router among
// many meets each server so seldom that it would lose several requests to each one of the hall, so what the hall's
// servers show counts together. Which server gets a request, and whether a single server is well, is not decided here.
package zone

import (
	"errors"
	"fmt"
	"math"

	"lotushook/policy/clock"
)

// Settings are what the decision goes by.
type Settings struct {
	Servers    int         // of a hall that stay silent, with no answer from any, before it counts as dark
	Backoff    clock.Nanos // from the first such moment to the first try whether the hall is back
	MaxBackoff clock.Nanos // the pause doubles with each try that fails, up to this
}

// Tracker knows the halls by name. It belongs to one goroutine. It remembers one entry a hall that was ever met, and
// in it at most Settings.Servers servers.
type Tracker struct {
	settings Settings
	zones    map[string]*state
}

type state struct {
	answeredAt    clock.Nanos // its last answer
	silentServers []uint32    // servers that were asked since then and stayed silent
	silentSince   clock.Nanos // when the first of these was asked
	nextTryAt     clock.Nanos
	backoff       clock.Nanos
}

// New returns a Halls that takes every hall for lit.
func New(s Settings) (*Tracker, error) {
	if s.Servers < 2 {
		return nil, fmt.Errorf("hall: Servers: %d, at least 2 wanted: one server is not a hall", s.Servers)
	}
	if s.Backoff <= 0 || s.MaxBackoff < s.Backoff {
		return nil, errors.New("hall: Pause, MaxPause: missing or out of range")
	}
	return &Tracker{settings: s, zones: map[string]*state{}}, nil
}

// Answered tells that a server of a hall said anything at all, an error too.
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

// Silent tells that a server asked at a time has not answered by now, though answers usually come sooner. A
// connection that is refused is no silence: the machine speaks. Where the hall has spoken since, it is the server's
// own: a slow one shows late what another's answer has long disproved.
func (h *Tracker) Silent(hall string, server uint32, asked, now clock.Nanos) {
	s := h.zone(hall)
	if asked < s.answeredAt || s.inOutage(h.settings.Servers) {
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
	if s.silentServers = append(s.silentServers, server); s.inOutage(h.settings.Servers) {
		s.nextTryAt = now + s.backoff
	}
}

func (s *state) inOutage(servers int) bool { return len(s.silentServers) >= servers }

// InOutage says whether a server that answered last at a time is lost with its hall. A server that spoke after the hall
// fell silent is not; with an empty name, which is no hall, none is.
func (h *Tracker) InOutage(hall string, answered clock.Nanos) bool {
	if len(h.zones) == 0 || hall == "" {
		return false
	}
	s := h.zones[hall]
	return s != nil && s.inOutage(h.settings.Servers) && answered <= s.silentSince
}

// TryNow says whether it is time to ask one server of a dark hall whether it is back, and counts that as done.
func (h *Tracker) TryNow(hall string, now clock.Nanos) bool {
	s := h.zones[hall]
	if s == nil || !s.inOutage(h.settings.Servers) || now < s.nextTryAt {
		return false
	}
	s.nextTryAt = now + s.backoff
	s.backoff = min(2*s.backoff, h.settings.MaxBackoff)
	return true
}

// Size is the number of halls that are remembered: all that were met.
func (h *Tracker) Size() int { return len(h.zones) }
