package router

import (
	"cmp"
	"context"
	"sync"
	"time"
)

// clientSet holds the clients that are connected. It is safe for concurrent use.
type clientSet struct {
	timeouts *clientTimeouts
	ticked   func()         // called with each sweep
	serving  sync.WaitGroup // the clients' goroutines

	mu       sync.Mutex // guards what follows; a client's own lock is taken under it
	all      map[*client]struct{}
	draining bool // the router is shutting down
}

// add adds a client, and returns how many are connected.
func (s *clientSet) add(c *client) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[c] = struct{}{}
	return len(s.all)
}

func (s *clientSet) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, c)
}

func (s *clientSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

func (s *clientSet) each(do func(*client)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		do(c)
	}
}

func (s *clientSet) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// drain closes the idle clients, and from now on each other one once it is answered. A client that has just connected and not
// sent a query yet gets a moment, which the sweep limits: clients connect in order to query.
func (s *clientSet) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.expire(time.Now())
}

// expire closes what has exceeded its time limit.
func (s *clientSet) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		c.expire(now, s.draining)
	}
}

// sweep closes the clients that have been idle or silent too long, and ends the wait for messages that stay
// incomplete, until the context ends.
func (s *clientSet) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.ticked()
			s.expire(now)
		}
	}
}

// oldest returns the client for which a condition has held longest; since returns its start, false if it does not hold.
func (s *clientSet) oldest(since func(*client) (time.Time, bool)) *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *client
	var oldestAt time.Time
	for c := range s.all {
		if at, holds := since(c); holds && (oldest == nil || at.Before(oldestAt)) {
			oldest, oldestAt = c, at
		}
	}
	return oldest
}

// evictIdle closes a client to make room for another: of those without a query so far the one connected
// longest, and otherwise the one idle longest, if any may be closed by now; minSilence is the age from
// which one without a query may. It says whether one is closing.
func (s *clientSet) evictIdle(now time.Time, minSilence time.Duration) bool {
	closing := false
	silent := s.oldest(func(c *client) (time.Time, bool) {
		since, hasQueried, idle := c.idleState()
		closing = closing || !idle && c.isClosing()
		return since, idle && !hasQueried && now.Sub(since) >= minSilence
	})
	idle := s.oldest(func(c *client) (time.Time, bool) {
		since, hasQueried, idle := c.idleState()
		return since, idle && hasQueried && now.Sub(since) >= s.timeouts.evictable
	})
	evicted := cmp.Or(silent, idle)
	if evicted != nil {
		evicted.closeIfIdle()
	}
	return evicted != nil || closing
}

// endLingering ends the lingering close that has lasted longest, and says whether there was one.
func (s *clientSet) endLingering() bool {
	oldest := s.oldest((*client).lingeringState)
	if oldest != nil {
		oldest.endLingering()
	}
	return oldest != nil
}

// rejectPartial makes room where no client idles: the one whose message has been incomplete for longest is rejected, if
// it could have come complete by now. Nothing of it has run.
func (s *clientSet) rejectPartial(now time.Time) {
	oldest := s.oldest(func(c *client) (time.Time, bool) {
		since, partial := c.partialState()
		return since, partial && now.Sub(since) >= s.timeouts.evictable
	})
	if oldest != nil {
		oldest.evict(&rejection{text: "refused: all connections are in use, and the message did not come whole"})
	}
}
