package crdt

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"lotushook/policy/clock"
)

// CatchUpSettings limit what a router sends to members that catch up.
type CatchUpSettings struct {
	// Maximum number of members that are served at the same time. A member that catches up is called a client here.
	MaxClients int
	// Maximum rate of the answers to all clients together.
	BytesPerSecond int
	// Maximum size of one answer to a client that has not caught up since its start.
	MaxPieceBytes int
	// Maximum size of one answer to a client that has caught up before and lacks only recent entries.
	MaxIncrementalBytes int
	// A client that sends no request for this long is no longer counted as one of MaxClients.
	ClientTimeout clock.Nanos
}

// DefaultCatchUpSettings returns the default settings of a router.
func DefaultCatchUpSettings() CatchUpSettings {
	return CatchUpSettings{MaxClients: 10, BytesPerSecond: 2 << 20, MaxPieceBytes: 48 << 10, MaxIncrementalBytes: 32 << 10, ClientTimeout: 2e9}
}

func (settings *CatchUpSettings) validate() error {
	if settings.MaxClients < 1 || settings.MaxPieceBytes < 1 || settings.BytesPerSecond < settings.MaxPieceBytes ||
		settings.MaxIncrementalBytes < 1 || settings.ClientTimeout <= 0 {
		return errors.New("catch-up settings: MaxClients, BytesPerSecond, MaxPieceBytes, MaxIncrementalBytes and ClientTimeout must be above 0, and BytesPerSecond at least MaxPieceBytes")
	}
	return nil
}

// CatchUpServer decides which clients are served and at what rate, so that many members restarting at once don't
// consume the capacity that the router needs for requests. It is not safe for concurrent use.
type CatchUpServer struct {
	settings      CatchUpSettings
	lastRequestAt map[string]clock.Nanos // time of the last request, by client; its size is limited to MaxClients
	tokens        float64                // bytes that may be sent now
	refilledAt    clock.Nanos
}

// NewCatchUpServer returns a server without clients.
func NewCatchUpServer(settings CatchUpSettings, now clock.Nanos) (*CatchUpServer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return &CatchUpServer{settings: settings, lastRequestAt: map[string]clock.Nanos{}, tokens: float64(settings.MaxPieceBytes), refilledAt: now}, nil
}

// Admit returns the maximum size of an answer to a client now, in bytes. A size of 0 means that the client is not
// served and should retry after retryAfter, or ask another member. initial means that the client has not caught up
// since its start.
func (server *CatchUpServer) Admit(now clock.Nanos, client string, initial bool) (maxBytes int, retryAfter clock.Nanos) {
	maps.DeleteFunc(server.lastRequestAt, func(_ string, at clock.Nanos) bool { return now-at > server.settings.ClientTimeout })
	server.tokens = min(float64(server.settings.BytesPerSecond), server.tokens+float64(now-server.refilledAt)*float64(server.settings.BytesPerSecond)/1e9)
	server.refilledAt = now
	maxBytes = server.settings.MaxIncrementalBytes
	if initial {
		if _, ok := server.lastRequestAt[client]; !ok && len(server.lastRequestAt) >= server.settings.MaxClients {
			return 0, server.settings.ClientTimeout
		}
		server.lastRequestAt[client] = now
		maxBytes = server.settings.MaxPieceBytes
	}
	if deficit := float64(maxBytes) - server.tokens; deficit > 0 {
		return 0, clock.Nanos(deficit / float64(server.settings.BytesPerSecond) * 1e9)
	}
	return maxBytes, 0
}

// Served records the size of an answer. complete means that the client now has all entries and makes way for another
// one.
func (server *CatchUpServer) Served(client string, bytes int, complete bool) {
	server.tokens -= float64(bytes)
	if complete {
		delete(server.lastRequestAt, client)
	}
}

// ClientCount returns the number of clients that are being served.
func (server *CatchUpServer) ClientCount() int { return len(server.lastRequestAt) }

// PeerInZone is a member that can be asked for missing entries.
type PeerInZone struct{ Name, Zone string }

// ChoosePeer returns the member to ask for missing entries. During the initial catch-up these are first the members of
// the router's own zone and, once all of them have failed, the other members. failures is the number of consecutive
// requests that were not answered or were deferred by a busy member. After the initial catch-up all members are asked
// in turn; rotation is a number that the caller increases with each request.
func ChoosePeer(peers []PeerInZone, zone string, initial bool, failures, rotation int) (peer PeerInZone, ok bool) {
	if len(peers) == 0 {
		return PeerInZone{}, false
	}
	peers = slices.Clone(peers)
	distance := func(candidate PeerInZone) int {
		if initial && candidate.Zone != zone {
			return 1
		}
		return 0
	}
	slices.SortFunc(peers, func(x, y PeerInZone) int { return cmp.Or(distance(x)-distance(y), cmp.Compare(x.Name, y.Name)) })
	if !initial {
		return peers[rotation%len(peers)], true
	}
	localCount := 0
	for localCount < len(peers) && distance(peers[localCount]) == 0 {
		localCount++
	}
	// The rotation makes routers start with different peers; otherwise all would ask the first one.
	if failures %= len(peers); failures < localCount {
		return peers[(failures+rotation)%localCount], true
	}
	return peers[localCount+(failures-localCount+rotation)%(len(peers)-localCount)], true
}
