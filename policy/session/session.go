// Package session records the log position up to which each session has written, so that the session's reads see its
// own writes (read-your-writes). Memory is bounded: when a commit is evicted, its position becomes the minimum for
// every session of the group, so eviction never permits a stale read.
package session

import "lotushook/policy/clock"

// Key identifies a session within a replication group.
type Key struct {
	Group   int64
	Session string
}

type commit struct {
	key        Key
	position   clock.Nanos
	recordedAt clock.Nanos
}

// Commits holds the latest commits of sessions. It is not safe for concurrent use.
type Commits struct {
	capacity         int
	lifetime         clock.Nanos
	lastBySession    map[Key]clock.Nanos
	history          []commit              // in order of arrival
	evictedPositions map[int64]clock.Nanos // by group: the highest position of an evicted commit
}

// NewCommits returns a Commits that holds at most capacity commits, each for a lifetime.
func NewCommits(capacity int, lifetime clock.Nanos) *Commits {
	return &Commits{
		capacity:         capacity,
		lifetime:         lifetime,
		lastBySession:    map[Key]clock.Nanos{},
		evictedPositions: map[int64]clock.Nanos{},
	}
}

// Position returns the log position that a session's reads must see; 0: any position will do.
func (c *Commits) Position(key Key) clock.Nanos {
	return max(c.lastBySession[key], c.evictedPositions[key.Group])
}

// Record records that a session has written at a log position.
func (c *Commits) Record(now clock.Nanos, key Key, position clock.Nanos) {
	c.lastBySession[key] = max(c.lastBySession[key], position)
	c.history = append(c.history, commit{key, position, now})
	for len(c.history) > c.capacity || c.history[0].recordedAt < now-c.lifetime {
		c.evict(c.history[0])
		c.history = c.history[1:]
	}
}

// Size returns the number of commits held.
func (c *Commits) Size() int { return len(c.history) }

func (c *Commits) evict(old commit) {
	if c.lastBySession[old.key] != old.position {
		return // a later commit of the session is still held
	}
	delete(c.lastBySession, old.key)
	c.evictedPositions[old.key.Group] = max(c.evictedPositions[old.key.Group], old.position)
}
