// Package decay keeps means in which older values count less.
package decay

import (
	"math"

	"lotushook/policy/clock"
)

// Mean is an exponentially decaying mean. The zero value has no values in it.
type Mean struct {
	sum, count float64 // as they had decayed at updatedAt
	updatedAt  clock.Nanos
}

// Add decays what is there over a span and takes one value in.
func (m *Mean) Add(now, span clock.Nanos, value float64) {
	m.decay(now, span)
	m.sum += value
	m.count++
}

// Value decays what is there over a span and returns the mean, beside so many prior values of a given sum.
func (m *Mean) Value(now, span clock.Nanos, priorSum, priorCount float64) float64 {
	m.decay(now, span)
	return (m.sum + priorSum) / (m.count + priorCount)
}

func (m *Mean) decay(now, span clock.Nanos) {
	factor := math.Exp(-float64(now-m.updatedAt) / float64(span))
	m.sum *= factor
	m.count *= factor
	m.updatedAt = now
}
