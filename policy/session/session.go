// Package session remembers up to which log position each session has written, so that its reads see its own
// writes (read-your-writes). Its memory is bounded: what is forgotten raises a position that every session of
// the group must see, so that forgetting never lets a stale read through.
package session

import "lotushook/policy/clock"

// Key names a session within a replication group.
type Key struct {
	Group   int64
	Session string
}

type commit struct {
	key      Key
	position clock.Nanos
	at       clock.Nanos
}

// Commits are the last commits of sessions. They belong to one goroutine.
type Commits struct {
	capacity  int
	lifetime  clock.Nanos
	last      map[Key]clock.Nanos
	history   []commit              // in order of arrival
	forgotten map[int64]clock.Nanos // by group: commits up to there are no longer remembered one by one
}

// NewCommits remembers at most so many commits, each for a lifetime.
func NewCommits(capacity int, lifetime clock.Nanos) *Commits {
	return &Commits{
		capacity:  capacity,
		lifetime:  lifetime,
		last:      map[Key]clock.Nanos{},
		forgotten: map[int64]clock.Nanos{},
	}
}

// Position is the log position that a session's reads must see; 0: any will do.
func (c *Commits) Position(key Key) clock.Nanos {
	return max(c.last[key], c.forgotten[key.Group])
}

// Record remembers that a session has written at a log position.
func (c *Commits) Record(now clock.Nanos, key Key, position clock.Nanos) {
	c.last[key] = max(c.last[key], position)
	c.history = append(c.history, commit{key, position, now})
	for len(c.history) > c.capacity || c.history[0].at < now-c.lifetime {
		c.forget(c.history[0])
		c.history = c.history[1:]
	}
}

// Size is the number of commits that are remembered.
func (c *Commits) Size() int { return len(c.history) }

func (c *Commits) forget(old commit) {
	if c.last[old.key] != old.position {
		return // a later one is remembered
	}
	delete(c.last, old.key)
	c.forgotten[old.key.Group] = max(c.forgotten[old.key.Group], old.position)
}
