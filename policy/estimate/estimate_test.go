package estimate

import (
	"testing"

	"lotushook/policy/clock"
)

func TestLearnsFromAnswersAndLeavers(t *testing.T) {
	c := New([]clock.Nanos{100, 1000})
	if c.Work(0) != 20 || c.MaxWork() != 200 || c.Patience(1) != 1000 || c.BlocksReplication(0) {
		t.Fatalf("before any answer: %+v", c)
	}
	for range 200 {
		c.Answered(0, 50)
		c.Abandoned(1, 300)
	}
	if got := c.Work(0); got < 49 || got > 51 {
		t.Errorf("work %.1f of answers that took 50", got)
	}
	if got := c.Patience(1); got < 299 || got > 301 {
		t.Errorf("patience %.1f of clients that left after 300", got)
	}
	if c.Abandoned(0, 5000); c.Patience(0) != 100 {
		t.Errorf("a client that waited long made the patience %.1f", c.Patience(0))
	}
}

func TestLongAnswersThatApplyNothingBlock(t *testing.T) {
	c := New([]clock.Nanos{100})
	for range 5 {
		c.AddReplicaLag(0, 1)
	}
	if !c.BlocksReplication(0) {
		t.Error("a class that stops the log is not known")
	}
	for range 5 {
		c.AddReplicaLag(0, 0)
	}
	if c.BlocksReplication(0) {
		t.Error("it stays known for good")
	}
}
