package emulator

import (
	"net"
	"time"
)

// Attempt is one attempt of a request as a data server received it. It is recorded if Fleet.Record is set.
type Attempt struct {
	ID, Key, Class, Server string
	At                     time.Time     // when its last byte was read
	Remaining              time.Duration // the remaining time that it states
	Missed                 bool          // rejected because the server can't process it or its queue is full
}

// recordAttempt records an attempt and returns its index, or -1 if it is not recorded.
func (group *Group) recordAttempt(attempt Attempt) (index int) {
	if !group.fleet.Record {
		return -1
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	if len(group.attempts) >= maxRecordedRuns {
		return -1
	}
	group.attempts = append(group.attempts, attempt)
	return len(group.attempts) - 1
}

// markMissed marks a recorded attempt as rejected.
func (group *Group) markMissed(index int) {
	if index < 0 {
		return
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	group.attempts[index].Missed = true
}

// Attempts returns the recorded attempts of all groups.
func (running *Running) Attempts() (attempts []Attempt) {
	for _, group := range running.Groups {
		group.mu.Lock()
		attempts = append(attempts, group.attempts...)
		group.mu.Unlock()
	}
	return attempts
}

// Hang makes the server answer nothing for a time. Requests are read and wait.
func (server *Server) Hang(span time.Duration) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.hungUntil = time.Now().Add(span)
}

// awaitHang waits while the server hangs.
func (server *Server) awaitHang() {
	for {
		server.mu.Lock()
		remaining := time.Until(server.hungUntil)
		server.mu.Unlock()
		if remaining <= 0 {
			return
		}
		time.Sleep(remaining)
	}
}

// DelayStartup delays the session start of new connections by a delay, for a time span.
func (server *Server) DelayStartup(delay, span time.Duration) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.startupDelay, server.startupDelayUntil = delay, time.Now().Add(span)
}

// awaitStartupDelay waits for the delay that DelayStartup has set.
func (server *Server) awaitStartupDelay() {
	server.mu.Lock()
	delay := server.startupDelay
	if time.Now().After(server.startupDelayUntil) {
		delay = 0
	}
	server.mu.Unlock()
	time.Sleep(delay)
}

// ResetConnections resets all connections, including those with requests in flight. The server keeps running.
func (server *Server) ResetConnections() {
	for _, conn := range server.connections(func(*connState) bool { return true }) {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// CloseIdle closes the connections without a request in flight.
func (server *Server) CloseIdle() {
	for _, conn := range server.connections(func(state *connState) bool { return !state.busy.Load() }) {
		conn.Close()
	}
}

// connections returns the connections that a condition holds for.
func (server *Server) connections(matches func(*connState) bool) (conns []net.Conn) {
	server.mu.Lock()
	defer server.mu.Unlock()
	for conn, state := range server.conns {
		if matches(state) {
			conns = append(conns, conn)
		}
	}
	return conns
}

// StartedAt returns when the server was last restarted; zero: never, so it is warm.
func (server *Server) StartedAt() time.Time {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.started
}

// IsPrimary reports whether the server is the primary of its group.
func (server *Server) IsPrimary() bool { return server.group.isPrimary(server) }

// HangWatches makes watches of the list hang for a time, so that they report no changes. Requests for the whole list
// are answered.
func (agent *Agent) HangWatches(span time.Duration) { agent.hold(&agent.watchesHangUntil, span) }

// HangRequests makes all requests hang for a time, as while discovery is down.
func (agent *Agent) HangRequests(span time.Duration) { agent.hold(&agent.requestsHangUntil, span) }

func (agent *Agent) hold(until *time.Time, span time.Duration) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	*until = time.Now().Add(span)
}

// awaitHold waits while requests of a kind hang. It returns false if the client has left meanwhile.
func (agent *Agent) awaitHold(clientLeft <-chan struct{}, isWatch bool) bool {
	for {
		agent.mu.Lock()
		remaining := time.Until(agent.requestsHangUntil)
		if isWatch {
			remaining = max(remaining, time.Until(agent.watchesHangUntil))
		}
		agent.mu.Unlock()
		if remaining <= 0 {
			return true
		}
		select {
		case <-clientLeft:
			return false
		case <-time.After(remaining):
		}
	}
}
