// Package estimate estimates properties of each class of requests from the outcomes of its attempts: how long an answer
// takes, how long clients wait for one, and whether the class keeps replicas from applying their log.
package estimate

import "lotushook/policy/clock"

const (
	initialWork    = 0.2  // answer time assumed before the first answer, as a share of the latency objective
	answerWeight   = 0.05 // weight of the newest answer in a class's work and patience
	leaveWeight    = 8.0  // weight of an abandoned request in the patience, relative to an answered one
	blockingWeight = 0.3  // weight of the newest long answer
	minBlocking    = 0.5  // lag after long answers, as a share of their times, above which the class blocks replication
)

// Classes holds the estimates by class index. It is not safe for concurrent use.
type Classes struct {
	objectives []float64 // latency objectives
	work       []float64
	patience   []float64
	blocking   []float64
}

// New returns estimates that are initialized from the classes' latency objectives.
func New(objectives []clock.Nanos) *Classes {
	c := &Classes{blocking: make([]float64, len(objectives))}
	for _, objective := range objectives {
		c.objectives = append(c.objectives, float64(objective))
		c.work = append(c.work, initialWork*float64(objective))
		c.patience = append(c.patience, float64(objective))
	}
	return c
}

// Work returns the usual time of an answer in nanoseconds, without queueing.
func (c *Classes) Work(class int) float64 { return c.work[class] }

// MaxWork returns the largest Work of all classes.
func (c *Classes) MaxWork() float64 {
	largest := c.work[0]
	for _, work := range c.work {
		largest = max(largest, work)
	}
	return largest
}

// Patience returns the latency objective, or the time that clients usually wait if they often leave earlier.
func (c *Classes) Patience(class int) float64 { return c.patience[class] }

// Answered records an answer and the time that it took.
func (c *Classes) Answered(class int, elapsed float64) {
	c.patience[class] += answerWeight * (c.objectives[class] - c.patience[class])
	c.work[class] += answerWeight * (elapsed - c.work[class])
}

// Abandoned records a client that left before its answer, and the time that it had waited.
func (c *Classes) Abandoned(class int, waited float64) {
	c.patience[class] += leaveWeight * answerWeight * min(0, waited-c.patience[class])
}

// AddReplicaLag records the replication lag of a replica after a long answer, as a share of the answer's time.
func (c *Classes) AddReplicaLag(class int, share float64) {
	c.blocking[class] += blockingWeight * (min(1, share) - c.blocking[class])
}

// BlocksReplication reports whether reads of the class keep replicas from applying their log.
func (c *Classes) BlocksReplication(class int) bool { return c.blocking[class] > minBlocking }
