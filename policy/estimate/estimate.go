// Package estimate learns about each class of requests from how its attempts end: how long an answer takes, how long
// clients wait for one, and whether the class keeps replicas from applying their log.
package estimate

import "lotushook/policy/clock"

const (
	initialWork    = 0.2  // time of an answer before there was any, as a share of the latency objective
	answerWeight   = 0.05 // weight of the newest answer in a class's work and patience
	leaveWeight    = 8.0  // a client that left says so much more of patience than one that was served
	blockingWeight = 0.3  // weight of the newest long answer
	minBlocking    = 0.5  // share of long answers with which a replica had applied nothing meanwhile
)

// Classes holds the estimates by class index. It belongs to one goroutine.
type Classes struct {
	objectives []float64 // latency objectives
	work       []float64
	patience   []float64
	blocking   []float64
}

// New starts from the classes' latency objectives.
func New(objectives []clock.Nanos) *Classes {
	c := &Classes{blocking: make([]float64, len(objectives))}
	for _, objective := range objectives {
		c.objectives = append(c.objectives, float64(objective))
		c.work = append(c.work, initialWork*float64(objective))
		c.patience = append(c.patience, float64(objective))
	}
	return c
}

// Work is the usual time of an answer without waiting.
func (c *Classes) Work(class int) float64 { return c.work[class] }

// MaxWork is the largest of all classes.
func (c *Classes) MaxWork() float64 {
	largest := c.work[0]
	for _, work := range c.work {
		largest = max(largest, work)
	}
	return largest
}

// Patience is the latency objective, or how long clients wait where they often leave earlier.
func (c *Classes) Patience(class int) float64 { return c.patience[class] }

// Answered takes in an answer that took a while.
func (c *Classes) Answered(class int, elapsed float64) {
	c.patience[class] += answerWeight * (c.objectives[class] - c.patience[class])
	c.work[class] += answerWeight * (elapsed - c.work[class])
}

// Abandoned takes in a client that left after it had waited for a while.
func (c *Classes) Abandoned(class int, waited float64) {
	c.patience[class] += leaveWeight * answerWeight * min(0, waited-c.patience[class])
}

// AddReplicaLag takes in how far a replica was behind after a long answer, as a share of the answer's time.
func (c *Classes) AddReplicaLag(class int, share float64) {
	c.blocking[class] += blockingWeight * (min(1, share) - c.blocking[class])
}

// BlocksReplication says that reads of the class keep replicas from applying their log.
func (c *Classes) BlocksReplication(class int) bool { return c.blocking[class] > minBlocking }
