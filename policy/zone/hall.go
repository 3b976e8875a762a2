// Package hall decides whether a whole hall has gone dark, from how attempts at its servers end. One router among
// many meets each server so seldom that it would lose several requests to each one of the hall, so what the hall's
// servers show counts together. Which server gets a request, and whether a single server is well, is not decided here.
package zone

import (
	"errors"
	"fmt"
	"math"
)

// Nanos is a span or a point of the router's clock, in nanoseconds.
type Nanos = int64

// Settings are what the decision goes by.
type Settings struct {
	Servers  int   // of a hall that stay silent, with no answer from any, before it counts as dark
	Pause    Nanos // from the first such moment to the first try whether the hall is back
	MaxPause Nanos // the pause doubles with each try that fails, up to this
}

// Halls knows the halls by name. It belongs to one goroutine. It remembers one entry a hall that was ever met, and
// in it at most Settings.Servers servers.
type Halls struct {
	set   Settings
	halls map[string]*state
}

type state struct {
	heard  Nanos    // its last answer
	silent []uint32 // servers that were asked since then and stayed silent
	since  Nanos    // when the first of these was asked
	tryAt  Nanos
	pause  Nanos
}

// New returns a Halls that takes every hall for lit.
func New(s Settings) (*Halls, error) {
	if s.Servers < 2 {
		return nil, fmt.Errorf("hall: Servers: %d, at least 2 wanted: one server is not a hall", s.Servers)
	}
	if s.Pause <= 0 || s.MaxPause < s.Pause {
		return nil, errors.New("hall: Pause, MaxPause: missing or out of range")
	}
	return &Halls{set: s, halls: map[string]*state{}}, nil
}

// Answered tells that a server of a hall said anything at all, an error too.
func (h *Halls) Answered(hall string, now Nanos) {
	s := h.hall(hall)
	s.heard, s.silent = max(s.heard, now), s.silent[:0]
}

func (h *Halls) hall(name string) *state {
	s := h.halls[name]
	if s == nil {
		s = &state{heard: math.MinInt64}
		h.halls[name] = s
	}
	return s
}

// Silent tells that a server asked at a time has not answered by now, though answers usually come sooner. A
// connection that is refused is no silence: the machine speaks. Where the hall has spoken since, it is the server's
// own: a slow one shows late what another's answer has long disproved.
func (h *Halls) Silent(hall string, server uint32, asked, now Nanos) {
	s := h.hall(hall)
	if asked < s.heard || s.dark(h.set.Servers) {
		return
	}
	if len(s.silent) == 0 {
		s.since, s.pause = asked, h.set.Pause
	}
	s.since = min(s.since, asked)
	for _, x := range s.silent {
		if x == server {
			return
		}
	}
	if s.silent = append(s.silent, server); s.dark(h.set.Servers) {
		s.tryAt = now + s.pause
	}
}

func (s *state) dark(servers int) bool { return len(s.silent) >= servers }

// Dark says whether a server that answered last at a time is lost with its hall. A server that spoke after the hall
// fell silent is not; with an empty name, which is no hall, none is.
func (h *Halls) Dark(hall string, answered Nanos) bool {
	if len(h.halls) == 0 || hall == "" {
		return false
	}
	s := h.halls[hall]
	return s != nil && s.dark(h.set.Servers) && answered <= s.since
}

// Try says whether it is time to ask one server of a dark hall whether it is back, and counts that as done.
func (h *Halls) Try(hall string, now Nanos) bool {
	s := h.halls[hall]
	if s == nil || !s.dark(h.set.Servers) || now < s.tryAt {
		return false
	}
	s.tryAt = now + s.pause
	s.pause = min(2*s.pause, h.set.MaxPause)
	return true
}

// Size is the number of halls that are remembered: all that were met.
func (h *Halls) Size() int { return len(h.halls) }
