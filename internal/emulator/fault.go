package emulator

import (
	"net"
	"time"
)

// Attempt is one request as it came to a data server, kept where Fleet.Record asks for it.
type Attempt struct {
	ID, Key, Class, Server string
	At                     time.Time     // its last byte was read
	Left                   time.Duration // that it says it has left
	Missed                 bool          // turned away as one that the server can't do, or has no room for
}

// attempted records an attempt, and returns its place for what becomes of it.
func (g *Group) attempted(a Attempt) (place int) {
	if !g.fleet.Record {
		return -1
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.attempts) >= maxRecordedRuns {
		return -1
	}
	g.attempts = append(g.attempts, a)
	return len(g.attempts) - 1
}

func (g *Group) missed(place int) {
	if place < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts[place].Missed = true
}

// Attempts are what all groups have recorded.
func (r *Running) Attempts() (all []Attempt) {
	for _, g := range r.Groups {
		g.mu.Lock()
		all = append(all, g.attempts...)
		g.mu.Unlock()
	}
	return all
}

// Hang makes the server answer nothing for a time: what comes is read and waits.
func (s *Server) Hang(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hungUntil = time.Now().Add(span)
}

// awaitHang waits while the server hangs.
func (s *Server) awaitHang() {
	for {
		s.mu.Lock()
		left := time.Until(s.hungUntil)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// DelayWelcome makes new connections come up late for a time.
func (s *Server) DelayWelcome(by, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.welcomeDelay, s.welcomeDelayUntil = by, time.Now().Add(span)
}

func (s *Server) awaitWelcome() {
	s.mu.Lock()
	delay := s.welcomeDelay
	if time.Now().After(s.welcomeDelayUntil) {
		delay = 0
	}
	s.mu.Unlock()
	time.Sleep(delay)
}

// ResetConnections resets all connections, also under requests; the server goes on.
func (s *Server) ResetConnections() {
	for _, conn := range s.connections(func(*connState) bool { return true }) {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// CloseIdle closes the connections that carry no request.
func (s *Server) CloseIdle() {
	for _, conn := range s.connections(func(c *connState) bool { return !c.busy.Load() }) {
		conn.Close()
	}
}

func (s *Server) connections(wanted func(*connState) bool) (list []net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, state := range s.conns {
		if wanted(state) {
			list = append(list, conn)
		}
	}
	return list
}

// StartedAt is when the server last started; zero: long ago.
func (s *Server) StartedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// IsPrimary says whether the server is its group's primary.
func (s *Server) IsPrimary() bool { return s.group.isPrimary(s) }

// Mute lets calls that wait for news hang for a time: what changes meanwhile is not told on them, though calls for the whole list
// are answered.
func (a *Agent) Mute(span time.Duration) { a.hold(&a.muteUntil, span) }

// Away lets all calls hang for a time, as while discovery is down.
func (a *Agent) Away(span time.Duration) { a.hold(&a.awayUntil, span) }

func (a *Agent) hold(until *time.Time, span time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	*until = time.Now().Add(span)
}

// awaitHold waits while calls of a kind hang, or until the caller has gone; it says whether the call is to be answered.
func (a *Agent) awaitHold(gone <-chan struct{}, isWatch bool) bool {
	for {
		a.mu.Lock()
		left := time.Until(a.awayUntil)
		if isWatch {
			left = max(left, time.Until(a.muteUntil))
		}
		a.mu.Unlock()
		if left <= 0 {
			return true
		}
		select {
		case <-gone:
			return false
		case <-time.After(left):
		}
	}
}
