package backend

import (
	"sync"
	"time"

	"lotushook/policy/balance"
)

// reportedRole is the role that an endpoint reported last.
type reportedRole struct {
	role balance.Role
	at   time.Time // when the complete answer was read
}

// reportedRoles has the roles that endpoints reported last, in complete answers. It is safe for concurrent use.
type reportedRoles struct {
	mu         sync.Mutex // guards byEndpoint
	byEndpoint map[balance.EndpointID]reportedRole
}

// record records the role in a complete answer, if it has one.
func (roles *reportedRoles) record(endpoint balance.EndpointID, role balance.Role, now time.Time) {
	if role == balance.RoleUnknown {
		return
	}
	roles.mu.Lock()
	defer roles.mu.Unlock()
	roles.byEndpoint[endpoint] = reportedRole{role, now}
}

// isReplicaSince reports whether an endpoint has reported after a time that it is a replica, and nothing else since.
func (roles *reportedRoles) isReplicaSince(endpoint balance.EndpointID, since time.Time) bool {
	roles.mu.Lock()
	defer roles.mu.Unlock()
	last := roles.byEndpoint[endpoint]
	return last.role == balance.Replica && last.at.After(since)
}

// forget removes the endpoints that a condition holds for.
func (roles *reportedRoles) forget(isGone func(balance.EndpointID) bool) {
	roles.mu.Lock()
	defer roles.mu.Unlock()
	for endpoint := range roles.byEndpoint {
		if isGone(endpoint) {
			delete(roles.byEndpoint, endpoint)
		}
	}
}
