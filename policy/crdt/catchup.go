package crdt

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"lotushook/policy/clock"
)

// CatchUpSettings bound what a router sends to those that catch up.
type CatchUpSettings struct {
	MaxClients int         // served at a time
	PerS       int         // bytes a second to all of them together
	Piece      int         // bytes of one answer
	Small      int         // bytes of an answer to one that has caught up before, and lacks little
	Pause      clock.Nanos // a client that returns within it keeps its place; after it another may have it
}

// DefaultCatchUpSettings are settings for a router.
func DefaultCatchUpSettings() CatchUpSettings {
	return CatchUpSettings{MaxClients: 10, PerS: 2 << 20, Piece: 48 << 10, Small: 32 << 10, Pause: 2e9}
}

func (s *CatchUpSettings) check() error {
	if s.MaxClients < 1 || s.Piece < 1 || s.PerS < s.Piece || s.Small < 1 || s.Pause <= 0 {
		return errors.New("catch-up: MaxClients, PerS, Piece, Small and Pause are above 0, PerS at least Piece")
	}
	return nil
}

// CatchUpServer decides which clients are served and how fast, so that many that restart at once don't use what a router needs to serve.
// It is not safe for concurrent use.
type CatchUpServer struct {
	set  CatchUpSettings
	fed  map[string]clock.Nanos // the clients served, and their last requests
	left float64                // bytes that may be sent now
	at   clock.Nanos
}

// NewCatchUpServer returns one without clients.
func NewCatchUpServer(s CatchUpSettings, now clock.Nanos) (*CatchUpServer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return &CatchUpServer{set: s, fed: map[string]clock.Nanos{}, left: float64(s.Piece), at: now}, nil
}

// Admit says how many bytes a member may be answered with now; 0: none, and it should retry later, or try
// another. hungry is one that has not caught up since its start.
func (f *CatchUpServer) Admit(now clock.Nanos, who string, hungry bool) (room int, wait clock.Nanos) {
	maps.DeleteFunc(f.fed, func(_ string, at clock.Nanos) bool { return now-at > f.set.Pause })
	f.left = min(float64(f.set.PerS), f.left+float64(now-f.at)*float64(f.set.PerS)/1e9)
	f.at = now
	room = f.set.Small
	if hungry {
		if _, ok := f.fed[who]; !ok && len(f.fed) >= f.set.MaxClients {
			return 0, f.set.Pause
		}
		f.fed[who] = now
		room = f.set.Piece
	}
	if lack := float64(room) - f.left; lack > 0 {
		return 0, clock.Nanos(lack / float64(f.set.PerS) * 1e9)
	}
	return room, 0
}

// Served records an answer. Done: the member has everything, and another may have its place.
func (f *CatchUpServer) Served(who string, bytes int, done bool) {
	f.left -= float64(bytes)
	if done {
		delete(f.fed, who)
	}
}

// ClientCount is how many are served.
func (f *CatchUpServer) ClientCount() int { return len(f.fed) }

// PeerInZone is a member that can be asked for what a copy lacks.
type PeerInZone struct{ Name, Zone string }

// Choose returns the member to ask: while hungry, one of the own zone as long as there is any that has not been tried, then the others;
// tries counts those that were silent or too busy in a row. One that has caught up asks all in turn.
func Choose(list []PeerInZone, hall string, hungry bool, tries, turn int) (of PeerInZone, ok bool) {
	if len(list) == 0 {
		return PeerInZone{}, false
	}
	list = slices.Clone(list)
	far := func(s PeerInZone) int {
		if hungry && s.Zone != hall {
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(x, y PeerInZone) int { return cmp.Or(far(x)-far(y), cmp.Compare(x.Name, y.Name)) })
	if !hungry {
		return list[turn%len(list)], true
	}
	near := 0
	for near < len(list) && far(list[near]) == 0 {
		near++
	}
	if tries %= len(list); tries < near { // each starts with another, or all would ask the first
		return list[(tries+turn)%near], true
	}
	return list[near+(tries-near+turn)%(len(list)-near)], true
}
