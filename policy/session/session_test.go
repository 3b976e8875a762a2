package session

import (
	"fmt"
	"testing"

	"lotushook/policy/clock"
)

func TestReadsSeeTheirOwnWrites(t *testing.T) {
	c := NewCommits(10, clock.Second)
	key := Key{Group: 1, Session: "s"}
	c.Record(0, key, 500)
	c.Record(1, key, 400) // an answer that came late lowers nothing
	if got := c.Position(key); got != 500 {
		t.Errorf("position %d, want 500", got)
	}
	if got := c.Position(Key{Group: 1, Session: "other"}); got != 0 {
		t.Errorf("another session must see %d", got)
	}
}

// What is forgotten for want of room or time binds all sessions of its group, and none of another.
func TestForgottenCommitsBind(t *testing.T) {
	for name, forget := range map[string]func(c *Commits){
		"for want of room": func(c *Commits) {
			for i := range 3 {
				c.Record(0, Key{Group: 2, Session: fmt.Sprint(i)}, 1)
			}
		},
		"after its lifetime": func(c *Commits) { c.Record(2*clock.Second, Key{Group: 2}, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCommits(3, clock.Second)
			c.Record(0, Key{Group: 1, Session: "s"}, 500)
			forget(c)
			for _, session := range []string{"s", "other"} {
				if got := c.Position(Key{Group: 1, Session: session}); got != 500 {
					t.Errorf("session %s must see %d, want 500", session, got)
				}
			}
			if got := c.Position(Key{Group: 3, Session: "s"}); got != 0 {
				t.Errorf("another group's session must see %d", got)
			}
			if c.Size() > 3 {
				t.Errorf("%d commits are remembered", c.Size())
			}
		})
	}
}
