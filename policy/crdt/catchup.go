package crdt

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"lotushook/policy/clock"
)

// CatchUpSettings bound what a router gives to those who catch up.
type CatchUpSettings struct {
	MaxClients int         // members that are fed at a time
	PerS       int         // bytes a second to all of them together
	Piece      int         // bytes of one answer
	Small      int         // bytes of an answer to one that has caught up before, and lacks little
	Pause      clock.Nanos // who asks again within it is fed on; after it another may have its place
}

// DefaultCatchUpSettings are settings for a router.
func DefaultCatchUpSettings() CatchUpSettings {
	return CatchUpSettings{MaxClients: 10, PerS: 2 << 20, Piece: 48 << 10, Small: 32 << 10, Pause: 2e9}
}

func (s *CatchUpSettings) check() error {
	if s.MaxClients < 1 || s.Piece < 1 || s.PerS < s.Piece || s.Small < 1 || s.Pause <= 0 {
		return errors.New("shared: Most, PerS, Piece, Small, Pause: missing or out of range")
	}
	return nil
}

// CatchUpServer decides who is fed and how fast, so that those who come back all at once don't take what a router needs to serve.
// It belongs to one goroutine.
type CatchUpServer struct {
	set  CatchUpSettings
	fed  map[string]clock.Nanos // who is fed, and when it asked last
	left float64                // bytes that may be given now
	at   clock.Nanos
}

// NewCatchUpServer returns one that feeds nobody.
func NewCatchUpServer(s CatchUpSettings, now clock.Nanos) (*CatchUpServer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	return &CatchUpServer{set: s, fed: map[string]clock.Nanos{}, left: float64(s.Piece), at: now}, nil
}

// Admit says how many bytes a member may be answered with now; 0: none, and it is to come again after a while, or to ask
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

// Served notes what an answer had. Done: the member has all, and another may have its place.
func (f *CatchUpServer) Served(who string, bytes int, done bool) {
	f.left -= float64(bytes)
	if done {
		delete(f.fed, who)
	}
}

// ClientCount is how many are fed.
func (f *CatchUpServer) ClientCount() int { return len(f.fed) }

// PeerInZone is a member that can be asked for what a copy lacks.
type PeerInZone struct{ Name, Zone string }

// Choose is whom to ask: while hungry, one of the own hall as long as there is any that has not been tried, then the others;
// tries counts those that were silent or too busy in a row. One that has caught up asks all by turns.
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
