package estimate

import (
	"testing"

	"lotushook/policy/clock"
)

func TestLearnsFromAnsweredAndAbandonedRequests(t *testing.T) {
	classes := New([]clock.Nanos{100, 1000})
	if classes.Work(0) != 20 || classes.MaxWork() != 200 || classes.Patience(1) != 1000 || classes.BlocksReplication(0) {
		t.Fatalf("wrong initial estimates: %+v", classes)
	}
	for range 200 {
		classes.Answered(0, 50)
		classes.Abandoned(1, 300)
	}
	if got := classes.Work(0); got < 49 || got > 51 {
		t.Errorf("work is %.1f after answers that took 50", got)
	}
	if got := classes.Patience(1); got < 299 || got > 301 {
		t.Errorf("patience is %.1f after clients left after 300", got)
	}
	if classes.Abandoned(0, 5000); classes.Patience(0) != 100 {
		t.Errorf("a client that waited longer than its objective changed the patience to %.1f", classes.Patience(0))
	}
}

func TestLongAnswersWithoutReplicationBlock(t *testing.T) {
	classes := New([]clock.Nanos{100})
	for range 5 {
		classes.AddReplicaLag(0, 1)
	}
	if !classes.BlocksReplication(0) {
		t.Error("a class whose long answers stop replication is not recognized as blocking")
	}
	for range 5 {
		classes.AddReplicaLag(0, 0)
	}
	if classes.BlocksReplication(0) {
		t.Error("the class still counts as blocking after five answers without lag")
	}
}
