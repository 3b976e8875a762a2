// Package decay computes means that give older values less weight.
package decay

import (
	"math"

	"lotushook/policy/clock"
)

// Mean is an exponentially decaying mean. The zero value contains no values.
type Mean struct {
	sum, count float64 // decayed up to updatedAt
	updatedAt  clock.Nanos
}

// Add decays the earlier values with a time constant, then adds a value.
func (m *Mean) Add(now, timeConstant clock.Nanos, value float64) {
	m.decay(now, timeConstant)
	m.sum += value
	m.count++
}

// Value decays the values with a time constant and returns their mean together with prior values, which are given as a
// sum and a count.
func (m *Mean) Value(now, timeConstant clock.Nanos, priorSum, priorCount float64) float64 {
	m.decay(now, timeConstant)
	return (m.sum + priorSum) / (m.count + priorCount)
}

func (m *Mean) decay(now, timeConstant clock.Nanos) {
	factor := math.Exp(-float64(now-m.updatedAt) / float64(timeConstant))
	m.sum *= factor
	m.count *= factor
	m.updatedAt = now
}
