package router

import (
	"cmp"
	"context"
	"sync"
	"time"
)

// clientSet contains the connected clients, and checks in a periodic sweep which of them have exceeded a timeout. It is
// safe for concurrent use.
type clientSet struct {
	timeouts *clientTimeouts
	onSweep  func()         // called by each sweep
	serving  sync.WaitGroup // the clients' goroutines

	mu       sync.Mutex // guards the fields below; a client's own lock may be acquired while it is held
	all      map[*client]struct{}
	draining bool // the router is shutting down
}

// add adds a client, and returns the number of connected clients.
func (set *clientSet) add(client *client) int {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.all[client] = struct{}{}
	return len(set.all)
}

func (set *clientSet) remove(client *client) {
	set.mu.Lock()
	defer set.mu.Unlock()
	delete(set.all, client)
}

func (set *clientSet) len() int {
	set.mu.Lock()
	defer set.mu.Unlock()
	return len(set.all)
}

func (set *clientSet) each(do func(*client)) {
	set.mu.Lock()
	defer set.mu.Unlock()
	for client := range set.all {
		do(client)
	}
}

func (set *clientSet) isDraining() bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.draining
}

// drain closes the idle clients, and from now on each other client once it is answered. A client that has just
// connected gets some time for its first query, which the sweep limits.
func (set *clientSet) drain() {
	set.mu.Lock()
	set.draining = true
	set.mu.Unlock()
	set.expire(time.Now())
}

// expire ends the clients that have exceeded a timeout.
func (set *clientSet) expire(now time.Time) {
	set.mu.Lock()
	defer set.mu.Unlock()
	for client := range set.all {
		client.expire(now, set.draining)
	}
}

// sweep calls expire periodically until the context ends.
func (set *clientSet) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			set.onSweep()
			set.expire(now)
		}
	}
}

// oldest returns the client for which a condition has been true for the longest time, nil if it is true for none. since
// returns when the condition became true for a client; false if it is not.
func (set *clientSet) oldest(since func(*client) (time.Time, bool)) *client {
	set.mu.Lock()
	defer set.mu.Unlock()
	var oldest *client
	var oldestStart time.Time
	for client := range set.all {
		if startedAt, holds := since(client); holds && (oldest == nil || startedAt.Before(oldestStart)) {
			oldest, oldestStart = client, startedAt
		}
	}
	return oldest
}

// evictIdle closes a client to free its descriptor: the oldest client that has sent no query for minSilence since it
// connected, otherwise the client that has been idle longest, if it may be evicted. It reports whether any client is
// being closed.
func (set *clientSet) evictIdle(now time.Time, minSilence time.Duration) bool {
	closing := false
	silent := set.oldest(func(client *client) (time.Time, bool) {
		since, hasQueried, idle := client.idleState()
		closing = closing || !idle && client.isClosing()
		return since, idle && !hasQueried && now.Sub(since) >= minSilence
	})
	idle := set.oldest(func(client *client) (time.Time, bool) {
		since, hasQueried, idle := client.idleState()
		return since, idle && hasQueried && now.Sub(since) >= set.timeouts.evictableIdle
	})
	evicted := cmp.Or(silent, idle)
	if evicted != nil {
		evicted.closeIfIdle()
	}
	return evicted != nil || closing
}

// endLingering ends the lingering close that has lasted longest, and reports whether there was one.
func (set *clientSet) endLingering() bool {
	oldest := set.oldest((*client).lingeringState)
	if oldest != nil {
		oldest.endLingering()
	}
	return oldest != nil
}

// rejectPartial frees a descriptor when no client is idle: it rejects the client whose message has been incomplete for
// longest, if there was enough time for the rest of the message to arrive. The incomplete request has not run.
func (set *clientSet) rejectPartial(now time.Time) {
	set.rejectOldest(now, (*client).partialState, "refused: all connections are in use, and the message did not come whole")
}

// rejectLongPartial is rejectPartial, to free the memory of a long message.
func (set *clientSet) rejectLongPartial(now time.Time) {
	set.rejectOldest(now, (*client).longPartialState, "refused: the memory for incomplete messages is in use, and the message did not come whole")
}

func (set *clientSet) rejectOldest(now time.Time, partialState func(*client) (time.Time, bool), text string) {
	oldest := set.oldest(func(client *client) (time.Time, bool) {
		since, partial := partialState(client)
		return since, partial && now.Sub(since) >= set.timeouts.evictableIdle
	})
	if oldest != nil {
		oldest.evict(&rejection{text: text})
	}
}
