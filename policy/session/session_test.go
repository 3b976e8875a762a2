package session

import (
	"fmt"
	"testing"

	"lotushook/policy/clock"
)

func TestReadsSeeTheirOwnWrites(t *testing.T) {
	commits := NewCommits(10, clock.Second)
	key := Key{Group: 1, Session: "s"}
	commits.Record(0, key, 500)
	commits.Record(1, key, 400) // an answer that arrives late must not lower the position
	if got := commits.Position(key); got != 500 {
		t.Errorf("position is %d, want 500", got)
	}
	if got := commits.Position(Key{Group: 1, Session: "other"}); got != 0 {
		t.Errorf("position of another session is %d, want 0", got)
	}
}

// A commit evicted because of the capacity or its lifetime sets a minimum for all sessions of its group, but not for
// other groups.
func TestEvictedCommitsBindTheGroup(t *testing.T) {
	for name, evict := range map[string]func(commits *Commits){
		"over capacity": func(commits *Commits) {
			for i := range 3 {
				commits.Record(0, Key{Group: 2, Session: fmt.Sprint(i)}, 1)
			}
		},
		"after its lifetime": func(commits *Commits) { commits.Record(2*clock.Second, Key{Group: 2}, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			commits := NewCommits(3, clock.Second)
			commits.Record(0, Key{Group: 1, Session: "s"}, 500)
			evict(commits)
			for _, session := range []string{"s", "other"} {
				if got := commits.Position(Key{Group: 1, Session: session}); got != 500 {
					t.Errorf("position of session %s is %d, want 500", session, got)
				}
			}
			if got := commits.Position(Key{Group: 3, Session: "s"}); got != 0 {
				t.Errorf("position of another group's session is %d, want 0", got)
			}
			if commits.Size() > 3 {
				t.Errorf("%d commits are held, at most 3 allowed", commits.Size())
			}
		})
	}
}
